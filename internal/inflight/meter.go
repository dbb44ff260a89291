package inflight

import (
	"math/rand/v2"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Meter counts the requests in flight of one instance and their means over the time
// between two reports. It is not safe for concurrent use.
type Meter struct {
	// upstreams stores the counters. They are removed by Retain only, so that requests of
	// open flows allocate none.
	upstreams map[flowcookie.Cookie]*counted
	// since is the time of the last report; zero before the first call of Add or Take.
	since time.Time
	rng   *rand.Rand
}

// counted is the number of requests in flight at one upstream.
type counted struct {
	now int
	// sum is the integral of the number since the last report, in seconds; at is the time
	// up to which it is known.
	sum float64
	at  time.Time
}

func (c *counted) advance(now time.Time) {
	if now.After(c.at) {
		c.sum += float64(c.now) * now.Sub(c.at).Seconds()
		c.at = now
	}
}

// NewMeter returns a meter without requests. The seed is that of the rounding of reports.
func NewMeter(seed uint64) *Meter {
	return &Meter{upstreams: map[flowcookie.Cookie]*counted{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Add changes the number of requests in flight at an upstream.
func (m *Meter) Add(now time.Time, cookie flowcookie.Cookie, change int) {
	if m.since.IsZero() {
		m.since = now
	}
	c := m.upstreams[cookie]
	if c == nil {
		c = &counted{at: now}
		m.upstreams[cookie] = c
	}
	c.advance(now)
	// A counter that Retain has removed may miss the begin of a request.
	c.now = max(c.now+change, 0)
}

// Now returns the number of requests in flight at an upstream.
func (m *Meter) Now(cookie flowcookie.Cookie) int {
	if c := m.upstreams[cookie]; c != nil {
		return c.now
	}
	return 0
}

// Take returns the report on the time since the last one. Means are rounded up or down at
// random, so that they are right on average: a request of 13 ms has a mean of 0.05 over
// 250 ms, and upstreams with a few of them would never be reported.
func (m *Meter) Take(now time.Time) Report {
	seconds := now.Sub(m.since).Seconds()
	if m.since.IsZero() || seconds <= 0 {
		m.since = now
		return Report{}
	}
	m.since = now
	totals := map[Key]int{}
	for cookie, c := range m.upstreams {
		c.advance(now)
		if units := min(int(c.sum/seconds/unit+m.rng.Float64()), maxCount); units > 0 {
			totals[KeyOf(cookie)] += units
		}
		c.sum = 0
	}
	report := make(Report, 0, len(totals))
	for key, units := range totals {
		report = append(report, Entry{key, uint8(min(units, maxCount))})
	}
	return report.largest()
}

// Retain removes the counters of upstreams that are not known.
func (m *Meter) Retain(known func(flowcookie.Cookie) bool) {
	for cookie := range m.upstreams {
		if !known(cookie) {
			delete(m.upstreams, cookie)
		}
	}
}
