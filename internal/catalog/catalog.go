// Package catalog holds what an instance believes about upstreams,
// configuration and evacuations, how it learned it, and how old that is. The
// control goroutine owns a Catalog and publishes immutable snapshots of it.
package catalog

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// forgetAfter is how long a removed upstream stays known, so that its last
	// flows are still forwarded or reset: the users' longest flow age (60 s) and
	// the longest time that an upstream goes on after its entry is removed.
	forgetAfter = 90 * time.Second
	// returnGrace is how long an entry that lapsed while the store was away may
	// be missing after the store's return before the upstream counts as gone:
	// the users' bound.
	returnGrace = 2 * time.Second
	// completeAfter is how long the store must have been in reach before the
	// view is complete: its replicas lag by up to 3 s, and entries that lapsed
	// are back within returnGrace.
	completeAfter = 3*time.Second + returnGrace
	// evacuationRamp is how long the upstreams of a failure domain that returns
	// count as cold without a fresh word of their own: two reports of an
	// upstream and the lag between the watches of two kinds.
	evacuationRamp = 2 * time.Second
)

// Entry is what an instance believes about one incarnation of an upstream. It
// is immutable once it is part of a snapshot.
type Entry struct {
	Upstream
	Cookie flowcookie.Cookie
	// ColdUntil is the end of the cold start; zero for a warm upstream.
	ColdUntil time.Time
	// RemovedAt is when the entry was seen to be missing from the store; zero
	// for a listed upstream.
	RemovedAt time.Time
	// SettledAt is when a missing entry proves that the upstream is gone.
	SettledAt time.Time
	// Replaced is set when a later incarnation has the id, or has the address of
	// an entry that is missing: this one has certainly ended.
	Replaced bool
	// Displaced is set while a later upstream lists the same address. The entry
	// of an upstream that ended stays listed until it lapses.
	Displaced bool
	// Invalid is set while the entry cannot be decoded: no new flows.
	Invalid bool
}

// Cold tells whether the upstream is in cold start.
func (e *Entry) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Listed tells whether the store lists a valid entry of this incarnation.
func (e *Entry) Listed() bool {
	return e.RemovedAt.IsZero() && !e.Replaced && !e.Displaced && !e.Invalid
}

// Gone tells whether the upstream has ended for all that the store says.
func (e *Entry) Gone(now time.Time) bool {
	return e.Replaced || (!e.RemovedAt.IsZero() && !now.Before(e.SettledAt))
}

// Change is a change of belief, for the log.
type Change struct {
	Event    string
	Kind     Kind
	Subject  string
	Revision uint64
	Detail   string
	Err      error
}

// Catalog is the control state. It is not safe for concurrent use.
type Catalog struct {
	entries    map[flowcookie.Cookie]*Entry
	current    map[string]*Entry
	byAddress  map[netip.AddrPort]*Entry
	config     *Configuration
	dropped    map[netip.AddrPort]bool
	evacuated  map[string]bool
	coldDomain map[string]time.Time
	contact    [kinds]contact
	changes    []Change
	// dirty is set when a snapshot no longer shows the state, touched when only
	// the times and revisions of the contact differ.
	dirty, touched bool
	last           *Snapshot
	// builds counts the snapshots that were not shared.
	builds uint64
}

// contact is what the instance knows of its view of one kind.
type contact struct {
	known       bool
	revision    uint64
	confirmed   time.Time
	unavailable bool
	// returned is when the last loss of contact ended.
	returned time.Time
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		entries: map[flowcookie.Cookie]*Entry{}, current: map[string]*Entry{}, byAddress: map[netip.AddrPort]*Entry{},
		dropped: map[netip.AddrPort]bool{}, evacuated: map[string]bool{}, coldDomain: map[string]time.Time{},
		dirty: true,
	}
}

