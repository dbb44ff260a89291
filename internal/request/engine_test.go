package request

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// TestMain sets the number of schedules to that in CHIVEMAST_SCHEDULES, 300 by
// default, and the seed to a fixed one. The flags of rapid override both.
func TestMain(m *testing.M) {
	checks := os.Getenv("CHIVEMAST_SCHEDULES")
	if checks == "" {
		checks = "300"
	}
	_ = flag.Set("rapid.checks", checks)
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// schedule is a random sequence of steps. The seed determines their parameters and
// the faults of the network.
type schedule struct {
	seed  uint64
	steps []int
}

// Kinds of steps. The generator prefers small numbers, so the common ones come
// first.
const (
	opSend = iota
	opRetransmit
	opRetransmitMany
	opSendIdempotent
	opKill
	opPauseBeforeSend
	opFreeze
	opHandover
	opUpstreamShed
	opUpstreamSilent
	opLossyNetwork
	opUpstreamDead
	opCancel
	opStepClock
	opCount
)

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		seed:  rapid.Uint64().Draw(t, "seed"),
		steps: rapid.SliceOfN(rapid.IntRange(0, opCount-1), 20, 80).Draw(t, "steps"),
	}
})

// simulate executes the steps and then lets 15 s pass, so that all requests end and
// all records expire.
func (sch schedule) simulate(env environment) *simulation {
	sim := newSimulation(sch.seed, env)
	for _, op := range sch.steps {
		sim.applyStep(op)
		sim.advance(sim.randomUpTo(500 * time.Millisecond))
	}
	sim.advance(15 * time.Second)
	return sim
}

// applyStep executes a step on a random instance, or for some faults on the holder
// in half of the cases.
func (sim *simulation) applyStep(op int) {
	inst := sim.instances[sim.rng.IntN(simInstances)]
	if sim.rng.IntN(2) == 0 && (op == opKill || op == opFreeze || op == opPauseBeforeSend) {
		inst = sim.instances[sim.lease.holder]
	}
	requests := sim.caller.requests
	switch op {
	case opSend, opSendIdempotent:
		for range 1 + sim.rng.IntN(3) {
			p := sim.newRequest(op == opSendIdempotent, 200*time.Millisecond+sim.randomUpTo(2200*time.Millisecond))
			sim.sendCopies(p, 1+sim.rng.IntN(3))
		}
	case opRetransmit, opRetransmitMany:
		for i := max(0, len(requests)-6); i < len(requests); i++ {
			sim.sendCopies(requests[i], 1+(op-opRetransmit)*3)
		}
	case opCancel:
		if len(requests) > 0 && !inst.dead && !inst.frozen {
			sim.performActions(inst, inst.engine.HandleCancel(sim.clock(inst), requests[len(requests)-1]))
		}
	case opStepClock:
		// The wall clock of the instance steps. The rest of the lease term keeps
		// its length.
		step := sim.randomOffset() - inst.offset
		inst.offset += step
		inst.term.Until = inst.term.Until.Add(step)
	case opKill:
		sim.kill(inst)
	case opFreeze:
		sim.freeze(inst, sim.randomUpTo(8*time.Second))
	case opPauseBeforeSend:
		inst.pauseBeforeSend = true
	case opHandover:
		sim.handOver(inst)
	case opUpstreamShed:
		sim.upstream.shed = 0.6
		sim.runAfter(sim.randomUpTo(3*time.Second), func() { sim.upstream.shed = 0 })
	case opUpstreamSilent:
		sim.upstream.silent = 0.6
		sim.runAfter(sim.randomUpTo(3*time.Second), func() { sim.upstream.silent = 0 })
	case opLossyNetwork:
		sim.lossy = true
		sim.runAfter(sim.randomUpTo(3*time.Second), func() { sim.lossy = false })
	case opUpstreamDead:
		sim.upstream.dead = true
		sim.runAfter(sim.randomUpTo(time.Second), func() { sim.upstream.dead = false })
	}
}

const skewLimit = DefaultClockSkewLimit

// Guards against a non-idempotent request that runs twice or after "not run",
// against mixed or truncated answers and against records that never expire, while
// instances fail, freeze and hand over slots and clocks differ by up to the limit.
func TestFaultSchedules(t *testing.T) {
	var requests, unknown, refused, ran, count int
	reasons := map[pb.RefusalReason]int{}
	rapid.Check(t, func(rt *rapid.T) {
		sim := schedules.Draw(rt, "schedule").simulate(environment{skew: skewLimit})
		if violations := sim.checkHistory(); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
		count++
		for _, p := range sim.caller.requests {
			if p.GetIdempotent() {
				continue
			}
			requests++
			if len(sim.upstream.runs[p.GetRequestId()]) > 0 {
				ran++
			}
			switch sim.caller.firstOutcome[p.GetRequestId()] {
			case pb.RefusalReason_REFUSAL_REASON_UNSPECIFIED:
			case pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN:
				unknown++
			default:
				refused++
				reasons[sim.caller.firstOutcome[p.GetRequestId()]]++
			}
		}
	})
	t.Log(reasons)
	t.Logf("%d schedules, %d non-idempotent requests: %d ran, first outcome unknown %d (%.1f%%), refused %d",
		count, requests, ran, unknown, 100*float64(unknown)/float64(max(requests, 1)), refused)
}

// Guards against checks that cannot fail: each environment breaks one rule, and a
// check has to find that within 1000 schedules.
func TestBrokenPoliciesAreFound(t *testing.T) {
	for name, env := range map[string]environment{
		"no fence":             {skew: skewLimit, noFence: true},
		"no record of refusal": {skew: skewLimit, unrecordedRefusals: true},
		"handover not sent":    {skew: skewLimit, falseHandover: true},
		"parts of any attempt": {skew: skewLimit, anyAttempt: true},
		// With clocks beyond the limit, requests may run twice: a holder whose
		// clock is ahead accepts deadlines that its successor accepts, too.
		"skew beyond the limit": {skew: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			const tries = 1000
			for seed := range tries {
				sim := schedules.Example(seed).simulate(env)
				if violations := sim.checkHistory(); len(violations) > 0 {
					t.Logf("found by schedule %d: %s", seed, violations[0])
					return
				}
			}
			require.Fail(t, "not found", "%d schedules", tries)
		})
	}
}
