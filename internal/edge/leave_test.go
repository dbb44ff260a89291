package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: instances restart one after the other. Guards against an instance
// that stays away for longer than the routers need, so that two of a failure
// domain are away at once and the routers fall back to one that has exited; and
// against an exit while the routers still send.
func TestLeavingInstanceExitsWhenTheRoutersHaveStopped(t *testing.T) {
	const longest = 5 * time.Second
	for name, c := range map[string]struct {
		sinceBegin, sincePacket time.Duration
		refused                 int64
		exits                   bool
	}{
		"one probe refused":            {sinceBegin: 600 * time.Millisecond, sincePacket: time.Second, refused: 1},
		"packets still arrive":         {sinceBegin: 2 * time.Second, sincePacket: 100 * time.Millisecond, refused: 4},
		"out of the rotation":          {sinceBegin: 1100 * time.Millisecond, sincePacket: 310 * time.Millisecond, refused: 2, exits: true},
		"packets until the last":       {sinceBegin: longest, sincePacket: 0, refused: 9, exits: true},
		"nobody probes, nobody sends":  {sinceBegin: 4 * time.Second, sincePacket: 4 * time.Second, refused: 0},
		"never a packet, two refusals": {sinceBegin: 1100 * time.Millisecond, sincePacket: time.Hour, refused: 2, exits: true},
	} {
		t.Run(name, func(t *testing.T) {
			i := &Instance{settings: &Settings{ShutdownMS: longest.Milliseconds()}, traffic: &traffic{}}
			now := time.Unix(1000, 0)
			i.refused.Store(c.refused)
			i.traffic.arrived.Store(now.Add(-c.sincePacket).UnixNano())
			require.Equal(t, c.exits, i.mayExit(now, now.Add(-c.sinceBegin)))
		})
	}
}
