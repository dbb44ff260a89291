package measure

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/node"
)

// Times for which the costs of the one-off events are measured.
const (
	changeWindow  = 10 * time.Second
	restartWindow = 25 * time.Second
	failureWindow = 15 * time.Second
	returnWindow  = 40 * time.Second
	cutWindow     = 10 * time.Second
	healWindow    = 15 * time.Second
	coldWindow    = 10 * time.Second
	// recoveryTime is the wait between events, in which bucket transitions end.
	recoveryTime = 22 * time.Second
)

// eventRun measures one-off events in a fleet, one after the other.
type eventRun struct {
	slopes      *Slopes
	size        Size
	world       *World
	steadyCosts costWindow
}

func (r *eventRun) runEvents() {
	w := r.world
	r.measureEvent("change_drain", changeWindow, func() { r.setDraining(true) })
	r.measureEvent("change_undrain", changeWindow, func() { r.setDraining(false) })
	w.runUntil(w.virtualNow.Add(recoveryTime))
	r.measureEvent("upstream_cold", coldWindow, func() { w.upstreamServers[1].machine.Restart(w.virtualNow) })
	w.runUntil(w.virtualNow.Add(recoveryTime))
	r.measureRestart()
	w.runUntil(w.virtualNow.Add(recoveryTime))
	r.measureEvent("instance_failure", failureWindow, func() { w.KillInstance(2) })
	w.StartInstance(2)
	w.runUntil(w.virtualNow.Add(recoveryTime))
	r.measureEvent("domain_out", changeWindow, func() { w.SetDomainTakenOut(w.domainName(1), true) })
	r.measureEvent("domain_back", returnWindow, func() { w.SetDomainTakenOut(w.domainName(1), false) })
	w.runUntil(w.virtualNow.Add(recoveryTime))
	r.measureEvent("region_cut", cutWindow, func() { r.setRegionCut(true) })
	r.measureEvent("region_heal", healWindow, func() { r.setRegionCut(false) })
}

func (r *eventRun) setDraining(draining bool) {
	r.world.ChangeTeam(0, func(t *declare.Team) { t.Services[0].Upstreams[0].Draining = draining })
	declared := r.world.options.Teams[0].Services[0].Upstreams[0]
	r.world.serverByAddress[declared.Address].machine.SetDraining(r.world.virtualNow, draining)
}

// setRegionCut cuts the second half of the failure domains off from the first
// half and from the platform, or restores these directions.
func (r *eventRun) setRegionCut(cut bool) {
	w := r.world
	setDirection := w.RestoreDirection
	if cut {
		setDirection = w.CutDirection
	}
	first, second := []string{platformEndpoint}, []string(nil)
	for domain := range costRunDomains {
		if domain < costRunDomains/2 {
			first = append(first, w.domainName(domain))
		} else {
			second = append(second, w.domainName(domain))
		}
	}
	for _, a := range first {
		for _, b := range second {
			setDirection(a, b)
			setDirection(b, a)
		}
	}
}

// measureEvent runs an event, and prints what it costs beyond the steady rate
// and how long the change takes to be in force.
func (r *eventRun) measureEvent(name string, duration time.Duration, run func()) {
	w := r.world
	w.inForceDelays = nil
	newFlows, writesBefore := w.recordedNewFlows(), w.platformWrites()
	run()
	knownAt := w.trackRevisionKnown()
	window := w.measureCosts(duration)
	values := r.excessCosts(window)
	values["births_per_instance_per_second"] = float64(w.recordedNewFlows()-newFlows) / window.seconds / float64(r.size.Instances)
	values["platform_writes"] = float64(w.platformWrites() - writesBefore)
	if len(w.inForceDelays) > 0 {
		values["in_force_ms_max"] = float64(slices.Max(w.inForceDelays).Milliseconds())
		if at := knownAt(); !at.IsZero() {
			values["known_everywhere_ms"] = float64(at.Sub(window.start).Milliseconds())
		}
	}
	r.slopes.printValues("event", name, r.size, values)
}

