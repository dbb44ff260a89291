package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against resets of flows whose upstreams still run. With 100 instances and
// 1,000 upstreams, a large failure domain was lost and an instance whose link was full
// for 200 ms found all upstreams silent.
func TestSilenceOfAllUpstreamsIsInconclusive(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	entries := map[string]*catalog.Entry{}
	for port := 1; port <= 30; port++ {
		entry := f.establish(port)
		entries[entry.ID] = entry
	}
	require.Len(t, entries, 3)
	f.advance(time.Second)
	suspect := entries["i-1"]
	f.engine.RecordTrigger(f.now, suspect.Cookie, evidence.TriggerRepeat)
	probe := f.engine.TakeProbes()[0]
	began := f.now
	f.advance(evidence.LateProbeAfter)
	f.engine.HandleLateProbe(f.now, probe)
	others := f.engine.TakeProbes()
	require.Len(t, others, 2)
	for _, other := range others {
		require.Equal(t, evidence.TriggerControl, other.Trigger)
	}
	f.advance(170 * time.Millisecond)
	for id, entry := range entries {
		effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: began})
		require.True(t, effect.Inconclusive, id)
		require.Empty(t, effect.Resets)
	}
	require.Equal(t, Forward, f.send(1, entries["i-1"].Cookie, 1, 1, 100).Action)

	f.advance(time.Second)
	f.engine.RequestRetryProbes(f.now)
	require.Len(t, f.engine.TakeProbes(), 3)
	f.answerProbe(2)
	effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: suspect, Outcome: evidence.ProbeSilent, Started: f.now})
	require.NotEmpty(t, effect.Resets, "another upstream answered a probe")
}

// Guards against flows that are never reset because the service has a single upstream,
// so that no other one can show that the instance is within reach.
func TestSingleUpstreamNeedsNoControlProbe(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	f.advance(time.Second)
	f.engine.RecordTrigger(f.now, entry.Cookie, evidence.TriggerRepeat)
	f.engine.TakeProbes()
	require.Len(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: f.now}).Resets, 1)
}

// Guards against counting a control probe that was answered before the failed probe
// began: the instance may have lost its network in between.
func TestControlProbeMustBeginAfterTheFailedProbe(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.establish(1)
	f.establish(2)
	f.advance(time.Second)
	f.answerProbe(2)
	f.advance(10 * time.Millisecond)
	f.engine.RecordTrigger(f.now, f.engine.snapshot.Service("s").Entries[0].Cookie, evidence.TriggerRepeat)
	probe := f.engine.TakeProbes()[0]
	require.True(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Started: f.now}).Inconclusive)
}

// Guards against one probe a second of an upstream known to be silent: the probes back
// off, whether a control probe is answered or not. If none is, the flows stay.
func TestRepeatedProbesOfASilentUpstreamBackOff(t *testing.T) {
	for _, controlAnswers := range []bool{true, false} {
		f := newFixture(t, upstream(1), upstream(2))
		f.establish(1)
		f.establish(2)
		f.advance(time.Second)
		entry := f.engine.snapshot.Service("s").Entries[0]
		f.answerProbe(2)
		f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: f.now})
		probes := 0
		for range 12 {
			f.advance(time.Second)
			f.engine.RequestRetryProbes(f.now)
			for _, probe := range f.engine.TakeProbes() {
				if probe.Upstream != entry {
					continue
				}
				probes++
				f.engine.HandleLateProbe(f.now, probe)
				if controlAnswers {
					f.answerProbe(2)
				}
				effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Started: f.now})
				require.Equal(t, !controlAnswers, effect.Inconclusive)
			}
		}
		require.LessOrEqual(t, probes, 5)
		if !controlAnswers {
			require.Equal(t, Forward, f.send(77, entry.Cookie, 1, 1, 100).Action)
		}
	}
}

