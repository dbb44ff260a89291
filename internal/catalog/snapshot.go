package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Snapshot is an immutable copy of the catalog's state for the traffic goroutines.
type Snapshot struct {
	// Version is the version of the configuration in force; 0 without one.
	Version uint64
	// Revisions stores, by kind, the store's revision up to which it is known.
	Revisions [kindCount]uint64
	// Eras stores, by kind, the era of the store to which the revision belongs.
	Eras [kindCount]uint64
	// Confirmed stores, by kind, the time at which the store itself last confirmed it;
	// zero when it has not.
	Confirmed [kindCount]time.Time
	// Checked stores, by kind, the start of the last check of the store by this instance; zero
	// without one.
	Checked [kindCount]time.Time
	// Heard stores, by kind, the time of the last answer of the store or a replica, to this
	// instance or a peer; zero when there was none. It shows that the store is within
	// reach, not how old the state is.
	Heard [kindCount]time.Time
	// AvailableSince is the time of the store's first confirmation of the upstreams since
	// it became available; zero while it is not. Before completeDelay has passed since
	// then, an upstream that is missing may still run.
	AvailableSince time.Time

	routes        map[netip.AddrPort]*Route
	removedRoutes map[netip.AddrPort]bool
	byCookie      map[flowcookie.Cookie]*Entry
	// successors stores, under the cookies of replaced incarnations, the latest ones
	// under the same ids.
	successors map[flowcookie.Cookie]*Entry
	index      *cookieIndex
	// hadServices and configuredAt are those of the Catalog.
	hadServices  map[netip.AddrPort][]string
	configuredAt time.Time
	services     map[string]*ServiceView
	config       *Configuration
	evacuated    []string
	// evacuationEnds stores, by failure domain, the time at which its last evacuation
	// ended.
	evacuationEnds map[string]time.Time
	// buildNumber identifies the build of the maps. Snapshots that share their
	// maps have the same number.
	buildNumber uint64
}

// ServiceView is a service with its upstreams that may get new flows.
type ServiceView struct {
	Service
	// Entries lists, sorted by id, the listed upstreams that are not draining and
	// whose failure domain is not evacuated.
	Entries []*Entry
	// Missing lists, sorted by id, the upstreams whose entries are missing or
	// displaced, under the same conditions. Those that are not gone yet may still
	// run; they get flows when no listed upstream is left.
	Missing []*Entry
	// Domains is the number of failure domains, evacuated or not, that have listed
	// upstreams of the service.
	Domains int
	// Total is the number of listed upstreams, draining and evacuated ones
	// included.
	Total int
}

// Position returns the position up to which a kind is known.
func (s *Snapshot) Position(kind Kind) Position {
	return Position{Era: s.Eras[kind], Revision: s.Revisions[kind]}
}

// Route returns the route of a service address, or nil.
func (s *Snapshot) Route(address netip.AddrPort) *Route { return s.routes[address] }

// RouteRemoved tells whether a newer configuration has removed the route of the
// address while this instance ran.
func (s *Snapshot) RouteRemoved(address netip.AddrPort) bool { return s.removedRoutes[address] }

// Resolve returns the upstream incarnation that a cookie identifies, or nil.
func (s *Snapshot) Resolve(cookie flowcookie.Cookie) *Entry { return s.byCookie[cookie] }

// Successor returns the latest incarnation under the id of the upstream that a cookie
// identifies, if that is another incarnation, or nil.
func (s *Snapshot) Successor(cookie flowcookie.Cookie) *Entry { return s.successors[cookie] }

// EarlierIncarnations returns at most limit of the incarnations that have a successor,
// at random.
func (s *Snapshot) EarlierIncarnations(limit int) []Incarnation {
	var earlier []Incarnation
	for cookie := range s.successors {
		if len(earlier) == limit {
			break
		}
		earlier = append(earlier, Incarnation{ID: s.byCookie[cookie].ID, Born: s.byCookie[cookie].Born})
	}
	return earlier
}

