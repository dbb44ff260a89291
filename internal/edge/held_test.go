package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/forward"
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
