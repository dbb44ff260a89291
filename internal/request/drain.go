package request

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

// handover records that the previous holder of a slot has sent the requests that
// it decided.
type handover struct {
	from       string    // name of the previous holder
	receivedAt time.Time // local time of receipt
	// tenureStart is the start of the tenure that the handover belongs to,
	// zero until the first request of that tenure.
	tenureStart time.Time
}

// Drain makes the engine refuse or redirect new requests. Those in flight
// continue.
func (engine *Engine) Drain() { engine.draining = true }

// Handover ends the given tenures, keyed by slot, and returns the message for the
// new holder. It has the hashes of the non-idempotent requests recorded for the
// slots and of all requests received from earlier holders, and the slots for which
// these hashes are complete: this instance received the requests of the earlier
// holder, or its tenure is so old that they no longer count. The new holder must
// treat the other slots as not clean.
func (engine *Engine) Handover(now time.Time, tenures map[uint32]Tenure) *pb.SlotHandover {
	message := &pb.SlotHandover{}
	for slot, tenure := range tenures {
		// The second skew limit covers a successor whose clock is behind.
		old := tenure.Start.Add(engine.cfg.MaxDeclaredTimeout + 2*engine.cfg.ClockSkewLimit)
		if engine.knowsEarlierRequests(slot, tenure) || now.After(old) {
			message.Slots = append(message.Slots, slot)
		}
		engine.releasedTenures[slot] = tenure.Start
		// A handover that this instance received does not cover later holders.
		delete(engine.receivedHandovers, slot)
	}
	for k, r := range engine.records {
		if _, ok := tenures[slotOf(k)]; !ok || r.idempotent() {
			continue
		}
		r.noMoreAttempts = true
		message.DecidedRequests = append(message.DecidedRequests, requestHash(k))
	}
	for id := range engine.decidedBefore {
		message.DecidedRequests = append(message.DecidedRequests, id)
	}
	// The iteration order of maps is random; sorting makes runs with the same
	// seed send the same message.
	slices.Sort(message.Slots)
	slices.Sort(message.DecidedRequests)
	return message
}

// HandleHandover stores the requests that the previous holder of slots decided,
// for MaxDeclaredTimeout plus twice ClockSkewLimit. A message that would exceed
// MaxRecords stored requests is ignored, so that its slots are treated like those
// of a holder that failed. A message must not be delivered later than
// MaxDeclaredTimeout after it was sent.
func (engine *Engine) HandleHandover(now time.Time, from string, message *pb.SlotHandover) {
	if len(engine.decidedBefore)+len(message.GetDecidedRequests()) > engine.cfg.MaxRecords {
		return
	}
	for _, slot := range message.GetSlots() {
		if slot < flow.LeaseSlots {
			engine.receivedHandovers[slot] = &handover{from: from, receivedAt: now}
		}
	}
	until := now.Add(engine.cfg.MaxDeclaredTimeout + 2*engine.cfg.ClockSkewLimit)
	for _, id := range message.GetDecidedRequests() {
		engine.decidedBefore[id] = until
	}
}

// knowsEarlierRequests reports whether this instance knows every request that was
// decided for a slot before the tenure and still counts. A clean tenure alone does
// not show that, because the handover message may have been lost. The message of
// an earlier change of holders does not count: either another instance sent it, or
// a holder in between did not know the earlier requests and could not hand over
// before MaxDeclaredTimeout had passed.
func (engine *Engine) knowsEarlierRequests(slot uint32, tenure Tenure) bool {
	h := engine.receivedHandovers[slot]
	if !tenure.Clean || h == nil || h.from != tenure.Previous {
		return false
	}
	if h.tenureStart.IsZero() && tenure.Start.Sub(h.receivedAt).Abs() < engine.cfg.MaxDeclaredTimeout {
		h.tenureStart = tenure.Start
	}
	return h.tenureStart.Equal(tenure.Start)
}

// slotOf returns the lease slot of a request.
func slotOf(k requestKey) uint32 { return uint32(flow.Slot(k.flow.Hash())) }

// requestHash returns the hash that stands for a request in a handover message.
func requestHash(k requestKey) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:8], k.flow.Hash())
	binary.LittleEndian.PutUint64(b[8:16], k.id)
	return xxhash.Sum64(b[:])
}
