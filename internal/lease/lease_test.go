package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flow"
)

// tenureCounts returns the number of slots that each live instance may act for
// now, by instance name.
func (sim *simulation) tenureCounts() map[string]int {
	count := map[string]int{}
	for _, inst := range sim.instances {
		for slot := range flow.LeaseSlots {
			if _, ok := inst.leases.Tenure(slot, inst.clock()); ok && !inst.dead {
				count[inst.self.Name]++
			}
		}
	}
	return count
}

// tenureTotal returns the number of tenures of all live instances.
func (sim *simulation) tenureTotal() int {
	total := 0
	for _, n := range sim.tenureCounts() {
		total += n
	}
	return total
}

// newConvergedSimulation returns a simulation of n instances in which every slot
// has a tenure.
func newConvergedSimulation(t *testing.T, n int) *simulation {
	sim := newSimulation(n, 1, brokenPolicy{})
	sim.advance(20 * time.Second)
	require.NoError(t, sim.violation)
	require.Equal(t, flow.LeaseSlots, sim.tenureTotal())
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
		require.InDelta(t, 7, sim.tenureCounts()[inst.self.Name], 1)
		require.InDelta(t, 7, successors[inst.self.Name], 2)
	}
}

// Guards against tenures that are not clean after a planned shutdown, and against
// released slots that are still without a tenure after one second.
func TestReleaseIsClean(t *testing.T) {
	sim := newConvergedSimulation(t, 5)
	inst := sim.instances[2]
	held := sim.tenureCounts()[inst.self.Name]
	require.Positive(t, held)
	sim.applyStep(step{Kind: "release", A: 2, For: time.Second})
	require.Equal(t, flow.LeaseSlots, sim.tenureTotal())
	require.Zero(t, sim.tenureCounts()[inst.self.Name])
	clean := 0
	for slot := range flow.LeaseSlots {
		for _, o := range sim.instances {
			if tenure, ok := o.leases.Tenure(slot, o.clock()); ok && tenure.Clean {
				clean++
			}
		}
	}
	require.Equal(t, held, clean)
}

// Guards against slots that have no tenure 9 s after the crash of their holder,
// and against a restarted instance that does not get its share of slots back.
func TestCrashAndRebalance(t *testing.T) {
	for _, n := range []int{9, 14} {
		sim := newConvergedSimulation(t, n)
		sim.applyStep(step{Kind: "kill", A: 4, For: 9 * time.Second})
		require.Equal(t, flow.LeaseSlots, sim.tenureTotal())
		sim.applyStep(step{Kind: "restart", A: 4, For: 90 * time.Second})
		require.NoError(t, sim.violation)
		for _, inst := range sim.instances {
			require.InDelta(t, flow.LeaseSlots/n, sim.tenureCounts()[inst.self.Name], 2, inst.self.Name)
		}
	}
}

// Guards against slots that stay without a holder after holder and successor
// crash and an operator declares both removed, and against a takeover before.
func TestForgottenInstances(t *testing.T) {
	sim := newConvergedSimulation(t, 5)
	e := sim.instances[0].table.GetSlots()[0]
	lost := []string{e.GetHolder(), e.GetSuccessor()}
	for _, inst := range sim.instances {
		inst.dead = slices.Contains(lost, inst.self.Name)
	}
	sim.advance(30 * time.Second)
	require.Less(t, sim.tenureTotal(), flow.LeaseSlots)
	for _, inst := range sim.instances {
		inst.leases.SetForgotten(lost)
	}
	sim.advance(5 * time.Second)
	require.Equal(t, flow.LeaseSlots, sim.tenureTotal())
}

// Guards against lost tenures of running instances, and against takeovers, while
// the platform is down and one instance is frozen.
func TestPlatformDown(t *testing.T) {
	sim := newConvergedSimulation(t, 9)
	lost := sim.tenureCounts()[sim.instances[3].self.Name]
	sim.platformDown = true
	sim.applyStep(step{Kind: "freeze", A: 3, For: 20 * time.Second})
	require.Zero(t, sim.tenureCounts()[sim.instances[3].self.Name])
	require.GreaterOrEqual(t, sim.tenureTotal(), flow.LeaseSlots-2*lost-4,
		"more is lost than the slots that the frozen instance holds or is successor of")
	sim.applyStep(step{Kind: "thaw", A: 3, For: 3 * time.Minute})
	require.Equal(t, flow.LeaseSlots, sim.tenureTotal(), "no write took effect, so the old holders must have tenures again")
	require.NoError(t, sim.violation)
}
