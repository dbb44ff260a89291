package lease

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// writerSeed is the seed of the ranking of members that decides who writes the
// first table or a slot whose holder and successor are both removed, and that
// orders the candidates for successor.
var writerSeed = flow.NameHash("lease/slots")

// planWrite plans all changes of the table that this instance has to make and
// begins one write with all of them. It returns nil if nothing changes, and until a
// restored platform has settled.
func (manager *Manager) planWrite(now time.Time) []action.Action {
	if now.Before(manager.writesFrom) || manager.revision > 0 && position.Era(manager.revision) != position.Era(manager.view.Self.Revision) {
		return nil
	}
	if manager.table == nil {
		return manager.bootstrap(now)
	}
	next := cloneTable(manager.table)
	var handovers []action.Action
	for i, e := range next.GetSlots() {
		switch {
		case e.GetHolder() == manager.self.Name:
			manager.planHeld(now, next, i)
		case e.GetSuccessor() == manager.self.Name:
			manager.planTakeover(now, next, i)
		default:
			manager.planRemoved(now, next, i)
		}
	}
	// This instance does not act for a slot from the start of its handover until
	// the outcome of the write is known, so rebalancing requires a confirmation
	// by the platform that is younger than SuspectAfter.
	confirmed := now.Sub(manager.view.Self.ConfirmedAt) < manager.cfg.SuspectAfter
	if confirmed && !manager.releasing && !manager.removedInstances[manager.self.Name] && !now.Before(manager.nextBalance) {
		manager.nextBalance = manager.jitteredAfter(now, 2*manager.cfg.RebalanceInterval)
		manager.planBalance(now, next)
	}
	handovers = manager.planHandovers(now, next)
	for i, e := range next.GetSlots() {
		if !sameSlot(e, manager.table.GetSlots()[i]) {
			return append(handovers, manager.beginWrite(now, next)...)
		}
	}
	return nil
}

// planHeld updates a slot that names this instance as the holder. A new
// incarnation of this instance reclaims it, a restarted successor is entered
// with its new incarnation, and a successor that is not eligible or makes no
// grants is replaced.
func (manager *Manager) planHeld(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if e.GetHolderIncarnation() > manager.self.Incarnation || manager.releasing || manager.removedInstances[manager.self.Name] {
		return
	}
	if e.GetHolderIncarnation() < manager.self.Incarnation {
		if !manager.mayReclaim(now) {
			return
		}
		e.Epoch++
		e.HolderIncarnation, e.Clean = manager.self.Incarnation, false
		manager.stats.Reclaims++
	}
	if floor := manager.slots[i].epochFloor; e.GetEpoch() <= floor {
		e.Epoch, e.Clean = floor+1, false
	}
	m, ok := manager.view.Member(e.GetSuccessor())
	if ok && m.Incarnation > e.GetSuccessorIncarnation() {
		e.SuccessorIncarnation = m.Incarnation
	}
	eligible := ok && manager.eligible(m) && m.Name != manager.self.Name
	silent := !now.Before(manager.grants.ReceivedGrantUntil(e.GetSuccessor())) &&
		now.Sub(manager.slots[i].partiesChangedAt) > manager.cfg.LeaseDuration+manager.cfg.SuspectAfter
	if eligible && !silent {
		return
	}
	best, found := manager.bestSuccessor(now, t, i, manager.self)
	if found && (!eligible || now.Before(manager.grants.ReceivedGrantUntil(best.Name))) && best.Name != e.GetSuccessor() {
		e.Successor, e.SuccessorIncarnation = best.Name, best.Incarnation
		manager.stats.SuccessorsReplaced++
	}
}

// planTakeover takes over a slot of which this instance is the successor, once
// every grant that it made to the holder has expired. It does nothing after
// Release, if this instance is removed, if the table names a newer incarnation of
// this instance, within SuspectAfter from the start or a gap between ticks, and,
// unless the holder is removed, within LeaseDuration plus LeaseMargin from the
// latest change of holder or successor.
//
// It stops further grants to the holder before the write. This affects every slot
// of that holder with this instance as successor, until the holder reports the
// revision of the new table or restarts, or the write is abandoned.
func (manager *Manager) planTakeover(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	grantLife := manager.cfg.LeaseDuration + manager.cfg.LeaseMargin
	expired := manager.grants.GivenGrantUntil(e.GetHolder())
	// An earlier incarnation of this instance may have made grants up to its
	// end, which is at the latest the start of this one.
	if own := manager.startedAt.Add(grantLife); own.After(expired) {
		expired = own
	}
	if !now.After(expired) || manager.releasing || manager.removedInstances[manager.self.Name] {
		return
	}
	if e.GetSuccessorIncarnation() > manager.self.Incarnation || now.Sub(manager.runningSince) < manager.cfg.SuspectAfter ||
		now.Sub(manager.slots[i].partiesChangedAt) < grantLife && !manager.removedInstances[e.GetHolder()] {
		return
	}
	// A holder that is not suspected may still reach other members. It has
	// SuspectAfter from the expiry of the grants to replace this successor.
	m, ok := manager.view.Member(e.GetHolder())
	if ok && m.State != membership.Suspect && !manager.removedInstances[m.Name] && now.Sub(expired) < manager.cfg.SuspectAfter {
		return
	}
	best, found := manager.bestSuccessor(now, t, i, manager.self)
	if !found {
		return
	}
	manager.grants.SetGrantsStopped(e.GetHolder(), true)
	stop := manager.grantStops[e.GetHolder()]
	stop.incarnation, stop.writing = e.GetHolderIncarnation(), true
	manager.grantStops[e.GetHolder()] = stop
	manager.assignToSelf(e, manager.slots[i].epochFloor, best)
	manager.stats.Takeovers++
}

