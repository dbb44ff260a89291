package evidence

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// probeInterval is the least time between two requests for a probe of one upstream
	// on one instance, except for control probes.
	probeInterval = 500 * time.Millisecond
	// reprobeMin and reprobeMax bound the backoff before a failed probe is repeated;
	// network partitions last a few seconds.
	reprobeMin = 900 * time.Millisecond
	reprobeMax = 4 * time.Second
	// aliveFor is how long a successful probe keeps the flows of an upstream that the
	// store no longer lists.
	aliveFor = 2 * time.Second
	// FailureProvenFor is how long a conclusive failure lets flows that are no later than it
	// (Tracker.FlowStanding) be reset without another probe: a quarter of the time after
	// which the users expect an upstream that was partitioned to be within reach again.
	FailureProvenFor = time.Second
	// reportContradicted is the time within which an answer of the upstream outweighs
	// another instance's report that its probe failed or is late; a report takes a
	// millisecond to arrive.
	reportContradicted = 20 * time.Millisecond
	// reportedPerSecond and reportedAtOnce are the rate and the burst of probes that the
	// reports of other instances cause. The burst covers a failure domain of the users'
	// deployments of 60 instances. All peers probe for one report, and so unbounded reports of
	// slow instances would load the fleet and make further ones slow.
	reportedPerSecond = 20
	reportedAtOnce    = 64
	// LateProbeAfter is the time without an answer after which a running probe is late:
	// the owner of the tracker measures it and calls HandleLateProbe. New flows then avoid
	// the upstream, and other instances are told as HandleLateProbe says. It is ten times
	// the users' longest round trip.
	LateProbeAfter = 30 * time.Millisecond
)

// ProbeOutcome is the result of a probe, which is a connection attempt to the upstream.
type ProbeOutcome int

// Probe outcomes.
const (
	// ProbeNotMade: this instance could not make a connection attempt.
	ProbeNotMade ProbeOutcome = iota
	// ProbeAlive: the upstream accepted the connection and, when the probe has a
	// HealthPath, reported no other id. A busy upstream may not report its id in time.
	ProbeAlive
	// ProbeRefused: the machine answers, but no process listens at the address.
	ProbeRefused
	// ProbeSilent: there was no answer.
	ProbeSilent
	// ProbeOther: another upstream answers at the address.
	ProbeOther
	// ProbeReset: the connection was reset while it opened. A process has the port and takes
	// no further connection, for example because it is at its limit; its flows may go on.
	ProbeReset
)

// ProbeOutcomeLabels holds the label of each outcome, indexed by ProbeOutcome.
var ProbeOutcomeLabels = []string{"none", "alive", "refused", "silent", "other", "reset"}

func (o ProbeOutcome) String() string { return ProbeOutcomeLabels[o] }

// Probe is a request for a connection attempt to an upstream.
type Probe struct {
	Upstream *catalog.Entry
	// Trigger is the reason for the probe.
	Trigger ProbeTrigger
	// Delay is the time to wait before the connection attempt.
	Delay time.Duration
	// HealthPath is the path at which the upstream reports its id. When it is empty, an
	// accepted connection is enough.
	HealthPath string
}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Upstream *catalog.Entry
	Outcome  ProbeOutcome
	// Trigger is the reason for the probe, copied from Probe.Trigger.
	Trigger ProbeTrigger
	// Started is when the connection attempt began.
	Started time.Time
	// Err is the error of the connection attempt; nil if it was accepted.
	Err error
	// Identified is set when the upstream was asked for its id after it had accepted the
	// connection. A busy one takes its time for the answer.
	Identified bool
}

// HandleSilenceReport handles another instance's report that its probe of an upstream
// failed or is late: this instance probes the upstream itself. id and born identify the
// incarnation; born is its start in Unix milliseconds. The report is ignored when the
// upstream is unknown or has answered here within reportContradicted, when the path of this
// instance is in doubt, and beyond reportedPerSecond.
func (t *Tracker) HandleSilenceReport(now time.Time, id string, born int64) {
	cookie := flowcookie.Of(id, born)
	if t.snapshot == nil || t.snapshot.Resolve(cookie) == nil || now.Sub(t.stateOf(cookie).answeredAt) < reportContradicted {
		return
	}
	if !t.probeDue(now, cookie) || t.pathDoubted(now) || !t.reported.AllowN(now, 1) {
		return
	}
	t.RequestProbe(now, cookie, TriggerReport)
}

