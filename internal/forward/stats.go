package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// suspectAfter is the number of triggers (TriggerOpen, TriggerRepeat, TriggerRetry)
	// since an upstream's last answer from which new flows avoid it before a probe has a
	// result. A single trigger may be a lost packet.
	suspectAfter = 2
	// suspectFor is how long new flows avoid an upstream at first. The time doubles
	// with each further trigger, up to suspectMax, which is about the time in which the
	// store removes the entry of an upstream that has crashed.
	suspectFor = time.Second
	suspectMax = 4 * time.Second
	// answerWindow is the time within which an answer contradicts a probe trigger: a
	// caller repeats a packet 200 ms after the one that was not answered.
	answerWindow = 200 * time.Millisecond
	// trialInterval is the time between two flows that test whether an upstream
	// answers; the caller of such a flow waits 200 ms before its next copy.
	trialInterval = time.Second
	// coldWindow is the sliding window in which the opening packets to a cold upstream,
	// copies included, are counted against its limit.
	coldWindow = time.Second
	// coldMargin is the part of the limit that is used. The rest allows for packets
	// that were delayed on the way, so that more arrive in a second than were sent in
	// one.
	coldMargin = 0.8
	// minSharers is the least number of instances by which the limit of a cold upstream
	// is divided: an instance that has just started does not know the others.
	minSharers = 4
)

// ProbeTrigger is the reason for a probe: evidence that an upstream may have failed, or
// TriggerControl.
type ProbeTrigger int

const (
	// TriggerOpen: no packet followed an opening packet within openTimeout.
	TriggerOpen ProbeTrigger = iota
	// TriggerRepeat: a caller repeated data that was not acknowledged.
	TriggerRepeat
	// TriggerRemoved: the store no longer lists the upstream.
	TriggerRemoved
	// TriggerProbeFailed: the last probe failed or had no conclusive result.
	TriggerProbeFailed
	// TriggerDomain: another upstream of the failure domain has failed or its probe is
	// late.
	TriggerDomain
	// TriggerRetry: the caller opened another flow although the last one was not answered.
	TriggerRetry
	// TriggerReport: another instance reported that its probe failed or is late.
	TriggerReport
	// TriggerUnanswered: a request was unanswered for its timeout, and the upstream
	// answered no other flow in the meantime.
	TriggerUnanswered
	// TriggerControl: no evidence against the upstream; the probe shows whether this
	// instance reaches any upstream while other probes are unanswered.
	TriggerControl
)

func (t ProbeTrigger) String() string {
	return [...]string{"open_unanswered", "data_repeated", "entry_removed", "probe_failed", "domain_failed", "caller_retried", "reported", "request_unanswered", "control"}[t]
}

// upstreamState is the state that an engine keeps of one upstream.
type upstreamState struct {
	// flows is the number of flow records, unanswered opens included, that are
	// attributed to the upstream. triggers is the number of TriggerOpen, TriggerRepeat
	// and TriggerRetry since its last answer, and suspectUntil the time until which they
	// make new flows avoid it.
	flows        int
	triggers     int
	suspectUntil time.Time
	// trial is true while only single flows test whether the upstream answers: after a
	// failed probe or repeated triggers, until a packet shows that it does. A successful
	// probe does not end it, because another upstream may have the address. nextTrial
	// is when the next test flow may be sent.
	trial     bool
	nextTrial time.Time
	// answeredAt is when a packet last showed that the upstream answers.
	answeredAt time.Time
	// firstRequestAt is when the first request on a flow with acksPromptly since the last
	// answer or timeout was sent; zero when none was.
	firstRequestAt time.Time
	probe          probeState
	cold           coldLimiter
	// responseTime is the smoothed response time. The upstream counts as slow until
	// slowUntil.
	responseTime responseTime
	slowUntil    time.Time
	// losses counts the lost requests. The upstream counts as failing until
	// failingUntil.
	losses       lossCount
	failingUntil time.Time
}

// isSuspect reports whether new flows avoid the upstream.
func (s *upstreamState) isSuspect(now time.Time) bool {
	return now.Before(s.suspectUntil) || s.probe.failed() || s.probe.unsettled || (s.trial && now.Before(s.nextTrial))
}

// recordChosen records that the upstream is sent a new flow.
func (s *upstreamState) recordChosen(now time.Time) {
	s.flows++
	if s.trial {
		s.nextTrial = now.Add(trialInterval)
	}
}

// recordAnswer records that the upstream answers.
func (s *upstreamState) recordAnswer(now time.Time) {
	s.answeredAt = now
	s.triggers, s.trial = 0, false
	s.suspectUntil, s.firstRequestAt = time.Time{}, time.Time{}
	s.probe.withdrawFailure()
}

func (e *Engine) stateOf(cookie flowcookie.Cookie) *upstreamState {
	state := e.upstreams[cookie]
	if state == nil {
		state = &upstreamState{}
		e.upstreams[cookie] = state
	}
	return state
}

// recordTrigger records evidence that an upstream may have failed and requests a probe,
// unless the upstream has answered a flow within answerWindow.
func (e *Engine) recordTrigger(now time.Time, cookie flowcookie.Cookie, trigger ProbeTrigger) {
	state := e.stateOf(cookie)
	if now.Sub(state.answeredAt) < answerWindow {
		return
	}
	state.triggers++
	if excess := state.triggers - suspectAfter; excess >= 0 {
		state.trial = true
		state.suspectUntil = now.Add(min(suspectFor<<min(excess, 4), suspectMax))
	}
	e.requestProbe(now, cookie, trigger)
}

// coldLimiter bounds the opening packets, copies included, that one instance sends to a
// cold upstream within any coldWindow.
type coldLimiter struct{ sentAt []time.Time }

func (l *coldLimiter) allows(now time.Time, budget int) bool {
	for len(l.sentAt) > 0 && now.Sub(l.sentAt[0]) > coldWindow {
		l.sentAt = l.sentAt[1:]
	}
	return len(l.sentAt) < budget
}

func (l *coldLimiter) record(now time.Time) { l.sentAt = append(l.sentAt, now) }

// PeerRank says how this instance shares the limits of cold upstreams with the other
// instances of its failure domain.
type PeerRank struct {
	// Rank is this instance's position among them, from 0.
	Rank int
	// Count is the number of instances of the failure domain.
	Count int
}

// instanceColdBudget returns the number of opening packets, copies included, that an
// instance may send to one cold upstream of its failure domain within coldWindow. The
// sum over all instances of the domain stays within what the upstream sustains,
// rate*factor + slack flows per second. When that is less than one flow per instance,
// only the instances of the lowest ranks send, one flow each.
func instanceColdBudget(rate, factor, slack float64, peerRank PeerRank) int {
	total := int((rate*factor + slack) * coldMargin)
	senders := min(max(peerRank.Count, minSharers), total)
	if senders == 0 || peerRank.Rank >= senders {
		return 0
	}
	return total / senders
}
