package loadsim

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
)

// instance is one load balancer.
type instance struct {
	world  *world
	name   string
	domain string
	rank   int
	count  int
	engine *forward.Engine
	alive  bool
	// leaving is set from the begin of a planned restart to its end.
	leaving bool
	// rotation is set while the routers send to it.
	rotation bool
	started  int
}

// start begins an incarnation of an instance.
func (i *instance) start() {
	i.started++
	i.alive = true
	i.engine = forward.New(forward.Config{FailureDomain: i.domain, ColdFactor: coldFactor, ColdSlack: coldSlack, MaxFlows: 65536})
	sharing := forward.Sharing{Rank: i.rank, Count: i.count}
	if i.world.greedy {
		sharing = forward.Sharing{Count: 1}
	}
	i.engine.Share(sharing)
	i.world.store.Apply(i.world.now, catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: i.world.revision})
}

// kill ends an instance; the routers notice after a second.
func (i *instance) kill(down time.Duration) {
	i.alive = false
	i.world.after(time.Second, func() { i.rotation = i.alive })
	i.world.after(down, func() {
		i.start()
		i.world.publish()
		i.world.after(500*time.Millisecond, func() { i.rotation = i.alive })
	})
}

// restart ends an instance as planned: it leaves the rotation, hands its flows
// over and starts again.
func (i *instance) restart() {
	w := i.world
	i.leaving = true
	w.after(time.Second, func() { i.rotation = false })
	w.after(1300*time.Millisecond, func() {
		for _, mate := range w.instances {
			if !w.forgetful && mate.domain == i.domain && mate != i && mate.alive && !mate.leaving {
				mate.engine.Import(w.now, i.engine.Export(w.now))
				break
			}
		}
		i.alive = false
	})
	w.after(1900*time.Millisecond, func() {
		i.start()
		w.publish()
		w.after(500*time.Millisecond, func() { i.rotation, i.leaving = true, false })
	})
}

func (i *instance) probe() {
	w := i.world
	for _, p := range i.engine.TakeProbes() {
		if w.blind {
			continue
		}
		u := w.find(p.Upstream.ID)
		result := forward.ProbeResult{Upstream: p.Upstream, Sign: p.Sign, Started: w.now, Verdict: forward.VerdictAlive}
		delay := 2 * time.Millisecond
		switch {
		case u.silent || !w.reach(i.domain, u.FailureDomain):
			result.Verdict, delay = forward.VerdictSilent, probeSilence
		case u.ended:
			result.Verdict = forward.VerdictRefused
		}
		engine := i.engine
		if delay > forward.UnansweredAfter {
			w.after(forward.UnansweredAfter, func() {
				if i.alive && i.engine == engine && engine.Unanswered(w.now, p) {
					w.report(i, u)
				}
				i.probe()
			})
		}
		w.after(delay, func() {
			if !i.alive || i.engine != engine {
				return
			}
			abandoned := engine.Probed(w.now, result)
			for _, packet := range abandoned.Flows {
				w.resets++
				w.reset(packet.Flow)
			}
			if abandoned.Report {
				w.report(i, u)
			}
			i.probe()
		})
	}
}

// tell passes lost requests on to the instances of the failure domain.
func (w *world) tell(from *instance) {
	for _, failure := range from.engine.TakeFailures() {
		u := w.find(failure.Upstream.ID)
		if failure.Failing {
			w.alarms = append(w.alarms, u)
		}
		for _, mate := range w.instances {
			if failure.Own && !w.unaware && mate != from && mate.domain == from.domain {
				w.after(time.Millisecond, func() {
					if mate.alive {
						mate.engine.Lost(w.now, u.ID, u.Born)
					}
				})
			}
		}
	}
}

// report tells the instances of the failure domain of a failed probe.
func (w *world) report(from *instance, u *upstream) {
	for _, mate := range w.instances {
		if !w.unaware && mate != from && mate.domain == from.domain {
			w.after(time.Millisecond, func() {
				if mate.alive {
					mate.engine.Reported(w.now, u.ID, u.Born)
					mate.probe()
				}
			})
		}
	}
}

// route returns the instance that the routers pick for a flow.
func (w *world) route(f forward.Flow, domain string) *instance {
	var rotation []*instance
	for _, i := range w.instances {
		if i.domain == domain && i.rotation {
			rotation = append(rotation, i)
		}
	}
	if len(rotation) == 0 {
		for _, i := range w.instances {
			if i.domain == domain {
				rotation = append(rotation, i)
			}
		}
	}
	return rotation[(int(f.Caller.Port())*7+int(f.Caller.Addr().As4()[3]))%len(rotation)]
}
