package placement

import (
	"time"

	"github.com/chivemast/chivemast/internal/membership"
)

// Removal describes the end of an earlier use of an address by another
// service.
type Removal struct {
	// Revision of the configuration that removed the use.
	Revision uint64
	// At is when this instance adopted that revision.
	At time.Time
	// IdleTimeout of the old service when the address was a service address,
	// 0 for an upstream address.
	IdleTimeout time.Duration
}

// MayUseAddress reports whether an address may be used for another service:
// every member has adopted the removal and, for a service address, the old
// service's flows are over.
func MayUseAddress(now time.Time, removal Removal, view *membership.View) bool {
	if view == nil || view.MinRevision() < removal.Revision {
		return false
	}
	return now.Sub(removal.At) >= removal.IdleTimeout
}
