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
	e, _ := newEngine(cfg)
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
				perform(now, e.HandleAnswer(now, shed))
			}
		}
	}
	for i := range capacity * seconds {
		now := epoch.Add(time.Duration(i) * time.Second / capacity)
		for range 2 {
			requests++
			p := newPacket(uint64(requests), true, now.Add(3*time.Second))
			perform(now, e.HandleRequest(now, p, held(now)))
		}
		perform(now, e.Tick(now))
		if len(queue) > 0 {
			a := reply(queue[0], pb.PacketKind_PACKET_KIND_ANSWER)
			a.Parts, queue = 1, queue[1:]
			perform(now, e.HandleAnswer(now, a))
		}
	}
	return float64(answered) / (capacity * seconds), float64(attempts) / float64(requests)
}

// Guards against retries that add to an overload: goodput at least 90% of the
// capacity, at most 1.1 attempts per request. Without the budget the bound is
// exceeded.
func TestRetryBudgetUnderOverload(t *testing.T) {
	goodput, amplification := overload(Config{})
	t.Logf("goodput %.3f of capacity, %.3f attempts per request", goodput, amplification)
	require.GreaterOrEqual(t, goodput, 0.9)
	require.LessOrEqual(t, amplification, 1.1)
	goodput, amplification = overload(Config{RetryRatio: 1000, RetryBurst: 1e9})
	t.Logf("no budget: goodput %.3f of capacity, %.3f attempts per request", goodput, amplification)
	require.Greater(t, amplification, 1.1)
}

// Guards against more unknown outcomes than a killed holder explains: the
// requests in flight there and those that its successor must refuse.
func TestUnknownOutcomesAfterAKill(t *testing.T) {
	s := newSim(3, policy{skew: skewBound, calm: true})
	var inFlight int
	for i := range 2000 {
		if i == 600 {
			inFlight = s.nodes[0].engine.InFlight()
			s.kill(s.nodes[0])
		}
		s.copies(s.newRequest(false, time.Second), 1)
		s.advance(5 * time.Millisecond)
	}
	s.advance(15 * time.Second)
	require.Empty(t, s.check())
	holder := s.nodes[s.lease.holder]
	fence := holder.tenure.Start.Add(simTimeout + skewBound)
	counts := map[pb.RefusalReason]int{}
	var fenced int
	for _, p := range s.caller.requests {
		reason, ok := s.caller.told[p.GetRequestId()]
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
