package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flow"
)

// termCounts returns the number of slots that each live instance may act for
// now, by instance name.
func (sim *simulation) termCounts() map[string]int {
	count := map[string]int{}
	for _, inst := range sim.instances {
		for slot := range flow.LeaseSlotCount {
			if _, ok := inst.leases.CurrentTerm(slot, inst.clock()); ok && !inst.dead {
				count[inst.self.Name]++
			}
		}
	}
	return count
}

// termTotal returns the number of lease terms of all live instances.
func (sim *simulation) termTotal() int {
	total := 0
	for _, n := range sim.termCounts() {
		total += n
	}
	return total
}

// newConvergedSimulation returns a simulation of n instances in which every slot
// has a term.
func newConvergedSimulation(t *testing.T, n int) *simulation {
	sim := newSimulation(n, 1, brokenPolicy{})
	sim.advance(20 * time.Second)
	require.NoError(t, sim.violation)
	require.Equal(t, flow.LeaseSlotCount, sim.termTotal())
	return sim
}

// Guards against two first tables when slow answers make several instances write
// one, and against a first table with an uneven distribution of slots.
func TestBootstrapRace(t *testing.T) {
	sim := newSimulation(9, 1, brokenPolicy{})
	sim.maxDelay = 2 * time.Second
	sim.advance(20 * time.Second)
	sim.maxDelay = 0
	sim.advance(20 * time.Second)
	require.NoError(t, sim.violation)
	writers, domains := uint64(0), map[string]string{}
	for _, inst := range sim.instances {
		writers += inst.leases.Stats().Bootstraps
		domains[inst.self.Name] = inst.self.FailureDomain
	}
	require.Greater(t, writers, uint64(1), "fewer than two instances wrote a first table")
	successors := map[string]int{}
	for _, e := range sim.instances[0].table.GetSlots() {
		successors[e.GetSuccessor()]++
		require.NotEqual(t, domains[e.GetHolder()], domains[e.GetSuccessor()])
	}
	for _, inst := range sim.instances {
		require.InDelta(t, 7, sim.termCounts()[inst.self.Name], 1)
		require.InDelta(t, 7, successors[inst.self.Name], 2)
	}
}

// Guards against lease terms that are not clean after a planned shutdown, and against
// released slots that are still without a lease term after one second.
func TestReleaseIsClean(t *testing.T) {
	sim := newConvergedSimulation(t, 5)
	inst := sim.instances[2]
	held := sim.termCounts()[inst.self.Name]
	require.Positive(t, held)
	sim.applyStep(step{Kind: "release", A: 2, For: time.Second})
	require.Equal(t, flow.LeaseSlotCount, sim.termTotal())
	require.Zero(t, sim.termCounts()[inst.self.Name])
	clean := 0
	for slot := range flow.LeaseSlotCount {
		for _, o := range sim.instances {
			if term, ok := o.leases.CurrentTerm(slot, o.clock()); ok && term.Clean {
				clean++
			}
		}
	}
	require.Equal(t, held, clean)
}

// Guards against slots that have no lease term 9 s after the crash of their holder,
// and against a restarted instance that does not get its share of slots back.
func TestCrashAndRebalance(t *testing.T) {
	for _, n := range []int{9, 14} {
		sim := newConvergedSimulation(t, n)
		sim.applyStep(step{Kind: "kill", A: 4, For: 9 * time.Second})
		require.Equal(t, flow.LeaseSlotCount, sim.termTotal())
		sim.applyStep(step{Kind: "restart", A: 4, For: 90 * time.Second})
		require.NoError(t, sim.violation)
		for _, inst := range sim.instances {
			require.InDelta(t, flow.LeaseSlotCount/n, sim.termCounts()[inst.self.Name], 2, inst.self.Name)
		}
	}
}

// Guards against slots that stay without a holder after holder and successor
// crash and an operator declares both removed, and against a takeover before.
func TestRemovedInstances(t *testing.T) {
	sim := newConvergedSimulation(t, 5)
	e := sim.instances[0].table.GetSlots()[0]
	lost := []string{e.GetHolder(), e.GetSuccessor()}
	for _, inst := range sim.instances {
		inst.dead = slices.Contains(lost, inst.self.Name)
	}
	sim.advance(30 * time.Second)
	require.Less(t, sim.termTotal(), flow.LeaseSlotCount)
	for _, inst := range sim.instances {
		inst.leases.SetRemovedInstances(lost)
	}
	sim.advance(5 * time.Second)
	require.Equal(t, flow.LeaseSlotCount, sim.termTotal())
}

// Guards against lost lease terms of running instances, and against takeovers, while
// the platform is down and one instance is frozen.
func TestPlatformDown(t *testing.T) {
	sim := newConvergedSimulation(t, 9)
	lost := sim.termCounts()[sim.instances[3].self.Name]
	sim.platformDown = true
	sim.applyStep(step{Kind: "freeze", A: 3, For: 20 * time.Second})
	require.Zero(t, sim.termCounts()[sim.instances[3].self.Name])
	require.GreaterOrEqual(t, sim.termTotal(), flow.LeaseSlotCount-2*lost-4,
		"more is lost than the slots that the frozen instance holds or is successor of")
	sim.applyStep(step{Kind: "thaw", A: 3, For: 3 * time.Minute})
	require.Equal(t, flow.LeaseSlotCount, sim.termTotal(),
		"no write took effect, so the old holders must have lease terms again")
	require.NoError(t, sim.violation)
}
