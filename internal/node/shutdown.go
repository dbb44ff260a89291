package node

import (
	"maps"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/request"
)

// Shutdown starts a graceful shutdown: no new requests are decided, the lease
// slots go to their successors with the requests that count, and packets are
// still passed on until Done.
func (n *Node) Shutdown(now time.Time) []action.Action {
	n.leaving = true
	n.advance(now)
	n.engine.Drain()
	var out []action.Action
	bySuccessor := n.tenuresBySuccessor(now)
	for _, successor := range slices.Sorted(maps.Keys(bySuccessor)) {
		tenures := bySuccessor[successor]
		member, ok := n.view.Member(successor)
		if !ok {
			continue
		}
		out = append(out, action.SendPeer{
			Instance: successor, Address: member.Address,
			Message: &pb.PeerMessage{
				From: n.self.Name, Incarnation: n.self.Incarnation,
				Body: &pb.PeerMessage_SlotHandover{SlotHandover: n.engine.Handover(now, tenures)},
			},
		})
	}
	return n.stamp(append(out, n.leases.Release(now)...))
}

// Done tells whether a graceful shutdown has nothing left to wait for.
func (n *Node) Done() bool { return n.leaving && n.engine.InFlight() == 0 && n.leases.Held() == 0 }

func (n *Node) tenuresBySuccessor(now time.Time) map[string]map[uint32]request.Tenure {
	out := map[string]map[uint32]request.Tenure{}
	for slot := range flow.LeaseSlots {
		tenure, ok := n.leases.Tenure(slot, now)
		if !ok || slot >= len(n.slots.GetSlots()) {
			continue
		}
		successor := n.slots.GetSlots()[slot].GetSuccessor()
		if out[successor] == nil {
			out[successor] = map[uint32]request.Tenure{}
		}
		out[successor][uint32(slot)] = request.Tenure{
			Start: tenure.Start, Until: tenure.Until, Clean: tenure.Clean, Previous: n.predecessors[slot],
		}
	}
	return out
}
