package measure

import (
	"errors"
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/position"
	"github.com/chivemast/chivemast/internal/standin/platform"
)

// platformEndpoint stands for the platform in World.cuts.
const platformEndpoint = "platform"

// callPlatform carries out a platform action of an instance after the network
// delay and the platform's own delay.
func (i *instance) callPlatform(a action.Action) {
	w := i.world
	generation := i.generation
	w.controlTotals.platformCalls++
	w.runAfter(platformNetworkDelay+w.store.Delay(), func() {
		if w.cuts[[2]string{i.domain, platformEndpoint}] {
			i.reportPlatformFailure(generation, a, &platform.UnavailableError{Reason: "network to the platform is cut"})
			return
		}
		switch a := a.(type) {
		case action.ReadObjects:
			objects, revision, err := w.store.List("", a.Since)
			if err != nil {
				i.reportPlatformFailure(generation, a, err)
				return
			}
			i.deliverPlatformEvent(generation, action.ObjectsRead{Objects: objects, Revision: revision})
		case action.ReadInstances:
			list, err := w.store.ListInstances()
			if err != nil {
				i.reportPlatformFailure(generation, a, err)
				return
			}
			i.deliverPlatformEvent(generation, action.InstancesRead{Instances: list})
		case action.WatchObjects:
			i.startWatch(generation, a)
		case action.StopWatch:
			if generation == i.generation {
				i.stopWatch()
			}
		case action.WriteObject:
			i.writeObject(generation, a)
		}
	})
}

func (i *instance) reportPlatformFailure(generation int, a action.Action, err error) {
	switch a := a.(type) {
	case action.WatchObjects:
		i.deliverPlatformEvent(generation, action.WatchLost{Err: err})
	case action.WriteObject:
		i.deliverPlatformEvent(generation, action.WriteResult{Key: a.Key, ChangeID: a.ChangeID, Outcome: action.WriteFailed})
	case action.StopWatch:
	default:
		i.deliverPlatformEvent(generation, action.ReadFailed{Err: err})
	}
}

func (i *instance) deliverPlatformEvent(generation int, event action.PlatformEvent) {
	w := i.world
	delay := platformNetworkDelay
	if w.cuts[[2]string{platformEndpoint, i.domain}] {
		delay, event = platformTimeout, eventOfLostAnswer(event)
	}
	w.runAfter(delay, func() {
		i.runOrDefer(generation, func() { i.executeActions(i.core.HandlePlatform(i.clockTime(), event)) })
	})
}

func (i *instance) startWatch(generation int, a action.WatchObjects) {
	if generation != i.generation {
		return
	}
	i.stopWatch()
	watch, err := i.world.store.Watch("", a.Since)
	if err != nil {
		i.deliverPlatformEvent(generation, action.WatchLost{Err: err})
		return
	}
	i.watch = watch
	i.deliverWatch()
}

func (i *instance) stopWatch() {
	if i.watch != nil {
		i.watch.Close()
		i.watch = nil
	}
}

// deliverWatch delivers the next changes or the progress of the watch to the
// instance. While the direction from the platform is cut, it delivers nothing.
func (i *instance) deliverWatch() {
	if i.watch == nil || !i.running || i.world.cuts[[2]string{platformEndpoint, i.domain}] {
		return
	}
	objects, revision, ok, err := i.watch.Next()
	if err != nil {
		i.watch = nil
		i.deliverPlatformEvent(i.generation, action.WatchLost{Err: err})
		return
	}
	if ok {
		i.deliverPlatformEvent(i.generation, action.ObjectsRead{Objects: objects, Revision: revision, Watched: true})
	}
}

func (i *instance) writeObject(generation int, a action.WriteObject) {
	w := i.world
	result := action.WriteResult{Key: a.Key, ChangeID: a.ChangeID, Outcome: action.WriteApplied}
	object, err := w.store.Put(&pb.PutRequest{Key: a.Key, Value: a.Value, ExpectedVersion: a.ExpectedVersion, ExpectedEra: &a.ExpectedEra, ChangeId: a.ChangeID})
	var conflict *platform.ConflictError
	var lost *platform.LostResponseError
	switch {
	case errors.As(err, &conflict):
		result.Outcome, result.Object = action.WriteConflict, conflict.Current
	case errors.As(err, &lost):
		result.Outcome = action.WriteUnknown
	case err != nil:
		result.Outcome = action.WriteFailed
	default:
		result.Object = object
	}
	w.deliverWatches()
	i.deliverPlatformEvent(generation, result)
}

// deliverWatches delivers changes and progress to the watch of every instance.
func (w *World) deliverWatches() {
	for _, i := range w.instances {
		i.deliverWatch()
	}
}

// restorePlatform ends an outage of the platform with the content of a copy. After a time
// the operators write their declarations again.
func (w *World) restorePlatform(backup *platform.Copy, writtenAfter time.Duration) {
	if err := w.store.Restore(backup); err != nil {
		panic(fmt.Sprintf("cannot restore the platform: %v", err))
	}
	w.store.SetDown(false)
	w.runAfter(writtenAfter, func() {
		for team := range w.options.Teams {
			w.ChangeTeam(team, func(*declare.Team) {})
		}
	})
}

// publishInstances sets the platform's instance list to the running instances.
func (w *World) publishInstances() {
	var list []*pb.InstanceInfo
	for _, i := range w.instances {
		if i.running {
			list = append(list, &pb.InstanceInfo{
				Name: i.name, FailureDomain: i.domain, PeerAddress: i.peerAddress.String(), Leaving: i.shuttingDown,
			})
		}
	}
	w.store.SetInstances(list)
}

// putObject writes an object as an operator does: it reads the current version
// and writes on the condition that it has not changed.
func (w *World) putObject(key string, value []byte) error {
	current, _, err := w.store.Get(key)
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	object, err := w.store.Put(&pb.PutRequest{
		Key: key, Value: value, ExpectedVersion: current.GetVersion(), ChangeId: fmt.Sprint("operator-", w.virtualNow.UnixNano()),
	})
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	w.acceptedAt[object.GetRevision()] = w.virtualNow
	w.deliverWatches()
	return nil
}

// ApplyTeam writes the declarations of a team to the platform. It returns an
// error when they cannot be encoded, or when the platform is down, refuses the
// write or loses its answer.
func (w *World) ApplyTeam(team *declare.Team) error {
	value, err := declare.Encode(team)
	if err != nil {
		return err
	}
	return w.putObject(declare.Key(team.Name), value)
}

// recordRevision records, for each change that is newly in force at the
// instance, the time since the platform accepted it. The first revision after a
// start or a restoration of the platform is not counted.
func (i *instance) recordRevision() {
	n, ok := i.core.(interface{ Revision() uint64 })
	if !ok {
		return
	}
	revision := n.Revision()
	if i.lastRevision != 0 && position.Era(i.lastRevision) == position.Era(revision) {
		for r := i.lastRevision + 1; r <= revision; r++ {
			if at, ok := i.world.acceptedAt[r]; ok {
				i.world.inForceDelays = append(i.world.inForceDelays, i.world.virtualNow.Sub(at))
			}
		}
	}
	i.lastRevision = revision
}
