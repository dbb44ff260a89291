package lease

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// planHandovers moves the slots that are being handed over in the new table
// and announces them to their targets. The node adds the records of its
// requests to the announcement before it sends it.
func (l *Leases) planHandovers(now time.Time, t *pb.SlotTable) []action.Action {
	announced := map[string][]uint32{}
	for i, e := range t.GetSlots() {
		if !l.holds(l.table.GetSlots()[i]) {
			continue
		}
		s := &l.slots[i]
		if l.releasing && s.target == "" {
			l.aim(now, t, i)
		}
		if s.target == "" {
			continue
		}
		m, ok := l.view.Member(s.target)
		if !ok || !l.usable(m) {
			// The target is gone; keep the slot, or choose again next time.
			s.target = ""
			continue
		}
		l.hand(now, t, i, m)
		e.Clean = s.targetClean
		announced[m.Name] = append(announced[m.Name], uint32(i))
	}
	names := make([]string, 0, len(announced))
	for name := range announced {
		names = append(names, name)
	}
	slices.Sort(names)
	var actions []action.Action
	for _, name := range names {
		m, _ := l.view.Member(name)
		l.stats.Handovers += uint64(len(announced[name]))
		actions = append(actions, action.SendPeer{Instance: name, Address: m.Address, Message: &pb.PeerMessage{
			From: l.self.Name, Incarnation: l.self.Incarnation,
			Body: &pb.PeerMessage_SlotHandover{SlotHandover: &pb.SlotHandover{Slots: announced[name]}},
		}})
	}
	return actions
}

// aim chooses where a slot goes when this instance shuts down: the successor,
// or another member if the successor is not live.
func (l *Leases) aim(now time.Time, t *pb.SlotTable, i int) {
	e := t.GetSlots()[i]
	if m, ok := l.view.Member(e.GetSuccessor()); ok && l.usable(m) && m.Name != l.self.Name {
		l.setTarget(now, i, m.Name)
		return
	}
	if best, found := l.bestSuccessor(now, t, i, l.self); found {
		l.setTarget(now, i, best.Name)
	}
}

// setTarget starts a handover. It is clean if this instance knows every
// request that still counts: it has the records of its predecessor, or has
// held the slot for longer than a request of the predecessor can last.
func (l *Leases) setTarget(now time.Time, i int, name string) {
	s := &l.slots[i]
	complete := s.clean || now.Sub(s.start) > l.cfg.UnknownWindow
	s.target, s.targetClean = name, complete && !s.handed
	s.handed, s.until = true, time.Time{}
}

// hand gives a slot to a member in the new table. The old successor stays if
// it can.
func (l *Leases) hand(now time.Time, t *pb.SlotTable, i int, to membership.Member) {
	e := t.GetSlots()[i]
	e.Epoch++
	e.Holder, e.HolderIncarnation = to.Name, to.Incarnation
	m, ok := l.view.Member(e.GetSuccessor())
	if ok && l.usable(m) && m.Name != to.Name && m.FailureDomain != to.FailureDomain {
		e.SuccessorIncarnation = m.Incarnation
		return
	}
	if best, found := l.bestSuccessor(now, t, i, to); found {
		e.Successor, e.SuccessorIncarnation = best.Name, best.Incarnation
	}
}

// planBalance moves a few slots of this instance to the member that holds the
// fewest, or gives a few slots another successor.
func (l *Leases) planBalance(now time.Time, t *pb.SlotTable) {
	l.balanceHolders(now, t)
	l.balanceSuccessors(t)
}

func (l *Leases) balanceHolders(now time.Time, t *pb.SlotTable) {
	count := holderCounts(t)
	to, found := l.least(count, func(m membership.Member) bool {
		return m.Ready && m.Name != l.self.Name && l.settled(now, m)
	})
	if !found {
		return
	}
	moved := 0
	for i, e := range t.GetSlots() {
		if moved == l.cfg.RebalanceBatch || count[l.self.Name]-count[to.Name] < 2 {
			return
		}
		if l.holds(e) && l.holds(l.table.GetSlots()[i]) && l.slots[i].target == "" {
			l.setTarget(now, i, to.Name)
			count[l.self.Name]--
			count[to.Name]++
			moved++
		}
	}
}

func (l *Leases) balanceSuccessors(t *pb.SlotTable) {
	count := successorCounts(t)
	moved := 0
	for i, e := range t.GetSlots() {
		if moved == l.cfg.RebalanceBatch {
			return
		}
		if !l.holds(e) || l.slots[i].target != "" {
			continue
		}
		old, _ := l.view.Member(e.GetSuccessor())
		to, found := l.least(count, func(m membership.Member) bool {
			return m.Name != l.self.Name && m.FailureDomain != l.self.FailureDomain
		})
		if !found {
			return
		}
		if old.FailureDomain != l.self.FailureDomain && count[e.GetSuccessor()]-count[to.Name] < 2 {
			continue
		}
		count[e.GetSuccessor()]--
		count[to.Name]++
		e.Successor, e.SuccessorIncarnation = to.Name, to.Incarnation
		moved++
	}
}

// least returns the usable member with the lowest count.
func (l *Leases) least(count map[string]int, accept func(membership.Member) bool) (membership.Member, bool) {
	var best membership.Member
	found := false
	for _, m := range l.view.Members {
		if l.usable(m) && accept(m) && (!found || count[m.Name] < count[best.Name]) {
			best, found = m, true
		}
	}
	return best, found
}
