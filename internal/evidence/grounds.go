package evidence

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// Never is the age of an event that has not happened.
const Never = time.Duration(-1)

// Grounds is what the standing of an upstream rests on. Ages count from the time of the call
// of Tracker.Grounds and are Never for events that have not happened.
type Grounds struct {
	// Draining is true for an upstream whose entry says so, listed or not.
	Draining bool
	// Missing is the time since its entry was found missing.
	Missing time.Duration
	// Answered is the time since a packet showed that it answers.
	Answered time.Duration
	// Outcome is the last recorded outcome of a probe, 0 without one, and Probed its age.
	Outcome ProbeOutcome
	Probed  time.Duration
	// Doubted is the time since the first failed probe that nothing has contradicted.
	Doubted time.Duration
	// Contradicted is the time since the last answer that a peer reported to contradict the
	// silence of the upstream.
	Contradicted time.Duration
	// Pending is true while a probe is under way.
	Pending bool
	// PathAnswered and PathUnanswered are the numbers of probes, of any upstream, that
	// started within half a second and had an answer in time or none; Reached is the time
	// since the last one began that was answered in time, and PathSlow that since the last
	// late answer. Many unanswered probes point to this instance.
	PathAnswered, PathUnanswered int
	Reached, PathSlow            time.Duration
}

// Grounds returns what the standing of an upstream rests on. It changes nothing.
func (t *Tracker) Grounds(now time.Time, entry *catalog.Entry) Grounds {
	age := func(at time.Time) time.Duration {
		if at.IsZero() {
			return Never
		}
		return now.Sub(at)
	}
	g := Grounds{Draining: entry.Draining, Missing: age(entry.RemovedAt), Answered: Never, Probed: Never, Doubted: Never, Contradicted: Never}
	g.PathAnswered, g.PathUnanswered = t.path.count(now.Add(-pathWindow))
	g.Reached, g.PathSlow = age(t.lastReachedStart), age(t.path.slowAt)
	if state := t.upstreams[entry.Cookie]; state != nil {
		g.Answered, g.Outcome, g.Probed = age(state.answeredAt), state.probe.outcome, age(state.probe.decidedAt)
		g.Doubted, g.Pending = age(state.probe.doubtedAt), state.probe.pending
		g.Contradicted = age(state.peersAnsweredAt)
	}
	return g
}
