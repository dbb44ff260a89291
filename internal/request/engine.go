package request

import (
	"errors"
	"math/rand/v2"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

// Engine decides requests. It is not safe for concurrent use.
type Engine struct {
	cfg     Config
	self    string
	rng     *rand.Rand
	records map[key]*record
	timers  timers
	budgets map[string]*budget
	// retained lists finished records with an answer, oldest first.
	retained []*record
	// bufferBytes counts the bytes of all partial and finished answers.
	bufferBytes int
	inFlight    int
	draining    bool
	// released maps a slot handed over to the start of the tenure it had.
	released map[uint32]time.Time
	// received maps a slot to the handover received for it.
	received map[uint32]*handover
	// decided holds the requests decided by previous holders, with the time
	// until which they count.
	decided map[uint64]time.Time
}

// New returns an engine for the instance named self.
func New(cfg Config, self string, rng *rand.Rand) *Engine {
	cfg.setDefaults()
	return &Engine{
		cfg: cfg, self: self, rng: rng,
		records:  make(map[key]*record),
		budgets:  make(map[string]*budget),
		released: make(map[uint32]time.Time),
		received: make(map[uint32]*handover),
		decided:  make(map[uint64]time.Time),
	}
}

// InFlight returns the number of requests that have no outcome yet.
func (e *Engine) InFlight() int { return e.inFlight }

// Records returns the number of requests remembered.
func (e *Engine) Records() int { return len(e.records) }

// HandleRequest decides a request or attaches a copy to the request's
// recorded outcome.
func (e *Engine) HandleRequest(now time.Time, p *pb.Packet, route Route) []action.Action {
	if p.GetAttempt() != 0 {
		return []action.Action{action.Forward{Packet: p}}
	}
	k, err := requestKey(p)
	if err != nil {
		return e.refuse(p, err, false)
	}
	if r := e.records[k]; r != nil {
		return e.attach(now, r, p, route)
	}
	deadline := time.UnixMilli(p.GetDeadlineUnixMs())
	if !now.Before(deadline) {
		return e.refuse(p, &ExpiredError{Deadline: deadline}, false)
	}
	// The fence of a new holder relies on this bound, so a deadline must not
	// exceed it even by the skew bound.
	if ahead := deadline.Sub(now); ahead > route.MaxTimeout {
		return e.refuse(p, &DeadlineTooFarError{Ahead: ahead, Maximum: route.MaxTimeout}, false)
	}
	r := &record{
		key: k, packet: p, team: route.Team, service: route.Service,
		deadline: deadline, expires: deadline.Add(e.cfg.ClockSkewLimit),
	}
	if p.GetIdempotent() {
		return e.decideIdempotent(now, r, route)
	}
	return e.decideOnce(now, r, route)
}

// decideIdempotent starts an idempotent request. Its refusals make no claim
// that it has not run, because a copy may run through another instance.
func (e *Engine) decideIdempotent(now time.Time, r *record, route Route) []action.Action {
	if e.draining {
		return e.redirect(r.packet, route, &ShuttingDownError{})
	}
	if len(e.records) >= e.cfg.MaxRecords {
		return e.refuse(r.packet, &QueueFullError{Records: len(e.records)}, false)
	}
	if refusal := e.admit(now, route); refusal != nil {
		return e.refuse(r.packet, refusal, false)
	}
	return e.start(now, r)
}

// decideOnce starts a non-idempotent request if this instance holds the lease
// slot and knows that nobody else can have forwarded it.
func (e *Engine) decideOnce(now time.Time, r *record, route Route) []action.Action {
	if !e.holds(now, r.key, route) {
		return e.redirect(r.packet, route, &NoLeaseError{Hops: route.Hops})
	}
	if e.draining {
		return e.refuse(r.packet, &ShuttingDownError{}, false)
	}
	if _, ok := e.decided[requestHash(r.key)]; ok {
		return e.refuse(r.packet, &OutcomeUnknownError{Cause: HandedOver}, false)
	}
	if e.fenced(r.key, r.deadline, route) {
		return e.refuse(r.packet, &OutcomeUnknownError{Cause: YoungTenure}, false)
	}
	if len(e.records) >= e.cfg.MaxRecords {
		// Without a record a later copy may run, so this makes no claim.
		return e.refuse(r.packet, &QueueFullError{Records: len(e.records)}, false)
	}
	r.tenure = route.Tenure
	if refusal := e.admit(now, route); refusal != nil {
		e.add(r)
		r.refusal, r.notRun, r.done = refusal, true, true
		e.reschedule(r)
		return e.refuse(r.packet, refusal, true)
	}
	return e.start(now, r)
}

// holds tells whether this instance may decide for the slot of a request now.
func (e *Engine) holds(now time.Time, k key, route Route) bool {
	if !route.Holds || !now.Before(route.Tenure.Until) {
		return false
	}
	start, ok := e.released[slotOf(k)]
	return !ok || !start.Equal(route.Tenure.Start)
}

// fenced tells whether a previous holder may have accepted the request. It
// accepted only deadlines up to its own clock plus the maximum timeout, and
// its clock was at most the skew bound ahead of this one.
func (e *Engine) fenced(k key, deadline time.Time, route Route) bool {
	if e.hasHistory(slotOf(k), route.Tenure) {
		return false
	}
	return !deadline.After(route.Tenure.Start.Add(e.fence(route)))
}

func (e *Engine) fence(route Route) time.Duration {
	return max(e.cfg.FenceTimeout, route.MaxTimeout) + e.cfg.ClockSkewLimit
}

// admit checks what may keep a new request from being sent.
func (e *Engine) admit(now time.Time, route Route) Refusal {
	switch route.Availability {
	case UpstreamDead:
		return &UpstreamDeadError{Service: route.Service}
	case DomainOut:
		return &DomainOutError{Service: route.Service}
	}
	if err := e.cfg.Limiter.Acquire(now, route.Team, route.Service); err != nil {
		return &LimitError{Err: err}
	}
	return nil
}

// start sends the first attempt of an admitted request.
func (e *Engine) start(now time.Time, r *record) []action.Action {
	e.inFlight++
	e.add(r)
	e.budget(now, r.service).deposit(e.cfg)
	return e.forward(now, r)
}

// forward sends one more attempt.
func (e *Engine) forward(now time.Time, r *record) []action.Action {
	deadline := r.deadline
	if !r.idempotent() && r.tenure.Until.Before(deadline) {
		deadline = r.tenure.Until
	}
	a := &attempt{number: e.attemptNumber(r), sent: now}
	r.attempts = append(r.attempts, a)
	r.retryAt = time.Time{}
	e.reschedule(r)
	p := r.packet
	return []action.Action{action.Forward{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Idempotent: p.GetIdempotent(),
		DeadlineUnixMs: deadline.UnixMilli(), Attempt: a.number, Payload: p.GetPayload(),
		ReplyTo: e.cfg.ReplyTo,
	}}}
}

