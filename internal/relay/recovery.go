package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const (
	// helloInterval is the time between hellos to the member with the oldest contact
	// while this instance holds state and knows a peer.
	helloInterval = time.Second
	// seedHelloInterval is the time between hellos to the seeds while this instance
	// holds state but knows no peer.
	seedHelloInterval = 300 * time.Millisecond
	// searchInterval is the time between two rounds of hellos of an instance without
	// state, and of announcements by one with state. Two rounds and a transfer fit
	// into 300 ms.
	searchInterval = 100 * time.Millisecond
	// maxSearched is the number of members that one round of hellos or announcements
	// addresses, besides the seeds. Two rounds reach all members of a fleet of 17; in a
	// large one, the announcements take at most 14 KB/s each way for each instance.
	maxSearched = 8
	// maxGreeted is the number of peers, known from other instances' lists only, that
	// one round greets: a new instance meets a failure domain of 125 in 3 s. The answers
	// have 0.5 KB each, 20 KB/s.
	maxGreeted = 4
	// storeQuietAfter is the time since the store was heard about a kind from which an instance with state
	// announces it: instances that start may find no state in the store. An instance
	// calls the store itself when a kind is 2.5 s old.
	storeQuietAfter = 2600 * time.Millisecond
	// lackingAfter is how long a member must have reported missing state before this
	// instance announces its own to all members: the store then serves none, and other
	// members may lack state as well.
	lackingAfter = 100 * time.Millisecond
	// announceFor is how long announcements go on after the last such report.
	announceFor = 3 * time.Second
	// reportedFor is how long the positions that a member reported count as current.
	reportedFor = time.Second
	// remoteHellos is the part of the regular hellos that goes to other failure
	// domains, so that their members stay known. Bytes between failure domains are dear.
	remoteHellos = 0.15
)

// Positions stores, by kind, the store's position of the state that an instance
// holds, with revision 0 for a kind without state. Its length is the number of kinds
// in catalog.Kinds.
type Positions [3]catalog.Position

// Complete tells whether there is state of every kind.
func (p Positions) Complete() bool {
	return !slices.ContainsFunc(p[:], func(position catalog.Position) bool { return position.Revision == 0 })
}

// laterThan tells whether some position is later than that of others; false if others is
// nil.
func (p Positions) laterThan(others *Positions) bool {
	for kind, position := range p {
		if others != nil && position.Compare(others[kind]) > 0 {
			return true
		}
	}
	return false
}

// Holdings is the state that an instance can provide to others.
type Holdings struct {
	Positions Positions
	// Heard is the time of the last answer of the store or a replica about the kind with
	// the oldest one; zero unless Positions is complete.
	Heard time.Time
	// Seeking is set while the store does not confirm the state and no peer does, so that
	// members with later positions should tell them.
	Seeking bool
}

// recordPositions records the positions that a member reports, and returns whether
// announcements start because the member keeps lacking state.
func (m *membership) recordPositions(now time.Time, name string, positions Positions) (announce bool) {
	state, known := m.byName[name]
	if !known {
		return false
	}
	state.positions, state.reportedAt = positions, now
	switch {
	case positions.Complete():
		state.lackingSince = time.Time{}
	case state.lackingSince.IsZero():
		state.lackingSince = now
	case now.Sub(state.lackingSince) >= lackingAfter:
		announce = !now.Before(m.announceUntil)
		m.announceUntil = now.Add(announceFor)
	}
	m.byName[name] = state
	return announce
}

// receive records the sender of a message, its positions and the members that it lists.
// It returns the answer, and whether announcements start because the sender keeps
// lacking state. A hello is answered with a list of members; an announcement with the
// own positions while they are incomplete or later; other messages have no answer.
func (m *membership) receive(now time.Time, received *message, session peerauth.Session, own Positions) (answer *message, announce bool) {
	m.recordMessage(now, received.From, session)
	for _, mentioned := range received.Members {
		m.recordMention(now, mentioned)
	}
	if state, known := m.byName[received.From.Name]; known {
		// A sender that does not know this instance's version yet uses JSON.
		state.format = max(state.format, received.senderFormat())
		m.byName[received.From.Name] = state
	}
	if received.Positions != nil {
		announce = m.recordPositions(now, received.From.Name, *received.Positions)
	}
	if received.Hello || (received.Announcement && (!own.Complete() || own.laterThan(received.Positions))) {
		answer = &message{From: m.self, Positions: &own}
	}
	if received.Hello {
		answer.Members = m.list(now, received.From.FailureDomain)
	}
	return answer, announce
}

// holds tells whether the member reported complete state within reportedFor.
func (s memberState) holds(now time.Time) bool {
	return s.positions.Complete() && now.Sub(s.reportedAt) < reportedFor
}

// lacks tells whether the member reported incomplete state within reportedFor.
func (s memberState) lacks(now time.Time) bool {
	return !s.reportedAt.IsZero() && !s.positions.Complete() && now.Sub(s.reportedAt) < reportedFor
}

// lacking returns the number of members that reported incomplete state within
// reportedFor.
func (m *membership) lacking(now time.Time) (count int) {
	for _, state := range m.byName {
		if state.lacks(now) {
			count++
		}
	}
	return count
}

