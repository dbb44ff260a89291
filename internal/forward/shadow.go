package forward

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/hedge"
)

// shadow returns an engine that decides the opening packets of a flow as this one would.
// It shares what opening packets only read, and has copies of what they change: of the
// flow records, those of the flow, of the caller's last flow and of overdue openings.
func (e *Engine) shadow(now time.Time, flow Flow) *Engine {
	s := *e
	s.Tracker, s.load = e.Tracker.Copy(), e.load.CopyForReading()
	s.loads = make(map[flowcookie.Cookie]*upstreamLoad, len(e.loads))
	for cookie, load := range e.loads {
		copied := *load
		copied.cold.sentAt = slices.Clone(load.cold.sentAt)
		s.loads[cookie] = &copied
	}
	s.copyAdmissionState(e)
	records := map[*flowRecord]*flowRecord{}
	copyRecord := func(record *flowRecord) *flowRecord {
		if record != nil && records[record] == nil {
			copied := *record
			if record.hedge != nil {
				wait := *record.hedge
				copied.hedge, wait.record = &wait, &copied
			}
			records[record] = &copied
		}
		return records[record]
	}
	s.flows = flowTable{records: map[Flow]*flowRecord{}}
	if record := e.flows.get(flow); record != nil {
		s.flows.records[flow] = copyRecord(record)
	}
	s.flows.limit = e.flows.limit - len(e.flows.records) + len(s.flows.records)
	s.lastOpen = map[netip.Addr]*flowRecord{}
	if last := e.lastOpen[flow.Caller.Addr()]; last != nil {
		s.lastOpen[flow.Caller.Addr()] = copyRecord(last)
	}
	s.pendingOpens, s.flowRequests = slices.Clone(e.pendingOpens), slices.Clone(e.flowRequests)
	for i := 0; i < len(s.pendingOpens) && now.Sub(s.pendingOpens[i].sentAt) >= openTimeout; i++ {
		s.pendingOpens[i].record = copyRecord(s.pendingOpens[i].record)
	}
	s.counted = slices.Clone(e.counted)
	for i := range s.counted {
		s.counted[i].record = copyRecord(s.counted[i].record)
	}
	s.speed, s.demand = e.speed.copyForReading(), e.demand.copy()
	if e.inFlight != nil {
		s.inFlight = e.inFlight.CopyForReading()
	}
	s.hedging = e.hedging.copy(copyRecord)
	s.weights, s.domains, s.candidates, s.entries, s.usable, s.considered = nil, nil, nil, nil, nil, considered{}
	return &s
}

// copy returns a copy in which the records of waiting openings are replaced.
func (h *hedging) copy(copyRecord func(*flowRecord) *flowRecord) hedging {
	copied := *h
	copied.freeSlots, copied.overdue = slices.Clone(h.freeSlots), slices.Clone(h.overdue)
	copied.queue, copied.times = make(hedgeQueue, len(h.queue)), make(map[string]*hedge.Histogram, len(h.times))
	for i, wait := range h.queue {
		copied.queue[i] = copyRecord(wait.record).hedge
	}
	for service, times := range h.times {
		next := *times
		copied.times[service] = &next
	}
	return copied
}
