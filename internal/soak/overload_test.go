package soak

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/platform/standin"
)

// Guards against seeds of regressions.go and scripts/test.sh whose settings, and with
// them whose schedules, change, and against hedge shares out of range.
func TestOverloadSettingsFollowSeed(t *testing.T) {
	for seed := range uint64(firstOverloadSeed) {
		require.False(t, drawOverloadSettings(seed).enabled, seed)
	}
	enabled := 0
	for seed := uint64(firstOverloadSeed); seed < firstOverloadSeed+160; seed++ {
		settings := drawOverloadSettings(seed)
		require.Equal(t, settings, drawOverloadSettings(seed))
		if settings.enabled {
			enabled++
			require.GreaterOrEqual(t, settings.hedgeShare, 0.02)
			require.LessOrEqual(t, settings.hedgeShare, 0.2)
		}
	}
	require.Equal(t, 80, enabled)
}

// Guards against bounded upstreams that run more requests at once than they have slots,
// queue more than their bound, or keep slots taken by requests that have ended.
func TestWorkQueueBoundsRequests(t *testing.T) {
	var queue workQueue
	now := time.Unix(1, 0)
	for n := range maxRunning + maxQueued {
		wait, accepted := queue.add(now)
		require.True(t, accepted)
		require.Equal(t, processingTime*time.Duration(1+n/maxRunning), wait)
	}
	_, accepted := queue.add(now)
	require.False(t, accepted)
	queue.done()
	queue.slowdown = maxSlowdown
	now = now.Add(time.Second)
	wait, accepted := queue.add(now)
	require.True(t, accepted)
	require.Equal(t, maxSlowdown*processingTime, wait)
}

// Guards against requests that reach an upstream which has their flow only by a copy of
// the opening packet, and against violations for flows that have ended.
func TestRequestAtOtherUpstreamOfHedgedOpening(t *testing.T) {
	caller := netip.MustParseAddrPort("127.0.0.2:1025")
	request := standin.Packet{Source: caller, Data: []byte{0}}
	first := &upstream{flows: map[netip.AddrPort]uint32{caller: 1}}
	second := &upstream{flows: map[netip.AddrPort]uint32{caller: 2}}
	checker := newChecker()
	checker.recordFlow(caller, second, time.Now())
	checker.checkFlowPacket(second, request)
	require.Empty(t, checker.violations)
	checker.checkFlowPacket(first, request)
	require.Len(t, checker.violations, 1)
	checker.forgetFlow(caller)
	checker.checkFlowPacket(first, request)
	require.Len(t, checker.violations, 1)
}
