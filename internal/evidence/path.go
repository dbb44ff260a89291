package evidence

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// An instance that is short of processor time, or whose link is full, finds upstreams silent
// that serve. Before it believes in the silence of others it looks at its own path, as the
// local health of Lifeguard does (Dadgar, Phillips, Currey: Lifeguard, local health awareness
// for more accurate failure detection, 2018).

const (
	// pathWindow is the time for which results of probes say something about the path of
	// this instance. It is longer than a probe without an answer takes.
	pathWindow = 500 * time.Millisecond
	// maxPathResults is the maximum number of results that are kept.
	maxPathResults = 512
)

// pathResult is the result of a probe as far as it concerns the path of this instance.
type pathResult struct {
	started time.Time
	domain  string
	// answered is true for an answer within LateProbeAfter.
	answered bool
}

// path is what the results of probes say about the path from this instance to the upstreams.
type path struct {
	// results holds the results of the probes that started within pathWindow, except late
	// answers and the repeated silence of upstreams that are known to have failed.
	results []pathResult
	// slowAt is when the path was last seen to be slow: a probe was answered after more
	// than LateProbeAfter.
	slowAt time.Time
}

// record adds a result.
func (p *path) record(now time.Time, result pathResult) {
	p.results = slices.DeleteFunc(p.results, func(r pathResult) bool { return now.Sub(r.started) > pathWindow })
	if len(p.results) < maxPathResults {
		p.results = append(p.results, result)
	}
}

// count returns the number of kept results with and without an answer of the probes that
// started at or after a time.
func (p *path) count(since time.Time) (answered, unanswered int) {
	for _, r := range p.results {
		switch {
		case r.started.Before(since):
		case r.answered:
			answered++
		default:
			unanswered++
		}
	}
	return answered, unanswered
}

func (t *Tracker) domainOf(cookie flowcookie.Cookie, fallback *catalog.Entry) string {
	if entry := t.snapshot.Resolve(cookie); entry != nil {
		return entry.FailureDomain
	}
	return fallback.FailureDomain
}

// recordPath records what the result of a probe says about the path of this instance.
func (t *Tracker) recordPath(now time.Time, result ProbeResult) {
	answered := result.Outcome != ProbeSilent
	if answered && now.Sub(result.Started) > LateProbeAfter {
		t.path.slowAt = now
		return
	}
	if !answered && t.stateOf(result.Upstream.Cookie).probe.failed() {
		return
	}
	t.path.record(now, pathResult{
		started: result.Started, domain: t.domainOf(result.Upstream.Cookie, result.Upstream), answered: answered,
	})
}