// round lists the messages that an instance sends now, and the time until the next
// round.
type round struct {
	// hellos lists members that are asked for their lists and positions.
	hellos []Member
	// seeds tells whether the seeds are asked as well.
	seeds bool
	// announce lists members that are told this instance's positions.
	announce []Member
	wait     time.Duration
}

// nextRound returns the messages that are due. An instance without state asks the seeds
// and the members that may hold some. One with state announces it while it leaves,
// while the store is quiet, or after a member has reported missing state for
// lackingAfter. Both address the members in turn.
func (m *membership) nextRound(now time.Time, own Holdings) round {
	if !own.Positions.Complete() {
		mayHold := func(state memberState) bool { return !state.lacks(now) }
		return round{seeds: true, hellos: m.addressNext(now, maxSearched, mayHold), wait: searchInterval}
	}
	quietAt := own.Heard.Add(storeQuietAfter)
	next := round{wait: max(min(helloInterval, quietAt.Sub(now)), searchInterval)}
	if m.leaving || own.Seeking || now.Before(m.announceUntil) || !now.Before(quietAt) {
		// An instance may restart within reportedFor, so that a member counts as holding
		// state only right after its report.
		mayLack := func(state memberState) bool { return !state.holds(now) || now.Sub(state.reportedAt) >= searchInterval }
		next.announce, next.wait = m.addressNext(now, maxSearched, mayLack), searchInterval
	}
	unmet := func(state memberState) bool {
		return state.session == 0 && now.Sub(state.addressedAt) >= helloInterval && state.member.FailureDomain == m.self.FailureDomain
	}
	if next.hellos = m.addressNext(now, maxGreeted, unmet); len(next.hellos) > 0 {
		next.wait = searchInterval
	}
	if now.Before(m.nextHello) {
		return next
	}
	if member, ok := m.oldestContact(now); ok {
		m.nextHello = now.Add(helloInterval)
		next.hellos = append(next.hellos, member)
	}
	if len(m.peers()) == 0 {
		m.nextHello = now.Add(seedHelloInterval)
		next.seeds, next.wait = true, min(next.wait, seedHelloInterval)
	}
	return next
}

// addressNext returns up to limit members that match, those that were addressed longest
// ago first, and records that they are addressed now.
func (m *membership) addressNext(now time.Time, limit int, match func(memberState) bool) []Member {
	var matching []memberState
	for _, state := range m.byName {
		if match(state) {
			matching = append(matching, state)
		}
	}
	slices.SortFunc(matching, func(a, b memberState) int {
		return cmp.Or(a.addressedAt.Compare(b.addressedAt), cmp.Compare(a.member.Name, b.member.Name))
	})
	var members []Member
	for _, state := range matching[:min(len(matching), limit)] {
		state.addressedAt = now
		m.byName[state.member.Name] = state
		members = append(members, state.member)
	}
	return members
}

// oldestContact returns the member that was heard or addressed longest ago, as far as
// this instance knows, and records that it is addressed now. The member is of another
// failure domain with probability remoteHellos if both kinds are known.
func (m *membership) oldestContact(now time.Time) (Member, bool) {
	var local, remote memberState
	for _, state := range m.byName {
		oldest := &local
		if state.member.FailureDomain != m.self.FailureDomain {
			oldest = &remote
		}
		if oldest.member.Name == "" || cmp.Or(state.lastContact().Compare(oldest.lastContact()), cmp.Compare(state.member.Name, oldest.member.Name)) < 0 {
			*oldest = state
		}
	}
	chosen := local
	if local.member.Name == "" || (remote.member.Name != "" && m.rng.Float64() < remoteHellos) {
		chosen = remote
	}
	if chosen.member.Name == "" {
		return Member{}, false
	}
	chosen.addressedAt = now
	m.byName[chosen.member.Name] = chosen
	return chosen.member, true
}

// lastContact returns the time at which any instance last heard the member, or this one
// addressed it.
func (s memberState) lastContact() time.Time {
	if s.addressedAt.After(s.lastHeard) {
		return s.addressedAt
	}
	return s.lastHeard
}

// stateSources returns the members that reported state of a kind that is later than a
// position, those of the own failure domain first, because bytes between failure domains
// are dear, and of these the ones heard last. Without any, it returns the members that were
// heard but report no positions, because they run an older version.
func (m *membership) stateSources(kind catalog.Kind, newerThan catalog.Position) []Member {
	var reported, unknown []memberState
	for _, state := range m.byName {
		switch {
		case state.positions[kind].Compare(newerThan) > 0:
			reported = append(reported, state)
		case state.session != 0 && state.reportedAt.IsZero():
			unknown = append(unknown, state)
		}
	}
	sources := reported
	if len(sources) == 0 {
		sources = unknown
	}
	other := func(state memberState) int {
		if state.member.FailureDomain == m.self.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortFunc(sources, func(a, b memberState) int { return cmp.Or(cmp.Compare(other(a), other(b)), compareHeard(a, b)) })
	members := make([]Member, 0, len(sources))
	for _, state := range sources {
		members = append(members, state.member)
	}
	return members
}

// forgetPosition removes the position of a kind that a member reported.
func (m *membership) forgetPosition(name string, kind catalog.Kind) {
	if state, known := m.byName[name]; known {
		state.positions[kind] = catalog.Position{}
		m.byName[name] = state
	}
}
