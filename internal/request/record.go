package request

import (
	"container/heap"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

// key identifies a request; every copy of it has the same key.
type key struct {
	flow flow.Key
	id   uint64
}

// record is what the engine remembers of one request until its deadline plus
// the skew bound.
type record struct {
	key      key
	packet   *pb.Packet
	team     string
	service  string
	deadline time.Time
	// expires is when copies no longer need the record.
	expires time.Time
	// tenure is the one under which a non-idempotent request was decided.
	tenure Tenure

	attempts []*attempt
	retryAt  time.Time
	// frozen stops further attempts: the request was cancelled or its slot
	// handed over.
	frozen    bool
	cancelled bool
	retries   int
	due       time.Time
	heapIndex int

	// The outcome. A finished record has an answer or a refusal.
	done    bool
	answer  []*pb.Packet
	bytes   int
	refusal Refusal
	notRun  bool
}

// attempt is one forwarding of a request and its partial answer.
type attempt struct {
	number uint32
	sent   time.Time
	// closed: the upstream refused this attempt.
	closed bool
	parts  []*pb.Packet
	got    int
	bytes  int
	// tooLarge: the answer exceeded its bounds and cannot become whole.
	tooLarge bool
}

func (r *record) idempotent() bool { return r.packet.GetIdempotent() }

// open tells whether an attempt is out that may still be answered.
func (r *record) open() bool {
	for _, a := range r.attempts {
		if !a.closed {
			return true
		}
	}
	return false
}

func (r *record) find(number uint32) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// nextDue returns when the record needs attention.
func (r *record) nextDue(silence time.Duration) time.Time {
	if r.done {
		return r.expires
	}
	due := r.deadline
	if !r.retryAt.IsZero() && r.retryAt.Before(due) {
		return r.retryAt
	}
	if r.idempotent() && !r.frozen && len(r.attempts) > 0 {
		if t := r.attempts[len(r.attempts)-1].sent.Add(silence); t.Before(due) {
			return t
		}
	}
	return due
}

// timers orders records by due time.
type timers []*record

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return r
}

func (e *Engine) add(r *record) {
	e.records[r.key] = r
	r.due = r.nextDue(e.cfg.AttemptTimeout)
	heap.Push(&e.timers, r)
}

func (e *Engine) reschedule(r *record) {
	r.due = r.nextDue(e.cfg.AttemptTimeout)
	heap.Fix(&e.timers, r.heapIndex)
}

func (e *Engine) remove(r *record) {
	e.dropBuffers(r)
	heap.Remove(&e.timers, r.heapIndex)
	delete(e.records, r.key)
}
