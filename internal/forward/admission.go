package forward

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/overload"
)

// admitAfterStart is the time since its first opening packet for which an instance refuses
// none. After a loss of all instances the callers that waited come back together, and their
// upstreams have answered them within 2 s. With refusals meanwhile, 0.3% instead of 0.1% of
// the requests of a day failed (bline-qld, trouble-2).
const admitAfterStart = 2 * time.Second

// Admission is a decision of admission control and what it is based on.
type Admission struct {
	overload.Result
	// Priority is the priority of the flow's route.
	Priority int
	// Expected is the expected response time at the upstream; 0 when it is not known.
	Expected time.Duration
	// Occupancy is the number of requests in flight per slot of the service in the own
	// failure domain.
	Occupancy float64
	// ReportAge is the age of the oldest report of a peer that Occupancy is based on;
	// negative when it is based on the requests of this instance alone.
	ReportAge time.Duration
}

// refusalReasons holds the reason of a reset by the reason of the refusal.
var refusalReasons = map[overload.Reason]Reason{overload.Overloaded: ReasonOverloaded, overload.CallerShare: ReasonCallerShare}

// routeKey names the use of a service by the route of a service address.
type routeKey struct {
	address netip.AddrPort
	service string
}

// routeUse returns the use of a service by a route. Flow records point to it, so that a
// packet of an established flow needs no lookup. The priority is not stored, because a new
// configuration may change it.
func (e *Engine) routeUse(address netip.AddrPort, service string) *overload.Activity {
	key := routeKey{address, service}
	use := e.routeUses[key]
	if use == nil {
		use = &overload.Activity{}
		e.routeUses[key] = use
	}
	return use
}

// attachRoute sets the route whose use the requests of a flow to an upstream show.
func (e *Engine) attachRoute(record *flowRecord, entry *catalog.Entry) {
	if e.cfg.OverloadControl && entry != nil {
		record.use = e.routeUse(record.flow.Service, entry.Service)
	}
}

// highestActive returns the highest priority whose routes use a service.
func (e *Engine) highestActive(now time.Time, service string) int {
	uses := make([]float64, catalog.LowestPriority+1)
	for key, use := range e.routeUses {
		if route := e.snapshot.Route(key.address); key.service == service && route != nil {
			uses[route.Terms.Priority] += use.Uses(now)
		}
	}
	return overload.HighestActive(uses)
}

// removeUnusedAdmissionState removes the uses of routes and services that the snapshot
// does not know, and the callers whose flows are no longer counted. What is still in use
// stays, because flow records point to it and the service may return.
func (e *Engine) removeUnusedAdmissionState(now time.Time) {
	e.callers.Expire(now)
	for key, use := range e.routeUses {
		if use.Uses(now) == 0 && e.snapshot != nil && (e.snapshot.Route(key.address) == nil || e.snapshot.Service(key.service) == nil) {
			delete(e.routeUses, key)
		}
	}
}

// copyAdmissionState replaces the state of admission control by a copy of another engine's.
func (e *Engine) copyAdmissionState(from *Engine) {
	e.callers, e.routeUses = from.callers.Copy(), make(map[routeKey]*overload.Activity, len(from.routeUses))
	for key, use := range from.routeUses {
		copied := *use
		e.routeUses[key] = &copied
	}
}

// admit decides whether a new flow, for which the candidate i of a tier was selected, is
// admitted. The candidate that it returns differs from i when the flow would have to wait
// too long there and has capacity elsewhere.
func (e *Engine) admit(now time.Time, p *Packet, request choice.Request, service *catalog.ServiceView, i int, tier choice.Tier) (int, *Admission) {
	terms, caller := e.snapshot.Route(p.Flow.Service).Terms, p.Flow.Caller.Addr()
	perSlot, short := e.occupancy(now, service)
	if e.firstOpenAt.IsZero() {
		e.firstOpenAt = now
	}
	short = short && now.Sub(e.firstOpenAt) >= admitAfterStart
	in := overload.Input{
		Now: now, Caller: caller, Priority: terms.Priority, Goal: terms.LatencyGoal, Short: short,
		WaitShare: e.cfg.AdmissionWaitShare, Floor: e.cfg.AdmissionFloor,
	}
	age := time.Duration(0)
	if short {
		age = e.reportAge(now)
		in.HighestActive = e.highestActive(now, service.Name)
		in.CallerFlows, in.MeanFlows = e.callers.Flows(now, caller)
		in.ServiceTime, _ = e.speed.estimates.Expected(now, service.Name, flowcookie.None, 0, 1)
		in.Usage = e.usage(perSlot)
	}
	decideAt := func(i int) *Admission {
		if short {
			e.describeUpstream(now, service, e.entries[i], &in)
		}
		return &Admission{Result: overload.Decide(in), Priority: terms.Priority, Expected: in.Expected, Occupancy: perSlot, ReportAge: age}
	}
	admission := decideAt(i)
	if late(admission) && tier <= choice.Remote {
		if j, other := e.findFreeSlot(i, request, decideAt); other != nil {
			i, admission = j, other
		} else if j := e.pickOverflow(request); j >= 0 && admission.Reason == overload.Overloaded {
			i, admission.Reason = j, overload.OtherDomain
		}
	}
	if !admission.Refused() {
		e.routeUse(p.Flow.Service, service.Name).Record(now)
		if short {
			e.callers.Add(now, caller)
		}
	}
	return i, admission
}

