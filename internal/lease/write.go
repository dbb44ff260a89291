package lease

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/position"
)

// pendingWrite is a conditional write of the slot table whose outcome is unknown.
type pendingWrite struct {
	table    *pb.SlotTable
	value    []byte
	expected uint64 // object version on which the write is conditional
	era      uint64 // era of the platform on which the write is conditional
	changeID string
	// answerLost is true once the answer to an attempt was lost. From then on,
	// the failure of a later attempt does not show that none took effect.
	answerLost bool
	// resendAt is when the write is sent again: half to one RetryDelay after an
	// answer was lost or, while an answer is awaited, AnswerTimeout after the attempt.
	resendAt time.Time
}

// beginWrite makes the write of a new table the pending one and sends it. A table
// that cannot be encoded sets Err and is not written.
func (manager *Manager) beginWrite(now time.Time, table *pb.SlotTable) []action.Action {
	value, err := codec.Encode(table)
	if err != nil {
		manager.err = &TableError{Version: manager.version, Reason: "cannot be encoded", Err: err}
		manager.stats.TableErrors++
		return nil
	}
	manager.writesBegun++
	manager.pending = &pendingWrite{
		table: table, value: value, expected: manager.version, era: position.Era(manager.view.Self.Revision),
		changeID: fmt.Sprintf("%s/%x/%d", manager.self.Name, manager.self.Incarnation, manager.writesBegun),
	}
	return manager.sendWrite(now)
}

// sendWrite sends an attempt of the pending write.
func (manager *Manager) sendWrite(now time.Time) []action.Action {
	manager.stats.Writes++
	w := manager.pending
	w.resendAt = now.Add(manager.cfg.AnswerTimeout)
	return []action.Action{action.WriteObject{
		Key: Key, Value: w.value, ExpectedVersion: w.expected, ExpectedEra: w.era, ChangeID: w.changeID,
	}}
}

// resendWrite sends the pending write again if it is due. All attempts have the
// same expected version and change id, so at most one of them takes effect, even
// if an earlier one arrives late.
func (manager *Manager) resendWrite(now time.Time) []action.Action {
	if now.Before(manager.pending.resendAt) {
		return nil
	}
	manager.pending.answerLost = true
	return manager.sendWrite(now)
}

// HandleWriteResult handles the result of a write of the slot table and always
// returns nil. Results for other keys are ignored. The object of an applied or
// conflicting write is adopted if its version is higher than the latest adopted
// one, also if the result belongs to an earlier write. After a conflict with a
// newer table, unfinished handovers of slots that this instance still holds in the
// same epoch are planned again. A failed write is abandoned, unless the answer to
// an earlier attempt was lost; then, and after an unknown outcome or one without an
// object, it is sent again after half to one RetryDelay.
func (manager *Manager) HandleWriteResult(now time.Time, result action.WriteResult) []action.Action {
	if result.Key != Key {
		return nil
	}
	w := manager.pending
	own := w != nil && result.ChangeID == w.changeID
	switch result.Outcome {
	case action.WriteApplied, action.WriteConflict:
		if manager.fromLaterEra(result) {
			manager.handleLostAnswer(now, own)
			break
		}
		if result.Object.GetVersion() == 0 {
			manager.handleLostAnswer(now, own)
			break
		}
		if own && result.Outcome == action.WriteApplied {
			manager.stats.Applied++
		} else if own {
			manager.stats.Conflicts++
			manager.delayNextWrite(now, manager.cfg.WriterStagger)
			manager.handleOlderTable(now, result.Object.GetVersion())
		}
		manager.adoptObject(now, result.Object)
	case action.WriteFailed:
		if !own {
			break
		}
		manager.stats.Failed++
		if w.answerLost {
			w.resendAt = manager.jitteredAfter(now, manager.cfg.RetryDelay)
			break
		}
		manager.abandonWrite(now)
	default:
		manager.handleLostAnswer(now, own)
	}
	return nil
}

// fromLaterEra reports whether a write conflicted with the table of a later era than the
// one in force. That table is adopted with the other objects of the restored platform.
// An earlier attempt may have taken effect before, so that the write stays pending.
func (manager *Manager) fromLaterEra(result action.WriteResult) bool {
	return result.Outcome == action.WriteConflict && position.Era(result.Object.GetRevision()) > position.Era(manager.revision)
}

// handleOlderTable sets Err if the platform has an older table than this
// instance, although its era has not risen. The older table is not
// adopted, so every write conflicts. The write is abandoned, and the next one waits
// for half to one RebalanceInterval; but if an answer to an attempt was lost, the
// write stays pending and is sent again at its resendAt.
func (manager *Manager) handleOlderTable(now time.Time, version uint64) {
	if version < manager.pending.expected {
		manager.stats.TableErrors++
		manager.err = &TableError{Version: version, Reason: fmt.Sprintf("is older than version %d in force", manager.version)}
		if !manager.pending.answerLost {
			manager.abandonWrite(now)
		}
		manager.delayNextWrite(now, manager.cfg.RebalanceInterval)
	}
}

// handleLostAnswer schedules another attempt if the lost answer belongs to the
// pending write.
func (manager *Manager) handleLostAnswer(now time.Time, own bool) {
	if own {
		manager.stats.UnknownOutcomes++
		manager.pending.answerLost = true
		manager.pending.resendAt = manager.jitteredAfter(now, manager.cfg.RetryDelay)
	}
}

// abandonWrite drops the pending write, which has not taken effect. Grants to
// the holders that it would have replaced resume, and unless Release was called,
// slots that it would have handed over stay with this instance.
func (manager *Manager) abandonWrite(now time.Time) {
	manager.pending = nil
	for i := range manager.slots {
		if !manager.releasing {
			manager.slots[i].handoverTarget = ""
		}
	}
	manager.delayNextWrite(now, manager.cfg.RetryDelay)
	for name, s := range manager.grantStops {
		if s.writing = false; s.revision > 0 {
			// An earlier write has replaced the holder.
			manager.grantStops[name] = s
			continue
		}
		manager.grants.SetGrantsStopped(name, false)
		delete(manager.grantStops, name)
	}
}

// delayNextWrite sets the earliest time of the next new write.
func (manager *Manager) delayNextWrite(now time.Time, d time.Duration) {
	manager.nextWrite = manager.jitteredAfter(now, d)
}

// jitteredAfter returns a random time between d/2 and d after now, so that
// writers whose writes conflicted once do not write at the same time again.
func (manager *Manager) jitteredAfter(now time.Time, d time.Duration) time.Time {
	return now.Add(d/2 + time.Duration(manager.rng.Int64N(int64(d)/2+1)))
}

// adoptObject decodes the object of a write result and adopts its table. An
// object that cannot be decoded counts as no table and sets Err.
func (manager *Manager) adoptObject(now time.Time, o *pb.Object) {
	if o.GetDeleted() {
		manager.AdoptTable(now, nil, o.GetVersion(), o.GetRevision())
		return
	}
	table := &pb.SlotTable{}
	if err := codec.Decode(o.GetValue(), table); err != nil {
		manager.stats.TableErrors++
		manager.err = &TableError{Version: o.GetVersion(), Reason: "cannot be decoded", Err: err}
		table = nil
	}
	manager.AdoptTable(now, table, o.GetVersion(), o.GetRevision())
}
