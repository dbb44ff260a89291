package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against opening packets that are lost when an upstream does not answer:
// the copies must not go to the upstream that did not answer the first one.
func TestCopiesOfAnOpeningPacketGoToOtherUpstreams(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	seen := map[string]bool{}
	for n := range 3 {
		d := f.open(1, n)
		require.Equal(t, Forward, d.Action)
		seen[d.Upstream.ID] = true
		f.advance(200 * time.Millisecond)
	}
	require.Len(t, seen, 3)
}

// Guards against uneven load in normal operation: plain hashing gave the busiest
// upstream 1.3 to 1.4 times the mean.
func TestNewFlowsSpreadEvenly(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3), upstream(4))
	flows := map[string]int{}
	for port := 1; port <= 400; port++ {
		flows[f.establish(port).ID]++
	}
	for id, n := range flows {
		require.Equal(t, 100, n, id)
	}
}

// Guards against overload of a cold upstream when a whole service is cold: for every
// number of instances, the sum of their budgets must not exceed the limit.
func TestColdBudgetsAddUpToTheLimit(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 3, 8, 40, 300} {
		for _, count := range []int{1, 2, 3, 9, 18, 70} {
			total := 0
			for rank := range count {
				total += instanceColdBudget(rate, 1.5, 5, PeerRank{Rank: rank, Count: count})
			}
			limit := rate*1.5 + 5
			require.LessOrEqual(t, float64(total), limit, "rate %g, %d instances", rate, count)
			require.Positive(t, total)
		}
	}
}

// Guards against flows to cold upstreams while others can take them, and against a
// burst above the limit that straddles two windows.
func TestColdUpstreamsAreUsedLastAndWithinTheirLimit(t *testing.T) {
	cold := func(n int) catalog.Upstream { u := upstream(n); u.ColdFor = time.Minute; return u }
	f := newFixture(t, cold(1), upstream(2))
	for port := 1; port <= 50; port++ {
		require.Equal(t, "i-2", f.establish(port).ID)
	}

	f = newFixture(t, cold(1))
	budget := instanceColdBudget(10, 1.5, 5, PeerRank{})
	var sent []time.Time
	for port := 1; port <= 400; port++ {
		if f.open(port, 0).Action == Forward {
			sent = append(sent, f.now)
		}
		f.advance(17 * time.Millisecond)
	}
	for i := range sent {
		if i >= budget {
			require.Greater(t, sent[i].Sub(sent[i-budget]), time.Second)
		}
	}
	require.Greater(t, len(sent), 2*budget)
}

// Guards against two faults when the store loses all entries at once: refusing callers
// while the upstreams still run, and sending to the upstreams for longer than the
// users' bound allows.
func TestMissingUpstreamIsUsedOnlyWhenNoneIsListed(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.removeUpstream("i-1")
	require.Equal(t, "i-2", f.open(1, 0).Upstream.ID)
	f.removeUpstream("i-2")
	d := f.open(2, 0)
	require.Equal(t, Forward, d.Action)
	f.advance(2500 * time.Millisecond)
	d = f.open(3, 0)
	require.Equal(t, Reset, d.Action)
	require.Equal(t, ReasonNoUpstream, d.Reason)
}

// Guards against new flows that queue at a slow upstream of a small failure domain
// while other upstreams of the service are idle, and against an upstream that stays
// excluded after it has recovered.
func TestSlowUpstreamGetsNoNewFlowsWhileOthersCan(t *testing.T) {
	remote := func(n int) catalog.Upstream { u := upstream(n); u.FailureDomain = "b"; return u }
	f := newFixture(t, upstream(1), remote(2), remote(3))
	cookie := flowcookie.Of("i-1", 1000)
	answer := func(port int, round uint32, took time.Duration) {
		f.send(port, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(took)
		f.send(port, cookie, 101+100*round, 401+400*round, 0)
	}
	require.Equal(t, "i-1", f.establish(1).ID)
	round := uint32(0)
	for ; round < 50; round++ {
		answer(1, round, 25*time.Millisecond)
	}
	require.Equal(t, "i-1", f.open(2, 0).Upstream.ID)
	for ; round < 60; round++ {
		answer(1, round, 300*time.Millisecond)
	}
	f.advance(0)
	require.NotEqual(t, "i-1", f.open(3, 0).Upstream.ID)
	for ; round < 90; round++ {
		answer(1, round, 25*time.Millisecond)
	}
	f.advance(evidence.SlowFor)
	require.Equal(t, "i-1", f.open(4, 0).Upstream.ID)
}

// Guards against counting a caller's pause as response time, which happens when the
// acknowledgement of an answer comes with the next request.
func TestCallerPausesAreNotResponseTimes(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	for round := uint32(0); round < 50; round++ {
		f.send(1, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(time.Second)
	}
	_, samples := f.engine.ResponseTime(cookie)
	require.Zero(t, samples)
}
