package forward

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against resets by an instance that is behind, or was paused, of flows of an upstream
// that another instance has read before it.
func TestFlowOfAnUpstreamThatIsNotKnownYetIsNotReset(t *testing.T) {
	for name, newFixture := range map[string]func(*testing.T, ...catalog.Upstream) *fixture{"earlier format": newFixture, "by id": newFixtureByID} {
		for _, behind := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
			t.Run(name+" "+behind.String(), func(t *testing.T) {
				ahead, f := newFixture(t, upstream(2)), newFixture(t, upstream(1))
				cookie := ahead.establish(4001).IssuedCookie()
				f.advance(10 * time.Second)
				f.now = f.now.Add(behind)
				d := f.send(4001, cookie, 1, 1, 100)
				require.Equal(t, Wait, d.Action, "nothing was heard of the store since the upstream may have started: %s", d.Reason)
				f.updateUpstream(upstream(2))
				require.Equal(t, Forward, f.send(4001, cookie, 1, 1, 100).Action)
			})
		}
	}
}

// Guards against callers that get no answer for longer than the next check takes, against a
// check that began before the flow's first packet, and against resets of callers' resets.
func TestUnplacedFlowIsResetAfterALaterCheck(t *testing.T) {
	f := newFixture(t, upstream(1))
	f.advance(10 * time.Second)
	require.Equal(t, Wait, f.send(1, 12345, 1, 1, 100).Action)
	f.advance(500 * time.Millisecond)
	require.Equal(t, Wait, f.send(1, 12345, 1, 1, 100).Action, "the check may have begun before the flow was opened")
	f.advance(2 * time.Second)
	closing := Packet{Flow: caller(1), Cookie: 12345, Reset: true}
	require.Equal(t, Wait, f.engine.Decide(f.now, &closing).Action)
	require.Equal(t, Wait, f.send(2, 12345, 1, 1, 100).Action, "another flow")
	require.Equal(t, Reset, f.send(1, 12345, 1, 1, 100).Action)
}

// Guards against unplaced flows that take memory without a limit, and against resets of
// those that do not fit.
func TestUnplacedFlowsAreBounded(t *testing.T) {
	f := newFixture(t, upstream(1))
	f.advance(10 * time.Second)
	for n := range 2 * maxUnplaced {
		require.Equal(t, Wait, f.send(n, 12345, 1, 1, 100).Action)
	}
	require.Len(t, f.engine.unplaced, maxUnplaced)
	f.advance(flowIdle)
	require.Equal(t, Wait, f.send(2*maxUnplaced-1, 12345, 1, 1, 100).Action)
	f.engine.RemoveIdleFlows(f.now)
	require.Empty(t, f.engine.unplaced)
}

// configure puts a configuration into force whose routes are for the given addresses and
// have all services of the fixture.
func (f *fixture) configure(version uint64, services []string, routes ...netip.AddrPort) {
	f.revision++
	config := catalog.Configuration{Version: version, Revision: f.revision}
	var split []catalog.Weight
	for _, name := range services {
		config.Services = append(config.Services, catalog.Service{Name: name})
		split = append(split, catalog.Weight{Service: name, Weight: 1})
	}
	for _, address := range routes {
		config.Routes = append(config.Routes, catalog.Route{Name: address.String(), Address: address, Split: split})
	}
	f.apply(catalog.ConfigurationRead{Configuration: config})
}

// Guards against resets of flows of a route that was removed and added again, by an instance
// that has read only the first of these configurations.
func TestFlowOfARouteThatWasAddedAgainIsNotReset(t *testing.T) {
	f := newFixture(t, upstream(1))
	f.advance(10 * time.Second)
	f.configure(2, []string{"s"})
	f.now = f.now.Add(2 * time.Second)
	d := f.send(4001, flowcookie.Of("i-1", 1000), 1, 1, 100)
	require.Equal(t, Wait, d.Action, "nothing was heard of the store since the route may have been added: %s", d.Reason)
	f.configure(3, []string{"s"}, service)
	require.Equal(t, Forward, f.send(4001, flowcookie.Of("i-1", 1000), 1, 1, 100).Action)
}

