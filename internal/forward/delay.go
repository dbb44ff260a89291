package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// fastShare and baseShare are the weights of a new sample in the smoothed response
	// time of an upstream (averaging about 5 answers) and of its service (about 200
	// answers).
	fastShare = 0.2
	baseShare = 0.005
	// minSamples is the number of samples from which a smoothed response time is used.
	minSamples = 5
	// An upstream is slow when its response time exceeds slowFactor times that of its
	// service, and exceeds it by more than slowExcess. A factor of 3 corresponds to
	// three times as many requests, queued and running, as the upstream runs at once.
	// The excess leaves out services that answer in a few milliseconds.
	slowFactor = 3
	slowExcess = 40 * time.Millisecond
	// slowFor is how long a slow upstream receives no new flows while others can take
	// them. The answers on its existing flows show when it has recovered.
	slowFor = time.Second
)

// responseTime is an exponentially smoothed response time.
type responseTime struct {
	mean    time.Duration
	samples int
}

// add updates the mean with a sample of the given weight.
func (d *responseTime) add(sample time.Duration, share float64) {
	d.samples++
	// The first samples have equal weights.
	share = max(share, 1/float64(d.samples))
	d.mean += time.Duration(share * float64(sample-d.mean))
}

// recordResponseTime records the time from a request to its answer, and marks the
// upstream as slow for slowFor when it exceeds the bounds above.
func (e *Engine) recordResponseTime(now time.Time, cookie flowcookie.Cookie, sample time.Duration) {
	entry := e.view.Resolve(cookie)
	if entry == nil {
		return
	}
	base := e.serviceResponseTimes[entry.Service]
	if base == nil {
		base = &responseTime{}
		e.serviceResponseTimes[entry.Service] = base
	}
	stats := e.statsOf(cookie)
	stats.responseTime.add(sample, fastShare)
	if base.samples >= minSamples && stats.responseTime.samples >= minSamples &&
		stats.responseTime.mean > slowFactor*base.mean && stats.responseTime.mean > base.mean+slowExcess {
		stats.slowUntil = now.Add(slowFor)
	}
	base.add(sample, baseShare)
}
