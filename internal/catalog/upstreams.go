package catalog

import (
	"fmt"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// applyUpstreamList applies the entries of a list and marks the upstreams that it
// lacks as missing.
func (c *Catalog) applyUpstreamList(now time.Time, list UpstreamsListed) {
	if c.status[KindUpstreams].unsettled {
		for _, entry := range list.Entries {
			c.mergeUpstream(now, checked(entry))
		}
		return
	}
	listed := make(map[string]bool, len(list.Entries))
	for _, entry := range list.Entries {
		listed[entry.Upstream.ID] = !entry.Removed
		c.applyUpstreamChange(now, entry)
	}
	for id, entry := range c.byID {
		if !listed[id] && entry.RemovedAt.IsZero() {
			c.markMissing(now, entry, list.Revision)
		}
	}
}

// mergeUpstream applies an entry of a restored store whose upstreams may not have
// written again yet: unknown upstreams, later incarnations, and drains, which are never
// undone. Otherwise the known state is at least as new as the copy.
func (c *Catalog) mergeUpstream(now time.Time, change UpstreamChange) {
	u, entry := change.Upstream, c.byID[change.Upstream.ID]
	switch {
	case entry == nil:
		c.applyUpstreamChange(now, change)
	case change.Removed || change.Invalid != nil:
	case u.Born > entry.Born:
		c.applyUpstreamChange(now, change)
	case u.Born == entry.Born && u.Draining && !entry.Draining:
		draining := *entry
		draining.Draining = true
		c.replaceEntry(entry, &draining)
		c.recordChange(Change{Event: "upstream_changed", Subject: u.ID, Revision: u.Revision, Detail: draining.describe()})
	}
}

// applyUpstreamChange applies a removal, an invalid entry, or a valid one. A removal
// of an unknown upstream that carries its address adds the upstream as missing.
func (c *Catalog) applyUpstreamChange(now time.Time, change UpstreamChange) {
	change = checked(change)
	u := change.Upstream
	entry := c.byID[u.ID]
	switch {
	case change.Removed && entry != nil && u.Revision < entry.Revision:
		// The upstream was listed again later, as a newer page of a list has shown.
	case change.Removed:
		if entry == nil && u.Address.IsValid() && change.Invalid == nil {
			c.addIncarnation(now, nil, u)
			entry = c.byID[u.ID]
		}
		if entry != nil && entry.RemovedAt.IsZero() {
			c.markMissing(now, entry, u.Revision)
		}
	case change.Invalid != nil:
		c.markInvalid(entry, u, change.Invalid)
	case entry != nil && u.Revision < entry.Revision:
		// The entry was read from a replica that lags.
	case entry != nil && entry.Born == u.Born:
		c.updateEntry(now, entry, u)
	default:
		c.addIncarnation(now, entry, u)
	}
}

// checked returns a change, as an invalid one if its entry has a number that is out of
// range. A removal may have no entry.
func checked(change UpstreamChange) UpstreamChange {
	hasEntry := !change.Removed || change.Upstream.Address.IsValid()
	if change.Invalid == nil && hasEntry {
		change.Invalid = change.Upstream.Check()
	}
	return change
}

// markMissing marks an entry as missing. Its upstream counts as gone only after
// missingGrace: the entry may have expired while the store was unavailable, and
// then comes back. A displaced entry is replaced at once.
func (c *Catalog) markMissing(now time.Time, entry *Entry, revision uint64) {
	removed := *entry
	removed.RemovedAt = now
	removed.GoneAt = now.Add(missingGrace)
	removed.Replaced = removed.Displaced
	c.replaceEntry(entry, &removed)
	c.recordChange(Change{Event: "upstream_removed", Subject: entry.ID, Revision: revision, Detail: entry.describe()})
}

// markInvalid records that the entry of an upstream cannot be decoded; entry is the
// last valid one, or nil.
func (c *Catalog) markInvalid(entry *Entry, u Upstream, err error) {
	c.recordChange(Change{Event: "upstream_invalid", Subject: u.ID, Revision: u.Revision, Err: err})
	if entry == nil || entry.Invalid {
		return
	}
	invalid := *entry
	invalid.Invalid = true
	invalid.Revision = u.Revision
	c.replaceEntry(entry, &invalid)
}

// updateEntry applies a new entry of a known incarnation.
func (c *Catalog) updateEntry(now time.Time, entry *Entry, u Upstream) {
	if entry.Upstream == u && entry.Listed() {
		return
	}
	updated := &Entry{Upstream: u, ColdUntil: coldUntil(now, u), Displaced: entry.Displaced}
	c.setCookies(updated, entry.Cookie)
	if !entry.RemovedAt.IsZero() || entry.Draining != u.Draining || entry.Invalid || (entry.ColdFor > 0) != (u.ColdFor > 0) {
		c.recordChange(Change{Event: "upstream_changed", Subject: u.ID, Revision: u.Revision, Detail: updated.describe()})
	}
	c.replaceEntry(entry, updated)
}

// addIncarnation adds a new incarnation; earlier is the previous one under the same
// id, or nil. An incarnation that started before earlier is ignored.
func (c *Catalog) addIncarnation(now time.Time, earlier *Entry, u Upstream) {
	if earlier != nil && u.Born < earlier.Born {
		c.recordChange(Change{Event: "upstream_older_incarnation", Subject: u.ID, Revision: u.Revision,
			Detail: fmt.Sprintf("born=%d known=%d", u.Born, earlier.Born)})
		return
	}
	cookie := flowcookie.Of(u.ID, u.Born)
	if other := c.byCookie[cookie]; other != nil && other.ID != u.ID && other.RemovedAt.IsZero() {
		// Two upstreams have the same cookie. The later one gets no flows, because
		// its packets would reach the other one.
		c.recordChange(Change{Event: "cookie_collision", Subject: u.ID, Revision: u.Revision, Detail: "with " + other.ID})
		return
	}
	entry := &Entry{Upstream: u, ColdUntil: coldUntil(now, u)}
	c.setCookies(entry, cookie)
	c.markReplaced(now, earlier)
	c.claimAddress(entry)
	c.byCookie[cookie], c.byID[u.ID] = entry, entry
	c.index = nil
	c.dirty = true
	c.recordChange(Change{Event: "upstream_added", Subject: u.ID, Revision: u.Revision, Detail: entry.describe()})
}

// claimAddress assigns the address of a new entry to the upstream that started
// last, and marks the other one as displaced.
func (c *Catalog) claimAddress(entry *Entry) {
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
		c.replaceEntry(occupant, &displaced)
		c.recordChange(Change{Event: "upstream_displaced", Subject: occupant.ID, Revision: entry.Revision, Detail: "by " + entry.ID})
	}
	c.byAddress[entry.Address] = entry
}

