package request

import (
	"container/heap"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

// requestKey identifies a request; all copies of the request have the same key.
type requestKey struct {
	flow flow.Key
	id   uint64
}

// record is the state of one request. It is kept until the deadline plus the skew
// limit.
type record struct {
	key      requestKey
	packet   *pb.Packet
	team     string
	service  string
	deadline time.Time
	// expires is when the record of a finished request is removed. All copies
	// have expired by then, even if clocks differ by the skew limit.
	expires time.Time
	// term is the one under which a non-idempotent request was decided. Its
	// end follows extensions seen with copies.
	term LeaseTerm

	attempts []*attempt
	retryAt  time.Time // time of the planned retry, zero if there is none
	// hedgeAt is the time of the decision on an extra attempt, zero if there is none.
	hedgeAt time.Time
	// noMoreAttempts is true if no retry may be planned: the request was
	// cancelled, its slot was handed over, or no retry was possible after an
	// attempt timeout.
	noMoreAttempts bool
	cancelled      bool
	retries        int
	due            time.Time // time of the next work for Tick
	heapIndex      int

	// The fields below are the outcome. If done is true, the record has an
	// answer or a refusal.
	done    bool
	answer  []*pb.Packet
	bytes   int // payload bytes of answer
	refusal Refusal
	notRun  bool
}

// attempt is one attempt of a request and the parts of its answer so far.
type attempt struct {
	number uint32
	sent   time.Time
	// extra is true for an attempt that was sent while another one was open.
	extra bool
	// closed is true once the upstream has refused this attempt.
	closed        bool
	parts         []*pb.Packet // by part number, nil where missing
	receivedParts int
	bytes         int // payload bytes of parts
	// tooLarge is true once the answer has exceeded its bounds; further parts
	// are dropped.
	tooLarge bool
}

func (r *record) idempotent() bool { return r.packet.GetIdempotent() }

// hasOpenAttempt reports whether there is an attempt that the upstream has not
// refused.
func (r *record) hasOpenAttempt() bool {
	for _, a := range r.attempts {
		if !a.closed {
			return true
		}
	}
	return false
}

// findAttempt returns the attempt with a number, nil if there is none.
func (r *record) findAttempt(number uint32) *attempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// regularAttempts returns the attempts without the extra one: their number, and when the
// last one was sent.
func (r *record) regularAttempts() (count int, lastSent time.Time) {
	for _, a := range r.attempts {
		if !a.extra {
			count, lastSent = count+1, a.sent
		}
	}
	return count, lastSent
}

// nextDue returns the time of the next work for Tick: removal, deadline, planned
// retry, or for an idempotent request the extra attempt or the end of the attempt timeout.
func (r *record) nextDue(attemptTimeout time.Duration) time.Time {
	if r.done {
		return r.expires
	}
	due := r.deadline
	if !r.retryAt.IsZero() && r.retryAt.Before(due) {
		return r.retryAt
	}
	if !r.hedgeAt.IsZero() && r.hedgeAt.Before(due) {
		return r.hedgeAt
	}
	if count, lastSent := r.regularAttempts(); r.idempotent() && !r.noMoreAttempts && count > 0 {
		if t := lastSent.Add(attemptTimeout); t.Before(due) {
			return t
		}
	}
	return due
}

// timerHeap is a heap of records, ordered by due time.
type timerHeap []*record

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return r
}

func (engine *Engine) addRecord(r *record) {
	engine.records[r.key] = r
	r.due = r.nextDue(engine.cfg.AttemptTimeout)
	heap.Push(&engine.timers, r)
}

func (engine *Engine) reschedule(r *record) {
	r.due = r.nextDue(engine.cfg.AttemptTimeout)
	heap.Fix(&engine.timers, r.heapIndex)
}

func (engine *Engine) removeRecord(r *record) {
	engine.discardAnswers(r)
	heap.Remove(&engine.timers, r.heapIndex)
	delete(engine.records, r.key)
}
