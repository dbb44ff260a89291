package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// restart returns the entry of an upstream that has started again under its id.
func restart(u catalog.Upstream) catalog.Upstream {
	u.Born += 5000
	return u
}

// Guards against resets of open flows that an upstream accepted after it had started
// again under its id and before its first report: they carry the cookie of the earlier
// incarnation.
func TestFlowsOpenedBeforeFirstReportOfRestartGoOn(t *testing.T) {
	f := newFixture(t, upstream(1))
	earlier := f.establish(4001)
	f.advance(100 * time.Millisecond)
	f.updateUpstream(restart(upstream(1)))
	f.advance(5 * time.Second)
	d := f.send(4001, earlier.Cookie, 1, 1, 100)
	require.Equal(t, Forward, d.Action)
	require.Equal(t, ReasonEarlierIncarnation, d.Reason)
	require.EqualValues(t, 6000, d.Upstream.Born)
	require.Equal(t, flowcookie.Of("i-1", 6000), d.Upstream.Cookie, "the upstream and the caller return the later cookie from now on")
	require.Equal(t, 1, f.engine.loadOf(d.Upstream.Cookie).flows)
	require.Zero(t, f.engine.loadOf(earlier.Cookie).flows)
}

// Guards against resets of such flows after a start of all instances, none of which knows
// the earlier incarnation.
func TestFlowsOfEarlierIncarnationSurviveStartOfAllInstances(t *testing.T) {
	f := newFixtureByID(t, upstream(1))
	earlier := f.establish(4001)
	f = newFixtureByID(t, restart(upstream(1)))
	for range 10 {
		f.advance(time.Second)
		d := f.send(4001, earlier.IssuedCookie(), 1, 1, 100)
		require.NotEqual(t, Reset, d.Action, d.Reason)
		require.Equal(t, Forward, d.Action, "the upstream holds the flow and is known")
		require.Equal(t, ReasonEarlierIncarnation, d.Reason)
		require.EqualValues(t, 6000, d.Upstream.Born)
		require.Equal(t, flowcookie.ByID("i-1", 6000), d.Upstream.IssuedCookie())
	}
	require.Equal(t, 1, f.engine.loadOf(flowcookie.Of("i-1", 6000)).flows)
}

// Guards against resets by instances that do not issue the cookies by id yet, while others
// do, and against other decisions of theirs before they would reset the flow.
func TestInstanceWithoutTheSettingForwardsInsteadOfAReset(t *testing.T) {
	f := newFixture(t, restart(upstream(1)))
	cookie := flowcookie.ByID("i-1", 1000)
	f.advance(time.Second)
	require.Equal(t, Wait, f.send(4001, cookie, 1, 1, 100).Action)
	f.advance(5 * time.Second)
	d := f.send(4001, cookie, 1, 1, 100)
	require.Equal(t, Forward, d.Action)
	require.Equal(t, flowcookie.Of("i-1", 6000), d.Upstream.IssuedCookie())
	unknown := flowcookie.Of("i-1", 1000) // In the earlier format.
	require.Equal(t, Wait, f.send(4002, unknown, 1, 1, 100).Action)
	f.advance(2 * time.Second)
	require.Equal(t, Reset, f.send(4002, unknown, 1, 1, 100).Action)
}

// Guards against flows that go to an upstream that has ended because its id is known.
func TestUnknownCookieDoesNotLeadToAnEndedUpstream(t *testing.T) {
	f := newFixtureByID(t, restart(upstream(1)), upstream(2))
	for _, action := range []Action{Wait, Reset} {
		f.advance(6 * time.Second)
		for range 2 {
			f.engine.HandleProbeResult(f.now, evidence.ProbeResult{
				Upstream: f.engine.snapshot.Resolve(flowcookie.Of("i-1", 6000)), Outcome: evidence.ProbeRefused, Started: f.now,
			})
			f.advance(evidence.LateProbeAfter)
		}
		d := f.send(4001, flowcookie.ByID("i-1", 1000), 1, 1, 100)
		require.Equal(t, action, d.Action)
		require.Equal(t, ReasonUnknownCookie, d.Reason)
	}
}

// Guards against resets of such flows by a probe that began before the restart and ends
// after it.
func TestProbeOfEarlierIncarnationResetsNoFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	earlier := f.establish(4001)
	began := f.now
	f.advance(100 * time.Millisecond)
	f.updateUpstream(restart(upstream(1)))
	f.updateUpstream(restart(upstream(2)))
	effect := f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: earlier, Outcome: evidence.ProbeRefused, Started: began.Add(50 * time.Millisecond)})
	require.Equal(t, ProbeEffect{}, effect)
	require.Equal(t, Forward, f.send(4001, earlier.Cookie, 1, 1, 100).Action)
}

// Guards against flows that go on after the later incarnation has failed as well, and
// against flows of an ended upstream that go to the upstream that now has its address.
func TestFlowsOfEarlierIncarnationEndWithTheLatest(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.updateUpstream(restart(upstream(1)))
	latest := f.engine.snapshot.Successor(cookie)
	for range 2 {
		f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: latest, Outcome: evidence.ProbeRefused, Started: f.now})
		f.advance(evidence.LateProbeAfter)
	}
	d := f.send(4001, cookie, 1, 1, 100)
	require.Equal(t, Reset, d.Action)
	require.Equal(t, ReasonUpstreamFailed, d.Reason)

	f.removeUpstream("i-2")
	taker := upstream(3)
	taker.Address, taker.Born = upstream(2).Address, 7000
	f.updateUpstream(taker)
	d = f.send(4002, flowcookie.Of("i-2", 1000), 1, 1, 100)
	require.Equal(t, Reset, d.Action)
	require.Equal(t, ReasonUpstreamGone, d.Reason)
}
