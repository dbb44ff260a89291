package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"
)

const upstreamName = "t/s/u0"

// fixture is the Health of one instance with its clock and its view of the members.
type fixture struct {
	*Health
	now  time.Time
	view *membership.View
}

// newFixture returns the health of instance i<n>, one of 9 in 4 failure domains,
// with the given number of upstreams.
func newFixture(n, upstreams int) *fixture {
	f := &fixture{now: time.Unix(1000, 0), view: &membership.View{}}
	for i := range 9 {
		m := membership.Member{Name: fmt.Sprintf("i%d", i), FailureDomain: fmt.Sprintf("d%d", i%4), State: membership.Alive}
		f.view.Members = append(f.view.Members, m)
	}
	f.Health = New(Config{}, f.view.Members[n], rand.New(rand.NewPCG(1, uint64(n))))
	var refs []UpstreamRef
	for i := range upstreams {
		refs = append(refs, UpstreamRef{Name: fmt.Sprintf("t/s/u%d", i)})
	}
	f.SetUpstreams(refs)
	return f
}

func (f *fixture) probe(err error, boot uint64, state pb.UpstreamHealth_State) {
	f.now = f.now.Add(time.Second)
	f.HandleProbe(f.now, action.ProbeResult{Name: upstreamName, Err: err, BootID: boot, State: state})
}

func (f *fixture) report(domain string, state pb.UpstreamHealth_State, boot uint64, age time.Duration) {
	f.HandleReport(f.now, domain, []*pb.UpstreamHealth{{
		Upstream: upstreamName, BootId: boot, State: state, AgeMs: uint32(age.Milliseconds()),
	}})
}

type probeError struct{}

func (probeError) Error() string { return "probe failed" }

const (
	warm     = pb.UpstreamHealth_STATE_WARM
	cold     = pb.UpstreamHealth_STATE_COLD
	dead     = pb.UpstreamHealth_STATE_DEAD
	draining = pb.UpstreamHealth_STATE_DRAINING
	unknown  = pb.UpstreamHealth_STATE_UNSPECIFIED
)

// Guards against upstreams that no instance or several instances of a failure
// domain probe, and against a probe rate other than one per second.
func TestOneProberPerFailureDomain(t *testing.T) {
	probes := make(map[string]map[string]int)
	for n := range 9 {
		f := newFixture(n, 18)
		for range 100 {
			for _, a := range f.Tick(f.now, f.view) {
				p := a.(action.Probe)
				if probes[p.Name] == nil {
					probes[p.Name] = make(map[string]int)
				}
				probes[p.Name][f.self.Name+f.self.FailureDomain]++
			}
			f.now = f.now.Add(100 * time.Millisecond)
		}
	}
	require.Len(t, probes, 18)
	for _, perInstance := range probes {
		require.Len(t, perInstance, 4)
		for _, n := range perInstance {
			require.InDelta(t, 10, n, 1)
		}
	}
}

