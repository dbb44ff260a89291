package loadsim

import (
	"container/heap"
	"time"
)

// event is an action that is due at a simulated time. serial keeps events of the same time
// in the order in which they were added.
type event struct {
	at     time.Time
	serial int
	run    func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after runs a function once, d after the present simulated time.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.serial++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), serial: sim.serial, run: run})
}

// every runs a function repeatedly, d apart.
func (sim *simulation) every(d time.Duration, run func()) {
	sim.after(d, func() { run(); sim.every(d, run) })
}

// run simulates until the given time since the start.
func (sim *simulation) run(until time.Duration) {
	end := sim.begin.Add(until)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}
