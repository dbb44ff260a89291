package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// watchers is the number of instances of a failure domain that watch a kind:
	// one may fail without a gap.
	watchers = 2
	// dutyWindow is how long an instance counts as watching after it passed on
	// an update; a watch is answered at least every 1.5 s.
	dutyWindow = 2 * time.Second
	// memberTimeout is how long a member counts after it was heard: five
	// greetings.
	memberTimeout = 10 * time.Second
	// peakWindow is how long a larger number of instances is remembered: longer
	// than the users' longest cuts.
	peakWindow = 60 * time.Second
	// maxListed bounds the members in one message.
	maxListed = 12
)

// members is what an instance knows of the others. It is pure: the caller
// passes the time.
type members struct {
	self Member
	// heard has the time at which each member was last heard of.
	heard map[string]memberState
	// peak is the largest number of instances of the failure domain lately.
	peak   int
	peakAt time.Time
}

type memberState struct {
	member Member
	heard  time.Time
	// session is that of the incarnation heard last; 0 for a member that was only
	// mentioned.
	session peerauth.Session
	// watched is when the member last passed on an update of each kind.
	watched [3]time.Time
}

func newMembers(self Member) *members {
	return &members{self: self, heard: map[string]memberState{}}
}

// hear records a message of a member's incarnation.
func (m *members) hear(now time.Time, member Member, session peerauth.Session) {
	if member.Name == m.self.Name {
		return
	}
	state := m.heard[member.Name]
	state.member, state.heard, state.session = member, now, session
	m.heard[member.Name] = state
}

// mention records that another member has heard of a member.
func (m *members) mention(now time.Time, member Member) {
	if _, known := m.heard[member.Name]; known || member.Name == m.self.Name {
		return
	}
	m.heard[member.Name] = memberState{member: member, heard: now}
}

// watching records that a member passed on an update.
func (m *members) watching(now time.Time, name string, kind catalog.Kind) {
	if state, ok := m.heard[name]; ok {
		state.watched[kind] = now
		m.heard[name] = state
	}
}

// expire forgets members that were not heard of for long.
func (m *members) expire(now time.Time) {
	for name, state := range m.heard {
		if now.Sub(state.heard) > memberTimeout {
			delete(m.heard, name)
		}
	}
}

// onDuty tells whether this instance watches a kind: fewer than two members
// that come before it do. The order depends on the kind, which spreads the
// duties.
func (m *members) onDuty(now time.Time, kind catalog.Kind) bool {
	before := 0
	own := rank(m.self.Name, kind)
	for name, state := range m.heard {
		if state.member.FailureDomain == m.self.FailureDomain && rank(name, kind) < own &&
			!state.watched[kind].IsZero() && now.Sub(state.watched[kind]) < dutyWindow {
			before++
		}
	}
	return before < watchers
}

func rank(name string, kind catalog.Kind) uint64 {
	return xxhash.Sum64String(name + "/" + kind.String())
}

// mates returns the members of this instance's failure domain, by name.
func (m *members) mates() []Member {
	var mates []Member
	for _, state := range m.heard {
		if state.member.FailureDomain == m.self.FailureDomain {
			mates = append(mates, state.member)
		}
	}
	slices.SortFunc(mates, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return mates
}

// sharing returns the place of this instance among those of its failure domain
// and their number. The number does not shrink for a while after members are
// lost: they may only be cut off, and still send.
func (m *members) sharing(now time.Time) (rank, count int) {
	count = 1
	for name, state := range m.heard {
		if state.member.FailureDomain != m.self.FailureDomain {
			continue
		}
		count++
		if name < m.self.Name {
			rank++
		}
	}
	if count >= m.peak || now.Sub(m.peakAt) > peakWindow {
		m.peak, m.peakAt = count, now
	}
	return rank, m.peak
}

// list returns members for a message: those of a failure domain first.
func (m *members) list(domain string) []Member {
	var near, far []Member
	for _, state := range m.heard {
		if state.member.FailureDomain == domain {
			near = append(near, state.member)
		} else {
			far = append(far, state.member)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := append(near, far...)
	return all[:min(len(all), maxListed)]
}
