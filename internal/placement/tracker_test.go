package placement

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seedCount is the number of runs of each scenario, with seeds from 0.
const seedCount = 3

type scenario struct {
	name string
	run  func(s *simulation)
}

func drain(s *simulation, upstream string) {
	s.setState(upstream, TargetDraining)
	s.writeTable(nil)
}

var scenarios = []scenario{
	{"drain", func(s *simulation) { drain(s, "u0") }},
	{"kill tracker during drain", func(s *simulation) {
		drain(s, "u0")
		s.run(6 * time.Second)
		s.kill(s.busiestTracker())
	}},
	{"kill backup, then tracker", func(s *simulation) {
		drain(s, "u0")
		s.run(6 * time.Second)
		tracker := s.busiestTracker()
		s.kill(s.instances[tracker].tracker.replicator.backup.Name)
		s.run(8 * time.Second)
		s.kill(tracker)
	}},
	{"join without state", func(s *simulation) {
		drain(s, "u0")
		s.run(5 * time.Second)
		for _, name := range []string{"j0", "j1", "j2", "j3"} {
			s.startInstance(name, "d"+name[1:])
			s.run(1500 * time.Millisecond)
		}
	}},
	{"freeze and return", func(s *simulation) {
		s.freeze("i3", 9*time.Second)
		s.run(500 * time.Millisecond)
		drain(s, "u0")
		s.run(11 * time.Second)
		s.freeze(s.busiestTracker(), 7*time.Second)
	}},
	{"owner leaves in transition", func(s *simulation) {
		for _, u := range []string{"u0", "u1", "u2", "u3"} {
			drain(s, u)
			s.run(2500 * time.Millisecond)
		}
		s.kill(s.busiestTracker())
	}},
	{"owners drain while health checks of the previous upstream fail", func(s *simulation) {
		s.setState("u0", TargetDead)
		s.writeTable(nil)
		for _, u := range []string{"u1", "u2", "u3"} {
			s.run(2500 * time.Millisecond)
			drain(s, u)
		}
	}},
	{"failure domain out and in", func(s *simulation) {
		drain(s, "u0")
		s.run(4 * time.Second)
		s.takeOut("d1", true)
		s.run(10 * time.Second)
		s.takeOut("d1", false)
		s.run(10 * time.Second)
	}},
	{"rolling restart before and during drain", func(s *simulation) {
		for i, name := range append([]string(nil), s.order...) {
			if i == 4 {
				drain(s, "u0")
			}
			s.restart(name, i%2 == 0)
			s.run(1500 * time.Millisecond)
		}
	}},
	{"failure domain cut off", func(s *simulation) {
		s.cutOff("d2", 12*time.Second)
		s.run(3 * time.Second)
		drain(s, "u0")
	}},
	{"cut off and taken out", func(s *simulation) {
		s.cutOff("d2", 15*time.Second)
		s.run(2 * time.Second)
		s.takeOut("d1", true)
	}},
}

func runScenario(sc scenario, seed uint64, p policy, rate int) *simulation {
	s := newSimulation(seed, p)
	if p.noActivation {
		s.adoptDelay = 2500 * time.Millisecond
	}
	s.startTraffic(70*time.Second, rate)
	s.run(10 * time.Second)
	sc.run(s)
	s.run(90 * time.Second)
	return s
}

// Guards against established flows that reach another upstream, draining upstreams
// that get new flows, and packets to a failure domain that was taken out, under
// each kind of fault that the design names.
func TestTrackersKeepFlows(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seedCount) {
				s := runScenario(sc, seed, policy{}, 30)
				require.Empty(t, s.check(), "seed %d", seed)
				t.Logf("seed %d: %d flows, drops %v, misrouted in a partition %d, split by a partition %d, lost with a kill %d",
					seed, len(s.flows), s.drops, s.misrouted, s.splitFlows, s.lostByKill)
			}
		})
	}
}

// Guards against a simulation that does not detect broken flows. Each simpler
// policy must break the guarantee that the part it lacks provides.
func TestSimplerPoliciesBreakFlows(t *testing.T) {
	for _, tc := range []struct {
		name, scenario, violation string
		policy                    policy
	}{
		{name: "plain modulo hashing", scenario: "drain", policy: policy{modulo: true}, violation: "moved"},
		{name: "no replication", scenario: "kill tracker during drain", policy: policy{noReplication: true}, violation: "moved"},
		{name: "no synchronization", scenario: "join without state", policy: policy{noSync: true}, violation: "moved"},
		{name: "no activation rule", scenario: "drain", policy: policy{noActivation: true}, violation: "moved"},
		{name: "no freshness rule", scenario: "cut off and taken out", policy: policy{noFreshness: true}, violation: "taken out"},
		{name: "no table change", scenario: "drain", policy: policy{noTable: true}, violation: "draining"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			found := 0
			for seed := range uint64(3) {
				for _, sc := range scenarios {
					if sc.name == tc.scenario {
						for _, v := range runScenario(sc, seed, tc.policy, 60).check() {
							if strings.Contains(v, tc.violation) {
								found++
							}
						}
					}
				}
			}
			require.Positive(t, found)
			t.Logf("%d violations", found)
		})
	}
}
