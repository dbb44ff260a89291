package loadsim

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against new flows to upstreams that pass health checks and accept flows but
// reset part of the requests, while others of the service answer. Guards also against
// instances that do not report lost requests to their peers: with 70 instances, each
// sees one request a second of an upstream.
func TestFailingUpstreams(t *testing.T) {
	runPattern(t, failingSpan, failUpstreams, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, failingSpan)
		early, late := sim.failureRates()
		falseAlarms := 0
		for _, u := range sim.alarms {
			if slices.Index(sim.upstreams, u)%everyFailing != 0 {
				falseAlarms++
			}
		}
		t.Logf("%.1f failed requests a second at first, %.1f after 3 s, %d alarms, %d of them false", early, late, len(sim.alarms), falseAlarms)
		require.Less(t, late, early*maxFailingRate)
		require.Zero(t, falseAlarms)
	})
}

// Times of the pattern; every everyFailing-th upstream fails; maxFailingRate is the part of
// the initial rate of failed requests that may remain from failingSettled on.
const (
	failingSpan    = 16 * time.Second
	failingBegin   = 4 * time.Second
	failingSettled = failingBegin + 3*time.Second
	failingEnd     = 14 * time.Second
	everyFailing   = 7
	maxFailingRate = 0.5
)

// failUpstreams makes upstreams reset 45% of their requests from failingBegin to failingEnd.
func failUpstreams(sim *simulation) {
	set := func(share float64) func() {
		return func() {
			for n := 0; n < len(sim.upstreams); n += everyFailing {
				sim.upstreams[n].failing = share
			}
		}
	}
	sim.after(failingBegin, set(0.45))
	sim.after(failingEnd, set(0))
}

// failureRates returns the failed requests per second before and after failingSettled,
// by which instances must have detected the failing upstreams.
func (sim *simulation) failureRates() (early, late float64) {
	for _, at := range sim.failures {
		if at.Sub(sim.begin) < failingSettled {
			early++
		} else {
			late++
		}
	}
	return early / (failingSettled - failingBegin).Seconds(), late / (failingEnd - failingSettled).Seconds()
}

// Guards against new flows that queue at slow upstreams: a seventh of the upstreams take
// eight times as long.
func TestSlowUpstreams(t *testing.T) {
	const span, begin, end = 14 * time.Second, 4 * time.Second, 9 * time.Second
	runPattern(t, span, func(sim *simulation) {
		for n := 0; n < len(sim.upstreams); n += 7 {
			sim.after(begin, func() { sim.upstreams[n].factor = 8 })
			sim.after(end, func() { sim.upstreams[n].factor = 1 })
		}
	}, func(t *testing.T, sim *simulation) {
		requireServed(t, sim, span)
		requireInGoal(t, sim, end+time.Second, span)
		require.Zero(t, sim.resets)
	})
}
