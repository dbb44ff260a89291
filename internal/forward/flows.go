package forward

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// flowIdle is how long after its last packet a flow counts as load of its upstream:
	// upstreams close idle connections after about 12 s.
	flowIdle = 12 * time.Second
	// maxTargets is the maximum number of upstreams remembered for one opening packet
	// and its copies.
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
	// minRequestTimeout is the least time after which an unanswered request causes a
	// probe. It is half of the time after which the caller sends the request again.
	// The timeout is requestTimeoutFactor times the usual response time, but at least
	// minRequestTimeout.
	minRequestTimeout    = 100 * time.Millisecond
	requestTimeoutFactor = 4
	// requestTriggerInterval is the least time between two probes that timed-out requests
	// cause on one instance: when the answers of a service have just become slow, the
	// requests to all of its upstreams time out.
	requestTriggerInterval = 100 * time.Millisecond
)

// upstreamRequest is the first request to an upstream since its last answer or timeout.
type upstreamRequest struct {
	target flowcookie.Cookie
	sentAt time.Time
}

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
	targets  [maxTargets]flowcookie.Cookie
	attempts int
	answered bool
	// ack is the caller's highest acknowledgement, dataEnd the end of the data that the
	// caller has sent; both are sequence numbers.
	ack, dataEnd uint32
	// requestSentAt is when the caller sent the data that waits for an answer; zero
	// when none does.
	requestSentAt time.Time
	// acksPromptly is true when the answer to the last request was acknowledged before
	// the next request. Only then does a missing acknowledgement show a missing answer.
	acksPromptly bool
	// repeated is true when the caller has repeated data since the last acknowledgement.
	repeated bool
	// opened is when the first copy of the opening packet arrived.
	opened   time.Time
	lastSeen time.Time
}

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
	}
	record.lastSeen = now
	for _, target := range record.triedTargets() {
		if target == chosen.Cookie {
			return
		}
	}
	if record.attempts == maxTargets {
		return
	}
	record.targets[record.attempts] = chosen.Cookie
	record.attempts++
	e.stateOf(chosen.Cookie).recordChosen(now)
	e.pendingOpens = append(e.pendingOpens, pendingOpen{record: record, target: chosen.Cookie, sentAt: now})
	e.lastOpen[p.Flow.Caller.Addr()] = record
}

// checkPendingOpens counts each opening packet that is unanswered for openTimeout as a
// probe trigger of its upstream.
func (e *Engine) checkPendingOpens(now time.Time) {
	for len(e.pendingOpens) > 0 && now.Sub(e.pendingOpens[0].sentAt) >= openTimeout {
		opening := e.pendingOpens[0]
		e.pendingOpens = e.pendingOpens[1:]
		if !opening.record.answered {
			e.recordTrigger(now, opening.target, TriggerOpen)
		}
	}
}

// trackRequest records that a request was sent to an upstream, unless an earlier one is
// still unanswered.
func (e *Engine) trackRequest(now time.Time, cookie flowcookie.Cookie) {
	if state := e.stateOf(cookie); state.firstRequestAt.IsZero() {
		state.firstRequestAt = now
		e.upstreamRequests = append(e.upstreamRequests, upstreamRequest{target: cookie, sentAt: now})
	}
}

// checkUpstreamRequests requests probes of upstreams that have answered nothing for the
// request timeout since a request was sent to them.
func (e *Engine) checkUpstreamRequests(now time.Time) {
	for remaining := len(e.upstreamRequests); remaining > 0 && now.Sub(e.upstreamRequests[0].sentAt) >= minRequestTimeout; remaining-- {
		request := e.upstreamRequests[0]
		e.upstreamRequests = e.upstreamRequests[1:]
		state := e.upstreams[request.target]
		if state == nil || !state.firstRequestAt.Equal(request.sentAt) {
			continue
		}
		if now.Sub(request.sentAt) < e.requestTimeout(request.target, state) {
			e.upstreamRequests = append(e.upstreamRequests, request)
			continue
		}
		// The next request starts a new timeout.
		state.firstRequestAt = time.Time{}
		if now.Sub(e.lastRequestTriggerAt) >= requestTriggerInterval {
			e.lastRequestTriggerAt = now
			e.requestProbe(now, request.target, TriggerUnanswered)
		}
	}
}