// Guards against a state that flaps on single probes, and against a less reliable
// or older source of information that overrides a better one.
func TestStateFromProbesReportsAndSignals(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(f *fixture)
		want State
	}{
		{"nothing known", func(f *fixture) {}, Cold},
		{"warm by the upstream's own report only", func(f *fixture) { f.probe(nil, 1, warm) }, Cold},
		{"warm confirmed by admission", func(f *fixture) {
			f.probe(nil, 1, warm)
			f.MarkWarm(f.now, upstreamName, 1)
		}, Warm},
		{"warm confirmed under a former boot id", func(f *fixture) {
			f.probe(nil, 2, warm)
			f.MarkWarm(f.now, upstreamName, 1)
		}, Cold},
		{"new boot id of a warm upstream", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.probe(nil, 2, warm)
		}, Cold},
		{"two failed probes", func(f *fixture) { f.MarkWarm(f.now, upstreamName, 1); f.failProbes(2) }, Warm},
		{"three failed probes", func(f *fixture) { f.MarkWarm(f.now, upstreamName, 1); f.failProbes(3) }, Dead},
		{"one successful probe of a dead upstream", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.failProbes(3)
			f.probe(nil, 1, warm)
		}, Dead},
		{"two successful probes of a dead upstream", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.failProbes(3)
			f.probe(nil, 1, warm)
			f.probe(nil, 1, warm)
		}, Warm},
		{"own failed probes outweigh a warm report", func(f *fixture) {
			f.failProbes(3)
			f.report("d0", warm, 1, 0)
		}, Dead},
		{"an answer outweighs failed probes", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.failProbes(2)
			f.Observe(f.now, upstreamName, SignalAnswered)
			f.failProbes(1)
		}, Warm},
		{"an answer outweighs a dead report", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.Observe(f.now, upstreamName, SignalAnswered)
			f.report("d0", dead, 1, 0)
		}, Warm},
		{"a reset outweighs a later warm report", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.Observe(f.now, upstreamName, SignalReset)
			f.now = f.now.Add(time.Second)
			f.report("d0", warm, 1, 0)
		}, Cold},
		{"five consecutive shed answers", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.observe(SignalShed, 5)
		}, Cold},
		{"shed answers with other answers between them", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			for range 5 {
				f.observe(SignalShed, 4)
				f.observe(SignalAnswered, 1)
			}
		}, Warm},
		{"report of the own failure domain", func(f *fixture) { f.report("d0", warm, 1, 0) }, Warm},
		{"report of another failure domain only", func(f *fixture) { f.report("d1", dead, 1, 0) }, Dead},
		{"report of the own failure domain outweighs a later one of another", func(f *fixture) {
			f.report("d0", warm, 1, time.Second)
			f.report("d1", dead, 1, 0)
		}, Warm},
		{"report that is older than the last one", func(f *fixture) {
			f.report("d0", dead, 1, time.Second)
			f.report("d0", warm, 1, 2*time.Second)
		}, Dead},
		{"newer report with a former boot id", func(f *fixture) {
			f.report("d0", warm, 1, 3*time.Second)
			f.report("d0", cold, 2, 2*time.Second)
			f.report("d0", warm, 1, time.Second)
		}, Cold},
		{"report without a state by a prober that has just started", func(f *fixture) {
			f.report("d0", warm, 1, 2*time.Second)
			f.report("d0", unknown, 1, 0)
		}, Warm},
		{"draining", func(f *fixture) { f.MarkWarm(f.now, upstreamName, 1); f.probe(nil, 1, draining) }, Draining},
		{"one successful probe of a draining upstream", func(f *fixture) {
			f.MarkWarm(f.now, upstreamName, 1)
			f.probe(nil, 1, draining)
			f.probe(nil, 1, draining)
			f.probe(nil, 1, warm)
		}, Draining},
	} {
		f := newFixture(0, 1)
		tc.run(f)
		require.Equal(t, tc.want, f.State(upstreamName), tc.name)
	}
}

func (f *fixture) failProbes(n int) {
	for range n {
		f.probe(probeError{}, 0, unknown)
	}
}

func (f *fixture) observe(sig Signal, n int) {
	for range n {
		f.Observe(f.now, upstreamName, sig)
	}
}

// Guards against control traffic that grows with the number of unchanged upstreams,
// against a state change that is not reported reportsPerChange times, and against
// relaying reports of another failure domain.
func TestReportsOnlyOwnChanges(t *testing.T) {
	f := newFixture(0, 18)
	steadyBytes := 0
	for second := range 60 {
		f.now = f.now.Add(time.Second)
		f.Tick(f.now, f.view)
		for name, u := range f.upstreams {
			if u.isProber {
				f.HandleProbe(f.now, action.ProbeResult{Name: name, BootID: 7})
			}
		}
		for _, r := range f.Report(f.now) {
			if second >= 30 {
				steadyBytes += proto.Size(r)
			}
		}
	}
	t.Logf("steady state: %d bytes of reports in 30 s to each peer", steadyBytes)
	require.Less(t, steadyBytes, 30*40)

	upstreamName := "t/s/u1"
	require.False(t, f.upstreams[upstreamName].isProber)
	f.HandleReport(f.now, "d0", []*pb.UpstreamHealth{{Upstream: upstreamName, BootId: 7, State: dead}})
	f.HandleReport(f.now, "d1", []*pb.UpstreamHealth{{Upstream: "t/s/u1", BootId: 8, State: dead}})
	reported := 0
	for range 10 {
		for _, r := range f.Report(f.now) {
			if f.upstreams[r.Upstream].fromOtherDomain {
				t.Fatalf("reported %s, which only another failure domain has observed", r.Upstream)
			}
			if r.State == dead {
				reported++
			}
		}
		f.now = f.now.Add(time.Second)
	}
	require.Equal(t, reportsPerChange, reported)
}
