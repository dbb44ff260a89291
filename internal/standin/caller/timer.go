package caller

import (
	"container/heap"
	"maps"
	"slices"
	"time"
)

type timerKind int

const (
	timerOpen timerKind = iota + 1
	timerNewRequest
	timerRequest
	timerCancel
	timerLateCopy
	timerNewData
	timerData
	timerClose
)

// timer is an action for a flow, or for one request or DATA packet of it, that
// is due at a time. Timers are not removed when the flow or request finishes; a
// timer whose flow or request no longer exists does nothing.
type timer struct {
	at   time.Time
	flow uint64
	kind timerKind
	id   uint64
}

// timerHeap orders timers by time, then by flow, kind and id, so that runs with
// the same seed are identical.
type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	switch {
	case !a.at.Equal(b.at):
		return a.at.Before(b.at)
	case a.flow != b.flow:
		return a.flow < b.flow
	case a.kind != b.kind:
		return a.kind < b.kind
	}
	return a.id < b.id
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

func (m *Machine) setTimer(f *flowState, d time.Duration, kind timerKind, id uint64) {
	heap.Push(&m.timers, timer{at: m.now.Add(d), flow: f.id, kind: kind, id: id})
}

func sortedFlowIDs(flows map[uint64]*flowState) []uint64 { return slices.Sorted(maps.Keys(flows)) }
