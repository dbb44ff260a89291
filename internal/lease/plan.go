package lease

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// writerSeed is the seed of the ranking of members that decides who writes the
// first table or a slot whose holder and successor are both forgotten, and that
// orders the candidates for successor.
var writerSeed = flow.NameHash("lease/slots")

// planWrite plans all changes of the table that this instance has to make and
// begins one write with all of them. It returns nil if nothing changes.
func (leases *Leases) planWrite(now time.Time) []action.Action {
	if leases.table == nil {
		return leases.bootstrap(now)
	}
	next := cloneTable(leases.table)
	var handovers []action.Action
	for i, e := range next.GetSlots() {
		switch {
		case e.GetHolder() == leases.self.Name:
			leases.planHeld(now, next, i)
		case e.GetSuccessor() == leases.self.Name:
			leases.planTakeover(now, next, i)
		default:
			leases.planForgotten(now, next, i)
		}
	}
	// This instance does not act for a slot from the start of its handover until
	// the outcome of the write is known, so rebalancing requires a confirmation
	// by the platform that is younger than SuspectAfter.
	confirmed := now.Sub(leases.view.Self.ConfirmedAt) < leases.cfg.SuspectAfter
	if confirmed && !leases.releasing && !leases.forgotten[leases.self.Name] && !now.Before(leases.nextBalance) {
		leases.nextBalance = leases.jitteredAfter(now, 2*leases.cfg.RebalanceInterval)
		leases.planBalance(now, next)
	}
	handovers = leases.planHandovers(now, next)
	for i, e := range next.GetSlots() {
		if !sameSlot(e, leases.table.GetSlots()[i]) {
			return append(handovers, leases.beginWrite(now, next)...)
		}
	}
	return nil
}

// planHeld updates a slot that names this instance as the holder. A new
// incarnation of this instance reclaims it, a restarted successor is entered
// with its new incarnation, and a successor that is not eligible or makes no
// grants is replaced.
func (leases *Leases) planHeld(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if e.GetHolderIncarnation() > leases.self.Incarnation || leases.releasing || leases.forgotten[leases.self.Name] {
		return
	}
	if e.GetHolderIncarnation() < leases.self.Incarnation {
		e.Epoch++
		e.HolderIncarnation, e.Clean = leases.self.Incarnation, false
		leases.stats.Reclaims++
	}
	m, ok := leases.view.Member(e.GetSuccessor())
	if ok && m.Incarnation > e.GetSuccessorIncarnation() {
		e.SuccessorIncarnation = m.Incarnation
	}
	eligible := ok && leases.eligible(m) && m.Name != leases.self.Name
	silent := !now.Before(leases.grants.GrantUntil(e.GetSuccessor())) &&
		now.Sub(leases.slots[i].partiesChangedAt) > leases.cfg.LeaseDuration+leases.cfg.SuspectAfter
	if eligible && !silent {
		return
	}
	best, found := leases.bestSuccessor(now, t, i, leases.self)
	if found && (!eligible || now.Before(leases.grants.GrantUntil(best.Name))) && best.Name != e.GetSuccessor() {
		e.Successor, e.SuccessorIncarnation = best.Name, best.Incarnation
		leases.stats.SuccessorsReplaced++
	}
}

// planTakeover takes over a slot of which this instance is the successor, once
// every grant that it made to the holder has expired. It stops further grants to
// the holder before the write.
func (leases *Leases) planTakeover(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	term := leases.cfg.LeaseDuration + leases.cfg.LeaseMargin
	expired := leases.grants.GrantedUntil(e.GetHolder())
	// An earlier incarnation of this instance may have made grants up to its
	// end, which is at the latest the start of this one.
	if own := leases.startedAt.Add(term); own.After(expired) {
		expired = own
	}
	if !now.After(expired) || leases.releasing || leases.forgotten[leases.self.Name] {
		return
	}
	if e.GetSuccessorIncarnation() > leases.self.Incarnation || now.Sub(leases.resumedAt) < leases.cfg.SuspectAfter ||
		now.Sub(leases.slots[i].partiesChangedAt) < term && !leases.forgotten[e.GetHolder()] {
		return
	}
	// A holder that is not suspected may still reach other members. It has
	// SuspectAfter from the expiry of the grants to replace this successor.
	m, ok := leases.view.Member(e.GetHolder())
	if ok && m.State != membership.Suspect && !leases.forgotten[m.Name] && now.Sub(expired) < leases.cfg.SuspectAfter {
		return
	}
	best, found := leases.bestSuccessor(now, t, i, leases.self)
	if !found {
		return
	}
	leases.grants.StopGrants(e.GetHolder(), true)
	leases.grantStops[e.GetHolder()] = grantStop{incarnation: e.GetHolderIncarnation()}
	leases.assignToSelf(e, best)
	leases.stats.Takeovers++
}

