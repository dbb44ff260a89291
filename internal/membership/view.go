// Package membership tracks the other instances: who lives, what revision
// each has in force and who ranks first for a duty.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flow"
)

// State is the state of a member.
type State int

// States of a member. Leaving members still answer but take no new duties.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Gone
)

// Member is one instance as seen here.
type Member struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort
	Incarnation   uint64
	State         State
	// Revision is the last configuration revision reported by the member.
	Revision uint64
	// LastHeard is when the member was last heard of, directly or through
	// others. For this instance itself it is the time of the view.
	LastHeard time.Time
	Ready     bool
	// ConfirmedAt is a lower bound of the time at which the platform last
	// confirmed that the member's objects were current at ConfirmedRevision,
	// as the member reported it. For this instance itself it is its own
	// confirmation.
	ConfirmedAt       time.Time
	ConfirmedRevision uint64
}

// View is an immutable picture of the membership.
type View struct {
	Self Member
	// Members holds every member that is not gone, this instance included,
	// ordered by name.
	Members []Member
}

// Member returns the member with a name.
func (v *View) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int {
		switch {
		case m.Name < n:
			return -1
		case m.Name > n:
			return 1
		}
		return 0
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Rank returns the live members ordered by rendezvous hash of seed, so that
// instances with the same view agree on who performs a duty.
func (v *View) Rank(seed uint64) []Member {
	ranked := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == Alive {
			ranked = append(ranked, m)
		}
	}
	weights := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		weights[m.Name] = weight(m.Name, seed)
	}
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
	return ranked
}

// RankIn is Rank restricted to one failure domain.
func (v *View) RankIn(domain string, seed uint64) []Member {
	return slices.DeleteFunc(v.Rank(seed), func(m Member) bool { return m.FailureDomain != domain })
}

// FirstIn returns the first of RankIn without ranking the others; false when
// the failure domain has no live member.
func (v *View) FirstIn(domain string, seed uint64) (Member, bool) {
	var first Member
	var highest uint64
	found := false
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != Alive || m.FailureDomain != domain {
			continue
		}
		if w := weight(m.Name, seed); !found || w > highest {
			first, highest, found = *m, w, true
		}
	}
	return first, found
}

// MinRevision returns the lowest revision over all members that are not gone.
func (v *View) MinRevision() uint64 {
	lowest := v.Self.Revision
	for _, m := range v.Members {
		lowest = min(lowest, m.Revision)
	}
	return lowest
}

// LastContact returns when an instance of a failure domain was last heard of.
func (v *View) LastContact(domain string) time.Time {
	var last time.Time
	for _, m := range v.Members {
		if m.FailureDomain == domain && m.LastHeard.After(last) {
			last = m.LastHeard
		}
	}
	return last
}

func weight(name string, seed uint64) uint64 {
	h := flow.NameHash(name) ^ (seed * 0x9e3779b97f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
