// Package inflight shares the number of requests in flight at each upstream between the
// instances of a failure domain. A Meter counts those of one instance, a View adds the
// reports of its peers. The package reads no clock and has no I/O.
package inflight

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// MaxEntries is the largest number of upstreams in a report.
	MaxEntries = 128
	// entrySize is the number of bytes of an entry: a key and a count.
	entrySize = 3
	// unit is the resolution of a count in requests.
	unit = 1.0 / 8
	// maxCount is the largest count in units.
	maxCount = 255
)

// Key is what a report holds of a cookie: its low 16 bits.
type Key uint16

// KeyOf returns the key of an upstream.
func KeyOf(cookie flowcookie.Cookie) Key { return Key(cookie) }

// Entry is the mean number of requests in flight at the upstreams with a key, in eighths.
type Entry struct {
	Key     Key
	Eighths uint8
}

// Report lists the upstreams at which an instance has requests in flight, each key once.
type Report []Entry

// FormatError reports that an encoded report is malformed.
type FormatError struct {
	// Problem says what is wrong, Offset where, in bytes.
	Problem string
	Offset  int
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("report of requests in flight: %s at byte %d", e.Problem, e.Offset)
}

// Encode returns the bytes of a report. They are not nil, also for an empty report.
func (r Report) Encode() []byte {
	data := make([]byte, 0, entrySize*len(r))
	for _, entry := range r {
		data = append(binary.BigEndian.AppendUint16(data, uint16(entry.Key)), entry.Eighths)
	}
	return data
}

// Decode returns the report that Encode has encoded. It fails with *FormatError.
func Decode(data []byte) (Report, error) {
	switch {
	case len(data)%entrySize != 0:
		return nil, &FormatError{"incomplete entry", len(data) - len(data)%entrySize}
	case len(data) > MaxEntries*entrySize:
		return nil, &FormatError{fmt.Sprintf("more than %d entries", MaxEntries), MaxEntries * entrySize}
	}
	report := make(Report, 0, len(data)/entrySize)
	seen := make(map[Key]bool, len(data)/entrySize)
	for offset := 0; offset < len(data); offset += entrySize {
		entry := Entry{Key(binary.BigEndian.Uint16(data[offset:])), data[offset+2]}
		switch {
		case entry.Eighths == 0:
			return nil, &FormatError{"entry without requests", offset}
		case seen[entry.Key]:
			return nil, &FormatError{"repeated upstream", offset}
		}
		seen[entry.Key] = true
		report = append(report, entry)
	}
	return report, nil
}

// largest sorts a report, largest counts first, and returns its first MaxEntries entries.
func (r Report) largest() Report {
	slices.SortFunc(r, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Eighths, a.Eighths), cmp.Compare(a.Key, b.Key))
	})
	return r[:min(len(r), MaxEntries)]
}
