package configsync

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// TestMain fixes the seed and the number of random tests; command-line flags
// override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one write or fault of a random test; Kind selects it in runFaults. A and
// B are node ids (B is -1 for the platform) or, for writes, A selects the key. Steps
// is the time until the next fault in steps of 100 ms.
type fault struct {
	Kind, A, B, Steps int
}

var faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind: rapid.IntRange(0, 11).Draw(t, "kind"), A: rapid.IntRange(0, 5).Draw(t, "a"),
		B: rapid.IntRange(-1, 5).Draw(t, "b"), Steps: rapid.SampledFrom([]int{1, 3, 10, 40}).Draw(t, "steps"),
	}
}), 10, 60)

// runFaults applies the writes and faults in order, then ends all faults and checks
// that the instances converge.
func runFaults(seed uint64, list []fault, adoptAny bool) error {
	c := newCluster(6, seed)
	c.adoptAny = adoptAny
	for _, f := range list {
		switch f.Kind {
		case 0, 1, 2:
			c.put(fmt.Sprintf("teams/t%d", f.A), false)
		case 3:
			c.put(fmt.Sprintf("teams/t%d", f.A), true)
		case 4, 5:
			c.blockedLinks[[2]int{f.A, f.B}] = true
		case 6:
			clear(c.blockedLinks)
		case 7:
			c.platformDown = !c.platformDown
		case 8:
			c.loss = 0.4 - c.loss
		case 9:
			c.delay = 2503*time.Millisecond - c.delay
		case 10:
			c.nodes[f.A].start()
		case 11:
			c.restore(time.Duration(2*f.B+2) * time.Second)
		}
		c.run(time.Duration(f.Steps) * 100 * time.Millisecond)
	}
	clear(c.blockedLinks)
	c.platformDown, c.loss, c.delay = false, 0, 3*time.Millisecond
	c.run(10 * time.Second)
	return c.converged()
}

// Guards against objects that go back to an older version, changes missing below
// the revision, and instances that stay behind after faults have ended.
func TestFaultsNeverRevertObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runFaults(rapid.Uint64().Draw(t, "seed"), faults.Draw(t, "faults"), false); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that detects nothing: if instances adopt every pushed
// version, a violation has to be reported.
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
	c := newCluster(6, 1)
	c.put("teams/a", false)
	c.run(10 * time.Second)
	before := c.calls
	const seconds = 300
	c.run(seconds * time.Second)
	watching := 0
	for _, n := range c.nodes {
		if n.watching {
			watching++
		}
	}
	require.Equal(t, 2*WatchersPerDomain, watching)
	rate := float64(c.calls-before) / seconds / float64(len(c.nodes))
	t.Logf("%.3f calls/s per instance", rate)
	require.LessOrEqual(t, rate, 0.2)
}

// Guards against a configuration that a restored platform has confirmed and that never
// comes into force, because another one had its revision before, and against a return
// to the copy; and against this test finding nothing when eras are missing.
func TestConfigurationOfRestoredPlatformComesIntoForce(t *testing.T) {
	for _, withoutEras := range []bool{false, true} {
		c := newCluster(6, 1)
		c.withoutEras = withoutEras
		for _, key := range []string{"teams/a", "teams/b", "teams/a", "teams/c", "teams/a"} {
			c.put(key, false)
			c.run(2 * time.Second)
		}
		c.platformDown = true
		c.run(time.Second)
		c.restore(7 * time.Second)
		c.platformDown = false
		c.run(5 * time.Second)
		for range 3 {
			c.put("teams/a", false)
		}
		c.run(3 * time.Second)
		for _, n := range c.nodes {
			latest := bytes.Equal(c.written["teams/a"].GetValue(), n.sync.Get("teams/a").GetValue())
			require.NotEqual(t, withoutEras, latest, "%s, without eras: %t", nodeName(n.id), withoutEras)
		}
		if !withoutEras {
			c.run(5 * time.Second)
			require.NoError(t, c.converged())
		}
	}
}

// Guards against adopting objects of a platform that is below the revision held by the
// instances although its era has not risen.
func TestRestoredPlatformIsNotAdopted(t *testing.T) {
	c := newCluster(6, 1)
	for range 5 {
		c.put("teams/a", false)
	}
	c.run(5 * time.Second)
	c.platformDown = true
	c.run(time.Second)
	c.objects = map[string]*pb.Object{}
	c.revision = 0
	c.put("teams/a", false)
	c.platformDown = false
	confirmed := c.now
	c.run(20 * time.Second)
	for _, n := range c.nodes {
		require.Equal(t, uint64(5), n.sync.Get("teams/a").GetVersion())
		require.True(t, n.sync.ConfirmedAt().Before(confirmed), "the restored platform must not confirm the objects")
		if n.sync.rank < WatchersPerDomain {
			var regression *RegressionError
			require.ErrorAs(t, n.sync.Err(), &regression)
			require.Equal(t, RegressionError{PlatformRevision: 1, HeldRevision: 5}, *regression)
			require.Positive(t, n.sync.Stats().Regressions)
		}
	}
}

// Guards against an instance that joins while the platform is down and adopts less
// than its peers hold, or is ready before a majority of them has answered.
func TestJoinWithPlatformDown(t *testing.T) {
	c := newCluster(6, 1)
	c.put("teams/a", false)
	c.run(3 * time.Second)
	c.platformDown = true
	n := c.nodes[5]
	for id := range 3 {
		c.blockedLinks[[2]int{id, 5}] = true
	}
	n.start()
	c.run(5 * time.Second)
	require.False(t, n.sync.Ready(), "only 2 of 5 peers answered")
	require.Equal(t, uint64(1), n.sync.Revision())
	delete(c.blockedLinks, [2]int{0, 5})
	c.run(2 * time.Second)
	require.True(t, n.sync.Ready())
}

// Guards against outdated confirmations: after a pause shorter than PauseLimit, a
// watch message that waited in a buffer must not confirm the objects.
func TestShortPauseConfirmsNothing(t *testing.T) {
	c := newCluster(2, 1)
	c.put("teams/a", false)
	c.run(5 * time.Second)
	s := c.nodes[0].sync
	require.True(t, c.nodes[0].watching)
	before := s.ConfirmedAt()
	s.HandleWatch(c.now.Add(2500*time.Millisecond), nil, c.revision)
	require.Equal(t, before, s.ConfirmedAt())
}
