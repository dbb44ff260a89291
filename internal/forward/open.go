package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/overload"
)

// decideOpen decides on an opening packet: it selects the service by the route, then the
// upstream.
func (e *Engine) decideOpen(now time.Time, p *Packet) Decision {
	if !e.snapshot.Ready() {
		return Decision{Action: Wait, Reason: ReasonNotSynchronized}
	}
	record := e.flows.get(p.Flow)
	if record.openedBy(p) && !e.snapshot.RouteRemoved(p.Flow.Service) {
		return e.decideLateCopy(now, record)
	}
	route := e.snapshot.Route(p.Flow.Service)
	if route == nil {
		return e.decideNoRoute(now, p)
	}
	hash := p.Flow.hash(p.Seq)
	if record != nil && record.seq != p.Seq {
		// The caller reuses the port for a new flow.
		e.removeFlow(p.Flow)
		record = nil
	}
	if entry := e.justTried(now, record); entry != nil {
		if entry.Cold(now) {
			e.loadOf(entry.Cookie).cold.record(now)
		}
		e.rememberOpen(now, p, entry, record)
		return Decision{Action: Forward, Reason: ReasonOpenRepeated, Upstream: entry}
	}
	service, cause := e.pickService(now, route, hash)
	if service == nil {
		return Decision{Action: Reset, Reason: ReasonNoUpstream}
	}
	decision := e.assignUpstream(now, p, hash, service, cause, record)
	if record == nil && decision.Action == Forward {
		decision.HedgeSlot, decision.Hedge = e.awaitAnswer(now, p, route, service.Name)
	}
	return decision
}

// decideNoRoute decides on an opening packet to a service address without a route:
// reset when the route was removed or the store confirmed the configuration within
// routeFreshness, drop otherwise.
func (e *Engine) decideNoRoute(now time.Time, p *Packet) Decision {
	switch {
	case e.snapshot.RouteRemoved(p.Flow.Service):
		return Decision{Action: Reset, Reason: ReasonRouteRemoved}
	case now.Sub(e.snapshot.Confirmed[catalog.KindConfiguration]) <= routeFreshness:
		return Decision{Action: Reset, Reason: ReasonNoRoute}
	}
	return Decision{Action: Drop, Reason: ReasonNoRoute}
}

// pickService selects the service of a new flow by the weights of its route, or another one
// while that is full, and returns why. Services without any upstream count as weight 0. It
// returns nil when none is left.
func (e *Engine) pickService(now time.Time, route *catalog.Route, hash uint64) (*catalog.ServiceView, choice.Cause) {
	e.weights = e.weights[:0]
	for _, w := range route.Split {
		weight := w.Weight
		if s := e.snapshot.Service(w.Service); s == nil || len(s.Entries)+len(s.Missing) == 0 {
			weight = 0
		}
		e.weights = append(e.weights, weight)
	}
	i := choice.PickWeighted(hash, e.weights)
	if i < 0 {
		return nil, choice.Home
	}
	i, cause := e.shiftService(now, route, hash, i)
	return e.snapshot.Service(route.Split[i].Service), cause
}

// assignUpstream selects the upstream of a new flow. serviceCause says why the flow goes to
// the service; record is the record of earlier copies of the opening packet, or nil.
func (e *Engine) assignUpstream(now time.Time, p *Packet, hash uint64, service *catalog.ServiceView, serviceCause choice.Cause, record *flowRecord) Decision {
	_, short := e.occupancy(now, service)
	request := choice.Request{Hash: hash, TwoChoices: short, Instance: e.cfg.Seed}
	if record != nil {
		request.Exclude = record.triedTargets()
	} else {
		request.Exclude = e.failedBefore(now, p)
	}
	limited := e.collectCandidates(now, service, short)
	cause := e.preferDomain(now, hash, service)
	e.considered = considered{request, service, serviceCause, cause}
	if serviceCause != choice.Home {
		cause = serviceCause
	}
	e.avoidOverdue(now)
	i, tier := choice.Pick(request, e.candidates)
	onlyCold := (i < 0 && limited) || (i >= 0 && e.candidates[i].Cold)
	switch {
	case onlyCold && record == nil && !e.mayUseCold(now, p, service):
		return Decision{Action: Drop, Reason: ReasonColdLimit}
	case i < 0 && limited:
		return Decision{Action: Drop, Reason: ReasonColdLimit}
	case i < 0:
		return Decision{Action: Reset, Reason: ReasonNoUpstream}
	}
	var admission *Admission
	if e.cfg.OverloadControl && record == nil && p.Copy == 0 {
		i, admission = e.admit(now, p, request, service, i, tier)
		if admission.Refused() {
			return Decision{Action: Reset, Reason: refusalReasons[admission.Reason], Upstream: e.entries[i], Admission: admission}
		}
		if admission.Reason == overload.OtherDomain {
			tier, cause = choice.Local, choice.DomainFull
		}
	}
	chosen := e.entries[i]
	if e.candidates[i].Cold {
		e.loadOf(chosen.Cookie).cold.record(now)
		if onlyCold && record == nil {
			e.recordColdUse(now, p, service)
		}
	}
	e.rememberOpen(now, p, chosen, record)
	reason := ReasonOpened
	if p.Copy > 0 {
		reason = ReasonOpenRepeated
	}
	return Decision{Action: Forward, Reason: reason, Upstream: chosen, Choice: &Choice{tier, cause}, Admission: admission}
}