// assignToSelf makes this instance the holder of a slot in a new table, with a
// new epoch that is not clean.
func (leases *Leases) assignToSelf(e *pb.Slot, successor membership.Member) {
	e.Epoch++
	e.Holder, e.HolderIncarnation, e.Clean = leases.self.Name, leases.self.Incarnation, false
	e.Successor, e.SuccessorIncarnation = successor.Name, successor.Incarnation
}

// planForgotten takes over a slot whose holder and successor are both forgotten.
// The member of rank k for the slot waits k times WriterStagger, so that usually
// one member only writes.
func (leases *Leases) planForgotten(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if !leases.forgotten[e.GetHolder()] || !leases.forgotten[e.GetSuccessor()] || leases.releasing {
		return
	}
	s := &leases.slots[i]
	if s.forgottenSince.IsZero() {
		s.forgottenSince = now
	}
	rank := slices.IndexFunc(leases.view.Rank(writerSeed+uint64(i)), func(m membership.Member) bool {
		return m.Name == leases.self.Name && leases.eligible(m)
	})
	if rank < 0 || now.Before(s.forgottenSince.Add(time.Duration(rank)*leases.cfg.WriterStagger)) {
		return
	}
	if best, found := leases.bestSuccessor(now, t, i, leases.self); found {
		leases.assignToSelf(e, best)
		leases.stats.Takeovers++
	}
}

// eligible reports whether a member can become holder or successor of a slot: it
// is alive, its incarnation is known and it is not forgotten.
func (leases *Leases) eligible(m membership.Member) bool {
	return m.State == membership.Alive && m.Incarnation != 0 && !leases.forgotten[m.Name]
}

// bestSuccessor chooses the successor for a slot held by holder among the
// eligible members, and reports whether there is one. If this instance is the
// holder, members that make grants to it come first; then members in another
// failure domain than the holder; then those that are successor of the fewest
// slots.
func (leases *Leases) bestSuccessor(
	now time.Time, t *pb.SlotTable, i int, holder membership.Member,
) (membership.Member, bool) {
	count := successorCounts(t)
	var best membership.Member
	found, bestCost := false, 0
	for _, m := range leases.view.Rank(writerSeed + uint64(i)) {
		if m.Name == holder.Name || !leases.eligible(m) {
			continue
		}
		cost := count[m.Name]
		if m.FailureDomain == holder.FailureDomain {
			cost += 1000
		}
		if holder.Name == leases.self.Name && !now.Before(leases.grants.GrantUntil(m.Name)) {
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

// bootstrap writes the first table if no version of it ever existed. The live
// member of rank k waits SuspectAfter plus k times WriterStagger. A deleted
// object is not written again: holders with an older table may still act.
func (leases *Leases) bootstrap(now time.Time) []action.Action {
	if leases.version != 0 || leases.releasing || !leases.view.Self.Ready {
		return nil
	}
	ranked := leases.view.Rank(writerSeed)
	if leases.absentSince.IsZero() {
		leases.absentSince = now
	}
	// Within SuspectAfter, the heartbeats of all members arrive.
	due := leases.absentSince.Add(leases.cfg.SuspectAfter)
	live := ranked[:0:0]
	for _, m := range ranked {
		if leases.eligible(m) {
			live = append(live, m)
		}
	}
	for k, m := range live {
		if m.Name == leases.self.Name && len(live) > 1 && !now.Before(due.Add(time.Duration(k)*leases.cfg.WriterStagger)) {
			leases.stats.Bootstraps++
			return leases.beginWrite(now, initialTable(live))
		}
	}
	return nil
}

// initialTable distributes holders and successors evenly over the live members,
// with the successor in another failure domain than the holder if there is one.
func initialTable(live []membership.Member) *pb.SlotTable {
	t := &pb.SlotTable{}
	count := map[string]int{}
	for i := range flow.LeaseSlots {
		holder := live[i%len(live)]
		var best membership.Member
		bestCost := -1
		// Starting after the holder gives its slots different successors.
		for k := 1; k < len(live); k++ {
			m := live[(i+k)%len(live)]
			cost := count[m.Name]
			if m.FailureDomain == holder.FailureDomain {
				cost += flow.LeaseSlots
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