// Apply takes in an event and returns the changes of belief that it caused.
func (c *Catalog) Apply(now time.Time, event Event) []Change {
	c.changes = nil
	switch e := event.(type) {
	case UpstreamsListed:
		if c.newer(KindUpstreams, e.Revision) {
			c.listUpstreams(now, e)
		}
		c.confirm(now, KindUpstreams, e.Revision)
	case UpstreamsChanged:
		c.confirm(now, KindUpstreams, e.Revision)
		for _, change := range e.Changes {
			c.changeUpstream(now, change)
		}
	case ConfigurationRead:
		c.configure(e.Configuration)
		c.confirm(now, KindConfiguration, e.Configuration.Revision)
	case ConfigurationInvalid:
		c.note(Change{Event: "configuration_invalid", Kind: KindConfiguration, Revision: e.Revision, Err: e.Err})
		c.confirm(now, KindConfiguration, 0)
	case EvacuationsListed:
		c.noteInvalid(KindEvacuations, e.Revision, e.Invalid)
		if c.newer(KindEvacuations, e.Revision) {
			c.listEvacuations(now, e)
		}
		c.confirm(now, KindEvacuations, e.Revision)
	case EvacuationsChanged:
		c.noteInvalid(KindEvacuations, e.Revision, e.Invalid)
		c.confirm(now, KindEvacuations, e.Revision)
		for _, change := range e.Changes {
			c.evacuate(now, change.FailureDomain, !change.Ended)
		}
	case Confirmed:
		c.confirm(now, e.Kind, e.Revision)
	case Unavailable:
		c.lose(e.Kind, e.Err)
	case MateUnavailable:
		c.note(Change{Event: "mate_unavailable", Kind: e.Kind, Err: e.Err})
	}
	return c.changes
}

// KnowsUpstreams tells whether the upstreams have been read, so that cookies
// resolve.
func (c *Catalog) KnowsUpstreams() bool { return c.contact[KindUpstreams].known }

// Forget drops upstreams that ended long ago.
func (c *Catalog) Forget(now time.Time) {
	for cookie, entry := range c.entries {
		if entry.RemovedAt.IsZero() || now.Sub(entry.RemovedAt) < forgetAfter {
			continue
		}
		delete(c.entries, cookie)
		if c.current[entry.ID] == entry {
			delete(c.current, entry.ID)
		}
		if c.byAddress[entry.Address] == entry {
			delete(c.byAddress, entry.Address)
		}
		c.dirty = true
	}
}

func (c *Catalog) note(change Change) { c.changes = append(c.changes, change) }

func (c *Catalog) noteInvalid(kind Kind, revision uint64, reasons []error) {
	for _, err := range reasons {
		c.note(Change{Event: "entry_invalid", Kind: kind, Revision: revision, Err: err})
	}
}

// newer tells whether a list is not older than what is known. A list from a
// replica that lags must not undo a change.
func (c *Catalog) newer(kind Kind, revision uint64) bool {
	return !c.contact[kind].known || revision >= c.contact[kind].revision
}

func (c *Catalog) confirm(now time.Time, kind Kind, revision uint64) {
	contact := &c.contact[kind]
	if contact.unavailable || !contact.known {
		c.note(Change{Event: "store_regained", Kind: kind, Revision: revision, Detail: age(now, contact.confirmed)})
		contact.returned = now
	}
	contact.known, contact.unavailable = true, false
	if now.After(contact.confirmed) {
		contact.confirmed = now
	}
	contact.revision = max(contact.revision, revision)
	c.touched = true
}

func (c *Catalog) lose(kind Kind, err error) {
	contact := &c.contact[kind]
	if !contact.unavailable {
		c.note(Change{Event: "store_lost", Kind: kind, Revision: contact.revision, Err: err})
	}
	contact.unavailable = true
	c.touched = true
}

func age(now, since time.Time) string {
	if since.IsZero() {
		return "never confirmed"
	}
	return now.Sub(since).Round(time.Millisecond).String()
}
