// Package catalog holds an instance's state of the upstreams, the configuration
// and the evacuations, with the revision and age of each. The control goroutine
// owns a Catalog and publishes immutable snapshots of it.
package catalog

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// removedRetention is how long a removed upstream is kept, so that its last
	// flows are still forwarded or reset. It covers the users' longest flow age
	// (60 s) and the longest time that an upstream runs on after its entry is
	// removed.
	removedRetention = 90 * time.Second
	// missingGrace is how long an entry may be missing from the store before its
	// upstream counts as gone: an entry that expired while the store was
	// unavailable may come back. It is the users' bound.
	missingGrace = 2 * time.Second
	// completeDelay is how long the store must have been available without a
	// break before the state is complete: entries that expired are back within
	// missingGrace, and instances find them with the next check, at most 3 s later.
	completeDelay = 3*time.Second + missingGrace
	// checkDelay is the time before the confirmation of a check by this instance at which the
	// check counts as begun if its start is not known.
	checkDelay = time.Second
	// answerDelay bounds the time from the start of a call to the store to the moment that its
	// response shows: a watch waits for up to 1.5 s, and its header arrives within 0.6 s. The body
	// may take much longer on a slow link.
	answerDelay = 2100 * time.Millisecond
	// evacuationColdTime is how long the upstreams of a failure domain count as
	// cold after its evacuation has ended, whatever their entries say, unless the cold
	// start of their service is shorter. It covers a report of an upstream, 1.2 s, and
	// the 2.5 s for which its entry may stay unknown while replicas lag.
	evacuationColdTime = 3700 * time.Millisecond
	// evacuationToldFor is how long instances tell others that an evacuation has ended.
	// An instance that has read of the end in the store's history learns from it that
	// the upstreams are no longer cold.
	evacuationToldFor = time.Minute
)

// Entry is an instance's state of one incarnation of an upstream. It is immutable
// once it is part of a snapshot.
type Entry struct {
	Upstream
	// Cookie is the key of the incarnation's state. CookieByID leads to it as well.
	Cookie, CookieByID flowcookie.Cookie
	// issuesByID is set when packets of its flows are to carry CookieByID.
	issuesByID bool
	// ColdUntil is the end of the cold start; zero for a warm upstream.
	ColdUntil time.Time
	// RemovedAt is the time at which the entry was found missing from the store,
	// or the incarnation was replaced; zero for a listed upstream.
	RemovedAt time.Time
	// GoneAt is the time from which an upstream with a missing entry counts as
	// gone; zero for a listed upstream.
	GoneAt time.Time
	// Replaced is set when a later incarnation has the id, or when the entry is
	// missing and a later upstream has the address. This incarnation has ended.
	Replaced bool
	// Displaced is set when a later upstream has the same address: the entry of
	// an upstream that ended stays in the store until it expires.
	Displaced bool
	// Invalid is set while the entry cannot be decoded. The upstream then gets no
	// new flows.
	Invalid bool
}

// Cold tells whether the upstream is in cold start at the given time.
func (e *Entry) Cold(now time.Time) bool { return now.Before(e.ColdUntil) }

// Listed tells whether the store lists a valid entry of this incarnation, and no
// later incarnation or upstream has taken over its id or address.
func (e *Entry) Listed() bool {
	return e.RemovedAt.IsZero() && !e.Replaced && !e.Displaced && !e.Invalid
}

// Gone tells whether the upstream counts as ended: it is replaced, or its entry
// is missing and GoneAt has passed.
func (e *Entry) Gone(now time.Time) bool {
	return e.Replaced || (!e.RemovedAt.IsZero() && !now.Before(e.GoneAt))
}

// Change is a change of the catalog's state, for the log. Event, Subject, Detail
// and Err are values of the log line.
type Change struct {
	Event    string
	Kind     Kind
	Subject  string
	Revision uint64
	Detail   string
	Err      error
}

