package forward

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/overload"
)

const (
	// flowIdle is how long after its last packet a flow counts as load of its upstream:
	// upstreams close idle connections after about 12 s.
	flowIdle = 12 * time.Second
	// maxTargets is the maximum number of upstreams remembered for one opening packet
	// and its copies, without that of an extra attempt.
	maxTargets = 3
	// openTimeout is how long the packet that follows an opening packet may take: ten
	// times the users' longest round trip through an instance.
	openTimeout = 50 * time.Millisecond
	// retryWindow is how long after its last packet an unanswered flow counts against
	// its upstreams when the same caller opens another flow: callers give up after
	// 1.4 s.
	retryWindow = 1400 * time.Millisecond
	// minResetTime is the least time in which a caller can have received a reset: one
	// round trip. Flows that a caller opens within this time are unrelated.
	minResetTime = time.Millisecond
)

// pendingOpen is an opening packet that waits for the packet that follows it.
type pendingOpen struct {
	record *flowRecord
	target flowcookie.Cookie
	sentAt time.Time
}

// flowRecord is the state that an engine keeps of one flow.
type flowRecord struct {
	flow Flow
	// seq is the sequence number of the opening packet. When the instance did not see
	// the flow open, it is that of the first packet seen, or HandoverFlow.DataEnd for a
	// flow that was handed over.
	seq uint32
	// targets holds the upstreams that the opening packet and its copies were sent to,
	// in order; the first attempts elements are in use. From the first packet that
	// follows, targets[0] is the flow's upstream. It is then the only element, unless a
	// late copy of the opening packet adds another.
	targets  targetList
	attempts int
	// opening holds, for each element of targets, whether it counts in
	// upstreamLoad.opening.
	opening  [maxTargets + 1]bool
	answered bool
	// confirmed is true when targets[0] is the upstream whose answer the caller accepted: the
	// first packet after the opening packet named it, or a later packet with its cookie
	// acknowledged more.
	confirmed bool
	// hedge is the extra attempt that the opening packet waits for or got; nil without one,
	// and from the first packet that follows when none was sent.
	hedge *hedgeWait
	// ack is the caller's highest acknowledgement, dataEnd the end of the data that the
	// caller has sent; both are sequence numbers.
	ack, dataEnd uint32
	// requestSentAt is when the caller sent the data that waits for an answer; zero
	// when none does.
	requestSentAt time.Time
	// acksPromptly is true when the answer to the last request was acknowledged before
	// the next request. Only then does a missing acknowledgement show a missing answer.
	acksPromptly bool
	// waiting is true while the request counts in upstreamLoad.waiting, waitingSince is when
	// that began, as the time since Engine.epoch: a time.Time takes 16 bytes more per flow.
	// waitedOut is set when a request has counted for maxWait, until the next answer; used
	// with Config.OverloadControl.
	waiting, waitedOut bool
	waitingSince       time.Duration
	// inFlight is true while the request counts in Engine.inFlight.
	inFlight bool
	// repeated is true when the caller has repeated data since the last acknowledgement.
	repeated bool
	// response is the response to the last request; used with Config.OverloadControl.
	response responseRecord
	// opened is when the first copy of the opening packet arrived; zero when it did not pass
	// this instance.
	opened   time.Time
	lastSeen time.Time
	// use counts the uses of the flow's route; nil unless Config.OverloadControl is set.
	use *overload.Activity
}

// targetList holds the upstreams of the caller's copies and of one extra attempt.
type targetList [maxTargets + 1]flowcookie.Cookie

func (r *flowRecord) triedTargets() []flowcookie.Cookie { return r.targets[:r.attempts] }

// hash returns the hash by which flows are distributed. It includes the opening
// sequence number, so that a new flow on a reused port is distributed anew.
func (f Flow) hash(seq uint32) uint64 {
	var key [16]byte
	caller, service := f.Caller.Addr().As4(), f.Service.Addr().As4()
	copy(key[0:], caller[:])
	copy(key[4:], service[:])
	binary.BigEndian.PutUint16(key[8:], f.Caller.Port())
	binary.BigEndian.PutUint16(key[10:], f.Service.Port())
	binary.BigEndian.PutUint32(key[12:], seq)
	return xxhash.Sum64(key[:])
}

// flowTable holds at most limit flow records.
type flowTable struct {
	limit   int
	records map[Flow]*flowRecord
}

func newFlowTable(limit int) flowTable {
	return flowTable{limit: limit, records: map[Flow]*flowRecord{}}
}

func (t *flowTable) get(flow Flow) *flowRecord { return t.records[flow] }

func (t *flowTable) remove(flow Flow) *flowRecord {
	record := t.records[flow]
	delete(t.records, flow)
	return record
}

