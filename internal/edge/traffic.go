package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/relay"
)

const (
	// socketBuffer holds about 100 ms of packets at 30,000 packets a second.
	socketBuffer = 4 << 20
	// maxHeld bounds the packets that wait for the next snapshot; about 640 KB.
	maxHeld = 512
	// holdTime is how long a packet waits for a snapshot that decides it: the
	// caller sends the next copy after 200 ms.
	holdTime = 400 * time.Millisecond
	// pollInterval is how long the reader sleeps for packets while others wait.
	pollInterval = 10 * time.Millisecond
	// expireInterval is the time between two passes over the remembered flows.
	expireInterval = time.Second
	// reachInterval is the time between two checks whether any upstream is in
	// reach: half of the time between two readiness probes.
	reachInterval = 250 * time.Millisecond
	// readTimeout wakes the reader for its periodic work without traffic.
	readTimeout = reachInterval
	// reportQueue is the number of words of mates that may wait.
	reportQueue = 64
	// importQueue is the number of mates whose flows may wait.
	importQueue = 4
	// reportsPerSecond and reportsAtOnce bound the silent upstreams that an
	// instance reports. What fits into a datagram covers a rack; when a whole
	// failure domain is lost every instance sees signs of its own, and reports
	// of all its upstreams by all instances would fill their links.
	reportsPerSecond = 50
	reportsAtOnce    = relay.MaxNames
)

// report is a mate's word on an upstream: that it does not answer probes, or
// that it lost a request.
type report struct {
	upstream relay.UpstreamName
	lost     bool
}

// Codec translates packets between their wire format and forward.Packet.
type Codec interface {
	Identifier
	// Sizes returns the bytes that EncodeForward needs before a packet, and the
	// size of the largest packet.
	Sizes() (prefix, datagram int)
	// Decode decodes a packet in place.
	Decode(datagram []byte, p *forward.Packet) error
	// EncodeForward prepares a buffer that holds the free prefix and a packet
	// for an upstream.
	EncodeForward(buffer []byte, upstream *catalog.Entry)
	// AppendReset appends a reset of the packet's flow for the caller.
	AppendReset(b []byte, p *forward.Packet) []byte
}

// traffic owns the packet socket and the engine. Its goroutine shares nothing
// with the control goroutine but the snapshot.
type traffic struct {
	conn   *net.UDPConn
	codec  Codec
	engine *forward.Engine
	prober *prober
	// reports are the words of mates; silent and lost tell the mates.
	reports      chan report
	silent, lost func([]relay.UpstreamName)
	// unreported are silent upstreams that the mates do not know yet.
	unreported  []relay.UpstreamName
	reportLimit *rate.Limiter
	// imports are flows of mates that left; exports ask for the flows that this
	// instance remembers.
	imports chan []forward.FlowState
	exports chan chan<- []forward.FlowState
	// sharing returns this instance's place among those of its failure domain,
	// and their number.
	sharing func(time.Time) (rank, count int)
	view    *atomic.Pointer[catalog.Snapshot]
	log     flowLog
	metrics *Metrics

	// arrived is when the last packet arrived, in Unix nanoseconds.
	arrived atomic.Int64
	// cutOff is set while no upstream is in reach.
	cutOff  atomic.Bool
	prefix  int
	adopted *catalog.Snapshot
	packet  forward.Packet
	reset   []byte
	held    []heldPacket
	expired time.Time
	reached time.Time
	// deadline is when the reader wakes without a packet.
	deadline time.Time
}

// heldPacket is a packet that waits for the next snapshot.
type heldPacket struct {
	buffer  []byte
	arrived time.Time
}

func listenTraffic(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &listen.Error{Network: "udp", Address: address, Err: err}
	}
	// The kernel may cap the size; a smaller buffer only drops earlier.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// run forwards packets until ctx ends.
