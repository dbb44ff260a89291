package forward

import (
	"slices"
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
	// failureProvenFor is how long a conclusive failure lets flows be reset without
	// another probe: a quarter of the time after which the users expect an upstream
	// that was partitioned to be within reach again.
	failureProvenFor = time.Second
	// reportContradicted is the time within which an answer of the upstream outweighs
	// another instance's report that its probe failed or is late; a report takes a
	// millisecond to arrive.
	reportContradicted = 20 * time.Millisecond
	// LateProbeAfter is the time without an answer after which a running probe is late:
	// the owner of the engine measures it and calls HandleLateProbe. New flows then avoid
	// the upstream, and other instances are told as HandleLateProbe says. It is ten times
	// the users' longest round trip.
	LateProbeAfter = 30 * time.Millisecond
)

// ProbeOutcome is the result of a probe, which is a connection attempt to the upstream.
type ProbeOutcome int

// Probe outcomes.
const (
	// ProbeAlive: the upstream accepted the connection and, when the probe has a
	// HealthPath, reported no other id. A busy upstream may not report its id in time.
	ProbeAlive ProbeOutcome = iota + 1
	// ProbeRefused: the machine answers, but no process listens at the address.
	ProbeRefused
	// ProbeSilent: there was no answer.
	ProbeSilent
	// ProbeOther: another upstream answers at the address.
	ProbeOther
)

// ProbeOutcomeLabels holds the label of each outcome, indexed by ProbeOutcome. Index 0,
// "none", is no outcome.
var ProbeOutcomeLabels = []string{"none", "alive", "refused", "silent", "other"}

func (o ProbeOutcome) String() string { return ProbeOutcomeLabels[o] }

// Probe is a request for a connection attempt to an upstream.
type Probe struct {
	Upstream *catalog.Entry
	// Trigger is the reason for the probe.
	Trigger ProbeTrigger
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
}

// HandleSilenceReport handles another instance's report that its probe of an upstream
// failed or is late: this instance probes the upstream itself. id and born identify the
// incarnation; born is its start in Unix milliseconds. The report is ignored when the
// upstream is unknown or has answered here within reportContradicted.
func (e *Engine) HandleSilenceReport(now time.Time, id string, born int64) {
	cookie := flowcookie.Of(id, born)
	if e.snapshot == nil || e.snapshot.Resolve(cookie) == nil || now.Sub(e.stateOf(cookie).answeredAt) < reportContradicted {
		return
	}
	e.requestProbe(now, cookie, TriggerReport)
}

// probeState is the probing state of one upstream.
type probeState struct {
	// pending is true from the request for a probe until its result or CancelProbe.
	pending bool
	// unsettled is true from when a probe has been unanswered for LateProbeAfter, or had
	// an inconclusive first failure, until a packet shows that the upstream answers or a
	// probe settles its state.
	unsettled bool
	// requestedAt is when a probe was last requested.
	requestedAt time.Time
	// outcome is the last recorded outcome, decidedAt its time; an inconclusive first
	// failure is not recorded. outcome is 0 when there is none or when a packet has
	// disproved a failure.
	outcome   ProbeOutcome
	decidedAt time.Time
	// conclusiveAt is the time of the last conclusive failure.
	conclusiveAt time.Time
	// retryAfter is the backoff before a failed probe is repeated.
	retryAfter time.Duration
}

// recordOutcome records an outcome. Each further failure in a row doubles the backoff,
// up to reprobeMax.
func (s *probeState) recordOutcome(now time.Time, outcome ProbeOutcome) {
	retry := reprobeMin
	if s.failed() {
		retry = min(2*s.retryAfter, reprobeMax)
	}
	s.outcome, s.decidedAt, s.retryAfter, s.unsettled = outcome, now, retry, false
}

// failed reports whether the last probe did not find the upstream's process.
func (s *probeState) failed() bool {
	return s.outcome == ProbeRefused || s.outcome == ProbeSilent || s.outcome == ProbeOther
}

// failureProven reports whether the last probe failed and a conclusive failure is less
// than failureProvenFor old. When another upstream answers at the address, this one has
// ended for good.
func (s *probeState) failureProven(now time.Time) bool {
	return s.outcome == ProbeOther || (s.failed() && now.Sub(s.conclusiveAt) < failureProvenFor)
}

