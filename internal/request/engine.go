package request

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/hedge"
)

// Engine decides requests and records their outcomes. It is not safe for
// concurrent use.
type Engine struct {
	cfg     Config
	self    string
	rng     *rand.Rand
	records map[requestKey]*record
	timers  timerHeap
	budgets map[string]*budget
	// hedgeBudget limits the extra attempts of all services, hedging holds what they
	// depend on by service; it is empty while HedgeShare is 0.
	hedgeBudget hedge.Budget
	hedging     map[string]*serviceHedging
	// retainedAnswers has the finished records with an answer, oldest first. A
	// record whose answer was freed leaves it when it becomes the oldest one.
	retainedAnswers []*record
	// bufferBytes is the number of payload bytes of all partial and complete
	// answers.
	bufferBytes int
	inFlight    int  // requests without an outcome
	draining    bool // true once Drain was called
	// releasedTerms has the start of the latest lease term that EndTerms ended, by
	// slot.
	releasedTerms map[uint32]time.Time
	// receivedHandovers has the latest handover received, by slot. It is removed
	// when this instance hands the slot over.
	receivedHandovers map[uint32]*handover
	// decidedBefore has the time until which a request that a previous holder
	// decided counts, by request hash. Tick removes it afterwards.
	decidedBefore map[uint64]time.Time
}

// New returns an Engine for the instance named self.
func New(cfg Config, self string, rng *rand.Rand) *Engine {
	cfg.setDefaults()
	return &Engine{
		cfg: cfg, self: self, rng: rng,
		records:           make(map[requestKey]*record),
		budgets:           make(map[string]*budget),
		hedging:           make(map[string]*serviceHedging),
		releasedTerms:     make(map[uint32]time.Time),
		receivedHandovers: make(map[uint32]*handover),
		decidedBefore:     make(map[uint64]time.Time),
	}
}

// InFlight returns the number of requests that have no outcome yet.
func (engine *Engine) InFlight() int { return engine.inFlight }

// Records returns the number of recorded requests, finished ones included.
func (engine *Engine) Records() int { return len(engine.records) }

// HandleRequest decides a request: it is forwarded to the upstream, redirected to
// another instance or refused. For a copy of a recorded request it returns the
// recorded outcome, if there is one yet. A packet that has an attempt number was
// decided before and is forwarded unchanged.
func (engine *Engine) HandleRequest(now time.Time, p *pb.Packet, route Route) []action.Action {
	if p.GetAttempt() != 0 {
		return []action.Action{action.Forward{Packet: p}}
	}
	k, err := validatedKey(p)
	if err != nil {
		return engine.sendRefusal(p, err, false)
	}
	if r := engine.records[k]; r != nil {
		return engine.handleCopy(now, r, p, route)
	}
	deadline := time.UnixMilli(p.GetDeadlineUnixMs())
	if !now.Before(deadline) {
		return engine.sendRefusal(p, &ExpiredError{Deadline: deadline}, false)
	}
	// A new holder relies on this bound when it refuses requests of its
	// predecessor, so no skew is added to it.
	if ahead := deadline.Sub(now); ahead > route.MaxTimeout {
		return engine.sendRefusal(p, &DeadlineTooFarError{Ahead: ahead, Maximum: route.MaxTimeout}, false)
	}
	r := &record{
		key: k, packet: p, team: route.Team, service: route.Service,
		deadline: deadline, expires: deadline.Add(engine.cfg.ClockSkewLimit),
	}
	if p.GetIdempotent() {
		return engine.decideIdempotent(now, r, route)
	}
	return engine.decideNonIdempotent(now, r, route)
}

// decideIdempotent starts an idempotent request, or refuses or redirects it. Its
// refusals never say "not run", because a copy may run through another instance.
func (engine *Engine) decideIdempotent(now time.Time, r *record, route Route) []action.Action {
	if engine.draining {
		return engine.redirectPacket(r.packet, route, &ShuttingDownError{})
	}
	if len(engine.records) >= engine.cfg.MaxRecords {
		return engine.sendRefusal(r.packet, &QueueFullError{Records: len(engine.records)}, false)
	}
	if refusal := engine.admit(now, route); refusal != nil {
		return engine.sendRefusal(r.packet, refusal, false)
	}
	return engine.startRequest(now, r)
}