func (t *traffic) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	prefix, datagram := t.codec.Sizes()
	t.prefix = prefix
	// One byte more than the largest packet makes an oversized one visible.
	buffer := make([]byte, prefix+datagram+1)
	for {
		now := time.Now()
		if err := t.arm(now); err != nil && ctx.Err() == nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		// What arrived before the deadline was set has not interrupted the read.
		t.periodic(now)
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer[prefix:])
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			t.deadline = time.Time{}
			continue
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// An error that an earlier send caused; the socket stays usable.
			t.metrics.drop(dropSocket)
			continue
		}
		now = time.Now()
		t.arrived.Store(now.UnixNano())
		t.handle(now, buffer[:prefix+n], now)
		t.requestProbes()
	}
}

// arm sets the deadline of the next read. It leaves a deadline that is far
// enough in the future, which saves a timer for each packet.
func (t *traffic) arm(now time.Time) error {
	wait := readTimeout
	if len(t.held) > 0 {
		wait = pollInterval
	}
	if left := t.deadline.Sub(now); left > wait/2 && left <= wait {
		return nil
	}
	t.deadline = now.Add(wait)
	return t.conn.SetReadDeadline(t.deadline)
}

// wake interrupts the reader; it may be called from any goroutine.
func (t *traffic) wake() {
	// The only error is that of a closed socket, which ends the reader anyway.
	_ = t.conn.SetReadDeadline(time.Unix(1, 0))
}

// requestProbes hands the wanted probes to the prober.
func (t *traffic) requestProbes() {
	for _, probe := range t.engine.TakeProbes() {
		if !t.prober.request(probe) {
			t.engine.Unprobed(probe)
			t.metrics.drop(dropProbe)
		}
	}
}

// takeResults acts on the outcomes of probes and the words of mates.
func (t *traffic) takeResults(now time.Time) {
	defer t.sendReports()
	for {
		select {
		case result := <-t.prober.results:
			t.takeResult(now, result)
		case probe := <-t.prober.unanswered:
			t.takeUnanswered(now, probe)
		case report := <-t.reports:
			t.takeReport(now, report)
		case flows := <-t.imports:
			t.engine.Import(now, flows)
		case answer := <-t.exports:
			answer <- t.engine.Export(now)
		default:
			return
		}
	}
}

func (t *traffic) takeResult(now time.Time, result forward.ProbeResult) {
	abandoned := t.engine.Probed(now, result)
	t.log.probed(now, result, abandoned)
	t.metrics.probed(result.Verdict, now.Sub(result.Started))
	if abandoned.Report {
		t.report(now, result.Upstream)
	}
	decision := forward.Decision{Action: forward.Reset, Reason: forward.ReasonUpstreamSilent, Upstream: result.Upstream}
	for i := range abandoned.Flows {
		t.sendReset(&abandoned.Flows[i])
		t.metrics.decided(decision)
		t.log.decided(now, &abandoned.Flows[i], decision, t.adopted)
	}
}

// takeUnanswered acts on a probe that has had no answer for a while.
func (t *traffic) takeUnanswered(now time.Time, probe forward.Probe) {
	report := t.engine.Unanswered(now, probe) && t.report(now, probe.Upstream)
	t.log.unanswered(probe, report)
}

// report notes an upstream that does not answer for the mates; false when too
// many were reported lately.
func (t *traffic) report(now time.Time, upstream *catalog.Entry) bool {
	if !t.reportLimit.AllowN(now, 1) {
		return false
	}
	t.unreported = append(t.unreported, relay.UpstreamName{ID: upstream.ID, Born: upstream.Born})
	return true
}

func (t *traffic) takeReport(now time.Time, word report) {
	if word.lost {
		t.engine.Lost(now, word.upstream.ID, word.upstream.Born)
		return
	}
	t.engine.Reported(now, word.upstream.ID, word.upstream.Born)
}

// tellFailures logs lost requests and tells the mates of its own.
func (t *traffic) tellFailures(now time.Time) {
	var own []relay.UpstreamName
	for _, failure := range t.engine.TakeFailures() {
		t.metrics.lostRequest(failure)
		if failure.Failing {
			t.log.failing(failure)
		}
		if failure.Own && len(own) < relay.MaxNames {
			own = append(own, relay.UpstreamName{ID: failure.Upstream.ID, Born: failure.Upstream.Born})
		}
	}
	if len(own) > 0 && t.reportLimit.AllowN(now, len(own)) {
		t.lost(own)
	}
}

