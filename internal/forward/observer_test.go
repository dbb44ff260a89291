package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
)

// inDomains returns upstreams 1 to count, spread over the failure domains in turn.
func inDomains(count int, domains ...string) []catalog.Upstream {
	upstreams := make([]catalog.Upstream, count)
	for i := range upstreams {
		upstreams[i] = upstream(i + 1)
		upstreams[i].FailureDomain = domains[i%len(domains)]
	}
	return upstreams
}

// result passes the result of a probe of upstream n to the engine.
func (f *fixture) result(n int, outcome evidence.ProbeOutcome, started time.Time) ProbeEffect {
	f.t.Helper()
	entry := f.engine.snapshot.Resolve(f.catalogCookie(upstream(n).ID))
	require.NotNil(f.t, entry)
	return f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: outcome, Trigger: evidence.TriggerReport, Started: started})
}

// Guards against a reset whose log line does not show that the instance itself is slow: with
// the fields about the upstream alone, a silent upstream and a slow observer look the same.
func TestGroundsShowThePathOfThisInstance(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b")...)
	began := f.now
	f.advance(40 * time.Millisecond)
	f.result(1, evidence.ProbeAlive, began)
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(180 * time.Millisecond)
	f.result(3, evidence.ProbeSilent, began)
	grounds := f.result(4, evidence.ProbeSilent, began).Grounds
	require.Equal(t, 1, grounds.PathAnswered)
	require.Equal(t, 2, grounds.PathUnanswered)
	require.Equal(t, 180*time.Millisecond, grounds.PathSlow)
	require.Equal(t, 180*time.Millisecond, grounds.Reached)
}

// Guards against resets by an instance whose own link is full: it finds many upstreams of all
// failure domains silent at once, and one probe that began at the end of the others' time was
// answered.
func TestOneAnswerDoesNotProveTheSilenceOfMany(t *testing.T) {
	for _, outcome := range []evidence.ProbeOutcome{evidence.ProbeAlive, evidence.ProbeRefused} {
		f := newFixture(t, inDomains(60, "a", "b", "c")...)
		for n := 1; n <= 60; n++ {
			f.send(4000+n, f.catalogCookie(upstream(n).ID), 1, 1, 0)
		}
		f.advance(time.Second)
		began := f.now
		f.advance(210 * time.Millisecond)
		f.result(60, outcome, f.now.Add(-5*time.Millisecond))
		f.advance(10 * time.Millisecond)
		for n := 1; n <= 40; n++ {
			require.Empty(t, f.result(n, evidence.ProbeSilent, began.Add(time.Duration(n)*time.Millisecond/4)).Resets, n)
		}
		require.Equal(t, Forward, f.send(4001, f.catalogCookie(upstream(1).ID), 1, 1, 100).Action)
	}
}

// Guards against resets by an instance whose link has been full for the first part of a probe:
// all opening packets of the probe were lost there, and only a later probe was answered.
func TestAnswerAfterTheOpeningPacketsDoesNotProveSilence(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b", "c")...)
	f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
	f.advance(time.Second)
	began := f.now
	f.advance(150 * time.Millisecond)
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(70 * time.Millisecond)
	require.Empty(t, f.result(1, evidence.ProbeSilent, began).Resets)
}

// Guards against flows that wait for ended upstreams after the protection of slow instances:
// each of these failures is proven by the first probe.
func TestFailuresSeenByAHealthyInstanceAreProven(t *testing.T) {
	for name, failed := range map[string]func(n int) bool{
		"one upstream":                func(n int) bool { return n == 1 },
		"a failure domain":            func(n int) bool { return n%3 == 1 },
		"a seventh in all domains":    func(n int) bool { return n%7 == 1 },
		"the domains of other places": func(n int) bool { return n%3 != 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, inDomains(60, "a", "b", "c")...)
			f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
			f.advance(time.Second)
			began := f.now
			f.advance(35 * time.Millisecond)
			for n := 1; n <= 60; n++ {
				if !failed(n) {
					f.result(n, evidence.ProbeAlive, f.now)
				}
			}
			f.advance(185 * time.Millisecond)
			for n := 60; n >= 1; n-- {
				if failed(n) {
					require.True(t, f.result(n, evidence.ProbeSilent, began).Failed, n)
				}
			}
			require.Equal(t, Reset, f.send(4002, f.catalogCookie("i-1"), 1, 1, 100).Action)
		})
	}
}

