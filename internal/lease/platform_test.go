package lease_test

import (
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

var errLost = errors.New("connection lost")

// platformReachable reports whether an instance can reach the platform.
func (sim *simulation) platformReachable(inst *simInstance) bool {
	return !sim.platformDown && !sim.cutLinks[[2]string{inst.self.Name, "platform"}]
}

// objectsSince returns the objects that changed after a revision.
func (sim *simulation) objectsSince(revision uint64) []*pb.Object {
	var out []*pb.Object
	for _, o := range sim.objects {
		if o.GetRevision() > revision {
			out = append(out, o)
		}
	}
	return out
}

// platformCopy is the content of the platform before a time.
type platformCopy struct {
	before   time.Duration
	objects  map[string]*pb.Object
	revision uint64
}

// restore restores the platform from a copy of age before: writes since are lost, and
// nobody repeats them.
func (sim *simulation) restore(age time.Duration) {
	backup := platformCopy{objects: sim.objects, revision: sim.revision}
	for _, copied := range slices.Backward(sim.copies) {
		if copied.before < sim.now-age {
			break
		}
		backup = copied
	}
	era := position.Era(sim.revision) + 1
	restamp := func(revision uint64) uint64 {
		at, err := position.Of(era, position.Revision(revision))
		if err != nil {
			panic(err) // The eras and revisions of a test are small.
		}
		return at
	}
	sim.revision, sim.objects = restamp(backup.revision), map[string]*pb.Object{}
	for key, o := range backup.objects {
		restored := proto.Clone(o).(*pb.Object)
		restored.Revision = restamp(o.GetRevision())
		sim.objects[key] = restored
	}
	sim.writeTimes = sim.writeTimes[:position.Revision(sim.revision)]
	for _, inst := range sim.instances {
		if inst.watching {
			inst.watching = false
			inst.deliver(time.Millisecond, func() { inst.execute(inst.sync.HandleWatchLost(inst.clock(), errLost)) })
		}
	}
}

// handleRead answers a read with the objects of the platform.
func (inst *simInstance) handleRead(a action.ReadObjects) {
	if !inst.sim.platformReachable(inst) {
		inst.deliver(time.Second, func() { inst.sync.HandleReadFailed(inst.clock(), errLost) })
		return
	}
	objects, revision := inst.sim.objectsSince(a.Since), inst.sim.revision
	inst.deliver(inst.sim.randomDelay(), func() { inst.adopt(inst.sync.HandleRead(inst.clock(), objects, revision)) })
}

// pollWatch delivers changed objects to the watch of the instance, and its
// progress once a second. It ends the watch if the platform is unreachable.
func (inst *simInstance) pollWatch() {
	sim := inst.sim
	switch {
	case !inst.watching:
	case !sim.platformReachable(inst):
		inst.watching = false
		inst.deliver(time.Millisecond, func() { inst.execute(inst.sync.HandleWatchLost(inst.clock(), errLost)) })
	case sim.revision > inst.watchSent || sim.now-inst.progressAt >= time.Second:
		objects, revision := sim.objectsSince(inst.watchSent), sim.revision
		inst.watchSent, inst.progressAt = revision, sim.now
		inst.deliver(2*time.Millisecond, func() { inst.adopt(inst.sync.HandleWatch(inst.clock(), objects, revision)) })
	}
}

// handleWrite carries out a conditional write. With loseAnswers, half of the
// writes take effect up to 8 s late or never, and the writer gets the outcome
// "unknown".
func (inst *simInstance) handleWrite(a action.WriteObject) {
	sim := inst.sim
	result := func(outcome action.WriteOutcome, o *pb.Object) {
		inst.setTable(o)
		inst.execute(inst.leases.HandleWriteResult(inst.clock(), action.WriteResult{
			Key: a.Key, ChangeID: a.ChangeID, Outcome: outcome, Object: o,
		}))
	}
	switch {
	case sim.loseAnswers && sim.rng.IntN(2) == 0:
		if sim.rng.IntN(3) > 0 {
			sim.schedule(time.Duration(sim.rng.Int64N(int64(8*time.Second))), func() { sim.storeObject(a) })
		}
		outcome := action.WriteUnknown
		if sim.policy.lostAnswerFails {
			outcome = action.WriteFailed
		}
		inst.deliver(time.Second, func() { result(outcome, nil) })
	case !sim.platformReachable(inst):
		inst.deliver(time.Second, func() { result(action.WriteFailed, nil) })
	default:
		run := inst.runNumber
		sim.schedule(sim.randomDelay(), func() {
			outcome, o := sim.storeObject(a)
			if inst.runNumber == run {
				inst.deliver(sim.randomDelay(), func() { result(outcome, o) })
			}
		})
	}
}

// storeObject applies a write if the expected version is the current one.
func (sim *simulation) storeObject(a action.WriteObject) (action.WriteOutcome, *pb.Object) {
	old := sim.objects[a.Key]
	if old.GetVersion() != a.ExpectedVersion || position.Era(sim.revision) != a.ExpectedEra && !sim.policy.anyEraWrites {
		return action.WriteConflict, old
	}
	sim.copies = append(sim.copies, platformCopy{before: sim.now, objects: maps.Clone(sim.objects), revision: sim.revision})
	sim.revision++
	sim.writeTimes = append(sim.writeTimes, sim.now)
	sim.objects[a.Key] = &pb.Object{
		Key: a.Key, Value: a.Value, Version: a.ExpectedVersion + 1, Revision: sim.revision, ChangeId: a.ChangeID,
	}
	return action.WriteApplied, sim.objects[a.Key]
}
