package membership

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// sentHistory is the number of sent heartbeats per peer whose sending times are
// kept. The acknowledgement of an older one would grant nothing, because the lease
// duration is 6 heartbeat intervals.
const sentHistory = 16

// sentHeartbeat records when a heartbeat was sent.
type sentHeartbeat struct {
	sequence uint64
	at       time.Time
}

// peer is what this instance knows about another one. Entries are never removed.
type peer struct {
	Member
	// configured is true for a peer from Config.Peers.
	configured bool
	// listed is true while the platform's latest instance list has the peer.
	listed bool
	// delisted is true when the platform's latest list lacks the peer although it
	// was listed before or was silent for longer than Config.SuspectAfter.
	// Being listed or heard of clears it.
	delisted bool
	// leaving is true when the peer last reported that it shuts down.
	leaving bool
	// forgotten is true from Forget to Unforget.
	forgotten bool
	// lastHeartbeatAt is when the latest heartbeat of the peer itself was handled,
	// zero for none.
	lastHeartbeatAt time.Time
	nextSendAt      time.Time

	// The fields up to grantUntil concern heartbeats sent to the peer.
	// sentSequence is the sequence number of the latest one, 0 for none, and
	// sentHeartbeats holds the latest ones, indexed by sequence number modulo
	// sentHistory.
	sentSequence   uint64
	sentHeartbeats [sentHistory]sentHeartbeat
	// identitySent is the first sequence number that carried failure domain and
	// address to this incarnation of the peer. Every heartbeat carries them until
	// the peer acknowledges one with them, whose number is identityAcked. Both are
	// 0 for none.
	identitySent, identityAcked uint64
	// resumeSequence is the first sequence number after the latest pause of this
	// instance. Heartbeats that acknowledge only earlier ones may have waited in
	// the socket during the pause.
	resumeSequence uint64
	// staleSincePause is true from a pause of this instance until the peer's first
	// heartbeat that cannot have waited in the socket during it.
	staleSincePause bool
	grantUntil      time.Time // end of the grant received from the peer

	// The other fields concern heartbeats received from the peer.
	// receivedSequence is the highest sequence number of its current incarnation.
	receivedSequence uint64
	receivedAt       time.Time
	grantedUntil     time.Time // end of the grant given to any incarnation of the peer
	noGrantBefore    time.Time // end of the grants given to earlier incarnations
	grantsStopped    bool      // set by StopGrants
}

// Membership tracks the other instances by their heartbeats, by digests that
// members relay and by the platform's instance list. It is not safe for
// concurrent use.
type Membership struct {
	cfg   Config
	self  Member
	rng   *rand.Rand
	peers map[string]*peer
	// peerNames holds the keys of peers, sorted, so that runs with the same seed
	// give the same output.
	peerNames   []string
	partners    map[string]bool
	clusterSize int // instances that may be alive, this one included
	// rotationIndex is the index of the peer that got the latest heartbeat of the
	// rotation, among the peers that are no partners; nextRoundAt is when the next
	// ones are due.
	rotationIndex int
	nextRoundAt   time.Time
	// digestStart is the index in peerNames at which the next digests start.
	digestStart int
	lastTick    time.Time // latest Tick or detected pause, zero for none
	// The next four fields are reported by the heartbeats of this instance;
	// SetLocal sets them.
	revision    uint64
	confirmedAt time.Time
	ready       bool
	leaving     bool
	stats       Stats
}

// New returns a membership with the configured peers, all of them still unheard
// of. The incarnation of self has to be higher than that of every earlier run
// under the same name, for example the start time in nanoseconds.
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

// add returns the peer of that name and creates it when it is not known.
func (m *Membership) add(member Member) *peer {
	if p := m.peers[member.Name]; p != nil {
		return p
	}
	p := &peer{Member: Member{
		Name: member.Name, FailureDomain: member.FailureDomain, Address: member.Address,
	}}
	m.peers[member.Name] = p
	i, _ := slices.BinarySearch(m.peerNames, member.Name)
	m.peerNames = slices.Insert(m.peerNames, i, member.Name)
	return p
}

// SetLocal sets what the heartbeats of this instance report; confirmedAt is the
// time of its last confirmation by the platform, zero for none. Every decision
// package has to have adopted the objects up to revision before this call, because
// peers rely on the revision when they resume grants or activate tables.
func (m *Membership) SetLocal(revision uint64, confirmedAt time.Time, ready, leaving bool) {
	m.revision, m.confirmedAt, m.ready, m.leaving = revision, confirmedAt, ready, leaving
}

// SetPartners sets the names of the holders and successors that share a lease slot
// with this instance. They get a heartbeat in every interval, however many
// instances there are.
func (m *Membership) SetPartners(names []string) {
	clear(m.partners)
	for _, name := range names {
		m.partners[name] = true
	}
}

