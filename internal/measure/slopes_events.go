package measure

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/node"
)

// Times of the one-off events.
const (
	changeWindow  = 10 * time.Second
	restartWindow = 25 * time.Second
	failureWindow = 15 * time.Second
	returnWindow  = 40 * time.Second
	cutWindow     = 10 * time.Second
	healWindow    = 15 * time.Second
	coldWindow    = 10 * time.Second
	// recovery lets transitions end before the next event.
	recovery = 22 * time.Second
)

// eventRun measures one-off events in a fleet, one after the other.
type eventRun struct {
	slopes *Slopes
	size   Size
	world  *World
	steady period
}

func (r *eventRun) run() {
	w := r.world
	r.event("change_drain", changeWindow, func() { r.drain(true) })
	r.event("change_undrain", changeWindow, func() { r.drain(false) })
	w.runUntil(w.now.Add(recovery))
	r.event("upstream_cold", coldWindow, func() { w.servers[1].machine.Restart(w.now) })
	w.runUntil(w.now.Add(recovery))
	r.restart()
	w.runUntil(w.now.Add(recovery))
	r.event("instance_failure", failureWindow, func() { w.Kill(2) })
	w.Start(2)
	w.runUntil(w.now.Add(recovery))
	r.event("domain_out", changeWindow, func() { w.TakeOut(w.domainName(1), true) })
	r.event("domain_back", returnWindow, func() { w.TakeOut(w.domainName(1), false) })
	w.runUntil(w.now.Add(recovery))
	r.event("region_cut", cutWindow, func() { r.cutRegion(true) })
	r.event("region_heal", healWindow, func() { r.cutRegion(false) })
}

func (r *eventRun) drain(draining bool) {
	r.world.Change(0, func(t *declare.Team) { t.Services[0].Upstreams[0].Draining = draining })
	u := r.world.opt.Teams[0].Services[0].Upstreams[0]
	r.world.upstreams[u.Address].machine.SetDraining(r.world.now, draining)
}

// cutRegion cuts the second half of the failure domains off from the first
// half and from the platform.
func (r *eventRun) cutRegion(cut bool) {
	w := r.world
	change := w.Heal
	if cut {
		change = w.Cut
	}
	first, second := []string{platformName}, []string(nil)
	for d := range slopeDomains {
		if d < slopeDomains/2 {
			first = append(first, w.domainName(d))
		} else {
			second = append(second, w.domainName(d))
		}
	}
	for _, a := range first {
		for _, b := range second {
			change(a, b)
			change(b, a)
		}
	}
}

// event measures what an event costs beyond the steady state.
func (r *eventRun) event(name string, d time.Duration, run func()) {
	w := r.world
	w.inForce = nil
	births, writes := w.births(), w.writes()
	run()
	known := w.whenKnown()
	p := w.measure(d)
	values := r.excess(p)
	values["births_per_instance_per_second"] = float64(w.births()-births) / p.seconds / float64(r.size.Instances)
	values["platform_writes"] = float64(w.writes() - writes)
	if len(w.inForce) > 0 {
		values["in_force_ms_max"] = float64(slices.Max(w.inForce).Milliseconds())
		if at := known(); !at.IsZero() {
			values["known_everywhere_ms"] = float64(at.Sub(p.start).Milliseconds())
		}
	}
	r.slopes.print("event", name, r.size, values)
}

// excess returns the costs of a period beyond the steady rate, per instance.
func (r *eventRun) excess(p period) map[string]float64 {
	values := map[string]float64{
		"peak_bytes_per_second_mean": p.peakMean, "peak_bytes_per_second_max": p.peakMax,
	}
	var sum, base dutyCost
	busiest := time.Duration(0)
	for _, c := range p.costs {
		sum.add(c.total())
		busiest = max(busiest, c.total().processor)
	}
	for _, c := range r.steady.costs {
		base.add(c.total())
	}
	n, scale := float64(r.size.Instances), p.seconds/r.steady.seconds
	values["excess_bytes"] = (float64(sum.bytes()) - float64(base.bytes())*scale) / n
	values["excess_messages"] = (float64(sum.sentMessages) - float64(base.sentMessages)*scale) / n
	values["excess_processor_us"] = (float64(sum.processor.Microseconds()) - float64(base.processor.Microseconds())*scale) / n
	values["excess_platform_calls"] = (float64(sum.calls) - float64(base.calls)*scale) / n
	values["busiest_processor_us_per_second"] = float64(busiest.Microseconds()) / p.seconds
	for _, d := range []node.WorkCategory{node.WorkConfiguration, node.WorkTracking, node.WorkCredits, node.WorkMembership} {
		var bytes uint64
		for _, c := range p.costs {
			bytes += c[d].bytes()
		}
		values[d.String()+"_bytes_per_second"] = float64(bytes) / n / p.seconds
	}
	return values
}

// restart measures the graceful restart of one instance.
func (r *eventRun) restart() {
	w := r.world
	i := w.instances[1]
	before := i.meter.costs
	started := w.now
	var ready time.Duration
	var own costs
	w.Restart(1, func() {
		ready, own = w.now.Sub(started), i.meter.since(before)
	})
	p := w.measure(restartWindow)
	values := r.excess(p)
	values["replaced_after_ms"] = float64(ready.Milliseconds())
	values["own_bytes"] = float64(own.total().bytes())
	values["own_configuration_bytes"] = float64(own[node.WorkPlatform].bytes() + own[node.WorkConfiguration].bytes())
	values["own_processor_us"] = float64(own.total().processor.Microseconds())
	values["own_platform_calls"] = float64(own.total().calls)
	r.slopes.print("event", "restart", r.size, values)
}

func (w *World) births() uint64 {
	sum := uint64(0)
	for _, i := range w.instances {
		if c, ok := i.core.(meteredCore); ok {
			sum += c.TrackerStats().NewFlows
		}
	}
	return sum
}

func (w *World) writes() uint64 {
	sum := uint64(0)
	for _, c := range w.snapshotCosts() {
		sum += c[node.WorkTables].calls + c[node.WorkLease].calls
	}
	return sum
}

// whenKnown watches one instance per failure domain and tells when each of
// them knows that all members have the present revision in force.
func (w *World) whenKnown() func() time.Time {
	revision := w.store.Revision()
	var at time.Time
	var look func()
	look = func() {
		for _, i := range w.instances[:min(slopeDomains, len(w.instances))] {
			c, ok := i.core.(meteredCore)
			if !ok || c.LowestRevision() < revision {
				w.after(100*time.Millisecond, look)
				return
			}
		}
		at = w.now
	}
	w.after(100*time.Millisecond, look)
	return func() time.Time { return at }
}
