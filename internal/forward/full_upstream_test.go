package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

func (f *fixture) probed(id string, outcome evidence.ProbeOutcome) ProbeEffect {
	entry := f.engine.snapshot.Resolve(flowcookie.Of(id, 1000))
	return f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: outcome, Started: f.now})
}

// Guards against resets of the open flows of a serving upstream whose entry is missing and
// that resets the connections of probes because it is at its limit.
func TestMissingUpstreamAtItsLimitKeepsItsFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.send(4001, cookie, 1, 1, 0)
	f.advance(7 * time.Second)
	f.removeUpstream("i-1")
	for range 80 {
		f.advance(100 * time.Millisecond)
		d := f.send(4001, cookie, 1, 1, 0)
		require.Equal(t, Forward, d.Action, d.Reason)
		for _, p := range f.engine.TakeProbes() {
			require.Empty(t, f.probed(p.Upstream.ID, evidence.ProbeReset).Resets)
		}
	}
}

// Guards against one refusal that resets open flows together with one of 9 s before, although
// the upstream has taken its port again since and resets connections at its limit.
func TestResetConnectionContradictsAnEarlierRefusal(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.send(4001, flowcookie.Of("i-1", 1000), 1, 1, 0)
	f.advance(time.Second)
	require.Empty(t, f.probed("i-1", evidence.ProbeRefused).Resets)
	f.advance(time.Second)
	require.Empty(t, f.probed("i-1", evidence.ProbeReset).Resets)
	f.advance(8 * time.Second)
	require.Empty(t, f.probed("i-1", evidence.ProbeRefused).Resets)
}

// Guards against probes without backoff of upstreams whose state does not change: before,
// at most 9 were made in 30 s.
func TestUnsettledUpstreamsAreProbedWithBackoff(t *testing.T) {
	for _, tc := range []struct {
		outcome  evidence.ProbeOutcome
		draining bool
	}{{evidence.ProbeReset, false}, {evidence.ProbeRefused, true}, {evidence.ProbeSilent, true}} {
		f := newFixture(t, upstream(1), upstream(2))
		u := upstream(1)
		u.Draining = tc.draining
		f.updateUpstream(u)
		f.advance(time.Second)
		f.engine.RequestProbe(f.now, flowcookie.Of("i-1", 1000), evidence.TriggerOpen)
		probes := 0
		for range 300 {
			f.advance(100 * time.Millisecond)
			f.engine.RequestRetryProbes(f.now)
			for _, p := range f.engine.TakeProbes() {
				if p.Upstream.ID == "i-1" {
					probes++
					f.answerProbe(2)
					f.probed("i-1", tc.outcome)
				}
			}
		}
		t.Logf("%s draining=%t: %d probes in 30 s", tc.outcome, tc.draining, probes)
		if probes > 20 {
			t.Fail()
		}
	}
}

// Guards against flows that wait without end for a machine that has failed while the store
// is unavailable: the request that was found unanswered caused the first probe.
func TestFailedMachineEndsFlowsWhileTheStoreIsUnavailable(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.send(4001, cookie, 1, 1, 0)
	f.advance(time.Second)
	f.now = f.now.Add(3 * time.Second) // Without a confirmation by the store.
	f.engine.TrackRequest(f.now, cookie)
	var running []evidence.ProbeResult
	failed := false
	for step := range 1000 {
		f.now = f.now.Add(10 * time.Millisecond)
		f.engine.CheckRequests(f.now)
		if step%50 == 0 {
			f.engine.RequestRetryProbes(f.now)
		}
		for _, p := range f.engine.TakeProbes() {
			if p.Upstream.ID == "i-1" {
				running = append(running, evidence.ProbeResult{Upstream: p.Upstream, Outcome: evidence.ProbeSilent, Trigger: p.Trigger, Started: f.now.Add(p.Delay)})
			}
		}
		for len(running) > 0 && f.now.Sub(running[0].Started) >= 220*time.Millisecond {
			f.probed("i-2", evidence.ProbeAlive)
			failed = f.engine.HandleProbeResult(f.now, running[0]).Failed || failed
			running = running[1:]
		}
	}
	require.True(t, failed, "not reset within 10 s")
}