// decideNonIdempotent starts a non-idempotent request if this instance holds the
// lease slot and knows that no other instance can have forwarded the request.
func (engine *Engine) decideNonIdempotent(now time.Time, r *record, route Route) []action.Action {
	if !engine.mayDecide(now, r.key, route) {
		return engine.redirectPacket(r.packet, route, &NoLeaseError{Hops: route.Hops})
	}
	if engine.draining {
		return engine.sendRefusal(r.packet, &ShuttingDownError{}, false)
	}
	if _, ok := engine.decidedBefore[requestHash(r.key)]; ok {
		return engine.sendRefusal(r.packet, &OutcomeUnknownError{Cause: HandedOver}, false)
	}
	if engine.mayHaveRunBefore(r.key, r.deadline, route) {
		return engine.sendRefusal(r.packet, &OutcomeUnknownError{Cause: YoungTenure}, false)
	}
	if len(engine.records) >= engine.cfg.MaxRecords {
		// Without a record a later copy may run, so the refusal does not say
		// "not run".
		return engine.sendRefusal(r.packet, &QueueFullError{Records: len(engine.records)}, false)
	}
	r.term = route.Term
	if refusal := engine.admit(now, route); refusal != nil {
		engine.addRecord(r)
		r.refusal, r.notRun, r.done = refusal, true, true
		engine.reschedule(r)
		return engine.sendRefusal(r.packet, refusal, true)
	}
	return engine.startRequest(now, r)
}

// mayDecide reports whether this instance may decide for the slot of a request at
// now: it holds the slot, the lease term has not ended and was not handed over.
func (engine *Engine) mayDecide(now time.Time, k requestKey, route Route) bool {
	if !route.HoldsSlot || !now.Before(route.Term.Until) {
		return false
	}
	start, ok := engine.releasedTerms[slotOf(k)]
	return !ok || !start.Equal(route.Term.Start)
}

// mayHaveRunBefore reports whether a previous holder may have accepted the
// request. It accepted only deadlines up to the maximum timeout after its own
// time, and its clock was at most the skew limit ahead of this one.
func (engine *Engine) mayHaveRunBefore(k requestKey, deadline time.Time, route Route) bool {
	if engine.knowsEarlierRequests(slotOf(k), route.Term) {
		return false
	}
	return !deadline.After(route.Term.Start.Add(engine.fenceDuration(route)))
}

// fenceDuration returns the time after the start of a lease term up to which a previous
// holder may have accepted deadlines.
func (engine *Engine) fenceDuration(route Route) time.Duration {
	return max(engine.cfg.MaxDeclaredTimeout, route.MaxTimeout) + engine.cfg.ClockSkewLimit
}

// admit returns the refusal of a request whose upstream is not available or that
// exceeds a limit, nil if it may be sent. The Limiter then counts it as admitted.
func (engine *Engine) admit(now time.Time, route Route) Refusal {
	switch route.Availability {
	case UpstreamDead:
		return &UpstreamDeadError{Service: route.Service}
	case DomainOut:
		return &DomainOutError{Service: route.Service}
	}
	if err := engine.cfg.Limiter.Acquire(now, route.Team, route.Service); err != nil {
		return &LimitError{Err: err}
	}
	return nil
}

// startRequest records an admitted request and sends its first attempt.
func (engine *Engine) startRequest(now time.Time, r *record) []action.Action {
	engine.inFlight++
	engine.addRecord(r)
	engine.budgetOf(now, r.service).deposit(engine.cfg)
	engine.planHedge(now, r)
	return engine.sendAttempt(now, r, false)
}

// sendAttempt sends one more attempt, which may be an extra one. The upstream must not run an attempt of a
// non-idempotent request after the end of the lease term.
func (engine *Engine) sendAttempt(now time.Time, r *record, extra bool) []action.Action {
	deadline := r.deadline
	if !r.idempotent() && r.term.Until.Before(deadline) {
		deadline = r.term.Until
	}
	a := &attempt{number: engine.attemptNumber(r), sent: now, extra: extra}
	r.attempts = append(r.attempts, a)
	r.retryAt = time.Time{}
	engine.reschedule(r)
	p := r.packet
	return []action.Action{action.Forward{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Idempotent: p.GetIdempotent(),
		DeadlineUnixMs: deadline.UnixMilli(), Attempt: a.number, Payload: p.GetPayload(),
		ReplyTo: engine.cfg.ReplyTo,
	}}}
}

