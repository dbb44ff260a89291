package forward

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/hedge"
)

// Explanation is the decision on a new flow and what it rests on.
type Explanation struct {
	Decision Decision
	// Route is nil when the service address has none. Split describes the services of its
	// split, in their order.
	Route *catalog.Route
	Split []ExplainedService
	// Service is the service that the flow goes to; nil without one. ServiceCause says why,
	// DomainCause why the flow stays in the own failure domain or leaves it.
	Service                   *ExplainedService
	ServiceCause, DomainCause choice.Cause
	// Domains holds the failure domains that may take the flow.
	Domains []choice.Domain
	// Candidates holds the upstreams among which one was selected, LeftOut the others of
	// the service.
	Candidates []ExplainedCandidate
	LeftOut    []ExplainedCandidate
	// Hedge is the decision on an extra attempt if the flow is unanswered for its Delay and
	// nothing else changes. Its Result is hedge.None when no extra attempts are configured or
	// the flow is not forwarded.
	Hedge Hedge
}

// ExplainedService is what the choice of a service knows about one of them.
type ExplainedService struct {
	Name string
	// Weight is the weight with which the service counts, 0 without upstreams.
	Weight int
	// Occupancy is the number of requests in flight per slot in the own failure domain, Short
	// is set while the service is short of capacity there.
	Occupancy float64
	Short     bool
}

// ExplainedCandidate is what the selection of an upstream knows about one of them.
type ExplainedCandidate struct {
	choice.Candidate
	Entry *catalog.Entry
	Tier  choice.Tier
	// InFlight is the number of requests in flight. Expected is the expected response time
	// of a new request; 0 when it is not known.
	InFlight float64
	Expected time.Duration
}

// Explain returns what Decide would return now for the first copy of an opening packet
// with a sequence number, and why. For a copy that goes where an earlier one went, no choice
// is explained. It changes nothing.
func (e *Engine) Explain(now time.Time, flow Flow, seq uint32) Explanation {
	s := e.shadow(now, flow)
	x := Explanation{Decision: s.Decide(now, &Packet{Flow: flow, Open: true, Seq: seq})}
	if e.snapshot == nil || !e.snapshot.Ready() {
		return x
	}
	x.Route, x.Domains = e.snapshot.Route(flow.Service), slices.Clone(s.domains)
	if x.Route == nil || s.weights == nil {
		return x
	}
	// Another shadow, because the decision has changed the state of the first one.
	before := e.shadow(now, flow)
	before.checkPendingOpens(now)
	for i, w := range x.Route.Split {
		explained := ExplainedService{Name: w.Service, Weight: s.weights[i]}
		if service := e.snapshot.Service(w.Service); service != nil {
			explained.Occupancy, explained.Short = before.occupancy(now, service)
		}
		x.Split = append(x.Split, explained)
	}
	service := s.considered.service
	if service == nil {
		return x
	}
	i := slices.IndexFunc(x.Split, func(o ExplainedService) bool { return o.Name == service.Name })
	x.Service, x.ServiceCause, x.DomainCause = &x.Split[i], s.considered.serviceCause, s.considered.domainCause
	for i, entry := range s.entries {
		x.Candidates = append(x.Candidates, before.explainCandidate(now, service, entry, s.candidates[i], s.considered.request))
	}
	for _, entry := range slices.Concat(service.Entries, service.Missing) {
		if !slices.Contains(s.entries, entry) {
			x.LeftOut = append(x.LeftOut, before.explainCandidate(now, service, entry, choice.Candidate{Cookie: entry.Cookie, Capacity: entry.Capacity}, s.considered.request))
		}
	}
	// The last step, because it overwrites the buffers.
	x.Hedge = s.explainHedge(now, flow, x)
	return x
}

// explainHedge decides on the extra attempt of a flow that a shadow has opened.
func (e *Engine) explainHedge(now time.Time, flow Flow, x Explanation) Hedge {
	switch record := e.flows.get(flow); {
	case x.Decision.Action != Forward || e.cfg.HedgeShare <= 0:
		return Hedge{}
	case !x.Route.Terms.Idempotent:
		return Hedge{Result: hedge.NotIdempotent}
	case x.Decision.HedgeSlot == 0:
		return Hedge{Result: x.Decision.Hedge}
	default:
		return e.decideHedge(now.Add(record.hedge.delay), record.hedge)
	}
}

func (e *Engine) explainCandidate(now time.Time, service *catalog.ServiceView, entry *catalog.Entry, c choice.Candidate, request choice.Request) ExplainedCandidate {
	expected, _ := e.expectedResponse(now, service, entry)
	return ExplainedCandidate{
		Candidate: c, Entry: entry, Tier: choice.TierOf(request, &c), InFlight: e.requestsInFlight(now, entry), Expected: expected,
	}
}
