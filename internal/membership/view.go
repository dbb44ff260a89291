// Package membership tracks the other instances: which are alive, which revision
// of the configuration each has in force, and which ranks first for a task. It
// also keeps the grants that acknowledged heartbeats give to holders of leases.
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

// States of a member.
const (
	// Alive: the member was heard of within the timeout.
	Alive State = iota + 1
	// Suspect: the member was not heard of within the timeout, or not since a
	// pause of this instance.
	Suspect
	// Leaving: the member is shutting down. It still answers but is given no new
	// tasks.
	Leaving
	// Gone: an operator declared the member gone, or it is silent and missing
	// from the platform's instance list. Views leave it out.
	Gone
)

// Member is one instance as seen by this instance.
type Member struct {
	Name          string
	FailureDomain string
	Address       netip.AddrPort
	// Incarnation identifies one run of the instance; later runs have higher ones.
	Incarnation uint64
	State       State
	// Revision is the highest configuration revision that was reported to be in
	// force at the member.
	Revision uint64
	// LastHeard is when the member was last heard of, directly or through digests
	// of others, zero for never. For this instance itself it is the time of the
	// view.
	LastHeard time.Time
	// Ready is true when the member last reported that it is ready for traffic.
	Ready bool
	// ConfirmedAt is the time at which the platform last confirmed that the
	// member's objects were current at ConfirmedRevision, zero for never. It is
	// computed from the member's heartbeats and never later than the true time.
	// For this instance itself it is the time of its own confirmation.
	ConfirmedAt       time.Time
	ConfirmedRevision uint64
}

// View is a snapshot of the membership. Its users must not change it.
type View struct {
	Self Member
	// Members holds every member that is not gone, this instance included,
	// ordered by name.
	Members []Member
}

// Member returns the member of that name, and false when the view has none.
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

// Rank returns the members that are Alive, in the order of their rendezvous hash
// with seed, highest first. Instances with the same view get the same order and so
// agree on the member that performs a task.
func (v *View) Rank(seed uint64) []Member {
	ranked := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.State == Alive {
			ranked = append(ranked, m)
		}
	}
	weights := make(map[string]uint64, len(ranked))
	for _, m := range ranked {
		weights[m.Name] = rendezvousWeight(m.Name, seed)
	}
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(weights[b.Name], weights[a.Name]) })
	return ranked
}

// RankIn is Rank restricted to the members of one failure domain.
func (v *View) RankIn(domain string, seed uint64) []Member {
	return slices.DeleteFunc(v.Rank(seed), func(m Member) bool { return m.FailureDomain != domain })
}

// FirstInDomain returns the first member of RankIn without sorting the others, and
// false when no member of the failure domain is Alive.
func (v *View) FirstInDomain(domain string, seed uint64) (Member, bool) {
	var first Member
	var highest uint64
	found := false
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != Alive || m.FailureDomain != domain {
			continue
		}
		if w := rendezvousWeight(m.Name, seed); !found || w > highest {
			first, highest, found = *m, w, true
		}
	}
	return first, found
}

// MinRevision returns the lowest Member.Revision of all members that are not Gone,
// this instance included.
func (v *View) MinRevision() uint64 {
	lowest := v.Self.Revision
	for _, m := range v.Members {
		lowest = min(lowest, m.Revision)
	}
	return lowest
}

// LastContact returns the latest LastHeard of the members of a failure domain, the
// zero time for none. It includes this instance, which counts as just heard of.
func (v *View) LastContact(domain string) time.Time {
	var last time.Time
	for _, m := range v.Members {
		if m.FailureDomain == domain && m.LastHeard.After(last) {
			last = m.LastHeard
		}
	}
	return last
}

// rendezvousWeight returns the hash of a member's name combined with seed.
func rendezvousWeight(name string, seed uint64) uint64 {
	h := flow.NameHash(name) ^ (seed * 0x9e3779b97f4a7c15)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
