package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Pattern: upstream silent. Guards against callers that wait for their time
// limit on an upstream that crashed without a word: data that is sent again and
// a failed probe end its flows, and new flows go elsewhere.
func TestSilentUpstreamIsProbedAndItsFlowsAreReset(t *testing.T) {
	for _, verdict := range []Verdict{VerdictRefused, VerdictSilent} {
		t.Run(verdict.String(), func(t *testing.T) {
			f := newFixture(t, upstream(1), upstream(2))
			byUpstream := map[string][]int{}
			for port := 1; port <= 20; port++ {
				id := f.establish(port).ID
				byUpstream[id] = append(byUpstream[id], port)
			}
			crashed := flowcookie.Of("i-1", 1000)
			f.wait(time.Second)
			port := byUpstream["i-1"][0]
			f.send(port, crashed, 1, 1, 100)
			require.Empty(t, f.engine.TakeProbes())
			f.wait(200 * time.Millisecond)
			require.Equal(t, Forward, f.send(port, crashed, 1, 1, 100).Action)
			probes := f.engine.TakeProbes()
			require.Len(t, probes, 1)
			require.Equal(t, "i-1", probes[0].Upstream.ID)

			f.reach(2)
			reset := f.engine.Probed(f.now, ProbeResult{Upstream: probes[0].Upstream, Verdict: verdict, Started: f.now})
			require.True(t, reset.New)
			require.Len(t, reset.Flows, len(byUpstream["i-1"]))
			for _, p := range reset.Flows {
				require.EqualValues(t, 1, p.Ack, "the reset must lie in the caller's window")
			}
			// A flow that only another instance remembers is reset as well.
			d := f.send(500, crashed, 1, 1, 100)
			require.Equal(t, Reset, d.Action)
			require.Equal(t, ReasonUpstreamSilent, d.Reason)
			for port := 100; port < 120; port++ {
				require.Equal(t, "i-2", f.open(port, 0).Upstream.ID)
			}
			require.Equal(t, Forward, f.send(byUpstream["i-2"][0], flowcookie.Of("i-2", 1000), 1, 1, 100).Action)
		})
	}
}

// Guards against a false alarm: a lost packet, or a slow answer, while other
// flows of the upstream go on or the probe finds it.
func TestUpstreamThatAnswersKeepsItsFlows(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.wait(time.Second)
	f.send(1, cookie, 1, 1, 100)
	f.wait(200 * time.Millisecond)
	f.send(2, cookie, 1, 400, 0)
	f.send(1, cookie, 1, 1, 100)
	require.Empty(t, f.engine.TakeProbes(), "another flow shows that the upstream answers")

	f.wait(time.Second)
	f.send(2, cookie, 1, 400, 100)
	f.wait(200 * time.Millisecond)
	f.send(2, cookie, 1, 400, 100)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Empty(t, f.engine.Probed(f.now, ProbeResult{Upstream: probes[0].Upstream, Verdict: VerdictAlive, Started: f.now}).Flows)
	require.Equal(t, Forward, f.send(2, cookie, 1, 400, 100).Action)
}

// Guards against resets on a probe that failed although the upstream answered a
// flow after it began, as on an instance that was stopped for a while.
func TestAnswerOverridesAProbeThatBeganBefore(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.wait(time.Second)
	f.send(1, cookie, 1, 1, 100)
	f.wait(200 * time.Millisecond)
	f.send(1, cookie, 1, 1, 100)
	probe := f.engine.TakeProbes()[0]
	began := f.now
	f.wait(100 * time.Millisecond)
	f.send(1, cookie, 101, 300, 0)
	f.wait(200 * time.Millisecond)
	require.Empty(t, f.engine.Probed(f.now, ProbeResult{Upstream: probe.Upstream, Verdict: VerdictSilent, Started: began}).Flows)
	require.Equal(t, Forward, f.send(1, cookie, 101, 300, 100).Action)
}

// Guards against an upstream that stays avoided after it is back: a later probe
// or an answer ends it.
func TestUpstreamThatReturnsIsUsedAgain(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.wait(time.Second)
	f.engine.Probed(f.now, ProbeResult{Upstream: entry, Verdict: VerdictSilent, Started: f.now})
	require.Equal(t, Reset, f.send(1, entry.Cookie, 1, 1, 100).Action)
	f.wait(time.Second)
	f.engine.Reprobe(f.now)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	f.engine.Probed(f.now, ProbeResult{Upstream: probes[0].Upstream, Verdict: VerdictAlive, Started: f.now})
	require.Equal(t, Forward, f.send(1, entry.Cookie, 1, 1, 100).Action)
}