// MissingUpstreams returns at most limit of the upstreams whose entries are missing and that
// did not announce their end by draining, at random.
func (s *Snapshot) MissingUpstreams(now time.Time, limit int) []MissingUpstream {
	var missing []MissingUpstream
	for _, entry := range s.byCookie {
		if len(missing) == limit {
			break
		}
		if entry.RemovedAt.IsZero() || entry.Replaced || entry.Draining || entry.Invalid || now.Before(entry.GoneAt) {
			continue
		}
		missing = append(missing, MissingUpstream{Upstream: entry.Upstream, Ago: now.Sub(entry.RemovedAt)})
	}
	return missing
}

// EndedEvacuations returns the evacuations that ended less than evacuationToldFor ago.
func (s *Snapshot) EndedEvacuations(now time.Time) []EndedEvacuation {
	var ended []EndedEvacuation
	for domain, end := range s.evacuationEnds {
		if ago := now.Sub(end); ago < evacuationToldFor {
			ended = append(ended, EndedEvacuation{FailureDomain: domain, Ago: ago})
		}
	}
	return ended
}

// Service returns the service of the given name, or nil.
func (s *Snapshot) Service(name string) *ServiceView { return s.services[name] }

// Services returns the services under their names. The caller must not change the
// map.
func (s *Snapshot) Services() map[string]*ServiceView { return s.services }

// AsOf returns the time at which the store last confirmed a kind, or the time of the last
// answer of a replica if the store has not confirmed it; zero when it has not been read.
func (s *Snapshot) AsOf(kind Kind) time.Time {
	if confirmed := s.Confirmed[kind]; !confirmed.IsZero() {
		return confirmed
	}
	return s.Heard[kind]
}

// Ready tells whether every kind has been read, so that upstreams can be chosen for new
// flows.
func (s *Snapshot) Ready() bool {
	for _, heard := range s.Heard {
		if heard.IsZero() {
			return false
		}
	}
	return true
}

// SameUpstreams tells whether this snapshot differs from another one in nothing
// but confirmations and revisions. It is false when other is nil.
func (s *Snapshot) SameUpstreams(other *Snapshot) bool {
	return other != nil && s.buildNumber == other.buildNumber
}

// UpstreamCount returns the number of upstream incarnations that cookies resolve to.
func (s *Snapshot) UpstreamCount() int { return len(s.byCookie) }

// Complete tells whether the store has been available for at least completeDelay, so that
// entries that expired meanwhile are back. An upstream that is not known may still run: it
// may have started since the last check (CheckedSince).
func (s *Snapshot) Complete(now time.Time) bool {
	return !s.AvailableSince.IsZero() && now.Sub(s.AvailableSince) >= completeDelay
}

// CheckedSince tells whether the store itself has confirmed the state of a kind in a check by
// this instance that began after the given time: all that was written before is known. Checks
// by peers don't count, because their messages may arrive late.
func (s *Snapshot) CheckedSince(kind Kind, at time.Time) bool {
	return s.Checked[kind].After(at)
}

// Snapshot returns a snapshot of the state, or nil and false when nothing has
// changed since the last one. When only confirmations have changed, the snapshot
// shares the maps of the last one, because building them takes 1.6 ms at the
// target size.
func (c *Catalog) Snapshot(now time.Time) (*Snapshot, bool) {
	if !c.dirty && !c.confirmationsChanged {
		return nil, false
	}
	var s *Snapshot
	if c.dirty || c.lastSnapshot == nil {
		c.builds++
		s = c.buildSnapshot(now)
	} else {
		same := *c.lastSnapshot
		s = &same
	}
	c.dirty, c.confirmationsChanged = false, false
	for kind := range c.status {
		status := &c.status[kind]
		s.Confirmed[kind], s.Checked[kind], s.Heard[kind] = status.confirmed, status.checked, status.heard
		s.Revisions[kind], s.Eras[kind] = status.revision, status.era
	}
	s.AvailableSince = time.Time{}
	if status := c.status[KindUpstreams]; !status.confirmed.IsZero() && !status.unavailable && !status.fetched {
		s.AvailableSince = status.regained
	}
	c.lastSnapshot = s
	return s, true
}

