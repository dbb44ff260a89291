package node

import (
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/admission"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/request"
)

// decideRequest passes a request to the engine together with the route of its flow.
func (node *Node) decideRequest(s *service, p *pb.Packet, key flow.Key, hops uint32) []action.Action {
	return node.resolveForwards(node.engine.HandleRequest(node.now, p, node.requestRoute(s, key, hops)))
}

// cancelRequest cancels a request on this instance and also redirects the cancellation
// to the holder of the flow's lease slot if that is another instance.
func (node *Node) cancelRequest(s *service, p *pb.Packet, key flow.Key, hops uint32) []action.Action {
	route := node.requestRoute(s, key, hops)
	out := node.resolveForwards(node.engine.HandleCancel(node.now, p))
	if !route.HoldsSlot && route.Holder != "" && hops < placement.MaxHops {
		out = append(out, node.redirect(route.Holder, p, hops+1)...)
	}
	return out
}

// requestRoute returns what the request engine needs to know about a flow: the limits of
// its service, the availability of its upstream, and either the lease term of this
// instance for the flow's slot or the instance that holds the slot. Holder is empty when
// no known instance may decide.
func (node *Node) requestRoute(s *service, key flow.Key, hops uint32) request.Route {
	slot := flow.Slot(key.Hash())
	route := request.Route{
		Team: s.team, Service: s.name, MaxTimeout: s.declared.MaxRequestTimeout(),
		Revision: node.sync.Revision(), Hops: hops, Availability: node.upstreamAvailability(s, key),
	}
	if term, ok := node.leases.CurrentTerm(slot, node.now); ok {
		route.HoldsSlot = true
		route.Term = request.LeaseTerm{
			Start: term.Start, Until: term.Until, Clean: term.Clean, Previous: node.previousHolders[slot],
		}
		return route
	}
	route.Holder = node.leases.Holder(slot)
	if route.Holder == node.self.Name {
		// This instance is the recorded holder but its lease is not granted, so no
		// instance may decide requests of the slot.
		route.Holder = ""
	}
	if member, ok := node.view.Member(route.Holder); ok {
		route.HolderAddress = member.Address
	} else {
		route.Holder = ""
	}
	return route
}

// upstreamAvailability returns the availability of the flow's upstream according to the
// placement table. A flow in a bucket in transition counts as available, because the
// tracker may have it on another upstream than the table.
func (node *Node) upstreamAvailability(s *service, key flow.Key) request.Availability {
	if s.table == nil {
		return request.UpstreamDead
	}
	place := s.table.Lookup(key.Hash())
	u := s.upstreams[place.Owner]
	switch {
	case place.InTransition:
		return request.Available
	case u == nil:
		return request.UpstreamDead
	case node.domains.IsTakenOut(u.domain):
		return request.DomainOut
	case node.health.State(u.name) == health.Dead:
		return request.UpstreamDead
	}
	return request.Available
}

// resolveForwards replaces each Forward action by the actions that send its packet
// along the flow.
func (node *Node) resolveForwards(actions []action.Action) []action.Action {
	out := make([]action.Action, 0, len(actions))
	for _, a := range actions {
		f, ok := a.(action.Forward)
		if !ok {
			out = append(out, a)
			continue
		}
		key, err := flow.ParseKey(f.Packet.GetCaller(), f.Packet.GetService(), f.Packet.GetFlowId())
		if err != nil {
			node.observer.Dropped(DropMalformed)
			continue
		}
		if s := node.serviceByAddress[key.Service]; s != nil {
			out = append(out, node.forward(s, f.Packet, key, 0, 0)...)
		} else {
			node.observer.Dropped(DropUnknownService)
		}
	}
	return out
}

// HandleUpstream processes a packet received from source. Packets whose source is not
// the address of a known upstream are dropped and counted.
func (node *Node) HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	return node.completePeerMessages(node.handleUpstream(now, p, source))
}

func (node *Node) handleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	node.attributeWork(workCategoryOfPacket(p))
	node.advanceTimeReusingView(now)
	u := node.upstreamByAddress[source]
	if u == nil {
		node.observer.Dropped(DropUnknownUpstreamAddress)
		return nil
	}
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		node.observer.Dropped(DropMalformed)
		return nil
	}
	node.observeBootID(now, u.name, p.GetBootId())
	node.observeSignal(now, u.name, healthSignal(p))
	node.credits.RecordAnswer(u.name, key.Hash())
	node.reportOpenResult(now, u.name, p)
	if p.GetRequestId() != 0 && p.GetAttempt() != 0 {
		return node.resolveForwards(node.engine.HandleAnswer(now, p))
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW && node.mayBelongToOtherUpstream(key) {
		node.observer.Dropped(DropUnknownFlow)
		return nil
	}
	return []action.Action{action.SendCaller{Packet: p}}
}

// reportOpenResult tells admission whether an upstream accepted or shed an OPEN. Other
// packets are ignored.
func (node *Node) reportOpenResult(now time.Time, name string, p *pb.Packet) {
	switch {
	case p.GetKind() == pb.PacketKind_PACKET_KIND_OPENED:
		node.credits.RecordAccepted(name)
	case p.GetRequestId() == 0 && healthSignal(p) == health.SignalShed:
		node.credits.RecordShed(now, name)
	}
}

// healthSignal returns the signal that an upstream's packet gives about its health.
func healthSignal(p *pb.Packet) health.Signal {
	if p.GetKind() == pb.PacketKind_PACKET_KIND_REFUSAL && p.GetRefusal() == pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED {
		return health.SignalShed
	}
	return health.SignalAnswered
}

// mayBelongToOtherUpstream reports whether a flow that one upstream does not know may
// exist on another one, in which case a reset would break it. This is so while its
// bucket is in transition, the last platform confirmation is stale, or the tracker is
// not ready.
func (node *Node) mayBelongToOtherUpstream(key flow.Key) bool {
	s := node.serviceByAddress[key.Service]
	if s == nil || s.table == nil {
		return false
	}
	return s.table.Lookup(key.Hash()).InTransition || node.confirmationStale() || !node.tracker.Ready(node.now, node.view)
}

// leaseSlotsAdapter implements admission.Slots with the lease slots of a node.
type leaseSlotsAdapter struct{ node *Node }

// leaseSlotOfUpstream returns the lease slot whose holder grants credits for an upstream.
func leaseSlotOfUpstream(name string) int { return int(flow.NameHash(name) % flow.LeaseSlotCount) }

// RequestTarget implements admission.Slots. It returns the holder of the upstream's lease slot
// if that member is alive, otherwise another ready instance, and "" if there is none.
func (adapter leaseSlotsAdapter) RequestTarget(upstream string) (string, netip.AddrPort) {
	holder := adapter.node.leases.Holder(leaseSlotOfUpstream(upstream))
	if member, ok := adapter.node.view.Member(holder); ok && member.State == membership.Alive {
		return holder, member.Address
	}
	// Without a live holder no instance may grant credits, but another instance may know
	// that the upstream is warm.
	for _, m := range adapter.node.view.Rank(flow.NameHash(upstream)) {
		if m.Name != adapter.node.self.Name && m.Ready {
			return m.Name, m.Address
		}
	}
	return "", netip.AddrPort{}
}

// Term implements admission.Slots.
func (adapter leaseSlotsAdapter) Term(upstream string, now time.Time) (admission.LeaseTerm, bool) {
	term, ok := adapter.node.leases.CurrentTerm(leaseSlotOfUpstream(upstream), now)
	return admission.LeaseTerm{Start: term.Start, Until: term.Until}, ok
}
