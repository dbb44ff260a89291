package lease_test

import (
	"errors"
	"time"

	"github.com/chivemast/chivemast/internal/action"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

var errLost = errors.New("connection lost")

func (w *world) reaches(x *inst) bool {
	return !w.platformDown && !w.cut[[2]string{x.self.Name, "platform"}]
}

func (w *world) since(revision uint64) []*pb.Object {
	var out []*pb.Object
	for _, o := range w.objects {
		if o.GetRevision() > revision {
			out = append(out, o)
		}
	}
	return out
}

func (x *inst) read(a action.ReadObjects) {
	if !x.w.reaches(x) {
		x.deliver(time.Second, func() { x.sync.HandleReadFailed(x.clock(), errLost) })
		return
	}
	objects, revision := x.w.since(a.Since), x.w.revision
	x.deliver(x.w.delay(), func() { x.adopt(x.sync.HandleRead(x.clock(), objects, revision)) })
}

// pollWatch delivers changes and progress of the watch.
func (x *inst) pollWatch() {
	w := x.w
	switch {
	case !x.watching:
	case !w.reaches(x):
		x.watching = false
		x.deliver(time.Millisecond, func() { x.do(x.sync.HandleWatchLost(x.clock(), errLost)) })
	case w.revision > x.watchSent || w.now-x.progressAt >= time.Second:
		objects, revision := w.since(x.watchSent), w.revision
		x.watchSent, x.progressAt = revision, w.now
		x.deliver(2*time.Millisecond, func() { x.adopt(x.sync.HandleWatch(x.clock(), objects, revision)) })
	}
}

// write carries out a conditional write. With loseAnswers, the write takes
// effect late or never, and the writer is told that the outcome is unknown.
func (x *inst) write(a action.WriteObject) {
	w := x.w
	result := func(outcome action.WriteOutcome, o *pb.Object) {
		x.setTable(o)
		x.do(x.leases.HandleWriteResult(x.clock(), action.WriteResult{
			Key: a.Key, ChangeID: a.ChangeID, Outcome: outcome, Object: o,
		}))
	}
	switch {
	case w.loseAnswers && w.rng.IntN(2) == 0:
		if w.rng.IntN(3) > 0 {
			w.after(time.Duration(w.rng.Int64N(int64(8*time.Second))), func() { w.put(a) })
		}
		outcome := action.WriteUnknown
		if w.policy.lostIsFailed {
			outcome = action.WriteFailed
		}
		x.deliver(time.Second, func() { result(outcome, nil) })
	case !w.reaches(x):
		x.deliver(time.Second, func() { result(action.WriteFailed, nil) })
	default:
		run := x.run
		w.after(w.delay(), func() {
			outcome, o := w.put(a)
			if x.run == run {
				x.deliver(w.delay(), func() { result(outcome, o) })
			}
		})
	}
}

func (w *world) put(a action.WriteObject) (action.WriteOutcome, *pb.Object) {
	old := w.objects[a.Key]
	if old.GetVersion() != a.Expected {
		return action.WriteConflict, old
	}
	w.revision++
	w.writes = append(w.writes, w.now)
	w.objects[a.Key] = &pb.Object{
		Key: a.Key, Value: a.Value, Version: a.Expected + 1, Revision: w.revision, ChangeId: a.ChangeID,
	}
	return action.WriteApplied, w.objects[a.Key]
}
