package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against callers that wait for their timeout on a crashed upstream. Repeated
// data causes a probe; when it fails, the flows are reset and new flows go elsewhere.
func TestSilentUpstreamIsProbedAndItsFlowsAreReset(t *testing.T) {
	for _, outcome := range []evidence.ProbeOutcome{evidence.ProbeRefused, evidence.ProbeSilent} {
		t.Run(outcome.String(), func(t *testing.T) {
			f := newFixture(t, upstream(1), upstream(2))
			byUpstream := map[string][]int{}
			for port := 1; port <= 20; port++ {
				id := f.establish(port).ID
				byUpstream[id] = append(byUpstream[id], port)
			}
			crashed := flowcookie.Of("i-1", 1000)
			f.advance(time.Second)
			port := byUpstream["i-1"][0]
			f.send(port, crashed, 1, 1, 100)
			require.Empty(t, f.engine.TakeProbes())
			f.advance(200 * time.Millisecond)
			require.Equal(t, Forward, f.send(port, crashed, 1, 1, 100).Action)
			probes := f.engine.TakeProbes()
			require.Len(t, probes, 1)
			require.Equal(t, "i-1", probes[0].Upstream.ID)

			f.answerProbe(2)
			result := evidence.ProbeResult{Upstream: probes[0].Upstream, Outcome: outcome, Started: f.now}
			if outcome == evidence.ProbeRefused {
				require.Equal(t, evidence.ProbeEffect{Inconclusive: true, Report: true}, f.engine.HandleProbeResult(f.now, result).ProbeEffect)
				f.advance(evidence.LateProbeAfter)
				result.Started = f.now
			}
			reset := f.engine.HandleProbeResult(f.now, result)
			require.True(t, reset.FirstFailure)
			require.Len(t, reset.Resets, len(byUpstream["i-1"]))
			for _, p := range reset.Resets {
				require.EqualValues(t, 1, p.Ack, "the reset must lie in the caller's window")
			}
			// A flow that only another instance has a record of is reset as well.
			d := f.send(500, crashed, 1, 1, 100)
			require.Equal(t, Reset, d.Action)
			require.Equal(t, ReasonUpstreamFailed, d.Reason)
			for port := 100; port < 120; port++ {
				require.Equal(t, "i-2", f.open(port, 0).Upstream.ID)
			}
			require.Equal(t, Forward, f.send(byUpstream["i-2"][0], flowcookie.Of("i-2", 1000), 1, 1, 100).Action)
		})
	}
}

// Guards against resets after a lost packet or a slow answer, while other flows of the
// upstream progress or a probe finds it.
func TestUpstreamThatAnswersKeepsItsFlows(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.advance(time.Second)
	f.send(1, cookie, 1, 1, 100)
	f.advance(200 * time.Millisecond)
	f.send(2, cookie, 1, 400, 0)
	f.send(1, cookie, 1, 1, 100)
	require.Empty(t, f.engine.TakeProbes(), "another flow shows that the upstream answers")

	f.advance(time.Second)
	f.send(2, cookie, 1, 400, 100)
	f.advance(200 * time.Millisecond)
	f.send(2, cookie, 1, 400, 100)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Empty(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probes[0].Upstream, Outcome: evidence.ProbeAlive, Started: f.now}).Resets)
	require.Equal(t, Forward, f.send(2, cookie, 1, 400, 100).Action)
}

// Guards against resets by a failed probe although the upstream answered a flow after
// the probe began, as happens on an instance that was paused for a while.
func TestAnswerOverridesAProbeThatBeganBefore(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.advance(time.Second)
	f.send(1, cookie, 1, 1, 100)
	f.advance(200 * time.Millisecond)
	f.send(1, cookie, 1, 1, 100)
	probe := f.engine.TakeProbes()[0]
	began := f.now
	f.advance(100 * time.Millisecond)
	f.send(1, cookie, 101, 300, 0)
	f.advance(200 * time.Millisecond)
	require.Empty(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Started: began}).Resets)
	require.Equal(t, Forward, f.send(1, cookie, 101, 300, 100).Action)
}

// Guards against avoiding an upstream after it has returned: a successful probe or an
// answer must end that.
func TestUpstreamThatReturnsIsUsedAgain(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.advance(time.Second)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: f.now})
	require.Equal(t, Reset, f.send(1, entry.Cookie, 1, 1, 100).Action)
	f.advance(time.Second)
	f.engine.RequestRetryProbes(f.now)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probes[0].Upstream, Outcome: evidence.ProbeAlive, Started: f.now})
	require.Equal(t, Forward, f.send(1, entry.Cookie, 1, 1, 100).Action)
}

