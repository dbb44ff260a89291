package measure

import (
	"errors"
	"fmt"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/standin/platform"
)

// platformName stands for the platform in cuts.
const platformName = "platform"

// callPlatform carries out a platform action of an instance.
func (i *instance) callPlatform(a action.Action) {
	w := i.world
	life := i.life
	w.control.platformCalls++
	w.after(platformDelay+w.store.Delay(), func() {
		if w.cut[[2]string{i.domain, platformName}] {
			i.failPlatform(life, a, &platform.UnavailableError{Reason: "cut off"})
			return
		}
		switch a := a.(type) {
		case action.ReadObjects:
			objects, revision, err := w.store.List("", a.Since)
			if err != nil {
				i.failPlatform(life, a, err)
				return
			}
			i.platformEvent(life, action.ObjectsRead{Objects: objects, Revision: revision})
		case action.ReadInstances:
			list, err := w.store.ListInstances()
			if err != nil {
				i.failPlatform(life, a, err)
				return
			}
			i.platformEvent(life, action.InstancesRead{Instances: list})
		case action.WatchObjects:
			i.startWatch(life, a)
		case action.StopWatch:
			if life == i.life {
				i.stopWatch()
			}
		case action.WriteObject:
			i.write(life, a)
		}
	})
}

func (i *instance) failPlatform(life int, a action.Action, err error) {
	switch a := a.(type) {
	case action.WatchObjects:
		i.platformEvent(life, action.WatchLost{Err: err})
	case action.WriteObject:
		i.platformEvent(life, action.WriteResult{Key: a.Key, ChangeID: a.ChangeID, Outcome: action.WriteFailed})
	case action.StopWatch:
	default:
		i.platformEvent(life, action.ReadFailed{Err: err})
	}
}

func (i *instance) platformEvent(life int, event action.PlatformEvent) {
	w := i.world
	delay := platformDelay
	if w.cut[[2]string{platformName, i.domain}] {
		delay, event = platformTimeout, lostAnswer(event)
	}
	w.after(delay, func() {
		i.do(life, func() { i.execute(i.core.HandlePlatform(i.now(), event)) })
	})
}

func (i *instance) startWatch(life int, a action.WatchObjects) {
	if life != i.life {
		return
	}
	i.stopWatch()
	watch, err := i.world.store.Watch("", a.Since)
	if err != nil {
		i.platformEvent(life, action.WatchLost{Err: err})
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

// deliverWatch passes on what the watch has; a cut watch is silent.
func (i *instance) deliverWatch() {
	if i.watch == nil || !i.running || i.world.cut[[2]string{platformName, i.domain}] {
		return
	}
	objects, revision, ok, err := i.watch.Next()
	if err != nil {
		i.watch = nil
		i.platformEvent(i.life, action.WatchLost{Err: err})
		return
	}
	if ok {
		i.platformEvent(i.life, action.ObjectsRead{Objects: objects, Revision: revision, Watched: true})
	}
}

func (i *instance) write(life int, a action.WriteObject) {
	w := i.world
	result := action.WriteResult{Key: a.Key, ChangeID: a.ChangeID, Outcome: action.WriteApplied}
	object, err := w.store.Put(&pb.PutRequest{Key: a.Key, Value: a.Value, ExpectedVersion: a.ExpectedVersion, ChangeId: a.ChangeID})
	var conflict *platform.ConflictError
	var lost *platform.LostAnswerError
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
	w.progress()
	i.platformEvent(life, result)
}

// progress delivers changes and progress to every watch.
func (w *World) progress() {
	for _, i := range w.instances {
		i.deliverWatch()
	}
}

// publishInstances sets the platform's list of instances.
func (w *World) publishInstances() {
	var list []*pb.InstanceInfo
	for _, i := range w.instances {
		if i.running {
			list = append(list, &pb.InstanceInfo{
				Name: i.name, FailureDomain: i.domain, PeerAddress: i.peer.String(), Leaving: i.leaving,
			})
		}
	}
	w.store.SetInstances(list)
}

// put writes an object as an operator would.
func (w *World) put(key string, value []byte) error {
	current, _, err := w.store.Get(key)
	if err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	object, err := w.store.Put(&pb.PutRequest{
		Key: key, Value: value, ExpectedVersion: current.GetVersion(), ChangeId: fmt.Sprint("operator-", w.now.UnixNano()),
	})
	if err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	w.accepted[object.GetRevision()] = w.now
	w.progress()
	return nil
}

// ApplyTeam writes the declarations of a team.
func (w *World) ApplyTeam(team *declare.Team) error {
	value, err := declare.Encode(team)
	if err != nil {
		return err
	}
	return w.put(declare.Key(team.Name), value)
}

// noteRevision measures how long an accepted change took to be in force here.
func (i *instance) noteRevision() {
	n, ok := i.core.(interface{ Revision() uint64 })
	if !ok {
		return
	}
	revision := n.Revision()
	if i.revision != 0 {
		for r := i.revision + 1; r <= revision; r++ {
			if at, ok := i.world.accepted[r]; ok {
				i.world.inForce = append(i.world.inForce, i.world.now.Sub(at))
			}
		}
	}
	i.revision = revision
}
