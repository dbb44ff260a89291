package placement

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flow"
)

// heldPacket is a packet that waits for synchronization, for activation or, if
// upstream is set, for the acknowledgement of the backup tracker.
type heldPacket struct {
	packet   Packet
	table    *Table
	upstream string
	deadline time.Time
}

// holdLimit returns how long to hold a packet. A held OPEN must expire before the
// caller sends its next copy, which another instance may place on another upstream.
// This does not apply when the flows of the previous upstream are given up anyway.
func holdLimit(p Packet, d Decision) time.Duration {
	switch {
	case d.untilActive:
		return ActivationLimit
	case isOpen(p.Kind):
		return OpenHoldLimit
	}
	return HoldLimit
}

func (tracker *Tracker) holdPacket(p Packet, tbl *Table, upstream string, deadline time.Time) Decision {
	if len(tracker.held) >= tracker.cfg.MaxHeld {
		return dropDecision(DropHeldPacketsFull)
	}
	tracker.nextTicket++
	tracker.held[tracker.nextTicket] = &heldPacket{packet: p, table: tbl, upstream: upstream, deadline: deadline}
	return Decision{Verdict: Hold, Ticket: tracker.nextTicket}
}

// retryHeld decides held packets again and drops those past their deadline. An OPEN
// that waits for the backup tracker is forwarded at its deadline.
func (tracker *Tracker) retryHeld(now time.Time) []Release {
	tickets := make([]uint64, 0, len(tracker.held))
	for ticket := range tracker.held {
		tickets = append(tickets, ticket)
	}
	slices.Sort(tickets)
	var out []Release
	for _, ticket := range tickets {
		h := tracker.held[ticket]
		expired := !now.Before(h.deadline)
		if h.upstream != "" {
			if expired {
				tracker.stats.Unreplicated++
				out = append(out, tracker.releaseOpen(ticket))
			}
			continue
		}
		tbl := h.table
		if s := tracker.services[tbl.service]; s != nil && s.table != nil && s.table.change > tbl.change {
			tbl = s.table
		}
		delete(tracker.held, ticket)
		d := tracker.decidePacket(now, h.packet, tbl)
		switch {
		case d.Verdict != Hold:
			out = append(out, Release{Ticket: ticket, Decision: d})
		case d.Ticket != 0:
			// The OPEN now waits for the backup tracker; it keeps its first ticket.
			tracker.moveTicket(d.Ticket, ticket)
		case expired:
			out = append(out, Release{Ticket: ticket, Decision: dropDecision(DropNotSynchronized)})
		default:
			h.table = tbl
			tracker.held[ticket] = h
		}
	}
	return out
}

// releaseOpen releases an OPEN that was held for the backup tracker. It is
// forwarded, or dropped if the failure domain of its upstream was taken out
// meanwhile.
func (tracker *Tracker) releaseOpen(ticket uint64) Release {
	h := tracker.held[ticket]
	delete(tracker.held, ticket)
	if s := tracker.services[h.table.service]; s != nil {
		hash := h.packet.Key.Hash()
		if b := s.buckets[flow.Bucket(hash)]; b != nil {
			if e, ok := b.flows[flow.Fingerprint(hash)]; ok {
				e.flags &^= flagPending
				b.flows[flow.Fingerprint(hash)] = e
			}
		}
	}
	if tracker.cfg.Status(h.table.service, h.upstream) == StatusTakenOut {
		return Release{Ticket: ticket, Decision: dropDecision(DropDomainOut)}
	}
	return Release{Ticket: ticket, Decision: forwardDecision(h.upstream)}
}

// moveTicket moves the held packet of one ticket to another ticket.
func (tracker *Tracker) moveTicket(from, to uint64) {
	h := tracker.held[from]
	if h == nil {
		return
	}
	delete(tracker.held, from)
	tracker.held[to] = h
	for i := range tracker.replicator.pending {
		if tracker.replicator.pending[i].ticket == from {
			tracker.replicator.pending[i].ticket = to
		}
	}
}
