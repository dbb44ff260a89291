package forward

import (
	"cmp"
	"slices"
	"time"
)

// ServiceLoad is what an engine knows about the load of a service in the own failure
// domain.
type ServiceLoad struct {
	Service string
	// Occupancy is the number of requests in flight per slot of the usable upstreams, Short
	// is set while the service is short of capacity.
	Occupancy float64
	Short     bool
	// InFlight is the number of requests in flight at the listed upstreams, Slots the number
	// that they run at once.
	InFlight float64
	Slots    int
}

// OverloadState is what the decisions under overload rest on.
type OverloadState struct {
	Services []ServiceLoad
	// ReportAge is the age of the oldest report of a peer that counts; negative when there
	// is none.
	ReportAge time.Duration
}

// OverloadState returns the load of the services that have listed upstreams in the own
// failure domain. It is false without Config.OverloadControl or a snapshot. It changes
// nothing: whether a service is short depends on when that was asked before.
func (e *Engine) OverloadState(now time.Time) (state OverloadState, ok bool) {
	if e.inFlight == nil || e.snapshot == nil {
		return state, false
	}
	s := e.shadow(now, Flow{})
	state.ReportAge = s.reportAge(now)
	for _, service := range e.snapshot.Services() {
		load := ServiceLoad{Service: service.Name}
		for _, entry := range service.Entries {
			if entry.FailureDomain == e.cfg.FailureDomain {
				load.InFlight += s.requestsInFlight(now, entry)
				load.Slots += max(entry.Capacity, 1)
			}
		}
		if load.Slots > 0 {
			load.Occupancy, load.Short = s.occupancy(now, service)
			state.Services = append(state.Services, load)
		}
	}
	slices.SortFunc(state.Services, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return state, true
}
