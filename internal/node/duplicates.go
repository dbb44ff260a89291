package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/request"
)

const (
	// maxRecordedAttempts bounds the recorded attempts: 2,000 redirected ones per second
	// over a request timeout of 5 s. When it is reached, further attempts are dropped,
	// because evicting an entry would let a copy of that attempt run a second time.
	maxRecordedAttempts = 1 << 14
	// attemptSweepInterval is the interval at which expired attempts are removed.
	attemptSweepInterval = time.Second
)

// attemptID identifies one hop of one attempt of a request.
type attemptID struct {
	caller, service string
	flow, request   uint64
	attempt, hops   uint32
}

// attemptDeduplicator detects duplicates of decided requests that peers redirect to this
// instance. An upstream runs a request once per packet that arrives, so a packet
// duplicated between two instances would run the request twice.
//
// expiries maps each attempt to its deadline plus the default clock skew limit; expired
// entries are removed every attemptSweepInterval.
type attemptDeduplicator struct {
	expiries  map[attemptID]time.Time
	lastSweep time.Time
}

// admitOnce reports whether a redirected packet is to be handled, and records it.
// Packets other than decided requests are always handled. A decided request is handled
// only if it is the first copy and fewer than maxRecordedAttempts attempts are recorded.
func (dedup *attemptDeduplicator) admitOnce(now time.Time, r *pb.RedirectedPacket) bool {
	p := r.GetPacket()
	if p.GetKind() != pb.PacketKind_PACKET_KIND_REQUEST || p.GetAttempt() == 0 {
		return true
	}
	if dedup.expiries == nil {
		dedup.expiries = map[attemptID]time.Time{}
	}
	dedup.removeExpired(now)
	id := attemptID{
		caller: p.GetCaller(), service: p.GetService(), flow: p.GetFlowId(), request: p.GetRequestId(),
		attempt: p.GetAttempt(), hops: r.GetHops(),
	}
	if _, ok := dedup.expiries[id]; ok || len(dedup.expiries) >= maxRecordedAttempts {
		return false
	}
	dedup.expiries[id] = time.UnixMilli(p.GetDeadlineUnixMs()).Add(request.DefaultClockSkewLimit)
	return true
}

func (dedup *attemptDeduplicator) removeExpired(now time.Time) {
	if now.Sub(dedup.lastSweep) < attemptSweepInterval {
		return
	}
	dedup.lastSweep = now
	for id, until := range dedup.expiries {
		if now.After(until) {
			delete(dedup.expiries, id)
		}
	}
}