// Catalog is the control state of an instance. It is not safe for concurrent use.
type Catalog struct {
	// byCookie stores the known incarnations under their cookies, byID the
	// latest incarnation under each upstream's id, and byAddress the latest
	// upstream under its address. DeleteExpired removes entries from all three.
	byCookie  map[flowcookie.Cookie]*Entry
	byID      map[string]*Entry
	byAddress map[netip.AddrPort]*Entry
	// index is that of byCookie; nil after its keys have changed.
	index *cookieIndex
	// config is the configuration in force; nil before the first one is read.
	config *Configuration
	// removedRoutes stores the addresses of routes that a newer configuration has
	// removed. An address is deleted when a configuration contains it again.
	removedRoutes map[netip.AddrPort]bool
	// hadServices stores, by address, the services that routes have or had. It is replaced
	// and not changed. Its first content is from configuredAt.
	hadServices  map[netip.AddrPort][]string
	configuredAt time.Time
	// cookieByID is set when new entries issue their cookie by id.
	cookieByID bool
	// evacuated stores the names of the evacuated failure domains.
	evacuated map[string]bool
	// evacuationEnds stores, by failure domain, the time at which its last evacuation
	// ended. Entries are not deleted.
	evacuationEnds map[string]time.Time
	// earlierEnds stores, by failure domain, the end of an evacuation that no known
	// instance has seen.
	earlierEnds map[string]earlierEnd
	status      [kindCount]kindStatus
	// changes collects the changes that the current call of Apply causes.
	changes []Change
	// dirty is set when the last snapshot no longer shows the state;
	// confirmationsChanged is set when its times and revisions of confirmation
	// are out of date.
	dirty, confirmationsChanged bool
	lastSnapshot                *Snapshot
	// builds is the number of snapshots that were built with maps of their own.
	builds uint64
}

// kindStatus is the status of one kind: its revision, its last confirmation, and
// whether the store answers.
type kindStatus struct {
	// known is set once the kind has been read.
	known bool
	// heard is the time of the last answer about the kind, of the store or a replica.
	heard time.Time
	// era is the era of the store to which revision belongs.
	era      uint64
	revision uint64
	// unsettled is set from a change of the era until EraSettled.
	unsettled bool
	// confirmed is the time at which the store itself last confirmed the kind; zero
	// while only replicas have answered.
	confirmed time.Time
	// checked is the start of the last check by this instance; zero without one.
	checked time.Time
	// unavailable is set from a failed call to the store until the next
	// confirmation.
	unavailable bool
	// fetched is set while the state is another instance's and has not been confirmed
	// since.
	fetched bool
	// regained is the time of the first confirmation, or of the first one after
	// the last failed call.
	regained time.Time
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		byCookie: map[flowcookie.Cookie]*Entry{}, byID: map[string]*Entry{}, byAddress: map[netip.AddrPort]*Entry{},
		removedRoutes: map[netip.AddrPort]bool{}, evacuated: map[string]bool{}, evacuationEnds: map[string]time.Time{},
		earlierEnds: map[string]earlierEnd{}, dirty: true,
	}
}

// Apply applies an event and returns the changes of state that it caused. The time
// now is the time to which the event's data applies.
func (c *Catalog) Apply(now time.Time, event Event) []Change {
	c.changes = nil
	c.apply(now, event)
	return c.changes
}

