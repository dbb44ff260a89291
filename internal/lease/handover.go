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
func (manager *Manager) planHandovers(now time.Time, t *pb.SlotTable) []action.Action {
	announced := map[string][]uint32{}
	for i, e := range t.GetSlots() {
		if !manager.holds(manager.table.GetSlots()[i]) {
			continue
		}
		s := &manager.slots[i]
		if manager.releasing && s.handoverTarget == "" {
			manager.releaseSlot(now, t, i)
		}
		if s.handoverTarget == "" {
			continue
		}
		m, ok := manager.view.Member(s.handoverTarget)
		if !ok || !manager.eligible(m) {
			// The target is no longer eligible. The slot stays here or, after
			// Release, gets another target in the next call.
			s.handoverTarget = ""
			continue
		}
		manager.assignHolder(now, t, i, m)
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
		m, _ := manager.view.Member(name)
		manager.stats.Handovers += uint64(len(announced[name]))
		actions = append(actions, action.SendPeer{Instance: name, Address: m.Address, Message: &pb.PeerMessage{
			From: manager.self.Name, Incarnation: manager.self.Incarnation,
			Body: &pb.PeerMessage_SlotHandover{SlotHandover: &pb.SlotHandover{Slots: announced[name]}},
		}})
	}
	return actions
}

// releaseSlot starts the handover of a slot after Release: to its successor or,
// if that is not eligible, to the best candidate for successor.
func (manager *Manager) releaseSlot(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if m, ok := manager.view.Member(e.GetSuccessor()); ok && manager.eligible(m) && m.Name != manager.self.Name {
		manager.startHandover(now, i, m.Name)
		return
	}
	if best, found := manager.bestSuccessor(now, t, i, manager.self); found {
		manager.startHandover(now, i, best.Name)
	}
}

// startHandover starts the handover of a slot and ends its term. The handover
// is clean if it is the first one of the slot by this incarnation and this instance
// knows every forwarded request whose deadline may still lie ahead: it received
// the records of the previous holder, or has held the slot for longer than
// EarlierRequestWindow.
func (manager *Manager) startHandover(now time.Time, i int, name string) {
	s := &manager.slots[i]
	complete := s.clean || now.Sub(s.start) > manager.cfg.EarlierRequestWindow
	s.handoverTarget, s.handoverClean = name, complete && !s.handoverStarted
	s.handoverStarted, s.until = true, time.Time{}
}

// assignHolder makes a member the holder of a slot in the new table. The
// successor stays if it is eligible, is not the new holder and is in another
// failure domain.
func (manager *Manager) assignHolder(now time.Time, t *pb.SlotTable, i int, to membership.Member) {
	e := t.GetSlots()[i]
	e.Epoch = max(e.Epoch, manager.slots[i].epochFloor) + 1
	e.Holder, e.HolderIncarnation = to.Name, to.Incarnation
	m, ok := manager.view.Member(e.GetSuccessor())
	if ok && manager.eligible(m) && m.Name != to.Name && m.FailureDomain != to.FailureDomain {
		e.SuccessorIncarnation = m.Incarnation
		return
	}
	if best, found := manager.bestSuccessor(now, t, i, to); found {
		e.Successor, e.SuccessorIncarnation = best.Name, best.Incarnation
	}
}

// planBalance hands a few slots of this instance over to the ready member that
// holds the fewest, and gives a few of its slots another successor.
func (manager *Manager) planBalance(now time.Time, t *pb.SlotTable) {
	manager.balanceHolders(now, t)
	manager.balanceSuccessors(t)
}

// balanceHolders starts up to RebalanceBatch handovers, as long as this instance
// holds at least two slots more than the target.
func (manager *Manager) balanceHolders(now time.Time, t *pb.SlotTable) {
	count := holderCounts(t)
	to, found := manager.leastLoaded(count, func(m membership.Member) bool {
		return m.Ready && m.Name != manager.self.Name && manager.incarnationSettled(now, m)
	})
	if !found {
		return
	}
	moved := 0
	for i, e := range t.GetSlots() {
		if moved == manager.cfg.RebalanceBatch || count[manager.self.Name]-count[to.Name] < 2 {
			return
		}
		if manager.holds(e) && manager.holds(manager.table.GetSlots()[i]) && manager.slots[i].handoverTarget == "" {
			manager.startHandover(now, i, to.Name)
			count[manager.self.Name]--
			count[to.Name]++
			moved++
		}
	}
}

// balanceSuccessors replaces the successor of up to RebalanceBatch slots of this
// instance by the eligible member in another failure domain that is the successor
// of the fewest slots. It replaces a successor that is in the failure domain of
// this instance or that has at least two slots more than that member.
func (manager *Manager) balanceSuccessors(t *pb.SlotTable) {
	count := successorCounts(t)
	moved := 0
	for i, e := range t.GetSlots() {
		if moved == manager.cfg.RebalanceBatch {
			return
		}
		if !manager.holds(e) || manager.slots[i].handoverTarget != "" {
			continue
		}
		old, _ := manager.view.Member(e.GetSuccessor())
		to, found := manager.leastLoaded(count, func(m membership.Member) bool {
			return m.Name != manager.self.Name && m.FailureDomain != manager.self.FailureDomain
		})
		if !found {
			return
		}
		if old.FailureDomain != manager.self.FailureDomain && count[e.GetSuccessor()]-count[to.Name] < 2 {
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
func (manager *Manager) leastLoaded(count map[string]int, accept func(membership.Member) bool) (membership.Member, bool) {
	var best membership.Member
	found := false
	for _, m := range manager.view.Members {
		if manager.eligible(m) && accept(m) && (!found || count[m.Name] < count[best.Name]) {
			best, found = m, true
		}
	}
	return best, found
}
