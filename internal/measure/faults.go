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
	// shutdownTime is how long a graceful shutdown of an instance takes at
	// most, and startTime the time until its replacement starts.
	shutdownTime = 10 * time.Second
	startTime    = 500 * time.Millisecond
)

// At runs an operation after a time of load.
func (w *World) At(after time.Duration, run func()) { w.after(w.opt.Settle+after, run) }

// Kill ends an instance at once.
func (w *World) Kill(index int) {
	i := w.instances[index]
	i.running = false
	i.stopWatch()
	w.publishInstances()
}

// Start starts a killed or stopped instance without state.
func (w *World) Start(index int) {
	if err := w.instances[index].start(); err != nil {
		panic(fmt.Sprintf("start of instance %d: %v", index, err))
	}
	w.publishInstances()
}

// Restart shuts an instance down gracefully, replaces it and then calls done.
func (w *World) Restart(index int, done func()) {
	i := w.instances[index]
	i.leaving = true
	w.publishInstances()
	i.execute(i.core.Shutdown(i.now()))
	deadline := w.now.Add(shutdownTime)
	var wait func()
	wait = func() {
		d, ok := i.core.(interface{ ShutdownComplete() bool })
		if ok && !d.ShutdownComplete() && w.now.Before(deadline) {
			w.after(100*time.Millisecond, wait)
			return
		}
		// A stopped instance lingers as the daemon does.
		w.after(lingerTime, func() { w.replace(index, done) })
	}
	wait()
}

// lingerTime is the daemon's time between the end of the handover and its
// exit.
const lingerTime = 3 * time.Second

func (w *World) replace(index int, done func()) {
	w.Kill(index)
	w.after(startTime, func() {
		w.Start(index)
		w.awaitReady(index, done)
	})
}

func (w *World) awaitReady(index int, done func()) {
	w.after(500*time.Millisecond, func() {
		if !w.instances[index].core.Ready() {
			w.awaitReady(index, done)
			return
		}
		if done != nil {
			done()
		}
	})
}

// RestartAll replaces the instances one after the other.
func (w *World) RestartAll(first int) {
	if first < len(w.instances) {
		w.Restart(first, func() { w.RestartAll(first + 1) })
	}
}

// Freeze pauses an instance for a time. Packets wait in its socket buffers.
func (w *World) Freeze(index int, d time.Duration) {
	i := w.instances[index]
	i.paused = true
	w.after(d, func() {
		i.paused = false
		waiting := i.frozen
		i.frozen = nil
		for _, run := range waiting {
			if i.running {
				run()
			}
		}
	})
}

// Cut ends the traffic from one failure domain to another, or to or from the
// platform; Heal restores it.
func (w *World) Cut(from, to string) { w.cut[[2]string{from, to}] = true }

// Heal ends a cut.
func (w *World) Heal(from, to string) { delete(w.cut, [2]string{from, to}) }

// Isolate cuts a failure domain off from the platform and the other domains.
func (w *World) Isolate(domain string, cut bool) {
	others := []string{platformName}
	for index := range w.opt.Domains {
		if name := w.domainName(index); name != domain {
			others = append(others, name)
		}
	}
	for _, other := range others {
		if cut {
			w.Cut(domain, other)
			w.Cut(other, domain)
		} else {
			w.Heal(domain, other)
			w.Heal(other, domain)
		}
	}
}

// TakeOut takes a failure domain out or brings it back.
func (w *World) TakeOut(domain string, out bool) {
	value, err := proto.Marshal(&pb.DomainState{Out: out})
	if err == nil {
		err = w.put("domains/"+domain, value)
	}
	if err != nil {
		panic(fmt.Sprintf("operator could not change %s: %v", domain, err))
	}
	for _, s := range w.servers {
		if s.domain != domain {
			continue
		}
		if out {
			w.outages = append(w.outages, history.Outage{Upstream: s.name, From: w.now, TakenOut: true})
			continue
		}
		for n := range w.outages {
			if w.outages[n].Upstream == s.name && w.outages[n].Until.IsZero() {
				w.outages[n].Until = w.now
			}
		}
	}
}

// Change edits a copy of a team and applies it.
func (w *World) Change(team int, edit func(*declare.Team)) {
	changed := w.opt.Teams[team].Clone()
	edit(changed)
	if err := w.ApplyTeam(changed); err != nil {
		panic(fmt.Sprintf("operator could not apply team %s: %v", changed.Name, err))
	}
	w.opt.Teams[team] = changed
}

// Drain sets or ends the draining of an upstream, here and at the upstream.
func (w *World) Drain(team, service, upstream int, draining bool) {
	w.Change(team, func(t *declare.Team) { t.Services[service].Upstreams[upstream].Draining = draining })
	u := w.opt.Teams[team].Services[service].Upstreams[upstream]
	w.upstreams[u.Address].machine.SetDraining(w.now, draining)
}

// weights are those of the declarations now in force.
func (w *World) weights() map[string]int {
	out := map[string]int{}
	for _, t := range w.opt.Teams {
		for _, s := range t.Services {
			for _, u := range s.Upstreams {
				if u.Weight != 0 {
					out[t.Name+"/"+s.Name+"/"+u.Name] = u.Weight
				}
			}
		}
	}
	return out
}

// Report checks the history of the run.
func (w *World) Report() *history.Report {
	return history.Run(history.Options{
		Outages: w.outages, Weights: w.weights(), DrainLimit: 4 * time.Second, TakeOutLimit: 3 * time.Second, From: w.started,
	}, w.recorder.Events())
}
