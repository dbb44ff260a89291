package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resets of the open flows of upstreams that leave as announced: they close
// their port, then their entry is removed, and their flows end 60 ms or 1 s later.
func TestLeavingUpstreamsKeepTheirFlows(t *testing.T) {
	const begin, span = 3 * time.Second, 14 * time.Second
	for _, left := range []time.Duration{60 * time.Millisecond, time.Second} {
		for name, s := range sizes {
			t.Run(name+" "+left.String(), func(t *testing.T) {
				t.Parallel()
				s.callers = 12
				sim := newSimulation(1, s)
				sim.load(span)
				for n := range len(sim.upstreams) / 3 {
					u := sim.upstreams[n]
					drain := begin + 6*time.Second*time.Duration(n)/time.Duration(len(sim.upstreams))
					sim.after(drain, func() {
						sim.addUpstream(u.FailureDomain, 0)
						u.Draining, u.closing = true, true
						sim.write(u, false)
						sim.publish()
					})
					sim.after(drain+3*time.Second, func() { u.closed = true })
					sim.after(drain+3060*time.Millisecond, func() { sim.write(u, true); sim.publish() })
					sim.after(drain+3060*time.Millisecond+left, func() { u.closed, u.silent = false, true })
				}
				sim.run(span + requestTimeout)
				t.Logf("%d resets, %d packets to upstreams that had left", sim.resets, len(sim.lost))
				require.NotZero(t, sim.resets)
				require.Zero(t, sim.wrong)
				requireServed(t, sim, span)
				requireInGoal(t, sim, begin, span)
			})
		}
	}
}
