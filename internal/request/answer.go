package request

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

// HandleAnswer takes a part of an answer, a refusal or an unknown-flow message
// of an upstream.
func (e *Engine) HandleAnswer(now time.Time, p *pb.Packet) []action.Action {
	k, err := cancelKey(p)
	if err != nil {
		return e.drop(DropMalformed)
	}
	r := e.records[k]
	if r == nil {
		return e.drop(DropNoRequest)
	}
	a := r.find(p.GetAttempt())
	if a == nil || a.closed {
		return e.drop(DropOtherAttempt)
	}
	switch p.GetKind() {
	case pb.PacketKind_PACKET_KIND_ANSWER:
		return e.handlePart(now, r, a, p)
	case pb.PacketKind_PACKET_KIND_REFUSAL, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW:
		if r.done {
			return e.drop(DropOtherAttempt)
		}
		return e.handleRefusal(now, r, a, p)
	}
	return e.drop(DropMalformed)
}

// handlePart stores one part; the last missing one completes the answer.
func (e *Engine) handlePart(now time.Time, r *record, a *attempt, p *pb.Packet) []action.Action {
	if r.done && !r.awaitsLateAnswer() {
		return e.drop(DropOtherAttempt)
	}
	if a.tooLarge {
		return e.drop(DropTooLarge)
	}
	if reason := e.checkPart(a, p); reason != 0 {
		return e.drop(reason)
	}
	size := len(p.GetPayload())
	if int(p.GetParts()) > e.cfg.MaxParts || a.bytes+size > e.cfg.MaxAnswerBytes || !e.reserve(size) {
		return e.tooLarge(now, r, a)
	}
	if a.parts == nil {
		a.parts = make([]*pb.Packet, p.GetParts())
	}
	a.parts[p.GetPart()] = p
	a.got++
	a.bytes += size
	if a.got < len(a.parts) {
		return nil
	}
	return e.complete(now, r, a)
}

func (e *Engine) checkPart(a *attempt, p *pb.Packet) DropReason {
	switch {
	case p.GetParts() == 0 || p.GetPart() >= p.GetParts():
		return DropInvalidPart
	case a.parts == nil:
		return 0
	case int(p.GetParts()) != len(a.parts):
		return DropInvalidPart
	case a.parts[p.GetPart()] != nil:
		return DropDuplicatePart
	}
	return 0
}

// awaitsLateAnswer tells whether an answer still replaces the outcome: the
// caller was told that a non-idempotent request may have run.
func (r *record) awaitsLateAnswer() bool {
	unknown, ok := r.refusal.(*OutcomeUnknownError)
	return ok && (unknown.Cause == NoAnswer || unknown.Cause == UnclearRefusal)
}

// complete turns a whole answer into the outcome and delivers it.
func (e *Engine) complete(now time.Time, r *record, a *attempt) []action.Action {
	answer, size := a.parts, a.bytes
	a.parts, a.bytes = nil, 0
	e.dropBuffers(r)
	for i, part := range answer {
		answer[i] = &pb.Packet{
			Kind: pb.PacketKind_PACKET_KIND_ANSWER, Caller: r.packet.GetCaller(),
			Service: r.packet.GetService(), FlowId: r.packet.GetFlowId(), RequestId: r.packet.GetRequestId(),
			Idempotent: r.packet.GetIdempotent(), Part: part.GetPart(), Parts: part.GetParts(),
			Attempt: a.number, Payload: part.GetPayload(), BootId: part.GetBootId(), Upstream: part.GetUpstream(),
		}
	}
	r.answer, r.bytes, r.refusal, r.notRun = answer, size, nil, false
	if !r.done {
		e.finish(now, r)
	}
	e.retained = append(e.retained, r)
	return e.outcome(r)
}

