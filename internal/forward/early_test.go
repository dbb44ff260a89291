package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against detecting a silent upstream only by the caller's second copy of a
// request: until then, further non-idempotent requests go to the crashed upstream.
func TestUnansweredRequestCausesAProbe(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.exchangeRequest(1, cookie)
	f.advance(time.Second)
	f.send(1, cookie, 101, 400, 100)
	f.advance(evidence.MinRequestTimeout - time.Millisecond)
	f.send(2, cookie, 1, 1, 100)
	require.Empty(t, f.engine.TakeProbes())
	f.advance(time.Millisecond)
	f.send(2, cookie, 101, 1, 100)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Equal(t, evidence.TriggerUnanswered, probes[0].Trigger)
}

// Guards against probes of an upstream that answers other flows, and of a service whose
// usual response time is as long as the request has waited.
func TestSlowRequestCausesNoProbe(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.exchangeRequest(1, cookie)
	f.send(1, cookie, 101, 400, 100)
	f.advance(50 * time.Millisecond)
	f.send(2, cookie, 1, 400, 0)
	f.advance(time.Second)
	f.send(2, cookie, 1, 400, 0)
	require.Empty(t, f.engine.TakeProbes(), "another flow was answered after the request")

	const usual = 80 * time.Millisecond
	for round := uint32(1); round < 20; round++ {
		f.send(2, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(usual)
		f.send(2, cookie, 101+100*round, 401+400*round, 0)
	}
	f.send(2, cookie, 2001, 8001, 100)
	limit := f.engine.RequestTimeout(cookie)
	require.Greater(t, limit, 3*usual)
	f.advance(limit - time.Millisecond)
	f.send(1, cookie, 201, 400, 0)
	require.Empty(t, f.engine.TakeProbes(), "the usual response time is 80 ms")
	f.advance(time.Millisecond)
	f.send(1, cookie, 201, 400, 0)
	require.Len(t, f.engine.TakeProbes(), 1)
}

// Guards against needless probes when short answers are acknowledged only with the next
// request: ten a second with 9 instances without any failure.
func TestLateAcknowledgementCausesNoProbe(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	for round := uint32(0); round < 10; round++ {
		f.send(1, cookie, 1+100*round, 1+400*round, 100)
		f.advance(time.Second)
	}
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against counting an old acknowledgement, which comes with a new request, as an
// answer of an upstream that has crashed in the meantime.
func TestOldAcknowledgementIsNoAnswer(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.send(1, cookie, 1, 1, 100)
	f.advance(time.Second)
	f.engine.RecordTrigger(f.now, cookie, evidence.TriggerRepeat)
	probe := f.engine.TakeProbes()[0]
	began := f.now
	f.advance(10 * time.Millisecond)
	f.send(1, cookie, 101, 400, 100)
	f.advance(190 * time.Millisecond)
	require.True(t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Started: began}).FirstFailure)
}

// Guards against probes of all upstreams at once when all answers of a service become
// slow.
func TestProbesForUnansweredRequestsAreRateLimited(t *testing.T) {
	var all []catalog.Upstream
	for n := 1; n <= 20; n++ {
		all = append(all, upstream(n))
	}
	f := newFixture(t, all...)
	for port := 1; port <= 20; port++ {
		f.exchangeRequest(port, f.establish(port).Cookie)
	}
	f.advance(time.Second)
	for port := 1; port <= 20; port++ {
		f.send(port, f.engine.flows.get(caller(port)).targets[0], 101, 400, 100)
	}
	f.advance(evidence.MinRequestTimeout)
	f.open(30, 0)
	require.Len(t, f.engine.TakeProbes(), 1)
}

// Guards against two faults while a probe of a silent upstream or of a partitioned
// failure domain is unanswered: other instances that start their probes only after its
// result, 200 ms later, and new flows to the upstream.
func TestLateProbeIsReportedBeforeItsResult(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	f.advance(time.Second)
	cookie := flowcookie.Of("i-1", 1000)
	f.engine.RecordTrigger(f.now, cookie, evidence.TriggerRepeat)
	probe := f.engine.TakeProbes()[0]
	require.True(t, f.engine.HandleLateProbe(f.now, probe))
	require.Len(t, f.engine.TakeProbes(), 2, "control probes: the failure domain or this instance may be partitioned")
	for port := 1; port < 20; port++ {
		require.NotEqual(t, "i-1", f.open(port, 0).Upstream.ID)
	}

	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeAlive, Started: f.now})
	used := false
	for port := 20; port < 60; port++ {
		used = used || f.open(port, 0).Upstream.ID == "i-1"
	}
	require.True(t, used, "an upstream whose late probe succeeds is used again")
	require.False(t, f.engine.HandleLateProbe(f.now, probe), "the probe already has a result")
}

// Guards against reports that circulate among instances: an instance reports an
// upstream that another one reported neither when its probe is late nor with the
// result.
func TestReportedUpstreamIsNotReportedAgain(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.advance(time.Second)
	f.engine.HandleSilenceReport(f.now, "i-1", 1000)
	probe := f.engine.TakeProbes()[0]
	require.False(t, f.engine.HandleLateProbe(f.now, probe))
	for _, other := range f.engine.TakeProbes() {
		require.Equal(t, evidence.TriggerControl, other.Trigger)
	}
	f.answerProbe(2)
	effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Trigger: probe.Trigger, Started: f.now})
	require.True(t, effect.FirstFailure)
	require.False(t, effect.Report)
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against acknowledgements that are ignored because the upstream's first
// sequence number lies in the upper half of the range: the upstream seemed not to
// answer, and its resets lay outside of the caller's window.
func TestSequenceNumbersInTheUpperHalf(t *testing.T) {
	const first = 3_000_000_000
	f := newFixture(t, upstream(1))
	require.Equal(t, Forward, f.open(1, 0).Action)
	cookie := flowcookie.Of("i-1", 1000)
	f.send(1, cookie, 1, first, 0)
	f.send(1, cookie, 1, first, 100)
	f.now = f.now.Add(time.Millisecond)
	f.send(1, cookie, 101, first+400, 0)
	_, samples := f.engine.ResponseTime(cookie)
	require.Equal(t, 1, samples)
	require.Equal(t, f.now, f.engine.AnsweredAt(cookie))
	f.advance(time.Second)
	effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: f.engine.snapshot.Resolve(cookie), Outcome: evidence.ProbeSilent, Started: f.now})
	require.Len(t, effect.Resets, 1)
	require.EqualValues(t, uint32(first+400), effect.Resets[0].Ack)
}
