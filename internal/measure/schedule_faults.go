package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// faultSchedule schedules random faults at random times of the load.
type faultSchedule struct {
	world         *World
	rng           *rand.Rand
	appliedFaults *[]string
}

// faultKind draws the parameters of one fault of the given duration. It returns a
// description and a function that begins the fault and schedules its end.
type faultKind func(f *faultSchedule, duration time.Duration) (string, func())

// faultKinds lists the kinds of faults, each with the same chance. Kinds that
// move leases and affect requests in flight are listed several times, so that
// they occur more often.
var faultKinds = []faultKind{
	instanceKillFault, instanceKillFault, instancePauseFault, instancePauseFault,
	instanceHeldSendsFault, instanceHeldSendsFault, instanceHeldSendsFault,
	instanceQuickRestartFault, instanceQuickRestartFault, instanceShutdownFault, instanceShutdownFault,
	domainCutFault, domainCutFault, domainCutFault, domainCutFault, platformCutFault, domainIsolationFault,
	platformDownFault, platformSlowFault, platformLostAnswersFault, watchEndFault, instanceListFault,
	upstreamRestartFault, upstreamColdFault, upstreamDrainFault, domainTakeOutFault,
}

// addRandomFault schedules one random fault. Half of the faults may last up to
// 12 s, so that faults overlap, because most defects need two faults together.
func (f *faultSchedule) addRandomFault() {
	start := f.randomDuration(0, scheduleLoadTime)
	duration := f.randomDuration(50*time.Millisecond, 2*time.Second)
	if f.rng.IntN(2) == 0 {
		duration = f.randomDuration(time.Second, 12*time.Second)
	}
	name, begin := faultKinds[f.rng.IntN(len(faultKinds))](f, duration)
	f.world.At(start, func() {
		*f.appliedFaults = append(*f.appliedFaults, fmt.Sprintf("%v %s", f.world.virtualNow.Sub(f.world.loadStart).Round(time.Millisecond), name))
		begin()
	})
}

func (f *faultSchedule) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Int64N(int64(to-from)))
}

func (f *faultSchedule) randomInstance() int { return f.rng.IntN(scheduleInstances) }

func (f *faultSchedule) randomDomain() string {
	return f.world.domainName(f.rng.IntN(f.world.options.Domains))
}

// killAndRestart kills an instance, if it runs, and starts it without state
// after downTime.
func (w *World) killAndRestart(index int, downTime time.Duration) {
	if w.instances[index].running {
		w.KillInstance(index)
	}
	w.runAfter(downTime, func() {
		if !w.instances[index].running {
			w.StartInstance(index)
		}
	})
}

func instanceKillFault(f *faultSchedule, duration time.Duration) (string, func()) {
	i := f.randomInstance()
	return fmt.Sprintf("kill instance-%d for %v", i+1, duration), func() { f.world.killAndRestart(i, duration) }
}

func instanceQuickRestartFault(f *faultSchedule, _ time.Duration) (string, func()) {
	i, duration := f.randomInstance(), f.randomDuration(time.Millisecond, 300*time.Millisecond)
	return fmt.Sprintf("restart instance-%d within %v", i+1, duration), func() { f.world.killAndRestart(i, duration) }
}

func instancePauseFault(f *faultSchedule, duration time.Duration) (string, func()) {
	i := f.randomInstance()
	return fmt.Sprintf("freeze instance-%d for %v", i+1, duration), func() {
		if f.world.instances[i].running && !f.world.instances[i].paused {
			f.world.PauseInstance(i, duration)
		}
	}
}

func instanceHeldSendsFault(f *faultSchedule, duration time.Duration) (string, func()) {
	i, holdTime := f.randomInstance(), f.randomDuration(time.Millisecond, 300*time.Millisecond)
	return fmt.Sprintf("stall instance-%d for %v and freeze it for %v", i+1, holdTime, duration), func() {
		if i := f.world.instances[i]; i.running && !i.paused && !i.holdsSends {
			f.world.HoldSendsThenPause(i.index, holdTime, duration)
		}
	}
}

func instanceShutdownFault(f *faultSchedule, _ time.Duration) (string, func()) {
	i := f.randomInstance()
	return fmt.Sprintf("shut instance-%d down and replace it", i+1), func() {
		if i := f.world.instances[i]; i.running && !i.paused && !i.shuttingDown {
			f.world.RestartInstance(i.index, nil)
		}
	}
}

// cutDirectionFor cuts one direction for a time.
func (f *faultSchedule) cutDirectionFor(from, to string, duration time.Duration) {
	f.world.CutDirection(from, to)
	f.world.runAfter(duration, func() { f.world.RestoreDirection(from, to) })
}

func domainCutFault(f *faultSchedule, duration time.Duration) (string, func()) {
	n := f.rng.IntN(f.world.options.Domains)
	other := (n + 1 + f.rng.IntN(f.world.options.Domains-1)) % f.world.options.Domains
	from, to, both := f.world.domainName(n), f.world.domainName(other), f.rng.IntN(2) == 0
	return fmt.Sprintf("cut %s to %s for %v, both ways %v", from, to, duration, both), func() {
		f.cutDirectionFor(from, to, duration)
		if both {
			f.cutDirectionFor(to, from, duration)
		}
	}
}

