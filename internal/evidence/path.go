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
	// slowFor is the time for which a late answer makes the silence of upstreams prove nothing:
	// a link that delays some packets loses others.
	slowFor = time.Second
	// openingSpan is the time in which the opening packets of a probe are sent.
	openingSpan = 100 * time.Millisecond
	// unansweredPerAnswer and maxAnswersNeeded are the numbers of answersFor.
	unansweredPerAnswer = 5
	maxAnswersNeeded    = 4
	// minMixed is the least number of unanswered probes for which isMixed reports true.
	minMixed = 3
	// maxProbeTime is the time from the begin of a probe without an answer to its result after
	// which this instance was paused meanwhile: the attempt takes 220 ms.
	maxProbeTime = 300 * time.Millisecond
	// maxUnconfirmedReports is the number of late probes of which none is confirmed by an
	// answer of another upstream from which this instance reports none to its peers.
	maxUnconfirmedReports = 3
	// maxPathResults is the maximum number of results that are kept.
	maxPathResults = 512
)

// pathResult is the result of a probe as far as it concerns the path of this instance.
type pathResult struct {
	upstream flowcookie.Cookie
	started  time.Time
	domain   string
	// answered is true for an answer within LateProbeAfter. It is false for a probe without an
	// answer, and for one that is late and under way.
	answered bool
}

// path is what the results of probes say about the path from this instance to the upstreams.
type path struct {
	// results holds the results of the probes that started within pathWindow, except late
	// answers and the repeated silence of upstreams that are known to have failed.
	results []pathResult
	// slowAt is when the path was last seen to be slow: a probe was answered after more
	// than LateProbeAfter, or had no answer after more than maxProbeTime.
	slowAt time.Time
}

// record adds a result, and removes those that are older than pathWindow or that it replaces:
// results without an answer of the same upstream.
func (p *path) record(now time.Time, result pathResult) {
	p.results = slices.DeleteFunc(p.results, func(r pathResult) bool {
		return now.Sub(r.started) > pathWindow || (!r.answered && r.upstream == result.upstream)
	})
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

// reachedWithin reports whether a probe that was answered in time started between two times.
func (p *path) reachedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(p.results, func(r pathResult) bool {
		return r.answered && !r.started.Before(from) && !r.started.After(to)
	})
}

// answersFor reports whether enough of the probes that started at or after a time were answered
// in time: one for each unansweredPerAnswer without an answer, and maxAnswersNeeded at most. A
// single packet may get through a link that loses nearly all.
func (p *path) answersFor(since time.Time) bool {
	answered, unanswered := p.count(since)
	return answered >= min(1+unanswered/unansweredPerAnswer, maxAnswersNeeded)
}

// isMixed reports whether the probes that started at or after a time contradict each other: a
// failure domain had answers in time and more probes without one, and so it is not this domain
// alone that is in trouble, because probes into another one had no answer either or no domain
// had as many answers. Upstreams fail one by one, some in each domain, or most of one domain.
// An instance whose link is full loses the packets of any of them. With maxAnswersNeeded answers
// the probes do not contradict each other: many upstreams may fail at once, and only few of the
// others are probed. The same holds for fewer than minMixed unanswered ones, as in a small
// deployment.
func (p *path) isMixed(since time.Time) bool {
	type counts struct{ answered, unanswered int }
	domains := map[string]counts{}
	for _, r := range p.results {
		if r.started.Before(since) {
			continue
		}
		c := domains[r.domain]
		if r.answered {
			c.answered++
		} else {
			c.unanswered++
		}
		domains[r.domain] = c
	}
	var total counts
	mixed, healthy, silentDomains := false, false, 0
	for _, c := range domains {
		total.answered, total.unanswered = total.answered+c.answered, total.unanswered+c.unanswered
		if c.unanswered > 0 {
			silentDomains++
		}
		healthy = healthy || (c.answered > 0 && c.answered >= c.unanswered)
		mixed = mixed || (c.answered > 0 && c.answered < c.unanswered)
	}
	enough := total.unanswered < minMixed || total.answered >= maxAnswersNeeded
	return mixed && !enough && (silentDomains > 1 || !healthy)
}

// pathDoubted reports whether the recent probes say that the path of this instance, and not the
// upstreams, is at fault. Such an instance must not make others probe, or probe for others.
func (t *Tracker) pathDoubted(now time.Time) bool {
	since := now.Add(-pathWindow)
	if t.path.slowAt.After(since) || t.path.isMixed(since) {
		return true
	}
	unconfirmed := 0
	for _, probe := range t.unconfirmedProbes {
		if t.stateOf(probe.Upstream.Cookie).probe.requestedAt.After(since) {
			unconfirmed++
		}
	}
	if unconfirmed >= maxUnconfirmedReports {
		return true
	}
	answered, unanswered := t.path.count(since)
	return answered == 0 && unanswered >= maxUnconfirmedReports
}

// domainOf returns the failure domain of an upstream, from fallback if the snapshot does not
// know it any more.
func (t *Tracker) domainOf(cookie flowcookie.Cookie, fallback *catalog.Entry) string {
	if entry := t.snapshot.Resolve(cookie); entry != nil {
		return entry.FailureDomain
	}
	return fallback.FailureDomain
}

// recordPath records what the result of a probe says about the path of this instance.
func (t *Tracker) recordPath(now time.Time, result ProbeResult) {
	answered := result.Outcome != ProbeSilent
	if result.Identified && now.Sub(result.Started) > LateProbeAfter {
		return
	}
	if took := now.Sub(result.Started); took > maxProbeTime || (answered && took > LateProbeAfter) {
		t.path.slowAt = now
		return
	}
	if !answered && t.stateOf(result.Upstream.Cookie).probe.failed() {
		return
	}
	t.path.record(now, pathResult{
		upstream: result.Upstream.Cookie, started: result.Started, domain: t.domainOf(result.Upstream.Cookie, result.Upstream), answered: answered,
	})
}

// recordLate records a probe that is late, unless the upstream is known to have failed.
func (t *Tracker) recordLate(now time.Time, probe Probe) {
	state := t.stateOf(probe.Upstream.Cookie)
	if state.probe.failed() {
		return
	}
	t.path.record(now, pathResult{
		upstream: probe.Upstream.Cookie, started: now.Add(-LateProbeAfter), domain: t.domainOf(probe.Upstream.Cookie, probe.Upstream),
	})
}
