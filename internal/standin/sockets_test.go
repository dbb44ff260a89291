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

// Guards against servers that lose traffic, stay after their context ended or
// do not show their faults by HTTP. The fabric delivers straight to the
// upstream here, as if it were the only instance.
func TestServersCarryTrafficOverSockets(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events := &history.Memory{}
	machine, err := upstream.New(upstream.Config{Name: "t/s/u1", Service: serviceA, Recorder: events, StartWarm: true},
		rand.New(rand.NewPCG(1, 1)), time.Now())
	require.NoError(t, err)
	up, err := upstream.Listen(loopback, machine)
	require.NoError(t, err)
	sprayer, err := fabric.NewSprayer(fabric.FromMap(map[string]netip.AddrPort{"i1": up.Address()}),
		fabric.Rates{Drop: 0.01, Duplicate: 0.05, Reorder: 0.05}, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	server, err := fabric.Listen(loopback, sprayer)
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return up.Serve(ctx) })
	group.Go(func() error { return server.Serve(ctx) })

	stats, err := caller.Run(ctx, caller.Config{Services: []string{serviceA}, Duration: time.Second,
		NonIdempotent: -1, Recorder: events, MaxPackets: 5000}, loopback, server.Address(), rand.New(rand.NewPCG(1, 3)))
	require.NoError(t, err)
	require.LessOrEqual(t, stats.PacketsSent, 5000)
	report := history.Run(history.Options{}, events.Events())
	require.True(t, report.OK(), "%v", report.Violations)
	require.Positive(t, report.Answered)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	post, err := client.Post("http://"+up.Address().String()+"/control", "application/json",
		strings.NewReader(`{"restart":true,"drain":true}`))
	require.NoError(t, err)
	require.NoError(t, post.Body.Close())
	require.Equal(t, http.StatusOK, post.StatusCode)
	resp, err := client.Get("http://" + up.Address().String() + "/health")
	require.NoError(t, err)
	var h upstream.Health
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&h))
	require.NoError(t, resp.Body.Close())
	require.Equal(t, upstream.Draining, h.State)
	require.Zero(t, h.Connections)
	cancel()
	require.NoError(t, group.Wait())
}
