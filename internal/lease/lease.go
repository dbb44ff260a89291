package lease

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// slotState is the local state of one slot, in addition to its entry in the
// slot table.
type slotState struct {
	// start, until, epoch and clean are the fields of the Term of this
	// instance. They are valid only while the table names it as the holder.
	start, until time.Time
	epoch        uint64
	clean        bool
	// partiesChangedAt is the local time of the first adopted table, or of the
	// latest one that changed the holder or the successor.
	partiesChangedAt time.Time
	// removedSince is the local time at which this instance first found both
	// the holder and the successor removed. It is reset when either changes.
	removedSince time.Time
	// handoverTarget is the instance to which this holder is handing the slot
	// over, "" if none. While it is set, this instance does not act for the
	// slot.
	handoverTarget string
	// handoverClean is the clean flag of the handover to handoverTarget.
	handoverClean bool
	// handoverStarted is true once this incarnation has started a handover of the
	// slot. Later handovers are not marked clean: a delayed SlotHandover of the
	// first one would be taken for that of the later one.
	handoverStarted bool
	// lost has the entries of earlier eras whose parties may still act for the slot.
	// While there are any, and until quietUntil, this instance does not act for the slot.
	// epochFloor is the highest epoch in earlier eras. See quarantineSlot.
	lost       []*pb.Slot
	quietUntil time.Time
	epochFloor uint64
	// received is the latest SlotHandover for the slot, zero if none. It is
	// cleared when the epoch changes or this instance becomes the holder.
	received receivedHandover
}

// receivedHandover describes a SlotHandover message from the holder of a slot.
type receivedHandover struct {
	from        string
	incarnation uint64
	epoch       uint64 // epoch of the slot in the local table on receipt
}

// Manager keeps the lease terms of one instance and plans the writes of the slot
// table that it is responsible for. It is not safe for concurrent use.
type Manager struct {
	cfg  Config
	self membership.Member
	rng  *rand.Rand

	table    *pb.SlotTable // nil when absent or invalid
	version  uint64        // object version of the latest adopted table
	revision uint64        // its configuration revision
	slots    [flow.LeaseSlotCount]slotState

	// pending is the write whose outcome is unknown, nil if there is none.
	pending   *pendingWrite
	nextWrite time.Time // earliest time of the next new write
	// writesFrom is the time before which nothing is written after the platform was
	// restored: by then, no instance acts by a lost table any more, except for those
	// that are partitioned from the others.
	writesFrom  time.Time
	writesBegun uint64 // writes begun by this incarnation; part of the change id
	// grantStops is keyed by instance name. An entry is removed when grants
	// resume.
	grantStops       map[string]grantStop
	removedInstances map[string]bool // by instance name; set by SetRemovedInstances
	startedAt        time.Time       // time of the first Tick
	lastTick         time.Time
	// runningSince is the time of the first Tick, or of the latest one that came
	// more than SuspectAfter after its predecessor.
	runningSince time.Time
	// absentSince is when this instance was ready and first found no table.
	absentSince time.Time
	nextBalance time.Time // earliest time of the next rebalancing
	releasing   bool      // true once Release was called
	view        *membership.View
	// firstSeen is keyed by member name.
	firstSeen map[string]seenIncarnation
	grants    Grants
	err       error
	stats     Stats
}

// New returns a Manager without a table. The incarnation of self has to be the
// one that the membership uses.
func New(cfg Config, self membership.Member, rng *rand.Rand) *Manager {
	return &Manager{
		cfg: cfg.withDefaults(), self: self, rng: rng,
		grantStops: map[string]grantStop{}, removedInstances: map[string]bool{},
	}
}

// AdoptTable replaces the slot table by one with a higher configuration revision, and
// ignores any other; version is the object version. A nil table
// means that the object was deleted or, in a write result, cannot be decoded: all
// lease terms end, and this instance does not write a first table, because a
// version is known. A table with a wrong number of slots is treated as nil and sets
// Err. AdoptTable has to be called before membership.SetLocal reports the revision.
func (manager *Manager) AdoptTable(now time.Time, table *pb.SlotTable, version, revision uint64) {
	if revision <= manager.revision {
		return
	}
	restored := manager.revision > 0 && position.Era(revision) > position.Era(manager.revision)
	if restored {
		manager.writesFrom = manager.quietFrom(now)
	}
	pending := manager.pending
	if manager.pending != nil && (version > manager.pending.expected || restored) {
		// The pending write has taken effect, or its condition on the version
		// and the era can no longer hold.
		manager.pending = nil
	}
	for name, s := range manager.grantStops {
		if s.writing || restored {
			s.revision, s.writing = revision, false
			manager.grantStops[name] = s
		}
	}
	old := manager.table
	manager.version, manager.revision, manager.table = version, revision, table
	if table != nil && len(table.GetSlots()) != flow.LeaseSlotCount {
		manager.stats.TableErrors++
		manager.err = &TableError{Version: version, Reason: "wrong number of slots"}
		manager.table = nil
	}
	for i := range manager.slots {
		before, entry := slotEntry(old, i), slotEntry(manager.table, i)
		if restored {
			manager.leaveEra(now, i, before, entry)
			if pending != nil && !proto.Equal(before, slotEntry(pending.table, i)) {
				// The write may have taken effect in the earlier era.
				manager.quarantineSlot(now, i, slotEntry(pending.table, i))
			}
		}
		manager.adoptSlot(now, i, before, entry)
	}
}

