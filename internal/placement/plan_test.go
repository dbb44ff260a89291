package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

func targets(weights ...int) []Target {
	var out []Target
	for i, w := range weights {
		out = append(out, Target{Upstream: fmt.Sprintf("u%d", i), Weight: w, State: TargetServing})
	}
	return out
}

func bucketCounts(t *pb.ServiceTable) map[string]int {
	out := make(map[string]int)
	for _, o := range t.Owner {
		if o != 0 {
			out[t.Upstreams[o-1]]++
		}
	}
	return out
}

// endTransitions returns the table after every transition has ended.
func endTransitions(old *pb.ServiceTable, desired []Target) *pb.ServiceTable {
	finished := make(map[uint32]uint32)
	for b, p := range old.Previous {
		if p != 0 {
			finished[uint32(b)] = old.MovedAt[b]
		}
	}
	next, _ := Plan(old, desired, PlanOptions{Service: "t/s", FinishedTransitions: finished, MaxMoves: 1})
	return next
}

func changedOwners(a, b *pb.ServiceTable) (n int) {
	for i := range a.Owner {
		if a.Owner[i] != b.Owner[i] {
			n++
		}
	}
	return n
}

// Guards against quotas that are wrong by a bucket or more, and against a plan that
// changes a table although the targets are unchanged.
func TestPlanQuotas(t *testing.T) {
	for _, tc := range []struct {
		weights []int
		want    []int
	}{
		{[]int{100}, []int{1024}},
		{[]int{100, 100, 100}, []int{342, 341, 341}},
		{[]int{300, 100}, []int{768, 256}},
		{[]int{1, 1000, 0}, []int{1, 1023, 0}},
	} {
		got, changed := Plan(nil, targets(tc.weights...), PlanOptions{Service: "t/s"})
		require.True(t, changed)
		for i, want := range tc.want {
			require.Equal(t, want, bucketCounts(got)[fmt.Sprintf("u%d", i)], "%v", tc.weights)
		}
		_, err := Compile(got, 1)
		require.NoError(t, err)
		again, changed := Plan(got, targets(tc.weights...), PlanOptions{Service: "t/s"})
		require.False(t, changed)
		require.Same(t, got, again)
	}
}

// Guards against moves of buckets whose owner stays, and against a wrong default
// upstream for the flows of an upstream that leaves.
func TestPlanMovesOnlyBucketsOfLeavingUpstreams(t *testing.T) {
	old, _ := Plan(nil, targets(100, 100, 100, 100), PlanOptions{Service: "t/s"})
	for _, state := range []TargetState{TargetDraining, TargetDead, TargetTakenOut, 0} {
		desired := targets(100, 100, 100, 100)
		desired[1].State = state
		if state == 0 { // removed
			desired = append(desired[:1], desired[2:]...)
		}
		next, changed := Plan(old, desired, PlanOptions{Service: "t/s"})
		require.True(t, changed)
		require.Equal(t, 256, changedOwners(old, next))
		require.Equal(t, map[string]int{"u0": 342, "u2": 341, "u3": 341}, bucketCounts(next))
		for b := range next.Owner {
			if old.Owner[b] != next.Owner[b] {
				require.Equal(t, old.Owner[b], next.Previous[b])
				require.Equal(t, next.Change, next.MovedAt[b])
			}
		}
	}
}

// Guards against a new upstream that gets its whole quota in one change, and
// against moves of buckets that are still in transition.
func TestPlanMovesGradually(t *testing.T) {
	old, _ := Plan(nil, targets(100, 100, 100), PlanOptions{Service: "t/s"})
	desired := targets(100, 100, 100, 100)
	for want := 32; want <= 256; want += 32 {
		next, changed := Plan(old, desired, PlanOptions{Service: "t/s"})
		require.True(t, changed)
		require.Equal(t, 32, changedOwners(old, next))
		require.Equal(t, want, bucketCounts(next)["u3"])
		for b, p := range old.Previous {
			if p != 0 {
				require.Equal(t, old.Owner[b], next.Owner[b])
			}
		}
		old = next
	}
	_, changed := Plan(old, desired, PlanOptions{Service: "t/s"})
	require.False(t, changed)

	// A drain at the same time does not fill the new upstream either.
	desired = targets(100, 100, 100)
	old, _ = Plan(nil, desired[:2], PlanOptions{Service: "t/s"})
	desired[0].State = TargetDraining
	next, _ := Plan(old, desired, PlanOptions{Service: "t/s"})
	require.Equal(t, map[string]int{"u1": 1024 - 32, "u2": 32}, bucketCounts(next))
}

// Guards against a wrong previous upstream of a bucket in transition whose owner
// leaves too, as happens when two upstreams drain one after the other.
func TestPlanOwnerLeavesInTransition(t *testing.T) {
	old, _ := Plan(nil, targets(100, 100, 100, 100), PlanOptions{Service: "t/s"})
	first := targets(100, 100, 100, 100)
	first[0].State = TargetDraining
	draining, _ := Plan(old, first, PlanOptions{Service: "t/s"})
	for _, tc := range []struct {
		name         string
		older, owner TargetState
		previous     string
	}{
		{"older still serves its flows", TargetDraining, TargetDraining, "u0"},
		{"owner taken out", TargetDraining, TargetTakenOut, "u0"},
		{"older taken out", TargetTakenOut, TargetDraining, "u1"},
		{"older dead", TargetDead, TargetDraining, "u0"},
		{"both dead", TargetDead, TargetDead, "u0"},
		{"older returns", TargetServing, TargetDraining, "u0"},
	} {
		desired := targets(100, 100, 100, 100)
		desired[0].State, desired[1].State = tc.older, tc.owner
		next, _ := Plan(draining, desired, PlanOptions{Service: "t/s"})
		movedAgain := 0
		for b := range next.Owner {
			if old.Owner[b] == 1 && draining.Owner[b] == 2 {
				movedAgain++
				require.NotEqual(t, uint32(2), next.Owner[b])
				require.Equal(t, tc.previous, next.Upstreams[next.Previous[b]-1], tc.name)
			}
		}
		require.Positive(t, movedAgain)
	}
}

// Guards against the end of a transition by a report for an earlier move of
// the bucket.
func TestPlanIgnoresStaleFinishedTransitions(t *testing.T) {
	old, _ := Plan(nil, targets(100, 100), PlanOptions{Service: "t/s"})
	desired := targets(100, 100)
	desired[0].State = TargetDraining
	next, _ := Plan(old, desired, PlanOptions{Service: "t/s"})
	_, changed := Plan(next, desired, PlanOptions{
		Service: "t/s", FinishedTransitions: map[uint32]uint32{0: old.Change, 1: old.Change, 5000: 1},
	})
	require.False(t, changed)
	done := endTransitions(next, desired)
	require.Equal(t, make([]uint32, flow.BucketCount), done.Previous)
	// If no upstream serves, flows keep their previous upstream and OPENs have none.
	desired[1].State = TargetDraining
	none, _ := Plan(done, desired, PlanOptions{Service: "t/s"})
	require.Empty(t, bucketCounts(none))
	require.Equal(t, done.Owner, none.Previous)
}
