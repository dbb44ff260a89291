package lease_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
)

// Fixes the seed and the size of the random tests; flags of the command line
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const instances = 5

// step is one fault and the time that passes after it.
type step struct {
	Kind string
	A, B int
	For  time.Duration
}

var kinds = []string{
	"cut", "cut", "cut both", "isolate", "isolate fully", "cut platform", "heal", "heal peers", "freeze", "freeze", "thaw", "restart",
	"kill", "platform down", "platform up", "loss", "delay", "lose answers", "keep answers", "release", "run",
}

// pauses lie around the heartbeat interval, the suspicion timeout and the
// lease duration.
var pauses = []time.Duration{
	10 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond,
	4 * time.Second, 5900 * time.Millisecond, 6400 * time.Millisecond, 7500 * time.Millisecond, 12 * time.Second,
}

var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		A:    rapid.IntRange(0, instances-1).Draw(t, "a"),
		B:    rapid.IntRange(0, instances-1).Draw(t, "b"),
		For:  rapid.SampledFrom(pauses).Draw(t, "for"),
	}
}), 4, 40)

func (w *world) apply(s step) {
	a, b := w.insts[s.A], w.insts[s.B]
	pair := [2]string{a.self.Name, b.self.Name}
	switch s.Kind {
	case "cut":
		w.cut[pair] = true
	case "cut both":
		w.cut[pair], w.cut[[2]string{pair[1], pair[0]}] = true, true
	case "isolate", "isolate fully":
		w.cut[[2]string{a.self.Name, "platform"}] = s.Kind == "isolate fully"
		for _, o := range w.insts {
			w.cut[[2]string{a.self.Name, o.self.Name}], w.cut[[2]string{o.self.Name, a.self.Name}] = true, true
		}
	case "cut platform":
		w.cut[[2]string{a.self.Name, "platform"}] = true
	case "heal":
		clear(w.cut)
	case "heal peers":
		maps.DeleteFunc(w.cut, func(pair [2]string, _ bool) bool { return pair[1] != "platform" })
	case "freeze":
		a.frozen = true
	case "thaw":
		a.thaw()
	case "restart":
		a.start()
	case "kill":
		a.dead = true
	case "platform down", "platform up":
		w.platformDown = s.Kind == "platform down"
	case "loss":
		w.loss = 0.3
	case "heavy loss":
		w.loss = 0.6
	case "delay":
		w.maxDelay = 4 * time.Second
	case "lose answers", "keep answers":
		w.loseAnswers = s.Kind == "lose answers"
	case "release":
		if !a.dead && !a.frozen {
			a.releasing = true
			a.do(a.leases.Release(a.clock()))
		}
	}
	w.advance(s.For)
}

// thaw resumes a frozen instance; what waited in its buffers comes first.
func (x *inst) thaw() {
	if x.dead || !x.frozen {
		return
	}
	x.frozen = false
	inbox := x.inbox
	x.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// run starts a world, carries out a schedule, repairs everything and waits.
// It returns the first violation of a check.
func run(seed uint64, schedule []step, p policy) error {
	w := newWorld(instances, seed, p)
	w.advance(15 * time.Second)
	for _, s := range schedule {
		w.apply(s)
	}
	clear(w.cut)
	w.loss, w.maxDelay, w.platformDown, w.loseAnswers = 0, 0, false, false
	for _, x := range w.insts {
		x.thaw()
		if x.dead || x.releasing {
			x.start()
		}
	}
	// A slot that is just being handed over has no tenure for up to two
	// ticks, so one moment without a fault is enough.
	var err error
	for range 60 {
		w.advance(time.Second)
		if err = w.converged(); err == nil || w.violation != nil {
			break
		}
	}
	w.advance(10 * time.Second)
	if w.violation != nil {
		return w.violation
	}
	return err
}

// converged tells what is not as it should be in a healthy world.
func (w *world) converged() error {
	for slot := range flow.LeaseSlots {
		holders := 0
		for _, x := range w.insts {
			if _, ok := x.leases.Tenure(slot, x.clock()); ok {
				holders++
			}
		}
		if holders != 1 {
			return fmt.Errorf("slot %d has %d holders after healing", slot, holders)
		}
	}
	for _, x := range w.insts {
		now := x.clock()
		if x.sync.Revision() != w.revision {
			return fmt.Errorf("%s is at revision %d of %d after healing", x.self.Name, x.sync.Revision(), w.revision)
		}
		if age := now.Sub(x.sync.ConfirmedAt()); age > 3500*time.Millisecond {
			return fmt.Errorf("%s has a confirmation age of %v after healing", x.self.Name, age)
		}
		if live := len(x.mem.View(now).Rank(0)); live != len(w.insts) {
			return fmt.Errorf("%s sees %d live members after healing", x.self.Name, live)
		}
	}
	return nil
}

// Guards against two instances acting for one slot, against versions going
// back, and against states that do not recover from faults.
func TestSchedulesKeepTenuresExclusive(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := run(seed, schedules.Draw(t, "schedule"), policy{}); err != nil {
			t.Fatal(err)
		}
	})
}

