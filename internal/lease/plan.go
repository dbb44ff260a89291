package lease

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// writerSeed ranks the instances that may write a slot without a live party.
var writerSeed = flow.NameHash("lease/slots")

// change plans all changes of this instance and writes them at once.
func (l *Leases) change(now time.Time) []action.Action {
	if l.table == nil {
		return l.bootstrap(now)
	}
	next := cloneTable(l.table)
	var handovers []action.Action
	for i, e := range next.GetSlots() {
		switch {
		case e.GetHolder() == l.self.Name:
			l.planHeld(now, next, i)
		case e.GetSuccessor() == l.self.Name:
			l.planTakeover(now, next, i)
		default:
			l.planForgotten(now, next, i)
		}
	}
	// A handover stops a slot until its write is decided, so it starts only
	// while the platform answers.
	fresh := now.Sub(l.view.Self.ConfirmedAt) < l.cfg.SuspectAfter
	if fresh && !l.releasing && !l.forgotten[l.self.Name] && !now.Before(l.nextBalance) {
		l.nextBalance = l.after(now, 2*l.cfg.RebalanceInterval)
		l.planBalance(now, next)
	}
	handovers = l.planHandovers(now, next)
	for i, e := range next.GetSlots() {
		if !sameSlot(e, l.table.GetSlots()[i]) {
			return append(handovers, l.begin(now, next)...)
		}
	}
	return nil
}

// planHeld changes a slot that names this instance as holder: a new
// incarnation claims it, and a successor that is dead, was restarted or makes
// no grants is replaced.
func (l *Leases) planHeld(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if e.GetHolderIncarnation() > l.self.Incarnation || l.releasing || l.forgotten[l.self.Name] {
		return
	}
	if e.GetHolderIncarnation() < l.self.Incarnation {
		e.Epoch++
		e.HolderIncarnation, e.Clean = l.self.Incarnation, false
		l.stats.Reclaims++
	}
	m, ok := l.view.Member(e.GetSuccessor())
	if ok && m.Incarnation > e.GetSuccessorIncarnation() {
		e.SuccessorIncarnation = m.Incarnation
	}
	usable := ok && l.usable(m) && m.Name != l.self.Name
	silent := !now.Before(l.grants.GrantUntil(e.GetSuccessor())) &&
		now.Sub(l.slots[i].seenAt) > l.cfg.LeaseDuration+l.cfg.SuspectAfter
	if usable && !silent {
		return
	}
	best, found := l.bestSuccessor(now, t, i, l.self)
	if found && (!usable || now.Before(l.grants.GrantUntil(best.Name))) && best.Name != e.GetSuccessor() {
		e.Successor, e.SuccessorIncarnation = best.Name, best.Incarnation
		l.stats.SuccessorsReplaced++
	}
}

// planTakeover takes a slot over when no grant to its holder can be in use
// any more.
func (l *Leases) planTakeover(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	term := l.cfg.LeaseDuration + l.cfg.LeaseMargin
	expired := l.grants.GrantedUntil(e.GetHolder())
	// An earlier incarnation of this instance may have made grants until it
	// ended.
	if own := l.startedAt.Add(term); own.After(expired) {
		expired = own
	}
	if !now.After(expired) || l.releasing || l.forgotten[l.self.Name] {
		return
	}
	if e.GetSuccessorIncarnation() > l.self.Incarnation || now.Sub(l.resumedAt) < l.cfg.SuspectAfter ||
		now.Sub(l.slots[i].seenAt) < term && !l.forgotten[e.GetHolder()] {
		return
	}
	// A holder that still answers someone has time to replace us.
	m, ok := l.view.Member(e.GetHolder())
	if ok && m.State != membership.Suspect && !l.forgotten[m.Name] && now.Sub(expired) < l.cfg.SuspectAfter {
		return
	}
	best, found := l.bestSuccessor(now, t, i, l.self)
	if !found {
		return
	}
	l.grants.StopGrants(e.GetHolder(), true)
	l.stops[e.GetHolder()] = stop{incarnation: e.GetHolderIncarnation()}
	l.take(e, best)
	l.stats.Takeovers++
}

