package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// overload offers idempotent requests at twice the capacity of an upstream for
// 30 s and returns goodput/capacity and attempts/requests. The upstream serves
// 100 requests per second from a queue of 60 and sheds the rest.
func overload(cfg Config) (goodput, amplification float64) {
	const capacity, queueLimit, seconds = 100, 60, 30
	cfg.AttemptTimeout = 500 * time.Millisecond
	engine, _ := newEngine(cfg)
	var queue []*pb.Packet
	var attempts, answered, requests int
	var perform func(now time.Time, actions []action.Action)
	perform = func(now time.Time, actions []action.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case action.SendCaller:
				if a.Packet.GetKind() == pb.PacketKind_PACKET_KIND_ANSWER {
					answered++
				}
			case action.Forward:
				attempts++
				if len(queue) < queueLimit {
					queue = append(queue, a.Packet)
					continue
				}
				shed := reply(a.Packet, pb.PacketKind_PACKET_KIND_REFUSAL)
				shed.Refusal = pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED
				perform(now, engine.HandleAnswer(now, shed))
			}
		}
	}
	for i := range capacity * seconds {
		now := epoch.Add(time.Duration(i) * time.Second / capacity)
		for range 2 {
			requests++
			p := newPacket(uint64(requests), true, now.Add(3*time.Second))
			perform(now, engine.HandleRequest(now, p, heldRoute(now)))
		}
		perform(now, engine.Tick(now))
		if len(queue) > 0 {
			a := reply(queue[0], pb.PacketKind_PACKET_KIND_ANSWER)
			a.Parts, queue = 1, queue[1:]
			perform(now, engine.HandleAnswer(now, a))
		}
	}
	return float64(answered) / (capacity * seconds), float64(attempts) / float64(requests)
}

// Guards against retries that increase an overload: goodput has to be at least 90%
// of the capacity, with at most 1.1 attempts per request. Without the retry budget
// there are more.
func TestRetryBudgetUnderOverload(t *testing.T) {
	goodput, amplification := overload(Config{})
	t.Logf("goodput %.3f of capacity, %.3f attempts per request", goodput, amplification)
	require.GreaterOrEqual(t, goodput, 0.9)
	require.LessOrEqual(t, amplification, 1.1)
	goodput, amplification = overload(Config{RetryRatio: 1000, RetryBurst: 1e9})
	t.Logf("no budget: goodput %.3f of capacity, %.3f attempts per request", goodput, amplification)
	require.Greater(t, amplification, 1.1)
}

// Guards against needless unknown outcomes after the holder is killed. Only the
// requests in flight at the holder and those with a deadline within the fence of
// its successor may have one.
func TestUnknownOutcomesAfterAKill(t *testing.T) {
	sim := newSimulation(3, environment{skew: skewLimit, reliable: true})
	var inFlight int
	for i := range 2000 {
		if i == 600 {
			inFlight = sim.instances[0].engine.InFlight()
			sim.kill(sim.instances[0])
		}
		sim.sendCopies(sim.newRequest(false, time.Second), 1)
		sim.advance(5 * time.Millisecond)
	}
	sim.advance(15 * time.Second)
	require.Empty(t, sim.checkHistory())
	holder := sim.instances[sim.lease.holder]
	fence := holder.term.Start.Add(simTimeout + skewLimit)
	counts := map[pb.RefusalReason]int{}
	var fenced int
	for _, p := range sim.caller.requests {
		reason, ok := sim.caller.firstOutcome[p.GetRequestId()]
		if ok {
			counts[reason]++
		}
		if d := time.UnixMilli(p.GetDeadlineUnixMs()); p.GetRequestId() > 600 && !d.After(fence) {
			fenced++
		}
	}
	unknown := counts[pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN]
	t.Logf("2000 requests, %d in flight at the kill, %d before the fence: %d unknown (%.1f%%), %v",
		inFlight, fenced, unknown, float64(unknown)/20, counts)
	require.LessOrEqual(t, unknown, inFlight+fenced)
}
