package catalog

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// flowAge is how long flows may go on after their route no longer has the service of
// their upstream. An instance that has known a configuration for less does not know
// which services the routes of open flows have had.
const flowAge = removedRetention

// cookieIndex finds incarnations by their cookies by id. It is replaced and not changed
// when the known incarnations change; entries are looked up under their Cookie.
type cookieIndex struct {
	// groups stores the incarnations whose cookies by id have the same flowcookie.ID.
	groups map[flowcookie.ID]idGroup
	// contested holds the cookies by id that are the Cookie of another upstream.
	contested map[flowcookie.Cookie]bool
}

// idGroup holds the Cookie of each member. Nearly all groups have one.
type idGroup struct {
	first flowcookie.Cookie
	more  []flowcookie.Cookie
}

func newCookieIndex(entries map[flowcookie.Cookie]*Entry) *cookieIndex {
	index := &cookieIndex{groups: make(map[flowcookie.ID]idGroup, len(entries)), contested: map[flowcookie.Cookie]bool{}}
	for cookie, entry := range entries {
		group, more := index.groups[entry.CookieByID.ID()]
		if more {
			group.more = append(group.more, cookie)
		} else {
			group.first = cookie
		}
		index.groups[entry.CookieByID.ID()] = group
		if other := entries[entry.CookieByID]; other != nil && other.ID != entry.ID {
			index.contested[entry.CookieByID] = true
		}
	}
	return index
}

// exact returns the latest incarnation with a cookie by id; nil when there is none or
// upstreams with different ids have it.
func (index *cookieIndex) exact(entries map[flowcookie.Cookie]*Entry, cookie flowcookie.Cookie) *Entry {
	group, known := index.groups[cookie.ID()]
	if !known {
		return nil
	}
	var found *Entry
	if entry := entries[group.first]; entry.CookieByID == cookie {
		found = entry
	}
	for _, key := range group.more {
		entry := entries[key]
		switch {
		case entry.CookieByID != cookie:
		case found != nil && found.ID != entry.ID:
			return nil
		case found == nil || entry.Born > found.Born:
			found = entry
		}
	}
	return found
}

// latest returns the latest incarnation under the only id that has the part of a cookie;
// nil when there is none or several ids have it.
func (index *cookieIndex) latest(entries map[flowcookie.Cookie]*Entry, id flowcookie.ID) *Entry {
	group, known := index.groups[id]
	if !known {
		return nil
	}
	found := entries[group.first]
	for _, key := range group.more {
		entry := entries[key]
		if entry.ID != found.ID {
			return nil
		}
		if entry.Born > found.Born {
			found = entry
		}
	}
	return found
}

// SetCookieByID makes entries that are added later issue the cookie by id. It is called
// before the first event.
func (c *Catalog) SetCookieByID(on bool) { c.cookieByID = on }

// setCookies sets the cookies of a new incarnation.
func (c *Catalog) setCookies(entry *Entry, cookie flowcookie.Cookie) {
	entry.Cookie, entry.CookieByID = cookie, flowcookie.ByID(entry.ID, entry.Born)
	entry.issuesByID = c.cookieByID
}

// IssuedCookie returns the cookie that packets of the upstream's flows carry from now on.
func (e *Entry) IssuedCookie() flowcookie.Cookie {
	if e.issuesByID {
		return e.CookieByID
	}
	return e.Cookie
}

// issuable returns the entry, or a copy that issues the earlier format if another upstream
// has its cookie by id.
func (c *Catalog) issuable(entry *Entry) *Entry {
	if !entry.issuesByID || (!c.index.contested[entry.CookieByID] && c.index.exact(c.byCookie, entry.CookieByID) != nil) {
		return entry
	}
	earlier := *entry
	earlier.issuesByID = false
	return &earlier
}

// ResolveFlow returns the upstream incarnation that the cookie of a flow identifies, in
// either format; nil when there is none. A cookie by id never leads to a service that the
// route of the flow has not had.
func (s *Snapshot) ResolveFlow(now time.Time, service netip.AddrPort, cookie flowcookie.Cookie) *Entry {
	entry := s.byCookie[cookie]
	if entry != nil && (!s.index.contested[cookie] || s.routeHasHad(service, entry.Service)) {
		return entry
	}
	if exact := s.index.exact(s.byCookie, cookie); exact != nil && s.mayHaveHad(now, service, exact.Service) {
		return exact
	}
	return entry
}

// ResolveID returns the latest incarnation under the only known id to which a cookie by id
// can belong; nil when there is none, when the route of the flow has not had its service, or
// when another upstream has its address.
func (s *Snapshot) ResolveID(service netip.AddrPort, cookie flowcookie.Cookie) *Entry {
	latest := s.index.latest(s.byCookie, cookie.ID())
	if latest == nil || latest.Displaced || !s.routeHasHad(service, latest.Service) {
		return nil
	}
	return latest
}

// routeHasHad tells whether the route of a service address has or had a service in a
// configuration that this instance has known.
func (s *Snapshot) routeHasHad(address netip.AddrPort, service string) bool {
	return slices.Contains(s.hadServices[address], service)
}

// mayHaveHad is routeHasHad, and true while the instance has known a configuration for
// less than flowAge.
func (s *Snapshot) mayHaveHad(now time.Time, address netip.AddrPort, service string) bool {
	return s.configuredAt.IsZero() || now.Sub(s.configuredAt) < flowAge || s.routeHasHad(address, service)
}

// recordServices adds the services of the configuration's routes to those that the routes
// have had. Snapshots share the map, so that it is replaced.
func (c *Catalog) recordServices(now time.Time, next *Configuration) {
	if c.configuredAt.IsZero() {
		c.configuredAt = now
	}
	had := make(map[netip.AddrPort][]string, len(next.Routes))
	for address, services := range c.hadServices {
		had[address] = services
	}
	for i := range next.Routes {
		route := &next.Routes[i]
		services := had[route.Address]
		for _, weight := range route.Split {
			if !slices.Contains(services, weight.Service) {
				services = append(slices.Clip(services), weight.Service)
			}
		}
		had[route.Address] = services
	}
	c.hadServices = had
}
