package membership

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// hopAge is added to the age of a member each time it is relayed in a
// digest, so that a dead member cannot be kept alive by two instances that
// tell each other about it over a slow path.
const hopAge = 100 * time.Millisecond

// goneSilence is the silence after which a member that is gone and not
// configured gets no more heartbeats.
const goneSilence = time.Minute

// sequenceStart bounds the random first sequence number to a peer. A delayed
// acknowledgement that was meant for an earlier incarnation of this instance
// must not look like one for this run, because that would be a grant. With 27
// bits, a number takes 4 bytes and meets one of the remembered ones with a
// probability of 1.2e-7.
const sequenceStart = 1 << 27

// Tick sends the heartbeats that are due. The daemon calls it every 100 ms.
func (m *Membership) Tick(now time.Time) []action.Action {
	m.notePause(now)
	m.lastTick = now
	m.recount()
	var actions []action.Action
	for _, p := range m.due(now) {
		actions = append(actions, m.send(now, p))
	}
	return actions
}

// Announce sends a heartbeat to every member at once, for a change that the
// others must not learn an interval later.
func (m *Membership) Announce(now time.Time) []action.Action {
	for _, p := range m.peers {
		p.nextSend = now
	}
	m.nextRound = now
	return m.Tick(now)
}

// due returns the peers that get a heartbeat now.
func (m *Membership) due(now time.Time) []*peer {
	if m.size <= m.cfg.FullMesh {
		return m.dueOf(now, m.order)
	}
	var partners, others []string
	for _, name := range m.order {
		if m.partners[name] {
			partners = append(partners, name)
		} else if p := m.peers[name]; !p.forgotten && p.Address.IsValid() {
			others = append(others, name)
		}
	}
	due := m.dueOf(now, partners)
	if now.Before(m.nextRound) || len(others) == 0 {
		return due
	}
	m.nextRound = m.next(m.nextRound, now)
	for range min(max(m.cfg.Fanout-len(partners), 1), len(others)) {
		m.rotation = (m.rotation + 1) % len(others)
		due = append(due, m.peers[others[m.rotation]])
	}
	return due
}

func (m *Membership) dueOf(now time.Time, names []string) []*peer {
	var due []*peer
	for _, name := range names {
		p := m.peers[name]
		if p.forgotten || !p.Address.IsValid() || now.Before(p.nextSend) {
			continue
		}
		if !p.configured && m.state(p, now) == Gone && now.Sub(p.LastHeard) > goneSilence {
			continue
		}
		p.nextSend = m.next(p.nextSend, now)
		due = append(due, p)
	}
	return due
}

// next returns the next sending time; the first one is random within the
// interval so that instances do not send in step.
func (m *Membership) next(last, now time.Time) time.Time {
	if last.IsZero() {
		return now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.HeartbeatInterval))))
	}
	if next := last.Add(m.cfg.HeartbeatInterval); next.After(now) {
		return next
	}
	return now.Add(m.cfg.HeartbeatInterval)
}

func (m *Membership) send(now time.Time, p *peer) action.Action {
	if p.sequence == 0 {
		p.sequence = uint64(m.rng.Uint32N(sequenceStart))
	}
	p.sequence++
	p.sent[p.sequence%sentRing] = sentHeartbeat{sequence: p.sequence, at: now}
	hb := &pb.Heartbeat{
		Sequence:          p.sequence,
		AckedSequence:     m.acknowledge(now, p),
		Revision:          m.revision,
		ConfirmationAgeMs: age(now, m.confirmedAt),
		Leaving:           m.leaving,
		Ready:             m.ready,
	}
	// The identity costs about 30 B; it is left out once the peer has it.
	if p.identityAcked == 0 {
		hb.FailureDomain, hb.PeerAddress = m.self.FailureDomain, m.self.Address.String()
		if p.identitySent == 0 {
			p.identitySent = p.sequence
		}
	}
	if m.size > m.cfg.FullMesh {
		hb.Members = m.digests(now, p.Name)
	}
	m.stats.HeartbeatsSent++
	return action.SendPeer{Instance: p.Name, Address: p.Address, Message: &pb.PeerMessage{
		From: m.self.Name, Incarnation: m.self.Incarnation,
		Body: &pb.PeerMessage_Heartbeat{Heartbeat: hb},
	}}
}

// digests describes other members, in rotation.
func (m *Membership) digests(now time.Time, to string) []*pb.MemberDigest {
	var out []*pb.MemberDigest
	size := 0
	for i := range m.order {
		p := m.peers[m.order[(m.digestNext+i)%len(m.order)]]
		state := m.state(p, now)
		if p.Name == to || state != Alive && state != Leaving {
			continue
		}
		d := &pb.MemberDigest{
			Name: p.Name, Incarnation: p.Incarnation, FailureDomain: p.FailureDomain,
			PeerAddress: p.Address.String(), Revision: p.Revision,
			AgeMs: age(now, p.LastHeard.Add(-hopAge)), Leaving: p.leaving,
		}
		if size += proto.Size(d); size > m.cfg.DigestBytes {
			m.digestNext = (m.digestNext + i) % len(m.order)
			break
		}
		out = append(out, d)
	}
	return out
}

