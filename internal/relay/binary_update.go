package relay

import (
	"fmt"
	"math"

	relayv1 "github.com/chivemast/chivemast/gen/chivemast/relay/v1"
	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
)

func (t *nameTable) update(u catalogsync.Update) *relayv1.Update {
	w := &relayv1.Update{Kind: uint32(u.Kind), Era: u.Era, Base: u.Base, Revision: u.Revision, Current: u.Current}
	for _, event := range u.Events {
		if encoded := t.event(event); encoded != nil {
			w.Events = append(w.Events, encoded)
		}
	}
	return w
}

func (r *nameReader) update(w *relayv1.Update) (catalogsync.Update, error) {
	u := catalogsync.Update{Kind: catalog.Kind(w.Kind), Era: w.Era, Base: w.Base, Revision: w.Revision, Current: w.Current}
	if int64(w.Kind) >= int64(len(catalog.Kinds())) || w.Base > w.Revision {
		return u, fmt.Errorf("unknown kind or decreasing revision: kind %d from revision %d to %d", w.Kind, w.Base, w.Revision)
	}
	for _, encoded := range w.Events {
		event := r.event(encoded)
		if event == nil {
			// Without the event, the update's revision would hide a change. Rejected, it
			// leaves a gap, which the receiver fills from the store.
			return u, errUnknownEvent
		}
		u.Events = append(u.Events, event)
	}
	return u, r.err
}

func (t *nameTable) event(event catalog.Event) *relayv1.Event {
	switch e := event.(type) {
	case catalog.UpstreamsListed:
		return &relayv1.Event{Revision: e.Revision, Event: &relayv1.Event_Listed{Listed: t.upstreams(e.Entries)}}
	case catalog.UpstreamsChanged:
		return &relayv1.Event{Revision: e.Revision, Event: &relayv1.Event_Changed{Changed: t.upstreams(e.Changes)}}
	case catalog.ConfigurationRead:
		return &relayv1.Event{Event: &relayv1.Event_Configuration{Configuration: t.configuration(&e.Configuration)}}
	case catalog.ConfigurationInvalid:
		return &relayv1.Event{Revision: e.Revision, Event: &relayv1.Event_Invalid{Invalid: e.Err.Error()}}
	case catalog.EvacuationsListed:
		domains := &relayv1.Domains{}
		for _, domain := range e.Domains {
			domains.Domains = append(domains.Domains, t.index(domain))
		}
		return &relayv1.Event{Revision: e.Revision, Event: &relayv1.Event_Evacuated{Evacuated: domains}}
	case catalog.EvacuationsChanged:
		changes := &relayv1.Evacuations{}
		for _, change := range e.Changes {
			changes.Evacuations = append(changes.Evacuations, &relayv1.Evacuation{FailureDomain: t.index(change.FailureDomain), Ended: change.Ended})
		}
		return &relayv1.Event{Revision: e.Revision, Event: &relayv1.Event_Evacuations{Evacuations: changes}}
	}
	return nil
}

// event decodes an event. It returns nil for a type that only a later version knows.
func (r *nameReader) event(w *relayv1.Event) catalog.Event {
	switch e := w.Event.(type) {
	case *relayv1.Event_Listed:
		return catalog.UpstreamsListed{Entries: r.upstreams(e.Listed), Revision: w.Revision}
	case *relayv1.Event_Changed:
		return catalog.UpstreamsChanged{Changes: r.upstreams(e.Changed), Revision: w.Revision}
	case *relayv1.Event_Configuration:
		return catalog.ConfigurationRead{Configuration: r.configuration(e.Configuration)}
	case *relayv1.Event_Invalid:
		return catalog.ConfigurationInvalid{Err: &RemoteError{Reason: e.Invalid}, Revision: w.Revision}
	case *relayv1.Event_Evacuated:
		list := catalog.EvacuationsListed{Domains: []string{}, Revision: w.Revision}
		for _, domain := range e.Evacuated.GetDomains() {
			list.Domains = append(list.Domains, r.name(domain))
		}
		return list
	case *relayv1.Event_Evacuations:
		changed := catalog.EvacuationsChanged{Revision: w.Revision}
		for _, change := range e.Evacuations.GetEvacuations() {
			changed.Changes = append(changed.Changes, catalog.EvacuationChange{FailureDomain: r.name(change.FailureDomain), Ended: change.Ended})
		}
		return changed
	}
	return nil
}

func (t *nameTable) upstreams(changes []catalog.UpstreamChange) *relayv1.Upstreams {
	w := &relayv1.Upstreams{Upstreams: make([]*relayv1.Upstream, 0, len(changes))}
	for _, change := range changes {
		u := change.Upstream
		encoded := &relayv1.Upstream{Id: u.ID, Revision: u.Revision, Removed: change.Removed}
		if change.Invalid != nil {
			encoded.Invalid = change.Invalid.Error()
		}
		if u.Address.IsValid() {
			encoded.Born, encoded.Token, encoded.Address = u.Born, u.Token, appendAddress(u.Address)
			encoded.FailureDomain, encoded.Service = t.index(u.FailureDomain), t.index(u.Service)
			encoded.Capacity, encoded.Draining, encoded.ColdForMs = uint32(max(u.Capacity, 0)), u.Draining, uint64(max(u.ColdFor.Milliseconds(), 0))
		}
		w.Upstreams = append(w.Upstreams, encoded)
	}
	return w
}

