// Package evidence collects what an instance knows about upstreams beyond the store: the
// flows and requests that they left unanswered, the results of probes, the reports of
// other instances, lost requests and response times. It decides when to probe an
// upstream and what a probe proves. It reads no clock and makes no connections.
package evidence

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Tracker holds the evidence about all upstreams. It is not safe for concurrent use.
type Tracker struct {
	// snapshot is the current snapshot; nil until SetSnapshot.
	snapshot *catalog.Snapshot
	// upstreams holds the evidence about each upstream, by its cookie. SetSnapshot
	// removes the entries of upstreams that the snapshot does not know.
	upstreams map[flowcookie.Cookie]*upstreamState

	// upstreamRequests is a queue that holds, for each upstream, the first tracked
	// request since its last answer or timeout. An element is checked MinRequestTimeout
	// after it was sent: it is removed when it was answered or has timed out, and goes to
	// the end of the queue otherwise. lastRequestTriggerAt is when a timed-out request
	// last caused a probe.
	upstreamRequests     []upstreamRequest
	lastRequestTriggerAt time.Time

	// groupLosses counts the lost requests of each group of upstreams. lostRequests is
	// what TakeLostRequests returns next.
	groupLosses  map[lossGroup]*lossCount
	lostRequests []LostRequest

	// serviceResponseTimes is the smoothed response time of each service, by its name.
	serviceResponseTimes map[string]*responseTime

	// probes holds the requested probes until TakeProbes.
	probes []Probe
	// checks holds the requested checks of the store until TakeChecks.
	checks []catalog.Kind
	// lastReachedStart is the latest start time of a probe that was answered within
	// LateProbeAfter; a refusal counts as an answer. lastControlAt is when control
	// probes were last requested.
	lastReachedStart, lastControlAt time.Time
	// unconfirmedProbes holds the late probes during which no other upstream has answered
	// a probe yet; it is cleared when one does.
	unconfirmedProbes []Probe
	path              path
	// reported limits the probes that reports of other instances cause.
	reported *rate.Limiter

	// questions holds the recent reports that upstreams are silent, which answers of these
	// upstreams contradict, oldest first.
	questions []question
}

// New returns a tracker without a snapshot. Until SetSnapshot is called, reports and
// RequestRetryProbes have no effect, and the other methods must not be called.
func New() *Tracker {
	return &Tracker{
		upstreams: map[flowcookie.Cookie]*upstreamState{}, serviceResponseTimes: map[string]*responseTime{},
		groupLosses: map[lossGroup]*lossCount{}, reported: newReportedLimit(),
	}
}

func newReportedLimit() *rate.Limiter { return rate.NewLimiter(reportedPerSecond, reportedAtOnce) }

// SetSnapshot sets the snapshot and discards the evidence about upstreams that it does
// not know.
func (t *Tracker) SetSnapshot(snapshot *catalog.Snapshot) {
	same := snapshot.SameUpstreams(t.snapshot)
	t.snapshot = snapshot
	if same {
		return
	}
	for cookie := range t.upstreams {
		if snapshot.Resolve(cookie) == nil {
			delete(t.upstreams, cookie)
		}
	}
}

// Standing says whether an upstream's established flows can go on.
type Standing int

// Standings of an upstream.
const (
	// Running: nothing proves that the upstream has ended.
	Running Standing = iota
	// Ended: its entry is missing or was replaced, and no probe finds it.
	Ended
	// Failed: a conclusive probe failed recently, or another upstream answers at its
	// address.
	Failed
)

// Standing reports whether flows of an upstream can go on, and requests a probe when the
// last one failed or the entry is missing. A missing entry alone does not prove that the
// upstream has ended, because it also vanishes when the upstream loses its connection to
// the store: flows continue while a probe is pending, and for aliveFor after one that
// succeeded. After an inconclusive or cancelled probe, they end when the store has
// confirmed in a check that began after GoneAt that the entry is still missing.
func (t *Tracker) Standing(now time.Time, entry *catalog.Entry) Standing {
	if !entry.Replaced && t.stateOf(entry.Cookie).probe.failureProven(now) {
		return Failed
	}
	return t.standingUnproven(now, entry)
}

