package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// suspectAfter is the number of signs of silence in a row from which an
	// upstream is avoided before a probe has decided. One may be a lost packet.
	suspectAfter = 2
	// suspectFor is how long it is avoided at first; it doubles with every
	// further sign up to suspectMax, about the time in which the store removes
	// the entry of an upstream that has crashed.
	suspectFor = time.Second
	suspectMax = 4 * time.Second
	// answerWindow is how recent an answer contradicts a sign of silence: a
	// caller sends again 200 ms after the packet that got none.
	answerWindow = 200 * time.Millisecond
	// coldWindow is the span over which the limit of a cold upstream counts.
	coldWindow = time.Second
)

// evidence is a sign that an upstream is silent.
type evidence int

const (
	// evidenceOpen: no packet followed an opening packet.
	evidenceOpen evidence = iota
	// evidenceStall: a caller sent data again.
	evidenceStall
	// evidenceRemoved: the store no longer lists the upstream.
	evidenceRemoved
	// evidenceSilent: the last probe failed.
	evidenceSilent
	// evidenceDomain: another upstream of the failure domain has failed.
	evidenceDomain
	// evidenceRetry: the caller opens another flow although the last one was
	// not answered.
	evidenceRetry
	// evidenceReport: another instance's probe failed.
	evidenceReport
)

func (e evidence) String() string {
	return [...]string{"open_unanswered", "data_repeated", "entry_removed", "probe_failed", "domain_failed", "caller_retried", "reported"}[e]
}

// upstreamStats is what an engine has seen of one upstream.
type upstreamStats struct {
	flows        int
	signs        int
	suspectUntil time.Time
	// answered is when a packet last showed that the upstream answers.
	answered time.Time
	probe    probeState
	cold     coldLimiter
}

// suspect tells whether new flows avoid the upstream.
func (s *upstreamStats) suspect(now time.Time) bool {
	return now.Before(s.suspectUntil) || s.probe.failed()
}

// progressed records that the upstream answers.
func (s *upstreamStats) progressed(now time.Time) {
	s.answered = now
	s.signs = 0
	s.suspectUntil = time.Time{}
	s.probe.answered()
}

func (e *Engine) statsOf(cookie flowcookie.Cookie) *upstreamStats {
	stats := e.stats[cookie]
	if stats == nil {
		stats = &upstreamStats{}
		e.stats[cookie] = stats
	}
	return stats
}

// suspect takes in a sign that an upstream is silent, unless another flow shows
// that it answers, and asks for a probe.
func (e *Engine) suspect(now time.Time, cookie flowcookie.Cookie, sign evidence) {
	stats := e.statsOf(cookie)
	if now.Sub(stats.answered) < answerWindow {
		return
	}
	stats.signs++
	if over := stats.signs - suspectAfter; over >= 0 {
		stats.suspectUntil = now.Add(min(suspectFor<<min(over, 4), suspectMax))
	}
	e.wantProbe(now, cookie, sign)
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
