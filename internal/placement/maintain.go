package placement

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

// longCompleteAfter is how long complete must have been true before this instance
// may assume that no member has acted on a new transition. It exceeds
// ActivationLimit plus the heartbeat interval.
const longCompleteAfter = 5 * time.Second

// AdoptTable makes a table the current one of its service, unless a table with the same
// or a later change has been adopted. HandlePacket does so as well, but an instance
// without traffic needs the transitions for Tick.
func (tracker *Tracker) AdoptTable(now time.Time, tbl *Table, view *membership.View) {
	tracker.observeView(now, view)
	tracker.adoptTable(now, tbl)
}

// RemoveService deletes the state of a service, including its flow records. Held
// packets and records queued for the backup tracker stay.
func (tracker *Tracker) RemoveService(service string) {
	if s := tracker.services[service]; s != nil {
		for _, b := range s.buckets {
			tracker.flowCount -= len(b.flows)
		}
		delete(tracker.services, service)
	}
}

func (tracker *Tracker) ensureService(name string) *serviceState {
	s := tracker.services[name]
	if s == nil {
		s = &serviceState{name: name, buckets: make(map[uint32]*bucketState)}
		tracker.services[name] = s
	}
	return s
}

func (tracker *Tracker) adoptTable(now time.Time, tbl *Table) {
	s := tracker.ensureService(tbl.service)
	if s.table != nil && s.table.change >= tbl.change {
		return
	}
	old := s.table
	s.table = tbl
	for _, bucket := range s.sortedBuckets() {
		b := s.buckets[bucket]
		if !tbl.Bucket(bucket).InTransition && tbl.change >= b.latestChange {
			tracker.flowCount -= len(b.flows)
			s.removeBucket(bucket)
		}
	}
	for _, bucket := range tbl.inTransition {
		b, place := s.ensureBucket(bucket), tbl.Bucket(bucket)
		b.latestChange = max(b.latestChange, tbl.change)
		if b.revision != 0 && b.movedAt == place.MovedAt {
			continue
		}
		// If the owner of a bucket in transition leaves, members that have adopted
		// the earlier change redirect its packets to the tracker already, so the
		// activation of that change still holds.
		if b.revision == 0 || b.previous != place.Previous {
			b.active, b.revision, b.adoptedAt = false, tbl.revision, now
		}
		if b.previous != place.Previous {
			tracker.forgetAssumed(b)
		}
		b.movedAt, b.owner, b.previous = place.MovedAt, place.Owner, place.Previous
		b.trackedSince, b.ending = time.Time{}, false
		tracker.assignTracker(now, s, b, nil)
		wasSettled := old != nil && !old.Bucket(bucket).InTransition
		handedOver := b.handedOverTo.name != "" && now.Sub(b.handedOverAt) < SuspectAfter
		if wasSettled && !handedOver && len(b.flows) == 0 && tracker.contact.longComplete(now) {
			// No member has placed flows by this transition yet: that requires its
			// adoption by this instance, or ActivationLimit to pass since the member
			// adopted it. This instance has been in contact for longer than that and
			// would have heard of such an adoption.
			b.mergedPeers = slices.Clone(b.syncPeers)
			b.authoritative = b.isTracker
		}
	}
}

// forgetAssumed deletes the records of flows that were assumed to be on the previous
// upstream before that changed.
func (tracker *Tracker) forgetAssumed(b *bucketState) {
	for fp, e := range b.flows {
		if e.flags&flagAssumed != 0 {
			delete(b.flows, fp)
			tracker.flowCount--
		}
	}
}

// maintainBucket updates the activation, the tracking time and the backup of one
// bucket, and deletes expired records.
func (tracker *Tracker) maintainBucket(now time.Time, s *serviceState, b *bucketState) {
	if b.revision != 0 {
		tracker.updateActivation(now, s, b)
	}
	if synchronized := tracker.contact.complete(now) && b.synchronized(now, s.table); synchronized {
		tracker.takeAuthority(now, b)
		tracker.updateTrackedSince(now, b)
		tracker.queueForBackup(now, s, b)
	}
	if now.Sub(b.lastScan) >= scanInterval {
		b.lastScan = now
		tracker.expireFlows(now, s, b)
	}
}

// takeAuthority makes this instance the authority over a bucket.
func (tracker *Tracker) takeAuthority(now time.Time, b *bucketState) {
	if b.authoritative {
		return
	}
	b.authoritative = true
	// Restart the idle timeout of all flows, because their packets went to another
	// tracker until now.
	for fp, e := range b.flows {
		e.seen = tracker.ticks(now)
		b.flows[fp] = e
	}
}

func (tracker *Tracker) updateActivation(now time.Time, s *serviceState, b *bucketState) {
	if b.active {
		return
	}
	b.active = tracker.minRevision >= b.revision ||
		(now.Sub(b.adoptedAt) >= ActivationLimit && tracker.cfg.Status(s.name, b.previous) != StatusServing)
}

