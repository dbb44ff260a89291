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

// TestMain takes the number of schedules from CHIVEMAST_SCHEDULES; the seed is
// fixed unless -rapid.seed is given.
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

// schedule is a drawn sequence of steps; the seed draws their parameters and
// the faults of the network.
type schedule struct {
	seed  uint64
	steps []int
}

// The generator prefers small numbers, so the common steps come first.
const (
	opSend = iota
	opRetransmit
	opRetransmitMany
	opSendIdempotent
	opKill
	opPauseMid
	opFreeze
	opHandover
	opShed
	opSilent
	opLossy
	opDead
	opCancel
	opClock
	ops
)

var schedules = rapid.Custom(func(t *rapid.T) schedule {
	return schedule{
		seed:  rapid.Uint64().Draw(t, "seed"),
		steps: rapid.SliceOfN(rapid.IntRange(0, ops-1), 20, 80).Draw(t, "steps"),
	}
})

// run executes a schedule and lets the system settle.
func (sch schedule) run(p policy) *sim {
	s := newSim(sch.seed, p)
	for _, op := range sch.steps {
		s.step(op)
		s.advance(s.upTo(500 * time.Millisecond))
	}
	s.advance(15 * time.Second)
	return s
}

func (s *sim) step(op int) {
	n := s.nodes[s.rng.IntN(simInstances)]
	if s.rng.IntN(2) == 0 && (op == opKill || op == opFreeze || op == opPauseMid) {
		n = s.nodes[s.lease.holder]
	}
	requests := s.caller.requests
	switch op {
	case opSend, opSendIdempotent:
		for range 1 + s.rng.IntN(3) {
			p := s.newRequest(op == opSendIdempotent, 200*time.Millisecond+s.upTo(2200*time.Millisecond))
			s.copies(p, 1+s.rng.IntN(3))
		}
	case opRetransmit, opRetransmitMany:
		for i := max(0, len(requests)-6); i < len(requests); i++ {
			s.copies(requests[i], 1+(op-opRetransmit)*3)
		}
	case opCancel:
		if len(requests) > 0 && !n.dead && !n.frozen {
			s.perform(n, n.engine.HandleCancel(s.clock(n), requests[len(requests)-1]))
		}
	case opClock:
		// The wall clock steps; what is left of the tenure stays the same.
		step := s.offset() - n.offset
		n.offset += step
		n.tenure.Until = n.tenure.Until.Add(step)
	case opKill:
		s.kill(n)
	case opFreeze:
		s.freeze(n, s.upTo(8*time.Second))
	case opPauseMid:
		n.pauseMid = true
	case opHandover:
		s.handover(n)
	case opShed:
		s.upstream.shed = 0.6
		s.after(s.upTo(3*time.Second), func() { s.upstream.shed = 0 })
	case opSilent:
		s.upstream.silent = 0.6
		s.after(s.upTo(3*time.Second), func() { s.upstream.silent = 0 })
	case opLossy:
		s.lossy = true
		s.after(s.upTo(3*time.Second), func() { s.lossy = false })
	case opDead:
		s.upstream.dead = true
		s.after(s.upTo(time.Second), func() { s.upstream.dead = false })
	}
}

const skewBound = DefaultClockSkewLimit

// Guards against a non-idempotent request that runs twice, a "not run" that
// runs, an answer that is mixed or truncated, and records that never expire,
// while instances die, freeze and move slots with clocks within the bound.
func TestFaultSchedules(t *testing.T) {
	var requests, unknown, refused, ran, count int
	reasons := map[pb.RefusalReason]int{}
	rapid.Check(t, func(rt *rapid.T) {
		s := schedules.Draw(rt, "schedule").run(policy{skew: skewBound})
		if faults := s.check(); len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
		count++
		for _, p := range s.caller.requests {
			if p.GetIdempotent() {
				continue
			}
			requests++
			if len(s.upstream.runs[p.GetRequestId()]) > 0 {
				ran++
			}
			switch s.caller.told[p.GetRequestId()] {
			case pb.RefusalReason_REFUSAL_REASON_UNSPECIFIED:
			case pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN:
				unknown++
			default:
				refused++
				reasons[s.caller.told[p.GetRequestId()]]++
			}
		}
	})
	t.Log(reasons)
	t.Logf("%d schedules, %d non-idempotent requests: %d ran, first outcome unknown %d (%.1f%%), refused %d",
		count, requests, ran, unknown, 100*float64(unknown)/float64(max(requests, 1)), refused)
}

// Guards against checks that cannot fail: each broken policy must be found.
func TestBrokenPoliciesAreFound(t *testing.T) {
	for name, p := range map[string]policy{
		"no fence":             {skew: skewBound, noFence: true},
		"no record of refusal": {skew: skewBound, noRefusals: true},
		"no handover":          {skew: skewBound, noHistory: true},
		"any attempt":          {skew: skewBound, anyAttempt: true},
		// Clocks beyond the bound break at most once: a holder whose clock is
		// ahead accepts deadlines beyond the fence of its successor.
		"skew beyond the bound": {skew: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			const tries = 1000
			for seed := range tries {
				s := schedules.Example(seed).run(p)
				if faults := s.check(); len(faults) > 0 {
					t.Logf("found by schedule %d: %s", seed, faults[0])
					return
				}
			}
			require.Fail(t, "not found", "%d schedules", tries)
		})
	}
}
