package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runFaulty simulates a load pattern with faulty instances, which policy sets up.
func runFaulty(s size, span time.Duration, pattern, policy func(w *world)) *world {
	w := newWorldWith(1, s, policy)
	w.load(span)
	pattern(w)
	w.run(span + requestTimeout)
	return w
}

// Guards against a check of cold starts that passes when each instance uses the whole
// limit of a cold upstream instead of its share.
func TestChecksRejectInstancesThatIgnoreColdShares(t *testing.T) {
	// More new flows per upstream than a cold upstream sustains.
	overloadedSize := size{70, 40, 1500, 0}
	w := runFaulty(overloadedSize, coldSpan, replaceByCold, func(w *world) { w.ignoreShares, w.closing = true, 1 })
	require.NotEmpty(t, w.overloadedCold())
	w = runFaulty(overloadedSize, coldSpan, replaceByCold, func(w *world) { w.closing = 1 })
	require.Empty(t, w.overloadedCold(), "instances that share the limit")
}

// Guards against a check of draining upstreams that passes when instances receive no
// updates and go on using them.
func TestChecksRejectInstancesWithoutUpdates(t *testing.T) {
	w := runFaulty(sizes["9 instances"], releaseSpan, release, func(w *world) { w.withoutUpdates = true })
	require.NotEmpty(t, w.usedAfterDraining())
}

// Guards against a check of established flows that passes when instances choose the
// upstream anew for each packet instead of by the cookie.
func TestChecksRejectInstancesThatRehash(t *testing.T) {
	w := runFaulty(sizes["9 instances"], releaseSpan, release, func(w *world) { w.rehashing = true })
	require.NotZero(t, w.broken)
}
