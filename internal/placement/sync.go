package placement

import (
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

// requestSync asks for the exceptions that this tracker lacks.
func (t *Tracker) requestSync(now time.Time, s *serviceState) []action.Action {
	if s.table == nil || !t.contact.ready(now) {
		return nil
	}
	wanted := make(map[string][]uint32)
	for _, bucket := range s.order() {
		b := s.buckets[bucket]
		if !b.mine {
			continue
		}
		for _, p := range b.peers {
			a := b.asked[p]
			if slices.Contains(b.merged, p) || now.Sub(a.sent) < retryInterval {
				continue
			}
			if a.since.IsZero() {
				a.since = now
			}
			a.sent = now
			if b.asked == nil {
				b.asked = make(map[peerID]ask)
			}
			b.asked[p] = a
			wanted[p.name] = append(wanted[p.name], bucket)
		}
	}
	var out []action.Action
	for _, m := range t.view.Members {
		if buckets := wanted[m.Name]; len(buckets) > 0 {
			t.stats.SyncRequests++
			req := &pb.TrackerSyncRequest{Service: s.name, Buckets: buckets, Change: s.table.change}
			out = append(out, t.send(m.Name, &pb.PeerMessage{Body: &pb.PeerMessage_TrackerSyncRequest{TrackerSyncRequest: req}}))
		}
	}
	return out
}

// HandleSyncRequest answers with what is known of the buckets and gives up
// the authority over them.
func (t *Tracker) HandleSyncRequest(now time.Time, from string, req *pb.TrackerSyncRequest) []action.Action {
	t.resume(now)
	answer := &pb.TrackerSync{Service: req.GetService()}
	s := t.services[req.GetService()]
	if s != nil && s.table != nil {
		answer.Change = s.table.change
	}
	for _, bucket := range req.GetBuckets() {
		if bucket >= flow.Buckets {
			t.stats.Malformed++
			return nil
		}
		answer.Buckets = append(answer.Buckets, t.handOver(now, s, bucket))
	}
	t.stats.SyncAnswers++
	return []action.Action{t.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_TrackerSync{TrackerSync: answer}})}
}

func (t *Tracker) handOver(now time.Time, s *serviceState, bucket uint32) *pb.BucketSync {
	out := &pb.BucketSync{Bucket: bucket}
	if s == nil || s.buckets[bucket] == nil {
		return out
	}
	b := s.buckets[bucket]
	out.Authoritative, out.Active, out.Settling = b.authority, b.active, b.settling
	if b.authority && !b.trackedSince.IsZero() {
		out.TrackedMs = uint32(now.Sub(b.trackedSince).Milliseconds())
	}
	groups := make(map[uint16]*pb.FlowGroup)
	for _, fp := range sortedKeys(b.entries) {
		e := b.entries[fp]
		// Flows on the default upstream matter only with the time for which
		// they were tracked.
		if e.flags&flagClosed != 0 || (!b.authority && t.names[e.upstream] == b.previous) {
			continue
		}
		g := groups[e.upstream]
		if g == nil {
			g = &pb.FlowGroup{Upstream: t.names[e.upstream]}
			groups[e.upstream] = g
			out.Groups = append(out.Groups, g)
		}
		g.Entries = appendFingerprint(g.Entries, fp)
	}
	b.relinquish()
	return out
}

// HandleSync merges the answer of a peer by union and releases the packets
// that waited for it.
func (t *Tracker) HandleSync(now time.Time, from string, incarnation uint64, msg *pb.TrackerSync) []Release {
	t.resume(now)
	s, peer := t.services[msg.GetService()], peerID{from, incarnation}
	if s == nil || s.table == nil {
		return nil
	}
	for _, bs := range msg.GetBuckets() {
		b := s.buckets[bs.GetBucket()]
		if b == nil {
			continue
		}
		if _, asked := b.asked[peer]; !asked || !b.mine {
			continue
		}
		if msg.GetChange() > s.table.change {
			// The peer may have settled the bucket and forgotten its flows.
			b.newer = max(b.newer, msg.GetChange())
			continue
		}
		if t.merge(now, b, bs) {
			b.merged = append(b.merged, peer)
			delete(b.asked, peer)
		}
		if t.contact.ready(now) && b.synchronized(now, s.table) {
			t.gain(now, b)
		}
	}
	return t.retryHeld(now)
}

func (t *Tracker) merge(now time.Time, b *bucketState, bs *pb.BucketSync) bool {
	for _, g := range bs.GetGroups() {
		if g.GetUpstream() == "" || len(g.GetEntries())%fingerprintBytes != 0 {
			t.stats.Malformed++
			return false
		}
		for raw := range slices.Chunk(g.GetEntries(), fingerprintBytes) {
			t.mergeEntry(now, b, readFingerprint(raw), g.GetUpstream(), bs.GetAuthoritative())
		}
	}
	b.active = b.active || bs.GetActive()
	b.settling = b.settling || bs.GetSettling()
	// The backup tracker may lack what was merged.
	b.backup = peerID{}
	if !bs.GetAuthoritative() {
		return true
	}
	since := now.Add(-time.Duration(bs.GetTrackedMs()) * time.Millisecond)
	switch {
	case b.authority && b.trackedSince.IsZero():
	case b.trackedSince.IsZero() || since.After(b.trackedSince):
		b.trackedSince = since
	}
	return true
}

// mergeEntry keeps the entry of the authority; between others it prefers
// the upstream that is not the default, because only a birth puts a flow
// there.
func (t *Tracker) mergeEntry(now time.Time, b *bucketState, fp uint64, upstream string, authoritative bool) {
	if bucketOf(fp) != b.bucket {
		t.stats.Malformed++
		return
	}
	if e, ok := b.entries[fp]; ok {
		mine := t.names[e.upstream]
		keep := mine != b.previous && (upstream == b.previous || mine <= upstream)
		if e.flags != 0 || mine == upstream || (keep && !authoritative) {
			return
		}
	}
	t.record(now, b, fp, upstream, 0)
}
