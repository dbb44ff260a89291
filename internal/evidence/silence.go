package evidence

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
	// AnswerWindow is the time within which an answer contradicts a probe trigger: a
	// caller repeats a packet 200 ms after the one that was not answered.
	AnswerWindow = 200 * time.Millisecond
	// trialInterval is the time between two flows that test whether an upstream
	// answers; the caller of such a flow waits 200 ms before its next copy.
	trialInterval = time.Second
	// MinRequestTimeout is the least time after which an unanswered request causes a
	// probe. It is half of the time after which the caller sends the request again.
	// The timeout is RequestTimeoutFactor times the usual response time, but at least
	// MinRequestTimeout.
	MinRequestTimeout    = 100 * time.Millisecond
	RequestTimeoutFactor = 4
	// requestTriggerInterval is the least time between two probes that timed-out requests
	// cause on one instance: when the answers of a service have just become slow, the
	// requests to all of its upstreams time out.
	requestTriggerInterval = 100 * time.Millisecond
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

// upstreamState is the evidence about one upstream.
type upstreamState struct {
	// triggers is the number of TriggerOpen, TriggerRepeat
	// and TriggerRetry since its last answer, and suspectUntil the time until which they
	// make new flows avoid it.
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
	// unansweredAt is when a request was last found unanswered: the caller repeated it, or
	// its timeout ended.
	unansweredAt time.Time
	// peersAnsweredAt is the time of the last answer of the upstream that a peer has reported.
	peersAnsweredAt time.Time
	// contradictedAt is when such an answer last contradicted a probe without an answer.
	contradictedAt time.Time
	probe          probeState
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

func (t *Tracker) stateOf(cookie flowcookie.Cookie) *upstreamState {
	state := t.upstreams[cookie]
	if state == nil {
		state = &upstreamState{}
		t.upstreams[cookie] = state
	}
	return state
}

// RecordTrigger records evidence that an upstream may have failed and requests a probe,
// unless the upstream has answered a flow within AnswerWindow.
func (t *Tracker) RecordTrigger(now time.Time, cookie flowcookie.Cookie, trigger ProbeTrigger) {
	state := t.stateOf(cookie)
	if now.Sub(state.answeredAt) < AnswerWindow {
		return
	}
	if trigger == TriggerRepeat {
		state.unansweredAt = now
	}
	state.triggers++
	if excess := state.triggers - suspectAfter; excess >= 0 {
		state.trial = true
		state.suspectUntil = now.Add(min(suspectFor<<min(excess, 4), suspectMax))
	}
	t.RequestProbe(now, cookie, trigger)
}

// upstreamRequest is the first request to an upstream since its last answer or timeout.
type upstreamRequest struct {
	target flowcookie.Cookie
	sentAt time.Time
}

// TrackRequest records that a request was sent to an upstream, unless an earlier one is
// still unanswered.
func (t *Tracker) TrackRequest(now time.Time, cookie flowcookie.Cookie) {
	if state := t.stateOf(cookie); state.firstRequestAt.IsZero() {
		state.firstRequestAt = now
		t.upstreamRequests = append(t.upstreamRequests, upstreamRequest{target: cookie, sentAt: now})
	}
}

// CheckRequests requests probes of upstreams that have answered nothing for the
// request timeout since a request was sent to them.
func (t *Tracker) CheckRequests(now time.Time) {
	for remaining := len(t.upstreamRequests); remaining > 0 && now.Sub(t.upstreamRequests[0].sentAt) >= MinRequestTimeout; remaining-- {
		request := t.upstreamRequests[0]
		t.upstreamRequests = t.upstreamRequests[1:]
		state := t.upstreams[request.target]
		if state == nil || !state.firstRequestAt.Equal(request.sentAt) {
			continue
		}
		if now.Sub(request.sentAt) < t.requestTimeout(request.target, state) {
			t.upstreamRequests = append(t.upstreamRequests, request)
			continue
		}
		// The next request starts a new timeout.
		state.firstRequestAt, state.unansweredAt = time.Time{}, now
		if now.Sub(t.lastRequestTriggerAt) >= requestTriggerInterval {
			t.lastRequestTriggerAt = now
			t.RequestProbe(now, request.target, TriggerUnanswered)
		}
	}
}

// requestTimeout returns the time without an answer after which a request to an
// upstream causes a probe: RequestTimeoutFactor times the usual response time of the
// upstream or its service, whichever is longer, and at least MinRequestTimeout.
func (t *Tracker) requestTimeout(cookie flowcookie.Cookie, state *upstreamState) time.Duration {
	usual := state.responseTime.mean
	if entry := t.snapshot.Resolve(cookie); entry != nil {
		if serviceTime := t.serviceResponseTimes[entry.Service]; serviceTime != nil {
			usual = max(usual, serviceTime.mean)
		}
	}
	return max(MinRequestTimeout, RequestTimeoutFactor*usual)
}

// RequestTimeout returns the time without an answer after which a request to an
// upstream causes a probe.
func (t *Tracker) RequestTimeout(cookie flowcookie.Cookie) time.Duration {
	return t.requestTimeout(cookie, t.stateOf(cookie))
}
