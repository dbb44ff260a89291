package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// fastShare and baseShare are the weights of a new sample in the delay of an
	// upstream, over about 5 answers, and in that of its service, over about 200.
	fastShare = 0.2
	baseShare = 0.005
	// minSamples is the number of answers that a delay needs to count.
	minSamples = 5
	// slowFactor and slowExcess say from which delay, against that of the
	// service, an upstream is slow: one that queues as much as it runs three
	// times over. The excess leaves out services that answer in a few ms.
	slowFactor = 3
	slowExcess = 40 * time.Millisecond
	// slowFor is how long a slow upstream gets no new flows while others can
	// take them; flows that it has tell when it is over.
	slowFor = time.Second
)

// delay is a smoothed time to an answer.
type delay struct {
	mean    time.Duration
	samples int
}

func (d *delay) add(sample time.Duration, share float64) {
	d.samples++
	// The first answers count equally.
	share = max(share, 1/float64(d.samples))
	d.mean += time.Duration(share * float64(sample-d.mean))
}

// measure takes in the time from a request to its answer.
func (e *Engine) measure(now time.Time, cookie flowcookie.Cookie, sample time.Duration) {
	entry := e.view.Resolve(cookie)
	if entry == nil {
		return
	}
	base := e.delays[entry.Service]
	if base == nil {
		base = &delay{}
		e.delays[entry.Service] = base
	}
	stats := e.statsOf(cookie)
	stats.delay.add(sample, fastShare)
	if base.samples >= minSamples && stats.delay.samples >= minSamples &&
		stats.delay.mean > slowFactor*base.mean && stats.delay.mean > base.mean+slowExcess {
		stats.slowUntil = now.Add(slowFor)
	}
	base.add(sample, baseShare)
}
