package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// watchersPerKind is the number of instances of a failure domain that watch
	// each kind: one of them may fail without a gap.
	watchersPerKind = 2
	// watcherTimeout is how long an instance counts as a watcher after it sent an
	// update to its peers. The store answers a watch at least every 1.5 s.
	watcherTimeout = 2 * time.Second
	// memberTimeout is how long a member is kept after any instance has last heard
	// it, as far as this one knows. Lists of members spread the times of hearing within
	// that time in a failure domain of 50 that loses 5% of the messages.
	memberTimeout = 40 * time.Second
	// peakRetention is how long the largest number of instances is kept after it
	// was last reached: longer than the users' longest network cuts.
	peakRetention = 60 * time.Second
	// maxMembersPerMessage bounds the members that one message lists; fewer are sent
	// when their names are long. minRemoteMembers of them are of other failure domains
	// if that many are known.
	maxMembersPerMessage = 12
	minRemoteMembers     = 3
	// freshMembers is the number of members in a list that were heard last: their times
	// of hearing spread fastest. The others are random, so that each member is listed.
	freshMembers = 5
	// loadPeers is the number of peers that one report on response times goes to: an
	// instance then estimates with the answers of three.
	loadPeers = 2
	// loadReceiverTimeout is the time since a member was heard after which no reports on
	// response times are sent to it.
	loadReceiverTimeout = 15 * time.Second
	// inFlightBytesPerSecond bounds the messages on requests in flight that an instance with
	// more than inflight.IntervalPeers peers sends: the part of the control traffic that
	// instances of 500 have for them.
	inFlightBytesPerSecond = 4000
)

// membership holds the other instances that an instance knows. It reads no clock:
// the caller passes the time. Its user serialises access.
type membership struct {
	self Member
	rng  *rand.Rand
	// byName stores the known members under their names. An entry expires
	// memberTimeout after its lastHeard.
	byName map[string]memberState
	// peakCount is the largest number of instances of the failure domain that
	// peerRank has counted, itself included; it was last reached or set at peakTime.
	peakCount int
	peakTime  time.Time
	// leaving is set once this instance shuts down. announceUntil is the time until
	// which it announces its state because a member lacks some; nextHello is when the
	// next regular hello is due.
	leaving       bool
	announceUntil time.Time
	nextHello     time.Time
	// inFlightNext is the rank of the peer that receives the next report on requests in
	// flight first.
	inFlightNext int
}

type memberState struct {
	member Member
	// lastHeard is the time of the member's last message to this instance, or to
	// another one that mentioned it with a later time.
	lastHeard time.Time
	// session is the random number by which package peerauth identifies the
	// incarnation (the run of the process) that sent the last message; 0 for a
	// member that was only mentioned.
	session peerauth.Session
	// format is the format that this incarnation reads, as far as known.
	format format
	// watched stores, by kind, the time at which the member last sent an update
	// from the store; zero when it has sent none. Its length is the number of
	// kinds in catalog.Kinds.
	watched [3]time.Time
	// positions is the state that the member last reported to hold, reportedAt the
	// time of that report; zero when this incarnation has reported none.
	positions  Positions
	reportedAt time.Time
	// lackingSince is the time from which all reports named missing state; zero after
	// a report of complete state.
	lackingSince time.Time
	// addressedAt is the time at which nextRound last selected the member.
	addressedAt time.Time
}

func newMembership(self Member) *membership {
	return &membership{self: self, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), byName: map[string]memberState{}}
}

// recordMessage records that a message of a member's incarnation has arrived.
func (m *membership) recordMessage(now time.Time, member Member, session peerauth.Session) {
	if member.Name == m.self.Name {
		return
	}
	state := m.byName[member.Name]
	if state.session != session {
		// Another incarnation holds nothing of what the earlier one reported.
		state.positions, state.reportedAt, state.lackingSince, state.format = Positions{}, time.Time{}, time.Time{}, formatJSON
	}
	state.member, state.lastHeard, state.session = member, now, session
	m.byName[member.Name] = state
}

