package configsync

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Fixes the seed and the size of the random tests; flags of the command line
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type fault struct {
	Kind, A, B, Steps int
}

var faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind: rapid.IntRange(0, 11).Draw(t, "kind"), A: rapid.IntRange(0, 5).Draw(t, "a"),
		B: rapid.IntRange(-1, 5).Draw(t, "b"), Steps: rapid.SampledFrom([]int{1, 3, 10, 40}).Draw(t, "steps"),
	}
}), 10, 60)

// runFaults carries out writes and faults, heals and checks convergence.
func runFaults(seed uint64, list []fault, adoptAny bool) error {
	w := newNet(6, seed)
	w.adoptAny = adoptAny
	for _, f := range list {
		switch f.Kind {
		case 0, 1, 2:
			w.put(fmt.Sprintf("teams/t%d", f.A), false)
		case 3:
			w.put(fmt.Sprintf("teams/t%d", f.A), true)
		case 4, 5:
			w.cut[[2]int{f.A, f.B}] = true
		case 6:
			clear(w.cut)
		case 7:
			w.down = !w.down
		case 8:
			w.loss = 0.4 - w.loss
		case 9:
			w.delay = 2503*time.Millisecond - w.delay
		case 10:
			w.nodes[f.A].start()
		}
		w.run(time.Duration(f.Steps) * 100 * time.Millisecond)
	}
	clear(w.cut)
	w.down, w.loss, w.delay = false, 0, 3*time.Millisecond
	w.run(10 * time.Second)
	return w.converged()
}

// Guards against reverted versions, gaps below the revision, and instances
// that stay behind after faults.
func TestFaultsNeverRevertObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaults(rapid.Uint64().Draw(t, "seed"), faults.Draw(t, "faults"), false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that finds nothing: adopting any pushed version has
// to lead to a violation.
func TestAdoptingAnyPushIsFound(t *testing.T) {
	for seed := range 100 {
		if err := runFaults(uint64(seed), faults.Example(seed), true); err != nil {
			t.Logf("seed %d: %v", seed, err)
			require.ErrorContains(t, err, "went back to version")
			return
		}
	}
	t.Fatal("no violation found")
}

// Guards against more platform calls than 0.2/s per instance in steady state,
// and against more than two watchers per failure domain.
func TestSteadyStatePlatformCalls(t *testing.T) {
	w := newNet(6, 1)
	w.put("teams/a", false)
	w.run(10 * time.Second)
	before := w.calls
	const seconds = 300
	w.run(seconds * time.Second)
	watching := 0
	for _, n := range w.nodes {
		if n.watching {
			watching++
		}
	}
	require.Equal(t, 2*WatchersPerDomain, watching)
	rate := float64(w.calls-before) / seconds / float64(len(w.nodes))
	t.Logf("%.3f calls/s per instance", rate)
	require.LessOrEqual(t, rate, 0.2)
}

// Guards against adopting a platform that was restored from a backup.
func TestRestoredPlatformIsNotAdopted(t *testing.T) {
	w := newNet(6, 1)
	for range 5 {
		w.put("teams/a", false)
	}
	w.run(5 * time.Second)
	w.down = true
	w.run(time.Second)
	w.objects = map[string]*pb.Object{}
	w.revision = 0
	w.put("teams/a", false)
	w.down = false
	confirmed := w.now
	w.run(20 * time.Second)
	for _, n := range w.nodes {
		require.Equal(t, uint64(5), n.sync.Get("teams/a").GetVersion())
		require.True(t, n.sync.ConfirmedAt().Before(confirmed), "the restored platform confirms nothing")
		if n.sync.rank < WatchersPerDomain {
			var regression *RegressionError
			require.ErrorAs(t, n.sync.Err(), &regression)
			require.Equal(t, RegressionError{Platform: 1, Own: 5}, *regression)
			require.Positive(t, n.sync.Stats().Regressions)
		}
	}
}

// Guards against an instance that takes over less than its peers have, or is
// ready too early, while the platform is down.
func TestJoinWithPlatformDown(t *testing.T) {
	w := newNet(6, 1)
	w.put("teams/a", false)
	w.run(3 * time.Second)
	w.down = true
	n := w.nodes[5]
	for id := range 3 {
		w.cut[[2]int{id, 5}] = true
	}
	n.start()
	w.run(5 * time.Second)
	require.False(t, n.sync.Ready(), "2 of 5 peers answered")
	require.Equal(t, uint64(1), n.sync.Revision())
	delete(w.cut, [2]int{0, 5})
	w.run(2 * time.Second)
	require.True(t, n.sync.Ready())
}

// Guards against a watch message that waited in a buffer, while this instance
// did not run for less than the pause limit, passing for a fresh confirmation.
func TestShortPauseConfirmsNothing(t *testing.T) {
	w := newNet(2, 1)
	w.put("teams/a", false)
	w.run(5 * time.Second)
	s := w.nodes[0].sync
	require.True(t, w.nodes[0].watching)
	before := s.ConfirmedAt()
	s.HandleWatch(w.now.Add(2500*time.Millisecond), nil, w.revision)
	require.Equal(t, before, s.ConfirmedAt())
}
