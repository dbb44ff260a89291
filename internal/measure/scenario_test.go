package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/standin/history"
)

// lowRateOptions returns DefaultOptions with a twentieth of the new flows per
// second and a quarter of the long flows, so that runs under the race detector
// are short enough.
func lowRateOptions(policy string, seed uint64) Options {
	options := DefaultOptions(policy, seed)
	options.Load.OpensPerSecond = 100
	options.Load.LongFlows = 100
	return options
}

func runLowRate(t *testing.T, s Scenario, policy string) *Result {
	t.Helper()
	options := lowRateOptions(policy, 1)
	if s.Prepare != nil {
		s.Prepare(&options)
		options.Load.OpensPerSecond = 100
	}
	s.Prepare = nil
	r, err := RunScenario(s, options)
	require.NoError(t, err)
	t.Log(r.Line())
	return r
}

// Guards against established flows that break at a planned change, packets to a
// failure domain that is taken out, and new flows to a draining upstream.
func TestPlannedChangesKeepPromises(t *testing.T) {
	for _, s := range Scenarios() {
		if !s.OnlyPlannedChanges || s.OnlyProduct {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r := runLowRate(t, s, PolicyChivemast)
			require.Greater(t, r.Report.Established, 4000, "too few established flows: the callers sent no load")
			require.Empty(t, r.Report.Violations)
			require.GreaterOrEqual(t, r.Report.Served, 0.999)
		})
	}
}

// Guards against flows that break when one instance is killed or paused, also
// during a drain or while the platform is down.
func TestInstanceFailuresBreakNoFlow(t *testing.T) {
	for _, s := range Scenarios() {
		switch s.Name {
		case "kill", "kill_during_drain", "freeze", "platform_down_kill_join", "platform_restored":
		default:
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r := runLowRate(t, s, PolicyChivemast)
			require.Zero(t, r.Report.Broken)
			require.Zero(t, r.Report.ViolationCounts[history.CheckWrongService])
			require.GreaterOrEqual(t, r.Report.Served, 0.99)
		})
	}
}

// Guards against scenarios that find no broken flow whatever the policy does:
// the simpler policies have to break flows when upstreams change.
func TestSimplerPoliciesBreakFlows(t *testing.T) {
	for _, s := range Scenarios() {
		if s.Name != "drain" && s.Name != "add" {
			continue
		}
		for _, policy := range []string{PolicyModulo, PolicyRendezvous} {
			t.Run(s.Name+"/"+policy, func(t *testing.T) {
				t.Parallel()
				require.Positive(t, runLowRate(t, s, policy).Report.Broken)
			})
		}
	}
}

// Guards against runs that differ although the seed is the same, which would
// make the other tests pass or fail at random.
func TestSameSeedGivesSameRun(t *testing.T) {
	opt := lowRateOptions(PolicyChivemast, 7)
	opt.Load.Duration = 10 * time.Second
	s := Scenario{Name: "kill", Script: func(w *World) { w.At(4*time.Second, func() { w.KillInstance(1) }) }}
	first, err := RunScenario(s, opt)
	require.NoError(t, err)
	second, err := RunScenario(s, opt)
	require.NoError(t, err)
	require.Equal(t, first.Line(), second.Line())
}

// Guards against a mistyped policy name that silently runs another policy.
func TestUnknownPolicyIsAnError(t *testing.T) {
	_, err := RunScenario(Scenarios()[0], DefaultOptions("none", 1))
	var target *PolicyError
	require.ErrorAs(t, err, &target)
}