// add adds a record for a flow; it returns nil when the table is full.
func (t *flowTable) add(flow Flow, seq uint32) *flowRecord {
	if len(t.records) >= t.limit {
		return nil
	}
	record := &flowRecord{flow: flow, seq: seq}
	t.records[flow] = record
	return record
}

// expire removes the records without a packet for flowIdle, and returns them.
func (t *flowTable) expire(now time.Time) []*flowRecord {
	var expired []*flowRecord
	for flow, record := range t.records {
		if now.Sub(record.lastSeen) >= flowIdle {
			expired = append(expired, record)
			delete(t.records, flow)
		}
	}
	return expired
}

// rememberOpen records that an opening packet was sent to an upstream. When the table is
// full, nothing is recorded. Upstreams beyond maxTargets are not remembered.
func (e *Engine) rememberOpen(now time.Time, p *Packet, chosen *catalog.Entry, record *flowRecord) {
	if record == nil {
		if record = e.flows.add(p.Flow, p.Seq); record == nil {
			return
		}
		record.opened, record.dataEnd = now, p.Seq
		e.attachRoute(record, chosen)
	} else {
		// The caller's copy takes the place of the extra attempt.
		e.cancelHedge(record)
	}
	record.lastSeen = now
	if e.rememberTarget(now, record, chosen.Cookie) {
		e.lastOpen[p.Flow.Caller.Addr()] = record
	}
}

// rememberTarget records that a copy of an opening packet was sent to an upstream. It
// returns false when it was sent there before or no further upstream is remembered.
func (e *Engine) rememberTarget(now time.Time, record *flowRecord, target flowcookie.Cookie) bool {
	limit := maxTargets
	if record.extra() != flowcookie.None {
		limit++
	}
	if slices.Contains(record.triedTargets(), target) || record.attempts == limit {
		return false
	}
	record.targets[record.attempts], record.opening[record.attempts] = target, true
	record.attempts++
	e.RecordChosen(now, target)
	load := e.loadOf(target)
	load.flows++
	load.opening++
	e.pendingOpens = append(e.pendingOpens, pendingOpen{record: record, target: target, sentAt: now})
	return true
}

// checkPendingOpens counts each opening packet that is unanswered for openTimeout as a
// probe trigger of its upstream, also when an extra attempt was answered instead.
func (e *Engine) checkPendingOpens(now time.Time) {
	for len(e.pendingOpens) > 0 && now.Sub(e.pendingOpens[0].sentAt) >= openTimeout {
		opening := e.pendingOpens[0]
		e.pendingOpens = e.pendingOpens[1:]
		if n := slices.Index(opening.record.triedTargets(), opening.target); n >= 0 {
			e.endOpening(opening.record, n)
		}
		if !opening.record.answered || opening.record.lostToExtra(opening.target) {
			e.RecordTrigger(now, opening.target, evidence.TriggerOpen)
		}
	}
}

// failedBefore returns the upstreams that did not answer the caller's last flow, and
// counts a trigger against each. A caller that opens another flow at once has probably
// received a reset. It returns nil when the last flow was answered or is the same flow,
// or had its last packet more than retryWindow or less than minResetTime ago.
func (e *Engine) failedBefore(now time.Time, p *Packet) []flowcookie.Cookie {
	address := p.Flow.Caller.Addr()
	earlier := e.lastOpen[address]
	if earlier == nil {
		return nil
	}
	if earlier.answered || now.Sub(earlier.lastSeen) > retryWindow {
		delete(e.lastOpen, address)
		return nil
	}
	if earlier.flow == p.Flow || now.Sub(earlier.lastSeen) < minResetTime {
		return nil
	}
	for _, target := range earlier.triedTargets() {
		e.RecordTrigger(now, target, evidence.TriggerRetry)
	}
	return earlier.triedTargets()
}

