package forward

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// controlInterval is the time between two rounds of control probes: shorter
	// than UnansweredAfter, so that a round begins after every probe it is for.
	controlInterval = 20 * time.Millisecond
	// controls is the number of upstreams probed in a round; one may be down.
	controls = 2
	// maxUnconfirmed bounds the probes that wait for a control; one is enough to
	// have its failure domain probed.
	maxUnconfirmed = 64
)

// control probes the upstreams that answered last, unless one has answered a
// probe that began after the given time. Without an answer from them, this
// instance cannot tell a silent upstream from its own trouble.
func (e *Engine) control(now time.Time, except flowcookie.Cookie, began time.Time) {
	if !e.reached.Before(began) || now.Sub(e.controlled) < controlInterval {
		return
	}
	e.controlled = now
	for _, entry := range e.lastAnswered(except) {
		stats := e.statsOf(entry.Cookie)
		stats.probe.pending, stats.probe.asked = true, now
		e.probes = append(e.probes, Probe{Upstream: entry, Sign: SignControl})
	}
}

// lastAnswered returns the listed upstreams that answered last and are not
// probed already.
func (e *Engine) lastAnswered(except flowcookie.Cookie) []*catalog.Entry {
	var last []*catalog.Entry
	answered := func(entry *catalog.Entry) time.Time { return e.statsOf(entry.Cookie).answered }
	for _, service := range e.view.Services() {
		for _, entry := range service.Entries {
			if stats := e.statsOf(entry.Cookie); entry.Cookie == except || stats.probe.pending || stats.suspect(e.controlled) {
				continue
			}
			at, _ := slices.BinarySearchFunc(last, entry, func(a, b *catalog.Entry) int { return answered(b).Compare(answered(a)) })
			if at < controls {
				last = slices.Insert(last, at, entry)[:min(len(last)+1, controls)]
			}
		}
	}
	return last
}

// answeredProbe takes in that an upstream answered a probe. A late answer shows
// that this instance or its link is slow.
func (e *Engine) answeredProbe(now, began time.Time) {
	if now.Sub(began) > UnansweredAfter {
		e.slow = now
		return
	}
	if !began.After(e.reached) {
		return
	}
	e.reached = began
	unconfirmed := e.unconfirmed
	e.unconfirmed = nil
	for _, probe := range unconfirmed {
		if stats := e.statsOf(probe.Upstream.Cookie); stats.probe.late && !stats.probe.asked.After(began) {
			e.probeNeighbours(now, probe.Upstream.Cookie, probe.Sign)
		}
	}
}

// conclusive tells whether a probe without an answer shows that its upstream is
// silent: this instance reached another upstream meanwhile, or there is none,
// and no answer was late.
func (e *Engine) conclusive(result ProbeResult) bool {
	if e.slow.After(result.Started) {
		return false
	}
	if !e.reached.Before(result.Started) {
		return true
	}
	if !e.view.Ready() {
		return false
	}
	for _, service := range e.view.Services() {
		for _, entry := range service.Entries {
			if entry.Cookie != result.Upstream.Cookie && !e.statsOf(entry.Cookie).probe.failed() {
				return false
			}
		}
	}
	return true
}
