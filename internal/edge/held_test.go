package edge

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
)

// Guards against an opening packet that is sent on after the caller's next copy, which may have
// opened the flow at another upstream through another instance.
func TestHeldOpeningPacketEndsWithTheNextCopy(t *testing.T) {
	metrics, err := NewMetrics()
	require.NoError(t, err)
	loop := &trafficLoop{
		codec: prefixCodec{}, prefix: 1, metrics: metrics, log: newFlowLog(&recordedLog{}),
		engine: forward.New(forward.Config{FailureDomain: "a", MaxFlows: 10}),
	}
	arrived := time.Now()
	loop.handlePacket(arrived, []byte{0, 1}, arrived)
	loop.retryHeldPackets(arrived.Add(199 * time.Millisecond))
	require.Len(t, loop.held, 1)
	loop.retryHeldPackets(arrived.Add(200 * time.Millisecond))
	require.Empty(t, loop.held)
}

// Guards against opening packets that waited in the socket while the process was paused, and
// whose flows were opened through another instance meanwhile.
func TestOpeningPacketsReadAfterAPauseAreDropped(t *testing.T) {
	metrics, err := NewMetrics()
	require.NoError(t, err)
	conn, err := listenTraffic(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	address, paused := conn.LocalAddr().(*net.UDPAddr).AddrPort(), make(chan bool)
	loop := &trafficLoop{
		conn: conn, codec: prefixCodec{}, snapshot: &atomic.Pointer[catalog.Snapshot]{}, log: newFlowLog(&recordedLog{}), metrics: metrics,
		engine: forward.New(forward.Config{FailureDomain: "a", MaxFlows: 10}), prober: newProber(fixedIdentifier(""), func() {}),
		peerRank: func(time.Time) (rank, count int) {
			close(paused)
			time.Sleep(3 * readTimeout)
			return 0, 1
		},
		sendLoad: func(load.Reports, inflight.Report) {},
	}
	done := make(chan error)
	go func() { done <- loop.run(t.Context()) }()
	<-paused
	sender, err := listenTraffic(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	_, err = sender.WriteToUDPAddrPort([]byte{1}, address)
	require.NoError(t, err)
	time.Sleep(3*readTimeout + firstCopyAfter/2)
	require.NoError(t, sender.Close())
	require.NoError(t, conn.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
	require.Empty(t, loop.held)
	require.EqualValues(t, 1, metrics.drops.Get(dropSuperseded))
}
