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

// Guards against studies that reach their targets whatever the policy does:
// each target is missed by a policy without the rule that it checks.
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
			require.Contains(t, figures.Missed, c.missed, figures.Line())
		})
	}
}

// Guards against a product that misses the target of amplification or of the
// goodput at overload.
func TestOverload(t *testing.T) {
	figures, err := RunStudy(findStudy(t, "requests_overload"), PolicyChivemast, 1)
	require.NoError(t, err)
	require.Empty(t, figures.Missed, figures.Line())
}

// staleCore is an instance that has older versions in force than before.
type staleCore struct{ version uint64 }

func (s *staleCore) Ready() bool      { return true }
func (s *staleCore) Revision() uint64 { return s.version }
func (s *staleCore) Status() *pb.StatusResponse {
	return &pb.StatusResponse{Objects: []*pb.ObjectVersion{{Key: "teams/a", Version: s.version}}}
}

// Guards against a configuration that goes back unnoticed: to an older version
// after a restart, and late adoption.
func TestConfigurationChecksFail(t *testing.T) {
	w, err := NewWorld(DefaultOptions(PolicyModulo, 1))
	require.NoError(t, err)
	w.instances = w.instances[:1]
	w.started = w.now
	log := &configLog{versions: map[string]map[string]uint64{}}
	log.noteVersions("instance-1", &staleCore{version: 5})
	log.noteVersions("instance-1", &staleCore{version: 4})
	log.adoptions = []history.Adoption{{Instance: "instance-1", Revision: 7, TimeUS: w.now.Add(4 * time.Second).UnixMicro()}}
	w.accepted = map[uint64]time.Time{7: w.now}
	w.now = w.now.Add(10 * time.Second)
	f := &Figures{}
	w.finishConfig(f, log, time.Second)
	require.ElementsMatch(t, []string{"in_force_p99", "late", "reverted"}, f.Missed)
}

// Guards against the loss of an update between racing operators being missed.
func TestRegisterCheckFails(t *testing.T) {
	lost := []history.RegisterOp{
		{Client: 1, Key: "k", Outcome: history.RegisterApplied, Version: 1, ChangeID: "a", CallUS: 1, ReturnUS: 2},
		{Client: 2, Key: "k", Outcome: history.RegisterApplied, Version: 1, ChangeID: "b", CallUS: 3, ReturnUS: 4},
	}
	require.Equal(t, []string{"k"}, history.CheckRegister(lost))
}
