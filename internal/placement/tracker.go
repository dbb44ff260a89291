package placement

import (
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

// Tracker decides the packets that an instance receives, and tracks the flows of
// buckets in transition. It is not safe for concurrent use. In the comments of this
// package, instances have three roles:
//
//   - The tracker of a bucket is the instance that ranks first for it and has adopted
//     its transition. It decides packets by the records of their flows even before it
//     is synchronized. Other instances redirect packets to the first rank.
//   - The authority over a bucket may also decide packets of flows without a record,
//     that is, use the default upstream (the owner or the previous upstream) or place a
//     new flow. A tracker becomes the authority when it is synchronized with the peers
//     that may have records. An authority that no longer ranks first decides only
//     packets that are sent back to it, by their hop count.
//   - The backup tracker of an instance stores copies of that instance's records. It
//     does not decide packets by them.
//
// The authority passes on with TrackerSync: an instance that answers a
// synchronization request gives up its own authority.
type Tracker struct {
	cfg       Config
	self      string
	startedAt time.Time
	services  map[string]*serviceState
	contact   contact
	view      *membership.View
	// backupNames caches the backup tracker of other instances, by instance name;
	// it is cleared when the members change.
	backupNames   map[string]string
	upstreamNames []string
	upstreamIDs   map[string]uint16
	flowCount     int
	// minRevision is the lowest revision of all members that have read a
	// configuration. anySuspect is true if a member is suspect. Both refer to view.
	minRevision    uint64
	anySuspect     bool
	lastMaintained time.Time

	held       map[uint64]*heldPacket
	nextTicket uint64
	// syncSequence is the number of the latest synchronization request.
	syncSequence uint64
	replicator   replicator
	stats        Stats
}

// NewTracker returns a tracker without state for the instance named self. Unset
// fields of cfg get their defaults.
func NewTracker(cfg Config, self string) *Tracker {
	if cfg.Status == nil {
		cfg.Status = func(string, string) UpstreamStatus { return StatusServing }
	}
	if cfg.IdleTimeout == nil {
		cfg.IdleTimeout = func(string) time.Duration { return defaultIdleTimeout }
	}
	if cfg.MaxTrackedFlows <= 0 {
		cfg.MaxTrackedFlows = defaultMaxTrackedFlows
	}
	if cfg.MaxHeld <= 0 {
		cfg.MaxHeld = defaultMaxHeld
	}
	if cfg.SyncPeers <= 0 {
		cfg.SyncPeers = defaultSyncPeers
	}
	return &Tracker{
		cfg: cfg, self: self,
		services:    make(map[string]*serviceState),
		upstreamIDs: make(map[string]uint16),
		held:        make(map[uint64]*heldPacket),
		replicator:  replicator{inFlight: make(map[uint64]*batch)},
	}
}

// Stats returns the counters.
func (tracker *Tracker) Stats() Stats { return tracker.stats }

// TrackedFlows returns the number of tracked flows of a service.
func (tracker *Tracker) TrackedFlows(service string) int {
	n := 0
	if s := tracker.services[service]; s != nil {
		for _, b := range s.buckets {
			n += len(b.flows)
		}
	}
	return n
}

// Ready applies the view, and reports whether this instance may decide packets of
// settled buckets by its own tables. After a start or a pause, applying the view
// gives up every authority. The instance may not decide after a pause of more than
// PauseThreshold until it has caught up, nor once it has known of a later revision
// for StaleTableLimit. The goroutines that forward packets need the result with
// every routing snapshot, and must also hold packets if the snapshot is older than
// PauseThreshold.
func (tracker *Tracker) Ready(now time.Time, view *membership.View) bool {
	tracker.observeView(now, view)
	return tracker.contact.ready(now)
}

// HandlePacket decides a packet of a caller. tbl is the current table of the
// packet's service.
func (tracker *Tracker) HandlePacket(now time.Time, p Packet, tbl *Table, view *membership.View) Decision {
	tracker.observeView(now, view)
	tracker.adoptTable(now, tbl)
	d := tracker.decidePacket(now, p, tbl)
	if d.Verdict == Hold && d.Ticket == 0 {
		d = tracker.holdPacket(p, tbl, "", now.Add(holdLimit(p, d)))
	}
	if d.Verdict == Hold {
		d.Actions = append(d.Actions, tracker.sendIfFull(now)...)
	}
	return d
}

func holdDecision() Decision                   { return Decision{Verdict: Hold} }
func dropDecision(reason DropReason) Decision  { return Decision{Verdict: Drop, Reason: reason} }
func forwardDecision(upstream string) Decision { return Decision{Verdict: Forward, Upstream: upstream} }
func isOpen(kind pb.PacketKind) bool           { return kind == pb.PacketKind_PACKET_KIND_OPEN }
func isClose(kind pb.PacketKind) bool          { return kind == pb.PacketKind_PACKET_KIND_CLOSE }
func (p Packet) allows(name string) bool       { return p.Allow == nil || p.Allow(name) }

// decidePacket returns a Hold without a ticket if the packet has to wait for
// information that this instance does not have yet.
func (tracker *Tracker) decidePacket(now time.Time, p Packet, tbl *Table) Decision {
	if !tracker.contact.ready(now) {
		return holdDecision()
	}
	hash := p.Key.Hash()
	place := tbl.Lookup(hash)
	if !place.InTransition {
		if p.Revision > tracker.view.Self.Revision {
			// The sender's table has the bucket in transition and this one does
			// not. The later table decides, so wait for it.
			return holdDecision()
		}
		return tracker.decideSettled(p, tbl, place)
	}
	b := tracker.services[tbl.service].ensureBucket(place.Bucket)
	if !b.isTracker && (!b.authoritative || p.Hops < returnHops) {
		return tracker.redirect(p, b.trackerName, p.Hops+1)
	}
	return tracker.decideTracked(now, p, tbl, b, flow.Fingerprint(hash), hash)
}

func (tracker *Tracker) redirect(p Packet, to string, hops uint32) Decision {
	if to == "" || p.Hops >= MaxHops {
		return dropDecision(DropTooManyHops)
	}
	tracker.stats.Redirected++
	return Decision{Verdict: Redirect, Instance: to, Hops: hops}
}

// redirectToSecond redirects a packet that this tracker cannot decide yet to the
// second rank, which usually was the tracker before. The hop count distinguishes the
// packet from one of an instance with an older view.
func (tracker *Tracker) redirectToSecond(p Packet, b *bucketState) Decision {
	answered := slices.ContainsFunc(b.mergedPeers, func(id peerID) bool { return id.name == b.secondName })
	if b.secondName == "" || answered || p.Hops >= MaxHops {
		return holdDecision()
	}
	return tracker.redirect(p, b.secondName, max(p.Hops+1, returnHops))
}

func (tracker *Tracker) decideSettled(p Packet, tbl *Table, place Lookup) Decision {
	switch {
	case place.Owner == "":
		return dropDecision(DropNoUpstream)
	case tracker.cfg.Status(tbl.service, place.Owner) == StatusTakenOut:
		return dropDecision(DropDomainOut)
	case isOpen(p.Kind) && !p.allows(place.Owner):
		// Other instances forward packets of settled buckets by the table alone, so
		// a flow on another upstream would be lost. A table change has to move the
		// bucket first.
		return dropDecision(DropNoUpstream)
	}
	return forwardDecision(place.Owner)
}

func (tracker *Tracker) decideTracked(now time.Time, p Packet, tbl *Table, b *bucketState, fp, hash uint64) Decision {
	if e, ok := b.flows[fp]; ok && !(isOpen(p.Kind) && e.flags&flagClosed != 0) {
		return tracker.decideKnown(now, p, tbl, b, fp, e)
	}
	if b.isTracker && !(tracker.contact.complete(now) && b.synchronized(now, tbl)) {
		return tracker.redirectToSecond(p, b)
	}
	if isOpen(p.Kind) {
		return tracker.placeNewFlow(now, p, tbl, b, fp, hash)
	}
	idle := tracker.cfg.IdleTimeout(tbl.service)
	upstream := b.defaultUpstream(now, idle)
	if tracker.cfg.Status(tbl.service, upstream) == StatusTakenOut {
		return dropDecision(DropDomainOut)
	}
	if upstream == b.previous && !isClose(p.Kind) && tracker.flowCount < tracker.cfg.MaxTrackedFlows {
		tracker.recordFlow(now, b, fp, upstream, flagAssumed)
	} else if upstream == b.previous && !isClose(p.Kind) {
		// The flow has no record, so the owner must not become the default upstream
		// yet: the time of continuous tracking starts again.
		b.trackedSince = now
	}
	return forwardDecision(upstream)
}

func (tracker *Tracker) decideKnown(
	now time.Time, p Packet, tbl *Table, b *bucketState, fp uint64, e flowRecord,
) Decision {
	upstream := tracker.upstreamNames[e.upstream]
	if tracker.cfg.Status(tbl.service, upstream) == StatusTakenOut {
		return dropDecision(DropDomainOut)
	}
	if e.flags&flagPending != 0 && isOpen(p.Kind) {
		return dropDecision(DropDuplicateOpen)
	}
	e.seen = tracker.ticks(now)
	if isClose(p.Kind) && e.flags&flagClosed == 0 {
		e.flags |= flagClosed
		tracker.queueClosedFlow(tbl, b, fp, upstream)
	}
	b.flows[fp] = e
	return forwardDecision(upstream)
}

// placeNewFlow chooses the upstream of a new flow and records it. The OPEN is held
// for the backup tracker unless the flow is on the previous upstream or there is no
// backup.
func (tracker *Tracker) placeNewFlow(now time.Time, p Packet, tbl *Table, b *bucketState, fp, hash uint64) Decision {
	upstream, refusal := tracker.chooseUpstream(p, tbl, b, hash)
	switch {
	case refusal != nil:
		return *refusal
	case tracker.flowCount >= tracker.cfg.MaxTrackedFlows:
		return dropDecision(DropTrackerFull)
	case upstream != b.owner && upstream != b.previous:
		tracker.stats.Exceptions++
	}
	tracker.stats.NewFlows++
	if upstream == b.previous {
		tracker.recordFlow(now, b, fp, upstream, 0)
		return forwardDecision(upstream)
	}
	if !tracker.canReplicate() {
		tracker.recordFlow(now, b, fp, upstream, 0)
		tracker.stats.Unreplicated++
		return forwardDecision(upstream)
	}
	if len(tracker.held) >= tracker.cfg.MaxHeld {
		return dropDecision(DropHeldPacketsFull)
	}
	tracker.recordFlow(now, b, fp, upstream, flagPending)
	d := tracker.holdPacket(p, tbl, upstream, now.Add(ReplicationTimeout))
	tracker.queueNewFlow(now, tbl, fp, upstream, d.Ticket)
	return d
}

func (tracker *Tracker) chooseUpstream(p Packet, tbl *Table, b *bucketState, hash uint64) (string, *Decision) {
	usable := func(name string) bool {
		return name != "" && tracker.cfg.Status(tbl.service, name) != StatusTakenOut && p.allows(name)
	}
	if !b.active {
		if usable(b.previous) {
			return b.previous, nil
		}
		d := holdDecision()
		d.untilActive = tracker.cfg.Status(tbl.service, b.previous) == StatusTakenOut
		return "", &d
	}
	if usable(b.owner) {
		return b.owner, nil
	}
	refused := dropDecision(DropNoUpstream)
	if b.ending {
		// The table change that ends the transition may be under way. It would
		// delete the record of a flow on another upstream.
		return "", &refused
	}
	if tracker.cfg.Status(tbl.service, b.previous) == StatusServing && usable(b.previous) {
		return b.previous, nil
	}
	for i := range tbl.upstreams {
		name := tbl.upstreams[(int(hash>>32)+i)%len(tbl.upstreams)]
		if tracker.cfg.Status(tbl.service, name) == StatusServing && usable(name) {
			return name, nil
		}
	}
	return "", &refused
}

// recordFlow stores the upstream of a flow.
func (tracker *Tracker) recordFlow(now time.Time, b *bucketState, fp uint64, upstream string, flags uint8) {
	if _, ok := b.flows[fp]; !ok {
		tracker.flowCount++
	}
	b.flows[fp] = flowRecord{seen: tracker.ticks(now), upstream: tracker.upstreamID(upstream), flags: flags}
}

func (tracker *Tracker) upstreamID(name string) uint16 {
	id, ok := tracker.upstreamIDs[name]
	if !ok {
		id = uint16(len(tracker.upstreamNames))
		tracker.upstreamNames = append(tracker.upstreamNames, name)
		tracker.upstreamIDs[name] = id
	}
	return id
}

// ticks converts a time to units of 100 ms since the tracker started.
func (tracker *Tracker) ticks(now time.Time) uint32 {
	return uint32(now.Sub(tracker.startedAt) / (100 * time.Millisecond))
}

// Tick runs what is due: synchronization, activation, replication and expiry. It
// returns the messages to send and the decisions on held packets. Call it every 100
// ms, and additionally at NextDeadline. The pass over all buckets is skipped if the
// last one was less than maintainInterval (90 ms) ago.
func (tracker *Tracker) Tick(now time.Time, view *membership.View) ([]action.Action, []Release) {
	tracker.observeView(now, view)
	names := make([]string, 0, len(tracker.services))
	for name := range tracker.services {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []action.Action
	if now.Sub(tracker.lastMaintained) >= maintainInterval {
		tracker.lastMaintained = now
		for _, name := range names {
			s := tracker.services[name]
			for _, b := range s.sortedBuckets() {
				tracker.maintainBucket(now, s, s.buckets[b])
			}
			out = append(out, tracker.requestSync(now, s)...)
		}
	}
	releases := tracker.retryHeld(now)
	out = append(out, tracker.sendDue(now)...)
	return out, releases
}

// NextDeadline returns the time at which Tick is next due for replication messages or
// for the ReplicationTimeout of a held OPEN; false if nothing waits for it.
func (tracker *Tracker) NextDeadline() (time.Time, bool) {
	next, ok := tracker.replicator.nextDue()
	for _, h := range tracker.held {
		if h.upstream != "" && (!ok || h.deadline.Before(next)) {
			next, ok = h.deadline, true
		}
	}
	return next, ok
}
