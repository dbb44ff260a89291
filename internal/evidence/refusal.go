package evidence

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// refusalConfirmedAfter is the least time between the first and the last of the refusals
	// that prove that an upstream that cannot be leaving has ended: the time in which an
	// answer on a flow contradicts the first one.
	refusalConfirmedAfter = LateProbeAfter
	// leavingConfirmedAfter is the same for an upstream that may be leaving. It closes its
	// port before its flows, so that an unanswered request is needed as well.
	leavingConfirmedAfter = 300 * time.Millisecond
	// leavingNotice is the least time between the store's confirmation that an upstream
	// drains and the closing of its port.
	leavingNotice = 2 * time.Second
)

// handleRefusal records that an upstream refused a probe. confirmed says that its process has
// ended; the refusal is then recorded like every other failure. Otherwise new flows avoid
// the upstream, and report says whether to tell other instances.
func (t *Tracker) handleRefusal(now time.Time, result ProbeResult) (confirmed, report bool) {
	state := t.stateOf(result.Upstream.Cookie)
	first := !state.probe.failed()
	if state.probe.refusedAt.IsZero() {
		state.probe.refusedAt = result.Started
	}
	since := result.Started.Sub(state.probe.refusedAt)
	entry := t.snapshot.Resolve(result.Upstream.Cookie)
	mayLeave := t.mayBeLeaving(now, entry)
	announced := mayLeave && (entry.Draining || !entry.RemovedAt.IsZero())
	needed, unanswered := refusalConfirmedAfter, true
	if mayLeave {
		needed, unanswered = leavingConfirmedAfter, state.unansweredAt.After(state.probe.refusedAt)
	}
	if since >= needed && unanswered {
		// Unless the end was announced, the first refusal was reported.
		return true, announced
	}
	state.probe.unsettled = first
	if !first {
		state.probe.recordOutcome(now, result.Outcome)
	}
	// An announced end needs no haste: RequestRetryProbes repeats the probe.
	if entry != nil && since < needed && !announced {
		probe := t.newProbe(now, entry, result.Trigger)
		probe.Delay = needed - since
		t.probes = append(t.probes, probe)
	}
	return false, since == 0 && first && !announced && reportable(result.Trigger)
}

// mayBeLeaving reports whether an upstream may have closed its port although its flows go
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

// awaitsConfirmation reports whether an upstream refused a probe and is probed again although
// the store may no longer list it.
func (t *Tracker) awaitsConfirmation(cookie flowcookie.Cookie) bool {
	probe := &t.stateOf(cookie).probe
	return probe.unsettled && !probe.refusedAt.IsZero()
}

// reportable reports whether other instances are told of a failed probe with this trigger.
func reportable(trigger ProbeTrigger) bool {
	return trigger != TriggerReport && trigger != TriggerControl
}
