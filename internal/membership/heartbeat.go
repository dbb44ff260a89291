package membership

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// relayAgePenalty is added to the age of a member each time it is relayed in a
// digest. Without it, two instances on a slow path that send each other digests
// of a dead member could keep it alive.
const relayAgePenalty = 100 * time.Millisecond

// maxGoneSilence is the time without news after which a member that is gone and
// not configured gets no more heartbeats, except in the rotation above FullMesh.
const maxGoneSilence = time.Minute

// maxFirstSequence bounds the random first sequence number to a peer. A delayed
// acknowledgement that was meant for an earlier incarnation of this instance must
// not be taken for one of this run, because it would count as a grant. With 27
// bits, a number takes 4 bytes on the wire and equals one of the remembered ones
// with a probability of 1.2e-7.
const maxFirstSequence = 1 << 27

// Tick returns the heartbeats that are due. The daemon calls it every 100 ms.
func (m *Membership) Tick(now time.Time) []action.Action {
	m.detectPause(now)
	m.lastTick = now
	m.updateClusterSize()
	var actions []action.Action
	for _, p := range m.duePeers(now) {
		actions = append(actions, m.heartbeatTo(now, p))
	}
	return actions
}

// Announce returns heartbeats that are due at once instead of at the end of the
// interval, for a change of this instance that others have to learn soon. Up to
// Config.FullMesh instances every member gets one; above, the partners and the
// next round of the rotation.
func (m *Membership) Announce(now time.Time) []action.Action {
	for _, p := range m.peers {
		p.nextSendAt = now
	}
	m.nextRoundAt = now
	return m.Tick(now)
}

// duePeers returns the peers that get a heartbeat now: up to Config.FullMesh
// instances every peer, above that the partners and some others in rotation.
func (m *Membership) duePeers(now time.Time) []*peer {
	if m.clusterSize <= m.cfg.FullMesh {
		return m.dueAmong(now, m.peerNames)
	}
	var partners, others []string
	for _, name := range m.peerNames {
		if m.partners[name] {
			partners = append(partners, name)
		} else if p := m.peers[name]; !p.forgotten && p.Address.IsValid() {
			others = append(others, name)
		}
	}
	due := m.dueAmong(now, partners)
	if now.Before(m.nextRoundAt) || len(others) == 0 {
		return due
	}
	m.nextRoundAt = m.nextSendTime(m.nextRoundAt, now)
	for range min(max(m.cfg.Fanout-len(partners), 1), len(others)) {
		m.rotationIndex = (m.rotationIndex + 1) % len(others)
		due = append(due, m.peers[others[m.rotationIndex]])
	}
	return due
}

// dueAmong returns those of the named peers whose heartbeat is due, and sets the
// time of their next one.
func (m *Membership) dueAmong(now time.Time, names []string) []*peer {
	var due []*peer
	for _, name := range names {
		p := m.peers[name]
		if p.forgotten || !p.Address.IsValid() || now.Before(p.nextSendAt) {
			continue
		}
		if !p.configured && m.state(p, now) == Gone && now.Sub(p.LastHeard) > maxGoneSilence {
			continue
		}
		p.nextSendAt = m.nextSendTime(p.nextSendAt, now)
		due = append(due, p)
	}
	return due
}

// nextSendTime returns the sending time after last. The first one, after the zero
// time, is random within the interval so that instances do not send at the same
// time.
func (m *Membership) nextSendTime(last, now time.Time) time.Time {
	if last.IsZero() {
		return now.Add(time.Duration(m.rng.Int64N(int64(m.cfg.HeartbeatInterval))))
	}
	if next := last.Add(m.cfg.HeartbeatInterval); next.After(now) {
		return next
	}
	return now.Add(m.cfg.HeartbeatInterval)
}

// heartbeatTo returns the next heartbeat to a peer and records its sending time.
func (m *Membership) heartbeatTo(now time.Time, p *peer) action.Action {
	if p.sentSequence == 0 {
		p.sentSequence = uint64(m.rng.Uint32N(maxFirstSequence))
	}
	p.sentSequence++
	p.sentHeartbeats[p.sentSequence%sentHistory] = sentHeartbeat{sequence: p.sentSequence, at: now}
	hb := &pb.Heartbeat{
		Sequence:          p.sentSequence,
		AckedSequence:     m.acknowledge(now, p),
		Revision:          m.revision,
		ConfirmationAgeMs: ageMillis(now, m.confirmedAt),
		Leaving:           m.leaving,
		Ready:             m.ready,
	}
	// Failure domain and address take about 30 bytes; they are left out once the
	// peer has acknowledged them.
	if p.identityAcked == 0 {
		hb.FailureDomain, hb.PeerAddress = m.self.FailureDomain, m.self.Address.String()
		if p.identitySent == 0 {
			p.identitySent = p.sentSequence
		}
	}
	if m.clusterSize > m.cfg.FullMesh {
		hb.Members = m.digests(now, p.Name)
	}
	m.stats.HeartbeatsSent++
	return action.SendPeer{Instance: p.Name, Address: p.Address, Message: &pb.PeerMessage{
		From: m.self.Name, Incarnation: m.self.Incarnation,
		Body: &pb.PeerMessage_Heartbeat{Heartbeat: hb},
	}}
}

