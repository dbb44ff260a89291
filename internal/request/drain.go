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
	// termStart is the start of the lease term that the handover belongs to,
	// zero until the first request of that lease term.
	termStart time.Time
}

// Drain makes the engine refuse or redirect new requests. Those in flight
// continue.
func (engine *Engine) Drain() { engine.draining = true }

// EndTerms ends the given lease terms, keyed by slot, and returns the message for the
// new holder. It has the hashes of the non-idempotent requests recorded for the
// slots and of all requests received from earlier holders, and the slots for which
// these hashes are complete: this instance received the requests of the earlier
// holder, or its lease term is so old that they no longer count. The new holder must
// treat the other slots as not clean.
func (engine *Engine) EndTerms(now time.Time, terms map[uint32]LeaseTerm) *pb.SlotHandover {
	message := &pb.SlotHandover{}
	for slot, term := range terms {
		// The second skew limit covers a successor whose clock is behind.
		old := term.Start.Add(engine.cfg.MaxDeclaredTimeout + 2*engine.cfg.ClockSkewLimit)
		if engine.knowsEarlierRequests(slot, term) || now.After(old) {
			message.Slots = append(message.Slots, slot)
		}
		engine.releasedTerms[slot] = term.Start
		// A handover that this instance received does not cover later holders.
		delete(engine.receivedHandovers, slot)
	}
	for k, r := range engine.records {
		if _, ok := terms[slotOf(k)]; !ok || r.idempotent() {
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
		if slot < flow.LeaseSlotCount {
			engine.receivedHandovers[slot] = &handover{from: from, receivedAt: now}
		}
	}
	until := now.Add(engine.cfg.MaxDeclaredTimeout + 2*engine.cfg.ClockSkewLimit)
	for _, id := range message.GetDecidedRequests() {
		engine.decidedBefore[id] = until
	}
}

// knowsEarlierRequests reports whether this instance knows every request that was
// decided for a slot before the lease term and still counts. A clean lease term alone does
// not show that, because the handover message may have been lost. The message of
// an earlier change of holders does not count: either another instance sent it, or
// a holder in between did not know the earlier requests and could not hand over
// before MaxDeclaredTimeout had passed.
func (engine *Engine) knowsEarlierRequests(slot uint32, term LeaseTerm) bool {
	h := engine.receivedHandovers[slot]
	if !term.Clean || h == nil || h.from != term.Previous {
		return false
	}
	if h.termStart.IsZero() && term.Start.Sub(h.receivedAt).Abs() < engine.cfg.MaxDeclaredTimeout {
		h.termStart = term.Start
	}
	return h.termStart.Equal(term.Start)
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
