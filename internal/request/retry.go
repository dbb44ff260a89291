package request

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// budgetLifetime is the time after which the budget of a silent service is
// forgotten.
const budgetLifetime = 10 * time.Minute

// budget limits the retries of one service to a share of its first attempts.
// It starts empty, so that the share holds from the first request on.
type budget struct {
	tokens   float64
	lastUsed time.Time
}

func (b *budget) deposit(cfg Config) { b.tokens = min(b.tokens+cfg.RetryRatio, cfg.RetryBurst) }

func (b *budget) withdraw() bool {
	// Ten deposits of 0.1 add up to slightly less than 1.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

func (e *Engine) budget(now time.Time, service string) *budget {
	b := e.budgets[service]
	if b == nil {
		b = &budget{}
		e.budgets[service] = b
	}
	b.lastUsed = now
	return b
}

// retry plans another attempt and tells whether the request may have one.
func (e *Engine) retry(now time.Time, r *record, reason RetryReason) (bool, Refusal) {
	if r.frozen || len(r.attempts) >= e.cfg.MaxAttempts {
		return false, nil
	}
	last := r.deadline
	if !r.idempotent() && r.tenure.Until.Before(last) {
		last = r.tenure.Until
	}
	at := now.Add(e.backoff(r.retries))
	if !at.Before(last) {
		return false, nil
	}
	if !e.budget(now, r.service).withdraw() {
		return false, &RetryBudgetError{Service: r.service}
	}
	r.retries++
	r.retryAt = at
	e.cfg.Observer.Retried(reason)
	e.reschedule(r)
	return true, nil
}

// backoff returns the wait before a retry: half of it fixed, half random.
func (e *Engine) backoff(retries int) time.Duration {
	d := e.cfg.BackoffMax
	if retries < 16 {
		d = min(d, e.cfg.BackoffBase<<retries)
	}
	return d/2 + time.Duration(e.rng.Int64N(int64(d/2)+1))
}

// NextDue returns when Tick has work to do; zero for never.
func (e *Engine) NextDue() time.Time {
	if len(e.timers) == 0 {
		return time.Time{}
	}
	return e.timers[0].due
}

// Tick sends planned retries, ends requests whose deadline has passed and
// forgets expired ones.
func (e *Engine) Tick(now time.Time) []action.Action {
	var actions []action.Action
	for len(e.timers) > 0 && !now.Before(e.timers[0].due) {
		actions = append(actions, e.tickRecord(now, e.timers[0])...)
	}
	e.expire(now)
	return actions
}

func (e *Engine) tickRecord(now time.Time, r *record) []action.Action {
	switch {
	case r.done:
		e.remove(r)
		return nil
	case !now.Before(r.deadline):
		return e.timeout(now, r)
	case !r.retryAt.IsZero():
		if !r.idempotent() && (r.frozen || !now.Before(r.tenure.Until)) {
			// The slot was handed over or the tenure has ended since the
			// upstream refused; no attempt is out and none will follow.
			return e.fail(now, r, &NoLeaseError{}, true)
		}
		return e.forward(now, r)
	}
	// An idempotent request without an answer for AttemptTimeout.
	if planned, _ := e.retry(now, r, RetrySilence); !planned {
		r.frozen = true
		e.reschedule(r)
	}
	return nil
}

// timeout ends a request at its deadline.
func (e *Engine) timeout(now time.Time, r *record) []action.Action {
	switch {
	case !r.open():
		return e.fail(now, r, &ExpiredError{Deadline: r.deadline}, true)
	case r.idempotent():
		return e.fail(now, r, &ExpiredError{Deadline: r.deadline}, false)
	}
	return e.fail(now, r, &OutcomeUnknownError{Cause: NoAnswer}, false)
}

// expire forgets what no longer counts apart from records.
func (e *Engine) expire(now time.Time) {
	for len(e.retained) > 0 && e.retained[0].answer == nil {
		e.popRetained()
	}
	for id, until := range e.decided {
		if now.After(until) {
			delete(e.decided, id)
		}
	}
	for service, b := range e.budgets {
		if now.Sub(b.lastUsed) > budgetLifetime {
			delete(e.budgets, service)
		}
	}
}

// HandleCancel ends a request on the caller's demand and passes the
// cancellation on.
func (e *Engine) HandleCancel(now time.Time, p *pb.Packet) []action.Action {
	k, err := cancelKey(p)
	if err != nil {
		e.cfg.Observer.Dropped(DropMalformed)
		return nil
	}
	r := e.records[k]
	if r == nil {
		// Another instance decided the request; the upstream knows it.
		return []action.Action{cancellation(p, CancelAllAttempts, e.cfg.ReplyTo)}
	}
	if r.done || r.cancelled {
		return nil
	}
	r.frozen, r.cancelled = true, true
	if !r.open() {
		return e.fail(now, r, &CancelledError{}, true)
	}
	var actions []action.Action
	for _, a := range r.attempts {
		if !a.closed {
			actions = append(actions, cancellation(p, a.number, e.cfg.ReplyTo))
		}
	}
	if r.idempotent() {
		return append(actions, e.fail(now, r, &CancelledError{}, false)...)
	}
	// Whether a non-idempotent request ran is for the upstream to say.
	r.retryAt = time.Time{}
	e.reschedule(r)
	return actions
}

func cancellation(p *pb.Packet, number uint32, replyTo string) action.Action {
	return action.Forward{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_CANCEL, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Attempt: number, ReplyTo: replyTo,
	}}
}
