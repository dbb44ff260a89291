package placement

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

// contact tells whether this instance has heard enough from the other members to
// rely on its tables.
type contact struct {
	self       string
	view       *membership.View
	lastUpdate time.Time
	startedAt  time.Time
	// resumedAt is the time at which this instance started or resumed after a
	// pause; zero once every member has been heard since, or SuspectAfter has
	// passed.
	resumedAt time.Time
	// behindTarget is the higher revision of a member that this instance has to reach
	// next, and behindSince the time at which it became the target. When the target is
	// reached and a member reports a still higher revision, that one becomes the target
	// and the time starts again, even if it was known before. behindSince is zero while
	// no member reports a higher revision.
	behindSince  time.Time
	behindTarget uint64
	// requiredRevision is the revision that this instance must have adopted before
	// it decides anything.
	requiredRevision uint64
	// lastIncomplete is the latest time at which complete was false.
	lastIncomplete time.Time
}

// applyView applies a new view and reports whether this instance has just started
// or was paused for longer than PauseThreshold.
func (c *contact) applyView(now time.Time, view *membership.View) bool {
	paused := c.lastUpdate.IsZero() || now.Sub(c.lastUpdate) > PauseThreshold
	if c.lastUpdate.IsZero() {
		c.startedAt = now
	}
	c.lastUpdate = now
	if paused {
		c.resumedAt = now
	}
	if view != c.view {
		c.compareRevisions(now, view)
		c.view = view
	}
	if !c.resumedAt.IsZero() && c.allHeard(now) {
		c.resumedAt = time.Time{}
	}
	if !c.complete(now) {
		c.lastIncomplete = now
	}
	return paused
}

// compareRevisions raises requiredRevision to the revision of members that are new
// or no longer suspect, and records since when this instance has been behind the
// highest revision.
func (c *contact) compareRevisions(now time.Time, view *membership.View) {
	highest := view.Self.Revision
	for _, m := range view.Members {
		highest = max(highest, m.Revision)
		if c.view == nil || m.Name == c.self || m.State == membership.Suspect {
			continue
		}
		before, ok := c.view.Member(m.Name)
		if (!ok || before.State == membership.Suspect) && m.Revision > view.Self.Revision {
			c.requiredRevision = max(c.requiredRevision, m.Revision)
		}
	}
	switch {
	case highest <= view.Self.Revision:
		c.behindSince = time.Time{}
	case c.behindSince.IsZero() || view.Self.Revision >= c.behindTarget:
		c.behindSince, c.behindTarget = now, highest
	}
}

// allHeard reports whether every other member has been heard since the start or the
// pause, and raises requiredRevision to their revisions. After SuspectAfter it is
// true in any case, so that silent members are not waited for; until startupWait has
// passed since the start it is false.
func (c *contact) allHeard(now time.Time) bool {
	if now.Sub(c.resumedAt) >= SuspectAfter {
		return true
	}
	if now.Sub(c.startedAt) < startupWait {
		return false
	}
	for _, m := range c.view.Members {
		if m.Name != c.self && !m.LastHeard.After(c.resumedAt) {
			return false
		}
		if m.Name != c.self {
			c.requiredRevision = max(c.requiredRevision, m.Revision)
		}
	}
	return true
}

// ready reports whether this instance may decide by its tables: it has the required
// revision, is not catching up after a pause, and has not known of a later revision
// for StaleTableLimit. After a start it is ready as soon as it has its configuration;
// after a pause it must first hear from every member or wait for SuspectAfter.
func (c *contact) ready(now time.Time) bool {
	if c.view == nil || c.view.Self.Revision < c.requiredRevision {
		return false
	}
	if !c.resumedAt.IsZero() && (c.resumedAt != c.startedAt || !c.view.Self.Ready) {
		return false
	}
	return c.behindSince.IsZero() || now.Sub(c.behindSince) < StaleTableLimit
}