// probeState is the probing state of one upstream.
type probeState struct {
	// pending is true from the request for a probe until its result or CancelProbe.
	pending bool
	// unsettled is true from when a probe has been unanswered for LateProbeAfter, or had
	// an inconclusive first failure, until a packet shows that the upstream answers or a
	// probe settles its state.
	unsettled bool
	// doubtedAt is when the first probe began that was refused or, while others were answered,
	// had no answer; zero after a packet or a probe that shows that the upstream runs.
	doubtedAt time.Time
	// doubt is the outcome of that probe.
	doubt ProbeOutcome
	// silentSince is when the first probe began of those without an answer since the
	// upstream last answered a packet or a probe; zero when there is none.
	silentSince time.Time
	// requestedAt is when a probe was last requested.
	requestedAt time.Time
	// outcome is the last recorded outcome, decidedAt its time; an inconclusive first
	// failure is not recorded. outcome is ProbeNotMade when there is none or when a packet
	// has disproved a failure.
	outcome   ProbeOutcome
	decidedAt time.Time
	// aliveSince is the start of the last probe whose connection was accepted.
	aliveSince time.Time
	// conclusiveAt is the time of the last conclusive failure, conclusiveBegan the start of
	// its probe.
	conclusiveAt, conclusiveBegan time.Time
	// retryAfter is the backoff before a failed probe is repeated.
	retryAfter time.Duration
}

// recordOutcome records an outcome. Each further failure in a row doubles the backoff,
// up to reprobeMax.
func (s *probeState) recordOutcome(now time.Time, outcome ProbeOutcome) {
	retry := reprobeMin
	if s.failed() || (s.outcome == ProbeReset && outcome == ProbeReset) {
		retry = min(2*s.retryAfter, reprobeMax)
	}
	s.outcome, s.decidedAt, s.retryAfter, s.unsettled = outcome, now, retry, false
}

// failed reports whether the last probe did not find the upstream's process.
func (s *probeState) failed() bool {
	return s.outcome == ProbeRefused || s.outcome == ProbeSilent || s.outcome == ProbeOther
}

// failureProven reports whether the last probe failed and a conclusive failure is less
// than FailureProvenFor old. When another upstream answers at the address, this one has
// ended for good.
func (s *probeState) failureProven(now time.Time) bool {
	return s.outcome == ProbeOther || (s.failed() && now.Sub(s.conclusiveAt) < FailureProvenFor)
}

// retryDue reports whether a probe that failed or settled nothing is to be repeated.
func (s *probeState) retryDue(now time.Time) bool {
	switch {
	case s.outcome == ProbeOther:
		return s.unsettled
	case s.failed() || s.outcome == ProbeReset:
		return now.Sub(s.decidedAt) >= s.retryAfter
	case s.unsettled && !s.doubtedAt.IsZero():
		return now.Sub(s.requestedAt) >= min(now.Sub(s.doubtedAt)/2, reprobeMax)
	case s.unsettled && !s.silentSince.IsZero():
		return now.Sub(s.requestedAt) >= min(now.Sub(s.silentSince)/2, reprobeMax)
	}
	return s.unsettled
}

// alive reports whether a probe found the process within aliveFor. One that resets
// connections cannot tell its id; its flows are not reset for that.
func (s *probeState) alive(now time.Time) bool {
	return (s.outcome == ProbeAlive || s.outcome == ProbeReset) && now.Sub(s.decidedAt) < aliveFor
}

// withdrawFailure discards a failed or late probe because a packet shows that the
// upstream answers.
func (s *probeState) withdrawFailure() {
	s.unsettled, s.doubtedAt, s.silentSince = false, time.Time{}, time.Time{}
	if s.failed() {
		s.outcome = ProbeNotMade
	}
}

