package forward

import (
	"time"

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
	// trialInterval is the time between two flows that test an upstream: the
	// caller of one waits 200 ms for its next copy.
	trialInterval = time.Second
	// coldWindow is the span over which the limit of a cold upstream counts.
	coldWindow = time.Second
	// coldMargin leaves room for packets that were delayed on the way, so that
	// more arrive in a second than were sent in one.
	coldMargin = 0.8
	// minSharers is the least number of instances that a cold upstream's limit
	// is shared by: an instance that has just started does not know the others.
	minSharers = 4
)

// Sign is a reason to think that an upstream is silent.
type Sign int

const (
	// SignOpen: no packet followed an opening packet.
	SignOpen Sign = iota
	// SignStall: a caller sent data again.
	SignStall
	// SignRemoved: the store no longer lists the upstream.
	SignRemoved
	// SignSilent: the last probe failed.
	SignSilent
	// SignDomain: another upstream of the failure domain has failed.
	SignDomain
	// SignRetry: the caller opens another flow although the last one was
	// not answered.
	SignRetry
	// SignReport: another instance's probe failed or got no answer at once.
	SignReport
	// SignUnanswered: a request got no answer for long, and neither did any
	// other of the upstream since.
	SignUnanswered
	// SignControl: not a sign; the probe shows whether this instance reaches
	// anything while others have no answer.
	SignControl
)

func (s Sign) String() string {
	return [...]string{"open_unanswered", "data_repeated", "entry_removed", "probe_failed", "domain_failed", "caller_retried", "reported", "request_unanswered", "control"}[s]
}

// upstreamStats is what an engine has seen of one upstream.
type upstreamStats struct {
	flows        int
	signs        int
	suspectUntil time.Time
	// trial is set while only single flows test whether the upstream answers:
	// after a failed probe or repeated signs, until a packet shows that it does.
	// A successful probe does not end it, because another upstream may have the
	// address.
	trial     bool
	nextTrial time.Time
	// answered is when a packet last showed that the upstream answers.
	answered time.Time
	// asked is when the first request since then was sent; zero when none was.
	asked time.Time
	probe probeState
	cold  coldLimiter
	// delay is the time to an answer, and slowUntil the end of the time in which
	// the upstream counts as slow.
	delay     delay
	slowUntil time.Time
	// lost are requests without an answer, and failingUntil the end of the time
	// in which the upstream counts as failing.
	lost         losses
	failingUntil time.Time
}

// suspect tells whether new flows avoid the upstream.
func (s *upstreamStats) suspect(now time.Time) bool {
	return now.Before(s.suspectUntil) || s.probe.failed() || s.probe.late || (s.trial && now.Before(s.nextTrial))
}

// chosen records that the upstream gets a new flow.
func (s *upstreamStats) chosen(now time.Time) {
	s.flows++
	if s.trial {
		s.nextTrial = now.Add(trialInterval)
	}
}

// progressed records that the upstream answers.
func (s *upstreamStats) progressed(now time.Time) {
	s.answered = now
	s.signs, s.trial = 0, false
	s.suspectUntil, s.asked = time.Time{}, time.Time{}
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
func (e *Engine) suspect(now time.Time, cookie flowcookie.Cookie, sign Sign) {
	stats := e.statsOf(cookie)
	if now.Sub(stats.answered) < answerWindow {
		return
	}
	stats.signs++
	if over := stats.signs - suspectAfter; over >= 0 {
		stats.trial = true
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

// Sharing says how this instance shares work with the others of its failure
// domain.
type Sharing struct {
	// Rank is this instance's place among them, from 0.
	Rank int
	// Count is the number of instances.
	Count int
}

// coldBudget is the number of flows that an instance may send to one cold
// upstream of its failure domain in a window. Over all instances of the domain
// it stays within what the upstream sustains; when that is less than one flow
// per instance, the first ones share it.
func coldBudget(rate, factor, slack float64, sharing Sharing) int {
	total := int((rate*factor + slack) * coldMargin)
	senders := min(max(sharing.Count, minSharers), total)
	if senders == 0 || sharing.Rank >= senders {
		return 0
	}
	return total / senders
}
