package request

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

// handover says that the previous holder of a slot passed its decided
// requests on.
type handover struct {
	from string
	at   time.Time
	// start is the tenure that the handover serves, zero until its first
	// request.
	start time.Time
}

// Drain makes the engine take no new requests. Those in flight go on.
func (e *Engine) Drain() { e.draining = true }

// Handover ends the deciding for slots under the given tenures and returns the
// message for the successor. It lists only slots whose history this instance
// knows entirely; a successor of the others must treat them as not clean.
func (e *Engine) Handover(now time.Time, tenures map[uint32]Tenure) *pb.SlotHandover {
	message := &pb.SlotHandover{}
	for slot, tenure := range tenures {
		// The second skew bound covers a successor whose clock is behind.
		old := tenure.Start.Add(e.cfg.FenceTimeout + 2*e.cfg.ClockSkewLimit)
		if e.hasHistory(slot, tenure) || now.After(old) {
			message.Slots = append(message.Slots, slot)
		}
		e.released[slot] = tenure.Start
		// What this instance received says nothing of the next holders.
		delete(e.received, slot)
	}
	for k, r := range e.records {
		if _, ok := tenures[slotOf(k)]; !ok || r.idempotent() {
			continue
		}
		r.frozen = true
		message.DecidedRequests = append(message.DecidedRequests, requestHash(k))
	}
	for id := range e.decided {
		message.DecidedRequests = append(message.DecidedRequests, id)
	}
	// Maps have no order; a run with the same seed sends the same message.
	slices.Sort(message.Slots)
	slices.Sort(message.DecidedRequests)
	return message
}

// HandleHandover takes over the decided requests of the previous holder of
// slots. A message with more requests than the engine may remember is ignored,
// so that its slots are fenced like those of a dead instance. A message must
// not be delivered later than FenceTimeout after it was sent.
func (e *Engine) HandleHandover(now time.Time, from string, message *pb.SlotHandover) {
	if len(e.decided)+len(message.GetDecidedRequests()) > e.cfg.MaxRecords {
		return
	}
	for _, slot := range message.GetSlots() {
		if slot < flow.LeaseSlots {
			e.received[slot] = &handover{from: from, at: now}
		}
	}
	until := now.Add(e.cfg.FenceTimeout + 2*e.cfg.ClockSkewLimit)
	for _, id := range message.GetDecidedRequests() {
		e.decided[id] = until
	}
}

// hasHistory tells whether this instance knows every request that counts and
// was decided for a slot before the tenure. The claim of a clean tenure alone
// is not enough, because the handover message may have been lost. One from an
// earlier change of holders does not count: it came from another instance, or
// a holder in between had no history and could not hand over before
// FenceTimeout had passed.
func (e *Engine) hasHistory(slot uint32, tenure Tenure) bool {
	h := e.received[slot]
	if !tenure.Clean || h == nil || h.from != tenure.Previous {
		return false
	}
	if h.start.IsZero() && tenure.Start.Sub(h.at).Abs() < e.cfg.FenceTimeout {
		h.start = tenure.Start
	}
	return h.start.Equal(tenure.Start)
}

func slotOf(k key) uint32 { return uint32(flow.Slot(k.flow.Hash())) }

func requestHash(k key) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:8], k.flow.Hash())
	binary.LittleEndian.PutUint64(b[8:16], k.id)
	return xxhash.Sum64(b[:])
}