// observePacket updates the flow record, which may be nil, and the state of the upstream from
// a packet of an established flow. It sets Decision.MovedFrom and, for the first packet that
// follows the opening packet, Decision.HandshakeTime and Decision.Hedge.
func (e *Engine) observePacket(now time.Time, p *Packet, record *flowRecord, decision *Decision) {
	if record == nil {
		if p.Fin || p.Reset {
			return
		}
		if record = e.flows.add(p.Flow, p.Seq); record == nil {
			return
		}
		if p.Data > 0 { // The last packets of a closed flow carry none.
			e.hedging.flowMovedAt = now
		}
		record.targets[0], record.attempts, record.answered = p.Cookie, 1, true
		record.ack, record.dataEnd = p.Ack, p.Seq
		e.loadOf(p.Cookie).flows++
		e.attachRoute(record, e.snapshot.Resolve(p.Cookie))
	}
	idle := now.Sub(record.lastSeen)
	record.lastSeen = now
	if !record.answered {
		record.confirmed = p.Seq == record.seq+1
		decision.HandshakeTime, decision.Hedge = now.Sub(record.opened), e.recordAnswerTime(now, record, p.Cookie)
		record.ack, record.dataEnd = p.Ack, p.Seq
		e.RecordAnswer(now, p.Cookie)
	}
	switch {
	case !record.answered:
		e.attributeFlow(record, p.Cookie)
	case record.targets[0] != p.Cookie:
		decision.MovedFrom = e.movedFrom(record, p.Cookie)
		e.attributeFlow(record, p.Cookie)
		record.confirmed = false
	case int32(p.Ack-record.ack) > 0:
		record.confirmed = true
	}
	e.compareSequence(now, p, record, idle)
	if p.Fin || p.Reset {
		e.endResponse(now, record)
		e.removeFlow(p.Flow)
	}
}

// compareSequence tells from the sequence numbers whether the upstream answers. A
// higher acknowledgement shows that it does; data that is repeated without one
// triggers a probe. idle is the time since the flow's previous packet: the answer that
// is acknowledged with the next request may have arrived up to idle ago, so after a long
// idle time it proves nothing about now.
func (e *Engine) compareSequence(now time.Time, p *Packet, record *flowRecord, idle time.Duration) {
	end := p.Seq + uint32(p.Data)
	switch {
	case int32(p.Ack-record.ack) > 0:
		record.ack, record.repeated = p.Ack, false
		if p.Data == 0 || idle < evidence.AnswerWindow {
			e.RecordAnswer(now, p.Cookie)
		}
		if !record.requestSentAt.IsZero() {
			record.acksPromptly = p.Data == 0
		}
		// An acknowledgement that comes with the next request does not show when the
		// answer arrived.
		took := time.Duration(0)
		if record.acksPromptly && !record.requestSentAt.IsZero() {
			took = now.Sub(record.requestSentAt)
			if !e.cfg.OverloadControl {
				e.recordResponseTime(now, p.Cookie, took)
			}
		}
		e.advanceResponse(now, record, took)
		record.requestSentAt = time.Time{}
		e.releaseRequest(record)
		record.waitedOut = false
	case p.Data > 0 && int32(end-record.dataEnd) <= 0 && !record.repeated:
		record.repeated = true
		e.RecordTrigger(now, p.Cookie, evidence.TriggerRepeat)
	}
	if int32(end-record.dataEnd) > 0 {
		record.dataEnd, record.requestSentAt = end, now
		if record.use != nil {
			record.use.Record(now)
		}
		e.countRequest(now, record)
		e.beginResponse(now, record)
		if record.acksPromptly {
			e.TrackRequest(now, p.Cookie)
			e.flowRequests = append(e.flowRequests, flowRequest{record: record, sentAt: now})
		}
	}
}

// flowRequest is a request on one flow that waits for its answer.
type flowRequest struct {
	record *flowRecord
	sentAt time.Time
}

// checkFlowRequests counts the requests that are unanswered for evidence.LostAfter as lost. Only
// flows whose caller acknowledges answers before its next request are in the queue.
func (e *Engine) checkFlowRequests(now time.Time) {
	for len(e.flowRequests) > 0 && now.Sub(e.flowRequests[0].sentAt) >= evidence.LostAfter {
		pending := e.flowRequests[0]
		e.flowRequests = e.flowRequests[1:]
		record := pending.record
		if !record.requestSentAt.Equal(pending.sentAt) || e.flows.get(record.flow) != record {
			continue
		}
		cookie := record.targets[0]
		if e.RequestTimeout(cookie) <= evidence.LostAfter {
			e.RecordLoss(now, cookie, true)
		}
	}
}

// removeFlowsOf removes the records of the established flows of an upstream whose probe, begun
// at the given time, has failed, and returns a packet of each flow, sorted by caller. Doubtful
// flows that arrived since then stay.
func (e *Engine) removeFlowsOf(cookie flowcookie.Cookie, began time.Time) []Packet {
	var packets []Packet
	for flow, record := range e.flows.records {
		if !record.answered || record.targets[0] != cookie || e.doubtful.beganAfter(arrivalKey{flow, cookie}, began) {
			continue
		}
		e.doubtful.remove(arrivalKey{flow, cookie})
		packets = append(packets, Packet{Flow: flow, Ack: record.ack, Cookie: cookie})
		delete(e.flows.records, flow)
		e.releaseLoad(record)
	}
	slices.SortFunc(packets, func(a, b Packet) int { return a.Flow.Caller.Compare(b.Flow.Caller) })
	return packets
}
