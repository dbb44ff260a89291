package edge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/relay"
)

// sentAnswers is a contradiction that a loop has sent; to is empty when all peers get it.
type sentAnswers struct {
	to      string
	report  uint64
	answers []relay.UpstreamAnswer
}

// contradictingLoop returns a loop that knows the upstreams i-1 to i-n, and what it sends.
func contradictingLoop(t *testing.T, n int) (*trafficLoop, *[]sentAnswers) {
	t.Helper()
	metrics, err := NewMetrics()
	require.NoError(t, err)
	list := catalog.UpstreamsListed{Revision: uint64(n)}
	for i := 1; i <= n; i++ {
		list.Entries = append(list.Entries, catalog.UpstreamChange{Upstream: catalog.Upstream{
			ID: fmt.Sprintf("i-%d", i), Born: 1000, Capacity: 2, Service: "s", FailureDomain: "a", Revision: uint64(i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}})
	}
	c := catalog.New()
	c.Apply(time.Now(), list)
	snapshot, _ := c.Snapshot(time.Now())
	var sent []sentAnswers
	loop := &trafficLoop{
		engine: forward.New(forward.Config{FailureDomain: "a", MaxFlows: 10}), metrics: metrics, log: newFlowLog(&recordedLog{}),
		contradictionLimit: rate.NewLimiter(reportsPerSecond, reportsAtOnce),
		contradict: func(peer string, report uint64, answers []relay.UpstreamAnswer) {
			sent = append(sent, sentAnswers{peer, report, answers})
		},
		passOn: func(report uint64, answers []relay.UpstreamAnswer) {
			sent = append(sent, sentAnswers{"", report, answers})
		},
	}
	loop.engine.SetSnapshot(snapshot)
	return loop, &sent
}

// Guards against answers that do not reach the reporter, or that a reporter keeps to itself, and
// against ages rounded so that an answer looks newer.
func TestReportIsContradictedByTheAnswersOfPeers(t *testing.T) {
	now := time.Now()
	peer, sent := contradictingLoop(t, 2)
	peer.engine.RecordAnswer(now, flowcookie.Of("i-1", 1000))
	for _, id := range []string{"i-1", "i-2"} {
		peer.applyPeerReport(now, peerReport{upstream: relay.UpstreamIncarnation{ID: id, Born: 1000}, from: "edge-a-2", number: 7})
	}
	peer.sendContradictions(now.Add(1200 * time.Microsecond))
	answers := []relay.UpstreamAnswer{{Upstream: relay.UpstreamIncarnation{ID: "i-1", Born: 1000}, Age: 2 * time.Millisecond}}
	require.Equal(t, []sentAnswers{{"edge-a-2", 7, answers}}, *sent)

	reporter, sent := contradictingLoop(t, 2)
	reported := 0
	reporter.sendSilent = func(report uint64, upstreams []relay.UpstreamIncarnation) {
		require.EqualValues(t, 1, report)
		reported = len(upstreams)
	}
	reporter.unsentSilent = []relay.UpstreamIncarnation{{ID: "i-1", Born: 1000}, {ID: "i-2", Born: 1000}}
	reporter.sendSilentReports(now)
	require.Equal(t, 2, reported)
	reporter.applyContradictions(contradictionReport{"edge-a-1", relay.Answering{Report: 1, Answers: answers}, now.Add(3 * time.Millisecond)})
	reporter.sendContradictions(now.Add(4 * time.Millisecond))
	answers[0].Age = 3 * time.Millisecond
	require.Equal(t, []sentAnswers{{"", 1, answers}}, *sent)
}

// Guards against replies to reports of versions that would not read them.
func TestReportWithoutANumberIsNotContradicted(t *testing.T) {
	now := time.Now()
	peer, sent := contradictingLoop(t, 1)
	peer.engine.RecordAnswer(now, flowcookie.Of("i-1", 1000))
	peer.applyPeerReport(now, peerReport{upstream: relay.UpstreamIncarnation{ID: "i-1", Born: 1000}, from: "edge-a-2"})
	peer.sendContradictions(now)
	require.Empty(t, *sent)
}

// Guards against contradictions that fill links, or messages too large for a datagram, when an
// instance reports upstreams by the dozen.
func TestContradictionsAreLimited(t *testing.T) {
	const upstreams = 100
	now := time.Now()
	peer, sent := contradictingLoop(t, upstreams)
	for n := 1; n <= upstreams; n++ {
		id := fmt.Sprintf("i-%d", n)
		peer.engine.RecordAnswer(now, flowcookie.Of(id, 1000))
		peer.applyPeerReport(now, peerReport{upstream: relay.UpstreamIncarnation{ID: id, Born: 1000}, from: "edge-a-2", number: 7})
	}
	peer.sendContradictions(now)
	total := 0
	for _, message := range *sent {
		require.LessOrEqual(t, len(message.answers), relay.MaxReportedUpstreams)
		total += len(message.answers)
	}
	require.Equal(t, reportsAtOnce, total)
	require.EqualValues(t, upstreams-reportsAtOnce, peer.metrics.drops.Get(dropContradiction))
}
