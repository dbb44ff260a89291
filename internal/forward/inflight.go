package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/inflight"
)

// requestsInFlight returns the number of requests in flight at an upstream from the
// instances of the own failure domain, including the opening packets that this instance
// has just sent. Without Config.OverloadControl only the requests of this instance count.
func (e *Engine) requestsInFlight(now time.Time, entry *catalog.Entry) float64 {
	load := e.loadOf(entry.Cookie)
	if e.inFlight == nil {
		return float64(load.waiting)
	}
	requests, _ := e.inFlight.Requests(now, entry.Cookie)
	return requests + float64(load.opening)
}

// occupancy returns the requests in flight per slot of a service in the own failure
// domain, and whether the service is short of capacity there. Only usable upstreams
// count: those that are neither cold, suspect nor slow. Without one, the slow and avoided
// ones count, because they get the new flows; without any, it returns 0.
func (e *Engine) occupancy(now time.Time, service *catalog.ServiceView) (perSlot float64, short bool) {
	if e.inFlight == nil {
		return 0, false
	}
	e.usable = e.usable[:0]
	for _, entry := range service.Entries {
		if entry.FailureDomain == e.cfg.FailureDomain && e.isUsable(now, entry) {
			e.usable = append(e.usable, inflight.Upstream{Cookie: entry.Cookie, Slots: entry.Capacity})
		}
	}
	if len(e.usable) == 0 {
		for _, entry := range service.Entries {
			if entry.FailureDomain == e.cfg.FailureDomain && !entry.Gone(now) && !entry.Cold(now) && !e.IsSuspect(now, entry.Cookie) {
				e.usable = append(e.usable, inflight.Upstream{Cookie: entry.Cookie, Slots: entry.Capacity})
			}
		}
	}
	return e.inFlight.Occupancy(now, service.Name, e.usable)
}

// isUsable tells whether an upstream is neither gone, cold, suspect, slow nor avoided by the
// last new flow of its service. The full queues of slow upstreams, which keep the requests
// of their open flows, do not make the service short of capacity.
func (e *Engine) isUsable(now time.Time, entry *catalog.Entry) bool {
	return !entry.Gone(now) && !entry.Cold(now) && !e.IsSuspect(now, entry.Cookie) && !e.IsSlow(now, entry.Cookie) && !e.speed.avoiding[entry.Cookie]
}

// countedRequest is a request that counts as in flight since a time after Engine.epoch.
type countedRequest struct {
	record *flowRecord
	since  time.Duration
}

// beginInFlight counts the request that a flow has just sent as in flight.
func (e *Engine) beginInFlight(now time.Time, record *flowRecord) {
	if e.inFlight == nil {
		return
	}
	record.inFlight = true
	e.inFlight.Add(now, record.targets[0], 1)
	e.counted = append(e.counted, countedRequest{record, record.waitingSince})
}

// endInFlight no longer counts the request of a flow as in flight.
func (e *Engine) endInFlight(record *flowRecord) {
	if record.inFlight {
		record.inFlight = false
		e.inFlight.Add(e.clock, record.targets[0], -1)
	}
}

// endOverdueInFlight no longer counts requests whose answer is overdue by the request
// timeout of their upstream. When the routers' hash moves a flow to another instance, that
// one sees the answer's acknowledgement. With maxWait instead, restarts of some instances
// made services with a third of their capacity in use look full for as long as they went on.
func (e *Engine) endOverdueInFlight(now time.Time) {
	for remaining := len(e.counted); remaining > 0; remaining-- {
		request := e.counted[0]
		record := request.record
		age := now.Sub(e.epoch) - request.since
		if age < evidence.MinRequestTimeout {
			return
		}
		e.counted = e.counted[1:]
		if !record.inFlight || record.waitingSince != request.since {
			continue
		}
		if age < e.RequestTimeout(record.targets[0]) {
			e.counted = append(e.counted, request)
			continue
		}
		e.endInFlight(record)
	}
}

// endOpening no longer counts the opening packet to the n-th target of a flow.
func (e *Engine) endOpening(record *flowRecord, n int) {
	if record.opening[n] {
		record.opening[n] = false
		if load := e.loads[record.targets[n]]; load != nil {
			load.opening--
		}
	}
}

// TakeInFlightReport returns the report on the requests in flight of this instance that is
// to be sent to its peers; false when none is due, and without Config.OverloadControl.
func (e *Engine) TakeInFlightReport(now time.Time) (report inflight.Report, due bool) {
	if e.inFlight == nil {
		return nil, false
	}
	return e.inFlight.Take(now)
}

// HandleInFlightReport records the report of a peer, which is another instance of the
// failure domain, that was received at a time.
func (e *Engine) HandleInFlightReport(receivedAt time.Time, sender string, report inflight.Report) {
	if e.inFlight != nil {
		e.inFlight.Handle(receivedAt, sender, report)
	}
}
