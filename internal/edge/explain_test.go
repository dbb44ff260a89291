package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/hedge"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
	"github.com/chivemast/chivemast/internal/overload"
)

// silentCodec is a Codec for a traffic loop that receives no packets.
type silentCodec struct{ Codec }

func (silentCodec) Sizes() (prefix, datagram int) { return 0, 64 }

// Guards against /explain without an answer while the store is unavailable or the instance
// shuts down, against counters that an explanation changes, against questions without a
// limit, and against invalid parameters that reach the traffic goroutine.
func TestExplainAnswersWithoutTheStore(t *testing.T) {
	metrics, err := NewMetrics()
	require.NoError(t, err)
	conn, err := listenTraffic(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	log := eventlog.New("edge-1", logrus.ErrorLevel)
	instance := &Instance{settings: &Settings{Instance: "edge-1", FailureDomain: "a"}, metrics: metrics, log: log, explainLimit: rate.NewLimiter(0, 8)}
	instance.shuttingDown.Store(true)
	loop := &trafficLoop{
		conn: conn, codec: silentCodec{}, snapshot: &instance.snapshot, log: newFlowLog(log), metrics: metrics,
		engine: forward.New(forward.Config{FailureDomain: "a", MaxFlows: 10}), questions: make(chan question, 1),
		peerRank: func(time.Time) (int, int) { return 0, 1 }, sendLoad: func(load.Reports, inflight.Report) {},
	}
	loop.prober = newProber(nil, loop.wake)
	instance.traffic = loop
	get := func(query string) (int, Explanation) {
		w, x := httptest.NewRecorder(), Explanation{}
		instance.serveExplain(w, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
		if w.Code == http.StatusOK {
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &x))
		}
		return w.Code, x
	}
	const flow = "caller=100.64.0.5:1038&service=198.18.0.1:443"
	for _, query := range []string{"", "caller=100.64.0.5:1038", "caller=x&service=198.18.0.1:443", flow + "&seq=4294967296", "caller=[::1]:1&service=198.18.0.1:443", "caller=100.64.0.5:0&service=198.18.0.1:443"} {
		code, _ := get(query)
		require.Equal(t, http.StatusBadRequest, code, query)
	}

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- loop.run(ctx) }()
	code, x := get(flow)
	require.Equal(t, http.StatusOK, code)
	require.Equal(t, "wait not_synchronized", x.Action+" "+x.Reason)

	c, now := catalog.New(), time.Now().Add(-time.Minute)
	c.Apply(now, catalog.ConfigurationRead{Configuration: catalog.Configuration{
		Version: 3, Revision: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Split: []catalog.Weight{{Service: "s", Weight: 1}}, Terms: catalog.Terms{Priority: 2}}},
	}})
	c.Apply(now, catalog.EvacuationsListed{Revision: 1})
	c.Apply(now, catalog.UpstreamsListed{Revision: 2, Entries: []catalog.UpstreamChange{{Upstream: catalog.Upstream{
		ID: "i-1", Born: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "b", Service: "s", Capacity: 2, Revision: 2,
	}}}})
	snapshot, _ := c.Snapshot(now)
	instance.snapshot.Store(snapshot)
	scrape := func() string {
		w := httptest.NewRecorder()
		metrics.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		lines := strings.Split(w.Body.String(), "\n")
		kept := lines[:0]
		for _, line := range lines {
			if !strings.Contains(line, "_age_ms") && !strings.HasPrefix(line, "target_info") {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "\n")
	}
	before := scrape()
	for range 7 {
		code, x = get(flow)
		require.Equal(t, http.StatusOK, code)
	}
	require.Equal(t, before, scrape())
	require.Equal(t, "forward opened i-1 b few_upstreams local", strings.Join([]string{x.Action, x.Reason, x.Upstream, x.Domain, x.DomainCause, x.Tier}, " "))
	require.True(t, x.ShuttingDown)
	require.Equal(t, 2, x.Route.Priority)
	require.Equal(t, "s", x.Service.Name)
	require.True(t, x.Candidates[0].Chosen)
	require.GreaterOrEqual(t, x.AgeMS["upstreams"], int64(60_000))
	code, _ = get(flow)
	require.Equal(t, http.StatusTooManyRequests, code)

	cancel()
	require.NoError(t, <-done)
	ended, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	_, ok := ask(ended, loop, func(time.Time, *forward.Engine) int { return 1 })
	require.False(t, ok, "the traffic goroutine has ended")
}

// Guards against a status without the state of overload control, and against one that waits
// for a traffic goroutine that does not answer.
func TestStatusHasOverloadControl(t *testing.T) {
	metrics, err := NewMetrics()
	require.NoError(t, err)
	metrics.countDecision(forward.Decision{Admission: &forward.Admission{Priority: 2, Result: overload.Result{Reason: overload.Overloaded}}}, false)
	metrics.countHedge(hedge.Won)
	require.Equal(t, []AdmissionCount{{Priority: 2, Result: "overloaded", Flows: 1}}, metrics.admissionCounts())
	require.Equal(t, []HedgeCount{{Result: "won", Attempts: 1}}, metrics.hedgeCounts())

	conn, err := listenTraffic(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	engine := forward.New(forward.Config{FailureDomain: "a", OverloadControl: true})
	c := catalog.New()
	c.Apply(time.Now(), catalog.ConfigurationRead{Configuration: catalog.Configuration{Version: 1, Revision: 1, Services: []catalog.Service{{Name: "s"}}}})
	c.Apply(time.Now(), catalog.UpstreamsListed{Revision: 2, Entries: []catalog.UpstreamChange{{Upstream: catalog.Upstream{
		ID: "i-1", Born: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "a", Service: "s", Capacity: 2, Revision: 2,
	}}}})
	snapshot, _ := c.Snapshot(time.Now())
	engine.SetSnapshot(snapshot)
	instance := &Instance{settings: &Settings{FailureDomain: "a"}, traffic: &trafficLoop{conn: conn, questions: make(chan question, 1)}}
	require.Nil(t, instance.overloadStatus(t.Context()), "without the setting")
	instance.settings.OverloadControl = true
	go func() { (<-instance.traffic.questions)(time.Now(), engine) }()
	require.Equal(t, &OverloadStatus{ReportsAgeMS: -1, Services: []ServiceStatus{{Service: "s", FailureDomain: "a", Slots: 2}}}, instance.overloadStatus(t.Context()))
	require.NotNil(t, instance.overloadStatus(t.Context()), "the last answer is repeated")
	instance.lastOverloadAt = time.Time{}
	began := time.Now()
	require.Nil(t, instance.overloadStatus(t.Context()))
	require.Less(t, time.Since(began), statusTimeoutBound)
}

// statusTimeoutBound is the time within which chivemast edge expects an answer.
const statusTimeoutBound = 2 * time.Second

// Guards against readers of /status that wait for each other while the traffic goroutine does
// not answer.
func TestStatusReadersWaitOnceForTrafficGoroutine(t *testing.T) {
	conn, err := listenTraffic(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	instance := &Instance{
		settings: &Settings{OverloadSettings: OverloadSettings{OverloadControl: true}},
		traffic:  &trafficLoop{conn: conn, questions: make(chan question, 1)},
	}
	started := time.Now()
	var readers sync.WaitGroup
	for range 6 {
		readers.Go(func() { instance.overloadStatus(t.Context()) })
	}
	readers.Wait()
	require.Less(t, time.Since(started), 3*statusQuestionTimeout)
}