// sendReports tells the mates of the upstreams that do not answer.
func (t *traffic) sendReports() {
	if len(t.unreported) > 0 {
		t.silent(t.unreported)
		t.unreported = t.unreported[:0]
	}
}

// reported takes in a mate's word on an upstream. It never blocks; a mate
// reports again when its next probe of another upstream fails.
func (t *traffic) reported(word report) {
	select {
	case t.reports <- word:
		t.wake()
	default:
	}
}

// importFlows hands flows of a mate to the traffic goroutine; false when too
// many wait.
func (t *traffic) importFlows(flows []forward.FlowState) bool {
	select {
	case t.imports <- flows:
		t.wake()
		return true
	default:
		return false
	}
}

// exportFlows returns the flows that the engine remembers; none when ctx ends
// before the traffic goroutine answers.
func (t *traffic) exportFlows(ctx context.Context) []forward.FlowState {
	answer := make(chan []forward.FlowState, 1)
	select {
	case t.exports <- answer:
		t.wake()
	default:
		return nil
	}
	select {
	case flows := <-answer:
		return flows
	case <-ctx.Done():
		return nil
	}
}

// lastPacket returns when the last packet arrived.
func (t *traffic) lastPacket() time.Time { return time.Unix(0, t.arrived.Load()) }

// periodic adopts a new snapshot, and does what is due.
func (t *traffic) periodic(now time.Time) {
	if view := t.view.Load(); view != t.adopted && view != nil {
		t.adopted = view
		t.engine.Adopt(view)
		t.retry(now)
	}
	t.takeResults(now)
	if len(t.held) > 0 && now.Sub(t.held[0].arrived) > holdTime {
		t.retry(now)
	}
	if now.Sub(t.expired) >= expireInterval {
		t.expired = now
		t.engine.Expire(now)
		t.engine.Reprobe(now)
		rank, count := t.sharing(now)
		t.engine.Share(forward.Sharing{Rank: rank, Count: count})
		t.metrics.setFlows(t.engine.Flows())
	}
	if now.Sub(t.reached) >= reachInterval {
		t.reached = now
		t.cutOff.Store(t.adopted != nil && !t.engine.CanServe(now))
		t.tellFailures(now)
	}
	t.requestProbes()
}

// retry decides the waiting packets again.
func (t *traffic) retry(now time.Time) {
	held := t.held
	t.held = nil
	for _, packet := range held {
		t.handle(now, packet.buffer, packet.arrived)
	}
}

// handle decides one packet; the buffer has the free prefix and the packet.
func (t *traffic) handle(now time.Time, buffer []byte, arrived time.Time) {
	p := &t.packet
	if err := t.codec.Decode(buffer[t.prefix:], p); err != nil {
		t.metrics.drop(dropMalformed)
		return
	}
	decision := t.engine.Decide(now, p)
	switch decision.Action {
	case forward.Forward:
		t.codec.EncodeForward(buffer, decision.Upstream)
		if _, err := t.conn.WriteToUDPAddrPort(buffer, decision.Upstream.Address); err != nil {
			t.metrics.drop(dropSocket)
			t.log.sendFailed(p, decision.Upstream, err)
		}
	case forward.Reset:
		t.sendReset(p)
	case forward.Wait:
		if t.hold(now, buffer, arrived) {
			return
		}
	}
	t.metrics.decided(decision)
	if decision.Reason != forward.ReasonEstablished {
		t.log.decided(now, p, decision, t.adopted)
	}
}

// hold keeps a copy of a packet for the next snapshot, unless it has waited
// long enough or too many do.
func (t *traffic) hold(now time.Time, buffer []byte, arrived time.Time) bool {
	if now.Sub(arrived) > holdTime || len(t.held) >= maxHeld {
		return false
	}
	t.held = append(t.held, heldPacket{buffer: append([]byte(nil), buffer...), arrived: arrived})
	return true
}

