package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against resets of flows that an upstream accepted after a probe had failed: it has
// started again under its id and has not reported yet, or was cut off for a moment.
func TestFlowOpenedAfterAFailedProbeIsNotReset(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := flowcookie.Of("i-1", 1000)
	f.advance(10 * time.Second)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: f.engine.snapshot.Resolve(cookie), Outcome: evidence.ProbeRefused, Started: f.now})
	f.now = f.now.Add(200 * time.Millisecond)
	require.Equal(t, Forward, f.open(4001, 0).Action, "there is no other upstream")
	f.now = f.now.Add(2 * time.Millisecond)
	d := f.send(4001, cookie, 1, 1, 100)
	require.Equal(t, Forward, d.Action, "the caller has the cookie from the upstream's answer: %s", d.Reason)
	require.Equal(t, Forward, f.send(4002, cookie, 1, 1, 100).Action, "a flow that another instance has opened")
}

// Guards against resets of flows that another instance has opened since an upstream started
// again under its id, by one whose probes were refused before that.
func TestRefusalBeforeRestartResetsNoLaterFlow(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	require.True(t, f.refuseTwice("i-1").Failed)
	f.now = f.now.Add(165 * time.Millisecond)
	require.NotEqual(t, Reset, f.send(4001, flowcookie.Of("i-1", 1000), 1, 1, 100).Action)
}

// Guards against the same resets of flows that arrive while a probe is under way, with cookies
// by id, and by a verdict that was too old for the first packet of a flow and not for the next.
func TestFlowOpenedAfterARestartOutlivesTheProbesBeforeIt(t *testing.T) {
	for name, newFixture := range map[string]func(*testing.T, ...catalog.Upstream) *fixture{"earlier format": newFixture, "by id": newFixtureByID} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, upstream(1), upstream(2))
			entry := f.engine.snapshot.Resolve(flowcookie.Of("i-1", 1000))
			require.True(t, f.refuseTwice("i-1").Failed)
			f.engine.TakeProbes()
			f.now = f.now.Add(100 * time.Millisecond)
			require.Equal(t, Forward, f.send(4001, entry.IssuedCookie(), 1, 1, 100).Action)
			probes := f.engine.TakeProbes()
			require.Len(t, probes, 1, "the flow waits for its result")
			began := f.now
			f.now = f.now.Add(time.Millisecond)
			require.Equal(t, Forward, f.send(4002, entry.IssuedCookie(), 1, 1, 100).Action)
			f.now = f.now.Add(time.Millisecond)
			effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeRefused, Trigger: probes[0].Trigger, Started: began})
			require.Len(t, effect.Resets, 1)
			require.Equal(t, caller(4001), effect.Resets[0].Flow)
			f.now = f.now.Add(20 * time.Millisecond)
			require.Equal(t, Forward, f.send(4002, entry.IssuedCookie(), 1, 1, 100).Action)
			require.Len(t, f.engine.TakeProbes(), 1)
			f.answerProbe(1)
			f.now = f.now.Add(time.Millisecond)
			require.Equal(t, Forward, f.send(4002, entry.IssuedCookie(), 1, 1, 100).Action)
			require.Empty(t, f.engine.doubtful)
		})
	}
}

// Guards against callers that wait for long because their flows moved to an instance that has
// found their upstream's end before, also if it has no room for flow records.
func TestFlowsOfAnEndedUpstreamAreResetSoonAfterAMove(t *testing.T) {
	for _, tc := range []struct {
		outcome evidence.ProbeOutcome
		took    time.Duration
		records int
		bound   time.Duration
	}{
		{evidence.ProbeRefused, time.Millisecond, 1000, 10 * time.Millisecond},
		{evidence.ProbeSilent, 220 * time.Millisecond, 1000, 450 * time.Millisecond},
		{evidence.ProbeRefused, time.Millisecond, 0, 200 * time.Millisecond},
		{evidence.ProbeSilent, 220 * time.Millisecond, 0, 600 * time.Millisecond},
	} {
		var waits []time.Duration
		for moved := time.Duration(0); moved < 2*time.Second; moved += 29 * time.Millisecond {
			waits = append(waits, resetAfterMove(t, tc.outcome, tc.took, tc.records, moved))
		}
		slices.Sort(waits)
		t.Logf("%s, room for %d records: reset after %s in the median, at most %s", tc.outcome, tc.records, waits[len(waits)/2], waits[len(waits)-1])
		require.LessOrEqual(t, waits[len(waits)-1], tc.bound)
	}
}

// resetAfterMove returns the time from the first packet of a flow to its reset. The packet
// arrives the time moved after a probe of the flow's upstream has failed; probes take the time
// took.
func resetAfterMove(t *testing.T, outcome evidence.ProbeOutcome, took time.Duration, records int, moved time.Duration) time.Duration {
	f := newFixtureWith(t, Config{FailureDomain: "a", MaxFlows: records}, upstream(1), upstream(2))
	if outcome == evidence.ProbeRefused {
		require.True(t, f.refuseTwice("i-1").Failed)
	} else {
		f.answerProbe(2)
		require.True(t, f.probed("i-1", outcome).Failed)
	}
	verdict := f.now
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	var running []evidence.ProbeResult
	for since := time.Duration(0); since < moved+3*time.Second; since += time.Millisecond {
		f.advance(verdict.Add(since).Sub(f.now))
		if since%(100*time.Millisecond) == 0 {
			f.engine.RequestRetryProbes(f.now)
		}
		if slices.Contains(copies, since-moved) && f.send(4001, flowcookie.Of("i-1", 1000), 1, 1, 100).Action == Reset {
			return since - moved
		}
		for _, probe := range f.engine.TakeProbes() {
			if probe.Upstream.ID == "i-1" {
				running = append(running, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: outcome, Trigger: probe.Trigger, Started: f.now.Add(probe.Delay)})
			} else {
				f.answerProbe(2)
			}
		}
		for len(running) > 0 && f.now.Sub(running[0].Started) >= took {
			f.answerProbe(2)
			effect := f.engine.HandleProbeResult(f.now, running[0])
			running = running[1:]
			if since > moved && len(effect.Resets) > 0 {
				return since - moved
			}
		}
	}
	t.Fatalf("not reset %s after the failure", moved)
	return 0
}
