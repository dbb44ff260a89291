package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// runSchedules runs count schedules with consecutive seeds from first on, four
// at a time.
func runSchedules(t *testing.T, policy string, first uint64, count int) *ScheduleTotals {
	t.Helper()
	schedules := make([]*ScheduleResult, count)
	var group errgroup.Group
	group.SetLimit(4)
	for n := range schedules {
		group.Go(func() (err error) {
			schedules[n], err = RunSchedule(policy, first+uint64(n))
			return err
		})
	}
	require.NoError(t, group.Wait())
	totals := &ScheduleTotals{Policy: policy}
	for _, s := range schedules {
		totals.Add(s)
	}
	return totals
}

// Guards against requests that run twice, refusals that falsely say "not run",
// and mixed, truncated or foreign answers when faults coincide.
func TestFaultSchedules(t *testing.T) {
	totals := runSchedules(t, PolicyChivemast, 1, 200)
	for _, s := range totals.FailedSchedules {
		t.Errorf("seed %d: %v; faults: %q", s.Seed, s.Violations(), s.Faults)
	}
	require.Positive(t, totals.NonIdempotentRuns)
	require.Positive(t, totals.NotRunRefusals)
	t.Log(totals.Line())
}

// Guards against schedules that pass whatever the instances do: a policy without
// protection against running requests twice has to fail.
func TestFaultSchedulesFailWithoutRules(t *testing.T) {
	totals := runSchedules(t, PolicyModulo, 1, 10)
	require.NotEmpty(t, totals.FailedSchedules, totals.Line())
}

// Guards against schedules that pass although new holders of lease slots apply no
// fence. The schedules of these seeds violate a check of requests without it.
func TestFaultSchedulesFailWithoutFence(t *testing.T) {
	for _, seed := range []uint64{188, 214, 223} {
		totals := runSchedules(t, PolicyNoFence, seed, 1)
		require.Len(t, totals.FailedSchedules, 1, totals.Line())
	}
}
