package forward

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
)

// sequenceWindow is the greatest distance in bytes between the sequence numbers of a
// record and those of the flow's next packet. Callers accept no reset that is farther
// from their last acknowledgement.
const sequenceWindow = 76_800

// continuedBy reports whether a packet belongs to the flow of the record, and not to another
// flow of the same addresses and ports.
func (r *flowRecord) continuedBy(p *Packet) bool {
	return nearSequence(p.Ack, r.ack) && nearSequence(p.Seq, r.dataEnd)
}

func nearSequence(a, b uint32) bool {
	distance := int32(a - b)
	return distance >= -sequenceWindow && distance <= sequenceWindow
}

// openedBy reports whether an opening packet is a copy of the one that opened the flow of the
// record, which may be nil.
func (r *flowRecord) openedBy(p *Packet) bool {
	switch {
	case r == nil || !r.answered:
		return false
	case !r.opened.IsZero():
		return r.seq == p.Seq
	}
	// The opening packet passed another instance. The caller has sent little since then.
	sent := r.dataEnd - p.Seq
	return sent > 0 && sent <= sequenceWindow
}

// decideLateCopy decides on a copy of the opening packet of an open flow. Another upstream than
// that of the flow would answer it or reset the flow.
func (e *Engine) decideLateCopy(now time.Time, record *flowRecord) Decision {
	entry := e.snapshot.Resolve(record.targets[0])
	if entry == nil || e.Standing(now, entry) != evidence.Running {
		return Decision{Action: Drop, Reason: ReasonFlowRecord, Upstream: entry}
	}
	return Decision{Action: Forward, Reason: ReasonFlowRecord, Upstream: entry}
}

// justTried returns the upstream to which the last copy of an opening packet was sent, if it
// has not had openTimeout for its answer and may still get the flow; nil otherwise. The
// record may be nil. The upstream of an extra attempt does not count.
func (e *Engine) justTried(now time.Time, record *flowRecord) *catalog.Entry {
	if record == nil || record.attempts == 0 {
		return nil
	}
	last := record.attempts - 1
	if !record.opening[last] || record.targets[last] == record.extra() {
		return nil
	}
	entry := e.snapshot.Resolve(record.targets[last])
	if entry == nil || e.IsSuspect(now, entry.Cookie) {
		return nil
	}
	service := e.snapshot.Service(entry.Service)
	if service == nil || !slices.Contains(service.Entries, entry) || entry.Gone(now) {
		return nil
	}
	if entry.Cold(now) && !e.loadOf(entry.Cookie).cold.allows(now, e.coldBudget(service)) {
		return nil
	}
	return entry
}

// otherRecorded returns the upstream at which a flow is open by its record, which may be nil;
// nil when that is entry, the upstream by the cookie, or is not known. Several upstreams may
// answer the copies of one opening packet. The caller accepts the first answer, but returns
// the cookie of the last one.
func (e *Engine) otherRecorded(record *flowRecord, entry *catalog.Entry) *catalog.Entry {
	if record == nil || !record.confirmed || (entry != nil && entry.Cookie == record.targets[0]) {
		return nil
	}
	recorded := e.snapshot.Resolve(record.targets[0])
	if recorded == nil {
		return nil
	}
	if successor := e.snapshot.Successor(recorded.Cookie); successor != nil {
		recorded = successor
	}
	if entry != nil && entry.Cookie == recorded.Cookie {
		return nil
	}
	return recorded
}