// attemptNumber returns a random number that most probably differs from those of
// other instances and of earlier runs of this one, so that a caller can tell the
// answers of two executions of an idempotent request apart.
func (engine *Engine) attemptNumber(r *record) uint32 {
	for {
		n := engine.rng.Uint32()
		if n != 0 && n != CancelAllAttempts && r.findAttempt(n) == nil {
			return n
		}
	}
}

// handleCopy handles a copy of a recorded request. It sends the recorded outcome,
// or drops the copy while there is none.
func (engine *Engine) handleCopy(now time.Time, r *record, p *pb.Packet, route Route) []action.Action {
	// The record must not expire before a copy with a later deadline does.
	limit := now.Add(engine.cfg.MaxDeclaredTimeout)
	if d := time.UnixMilli(p.GetDeadlineUnixMs()); d.Before(limit) {
		limit = d
	}
	if t := limit.Add(engine.cfg.ClockSkewLimit); t.After(r.expires) {
		r.expires = t
		engine.reschedule(r)
	}
	if route.HoldsSlot && route.Term.Start.Equal(r.term.Start) && route.Term.Until.After(r.term.Until) {
		r.term.Until = route.Term.Until
	}
	if !r.done {
		engine.cfg.Observer.Dropped(DropCopyInFlight)
		return nil
	}
	return engine.sendOutcome(r)
}

// sendOutcome sends the recorded outcome to the caller.
func (engine *Engine) sendOutcome(r *record) []action.Action {
	if r.refusal != nil {
		return engine.sendRefusal(r.packet, r.refusal, r.notRun)
	}
	actions := make([]action.Action, len(r.answer))
	for i, part := range r.answer {
		actions[i] = action.SendCaller{Packet: part}
	}
	return actions
}

// finishRequest marks a request in flight as finished and releases its admission.
func (engine *Engine) finishRequest(now time.Time, r *record) {
	r.done = true
	r.retryAt = time.Time{}
	engine.inFlight--
	engine.cfg.Limiter.Release(now, r.team, r.service)
	engine.reschedule(r)
}

// finishWithRefusal ends a request in flight with a refusal and sends it. The
// refusal of an idempotent request never says "not run".
func (engine *Engine) finishWithRefusal(now time.Time, r *record, refusal Refusal, notRun bool) []action.Action {
	r.refusal, r.notRun = refusal, notRun && !r.idempotent()
	engine.finishRequest(now, r)
	if r.notRun || r.idempotent() {
		engine.discardAnswers(r)
	}
	return engine.sendOutcome(r)
}

// redirectPacket sends a packet to the instance that may decide it, or refuses it
// if there is none or the packet has had MaxHops redirects.
func (engine *Engine) redirectPacket(p *pb.Packet, route Route, fallback Refusal) []action.Action {
	if route.Holder == "" || route.Holder == engine.self || route.Hops >= MaxHops {
		return engine.sendRefusal(p, fallback, false)
	}
	return []action.Action{action.SendPeer{
		Instance: route.Holder, Address: route.HolderAddress,
		Message: &pb.PeerMessage{From: engine.self, Body: &pb.PeerMessage_Redirect{
			Redirect: &pb.RedirectedPacket{Packet: p, Revision: route.Revision, Hops: route.Hops + 1},
		}},
	}}
}

// sendRefusal sends a refusal to the caller.
func (engine *Engine) sendRefusal(p *pb.Packet, refusal Refusal, notRun bool) []action.Action {
	engine.cfg.Observer.Refused(refusal)
	return []action.Action{action.SendCaller{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REFUSAL, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Idempotent: p.GetIdempotent(),
		Refusal: refusal.Reason(), NotRun: notRun,
	}}}
}

// validatedKey returns the key of a request, or a refusal if a field of the packet
// is missing or invalid.
func validatedKey(p *pb.Packet) (requestKey, Refusal) {
	k, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		field := "flow"
		var address *flow.AddressError
		if errors.As(err, &address) {
			field = address.Field
		}
		return requestKey{}, &MalformedError{Field: field, Err: err}
	}
	if p.GetRequestId() == 0 {
		return requestKey{}, &MalformedError{Field: "request id"}
	}
	if p.GetDeadlineUnixMs() <= 0 {
		return requestKey{}, &MalformedError{Field: "deadline"}
	}
	return requestKey{flow: k, id: p.GetRequestId()}, nil
}
