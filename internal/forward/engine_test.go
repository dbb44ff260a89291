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

// Guards against losing a flow when another instance takes over: that instance has no
// record of the flow and must decide from the cookie alone.
func TestInstanceWithoutStateForwardsByCookie(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	other := newFixture(t, upstream(1), upstream(2), upstream(3))
	for port := 1; port < 100; port++ {
		chosen := f.establish(port)
		d := other.send(port, chosen.Cookie, 1, 1, 100)
		require.Equal(t, Forward, d.Action)
		require.Equal(t, chosen.ID, d.Upstream.ID)
	}
}

// Guards against resetting the established flows of an upstream that receives no new
// ones because it drains, is evacuated, is cold or has lost its entry.
func TestEstablishedFlowsContinueWithoutNewOnes(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"draining":  func(f *fixture) { u := upstream(1); u.Draining = true; f.updateUpstream(u) },
		"evacuated": func(f *fixture) { f.apply(catalog.EvacuationsListed{Domains: []string{"a"}, Revision: 200}) },
		"cold":      func(f *fixture) { u := upstream(1); u.ColdFor = time.Minute; f.updateUpstream(u) },
		"entry removed while it answers": func(f *fixture) {
			f.removeUpstream("i-1")
			f.advance(5 * time.Second)
			f.send(7, flowcookie.Of("i-1", 1000), 1, 500, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, upstream(1))
			chosen := f.establish(7)
			end(f)
			d := f.send(7, chosen.Cookie, 1, 501, 100)
			require.Equal(t, Forward, d.Action, d.Reason)
			require.Equal(t, "i-1", d.Upstream.ID)
		})
	}
}

// Guards against forwarding packets that carry no cookie or an unknown one, and against
// resetting them before the snapshot is Complete.
func TestUnknownCookieReachesNoUpstream(t *testing.T) {
	f := newFixture(t, upstream(1))
	require.Equal(t, Drop, f.send(1, flowcookie.None, 1, 1, 100).Action)
	require.Equal(t, Wait, f.send(1, 12345, 1, 1, 100).Action)
	f.advance(4 * time.Second)
	require.Equal(t, Wait, f.send(1, 12345, 1, 1, 100).Action, "a store replica may not list the upstream yet")
	f.advance(2 * time.Second)
	require.Equal(t, Reset, f.send(1, 12345, 1, 1, 100).Action)
}

// Guards against resetting a flow whose route this instance may not have read yet, and
// against not answering when the route is known to be missing.
func TestUnknownRouteIsRefusedOnlyWithAFreshView(t *testing.T) {
	f := newFixture(t, upstream(1))
	flow := Packet{Flow: Flow{Caller: caller(1).Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}, Open: true}
	require.Equal(t, Reset, f.engine.Decide(f.now, &flow).Action)
	f.now = f.now.Add(routeFreshness + time.Millisecond)
	require.Equal(t, Drop, f.engine.Decide(f.now, &flow).Action)
}

// Guards against leaving the callers of a removed route without an answer, and against
// resets for a route that another instance has read first.
func TestFlowsOfARemovedRouteAreReset(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	unknown := Packet{Flow: Flow{Caller: caller(1).Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}, Cookie: entry.Cookie}
	require.Equal(t, Forward, f.engine.Decide(f.now, &unknown).Action)
	f.apply(catalog.ConfigurationRead{Configuration: catalog.Configuration{Version: 2, Revision: 200, Services: []catalog.Service{{Name: "s"}}}})
	require.Equal(t, Reset, f.open(2, 0).Action)
	require.Equal(t, Wait, f.send(1, entry.Cookie, 1, 1, 100).Action, "the route may have been added again")
	f.advance(2 * time.Second)
	require.Equal(t, Reset, f.send(1, entry.Cookie, 1, 1, 100).Action)
}

// Guards against allocations for each packet of an established flow.
func TestEstablishedPacketsDoNotAllocate(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	p := Packet{Flow: caller(1), Cookie: cookie, Seq: 1001, Ack: 1, Data: 100}
	require.Zero(t, testing.AllocsPerRun(1000, func() { p.Seq += 100; p.Ack += 100; f.engine.Decide(f.now, &p) }))
}

func BenchmarkEstablishedPacket(b *testing.B) {
	t := &testing.T{}
	f := newFixture(t, upstream(1), upstream(2))
	cookie := f.establish(1).Cookie
	p := Packet{Flow: caller(1), Cookie: cookie, Seq: 1001, Ack: 1, Data: 100}
	b.ReportAllocs()
	for b.Loop() {
		p.Seq += 100
		p.Ack += 100
		f.engine.Decide(f.now, &p)
	}
}

// Guards against two faults after all instances have lost power and start again, when
// the configuration takes longer to read than the upstreams: established flows that
// wait for it, and new flows that are assigned or refused without it.
func TestEstablishedFlowsNeedOnlyTheUpstreams(t *testing.T) {
	c := catalog.New()
	c.Apply(start, catalog.UpstreamsListed{Revision: 100, Entries: []catalog.UpstreamChange{{Upstream: upstream(1)}}})
	snapshot, changed := c.Snapshot(start)
	require.True(t, changed)
	require.False(t, snapshot.Ready())
	engine := New(Config{FailureDomain: "a", MaxFlows: 1000})
	engine.SetSnapshot(snapshot)
	cookie := flowcookie.Of("i-1", 1000)
	d := engine.Decide(start, &Packet{Flow: caller(1), Cookie: cookie, Seq: 1, Ack: 1, Data: 100})
	require.Equal(t, Forward, d.Action)
	d = engine.Decide(start, &Packet{Flow: caller(2), Open: true, Seq: 1})
	require.Equal(t, Wait, d.Action)
	require.Equal(t, ReasonNotSynchronized, d.Reason)
	effect := engine.HandleProbeResult(start, evidence.ProbeResult{Upstream: snapshot.Resolve(cookie), Outcome: evidence.ProbeSilent, Started: start})
	require.True(t, effect.Inconclusive, "other upstreams are not known yet")
}

// Guards against a flow whose packets go to a second upstream without any trace of it.
func TestMovedFlowsAreNoticed(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	packet := &Packet{Flow: Flow{Caller: netip.MustParseAddrPort("100.64.0.1:1024"), Service: service}, Seq: 10, Ack: 100, Cookie: flowcookie.Of("i-1", 1000)}
	require.Equal(t, flowcookie.None, f.engine.Decide(f.now, packet).MovedFrom)
	packet.Cookie, packet.Seq = flowcookie.Of("i-2", 1000), 1<<30
	require.Equal(t, flowcookie.Of("i-1", 1000), f.engine.Decide(f.now, packet).MovedFrom)
}
