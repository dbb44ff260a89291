package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

const (
	// creditWait is how long an OPEN waits for a credit: a few rounds of
	// requests, and less than the time after which callers retransmit. Without
	// the wait, an OPEN was refused before its credit could arrive and the
	// credit expired unused.
	creditWait = 400 * time.Millisecond
	// maxAwaiting bounds the OPENs that wait for a credit.
	maxAwaiting = 2048
)

// awaitingOpen waits for a credit of a cold upstream.
type awaitingOpen struct {
	service  string
	packet   *pb.Packet
	key      flow.Key
	deadline time.Time
}

// awaitCredit keeps an OPEN whose upstream is cold until a credit arrives. A
// copy of an OPEN that waits already is dropped.
func (n *Node) awaitCredit(s *service, p *pb.Packet, key flow.Key) []action.Action {
	if _, ok := n.awaiting[key]; ok {
		return nil
	}
	if n.retryingOpens {
		// decided again by retryOpens, which keeps the deadline.
		n.stillCold = true
		return nil
	}
	if len(n.awaiting) >= maxAwaiting {
		return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_COLD)
	}
	n.awaiting[key] = awaitingOpen{service: s.name, packet: p, key: key, deadline: n.now.Add(creditWait)}
	n.awaitOrder = append(n.awaitOrder, key)
	return n.credits.Tick(n.now, slotsView{n})
}

// retryOpens decides waiting OPENs again, oldest first, and refuses those that
// waited too long.
func (n *Node) retryOpens() []action.Action {
	if len(n.awaitOrder) == 0 {
		return nil
	}
	order := n.awaitOrder
	n.awaitOrder = nil
	var out []action.Action
	for _, key := range order {
		w := n.awaiting[key]
		delete(n.awaiting, key)
		actions, again := n.retryOpen(w)
		out = append(out, actions...)
		if again {
			n.awaiting[key] = w
			n.awaitOrder = append(n.awaitOrder, key)
		}
	}
	return out
}

func (n *Node) retryOpen(w awaitingOpen) (actions []action.Action, again bool) {
	s := n.services[w.service]
	if s == nil || s.table == nil {
		return n.refuse(w.packet, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM), false
	}
	n.retryingOpens, n.stillCold = true, false
	actions = n.forward(s, w.packet, w.key, 0, 0)
	n.retryingOpens = false
	if n.stillCold && !n.now.Before(w.deadline) {
		return n.refuse(w.packet, pb.RefusalReason_REFUSAL_REASON_COLD), false
	}
	return actions, n.stillCold
}
