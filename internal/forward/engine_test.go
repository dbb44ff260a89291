package forward

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

var start = time.Date(2026, 1, 21, 11, 10, 0, 0, time.UTC)

var service = netip.MustParseAddrPort("198.18.0.1:443")

// upstream returns a ready upstream in failure domain "a".
func upstream(n int) catalog.Upstream {
	return catalog.Upstream{
		ID: fmt.Sprintf("i-%d", n), Born: 1000, Token: uint64(n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		FailureDomain: "a", Service: "s", Capacity: 2, Revision: uint64(n),
	}
}

// fixture is an engine with the catalog that feeds it.
type fixture struct {
	t       *testing.T
	catalog *catalog.Catalog
	engine  *Engine
	now     time.Time
	// revision is the store's.
	revision uint64
}

func newFixture(t *testing.T, upstreams ...catalog.Upstream) *fixture {
	f := &fixture{
		t: t, catalog: catalog.New(), now: start, revision: 100,
		engine: New(Config{FailureDomain: "a", MaxFlows: 1000, ColdFactor: 1.5, ColdSlack: 5}),
	}
	list := catalog.UpstreamsListed{Revision: f.revision}
	for _, u := range upstreams {
		list.Entries = append(list.Entries, catalog.UpstreamChange{Upstream: u})
	}
	f.apply(catalog.ConfigurationRead{Configuration: catalog.Configuration{
		Version: 1, Revision: 1, Services: []catalog.Service{{Name: "s", ColdRate: 10, ColdDuration: 5 * time.Second}},
		Routes: []catalog.Route{{Name: "r", Address: service, Split: []catalog.Weight{{Service: "s", Weight: 1}}}},
	}})
	f.apply(catalog.EvacuationsListed{Revision: 1})
	f.apply(list)
	return f
}

func (f *fixture) apply(event catalog.Event) {
	f.catalog.Apply(f.now, event)
	if view, changed := f.catalog.Snapshot(f.now); changed && f.catalog.Known() {
		f.engine.Adopt(view)
	}
}

func (f *fixture) remove(id string) {
	f.revision++
	f.apply(catalog.UpstreamsChanged{Revision: f.revision, Changes: []catalog.UpstreamChange{
		{Upstream: catalog.Upstream{ID: id, Revision: f.revision}, Removed: true},
	}})
}

func (f *fixture) set(u catalog.Upstream) {
	f.revision++
	u.Revision = f.revision
	f.apply(catalog.UpstreamsChanged{Revision: f.revision, Changes: []catalog.UpstreamChange{{Upstream: u}}})
}

// wait lets time pass in which the store confirms its view.
func (f *fixture) wait(d time.Duration) {
	f.now = f.now.Add(d)
	for _, kind := range []catalog.Kind{catalog.KindUpstreams, catalog.KindConfiguration, catalog.KindEvacuations} {
		f.apply(catalog.Confirmed{Kind: kind, Revision: f.revision})
	}
}

func caller(port int) Flow {
	return Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(port)), Service: service}
}

// open sends copy n of the opening packet of a flow.
func (f *fixture) open(port, n int) Decision {
	return f.engine.Decide(f.now, &Packet{Flow: caller(port), Open: true, Copy: uint32(n), Seq: uint32(port) * 1000})
}

// establish opens a flow and lets its upstream answer.
func (f *fixture) establish(port int) *catalog.Entry {
	f.t.Helper()
	d := f.open(port, 0)
	require.Equal(f.t, Forward, d.Action)
	f.send(port, d.Upstream.Cookie, 1, 1, 0)
	return d.Upstream
}

// send sends a packet of an established flow, with sequence numbers relative to
// the start of the flow.
func (f *fixture) send(port int, cookie flowcookie.Cookie, seq, ack uint32, data int) Decision {
	return f.engine.Decide(f.now, &Packet{
		Flow: caller(port), Cookie: cookie, Seq: uint32(port)*1000 + seq, Ack: ack, Data: data,
	})
}