// RequestProbe requests a probe of an upstream, unless one is under way or was
// requested within probeInterval, or the upstream is unknown or replaced.
func (t *Tracker) RequestProbe(now time.Time, cookie flowcookie.Cookie, trigger ProbeTrigger) {
	if t.probeDue(now, cookie) {
		t.probes = append(t.probes, t.newProbe(now, t.snapshot.Resolve(cookie), trigger))
	}
}

// probeDue reports whether RequestProbe requests a probe of an upstream.
func (t *Tracker) probeDue(now time.Time, cookie flowcookie.Cookie) bool {
	entry, probe := t.snapshot.Resolve(cookie), &t.stateOf(cookie).probe
	return entry != nil && !entry.Replaced && !probe.pending && now.Sub(probe.requestedAt) >= probeInterval
}

// TakeProbes returns the requested probes and removes them from the tracker. The owner
// of the tracker passes the result of each to HandleProbeResult, or calls CancelProbe.
func (t *Tracker) TakeProbes() []Probe {
	if len(t.probes) == 0 {
		return nil
	}
	probes := t.probes
	t.probes = nil
	return probes
}

// CancelProbe cancels a probe that could not be started.
func (t *Tracker) CancelProbe(probe Probe) { t.stateOf(probe.Upstream.Cookie).probe.pending = false }

// HandleLateProbe records that a probe has been unanswered for LateProbeAfter. New
// flows avoid the upstream until a packet shows that it answers or a probe settles its
// state. Control probes are requested, at most every controlInterval, unless an
// upstream has answered a probe that started since this one was requested. Once one
// has, the failure domain is probed, unless the upstream was known to have failed or
// probeNeighbours excludes it. HandleLateProbe reports whether to tell other instances,
// so that all probe at the same time: when the upstream was not known to have failed, the
// path of this instance is not in doubt, and the probe was caused neither by a report nor as
// a control. It does nothing when
// the probe is no longer under way or the upstream has answered since.
func (t *Tracker) HandleLateProbe(now time.Time, probe Probe) (report bool) {
	state := t.stateOf(probe.Upstream.Cookie)
	if !state.probe.pending || state.answeredAt.After(state.probe.requestedAt) {
		return false
	}
	state.probe.unsettled = true
	t.recordLate(now, probe)
	t.startControlProbes(now, probe.Upstream.Cookie, state.probe.requestedAt)
	if state.probe.failed() {
		return false
	}
	switch {
	case !t.lastReachedStart.Before(state.probe.requestedAt):
		t.probeNeighbours(now, probe.Upstream.Cookie, probe.Trigger)
	case len(t.unconfirmedProbes) < maxUnconfirmed:
		// A slow instance must not increase its load by probes of whole failure
		// domains.
		t.unconfirmedProbes = append(t.unconfirmedProbes, probe)
	}
	return reportable(probe.Trigger) && !t.pathDoubted(now)
}

// RequestRetryProbes requests probes of the upstreams in the store whose last probe failed,
// except with ProbeOther, once their backoff is over, of those that are unsettled, and of
// removed ones whose refusal is not confirmed. An upstream that returns is thus used again.
func (t *Tracker) RequestRetryProbes(now time.Time) {
	if t.snapshot == nil {
		return
	}
	for cookie, state := range t.upstreams {
		if !state.probe.retryDue(now) {
			continue
		}
		if entry := t.snapshot.Resolve(cookie); entry != nil && (entry.RemovedAt.IsZero() || t.awaitsConfirmation(cookie)) {
			t.RequestProbe(now, cookie, TriggerProbeFailed)
		}
	}
}

// ProbeEffect says what follows from a probe result. An inconclusive result sets
// Inconclusive, and Report when it applies. A conclusive failure sets Failed, and
// FirstFailure and Report when they apply. For any other result, all fields are zero.
type ProbeEffect struct {
	// Inconclusive is true when the probe was unanswered and this instance may itself
	// be partitioned or slow, or when the upstream may still hold its flows: the failure is
	// not confirmed, or it reset the connection.
	Inconclusive bool
	// Contradicted is true when the result is inconclusive because peers have answers of the
	// upstream.
	Contradicted bool
	// FirstFailure is true when the upstream was not already recorded as failed.
	// Inconclusive failures and failures that a packet has disproved do not count.
	FirstFailure bool
	// Report is true when other instances should be told of the failed probe.
	Report bool
	// Failed is true when the probe proves that the upstream has failed, so that its
	// flows are to be reset.
	Failed bool
}