// collectCandidates sets the candidates for a new flow of a service. While the service is
// short of capacity, the requests in flight from all instances count as well as what this
// instance sends. When the service has no listed upstreams, those whose entries are missing
// are the candidates. limited reports whether cold upstreams were left out because they are
// in another failure domain or at their limit.
func (e *Engine) collectCandidates(now time.Time, service *catalog.ServiceView, short bool) (limited bool) {
	entries := service.Entries
	if len(entries) == 0 {
		entries = service.Missing
	}
	e.candidates, e.entries = e.candidates[:0], e.entries[:0]
	for _, entry := range entries {
		if entry.Gone(now) {
			continue
		}
		load := e.loadOf(entry.Cookie)
		cold, local := entry.Cold(now), entry.FailureDomain == e.cfg.FailureDomain
		if cold && (!local || !load.cold.allows(now, e.coldBudget(service))) {
			limited = true
			continue
		}
		total := load.total(now)
		if short {
			// Reports are older than a request takes. With them alone, upstreams refused
			// up to twice as many requests under even load (docs/design/inflight.md).
			total += e.requestsInFlight(now, entry)
		}
		e.entries = append(e.entries, entry)
		// New flows avoid a failing upstream in the same way as a slow one.
		e.candidates = append(e.candidates, choice.Candidate{
			Cookie: entry.Cookie, Cold: cold,
			Suspect: e.IsSuspect(now, entry.Cookie), Slow: e.IsSlow(now, entry.Cookie), Load: total, Capacity: entry.Capacity,
		})
	}
	e.applySpeed(now, service)
	return limited
}

// preferDomain selects the failure domain that a new flow prefers and marks its
// candidates.
func (e *Engine) preferDomain(now time.Time, hash uint64, service *catalog.ServiceView) choice.Cause {
	e.domains = e.domains[:0]
	for i, entry := range e.entries {
		domain := e.domainOf(now, service.Name, entry.FailureDomain)
		if e.candidates[i].Usable() {
			domain.Usable++
			domain.Capacity += max(entry.Capacity, 1)
		}
	}
	picked, cause := choice.PickDomain(choice.DomainRequest{
		Hash: hash, Average: float64(service.Total) / float64(max(service.Domains, 1)), Isolated: e.isolated(now),
		Occupancy: e.expectedOccupancy(now, service),
	}, e.domains)
	for i, entry := range e.entries {
		e.candidates[i].Preferred = picked >= 0 && entry.FailureDomain == e.domains[picked].Name
	}
	return cause
}

// domainOf returns the failure domain of that name among the domains of the current
// choice, and adds it if necessary.
func (e *Engine) domainOf(now time.Time, service, name string) *choice.Domain {
	for i := range e.domains {
		if e.domains[i].Name == name {
			return &e.domains[i]
		}
	}
	domain := choice.Domain{Name: name, Own: name == e.cfg.FailureDomain}
	if !domain.Own {
		domain.Advantage, domain.Heard = e.load.Advantage(now, service, name), e.load.Heard(now, name)
		occupancy := e.load.RemoteOccupancy(now, service, name)
		domain.Occupancy, domain.OccupancyKnown = occupancy.PerSlot, occupancy.Known
	}
	e.domains = append(e.domains, domain)
	return &e.domains[len(e.domains)-1]
}

// coldBudget returns the number of opening packets, copies included, that this instance
// may send to one cold upstream of a service within coldWindow.
func (e *Engine) coldBudget(service *catalog.ServiceView) int {
	return instanceColdBudget(service.ColdRate, e.cfg.ColdFactor, e.cfg.ColdSlack, e.peerRank)
}
