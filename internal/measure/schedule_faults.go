package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// faultSchedule draws faults at random times of the load.
type faultSchedule struct {
	world *World
	rng   *rand.Rand
	trace *[]string
}

// fault is one kind of fault. It returns what it is about to do; the function
// begins the fault, which ends by itself.
type fault func(f *faultSchedule, d time.Duration) (string, func())

// faultKinds lists the kinds; those that move leases and requests in flight
// occur more often.
var faultKinds = []fault{
	killFault, killFault, freezeFault, freezeFault, stallFault, stallFault, stallFault, restartFault, restartFault,
	gracefulFault, gracefulFault, cutFault, cutFault, cutFault, cutFault, platformCutFault, isolateFault, downFault, slowFault, loseFault, watchFault, listFault,
	upstreamFault, coldFault, drainFault, takeOutFault,
}

// draw adds one fault. Some follow the earlier ones closely, because most
// mistakes need two faults together.
func (f *faultSchedule) draw() {
	at := f.span(0, scheduleLoad)
	d := f.span(50*time.Millisecond, 2*time.Second)
	if f.rng.IntN(2) == 0 {
		d = f.span(time.Second, 12*time.Second)
	}
	name, begin := faultKinds[f.rng.IntN(len(faultKinds))](f, d)
	f.world.At(at, func() {
		*f.trace = append(*f.trace, fmt.Sprintf("%v %s", f.world.now.Sub(f.world.started).Round(time.Millisecond), name))
		begin()
	})
}

