package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against slow detection of crashed upstreams, for which callers wait until their
// request timeout: a seventh of the upstreams stop answering, and one second later the
// others must serve all requests.
func TestUpstreamsSilent(t *testing.T) {
	const span, crash = 12 * time.Second, 5 * time.Second
	runPattern(t, span, func(w *world) {
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

// maxDetection is the maximum time after a crash for which packets may go to the
// upstream: twice the time after which a caller retransmits data. Until then, requests
// that must not be repeated are lost.
const maxDetection = 400 * time.Millisecond

// Guards against instances that detect crashed upstreams one upstream or one instance
// at a time: three quarters of the upstreams of a failure domain stop answering at once.
func TestAllInstancesDetectACrashSoon(t *testing.T) {
	runPattern(t, crashSpan, crashDomain, func(t *testing.T, w *world) {
		requireServed(t, w, crashSpan)
		last := w.lastLost()
		t.Logf("%d packets to silent upstreams, the last %s after the crash", len(w.lost), last)
		require.LessOrEqual(t, last, maxDetection)
	})
}

// Simulated duration, and the time of the crash since the start.
const crashSpan, crashTime = 8 * time.Second, 5 * time.Second

// crashDomain makes three quarters of the upstreams of one failure domain silent.
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

// Guards against flows that no instance remembers after a rolling restart: when an
// upstream in each failure domain then stops answering, their callers notice the crash
// only when the next request is lost.
func TestRollingRestartThenCrash(t *testing.T) {
	t.Parallel()
	lateResets := func(withoutHandover bool, s size) int {
		const restartBegin, restartSpan, crash, span = 3 * time.Second, 6 * time.Second, 12 * time.Second, 20 * time.Second
		s.callers = 12
		w := newWorld(1, s)
		w.withoutHandover = withoutHandover
		w.load(span)
		for _, i := range w.instances {
			w.after(restartBegin+restartSpan*time.Duration(i.rank)/time.Duration(i.count), i.restart)
		}
		w.after(crash, func() {
			for _, u := range w.upstreams[:len(domains)] {
				u.silent = true
			}
		})
		w.run(span + requestTimeout)
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
		without, with := lateResets(true, s), lateResets(false, s)
		t.Logf("%s: %d requests reset late without handover, %d with handover", name, without, with)
		require.NotZero(t, without)
		require.LessOrEqual(t, with, without/5, name)
	}
}

// Guards against retries that all go to a terminated upstream: a fifth of the upstreams
// terminate at once, and their hosts refuse connections.
func TestUpstreamsRefuseConnections(t *testing.T) {
	const span, crash = 12 * time.Second, 5 * time.Second
	runPattern(t, span, func(w *world) {
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

// Guards against a check of crash detection that passes when instances do not report
// silent upstreams to their peers.
func TestChecksRejectInstancesThatDoNotReport(t *testing.T) {
	w := newWorld(1, sizes["70 instances"])
	w.withoutReports = true
	w.load(crashSpan)
	crashDomain(w)
	w.run(crashSpan + requestTimeout)
	require.Greater(t, w.lastLost(), maxDetection)
}
