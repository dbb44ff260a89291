package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flow"
)

// holders returns how many slots each live instance may act for now.
func (w *world) holders() map[string]int {
	count := map[string]int{}
	for _, x := range w.insts {
		for slot := range flow.LeaseSlots {
			if _, ok := x.leases.Tenure(slot, x.clock()); ok && !x.dead {
				count[x.self.Name]++
			}
		}
	}
	return count
}

func (w *world) held() int {
	total := 0
	for _, n := range w.holders() {
		total += n
	}
	return total
}

func settled(t *testing.T, n int) *world {
	w := newWorld(n, 1, policy{})
	w.advance(20 * time.Second)
	require.NoError(t, w.violation)
	require.Equal(t, flow.LeaseSlots, w.held())
	return w
}

// Guards against two first tables when several instances write at once, and
// against an uneven first table.
func TestBootstrapRace(t *testing.T) {
	w := newWorld(9, 1, policy{})
	w.maxDelay = 2 * time.Second
	w.advance(20 * time.Second)
	w.maxDelay = 0
	w.advance(20 * time.Second)
	require.NoError(t, w.violation)
	writers, domains := uint64(0), map[string]string{}
	for _, x := range w.insts {
		writers += x.leases.Stats().Bootstraps
		domains[x.self.Name] = x.self.FailureDomain
	}
	require.Greater(t, writers, uint64(1), "no race happened")
	successors := map[string]int{}
	for _, e := range w.insts[0].table.GetSlots() {
		successors[e.GetSuccessor()]++
		require.NotEqual(t, domains[e.GetHolder()], domains[e.GetSuccessor()])
	}
	for _, x := range w.insts {
		require.InDelta(t, 7, w.holders()[x.self.Name], 1)
		require.InDelta(t, 7, successors[x.self.Name], 2)
	}
}

// Guards against an unknown window after a planned shutdown, and against a
// pause of the slots that is longer than a few ticks.
func TestReleaseIsClean(t *testing.T) {
	w := settled(t, 5)
	x := w.insts[2]
	held := w.holders()[x.self.Name]
	require.Positive(t, held)
	w.apply(step{Kind: "release", A: 2, For: time.Second})
	require.Equal(t, flow.LeaseSlots, w.held())
	require.Zero(t, w.holders()[x.self.Name])
	clean := 0
	for slot := range flow.LeaseSlots {
		for _, o := range w.insts {
			if tenure, ok := o.leases.Tenure(slot, o.clock()); ok && tenure.Clean {
				clean++
			}
		}
	}
	require.Equal(t, held, clean)
}

// Guards against slots that stay without a holder for longer than the lease
// and a few writes after a crash, and against a returning instance that gets
// no slots.
func TestCrashAndRebalance(t *testing.T) {
	for _, n := range []int{9, 14} {
		w := settled(t, n)
		w.apply(step{Kind: "kill", A: 4, For: 9 * time.Second})
		require.Equal(t, flow.LeaseSlots, w.held())
		w.apply(step{Kind: "restart", A: 4, For: 90 * time.Second})
		require.NoError(t, w.violation)
		for _, x := range w.insts {
			require.InDelta(t, flow.LeaseSlots/n, w.holders()[x.self.Name], 2, x.self.Name)
		}
	}
}

// Guards against slots that nobody may write after their holder and successor
// were both lost and an operator said so, and against taking them before.
func TestForgottenInstances(t *testing.T) {
	w := settled(t, 5)
	e := w.insts[0].table.GetSlots()[0]
	lost := []string{e.GetHolder(), e.GetSuccessor()}
	for _, x := range w.insts {
		x.dead = slices.Contains(lost, x.self.Name)
	}
	w.advance(30 * time.Second)
	require.Less(t, w.held(), flow.LeaseSlots)
	for _, x := range w.insts {
		x.leases.SetForgotten(lost)
	}
	w.advance(5 * time.Second)
	require.Equal(t, flow.LeaseSlots, w.held())
}

// Guards against slots of live instances that stop working, and against
// takeovers, while the platform is down.
func TestPlatformDown(t *testing.T) {
	w := settled(t, 9)
	lost := w.holders()[w.insts[3].self.Name]
	w.platformDown = true
	w.apply(step{Kind: "freeze", A: 3, For: 20 * time.Second})
	require.Zero(t, w.holders()[w.insts[3].self.Name])
	require.GreaterOrEqual(t, w.held(), flow.LeaseSlots-2*lost-4, "slots of the frozen instance and those it succeeds")
	w.apply(step{Kind: "thaw", A: 3, For: 3 * time.Minute})
	require.Equal(t, flow.LeaseSlots, w.held(), "no write took effect, so the old holders go on")
	require.NoError(t, w.violation)
}