// alive reports whether a probe found the process within aliveFor.
func (s *probeState) alive(now time.Time) bool {
	return s.outcome == ProbeAlive && now.Sub(s.decidedAt) < aliveFor
}

// withdrawFailure discards a failed or late probe because a packet shows that the
// upstream answers.
func (s *probeState) withdrawFailure() {
	s.unsettled = false
	if s.failed() {
		s.outcome = 0
	}
}

// requestProbe requests a probe of an upstream, unless one is under way or was
// requested within probeInterval, or the upstream is unknown or replaced.
func (e *Engine) requestProbe(now time.Time, cookie flowcookie.Cookie, trigger ProbeTrigger) {
	entry := e.snapshot.Resolve(cookie)
	state := e.stateOf(cookie)
	if entry == nil || entry.Replaced || state.probe.pending || now.Sub(state.probe.requestedAt) < probeInterval {
		return
	}
	state.probe.pending, state.probe.requestedAt = true, now
	probe := Probe{Upstream: entry, Trigger: trigger}
	// The address of an upstream that failed or was removed may belong to another one
	// now.
	if service := e.snapshot.Service(entry.Service); service != nil && (state.trial || !entry.RemovedAt.IsZero()) {
		probe.HealthPath = service.HealthPath
	}
	e.probes = append(e.probes, probe)
}

// TakeProbes returns the requested probes and removes them from the engine. The owner
// of the engine passes the result of each to HandleProbeResult, or calls CancelProbe.
func (e *Engine) TakeProbes() []Probe {
	if len(e.probes) == 0 {
		return nil
	}
	probes := e.probes
	e.probes = nil
	return probes
}

// CancelProbe cancels a probe that could not be started.
func (e *Engine) CancelProbe(probe Probe) { e.stateOf(probe.Upstream.Cookie).probe.pending = false }

// HandleLateProbe records that a probe has been unanswered for LateProbeAfter. New
// flows avoid the upstream until a packet shows that it answers or a probe settles its
// state. Control probes are requested, at most every controlInterval, unless an
// upstream has answered a probe that started since this one was requested. Once one
// has, the failure domain is probed, unless the upstream was known to have failed or
// probeNeighbours excludes it. HandleLateProbe reports whether to tell other instances,
// so that all probe at the same time: when the upstream was not known to have failed,
// and the probe was caused neither by a report nor as a control. It does nothing when
// the probe is no longer under way or the upstream has answered since.
func (e *Engine) HandleLateProbe(now time.Time, probe Probe) (report bool) {
	state := e.stateOf(probe.Upstream.Cookie)
	if !state.probe.pending || state.answeredAt.After(state.probe.requestedAt) {
		return false
	}
	state.probe.unsettled = true
	e.startControlProbes(now, probe.Upstream.Cookie, state.probe.requestedAt)
	if state.probe.failed() {
		return false
	}
	switch {
	case !e.lastReachedStart.Before(state.probe.requestedAt):
		e.probeNeighbours(now, probe.Upstream.Cookie, probe.Trigger)
	case len(e.unconfirmedProbes) < maxUnconfirmed:
		// A slow instance must not increase its load by probes of whole failure
		// domains.
		e.unconfirmedProbes = append(e.unconfirmedProbes, probe)
	}
	return probe.Trigger != TriggerReport && probe.Trigger != TriggerControl
}

// RequestRetryProbes requests probes of the upstreams in the store whose last probe failed,
// except with ProbeOther, once their backoff is over, and of those that are unsettled. An
// upstream that returns is thus used again.
func (e *Engine) RequestRetryProbes(now time.Time) {
	if e.snapshot == nil {
		return
	}
	for cookie, state := range e.upstreams {
		failed := state.probe.failed() && state.probe.outcome != ProbeOther && now.Sub(state.probe.decidedAt) >= state.probe.retryAfter
		if !failed && !state.probe.unsettled {
			continue
		}
		if entry := e.snapshot.Resolve(cookie); entry != nil && entry.RemovedAt.IsZero() {
			e.requestProbe(now, cookie, TriggerProbeFailed)
		}
	}
}