func (f *faultSchedule) span(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

func (f *faultSchedule) instance() int { return f.rng.IntN(scheduleInstances) }

func (f *faultSchedule) domain() string { return f.world.domainName(f.rng.IntN(f.world.opt.Domains)) }

// stop kills an instance that runs and starts it without state after a time.
func (w *World) stop(index int, d time.Duration) {
	if w.instances[index].running {
		w.Kill(index)
	}
	w.after(d, func() {
		if !w.instances[index].running {
			w.Start(index)
		}
	})
}

func killFault(f *faultSchedule, d time.Duration) (string, func()) {
	i := f.instance()
	return fmt.Sprintf("kill instance-%d for %v", i+1, d), func() { f.world.stop(i, d) }
}

func restartFault(f *faultSchedule, _ time.Duration) (string, func()) {
	i, d := f.instance(), f.span(time.Millisecond, 300*time.Millisecond)
	return fmt.Sprintf("restart instance-%d within %v", i+1, d), func() { f.world.stop(i, d) }
}

func freezeFault(f *faultSchedule, d time.Duration) (string, func()) {
	i := f.instance()
	return fmt.Sprintf("freeze instance-%d for %v", i+1, d), func() {
		if f.world.instances[i].running && !f.world.instances[i].paused {
			f.world.Freeze(i, d)
		}
	}
}

func stallFault(f *faultSchedule, d time.Duration) (string, func()) {
	i, before := f.instance(), f.span(time.Millisecond, 300*time.Millisecond)
	return fmt.Sprintf("stall instance-%d for %v and freeze it for %v", i+1, before, d), func() {
		if i := f.world.instances[i]; i.running && !i.paused && !i.stalled {
			f.world.Stall(i.index, before, d)
		}
	}
}

func gracefulFault(f *faultSchedule, _ time.Duration) (string, func()) {
	i := f.instance()
	return fmt.Sprintf("shut instance-%d down and replace it", i+1), func() {
		if i := f.world.instances[i]; i.running && !i.paused && !i.leaving {
			f.world.Restart(i.index, nil)
		}
	}
}

// cutFor cuts one direction for a time.
func (f *faultSchedule) cutFor(from, to string, d time.Duration) {
	f.world.Cut(from, to)
	f.world.after(d, func() { f.world.Heal(from, to) })
}

func cutFault(f *faultSchedule, d time.Duration) (string, func()) {
	n := f.rng.IntN(f.world.opt.Domains)
	other := (n + 1 + f.rng.IntN(f.world.opt.Domains-1)) % f.world.opt.Domains
	a, b, both := f.world.domainName(n), f.world.domainName(other), f.rng.IntN(2) == 0
	return fmt.Sprintf("cut %s to %s for %v, both ways %v", a, b, d, both), func() {
		f.cutFor(a, b, d)
		if both {
			f.cutFor(b, a, d)
		}
	}
}

func platformCutFault(f *faultSchedule, d time.Duration) (string, func()) {
	a, to, from := f.domain(), f.rng.IntN(3) > 0, f.rng.IntN(3) > 0
	return fmt.Sprintf("cut %s to platform %v, from platform %v, for %v", a, to, from, d), func() {
		if to {
			f.cutFor(a, platformName, d)
		}
		if from {
			f.cutFor(platformName, a, d)
		}
	}
}

func isolateFault(f *faultSchedule, d time.Duration) (string, func()) {
	a := f.domain()
	return fmt.Sprintf("isolate %s for %v", a, d), func() {
		f.world.Isolate(a, true)
		f.world.after(d, func() { f.world.Isolate(a, false) })
	}
}

func downFault(f *faultSchedule, d time.Duration) (string, func()) {
	return fmt.Sprintf("platform down for %v", d), func() {
		f.world.store.SetDown(true)
		f.world.after(d, func() { f.world.store.SetDown(false) })
	}
}

func slowFault(f *faultSchedule, d time.Duration) (string, func()) {
	delay := f.span(50*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("platform slow by %v for %v", delay, d), func() {
		f.world.store.SetDelay(delay)
		f.world.after(d, func() { f.world.store.SetDelay(0) })
	}
}

func loseFault(f *faultSchedule, _ time.Duration) (string, func()) {
	n := 1 + f.rng.IntN(6)
	return fmt.Sprintf("platform loses the answers of %d writes", n), func() { f.world.store.LoseWriteAnswers(n) }
}

func watchFault(f *faultSchedule, _ time.Duration) (string, func()) {
	silent := f.rng.IntN(2) == 0
	return fmt.Sprintf("watches end, silently %v", silent), func() {
		if silent {
			f.world.store.SilenceWatches()
		} else {
			f.world.store.EndWatches()
		}
	}
}

// listFault puts a wrong entry on the list of instances: one that is leaving
// although it stays, or one that does not exist.
func listFault(f *faultSchedule, d time.Duration) (string, func()) {
	i := f.world.instances[f.instance()]
	info := &pb.InstanceInfo{Name: i.name, FailureDomain: i.domain, PeerAddress: i.peer.String(), Leaving: true}
	if f.rng.IntN(2) == 0 {
		info = &pb.InstanceInfo{Name: "instance-99", FailureDomain: i.domain, PeerAddress: "127.1.0.99:7201"}
	}
	return fmt.Sprintf("list shows %s, leaving %v, for %v", info.Name, info.Leaving, d), func() {
		f.world.store.OverrideInstance(info)
		f.world.after(d, func() { f.world.store.ClearOverride(info.Name) })
	}
}

func (f *faultSchedule) server() *server {
	return f.world.servers[f.rng.IntN(len(f.world.servers))]
}

func upstreamFault(f *faultSchedule, _ time.Duration) (string, func()) {
	s := f.server()
	return "restart upstream " + s.name, func() { s.machine.Restart(f.world.now) }
}

func coldFault(f *faultSchedule, _ time.Duration) (string, func()) {
	s := f.server()
	return "upstream turns cold " + s.name, func() { s.machine.TurnCold(f.world.now) }
}

// reachable tells whether operators can use the platform.
func (w *World) reachable() bool { return !w.store.Status().Down }

func drainFault(f *faultSchedule, d time.Duration) (string, func()) {
	service := f.rng.IntN(2)
	u := f.rng.IntN(len(f.world.opt.Teams[0].Services[service].Upstreams))
	set := func(draining bool) {
		if f.world.reachable() {
			f.world.tryDrain(service, u, draining)
		}
	}
	return fmt.Sprintf("drain upstream %d of service %d for %v", u+1, service, d), func() {
		set(true)
		f.world.after(d, func() { set(false) })
	}
}

// tryDrain sets or ends a drain; an operator whose write fails leaves it.
func (w *World) tryDrain(service, u int, draining bool) {
	changed := w.opt.Teams[0].Clone()
	changed.Services[service].Upstreams[u].Draining = draining
	if w.ApplyTeam(changed) == nil {
		w.opt.Teams[0] = changed
	}
}

// takeOutFault takes a failure domain out and brings it back.
func takeOutFault(f *faultSchedule, d time.Duration) (string, func()) {
	a := f.domain()
	set := func(out bool) {
		value, err := proto.Marshal(&pb.DomainState{Out: out})
		if err == nil && f.world.reachable() {
			// A lost answer is an error too; the take-out may be in force.
			_ = f.world.put("domains/"+a, value)
		}
	}
	return fmt.Sprintf("take %s out for %v", a, d), func() {
		set(true)
		f.world.after(d, func() { set(false) })
	}
}
