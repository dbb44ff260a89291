package edge

import (
	"context"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/relay"
)

const (
	// reportQueue is the number of words of mates that may wait.
	reportQueue = 64
	// importQueue is the number of mates whose flows may wait.
	importQueue = 4
	// reportsPerSecond and reportsAtOnce bound the silent upstreams that an
	// instance reports. What fits into a datagram covers a rack; when a whole
	// failure domain is lost every instance sees signs of its own, and reports
	// of all its upstreams by all instances would fill their links.
	reportsPerSecond = 50
	reportsAtOnce    = relay.MaxNames
)

// report is a mate's word on an upstream: that it does not answer probes, or
// that it lost a request.
type report struct {
	upstream relay.UpstreamName
	lost     bool
}

// takeResults acts on the outcomes of probes and the words of mates.
func (t *traffic) takeResults(now time.Time) {
	defer t.sendReports()
	for {
		select {
		case result := <-t.prober.results:
			t.takeResult(now, result)
		case probe := <-t.prober.unanswered:
			t.takeUnanswered(now, probe)
		case report := <-t.reports:
			t.takeReport(now, report)
		case flows := <-t.imports:
			t.engine.Import(now, flows)
		case answer := <-t.exports:
			answer <- t.engine.Export(now)
		default:
			return
		}
	}
}

func (t *traffic) takeResult(now time.Time, result forward.ProbeResult) {
	abandoned := t.engine.Probed(now, result)
	t.log.probed(now, result, abandoned)
	t.metrics.probed(result.Verdict, now.Sub(result.Started))
	if abandoned.Report {
		t.report(now, result.Upstream)
	}
	decision := forward.Decision{Action: forward.Reset, Reason: forward.ReasonUpstreamSilent, Upstream: result.Upstream}
	for i := range abandoned.Flows {
		t.sendReset(&abandoned.Flows[i])
		t.metrics.decided(decision)
		t.log.decided(now, &abandoned.Flows[i], decision, t.adopted)
	}
}

// takeUnanswered acts on a probe that has had no answer for a while.
func (t *traffic) takeUnanswered(now time.Time, probe forward.Probe) {
	report := t.engine.Unanswered(now, probe) && t.report(now, probe.Upstream)
	t.log.unanswered(probe, report)
}

// report notes an upstream that does not answer for the mates; false when too
// many were reported lately.
func (t *traffic) report(now time.Time, upstream *catalog.Entry) bool {
	if !t.reportLimit.AllowN(now, 1) {
		return false
	}
	t.unreported = append(t.unreported, relay.UpstreamName{ID: upstream.ID, Born: upstream.Born})
	return true
}

func (t *traffic) takeReport(now time.Time, word report) {
	if word.lost {
		t.engine.Lost(now, word.upstream.ID, word.upstream.Born)
		return
	}
	t.engine.Reported(now, word.upstream.ID, word.upstream.Born)
}

// tellFailures logs lost requests and tells the mates of its own.
func (t *traffic) tellFailures(now time.Time) {
	var own []relay.UpstreamName
	for _, failure := range t.engine.TakeFailures() {
		t.metrics.lostRequest(failure)
		if failure.Failing {
			t.log.failing(failure)
		}
		if failure.Own && len(own) < relay.MaxNames {
			own = append(own, relay.UpstreamName{ID: failure.Upstream.ID, Born: failure.Upstream.Born})
		}
	}
	if len(own) > 0 && t.reportLimit.AllowN(now, len(own)) {
		t.lost(own)
	}
}

// sendReports tells the mates of the upstreams that do not answer.
func (t *traffic) sendReports() {
	if len(t.unreported) > 0 {
		t.silent(t.unreported)
		t.unreported = t.unreported[:0]
	}
}

// reported takes in a mate's word on an upstream. It never blocks; a mate
// reports again when its next probe of another upstream fails.
func (t *traffic) reported(word report) {
	select {
	case t.reports <- word:
		t.wake()
	default:
	}
}

// importFlows hands flows of a mate to the traffic goroutine; false when too
// many wait.
func (t *traffic) importFlows(flows []forward.FlowState) bool {
	select {
	case t.imports <- flows:
		t.wake()
		return true
	default:
		return false
	}
}

// exportFlows returns the flows that the engine remembers; none when ctx ends
// before the traffic goroutine answers.
func (t *traffic) exportFlows(ctx context.Context) []forward.FlowState {
	answer := make(chan []forward.FlowState, 1)
	select {
	case t.exports <- answer:
		t.wake()
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
