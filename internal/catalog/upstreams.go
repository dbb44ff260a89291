package catalog

import (
	"fmt"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

func (c *Catalog) listUpstreams(now time.Time, list UpstreamsListed) {
	listed := make(map[string]bool, len(list.Entries))
	for _, entry := range list.Entries {
		listed[entry.Upstream.ID] = !entry.Removed
		c.changeUpstream(now, entry)
	}
	for id, entry := range c.current {
		if !listed[id] && entry.RemovedAt.IsZero() {
			c.remove(now, entry, list.Revision)
		}
	}
}

func (c *Catalog) changeUpstream(now time.Time, change UpstreamChange) {
	u := change.Upstream
	entry := c.current[u.ID]
	switch {
	case change.Removed:
		if entry == nil && u.Address.IsValid() {
			c.add(now, nil, u)
			entry = c.current[u.ID]
		}
		if entry != nil && entry.RemovedAt.IsZero() {
			c.remove(now, entry, u.Revision)
		}
	case change.Invalid != nil:
		c.invalidate(entry, u, change.Invalid)
	case entry != nil && u.Revision < entry.Revision:
		// A list that was read from a lagging replica.
	case entry != nil && entry.Born == u.Born:
		c.update(now, entry, u)
	default:
		c.add(now, entry, u)
	}
}

// remove marks an entry as missing. While the view of the store was
// interrupted a moment ago, the entry may only have lapsed and come back.
func (c *Catalog) remove(now time.Time, entry *Entry, revision uint64) {
	removed := *entry
	removed.RemovedAt = now
	removed.SettledAt = now.Add(returnGrace)
	removed.Replaced = removed.Displaced
	c.replace(entry, &removed)
	c.note(Change{Event: "upstream_removed", Subject: entry.ID, Revision: revision, Detail: entry.describe()})
}

func (c *Catalog) invalidate(entry *Entry, u Upstream, err error) {
	c.note(Change{Event: "upstream_invalid", Subject: u.ID, Revision: u.Revision, Err: err})
	if entry == nil || entry.Invalid {
		return
	}
	invalid := *entry
	invalid.Invalid = true
	invalid.Revision = u.Revision
	c.replace(entry, &invalid)
}

// update takes in a new report of a known incarnation.
func (c *Catalog) update(now time.Time, entry *Entry, u Upstream) {
	if entry.Upstream == u && entry.Listed() {
		return
	}
	updated := &Entry{Upstream: u, Cookie: entry.Cookie, ColdUntil: coldUntil(now, u), Displaced: entry.Displaced}
	if !entry.RemovedAt.IsZero() || entry.Draining != u.Draining || entry.Invalid || (entry.ColdFor > 0) != (u.ColdFor > 0) {
		c.note(Change{Event: "upstream_changed", Subject: u.ID, Revision: u.Revision, Detail: updated.describe()})
	}
	c.replace(entry, updated)
}

// add takes in a new incarnation; earlier is the previous one under the same
// id, or nil.
func (c *Catalog) add(now time.Time, earlier *Entry, u Upstream) {
	if earlier != nil && u.Born < earlier.Born {
		c.note(Change{Event: "upstream_older_incarnation", Subject: u.ID, Revision: u.Revision,
			Detail: fmt.Sprintf("born=%d known=%d", u.Born, earlier.Born)})
		return
	}
	cookie := flowcookie.Of(u.ID, u.Born)
	if other := c.entries[cookie]; other != nil && other.ID != u.ID && other.RemovedAt.IsZero() {
		// Two upstreams with one cookie: the later one gets no flows, because
		// its packets would reach the other.
		c.note(Change{Event: "cookie_collision", Subject: u.ID, Revision: u.Revision, Detail: "with " + other.ID})
		return
	}
	entry := &Entry{Upstream: u, Cookie: cookie, ColdUntil: coldUntil(now, u)}
	c.end(now, earlier)
	c.occupy(entry)
	c.entries[cookie], c.current[u.ID] = entry, entry
	c.dirty = true
	c.note(Change{Event: "upstream_added", Subject: u.ID, Revision: u.Revision, Detail: entry.describe()})
}

// occupy settles which of two upstreams has an address: the later one.
func (c *Catalog) occupy(entry *Entry) {
	occupant := c.byAddress[entry.Address]
	switch {
	case occupant == nil || occupant.ID == entry.ID:
	case occupant.Born > entry.Born:
		entry.Displaced = true
		return
	default:
		displaced := *occupant
		displaced.Displaced = true
		displaced.Replaced = displaced.Replaced || !displaced.RemovedAt.IsZero()
		c.replace(occupant, &displaced)
		c.note(Change{Event: "upstream_displaced", Subject: occupant.ID, Revision: entry.Revision, Detail: "by " + entry.ID})
	}
	c.byAddress[entry.Address] = entry
}

// end marks an incarnation whose id a later one has taken.
func (c *Catalog) end(now time.Time, entry *Entry) {
	if entry == nil || entry.Replaced {
		return
	}
	replaced := *entry
	replaced.Replaced = true
	if replaced.RemovedAt.IsZero() {
		replaced.RemovedAt, replaced.SettledAt = now, now
	}
	c.replace(entry, &replaced)
	c.note(Change{Event: "upstream_replaced", Subject: entry.ID, Revision: entry.Revision, Detail: entry.describe()})
}

func (c *Catalog) replace(before, after *Entry) {
	c.entries[after.Cookie] = after
	if c.current[before.ID] == before {
		c.current[before.ID] = after
	}
	if c.byAddress[before.Address] == before {
		delete(c.byAddress, before.Address)
		c.byAddress[after.Address] = after
	}
	c.dirty = true
}

func coldUntil(now time.Time, u Upstream) time.Time {
	if u.ColdFor <= 0 {
		return time.Time{}
	}
	return now.Add(u.ColdFor)
}

func (e *Entry) describe() string {
	return fmt.Sprintf("service=%s domain=%s address=%s born=%d draining=%t cold_ms=%d cookie=%08x",
		e.Service, e.FailureDomain, e.Address, e.Born, e.Draining, e.ColdFor.Milliseconds(), uint32(e.Cookie))
}
