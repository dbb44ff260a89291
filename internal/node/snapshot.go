package node

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/route"
)

// Snapshot returns the routing of settled buckets for the traffic goroutines, which
// read the time from clock. It is valid for placement.FreezeLimit after the last event,
// and not at all while the tracker is not ready, so it must be renewed at every tick.
// Unchanged parts are shared with the previous snapshot.
func (node *Node) Snapshot(clock func() time.Time) *route.Snapshot {
	node.attributeWork(DutySnapshot)
	snapshot := &route.Snapshot{Now: clock}
	if node.tracker.Ready(node.now, node.view) {
		snapshot.ValidUntil = node.now.Add(placement.FreezeLimit)
	}
	sendable := map[string]bool{}
	next := make(map[netip.AddrPort]route.Service, len(node.serviceByAddress))
	changed := false
	for address, s := range node.serviceByAddress {
		if s.table == nil {
			continue
		}
		before := node.routes[address]
		upstreams, same := node.routeUpstreams(s, before.Upstreams, sendable)
		changed = changed || !same || before.Table != s.table
		next[address] = route.Service{Table: s.table, Upstreams: upstreams}
	}
	if changed || len(next) != len(node.routes) {
		node.routes = next
	}
	snapshot.Services = node.routes
	return snapshot
}

// routeUpstreams returns the routes of a service's upstreams, and true if they equal
// before, which is then returned itself. sendable caches by failure domain whether
// packets may be sent to it.
func (node *Node) routeUpstreams(s *service, before map[string]route.Upstream, sendable map[string]bool) (map[string]route.Upstream, bool) {
	same := len(before) == len(s.upstreamNames)
	node.routeBuffer = node.routeBuffer[:0]
	for _, name := range s.upstreamNames {
		u := s.upstreams[name]
		allowed, known := sendable[u.domain]
		if !known {
			allowed = node.maySendTo(u)
			sendable[u.domain] = allowed
		}
		r := node.routeUpstream(u, allowed)
		old, ok := before[name]
		same = same && ok && old == r
		node.routeBuffer = append(node.routeBuffer, r)
	}
	if same {
		return before, true
	}
	upstreams := make(map[string]route.Upstream, len(s.upstreamNames))
	for i, name := range s.upstreamNames {
		upstreams[name] = node.routeBuffer[i]
	}
	return upstreams, false
}

// routeUpstream returns the route of one upstream. It takes new flows only if it is
// declared, not draining, and warm according to both admission and health.
func (node *Node) routeUpstream(u *upstream, sendable bool) route.Upstream {
	return route.Upstream{
		Address:  u.address,
		Sendable: sendable,
		Open: u.declared && !u.draining && node.credits.Warm(u.name) &&
			node.health.State(u.name) == health.Warm,
	}
}
