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
	runPattern(t, span, func(sim *simulation) {
		sim.after(crash, func() {
			for n := 0; n < len(sim.upstreams); n += 7 {
				u := sim.upstreams[n]
				u.silent = true
				sim.after(2300*time.Millisecond, func() { sim.write(u, true); sim.publish() })
			}
		})
	}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, crash+time.Second, span)
	})
}

// maxDetection is the maximum time after a crash for which packets may go to the
// upstream: twice the time after which a caller retransmits data. Until then, requests
// that must not be repeated are lost.
const maxDetection = 400 * time.Millisecond

// Guards against instances that detect crashed upstreams one upstream or one instance
// at a time: three quarters of the upstreams of a failure domain stop answering at once.
func TestAllInstancesDetectACrashSoon(t *testing.T) {
	runPattern(t, crashSpan, crashDomain, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, crashSpan)
		last := sim.lastLost()
		t.Logf("%d packets to silent upstreams, the last %s after the crash, %d contradictions", len(sim.lost), last, sim.contradictions)
		require.LessOrEqual(t, last, maxDetection)
	})
}

// Simulated duration, and the time of the crash since the start.
const crashSpan, crashTime = 8 * time.Second, 5 * time.Second

// crashDomain makes three quarters of the upstreams of one failure domain silent.
func crashDomain(sim *simulation) {
	sim.after(crashTime, func() {
		for n := 0; n < 3*len(sim.upstreams)/4; n += len(domains) {
			sim.upstreams[n].silent = true
		}
	})
}

// lastLost returns the time from the crash to the last packet of an established
// flow that went to a silent upstream.
func (sim *simulation) lastLost() time.Duration {
	if len(sim.lost) == 0 {
		return 0
	}
	return sim.lost[len(sim.lost)-1].Sub(sim.begin) - crashTime
}

// Guards against flows that no instance remembers after a rolling restart: when an
// upstream in each failure domain then stops answering, their callers notice the crash
// only when the next request is lost.
func TestRollingRestartThenCrash(t *testing.T) {
	t.Parallel()
	lateResets := func(withoutHandover bool, s size) int {
		const restartBegin, restartSpan, crash, span = 3 * time.Second, 6 * time.Second, 12 * time.Second, 20 * time.Second
		s.callers = 12
		sim := newSimulation(1, s)
		sim.withoutHandover = withoutHandover
		sim.load(span)
		for _, i := range sim.instances {
			sim.after(restartBegin+restartSpan*time.Duration(i.rank)/time.Duration(i.count), i.restart)
		}
		sim.after(crash, func() {
			for _, u := range sim.upstreams[:len(domains)] {
				u.silent = true
			}
		})
		sim.run(span + requestTimeout)
		require.Zero(t, sim.broken)
		late := 0
		for _, at := range sim.late {
			if at.Sub(sim.begin) > crash+maxDetection {
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
	runPattern(t, span, func(sim *simulation) {
		sim.after(crash, func() {
			for n := 0; n < len(sim.upstreams); n += 5 {
				u := sim.upstreams[n]
				u.ended = true
				sim.after(2300*time.Millisecond, func() { sim.write(u, true); sim.publish() })
			}
		})
	}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, crash+time.Second, span)
	})
}

// Guards against a check of crash detection that passes when instances do not report
// silent upstreams to their peers.
func TestChecksRejectInstancesThatDoNotReport(t *testing.T) {
	sim := newSimulation(1, sizes["70 instances"])
	sim.withoutReports = true
	sim.load(crashSpan)
	crashDomain(sim)
	sim.run(crashSpan + requestTimeout)
	require.Greater(t, sim.lastLost(), maxDetection)
}