// HandleInstanceList applies the platform's list of instances, which lags behind.
// Names that are not known are added. A member that is missing from the list is
// Gone once it is silent as well. Entries without a valid address are ignored.
func (m *Membership) HandleInstanceList(now time.Time, list []*pb.InstanceInfo) {
	m.detectPause(now)
	present := make(map[string]bool, len(list))
	for _, info := range list {
		name := info.GetName()
		address, err := netip.ParseAddrPort(info.GetPeerAddress())
		if name == "" || name == m.self.Name || err != nil {
			continue
		}
		present[name] = true
		p := m.add(Member{Name: name, FailureDomain: info.GetFailureDomain(), Address: address})
		if p.lastHeartbeatAt.IsZero() {
			// No heartbeat of the member has confirmed its address.
			p.FailureDomain, p.Address = info.GetFailureDomain(), address
		}
		p.listed, p.delisted = true, false
	}
	for _, name := range m.peerNames {
		if p := m.peers[name]; !present[name] {
			// A member that was never listed may have started after the list was
			// made.
			p.delisted = p.delisted || p.listed || !p.LastHeard.IsZero() && now.Sub(p.LastHeard) > m.cfg.SuspectAfter
			p.listed = false
		}
	}
}

// Forget records that an operator declared an instance gone for good. Its
// heartbeats are rejected until Unforget.
func (m *Membership) Forget(name string) {
	if name == m.self.Name {
		return
	}
	m.add(Member{Name: name}).forgotten = true
}

// Unforget reverts Forget, so that an instance can use the name again.
func (m *Membership) Unforget(name string) {
	if p := m.peers[name]; p != nil {
		p.forgotten = false
	}
}

// Stats returns a copy of the counters.
func (m *Membership) Stats() Stats {
	s := m.stats
	s.Rejected = maps.Clone(m.stats.Rejected)
	return s
}

// View returns a snapshot of the members at now.
func (m *Membership) View(now time.Time) *View {
	m.detectPause(now)
	m.updateClusterSize()
	self := m.self
	self.State, self.Revision, self.LastHeard, self.Ready = Alive, m.revision, now, m.ready
	self.ConfirmedAt = m.confirmedAt
	if m.leaving {
		self.State = Leaving
	}
	v := &View{Self: self, Members: make([]Member, 0, len(m.peerNames)+1)}
	selfAdded := false
	for _, name := range m.peerNames {
		if !selfAdded && name > self.Name {
			v.Members, selfAdded = append(v.Members, self), true
		}
		p := m.peers[name]
		member := p.Member
		member.State = m.state(p, now)
		if member.State != Gone {
			v.Members = append(v.Members, member)
		}
	}
	if !selfAdded {
		v.Members = append(v.Members, self)
	}
	return v
}

// state returns the state of a peer at now. A peer that was not heard of since a
// pause of this instance is Suspect, and Gone only when it is forgotten.
func (m *Membership) state(p *peer, now time.Time) State {
	silent := p.staleSincePause || p.LastHeard.IsZero() || now.Sub(p.LastHeard) >= m.suspectAfter(p)
	switch {
	case p.forgotten, silent && p.delisted && !p.staleSincePause:
		return Gone
	case silent:
		return Suspect
	case p.leaving:
		return Leaving
	}
	return Alive
}

// suspectAfter returns the silence after which a peer is suspect. A peer that
// sends heartbeats to this instance only in rotation gets one full rotation more.
func (m *Membership) suspectAfter(p *peer) time.Duration {
	instances := m.clusterSize
	if instances <= m.cfg.FullMesh || m.partners[p.Name] {
		return m.cfg.SuspectAfter
	}
	rounds := (instances + m.cfg.Fanout - 1) / m.cfg.Fanout
	return m.cfg.SuspectAfter + time.Duration(rounds)*m.cfg.HeartbeatInterval
}

// updateClusterSize counts the instances that may be alive, this one included.
func (m *Membership) updateClusterSize() {
	m.clusterSize = 1
	for _, p := range m.peers {
		if !p.forgotten && !p.delisted {
			m.clusterSize++
		}
	}
}

// detectPause marks every peer as stale when this instance did not run for longer
// than Config.SuspectAfter, for example after SIGSTOP. Every function that receives
// the time and uses what is known of peers calls it, because messages may be
// handled before the first Tick after the pause.
func (m *Membership) detectPause(now time.Time) {
	if m.lastTick.IsZero() || now.Sub(m.lastTick) <= m.cfg.SuspectAfter {
		return
	}
	m.lastTick = now
	m.stats.Pauses++
	for _, p := range m.peers {
		p.staleSincePause = true
		p.resumeSequence = p.sentSequence + 1
		p.nextSendAt = now
	}
}
