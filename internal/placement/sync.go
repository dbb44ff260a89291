package placement

import (
	"maps"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

// requestSync asks peers for the flow records that this tracker lacks.
func (tracker *Tracker) requestSync(now time.Time, s *serviceState) []action.Action {
	if s.table == nil || !tracker.contact.complete(now) {
		return nil
	}
	wanted := make(map[string][]uint32)
	tracker.syncSequence++
	for _, bucket := range s.sortedBuckets() {
		b := s.buckets[bucket]
		if !b.isTracker {
			continue
		}
		for _, p := range b.syncPeers {
			request := b.syncRequests[p]
			if slices.Contains(b.mergedPeers, p) || now.Sub(request.lastSent) < retryInterval {
				continue
			}
			if request.firstSent.IsZero() {
				request.firstSent = now
			}
			request.lastSent, request.sequence = now, tracker.syncSequence
			if b.syncRequests == nil {
				b.syncRequests = make(map[peerID]syncRequest)
			}
			b.syncRequests[p] = request
			wanted[p.name] = append(wanted[p.name], bucket)
		}
	}
	var out []action.Action
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		tracker.stats.SyncRequests++
		req := &pb.TrackerSyncRequest{
			Service: s.name, Buckets: wanted[name], Change: s.table.change, Sequence: tracker.syncSequence,
		}
		out = append(out, tracker.messageTo(name, &pb.PeerMessage{
			Body: &pb.PeerMessage_TrackerSyncRequest{TrackerSyncRequest: req},
		}))
	}
	return out
}

// HandleSyncRequest answers with the flow records of the requested buckets and gives
// up the authority over them. It returns nil if a bucket is out of range, or if the
// service is unknown here and the number of services is at its bound. The authority
// over buckets that precede one out of range is given up nevertheless.
func (tracker *Tracker) HandleSyncRequest(
	now time.Time, from string, incarnation uint64, req *pb.TrackerSyncRequest,
) []action.Action {
	tracker.detectPause(now)
	answer := &pb.TrackerSync{Service: req.GetService(), Sequence: req.GetSequence()}
	if tracker.services[req.GetService()] == nil && len(tracker.services) >= maxServices {
		tracker.stats.Malformed++
		return nil
	}
	s := tracker.ensureService(req.GetService())
	if s.table != nil {
		answer.Change = s.table.change
	}
	for _, bucket := range req.GetBuckets() {
		if bucket >= flow.BucketCount {
			tracker.stats.Malformed++
			return nil
		}
		answer.Buckets = append(answer.Buckets, tracker.handOverBucket(
			now, s, bucket, req.GetChange(), peerID{from, incarnation}))
	}
	tracker.stats.SyncAnswers++
	return []action.Action{tracker.messageTo(from, &pb.PeerMessage{
		Body: &pb.PeerMessage_TrackerSync{TrackerSync: answer},
	})}
}

func (tracker *Tracker) handOverBucket(
	now time.Time, s *serviceState, bucket, change uint32, to peerID,
) *pb.BucketSync {
	out := &pb.BucketSync{Bucket: bucket}
	b := s.ensureBucket(bucket)
	b.latestChange = max(b.latestChange, change)
	out.Authoritative, out.Active, out.Settling = b.authoritative, b.active, b.ending
	if b.authoritative && !b.trackedSince.IsZero() {
		out.TrackedMs = uint32(now.Sub(b.trackedSince).Milliseconds())
	}
	type groupKey struct {
		upstream uint16
		assumed  bool
	}
	groups := make(map[groupKey]*pb.FlowGroup)
	for _, fp := range sortedKeys(b.flows) {
		e := b.flows[fp]
		// Without the authority, the records on the previous upstream are incomplete
		// and of no use, because they count only with the time for which they were
		// tracked.
		if e.flags&flagClosed != 0 || (!b.authoritative &&
			(e.flags&flagAssumed != 0 || tracker.upstreamNames[e.upstream] == b.previous)) {
			continue
		}
		key := groupKey{e.upstream, e.flags&flagAssumed != 0}
		g := groups[key]
		if g == nil {
			g = &pb.FlowGroup{Upstream: tracker.upstreamNames[e.upstream], Assumed: key.assumed}
			groups[key] = g
			out.Groups = append(out.Groups, g)
		}
		g.Entries = appendFingerprint(g.Entries, fp)
	}
	b.relinquishAuthority()
	b.handedOverTo, b.handedOverAt = to, now
	if b.isTracker && !slices.Contains(b.syncPeers, to) {
		b.syncPeers = append(b.syncPeers, to)
	}
	return out
}

