package request

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// budgetLifetime is how long the retry budget of a service is kept after its last
// use.
const budgetLifetime = 10 * time.Minute

// budget limits the retries of one service to a share of its first attempts.
// It starts empty, so that the limit holds from the first request on.
type budget struct {
	tokens   float64 // number of retries available
	lastUsed time.Time
}

// deposit adds the share of one first attempt, up to RetryBurst retries.
func (b *budget) deposit(cfg Config) { b.tokens = min(b.tokens+cfg.RetryRatio, cfg.RetryBurst) }

// withdraw uses one retry and reports whether one was available.
func (b *budget) withdraw() bool {
	// Ten deposits of 0.1 add up to slightly less than 1.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

// budgetOf returns the retry budget of a service.
func (engine *Engine) budgetOf(now time.Time, service string) *budget {
	b := engine.budgets[service]
	if b == nil {
		b = &budget{}
		engine.budgets[service] = b
	}
	b.lastUsed = now
	return b
}

// planRetry plans another attempt after a backoff and reports whether it did. It
// does not if the request has had MaxAttempts, may have no more attempts, or would
// be retried after its deadline or lease term. If the retry budget is empty, it also
// returns a refusal.
func (engine *Engine) planRetry(now time.Time, r *record, reason RetryReason) (bool, Refusal) {
	if count, _ := r.regularAttempts(); r.noMoreAttempts || count >= engine.cfg.MaxAttempts {
		return false, nil
	}
	last := r.deadline
	if !r.idempotent() && r.term.Until.Before(last) {
		last = r.term.Until
	}
	at := now.Add(engine.backoff(r.retries))
	if !at.Before(last) {
		return false, nil
	}
	if !engine.budgetOf(now, r.service).withdraw() {
		return false, &RetryBudgetError{Service: r.service}
	}
	r.retries++
	r.retryAt, r.hedgeAt = at, time.Time{}
	engine.cfg.Observer.Retried(reason)
	engine.reschedule(r)
	return true, nil
}

// backoff returns the wait before a retry. BackoffBase doubles with each earlier
// retry up to BackoffMax; half of the result is fixed and half is random.
func (engine *Engine) backoff(retries int) time.Duration {
	d := engine.cfg.BackoffMax
	if retries < 16 {
		d = min(d, engine.cfg.BackoffBase<<retries)
	}
	return d/2 + time.Duration(engine.rng.Int64N(int64(d/2)+1))
}

// NextDue returns the earliest time at which Tick has work for a request, zero if
// no request is recorded.
func (engine *Engine) NextDue() time.Time {
	if len(engine.timers) == 0 {
		return time.Time{}
	}
	return engine.timers[0].due
}

// Tick sends planned retries and extra attempts, ends requests whose deadline has passed and removes
// expired records, handed-over requests and unused retry budgets.
func (engine *Engine) Tick(now time.Time) []action.Action {
	var actions []action.Action
	for len(engine.timers) > 0 && !now.Before(engine.timers[0].due) {
		actions = append(actions, engine.tickRecord(now, engine.timers[0])...)
	}
	engine.removeExpired(now)
	return actions
}

// tickRecord does the work of a record that is due.
func (engine *Engine) tickRecord(now time.Time, r *record) []action.Action {
	switch {
	case r.done:
		engine.removeRecord(r)
		return nil
	case !now.Before(r.deadline):
		return engine.finishAtDeadline(now, r)
	case !r.retryAt.IsZero():
		if !r.idempotent() && (r.noMoreAttempts || !now.Before(r.term.Until)) {
			// The slot was handed over or the lease term has ended since the
			// upstream refused. No attempt is open and none will follow, so
			// the request has not run.
			return engine.finishWithRefusal(now, r, &NoLeaseError{}, true)
		}
		return engine.sendAttempt(now, r, false)
	case !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt):
		return engine.decideHedge(now, r)
	}
	// An idempotent request has had no answer for AttemptTimeout.
	if planned, _ := engine.planRetry(now, r, RetrySilence); !planned {
		r.noMoreAttempts = true
		engine.reschedule(r)
	}
	return nil
}

// finishAtDeadline ends a request at its deadline. Unless the upstream has refused
// all attempts, the outcome of a non-idempotent request is unknown.
func (engine *Engine) finishAtDeadline(now time.Time, r *record) []action.Action {
	switch {
	case !r.hasOpenAttempt():
		return engine.finishWithRefusal(now, r, &ExpiredError{Deadline: r.deadline}, true)
	case r.idempotent():
		return engine.finishWithRefusal(now, r, &ExpiredError{Deadline: r.deadline}, false)
	}
	return engine.finishWithRefusal(now, r, &OutcomeUnknownError{Cause: NoAnswer}, false)
}

// removeExpired removes answers already freed, handed-over requests that no longer
// count, unused retry budgets and unused state of extra attempts.
func (engine *Engine) removeExpired(now time.Time) {
	for len(engine.retainedAnswers) > 0 && engine.retainedAnswers[0].answer == nil {
		engine.popRetainedAnswer()
	}
	for id, until := range engine.decidedBefore {
		if now.After(until) {
			delete(engine.decidedBefore, id)
		}
	}
	for service, b := range engine.budgets {
		if now.Sub(b.lastUsed) > budgetLifetime {
			delete(engine.budgets, service)
		}
	}
	for service, h := range engine.hedging {
		if now.Sub(h.lastUsed) > budgetLifetime {
			delete(engine.hedging, service)
		}
	}
}

// HandleCancel handles a cancellation by the caller. It stops retries and forwards
// the cancellation to the upstream, for each open attempt or, if the request is not
// recorded here, for all attempts. An idempotent request and one without an open
// attempt end at once, any other one with the answer or refusal of the upstream or
// at its deadline.
func (engine *Engine) HandleCancel(now time.Time, p *pb.Packet) []action.Action {
	k, err := keyOf(p)
	if err != nil {
		engine.cfg.Observer.Dropped(DropMalformed)
		return nil
	}
	r := engine.records[k]
	if r == nil {
		// Another instance decided the request, so its attempt numbers are
		// unknown here.
		return []action.Action{cancellation(p, CancelAllAttempts, engine.cfg.ReplyTo)}
	}
	if r.done || r.cancelled {
		return nil
	}
	r.noMoreAttempts, r.cancelled = true, true
	if !r.hasOpenAttempt() {
		return engine.finishWithRefusal(now, r, &CancelledError{}, true)
	}
	var actions []action.Action
	for _, a := range r.attempts {
		if !a.closed {
			actions = append(actions, cancellation(p, a.number, engine.cfg.ReplyTo))
		}
	}
	if r.idempotent() {
		return append(actions, engine.finishWithRefusal(now, r, &CancelledError{}, false)...)
	}
	// Only the upstream knows whether a non-idempotent request has run.
	r.retryAt = time.Time{}
	engine.reschedule(r)
	return actions
}

// cancellation returns the packet that cancels an attempt at the upstream.
func cancellation(p *pb.Packet, number uint32, replyTo string) action.Action {
	return action.Forward{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_CANCEL, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Attempt: number, ReplyTo: replyTo,
	}}
}