func (c *Catalog) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case UpstreamsListed:
		if c.isNotOlder(KindUpstreams, e.Revision) {
			c.applyUpstreamList(now, e)
		}
		c.recordKnown(now, KindUpstreams, e.Revision)
	case UpstreamsChanged:
		c.recordKnown(now, KindUpstreams, e.Revision)
		for _, change := range e.Changes {
			c.applyUpstreamChange(now, change)
		}
	case ConfigurationRead:
		c.applyConfiguration(now, e.Configuration)
		c.recordKnown(now, KindConfiguration, e.Configuration.Revision)
	case ConfigurationInvalid:
		c.recordChange(Change{Event: "configuration_invalid", Kind: KindConfiguration, Revision: e.Revision, Err: e.Err})
		c.recordKnown(now, KindConfiguration, 0)
	case EvacuationsListed:
		c.recordInvalidEntries(KindEvacuations, e.Revision, e.Invalid)
		if c.isNotOlder(KindEvacuations, e.Revision) {
			c.applyEvacuationList(now, e)
		}
		c.recordKnown(now, KindEvacuations, e.Revision)
	case EvacuationsChanged:
		c.recordInvalidEntries(KindEvacuations, e.Revision, e.Invalid)
		c.recordKnown(now, KindEvacuations, e.Revision)
		for _, change := range e.Changes {
			c.setEvacuated(now, change.FailureDomain, !change.Ended)
		}
	case Known:
		c.recordKnown(now, e.Kind, e.Revision)
	case FoundByCheck:
		c.recordChange(Change{Event: "changes_found_by_check", Kind: e.Kind, Revision: e.Revision, Detail: fmt.Sprintf("current=%d", e.Current)})
	case Confirmed:
		at := now
		if latest := e.Began.Add(answerDelay); !e.Began.IsZero() && latest.Before(now) {
			at = latest
		}
		c.recordKnown(now, e.Kind, e.Revision)
		c.recordConfirmation(at, e.Kind, e.Revision)
		c.recordCheck(now, e)
	case Unavailable:
		c.recordFailedCall(e.Kind, e.Err)
	case EraChanged:
		c.applyEra(now, e)
	case EraSettled:
		c.recordChange(Change{Event: "store_era_settled", Kind: e.Kind, Revision: c.status[e.Kind].revision, Detail: fmt.Sprintf("era=%d", e.Era)})
		c.status[e.Kind].unsettled = false
	case ListPagesDiffer:
		c.recordChange(Change{Event: "list_pages_differ", Kind: e.Kind, Revision: e.Revision, Detail: fmt.Sprintf("newest=%d", e.Newest)})
	case EarlierIncarnations:
		c.applyEarlierIncarnations(now, e)
	case MissingUpstreams:
		c.applyMissingUpstreams(now, e)
	case EvacuationsEnded:
		c.applyEvacuationEnds(now, e)
	case EarlierEvacuationEnds:
		c.applyEarlierEnds(now, e)
	case AnswerIgnored:
		c.recordChange(Change{Event: "answer_ignored", Kind: e.Kind, Revision: e.Answer.Revision,
			Detail: fmt.Sprintf("era=%d held_era=%d held_revision=%d", e.Answer.Era, e.Held.Era, e.Held.Revision)})
	case PeerStateFetched:
		c.applyPeerState(now, e)
	}
}

// applyEra applies the first state of another era. Revisions of the earlier state are
// forgotten, because they are not comparable to the new ones.
func (c *Catalog) applyEra(now time.Time, e EraChanged) {
	status := &c.status[e.Kind]
	if e.Restored {
		c.recordChange(Change{Event: "store_era_changed", Kind: e.Kind, Revision: e.After.Revision,
			Detail: fmt.Sprintf("era=%d before=%d held_revision=%d", e.After.Era, e.Before.Era, e.Before.Revision)})
		c.forgetRevisions(e.Kind)
		status.regained = now
	}
	status.era, status.revision, status.unsettled = e.After.Era, 0, e.Restored
	c.dirty = true
	for _, event := range e.Events {
		c.apply(now, event)
	}
}

// forgetRevisions makes the next change of each entry of a kind count as newer.
func (c *Catalog) forgetRevisions(kind Kind) {
	switch {
	case kind == KindUpstreams:
		for _, entry := range c.byCookie {
			forgotten := *entry
			forgotten.Revision = 0
			c.replaceEntry(entry, &forgotten)
		}
	case kind == KindConfiguration && c.config != nil:
		config := *c.config
		config.Revision = 0
		c.config = &config
	}
}

