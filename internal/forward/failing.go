package forward

import (
	"math"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// lostAfter is how long a request may have no answer until it counts as
	// lost: four times the 99th percentile of the users' answers. Services whose
	// answers usually take a quarter of that are left out.
	lostAfter = 400 * time.Millisecond
	// lossHalfLife is the time in which lost requests lose half of their weight.
	lossHalfLife = time.Second
	// An upstream fails while its lost requests exceed minLosses and lossFactor
	// times the average of the others of its service in its failure domain. A
	// change of the rotation moves flows away from an instance, which then sees
	// requests to all upstreams that it uses unanswered: mostly those of its
	// domain.
	minLosses  = 2.5
	lossFactor = 2
	// lossSpan is the least time over which they were lost: a change of the
	// rotation loses all of them within the time of an answer.
	lossSpan = 500 * time.Millisecond
	// lossesOver is the weight below which the next loss begins a new span.
	lossesOver = 0.5
	// failingFor is how long a failing upstream gets no new flows while others
	// can take them.
	failingFor = 2 * time.Second
	// maxFailures bounds the lost requests that wait to be told to others.
	maxFailures = 64
)

// losses is a number of lost requests that decays.
type losses struct {
	weight    float64
	began, at time.Time
}

// add adds a lost request and returns the present weight.
func (l *losses) add(now time.Time) float64 {
	l.weight *= math.Exp2(-float64(now.Sub(l.at)) / float64(lossHalfLife))
	if l.weight < lossesOver {
		l.began = now
	}
	l.weight++
	l.at = now
	return l.weight
}

// Failure is a request that an upstream did not answer although it accepts flows
// and answers others.
type Failure struct {
	Upstream *catalog.Entry
	// Own is set for a request that this instance has seen.
	Own bool
	// Failing is set when the upstream gets no new flows from now on; Weight and
	// Average are its lost requests and those that the others of its service in
	// its failure domain have on average.
	Failing         bool
	Weight, Average float64
}

// pendingAnswer is a request that waits for its answer.
type pendingAnswer struct {
	record *flowRecord
	sent   time.Time
}

// checkAnswers takes requests whose answers are overdue as lost. Only flows
// whose answers are acknowledged at once tell.
func (e *Engine) checkAnswers(now time.Time) {
	for len(e.answers) > 0 && now.Sub(e.answers[0].sent) >= lostAfter {
		pending := e.answers[0]
		e.answers = e.answers[1:]
		record := pending.record
		if !record.asked.Equal(pending.sent) || e.flows.get(record.flow) != record {
			continue
		}
		cookie := record.targets[0]
		if e.askLimit(cookie, e.statsOf(cookie)) <= lostAfter {
			e.lose(now, cookie, true)
		}
	}
}

// Lost takes in another instance's word that an upstream lost a request.
func (e *Engine) Lost(now time.Time, id string, born int64) {
	if e.view != nil {
		e.lose(now, flowcookie.Of(id, born), false)
	}
}

// lossGroup are the upstreams that an upstream is compared to.
type lossGroup struct{ service, domain string }

// lose counts a lost request against an upstream and its group.
func (e *Engine) lose(now time.Time, cookie flowcookie.Cookie, own bool) {
	entry := e.view.Resolve(cookie)
	// An upstream that drains ends its flows after their next answer.
	if entry == nil || !entry.Listed() || entry.Draining {
		return
	}
	service := e.view.Service(entry.Service)
	if service == nil {
		return
	}
	group, others := lossGroup{entry.Service, entry.FailureDomain}, 0
	for _, other := range service.Entries {
		if other.FailureDomain == entry.FailureDomain && other != entry {
			others++
		}
	}
	total := e.losses[group]
	if total == nil {
		total = &losses{at: now}
		e.losses[group] = total
	}
	stats := e.statsOf(cookie)
	failure := Failure{Upstream: entry, Own: own, Weight: stats.lost.add(now)}
	failure.Average = (total.add(now) - failure.Weight) / float64(max(others, 1))
	if failure.Weight >= minLosses+lossFactor*failure.Average && now.Sub(stats.lost.began) >= lossSpan {
		failure.Failing = !now.Before(stats.failingUntil)
		stats.failingUntil = now.Add(failingFor)
	}
	if len(e.failures) < maxFailures && (own || failure.Failing) {
		e.failures = append(e.failures, failure)
	}
}

// TakeFailures returns the lost requests since the last call.
func (e *Engine) TakeFailures() []Failure {
	failures := e.failures
	e.failures = nil
	return failures
}
