package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/membership"
)

// peerID identifies one run of an instance. A restarted instance has a new
// incarnation, because it has lost its flow records.
type peerID struct {
	name        string
	incarnation uint64
}

func peerIDOf(m membership.Member) peerID { return peerID{m.Name, m.Incarnation} }

// flowRecord stores the upstream of one flow. With its 8-byte fingerprint as the
// key it takes 16 bytes in a map.
type flowRecord struct {
	// seen is the time of the flow's last packet, in units of 100 ms since the
	// tracker started.
	seen     uint32
	upstream uint16
	flags    uint8
}

const (
	flagClosed = 1 << iota
	// flagPending marks a flow whose OPEN is held until the backup tracker has
	// acknowledged the record, or until ReplicationTimeout.
	flagPending
	// flagAssumed marks a flow whose OPEN was not seen here and which is assumed to be
	// on the previous upstream. During a partition that assumption can be wrong.
	flagAssumed
)

// bucketState is the state that an instance keeps for a bucket in transition.
type bucketState struct {
	bucket   uint32
	previous string
	owner    string
	movedAt  uint32
	// latestChange is the highest number of a table change with which this instance
	// or a peer had the bucket in transition.
	latestChange uint32
	// revision is the revision of the table with which this instance first adopted
	// the transition, and adoptedAt the time of that adoption. Both are zero while
	// no adopted table has the bucket in transition.
	revision  uint64
	adoptedAt time.Time
	// active is true once new flows may be placed on the owner. ending is true once a
	// table change that ends the transition may have been written.
	active bool
	ending bool
	// flows holds the flow records by fingerprint.
	flows map[uint64]flowRecord

	// isTracker is true when this instance ranks first for the bucket and has
	// adopted its transition. trackerName is the instance that ranks first and
	// secondName the one that ranks second; both are empty if there is none.
	isTracker   bool
	trackerName string
	secondName  string
	// syncPeers lists the peers whose records this tracker needs.
	syncPeers []peerID
	// recentBackups lists the latest backup trackers of the bucket's trackers,
	// oldest first, at most maxRecentBackups of them.
	recentBackups []string
	// mergedPeers lists the sync peers whose records this tracker has merged or does not
	// need.
	mergedPeers []peerID
	// syncRequests holds the unanswered requests, by peer.
	syncRequests map[peerID]syncRequest
	// authoritative is true when this instance may decide packets of flows without
	// a record.
	authoritative bool
	// peerChange is the highest table change that a peer has reported in a
	// synchronization answer and that this instance had not adopted then.
	peerChange uint32
	// trackedSince is the start of tracking without a gap; zero while such tracking
	// has not begun.
	trackedSince time.Time
	// handedOverTo is the peer whose synchronization request this instance answered
	// last, and handedOverAt the time of that answer. A tracker waits for the
	// answer of this peer, whatever state the view gives it, until SuspectAfter has
	// passed since then.
	handedOverTo peerID
	handedOverAt time.Time
	// replicatedTo is the backup tracker for which every record of a flow that is not
	// on the previous upstream has been queued.
	replicatedTo peerID
	// unassignedSince is the time at which this instance was first found to be
	// neither tracker nor backup of the bucket; zero while it is one of them.
	unassignedSince time.Time
	lastScan        time.Time
}

// syncRequest is an unanswered synchronization request to a peer. firstSent and
// lastSent are the times of its first and its latest copy.
type syncRequest struct {
	firstSent, lastSent time.Time
	sequence            uint64
	// newMember is true when the peer joined without state; its answer is waited
	// for only for newMemberTimeout.
	newMember bool
}

// synchronized reports whether this instance knows every flow of the bucket that is
// not on the previous upstream: it ranks first, no peer has reported a later table
// change, and each sync peer has answered or need not be waited for any longer.
func (b *bucketState) synchronized(now time.Time, tbl *Table) bool {
	if !b.isTracker || tbl == nil || b.peerChange > tbl.change {
		return false
	}
	for _, p := range b.syncPeers {
		if slices.Contains(b.mergedPeers, p) || (p == b.handedOverTo && now.Sub(b.handedOverAt) >= SuspectAfter) {
			continue
		}
		if request, ok := b.syncRequests[p]; !ok || !request.newMember || now.Sub(request.firstSent) < newMemberTimeout {
			return false
		}
	}
	return true
}

// relinquishAuthority gives up the authority over the bucket and clears what
// depends on it: the merged peers, the open requests, the tracking time, the
// ending mark and the replication state. The flow records stay.
func (b *bucketState) relinquishAuthority() {
	b.authoritative = false
	b.mergedPeers, b.syncRequests = nil, nil
	b.trackedSince = time.Time{}
	b.ending = false
	b.replicatedTo = peerID{}
}

// previousFlowsKnown reports whether every live flow on the previous upstream has a
// record: the bucket has been tracked for at least the idle timeout.
func (b *bucketState) previousFlowsKnown(now time.Time, idle time.Duration) bool {
	return !b.trackedSince.IsZero() && now.Sub(b.trackedSince) >= idle
}

// defaultUpstream returns the upstream of flows without a record: the owner once
// all flows on the previous upstream are known, otherwise the previous upstream.
func (b *bucketState) defaultUpstream(now time.Time, idle time.Duration) string {
	if b.owner != "" && b.previousFlowsKnown(now, idle) {
		return b.owner
	}
	return b.previous
}

// serviceState is the state that an instance keeps for one service.
type serviceState struct {
	name    string
	table   *Table
	buckets map[uint32]*bucketState
	// bucketOrder caches the keys of buckets in ascending order; nil after a bucket
	// was added or removed.
	bucketOrder []uint32
}

// ensureBucket returns the state of a bucket and creates it if there is none.
func (s *serviceState) ensureBucket(b uint32) *bucketState {
	st := s.buckets[b]
	if st == nil {
		st = &bucketState{bucket: b, flows: make(map[uint64]flowRecord)}
		s.buckets[b], s.bucketOrder = st, nil
	}
	return st
}

// sortedBuckets returns the buckets with state in ascending order, so that messages
// do not depend on map order.
func (s *serviceState) sortedBuckets() []uint32 {
	if s.bucketOrder == nil {
		s.bucketOrder = slices.Sorted(maps.Keys(s.buckets))
	}
	return s.bucketOrder
}

// removeBucket deletes the state of a bucket.
func (s *serviceState) removeBucket(b uint32) {
	delete(s.buckets, b)
	s.bucketOrder = nil
}