// attemptNumber draws a number that differs from those of other instances and
// earlier lives of this one with high probability, so that a caller can keep
// the answers of two executions of an idempotent request apart.
func (e *Engine) attemptNumber(r *record) uint32 {
	for {
		n := e.rng.Uint32()
		if n != 0 && n != CancelAllAttempts && r.find(n) == nil {
			return n
		}
	}
}

// attach handles a copy of a known request.
func (e *Engine) attach(now time.Time, r *record, p *pb.Packet, route Route) []action.Action {
	// A copy with a later deadline must not outlive the record.
	limit := now.Add(e.cfg.FenceTimeout)
	if d := time.UnixMilli(p.GetDeadlineUnixMs()); d.Before(limit) {
		limit = d
	}
	if t := limit.Add(e.cfg.ClockSkewLimit); t.After(r.expires) {
		r.expires = t
		e.reschedule(r)
	}
	if route.Holds && route.Tenure.Start.Equal(r.tenure.Start) && route.Tenure.Until.After(r.tenure.Until) {
		r.tenure.Until = route.Tenure.Until
	}
	if !r.done {
		e.cfg.Observer.Dropped(DropAttached)
		return nil
	}
	return e.outcome(r)
}

// outcome sends the recorded outcome to the caller.
func (e *Engine) outcome(r *record) []action.Action {
	if r.refusal != nil {
		return e.refuse(r.packet, r.refusal, r.notRun)
	}
	actions := make([]action.Action, len(r.answer))
	for i, part := range r.answer {
		actions[i] = action.SendCaller{Packet: part}
	}
	return actions
}

// finish ends a request in flight and releases what it holds.
func (e *Engine) finish(now time.Time, r *record) {
	r.done = true
	r.retryAt = time.Time{}
	e.inFlight--
	e.cfg.Limiter.Release(now, r.team, r.service)
	e.reschedule(r)
}

// fail ends a request in flight with a refusal. For an idempotent request
// notRun is false.
func (e *Engine) fail(now time.Time, r *record, refusal Refusal, notRun bool) []action.Action {
	r.refusal, r.notRun = refusal, notRun && !r.idempotent()
	e.finish(now, r)
	if r.notRun || r.idempotent() {
		e.dropBuffers(r)
	}
	return e.outcome(r)
}

// redirect passes a packet to the instance that may decide it.
func (e *Engine) redirect(p *pb.Packet, route Route, otherwise Refusal) []action.Action {
	if route.Holder == "" || route.Holder == e.self || route.Hops >= MaxHops {
		return e.refuse(p, otherwise, false)
	}
	return []action.Action{action.SendPeer{
		Instance: route.Holder, Address: route.HolderAddress,
		Message: &pb.PeerMessage{From: e.self, Body: &pb.PeerMessage_Redirect{
			Redirect: &pb.RedirectedPacket{Packet: p, Revision: route.Revision, Hops: route.Hops + 1},
		}},
	}}
}

// refuse tells the caller why a request was refused.
func (e *Engine) refuse(p *pb.Packet, refusal Refusal, notRun bool) []action.Action {
	e.cfg.Observer.Refused(refusal)
	return []action.Action{action.SendCaller{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REFUSAL, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Idempotent: p.GetIdempotent(),
		Refusal: refusal.Reason(), NotRun: notRun,
	}}}
}

func requestKey(p *pb.Packet) (key, Refusal) {
	k, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		field := "flow"
		var address *flow.AddressError
		if errors.As(err, &address) {
			field = address.Field
		}
		return key{}, &MalformedError{Field: field, Err: err}
	}
	if p.GetRequestId() == 0 {
		return key{}, &MalformedError{Field: "request id"}
	}
	if p.GetDeadlineUnixMs() <= 0 {
		return key{}, &MalformedError{Field: "deadline"}
	}
	return key{flow: k, id: p.GetRequestId()}, nil
}
