package lease_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
)

// TestMain sets the default seed and number of checks of the random tests. Flags
// of the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const instanceCount = 5

// step is one fault, the indexes A and B of the instances that it affects, and the
// simulated time that passes after it.
type step struct {
	Kind string
	A, B int
	For  time.Duration
}

var kinds = []string{
	"cut", "cut", "cut both", "isolate", "isolate fully", "cut platform", "heal", "heal peers", "freeze", "freeze", "thaw", "restart",
	"kill", "platform down", "platform up", "loss", "delay", "lose answers", "keep answers", "release", "run", "restore",
}

// pauses are durations of steps, close to the heartbeat interval, the suspicion
// timeout and the lease duration.
var pauses = []time.Duration{
	10 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond,
	4 * time.Second, 5900 * time.Millisecond, 6400 * time.Millisecond, 7500 * time.Millisecond, 12 * time.Second,
}

var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		A:    rapid.IntRange(0, instanceCount-1).Draw(t, "a"),
		B:    rapid.IntRange(0, instanceCount-1).Draw(t, "b"),
		For:  rapid.SampledFrom(pauses).Draw(t, "for"),
	}
}), 4, 40)

// applyStep injects the fault of a step and lets its time pass.
func (sim *simulation) applyStep(s step) {
	a, b := sim.instances[s.A], sim.instances[s.B]
	pair := [2]string{a.self.Name, b.self.Name}
	switch s.Kind {
	case "cut":
		sim.cutLinks[pair] = true
	case "cut both":
		sim.cutLinks[pair], sim.cutLinks[[2]string{pair[1], pair[0]}] = true, true
	case "isolate", "isolate fully":
		sim.cutLinks[[2]string{a.self.Name, "platform"}] = s.Kind == "isolate fully"
		for _, o := range sim.instances {
			sim.cutLinks[[2]string{a.self.Name, o.self.Name}], sim.cutLinks[[2]string{o.self.Name, a.self.Name}] = true, true
		}
	case "cut platform":
		sim.cutLinks[[2]string{a.self.Name, "platform"}] = true
	case "heal":
		clear(sim.cutLinks)
	case "heal peers":
		maps.DeleteFunc(sim.cutLinks, func(pair [2]string, _ bool) bool { return pair[1] != "platform" })
	case "freeze":
		a.frozen = true
	case "thaw":
		a.thaw()
	case "restart":
		a.start()
	case "kill":
		a.dead = true
	case "platform down", "platform up":
		sim.platformDown = s.Kind == "platform down"
	case "loss":
		sim.lossRate = 0.3
	case "heavy loss":
		sim.lossRate = 0.6
	case "restore":
		sim.restore(time.Duration(2*s.A+1) * time.Second)
	case "delay":
		sim.maxDelay = 4 * time.Second
	case "lose answers", "keep answers":
		sim.loseAnswers = s.Kind == "lose answers"
	case "release":
		if !a.dead && !a.frozen {
			a.releasing = true
			a.execute(a.leases.Release(a.clock()))
		}
	}
	sim.advance(s.For)
}

// thaw resumes a frozen instance and first runs the events buffered for it.
func (inst *simInstance) thaw() {
	if inst.dead || !inst.frozen {
		return
	}
	inst.frozen = false
	buffered := inst.buffered
	inst.buffered = nil
	for _, do := range buffered {
		do()
	}
}

// runSchedule starts a simulation, applies the steps of a schedule, ends all
// faults and waits for convergence. It returns the first violation of a check.
func runSchedule(seed uint64, schedule []step, policy brokenPolicy) error {
	sim := newSimulation(instanceCount, seed, policy)
	sim.advance(15 * time.Second)
	for _, s := range schedule {
		sim.applyStep(s)
	}
	clear(sim.cutLinks)
	sim.lossRate, sim.maxDelay, sim.platformDown, sim.loseAnswers = 0, 0, false, false
	for _, inst := range sim.instances {
		inst.thaw()
		if inst.dead || inst.releasing {
			inst.start()
		}
	}
	// A slot that is being handed over has no lease term for up to two ticks, so
	// the simulation has to be converged at one point in time only.
	var err error
	for range 60 {
		sim.advance(time.Second)
		if err = sim.checkConverged(); err == nil || sim.violation != nil {
			break
		}
	}
	sim.advance(10 * time.Second)
	if sim.violation != nil {
		return sim.violation
	}
	return err
}