// handleRefusal handles an upstream that did not take an attempt.
func (e *Engine) handleRefusal(now time.Time, r *record, a *attempt, p *pb.Packet) []action.Action {
	if r.idempotent() {
		return e.refusedIdempotent(now, r, a, p)
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW && !p.GetNotRun() {
		// The request may overtake the flow's OPEN and a duplicate of it may
		// run later, so only a promise counts; the answer may still come.
		return e.drop(DropOtherAttempt)
	}
	if !p.GetNotRun() {
		return e.fail(now, r, &OutcomeUnknownError{Cause: UnclearRefusal}, false)
	}
	a.closed = true
	if r.cancelled {
		return e.fail(now, r, &CancelledError{}, true)
	}
	planned, denied := e.retry(now, r, retryReason(p))
	if planned {
		return nil
	}
	if denied != nil {
		return e.fail(now, r, denied, true)
	}
	return e.fail(now, r, upstreamRefusal(r, p), true)
}

func (e *Engine) refusedIdempotent(now time.Time, r *record, a *attempt, p *pb.Packet) []action.Action {
	a.closed = true
	if !r.retryAt.IsZero() || r.open() {
		// A retry is planned or under way.
		return nil
	}
	planned, denied := e.retry(now, r, retryReason(p))
	if planned {
		return nil
	}
	if denied != nil {
		return e.fail(now, r, denied, false)
	}
	return e.fail(now, r, upstreamRefusal(r, p), false)
}

func upstreamRefusal(r *record, p *pb.Packet) Refusal {
	if p.GetRefusal() == pb.RefusalReason_REFUSAL_REASON_EXPIRED {
		return &ExpiredError{Deadline: r.deadline}
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW {
		return &UpstreamRefusalError{Given: pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM}
	}
	return &UpstreamRefusalError{Given: p.GetRefusal()}
}

func retryReason(p *pb.Packet) RetryReason {
	if p.GetKind() == pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW {
		return RetryUnknownFlow
	}
	switch p.GetRefusal() {
	case pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED:
		return RetryShed
	case pb.RefusalReason_REFUSAL_REASON_EXPIRED:
		return RetryExpired
	}
	return RetryRefused
}

// tooLarge gives up an answer that exceeds its bounds.
func (e *Engine) tooLarge(now time.Time, r *record, a *attempt) []action.Action {
	e.cfg.Observer.Dropped(DropTooLarge)
	e.dropAttempt(a)
	a.tooLarge = true
	if r.done {
		r.refusal = &OutcomeUnknownError{Cause: AnswerTooLarge}
		return nil
	}
	return e.fail(now, r, &OutcomeUnknownError{Cause: AnswerTooLarge}, false)
}

// reserve makes room for answer bytes, dropping the oldest finished answers
// first. Copies of their requests then get an unknown outcome.
func (e *Engine) reserve(size int) bool {
	for e.bufferBytes+size > e.cfg.MaxBufferBytes && len(e.retained) > 0 {
		if r := e.popRetained(); r.answer != nil {
			e.dropBuffers(r)
			r.refusal = &OutcomeUnknownError{Cause: AnswerTooLarge}
		}
	}
	if e.bufferBytes+size > e.cfg.MaxBufferBytes {
		return false
	}
	e.bufferBytes += size
	return true
}

func (e *Engine) popRetained() *record {
	r := e.retained[0]
	e.retained[0] = nil
	e.retained = e.retained[1:]
	return r
}

func (e *Engine) dropAttempt(a *attempt) {
	e.bufferBytes -= a.bytes
	a.parts, a.got, a.bytes = nil, 0, 0
}

func (e *Engine) dropBuffers(r *record) {
	for _, a := range r.attempts {
		e.dropAttempt(a)
	}
	e.bufferBytes -= r.bytes
	r.answer, r.bytes = nil, 0
}

func (e *Engine) drop(reason DropReason) []action.Action {
	e.cfg.Observer.Dropped(reason)
	return nil
}

func cancelKey(p *pb.Packet) (key, error) {
	k, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	return key{flow: k, id: p.GetRequestId()}, err
}
