package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/hedge"
)

// hedgeWait is an opening packet of an idempotent route that may get an extra attempt, or
// got one.
type hedgeWait struct {
	record  *flowRecord
	service string
	sentAt  time.Time
	delay   time.Duration
	// slot is the number of the buffer that holds the packet, index the position in the
	// queue; index is notQueued after the decision.
	slot, index int
	// extra is the upstream of the extra attempt, flowcookie.None without one, and extraAt
	// when it was sent.
	extra   flowcookie.Cookie
	extraAt time.Time
}

// notQueued is the index of a hedgeWait outside the queue.
const notQueued = -1

func (w *hedgeWait) due() time.Time { return w.sentAt.Add(w.delay) }

// hedgeQueue is a heap of waits, ordered by the time at which they are due.
type hedgeQueue []*hedgeWait

func (q hedgeQueue) Len() int           { return len(q) }
func (q hedgeQueue) Less(i, j int) bool { return q[i].due().Before(q[j].due()) }
func (q hedgeQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *hedgeQueue) Push(x any) {
	w := x.(*hedgeWait)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *hedgeQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}

// overdueOpen is an opening packet that was unanswered when its extra attempt was due.
type overdueOpen struct {
	target flowcookie.Cookie
	domain string
	// sentAt is when the packet was sent, dueAt when it was overdue.
	sentAt, dueAt time.Time
}

// hedging is the state of the extra attempts of an engine.
type hedging struct {
	queue hedgeQueue
	// freeSlots holds the numbers of the slots that were used and are free, usedSlots the
	// number of slots that were ever used.
	freeSlots []int
	usedSlots int
	budget    hedge.Budget
	// times holds the times from opening packets to the next packets, by service.
	times map[string]*hedge.Histogram
	// overdue holds the latest overdue opening of each upstream, oldest first.
	overdue []overdueOpen
	// flowMovedAt is when the last request of a flow arrived that was opened through another
	// instance.
	flowMovedAt time.Time
}

func newHedging() hedging { return hedging{times: map[string]*hedge.Histogram{}} }

// forgetServices discards the times of services that a snapshot does not know.
func (h *hedging) forgetServices(snapshot *catalog.Snapshot) {
	for name := range h.times {
		if snapshot.Service(name) == nil {
			delete(h.times, name)
		}
	}
}

// extra returns the upstream of the extra attempt, or flowcookie.None.
func (r *flowRecord) extra() flowcookie.Cookie {
	if r.hedge == nil {
		return flowcookie.None
	}
	return r.hedge.extra
}

// lostToExtra reports whether the flow belongs to the upstream of the extra attempt, and
// so not to this one.
func (r *flowRecord) lostToExtra(target flowcookie.Cookie) bool {
	return r.answered && r.extra() != flowcookie.None && r.extra() == r.targets[0] && target != r.targets[0]
}