// HandleSync handles the answer to a synchronization request: it merges the flow
// records in it, and releases held packets that can be decided now or whose time
// limit has passed. For each bucket, an answer to any but the latest request to the
// peer is ignored, and an answer by a later table change is not merged.
func (tracker *Tracker) HandleSync(now time.Time, from string, incarnation uint64, msg *pb.TrackerSync) []Release {
	tracker.detectPause(now)
	s, peer := tracker.services[msg.GetService()], peerID{from, incarnation}
	if s == nil || s.table == nil {
		return nil
	}
	for _, bs := range msg.GetBuckets() {
		b := s.buckets[bs.GetBucket()]
		if b == nil {
			continue
		}
		if request, asked := b.syncRequests[peer]; !asked || !b.isTracker || request.sequence != msg.GetSequence() {
			continue
		}
		if msg.GetChange() > s.table.change {
			// The peer may have seen the transition end and deleted the records.
			b.peerChange = max(b.peerChange, msg.GetChange())
			continue
		}
		if tracker.mergeBucket(now, b, bs) {
			b.mergedPeers = append(b.mergedPeers, peer)
			delete(b.syncRequests, peer)
		}
		if tracker.contact.complete(now) && b.synchronized(now, s.table) {
			tracker.takeAuthority(now, b)
		}
	}
	return tracker.retryHeld(now)
}

func (tracker *Tracker) mergeBucket(now time.Time, b *bucketState, bs *pb.BucketSync) bool {
	for _, g := range bs.GetGroups() {
		if g.GetUpstream() == "" || len(g.GetEntries())%fingerprintBytes != 0 {
			tracker.stats.Malformed++
			return false
		}
		for raw := range slices.Chunk(g.GetEntries(), fingerprintBytes) {
			tracker.mergeRecord(now, b, readFingerprint(raw), g)
		}
	}
	b.active = b.active || bs.GetActive()
	b.ending = b.ending || bs.GetSettling()
	// The backup tracker may lack the merged records.
	b.replicatedTo = peerID{}
	if !bs.GetAuthoritative() {
		return true
	}
	since := now.Add(-time.Duration(bs.GetTrackedMs()) * time.Millisecond)
	switch {
	case b.authoritative && b.trackedSince.IsZero():
	case b.trackedSince.IsZero() || since.After(b.trackedSince):
		b.trackedSince = since
	}
	return true
}

// mergeRecord merges one record. The record of a flow whose OPEN was seen replaces
// an assumed one. Of two records of the same kind, every instance keeps the one
// with the lower upstream name.
func (tracker *Tracker) mergeRecord(now time.Time, b *bucketState, fp uint64, g *pb.FlowGroup) {
	if bucketOf(fp) != b.bucket {
		tracker.stats.Malformed++
		return
	}
	flags := uint8(0)
	if g.GetAssumed() {
		if g.GetUpstream() != b.previous {
			// The record was assumed in an earlier transition whose end the sender
			// has not seen.
			return
		}
		flags = flagAssumed
	}
	if e, ok := b.flows[fp]; ok {
		assumed := e.flags&flagAssumed != 0
		switch {
		case e.flags&(flagClosed|flagPending) != 0, !assumed && g.GetAssumed():
			return
		case assumed == g.GetAssumed() && tracker.upstreamNames[e.upstream] <= g.GetUpstream():
			return
		}
	}
	tracker.recordFlow(now, b, fp, g.GetUpstream(), flags)
}
