package lease

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// planHandovers enters the targets of the handovers in progress as holders in
// the new table and returns one SlotHandover message per target. The node adds
// the records of its requests to each message before it sends it.
func (leases *Leases) planHandovers(now time.Time, t *pb.SlotTable) []action.Action {
	announced := map[string][]uint32{}
	for i, e := range t.GetSlots() {
		if !leases.holds(leases.table.GetSlots()[i]) {
			continue
		}
		s := &leases.slots[i]
		if leases.releasing && s.handoverTarget == "" {
			leases.releaseSlot(now, t, i)
		}
		if s.handoverTarget == "" {
			continue
		}
		m, ok := leases.view.Member(s.handoverTarget)
		if !ok || !leases.eligible(m) {
			// The target is no longer eligible. The slot stays here or, after
			// Release, gets another target in the next call.
			s.handoverTarget = ""
			continue
		}
		leases.assignHolder(now, t, i, m)
		e.Clean = s.handoverClean
		announced[m.Name] = append(announced[m.Name], uint32(i))
	}
	names := make([]string, 0, len(announced))
	for name := range announced {
		names = append(names, name)
	}
	slices.Sort(names)
	var actions []action.Action
	for _, name := range names {
		m, _ := leases.view.Member(name)
		leases.stats.Handovers += uint64(len(announced[name]))
		actions = append(actions, action.SendPeer{Instance: name, Address: m.Address, Message: &pb.PeerMessage{
			From: leases.self.Name, Incarnation: leases.self.Incarnation,
			Body: &pb.PeerMessage_SlotHandover{SlotHandover: &pb.SlotHandover{Slots: announced[name]}},
		}})
	}
	return actions
}

// releaseSlot starts the handover of a slot after Release: to its successor or,
// if that is not eligible, to the best candidate for successor.
func (leases *Leases) releaseSlot(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if m, ok := leases.view.Member(e.GetSuccessor()); ok && leases.eligible(m) && m.Name != leases.self.Name {
		leases.startHandover(now, i, m.Name)
		return
	}
	if best, found := leases.bestSuccessor(now, t, i, leases.self); found {
		leases.startHandover(now, i, best.Name)
	}
}

// startHandover starts the handover of a slot and ends its tenure. The handover
// is clean if it is the first one of the slot in this run and this instance knows
// every request that still counts: it received the records of the previous
// holder, or has held the slot for longer than EarlierRequestWindow.
func (leases *Leases) startHandover(now time.Time, i int, name string) {
	s := &leases.slots[i]
	complete := s.clean || now.Sub(s.start) > leases.cfg.EarlierRequestWindow
	s.handoverTarget, s.handoverClean = name, complete && !s.handoverStarted
	s.handoverStarted, s.until = true, time.Time{}
}

// assignHolder makes a member the holder of a slot in the new table. The
// successor stays if it is eligible, is not the new holder and is in another
// failure domain.
func (leases *Leases) assignHolder(now time.Time, t *pb.SlotTable, i int, to membership.Member) {
	e := t.GetSlots()[i]
	e.Epoch++
	e.Holder, e.HolderIncarnation = to.Name, to.Incarnation
	m, ok := leases.view.Member(e.GetSuccessor())
	if ok && leases.eligible(m) && m.Name != to.Name && m.FailureDomain != to.FailureDomain {
		e.SuccessorIncarnation = m.Incarnation
		return
	}
	if best, found := leases.bestSuccessor(now, t, i, to); found {
		e.Successor, e.SuccessorIncarnation = best.Name, best.Incarnation
	}
}

// planBalance hands a few slots of this instance over to the ready member that
// holds the fewest, and gives a few of its slots another successor.
func (leases *Leases) planBalance(now time.Time, t *pb.SlotTable) {
	leases.balanceHolders(now, t)
	leases.balanceSuccessors(t)
}

// balanceHolders starts up to RebalanceBatch handovers, as long as this instance
// holds at least two slots more than the target.
func (leases *Leases) balanceHolders(now time.Time, t *pb.SlotTable) {
	count := holderCounts(t)
	to, found := leases.leastLoaded(count, func(m membership.Member) bool {
		return m.Ready && m.Name != leases.self.Name && leases.receivesGrants(now, m)
	})
	if !found {
		return
	}
	moved := 0
	for i, e := range t.GetSlots() {
		if moved == leases.cfg.RebalanceBatch || count[leases.self.Name]-count[to.Name] < 2 {
			return
		}
		if leases.holds(e) && leases.holds(leases.table.GetSlots()[i]) && leases.slots[i].handoverTarget == "" {
			leases.startHandover(now, i, to.Name)
			count[leases.self.Name]--
			count[to.Name]++
			moved++
		}
	}
}

// balanceSuccessors replaces the successor of up to RebalanceBatch slots of this
// instance that is in the same failure domain as this instance, or that has at
// least two slots more than the eligible member with the fewest.
func (leases *Leases) balanceSuccessors(t *pb.SlotTable) {
	count := successorCounts(t)
	moved := 0
	for i, e := range t.GetSlots() {
		if moved == leases.cfg.RebalanceBatch {
			return
		}
		if !leases.holds(e) || leases.slots[i].handoverTarget != "" {
			continue
		}
		old, _ := leases.view.Member(e.GetSuccessor())
		to, found := leases.leastLoaded(count, func(m membership.Member) bool {
			return m.Name != leases.self.Name && m.FailureDomain != leases.self.FailureDomain
		})
		if !found {
			return
		}
		if old.FailureDomain != leases.self.FailureDomain && count[e.GetSuccessor()]-count[to.Name] < 2 {
			continue
		}
		count[e.GetSuccessor()]--
		count[to.Name]++
		e.Successor, e.SuccessorIncarnation = to.Name, to.Incarnation
		moved++
	}
}

// leastLoaded returns the eligible and accepted member with the lowest count, and
// reports whether there is one.
func (leases *Leases) leastLoaded(count map[string]int, accept func(membership.Member) bool) (membership.Member, bool) {
	var best membership.Member
	found := false
	for _, m := range leases.view.Members {
		if leases.eligible(m) && accept(m) && (!found || count[m.Name] < count[best.Name]) {
			best, found = m, true
		}
	}
	return best, found
}