// FlowStanding is Standing for a flow whose first packet arrived at first, which is now for
// that packet. A failed probe proves nothing about a flow that may have been opened since,
// by another instance and after a restart of the upstream: such a flow goes on until the
// result of a later probe, which is requested.
func (t *Tracker) FlowStanding(now time.Time, entry *catalog.Entry, first time.Time) Standing {
	probe := &t.stateOf(entry.Cookie).probe
	if entry.Replaced || !probe.failureProven(now) || probe.endsFlow(now, first) {
		return t.Standing(now, entry)
	}
	if !probe.pending && !probe.requestedAt.After(probe.conclusiveAt) {
		// The first probe after a failure does not wait for probeInterval.
		probe.requestedAt = time.Time{}
	}
	return t.standingUnproven(now, entry)
}

// standingUnproven is Standing without the proof of a failed probe.
func (t *Tracker) standingUnproven(now time.Time, entry *catalog.Entry) Standing {
	if entry.Replaced {
		return Ended
	}
	state := t.stateOf(entry.Cookie)
	if state.probe.failed() {
		// A network partition may have ended since the failure. The probe's outcome
		// resets the flow or lets it continue.
		t.RequestProbe(now, entry.Cookie, TriggerProbeFailed)
	}
	if entry.RemovedAt.IsZero() || now.Sub(state.answeredAt) < AnswerWindow {
		return Running
	}
	t.RequestProbe(now, entry.Cookie, TriggerRemoved)
	if state.probe.alive(now) || state.probe.pending || !entry.Gone(now) || !t.CheckedSince(now, entry.GoneAt, catalog.KindUpstreams) {
		return Running
	}
	return Ended
}

// CheckedSince reports whether this instance has checked the kinds in the store since a time
// and, if the upstreams are among them, the store has been available for long enough. It
// requests the checks that are missing.
func (t *Tracker) CheckedSince(now, at time.Time, kinds ...catalog.Kind) bool {
	if slices.Contains(kinds, catalog.KindUpstreams) && !t.snapshot.Complete(now) {
		return false
	}
	checked := true
	for _, kind := range kinds {
		if t.snapshot.CheckedSince(kind, at) {
			continue
		}
		checked = false
		if !slices.Contains(t.checks, kind) {
			t.checks = append(t.checks, kind)
		}
	}
	return checked
}

// TakeChecks returns the kinds that this instance is to check in the store, and removes them
// from the tracker.
func (t *Tracker) TakeChecks() []catalog.Kind {
	checks := t.checks
	t.checks = nil
	return checks
}

// ProbeRemoved requests a probe of an upstream that the store no longer lists and that
// still has flows, unless one was requested since the removal.
func (t *Tracker) ProbeRemoved(entry *catalog.Entry) {
	if t.stateOf(entry.Cookie).probe.requestedAt.Before(entry.RemovedAt) {
		t.RequestProbe(entry.RemovedAt, entry.Cookie, TriggerRemoved)
	}
}

// RecordChosen records that an upstream is sent a new flow.
func (t *Tracker) RecordChosen(now time.Time, cookie flowcookie.Cookie) {
	t.stateOf(cookie).recordChosen(now)
}

// RecordAnswer records that a packet shows that an upstream answers.
func (t *Tracker) RecordAnswer(now time.Time, cookie flowcookie.Cookie) {
	t.stateOf(cookie).recordAnswer(now)
}

// AnsweredAt returns when a packet last showed that an upstream answers; zero when none
// has.
func (t *Tracker) AnsweredAt(cookie flowcookie.Cookie) time.Time {
	return t.stateOf(cookie).answeredAt
}

// FailedAt returns when a conclusive probe of an upstream last failed; zero when none has.
func (t *Tracker) FailedAt(cookie flowcookie.Cookie) time.Time {
	return t.stateOf(cookie).probe.conclusiveAt
}

// ProbeFailed reports whether the last probe of an upstream failed and no packet has shown since
// then that it answers.
func (t *Tracker) ProbeFailed(cookie flowcookie.Cookie) bool {
	state := t.upstreams[cookie]
	return state != nil && state.probe.failed()
}

// IsSuspect reports whether new flows avoid an upstream because it appears to be silent.
func (t *Tracker) IsSuspect(now time.Time, cookie flowcookie.Cookie) bool {
	return t.stateOf(cookie).isSuspect(now)
}

// IsSlow reports whether an upstream answers much later than its service does, or loses
// requests.
func (t *Tracker) IsSlow(now time.Time, cookie flowcookie.Cookie) bool {
	state := t.stateOf(cookie)
	return now.Before(state.slowUntil) || now.Before(state.failingUntil)
}

// Unreachable reports whether the last probe of an upstream failed or is unsettled.
func (t *Tracker) Unreachable(cookie flowcookie.Cookie) bool {
	state := t.upstreams[cookie]
	return state != nil && (state.probe.failed() || state.probe.unsettled)
}