// markReplaced marks an incarnation, which may be nil, as replaced by a later one
// under the same id.
func (c *Catalog) markReplaced(now time.Time, entry *Entry) {
	if entry == nil || entry.Replaced {
		return
	}
	replaced := *entry
	replaced.Replaced = true
	if replaced.RemovedAt.IsZero() {
		replaced.RemovedAt, replaced.GoneAt = now, now
	}
	c.replaceEntry(entry, &replaced)
	c.recordChange(Change{Event: "upstream_replaced", Subject: entry.ID, Revision: entry.Revision, Detail: entry.describe()})
}

// applyEarlierIncarnations adds incarnations that were replaced before this instance
// read the upstreams, so that flows with their cookies reach the later incarnations.
func (c *Catalog) applyEarlierIncarnations(now time.Time, earlier EarlierIncarnations) {
	for _, incarnation := range earlier.Incarnations {
		latest, cookie := c.byID[incarnation.ID], flowcookie.Of(incarnation.ID, incarnation.Born)
		if latest == nil || incarnation.Born >= latest.Born || c.byCookie[cookie] != nil {
			continue
		}
		entry := *latest
		entry.Born, entry.Replaced, entry.RemovedAt, entry.GoneAt = incarnation.Born, true, now, now
		c.setCookies(&entry, cookie)
		c.byCookie[cookie] = &entry
		c.index = nil
		c.dirty = true
		c.recordChange(Change{Event: "upstream_replaced", Subject: entry.ID, Revision: entry.Revision, Detail: entry.describe()})
	}
}

// applyMissingUpstreams adds upstreams whose entries vanished before this instance read the
// upstreams, so that probes decide about their flows. They get no new flows. Any entry in the
// store counts as newer.
func (c *Catalog) applyMissingUpstreams(now time.Time, missing MissingUpstreams) {
	for _, m := range missing.Upstreams {
		u := m.Upstream
		u.Revision = 0
		known := c.byID[u.ID] != nil || c.byAddress[u.Address] != nil
		if known || !u.Address.IsValid() || u.Check() != nil || m.Ago < missingGrace || m.Ago >= removedRetention {
			continue
		}
		c.addIncarnation(now, nil, u)
		if entry := c.byID[u.ID]; entry != nil {
			c.markMissing(now.Add(-m.Ago), entry, u.Revision)
		}
	}
}

// successor returns the latest incarnation under the id of an entry, or nil if that is
// the entry itself.
func (c *Catalog) successor(entry *Entry) *Entry {
	if latest := c.byID[entry.ID]; latest != nil && latest.Born > entry.Born {
		return latest
	}
	return nil
}

// replaceEntry stores after in place of before wherever before is stored.
func (c *Catalog) replaceEntry(before, after *Entry) {
	c.byCookie[after.Cookie] = after
	if c.byID[before.ID] == before {
		c.byID[before.ID] = after
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
