package evidence

import (
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// upstreamSampleWeight and serviceSampleWeight are the weights of a new sample in
	// the smoothed response time of an upstream (averaging about 5 answers) and of its
	// service (about 200 answers).
	upstreamSampleWeight = 0.2
	serviceSampleWeight  = 0.005
	// minSamples is the number of samples from which a smoothed response time is used.
	minSamples = 5
	// An upstream is slow when its smoothed response time exceeds slowFactor times that
	// of its service, and exceeds it by more than slowExcess. At a factor of 3, an
	// upstream has about three times as many requests, queued and running together, as
	// it runs at once.
	// The excess leaves out services that answer in a few milliseconds.
	slowFactor = 3
	slowExcess = 40 * time.Millisecond
	// SlowFor is how long a slow upstream receives no new flows while others can take
	// them. The answers on its existing flows show when it has recovered.
	SlowFor = time.Second
)

// responseTime is an exponentially smoothed response time.
type responseTime struct {
	mean    time.Duration
	samples int
}

// add updates the mean with a sample of the given weight.
func (d *responseTime) add(sample time.Duration, weight float64) {
	d.samples++
	// The first samples have equal weights.
	weight = max(weight, 1/float64(d.samples))
	d.mean += time.Duration(weight * float64(sample-d.mean))
}

// RecordResponseTime records the time from a request to its answer, and marks the
// upstream as slow for SlowFor when its smoothed response time exceeds slowFactor and
// slowExcess.
func (t *Tracker) RecordResponseTime(now time.Time, cookie flowcookie.Cookie, sample time.Duration) {
	entry := t.snapshot.Resolve(cookie)
	if entry == nil {
		return
	}
	serviceTime := t.serviceResponseTimes[entry.Service]
	if serviceTime == nil {
		serviceTime = &responseTime{}
		t.serviceResponseTimes[entry.Service] = serviceTime
	}
	state := t.stateOf(cookie)
	state.responseTime.add(sample, upstreamSampleWeight)
	if serviceTime.samples >= minSamples && state.responseTime.samples >= minSamples &&
		state.responseTime.mean > slowFactor*serviceTime.mean && state.responseTime.mean > serviceTime.mean+slowExcess {
		state.slowUntil = now.Add(SlowFor)
	}
	serviceTime.add(sample, serviceSampleWeight)
}

// ResponseTime returns the smoothed response time of an upstream and the number of its
// samples.
func (t *Tracker) ResponseTime(cookie flowcookie.Cookie) (mean time.Duration, samples int) {
	state := t.stateOf(cookie)
	return state.responseTime.mean, state.responseTime.samples
}
