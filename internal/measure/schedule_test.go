package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// runSchedules runs schedules with the seeds from first, four at a time.
func runSchedules(t *testing.T, policy string, first uint64, count int) *ScheduleTotals {
	t.Helper()
	schedules := make([]*Schedule, count)
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

// Guards against requests that run twice, false "not run" claims and answers
// that are mixed or truncated when faults coincide.
func TestFaultSchedules(t *testing.T) {
	totals := runSchedules(t, PolicyChivemast, 1, 200)
	for _, s := range totals.Bad {
		t.Errorf("seed %d: %v; faults: %q", s.Seed, s.Violations(), s.Faults)
	}
	require.Positive(t, totals.Runs)
	require.Positive(t, totals.NotRunClaims)
	t.Log(totals.Line())
}

// Guards against schedules that would pass whatever the instances do.
func TestFaultSchedulesFailWithoutRules(t *testing.T) {
	totals := runSchedules(t, PolicyModulo, 1, 10)
	require.NotEmpty(t, totals.Bad, totals.Line())
}

// Guards against schedules in which the fence of a new lease holder makes no
// difference. The seeds are ones in which it does.
func TestFaultSchedulesFailWithoutFence(t *testing.T) {
	for _, seed := range []uint64{188, 214, 223} {
		totals := runSchedules(t, PolicyNoFence, seed, 1)
		require.Len(t, totals.Bad, 1, totals.Line())
	}
}
