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

// closeDelay is how long closed flows are collected; nothing waits for them.
// In the messages of the births, 25 per second, each would repeat the service.
const closeDelay = time.Second

// Sizes of an entry of a FlowGroup.
const (
	fingerprintBytes = 6
	tagBytes         = 2
)

// replicaItem is one exception, or the end of one, for the backup tracker.
type replicaItem struct {
	service  string
	change   uint32
	fp       uint64
	upstream string
	closed   bool
	// ticket is the held OPEN, 0 for none.
	ticket uint64
}

// batch is a message that the backup tracker has not acknowledged.
type batch struct {
	to    peerID
	items []replicaItem
	// next is when the message is repeated, wait the interval before that.
	next time.Time
	wait time.Duration
}

// replica copies exceptions to the backup tracker.
type replica struct {
	backup  membership.Member
	pending []replicaItem
	flushAt time.Time
	// closes are sent apart from births, at closesAt.
	closes   []replicaItem
	closesAt time.Time
	sequence uint64
	inFlight map[uint64]*batch
}

func (r *replica) add(item replicaItem, flushAt time.Time) {
	if len(r.pending) == 0 || flushAt.Before(r.flushAt) {
		r.flushAt = flushAt
	}
	r.pending = append(r.pending, item)
}

// due returns when flush has something to send.
func (r *replica) due() (time.Time, bool) {
	next, ok := r.flushAt, len(r.pending) > 0
	if len(r.closes) > 0 && (!ok || r.closesAt.Before(next)) {
		next, ok = r.closesAt, true
	}
	for _, b := range r.inFlight {
		if !ok || b.next.Before(next) {
			next, ok = b.next, true
		}
	}
	return next, ok
}

func (t *Tracker) canReplicate() bool { return t.replica.backup.Name != "" }

func (t *Tracker) queueBirth(now time.Time, tbl *Table, fp uint64, upstream string, ticket uint64) {
	item := replicaItem{service: tbl.service, change: tbl.change, fp: fp, upstream: upstream, ticket: ticket}
	t.replica.add(item, now.Add(BatchDelay))
	// A close that waits is older than this birth and must not follow it.
	t.replica.closes = slices.DeleteFunc(t.replica.closes, func(c replicaItem) bool {
		return c.fp == fp && c.service == tbl.service
	})
}

func (t *Tracker) queueClose(tbl *Table, b *bucketState, fp uint64, upstream string) {
	if upstream != b.previous && t.canReplicate() {
		if len(t.replica.closes) == 0 {
			t.replica.closesAt = t.contact.lastCall.Add(closeDelay)
		}
		t.replica.closes = append(t.replica.closes,
			replicaItem{service: tbl.service, change: tbl.change, fp: fp, upstream: upstream, closed: true})
	}
}

// pushToBackup sends the exceptions of a bucket to a backup tracker that does
// not have them.
func (t *Tracker) pushToBackup(now time.Time, s *serviceState, b *bucketState) {
	backup := idOf(t.replica.backup)
	if b.backup == backup {
		return
	}
	b.backup = backup
	if !t.canReplicate() {
		return
	}
	fps := make([]uint64, 0, len(b.entries))
	for fp, e := range b.entries {
		if t.names[e.upstream] != b.previous && e.flags&flagClosed == 0 {
			fps = append(fps, fp)
		}
	}
	slices.Sort(fps)
	for _, fp := range fps {
		item := replicaItem{service: s.name, change: s.table.change, fp: fp, upstream: t.names[b.entries[fp].upstream]}
		t.replica.add(item, now)
	}
}

// flushFull sends births once they fill a message.
func (t *Tracker) flushFull(now time.Time) []action.Action {
	if len(t.replica.pending) < maxBatchEntries {
		return nil
	}
	return t.flush(now)
}

// flush sends due births and repeats unacknowledged ones.
func (t *Tracker) flush(now time.Time) []action.Action {
	r := &t.replica
	t.retarget(now)
	var out []action.Action
	if len(r.pending) > 0 && (!now.Before(r.flushAt) || len(r.pending) >= maxBatchEntries) {
		out = append(out, t.sendItems(now, r.pending)...)
		r.pending = nil
	}
	if len(r.closes) > 0 && !now.Before(r.closesAt) {
		out = append(out, t.sendItems(now, r.closes)...)
		r.closes = nil
	}
	for _, seq := range sortedKeys(r.inFlight) {
		if b := r.inFlight[seq]; !now.Before(b.next) {
			b.wait = min(2*b.wait, retryInterval)
			b.next = now.Add(b.wait)
			out = append(out, t.sendBirth(seq, b, true))
		}
	}
	return out
}

// sendItems sends items in as many messages as they need.
func (t *Tracker) sendItems(now time.Time, items []replicaItem) []action.Action {
	r := &t.replica
	var out []action.Action
	for chunk := range slices.Chunk(items, maxBatchEntries) {
		r.sequence++
		b := &batch{to: idOf(r.backup), items: slices.Clone(chunk), next: now.Add(firstBirthRetry), wait: firstBirthRetry}
		r.inFlight[r.sequence] = b
		out = append(out, t.sendBirth(r.sequence, b, false))
	}
	return out
}

