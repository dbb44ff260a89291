package loadsim

import (
	"slices"
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

// Pattern: upstreams silent. A seventh of them crash without a word. Guards
// against callers that wait for their time limit, and against slow detection:
// a second later the others take everything.
func TestUpstreamsSilent(t *testing.T) {
	const span, crash = 12 * time.Second, 5 * time.Second
	play(t, span, func(w *world) {
		w.after(crash, func() {
			for n := 0; n < len(w.upstreams); n += 7 {
				u := w.upstreams[n]
				u.silent = true
				w.after(2300*time.Millisecond, func() { w.write(u, true); w.publish() })
			}
		})
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, crash+time.Second, span)
	})
}

// maxDetection is how long after a crash packets may go to the upstream: twice
// the time after which a caller sends data again. Until then requests that must
// not be repeated are lost.
const maxDetection = 400 * time.Millisecond

// Pattern: most upstreams of a failure domain silent at once. Guards against
// instances that learn one upstream, or one instance, at a time that they
// crashed.
func TestCrashIsKnownToAllInstancesSoon(t *testing.T) {
	play(t, crashSpan, crashDomain, func(t *testing.T, w *world) {
		requireServed(t, w, crashSpan)
		last := w.lastLost()
		t.Logf("%d packets to silent upstreams, the last %s after the crash", len(w.lost), last)
		require.LessOrEqual(t, last, maxDetection)
	})
}

// Times of the pattern.
const crashSpan, crashTime = 8 * time.Second, 5 * time.Second

// crashDomain silences three quarters of the upstreams of one failure domain.
func crashDomain(w *world) {
	w.after(crashTime, func() {
		for n := 0; n < 3*len(w.upstreams)/4; n += len(domains) {
			w.upstreams[n].silent = true
		}
	})
}

// lastLost returns the time from the crash to the last packet of an established
// flow that went to a silent upstream.
func (w *world) lastLost() time.Duration {
	if len(w.lost) == 0 {
		return 0
	}
	return w.lost[len(w.lost)-1].Sub(w.begin) - crashTime
}

// Pattern: rolling restart of all instances, then an upstream silent in each
// failure domain. Guards against flows that nobody remembers after a restart:
// their callers learn of the crash only when the next request is lost.
func TestRollingRestartThenCrash(t *testing.T) {
	t.Parallel()
	lost := func(forgetful bool, s size) int {
		const restarts, turns, crash, span = 3 * time.Second, 6 * time.Second, 12 * time.Second, 20 * time.Second
		s.callers = 12
		w := newWorld(1, s)
		w.forgetful = forgetful
		w.load(span)
		for _, i := range w.instances {
			w.after(restarts+turns*time.Duration(i.rank)/time.Duration(i.count), i.restart)
		}
		w.after(crash, func() {
			for _, u := range w.upstreams[:len(domains)] {
				u.silent = true
			}
		})
		w.run(span + timeLimit)
		require.Zero(t, w.broken)
		late := 0
		for _, at := range w.late {
			if at.Sub(w.begin) > crash+maxDetection {
				late++
			}
		}
		return late
	}
	for name, s := range sizes {
		without, with := lost(true, s), lost(false, s)
		t.Logf("%s: %d requests lost on forgotten flows, %d with handover", name, without, with)
		require.NotZero(t, without)
		require.LessOrEqual(t, with, without/5, name)
	}
}

// Pattern: upstreams that accept flows and reset a part of their requests, with
// a good health answer. Guards against new flows to them while others of the
// service answer, and against instances that keep what they see to themselves:
// at 70 instances each sees one request a second of an upstream.
func TestFailingUpstreams(t *testing.T) {
	play(t, failingSpan, failUpstreams, func(t *testing.T, w *world) {
		requireServed(t, w, failingSpan)
		early, late := w.failureRates()
		wrong := 0
		for _, u := range w.alarms {
			if slices.Index(w.upstreams, u)%everyFailing != 0 {
				wrong++
			}
		}
		t.Logf("%.1f failed requests a second at first, %.1f after 3 s, %d alarms, %d of them false", early, late, len(w.alarms), wrong)
		require.Less(t, late, early*maxFailingRate)
		require.Zero(t, wrong)
	})
}

// Times of the pattern, the place of a failing upstream among others, and the
// part of the first rate of failed requests that may remain.
const (
	failingSpan    = 16 * time.Second
	failingBegin   = 4 * time.Second
	failingSettled = failingBegin + 3*time.Second
	failingEnd     = 14 * time.Second
	everyFailing   = 7
	maxFailingRate = 0.5
)

