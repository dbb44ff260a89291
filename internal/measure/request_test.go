package measure

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

func findStudy(t *testing.T, name string) Study {
	t.Helper()
	n := slices.IndexFunc(Studies(), func(s Study) bool { return s.Name == name })
	require.GreaterOrEqual(t, n, 0, name)
	return Studies()[n]
}

// Guards against targets that are reached whatever the policy does. Each of them
// has to be missed by a policy that lacks the rule that the target checks.
func TestStudiesFailOnBrokenPolicies(t *testing.T) {
	for _, c := range []struct{ study, policy, missed string }{
		{"requests_overload", PolicyNoRetryBudget, "amplification"},
		{"cold_one", PolicyRendezvous, "overload"},
		{"requests_drain", PolicyRendezvous, "cut_off"},
		{"requests_kill", PolicyRendezvous, string(history.CheckDoubleRun)},
	} {
		t.Run(c.study, func(t *testing.T) {
			t.Parallel()
			figures, err := RunStudy(findStudy(t, c.study), c.policy, 1)
			require.NoError(t, err)
			require.Contains(t, figures.MissedTargets, c.missed, figures.Line())
		})
	}
}

// Guards against too many retries, or too few answered requests, when callers
// offer twice what the upstreams sustain.
func TestOverload(t *testing.T) {
	figures, err := RunStudy(findStudy(t, "requests_overload"), PolicyChivemast, 1)
	require.NoError(t, err)
	require.Empty(t, figures.MissedTargets, figures.Line())
}

// revertingReporter reports a fixed version as in force. Two of them, the second
// with a lower version, simulate an instance that goes back.
type revertingReporter struct{ version uint64 }

func (s *revertingReporter) Ready() bool      { return true }
func (s *revertingReporter) Revision() uint64 { return s.version }
func (s *revertingReporter) Status() *pb.StatusResponse {
	return &pb.StatusResponse{Objects: []*pb.ObjectVersion{{Key: "teams/a", Version: s.version}}}
}

// Guards against checks that overlook an instance that goes back to an older
// version of an object, or that has a change in force only after the limit.
func TestConfigurationChecksFail(t *testing.T) {
	w, err := NewWorld(DefaultOptions(PolicyModulo, 1))
	require.NoError(t, err)
	w.instances = w.instances[:1]
	w.loadStart = w.virtualNow
	seen := &configHistory{versions: map[string]map[string]uint64{}}
	seen.recordVersions("instance-1", &revertingReporter{version: 5})
	seen.recordVersions("instance-1", &revertingReporter{version: 4})
	seen.adoptions = []history.Adoption{{Instance: "instance-1", Revision: 7, TimeUS: w.virtualNow.Add(4 * time.Second).UnixMicro()}}
	w.acceptedAt = map[uint64]time.Time{7: w.virtualNow}
	w.virtualNow = w.virtualNow.Add(10 * time.Second)
	f := &StudyResult{}
	w.recordConfigFigures(f, seen, time.Second)
	require.ElementsMatch(t, []string{"in_force_p99", "late", "reverted"}, f.MissedTargets)
}

// Guards against a register check that overlooks a lost update: two operators
// both get their write of the same version confirmed.
func TestRegisterCheckFails(t *testing.T) {
	lost := []history.RegisterOp{
		{Client: 1, Key: "k", Outcome: history.RegisterApplied, Version: 1, ChangeID: "a", CallUS: 1, ReturnUS: 2},
		{Client: 2, Key: "k", Outcome: history.RegisterApplied, Version: 1, ChangeID: "b", CallUS: 3, ReturnUS: 4},
	}
	require.Equal(t, []string{"k"}, history.CheckRegister(lost))
}