// Guards against flows that wait without end for an upstream that has ended, because no other
// probe happens to begin beside its own: silence that lasts is proven by the second probe.
func TestLastingSilenceIsProven(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b", "c")...)
	f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
	failed := 0
	for range 2 {
		f.advance(time.Second)
		began := f.now
		f.advance(220 * time.Millisecond)
		f.result(2, evidence.ProbeAlive, f.now)
		if f.result(1, evidence.ProbeSilent, began).Failed {
			failed++
		}
	}
	require.Equal(t, 1, failed)
}

// Guards against a slow instance that makes its peers probe upstreams: their probes load the
// fleet and cause further late probes and reports.
func TestSlowInstanceDoesNotReportLateProbes(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b", "c")...)
	f.advance(time.Second)
	began := f.now
	f.advance(60 * time.Millisecond)
	f.result(2, evidence.ProbeAlive, began)
	f.engine.RecordTrigger(f.now, f.catalogCookie("i-1"), evidence.TriggerRepeat)
	probe := f.engine.TakeProbes()[0]
	f.advance(evidence.LateProbeAfter)
	require.False(t, f.engine.HandleLateProbe(f.now, probe))
}

// Guards against a storm of probes: in a fleet of 63, each instance made up to 150 a second
// because its 20 peers reported all upstreams again and again.
func TestReportsOfPeersCauseABoundedNumberOfProbes(t *testing.T) {
	f := newFixture(t, inDomains(150, "a", "b", "c")...)
	probes := 0
	for range 100 {
		f.advance(100 * time.Millisecond)
		for n := 1; n <= 150; n++ {
			f.engine.HandleSilenceReport(f.now, upstream(n).ID, 1000)
		}
		for _, p := range f.engine.TakeProbes() {
			probes++
			f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: p.Upstream, Outcome: evidence.ProbeAlive, Trigger: p.Trigger, Started: f.now})
		}
	}
	require.LessOrEqual(t, probes, 350, "in 10 s")
	require.GreaterOrEqual(t, probes, 150)
}

// Guards against an instance that keeps itself overloaded: it repeated the probes of all
// upstreams without a clear result twice a second.
func TestProbesWithoutAClearResultBackOff(t *testing.T) {
	f := newFixture(t, inDomains(150, "a", "b", "c")...)
	f.advance(time.Second)
	for n := 1; n <= 150; n++ {
		f.engine.RequestProbe(f.now, f.catalogCookie(upstream(n).ID), evidence.TriggerDomain)
	}
	probes := 0
	for range 40 {
		f.advance(250 * time.Millisecond)
		for _, p := range f.engine.TakeProbes() {
			probes++
			f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: p.Upstream, Outcome: evidence.ProbeSilent, Trigger: p.Trigger, Started: f.now.Add(-220 * time.Millisecond)})
		}
		f.engine.RequestRetryProbes(f.now)
	}
	require.LessOrEqual(t, probes, 150*7, "in 10 s")
}

// Guards against resets by an instance that reaches one upstream of another failure domain while
// its probes of 19 upstreams have no answer.
func TestFewAnswersDoNotProveTheSilenceOfMany(t *testing.T) {
	f := newFixture(t, inDomains(60, "a", "b", "c")...)
	f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
	f.advance(time.Second)
	began := f.now
	f.advance(35 * time.Millisecond)
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(185 * time.Millisecond)
	for n := 58; n >= 1; n -= 3 {
		effect := f.result(n, evidence.ProbeSilent, began)
		if n == 1 {
			require.Empty(t, effect.Resets)
		}
	}
}

// Guards against resets by an instance that was paused during its probes, which it repeated: the
// results say nothing about the time of the pause.
func TestSilenceDuringAPauseProvesNothing(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b", "c")...)
	f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
	f.advance(time.Second)
	require.Empty(t, f.result(1, evidence.ProbeSilent, f.now.Add(-220*time.Millisecond)).Resets)
	f.advance(time.Second)
	began := f.now
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(533 * time.Millisecond)
	require.Empty(t, f.result(1, evidence.ProbeSilent, began).Resets)
}

// Guards against an instance that takes its own path for slow because a busy upstream, which has
// accepted the connection at once, is slow to tell its id.
func TestSlowIdentificationDoesNotMakeThePathSlow(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b", "c")...)
	f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
	f.advance(time.Second)
	began := f.now
	f.advance(35 * time.Millisecond)
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(65 * time.Millisecond)
	busy := f.engine.snapshot.Resolve(f.catalogCookie("i-3"))
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: busy, Outcome: evidence.ProbeAlive, Started: began, Identified: true})
	f.advance(120 * time.Millisecond)
	require.True(t, f.result(1, evidence.ProbeSilent, began).Failed)
}
