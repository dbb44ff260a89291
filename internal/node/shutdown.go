package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/request"
)

// Shutdown starts a graceful shutdown: no new requests are decided, the lease
// slots go to their successors with the requests that count, and packets are
// still passed on until Done.
func (n *Node) Shutdown(now time.Time) []action.Action {
	n.leaving = true
	n.advance(now)
	n.engine.Drain()
	n.noteTenures(now)
	// Members that learn of the shutdown a heartbeat later may still give
	// slots to this instance, which could not hand them on as clean.
	out := n.members.Announce(now)
	return n.stamp(append(out, n.withRecords(now, n.leases.Release(now))...))
}

// Done tells whether a graceful shutdown has nothing left to wait for.
func (n *Node) Done() bool { return n.leaving && n.engine.InFlight() == 0 && n.leases.HeldSlots() == 0 }

// noteTenures remembers the tenures of this instance. A slot that is being
// handed over has no tenure any more when it is announced.
func (n *Node) noteTenures(now time.Time) {
	for slot := range flow.LeaseSlotCount {
		if tenure, ok := n.leases.Tenure(slot, now); ok {
			n.tenures[uint32(slot)] = tenure
		}
	}
}

// withRecords completes the handovers that the leases announce: it adds the
// requests that count and removes the slots whose history this instance does
// not know. Without the requests, the new holder would take the announcement
// for a complete list and run copies of them again.
func (n *Node) withRecords(now time.Time, actions []action.Action) []action.Action {
	for _, a := range actions {
		send, ok := a.(action.SendPeer)
		if !ok || send.Message.GetSlotHandover() == nil {
			continue
		}
		tenures := map[uint32]request.SlotTenure{}
		for _, slot := range send.Message.GetSlotHandover().GetSlots() {
			if tenure, ok := n.lastTenure(slot); ok {
				tenures[slot] = request.SlotTenure{
					Start: tenure.Start, Until: tenure.Until, Clean: tenure.Clean, Previous: n.predecessors[int(slot)],
				}
			}
		}
		send.Message.Body = &pb.PeerMessage_SlotHandover{SlotHandover: n.engine.EndTenures(now, tenures)}
	}
	return actions
}

// lastTenure returns the last tenure for a slot if it is of the slot's present
// epoch; of any other, an instance in between may have decided requests.
func (n *Node) lastTenure(slot uint32) (lease.Tenure, bool) {
	tenure, ok := n.tenures[slot]
	if !ok || int(slot) >= len(n.slots.GetSlots()) {
		return lease.Tenure{}, false
	}
	entry := n.slots.GetSlots()[slot]
	return tenure, entry.GetHolder() == n.self.Name && entry.GetEpoch() == tenure.Epoch
}
