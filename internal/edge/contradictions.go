package edge

import (
	"time"

	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/relay"
)

// contradictionReport holds answers by which a peer contradicts a report of silent upstreams.
type contradictionReport struct {
	from       string
	answering  relay.Answering
	receivedAt time.Time
}

// queueContradiction queues answers from a peer. It never blocks and drops them when the queue
// is full: other peers answer the same report.
func (loop *trafficLoop) queueContradiction(received contradictionReport) {
	select {
	case loop.contradictions <- received:
		loop.wake()
	default:
		loop.metrics.countDrop(dropContradiction)
	}
}

// applyBeforeResults applies the queued contradictions and late probes, on which the verdicts on
// results of probes rest.
func (loop *trafficLoop) applyBeforeResults(now time.Time) {
	for {
		select {
		case received := <-loop.contradictions:
			loop.applyContradictions(received)
		case probe := <-loop.prober.unanswered:
			loop.applyUnansweredProbe(now, probe)
		default:
			return
		}
	}
}

// applyContradictions records the answers of a peer: the reply to a report of this instance, or
// what the peer passes on about a report of its own.
func (loop *trafficLoop) applyContradictions(received contradictionReport) {
	reporter := ""
	if received.answering.PassedOn {
		reporter = received.from
	}
	for _, answer := range received.answering.Answers {
		loop.engine.HandleContradiction(received.receivedAt, evidence.Contradiction{
			ID: answer.Upstream.ID, Born: answer.Upstream.Born, Age: answer.Age, Reporter: reporter, Report: received.answering.Report,
		})
	}
}

// sendContradictions tells the reporters of silent upstreams which of these answer this
// instance, and all peers which of those answer that this instance reported, as far as the rate
// limit allows. Answers to one report go into one message.
func (loop *trafficLoop) sendContradictions(now time.Time) {
	found := loop.engine.TakeContradictions(now)
	for len(found) > 0 {
		first, n := found[0], 0
		var answers []relay.UpstreamAnswer
		for n < len(found) && n < relay.MaxReportedUpstreams && found[n].Reporter == first.Reporter && found[n].Report == first.Report {
			answers = append(answers, upstreamAnswer(found[n]))
			n++
		}
		found = found[n:]
		allowed := max(min(n, int(loop.contradictionLimit.TokensAt(now))), 0)
		loop.metrics.drops.Add(dropContradiction, int64(n-allowed))
		switch {
		case allowed == 0 || !loop.contradictionLimit.AllowN(now, allowed):
		case first.Reporter == "":
			loop.passOn(first.Report, answers[:allowed])
		default:
			loop.contradict(first.Reporter, first.Report, answers[:allowed])
		}
	}
}

// upstreamAnswer returns a contradiction as it is sent. Its age is rounded up, so that the
// answer does not look newer.
func upstreamAnswer(c evidence.Contradiction) relay.UpstreamAnswer {
	return relay.UpstreamAnswer{
		Upstream: relay.UpstreamIncarnation{ID: c.ID, Born: c.Born}, Age: (c.Age + time.Millisecond - 1).Truncate(time.Millisecond),
	}
}