func failUpstreams(w *world) {
	set := func(share float64) func() {
		return func() {
			for n := 0; n < len(w.upstreams); n += everyFailing {
				w.upstreams[n].failing = share
			}
		}
	}
	w.after(failingBegin, set(0.45))
	w.after(failingEnd, set(0))
}

// failureRates returns the failed requests a second before and after failing
// upstreams must be known.
func (w *world) failureRates() (early, late float64) {
	for _, at := range w.failures {
		if at.Sub(w.begin) < failingSettled {
			early++
		} else {
			late++
		}
	}
	return early / (failingSettled - failingBegin).Seconds(), late / (failingEnd - failingSettled).Seconds()
}

// Pattern: upstreams end at once and their machines refuse. Guards against
// retries that all go to the upstream that has just ended.
func TestUpstreamsRefuse(t *testing.T) {
	const span, crash = 12 * time.Second, 5 * time.Second
	play(t, span, func(w *world) {
		w.after(crash, func() {
			for n := 0; n < len(w.upstreams); n += 5 {
				u := w.upstreams[n]
				u.ended = true
				w.after(2300*time.Millisecond, func() { w.write(u, true); w.publish() })
			}
		})
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, crash+time.Second, span)
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
	const span = 14 * time.Second
	play(t, span, func(w *world) {
		for n := range len(w.upstreams) / 3 {
			u := w.upstreams[n]
			w.after(time.Duration(3000+n*6000/len(w.upstreams))*time.Millisecond, func() {
				fresh := w.addUpstream(u.FailureDomain, 2*time.Second)
				w.after(2*time.Second, func() { fresh.ColdFor = 0; w.write(fresh, false); w.publish() })
				u.Draining = true
				w.write(u, false)
				w.publish()
			})
		}
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, 0, span)
		require.Zero(t, w.resets)
		requireColdLimit(t, w)
	})
}

// requireColdLimit checks the opens of each upstream in any second of its cold
// start.
func requireColdLimit(t *testing.T, w *world) {
	t.Helper()
	limit := int(coldRate*coldFactor + coldSlack)
	for _, u := range w.upstreams {
		start := time.UnixMilli(u.Born)
		for i := range u.opens {
			if i >= limit && u.opens[i].Before(start.Add(2*time.Second)) && u.opens[i].Sub(u.opens[i-limit]) < time.Second && u.Born > w.begin.UnixMilli()+1000 {
				t.Fatalf("cold upstream %s got more than %d opens in a second", u.ID, limit)
			}
		}
	}
}

// Pattern: whole service cold. All upstreams are replaced by cold ones at one
// moment. Guards against instances that overload them together, and against a
// service that does not come back.
func TestWholeServiceCold(t *testing.T) {
	const span, crash = 14 * time.Second, 4 * time.Second
	play(t, span, func(w *world) {
		w.after(crash, func() {
			for _, u := range append([]*upstream(nil), w.upstreams...) {
				u.ended = true
				w.write(u, true)
				fresh := w.addUpstream(u.FailureDomain, 2*time.Second)
				w.after(2*time.Second, func() { fresh.ColdFor = 0; w.write(fresh, false); w.publish() })
			}
			w.publish()
		})
	}, func(t *testing.T, w *world) {
		requireColdLimit(t, w)
		requireInGoal(t, w, crash+5*time.Second, span)
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

// Pattern: slow upstreams. A seventh of them take eight times as long. Guards
// against new flows that queue behind them.
func TestSlowUpstreams(t *testing.T) {
	const span, begin, end = 14 * time.Second, 4 * time.Second, 9 * time.Second
	play(t, span, func(w *world) {
		for n := 0; n < len(w.upstreams); n += 7 {
			w.after(begin, func() { w.upstreams[n].factor = 8 })
			w.after(end, func() { w.upstreams[n].factor = 1 })
		}
	}, func(t *testing.T, w *world) {
		requireServed(t, w, span)
		requireInGoal(t, w, end+time.Second, span)
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

// Shows that the check of a crash tells instances that act together from ones
// that keep to themselves which upstreams are silent.
func TestChecksRejectInstancesThatKeepToThemselves(t *testing.T) {
	w := newWorld(1, sizes["70 instances"])
	w.unaware = true
	w.load(crashSpan)
	crashDomain(w)
	w.run(crashSpan + timeLimit)
	require.Greater(t, w.lastLost(), maxDetection)
}
