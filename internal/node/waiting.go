package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/placement"
)

const (
	// openWait is how long an OPEN waits for an upstream that may take it:
	// long enough for a few rounds of credit requests or for the table change
	// after a failure domain was taken out. Refused at once, the OPEN was lost
	// although an upstream was ready within 100 ms.
	openWait = 400 * time.Millisecond
	// maxWaiting bounds the OPENs that wait.
	maxWaiting = 2048
)

// waitingOpen is an OPEN that no upstream may take yet.
type waitingOpen struct {
	service  string
	packet   *pb.Packet
	key      flow.Key
	deadline time.Time
}

// openQueue holds waiting OPENs in the order of their arrival.
type openQueue struct {
	entries map[flow.Key]waitingOpen
	order   []flow.Key
	// retrying is set while a waiting OPEN is decided again; refused is the
	// reason for which it has to wait on.
	retrying bool
	refused  placement.DropReason
}

// mayWait tells whether a dropped OPEN may find an upstream soon.
func mayWait(p *pb.Packet, reason placement.DropReason) bool {
	if p.GetKind() != pb.PacketKind_PACKET_KIND_OPEN {
		return false
	}
	switch reason {
	case placement.DropNoUpstream, placement.DropDomainOut, placement.DropNotActive:
		return true
	}
	return false
}

// awaitUpstream keeps an OPEN until an upstream may take it. A copy of an OPEN
// that waits already is dropped.
func (n *Node) awaitUpstream(s *service, p *pb.Packet, key flow.Key, reason placement.DropReason) []action.Action {
	if n.opens.retrying {
		n.opens.refused = reason
		return nil
	}
	if _, ok := n.opens.entries[key]; ok {
		return nil
	}
	if len(n.opens.entries) >= maxWaiting {
		return n.refuseOpen(s, p, key, reason)
	}
	n.opens.entries[key] = waitingOpen{service: s.name, packet: p, key: key, deadline: n.now.Add(openWait)}
	n.opens.order = append(n.opens.order, key)
	return n.credits.Tick(n.now, slotsView{n})
}

// retryOpens decides waiting OPENs again, oldest first, and refuses those that
// waited too long.
func (n *Node) retryOpens() []action.Action {
	order := n.opens.order
	n.opens.order = nil
	var out []action.Action
	for _, key := range order {
		w := n.opens.entries[key]
		delete(n.opens.entries, key)
		actions, again := n.retryOpen(w)
		out = append(out, actions...)
		if again {
			n.opens.entries[key] = w
			n.opens.order = append(n.opens.order, key)
		}
	}
	return out
}

func (n *Node) retryOpen(w waitingOpen) (actions []action.Action, again bool) {
	s := n.services[w.service]
	if s == nil || s.table == nil {
		return n.refuse(w.packet, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM), false
	}
	n.opens.retrying, n.opens.refused = true, ""
	actions = n.forward(s, w.packet, w.key, 0, 0)
	n.opens.retrying = false
	switch {
	case n.opens.refused == "":
		return actions, false
	case n.now.Before(w.deadline):
		return actions, true
	}
	return append(actions, n.refuseOpen(s, w.packet, w.key, n.opens.refused)...), false
}

// refuseOpen refuses an OPEN. An instance that may not send to the owner's
// failure domain, because its view is stale, stays silent instead: the
// caller's retransmission may reach an instance that can.
func (n *Node) refuseOpen(s *service, p *pb.Packet, key flow.Key, reason placement.DropReason) []action.Action {
	u := s.upstreams[s.table.Lookup(key.Hash()).Owner]
	switch {
	case reason == placement.DropDomainOut:
		return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT)
	case u != nil && !n.maySend(u):
		n.observer.Dropped(DropStale)
		return nil
	case u != nil && !n.credits.Warm(u.name) && n.health.State(u.name) != health.Dead:
		return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_COLD)
	case n.stale():
		n.observer.Dropped(DropStale)
		return nil
	}
	return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM)
}

// stale tells whether the platform's last confirmation is too old for a claim
// that a service has no upstream.
func (n *Node) stale() bool { return n.now.Sub(n.sync.ConfirmedAt()) > staleAfter }

// staleAfter is two progress messages of the platform and the interval of
// the heartbeats by which others learn of them.
const staleAfter = 3 * time.Second