// buildSnapshot returns a snapshot with maps of its own. Its confirmations are not
// set yet.
func (c *Catalog) buildSnapshot(now time.Time) *Snapshot {
	s := &Snapshot{
		routes:        map[netip.AddrPort]*Route{},
		removedRoutes: make(map[netip.AddrPort]bool, len(c.removedRoutes)),
		byCookie:      make(map[flowcookie.Cookie]*Entry, len(c.byCookie)),
		successors:    map[flowcookie.Cookie]*Entry{},
		services:      map[string]*ServiceView{},
		buildNumber:   c.builds,
		hadServices:   c.hadServices,
		configuredAt:  c.configuredAt,
	}
	for address := range c.removedRoutes {
		s.removedRoutes[address] = true
	}
	s.evacuated = slices.Sorted(maps.Keys(c.evacuated))
	s.evacuationEnds = maps.Clone(c.evacuationEnds)
	if c.config != nil {
		s.Version, s.config = c.config.Version, c.config
		for i := range c.config.Routes {
			s.routes[c.config.Routes[i].Address] = &c.config.Routes[i]
		}
		for _, service := range c.config.Services {
			s.services[service.Name] = &ServiceView{Service: service}
		}
	}
	c.fillServices(now, s)
	return s
}

// coldTimeAfterEvacuation returns how long upstreams of a service, which may be nil, count
// as cold after an evacuation.
func coldTimeAfterEvacuation(service *ServiceView) time.Duration {
	if service == nil || service.ColdDuration <= 0 {
		return evacuationColdTime
	}
	return min(evacuationColdTime, service.ColdDuration)
}

// fillServices adds the entries to the snapshot's cookies and services.
func (c *Catalog) fillServices(now time.Time, s *Snapshot) {
	if c.index == nil {
		c.index = newCookieIndex(c.byCookie)
	}
	s.index = c.index
	domains := map[[2]string]bool{}
	for cookie, entry := range c.byCookie {
		entry = c.issuable(entry)
		service := s.services[entry.Service]
		until := c.coldAfterEvacuation(entry, service)
		if until.After(entry.ColdUntil) && now.Before(until) {
			cold := *entry
			cold.ColdUntil = until
			entry = &cold
		}
		s.byCookie[cookie] = entry
		if successor := c.successor(entry); successor != nil {
			s.successors[cookie] = c.issuable(successor)
		}
		if service == nil || entry.Replaced {
			continue
		}
		if entry.Listed() {
			service.Total++
			if key := [2]string{entry.Service, entry.FailureDomain}; !domains[key] {
				domains[key] = true
				service.Domains++
			}
		}
		if entry.Draining || entry.Invalid || c.evacuated[entry.FailureDomain] {
			continue
		}
		if entry.Listed() {
			service.Entries = append(service.Entries, entry)
		} else {
			service.Missing = append(service.Missing, entry)
		}
	}
	for _, service := range s.services {
		slices.SortFunc(service.Entries, compareIDs)
		slices.SortFunc(service.Missing, compareIDs)
	}
}

func compareIDs(a, b *Entry) int { return strings.Compare(a.ID, b.ID) }

// All returns every upstream incarnation that a cookie resolves to, sorted by id.
func (s *Snapshot) All() []*Entry {
	all := make([]*Entry, 0, len(s.byCookie))
	for _, entry := range s.byCookie {
		all = append(all, entry)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

// State returns the state of the upstream for status output: gone, invalid,
// missing, draining, cold or ready; the first that applies.
func (e *Entry) State(now time.Time) string {
	switch {
	case e.Gone(now):
		return "gone"
	case e.Invalid:
		return "invalid"
	case !e.RemovedAt.IsZero():
		return "missing"
	case e.Draining:
		return "draining"
	case e.Cold(now):
		return "cold"
	}
	return "ready"
}

// StateEvent returns the whole state of a kind as an event that another instance
// can apply, or nil when there is no configuration. It includes upstreams that are
// no longer listed, because their flows may go on, but none that are replaced or
// invalid.
func (s *Snapshot) StateEvent(kind Kind) Event {
	switch kind {
	case KindConfiguration:
		if s.config == nil {
			return nil
		}
		return ConfigurationRead{Configuration: *s.config}
	case KindEvacuations:
		return EvacuationsListed{Domains: s.evacuated, Revision: s.Revisions[kind]}
	}
	list := UpstreamsListed{Revision: s.Revisions[KindUpstreams]}
	for _, entry := range s.All() {
		if !entry.Replaced && !entry.Invalid {
			list.Entries = append(list.Entries, UpstreamChange{Upstream: entry.Upstream, Removed: !entry.RemovedAt.IsZero()})
		}
	}
	return list
}
