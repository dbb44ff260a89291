package forward

import (
	"maps"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/speed"
)

// shortAfter is the time without a packet after which a response below the bound of short
// ones is complete. The segments of a response follow each other within a round trip.
const shortAfter = 100 * time.Millisecond

// outlierInterval is the least time between two evaluations of the outliers of a service:
// less than that between two reports of the requests in flight.
const outlierInterval = 20 * time.Millisecond

// speedState is what an engine knows about the speed of upstreams.
type speedState struct {
	estimates *speed.Estimates
	// sizes holds the response sizes by the address of the route.
	sizes    map[netip.AddrPort]*speed.Sizes
	refusals *speed.Refusals
	// outliers holds the outliers of each service in the own failure domain.
	outliers map[string]*outlierState
	// avoided is what TakeAvoided returns next.
	avoided []AvoidedUpstream
	// avoiding holds the upstreams that the last new flow of their service avoided as outliers
	// or because they refuse requests.
	avoiding map[flowcookie.Cookie]bool
	// loads and refusing are buffers that are reused for each new flow.
	loads    []speed.UpstreamLoad
	refusing map[string]refusingCount
}

// outlierState is the last evaluation of the outliers of a service.
type outlierState struct {
	at        time.Time
	result    speed.OutlierResult
	upstreams map[flowcookie.Cookie]bool
}

func newSpeedState() *speedState {
	return &speedState{
		estimates: speed.NewEstimates(), sizes: map[netip.AddrPort]*speed.Sizes{}, refusals: speed.NewRefusals(), outliers: map[string]*outlierState{},
		refusing: map[string]refusingCount{}, avoiding: map[flowcookie.Cookie]bool{},
	}
}

// copyForReading returns a copy for decisions on new flows, which change the evaluations of
// outliers only. It shares what they read.
func (s *speedState) copyForReading() *speedState {
	copied := *s
	copied.avoided = nil
	copied.avoiding = maps.Clone(s.avoiding)
	copied.outliers, copied.loads, copied.refusing = make(map[string]*outlierState, len(s.outliers)), nil, map[string]refusingCount{}
	for service, state := range s.outliers {
		evaluation := *state
		evaluation.upstreams = maps.Clone(state.upstreams)
		copied.outliers[service] = &evaluation
	}
	return &copied
}

// retain discards the state of routes, services and upstreams that the snapshot does not
// know.
func (s *speedState) retain(snapshot *catalog.Snapshot) {
	known := func(cookie flowcookie.Cookie) bool { return snapshot.Resolve(cookie) != nil }
	s.estimates.Retain(func(service string) bool { return snapshot.Service(service) != nil }, known)
	s.refusals.Retain(known)
	maps.DeleteFunc(s.avoiding, func(cookie flowcookie.Cookie, _ bool) bool { return !known(cookie) })
	for service := range s.outliers {
		if snapshot.Service(service) == nil {
			delete(s.outliers, service)
		}
	}
	for address := range s.sizes {
		if snapshot.Route(address) == nil {
			delete(s.sizes, address)
		}
	}
}

// responseRecord is the state of the response to the last request of a flow.
type responseRecord struct {
	// took is the time to the first acknowledgement; 0 when there is none or when it came
	// with the next request, which does not show when the response arrived.
	took time.Duration
	// from is the acknowledgement at the request.
	from uint32
	// inFlight is the number of requests in flight at the upstream when the request was
	// sent, including it.
	inFlight float32
	// open is true from the request to the end of its response, counted once the response
	// was counted as one that is not short.
	open, counted bool
}

// beginResponse ends the response to the last request of a flow, and starts that to the
// request that was just sent.
func (e *Engine) beginResponse(now time.Time, record *flowRecord) {
	if !e.cfg.OverloadControl {
		return
	}
	e.endResponse(now, record)
	entry := e.snapshot.Resolve(record.targets[0])
	if entry == nil {
		return
	}
	record.response = responseRecord{from: record.ack, inFlight: float32(e.requestsInFlight(now, entry)), open: true}
}

// advanceResponse updates the response of a flow after a higher acknowledgement. took is
// the response time, or 0 when it is not known.
func (e *Engine) advanceResponse(now time.Time, record *flowRecord, took time.Duration) {
	response := &record.response
	if !response.open || response.counted {
		return
	}
	if response.took == 0 {
		response.took = took
	}
	if sizes := e.speed.sizes[record.flow.Service]; sizes != nil && !sizes.Short(record.ack-response.from) {
		response.counted = true
		e.countResponse(now, record, false)
	}
}

// endResponse counts the response of a flow as short unless it was counted before, and
// records its size.
func (e *Engine) endResponse(now time.Time, record *flowRecord) {
	response := &record.response
	size := record.ack - response.from
	if !response.open || size == 0 {
		return
	}
	response.open = false
	sizes := e.speed.sizes[record.flow.Service]
	if sizes == nil {
		if e.snapshot.Route(record.flow.Service) == nil {
			return
		}
		sizes = &speed.Sizes{}
		e.speed.sizes[record.flow.Service] = sizes
	}
	if !response.counted {
		e.countResponse(now, record, sizes.Short(size))
	}
	sizes.Add(now, size)
}

// endIdleResponse ends a response whose flow has had no packet for shortAfter.
func (e *Engine) endIdleResponse(now time.Time, record *flowRecord) {
	if e.cfg.OverloadControl && now.Sub(record.lastSeen) >= shortAfter {
		e.endResponse(now, record)
	}
}

