package request

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
)

// HandleAnswer handles a part of an answer, a refusal or an unknown-flow packet
// of an upstream. It returns the packets for the caller once the request has an
// outcome. Packets without a known request or open attempt are counted as dropped.
func (engine *Engine) HandleAnswer(now time.Time, p *pb.Packet) []action.Action {
	k, err := keyOf(p)
	if err != nil {
		return engine.countDrop(DropMalformed)
	}
	r := engine.records[k]
	if r == nil {
		return engine.countDrop(DropNoRequest)
	}
	a := r.findAttempt(p.GetAttempt())
	if a == nil || a.closed {
		return engine.countDrop(DropOtherAttempt)
	}
	switch p.GetKind() {
	case pb.PacketKind_PACKET_KIND_ANSWER:
		return engine.handlePart(now, r, a, p)
	case pb.PacketKind_PACKET_KIND_REFUSAL, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW:
		if r.done {
			return engine.countDrop(DropOtherAttempt)
		}
		engine.recordShed(now, r, p)
		return engine.handleRefusal(now, r, a, p)
	}
	return engine.countDrop(DropMalformed)
}

// handlePart stores one part of an answer. The last missing part completes it.
func (engine *Engine) handlePart(now time.Time, r *record, a *attempt, p *pb.Packet) []action.Action {
	if r.done && !r.awaitsLateAnswer() {
		return engine.countDrop(DropOtherAttempt)
	}
	if a.tooLarge {
		return engine.countDrop(DropTooLarge)
	}
	if reason := engine.checkPart(a, p); reason != 0 {
		return engine.countDrop(reason)
	}
	size := len(p.GetPayload())
	if int(p.GetParts()) > engine.cfg.MaxParts || a.bytes+size > engine.cfg.MaxAnswerBytes || !engine.reserveBytes(size) {
		return engine.rejectLargeAnswer(now, r, a)
	}
	if a.parts == nil {
		a.parts = make([]*pb.Packet, p.GetParts())
	}
	a.parts[p.GetPart()] = p
	a.receivedParts++
	a.bytes += size
	if a.receivedParts < len(a.parts) {
		return nil
	}
	return engine.completeAnswer(now, r, a)
}

