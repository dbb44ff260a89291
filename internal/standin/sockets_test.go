package standin_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/standin/caller"
	"github.com/chivemast/chivemast/internal/standin/fabric"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Guards against servers that lose traffic, leave goroutines behind after their
// context ends or ignore faults set over HTTP. The fabric sends directly to the
// upstream, without a load balancer in between.
func TestServersForwardTrafficOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := &history.Memory{}
	machine, err := upstream.New(upstream.Config{Name: "t/s/u1", Service: serviceA, Recorder: events, StartWarm: true},
		rand.New(rand.NewPCG(1, 1)), time.Now())
	require.NoError(t, err)
	upstreamServer, err := upstream.Listen(loopback, machine)
	require.NoError(t, err)
	sprayer, err := fabric.NewSprayer(fabric.InstancesFromMap(map[string]netip.AddrPort{"i1": upstreamServer.Address()}),
		fabric.Rates{Drop: 0.01, Duplicate: 0.05, Reorder: 0.05}, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	fabricServer, err := fabric.Listen(loopback, sprayer)
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return upstreamServer.Serve(ctx) })
	group.Go(func() error { return fabricServer.Serve(ctx) })

	stats, err := caller.Run(ctx, caller.Config{Services: []string{serviceA}, Duration: time.Second,
		NonIdempotentShare: -1, Recorder: events, MaxPackets: 5000}, loopback, fabricServer.Address(),
		rand.New(rand.NewPCG(1, 3)))
	require.NoError(t, err)
	require.LessOrEqual(t, stats.PacketsSent, 5000)
	report := history.Run(history.Options{}, events.Events())
	require.True(t, report.OK(), "%v", report.Violations)
	require.Positive(t, report.Answered)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	controlResponse, err := client.Post("http://"+upstreamServer.Address().String()+"/control", "application/json",
		strings.NewReader(`{"restart":true,"drain":true}`))
	require.NoError(t, err)
	require.NoError(t, controlResponse.Body.Close())
	require.Equal(t, http.StatusOK, controlResponse.StatusCode)
	healthResponse, err := client.Get("http://" + upstreamServer.Address().String() + "/health")
	require.NoError(t, err)
	var health upstream.Health
	require.NoError(t, json.NewDecoder(healthResponse.Body).Decode(&health))
	require.NoError(t, healthResponse.Body.Close())
	require.Equal(t, upstream.Draining, health.State)
	require.Zero(t, health.Connections)
	cancel()
	require.NoError(t, group.Wait())
}
