package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// maxExported bounds the flows that an instance hands over: 240 KB, 200 ms on
// the users' slowest links.
const maxExported = 8192

// FlowState is what one instance tells another of a flow that it remembers.
type FlowState struct {
	Flow   Flow
	Cookie flowcookie.Cookie
	// Ack is the caller's last acknowledgement, Sent the end of the data that it
	// has sent.
	Ack, Sent uint32
	// Idle is the time since the flow's last packet.
	Idle time.Duration
}

// Export returns the remembered flows that an upstream has answered, those with
// the latest packets first. An instance that leaves hands them over, so that
// another ends them when their upstream fails while their callers are idle.
func (e *Engine) Export(now time.Time) []FlowState {
	var states []FlowState
	for flow, record := range e.flows.records {
		if record.answered && now.Sub(record.lastSeen) < flowIdle {
			states = append(states, FlowState{
				Flow: flow, Cookie: record.targets[0], Ack: record.ack, Sent: record.sent, Idle: now.Sub(record.lastSeen),
			})
		}
	}
	slices.SortFunc(states, func(a, b FlowState) int { return cmp.Compare(a.Idle, b.Idle) })
	return states[:min(len(states), maxExported)]
}

// Import remembers flows that another instance hands over, unless this one has
// seen a later packet of them. It returns the number of flows taken over.
func (e *Engine) Import(now time.Time, states []FlowState) (taken int) {
	for _, s := range states {
		seen := now.Add(-s.Idle)
		if known := e.flows.get(s.Flow); known != nil && known.lastSeen.After(seen) {
			continue
		}
		e.discard(s.Flow)
		record := e.flows.add(s.Flow, s.Sent)
		if record == nil {
			return taken
		}
		record.ack, record.sent, record.opened, record.lastSeen = s.Ack, s.Sent, seen, seen
		e.settle(record, s.Cookie)
		taken++
	}
	return taken
}