// checkConverged returns an error unless each slot has one lease term, and each
// instance has the latest revision, a young confirmation and all members alive.
func (sim *simulation) checkConverged() error {
	for slot := range flow.LeaseSlotCount {
		holders := 0
		for _, inst := range sim.instances {
			if _, ok := inst.leases.CurrentTerm(slot, inst.clock()); ok {
				holders++
			}
		}
		if holders != 1 {
			return fmt.Errorf("slot %d has %d holders after healing", slot, holders)
		}
	}
	for _, inst := range sim.instances {
		now := inst.clock()
		if inst.sync.Revision() != sim.revision {
			return fmt.Errorf("%s is at revision %d of %d after healing", inst.self.Name, inst.sync.Revision(), sim.revision)
		}
		if age := now.Sub(inst.sync.ConfirmedAt()); age > 3500*time.Millisecond {
			return fmt.Errorf("%s has a confirmation age of %v after healing", inst.self.Name, age)
		}
		if live := len(inst.members.View(now).Rank(0)); live != len(sim.instances) {
			return fmt.Errorf("%s sees %d live members after healing", inst.self.Name, live)
		}
	}
	return nil
}

// Guards against two instances with a lease term for one slot, against older object
// versions replacing newer ones, and against no recovery after random faults.
func TestSchedulesKeepTenuresExclusive(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := runSchedule(seed, schedules.Draw(t, "schedule"), brokenPolicy{}); err != nil {
			t.Fatal(err)
		}
	})
}

// staleHolder isolates one instance until all others have restarted and taken its
// slots over, and reconnects it to the peers while it still has the old table.
func staleHolder(a int) []step {
	schedule := []step{{Kind: "isolate fully", A: a, For: 12 * time.Second}}
	for b := range instanceCount {
		if b != a {
			schedule = append(schedule, step{Kind: "restart", A: b, For: 10 * time.Millisecond})
		}
	}
	return append(schedule, step{Kind: "run", For: 7500 * time.Millisecond},
		step{Kind: "heavy loss"}, step{Kind: "heal peers", For: 6 * time.Second})
}

// lateTakeover freezes a holder until its successors write takeovers whose
// answers are lost, and thaws it before the writes take effect.
func lateTakeover(a int) []step {
	return []step{
		{Kind: "lose answers"}, {Kind: "cut platform", A: a},
		{Kind: "freeze", A: a, For: 7700 * time.Millisecond}, {Kind: "thaw", A: a, For: 9 * time.Second},
	}
}

// noTakeoverWait is a broken policy: the successor does not wait for its grants
// to expire.
type noTakeoverWait struct{ lease.Grants }

func (noTakeoverWait) GivenGrantUntil(string) time.Time { return time.Time{} }

// noGrantStop is a broken policy: the successor continues to make grants after it
// has planned a takeover.
type noGrantStop struct{ lease.Grants }

func (noGrantStop) SetGrantsStopped(string, bool) {}

// extendedGrant is a broken policy: the holder acts for one second longer than it
// was granted.
type extendedGrant struct{ lease.Grants }

func (g extendedGrant) ReceivedGrantUntil(member string) time.Time {
	until := g.Grants.ReceivedGrantUntil(member)
	if until.IsZero() {
		return until
	}
	return until.Add(time.Second)
}

// Guards against checks that cannot fail: each broken policy has to lead to
// its own violation within 400 seeds.
func TestBrokenPoliciesAreFound(t *testing.T) {
	const twoTerms = "both have a lease term"
	for name, test := range map[string]struct {
		policy    brokenPolicy
		violation string
	}{
		"takeover without waiting": {brokenPolicy{grants: func(g lease.Grants) lease.Grants { return noTakeoverWait{g} }}, twoTerms},
		"grants not stopped":       {brokenPolicy{grants: func(g lease.Grants) lease.Grants { return noGrantStop{g} }}, twoTerms},
		"grant extended":           {brokenPolicy{grants: func(g lease.Grants) lease.Grants { return extendedGrant{g} }}, twoTerms},
		"any incarnation grants":   {brokenPolicy{anyIncarnationGrants: true}, twoTerms},
		"lost answer as failure":   {brokenPolicy{lostAnswerFails: true}, twoTerms},
		"clean flag alone trusted": {brokenPolicy{trustCleanFlag: true}, "started a clean lease term"},
		"heartbeat confirms":       {brokenPolicy{heartbeatConfirms: true}, "claims to be current"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 400 {
				schedule := schedules.Example(seed)
				switch {
				case test.policy.anyIncarnationGrants:
					schedule = staleHolder(seed % instanceCount)
				case test.policy.lostAnswerFails:
					schedule = lateTakeover(seed % instanceCount)
				}
				err := runSchedule(uint64(seed), schedule, test.policy)
				if err != nil && strings.Contains(err.Error(), test.violation) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against two instances with a lease term for one slot when a former holder
// restarts just after the platform was restored: it reclaims the slot from the copy,
// while the holder of the lost table has not noticed the restoration yet.
func TestRestartAfterRestorationKeepsTenuresExclusive(t *testing.T) {
	require.NoError(t, runSchedule(4, []step{
		{Kind: "release", A: 4, For: 820 * time.Millisecond}, {Kind: "run", For: 7500 * time.Millisecond},
		{Kind: "cut", A: 1, B: 3, For: 2500 * time.Millisecond}, {Kind: "release", A: 0, For: 4 * time.Second},
		{Kind: "restore", A: 2, For: 10 * time.Millisecond},
	}, brokenPolicy{}))
}
