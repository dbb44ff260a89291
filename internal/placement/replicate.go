package placement

import (
	"encoding/binary"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

// closeDelay is how long closed flows are collected for one message; nothing waits
// for them. If they were sent with the new flows, in 25 messages per second, each
// message would repeat the service name.
const closeDelay = time.Second

// Sizes in bytes of the parts of an entry of a FlowGroup.
const (
	fingerprintBytes = 6
	tagBytes         = 2
)

// replicationItem is the record of a new or a closed flow for the backup tracker.
type replicationItem struct {
	service  string
	change   uint32
	fp       uint64
	upstream string
	closed   bool
	// ticket identifies the OPEN that is held until the record is acknowledged; 0
	// for none.
	ticket uint64
}

// batch is a Birth message that the backup tracker has not acknowledged.
type batch struct {
	to    peerID
	items []replicationItem
	// retryAt is the time at which the message is sent again, and retryDelay the
	// current interval between copies.
	retryAt    time.Time
	retryDelay time.Duration
}

// replicator copies flow records to the backup tracker.
type replicator struct {
	backup membership.Member
	// pending holds records that have not been sent yet; they are due at pendingAt.
	pending   []replicationItem
	pendingAt time.Time
	// closedFlows holds closed flows that have not been sent yet. They are sent
	// apart from new flows, at closedFlowsAt.
	closedFlows   []replicationItem
	closedFlowsAt time.Time
	// sequence is the number of the latest Birth message. inFlight holds the
	// unacknowledged messages by their number.
	sequence uint64
	inFlight map[uint64]*batch
}

func (r *replicator) enqueue(item replicationItem, pendingAt time.Time) {
	if len(r.pending) == 0 || pendingAt.Before(r.pendingAt) {
		r.pendingAt = pendingAt
	}
	r.pending = append(r.pending, item)
}

// nextDue returns the time at which sendDue has something to send; false if nothing
// is queued or unacknowledged.
func (r *replicator) nextDue() (time.Time, bool) {
	next, ok := r.pendingAt, len(r.pending) > 0
	if len(r.closedFlows) > 0 && (!ok || r.closedFlowsAt.Before(next)) {
		next, ok = r.closedFlowsAt, true
	}
	for _, b := range r.inFlight {
		if !ok || b.retryAt.Before(next) {
			next, ok = b.retryAt, true
		}
	}
	return next, ok
}

func (tracker *Tracker) canReplicate() bool { return tracker.replicator.backup.Name != "" }

func (tracker *Tracker) queueNewFlow(now time.Time, tbl *Table, fp uint64, upstream string, ticket uint64) {
	item := replicationItem{service: tbl.service, change: tbl.change, fp: fp, upstream: upstream, ticket: ticket}
	tracker.replicator.enqueue(item, now.Add(BatchDelay))
	// A queued close is older than this new flow and must not follow it.
	tracker.replicator.closedFlows = slices.DeleteFunc(tracker.replicator.closedFlows, func(c replicationItem) bool {
		return c.fp == fp && c.service == tbl.service
	})
}

func (tracker *Tracker) queueClosedFlow(tbl *Table, b *bucketState, fp uint64, upstream string) {
	if upstream != b.previous && tracker.canReplicate() {
		if len(tracker.replicator.closedFlows) == 0 {
			tracker.replicator.closedFlowsAt = tracker.contact.lastUpdate.Add(closeDelay)
		}
		tracker.replicator.closedFlows = append(tracker.replicator.closedFlows,
			replicationItem{service: tbl.service, change: tbl.change, fp: fp, upstream: upstream, closed: true})
	}
}

// queueForBackup queues the records of flows of a bucket that are not on the previous
// upstream for a backup tracker that does not have them.
func (tracker *Tracker) queueForBackup(now time.Time, s *serviceState, b *bucketState) {
	backup := peerIDOf(tracker.replicator.backup)
	if b.replicatedTo == backup {
		return
	}
	b.replicatedTo = backup
	if !tracker.canReplicate() {
		return
	}
	fps := make([]uint64, 0, len(b.flows))
	for fp, e := range b.flows {
		if tracker.upstreamNames[e.upstream] != b.previous && e.flags&flagClosed == 0 {
			fps = append(fps, fp)
		}
	}
	slices.Sort(fps)
	for _, fp := range fps {
		item := replicationItem{
			service: s.name, change: s.table.change, fp: fp, upstream: tracker.upstreamNames[b.flows[fp].upstream],
		}
		tracker.replicator.enqueue(item, now)
	}
}

// sendIfFull sends the queued records if they fill a message.
func (tracker *Tracker) sendIfFull(now time.Time) []action.Action {
	if len(tracker.replicator.pending) < maxBatchEntries {
		return nil
	}
	return tracker.sendDue(now)
}

// sendDue sends the queued records that are due and repeats unacknowledged
// messages.
func (tracker *Tracker) sendDue(now time.Time) []action.Action {
	r := &tracker.replicator
	tracker.requeueForNewBackup(now)
	var out []action.Action
	if len(r.pending) > 0 && (!now.Before(r.pendingAt) || len(r.pending) >= maxBatchEntries) {
		out = append(out, tracker.sendRecords(now, r.pending)...)
		r.pending = nil
	}
	if len(r.closedFlows) > 0 && !now.Before(r.closedFlowsAt) {
		out = append(out, tracker.sendRecords(now, r.closedFlows)...)
		r.closedFlows = nil
	}
	for _, seq := range sortedKeys(r.inFlight) {
		if b := r.inFlight[seq]; !now.Before(b.retryAt) {
			b.retryDelay = min(2*b.retryDelay, retryInterval)
			b.retryAt = now.Add(b.retryDelay)
			out = append(out, tracker.batchMessage(seq, b, true))
		}
	}
	return out
}

// sendRecords sends records in as many messages as they need.
func (tracker *Tracker) sendRecords(now time.Time, items []replicationItem) []action.Action {
	r := &tracker.replicator
	var out []action.Action
	for chunk := range slices.Chunk(items, maxBatchEntries) {
		r.sequence++
		b := &batch{
			to: peerIDOf(r.backup), items: slices.Clone(chunk),
			retryAt: now.Add(firstBatchRetry), retryDelay: firstBatchRetry,
		}
		r.inFlight[r.sequence] = b
		out = append(out, tracker.batchMessage(r.sequence, b, false))
	}
	return out
}

// requeueForNewBackup queues unacknowledged records again if the backup tracker has
// changed. Without a backup tracker, all queued records are discarded.
func (tracker *Tracker) requeueForNewBackup(now time.Time) {
	r := &tracker.replicator
	for _, seq := range sortedKeys(r.inFlight) {
		if b := r.inFlight[seq]; b.to != peerIDOf(r.backup) {
			delete(r.inFlight, seq)
			for _, item := range b.items {
				r.enqueue(item, now)
			}
		}
	}
	if !tracker.canReplicate() {
		r.pending, r.closedFlows = nil, nil
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// batchMessage encodes a batch as a Birth message. A tag of 2 bytes stands for the
// name of an upstream; the name is written out if named is set or the tag does not
// identify the upstream in the table of the service.
func (tracker *Tracker) batchMessage(sequence uint64, b *batch, named bool) action.Action {
	type groupKey struct {
		service, upstream string
		change            uint32
		closed            bool
	}
	groups := make(map[groupKey]*pb.FlowGroup)
	msg := &pb.Birth{Sequence: sequence}
	for _, item := range b.items {
		key := groupKey{service: item.service, change: item.change, closed: item.closed}
		tagged := !item.closed
		if tagged && (named || tracker.upstreamByTag(item.service, tagOf(item.upstream)) != item.upstream) {
			key.upstream, tagged = item.upstream, false
		}
		g := groups[key]
		if g == nil {
			g = &pb.FlowGroup{Service: key.service, Change: key.change, Upstream: key.upstream, Closed: key.closed}
			groups[key] = g
			msg.Groups = append(msg.Groups, g)
		}
		g.Entries = appendFingerprint(g.Entries, item.fp)
		if tagged {
			g.Entries = binary.LittleEndian.AppendUint16(g.Entries, tagOf(item.upstream))
		}
	}
	return action.SendPeer{
		Instance: tracker.replicator.backup.Name, Address: tracker.replicator.backup.Address,
		Message: &pb.PeerMessage{Body: &pb.PeerMessage_Birth{Birth: msg}},
	}
}

func tagOf(upstream string) uint16 { return uint16(flow.NameHash(upstream)) }

func appendFingerprint(dst []byte, fp uint64) []byte {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], fp)
	return append(dst, b[:fingerprintBytes]...)
}

func readFingerprint(src []byte) uint64 {
	var b [8]byte
	copy(b[:fingerprintBytes], src)
	return binary.LittleEndian.Uint64(b[:])
}

// upstreamByTag returns the only upstream with a tag in the table of a service; ""
// if there is none or more than one.
func (tracker *Tracker) upstreamByTag(service string, tag uint16) string {
	s := tracker.services[service]
	if s == nil || s.table == nil {
		return ""
	}
	found := ""
	for _, name := range s.table.upstreams {
		if tagOf(name) == tag {
			if found != "" {
				return ""
			}
			found = name
		}
	}
	return found
}

// decodeGroup returns the records of a group; false if it is malformed or has a tag
// that matches no single upstream.
func (tracker *Tracker) decodeGroup(g *pb.FlowGroup) ([]replicationItem, bool) {
	size := fingerprintBytes
	tagged := g.Upstream == "" && !g.Closed
	if tagged {
		size += tagBytes
	}
	if len(g.Entries)%size != 0 {
		tracker.stats.Malformed++
		return nil, false
	}
	items := make([]replicationItem, 0, len(g.Entries)/size)
	for raw := range slices.Chunk(g.Entries, size) {
		item := replicationItem{
			service: g.Service, change: g.Change, fp: readFingerprint(raw), upstream: g.Upstream, closed: g.Closed,
		}
		if tagged {
			item.upstream = tracker.upstreamByTag(g.Service, binary.LittleEndian.Uint16(raw[fingerprintBytes:]))
			if item.upstream == "" {
				return nil, false
			}
		}
		items = append(items, item)
	}
	return items, true
}

// HandleBirth stores records of new, closed and earlier flows of a tracker that has
// this instance as its backup, and returns the acknowledgement. It stores and
// acknowledges nothing if a group is malformed or has a tag that matches no single
// upstream, or if the records would exceed the maximum number of flow records in
// Config; the sender then repeats the message with upstream names written out. A record
// is acknowledged but not stored if its bucket is no longer in transition here.
func (tracker *Tracker) HandleBirth(now time.Time, from string, birth *pb.Birth) []action.Action {
	tracker.detectPause(now)
	var all []replicationItem
	for _, g := range birth.GetGroups() {
		items, ok := tracker.decodeGroup(g)
		if !ok {
			return nil
		}
		all = append(all, items...)
	}
	if tracker.flowCount+len(all) > tracker.cfg.MaxTrackedFlows {
		return nil
	}
	for _, item := range all {
		tracker.storeRecord(now, item)
	}
	ack := &pb.BirthAck{Sequence: birth.GetSequence()}
	return []action.Action{tracker.messageTo(from, &pb.PeerMessage{Body: &pb.PeerMessage_BirthAck{BirthAck: ack}})}
}

func (tracker *Tracker) storeRecord(now time.Time, item replicationItem) {
	s, bucket := tracker.ensureService(item.service), bucketOf(item.fp)
	if s.table != nil && s.table.change >= item.change && !s.table.Bucket(bucket).InTransition {
		return
	}
	b := s.ensureBucket(bucket)
	b.latestChange = max(b.latestChange, item.change)
	if b.trackerName == "" && tracker.view != nil {
		tracker.assignTracker(now, s, b, nil)
	}
	e, known := b.flows[item.fp]
	switch {
	case item.closed && known:
		e.flags |= flagClosed
		e.seen = tracker.ticks(now)
		b.flows[item.fp] = e
	case !item.closed && (!known || e.flags&(flagClosed|flagAssumed) != 0):
		tracker.recordFlow(now, b, item.fp, item.upstream, 0)
	}
}

// HandleBirthAck releases the held OPENs whose records the backup tracker has
// acknowledged. An acknowledgement for an unknown sequence or from another instance
// is ignored.
func (tracker *Tracker) HandleBirthAck(_ time.Time, from string, ack *pb.BirthAck) []Release {
	b := tracker.replicator.inFlight[ack.GetSequence()]
	if b == nil || b.to.name != from {
		return nil
	}
	delete(tracker.replicator.inFlight, ack.GetSequence())
	var out []Release
	for _, item := range b.items {
		if item.ticket != 0 && tracker.held[item.ticket] != nil {
			out = append(out, tracker.releaseOpen(item.ticket))
		}
	}
	return out
}

// messageTo addresses a message to an instance. The address is invalid if the
// instance is not in the view.
func (tracker *Tracker) messageTo(to string, msg *pb.PeerMessage) action.Action {
	out := action.SendPeer{Instance: to, Message: msg}
	if tracker.view != nil {
		if m, ok := tracker.view.Member(to); ok {
			out.Address = m.Address
		}
	}
	return out
}

// detectPause detects a pause of this instance before a message is handled.
func (tracker *Tracker) detectPause(now time.Time) {
	if tracker.view != nil {
		tracker.observeView(now, tracker.view)
	}
}
