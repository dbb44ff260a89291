package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// broken plays a pattern with a policy that breaks a promise.
func broken(s size, span time.Duration, pattern, policy func(w *world)) *world {
	w := newWorldWith(1, s, policy)
	w.load(span)
	pattern(w)
	w.run(span + timeLimit)
	return w
}

// Shows that the check of cold starts tells instances that share the limit of a
// cold upstream from ones that take all of it each.
func TestChecksRejectGreedyInstances(t *testing.T) {
	// More new flows for each upstream than a cold one sustains.
	crowded := size{70, 40, 1500, 0}
	w := broken(crowded, coldSpan, replaceByCold, func(w *world) { w.greedy, w.closing = true, 1 })
	require.NotEmpty(t, w.overloadedCold())
	w = broken(crowded, coldSpan, replaceByCold, func(w *world) { w.closing = 1 })
	require.Empty(t, w.overloadedCold(), "the policy of the product")
}

// Shows that the check of leaving upstreams tells instances that learn of them
// from ones that go on with what they knew.
func TestChecksRejectDeafInstances(t *testing.T) {
	w := broken(sizes["9 instances"], releaseSpan, release, func(w *world) { w.deaf = true })
	require.NotEmpty(t, w.usedAfterDraining())
}

// Shows that the check of established flows tells a cookie from a choice for
// every packet.
func TestChecksRejectAPolicyThatRehashes(t *testing.T) {
	w := broken(sizes["9 instances"], releaseSpan, release, func(w *world) { w.rehashing = true })
	require.NotZero(t, w.broken)
}
