package loadsim

import (
	"container/heap"
	"time"
)

type event struct {
	at     time.Time
	serial int
	run    func()
}

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

func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now.Add(d), serial: w.serial, run: run})
}

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() { run(); w.every(d, run) })
}

// run plays until the time since the start.
func (w *world) run(until time.Duration) {
	end := w.begin.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}
