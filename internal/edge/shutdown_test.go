package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an exit while the routers still send, and against a shutdown that
// takes longer than the routers need: in a rolling restart two instances of a failure
// domain are then down at once, and the routers fall back to one that has exited.
func TestInstanceExitsOnceRoutersHaveStopped(t *testing.T) {
	const longest = 5 * time.Second
	for name, c := range map[string]struct {
		sinceBegin, sincePacket time.Duration
		refused                 int64
		exits                   bool
	}{
		"one probe refused":                      {sinceBegin: 600 * time.Millisecond, sincePacket: time.Second, refused: 1},
		"packets still arrive":                   {sinceBegin: 2 * time.Second, sincePacket: 100 * time.Millisecond, refused: 4},
		"out of the rotation":                    {sinceBegin: 1100 * time.Millisecond, sincePacket: 310 * time.Millisecond, refused: 2, exits: true},
		"packets until the shutdown timeout":     {sinceBegin: longest, sincePacket: 0, refused: 9, exits: true},
		"no probes and no packets":               {sinceBegin: 4 * time.Second, sincePacket: 4 * time.Second, refused: 0},
		"no packet since the start, two refused": {sinceBegin: 1100 * time.Millisecond, sincePacket: time.Hour, refused: 2, exits: true},
	} {
		t.Run(name, func(t *testing.T) {
			instance := &Instance{settings: &Settings{ShutdownMS: longest.Milliseconds()}, traffic: &trafficLoop{}}
			now := time.Unix(1000, 0)
			instance.refusedProbes.Store(c.refused)
			instance.traffic.lastArrival.Store(now.Add(-c.sincePacket).UnixNano())
			require.Equal(t, c.exits, instance.mayExit(now, now.Add(-c.sinceBegin)))
		})
	}
}
