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
	// openWaitLimit is how long an OPEN waits for an upstream that may take it. It
	// covers a few rounds of credit requests, or the table change after a failure domain
	// was taken out. Without this wait, an OPEN failed although an upstream was ready
	// within 100 ms.
	openWaitLimit = 400 * time.Millisecond
	// maxPendingOpens bounds the number of waiting OPENs.
	maxPendingOpens = 2048
)

// pendingOpen is an OPEN that waits because no upstream may take it yet.
type pendingOpen struct {
	// service is <team>/<service>.
	service string
	packet  *pb.Packet
	key     flow.Key
	// deadline is when the OPEN is refused.
	deadline time.Time
}

// pendingOpenQueue holds the waiting OPENs: by flow in entries, and by time of arrival
// in arrivalOrder.
type pendingOpenQueue struct {
	entries      map[flow.Key]pendingOpen
	arrivalOrder []flow.Key
	// retrying is true while a waiting OPEN is decided again. If that attempt fails,
	// queueOpen stores the reason in retryDropReason instead of adding a new entry.
	retrying        bool
	retryDropReason placement.DropReason
}

// mayWaitForUpstream reports whether a packet is an OPEN that was dropped for a reason
// that may soon pass.
func mayWaitForUpstream(p *pb.Packet, reason placement.DropReason) bool {
	if p.GetKind() != pb.PacketKind_PACKET_KIND_OPEN {
		return false
	}
	switch reason {
	case placement.DropNoUpstream, placement.DropDomainOut, placement.DropTableNotActive:
		return true
	}
	return false
}

// queueOpen queues an OPEN until an upstream may take it, and requests credits at once.
// A copy of an OPEN that already waits is discarded. If maxPendingOpens OPENs wait, the
// OPEN is refused.
func (node *Node) queueOpen(s *service, p *pb.Packet, key flow.Key, reason placement.DropReason) []action.Action {
	if node.pendingOpens.retrying {
		node.pendingOpens.retryDropReason = reason
		return nil
	}
	if _, ok := node.pendingOpens.entries[key]; ok {
		return nil
	}
	if len(node.pendingOpens.entries) >= maxPendingOpens {
		return node.refuseOpen(s, p, key, reason)
	}
	node.pendingOpens.entries[key] = pendingOpen{service: s.name, packet: p, key: key, deadline: node.now.Add(openWaitLimit)}
	node.pendingOpens.arrivalOrder = append(node.pendingOpens.arrivalOrder, key)
	return node.credits.Tick(node.now, leaseSlotsAdapter{node})
}

// retryPendingOpens decides the waiting OPENs again, oldest first, and refuses those
// that have waited for openWaitLimit.
func (node *Node) retryPendingOpens() []action.Action {
	order := node.pendingOpens.arrivalOrder
	node.pendingOpens.arrivalOrder = nil
	var out []action.Action
	for _, key := range order {
		pending := node.pendingOpens.entries[key]
		delete(node.pendingOpens.entries, key)
		actions, again := node.retryPendingOpen(pending)
		out = append(out, actions...)
		if again {
			node.pendingOpens.entries[key] = pending
			node.pendingOpens.arrivalOrder = append(node.pendingOpens.arrivalOrder, key)
		}
	}
	return out
}

// retryPendingOpen decides one waiting OPEN again. again is true when it has to wait
// further.
func (node *Node) retryPendingOpen(pending pendingOpen) (actions []action.Action, again bool) {
	s := node.services[pending.service]
	if s == nil || s.table == nil {
		return node.refuse(pending.packet, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM), false
	}
	node.pendingOpens.retrying, node.pendingOpens.retryDropReason = true, ""
	actions = node.forward(s, pending.packet, pending.key, 0, 0)
	node.pendingOpens.retrying = false
	switch {
	case node.pendingOpens.retryDropReason == "":
		return actions, false
	case node.now.Before(pending.deadline):
		return actions, true
	}
	return append(actions, node.refuseOpen(s, pending.packet, pending.key, node.pendingOpens.retryDropReason)...), false
}

// refuseOpen refuses an OPEN, or drops it silently when this instance may not send to
// the owner's failure domain or its last platform confirmation is stale. The caller's
// retransmission may then reach an instance that can serve it.
func (node *Node) refuseOpen(s *service, p *pb.Packet, key flow.Key, reason placement.DropReason) []action.Action {
	u := s.upstreams[s.table.Lookup(key.Hash()).Owner]
	switch {
	case reason == placement.DropDomainOut:
		return node.refuse(p, pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT)
	case u != nil && !node.maySendTo(u):
		node.observer.Dropped(DropStale)
		return nil
	case u != nil && !node.credits.Warm(u.name) && node.health.State(u.name) != health.Dead:
		return node.refuse(p, pb.RefusalReason_REFUSAL_REASON_COLD)
	case node.confirmationStale():
		node.observer.Dropped(DropStale)
		return nil
	}
	return node.refuse(p, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM)
}

// confirmationStale reports whether the last platform confirmation is too old to claim
// that a service has no upstream.
func (node *Node) confirmationStale() bool {
	return node.now.Sub(node.sync.ConfirmedAt()) > confirmationStaleAfter
}

// confirmationStaleAfter covers two progress messages of the platform and the heartbeat
// interval by which other instances learn of them.
const confirmationStaleAfter = 3 * time.Second