// Guards against resets after a network partition has ended, caused by a probe failure
// that is seconds old: the probes of failed upstreams back off to 4 s. A reset was seen
// 4.1 s after the end of a partition.
func TestOldProbeFailureDoesNotResetFlows(t *testing.T) {
	for _, outcome := range []evidence.ProbeOutcome{evidence.ProbeSilent, evidence.ProbeRefused} {
		f := newFixture(t, upstream(1), upstream(2))
		entry := f.establish(1)
		f.establish(2)
		f.advance(time.Second)
		fail := func() ProbeEffect {
			f.answerProbe(3 - int(entry.Token))
			return f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: outcome, Started: f.now})
		}
		f.engine.RecordTrigger(f.now, entry.Cookie, evidence.TriggerRepeat)
		f.engine.TakeProbes()
		if outcome == evidence.ProbeRefused {
			require.True(t, fail().Inconclusive)
			f.advance(evidence.LateProbeAfter)
		}
		require.True(t, fail().FirstFailure)
		require.Equal(t, Reset, f.send(50, entry.Cookie, 1, 1, 100).Action)
		f.engine.TakeProbes()
		f.advance(evidence.FailureProvenFor)
		require.Equal(t, Forward, f.send(51, entry.Cookie, 1, 1, 100).Action, outcome)
		probes := f.engine.TakeProbes()
		require.Len(t, probes, 1)
		require.Equal(t, entry.ID, probes[0].Upstream.ID)
		reset := fail()
		require.Len(t, reset.Resets, 1, "the flow is reset by the result of the new probe")
		require.Equal(t, caller(51), reset.Resets[0].Flow)

		f.advance(evidence.FailureProvenFor)
		require.Equal(t, Forward, f.send(52, entry.Cookie, 1, 1, 100).Action)
		f.engine.TakeProbes()
		f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeAlive, Started: f.now})
		require.Equal(t, Forward, f.send(52, entry.Cookie, 101, 1, 100).Action)
	}
}

// Guards against resets by an instance whose link is slow: a control probe that is
// answered after more than evidence.LateProbeAfter proves nothing about the silence of another
// upstream. A flow of a running upstream was reset next to a probe that was answered
// after 162 ms.
func TestLateControlAnswerIsInconclusive(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	entry := f.establish(1)
	f.establish(2)
	f.advance(time.Second)
	other := upstream(3 - int(entry.Token))
	began := f.now
	f.advance(evidence.LateProbeAfter + time.Millisecond)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: f.engine.snapshot.Resolve(flowcookie.Of(other.ID, other.Born)), Outcome: evidence.ProbeAlive, Started: began})
	require.True(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: began}).Inconclusive)
}

// Guards against two faults of an instance that has too little processor time after
// most other instances were lost, so that some probes are answered at once and others
// late: resets of flows whose upstreams run, and probes of whole failure domains while
// it reaches nothing. An instance with 0.06 of a core broke flows in 2 of 18 runs of a
// day on which all others lost power.
func TestLateAnswersMakeSilenceInconclusive(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3), upstream(4))
	entry := f.establish(1)
	f.establish(2)
	f.advance(time.Second)
	f.engine.RecordTrigger(f.now, entry.Cookie, evidence.TriggerRepeat)
	probe := f.engine.TakeProbes()[0]
	began := f.now
	f.advance(evidence.LateProbeAfter)
	f.engine.HandleLateProbe(f.now, probe)
	others := f.engine.TakeProbes()
	require.Len(t, others, evidence.ControlProbes, "the failure domain is not probed before a control probe is answered in time")
	f.advance(100 * time.Millisecond)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: others[0].Upstream, Outcome: evidence.ProbeAlive, Trigger: evidence.TriggerControl, Started: began.Add(evidence.LateProbeAfter)})
	require.Empty(t, f.engine.TakeProbes())
	f.advance(10 * time.Millisecond)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: others[1].Upstream, Outcome: evidence.ProbeAlive, Trigger: evidence.TriggerControl, Started: f.now})
	require.NotEmpty(t, f.engine.TakeProbes(), "the failure domain is probed after a control probe was answered in time")
	f.advance(60 * time.Millisecond)
	require.True(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeSilent, Started: began}).Inconclusive)
}
