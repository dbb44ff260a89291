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
	// watchersPerKind is the number of instances of a failure domain that watch
	// each kind: one of them may fail without a gap.
	watchersPerKind = 2
	// watcherTimeout is how long an instance counts as a watcher after it sent an
	// update to its peers. The store answers a watch at least every 1.5 s.
	watcherTimeout = 2 * time.Second
	// memberTimeout is how long a member is kept after its last message, or after
	// the mention that added it: five hello intervals. As each hello goes to one
	// random peer only, an instance that is up may expire in a large failure domain.
	memberTimeout = 10 * time.Second
	// peakRetention is how long the largest number of instances is kept after it
	// was last reached: longer than the users' longest network cuts.
	peakRetention = 60 * time.Second
	// maxMembersPerMessage bounds the members that one message lists. With long
	// names, that many may exceed MaxDatagram, and the receiver rejects the message.
	maxMembersPerMessage = 12
)

// membership holds the other instances that an instance knows. It reads no clock:
// the caller passes the time. Its user serialises access.
type membership struct {
	self Member
	// byName stores the known members under their names. An entry expires
	// memberTimeout after its lastHeard.
	byName map[string]memberState
	// peakCount is the largest number of instances of the failure domain that
	// peerRank has counted, itself included; it was last reached or set at peakTime.
	peakCount int
	peakTime  time.Time
}

type memberState struct {
	member Member
	// lastHeard is the time of the member's last message; for a member that was
	// only mentioned, the time of the first mention.
	lastHeard time.Time
	// session is the random number by which package peerauth identifies the
	// incarnation (the run of the process) that sent the last message; 0 for a
	// member that was only mentioned.
	session peerauth.Session
	// watched stores, by kind, the time at which the member last sent an update
	// from the store; zero when it has sent none. Its length is the number of
	// kinds in catalog.Kinds.
	watched [3]time.Time
}

func newMembership(self Member) *membership {
	return &membership{self: self, byName: map[string]memberState{}}
}

// recordMessage records that a message of a member's incarnation has arrived.
func (m *membership) recordMessage(now time.Time, member Member, session peerauth.Session) {
	if member.Name == m.self.Name {
		return
	}
	state := m.byName[member.Name]
	state.member, state.lastHeard, state.session = member, now, session
	m.byName[member.Name] = state
}

// recordMention records that a message listed a member. It adds an unknown
// member and does not extend the lifetime of a known one.
func (m *membership) recordMention(now time.Time, member Member) {
	if _, known := m.byName[member.Name]; known || member.Name == m.self.Name {
		return
	}
	m.byName[member.Name] = memberState{member: member, lastHeard: now}
}

// recordWatch records that a member sent an update of a kind.
func (m *membership) recordWatch(now time.Time, name string, kind catalog.Kind) {
	if state, ok := m.byName[name]; ok {
		state.watched[kind] = now
		m.byName[name] = state
	}
}

// expire removes members whose lastHeard is longer ago than memberTimeout.
func (m *membership) expire(now time.Time) {
	for name, state := range m.byName {
		if now.Sub(state.lastHeard) > memberTimeout {
			delete(m.byName, name)
		}
	}
}

// isWatcher tells whether this instance has to watch a kind. That is so when
// fewer than watchersPerKind members of its failure domain that rank before it
// have sent an update of the kind within watcherTimeout. The rank depends on the
// kind, so that different instances watch different kinds.
func (m *membership) isWatcher(now time.Time, kind catalog.Kind) bool {
	before := 0
	own := watchRank(m.self.Name, kind)
	for name, state := range m.byName {
		if state.member.FailureDomain == m.self.FailureDomain && watchRank(name, kind) < own &&
			!state.watched[kind].IsZero() && now.Sub(state.watched[kind]) < watcherTimeout {
			before++
		}
	}
	return before < watchersPerKind
}

func watchRank(name string, kind catalog.Kind) uint64 {
	return xxhash.Sum64String(name + "/" + kind.String())
}

// peers returns the other members of this instance's failure domain, sorted by
// name.
func (m *membership) peers() []Member {
	var peers []Member
	for _, state := range m.byName {
		if state.member.FailureDomain == m.self.FailureDomain {
			peers = append(peers, state.member)
		}
	}
	slices.SortFunc(peers, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return peers
}

// peerRank returns the rank of this instance by name among the instances of its
// failure domain, from 0, and their largest number. The number does not shrink
// within peakRetention after it was last reached: members that were lost may only
// be cut off from this instance, and still send traffic.
func (m *membership) peerRank(now time.Time) (rank, count int) {
	count = 1
	for name, state := range m.byName {
		if state.member.FailureDomain != m.self.FailureDomain {
			continue
		}
		count++
		if name < m.self.Name {
			rank++
		}
	}
	if count >= m.peakCount || now.Sub(m.peakTime) > peakRetention {
		m.peakCount, m.peakTime = count, now
	}
	return rank, m.peakCount
}

// list returns at most maxMembersPerMessage members in random order, those of the
// given failure domain first.
func (m *membership) list(domain string) []Member {
	var local, remote []Member
	for _, state := range m.byName {
		if state.member.FailureDomain == domain {
			local = append(local, state.member)
		} else {
			remote = append(remote, state.member)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	all := append(local, remote...)
	return all[:min(len(all), maxMembersPerMessage)]
}
