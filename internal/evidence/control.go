package evidence

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// controlInterval is the least time between two rounds of control probes. It is
	// shorter than LateProbeAfter, so that every late probe has a round that begins
	// after the probe was requested.
	controlInterval = 20 * time.Millisecond
	// ControlProbes is the number of upstreams probed in a round. It is more than one
	// because one of them may be down.
	ControlProbes = 2
	// maxUnconfirmed is the maximum length of Tracker.unconfirmedProbes. One late probe
	// of a failure domain is enough to have the domain probed.
	maxUnconfirmed = 64
)

// startControlProbes probes the upstreams that answered last, unless an upstream has
// answered a probe that started at requestedAt or later. Without such an answer, this
// instance cannot tell a failed upstream from a fault of its own.
func (t *Tracker) startControlProbes(now time.Time, except flowcookie.Cookie, requestedAt time.Time) {
	if !t.lastReachedStart.Before(requestedAt) || now.Sub(t.lastControlAt) < controlInterval {
		return
	}
	t.lastControlAt = now
	t.requestControlProbes(now, except, ControlProbes, 0)
}

// requestControlProbes requests control probes that begin after a delay.
func (t *Tracker) requestControlProbes(now time.Time, except flowcookie.Cookie, count int, delay time.Duration) {
	for _, entry := range t.lastAnswered(except, count) {
		state := t.stateOf(entry.Cookie)
		state.probe.pending, state.probe.requestedAt = true, now
		t.probes = append(t.probes, Probe{Upstream: entry, Trigger: TriggerControl, Delay: delay})
	}
}

// lastAnswered returns up to count listed upstreams, those that answered last first. It leaves out except, upstreams with a probe under way and suspect ones. One of
// them is in another failure domain than except, if there is any: when most of a domain
// fails, its own upstreams do not show whether this instance is at fault.
func (t *Tracker) lastAnswered(except flowcookie.Cookie, count int) []*catalog.Entry {
	var last []*catalog.Entry
	var remote *catalog.Entry
	domain := ""
	if entry := t.snapshot.Resolve(except); entry != nil {
		domain = entry.FailureDomain
	}
	answered := func(entry *catalog.Entry) time.Time { return t.stateOf(entry.Cookie).answeredAt }
	for _, service := range t.snapshot.Services() {
		for _, entry := range service.Entries {
			if state := t.stateOf(entry.Cookie); entry.Cookie == except || state.probe.pending || state.isSuspect(t.lastControlAt) {
				continue
			}
			if entry.FailureDomain != domain && (remote == nil || answered(entry).After(answered(remote))) {
				remote = entry
			}
			at, _ := slices.BinarySearchFunc(last, entry, func(a, b *catalog.Entry) int { return answered(b).Compare(answered(a)) })
			if at < count {
				last = slices.Insert(last, at, entry)[:min(len(last)+1, count)]
			}
		}
	}
	if remote != nil && !slices.ContainsFunc(last, func(entry *catalog.Entry) bool { return entry.FailureDomain != domain }) {
		last[len(last)-1] = remote
	}
	return last
}

// recordProbeAnswer records that a probe that started at the given time was answered; a
// refusal counts as an answer. A late answer shows that this instance or its link is
// slow. A timely one confirms the late probes that were requested at that time or
// before, and the failure domains of their upstreams are probed.
func (t *Tracker) recordProbeAnswer(now, started time.Time) {
	if now.Sub(started) > LateProbeAfter {
		return
	}
	if !started.After(t.lastReachedStart) {
		return
	}
	t.lastReachedStart = started
	unconfirmed := t.unconfirmedProbes
	t.unconfirmedProbes = nil
	if len(unconfirmed) >= unansweredPerAnswer {
		t.requestControlProbes(now, flowcookie.None, maxAnswersNeeded, controlInterval)
	}
	for _, probe := range unconfirmed {
		if state := t.stateOf(probe.Upstream.Cookie); state.probe.unsettled && !state.probe.requestedAt.After(started) {
			t.probeNeighbours(now, probe.Upstream.Cookie, probe.Trigger)
		}
	}
}

// isConclusive reports whether a probe without an answer shows that its upstream has
// failed, and not that the path of this instance is at fault. It does when, from slowFor before
// it started, no other probe was answered late, the probes from openingSpan before on do not
// contradict each other, enough of them were answered, and one of the first two holds, or else
// the third one:
//   - an upstream answered a probe that started while the opening packets of this one were
//     sent;
//   - an upstream answered a later one, and an earlier probe of this upstream had no answer
//     either;
//   - the snapshot is Ready and the last probe of every other listed upstream failed.
func (t *Tracker) isConclusive(result ProbeResult) bool {
	if t.path.slowAt.After(result.Started.Add(-slowFor)) || t.path.isMixed(result.Started.Add(-openingSpan)) {
		return false
	}
	if !t.lastReachedStart.Before(result.Started) {
		if !t.path.answersFor(result.Started.Add(-openingSpan)) {
			return false
		}
		silentSince := t.stateOf(result.Upstream.Cookie).probe.silentSince
		return silentSince.Before(result.Started) || t.path.reachedWithin(result.Started, result.Started.Add(openingSpan))
	}
	if !t.snapshot.Ready() {
		return false
	}
	for _, service := range t.snapshot.Services() {
		for _, entry := range service.Entries {
			if entry.Cookie != result.Upstream.Cookie && !t.stateOf(entry.Cookie).probe.failed() {
				return false
			}
		}
	}
	return true
}