// Guards against new flows to an upstream that has ended, when its address is reused
// while the store is unavailable and a probe finds the new owner. Only single flows may
// test it until one is answered.
func TestReusedAddressIsTestedBySingleFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	entry := f.engine.snapshot.Resolve(flowcookie.Of("i-1", 1000))
	f.advance(time.Second)
	require.True(t, f.refuseTwice("i-1").Failed)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeAlive, Started: f.now})
	trials := 0
	for port := 1; port <= 40; port++ {
		d := f.open(port, 0)
		if d.Upstream.ID == "i-1" {
			trials++
		} else {
			f.send(port, d.Upstream.Cookie, 1, 1, 0)
		}
		f.advance(10 * time.Millisecond)
	}
	require.Equal(t, 1, trials)

	// An answer ends the test by single flows.
	f.advance(2 * time.Second)
	f.send(1000, entry.Cookie, 1, 1, 0)
	f.send(1000, entry.Cookie, 1, 400, 0)
	chosen := 0
	for port := 101; port <= 110; port++ {
		if f.establish(port).ID == "i-1" {
			chosen++
		}
	}
	require.Greater(t, chosen, 1)
}

// Guards against endless probes of upstreams that the store no longer lists.
func TestRemovedUpstreamIsNotProbedAgain(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.advance(time.Second)
	require.True(t, f.refuseTwice(entry.ID).Failed)
	f.removeUpstream("i-1")
	f.engine.TakeProbes()
	f.advance(time.Second)
	f.engine.RequestRetryProbes(f.now)
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against resetting the flows of an upstream whose entry went missing with the store,
// and against keeping those of an upstream that has left: a probe decides.
func TestMissingEntryIsCheckedByAProbe(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.advance(time.Second)
	f.removeUpstream("i-1")
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probes[0].Upstream, Outcome: evidence.ProbeAlive, Started: f.now})
	f.advance(time.Second)
	require.Equal(t, Forward, f.send(1, entry.Cookie, 1, 1, 100).Action)

	f.engine.TakeProbes()
	require.Empty(t, f.refuse("i-1").Resets, "its flows may go on")
	f.advance(time.Second)
	require.Len(t, f.refuse("i-1").Resets, 1, "its entry is gone")
	require.Equal(t, Reset, f.send(1, entry.Cookie, 1, 1, 100).Action)
}

// Guards against a caller whose retries, milliseconds apart, all go to a crashed
// upstream. It happens when the machine still answers and resets the opening packets,
// which instances do not see.
func TestCallerRetryAvoidsTheUpstreamAndCausesAProbe(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	first := f.open(1, 0).Upstream
	f.now = f.now.Add(2500 * time.Microsecond)
	second := f.open(2, 0).Upstream
	require.NotEqual(t, first.ID, second.ID)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Equal(t, first.ID, probes[0].Upstream.ID)
}

// Guards against probes caused by two unrelated flows of one caller address.
func TestAnsweredFlowOfTheSameCallerCausesNoProbe(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.establish(1)
	f.now = f.now.Add(2500 * time.Microsecond)
	f.open(2, 0)
	f.now = f.now.Add(100 * time.Microsecond)
	f.open(3, 0)
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against detecting a silent upstream only by the caller's copy after 200 ms:
// the packet that follows an opening packet takes only a few milliseconds.
func TestUnansweredOpenCausesAProbeAfterTheTimeout(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	silent := f.open(1, 0).Upstream
	f.advance(openTimeout)
	f.establish(2)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Equal(t, silent.ID, probes[0].Upstream.ID)
}

// Guards against detecting the partition of a failure domain one upstream at a time,
// while new flows are still sent there.
func TestFailedUpstreamCausesProbesOfItsDomain(t *testing.T) {
	remote := func(n int) catalog.Upstream { u := upstream(n); u.FailureDomain = "b"; return u }
	f := newFixture(t, upstream(1), remote(2), remote(3), remote(4))
	f.advance(time.Second)
	f.engine.RecordTrigger(f.now, flowcookie.Of("i-2", 1000), evidence.TriggerRepeat)
	first := f.engine.TakeProbes()
	require.Len(t, first, 1)
	f.answerProbe(1)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: first[0].Upstream, Outcome: evidence.ProbeSilent, Started: f.now})
	probed := map[string]bool{}
	for _, probe := range f.engine.TakeProbes() {
		probed[probe.Upstream.ID] = true
	}
	require.Equal(t, map[string]bool{"i-3": true, "i-4": true}, probed)
}

// Guards against probes of a whole failure domain for each upstream that leaves as
// announced during a release: 16,000 on a day without failures with 71 instances.
func TestPlannedRemovalCausesNoOtherProbes(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	for port := 1; port < 10; port++ {
		f.establish(port)
	}
	f.advance(time.Second)
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	f.advance(time.Second)
	f.removeUpstream("i-1")
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probes[0].Upstream, Outcome: evidence.ProbeRefused, Started: f.now})
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against an instance that stays in the rotation although a partition leaves it
// no upstream within reach, and against leaving while the store is within reach: all
// instances would then leave at once.
func TestIsolatedInstanceWithoutUpstreamsCannotServe(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	fail := func(id string) {
		entry := f.engine.snapshot.Resolve(flowcookie.Of(id, 1000))
		f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: f.now})
	}
	f.now = f.now.Add(isolatedAfter + time.Second)
	require.True(t, f.engine.CanServe(f.now), "the loss of the store alone does not end serving")
	fail("i-1")
	require.True(t, f.engine.CanServe(f.now))
	fail("i-2")
	require.False(t, f.engine.CanServe(f.now))
	f.advance(0)
	require.True(t, f.engine.CanServe(f.now))
}
