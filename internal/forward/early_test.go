package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Pattern: upstream silent. Guards against waiting for the caller's second copy
// of a request, during which further requests that must not be repeated go to
// the upstream that has crashed.
func TestRequestWithoutAnswerIsASign(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.answer(1, cookie)
	f.wait(time.Second)
	f.send(1, cookie, 101, 400, 100)
	f.wait(askTimeout - time.Millisecond)
	f.send(2, cookie, 1, 1, 100)
	require.Empty(t, f.engine.TakeProbes())
	f.wait(time.Millisecond)
	f.send(2, cookie, 101, 1, 100)
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 1)
	require.Equal(t, SignUnanswered, probes[0].Sign)
}

// Guards against probes of an upstream that answers other flows, and against
// probes of a service whose answers usually take that long.
func TestRequestThatTakesLongIsNoSign(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.answer(1, cookie)
	f.send(1, cookie, 101, 400, 100)
	f.wait(50 * time.Millisecond)
	f.send(2, cookie, 1, 400, 0)
	f.wait(time.Second)
	f.send(2, cookie, 1, 400, 0)
	require.Empty(t, f.engine.TakeProbes(), "another flow was answered after the request")

	const usual = 80 * time.Millisecond
	for round := uint32(1); round < 20; round++ {
		f.send(2, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(usual)
		f.send(2, cookie, 101+100*round, 401+400*round, 0)
	}
	f.send(2, cookie, 2001, 8001, 100)
	limit := f.engine.askLimit(cookie, f.engine.statsOf(cookie))
	require.Greater(t, limit, 3*usual)
	f.wait(limit - time.Millisecond)
	f.send(1, cookie, 201, 400, 0)
	require.Empty(t, f.engine.TakeProbes(), "the service usually takes 80 ms")
	f.wait(time.Millisecond)
	f.send(1, cookie, 201, 400, 0)
	require.Len(t, f.engine.TakeProbes(), 1)
}

// Guards against probes of upstreams whose short answers are acknowledged only
// with the next request: ten a second on a quiet day of 9 instances.
func TestAnswerThatIsAcknowledgedLateIsNoSign(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	for round := uint32(0); round < 10; round++ {
		f.send(1, cookie, 1+100*round, 1+400*round, 100)
		f.wait(time.Second)
	}
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against taking an old acknowledgement that comes with a request for a
// sign of life of an upstream that has crashed meanwhile.
func TestOldAcknowledgementIsNoAnswer(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	f.establish(2)
	f.send(1, cookie, 1, 1, 100)
	f.wait(time.Second)
	f.engine.suspect(f.now, cookie, SignStall)
	probe := f.engine.TakeProbes()[0]
	began := f.now
	f.wait(10 * time.Millisecond)
	f.send(1, cookie, 101, 400, 100)
	f.wait(190 * time.Millisecond)
	require.True(t, f.engine.Probed(f.now, ProbeResult{Upstream: probe.Upstream, Verdict: VerdictSilent, Started: began}).New)
}

// Pattern: whole service slow. Guards against a probe of every upstream at once
// when all answers become slow.
func TestSignsOfUnansweredRequestsAreLimited(t *testing.T) {
	var all []catalog.Upstream
	for n := 1; n <= 20; n++ {
		all = append(all, upstream(n))
	}
	f := newFixture(t, all...)
	for port := 1; port <= 20; port++ {
		f.answer(port, f.establish(port).Cookie)
	}
	f.wait(time.Second)
	for port := 1; port <= 20; port++ {
		f.send(port, f.engine.flows.get(caller(port)).targets[0], 101, 400, 100)
	}
	f.wait(askTimeout)
	f.open(30, 0)
	require.Len(t, f.engine.TakeProbes(), 1)
}

// Pattern: upstream silent, zone cut. Guards against an instance that keeps to
// itself that a probe has no answer, so that the others begin theirs 200 ms
// later, and against new flows to the upstream meanwhile.
func TestProbeWithoutAnswerIsReportedBeforeItsOutcome(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	f.wait(time.Second)
	cookie := flowcookie.Of("i-1", 1000)
	f.engine.suspect(f.now, cookie, SignStall)
	probe := f.engine.TakeProbes()[0]
	require.True(t, f.engine.Unanswered(f.now, probe))
	require.Len(t, f.engine.TakeProbes(), 2, "the failure domain may be cut off, or this instance")
	for port := 1; port < 20; port++ {
		require.NotEqual(t, "i-1", f.open(port, 0).Upstream.ID)
	}

	f.engine.Probed(f.now, ProbeResult{Upstream: probe.Upstream, Verdict: VerdictAlive, Started: f.now})
	used := false
	for port := 20; port < 60; port++ {
		used = used || f.open(port, 0).Upstream.ID == "i-1"
	}
	require.True(t, used, "an upstream that accepts late is used again")
	require.False(t, f.engine.Unanswered(f.now, probe), "the outcome is known")
}

// Guards against words that go round: what an instance hears it does not
// report, neither early nor with the outcome.
func TestReportedUpstreamIsNotReportedAgain(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.wait(time.Second)
	f.engine.Reported(f.now, "i-1", 1000)
	probe := f.engine.TakeProbes()[0]
	require.False(t, f.engine.Unanswered(f.now, probe))
	for _, other := range f.engine.TakeProbes() {
		require.Equal(t, SignControl, other.Sign)
	}
	f.reach(2)
	abandoned := f.engine.Probed(f.now, ProbeResult{Upstream: probe.Upstream, Verdict: VerdictSilent, Sign: probe.Sign, Started: f.now})
	require.True(t, abandoned.New)
	require.False(t, abandoned.Report)
	require.Empty(t, f.engine.TakeProbes())
}

// Guards against flows whose acknowledgements are never noticed because the
// upstream began with a sequence number in the upper half of the range: their
// upstream seemed not to answer, and their resets lay outside of the caller's
// window.
func TestSequenceNumbersInTheUpperHalf(t *testing.T) {
	const first = 3_000_000_000
	f := newFixture(t, upstream(1))
	require.Equal(t, Forward, f.open(1, 0).Action)
	cookie := flowcookie.Of("i-1", 1000)
	f.send(1, cookie, 1, first, 0)
	f.send(1, cookie, 1, first, 100)
	f.now = f.now.Add(time.Millisecond)
	f.send(1, cookie, 101, first+400, 0)
	require.Equal(t, 1, f.engine.statsOf(cookie).delay.samples)
	require.Equal(t, f.now, f.engine.statsOf(cookie).answered)
	f.wait(time.Second)
	abandoned := f.engine.Probed(f.now, ProbeResult{Upstream: f.engine.view.Resolve(cookie), Verdict: VerdictSilent, Started: f.now})
	require.Len(t, abandoned.Flows, 1)
	require.EqualValues(t, uint32(first+400), abandoned.Flows[0].Ack)
}