// complete reports whether this instance is ready and has heard from every member
// since its start or its last pause, so that it knows which peers to ask before it
// becomes the authority over a bucket. Members that are silent for SuspectAfter are
// not waited for.
func (c *contact) complete(now time.Time) bool { return c.resumedAt.IsZero() && c.ready(now) }

// longComplete reports whether complete has been true for longCompleteAfter: long
// enough to have heard of every transition that other members could have acted on
// without this instance.
func (c *contact) longComplete(now time.Time) bool {
	return c.complete(now) && now.Sub(c.lastIncomplete) >= longCompleteAfter
}

// observeView applies a view. When the members have changed, it assigns the tracker
// of each bucket again; after a start or a pause it first gives up every authority.
func (tracker *Tracker) observeView(now time.Time, view *membership.View) {
	if tracker.startedAt.IsZero() {
		tracker.startedAt = now
		tracker.contact.self = tracker.self
	}
	paused := tracker.contact.applyView(now, view)
	if paused {
		for _, s := range tracker.services {
			for _, b := range s.buckets {
				b.relinquishAuthority()
			}
		}
	}
	if view == tracker.view {
		return
	}
	old := tracker.view
	tracker.view, tracker.minRevision = view, lowestRevision(view)
	tracker.anySuspect = slices.ContainsFunc(view.Members, func(m membership.Member) bool {
		return m.State == membership.Suspect
	})
	if old != nil && sameMembers(old, view) {
		return
	}
	tracker.backupNames = make(map[string]string)
	tracker.replicator.backup = backupOf(view, tracker.self)
	for _, s := range tracker.services {
		for _, b := range s.buckets {
			tracker.assignTracker(now, s, b, old)
		}
	}
}

// sameMembers reports whether two views have the same members with equal
// incarnation, state, failure domain and address, so that trackers and backups are
// the same.
func sameMembers(a, b *membership.View) bool {
	return slices.EqualFunc(a.Members, b.Members, func(x, y membership.Member) bool {
		return x.Name == y.Name && x.Incarnation == y.Incarnation && x.State == y.State &&
			x.FailureDomain == y.FailureDomain && x.Address == y.Address
	})
}

// memberReturned reports whether a member that was suspect in the old view is not
// suspect in the new one.
func memberReturned(old, view *membership.View) bool {
	return slices.ContainsFunc(view.Members, func(m membership.Member) bool {
		before, ok := old.Member(m.Name)
		return ok && before.State == membership.Suspect && m.State != membership.Suspect
	})
}

// bucketSeed is the seed for ranking the trackers of a bucket.
func bucketSeed(service string, bucket uint32) uint64 {
	return flow.NameHash(service) + uint64(bucket)*0x9e3779b97f4a7c15
}

