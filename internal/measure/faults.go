package measure

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/standin/history"
)

const (
	// shutdownTimeout is how long a graceful shutdown waits at most for the
	// instance to finish its handover. replacementDelay is the time from the
	// exit of an instance to the start of its replacement.
	shutdownTimeout  = 10 * time.Second
	replacementDelay = 500 * time.Millisecond
)

// At schedules a function at a time since the start of the load. Call it before
// the run starts.
func (w *World) At(after time.Duration, run func()) { w.runAfter(w.options.SettleTime+after, run) }

// KillInstance stops an instance at once, without a handover.
func (w *World) KillInstance(index int) {
	i := w.instances[index]
	i.running = false
	i.stopWatch()
	w.publishInstances()
}

// StartInstance starts a stopped instance without state.
func (w *World) StartInstance(index int) {
	if err := w.instances[index].start(); err != nil {
		panic(fmt.Sprintf("cannot start the instance with index %d: %v", index, err))
	}
	w.publishInstances()
}

// RestartInstance shuts an instance down gracefully, replaces it and calls done, if
// set, once the replacement is ready.
func (w *World) RestartInstance(index int, done func()) {
	instance := w.instances[index]
	instance.shuttingDown = true
	w.publishInstances()
	instance.executeActions(instance.core.Shutdown(instance.clockTime()))
	deadline := w.virtualNow.Add(shutdownTimeout)
	var wait func()
	wait = func() {
		d, ok := instance.core.(interface{ ShutdownComplete() bool })
		if ok && !d.ShutdownComplete() && w.virtualNow.Before(deadline) {
			w.runAfter(100*time.Millisecond, wait)
			return
		}
		// The daemon keeps running for a while after the handover; so does the
		// simulated instance.
		w.runAfter(lingerTime, func() { w.replaceInstance(index, done) })
	}
	wait()
}

// lingerTime is the time between the end of the handover and the exit of the
// daemon.
const lingerTime = 3 * time.Second

func (w *World) replaceInstance(index int, done func()) {
	w.KillInstance(index)
	w.runAfter(replacementDelay, func() {
		w.StartInstance(index)
		w.callWhenReady(index, done)
	})
}

func (w *World) callWhenReady(index int, done func()) {
	w.runAfter(500*time.Millisecond, func() {
		if !w.instances[index].core.Ready() {
			w.callWhenReady(index, done)
			return
		}
		if done != nil {
			done()
		}
	})
}

// RestartAllInstances gracefully restarts the instances from index first on, one after
// the other.
func (w *World) RestartAllInstances(first int) {
	if first < len(w.instances) {
		w.RestartInstance(first, func() { w.RestartAllInstances(first + 1) })
	}
}

// PauseInstance stops an instance from running for a time. Packets that arrive
// meanwhile wait in its socket buffers, up to maxDeferredEvents.
func (w *World) PauseInstance(index int, pauseTime time.Duration) {
	instance := w.instances[index]
	instance.paused = true
	w.runAfter(pauseTime, func() {
		instance.paused = false
		deferred := instance.deferredEvents
		instance.deferredEvents = nil
		for _, run := range deferred {
			if instance.running {
				run()
			}
		}
	})
}

// CutDirection drops the traffic from one failure domain to another, or to or
// from the platform, until RestoreDirection is called.
func (w *World) CutDirection(from, to string) { w.cuts[[2]string{from, to}] = true }

// RestoreDirection ends a cut that CutDirection began.
func (w *World) RestoreDirection(from, to string) { delete(w.cuts, [2]string{from, to}) }

// SetDomainIsolated cuts a failure domain off from the platform and the other
// domains, in both directions, or restores these directions.
func (w *World) SetDomainIsolated(domain string, cut bool) {
	others := []string{platformEndpoint}
	for index := range w.options.Domains {
		if name := w.domainName(index); name != domain {
			others = append(others, name)
		}
	}
	for _, other := range others {
		if cut {
			w.CutDirection(domain, other)
			w.CutDirection(other, domain)
		} else {
			w.RestoreDirection(domain, other)
			w.RestoreDirection(other, domain)
		}
	}
}

// SetDomainTakenOut takes a failure domain out of service or brings it back, and
// records the outage of its upstreams for the checks of the history. It panics
// when the platform does not accept the write.
func (w *World) SetDomainTakenOut(domain string, out bool) {
	value, err := proto.Marshal(&pb.DomainState{Out: out})
	if err == nil {
		err = w.putObject("domains/"+domain, value)
	}
	if err != nil {
		panic(fmt.Sprintf("cannot write the state of failure domain %s: %v", domain, err))
	}
	for _, s := range w.upstreamServers {
		if s.domain != domain {
			continue
		}
		if out {
			w.outages = append(w.outages, history.Outage{Upstream: s.name, From: w.virtualNow, TakenOut: true})
			continue
		}
		for n := range w.outages {
			if w.outages[n].Upstream == s.name && w.outages[n].Until.IsZero() {
				w.outages[n].Until = w.virtualNow
			}
		}
	}
}

// ChangeTeam edits a copy of the team with the given index and applies it. It
// panics when the platform does not accept the write.
func (w *World) ChangeTeam(team int, edit func(*declare.Team)) {
	changed := w.options.Teams[team].Clone()
	edit(changed)
	if err := w.ApplyTeam(changed); err != nil {
		panic(fmt.Sprintf("cannot write the declarations of team %s: %v", changed.Name, err))
	}
	w.options.Teams[team] = changed
}

// SetUpstreamDraining starts or ends draining of an upstream, in the team's
// declarations and at the upstream itself. The arguments are indexes.
func (w *World) SetUpstreamDraining(team, service, upstream int, draining bool) {
	w.ChangeTeam(team, func(t *declare.Team) { t.Services[service].Upstreams[upstream].Draining = draining })
	declared := w.options.Teams[team].Services[service].Upstreams[upstream]
	w.serverByAddress[declared.Address].machine.SetDraining(w.virtualNow, draining)
}

// upstreamWeights returns the weights that the current declarations set, by
// TEAM/SERVICE/UPSTREAM.
func (w *World) upstreamWeights() map[string]int {
	weights := map[string]int{}
	for _, t := range w.options.Teams {
		for _, s := range t.Services {
			for _, u := range s.Upstreams {
				if u.Weight != 0 {
					weights[t.Name+"/"+s.Name+"/"+u.Name] = u.Weight
				}
			}
		}
	}
	return weights
}

// Report checks the history of the run against the guarantees on flows.
func (w *World) Report() *history.Report {
	return history.Run(history.Options{
		Outages: w.outages, Weights: w.upstreamWeights(), DrainLimit: 4 * time.Second, TakeOutLimit: 3 * time.Second, From: w.loadStart,
	}, w.recorder.Events())
}