func platformCutFault(f *faultSchedule, duration time.Duration) (string, func()) {
	domain, cutTo, cutFrom := f.randomDomain(), f.rng.IntN(3) > 0, f.rng.IntN(3) > 0
	return fmt.Sprintf("cut %s to platform %v, from platform %v, for %v", domain, cutTo, cutFrom, duration), func() {
		if cutTo {
			f.cutDirectionFor(domain, platformEndpoint, duration)
		}
		if cutFrom {
			f.cutDirectionFor(platformEndpoint, domain, duration)
		}
	}
}

func domainIsolationFault(f *faultSchedule, duration time.Duration) (string, func()) {
	domain := f.randomDomain()
	return fmt.Sprintf("isolate %s for %v", domain, duration), func() {
		f.world.SetDomainIsolated(domain, true)
		f.world.runAfter(duration, func() { f.world.SetDomainIsolated(domain, false) })
	}
}

func platformDownFault(f *faultSchedule, duration time.Duration) (string, func()) {
	return fmt.Sprintf("platform down for %v", duration), func() {
		f.world.store.SetDown(true)
		f.world.runAfter(duration, func() { f.world.store.SetDown(false) })
	}
}

func platformSlowFault(f *faultSchedule, duration time.Duration) (string, func()) {
	delay := f.randomDuration(50*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("platform slow by %v for %v", delay, duration), func() {
		f.world.store.SetDelay(delay)
		f.world.runAfter(duration, func() { f.world.store.SetDelay(0) })
	}
}

func platformLostAnswersFault(f *faultSchedule, _ time.Duration) (string, func()) {
	n := 1 + f.rng.IntN(6)
	return fmt.Sprintf("platform loses the responses to %d writes", n), func() { f.world.store.LoseWriteResponses(n) }
}

func watchEndFault(f *faultSchedule, _ time.Duration) (string, func()) {
	silent := f.rng.IntN(2) == 0
	return fmt.Sprintf("watches end, silently %v", silent), func() {
		if silent {
			f.world.store.SilenceWatches()
		} else {
			f.world.store.EndWatches()
		}
	}
}

// instanceListFault puts a wrong entry on the platform's instance list: an
// instance that is marked as leaving although it stays, or one that does not
// exist.
func instanceListFault(f *faultSchedule, duration time.Duration) (string, func()) {
	i := f.world.instances[f.randomInstance()]
	info := &pb.InstanceInfo{Name: i.name, FailureDomain: i.domain, PeerAddress: i.peerAddress.String(), Leaving: true}
	if f.rng.IntN(2) == 0 {
		info = &pb.InstanceInfo{Name: "instance-99", FailureDomain: i.domain, PeerAddress: "127.1.0.99:7201"}
	}
	return fmt.Sprintf("list shows %s, leaving %v, for %v", info.Name, info.Leaving, duration), func() {
		f.world.store.OverrideInstance(info)
		f.world.runAfter(duration, func() { f.world.store.ClearOverride(info.Name) })
	}
}

func (f *faultSchedule) randomUpstream() *upstreamServer {
	return f.world.upstreamServers[f.rng.IntN(len(f.world.upstreamServers))]
}

func upstreamRestartFault(f *faultSchedule, _ time.Duration) (string, func()) {
	server := f.randomUpstream()
	return "restart upstream " + server.name, func() { server.machine.Restart(f.world.virtualNow) }
}

func upstreamColdFault(f *faultSchedule, _ time.Duration) (string, func()) {
	server := f.randomUpstream()
	return "cold start of upstream " + server.name, func() { server.machine.StartColdStart(f.world.virtualNow) }
}

// platformReachable tells whether operators can reach the platform.
func (w *World) platformReachable() bool { return !w.store.Status().Down }

func upstreamDrainFault(f *faultSchedule, duration time.Duration) (string, func()) {
	service := f.rng.IntN(2)
	upstream := f.rng.IntN(len(f.world.options.Teams[0].Services[service].Upstreams))
	set := func(draining bool) {
		if f.world.platformReachable() {
			f.world.tryUpstreamDraining(service, upstream, draining)
		}
	}
	return fmt.Sprintf("drain upstream %d of service %d for %v", upstream+1, service, duration), func() {
		set(true)
		f.world.runAfter(duration, func() { set(false) })
	}
}

// tryUpstreamDraining starts or ends draining in the declarations of an upstream. If the
// write fails, it does not retry, and later changes start from the declarations
// without it.
func (w *World) tryUpstreamDraining(service, upstream int, draining bool) {
	changed := w.options.Teams[0].Clone()
	changed.Services[service].Upstreams[upstream].Draining = draining
	if w.ApplyTeam(changed) == nil {
		w.options.Teams[0] = changed
	}
}

// domainTakeOutFault takes a failure domain out of service and brings it back.
func domainTakeOutFault(f *faultSchedule, duration time.Duration) (string, func()) {
	domain := f.randomDomain()
	set := func(out bool) {
		value, err := proto.Marshal(&pb.DomainState{Out: out})
		if err == nil && f.world.platformReachable() {
			// The error is ignored: after a lost answer, which is an error too, the
			// write may still have been applied.
			_ = f.world.putObject("domains/"+domain, value)
		}
	}
	return fmt.Sprintf("take %s out for %v", domain, duration), func() {
		set(true)
		f.world.runAfter(duration, func() { set(false) })
	}
}
