package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// The project's targets: the part of all requests that must be served, and the part of
// the requests outside of a fault that must be served within their goal.
const (
	minServed = 0.995
	minInGoal = 0.99
)

// shares returns the parts of the requests issued in a span that were served,
// and that were served within their goal.
func (sim *simulation) shares(from, to time.Duration) (served, inGoal float64) {
	total, ok, good := 0, 0, 0
	for _, r := range sim.requests {
		at := r.issued.Sub(sim.begin)
		if at < from || at >= to {
			continue
		}
		total++
		if !r.failed && !r.answered.IsZero() {
			ok++
			if r.answered.Sub(r.issued) <= target {
				good++
			}
		}
	}
	return float64(ok) / float64(total), float64(good) / float64(total)
}

// runPattern simulates a load pattern at each size and checks the result.
func runPattern(t *testing.T, span time.Duration, pattern func(sim *simulation), check func(t *testing.T, sim *simulation)) {
	for name, s := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(1, s)
			sim.load(span)
			pattern(sim)
			sim.run(span + requestTimeout)
			require.Zero(t, sim.broken, "packets of open flows reached other upstreams")
			served, inGoal := sim.shares(0, span)
			t.Logf("%d requests, served %.4f, in goal %.4f, resets %d", len(sim.requests), served, inGoal, sim.resets)
			check(t, sim)
		})
	}
}

func requireServed(t *testing.T, sim *simulation, span time.Duration) {
	t.Helper()
	served, _ := sim.shares(0, span)
	require.GreaterOrEqual(t, served, minServed)
}

func requireInGoal(t *testing.T, sim *simulation, from, to time.Duration) {
	t.Helper()
	_, inGoal := sim.shares(from, to)
	require.GreaterOrEqual(t, inGoal, minInGoal, "from %s to %s", from, to)
}

// Guards against uneven load, resets and alarms during steady load without any fault.
func TestSteadyLoad(t *testing.T) {
	const span = 10 * time.Second
	runPattern(t, span, func(*simulation) {}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, 0, span)
		require.Zero(t, sim.resets)
		require.Empty(t, sim.alarms)
	})
}

// Guards against callers that wait for unreachable upstreams when a failure domain is cut
// off, and against flows that cross failure domains without need.
func TestFailureDomainCutOff(t *testing.T) {
	const span, begin, end = 14 * time.Second, 4 * time.Second, 9 * time.Second
	runPattern(t, span, func(sim *simulation) {
		sim.after(begin, func() { sim.cut = "b" })
		sim.after(end, func() { sim.cut = "" })
	}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, begin+time.Second, span)
	})
}

// Guards against new flows to draining upstreams, overloaded cold upstreams and resets of
// established flows: in a release, upstreams are replaced one after the other and the new
// ones start cold.
func TestRelease(t *testing.T) {
	runPattern(t, releaseSpan, release, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, releaseSpan)
		requireInGoal(t, sim, 0, releaseSpan)
		require.Zero(t, sim.resets)
		require.Empty(t, sim.overloadedCold())
		require.Empty(t, sim.usedAfterDraining())
	})
}

const (
	releaseSpan = 14 * time.Second
	// drainBound is the maximum time for which an upstream may get new flows after
	// it reported that it drains. The users set this bound.
	drainBound = 3 * time.Second
)

// release replaces a third of the upstreams one after the other.
func release(sim *simulation) {
	sim.closing = 0.2
	for n := range len(sim.upstreams) / 3 {
		u := sim.upstreams[n]
		sim.after(time.Duration(3000+n*6000/len(sim.upstreams))*time.Millisecond, func() {
			fresh := sim.addUpstream(u.FailureDomain, 2*time.Second)
			sim.after(2*time.Second, func() { fresh.ColdFor = 0; sim.write(fresh, false); sim.publish() })
			u.Draining, u.drained = true, sim.now
			sim.write(u, false)
			sim.publish()
		})
	}
}

// overloadedCold returns the upstreams that got more opens in any second of
// their cold start than they sustain.
func (sim *simulation) overloadedCold() (overloaded []string) {
	limit := int(coldRate*coldFactor + coldSlack)
	for _, u := range sim.upstreams {
		start := time.UnixMilli(u.Born)
		for i := range u.opens {
			if i >= limit && u.opens[i].Before(start.Add(2*time.Second)) && u.opens[i].Sub(u.opens[i-limit]) < time.Second && u.Born > sim.begin.UnixMilli()+1000 {
				overloaded = append(overloaded, u.ID)
			}
		}
	}
	return overloaded
}

// usedAfterDraining returns the upstreams that got new flows more than drainBound after
// they reported that they drain.
func (sim *simulation) usedAfterDraining() (used []string) {
	for _, u := range sim.upstreams {
		for _, at := range u.opens {
			if u.Draining && at.Sub(u.drained) > drainBound {
				used = append(used, u.ID)
			}
		}
	}
	return used
}

// Guards against instances that together overload cold upstreams, and against a service
// that does not recover: all upstreams are replaced by cold ones at once.
func TestWholeServiceCold(t *testing.T) {
	runPattern(t, coldSpan, replaceByCold, func(t *testing.T, sim *simulation) {
		require.Empty(t, sim.overloadedCold())
		requireInGoal(t, sim, coldCrash+5*time.Second, coldSpan)
	})
}

// Simulated duration, and the time of the replacement since the start.
const coldSpan, coldCrash = 14 * time.Second, 4 * time.Second

func replaceByCold(sim *simulation) {
	sim.after(coldCrash, func() {
		for _, u := range append([]*upstream(nil), sim.upstreams...) {
			u.ended = true
			sim.write(u, true)
			fresh := sim.addUpstream(u.FailureDomain, 2*time.Second)
			sim.after(2*time.Second, func() { fresh.ColdFor = 0; sim.write(fresh, false); sim.publish() })
		}
		sim.publish()
	})
}

// Guards against flows that move or are reset because no instance remembers them: all
// instances are killed at once and restart without state.
func TestMassRestart(t *testing.T) {
	const span, kill, down = 12 * time.Second, 5 * time.Second, 600 * time.Millisecond
	runPattern(t, span, func(sim *simulation) {
		sim.after(kill, func() {
			for _, i := range sim.instances {
				i.kill(down)
			}
		})
	}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, kill+3*time.Second, span)
		require.Zero(t, sim.resets)
	})
}

// Guards against a choice of upstreams that follows changes of entries instead of the
// load: an entry changes every 20 ms.
func TestFrequentChanges(t *testing.T) {
	const span = 8 * time.Second
	runPattern(t, span, func(sim *simulation) {
		for n := range 300 {
			sim.after(time.Second+time.Duration(n)*20*time.Millisecond, func() {
				u := sim.upstreams[n%len(sim.upstreams)]
				u.Draining = !u.Draining && n%3 == 0
				sim.write(u, false)
				sim.store.Apply(sim.now, catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: sim.revision})
				sim.publish()
			})
		}
	}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, 0, span)
		require.Zero(t, sim.resets)
	})
}

// Guards against checks that pass when instances make no probes, so that callers of
// silent upstreams wait for their request timeout.
func TestChecksRejectInstancesWithoutProbes(t *testing.T) {
	const span, crash = 12 * time.Second, 5 * time.Second
	sim := newSimulation(1, sizes["9 instances"])
	sim.withoutProbes = true
	sim.load(span)
	sim.after(crash, func() {
		for n := 0; n < len(sim.upstreams); n += 7 {
			sim.upstreams[n].silent = true
		}
	})
	sim.run(span + requestTimeout)
	served, _ := sim.shares(0, span)
	require.Less(t, served, minServed)
}