// staleHolder cuts one instance off until all others restarted and took its
// slots over, and lets it see them again before the new table.
func staleHolder(a int) []step {
	schedule := []step{{Kind: "isolate fully", A: a, For: 12 * time.Second}}
	for b := range instances {
		if b != a {
			schedule = append(schedule, step{Kind: "restart", A: b, For: 10 * time.Millisecond})
		}
	}
	return append(schedule, step{Kind: "run", For: 7500 * time.Millisecond},
		step{Kind: "heavy loss"}, step{Kind: "heal peers", For: 6 * time.Second})
}

// lateTakeover freezes a holder until its successors write takeovers whose
// answers are lost, and resumes it before they take effect.
func lateTakeover(a int) []step {
	return []step{
		{Kind: "lose answers"}, {Kind: "cut platform", A: a},
		{Kind: "freeze", A: a, For: 7700 * time.Millisecond}, {Kind: "thaw", A: a, For: 9 * time.Second},
	}
}

// noWait is a broken policy: the successor does not wait for its grants to
// expire.
type noWait struct{ lease.Grants }

func (noWait) GrantedUntil(string) time.Time { return time.Time{} }

// noStop is a broken policy: the successor goes on granting after it decided
// to take over.
type noStop struct{ lease.Grants }

func (noStop) StopGrants(string, bool) {}

// longGrant is a broken policy: the holder counts more time than it was
// granted.
type longGrant struct{ lease.Grants }

func (g longGrant) GrantUntil(member string) time.Time {
	until := g.Grants.GrantUntil(member)
	if until.IsZero() {
		return until
	}
	return until.Add(time.Second)
}

// Guards against checks that find nothing: each broken policy has to lead to
// its violation within the schedules.
func TestBrokenPoliciesAreFound(t *testing.T) {
	const tenures = "both have a tenure"
	for name, broken := range map[string]struct {
		policy policy
		found  string
	}{
		"takeover without waiting": {policy{grants: func(g lease.Grants) lease.Grants { return noWait{g} }}, tenures},
		"grants not stopped":       {policy{grants: func(g lease.Grants) lease.Grants { return noStop{g} }}, tenures},
		"grant counted too long":   {policy{grants: func(g lease.Grants) lease.Grants { return longGrant{g} }}, tenures},
		"any incarnation grants":   {policy{anyIncarnation: true}, tenures},
		"lost answer is failure":   {policy{lostIsFailed: true}, tenures},
		"clean flag trusted":       {policy{trustFlag: true}, "started a clean tenure"},
		"contact confirms":         {policy{contactConfirms: true}, "claims to be current"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range 400 {
				schedule := schedules.Example(seed)
				switch {
				case broken.policy.anyIncarnation:
					schedule = staleHolder(seed % instances)
				case broken.policy.lostIsFailed:
					schedule = lateTakeover(seed % instances)
				}
				err := run(uint64(seed), schedule, broken.policy)
				if err != nil && strings.Contains(err.Error(), broken.found) {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}
