package loadsim

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
)

// instance is one simulated load balancer.
type instance struct {
	world  *world
	name   string
	domain string
	rank   int
	count  int
	engine *forward.Engine
	alive  bool
	// restarting is set from the begin of a planned restart to its end.
	restarting bool
	// inRotation is set while the routers send packets to the instance.
	inRotation bool
	started    int
}

// start starts a new incarnation of the instance, without any flows.
func (i *instance) start() {
	i.started++
	i.alive = true
	i.engine = forward.New(forward.Config{FailureDomain: i.domain, ColdFactor: coldFactor, ColdSlack: coldSlack, MaxFlows: 65536})
	sharing := forward.Sharing{Rank: i.rank, Count: i.count}
	if i.world.ignoreShares {
		sharing = forward.Sharing{Count: 1}
	}
	i.engine.Share(sharing)
	i.world.store.Apply(i.world.now, catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: i.world.revision})
}

// kill terminates the instance without handover and starts it again after down. The
// routers notice the end after one second and the start after 500 ms.
func (i *instance) kill(down time.Duration) {
	i.alive = false
	i.world.after(time.Second, func() { i.inRotation = i.alive })
	i.world.after(down, func() {
		i.start()
		i.world.publish()
		i.world.after(500*time.Millisecond, func() { i.inRotation = i.alive })
	})
}

// restart restarts the instance in a planned way: it leaves the rotation, hands its
// flows over to a peer and starts again.
func (i *instance) restart() {
	w := i.world
	i.restarting = true
	w.after(time.Second, func() { i.inRotation = false })
	w.after(1300*time.Millisecond, func() {
		for _, peer := range w.instances {
			if !w.withoutHandover && peer.domain == i.domain && peer != i && peer.alive && !peer.restarting {
				peer.engine.Import(w.now, i.engine.Export(w.now))
				break
			}
		}
		i.alive = false
	})
	w.after(1900*time.Millisecond, func() {
		i.start()
		w.publish()
		w.after(500*time.Millisecond, func() { i.inRotation, i.restarting = true, false })
	})
}

// runProbes makes the probes that the engine wants and passes their results to it.
func (i *instance) runProbes() {
	w := i.world
	for _, p := range i.engine.TakeProbes() {
		if w.withoutProbes {
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
					w.reportSilent(i, u)
				}
				i.runProbes()
			})
		}
		w.after(delay, func() {
			if !i.alive || i.engine != engine {
				return
			}
			abandoned := engine.Probed(w.now, result)
			for _, packet := range abandoned.Flows {
				w.resets++
				w.resetFlow(packet.Flow)
			}
			if abandoned.Report {
				w.reportSilent(i, u)
			}
			i.runProbes()
		})
	}
}

// reportLost reports the lost requests that an instance saw itself to its peers, the
// other instances of its failure domain.
func (w *world) reportLost(from *instance) {
	for _, failure := range from.engine.TakeFailures() {
		u := w.find(failure.Upstream.ID)
		if failure.Failing {
			w.alarms = append(w.alarms, u)
		}
		for _, peer := range w.instances {
			if failure.Own && !w.withoutReports && peer != from && peer.domain == from.domain {
				w.after(time.Millisecond, func() {
					if peer.alive {
						peer.engine.Lost(w.now, u.ID, u.Born)
					}
				})
			}
		}
	}
}

// reportSilent reports an upstream that does not answer probes to the peers of an
// instance.
func (w *world) reportSilent(from *instance, u *upstream) {
	for _, peer := range w.instances {
		if !w.withoutReports && peer != from && peer.domain == from.domain {
			w.after(time.Millisecond, func() {
				if peer.alive {
					peer.engine.Reported(w.now, u.ID, u.Born)
					peer.runProbes()
				}
			})
		}
	}
}

// route returns the instance to which the routers send a flow: one in rotation, or any of
// the failure domain when none is in rotation.
func (w *world) route(f forward.Flow, domain string) *instance {
	var rotation []*instance
	for _, i := range w.instances {
		if i.domain == domain && i.inRotation {
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
