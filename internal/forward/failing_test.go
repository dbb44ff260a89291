package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// loseRequest sends a request on a flow that is not answered, and advances the clock
// until it counts as lost.
func (f *fixture) loseRequest(port int, cookie flowcookie.Cookie) {
	f.send(port, cookie, 101, 400, 100)
	f.now = f.now.Add(evidence.LostAfter)
	f.send(999, flowcookie.Of("i-1", 1000), 1, 1, 0)
}

// Guards against new flows to an upstream that leaves a part of its requests unanswered
// although it passes its health checks, also when other instances forwarded most of
// these requests; and against excluding it for good.
func TestUpstreamThatLosesRequestsGetsNoNewFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	failing := flowcookie.Of("i-2", 1000)
	port := 1
	for ; f.establish(port).Cookie != failing; port++ {
	}
	f.exchangeRequest(port, failing)
	f.loseRequest(port, failing)
	lost := f.engine.TakeLostRequests()
	require.Len(t, lost, 1)
	require.True(t, lost[0].Local)
	require.False(t, lost[0].StartsFailing, "a single lost request may be the caller's fault")
	for range 3 {
		f.engine.HandleLossReport(f.now, "i-2", 1000)
	}
	require.Empty(t, f.engine.TakeLostRequests(), "a change of the rotation loses several at once")
	f.advance(evidence.LossSpan)
	f.engine.HandleLossReport(f.now, "i-2", 1000)
	lost = f.engine.TakeLostRequests()
	require.Len(t, lost, 1, "reports of other instances are not reported again")
	require.True(t, lost[0].StartsFailing)
	for next := 100; next < 130; next++ {
		require.NotEqual(t, "i-2", f.open(next, 0).Upstream.ID)
	}
	f.advance(evidence.FailingFor)
	used := false
	for next := 200; next < 260; next++ {
		used = used || f.open(next, 0).Upstream.ID == "i-2"
	}
	require.True(t, used)
}

// Guards against upstreams that count as failing because a change of the rotation moved
// their flows to another instance.
func TestRequestsMovedByARotationChangeAreNoFailure(t *testing.T) {
	var all []catalog.Upstream
	for n := 1; n <= 10; n++ {
		u := upstream(n)
		if n > 4 {
			u.FailureDomain = "b"
		}
		all = append(all, u)
	}
	f := newFixture(t, all...)
	for round := range 4 {
		for n := range 4 {
			f.engine.HandleLossReport(f.now, all[n].ID, 1000)
			f.now = f.now.Add(time.Millisecond)
		}
		for _, lost := range f.engine.TakeLostRequests() {
			require.False(t, lost.StartsFailing, "round %d", round)
		}
	}
}

// Guards against counting requests as lost whose answers usually take that long, that
// were sent to a draining upstream or whose flow has ended.
func TestLateAnswersAreNoFailure(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	for round := uint32(0); round < 20; round++ {
		f.send(1, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(evidence.LostAfter/evidence.RequestTimeoutFactor + 10*time.Millisecond)
		f.send(1, cookie, 101+100*round, 401+400*round, 0)
	}
	f.send(1, cookie, 2001, 8001, 100)
	f.now = f.now.Add(evidence.LostAfter)
	f.open(7, 0)
	require.Empty(t, f.engine.TakeLostRequests(), "the usual response time is above a quarter of evidence.LostAfter")

	f = newFixture(t, upstream(1), upstream(2))
	cookie = f.establish(1).Cookie
	f.exchangeRequest(1, cookie)
	draining := f.engine.snapshot.Resolve(cookie).Upstream
	draining.Draining = true
	f.updateUpstream(draining)
	f.loseRequest(1, cookie)
	require.Empty(t, f.engine.TakeLostRequests(), "a draining upstream closes its flows")

	f = newFixture(t, upstream(1))
	cookie = f.establish(1).Cookie
	f.exchangeRequest(1, cookie)
	f.send(1, cookie, 101, 400, 100)
	f.engine.Decide(f.now, &Packet{Flow: caller(1), Cookie: cookie, Seq: 1201, Ack: 400, Fin: true})
	f.now = f.now.Add(evidence.LostAfter)
	f.open(7, 0)
	require.Empty(t, f.engine.TakeLostRequests(), "the caller ended the flow")
}