// sendReset sends a reset to the caller of a packet. Callers receive at their
// own address and the port that packets arrive at.
func (t *traffic) sendReset(p *forward.Packet) {
	t.reset = t.codec.AppendReset(t.reset[:0], p)
	port := t.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	if _, err := t.conn.WriteToUDPAddrPort(t.reset, netip.AddrPortFrom(p.Flow.Caller.Addr(), port)); err != nil {
		t.metrics.drop(dropSocket)
		t.log.sendFailed(p, nil, err)
	}
}

// flowLog writes the decisions about single flows.
type flowLog struct{ events eventLog }

// eventLog is the part of eventlog.Log that the traffic goroutine uses.
type eventLog interface {
	Flow(level logrus.Level, event string, fields func() logrus.Fields)
}

// decided logs a decision with the inputs that led to it and their age.
func (l flowLog) decided(now time.Time, p *forward.Packet, d forward.Decision, view *catalog.Snapshot) {
	level := logrus.InfoLevel
	if d.Action != forward.Forward {
		level = logrus.WarnLevel
	}
	l.events.Flow(level, "flow_"+d.Action.String(), func() logrus.Fields {
		fields := flowFields(p)
		fields["reason"] = d.Reason.String()
		fields["copy"] = p.Copy
		if d.Detail != "" {
			fields["tier"] = d.Detail
		}
		if d.Upstream != nil {
			fields["upstream"], fields["upstream_domain"] = d.Upstream.ID, d.Upstream.FailureDomain
			fields["upstream_revision"] = d.Upstream.Revision
		} else {
			fields["cookie"] = fmt.Sprintf("%08x", uint32(p.Cookie))
		}
		if view != nil {
			fields["config_version"], fields["upstreams_revision"] = view.Version, view.Revisions[catalog.KindUpstreams]
			fields["upstreams_age_ms"] = now.Sub(view.Confirmed[catalog.KindUpstreams]).Milliseconds()
			fields["config_age_ms"] = now.Sub(view.Confirmed[catalog.KindConfiguration]).Milliseconds()
		}
		return fields
	})
}

func (l flowLog) sendFailed(p *forward.Packet, upstream *catalog.Entry, err error) {
	l.events.Flow(logrus.WarnLevel, "send_failed", func() logrus.Fields {
		fields := flowFields(p)
		fields["error"] = err
		if upstream != nil {
			fields["upstream"] = upstream.ID
		}
		return fields
	})
}

// probed logs the outcome of a probe.
func (l flowLog) probed(now time.Time, result forward.ProbeResult, ended forward.Abandoned) {
	l.events.Flow(logrus.InfoLevel, "upstream_probed", func() logrus.Fields {
		return logrus.Fields{
			"upstream": result.Upstream.ID, "verdict": result.Verdict.String(), "sign": result.Sign.String(), "upstream_revision": result.Upstream.Revision,
			"took_ms": now.Sub(result.Started).Milliseconds(), "flows_reset": len(ended.Flows),
			"inconclusive": ended.Inconclusive,
		}
	})
}

// failing logs that an upstream leaves requests without an answer.
func (l flowLog) failing(f forward.Failure) {
	l.events.Flow(logrus.WarnLevel, "upstream_failing", func() logrus.Fields {
		return logrus.Fields{
			"upstream": f.Upstream.ID, "upstream_domain": f.Upstream.FailureDomain, "lost": fmt.Sprintf("%.1f", f.Weight),
			"service_average": fmt.Sprintf("%.1f", f.Average), "own": f.Own, "upstream_revision": f.Upstream.Revision,
		}
	})
}

// unanswered logs a probe that has had no answer for a while.
func (l flowLog) unanswered(probe forward.Probe, reported bool) {
	l.events.Flow(logrus.InfoLevel, "probe_unanswered", func() logrus.Fields {
		return logrus.Fields{
			"upstream": probe.Upstream.ID, "sign": probe.Sign.String(), "upstream_revision": probe.Upstream.Revision,
			"after_ms": forward.UnansweredAfter.Milliseconds(), "reported": reported,
		}
	})
}

// flowFields identifies a flow: its two ends and the sequence number of the
// packet, which for an opening packet is that of the flow.
func flowFields(p *forward.Packet) logrus.Fields {
	return logrus.Fields{"caller": p.Flow.Caller.String(), "service": p.Flow.Service.String(), "seq": p.Seq}
}