// assignToSelf makes this instance the holder of a slot in a new table, with a
// new epoch above floor that is not clean.
func (manager *Manager) assignToSelf(e *pb.Slot, floor uint64, successor membership.Member) {
	e.Epoch = max(e.Epoch, floor) + 1
	e.Holder, e.HolderIncarnation, e.Clean = manager.self.Name, manager.self.Incarnation, false
	e.Successor, e.SuccessorIncarnation = successor.Name, successor.Incarnation
}

// planRemoved takes over a slot whose holder and successor are both removed.
// The member of rank k for the slot waits k times WriterStagger, so that usually
// one member only writes.
func (manager *Manager) planRemoved(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if !manager.removedInstances[e.GetHolder()] || !manager.removedInstances[e.GetSuccessor()] || manager.releasing {
		return
	}
	s := &manager.slots[i]
	if s.removedSince.IsZero() {
		s.removedSince = now
	}
	rank := slices.IndexFunc(manager.view.Rank(writerSeed+uint64(i)), func(m membership.Member) bool {
		return m.Name == manager.self.Name && manager.eligible(m)
	})
	if rank < 0 || now.Before(s.removedSince.Add(time.Duration(rank)*manager.cfg.WriterStagger)) {
		return
	}
	if best, found := manager.bestSuccessor(now, t, i, manager.self); found {
		manager.assignToSelf(e, manager.slots[i].epochFloor, best)
		manager.stats.Takeovers++
	}
}

// eligible reports whether a member can become holder or successor of a slot: it
// is alive, its incarnation is known and it is not removed.
func (manager *Manager) eligible(m membership.Member) bool {
	return m.State == membership.Alive && m.Incarnation != 0 && !manager.removedInstances[m.Name]
}

// bestSuccessor chooses the successor for a slot held by holder among the
// eligible members, and reports whether there is one. If this instance is the
// holder, members that make grants to it come first; then members in another
// failure domain than the holder; then those that are successor of the fewest
// slots. For this order, the cost of each criterion has to exceed the sum of the
// lower ones; the number of slots is at most flow.LeaseSlotCount.
func (manager *Manager) bestSuccessor(
	now time.Time, t *pb.SlotTable, i int, holder membership.Member,
) (membership.Member, bool) {
	count := successorCounts(t)
	var best membership.Member
	found, bestCost := false, 0
	for _, m := range manager.view.Rank(writerSeed + uint64(i)) {
		if m.Name == holder.Name || !manager.eligible(m) {
			continue
		}
		cost := count[m.Name]
		if m.FailureDomain == holder.FailureDomain {
			cost += 1000
		}
		if holder.Name == manager.self.Name && !now.Before(manager.grants.ReceivedGrantUntil(m.Name)) {
			cost += 10_000
		}
		if !found || cost < bestCost {
			best, bestCost, found = m, cost, true
		}
	}
	return best, found
}

// successorCounts returns the number of slots per successor, by instance name.
func successorCounts(t *pb.SlotTable) map[string]int {
	count := map[string]int{}
	for _, e := range t.GetSlots() {
		count[e.GetSuccessor()]++
	}
	return count
}

// holderCounts returns the number of slots per holder, by instance name.
func holderCounts(t *pb.SlotTable) map[string]int {
	count := map[string]int{}
	for _, e := range t.GetSlots() {
		count[e.GetHolder()]++
	}
	return count
}

// bootstrap writes the first table if this instance has adopted no version, is
// ready, is not releasing its slots and sees at least two eligible members. The
// eligible member of rank k waits SuspectAfter plus k times WriterStagger. A deleted
// object is not written again: holders with an older table may still act.
func (manager *Manager) bootstrap(now time.Time) []action.Action {
	if manager.version != 0 || manager.releasing || !manager.view.Self.Ready {
		return nil
	}
	ranked := manager.view.Rank(writerSeed)
	if manager.absentSince.IsZero() {
		manager.absentSince = now
	}
	// Within SuspectAfter, the heartbeats of all members arrive.
	due := manager.absentSince.Add(manager.cfg.SuspectAfter)
	candidates := ranked[:0:0]
	for _, m := range ranked {
		if manager.eligible(m) {
			candidates = append(candidates, m)
		}
	}
	for k, m := range candidates {
		if m.Name == manager.self.Name && len(candidates) > 1 && !now.Before(due.Add(time.Duration(k)*manager.cfg.WriterStagger)) {
			manager.stats.Bootstraps++
			return manager.beginWrite(now, initialTable(candidates))
		}
	}
	return nil
}

// initialTable distributes holders and successors evenly over the eligible members,
// with the successor in another failure domain than the holder if there is one: the
// cost of the same domain is above every possible number of slots so far.
func initialTable(candidates []membership.Member) *pb.SlotTable {
	t := &pb.SlotTable{}
	count := map[string]int{}
	for i := range flow.LeaseSlotCount {
		holder := candidates[i%len(candidates)]
		var best membership.Member
		bestCost := -1
		// Starting after the holder gives its slots different successors.
		for k := 1; k < len(candidates); k++ {
			m := candidates[(i+k)%len(candidates)]
			cost := count[m.Name]
			if m.FailureDomain == holder.FailureDomain {
				cost += flow.LeaseSlotCount
			}
			if bestCost < 0 || cost < bestCost {
				best, bestCost = m, cost
			}
		}
		count[best.Name]++
		t.Slots = append(t.Slots, &pb.Slot{
			Epoch: 1, Holder: holder.Name, HolderIncarnation: holder.Incarnation,
			Successor: best.Name, SuccessorIncarnation: best.Incarnation,
		})
	}
	return t
}
