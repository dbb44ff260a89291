package forward

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// flowIdle is how long a silent flow counts as load of its upstream:
	// upstreams close idle connections after about 12 s.
	flowIdle = 12 * time.Second
	// maxCopies is the number of upstreams that one opening packet and its
	// copies go to.
	maxCopies = 3
	// openTimeout is how long the packet after an opening packet may take: ten
	// times the users' longest round trip over an instance.
	openTimeout = 50 * time.Millisecond
	// retryWindow is how long an unanswered flow of a caller counts against its
	// upstream when the caller opens another: callers give up after 1.4 s.
	retryWindow = 1400 * time.Millisecond
	// minAnswer is the least time in which a caller can have been reset: one
	// round trip. Flows that are opened closer together are unrelated.
	minAnswer = time.Millisecond
	// askTimeout is the least time without an answer from which a request is a
	// sign, half of the time after which its caller sends it again; askFactor
	// is the least multiple of the usual time to an answer.
	askTimeout = 100 * time.Millisecond
	askFactor  = 4
	// askSignInterval is the time between two such signs of one instance: a
	// service whose answers have just become slow gives them for all upstreams.
	askSignInterval = 100 * time.Millisecond
)

// pendingAsk is the first request to an upstream since its last answer.
type pendingAsk struct {
	target flowcookie.Cookie
	sent   time.Time
}

// pendingOpen is an opening packet that waits for the packet that follows it.
type pendingOpen struct {
	record *flowRecord
	target flowcookie.Cookie
	sent   time.Time
}

// flowRecord is what an engine remembers of a flow.
type flowRecord struct {
	flow Flow
	// seq is the sequence number of the opening packet.
	seq uint32
	// targets are the upstreams that the opening packet and its copies went to;
	// after the first packet that follows, targets[0] is the flow's upstream.
	targets  [maxCopies]flowcookie.Cookie
	attempts int
	answered bool
	// ack is the caller's last acknowledgement, sent the end of the data that
	// it has sent.
	ack, sent uint32
	// asked is when the caller sent the data that waits for an answer; zero when
	// none does.
	asked time.Time
	// prompt is set when the last request's answer was acknowledged before the
	// next request, so that its absence says something.
	prompt bool
	// stalled is set when the caller sent data again without an answer in
	// between.
	stalled bool
	// opened is when the first copy of the opening packet arrived.
	opened   time.Time
	lastSeen time.Time
}

func (r *flowRecord) tried() []flowcookie.Cookie { return r.targets[:r.attempts] }

// hash spreads flows; the opening sequence number makes a repeated use of a
// port another flow.
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

// flowTable remembers a bounded number of flows.
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

// add remembers a flow; nil when the table is full.
func (t *flowTable) add(flow Flow, seq uint32) *flowRecord {
	if len(t.records) >= t.limit {
		return nil
	}
	record := &flowRecord{flow: flow, seq: seq}
	t.records[flow] = record
	return record
}

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

// remember records that an opening packet went to an upstream.
func (e *Engine) remember(now time.Time, p *Packet, chosen *catalog.Entry, record *flowRecord) {
	if record == nil {
		if record = e.flows.add(p.Flow, p.Seq); record == nil {
			return
		}
		record.opened, record.sent = now, p.Seq
	}
	record.lastSeen = now
	for _, target := range record.tried() {
		if target == chosen.Cookie {
			return
		}
	}
	if record.attempts == maxCopies {
		return
	}
	record.targets[record.attempts] = chosen.Cookie
	record.attempts++
	e.statsOf(chosen.Cookie).chosen(now)
	e.pending = append(e.pending, pendingOpen{record: record, target: chosen.Cookie, sent: now})
	e.lastOpen[p.Flow.Caller.Addr()] = record
}

// checkPending takes opening packets without an answer as signs.
func (e *Engine) checkPending(now time.Time) {
	for len(e.pending) > 0 && now.Sub(e.pending[0].sent) >= openTimeout {
		open := e.pending[0]
		e.pending = e.pending[1:]
		if !open.record.answered {
			e.suspect(now, open.target, SignOpen)
		}
	}
}

// ask records that a request was sent to an upstream.
func (e *Engine) ask(now time.Time, cookie flowcookie.Cookie) {
	if stats := e.statsOf(cookie); stats.asked.IsZero() {
		stats.asked = now
		e.asks = append(e.asks, pendingAsk{target: cookie, sent: now})
	}
}

