package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
