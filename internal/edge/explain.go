package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/hedge"
)

const (
	// explainTimeout is how long an explanation waits for the traffic goroutine, which
	// takes waiting work at least every readTimeout.
	explainTimeout = time.Second
	// explainsPerSecond and explainBurst bound the explanations. One takes the traffic
	// goroutine 0.35 ms with 150 upstreams and 8.1 ms with 3,700, so that this is 1.6% of a
	// core.
	explainsPerSecond = 2
	explainBurst      = 4
)

// Explanation is the answer of /explain: the decision on a new flow and what it rests on.
type Explanation struct {
	Instance      string `json:"instance"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	ShuttingDown  bool   `json:"leaving"`
	Caller        string `json:"caller"`
	Address       string `json:"service_address"`
	// Seq is the initial sequence number of the flow, on which the choice depends too.
	Seq uint32 `json:"seq"`

	Action   string `json:"action"`
	Reason   string `json:"reason"`
	Upstream string `json:"upstream,omitempty"`
	Tier     string `json:"tier,omitempty"`
	// ServiceCause says why the flow goes to the service: home when the weights select it.
	// Domain is the failure domain of the upstream, DomainCause why the flow stays in the
	// own one or leaves it.
	ServiceCause string            `json:"service_cause,omitempty"`
	Domain       string            `json:"upstream_domain,omitempty"`
	DomainCause  string            `json:"domain_cause,omitempty"`
	Route        *ExplainedRoute   `json:"route,omitempty"`
	Service      *ExplainedService `json:"service,omitempty"`
	Domains      []ExplainedDomain `json:"domains,omitempty"`
	// Candidates lists the upstreams among which one was selected, LeftOut the others of
	// the service.
	Candidates []ExplainedUpstream `json:"candidates,omitempty"`
	LeftOut    []ExplainedUpstream `json:"left_out,omitempty"`
	// Admission is the decision of admission control, when it is on and was asked.
	Admission *ExplainedAdmission `json:"admission,omitempty"`
	// Hedge is the decision on an extra attempt if the flow stays unanswered; absent when
	// there are none or the flow is not forwarded.
	Hedge *ExplainedHedge `json:"hedge,omitempty"`
	// ConfigVersion and AgeMS tell the state that the decision rests on and its age.
	ConfigVersion uint64           `json:"config_version"`
	AgeMS         map[string]int64 `json:"age_ms"`
}

// ExplainedRoute is the route of a service address with its terms.
type ExplainedRoute struct {
	Name          string             `json:"name"`
	Priority      int                `json:"priority"`
	LatencyGoalMS int64              `json:"latency_goal_ms"`
	TimeoutMS     int64              `json:"timeout_ms"`
	Idempotent    bool               `json:"idempotent"`
	Split         []ExplainedService `json:"split"`
}

// ExplainedService is a service of a split.
type ExplainedService struct {
	Name string `json:"name"`
	// Weight is the weight with which it counts; 0 without upstreams.
	Weight int `json:"weight"`
	// Occupancy is the number of requests in flight per slot in the own failure domain.
	Occupancy float64 `json:"occupancy"`
	Short     bool    `json:"short"`
}

// ExplainedAdmission is the decision of admission control.
type ExplainedAdmission struct {
	Reason     string `json:"reason"`
	Refused    bool   `json:"refused"`
	Priority   int    `json:"priority"`
	ExpectedMS int64  `json:"expected_ms"`
	BoundMS    int64  `json:"bound_ms"`
	// ReportsAgeMS is the age of the oldest report of a peer that counts; -1 when the
	// decision rests on the requests of this instance alone.
	ReportsAgeMS int64 `json:"reports_age_ms"`
}

// ExplainedHedge is the decision on an extra attempt after the delay.
type ExplainedHedge struct {
	Result   string  `json:"result"`
	DelayMS  float64 `json:"delay_ms"`
	Upstream string  `json:"upstream,omitempty"`
	Domain   string  `json:"upstream_domain,omitempty"`
	// Budget is the number of extra attempts that the budget pays for.
	Budget float64 `json:"budget"`
}

// ExplainedDomain is a failure domain that may take the flow.
type ExplainedDomain struct {
	Name     string `json:"name"`
	Own      bool   `json:"own"`
	Usable   int    `json:"usable"`
	Capacity int    `json:"capacity"`
	Heard    bool   `json:"heard"`
	// Occupancy is what another domain has reported; 0 when OccupancyKnown is not set.
	Occupancy      float64 `json:"occupancy"`
	OccupancyKnown bool    `json:"occupancy_known"`
	Advantage      float64 `json:"advantage"`
}

// ExplainedUpstream is an upstream of the service. State is that of /status.
type ExplainedUpstream struct {
	ID       string  `json:"id"`
	Domain   string  `json:"failure_domain"`
	State    string  `json:"state"`
	Tier     string  `json:"tier,omitempty"`
	Load     float64 `json:"load"`
	Capacity int     `json:"capacity"`
	InFlight float64 `json:"in_flight"`
	// ExpectedMS is the expected response time of a new request; 0 when it is not known.
	ExpectedMS float64 `json:"expected_ms"`
	Chosen     bool    `json:"chosen,omitempty"`
}

// question is a question to the traffic goroutine about its engine. It must not change the
// engine.
type question func(now time.Time, engine *forward.Engine)

// ask passes a question to the traffic goroutine and returns the answer; false when ctx ends
// before it does.
func ask[T any](ctx context.Context, loop *trafficLoop, f func(now time.Time, engine *forward.Engine) T) (answer T, ok bool) {
	answers := make(chan T, 1)
	select {
	case loop.questions <- func(now time.Time, engine *forward.Engine) { answers <- f(now, engine) }:
		loop.wake()
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// ParameterError reports a parameter of /explain that is missing or invalid.
type ParameterError struct{ Name, Value, Reason string }

func (e *ParameterError) Error() string {
	return fmt.Sprintf("parameter %s=%q: %s", e.Name, e.Value, e.Reason)
}

// ParseFlow parses the addresses of a flow, and its initial sequence number, which is 0 when
// the text is empty. It returns a *ParameterError.
func ParseFlow(caller, service, seq string) (flow forward.Flow, number uint32, err error) {
	for _, parameter := range []struct {
		name, value string
		address     *netip.AddrPort
	}{{"caller", caller, &flow.Caller}, {"service", service, &flow.Service}} {
		address, err := netip.ParseAddrPort(parameter.value)
		if err != nil || !address.Addr().Is4() || address.Port() == 0 {
			return flow, 0, &ParameterError{parameter.name, parameter.value, "not an IPv4 address with a port, IP:PORT"}
		}
		*parameter.address = address
	}
	if seq == "" {
		return flow, 0, nil
	}
	n, err := strconv.ParseUint(seq, 10, 32)
	if err != nil {
		return flow, 0, &ParameterError{"seq", seq, "not a number from 0 to 4,294,967,295"}
	}
	return flow, uint32(n), nil
}

func (instance *Instance) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	flow, seq, err := ParseFlow(query.Get("caller"), query.Get("service"), query.Get("seq"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !instance.explainLimit.Allow() {
		http.Error(w, fmt.Sprintf("more than %d explanations per second", explainsPerSecond), http.StatusTooManyRequests)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	explained, ok := ask(ctx, instance.traffic, func(now time.Time, engine *forward.Engine) forward.Explanation {
		return engine.Explain(now, flow, seq)
	})
	if !ok {
		http.Error(w, "the traffic goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(instance.explanation(time.Now(), flow, seq, explained)); err != nil {
		instance.log.Event(logrus.WarnLevel, "explanation_not_sent", logrus.Fields{"error": err})
	}
}

// explanation returns the answer of /explain.
func (instance *Instance) explanation(now time.Time, flow forward.Flow, seq uint32, explained forward.Explanation) Explanation {
	x := Explanation{
		Instance: instance.settings.Instance, FailureDomain: instance.settings.FailureDomain,
		Ready: instance.ready.Load(), ShuttingDown: instance.shuttingDown.Load(),
		Caller: flow.Caller.String(), Address: flow.Service.String(), Seq: seq,
		Action: explained.Decision.Action.String(), Reason: explained.Decision.Reason.String(), AgeMS: map[string]int64{},
	}
	if snapshot := instance.snapshot.Load(); snapshot != nil {
		x.ConfigVersion = snapshot.Version
		for _, kind := range catalog.Kinds() {
			if confirmed := snapshot.AsOf(kind); !confirmed.IsZero() {
				x.AgeMS[kind.String()] = now.Sub(confirmed).Milliseconds()
			}
		}
	}
	chosen := explained.Decision.Upstream
	if chosen != nil {
		x.Upstream, x.Domain = chosen.ID, chosen.FailureDomain
	}
	if c := explained.Decision.Choice; c != nil {
		x.Tier = c.Tier.String()
	}
	x.Admission, x.Hedge = explainAdmission(explained.Decision.Admission), explainHedge(explained.Hedge)
	x.Route = explainRoute(explained.Route, explained.Split)
	if s := explained.Service; s != nil {
		x.Service = (*ExplainedService)(s)
		x.ServiceCause, x.DomainCause = explained.ServiceCause.String(), explained.DomainCause.String()
	}
	for _, d := range explained.Domains {
		x.Domains = append(x.Domains, ExplainedDomain(d))
	}
	for _, c := range explained.Candidates {
		upstream := explainUpstream(now, c)
		upstream.Tier, upstream.Chosen = c.Tier.String(), c.Entry == chosen
		if upstream.Chosen {
			// A refused flow has an upstream but no choice.
			x.Tier = upstream.Tier
		}
		x.Candidates = append(x.Candidates, upstream)
	}
	for _, c := range explained.LeftOut {
		x.LeftOut = append(x.LeftOut, explainUpstream(now, c))
	}
	return x
}

func explainRoute(route *catalog.Route, split []forward.ExplainedService) *ExplainedRoute {
	if route == nil {
		return nil
	}
	x := &ExplainedRoute{
		Name: route.Name, Priority: route.Terms.Priority, LatencyGoalMS: route.Terms.LatencyGoal.Milliseconds(),
		TimeoutMS: route.Terms.Timeout.Milliseconds(), Idempotent: route.Terms.Idempotent,
	}
	for _, s := range split {
		x.Split = append(x.Split, ExplainedService(s))
	}
	return x
}

func explainAdmission(a *forward.Admission) *ExplainedAdmission {
	if a == nil {
		return nil
	}
	return &ExplainedAdmission{
		Reason: a.Reason.String(), Refused: a.Refused(), Priority: a.Priority,
		ExpectedMS: a.Expected.Milliseconds(), BoundMS: a.Bound.Milliseconds(), ReportsAgeMS: a.ReportAge.Milliseconds(),
	}
}

func explainHedge(h forward.Hedge) *ExplainedHedge {
	if h.Result == hedge.None {
		return nil
	}
	x := &ExplainedHedge{Result: h.Result.String(), DelayMS: float64(h.Delay) / float64(time.Millisecond), Budget: h.Tokens}
	if h.Second != nil {
		x.Upstream, x.Domain = h.Second.ID, h.Second.FailureDomain
	}
	return x
}

func explainUpstream(now time.Time, c forward.ExplainedCandidate) ExplainedUpstream {
	return ExplainedUpstream{
		ID: c.Entry.ID, Domain: c.Entry.FailureDomain, State: c.Entry.State(now), Load: c.Load, Capacity: c.Entry.Capacity,
		InFlight: c.InFlight, ExpectedMS: float64(c.Expected) / float64(time.Millisecond),
	}
}
