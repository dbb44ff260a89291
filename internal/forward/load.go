package forward

import (
	"math"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/load"
)

const (
	// requestHalfLife is the half-life of the weight with which requests count as load
	// after they were sent. Flows differ in their requests, and an upstream that refuses
	// requests loses their flows, so that it would seem to have the least load.
	requestHalfLife = time.Second
	// waitingWeight is the number of open flows that a waiting request counts as: an open
	// flow may be idle for seconds, a waiting request takes a place in the queue now.
	waitingWeight = 4
	// maxWait is the time after which a request no longer counts as waiting. Its answer
	// may have been acknowledged through another instance.
	maxWait = 2 * time.Second
)

// upstreamLoad is what this instance sends to one upstream.
type upstreamLoad struct {
	// flows is the number of flow records, unanswered opens included, that are
	// attributed to the upstream; waiting is the number of those whose request waits for
	// an answer.
	flows, waiting int
	// opening is the number of the opening packets among flows that were sent within
	// openTimeout and are unanswered.
	opening int
	// requests is the number of requests, decayed with requestHalfLife since requestAt.
	requests  float64
	requestAt time.Time
	cold      coldLimiter
}

// total returns the load in open flows.
func (l *upstreamLoad) total(now time.Time) float64 {
	return float64(l.flows) + float64(waitingWeight*l.waiting) + l.recentRequests(now)
}

func (l *upstreamLoad) recentRequests(now time.Time) float64 {
	if l.requests == 0 {
		return 0
	}
	return l.requests * math.Exp2(-float64(now.Sub(l.requestAt))/float64(requestHalfLife))
}

func (e *Engine) loadOf(cookie flowcookie.Cookie) *upstreamLoad {
	load := e.loads[cookie]
	if load == nil {
		load = &upstreamLoad{}
		e.loads[cookie] = load
	}
	return load
}

// countRequest counts the request that a flow has just sent as waiting at its upstream.
func (e *Engine) countRequest(now time.Time, record *flowRecord) {
	if record.waiting || record.waitedOut || !record.answered {
		return
	}
	if e.epoch.IsZero() {
		e.epoch = now
	}
	record.waiting, record.waitingSince = true, now.Sub(e.epoch)
	load := e.loadOf(record.targets[0])
	load.waiting++
	e.beginInFlight(now, record)
	load.requests, load.requestAt = load.recentRequests(now)+1, now
}

// releaseRequest no longer counts the request of a flow as waiting.
func (e *Engine) releaseRequest(record *flowRecord) {
	if record.waiting {
		record.waiting = false
		e.loadOf(record.targets[0]).waiting--
		e.endInFlight(record)
	}
}

// attributeFlow attributes a flow to the upstream whose answer the caller accepted.
func (e *Engine) attributeFlow(record *flowRecord, cookie flowcookie.Cookie) {
	e.releaseLoad(record)
	e.loadOf(cookie).flows++
	record.targets = targetList{cookie}
	record.attempts, record.answered = 1, true
	if e.snapshot != nil { // Peers may hand over flows before the first snapshot.
		e.attachRoute(record, e.snapshot.Resolve(cookie))
	}
}

// removeFlow removes the flow record of a flow, if there is one.
func (e *Engine) removeFlow(flow Flow) {
	if record := e.flows.remove(flow); record != nil {
		e.releaseLoad(record)
	}
}

// releaseLoad subtracts a flow record from the load of its upstreams.
func (e *Engine) releaseLoad(record *flowRecord) {
	e.cancelHedge(record)
	e.releaseRequest(record)
	for n, target := range record.triedTargets() {
		if load := e.loads[target]; load != nil {
			load.flows--
		}
		e.endOpening(record, n)
	}
}

// recordResponseTime records the time from a request to its answer.
func (e *Engine) recordResponseTime(now time.Time, cookie flowcookie.Cookie, took time.Duration) {
	e.RecordResponseTime(now, cookie, took)
	switch entry := e.snapshot.Resolve(cookie); {
	case entry == nil:
	case entry.FailureDomain == e.cfg.FailureDomain:
		e.load.RecordAnswer(now, entry.Service, took)
	default:
		e.load.RecordRemoteAnswer(now, entry.Service, entry.FailureDomain, took)
	}
}

// TakeLoadReports returns the reports on response times that are to be sent to other
// instances.
func (e *Engine) TakeLoadReports(now time.Time) load.Reports {
	if e.inFlight != nil && e.snapshot != nil {
		perSlot := map[string]float64{}
		for name, service := range e.snapshot.Services() {
			perSlot[name], _ = e.occupancy(now, service)
		}
		e.load.SetOccupancies(perSlot)
	}
	return e.load.TakeReports(now, e.peerRank.Count)
}

// HandleLoadReports records what an instance of a failure domain reports. Services that
// the snapshot does not know are left out, because names come from messages.
func (e *Engine) HandleLoadReports(now time.Time, domain string, reports []load.Report, remote []load.RemoteReport) {
	unknown := func(service string) bool { return e.snapshot == nil || e.snapshot.Service(service) == nil }
	reports = slices.DeleteFunc(reports, func(r load.Report) bool { return unknown(r.Service) })
	if domain != e.cfg.FailureDomain {
		e.load.HandleReports(now, domain, reports)
		return
	}
	remote = slices.DeleteFunc(remote, func(r load.RemoteReport) bool {
		return r.Domain == e.cfg.FailureDomain || (r.Service != "" && unknown(r.Service))
	})
	e.load.HandlePeerReports(now, reports, remote)
}