// slotEntry returns the entry of a slot, nil if there is no table.
func slotEntry(t *pb.SlotTable, slot int) *pb.Slot {
	if t == nil {
		return nil
	}
	return t.GetSlots()[slot]
}

// adoptSlot updates the local state of a slot whose entry changes from old to e.
func (manager *Manager) adoptSlot(now time.Time, slot int, old, e *pb.Slot) {
	s := &manager.slots[slot]
	if e.GetHolder() != old.GetHolder() || e.GetSuccessor() != old.GetSuccessor() || s.partiesChangedAt.IsZero() {
		s.partiesChangedAt, s.removedSince = now, time.Time{}
	}
	if !manager.holds(e) {
		if e.GetEpoch() != old.GetEpoch() {
			s.received = receivedHandover{}
		}
		s.until, s.handoverTarget = time.Time{}, ""
		return
	}
	if s.epoch == e.GetEpoch() && manager.holds(old) && len(s.lost) == 0 && !now.Before(s.quietUntil) {
		return
	}
	// A lease term is clean only if the records came from the holder of the
	// directly preceding epoch.
	r := s.received
	s.clean = e.GetClean() && r.from != "" && r.from == old.GetHolder() &&
		r.incarnation == old.GetHolderIncarnation() && r.epoch == old.GetEpoch() && r.epoch+1 == e.GetEpoch()
	s.start, s.epoch, s.until = now, e.GetEpoch(), time.Time{}
	s.handoverTarget, s.received = "", receivedHandover{}
}

// holds reports whether an entry names this incarnation of this instance as
// the holder.
func (manager *Manager) holds(e *pb.Slot) bool {
	return e != nil && e.GetHolder() == manager.self.Name && e.GetHolderIncarnation() == manager.self.Incarnation
}

// SetRemovedInstances replaces the set of instances that an operator declared to be
// permanently removed. They are not eligible as holder or successor. A successor
// that takes over from one of them waits for the expiry of its grants but not for
// SuspectAfter after it.
// If this instance is in the set, its lease terms end at the next Tick.
func (manager *Manager) SetRemovedInstances(names []string) {
	clear(manager.removedInstances)
	for _, name := range names {
		manager.removedInstances[name] = true
	}
}

// HandleHandover notes that the request records of the slots were received from
// an instance with the given name and incarnation. Whether that is the holder is
// checked only when a table names this instance as the next one. Slots that this
// instance holds and slot numbers out of range are ignored.
func (manager *Manager) HandleHandover(from string, incarnation uint64, slots []uint32) {
	for _, slot := range slots {
		if slot >= flow.LeaseSlotCount || manager.holds(slotEntry(manager.table, int(slot))) {
			continue
		}
		manager.slots[slot].received = receivedHandover{
			from: from, incarnation: incarnation, epoch: slotEntry(manager.table, int(slot)).GetEpoch(),
		}
	}
}

// Holder returns the name of the instance that holds a slot according to the
// table, "" if there is none.
func (manager *Manager) Holder(slot int) string {
	if slot < 0 || slot >= flow.LeaseSlotCount {
		return ""
	}
	return slotEntry(manager.table, slot).GetHolder()
}

// CurrentTerm returns the lease term of this instance for a slot, and whether it may act
// for the slot at now: the table names it as the holder, no handover of the slot
// is in progress, and the lease term has not ended.
func (manager *Manager) CurrentTerm(slot int, now time.Time) (Term, bool) {
	if slot < 0 || slot >= flow.LeaseSlotCount || !manager.holds(slotEntry(manager.table, slot)) {
		return Term{}, false
	}
	s := &manager.slots[slot]
	if s.handoverTarget != "" || !now.Before(s.until) {
		return Term{}, false
	}
	return Term{Start: s.start, Until: s.until, Epoch: s.epoch, Clean: s.clean}, true
}

// HeldSlots returns the number of slots that the table assigns to this incarnation
// of this instance, whether or not it may act for them.
func (manager *Manager) HeldSlots() int {
	n := 0
	for i := range manager.slots {
		if manager.holds(slotEntry(manager.table, i)) {
			n++
		}
	}
	return n
}

