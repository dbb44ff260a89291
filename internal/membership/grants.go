package membership

import "time"

// A grant is an acknowledgement of a heartbeat. The holder may act until
// LeaseDuration after it sent the acknowledged heartbeat, by its own clock.
// The granting instance counts from when it received that heartbeat, which is
// later, and adds LeaseMargin for clock rates that differ.

// acknowledge returns the sequence number to acknowledge to a peer, 0 for
// none, and records the grant that this makes.
func (m *Membership) acknowledge(now time.Time, p *peer) uint64 {
	if p.grantStopped || p.received == 0 || now.Before(p.grantsHeld) {
		return 0
	}
	until := p.receivedAt.Add(m.cfg.LeaseDuration + m.cfg.LeaseMargin)
	if until.After(p.granted) {
		p.granted = until
	}
	return p.received
}

// handleAck takes over the grant of an acknowledgement. It returns when the
// acknowledged heartbeat was sent, and false when that is not known.
func (m *Membership) handleAck(p *peer, acked uint64) (time.Time, bool) {
	sent := p.sent[acked%sentRing]
	if acked == 0 || sent.sequence != acked {
		return time.Time{}, false
	}
	if until := sent.at.Add(m.cfg.LeaseDuration); until.After(p.grant) {
		p.grant = until
	}
	if p.identitySent != 0 && acked >= p.identitySent {
		p.identityAcked = acked
	}
	return sent.at, true
}

// GrantUntil tells until when the latest acknowledgement by the current
// incarnation of a member lets this instance act, the zero time for never.
func (m *Membership) GrantUntil(member string) time.Time {
	if p := m.peers[member]; p != nil && !p.forgotten {
		return p.grant
	}
	return time.Time{}
}

// GrantedUntil tells until when any incarnation of a member may act on the
// acknowledgements of this instance, the zero time for never.
func (m *Membership) GrantedUntil(member string) time.Time {
	if p := m.peers[member]; p != nil {
		return p.granted
	}
	return time.Time{}
}

// StopGrants stops or resumes acknowledging heartbeats of a member, whether
// it was heard of or not and whatever incarnation it has. Grants already made
// stay valid until GrantedUntil.
func (m *Membership) StopGrants(member string, stop bool) {
	if member != m.self.Name {
		m.add(Member{Name: member}).grantStopped = stop
	}
}
