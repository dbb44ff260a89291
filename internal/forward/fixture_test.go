package forward

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
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

// fixture is an engine with the catalog that supplies its snapshots.
type fixture struct {
	t       *testing.T
	catalog *catalog.Catalog
	engine  *Engine
	now     time.Time
	// revision is the store's latest revision.
	revision uint64
	// port is the last one that openFor has used.
	port int
}

func newFixture(t *testing.T, upstreams ...catalog.Upstream) *fixture {
	return newFixtureWith(t, Config{FailureDomain: "a", MaxFlows: 1000, ColdFactor: 1.5, ColdSlack: 5}, upstreams...)
}

// newFixtureByID returns a fixture with the setting cookie_by_id.
func newFixtureByID(t *testing.T, upstreams ...catalog.Upstream) *fixture {
	return newFixtureWith(t, Config{FailureDomain: "a", MaxFlows: 1000, ColdFactor: 1.5, ColdSlack: 5, CookieByID: true}, upstreams...)
}

func newFixtureWith(t *testing.T, cfg Config, upstreams ...catalog.Upstream) *fixture {
	f := &fixture{t: t, catalog: catalog.New(), now: start, revision: 100, engine: New(cfg)}
	f.catalog.SetCookieByID(cfg.CookieByID)
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
	f.advance(0)
	return f
}

func (f *fixture) apply(event catalog.Event) {
	f.catalog.Apply(f.now, event)
	if snapshot, changed := f.catalog.Snapshot(f.now); changed && snapshot.Ready() {
		f.engine.SetSnapshot(snapshot)
	}
}

func (f *fixture) removeUpstream(id string) {
	f.revision++
	f.apply(catalog.UpstreamsChanged{Revision: f.revision, Changes: []catalog.UpstreamChange{
		{Upstream: catalog.Upstream{ID: id, Revision: f.revision}, Removed: true},
	}})
}

func (f *fixture) updateUpstream(u catalog.Upstream) {
	f.revision++
	u.Revision = f.revision
	f.apply(catalog.UpstreamsChanged{Revision: f.revision, Changes: []catalog.UpstreamChange{{Upstream: u}}})
}

// advance moves the clock and lets the store confirm the snapshot.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, kind := range []catalog.Kind{catalog.KindUpstreams, catalog.KindConfiguration, catalog.KindEvacuations} {
		f.apply(catalog.Confirmed{Kind: kind, Revision: f.revision})
	}
}

func caller(port int) Flow {
	return Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(port)), Service: service}
}

// open sends copy n of the opening packet of a flow, 0 being the first.
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

// exchangeRequest sends a flow's first request and acknowledges its answer.
func (f *fixture) exchangeRequest(port int, cookie flowcookie.Cookie) {
	f.send(port, cookie, 1, 1, 100)
	f.now = f.now.Add(time.Millisecond)
	f.send(port, cookie, 101, 400, 0)
}

// answerProbe lets an upstream answer a probe that begins now, which shows that the
// instance itself is not partitioned.
func (f *fixture) answerProbe(n int) {
	f.t.Helper()
	entry := f.engine.snapshot.Resolve(flowcookie.Of(upstream(n).ID, 1000))
	require.NotNil(f.t, entry)
	require.Empty(f.t, f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeAlive, Started: f.now}).Resets)
}

// catalogCookie returns the cookie of the upstream with an id that started at 1000.
func (f *fixture) catalogCookie(id string) flowcookie.Cookie { return flowcookie.Of(id, 1000) }
