package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// maxExported is the maximum number of flow records that an instance hands over:
// 240 KB, or 200 ms on the users' slowest links.
const maxExported = 8192

// HandoverFlow describes a flow that one instance hands over to another.
type HandoverFlow struct {
	Flow   Flow
	Cookie flowcookie.Cookie
	// Ack is the caller's last acknowledgement, DataEnd the end of the data that the
	// caller has sent; both are sequence numbers.
	Ack, DataEnd uint32
	// Idle is the time since the flow's last packet.
	Idle time.Duration
}

// ExportFlows returns the records of the flows that an upstream has answered and that
// had a packet within flowIdle, the most recent ones first and at most maxExported. An
// instance that shuts down hands them over, so that another one resets them when their
// upstream fails while their callers are idle.
func (e *Engine) ExportFlows(now time.Time) []HandoverFlow {
	var records []HandoverFlow
	for flow, record := range e.flows.records {
		if record.answered && now.Sub(record.lastSeen) < flowIdle {
			records = append(records, HandoverFlow{
				Flow: flow, Cookie: record.targets[0], Ack: record.ack, DataEnd: record.dataEnd, Idle: now.Sub(record.lastSeen),
			})
		}
	}
	slices.SortFunc(records, func(a, b HandoverFlow) int { return cmp.Compare(a.Idle, b.Idle) })
	return records[:min(len(records), maxExported)]
}

// ImportFlows adds or replaces the records of flows that another instance hands over,
// unless this one has seen a later packet of them. It stops when the table is full. It
// returns the number of records added or replaced.
func (e *Engine) ImportFlows(now time.Time, records []HandoverFlow) (imported int) {
	e.clock = now
	for _, flow := range records {
		lastSeen := now.Add(-flow.Idle)
		if known := e.flows.get(flow.Flow); known != nil && known.lastSeen.After(lastSeen) {
			continue
		}
		e.removeFlow(flow.Flow)
		record := e.flows.add(flow.Flow, flow.DataEnd)
		if record == nil {
			return imported
		}
		record.ack, record.dataEnd, record.lastSeen = flow.Ack, flow.DataEnd, lastSeen
		e.attributeFlow(record, flow.Cookie)
		imported++
	}
	return imported
}
