package lease

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
)

// pendingWrite is a conditional write of the slot table whose outcome is unknown.
type pendingWrite struct {
	table    *pb.SlotTable
	value    []byte
	expected uint64 // object version on which the write is conditional
	changeID string
	// answerLost is true once the answer to an attempt was lost. From then on,
	// the failure of a later attempt does not show that none took effect.
	answerLost bool
	// resendAt is when the write is sent again: about RetryDelay after an answer
	// was lost or, while an answer is awaited, AnswerTimeout after the attempt.
	resendAt time.Time
}

// beginWrite makes the write of a new table the pending one and sends it. A table
// that cannot be encoded sets Err and is not written.
func (leases *Leases) beginWrite(now time.Time, table *pb.SlotTable) []action.Action {
	value, err := codec.Encode(table)
	if err != nil {
		leases.err = &TableError{Version: leases.version, Reason: "cannot be encoded", Err: err}
		leases.stats.TableErrors++
		return nil
	}
	leases.writesBegun++
	leases.pending = &pendingWrite{
		table: table, value: value, expected: leases.version,
		changeID: fmt.Sprintf("%s/%x/%d", leases.self.Name, leases.self.Incarnation, leases.writesBegun),
	}
	return leases.sendWrite(now)
}

// sendWrite sends an attempt of the pending write.
func (leases *Leases) sendWrite(now time.Time) []action.Action {
	leases.stats.Writes++
	w := leases.pending
	w.resendAt = now.Add(leases.cfg.AnswerTimeout)
	return []action.Action{action.WriteObject{
		Key: Key, Value: w.value, Expected: w.expected, ChangeID: w.changeID,
	}}
}

// resendWrite sends the pending write again if it is due. All attempts have the
// same expected version and change id, so at most one of them takes effect, even
// if an earlier one arrives late.
func (leases *Leases) resendWrite(now time.Time) []action.Action {
	if now.Before(leases.pending.resendAt) {
		return nil
	}
	leases.pending.answerLost = true
	return leases.sendWrite(now)
}

// HandleWriteResult handles the result of a write of the slot table. Results for
// other keys are ignored. The object of an applied or conflicting write is
// adopted, also if the result belongs to an earlier write. A failed write is
// abandoned, unless the answer to an earlier attempt was lost; then, and after
// an unknown outcome or one without an object, it is sent again after RetryDelay.
func (leases *Leases) HandleWriteResult(now time.Time, result action.WriteResult) []action.Action {
	if result.Key != Key {
		return nil
	}
	w := leases.pending
	own := w != nil && result.ChangeID == w.changeID
	switch result.Outcome {
	case action.WriteApplied, action.WriteConflict:
		if result.Object.GetVersion() == 0 {
			leases.handleLostAnswer(now, own)
			break
		}
		if own && result.Outcome == action.WriteApplied {
			leases.stats.Applied++
		} else if own {
			leases.stats.Conflicts++
			leases.delayNextWrite(now, leases.cfg.WriterStagger)
			leases.handleOlderTable(now, result.Object.GetVersion())
		}
		leases.adoptObject(now, result.Object)
	case action.WriteFailed:
		if !own {
			break
		}
		leases.stats.Failed++
		if w.answerLost {
			w.resendAt = leases.jitteredAfter(now, leases.cfg.RetryDelay)
			break
		}
		leases.abandonWrite(now)
	default:
		leases.handleLostAnswer(now, own)
	}
	return nil
}

// handleOlderTable sets Err if the platform has an older table than this
// instance, for example after a restore from a backup. The older table is not
// adopted, so every write conflicts and the next one waits for about
// RebalanceInterval.
func (leases *Leases) handleOlderTable(now time.Time, version uint64) {
	if version < leases.pending.expected {
		leases.stats.TableErrors++
		leases.err = &TableError{Version: version, Reason: fmt.Sprintf("is older than version %d in force", leases.version)}
		if !leases.pending.answerLost {
			leases.abandonWrite(now)
		}
		leases.delayNextWrite(now, leases.cfg.RebalanceInterval)
	}
}

// handleLostAnswer schedules another attempt if the lost answer belongs to the
// pending write.
func (leases *Leases) handleLostAnswer(now time.Time, own bool) {
	if own {
		leases.stats.UnknownOutcomes++
		leases.pending.answerLost = true
		leases.pending.resendAt = leases.jitteredAfter(now, leases.cfg.RetryDelay)
	}
}

// abandonWrite drops the pending write, which has not taken effect. Grants to
// the holders that it would have replaced resume, and unless Release was called,
// slots that it would have handed over stay with this instance.
func (leases *Leases) abandonWrite(now time.Time) {
	leases.pending = nil
	for i := range leases.slots {
		if !leases.releasing {
			leases.slots[i].handoverTarget = ""
		}
	}
	leases.delayNextWrite(now, leases.cfg.RetryDelay)
	for name, s := range leases.grantStops {
		if s.revision == 0 {
			leases.grants.StopGrants(name, false)
			delete(leases.grantStops, name)
		}
	}
}

// delayNextWrite sets the earliest time of the next new write.
func (leases *Leases) delayNextWrite(now time.Time, d time.Duration) {
	leases.nextWrite = leases.jitteredAfter(now, d)
}

// jitteredAfter returns a random time between d/2 and d after now, so that
// writers whose writes conflicted once do not write at the same time again.
func (leases *Leases) jitteredAfter(now time.Time, d time.Duration) time.Time {
	return now.Add(d/2 + time.Duration(leases.rng.Int64N(int64(d)/2+1)))
}

// adoptObject decodes the object of a write result and adopts its table. An
// object that cannot be decoded counts as no table and sets Err.
func (leases *Leases) adoptObject(now time.Time, o *pb.Object) {
	if o.GetDeleted() {
		leases.Adopt(now, nil, o.GetVersion(), o.GetRevision())
		return
	}
	table := &pb.SlotTable{}
	if err := codec.Decode(o.GetValue(), table); err != nil {
		leases.stats.TableErrors++
		leases.err = &TableError{Version: o.GetVersion(), Reason: "cannot be decoded", Err: err}
		table = nil
	}
	leases.Adopt(now, table, o.GetVersion(), o.GetRevision())
}