// assignTracker computes which instance tracks a bucket and which peers this
// instance has to ask for records. old is the view before the change; nil for none.
func (tracker *Tracker) assignTracker(now time.Time, s *serviceState, b *bucketState, old *membership.View) {
	ranked := tracker.view.Rank(bucketSeed(s.name, b.bucket))
	b.trackerName, b.secondName = "", ""
	if len(ranked) > 0 {
		b.trackerName = ranked[0].Name
	}
	if len(ranked) > 1 {
		b.secondName = ranked[1].Name
	}
	if backup := tracker.backupName(b.trackerName); !slices.Contains(b.recentBackups, backup) {
		b.recentBackups = append(b.recentBackups, backup)
		b.recentBackups = b.recentBackups[max(0, len(b.recentBackups)-maxRecentBackups):]
	}
	wasTracker := b.isTracker
	b.isTracker = b.trackerName == tracker.self && b.revision != 0
	if b.isTracker && !wasTracker {
		// Another instance may have been the authority while this one was not the
		// tracker.
		b.relinquishAuthority()
	}
	b.syncPeers = b.syncPeers[:0]
	if !b.isTracker {
		if old != nil && memberReturned(old, tracker.view) {
			// During a partition the returned member may have tracked the bucket as
			// well.
			b.authoritative = false
		}
		return
	}
	former := tracker.formerBackupNames(s, b)
	for i, m := range ranked {
		if m.Name != tracker.self && (i <= tracker.cfg.SyncPeers || slices.Contains(former, m.Name)) {
			b.syncPeers = append(b.syncPeers, peerIDOf(m))
		}
	}
	for _, m := range tracker.view.Members {
		if m.State == membership.Leaving && m.Name != tracker.self {
			b.syncPeers = append(b.syncPeers, peerIDOf(m))
		}
	}
	if b.handedOverTo.name != "" && now.Sub(b.handedOverAt) < SuspectAfter &&
		!slices.Contains(b.syncPeers, b.handedOverTo) {
		b.syncPeers = append(b.syncPeers, b.handedOverTo)
	}
	// Remove peers that are not needed any more, so that they are asked again if
	// they return.
	b.mergedPeers = slices.DeleteFunc(b.mergedPeers, func(p peerID) bool { return !slices.Contains(b.syncPeers, p) })
	for p := range b.syncRequests {
		if !slices.Contains(b.syncPeers, p) {
			delete(b.syncRequests, p)
		}
	}
	if b.authoritative && old != nil {
		tracker.markNewMembers(now, b, old)
	}
}

// formerBackupNames returns the names of the backup trackers of instances that may
// have tracked the bucket before. These are the ones recorded in recentBackups and,
// because an instance that has just joined has recorded none, the possible backups
// of the first ranks. Silent members are ranked as well.
func (tracker *Tracker) formerBackupNames(s *serviceState, b *bucketState) []string {
	all := &membership.View{Members: slices.Clone(tracker.view.Members)}
	for i := range all.Members {
		all.Members[i].State = membership.Alive
	}
	former := slices.Clone(b.recentBackups)
	for i, m := range all.Rank(bucketSeed(s.name, b.bucket)) {
		if i < formerTrackerRanks {
			former = append(former, tracker.possibleBackups(m)...)
		}
	}
	return former
}

// possibleBackups returns the names of the two instances that can have been the
// backup tracker of m before this instance, or one other, joined.
func (tracker *Tracker) possibleBackups(m membership.Member) []string {
	var sameDomain, otherDomain []string
	for _, other := range tracker.view.Rank(flow.NameHash(m.Name)) {
		switch {
		case other.Name == m.Name || other.Name == tracker.self:
		case other.FailureDomain == m.FailureDomain:
			sameDomain = append(sameDomain, other.Name)
		default:
			otherDomain = append(otherDomain, other.Name)
		}
	}
	return append(otherDomain, sameDomain...)[:min(2, len(otherDomain)+len(sameDomain))]
}

// markNewMembers lets an authority continue after newMemberTimeout without the answer
// of a member that was not in the old view: it joined without state.
func (tracker *Tracker) markNewMembers(now time.Time, b *bucketState, old *membership.View) {
	for _, p := range b.syncPeers {
		if before, ok := old.Member(p.name); ok && before.Incarnation == p.incarnation {
			continue
		}
		if b.syncRequests == nil {
			b.syncRequests = make(map[peerID]syncRequest)
		}
		b.syncRequests[p] = syncRequest{firstSent: now, newMember: true}
	}
}

// backupOf returns the backup tracker of the named instance, preferably in another
// failure domain; the zero member if there is none. A tracker has one backup for
// all its buckets, so that new records share messages: the header of a message
// takes several times the bytes of a record.
func backupOf(view *membership.View, instance string) membership.Member {
	self, _ := view.Member(instance)
	var sameDomain membership.Member
	for _, m := range view.Rank(flow.NameHash(instance)) {
		switch {
		case m.Name == instance:
		case m.FailureDomain != self.FailureDomain:
			return m
		case sameDomain.Name == "":
			sameDomain = m
		}
	}
	return sameDomain
}
