package edge

import (
	"context"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/relay"
)

const (
	// reportQueue is the maximum number of reports from peers that wait.
	reportQueue = 64
	// importQueue is the maximum number of flow handovers from peers that wait.
	importQueue = 4
	// reportsPerSecond and reportsAtOnce are the rate and the burst of upstreams
	// that an instance reports to peers. The burst fits into one datagram and
	// covers a rack. When a whole failure domain is lost, each instance notices it
	// itself, and reports of all upstreams by all instances would fill their links.
	reportsPerSecond = 50
	reportsAtOnce    = relay.MaxReportedUpstreams
	// loadReportInterval is the time between two reports on response times. Within the
	// 2 s in which the queues of an overloaded failure domain fill up, the other domains
	// and the peers report several times.
	loadReportInterval = 250 * time.Millisecond
	// loadReportQueue is the maximum number of reports on response times that wait. The
	// traffic goroutine takes them with the next packet.
	loadReportQueue = 64
)

// loadReport is what an instance reports on response times and requests in flight.
type loadReport struct {
	from       relay.Member
	report     relay.LoadReport
	receivedAt time.Time
}

// peerReport is a report about an upstream from a peer, which is another instance of
// the failure domain: the upstream does not answer probes or, if lost is set, it left a
// request unanswered.
type peerReport struct {
	upstream relay.UpstreamIncarnation
	lost     bool
	// from is the name of the peer, number that of its report of silent upstreams; 0 from
	// versions without numbers.
	from   string
	number uint64
}

// processQueues processes what waits for the traffic goroutine: results of probes,
// unanswered probes, reports from peers, imports and exports of flows, and questions.
func (loop *trafficLoop) processQueues(now time.Time) {
	defer loop.sendSilentReports(now)
	for {
		select {
		case result := <-loop.prober.results:
			loop.applyBeforeResults(now)
			loop.applyProbeResult(now, result)
		case probe := <-loop.prober.unanswered:
			loop.applyUnansweredProbe(now, probe)
		case report := <-loop.reports:
			loop.applyPeerReport(now, report)
		case received := <-loop.contradictions:
			loop.applyContradictions(received)
		case flows := <-loop.imports:
			loop.engine.ImportFlows(now, flows)
		case received := <-loop.loads:
			loop.applyLoadReport(now, received)
		case answer := <-loop.exports:
			answer <- loop.engine.ExportFlows(now)
		case question := <-loop.questions:
			question(now, loop.engine)
		default:
			return
		}
	}
}

// applyProbeResult applies the result of a probe and sends resets for the flows that the
// engine gives up because of it.
func (loop *trafficLoop) applyProbeResult(now time.Time, result evidence.ProbeResult) {
	effect := loop.engine.HandleProbeResult(now, result)
	loop.log.logProbe(now, result, effect)
	loop.metrics.countProbe(result.Outcome, now.Sub(result.Started))
	if effect.Contradicted {
		loop.metrics.contradicted.Add(1)
	}
	if effect.Report {
		loop.queueSilentReport(now, result.Upstream)
	}
	decision := forward.Decision{
		Action: forward.Reset, Reason: forward.ReasonUpstreamFailed, Upstream: result.Upstream, Grounds: &effect.Grounds,
	}
	for i := range effect.Resets {
		loop.sendReset(&effect.Resets[i])
		loop.metrics.countDecision(decision, true)
		loop.log.logDecision(now, &effect.Resets[i], decision, loop.currentSnapshot)
	}
}

// applyUnansweredProbe applies a probe that has had no answer for evidence.LateProbeAfter.
func (loop *trafficLoop) applyUnansweredProbe(now time.Time, probe evidence.Probe) {
	reported := loop.engine.HandleLateProbe(now, probe) && loop.queueSilentReport(now, probe.Upstream)
	loop.log.logUnanswered(probe, reported)
}

// queueSilentReport queues a silent upstream for the next report to peers. It returns
// false when the rate limit does not allow it.
func (loop *trafficLoop) queueSilentReport(now time.Time, upstream *catalog.Entry) bool {
	if !loop.reportLimit.AllowN(now, 1) {
		return false
	}
	loop.unsentSilent = append(loop.unsentSilent, relay.UpstreamIncarnation{ID: upstream.ID, Born: upstream.Born})
	return true
}

