package membership

import (
	"time"

	"github.com/chivemast/chivemast/internal/position"
)

// A grant is the acknowledgement of a heartbeat. The sender of that heartbeat,
// which receives the grant, may act on it until LeaseDuration after sending, by
// its own clock. The granting instance counts from when it received the
// heartbeat, which is later, and adds LeaseMargin for clock rates that differ, so
// a grant never lasts longer at its receiver than at the granting instance.

// acknowledge returns the sequence number to acknowledge to a peer and records
// the grant that the acknowledgement is. It returns 0, which grants nothing, when
// grants to the peer are stopped, when no heartbeat was received from its current
// incarnation, while a grant to an earlier incarnation may be in use, and while the peer
// reports a revision of an earlier era of the platform: in the era of this instance,
// another one may have its lease slots.
func (m *Membership) acknowledge(now time.Time, p *peer) uint64 {
	if p.grantsStopped || p.receivedSequence == 0 || now.Before(p.noGrantBefore) || position.Era(p.Revision) < position.Era(m.revision) {
		return 0
	}
	until := p.receivedAt.Add(m.cfg.LeaseDuration + m.cfg.LeaseMargin)
	if until.After(p.grantedUntil) {
		p.grantedUntil = until
	}
	return p.receivedSequence
}

// applyAck extends the grant received from a peer by its acknowledgement of
// sequence number acked. It returns when the acknowledged heartbeat was sent, and
// false when it is not among the last sentHistory heartbeats to that peer.
func (m *Membership) applyAck(p *peer, acked uint64) (time.Time, bool) {
	sent := p.sentHeartbeats[acked%sentHistory]
	if acked == 0 || sent.sequence != acked {
		return time.Time{}, false
	}
	if until := sent.at.Add(m.cfg.LeaseDuration); until.After(p.grantUntil) {
		p.grantUntil = until
	}
	if p.identitySent != 0 && acked >= p.identitySent {
		p.identityAcked = acked
	}
	return sent.at, true
}

// ReceivedGrantUntil returns the end of the grant that this instance received from the
// current incarnation of a member, the zero time for none. Until then this
// instance may act on it. Compare GivenGrantUntil, which is the opposite direction.
func (m *Membership) ReceivedGrantUntil(member string) time.Time {
	if p := m.peers[member]; p != nil && !p.removed {
		return p.grantUntil
	}
	return time.Time{}
}

// GivenGrantUntil returns the latest end of the grants that this instance gave to any
// incarnation of a member, the zero time for none. Until then the member may act
// on them.
func (m *Membership) GivenGrantUntil(member string) time.Time {
	if p := m.peers[member]; p != nil {
		return p.grantedUntil
	}
	return time.Time{}
}

// SetGrantsStopped stops (stop true) or resumes (false) acknowledging the heartbeats of
// a member, whether it is known or not and for every incarnation of it. Grants
// already given stay valid until GivenGrantUntil.
func (m *Membership) SetGrantsStopped(member string, stop bool) {
	if member != m.self.Name {
		m.add(Member{Name: member}).grantsStopped = stop
	}
}
