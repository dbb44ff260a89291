package loadsim

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
