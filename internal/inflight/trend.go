package inflight

import (
	"slices"
	"time"
)

const (
	// trendSpan is the time over which the change of an occupancy is taken, trendAhead that
	// by which it is extrapolated: the time until the next report shows what is sent now.
	trendSpan  = 500 * time.Millisecond
	trendAhead = 250 * time.Millisecond
	// trendStep is the least time between two samples of a Trend.
	trendStep = 50 * time.Millisecond
)

// Trend holds the values of an occupancy in the last trendSpan. The zero value has none.
type Trend struct {
	samples []trendSample
}

type trendSample struct {
	at    time.Time
	value float64
}

// Add records a value.
func (t *Trend) Add(now time.Time, value float64) {
	if n := len(t.samples); n > 0 && now.Sub(t.samples[n-1].at) < trendStep {
		return
	}
	// One sample that is older than trendSpan is kept: the change is taken from it.
	for len(t.samples) > 1 && now.Sub(t.samples[1].at) >= trendSpan {
		t.samples = t.samples[1:]
	}
	t.samples = append(t.samples, trendSample{now, value})
}

// Copy returns a copy that may be changed.
func (t *Trend) Copy() *Trend { return &Trend{samples: slices.Clone(t.samples)} }

// Extrapolate returns what a value is expected to be after trendAhead. Without a sample of
// trendSpan ago it is the value itself.
func (t *Trend) Extrapolate(now time.Time, value float64) float64 {
	if len(t.samples) == 0 {
		return value
	}
	oldest := t.samples[0]
	if age := now.Sub(oldest.at); age >= trendSpan && age < 2*trendSpan {
		value += (value - oldest.value) * float64(trendAhead) / float64(age)
	}
	return max(value, 0)
}
