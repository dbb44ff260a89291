package membership

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// sentRing is the number of sent heartbeats per peer whose sending times are
// kept. An acknowledgement that is older than that grants nothing anyway: the
// lease duration is 6 intervals.
const sentRing = 16

type sentHeartbeat struct {
	sequence uint64
	at       time.Time
}

// peer is what this instance keeps about another one.
type peer struct {
	Member
	configured bool
	listed     bool
	// delisted is true when the platform's list was seen without the member.
	delisted  bool
	leaving   bool
	forgotten bool
	// lastDirect is when the latest heartbeat of the peer itself was handled.
	lastDirect time.Time
	nextSend   time.Time

	// Heartbeats sent to the peer.
	sequence uint64
	sent     [sentRing]sentHeartbeat
	// identitySent is the first sequence number of this run that carried the
	// address; it is repeated until the peer acknowledged one of them.
	identitySent, identityAcked uint64
	// resumeSequence is the first sequence number after a pause of this
	// instance. Heartbeats that acknowledge only earlier ones may have waited
	// in the socket during the pause.
	resumeSequence uint64
	// stale is true from a pause of this instance until the peer is heard of.
	stale bool
	grant time.Time // until when the peer's acknowledgement lets us act

	// Heartbeats received from the peer.
	received     uint64
	receivedAt   time.Time
	granted      time.Time // until when the peer may act on our acknowledgements
	grantsHeld   time.Time // no acknowledgement before: grants of an older incarnation
	grantStopped bool
}

// Membership tracks the other instances by their heartbeats. It is not safe
// for concurrent use.
type Membership struct {
	cfg   Config
	self  Member
	rng   *rand.Rand
	peers map[string]*peer
	// order holds the names of all peers, sorted, for deterministic output.
	order       []string
	partners    map[string]bool
	size        int // see recount
	rotation    int
	nextRound   time.Time
	digestNext  int
	lastTick    time.Time
	revision    uint64
	confirmedAt time.Time
	ready       bool
	leaving     bool
	stats       Stats
}

// New returns a membership that knows the configured peers. The incarnation
// of self has to be higher than that of every earlier run under the same
// name, for example the start time in nanoseconds.
func New(cfg Config, self Member, rng *rand.Rand) *Membership {
	m := &Membership{
		cfg: cfg.withDefaults(), self: self, rng: rng,
		peers: map[string]*peer{}, partners: map[string]bool{},
		stats: Stats{Rejected: map[RejectReason]uint64{}},
	}
	for _, p := range cfg.Peers {
		if p.Name != self.Name {
			m.add(p).configured = true
		}
	}
	return m
}

func (m *Membership) add(member Member) *peer {
	if p := m.peers[member.Name]; p != nil {
		return p
	}
	p := &peer{Member: Member{
		Name: member.Name, FailureDomain: member.FailureDomain, Address: member.Address,
	}}
	m.peers[member.Name] = p
	i, _ := slices.BinarySearch(m.order, member.Name)
	m.order = slices.Insert(m.order, i, member.Name)
	return p
}

// SetLocal sets what the heartbeats of this instance report. Every decision
// package has to have adopted the objects up to revision before this call:
// peers rely on it when they resume grants or activate tables.
func (m *Membership) SetLocal(revision uint64, confirmedAt time.Time, ready, leaving bool) {
	m.revision, m.confirmedAt, m.ready, m.leaving = revision, confirmedAt, ready, leaving
}

// SetPartners names the holders and successors that share a lease slot with
// this instance. They get a heartbeat in every interval at any size.
func (m *Membership) SetPartners(names []string) {
	clear(m.partners)
	for _, name := range names {
		m.partners[name] = true
	}
}