// Guards against losing a flow when another instance takes over: it has never
// seen the flow and decides from the cookie alone.
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

// Guards against cutting the flows of upstreams that drain, are evacuated or
// whose entry cannot be read.
func TestEstablishedFlowsOutliveTheEndOfNewOnes(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"draining":  func(f *fixture) { u := upstream(1); u.Draining = true; f.set(u) },
		"evacuated": func(f *fixture) { f.apply(catalog.EvacuationsListed{Domains: []string{"a"}, Revision: 200}) },
		"cold":      func(f *fixture) { u := upstream(1); u.ColdFor = time.Minute; f.set(u) },
		"entry removed while it answers": func(f *fixture) {
			f.remove("i-1")
			f.wait(5 * time.Second)
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

// Guards against packets that carry no or an unknown cookie: they reach no
// upstream, and are reset only when the view is complete.
func TestForgedCookieReachesNoUpstream(t *testing.T) {
	f := newFixture(t, upstream(1))
	require.Equal(t, Drop, f.send(1, flowcookie.None, 1, 1, 100).Action)
	require.Equal(t, Wait, f.send(1, 12345, 1, 1, 100).Action)
	f.wait(4 * time.Second)
	require.Equal(t, Wait, f.send(1, 12345, 1, 1, 100).Action, "a replica may not have an upstream yet")
	f.wait(2 * time.Second)
	require.Equal(t, Reset, f.send(1, 12345, 1, 1, 100).Action)
}

// Pattern: upstream silent. Guards against copies of an opening packet that go
// to the upstream that did not answer the first.
func TestCopiesOfAnOpeningPacketGoToOtherUpstreams(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	seen := map[string]bool{}
	for n := range 3 {
		d := f.open(1, n)
		require.Equal(t, Forward, d.Action)
		seen[d.Upstream.ID] = true
		f.wait(200 * time.Millisecond)
	}
	require.Len(t, seen, 3)
}

// Pattern: calm wave. Guards against uneven load: plain hashing gave the
// busiest upstream 1.3 to 1.4 times the mean.
func TestNewFlowsSpreadEvenly(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3), upstream(4))
	flows := map[string]int{}
	for port := 1; port <= 400; port++ {
		flows[f.establish(port).ID]++
	}
	for id, n := range flows {
		require.Equal(t, 100, n, id)
	}
}

// Guards against refusing a flow whose route this instance may only not have
// read yet, and against silence where it cannot be served.
func TestUnknownRouteIsRefusedOnlyWithAFreshView(t *testing.T) {
	f := newFixture(t, upstream(1))
	flow := Packet{Flow: Flow{Caller: caller(1).Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}, Open: true}
	require.Equal(t, Reset, f.engine.Decide(f.now, &flow).Action)
	f.now = f.now.Add(routeFreshness + time.Millisecond)
	require.Equal(t, Drop, f.engine.Decide(f.now, &flow).Action)
}

// Guards against leaving the callers of a removed route waiting, and against
// resets for a route that another instance has read first.
func TestFlowsOfARemovedRouteAreReset(t *testing.T) {
	f := newFixture(t, upstream(1))
	entry := f.establish(1)
	unknown := Packet{Flow: Flow{Caller: caller(1).Caller, Service: netip.MustParseAddrPort("198.18.0.9:443")}, Cookie: entry.Cookie}
	require.Equal(t, Forward, f.engine.Decide(f.now, &unknown).Action)
	f.apply(catalog.ConfigurationRead{Configuration: catalog.Configuration{Version: 2, Revision: 200, Services: []catalog.Service{{Name: "s"}}}})
	require.Equal(t, Reset, f.send(1, entry.Cookie, 1, 1, 100).Action)
	require.Equal(t, Reset, f.open(2, 0).Action)
}

// Guards against an allocation or slow decision for each packet of an
// established flow.
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

