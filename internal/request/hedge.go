package request

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/hedge"
)

// shortFor is the time after an upstream of a service refused a request for lack of
// capacity in which the service gets no extra attempts.
const shortFor = time.Second

// serviceHedging is what the extra attempts of a service depend on.
type serviceHedging struct {
	// times holds the times from first attempts to the complete answer of their request.
	// Measured from the answered attempt, they would lack the long ones that an extra
	// attempt cut off, and more requests would be overdue than the budget pays for.
	times hedge.Histogram
	// shedAt is when an upstream last refused a request for lack of capacity.
	shedAt time.Time
	// lastUsed is when a request of the service last started.
	lastUsed time.Time
}

func (engine *Engine) hedgingOf(now time.Time, service string) *serviceHedging {
	h := engine.hedging[service]
	if h == nil {
		h = &serviceHedging{}
		engine.hedging[service] = h
	}
	h.lastUsed = now
	return h
}

// planHedge earns the share of a first attempt of an idempotent request and sets the time
// of the decision on its extra attempt.
func (engine *Engine) planHedge(now time.Time, r *record) {
	share := engine.cfg.HedgeShare
	if share <= 0 || !r.idempotent() {
		return
	}
	engine.hedgeBudget.Earn(now, share)
	h := engine.hedgingOf(now, r.service)
	r.hedgeAt = now.Add(hedge.Delay(now, &h.times, hedge.AffordableQuantile(share), engine.cfg.HedgeMinDelay))
}

// decideHedge sends an extra attempt of an idempotent request, or reports why it does
// not. The extra attempt goes to the upstream of the flow, which alone holds it.
func (engine *Engine) decideHedge(now time.Time, r *record) []action.Action {
	r.hedgeAt = time.Time{}
	result := hedge.Decide(hedge.Input{
		Idempotent: r.idempotent(), Answered: r.hasPart(), Upstream: true, Tokens: engine.hedgeBudget.Tokens(now),
		Short: now.Sub(engine.hedgingOf(now, r.service).shedAt) < shortFor,
	})
	engine.cfg.Observer.Hedged(result)
	if result != hedge.Sent {
		engine.reschedule(r)
		return nil
	}
	engine.hedgeBudget.Spend()
	return engine.sendAttempt(now, r, true)
}

// hasPart reports whether a part of an answer has been received.
func (r *record) hasPart() bool {
	for _, a := range r.attempts {
		if a.receivedParts > 0 {
			return true
		}
	}
	return false
}

// recordShed records that an upstream refused a request for lack of capacity.
func (engine *Engine) recordShed(now time.Time, r *record, p *pb.Packet) {
	if engine.cfg.HedgeShare > 0 && p.GetRefusal() == pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED {
		engine.hedgingOf(now, r.service).shedAt = now
	}
}

// settleHedge records the time until an answer, and cancels the other open attempts
// of a request that had an extra one. The answers that arrive for these are dropped.
func (engine *Engine) settleHedge(now time.Time, r *record, answered *attempt) []action.Action {
	r.hedgeAt = time.Time{}
	if engine.cfg.HedgeShare <= 0 || !r.idempotent() {
		return nil
	}
	count, _ := r.regularAttempts()
	if count == 1 {
		engine.hedgingOf(now, r.service).times.Record(now, now.Sub(r.attempts[0].sent))
	}
	if count == len(r.attempts) {
		return nil
	}
	if answered.extra {
		engine.cfg.Observer.Hedged(hedge.Won)
	}
	var cancellations []action.Action
	for _, a := range r.attempts {
		if a != answered && !a.closed {
			a.closed = true
			cancellations = append(cancellations, cancellation(r.packet, a.number, engine.cfg.ReplyTo))
		}
	}
	return cancellations
}