// applyPeerState applies the state of another instance. The store itself does not
// count as available because of it.
func (c *Catalog) applyPeerState(now time.Time, e PeerStateFetched) {
	c.recordChange(Change{Event: "peer_state_fetched", Kind: e.Kind, Revision: e.Revision, Detail: fmt.Sprintf("from=%s age_ms=%d", e.Source, e.Age.Milliseconds())})
	for _, event := range e.Events {
		applied := now
		if e.Kind == KindEvacuations {
			// The state of the upstreams, which says which of them are cold, may arrive
			// later than the end of an evacuation.
			applied = now.Add(e.Age)
		}
		c.apply(applied, event)
	}
	c.recordConfirmation(now, e.Kind, e.Revision)
	c.status[e.Kind].fetched = true
}

// KnowsUpstreams tells whether the upstreams have been read, so that cookies can
// be resolved.
func (c *Catalog) KnowsUpstreams() bool { return c.status[KindUpstreams].known }

// DeleteExpired deletes the incarnations that were removed at least removedRetention
// ago.
func (c *Catalog) DeleteExpired(now time.Time) {
	for cookie, entry := range c.byCookie {
		if entry.RemovedAt.IsZero() || now.Sub(entry.RemovedAt) < removedRetention {
			continue
		}
		delete(c.byCookie, cookie)
		c.index = nil
		if c.byID[entry.ID] == entry {
			delete(c.byID, entry.ID)
		}
		if c.byAddress[entry.Address] == entry {
			delete(c.byAddress, entry.Address)
		}
		c.dirty = true
	}
}

func (c *Catalog) recordChange(change Change) { c.changes = append(c.changes, change) }

func (c *Catalog) recordInvalidEntries(kind Kind, revision uint64, reasons []error) {
	for _, err := range reasons {
		c.recordChange(Change{Event: "entry_invalid", Kind: kind, Revision: revision, Err: err})
	}
}

// isNotOlder tells whether a list of the revision is not older than the state of
// the kind. A list from a replica that lags must not undo a change.
func (c *Catalog) isNotOlder(kind Kind, revision uint64) bool {
	return !c.status[kind].known || revision >= c.status[kind].revision
}

// recordKnown records that a kind is known up to a revision.
func (c *Catalog) recordKnown(now time.Time, kind Kind, revision uint64) {
	status := &c.status[kind]
	if !status.known {
		c.recordChange(Change{Event: "state_known", Kind: kind, Revision: revision})
		status.known = true
	}
	if now.After(status.heard) {
		status.heard = now
	}
	status.revision = max(status.revision, revision)
	c.confirmationsChanged = true
}

// recordConfirmation records that the store has confirmed a kind up to a revision.
func (c *Catalog) recordConfirmation(now time.Time, kind Kind, revision uint64) {
	c.recordKnown(now, kind, revision)
	status := &c.status[kind]
	switch {
	case status.confirmed.IsZero():
		status.regained = now
	case status.unavailable || status.fetched:
		c.recordChange(Change{Event: "store_regained", Kind: kind, Revision: revision, Detail: now.Sub(status.confirmed).Round(time.Millisecond).String()})
		status.regained = now
	}
	status.unavailable, status.fetched = false, false
	if now.After(status.confirmed) {
		status.confirmed = now
	}
}

// recordCheck records the start of a check by this instance.
func (c *Catalog) recordCheck(now time.Time, e Confirmed) {
	began := e.Began
	if began.IsZero() {
		began = now.Add(-checkDelay)
	}
	if status := &c.status[e.Kind]; !e.ByPeer && began.After(status.checked) {
		status.checked = began
	}
}

// recordFailedCall records that a call for a kind to the store has failed.
func (c *Catalog) recordFailedCall(kind Kind, err error) {
	status := &c.status[kind]
	if !status.unavailable {
		c.recordChange(Change{Event: "store_lost", Kind: kind, Revision: status.revision, Err: err})
	}
	status.unavailable = true
	c.confirmationsChanged = true
}