// Pattern: whole service cold. Guards against instances that send more to a cold
// upstream together than it sustains, for every number of instances.
func TestColdBudgetsAddUpToTheLimit(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 3, 8, 40, 300} {
		for _, count := range []int{1, 2, 3, 9, 18, 70} {
			total := 0
			for rank := range count {
				total += coldBudget(rate, 1.5, 5, Sharing{Rank: rank, Count: count})
			}
			limit := rate*1.5 + 5
			require.LessOrEqual(t, float64(total), limit, "rate %g, %d instances", rate, count)
			require.Positive(t, total)
		}
	}
}

// Guards against flows to cold upstreams while others can take them, and against
// a burst that is spread over two windows.
func TestColdUpstreamsAreUsedLastAndWithinTheirLimit(t *testing.T) {
	cold := func(n int) catalog.Upstream { u := upstream(n); u.ColdFor = time.Minute; return u }
	f := newFixture(t, cold(1), upstream(2))
	for port := 1; port <= 50; port++ {
		require.Equal(t, "i-2", f.establish(port).ID)
	}

	f = newFixture(t, cold(1))
	budget := coldBudget(10, 1.5, 5, Sharing{})
	var sent []time.Time
	for port := 1; port <= 400; port++ {
		if f.open(port, 0).Action == Forward {
			sent = append(sent, f.now)
		}
		f.wait(17 * time.Millisecond)
	}
	for i := range sent {
		if i >= budget {
			require.Greater(t, sent[i].Sub(sent[i-budget]), time.Second)
		}
	}
	require.Greater(t, len(sent), 2*budget)
}

// Pattern: the store takes all entries away at once. Guards against refusing
// callers while the upstreams live, and against sending to them after the users'
// bound.
func TestLapsedUpstreamIsTheLastResort(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.remove("i-1")
	require.Equal(t, "i-2", f.open(1, 0).Upstream.ID)
	f.remove("i-2")
	d := f.open(2, 0)
	require.Equal(t, Forward, d.Action)
	f.wait(2500 * time.Millisecond)
	d = f.open(3, 0)
	require.Equal(t, Reset, d.Action)
	require.Equal(t, ReasonNoUpstream, d.Reason)
}

// Pattern: slow upstream in a failure domain with few. Guards against new flows
// that queue behind it while others of the service are idle, and against one
// that stays out after it has recovered.
func TestSlowUpstreamGetsNoNewFlowsWhileOthersCan(t *testing.T) {
	remote := func(n int) catalog.Upstream { u := upstream(n); u.FailureDomain = "b"; return u }
	f := newFixture(t, upstream(1), remote(2), remote(3))
	cookie := flowcookie.Of("i-1", 1000)
	answer := func(port int, round uint32, took time.Duration) {
		f.send(port, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(took)
		f.send(port, cookie, 101+100*round, 401+400*round, 0)
	}
	require.Equal(t, "i-1", f.establish(1).ID)
	round := uint32(0)
	for ; round < 50; round++ {
		answer(1, round, 25*time.Millisecond)
	}
	require.Equal(t, "i-1", f.open(2, 0).Upstream.ID)
	for ; round < 60; round++ {
		answer(1, round, 300*time.Millisecond)
	}
	f.wait(0)
	require.NotEqual(t, "i-1", f.open(3, 0).Upstream.ID)
	for ; round < 90; round++ {
		answer(1, round, 25*time.Millisecond)
	}
	f.wait(slowFor)
	require.Equal(t, "i-1", f.open(4, 0).Upstream.ID)
}

// Guards against taking a caller's pause for the time of an answer: an
// acknowledgement may come with the next request.
func TestPausesOfTheCallerAreNoDelay(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := f.establish(1).Cookie
	for round := uint32(0); round < 50; round++ {
		f.send(1, cookie, 1+100*round, 1+400*round, 100)
		f.now = f.now.Add(time.Second)
	}
	require.Zero(t, f.engine.statsOf(cookie).delay.samples)
}
