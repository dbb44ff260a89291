package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// suspectAfter is the number of opens in a row without a packet that
	// follows from which an upstream is avoided. One may be a lost packet.
	suspectAfter = 2
	// suspectFor is how long it is avoided at first; it doubles with every
	// further miss up to suspectMax, about the time in which the store removes
	// the entry of an upstream that has crashed.
	suspectFor = time.Second
	suspectMax = 4 * time.Second
	// coldWindow is the span over which the limit of a cold upstream counts.
	coldWindow = time.Second
)

// upstreamStats is what an engine has seen of one upstream.
type upstreamStats struct {
	flows        int
	misses       int
	suspectUntil time.Time
	cold         coldLimiter
}

func (s *upstreamStats) suspect(now time.Time) bool { return now.Before(s.suspectUntil) }

func (s *upstreamStats) answered() {
	s.misses = 0
	s.suspectUntil = time.Time{}
}

func (e *Engine) statsOf(cookie flowcookie.Cookie) *upstreamStats {
	stats := e.stats[cookie]
	if stats == nil {
		stats = &upstreamStats{}
		e.stats[cookie] = stats
	}
	return stats
}

// missed records that the caller of a flow got no answer from the upstream that
// the last copy of the opening packet went to.
func (e *Engine) missed(now time.Time, record *flowRecord) {
	if record.attempts == 0 {
		return
	}
	stats := e.statsOf(record.targets[record.attempts-1])
	stats.misses++
	if over := stats.misses - suspectAfter; over >= 0 {
		stats.suspectUntil = now.Add(min(suspectFor<<min(over, 4), suspectMax))
	}
}

// coldLimiter bounds the flows that one instance sends to a cold upstream in
// any window.
type coldLimiter struct{ sent []time.Time }

func (l *coldLimiter) allows(now time.Time, budget int) bool {
	for len(l.sent) > 0 && now.Sub(l.sent[0]) > coldWindow {
		l.sent = l.sent[1:]
	}
	return len(l.sent) < budget
}

func (l *coldLimiter) take(now time.Time) { l.sent = append(l.sent, now) }

// coldBudget is the number of flows that this instance may send to one cold
// upstream in a window.
func (e *Engine) coldBudget(service *catalog.ServiceView) int {
	return 1
}
