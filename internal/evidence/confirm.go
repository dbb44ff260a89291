package evidence

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// failureConfirmedAfter is the least time between the first and the last of the failed
	// probes that prove that an upstream that cannot be leaving has ended: the time in which
	// an answer on a flow contradicts the first one.
	failureConfirmedAfter = LateProbeAfter
	// leavingConfirmedAfter is the same for an upstream that may be leaving. It takes no new
	// connections before its flows end, so that more is needed: an unanswered request, or
	// silence after a refusal.
	leavingConfirmedAfter = 300 * time.Millisecond
	// leavingNotice is the least time between the store's confirmation that an upstream
	// drains and the closing of its port.
	leavingNotice = 2 * time.Second
	// restartMin is the least time in which an upstream that has ended starts again, accepts a
	// flow through another instance, and the flow moves to this one.
	restartMin = 50 * time.Millisecond
)

// confirmFailure records that an upstream refused a probe or, while others answered, left it
// unanswered. confirmed says that its process has ended; the outcome is then recorded.
// Otherwise new flows avoid the upstream, and report says whether to tell other instances.
func (t *Tracker) confirmFailure(now time.Time, result ProbeResult) (confirmed, report bool) {
	state := t.stateOf(result.Upstream.Cookie)
	first, silent := !state.probe.failed(), result.Outcome == ProbeSilent
	if state.probe.doubtedAt.IsZero() {
		state.probe.doubtedAt, state.probe.doubt = result.Started, result.Outcome
	}
	since := result.Started.Sub(state.probe.doubtedAt)
	entry := t.snapshot.Resolve(result.Upstream.Cookie)
	mayLeave := t.mayBeLeaving(now, entry)
	announced := mayLeave && (entry.Draining || !entry.RemovedAt.IsZero())
	again := false // Whether the probe is repeated at once.
	// A probe without an answer has sent several packets already.
	needed, confirmed := failureConfirmedAfter, silent || since >= failureConfirmedAfter
	if mayLeave {
		needed = leavingConfirmedAfter
		// Lasting silence after a refusal shows that the machine has stopped.
		gone := silent && state.probe.doubt == ProbeRefused
		if gone && !state.probe.silentSince.Before(result.Started) {
			gone, again = false, true
		}
		// The request may have caused an earlier probe without an answer that proved nothing.
		began := state.probe.doubtedAt
		if !state.probe.silentSince.IsZero() && state.probe.silentSince.Before(began) {
			began = state.probe.silentSince
		}
		confirmed = since >= needed && (gone || state.unansweredSince(began))
	}
	if confirmed {
		// Unless the end was announced, the first refusal was reported.
		return true, announced || silent
	}
	state.probe.unsettled = first
	if !first {
		state.probe.recordOutcome(now, result.Outcome)
	}
	// RequestRetryProbes repeats the probe if the end was announced.
	if entry != nil && (again || (since < needed && !announced)) {
		probe := t.newProbe(now, entry, result.Trigger)
		probe.Delay = max(needed-now.Sub(state.probe.doubtedAt), 0)
		t.probes = append(t.probes, probe)
	}
	// A probe without an answer was reported when it was late.
	return false, since == 0 && first && !announced && !silent && reportable(result.Trigger)
}

// endsFlow reports whether a proven failure shows that the upstream does not hold a flow whose
// first packet arrived at first: the probe began later, or the packet is the first one and
// restartMin has not passed since the failure.
func (s *probeState) endsFlow(now, first time.Time) bool {
	if s.outcome == ProbeOther || !first.After(s.conclusiveBegan) {
		return true
	}
	return !first.Before(now) && now.Sub(s.conclusiveAt) < restartMin
}

// unansweredSince reports whether a request was found unanswered at a time or, as the reason
// for a probe that began then, within AnswerWindow before. Answers withdraw all doubts.
func (s *upstreamState) unansweredSince(at time.Time) bool {
	return !s.unansweredAt.IsZero() && at.Sub(s.unansweredAt) <= AnswerWindow
}

// mayBeLeaving reports whether an upstream may take no new connections although its flows go
// on: it is draining, its entry was removed less than the grace time of the catalog ago, or
// the store's last confirmation is so old that a drain may be unknown here.
func (t *Tracker) mayBeLeaving(now time.Time, entry *catalog.Entry) bool {
	if entry == nil || entry.Gone(now) {
		return false
	}
	return entry.Draining || !entry.RemovedAt.IsZero() || now.Sub(t.snapshot.Confirmed[catalog.KindUpstreams]) >= leavingNotice
}

// newProbe returns a probe of an upstream and marks it as under way.
func (t *Tracker) newProbe(now time.Time, entry *catalog.Entry, trigger ProbeTrigger) Probe {
	state := t.stateOf(entry.Cookie)
	state.probe.pending, state.probe.requestedAt = true, now
	probe := Probe{Upstream: entry, Trigger: trigger}
	// The address of an upstream that failed or was removed may belong to another one
	// now.
	if service := t.snapshot.Service(entry.Service); service != nil && (state.trial || !entry.RemovedAt.IsZero()) {
		probe.HealthPath = service.HealthPath
	}
	return probe
}

// awaitsConfirmation reports whether a probe of an upstream failed and is repeated although
// the store may no longer list it.
func (t *Tracker) awaitsConfirmation(cookie flowcookie.Cookie) bool {
	probe := &t.stateOf(cookie).probe
	return probe.unsettled && !probe.doubtedAt.IsZero()
}

// reportable reports whether other instances are told of a failed probe with this trigger.
func reportable(trigger ProbeTrigger) bool {
	return trigger != TriggerReport && trigger != TriggerControl
}
