package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/relay"
)

// Guards against resets by a slow instance that handles the result of a probe before the answers
// of peers that have arrived earlier and wait in another queue.
func TestQueuedContradictionsPrecedeProbeResults(t *testing.T) {
	cookie, other := flowcookie.Of("i-1", 1000), flowcookie.Of("i-2", 1000)
	failed, withdrawn := 0, 0
	for range 40 {
		loop, _ := contradictingLoop(t, 3)
		now := time.Now()
		c := catalog.New()
		c.Apply(now, catalog.UpstreamsListed{Revision: 3, Entries: []catalog.UpstreamChange{
			{Upstream: catalog.Upstream{ID: "i-1", Born: 1000, Capacity: 2, Service: "s", FailureDomain: "a", Revision: 1, Address: netip.MustParseAddrPort("10.0.0.1:80")}},
			{Upstream: catalog.Upstream{ID: "i-2", Born: 1000, Capacity: 2, Service: "s", FailureDomain: "b", Revision: 2, Address: netip.MustParseAddrPort("10.0.0.2:80")}},
		}})
		c.Apply(now, catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: 3})
		snapshot, _ := c.Snapshot(now)
		loop.engine.SetSnapshot(snapshot)
		loop.prober, loop.reportLimit = newProber(nil, func() {}), rate.NewLimiter(reportsPerSecond, reportsAtOnce)
		loop.sendSilent = func(uint64, []relay.UpstreamIncarnation) {}
		loop.contradictions = make(chan contradictionReport, reportQueue)
		started := now.Add(-220 * time.Millisecond)
		loop.engine.RecordSilenceReport(started.Add(evidence.LateProbeAfter), 7, "i-1", 1000)
		loop.engine.HandleProbeResult(started.Add(36*time.Millisecond), evidence.ProbeResult{
			Upstream: snapshot.Resolve(other), Outcome: evidence.ProbeAlive, Started: started.Add(35 * time.Millisecond),
		})
		loop.contradictions <- contradictionReport{"edge-a-2", relay.Answering{Report: 7, Answers: []relay.UpstreamAnswer{
			{Upstream: relay.UpstreamIncarnation{ID: "i-1", Born: 1000}, Age: time.Millisecond},
		}}, started.Add(120 * time.Millisecond)}
		loop.prober.results <- evidence.ProbeResult{Upstream: snapshot.Resolve(cookie), Outcome: evidence.ProbeSilent, Started: started}
		loop.processQueues(now)
		if loop.engine.ProbeFailed(cookie) {
			failed++
		} else {
			withdrawn++
		}
	}
	t.Logf("failed %d times, contradicted %d times", failed, withdrawn)
	require.Zero(t, failed)
}