// Partners returns the names of the successors of the slots that this instance
// holds and of the holders of the slots that it is the successor of, each once,
// for membership.SetPartners.
func (manager *Manager) Partners() []string {
	seen := map[string]bool{}
	var names []string
	for i := range manager.slots {
		e := slotEntry(manager.table, i)
		other := ""
		switch manager.self.Name {
		case e.GetHolder():
			other = e.GetSuccessor()
		case e.GetSuccessor():
			other = e.GetHolder()
		}
		if other != "" && !seen[other] {
			seen[other] = true
			names = append(names, other)
		}
	}
	return names
}

// Err returns the latest error of the slot table, a *TableError, or nil if there
// was none. Later valid tables do not reset it.
func (manager *Manager) Err() error { return manager.err }

// Stats returns the counters.
func (manager *Manager) Stats() Stats { return manager.stats }

// Tick resends the pending write if it is due or plans new changes of the table,
// and then recomputes the lease terms. The view has to be taken at now from the
// membership that grants belongs to.
func (manager *Manager) Tick(now time.Time, view *membership.View, grants Grants) []action.Action {
	if manager.startedAt.IsZero() {
		manager.startedAt, manager.runningSince = now, now
		manager.nextBalance = now.Add(manager.cfg.RebalanceInterval)
	}
	if !manager.lastTick.IsZero() && now.Sub(manager.lastTick) > manager.cfg.SuspectAfter {
		manager.runningSince = now
	}
	manager.lastTick, manager.view, manager.grants = now, view, grants
	manager.recordIncarnations(now)
	manager.resumeGrants()
	manager.endQuarantines(now)
	var actions []action.Action
	switch {
	case manager.pending != nil:
		actions = manager.resendWrite(now)
	case !now.Before(manager.nextWrite):
		actions = manager.planWrite(now)
	}
	manager.updateTerms()
	return actions
}

// seenIncarnation is the latest incarnation of a member and the local time at
// which this instance first saw it.
type seenIncarnation struct {
	incarnation uint64
	since       time.Time
}

// recordIncarnations updates firstSeen from the current view.
func (manager *Manager) recordIncarnations(now time.Time) {
	if manager.firstSeen == nil {
		manager.firstSeen = map[string]seenIncarnation{}
	}
	for _, m := range manager.view.Members {
		if manager.firstSeen[m.Name].incarnation != m.Incarnation {
			manager.firstSeen[m.Name] = seenIncarnation{incarnation: m.Incarnation, since: now}
		}
	}
}

// incarnationSettled reports whether this instance has seen the incarnation of a
// member for longer than LeaseDuration, LeaseMargin and two default heartbeat
// intervals. By then, no other instance should still withhold grants from it
// because of its previous incarnation; the grants themselves are not read. A slot
// that moves to a member directly after its restart can be without an acting holder
// for up to 6.3 s.
func (manager *Manager) incarnationSettled(now time.Time, m membership.Member) bool {
	const heartbeats = 2 * time.Second
	seen, ok := manager.firstSeen[m.Name]
	return ok && seen.incarnation == m.Incarnation &&
		now.Sub(seen.since) > manager.cfg.LeaseDuration+manager.cfg.LeaseMargin+heartbeats
}

// Release starts handing over all slots of this instance, each to its successor
// or, if that is not eligible, to another member. The lease terms end at once, and
// this cannot be undone. A slot for which no member is eligible stays here without
// an acting holder. Release writes even if the next write is delayed, but returns
// nil before the first Tick and while a write is pending. Tick continues to write
// until the table names the new holders.
func (manager *Manager) Release(now time.Time) []action.Action {
	manager.releasing = true
	for i := range manager.slots {
		if manager.holds(slotEntry(manager.table, i)) {
			manager.slots[i].until = time.Time{}
		}
	}
	if manager.view == nil || manager.pending != nil {
		return nil
	}
	return manager.planWrite(now)
}

// updateTerms computes until when this instance may act for each slot. While
// the outcome of a write is unknown, the successor in the old table and the one
// in the new table may both be entitled to take over, so the lease term ends with
// the earlier of their grants.
func (manager *Manager) updateTerms() {
	for i := range manager.slots {
		s, e := &manager.slots[i], slotEntry(manager.table, i)
		s.until = time.Time{}
		if !manager.holds(e) || s.handoverTarget != "" || manager.releasing || manager.removedInstances[manager.self.Name] {
			continue
		}
		if e.GetEpoch() <= s.epochFloor || len(s.lost) > 0 || manager.lastTick.Before(s.quietUntil) {
			continue
		}
		s.until = manager.grantEnd(e)
		if manager.pending == nil {
			continue
		}
		if p := slotEntry(manager.pending.table, i); !manager.holds(p) {
			s.until = time.Time{}
		} else if until := manager.grantEnd(p); until.Before(s.until) {
			s.until = until
		}
	}
}
