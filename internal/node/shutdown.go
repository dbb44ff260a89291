package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/request"
)

// Shutdown starts a graceful shutdown. The instance decides no new requests and hands
// its lease slots over to their successors, with the records of the requests whose
// copies may still arrive. It keeps redirecting and forwarding packets until
// ShutdownComplete returns true.
func (node *Node) Shutdown(now time.Time) []action.Action {
	node.leaving = true
	node.advanceTime(now)
	node.engine.Drain()
	node.recordLeaseTerms(now)
	// Without this heartbeat, members would learn of the shutdown one heartbeat interval
	// later and might still assign slots to this instance, which could not hand them
	// over as clean.
	out := node.members.Announce(now)
	return node.completePeerMessages(append(out, node.attachRequestRecords(now, node.leases.Release(now))...))
}

// ShutdownComplete reports whether a graceful shutdown was started and neither requests
// in flight nor held lease slots remain.
func (node *Node) ShutdownComplete() bool {
	return node.leaving && node.engine.InFlight() == 0 && node.leases.HeldSlots() == 0
}

// recordLeaseTerms records the current lease terms of this instance, because a slot no
// longer has a term when its handover is announced.
func (node *Node) recordLeaseTerms(now time.Time) {
	for slot := range flow.LeaseSlotCount {
		if term, ok := node.leases.CurrentTerm(slot, now); ok {
			node.lastTerms[uint32(slot)] = term
		}
	}
}

// attachRequestRecords completes the slot handovers among the actions: it adds the
// request records and leaves out the slots whose history this instance does not know.
// Without the records, the new holder would take the announcement for a complete list
// and run copies of those requests again.
func (node *Node) attachRequestRecords(now time.Time, actions []action.Action) []action.Action {
	for _, a := range actions {
		send, ok := a.(action.SendPeer)
		if !ok || send.Message.GetSlotHandover() == nil {
			continue
		}
		terms := map[uint32]request.LeaseTerm{}
		for _, slot := range send.Message.GetSlotHandover().GetSlots() {
			if term, ok := node.termOfCurrentEpoch(slot); ok {
				terms[slot] = request.LeaseTerm{
					Start: term.Start, Until: term.Until, Clean: term.Clean, Previous: node.previousHolders[int(slot)],
				}
			}
		}
		send.Message.Body = &pb.PeerMessage_SlotHandover{SlotHandover: node.engine.EndTerms(now, terms)}
	}
	return actions
}

// termOfCurrentEpoch returns the last lease term for a slot if it belongs to the slot's
// current epoch. After any other term, an instance in between may have decided
// requests.
func (node *Node) termOfCurrentEpoch(slot uint32) (lease.Term, bool) {
	term, ok := node.lastTerms[slot]
	if !ok || int(slot) >= len(node.slotTable.GetSlots()) {
		return lease.Term{}, false
	}
	entry := node.slotTable.GetSlots()[slot]
	return term, entry.GetHolder() == node.self.Name && entry.GetEpoch() == term.Epoch
}