// findFreeSlot returns a usable candidate of the failure domain of candidate i at which the
// flow gets a slot at once, and the decision there; nil without one.
func (e *Engine) findFreeSlot(i int, request choice.Request, decideAt func(int) *Admission) (int, *Admission) {
	for n := range e.entries {
		j := (n + int(request.Hash%uint64(len(e.entries)))) % len(e.entries)
		c := &e.candidates[j]
		if j == i || !c.Usable() || c.Preferred != e.candidates[i].Preferred || slices.Contains(request.Exclude, c.Cookie) {
			continue
		}
		if other := decideAt(j); other.Reason == overload.FreeSlot {
			return j, other
		}
	}
	return i, nil
}

// pickOverflow returns the candidate in another failure domain for a flow that the own one
// would refuse, or -1 when none has capacity.
func (e *Engine) pickOverflow(request choice.Request) int {
	picked := choice.PickOverflow(request.Hash, e.domains)
	if picked < 0 {
		return -1
	}
	usage := overload.Usage{Instances: e.peerRank.Count}
	for i, entry := range e.entries {
		e.candidates[i].Preferred = entry.FailureDomain == e.domains[picked].Name
		if e.candidates[i].Preferred && e.candidates[i].Usable() {
			usage.Slots += max(entry.Capacity, 1)
			usage.Own += float64(e.inFlight.Now(entry.Cookie) + e.loadOf(entry.Cookie).opening)
		}
	}
	if !usage.TakesOverflow(e.domains[picked].Room()) {
		return -1
	}
	request.TwoChoices = false // The shared numbers are those of the own failure domain.
	i, tier := choice.Pick(request, e.candidates)
	if tier != choice.Local {
		return -1
	}
	return i
}

// usage returns the requests in flight at the upstreams that the last call of occupancy
// found usable, whose result was perSlot.
func (e *Engine) usage(perSlot float64) overload.Usage {
	usage := overload.Usage{Instances: e.peerRank.Count}
	for _, upstream := range e.usable {
		usage.Slots += max(upstream.Slots, 1)
		usage.Own += float64(e.inFlight.Now(upstream.Cookie) + e.loadOf(upstream.Cookie).opening)
	}
	usage.Total = perSlot * float64(usage.Slots)
	return usage
}

// late reports whether the response to the flow is expected too late, or its caller is over
// its share.
func late(a *Admission) bool { return a.Refused() || a.Reason == overload.Floor }

// describeUpstream sets the fields of an input that depend on the upstream.
func (e *Engine) describeUpstream(now time.Time, service *catalog.ServiceView, entry *catalog.Entry, in *overload.Input) {
	in.InFlight, in.Slots, in.Remote = e.requestsInFlight(now, entry), entry.Capacity, entry.FailureDomain != e.cfg.FailureDomain
	in.Expected, in.ExpectedKnown = e.expectedResponse(now, service, entry)
	if e.inFlight != nil && !e.inFlight.Known(now) {
		// Without reports, only the requests of this instance refuse flows: scaled by the
		// number of instances, one request would do that at an idle upstream.
		load := e.loadOf(entry.Cookie)
		in.InFlight, in.Usage = float64(load.waiting+load.opening), overload.Usage{}
		in.Expected, in.ExpectedKnown = e.speed.estimates.Expected(now, service.Name, entry.Cookie, in.InFlight, entry.Capacity)
	}
}

// reportAge returns the age of the oldest report of a peer on its requests in flight;
// negative when there is none.
func (e *Engine) reportAge(now time.Time) time.Duration {
	if e.inFlight != nil {
		if age, known := e.inFlight.ReportAge(now); known {
			return age
		}
	}
	return -time.Millisecond
}