// checkPart returns the reason to drop a part, 0 if it fits the attempt.
func (engine *Engine) checkPart(a *attempt, p *pb.Packet) DropReason {
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

// awaitsLateAnswer reports whether a late answer replaces the outcome: the caller
// was told that the request may have run, because the upstream did not answer or
// refused without "not run".
func (r *record) awaitsLateAnswer() bool {
	unknown, ok := r.refusal.(*OutcomeUnknownError)
	return ok && (unknown.Cause == NoAnswer || unknown.Cause == UnclearRefusal)
}

// completeAnswer makes a complete answer the outcome of the request and sends it
// to the caller. It cancels the loser of an extra attempt.
func (engine *Engine) completeAnswer(now time.Time, r *record, a *attempt) []action.Action {
	answer, size := a.parts, a.bytes
	a.parts, a.bytes = nil, 0
	engine.discardAnswers(r)
	for i, part := range answer {
		answer[i] = &pb.Packet{
			Kind: pb.PacketKind_PACKET_KIND_ANSWER, Caller: r.packet.GetCaller(),
			Service: r.packet.GetService(), FlowId: r.packet.GetFlowId(), RequestId: r.packet.GetRequestId(),
			Idempotent: r.packet.GetIdempotent(), Part: part.GetPart(), Parts: part.GetParts(),
			Attempt: a.number, Payload: part.GetPayload(), BootId: part.GetBootId(), Upstream: part.GetUpstream(),
		}
	}
	r.answer, r.bytes, r.refusal, r.notRun = answer, size, nil, false
	var cancellations []action.Action
	if !r.done {
		engine.finishRequest(now, r)
		cancellations = engine.settleHedge(now, r, a)
	}
	engine.retainedAnswers = append(engine.retainedAnswers, r)
	return append(engine.sendOutcome(r), cancellations...)
}

// handleRefusal handles the refusal of an attempt by the upstream: the request is
// retried or ends with a refusal.
func (engine *Engine) handleRefusal(now time.Time, r *record, a *attempt, p *pb.Packet) []action.Action {
	if r.idempotent() {
		return engine.refusedIdempotent(now, r, a, p)
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW && !p.GetNotRun() {
		// The request may overtake the flow's OPEN packet, and a duplicate of
		// the request may run later. So only a refusal with "not run" counts,
		// and the answer may still arrive.
		return engine.countDrop(DropOtherAttempt)
	}
	if !p.GetNotRun() {
		return engine.finishWithRefusal(now, r, &OutcomeUnknownError{Cause: UnclearRefusal}, false)
	}
	a.closed = true
	if r.cancelled {
		return engine.finishWithRefusal(now, r, &CancelledError{}, true)
	}
	planned, denied := engine.planRetry(now, r, retryReason(p))
	if planned {
		return nil
	}
	if denied != nil {
		return engine.finishWithRefusal(now, r, denied, true)
	}
	return engine.finishWithRefusal(now, r, upstreamRefusal(r, p), true)
}

// refusedIdempotent handles the refusal of an attempt of an idempotent request. It
// ends the request only if no retry is planned and no other attempt is open.
func (engine *Engine) refusedIdempotent(now time.Time, r *record, a *attempt, p *pb.Packet) []action.Action {
	a.closed = true
	if !r.retryAt.IsZero() || r.hasOpenAttempt() {
		// A retry is planned or under way.
		return nil
	}
	planned, denied := engine.planRetry(now, r, retryReason(p))
	if planned {
		return nil
	}
	if denied != nil {
		return engine.finishWithRefusal(now, r, denied, false)
	}
	return engine.finishWithRefusal(now, r, upstreamRefusal(r, p), false)
}

// upstreamRefusal returns the refusal of the upstream as one for the caller.
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

// rejectLargeAnswer discards an answer that exceeds its bounds. The outcome of the
// request is then unknown.
func (engine *Engine) rejectLargeAnswer(now time.Time, r *record, a *attempt) []action.Action {
	engine.cfg.Observer.Dropped(DropTooLarge)
	engine.discardParts(a)
	a.tooLarge = true
	if r.done {
		r.refusal = &OutcomeUnknownError{Cause: AnswerTooLarge}
		return nil
	}
	return engine.finishWithRefusal(now, r, &OutcomeUnknownError{Cause: AnswerTooLarge}, false)
}

// reserveBytes reserves buffer space for a part of an answer and reports whether
// there is enough. It discards the oldest complete answers first if necessary;
// later copies of their requests get an unknown outcome.
func (engine *Engine) reserveBytes(size int) bool {
	for engine.bufferBytes+size > engine.cfg.MaxBufferBytes && len(engine.retainedAnswers) > 0 {
		if r := engine.popRetainedAnswer(); r.answer != nil {
			engine.discardAnswers(r)
			r.refusal = &OutcomeUnknownError{Cause: AnswerTooLarge}
		}
	}
	if engine.bufferBytes+size > engine.cfg.MaxBufferBytes {
		return false
	}
	engine.bufferBytes += size
	return true
}

func (engine *Engine) popRetainedAnswer() *record {
	r := engine.retainedAnswers[0]
	engine.retainedAnswers[0] = nil
	engine.retainedAnswers = engine.retainedAnswers[1:]
	return r
}

// discardParts frees the parts that an attempt has received.
func (engine *Engine) discardParts(a *attempt) {
	engine.bufferBytes -= a.bytes
	a.parts, a.receivedParts, a.bytes = nil, 0, 0
}

// discardAnswers frees the parts of all attempts and the complete answer.
func (engine *Engine) discardAnswers(r *record) {
	for _, a := range r.attempts {
		engine.discardParts(a)
	}
	engine.bufferBytes -= r.bytes
	r.answer, r.bytes = nil, 0
}

func (engine *Engine) countDrop(reason DropReason) []action.Action {
	engine.cfg.Observer.Dropped(reason)
	return nil
}

// keyOf returns the key of the request that a packet refers to.
func keyOf(p *pb.Packet) (requestKey, error) {
	k, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	return requestKey{flow: k, id: p.GetRequestId()}, err
}
