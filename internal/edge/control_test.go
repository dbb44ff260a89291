package edge

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/internal/relay"
)

// Guards against one snapshot per changed entry when a failure domain returns: at
// 1,000 upstreams this keeps an instance with 0.19 of a core busy for a second and
// delays its probes. Guards also against a last change that is never published.
func TestSnapshotsAreRateLimited(t *testing.T) {
	metrics, err := NewMetrics()
	require.NoError(t, err)
	conn, err := listenTraffic(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	peers, err := relay.Listen(relay.Config{Self: relay.Member{Name: "edge-1", FailureDomain: "a", Address: netip.MustParseAddrPort("127.0.0.1:0")}})
	require.NoError(t, err)
	defer func() { require.NoError(t, peers.Close()) }()
	instance := &Instance{
		settings: &Settings{}, metrics: metrics, traffic: &trafficLoop{conn: conn}, relay: peers,
		log: eventlog.New("edge-1", logrus.ErrorLevel), events: make(chan catalogsync.Event, eventQueue),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { instance.runControl(ctx, nil, nil); close(done) }()

	send := func(event catalog.Event) { instance.events <- catalogsync.Event{Event: event} }
	send(catalog.UpstreamsListed{Revision: 1})
	require.Eventually(t, func() bool { return instance.snapshot.Load() != nil }, 5*time.Second, time.Millisecond, "established flows need only the upstreams")
	require.False(t, instance.ready.Load())
	_, _, known := instance.publishedState(catalog.KindConfiguration)
	require.False(t, known, "unknown configuration must not be passed to peers")
	send(catalog.EvacuationsListed{Revision: 1})
	send(catalog.ConfigurationRead{Configuration: catalog.Configuration{Version: 1, Revision: 1, Services: []catalog.Service{{Name: "s"}}}})
	start := time.Now()
	require.Eventually(t, instance.ready.Load, publishInterval, time.Millisecond, "the first complete snapshot is published without delay")
	const changes = 300
	for n := 1; n <= changes; n++ {
		revision := uint64(n + 1)
		send(catalog.UpstreamsChanged{Revision: revision, Changes: []catalog.UpstreamChange{{Upstream: catalog.Upstream{
			ID: fmt.Sprintf("i-%x", n), Born: 1, Revision: revision, FailureDomain: "a", Service: "s", Capacity: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80),
		}}}})
		time.Sleep(time.Millisecond)
	}
	require.Eventually(t, func() bool { return instance.snapshot.Load().UpstreamCount() == changes }, 5*time.Second, time.Millisecond)
	maxSnapshots := int64(time.Since(start)/publishInterval) + 4
	require.LessOrEqual(t, metrics.snapshots.Load(), maxSnapshots)
	cancel()
	<-done
}

// Guards against one log line per upstream when an instance starts with 3,000 of
// them, and against changes that no log line counts.
func TestManyChangesAreSummarized(t *testing.T) {
	metrics, err := NewMetrics()
	require.NoError(t, err)
	log := eventlog.New("edge-1", logrus.InfoLevel)
	instance := &Instance{metrics: metrics, log: log}
	changes := make([]catalog.Change, 3000)
	for n := range changes {
		changes[n] = catalog.Change{Event: "upstream_added", Revision: 7, Subject: fmt.Sprintf("i-%x", n)}
	}
	instance.logChanges(changes)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var lines strings.Builder
	require.NoError(t, log.Run(ctx, &lines))
	require.Equal(t, maxChangeLines, strings.Count(lines.String(), "event=upstream_added"))
	require.Contains(t, lines.String(), "count=2936")
	require.Contains(t, lines.String(), "change=upstream_added")
}
