// Package position encodes points in the history of the platform as numbers that keep
// their order. Revisions of the platform are comparable only within an era: a platform
// that is restored from a copy starts a new era and gives revisions out again.
package position

import (
	"fmt"
	"strconv"
)

// eraBits is the number of high bits that hold the era; the others hold the revision.
const eraBits = 24

// MaxEra and MaxRevision are the largest era and revision that a position can hold.
const (
	MaxEra      = 1<<eraBits - 1
	MaxRevision = 1<<(64-eraBits) - 1
)

// RangeError reports an era or a revision that a position cannot hold.
type RangeError struct{ Era, Revision uint64 }

func (e *RangeError) Error() string {
	return fmt.Sprintf("era %d is above %d or revision %d above %d", e.Era, uint64(MaxEra), e.Revision, uint64(MaxRevision))
}

// Of returns the position of a revision in an era. In era 0, that of a platform
// without eras, it is the revision itself. It fails with *RangeError.
func Of(era, revision uint64) (uint64, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, &RangeError{Era: era, Revision: revision}
	}
	return era<<(64-eraBits) | revision, nil
}

// String returns the revision of a position, and its era if that is not 0.
func String(position uint64) string {
	if era := Era(position); era > 0 {
		return fmt.Sprintf("%d of era %d", Revision(position), era)
	}
	return strconv.FormatUint(position, 10)
}

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> (64 - eraBits) }

// Revision returns the revision of a position within its era.
func Revision(position uint64) uint64 { return position & MaxRevision }
