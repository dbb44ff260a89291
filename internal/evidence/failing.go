package evidence

import (
	"math"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// LostAfter is how long a request may be unanswered before it counts as lost: four
	// times the 99th percentile of the users' response times. Upstreams are left out
	// when their request timeout is longer, which is the case when answers usually take
	// more than a quarter of LostAfter.
	LostAfter = 400 * time.Millisecond
	// lossHalfLife is the half-life of the weight of a lost request.
	lossHalfLife = time.Second
	// An upstream is failing when its weight of lost requests is at least minLosses
	// plus lossFactor times the average of the other upstreams of its service in its
	// failure domain. A change of the rotation moves flows away from an instance, which
	// then sees unanswered requests to all upstreams that it uses, mostly those of its
	// own domain.
	minLosses  = 2.5
	lossFactor = 2
	// LossSpan is the least time from the first lost request to the last one of a
	// failing upstream. A change of the rotation loses all requests within one response
	// time.
	LossSpan = 500 * time.Millisecond
	// minLossWeight is the weight below which the next lost request starts a new span.
	minLossWeight = 0.5
	// FailingFor is how long a failing upstream receives no new flows while others can
	// take them.
	FailingFor = 2 * time.Second
	// maxLostRequests is the maximum number of lost requests kept for TakeLostRequests.
	maxLostRequests = 64
)

// lossCount is the number of lost requests, decayed with lossHalfLife. began is when the
// present span started; at is the time of the last lost request.
type lossCount struct {
	weight    float64
	began, at time.Time
}

// add counts a lost request and returns the decayed weight.
func (l *lossCount) add(now time.Time) float64 {
	l.weight *= math.Exp2(-float64(now.Sub(l.at)) / float64(lossHalfLife))
	if l.weight < minLossWeight {
		l.began = now
	}
	l.weight++
	l.at = now
	return l.weight
}

// LostRequest is a request that an upstream did not answer although it accepts flows and
// may answer others.
type LostRequest struct {
	Upstream *catalog.Entry
	// Local is true for a request that this instance forwarded, false for a report of
	// another instance.
	Local bool
	// StartsFailing is true when this lost request starts a period in which the upstream
	// receives no new flows while others can take them. Later losses extend the period
	// and have false. Weight is the upstream's decayed number of lost requests, Average
	// that of the other upstreams of its service in its failure domain.
	StartsFailing   bool
	Weight, Average float64
}

// HandleLossReport records another instance's report that an upstream lost a request.
// id and born identify the incarnation; born is its start in Unix milliseconds. Reports
// are ignored before the first snapshot, and for upstreams that are unknown, not listed
// or draining.
func (t *Tracker) HandleLossReport(now time.Time, id string, born int64) {
	if t.snapshot != nil {
		t.RecordLoss(now, flowcookie.Of(id, born), false)
	}
}

// lossGroup identifies the upstreams that an upstream's losses are compared with: those
// of its service in its failure domain.
type lossGroup struct{ service, domain string }

// RecordLoss counts a lost request of an upstream and of its group, and marks the
// upstream as failing when minLosses, lossFactor and LossSpan say so. local is true for a
// request that this instance forwarded.
func (t *Tracker) RecordLoss(now time.Time, cookie flowcookie.Cookie, local bool) {
	entry := t.snapshot.Resolve(cookie)
	// A draining upstream closes its flows after their next answer, so that further
	// requests on them remain unanswered.
	if entry == nil || !entry.Listed() || entry.Draining {
		return
	}
	service := t.snapshot.Service(entry.Service)
	if service == nil {
		return
	}
	group, others := lossGroup{entry.Service, entry.FailureDomain}, 0
	for _, other := range service.Entries {
		if other.FailureDomain == entry.FailureDomain && other != entry {
			others++
		}
	}
	total := t.groupLosses[group]
	if total == nil {
		total = &lossCount{at: now}
		t.groupLosses[group] = total
	}
	state := t.stateOf(cookie)
	lost := LostRequest{Upstream: entry, Local: local, Weight: state.losses.add(now)}
	lost.Average = (total.add(now) - lost.Weight) / float64(max(others, 1))
	if lost.Weight >= minLosses+lossFactor*lost.Average && now.Sub(state.losses.began) >= LossSpan {
		lost.StartsFailing = !now.Before(state.failingUntil)
		state.failingUntil = now.Add(FailingFor)
	}
	if len(t.lostRequests) < maxLostRequests && (local || lost.StartsFailing) {
		t.lostRequests = append(t.lostRequests, lost)
	}
}

// TakeLostRequests returns and removes the lost requests since the last call: those of
// this instance, and the reported ones that made an upstream failing. At most
// maxLostRequests are kept between two calls; further ones are not returned.
func (t *Tracker) TakeLostRequests() []LostRequest {
	lost := t.lostRequests
	t.lostRequests = nil
	return lost
}