// applyPeerReport applies a report from a peer.
func (loop *trafficLoop) applyPeerReport(now time.Time, received peerReport) {
	if received.lost {
		loop.engine.HandleLossReport(now, received.upstream.ID, received.upstream.Born)
		return
	}
	if received.number != 0 {
		loop.engine.HandleQuestion(now, received.from, received.number, received.upstream.ID, received.upstream.Born)
	}
	loop.engine.HandleSilenceReport(now, received.upstream.ID, received.upstream.Born)
}

// applyLoadReport applies a report on response times and, from a peer, on requests in flight.
func (loop *trafficLoop) applyLoadReport(now time.Time, received loadReport) {
	loop.engine.HandleLoadReports(now, received.from.FailureDomain, received.report.Services, received.report.Remote)
	if received.report.InFlight != nil && received.from.FailureDomain == loop.failureDomain {
		loop.engine.HandleInFlightReport(received.receivedAt, received.from.Name, received.report.InFlight)
	}
}

// reportLoads sends the reports on response times and requests in flight that are due.
func (loop *trafficLoop) reportLoads(now time.Time) {
	inFlight, _ := loop.engine.TakeInFlightReport(now)
	loop.sendLoad(loop.engine.TakeLoadReports(now), inFlight)
}

// reportLostRequests counts lost requests, logs failing upstreams, and reports to peers the
// requests that this instance saw itself, as far as the rate limit allows.
func (loop *trafficLoop) reportLostRequests(now time.Time) {
	var local []relay.UpstreamIncarnation
	for _, lost := range loop.engine.TakeLostRequests() {
		loop.metrics.countLostRequest(lost)
		if lost.StartsFailing {
			loop.log.logFailing(lost)
		}
		if lost.Local && len(local) < relay.MaxReportedUpstreams {
			local = append(local, relay.UpstreamIncarnation{ID: lost.Upstream.ID, Born: lost.Upstream.Born})
		}
	}
	if len(local) > 0 && loop.reportLimit.AllowN(now, len(local)) {
		loop.sendLost(local)
	}
}

// reportAvoided counts and logs the upstreams that new flows begin to avoid.
func (loop *trafficLoop) reportAvoided() {
	for _, avoided := range loop.engine.TakeAvoided() {
		loop.metrics.avoided.Add(int(avoided.Reason), 1)
		loop.log.logAvoided(avoided)
	}
}

// sendSilentReports sends the queued silent upstreams to peers.
func (loop *trafficLoop) sendSilentReports(now time.Time) {
	if len(loop.unsentSilent) > 0 {
		loop.silentReports++
		for _, u := range loop.unsentSilent {
			loop.engine.RecordSilenceReport(now, loop.silentReports, u.ID, u.Born)
		}
		loop.sendSilent(loop.silentReports, loop.unsentSilent)
		loop.unsentSilent = loop.unsentSilent[:0]
	}
}

// queuePeerReport queues a report from a peer. It never blocks and drops the report when the
// queue is full; a peer reports again when its next probe of another upstream fails.
func (loop *trafficLoop) queuePeerReport(received peerReport) {
	select {
	case loop.reports <- received:
		loop.wake()
	default:
	}
}

// queueLoadReport queues a report on response times. It drops the report when the queue
// is full, because newer ones follow.
func (loop *trafficLoop) queueLoadReport(received loadReport) {
	select {
	case loop.loads <- received:
	default:
		loop.metrics.countDrop(dropLoadReport)
	}
}

// importFlows queues flows of a peer for the traffic goroutine. It returns false when
// the queue is full.
func (loop *trafficLoop) importFlows(flows []forward.HandoverFlow) bool {
	select {
	case loop.imports <- flows:
		loop.wake()
		return true
	default:
		return false
	}
}

// exportFlows returns the flows that the engine remembers. It returns none when an
// export is already waiting or ctx ends before the traffic goroutine answers.
func (loop *trafficLoop) exportFlows(ctx context.Context) []forward.HandoverFlow {
	answer := make(chan []forward.HandoverFlow, 1)
	select {
	case loop.exports <- answer:
		loop.wake()
	default:
		return nil
	}
	select {
	case flows := <-answer:
		return flows
	case <-ctx.Done():
		return nil
	}
}