// ProbeEffect says what follows from a probe result. An inconclusive result sets only
// Inconclusive. A conclusive failure sets Resets, and FirstFailure and Report when they
// apply. For any other result, all fields are zero.
type ProbeEffect struct {
	// Inconclusive is true when the probe was unanswered and this instance may itself
	// be partitioned or slow.
	Inconclusive bool
	// FirstFailure is true when the upstream was not already recorded as failed.
	// Inconclusive failures and failures that a packet has disproved do not count.
	FirstFailure bool
	// Report is true when other instances should be told of the failure.
	Report bool
	// Resets holds one packet for each flow whose record was removed; each is to be
	// answered with a reset.
	Resets []Packet
}

// HandleProbeResult records the result of a probe. On a conclusive failure, it removes
// the upstream's flow records and returns the resets to send. A failure is ignored when
// a packet has shown since the start of the probe that the upstream answers.
func (e *Engine) HandleProbeResult(now time.Time, result ProbeResult) ProbeEffect {
	state := e.stateOf(result.Upstream.Cookie)
	state.probe.pending = false
	if result.Outcome != ProbeSilent {
		e.recordProbeAnswer(now, result.Started)
	}
	if result.Outcome != ProbeAlive && state.answeredAt.After(result.Started) {
		// A packet that arrived in the meantime is stronger evidence than the probe.
		state.probe.unsettled = false
		return ProbeEffect{}
	}
	first := !state.probe.failed()
	if result.Outcome == ProbeSilent && !e.isConclusive(result) {
		// An upstream already known to have failed stays so, and its probes back off.
		state.probe.unsettled = first
		if !first {
			state.probe.recordOutcome(now, result.Outcome)
		}
		return ProbeEffect{Inconclusive: true}
	}
	state.probe.recordOutcome(now, result.Outcome)
	if !state.probe.failed() {
		return ProbeEffect{}
	}
	state.probe.conclusiveAt = now
	state.trial = true
	if first {
		e.probeNeighbours(now, result.Upstream.Cookie, result.Trigger)
	}
	report := first && result.Trigger != TriggerReport && result.Trigger != TriggerControl
	return ProbeEffect{FirstFailure: first, Report: report, Resets: e.removeFlowsOf(result.Upstream.Cookie)}
}

// probeNeighbours requests probes of the failure domain of an upstream that does not
// answer, unless its end was announced by draining or by the removal of its entry. It
// does nothing for probes of a failure domain, control probes and probes caused by a
// report: the instance that reported the upstream probes its domain and reports what it
// finds.
func (e *Engine) probeNeighbours(now time.Time, cookie flowcookie.Cookie, trigger ProbeTrigger) {
	entry := e.snapshot.Resolve(cookie)
	if trigger != TriggerDomain && trigger != TriggerReport && trigger != TriggerControl && entry != nil && entry.Listed() && !entry.Draining {
		e.probeDomain(now, entry.FailureDomain)
	}
}

// probeDomain requests probes of the upstreams of a failure domain in which one has
// failed unannounced, except those that answered within answerWindow. The domain may be
// partitioned, and crashes also affect several upstreams at once.
func (e *Engine) probeDomain(now time.Time, domain string) {
	for _, service := range e.snapshot.Services() {
		for _, entry := range service.Entries {
			state := e.stateOf(entry.Cookie)
			if entry.FailureDomain == domain && now.Sub(state.answeredAt) > answerWindow {
				e.requestProbe(now, entry.Cookie, TriggerDomain)
			}
		}
	}
}

// removeFlowsOf removes the records of the established flows of an upstream and returns a
// packet of each flow, sorted by caller.
func (e *Engine) removeFlowsOf(cookie flowcookie.Cookie) []Packet {
	var packets []Packet
	for flow, record := range e.flows.records {
		if !record.answered || record.targets[0] != cookie {
			continue
		}
		packets = append(packets, Packet{Flow: flow, Ack: record.ack, Cookie: cookie})
		delete(e.flows.records, flow)
		e.releaseLoad(record)
	}
	slices.SortFunc(packets, func(a, b Packet) int { return a.Flow.Caller.Compare(b.Flow.Caller) })
	return packets
}
