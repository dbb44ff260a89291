package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// The project's targets: the part of all requests that is served, and of those
// outside of a fault that are served within their goal.
const (
	minServed = 0.995
	minInGoal = 0.99
)

// shares returns the parts of the requests issued in a span that were served,
// and that were served within their goal.
func (w *world) shares(from, to time.Duration) (served, inGoal float64) {
	total, ok, good := 0, 0, 0
	for _, r := range w.requests {
		at := r.issued.Sub(w.begin)
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

// play runs a pattern at both sizes.
func play(t *testing.T, span time.Duration, pattern func(w *world), check func(t *testing.T, w *world)) {
	for name, s := range sizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, s)
			w.load(span)
			pattern(w)
			w.run(span + timeLimit)
			require.Zero(t, w.broken, "packets of open flows reached other upstreams")
			served, inGoal := w.shares(0, span)
			t.Logf("%d requests, served %.4f, in goal %.4f, resets %d", len(w.requests), served, inGoal, w.resets)
			check(t, w)
		})
	}
}

func requireServed(t *testing.T, w *world, span time.Duration) {
	t.Helper()
	served, _ := w.shares(0, span)
	require.GreaterOrEqual(t, served, minServed)
}

func requireInGoal(t *testing.T, w *world, from, to time.Duration) {
	t.Helper()
	_, inGoal := w.shares(from, to)
	require.GreaterOrEqual(t, inGoal, minInGoal, "from %s to %s", from, to)
}

// Pattern: calm wave. Guards against uneven load, resets and probes that harm
// without any fault.
func TestCalmWave(t *testing.T) {
	const span = 10 * time.Second
	play(t, span, func(*world) {}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, 0, span)
		require.Zero(t, w.resets)
		require.Empty(t, w.alarms)
	})
}

// Pattern: zone cut. Guards against flows that cross failure domains without
// need, and against waiting for upstreams behind the cut.
func TestZoneCut(t *testing.T) {
	const span, begin, end = 14 * time.Second, 4 * time.Second, 9 * time.Second
	play(t, span, func(w *world) {
		w.after(begin, func() { w.cut = "b" })
		w.after(end, func() { w.cut = "" })
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, begin+time.Second, span)
	})
}

// Pattern: release. Upstreams are replaced one after the other and new ones
// start cold. Guards against new flows to draining or cold upstreams, and
// against established flows that are cut.
func TestRelease(t *testing.T) {
	play(t, releaseSpan, release, func(t *testing.T, w *world) {
		requireServed(t, w, releaseSpan)
		requireInGoal(t, w, 0, releaseSpan)
		require.Zero(t, w.resets)
		require.Empty(t, w.overloadedCold())
		require.Empty(t, w.usedAfterDraining())
	})
}

const (
	releaseSpan = 14 * time.Second
	// drainBound is how long after its report a leaving upstream may get new
	// flows: the users' bound.
	drainBound = 3 * time.Second
)

// release replaces a third of the upstreams one after the other.
func release(w *world) {
	w.closing = 0.2
	for n := range len(w.upstreams) / 3 {
		u := w.upstreams[n]
		w.after(time.Duration(3000+n*6000/len(w.upstreams))*time.Millisecond, func() {
			fresh := w.addUpstream(u.FailureDomain, 2*time.Second)
			w.after(2*time.Second, func() { fresh.ColdFor = 0; w.write(fresh, false); w.publish() })
			u.Draining, u.drained = true, w.now
			w.write(u, false)
			w.publish()
		})
	}
}

// overloadedCold returns the upstreams that got more opens in any second of
// their cold start than they sustain.
func (w *world) overloadedCold() (overloaded []string) {
	limit := int(coldRate*coldFactor + coldSlack)
	for _, u := range w.upstreams {
		start := time.UnixMilli(u.Born)
		for i := range u.opens {
			if i >= limit && u.opens[i].Before(start.Add(2*time.Second)) && u.opens[i].Sub(u.opens[i-limit]) < time.Second && u.Born > w.begin.UnixMilli()+1000 {
				overloaded = append(overloaded, u.ID)
			}
		}
	}
	return overloaded
}

// usedAfterDraining returns the upstreams that got flows too long after they
// reported that they leave.
func (w *world) usedAfterDraining() (used []string) {
	for _, u := range w.upstreams {
		for _, at := range u.opens {
			if u.Draining && at.Sub(u.drained) > drainBound {
				used = append(used, u.ID)
			}
		}
	}
	return used
}

// Pattern: whole service cold. All upstreams are replaced by cold ones at one
// moment. Guards against instances that overload them together, and against a
// service that does not come back.
func TestWholeServiceCold(t *testing.T) {
	play(t, coldSpan, replaceByCold, func(t *testing.T, w *world) {
		require.Empty(t, w.overloadedCold())
		requireInGoal(t, w, coldCrash+5*time.Second, coldSpan)
	})
}

// Times of the pattern.
const coldSpan, coldCrash = 14 * time.Second, 4 * time.Second

func replaceByCold(w *world) {
	w.after(coldCrash, func() {
		for _, u := range append([]*upstream(nil), w.upstreams...) {
			u.ended = true
			w.write(u, true)
			fresh := w.addUpstream(u.FailureDomain, 2*time.Second)
			w.after(2*time.Second, func() { fresh.ColdFor = 0; w.write(fresh, false); w.publish() })
		}
		w.publish()
	})
}

// Pattern: mass restart. All instances are killed at once and know nothing
// afterwards. Guards against flows that move or are reset because nobody
// remembers them.
func TestMassRestart(t *testing.T) {
	const span, kill, down = 12 * time.Second, 5 * time.Second, 600 * time.Millisecond
	play(t, span, func(w *world) {
		w.after(kill, func() {
			for _, i := range w.instances {
				i.kill(down)
			}
		})
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, kill+3*time.Second, span)
		require.Zero(t, w.resets)
	})
}

// Pattern: storm of changes. Entries change every 20 ms. Guards against a
// choice that depends on the change instead of the load.
func TestStormOfChanges(t *testing.T) {
	const span = 8 * time.Second
	play(t, span, func(w *world) {
		for n := range 300 {
			w.after(time.Second+time.Duration(n)*20*time.Millisecond, func() {
				u := w.upstreams[n%len(w.upstreams)]
				u.Draining = !u.Draining && n%3 == 0
				w.write(u, false)
				w.store.Apply(w.now, catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: w.revision})
				w.publish()
			})
		}
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, 0, span)
		require.Zero(t, w.resets)
	})
}

// Shows that the checks find a policy without probes: callers of silent
// upstreams wait for their time limit.
func TestChecksRejectAPolicyWithoutProbes(t *testing.T) {
	const span, crash = 12 * time.Second, 5 * time.Second
	w := newWorld(1, sizes["9 instances"])
	w.blind = true
	w.load(span)
	w.after(crash, func() {
		for n := 0; n < len(w.upstreams); n += 7 {
			w.upstreams[n].silent = true
		}
	})
	w.run(span + timeLimit)
	served, _ := w.shares(0, span)
	require.Less(t, served, minServed)
}
