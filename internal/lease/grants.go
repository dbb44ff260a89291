package lease

import (
	"time"

	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// grantStop records that this instance withholds grants from a holder that it
// replaces.
type grantStop struct {
	// incarnation is the incarnation of the replaced holder in the table.
	incarnation uint64
	// revision is the configuration revision that the replaced holder has to
	// report before it gets grants again, 0 if no write has replaced it yet. With an
	// older table it would use a grant for the slots it lost.
	revision uint64
	// writing is set while the outcome of a write that replaces it is unknown.
	writing bool
}

// grantEnd returns the end of the grant that the successor in an entry has made
// to this instance, zero if there is none. A grant of another incarnation of the
// successor does not count: it does not know what the named one decided.
func (manager *Manager) grantEnd(e *pb.Slot) time.Time {
	m, ok := manager.view.Member(e.GetSuccessor())
	if !ok || m.Name == manager.self.Name || m.Incarnation != e.GetSuccessorIncarnation() {
		return time.Time{}
	}
	return manager.grants.ReceivedGrantUntil(m.Name)
}

// resumeGrants resumes grants to replaced holders that have reported the
// revision of the table that replaced them, or that have restarted.
func (manager *Manager) resumeGrants() {
	for name, s := range manager.grantStops {
		m, ok := manager.view.Member(name)
		reported := !s.writing && s.revision > 0 && m.Revision >= s.revision && position.Era(m.Revision) == position.Era(s.revision)
		if ok && (reported || m.Incarnation > s.incarnation) {
			manager.grants.SetGrantsStopped(name, false)
			delete(manager.grantStops, name)
		}
	}
}
