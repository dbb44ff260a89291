package node

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/route"
)

// Snapshot returns the routing of settled buckets for traffic goroutines, who
// read the time from clock. It is made at every tick, because the right to
// decide by it expires; what has not changed is shared with the one before.
func (n *Node) Snapshot(clock func() time.Time) *route.Snapshot {
	n.turn(DutySnapshot)
	snapshot := &route.Snapshot{Now: clock}
	if n.tracker.Ready(n.now, n.view) {
		snapshot.ValidUntil = n.now.Add(placement.PauseThreshold)
	}
	sendable := map[string]bool{}
	next := make(map[netip.AddrPort]route.Service, len(n.byAddress))
	changed := false
	for address, s := range n.byAddress {
		if s.table == nil {
			continue
		}
		before := n.routes[address]
		upstreams, same := n.routeUpstreams(s, before.Upstreams, sendable)
		changed = changed || !same || before.Table != s.table
		next[address] = route.Service{Table: s.table, Upstreams: upstreams}
	}
	if changed || len(next) != len(n.routes) {
		n.routes = next
	}
	snapshot.Services = n.routes
	return snapshot
}

// routeUpstreams returns the routes of a service's upstreams: those before if
// they are the same. It notes in sendable which failure domains may receive
// packets.
func (n *Node) routeUpstreams(s *service, before map[string]route.Upstream, sendable map[string]bool) (map[string]route.Upstream, bool) {
	same := len(before) == len(s.order)
	n.routeBuffer = n.routeBuffer[:0]
	for _, name := range s.order {
		u := s.upstreams[name]
		may, known := sendable[u.domain]
		if !known {
			may = n.maySend(u)
			sendable[u.domain] = may
		}
		r := n.routeUpstream(u, may)
		old, ok := before[name]
		same = same && ok && old == r
		n.routeBuffer = append(n.routeBuffer, r)
	}
	if same {
		return before, true
	}
	upstreams := make(map[string]route.Upstream, len(s.order))
	for i, name := range s.order {
		upstreams[name] = n.routeBuffer[i]
	}
	return upstreams, false
}

func (n *Node) routeUpstream(u *upstream, sendable bool) route.Upstream {
	return route.Upstream{
		Address:        u.address,
		AcceptsPackets: sendable,
		AcceptsNewFlows: u.declared && !u.draining && n.credits.Warm(u.name) &&
			n.health.State(u.name) == health.Warm,
	}
}