// excessCosts returns the costs of a window beyond the steady rate, per instance.
func (r *eventRun) excessCosts(window costWindow) map[string]float64 {
	values := map[string]float64{
		"peak_bytes_per_second_mean": window.peakMean, "peak_bytes_per_second_max": window.peakMax,
	}
	var total, steadyTotal categoryCost
	busiest := time.Duration(0)
	for _, c := range window.costs {
		total.add(c.total())
		busiest = max(busiest, c.total().processorTime)
	}
	for _, c := range r.steadyCosts.costs {
		steadyTotal.add(c.total())
	}
	instanceCount, scale := float64(r.size.Instances), window.seconds/r.steadyCosts.seconds
	values["excess_bytes"] = (float64(total.bytes()) - float64(steadyTotal.bytes())*scale) / instanceCount
	values["excess_messages"] = (float64(total.sentMessages) - float64(steadyTotal.sentMessages)*scale) / instanceCount
	values["excess_processor_us"] = (float64(total.processorTime.Microseconds()) -
		float64(steadyTotal.processorTime.Microseconds())*scale) / instanceCount
	values["excess_platform_calls"] = (float64(total.platformCalls) - float64(steadyTotal.platformCalls)*scale) / instanceCount
	values["busiest_processor_us_per_second"] = float64(busiest.Microseconds()) / window.seconds
	for _, category := range []node.WorkCategory{node.WorkConfiguration, node.WorkTracking, node.WorkCredits, node.WorkMembership} {
		var bytes uint64
		for _, c := range window.costs {
			bytes += c[category].bytes()
		}
		values[category.String()+"_bytes_per_second"] = float64(bytes) / instanceCount / window.seconds
	}
	return values
}

// measureRestart measures the graceful restart of one instance.
func (r *eventRun) measureRestart() {
	w := r.world
	i := w.instances[1]
	before := i.meter.costsByCategory
	started := w.virtualNow
	var readyAfter time.Duration
	var ownCosts costsByCategory
	w.RestartInstance(1, func() {
		readyAfter, ownCosts = w.virtualNow.Sub(started), i.meter.since(before)
	})
	window := w.measureCosts(restartWindow)
	values := r.excessCosts(window)
	values["replaced_after_ms"] = float64(readyAfter.Milliseconds())
	values["own_bytes"] = float64(ownCosts.total().bytes())
	values["own_configuration_bytes"] = float64(ownCosts[node.WorkPlatform].bytes() + ownCosts[node.WorkConfiguration].bytes())
	values["own_processor_us"] = float64(ownCosts.total().processorTime.Microseconds())
	values["own_platform_calls"] = float64(ownCosts.total().platformCalls)
	r.slopes.printValues("event", "restart", r.size, values)
}

func (w *World) recordedNewFlows() uint64 {
	sum := uint64(0)
	for _, i := range w.instances {
		if c, ok := i.core.(meteredCore); ok {
			sum += c.TrackerStats().NewFlows
		}
	}
	return sum
}

func (w *World) platformWrites() uint64 {
	sum := uint64(0)
	for _, c := range w.costsByInstance() {
		sum += c[node.WorkTables].platformCalls + c[node.WorkLease].platformCalls
	}
	return sum
}

// trackRevisionKnown checks one instance per failure domain every 100 ms. The
// returned function tells when all of them knew that every member has the
// revision of now in force; it returns the zero time until then.
func (w *World) trackRevisionKnown() func() time.Time {
	revision := w.store.Revision()
	var knownAt time.Time
	var check func()
	check = func() {
		for _, i := range w.instances[:min(costRunDomains, len(w.instances))] {
			c, ok := i.core.(meteredCore)
			if !ok || c.LowestRevision() < revision {
				w.runAfter(100*time.Millisecond, check)
				return
			}
		}
		knownAt = w.virtualNow
	}
	w.runAfter(100*time.Millisecond, check)
	return func() time.Time { return knownAt }
}