// recordMention records that a message listed a member, which the sender or another
// instance heard the given time ago. A mention without that time, from an older
// version, adds an unknown member and does not extend the lifetime of a known one.
func (m *membership) recordMention(now time.Time, mentioned mention) {
	member := mentioned.Member
	state, known := m.byName[member.Name]
	if member.Name == m.self.Name || (known && mentioned.HeardMS == nil) {
		return
	}
	heard := now
	if mentioned.HeardMS != nil {
		heard = now.Add(-time.Duration(max(*mentioned.HeardMS, 0)) * time.Millisecond)
	}
	switch {
	case now.Sub(heard) > memberTimeout:
	case !known:
		m.byName[member.Name] = memberState{member: member, lastHeard: heard}
	case heard.After(state.lastHeard):
		state.lastHeard = heard
		m.byName[member.Name] = state
	}
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

// loadReceivers returns loadPeers random peers and one random member of each other
// failure domain, of the members heard within loadReceiverTimeout.
func (m *membership) loadReceivers(now time.Time) (peers, others []Member) {
	byDomain := map[string][]memberState{}
	for _, state := range m.byName {
		if state.session != 0 && now.Sub(state.lastHeard) < loadReceiverTimeout {
			byDomain[state.member.FailureDomain] = append(byDomain[state.member.FailureDomain], state)
		}
	}
	for domain, states := range byDomain {
		slices.SortFunc(states, compareHeard)
		m.rng.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
		if domain != m.self.FailureDomain {
			others = append(others, states[0].member)
			continue
		}
		for _, state := range states[:min(len(states), loadPeers)] {
			peers = append(peers, state.member)
		}
	}
	return peers, others
}

// inFlightReceivers returns the peers, heard within loadReceiverTimeout, that receive the
// next report on requests in flight, of size bytes: all up to inflight.IntervalPeers, and
// with more, in rotation, as many as fit into inFlightBytesPerSecond.
func (m *membership) inFlightReceivers(now time.Time, size int) []Member {
	var peers []Member
	for _, state := range m.byName {
		if state.member.FailureDomain == m.self.FailureDomain && state.session != 0 && now.Sub(state.lastHeard) < loadReceiverTimeout {
			peers = append(peers, state.member)
		}
	}
	if len(peers) <= inflight.IntervalPeers {
		return peers
	}
	slices.SortFunc(peers, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	interval := inflight.IntervalFor(len(peers))
	count := min(max(int(inFlightBytesPerSecond*interval.Seconds())/size, 1), len(peers))
	receivers := make([]Member, 0, count)
	for n := range count {
		receivers = append(receivers, peers[(m.inFlightNext+n)%len(peers)])
	}
	m.inFlightNext = (m.inFlightNext + count) % len(peers)
	return receivers
}

// list returns at most maxMembersPerMessage members with the time since they were heard:
// those of the given failure domain first, and of these the freshMembers that were heard
// last before others at random.
func (m *membership) list(now time.Time, domain string) []mention {
	var local, remote []memberState
	for _, state := range m.byName {
		if state.member.FailureDomain == domain {
			local = append(local, state)
		} else {
			remote = append(remote, state)
		}
	}
	slices.SortFunc(local, compareHeard)
	slices.SortFunc(remote, compareHeard)
	others := local[min(len(local), freshMembers):]
	m.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	m.rng.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	reserved := min(len(remote), minRemoteMembers)
	selected := append(local[:min(len(local), maxMembersPerMessage-reserved)], remote...)
	return mentionsOf(now, selected[:min(len(selected), maxMembersPerMessage)])
}

// freshest returns at most limit members, those heard last.
func (m *membership) freshest(now time.Time, limit int) []mention {
	var states []memberState
	for _, state := range m.byName {
		states = append(states, state)
	}
	slices.SortFunc(states, compareHeard)
	return mentionsOf(now, states[:min(len(states), limit)])
}

// compareHeard orders members by the time at which they were heard, the last one first.
func compareHeard(a, b memberState) int {
	return cmp.Or(b.lastHeard.Compare(a.lastHeard), cmp.Compare(a.member.Name, b.member.Name))
}

func mentionsOf(now time.Time, states []memberState) []mention {
	var mentions []mention
	for _, state := range states {
		heard := now.Sub(state.lastHeard).Milliseconds()
		mentions = append(mentions, mention{Member: state.member, HeardMS: &heard})
	}
	return mentions
}