// HandleHeartbeat takes over what a heartbeat says. A rejected heartbeat is
// counted by reason in Stats.
func (m *Membership) HandleHeartbeat(now time.Time, from string, incarnation uint64, hb *pb.Heartbeat) []action.Action {
	m.notePause(now)
	p, reason := m.sender(from, incarnation, hb)
	if reason != 0 {
		m.stats.Rejected[reason]++
		m.stats.LastRejected = &RejectedError{From: from, Incarnation: incarnation, Reason: reason}
		return nil
	}
	m.stats.HeartbeatsReceived++
	if incarnation != p.Incarnation {
		m.newIncarnation(p, incarnation)
	}
	sentAt, known := m.handleAck(p, hb.GetAckedSequence())
	if hb.GetSequence() > p.received {
		p.received, p.receivedAt = hb.GetSequence(), now
		p.leaving, p.Ready = hb.GetLeaving(), hb.GetReady()
		m.takeIdentity(p, hb)
	}
	p.Revision = max(p.Revision, hb.GetRevision())
	// After a pause, a heartbeat that acknowledges nothing sent since then
	// may have waited in the socket.
	if !p.stale || hb.GetAckedSequence() == 0 || hb.GetAckedSequence() >= p.resumeSequence {
		p.stale = false
		p.LastHeard, p.lastDirect = now, now
		p.delisted = false
	}
	// The confirmation was hb.ConfirmationAgeMs old when the peer sent this,
	// which was after sentAt. Counting from sentAt instead of now keeps the
	// confirmation from looking younger than it is on a slow path.
	if known && hb.GetConfirmationAgeMs() != neverConfirmed {
		at := sentAt.Add(-time.Duration(hb.GetConfirmationAgeMs()) * time.Millisecond)
		if at.After(p.ConfirmedAt) {
			p.ConfirmedAt, p.ConfirmedRevision = at, hb.GetRevision()
		}
	}
	m.takeDigests(now, hb.GetMembers())
	return nil
}

func (m *Membership) sender(from string, incarnation uint64, hb *pb.Heartbeat) (*peer, RejectReason) {
	if from == m.self.Name {
		return nil, RejectOwnName
	}
	if from == "" || incarnation == 0 || hb.GetSequence() == 0 {
		return nil, RejectMalformed
	}
	if hb.GetPeerAddress() != "" {
		if _, err := netip.ParseAddrPort(hb.GetPeerAddress()); err != nil {
			return nil, RejectMalformed
		}
	}
	p := m.peers[from]
	switch {
	case p == nil && hb.GetPeerAddress() == "":
		return nil, RejectUnknownSender
	case p == nil:
		return m.add(Member{Name: from}), 0
	case p.forgotten:
		return nil, RejectForgotten
	case incarnation < p.Incarnation:
		return nil, RejectStaleIncarnation
	}
	return p, 0
}

func (m *Membership) takeIdentity(p *peer, hb *pb.Heartbeat) {
	if address, err := netip.ParseAddrPort(hb.GetPeerAddress()); err == nil {
		p.Address = address
	}
	if hb.GetFailureDomain() != "" {
		p.FailureDomain = hb.GetFailureDomain()
	}
}

// newIncarnation resets what belongs to the previous run of a peer. Its
// grants may still be in use, so the new run gets none before they end.
func (m *Membership) newIncarnation(p *peer, incarnation uint64) {
	p.grantsHeld = p.granted
	*p = peer{
		Member: Member{
			Name: p.Name, FailureDomain: p.FailureDomain, Address: p.Address, Incarnation: incarnation,
		},
		configured: p.configured, listed: p.listed, delisted: p.delisted,
		nextSend: p.nextSend, sequence: p.sequence, granted: p.granted, grantsHeld: p.grantsHeld,
		stale: p.stale, resumeSequence: p.resumeSequence, grantStopped: p.grantStopped,
	}
}

func (m *Membership) takeDigests(now time.Time, digests []*pb.MemberDigest) {
	for _, d := range digests {
		address, err := netip.ParseAddrPort(d.GetPeerAddress())
		if err != nil || d.GetName() == "" || d.GetName() == m.self.Name {
			continue
		}
		p := m.add(Member{Name: d.GetName(), FailureDomain: d.GetFailureDomain(), Address: address})
		if p.forgotten || d.GetIncarnation() < p.Incarnation {
			continue
		}
		if d.GetIncarnation() > p.Incarnation {
			m.newIncarnation(p, d.GetIncarnation())
			p.Address, p.FailureDomain = address, d.GetFailureDomain()
		}
		heard := now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond)
		if heard.After(p.LastHeard) {
			p.LastHeard, p.leaving = heard, d.GetLeaving()
			p.delisted = false
		}
		p.Revision = max(p.Revision, d.GetRevision())
	}
}

// age returns the time since at in milliseconds, neverConfirmed for the zero
// time.
func age(now, at time.Time) uint32 {
	if at.IsZero() {
		return neverConfirmed
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), int64(neverConfirmed)-1))
}

// Partners returns the lease partners, sorted.
func (m *Membership) Partners() []string {
	names := make([]string, 0, len(m.partners))
	for name := range m.partners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
