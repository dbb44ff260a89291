package lease

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// leaveEra prepares the adoption of the entry that a restored platform has for a slot;
// before is the known one. An instance without a lease term may have missed requests that
// others decided in the earlier era.
func (manager *Manager) leaveEra(now time.Time, slot int, before, entry *pb.Slot) {
	s := &manager.slots[slot]
	s.received = receivedHandover{}
	if !now.Before(s.until) {
		s.clean, s.start = false, now
	}
	if !proto.Equal(before, entry) {
		manager.quarantineSlot(now, slot, before)
	}
}

// mayReclaim reports whether this incarnation may reclaim slots that the table assigns to
// an earlier one. After a restart it does not know whether the platform was restored a
// moment ago and another instance still acts by a lost table. That is excluded once every
// instance in the table and every member has reported the era, or grants of before have
// expired. In era 0 the platform was never restored.
func (manager *Manager) mayReclaim(now time.Time) bool {
	era := position.Era(manager.revision)
	if era == 0 || !now.Before(manager.quietFrom(manager.startedAt)) {
		return true
	}
	reported := func(name string) bool {
		if name == "" || name == manager.self.Name || manager.removedInstances[name] {
			return true
		}
		m, ok := manager.view.Member(name)
		return ok && position.Era(m.Revision) >= era
	}
	for _, m := range manager.view.Members {
		if !reported(m.Name) {
			return false
		}
	}
	for _, e := range manager.table.GetSlots() {
		if !reported(e.GetHolder()) || !reported(e.GetSuccessor()) {
			return false
		}
	}
	return true
}

// quarantineSlot prepares the adoption of an entry that a restored platform has and that
// differs from the known one, before. The holder in before may act for the slot while
// neither it nor its successor has noticed the new era. The epochs of the lost tables are
// not used again.
func (manager *Manager) quarantineSlot(now time.Time, slot int, before *pb.Slot) {
	s := &manager.slots[slot]
	if before.GetHolder() != "" {
		s.lost = append(s.lost, before)
	}
	s.quietUntil = manager.quietFrom(now)
	s.epochFloor = max(s.epochFloor, before.GetEpoch())
	s.handoverTarget = ""
}

// quietFrom returns the time from which a holder that gets no more grants since a time
// has no lease term.
func (manager *Manager) quietFrom(since time.Time) time.Time {
	return since.Add(manager.cfg.LeaseDuration + manager.cfg.LeaseMargin + manager.cfg.SuspectAfter)
}

// endQuarantines ends the quarantine of slots whose lost holder or successor has noticed
// the new era, has restarted, or is removed; the grants of before expire first.
func (manager *Manager) endQuarantines(now time.Time) {
	for i := range manager.slots {
		s := &manager.slots[i]
		if len(s.lost) == 0 {
			continue
		}
		s.lost = slices.DeleteFunc(s.lost, func(e *pb.Slot) bool {
			return manager.knowsEra(e.GetHolder(), e.GetHolderIncarnation()) || manager.knowsEra(e.GetSuccessor(), e.GetSuccessorIncarnation())
		})
		s.quietUntil = manager.quietFrom(now)
	}
}

// knowsEra reports whether a party of a lost entry is this instance, has reported a
// revision of the table's era, has restarted since, or is removed.
func (manager *Manager) knowsEra(name string, incarnation uint64) bool {
	if name == manager.self.Name || manager.removedInstances[name] {
		return true
	}
	m, ok := manager.view.Member(name)
	return ok && (m.Incarnation > incarnation || position.Era(m.Revision) >= position.Era(manager.revision))
}