// requestTimeout returns the time without an answer after which a request to an
// upstream causes a probe: requestTimeoutFactor times the usual response time of the
// upstream or its service, whichever is longer, and at least minRequestTimeout.
func (e *Engine) requestTimeout(cookie flowcookie.Cookie, state *upstreamState) time.Duration {
	usual := state.responseTime.mean
	if entry := e.snapshot.Resolve(cookie); entry != nil {
		if serviceTime := e.serviceResponseTimes[entry.Service]; serviceTime != nil {
			usual = max(usual, serviceTime.mean)
		}
	}
	return max(minRequestTimeout, requestTimeoutFactor*usual)
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
		e.recordTrigger(now, target, TriggerRetry)
	}
	return earlier.triedTargets()
}

// observePacket updates the flow record and the state of the upstream from a packet of
// an established flow. It returns the time since the opening packet for the first
// packet that follows it, and 0 otherwise.
func (e *Engine) observePacket(now time.Time, p *Packet) (handshakeTime time.Duration) {
	record := e.flows.get(p.Flow)
	if record == nil {
		if p.Fin || p.Reset {
			return 0
		}
		if record = e.flows.add(p.Flow, p.Seq); record == nil {
			return 0
		}
		record.targets[0], record.attempts, record.answered = p.Cookie, 1, true
		record.ack, record.dataEnd = p.Ack, p.Seq
		e.stateOf(p.Cookie).flows++
	}
	idle := now.Sub(record.lastSeen)
	record.lastSeen = now
	if !record.answered {
		handshakeTime = now.Sub(record.opened)
		record.ack, record.dataEnd = p.Ack, p.Seq
		e.stateOf(p.Cookie).recordAnswer(now)
	}
	if !record.answered || record.targets[0] != p.Cookie {
		e.attributeFlow(record, p.Cookie)
	}
	e.compareSequence(now, p, record, idle)
	if p.Fin || p.Reset {
		e.removeFlow(p.Flow)
	}
	return handshakeTime
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
		if p.Data == 0 || idle < answerWindow {
			e.stateOf(p.Cookie).recordAnswer(now)
		}
		if !record.requestSentAt.IsZero() {
			record.acksPromptly = p.Data == 0
		}
		// An acknowledgement that comes with the next request does not show when the
		// answer arrived.
		if record.acksPromptly && !record.requestSentAt.IsZero() {
			e.recordResponseTime(now, p.Cookie, now.Sub(record.requestSentAt))
		}
		record.requestSentAt = time.Time{}
	case p.Data > 0 && int32(end-record.dataEnd) <= 0 && !record.repeated:
		record.repeated = true
		e.recordTrigger(now, p.Cookie, TriggerRepeat)
	}
	if int32(end-record.dataEnd) > 0 {
		record.dataEnd, record.requestSentAt = end, now
		if record.acksPromptly {
			e.trackRequest(now, p.Cookie)
			e.flowRequests = append(e.flowRequests, flowRequest{record: record, sentAt: now})
		}
	}
}

// attributeFlow attributes a flow to the upstream whose answer the caller accepted.
func (e *Engine) attributeFlow(record *flowRecord, cookie flowcookie.Cookie) {
	e.releaseLoad(record)
	e.stateOf(cookie).flows++
	record.targets = [maxTargets]flowcookie.Cookie{cookie}
	record.attempts, record.answered = 1, true
}

// removeFlow removes the flow record of a flow, if there is one.
func (e *Engine) removeFlow(flow Flow) {
	if record := e.flows.remove(flow); record != nil {
		e.releaseLoad(record)
	}
}

// releaseLoad subtracts a flow record from the load of its upstreams.
func (e *Engine) releaseLoad(record *flowRecord) {
	for _, target := range record.triedTargets() {
		if state := e.upstreams[target]; state != nil {
			state.flows--
		}
	}
}