// lowestRevision returns the lowest revision in a view. Unlike View.MinRevision it
// leaves out members that have not read any configuration yet, because they have no
// table to forward packets by.
func lowestRevision(view *membership.View) uint64 {
	lowest := view.Self.Revision
	for _, m := range view.Members {
		if m.Revision != 0 || m.Ready {
			lowest = min(lowest, m.Revision)
		}
	}
	return lowest
}

// updateTrackedSince starts the time of continuous tracking, or clears it. It
// counts only while every member sends the bucket's packets to this instance: a
// suspect member may be in another partition and send them to a tracker there.
func (tracker *Tracker) updateTrackedSince(now time.Time, b *bucketState) {
	switch {
	case tracker.anySuspect || tracker.minRevision < b.revision:
		b.trackedSince = time.Time{}
	case b.trackedSince.IsZero():
		b.trackedSince = now
	}
}

// expireFlows deletes the records of flows that are closed or idle.
func (tracker *Tracker) expireFlows(now time.Time, s *serviceState, b *bucketState) {
	idle := tracker.cfg.IdleTimeout(s.name)
	if !b.authoritative {
		tracker.forgetUnassigned(now, b)
		return
	}
	for fp, e := range b.flows {
		limit := idle
		if e.flags&flagClosed != 0 {
			limit = closedFlowRetention
		}
		if e.flags&flagPending != 0 || tracker.ticks(now)-e.seen < uint32(limit/(100*time.Millisecond)) {
			continue
		}
		upstream := tracker.upstreamNames[e.upstream]
		if e.flags&flagClosed == 0 {
			tracker.queueClosedFlow(s.table, b, fp, upstream)
		}
		delete(b.flows, fp)
		tracker.flowCount--
	}
}

// forgetUnassigned deletes the records of a bucket for which this instance has been
// neither tracker nor backup for unassignedRetention.
func (tracker *Tracker) forgetUnassigned(now time.Time, b *bucketState) {
	if b.isTracker || b.trackerName == "" || tracker.backupName(b.trackerName) == tracker.self {
		b.unassignedSince = time.Time{}
		return
	}
	if b.unassignedSince.IsZero() {
		b.unassignedSince = now
	}
	if now.Sub(b.unassignedSince) >= unassignedRetention {
		tracker.flowCount -= len(b.flows)
		b.flows = make(map[uint64]flowRecord)
	}
}

// FinishedTransitions returns the buckets of a service whose transition can end, with the table
// change that moved each. A bucket is included if this instance is its synchronized
// authority, the transition is active, and every live flow is known to be on the
// owner. The result is nil while this instance has not heard from every member or a
// member is suspect. Pass the result to Plan in PlanOptions.FinishedTransitions and write the
// table that it returns.
//
// From then on, while this instance keeps the authority, new flows of these buckets are
// placed on the owner or dropped, until a table changes the transition. The method uses
// the view of the latest call that applied one.
func (tracker *Tracker) FinishedTransitions(now time.Time, service string) map[uint32]uint32 {
	s := tracker.services[service]
	if s == nil || !tracker.contact.complete(now) || tracker.anySuspect {
		// A suspect member may place flows in another partition.
		return nil
	}
	idle := tracker.cfg.IdleTimeout(service)
	var out map[uint32]uint32
	for bucket, b := range s.buckets {
		if !b.authoritative || !b.synchronized(now, s.table) || b.owner == "" || !b.active {
			continue
		}
		// If the previous upstream is the owner, or was taken out, no live flow off
		// the owner lacks a record.
		known := b.owner == b.previous || tracker.cfg.Status(service, b.previous) == StatusTakenOut
		if !b.previousFlowsKnown(now, idle) && (!known || tracker.minRevision < b.revision) {
			continue
		}
		if tracker.allFlowsOnOwner(service, b) {
			b.ending = true
			if out == nil {
				out = make(map[uint32]uint32)
			}
			out[bucket] = b.movedAt
		}
	}
	return out
}

func (tracker *Tracker) allFlowsOnOwner(service string, b *bucketState) bool {
	for _, e := range b.flows {
		name := tracker.upstreamNames[e.upstream]
		if name != b.owner && e.flags&flagClosed == 0 && tracker.cfg.Status(service, name) != StatusTakenOut {
			return false
		}
	}
	return true
}

// backupName returns the backup tracker of an instance in the current view.
func (tracker *Tracker) backupName(instance string) string {
	name, ok := tracker.backupNames[instance]
	if !ok {
		name = backupOf(tracker.view, instance).Name
		tracker.backupNames[instance] = name
	}
	return name
}

// bucketOf returns the bucket of a fingerprint, which contains it.
func bucketOf(fingerprint uint64) uint32 { return flow.Bucket(fingerprint) }
