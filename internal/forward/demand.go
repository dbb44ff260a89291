package forward

import (
	"maps"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/inflight"
)

// splitKey names a service of a route.
type splitKey struct {
	route   netip.AddrPort
	service string
}

// splitShare is the share of the flows of a service of a route that go to other services of
// the route, as of a time.
type splitShare struct {
	share float64
	at    time.Time
}

// demand holds what an engine remembers of the load of services, for shifting it.
type demand struct {
	// shares stores the shares of services that are full, and those that are not 0.
	shares map[splitKey]splitShare
	// trends stores the occupancies by service.
	trends map[string]*inflight.Trend
	// cold stores the use of the cold upstreams by service.
	cold map[string]*coldUse
	// services is a buffer; its elements belong to those of the split of a route.
	services []choice.Service
}

func newDemand() demand {
	return demand{shares: map[splitKey]splitShare{}, trends: map[string]*inflight.Trend{}, cold: map[string]*coldUse{}}
}

// copy returns an independent copy.
func (d *demand) copy() demand {
	copied := newDemand()
	copied.shares = maps.Clone(d.shares)
	for service, use := range d.cold {
		next := use.copy()
		copied.cold[service] = &next
	}
	for service, trend := range d.trends {
		copied.trends[service] = trend.Copy()
	}
	return copied
}

// retain removes what belongs to routes and services that a snapshot does not know.
func (d *demand) retain(snapshot *catalog.Snapshot) {
	for key := range d.shares {
		if snapshot.Route(key.route) == nil || snapshot.Service(key.service) == nil {
			delete(d.shares, key)
		}
	}
	for service := range d.trends {
		if snapshot.Service(service) == nil {
			delete(d.trends, service)
		}
	}
	for service := range d.cold {
		if snapshot.Service(service) == nil {
			delete(d.cold, service)
		}
	}
}

// shiftService returns the service of a new flow whose hash selects route.Split[selected],
// and why: while that one is full, a share of its flows goes to other services of the route.
func (e *Engine) shiftService(now time.Time, route *catalog.Route, hash uint64, selected int) (int, choice.Cause) {
	if e.inFlight == nil || len(route.Split) < 2 {
		return selected, choice.Home
	}
	d := &e.demand
	d.services = d.services[:0]
	for i, w := range route.Split {
		d.services = append(d.services, e.serviceLoad(now, w.Service, e.weights[i]))
	}
	key := splitKey{route.Address, route.Split[selected].Service}
	earlier, known := d.shares[key]
	if !known {
		earlier.at = now
	}
	share := choice.NextShare(earlier.share, now.Sub(earlier.at), d.services, selected)
	if share == 0 && !d.services[selected].Full() {
		delete(d.shares, key)
	} else {
		d.shares[key] = splitShare{share, now}
	}
	return choice.PickService(hash, d.services, selected, share)
}

// serviceLoad returns the load of a service in the own failure domain.
func (e *Engine) serviceLoad(now time.Time, name string, weight int) choice.Service {
	service := e.snapshot.Service(name)
	if service == nil {
		return choice.Service{}
	}
	load := choice.Service{Weight: weight, Known: e.inFlight.Known(now)}
	load.Occupancy, load.Short = e.occupancy(now, service)
	for _, upstream := range e.usable {
		load.Slots += max(upstream.Slots, 1)
	}
	return load
}

// expectedOccupancy returns the occupancy of a service in the own failure domain with its
// trend while the service is short of capacity; 0 otherwise, and when it is not known.
func (e *Engine) expectedOccupancy(now time.Time, service *catalog.ServiceView) float64 {
	if e.inFlight == nil {
		return 0
	}
	perSlot, short := e.occupancy(now, service)
	trend := e.demand.trends[service.Name]
	if trend == nil {
		trend = &inflight.Trend{}
		e.demand.trends[service.Name] = trend
	}
	trend.Add(now, perSlot)
	if !short || !e.inFlight.Known(now) {
		return 0
	}
	return trend.Extrapolate(now, perSlot)
}