// digests returns digests of live members other than the addressee, up to
// Config.DigestBytes. The next call goes on with the first member left out.
func (m *Membership) digests(now time.Time, to string) []*pb.MemberDigest {
	var out []*pb.MemberDigest
	totalBytes := 0
	for i := range m.peerNames {
		p := m.peers[m.peerNames[(m.digestStart+i)%len(m.peerNames)]]
		state := m.state(p, now)
		if p.Name == to || state != Alive && state != Leaving {
			continue
		}
		d := &pb.MemberDigest{
			Name: p.Name, Incarnation: p.Incarnation, FailureDomain: p.FailureDomain,
			PeerAddress: p.Address.String(), Revision: p.Revision,
			AgeMs: ageMillis(now, p.LastHeard.Add(-relayAgePenalty)), Leaving: p.leaving,
		}
		if totalBytes += proto.Size(d); totalBytes > m.cfg.DigestBytes {
			m.digestStart = (m.digestStart + i) % len(m.peerNames)
			break
		}
		out = append(out, d)
	}
	return out
}

// HandleHeartbeat applies a heartbeat of the instance from. A rejected heartbeat
// is only counted in Stats.Rejected and kept in Stats.LastRejected. The result is
// always nil.
func (m *Membership) HandleHeartbeat(now time.Time, from string, incarnation uint64, hb *pb.Heartbeat) []action.Action {
	m.detectPause(now)
	p, reason := m.acceptSender(from, incarnation, hb)
	if reason != 0 {
		m.stats.Rejected[reason]++
		m.stats.LastRejected = &RejectedError{From: from, Incarnation: incarnation, Reason: reason}
		return nil
	}
	m.stats.HeartbeatsReceived++
	if incarnation != p.Incarnation {
		m.resetForIncarnation(p, incarnation)
	}
	sentAt, known := m.applyAck(p, hb.GetAckedSequence())
	if hb.GetSequence() > p.receivedSequence {
		p.receivedSequence, p.receivedAt = hb.GetSequence(), now
		p.leaving, p.Ready = hb.GetLeaving(), hb.GetReady()
		m.updateIdentity(p, hb)
	}
	p.Revision = max(p.Revision, hb.GetRevision())
	// After a pause of this instance, a heartbeat that acknowledges only what was
	// sent before the pause may have waited in the socket and proves nothing.
	if !p.staleSincePause || hb.GetAckedSequence() == 0 || hb.GetAckedSequence() >= p.resumeSequence {
		p.staleSincePause = false
		p.LastHeard, p.lastHeartbeatAt = now, now
		p.delisted = false
	}
	// The confirmation was hb.ConfirmationAgeMs old when the peer sent this
	// heartbeat, which was after sentAt. Counting from sentAt instead of now keeps
	// the confirmation from appearing newer than it is on a slow path.
	if known && hb.GetConfirmationAgeMs() != unknownAge {
		at := sentAt.Add(-time.Duration(hb.GetConfirmationAgeMs()) * time.Millisecond)
		if at.After(p.ConfirmedAt) {
			p.ConfirmedAt, p.ConfirmedRevision = at, hb.GetRevision()
		}
	}
	m.applyDigests(now, hb.GetMembers())
	return nil
}

// acceptSender returns the peer that sent a heartbeat and adds it when it is new.
// It returns the reason when the heartbeat must be rejected, otherwise 0.
func (m *Membership) acceptSender(from string, incarnation uint64, hb *pb.Heartbeat) (*peer, RejectReason) {
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

// updateIdentity records the address and failure domain in a heartbeat, if any.
func (m *Membership) updateIdentity(p *peer, hb *pb.Heartbeat) {
	if address, err := netip.ParseAddrPort(hb.GetPeerAddress()); err == nil {
		p.Address = address
	}
	if hb.GetFailureDomain() != "" {
		p.FailureDomain = hb.GetFailureDomain()
	}
}

// resetForIncarnation clears what belongs to the previous incarnation of a peer.
// The grants to it may still be in use, so the new one gets none before they end.
func (m *Membership) resetForIncarnation(p *peer, incarnation uint64) {
	p.noGrantBefore = p.grantedUntil
	*p = peer{
		Member: Member{
			Name: p.Name, FailureDomain: p.FailureDomain, Address: p.Address, Incarnation: incarnation,
		},
		configured: p.configured, listed: p.listed, delisted: p.delisted,
		nextSendAt: p.nextSendAt, sentSequence: p.sentSequence, grantedUntil: p.grantedUntil, noGrantBefore: p.noGrantBefore,
		staleSincePause: p.staleSincePause, resumeSequence: p.resumeSequence, grantsStopped: p.grantsStopped,
	}
}

// applyDigests records what another instance knows about members. It adds unknown
// ones and ignores digests of an older incarnation or of a forgotten member.
func (m *Membership) applyDigests(now time.Time, digests []*pb.MemberDigest) {
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
			m.resetForIncarnation(p, d.GetIncarnation())
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

// ageMillis returns the time since at in milliseconds, unknownAge for the zero
// time.
func ageMillis(now, at time.Time) uint32 {
	if at.IsZero() {
		return unknownAge
	}
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), int64(unknownAge)-1))
}

// Partners returns the names set by SetPartners, sorted.
func (m *Membership) Partners() []string {
	names := make([]string, 0, len(m.partners))
	for name := range m.partners {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