// HandleInstanceList takes over the platform's lagging list: new names are
// added as candidates, and a member that is missing is gone once it is
// silent.
func (m *Membership) HandleInstanceList(now time.Time, list []*pb.InstanceInfo) {
	m.notePause(now)
	present := make(map[string]bool, len(list))
	for _, info := range list {
		name := info.GetName()
		address, err := netip.ParseAddrPort(info.GetPeerAddress())
		if name == "" || name == m.self.Name || err != nil {
			continue
		}
		present[name] = true
		p := m.add(Member{Name: name, FailureDomain: info.GetFailureDomain(), Address: address})
		if p.lastDirect.IsZero() {
			// The member has not told its address itself.
			p.FailureDomain, p.Address = info.GetFailureDomain(), address
		}
		p.listed, p.delisted = true, false
	}
	for _, name := range m.order {
		if p := m.peers[name]; !present[name] {
			// A member that was never listed may be newer than the list.
			p.delisted = p.delisted || p.listed || !p.LastHeard.IsZero() && now.Sub(p.LastHeard) > m.cfg.SuspectAfter
			p.listed = false
		}
	}
}

// Forget records an operator's statement that an instance is gone for good.
// Its heartbeats are rejected from now on.
func (m *Membership) Forget(name string) {
	if name == m.self.Name {
		return
	}
	m.add(Member{Name: name}).forgotten = true
}

// Unforget takes Forget back, so that the name can be used again.
func (m *Membership) Unforget(name string) {
	if p := m.peers[name]; p != nil {
		p.forgotten = false
	}
}

// Stats returns the counters.
func (m *Membership) Stats() Stats {
	s := m.stats
	s.Rejected = maps.Clone(m.stats.Rejected)
	return s
}

// View returns the members as seen at now.
func (m *Membership) View(now time.Time) *View {
	m.notePause(now)
	m.recount()
	self := m.self
	self.State, self.Revision, self.LastHeard, self.Ready = Alive, m.revision, now, m.ready
	self.ConfirmedAt = m.confirmedAt
	if m.leaving {
		self.State = Leaving
	}
	v := &View{Self: self, Members: make([]Member, 0, len(m.order)+1)}
	placed := false
	for _, name := range m.order {
		if !placed && name > self.Name {
			v.Members, placed = append(v.Members, self), true
		}
		p := m.peers[name]
		member := p.Member
		member.State = m.state(p, now)
		if member.State != Gone {
			v.Members = append(v.Members, member)
		}
	}
	if !placed {
		v.Members = append(v.Members, self)
	}
	return v
}

func (m *Membership) state(p *peer, now time.Time) State {
	silent := p.stale || p.LastHeard.IsZero() || now.Sub(p.LastHeard) >= m.suspectAfter(p)
	switch {
	case p.forgotten, silent && p.delisted && !p.stale:
		return Gone
	case silent:
		return Suspect
	case p.leaving:
		return Leaving
	}
	return Alive
}

// suspectAfter is longer for members that send no heartbeat to this instance
// in every interval.
func (m *Membership) suspectAfter(p *peer) time.Duration {
	n := m.size
	if n <= m.cfg.FullMesh || m.partners[p.Name] {
		return m.cfg.SuspectAfter
	}
	rounds := (n + m.cfg.Fanout - 1) / m.cfg.Fanout
	return m.cfg.SuspectAfter + time.Duration(rounds)*m.cfg.HeartbeatInterval
}

// recount counts the instances that may live, this one included.
func (m *Membership) recount() {
	m.size = 1
	for _, p := range m.peers {
		if !p.forgotten && !p.delisted {
			m.size++
		}
	}
}

// notePause marks everything as stale when this instance did not run for
// longer than the suspicion timeout, for example after SIGSTOP. Messages may
// be handled before the first tick after the pause, so every entry point
// calls it.
func (m *Membership) notePause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) <= m.cfg.SuspectAfter {
		return
	}
	m.lastTick = now
	m.stats.Pauses++
	for _, p := range m.peers {
		p.stale = true
		p.resumeSequence = p.sequence + 1
		p.nextSend = now
	}
}