// retarget moves unacknowledged items to a new backup tracker.
func (t *Tracker) retarget(now time.Time) {
	r := &t.replica
	for _, seq := range sortedKeys(r.inFlight) {
		if b := r.inFlight[seq]; b.to != idOf(r.backup) {
			delete(r.inFlight, seq)
			for _, item := range b.items {
				r.add(item, now)
			}
		}
	}
	if !t.canReplicate() {
		r.pending, r.closes = nil, nil
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

// sendBirth encodes a batch. Tags of 2 bytes stand for upstream names; when
// named is set, or a tag is ambiguous, the names are written out.
func (t *Tracker) sendBirth(sequence uint64, b *batch, named bool) action.Action {
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
		if tagged && (named || t.resolve(item.service, tagOf(item.upstream)) != item.upstream) {
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
		Instance: t.replica.backup.Name, Address: t.replica.backup.Address,
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

// resolve returns the only upstream of a service's table with a tag, "" if
// there is none or more than one.
func (t *Tracker) resolve(service string, tag uint16) string {
	s := t.services[service]
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

// decodeGroup returns the items of a group, false when it is malformed or
// names an upstream that is unknown here.
func (t *Tracker) decodeGroup(g *pb.FlowGroup) ([]replicaItem, bool) {
	size := fingerprintBytes
	tagged := g.Upstream == "" && !g.Closed
	if tagged {
		size += tagBytes
	}
	if len(g.Entries)%size != 0 {
		t.stats.Malformed++
		return nil, false
	}
	items := make([]replicaItem, 0, len(g.Entries)/size)
	for raw := range slices.Chunk(g.Entries, size) {
		item := replicaItem{service: g.Service, change: g.Change, fp: readFingerprint(raw), upstream: g.Upstream, closed: g.Closed}
		if tagged {
			item.upstream = t.resolve(g.Service, binary.LittleEndian.Uint16(raw[fingerprintBytes:]))
			if item.upstream == "" {
				return nil, false
			}
		}
		items = append(items, item)
	}
	return items, true
}

// HandleBirth stores exceptions of the tracker that has this instance as its
// backup. It acknowledges only what it has understood completely.
func (t *Tracker) HandleBirth(now time.Time, from string, birth *pb.Birth) []action.Action {
	t.resume(now)
	var all []replicaItem
	for _, g := range birth.GetGroups() {
		items, ok := t.decodeGroup(g)
		if !ok {
			return nil
		}
		all = append(all, items...)
	}
	if t.entries+len(all) > t.cfg.MaxExceptions {
		return nil
	}
	for _, item := range all {
		t.store(now, item)
	}
	ack := &pb.BirthAck{Sequence: birth.GetSequence()}
	return []action.Action{t.send(from, &pb.PeerMessage{Body: &pb.PeerMessage_BirthAck{BirthAck: ack}})}
}

func (t *Tracker) store(now time.Time, item replicaItem) {
	s, bucket := t.service(item.service), bucketOf(item.fp)
	if s.table != nil && s.table.change >= item.change && !s.table.Bucket(bucket).InTransition {
		return
	}
	b := s.bucket(bucket)
	b.change = max(b.change, item.change)
	if b.tracker == "" && t.view != nil {
		t.assign(now, s, b, nil)
	}
	e, known := b.entries[item.fp]
	switch {
	case item.closed && known:
		e.flags |= flagClosed
		e.seen = t.ticks(now)
		b.entries[item.fp] = e
	case !item.closed && (!known || e.flags&(flagClosed|flagAssumed) != 0):
		t.record(now, b, item.fp, item.upstream, 0)
	}
}

// HandleBirthAck releases the OPENs whose births the backup tracker has.
func (t *Tracker) HandleBirthAck(_ time.Time, from string, ack *pb.BirthAck) []Release {
	b := t.replica.inFlight[ack.GetSequence()]
	if b == nil || b.to.name != from {
		return nil
	}
	delete(t.replica.inFlight, ack.GetSequence())
	var out []Release
	for _, item := range b.items {
		if item.ticket != 0 && t.held[item.ticket] != nil {
			out = append(out, t.releaseBirth(item.ticket))
		}
	}
	return out
}

// send addresses a message to an instance; the address is invalid when the
// instance is not in the view.
func (t *Tracker) send(to string, msg *pb.PeerMessage) action.Action {
	out := action.SendPeer{Instance: to, Message: msg}
	if t.view != nil {
		if m, ok := t.view.Member(to); ok {
			out.Address = m.Address
		}
	}
	return out
}

// resume notices a pause of this instance before a message is handled.
func (t *Tracker) resume(now time.Time) {
	if t.view != nil {
		t.observe(now, t.view)
	}
}
