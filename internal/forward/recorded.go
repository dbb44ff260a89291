package forward

import "github.com/chivemast/chivemast/internal/catalog"

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

// otherRecorded returns the upstream at which a flow is open by its record, which may be nil;
// nil when that is entry, the upstream by the cookie, or is not known. Several upstreams may
// answer the copies of one opening packet. The caller accepts the first answer, which the
// first packet that follows shows, but returns the cookie of the last one.
func (e *Engine) otherRecorded(record *flowRecord, entry *catalog.Entry) *catalog.Entry {
	if record == nil || !record.answered || record.imported || (entry != nil && entry.Cookie == record.targets[0]) {
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