// Pattern: addresses are used again while the store is away. Guards against new
// flows to an upstream that has ended, because a probe of its address finds the
// upstream that came after it: only single flows test it until one is answered.
func TestUpstreamBehindAReusedAddressGetsSingleTrials(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	entry := f.engine.view.Resolve(flowcookie.Of("i-1", 1000))
	f.wait(time.Second)
	f.engine.Probed(f.now, ProbeResult{Upstream: entry, Verdict: VerdictRefused, Started: f.now})
	f.engine.Probed(f.now, ProbeResult{Upstream: entry, Verdict: VerdictAlive, Started: f.now})
	trials := 0
	for port := 1; port <= 40; port++ {
		d := f.open(port, 0)
		if d.Upstream.ID == "i-1" {
			trials++
		} else {
			f.send(port, d.Upstream.Cookie, 1, 1, 0)
		}
		f.wait(10 * time.Millisecond)
	}
	require.Equal(t, 1, trials)

	// An answer ends the trial.
	f.wait(2 * time.Second)
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

// Guards against endless probes of upstreams that have left.
func TestRemovedUpstreamIsNotProbedAgain(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.wait(time.Second)
	f.engine.Probed(f.now, ProbeResult{Upstream: entry, Verdict: VerdictRefused, Started: f.now})
	f.remove("i-1")
	f.engine.TakeProbes()
	f.wait(time.Second)
	f.engine.Reprobe(f.now)
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against resets of the flows of an upstream whose entry lapsed with the
// store, and against flows that are kept on one that has left: a probe decides.
func TestMissingEntryIsCheckedByAProbe(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.wait(time.Second)
	f.remove("i-1")
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	f.engine.Probed(f.now, ProbeResult{Upstream: probes[0].Upstream, Verdict: VerdictAlive, Started: f.now})
	f.wait(time.Second)
	require.Equal(t, Forward, f.send(1, entry.Cookie, 1, 1, 100).Action)

	f.engine.TakeProbes()
	f.engine.Probed(f.now, ProbeResult{Upstream: entry, Verdict: VerdictRefused, Started: f.now})
	require.Equal(t, Reset, f.send(1, entry.Cookie, 1, 1, 100).Action)
}

// Pattern: upstreams crash with a restart of their machines still to come, so
// that opening packets are answered by resets which instances do not see.
// Guards against a caller whose retries, milliseconds apart, all go to the
// crashed upstream.
func TestRetryOfACallerGoesElsewhereAndAsksForAProbe(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	first := f.open(1, 0).Upstream
	f.now = f.now.Add(2500 * time.Microsecond)
	second := f.open(2, 0).Upstream
	require.NotEqual(t, first.ID, second.ID)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Equal(t, first.ID, probes[0].Upstream.ID)
}

// Guards against a sign from two unrelated flows of one address.
func TestAnsweredFlowOfTheSameCallerIsNoSign(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.establish(1)
	f.now = f.now.Add(2500 * time.Microsecond)
	f.open(2, 0)
	f.now = f.now.Add(100 * time.Microsecond)
	f.open(3, 0)
	require.Empty(t, f.engine.TakeProbes())
}

// Pattern: upstream silent. Guards against waiting for the caller's copy after
// 200 ms: the packet after an opening packet takes a few milliseconds.
func TestUnansweredOpenIsASignAfterTheTimeout(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	silent := f.open(1, 0).Upstream
	f.wait(openTimeout)
	f.establish(2)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Equal(t, silent.ID, probes[0].Upstream.ID)
}

// Pattern: zone cut. Guards against learning one upstream at a time that a
// failure domain is cut off, and against sending new flows there.
func TestFailedUpstreamCallsForProbesOfItsDomain(t *testing.T) {
	remote := func(n int) catalog.Upstream { u := upstream(n); u.FailureDomain = "b"; return u }
	f := newFixture(t, upstream(1), remote(2), remote(3), remote(4))
	f.wait(time.Second)
	f.engine.suspect(f.now, flowcookie.Of("i-2", 1000), SignStall)
	first := f.engine.TakeProbes()
	require.Len(t, first, 1)
	f.reach(1)
	f.engine.Probed(f.now, ProbeResult{Upstream: first[0].Upstream, Verdict: VerdictSilent, Started: f.now})
	probed := map[string]bool{}
	for _, probe := range f.engine.TakeProbes() {
		probed[probe.Upstream.ID] = true
	}
	require.Equal(t, map[string]bool{"i-3": true, "i-4": true}, probed)
}

// Pattern: release. Guards against probes of all upstreams of a failure domain
// for each one that leaves as announced: 16,000 on one quiet day of 71
// instances.
func TestPlannedEndOfAnUpstreamCallsForNoOtherProbes(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	for port := 1; port < 10; port++ {
		f.establish(port)
	}
	f.wait(time.Second)
	leaving := upstream(1)
	leaving.Draining = true
	f.set(leaving)
	f.wait(time.Second)
	f.remove("i-1")
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	f.engine.Probed(f.now, ProbeResult{Upstream: probes[0].Upstream, Verdict: VerdictRefused, Started: f.now})
	require.Empty(t, f.engine.TakeProbes())
}

// Pattern: zone cut while the failure domain is evacuated. Guards against an
// instance that keeps callers although it reaches no upstream; and against
// leaving the rotation while the store is in reach, when all instances would
// leave at once.
func TestInstanceThatReachesNothingCannotServe(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	fail := func(id string) {
		entry := f.engine.view.Resolve(flowcookie.Of(id, 1000))
		f.engine.Probed(f.now, ProbeResult{Upstream: entry, Verdict: VerdictSilent, Started: f.now})
	}
	f.now = f.now.Add(isolatedAfter + time.Second)
	require.True(t, f.engine.CanServe(f.now), "a lost store alone keeps nobody from serving")
	fail("i-1")
	require.True(t, f.engine.CanServe(f.now))
	fail("i-2")
	require.False(t, f.engine.CanServe(f.now))
	f.wait(0)
	require.True(t, f.engine.CanServe(f.now))
}
