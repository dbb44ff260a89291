package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// refuse lets an upstream refuse a probe that begins now.
func (f *fixture) refuse(id string) ProbeEffect {
	entry := f.engine.snapshot.Resolve(flowcookie.Of(id, 1000))
	return f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeRefused, Started: f.now})
}

// refuseTwice lets an upstream that cannot be leaving refuse a probe and the one that
// confirms it, and returns the effect of the latter.
func (f *fixture) refuseTwice(id string) ProbeEffect {
	f.t.Helper()
	require.True(f.t, f.refuse(id).Inconclusive)
	probes := f.engine.TakeProbes()
	require.Equal(f.t, evidence.LateProbeAfter, probes[len(probes)-1].Delay)
	f.advance(evidence.LateProbeAfter)
	return f.refuse(id)
}

// Guards against resets of the open flows of a draining upstream that refuses a probe: it
// closes its port shortly before its flows end.
func TestRefusalByDrainingUpstreamResetsNoFlowsAtOnce(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	require.Equal(t, "i-1", f.establish(4002).ID)
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	f.advance(time.Second)
	effect := f.refuse("i-1")
	require.True(t, effect.Inconclusive)
	require.Empty(t, effect.Resets)
	require.Equal(t, Forward, f.send(4002, flowcookie.Of("i-1", 1000), 1, 1, 100).Action)
	f.advance(100 * time.Millisecond)
	require.True(t, f.refuse("i-1").Inconclusive)

	f.advance(time.Second)
	f.engine.RequestRetryProbes(f.now)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1, "the refusal is checked again")
	require.True(t, f.refuse("i-1").Inconclusive, "no request was found unanswered")
	require.Equal(t, Forward, f.send(4002, flowcookie.Of("i-1", 1000), 1, 1, 100).Action)
	require.True(t, f.refuse("i-1").Failed)
	require.Equal(t, Reset, f.send(4002, flowcookie.Of("i-1", 1000), 101, 1, 100).Action)
}

// Guards against flows of an upstream that was not announced to leave, or is gone, that
// wait for more than a second refusal at once.
func TestRefusalsAreConclusiveUnlessUpstreamMayBeLeaving(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	require.True(t, f.refuseTwice("i-1").Failed)

	f.updateUpstream(upstream(1))
	leaving := upstream(2)
	leaving.Draining = true
	f.updateUpstream(leaving)
	f.removeUpstream("i-2")
	require.True(t, f.refuse("i-2").Inconclusive)
	f.advance(2*time.Second - time.Millisecond)
	require.True(t, f.refuse("i-2").Inconclusive)
	f.engine.TakeProbes()
	f.advance(time.Millisecond)
	f.engine.RequestRetryProbes(f.now)
	require.NotEmpty(t, f.engine.TakeProbes())
	require.True(t, f.refuse("i-2").Failed)
}

// Guards against an old refusal that makes the next one conclusive although the upstream
// has answered in between.
func TestAnswerOfDrainingUpstreamWithdrawsRefusal(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	require.True(t, f.refuse("i-1").Inconclusive)
	f.advance(time.Second)
	f.answerProbe(1)
	f.advance(time.Second)
	require.True(t, f.refuse("i-1").Inconclusive)
}

// Guards against an upstream with fewer than no flows and requests, which gets most new flows
// for good: it was forgotten while it had a flow, and came back before that ended.
func TestLoadOfAnUpstreamThatIsForgottenAndReturns(t *testing.T) {
	f := newOverloadFixture(t, upstream(1), upstream(2))
	entry, other := f.establish(1), 1
	f.removeUpstream(entry.ID)
	for f.now.Sub(start) < 89*time.Second {
		f.advance(time.Second)
	}
	f.send(1, entry.Cookie, 1, 1, 100)
	require.Equal(t, 1, f.engine.loadOf(entry.Cookie).waiting)
	f.advance(time.Second)
	f.catalog.DeleteExpired(f.now)
	f.advance(0)
	require.Nil(t, f.engine.snapshot.Resolve(entry.Cookie))
	if entry.ID == "i-2" {
		other = 2
	}
	f.updateUpstream(upstream(other))
	require.NotNil(t, f.engine.snapshot.Resolve(entry.Cookie))
	f.open(2, 0) // Reads the loads of all upstreams.
	f.engine.RemoveIdleFlows(f.now.Add(maxWait))
	require.Zero(t, f.engine.loadOf(entry.Cookie).waiting)
	f.engine.RemoveIdleFlows(f.now.Add(flowIdle))
	require.Zero(t, f.engine.loadOf(entry.Cookie).flows)
}