// checkAsks takes requests without an answer as signs.
func (e *Engine) checkAsks(now time.Time) {
	for left := len(e.asks); left > 0 && now.Sub(e.asks[0].sent) >= askTimeout; left-- {
		ask := e.asks[0]
		e.asks = e.asks[1:]
		stats := e.stats[ask.target]
		if stats == nil || !stats.asked.Equal(ask.sent) {
			continue
		}
		if now.Sub(ask.sent) < e.askLimit(ask.target, stats) {
			e.asks = append(e.asks, ask)
			continue
		}
		// The next request begins anew.
		stats.asked = time.Time{}
		if now.Sub(e.askSigned) >= askSignInterval {
			e.askSigned = now
			e.wantProbe(now, ask.target, SignUnanswered)
		}
	}
}

// askLimit is the time without an answer from which a request to an upstream is
// a sign.
func (e *Engine) askLimit(cookie flowcookie.Cookie, stats *upstreamStats) time.Duration {
	usual := stats.delay.mean
	if entry := e.view.Resolve(cookie); entry != nil {
		if base := e.delays[entry.Service]; base != nil {
			usual = max(usual, base.mean)
		}
	}
	return max(askTimeout, askFactor*usual)
}

// failedBefore returns the upstreams that an earlier flow of the same caller
// got no answer from: a caller that opens the next flow at once was reset.
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
	if earlier.flow == p.Flow || now.Sub(earlier.lastSeen) < minAnswer {
		return nil
	}
	for _, target := range earlier.tried() {
		e.suspect(now, target, SignRetry)
	}
	return earlier.tried()
}

// observe takes evidence from a packet of an established flow. It returns the
// time since the opening packet for the first packet that follows it.
func (e *Engine) observe(now time.Time, p *Packet) (answer time.Duration) {
	record := e.flows.get(p.Flow)
	if record == nil {
		if p.Fin || p.Reset {
			return 0
		}
		if record = e.flows.add(p.Flow, p.Seq); record == nil {
			return 0
		}
		record.targets[0], record.attempts, record.answered = p.Cookie, 1, true
		record.ack, record.sent = p.Ack, p.Seq
		e.statsOf(p.Cookie).flows++
	}
	idle := now.Sub(record.lastSeen)
	record.lastSeen = now
	if !record.answered {
		answer = now.Sub(record.opened)
		record.ack, record.sent = p.Ack, p.Seq
		e.statsOf(p.Cookie).progressed(now)
	}
	if !record.answered || record.targets[0] != p.Cookie {
		e.settle(record, p.Cookie)
	}
	e.compare(now, p, record, idle)
	if p.Fin || p.Reset {
		e.discard(p.Flow)
	}
	return answer
}

// compare tells from the sequence numbers whether the upstream answers: a
// higher acknowledgement shows that it does, data that is sent again without
// one that it may not. An acknowledgement that comes with the next request may
// be as old as the flow's last packet, idle ago.
func (e *Engine) compare(now time.Time, p *Packet, record *flowRecord, idle time.Duration) {
	end := p.Seq + uint32(p.Data)
	switch {
	case int32(p.Ack-record.ack) > 0:
		record.ack, record.stalled = p.Ack, false
		if p.Data == 0 || idle < answerWindow {
			e.statsOf(p.Cookie).progressed(now)
		}
		if !record.asked.IsZero() {
			record.prompt = p.Data == 0
		}
		// An acknowledgement that comes with the next request says nothing about
		// the time of the answer.
		if record.prompt && !record.asked.IsZero() {
			e.measure(now, p.Cookie, now.Sub(record.asked))
		}
		record.asked = time.Time{}
	case p.Data > 0 && int32(end-record.sent) <= 0 && !record.stalled:
		record.stalled = true
		e.suspect(now, p.Cookie, SignStall)
	}
	if int32(end-record.sent) > 0 {
		record.sent, record.asked = end, now
		if record.prompt {
			e.ask(now, p.Cookie)
			e.answers = append(e.answers, pendingAnswer{record: record, sent: now})
		}
	}
}

// settle attributes a flow to the upstream whose answer the caller took.
func (e *Engine) settle(record *flowRecord, cookie flowcookie.Cookie) {
	e.forget(record)
	e.statsOf(cookie).flows++
	record.targets = [maxCopies]flowcookie.Cookie{cookie}
	record.attempts, record.answered = 1, true
}

// discard forgets a flow, if it is remembered.
func (e *Engine) discard(flow Flow) {
	if record := e.flows.remove(flow); record != nil {
		e.forget(record)
	}
}

// forget takes a flow off the load of its upstreams.
func (e *Engine) forget(record *flowRecord) {
	for _, target := range record.tried() {
		if stats := e.stats[target]; stats != nil {
			stats.flows--
		}
	}
}
