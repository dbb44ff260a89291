package lease

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
)

// write is a conditional write whose effect is not known yet.
type write struct {
	table    *pb.SlotTable
	value    []byte
	expected uint64
	changeID string
	// unknown is true once an answer was lost. From then on a failed attempt
	// does not mean that no attempt took effect.
	unknown bool
	// repeatAt is when the write is sent again: some time after a lost answer
	// or, while an answer is awaited, when it is taken as lost.
	repeatAt time.Time
}

// begin issues the write of a new table.
func (l *Leases) begin(now time.Time, table *pb.SlotTable) []action.Action {
	value, err := codec.Encode(table)
	if err != nil {
		l.err = &TableError{Version: l.version, Reason: "cannot be encoded", Err: err}
		l.stats.TableErrors++
		return nil
	}
	l.changes++
	l.pending = &write{
		table: table, value: value, expected: l.version,
		changeID: fmt.Sprintf("%s/%x/%d", l.self.Name, l.self.Incarnation, l.changes),
	}
	return l.issue(now)
}

func (l *Leases) issue(now time.Time) []action.Action {
	l.stats.Writes++
	w := l.pending
	w.repeatAt = now.Add(l.cfg.AnswerTimeout)
	return []action.Action{action.WriteObject{
		Key: Key, Value: w.value, Expected: w.expected, ChangeID: w.changeID,
	}}
}

// repeat sends a write again whose answer was lost. It has the same expected
// version and change id, so at most one attempt takes effect, also if the
// first one is still on its way.
func (l *Leases) repeat(now time.Time) []action.Action {
	if now.Before(l.pending.repeatAt) {
		return nil
	}
	l.pending.unknown = true
	return l.issue(now)
}

// HandleWriteResult takes over the result of a write of the slot table. Other
// results are ignored.
func (l *Leases) HandleWriteResult(now time.Time, result action.WriteResult) []action.Action {
	if result.Key != Key {
		return nil
	}
	w := l.pending
	mine := w != nil && result.ChangeID == w.changeID
	switch result.Outcome {
	case action.WriteApplied, action.WriteConflict:
		if result.Object.GetVersion() == 0 {
			l.lost(now, mine)
			break
		}
		if mine && result.Outcome == action.WriteApplied {
			l.stats.Applied++
		} else if mine {
			l.stats.Conflicts++
			l.delay(now, l.cfg.WriterStagger)
			l.noteBehind(now, result.Object.GetVersion())
		}
		l.adoptObject(now, result.Object)
	case action.WriteFailed:
		if !mine {
			break
		}
		l.stats.Failed++
		if w.unknown {
			w.repeatAt = l.after(now, l.cfg.RetryDelay)
			break
		}
		l.abandon(now)
	default:
		l.lost(now, mine)
	}
	return nil
}

// noteBehind notices a platform whose table is older than ours, for example
// after it was restored from a backup. Its table is not adopted, so every
// write conflicts.
func (l *Leases) noteBehind(now time.Time, version uint64) {
	if version < l.pending.expected {
		l.stats.TableErrors++
		l.err = &TableError{Version: version, Reason: fmt.Sprintf("is below version %d in force", l.version)}
		if !l.pending.unknown {
			l.abandon(now)
		}
		l.delay(now, l.cfg.RebalanceInterval)
	}
}

// lost notes that the answer to the pending write was lost.
func (l *Leases) lost(now time.Time, mine bool) {
	if mine {
		l.stats.Unknown++
		l.pending.unknown = true
		l.pending.repeatAt = l.after(now, l.cfg.RetryDelay)
	}
}

// abandon drops a write that took no effect. Holders that were about to be
// replaced get grants again if they come back, and slots that were to be
// rebalanced stay here.
func (l *Leases) abandon(now time.Time) {
	l.pending = nil
	for i := range l.slots {
		if !l.releasing {
			l.slots[i].target = ""
		}
	}
	l.delay(now, l.cfg.RetryDelay)
	for name, s := range l.stops {
		if s.revision == 0 {
			l.grants.StopGrants(name, false)
			delete(l.stops, name)
		}
	}
}

func (l *Leases) delay(now time.Time, d time.Duration) { l.nextWrite = l.after(now, d) }

// after adds a jittered delay, so that writers that met once do not meet
// again.
func (l *Leases) after(now time.Time, d time.Duration) time.Time {
	return now.Add(d/2 + time.Duration(l.rng.Int64N(int64(d)/2+1)))
}

func (l *Leases) adoptObject(now time.Time, o *pb.Object) {
	if o.GetDeleted() {
		l.Adopt(now, nil, o.GetVersion(), o.GetRevision())
		return
	}
	table := &pb.SlotTable{}
	if err := codec.Decode(o.GetValue(), table); err != nil {
		l.stats.TableErrors++
		l.err = &TableError{Version: o.GetVersion(), Reason: "cannot be decoded", Err: err}
		table = nil
	}
	l.Adopt(now, table, o.GetVersion(), o.GetRevision())
}