// HandleProbeResult records the result of a probe. A failure is ignored when a packet
// has shown since the start of the probe that the upstream answers.
func (t *Tracker) HandleProbeResult(now time.Time, result ProbeResult) ProbeEffect {
	state := t.stateOf(result.Upstream.Cookie)
	state.probe.pending = false
	if result.Outcome == ProbeNotMade {
		return ProbeEffect{}
	}
	t.recordPath(now, result)
	if result.Outcome != ProbeSilent {
		state.probe.silentSince = time.Time{}
		t.recordProbeAnswer(now, result.Started)
	} else if state.probe.silentSince.IsZero() {
		state.probe.silentSince = result.Started
	}
	if result.Outcome != ProbeAlive && state.answeredAt.After(result.Started) {
		// A packet that arrived in the meantime is stronger evidence than the probe.
		state.probe.unsettled = false
		return ProbeEffect{}
	}
	if result.Outcome == ProbeReset {
		state.probe.recordOutcome(now, result.Outcome)
		state.probe.unsettled, state.probe.doubtedAt = true, time.Time{}
		return ProbeEffect{Inconclusive: true}
	}
	first := !state.probe.failed()
	report := first && reportable(result.Trigger)
	if result.Outcome == ProbeAlive {
		state.probe.doubtedAt, state.probe.aliveSince = time.Time{}, result.Started
	}
	if result.Outcome == ProbeSilent && t.isConclusive(result) && state.contradicts(result) {
		return t.recordContradicted(now, result)
	}
	if result.Outcome == ProbeSilent && !t.isConclusive(result) {
		// An upstream already known to have failed stays so, and its probes back off.
		state.probe.unsettled = first
		if !first {
			state.probe.recordOutcome(now, result.Outcome)
		}
		return ProbeEffect{Inconclusive: true}
	}
	if result.Outcome == ProbeRefused || result.Outcome == ProbeSilent {
		confirmed, reportFailure := t.confirmFailure(now, result)
		if !confirmed {
			return ProbeEffect{Inconclusive: true, Report: reportFailure}
		}
		report = report && reportFailure
	}
	state.probe.recordOutcome(now, result.Outcome)
	if !state.probe.failed() {
		return ProbeEffect{}
	}
	state.probe.conclusiveAt, state.probe.conclusiveBegan = now, result.Started
	state.trial = true
	if first {
		t.probeNeighbours(now, result.Upstream.Cookie, result.Trigger)
	}
	return ProbeEffect{FirstFailure: first, Report: report, Failed: true}
}

// probeNeighbours requests probes of the failure domain of an upstream that does not
// answer, unless its end was announced by draining or by the removal of its entry. It
// does nothing for probes of a failure domain, control probes and probes caused by a
// report: the instance that reported the upstream probes its domain and reports what it
// finds.
func (t *Tracker) probeNeighbours(now time.Time, cookie flowcookie.Cookie, trigger ProbeTrigger) {
	entry := t.snapshot.Resolve(cookie)
	if trigger != TriggerDomain && trigger != TriggerReport && trigger != TriggerControl && entry != nil && entry.Listed() && !entry.Draining {
		t.probeDomain(now, entry.FailureDomain)
	}
}

// probeDomain requests probes of the upstreams of a failure domain in which one has
// failed unannounced, except those that answered within AnswerWindow. The domain may be
// partitioned, and crashes also affect several upstreams at once.
func (t *Tracker) probeDomain(now time.Time, domain string) {
	for _, service := range t.snapshot.Services() {
		for _, entry := range service.Entries {
			state := t.stateOf(entry.Cookie)
			if entry.FailureDomain == domain && now.Sub(state.answeredAt) > AnswerWindow {
				t.RequestProbe(now, entry.Cookie, TriggerDomain)
			}
		}
	}
}
