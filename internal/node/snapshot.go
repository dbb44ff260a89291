package node

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/route"
)

// Snapshot returns the routing of settled buckets for traffic goroutines, who
// read the time from clock. It is rebuilt at every tick, because the right to
// decide by it expires.
func (n *Node) Snapshot(clock func() time.Time) *route.Snapshot {
	n.turn(DutySnapshot)
	snapshot := &route.Snapshot{Services: make(map[netip.AddrPort]route.Service, len(n.byAddress)), Now: clock}
	if n.tracker.Ready(n.now, n.view) {
		snapshot.ValidUntil = n.now.Add(placement.FreezeLimit)
	}
	for address, s := range n.byAddress {
		if s.table == nil {
			continue
		}
		upstreams := make(map[string]route.Upstream, len(s.upstreams))
		for name, u := range s.upstreams {
			upstreams[name] = n.routeUpstream(u)
		}
		snapshot.Services[address] = route.Service{Table: s.table, Upstreams: upstreams}
	}
	return snapshot
}

func (n *Node) routeUpstream(u *upstream) route.Upstream {
	return route.Upstream{
		Address:  u.address,
		Sendable: n.maySend(u),
		Open: u.declared && !u.draining && n.credits.Warm(u.name) &&
			n.health.State(u.name) == health.Warm,
	}
}