// countResponse counts a response in the estimates. A short response does not show how
// fast its upstream runs requests.
func (e *Engine) countResponse(now time.Time, record *flowRecord, short bool) {
	entry := e.snapshot.Resolve(record.targets[0])
	if entry == nil {
		return
	}
	if result, started := e.speed.refusals.Record(now, entry.Service, entry.Cookie, short); started {
		e.recordAvoided(AvoidedUpstream{Upstream: entry, Reason: AvoidRefusesMore, Value: result.Share, Others: result.OthersShare})
	}
	if short {
		return
	}
	if took := record.response.took; took > 0 {
		e.recordResponseTime(now, entry.Cookie, took)
	}
	e.speed.estimates.Record(now, speed.Response{
		Service: entry.Service, Upstream: entry.Cookie, InFlight: float64(record.response.inFlight), Slots: entry.Capacity, Took: record.response.took,
	})
}

// applySpeed sets the slowdowns of the candidates for a new flow of a service, and marks
// the outliers and the upstreams that refuse requests as slow.
func (e *Engine) applySpeed(now time.Time, service *catalog.ServiceView) {
	if !e.cfg.OverloadControl {
		return
	}
	outliers, counts := e.outliersOf(now, service), e.countRefusing(now)
	for i, entry := range e.entries {
		candidate := &e.candidates[i]
		candidate.Slowdown = e.speed.estimates.Slowdown(now, entry.Cookie)
		if outliers[entry.Cookie] || (e.speed.refusals.IsRefusing(now, entry.Cookie) && counts[entry.FailureDomain].mayAvoid()) {
			candidate.Slow, e.speed.avoiding[entry.Cookie] = true, true
		} else {
			delete(e.speed.avoiding, entry.Cookie)
		}
	}
	e.levelAvoided(now)
}

// levelAvoided gives the candidates of the own failure domain that new flows avoid the load
// of the others. Their load decreases while they are avoided, so that all instances would
// send them their next flows at once when that ends.
func (e *Engine) levelAvoided(now time.Time) {
	sum, count := 0.0, 0
	for i, entry := range e.entries {
		if c := &e.candidates[i]; c.Usable() && entry.FailureDomain == e.cfg.FailureDomain {
			sum += (e.loadOf(entry.Cookie).total(now) + 1) * c.Slowdown / float64(max(c.Capacity, 1))
			count++
		}
	}
	if count == 0 {
		return
	}
	for i, entry := range e.entries {
		c := &e.candidates[i]
		if !c.Slow || entry.FailureDomain != e.cfg.FailureDomain {
			continue
		}
		load, level := e.loadOf(entry.Cookie), sum/float64(count)*float64(max(c.Capacity, 1))/c.Slowdown-1
		if missing := level - load.total(now); missing > 0 {
			load.requests, load.requestAt = load.recentRequests(now)+missing, now
		}
	}
}

// refusingCount is the number of candidates in a failure domain that refuse requests, and
// of all of them.
type refusingCount struct{ refusing, all int }

// mayAvoid reports whether new flows may avoid the upstreams that refuse requests. If they
// were more than half, the remaining ones could not take their flows.
func (c refusingCount) mayAvoid() bool { return 2*c.refusing <= c.all }

// countRefusing returns the counts of the failure domains of the candidates.
func (e *Engine) countRefusing(now time.Time) map[string]refusingCount {
	clear(e.speed.refusing)
	for _, entry := range e.entries {
		count := e.speed.refusing[entry.FailureDomain]
		count.all++
		if e.speed.refusals.IsRefusing(now, entry.Cookie) {
			count.refusing++
		}
		e.speed.refusing[entry.FailureDomain] = count
	}
	return e.speed.refusing
}

// outliersOf returns the outliers among the candidates of a service in the own failure
// domain.
func (e *Engine) outliersOf(now time.Time, service *catalog.ServiceView) map[flowcookie.Cookie]bool {
	state := e.speed.outliers[service.Name]
	if state == nil {
		state = &outlierState{upstreams: map[flowcookie.Cookie]bool{}}
		e.speed.outliers[service.Name] = state
	}
	if now.Sub(state.at) < outlierInterval {
		return state.upstreams
	}
	state.at = now
	loads := e.speed.loads[:0]
	for i, entry := range e.entries {
		if entry.FailureDomain != e.cfg.FailureDomain || e.candidates[i].Cold || e.candidates[i].Suspect {
			continue
		}
		loads = append(loads, speed.UpstreamLoad{
			Upstream: entry.Cookie, PerSlot: e.requestsInFlight(now, entry) / float64(max(entry.Capacity, 1)), Outlier: state.upstreams[entry.Cookie],
		})
	}
	state.result = speed.FindOutliers(loads)
	for _, load := range loads {
		if load.Outlier && !state.upstreams[load.Upstream] {
			e.recordAvoided(AvoidedUpstream{
				Upstream: e.snapshot.Resolve(load.Upstream), Reason: AvoidBehindOthers, Value: load.PerSlot, Others: state.result.Mean,
			})
		}
	}
	clear(state.upstreams)
	for _, load := range loads {
		if load.Outlier {
			state.upstreams[load.Upstream] = true
		}
	}
	e.speed.loads = loads
	return state.upstreams
}