func (l *Leases) take(e *pb.Slot, successor membership.Member) {
	e.Epoch++
	e.Holder, e.HolderIncarnation, e.Clean = l.self.Name, l.self.Incarnation, false
	e.Successor, e.SuccessorIncarnation = successor.Name, successor.Incarnation
}

// planForgotten takes a slot whose holder and successor were both stated to
// be gone for good. The instance of rank k waits k times WriterStagger.
func (l *Leases) planForgotten(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if !l.forgotten[e.GetHolder()] || !l.forgotten[e.GetSuccessor()] || l.releasing {
		return
	}
	s := &l.slots[i]
	if s.orphanSince.IsZero() {
		s.orphanSince = now
	}
	rank := slices.IndexFunc(l.view.Rank(writerSeed+uint64(i)), func(m membership.Member) bool {
		return m.Name == l.self.Name && l.usable(m)
	})
	if rank < 0 || now.Before(s.orphanSince.Add(time.Duration(rank)*l.cfg.WriterStagger)) {
		return
	}
	if best, found := l.bestSuccessor(now, t, i, l.self); found {
		l.take(e, best)
		l.stats.Takeovers++
	}
}

// usable tells whether a member can take duties.
func (l *Leases) usable(m membership.Member) bool {
	return m.State == membership.Alive && m.Incarnation != 0 && !l.forgotten[m.Name]
}

// bestSuccessor chooses a successor for a slot held by holder: one that makes
// grants to this instance, in another failure domain, with few slots.
func (l *Leases) bestSuccessor(now time.Time, t *pb.SlotTable, i int, holder membership.Member) (membership.Member, bool) {
	count := successorCounts(t)
	var best membership.Member
	found, bestCost := false, 0
	for _, m := range l.view.Rank(writerSeed + uint64(i)) {
		if m.Name == holder.Name || !l.usable(m) {
			continue
		}
		cost := count[m.Name]
		if m.FailureDomain == holder.FailureDomain {
			cost += 1000
		}
		if holder.Name == l.self.Name && !now.Before(l.grants.GrantUntil(m.Name)) {
			cost += 10_000
		}
		if !found || cost < bestCost {
			best, bestCost, found = m, cost, true
		}
	}
	return best, found
}

func successorCounts(t *pb.SlotTable) map[string]int {
	count := map[string]int{}
	for _, e := range t.GetSlots() {
		count[e.GetSuccessor()]++
	}
	return count
}

func holderCounts(t *pb.SlotTable) map[string]int {
	count := map[string]int{}
	for _, e := range t.GetSlots() {
		count[e.GetHolder()]++
	}
	return count
}

// bootstrap writes the first table. The instance of rank k waits k times
// WriterStagger. An object that was deleted is not written again: holders
// with an older table may still act.
func (l *Leases) bootstrap(now time.Time) []action.Action {
	if l.version != 0 || l.releasing || !l.view.Self.Ready {
		return nil
	}
	ranked := l.view.Rank(writerSeed)
	if l.absentSince.IsZero() {
		l.absentSince = now
	}
	// The first wait lets the heartbeats of all members arrive.
	due := l.absentSince.Add(l.cfg.SuspectAfter)
	live := ranked[:0:0]
	for _, m := range ranked {
		if l.usable(m) {
			live = append(live, m)
		}
	}
	for k, m := range live {
		if m.Name == l.self.Name && len(live) > 1 && !now.Before(due.Add(time.Duration(k)*l.cfg.WriterStagger)) {
			l.stats.Bootstraps++
			return l.begin(now, initialTable(live))
		}
	}
	return nil
}

// initialTable spreads holders and successors evenly over the live members,
// the successor in another failure domain if there is one.
func initialTable(live []membership.Member) *pb.SlotTable {
	t := &pb.SlotTable{}
	count := map[string]int{}
	for i := range flow.LeaseSlots {
		holder := live[i%len(live)]
		var best membership.Member
		bestCost := -1
		// Starting behind the holder gives it different successors.
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
