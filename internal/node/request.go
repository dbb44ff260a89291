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

// decideRequest passes a request to the engine with what is known of its
// flow.
func (n *Node) decideRequest(s *service, p *pb.Packet, key flow.Key, hops uint32) []action.Action {
	return n.route(n.engine.HandleRequest(n.now, p, n.routeOf(s, key, hops)))
}

// cancelRequest cancels a request here and, if another instance decides the
// flow's requests, there as well.
func (n *Node) cancelRequest(s *service, p *pb.Packet, key flow.Key, hops uint32) []action.Action {
	route := n.routeOf(s, key, hops)
	out := n.route(n.engine.HandleCancel(n.now, p))
	if !route.HoldsSlot && route.Holder != "" && hops < placement.MaxHops {
		out = append(out, n.redirect(route.Holder, p, hops+1)...)
	}
	return out
}

func (n *Node) routeOf(s *service, key flow.Key, hops uint32) request.Route {
	slot := flow.Slot(key.Hash())
	route := request.Route{
		Team: s.team, Service: s.name, MaxTimeout: s.declared.MaxRequestTimeout(),
		Revision: n.sync.Revision(), Hops: hops, Availability: n.availability(s, key),
	}
	if tenure, ok := n.leases.Tenure(slot, n.now); ok {
		route.HoldsSlot = true
		route.Tenure = request.SlotTenure{
			Start: tenure.Start, Until: tenure.Until, Clean: tenure.Clean, Previous: n.predecessors[slot],
		}
		return route
	}
	route.Holder = n.leases.Holder(slot)
	if route.Holder == n.self.Name {
		// This instance is the holder without a grant: nobody may decide.
		route.Holder = ""
	}
	if member, ok := n.view.Member(route.Holder); ok {
		route.HolderAddress = member.Address
	} else {
		route.Holder = ""
	}
	return route
}

// availability looks at the flow's upstream by the table; the tracker of a
// bucket in transition may know better, so such a flow counts as available.
func (n *Node) availability(s *service, key flow.Key) request.Availability {
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
	case n.domains.Out(u.domain):
		return request.DomainOut
	case n.health.State(u.name) == health.Dead:
		return request.UpstreamDead
	}
	return request.Available
}

// route replaces Forward actions by the routing of their flow.
func (n *Node) route(actions []action.Action) []action.Action {
	out := make([]action.Action, 0, len(actions))
	for _, a := range actions {
		f, ok := a.(action.Forward)
		if !ok {
			out = append(out, a)
			continue
		}
		key, err := flow.ParseKey(f.Packet.GetCaller(), f.Packet.GetService(), f.Packet.GetFlowId())
		if err != nil {
			n.observer.Dropped(DropMalformed)
			continue
		}
		if s := n.byAddress[key.Service]; s != nil {
			out = append(out, n.forward(s, f.Packet, key, 0, 0)...)
		} else {
			n.observer.Dropped(DropUnknownService)
		}
	}
	return out
}

// HandleUpstream takes a packet that came from the address of an upstream.
func (n *Node) HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	return n.stamp(n.handleUpstream(now, p, source))
}

func (n *Node) handleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	n.turn(dutyOfPacket(p))
	n.advancePacket(now)
	u := n.byUpstream[source]
	if u == nil {
		n.observer.Dropped(DropUnknownSource)
		return nil
	}
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		n.observer.Dropped(DropMalformed)
		return nil
	}
	n.observeBoot(now, u.name, p.GetBootId())
	n.observeSignal(now, u.name, signalOf(p))
	n.credits.Answered(u.name, key.Hash())
	n.noteOpen(now, u.name, p)
	if p.GetRequestId() != 0 && p.GetAttempt() != 0 {
		return n.route(n.engine.HandleAnswer(now, p))
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW && n.mayBeElsewhere(key) {
		n.observer.Dropped(DropUnknownFlow)
		return nil
	}
	return []action.Action{action.SendCaller{Packet: p}}
}

// noteOpen tells admission how an upstream answered an OPEN.
func (n *Node) noteOpen(now time.Time, name string, p *pb.Packet) {
	switch {
	case p.GetKind() == pb.PacketKind_PACKET_KIND_OPENED:
		n.credits.Opened(name)
	case p.GetRequestId() == 0 && signalOf(p) == health.SignalShed:
		n.credits.Shed(now, name)
	}
}

func signalOf(p *pb.Packet) health.Signal {
	if p.GetKind() == pb.PacketKind_PACKET_KIND_REFUSAL && p.GetRefusal() == pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED {
		return health.SignalShed
	}
	return health.SignalAnswered
}

// mayBeElsewhere tells whether a flow that an upstream does not know may be on
// another one, so that a reset would break it.
func (n *Node) mayBeElsewhere(key flow.Key) bool {
	s := n.byAddress[key.Service]
	if s == nil || s.table == nil {
		return false
	}
	return s.table.Lookup(key.Hash()).InTransition || n.stale() || !n.tracker.Ready(n.now, n.view)
}

// slotsView shows the lease slots to admission.
type slotsView struct{ n *Node }

func upstreamSlot(name string) int { return int(flow.NameHash(name) % flow.LeaseSlotCount) }

// Holder implements admission.Slots. Without a live holder it names an
// instance that may know whether the upstream is warm.
func (v slotsView) Holder(upstream string) (string, netip.AddrPort) {
	holder := v.n.leases.Holder(upstreamSlot(upstream))
	if member, ok := v.n.view.Member(holder); ok && member.State == membership.Alive {
		return holder, member.Address
	}
	// Nobody may grant credits; another instance may know the upstream as
	// warm.
	for _, m := range v.n.view.Rank(flow.NameHash(upstream)) {
		if m.Name != v.n.self.Name && m.Ready {
			return m.Name, m.Address
		}
	}
	return "", netip.AddrPort{}
}

// Tenure implements admission.Slots.
func (v slotsView) Tenure(upstream string, now time.Time) (admission.Tenure, bool) {
	tenure, ok := v.n.leases.Tenure(upstreamSlot(upstream), now)
	return admission.Tenure{Start: tenure.Start, Until: tenure.Until}, ok
}
