package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runFaulty simulates a load pattern with faulty instances, which policy sets up.
func runFaulty(s size, span time.Duration, pattern, policy func(sim *simulation)) *simulation {
	sim := newSimulationWith(1, s, policy)
	sim.load(span)
	pattern(sim)
	sim.run(span + requestTimeout)
	return sim
}

// Guards against a check of cold starts that passes when each instance uses the whole
// limit of a cold upstream instead of its share.
func TestChecksRejectInstancesThatIgnoreColdShares(t *testing.T) {
	// More new flows per upstream than a cold upstream sustains.
	overloadedSize := size{70, 40, 1500, 0, 0}
	sim := runFaulty(overloadedSize, coldSpan, replaceByCold, func(sim *simulation) { sim.ignoreShares, sim.closing = true, 1 })
	require.NotEmpty(t, sim.overloadedCold())
	sim = runFaulty(overloadedSize, coldSpan, replaceByCold, func(sim *simulation) { sim.closing = 1 })
	require.Empty(t, sim.overloadedCold(), "instances that share the limit")
}

// Guards against a check of draining upstreams that passes when instances receive no
// updates and go on using them.
func TestChecksRejectInstancesWithoutUpdates(t *testing.T) {
	sim := runFaulty(sizes["9 instances"], releaseSpan, release, func(sim *simulation) { sim.withoutUpdates = true })
	require.NotEmpty(t, sim.usedAfterDraining())
}

// Guards against a check of established flows that passes when instances choose the
// upstream anew for each packet instead of by the cookie.
func TestChecksRejectInstancesThatRehash(t *testing.T) {
	sim := runFaulty(sizes["9 instances"], releaseSpan, release, func(sim *simulation) { sim.rehashing = true })
	require.NotZero(t, sim.broken)
}