func (r *nameReader) upstreams(w *relayv1.Upstreams) []catalog.UpstreamChange {
	changes := make([]catalog.UpstreamChange, 0, len(w.GetUpstreams()))
	for _, u := range w.GetUpstreams() {
		change := catalog.UpstreamChange{Upstream: catalog.Upstream{ID: u.Id, Revision: u.Revision}, Removed: u.Removed}
		if u.Invalid != "" {
			change.Invalid = &RemoteError{Reason: u.Invalid}
		}
		if len(u.Address) > 0 {
			change.Upstream = catalog.Upstream{
				ID: u.Id, Born: u.Born, Token: u.Token, Address: r.address(u.Address), FailureDomain: r.name(u.FailureDomain), Service: r.name(u.Service),
				Capacity: int(u.Capacity), Draining: u.Draining, ColdFor: milliseconds(u.ColdForMs), Revision: u.Revision,
			}
		}
		changes = append(changes, change)
	}
	return changes
}

func (t *nameTable) missing(upstreams []catalog.MissingUpstream) (encoded []*relayv1.MissingUpstream) {
	for _, missing := range upstreams {
		one := t.upstreams([]catalog.UpstreamChange{{Upstream: missing.Upstream}}).Upstreams[0]
		encoded = append(encoded, &relayv1.MissingUpstream{Upstream: one, AgoMs: uint64(max(missing.Ago.Milliseconds(), 0))})
	}
	return encoded
}

func (r *nameReader) missing(encoded []*relayv1.MissingUpstream) (upstreams []catalog.MissingUpstream) {
	for _, m := range encoded {
		if m.Upstream == nil {
			continue
		}
		one := r.upstreams(&relayv1.Upstreams{Upstreams: []*relayv1.Upstream{m.Upstream}})[0]
		upstreams = append(upstreams, catalog.MissingUpstream{Upstream: one.Upstream, Ago: milliseconds(m.AgoMs)})
	}
	return upstreams
}

func (t *nameTable) configuration(c *catalog.Configuration) *relayv1.Configuration {
	w := &relayv1.Configuration{Version: c.Version, Revision: c.Revision, IdleTimeoutMs: uint64(max(c.IdleTimeout.Milliseconds(), 0))}
	for _, route := range c.Routes {
		priority := uint32(max(route.Terms.Priority, 0))
		encoded := &relayv1.Route{
			Name: route.Name, Address: appendAddress(route.Address), Priority: &priority, Idempotent: route.Terms.Idempotent,
			LatencyGoalMs: uint64(max(route.Terms.LatencyGoal.Milliseconds(), 0)), TimeoutMs: uint64(max(route.Terms.Timeout.Milliseconds(), 0)),
		}
		for _, weight := range route.Split {
			encoded.Split = append(encoded.Split, &relayv1.Weight{Service: t.index(weight.Service), Weight: int64(weight.Weight)})
		}
		w.Routes = append(w.Routes, encoded)
	}
	for _, service := range c.Services {
		w.Services = append(w.Services, &relayv1.Service{
			Name: t.index(service.Name), ColdDurationMs: uint64(max(service.ColdDuration.Milliseconds(), 0)), ColdRate: service.ColdRate, HealthPath: service.HealthPath,
		})
	}
	return w
}

func (r *nameReader) configuration(w *relayv1.Configuration) catalog.Configuration {
	c := catalog.Configuration{Version: w.GetVersion(), Revision: w.GetRevision(), IdleTimeout: milliseconds(w.GetIdleTimeoutMs())}
	for _, route := range w.GetRoutes() {
		decoded := catalog.Route{Name: route.Name, Address: r.address(route.Address), Terms: decodeTerms(route)}
		for _, weight := range route.Split {
			decoded.Split = append(decoded.Split, catalog.Weight{Service: r.name(weight.Service), Weight: int(weight.Weight)})
		}
		c.Routes = append(c.Routes, decoded)
	}
	for _, service := range w.GetServices() {
		c.Services = append(c.Services, catalog.Service{
			Name: r.name(service.Name), ColdDuration: milliseconds(service.ColdDurationMs), ColdRate: service.ColdRate, HealthPath: service.HealthPath,
		})
	}
	return c
}

// decodeTerms returns the terms of a route. Invalid ones have their defaults, and so have
// those of a version that does not report them.
func decodeTerms(route *relayv1.Route) catalog.Terms {
	if route.Priority == nil {
		return catalog.DefaultTerms()
	}
	terms := catalog.Terms{
		Priority: int(min(route.GetPriority(), math.MaxInt32)), Idempotent: route.Idempotent,
		LatencyGoal: milliseconds(route.LatencyGoalMs), Timeout: milliseconds(route.TimeoutMs),
	}
	terms.Normalize() // The instance that read the configuration has logged what is invalid.
	return terms
}