// Guards against resets of flows of a route, or of a service of a route, that another
// instance has read before this one.
func TestFlowOfAServiceThatTheRouteGotSinceIsNotReset(t *testing.T) {
	added := netip.MustParseAddrPort("198.18.0.2:443")
	other := upstream(2)
	other.Service = "other"
	for name, next := range map[string]struct {
		cookie flowcookie.Cookie
		flow   Flow
	}{
		"route":   {flowcookie.ByID("i-1", 1000), Flow{Caller: caller(4001).Caller, Service: added}},
		"service": {flowcookie.ByID("i-2", 1000), caller(4001)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureByID(t, upstream(1), other)
			f.advance(2 * time.Minute)
			f.now = f.now.Add(10 * time.Millisecond)
			packet := Packet{Flow: next.flow, Cookie: next.cookie, Seq: 1, Ack: 1, Data: 100}
			d := f.engine.Decide(f.now, &packet)
			require.Equal(t, Wait, d.Action, "nothing was heard of the store since the configuration may have changed: %s", d.Reason)
			f.now = f.now.Add(2 * time.Second)
			f.apply(catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: f.revision})
			packet.Cookie = next.cookie
			require.Equal(t, Wait, f.engine.Decide(f.now, &packet).Action, "the configuration may have changed")
			f.configure(2, []string{"s", "other"}, service, added)
			packet.Cookie = next.cookie
			require.Equal(t, Forward, f.engine.Decide(f.now, &packet).Action)
		})
	}
}

// Guards against resets of flows of an upstream whose entry lapsed and has come back, by an
// instance that has read only of its removal, when a probe gives no clear result.
func TestFlowOfAnUpstreamWhoseEntryIsBackIsNotReset(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.advance(10 * time.Second)
	f.removeUpstream("i-1")
	// The entry is back after a second, but this instance hears no more of the store.
	f.now = f.now.Add(2500 * time.Millisecond)
	require.Equal(t, Forward, f.send(4001, cookie, 1, 1, 100).Action)
	for _, probe := range f.engine.TakeProbes() {
		result := evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Trigger: probe.Trigger, Started: f.now}
		require.False(t, f.engine.HandleProbeResult(f.now.Add(220*time.Millisecond), result).Failed, "no other upstream has answered")
	}
	f.now = f.now.Add(300 * time.Millisecond)
	d := f.send(4001, cookie, 101, 1, 100)
	require.Equal(t, Forward, d.Action, "nothing was heard of the store since the entry may be back: %s", d.Reason)
	f.advance(time.Second)
	f.send(4001, cookie, 201, 1, 100)
	for _, probe := range f.engine.TakeProbes() {
		f.engine.CancelProbe(probe)
	}
	require.Equal(t, Reset, f.send(4001, cookie, 301, 1, 100).Action, "the store has confirmed that the entry is missing")
}

// Guards against resets of flows of an upstream whose entry vanished before this instance
// started, as long as probes find it, and against flows that go on after a probe that does not.
func TestProbesDecideAboutUpstreamsThatPeersMiss(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := flowcookie.Of("i-2", 1000)
	f.apply(catalog.MissingUpstreams{Upstreams: []catalog.MissingUpstream{{Upstream: upstream(2), Ago: 5 * time.Second}}})
	answerProbes := func(outcome evidence.ProbeOutcome) {
		for _, probe := range f.engine.TakeProbes() {
			f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: probe.Upstream, Outcome: outcome, Trigger: probe.Trigger, Started: f.now})
		}
	}
	for _, outcome := range []evidence.ProbeOutcome{evidence.ProbeAlive, evidence.ProbeAlive, evidence.ProbeRefused} {
		f.advance(5 * time.Second)
		require.Equal(t, Forward, f.send(4001, cookie, 1, 1, 100).Action)
		answerProbes(outcome)
	}
	f.advance(evidence.LateProbeAfter)
	answerProbes(evidence.ProbeRefused)
	require.Equal(t, Reset, f.send(4001, cookie, 1, 1, 100).Action)
	require.Equal(t, "i-1", f.open(4002, 0).Upstream.ID)
}
