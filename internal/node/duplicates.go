package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/request"
)

const (
	// maxAttemptsSeen bounds the attempts remembered: 2,000 redirected ones per
	// second over a request timeout of 5 s. Beyond it, attempts are dropped,
	// because a copy of a forgotten one would run a second time.
	maxAttemptsSeen = 1 << 14
	// sweepSeen is how often attempts past their deadline are forgotten.
	sweepSeen = time.Second
)

// attemptID identifies one hop of one attempt of a request.
type attemptID struct {
	caller, service string
	flow, request   uint64
	attempt, hops   uint32
}

// attemptsSeen remembers the decided requests that peers passed on. Upstreams
// run a request once per packet that arrives, so a duplicate between two
// instances would run it twice.
type attemptsSeen struct {
	until map[attemptID]time.Time
	swept time.Time
}

// first tells whether a redirected packet is to be handled: it is not a
// decided request, or the first copy of one.
func (a *attemptsSeen) first(now time.Time, r *pb.RedirectedPacket) bool {
	p := r.GetPacket()
	if p.GetKind() != pb.PacketKind_PACKET_KIND_REQUEST || p.GetAttempt() == 0 {
		return true
	}
	if a.until == nil {
		a.until = map[attemptID]time.Time{}
	}
	a.sweep(now)
	id := attemptID{
		caller: p.GetCaller(), service: p.GetService(), flow: p.GetFlowId(), request: p.GetRequestId(),
		attempt: p.GetAttempt(), hops: r.GetHops(),
	}
	if _, ok := a.until[id]; ok || len(a.until) >= maxAttemptsSeen {
		return false
	}
	a.until[id] = time.UnixMilli(p.GetDeadlineUnixMs()).Add(request.DefaultClockSkewLimit)
	return true
}

func (a *attemptsSeen) sweep(now time.Time) {
	if now.Sub(a.swept) < sweepSeen {
		return
	}
	a.swept = now
	for id, until := range a.until {
		if now.After(until) {
			delete(a.until, id)
		}
	}
}
