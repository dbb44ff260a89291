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

	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/hedge"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/load"
	"github.com/chivemast/chivemast/internal/relay"
)

const (
	// socketBuffer is the size of the receive buffer in bytes. It holds about
	// 100 ms of packets at 30,000 packets a second.
	socketBuffer = 4 << 20
	// maxHeld is the maximum number of packets that wait for the next snapshot,
	// about 640 KB.
	maxHeld = 512
	// holdTime is the maximum time that a packet waits for the next snapshot.
	holdTime = 400 * time.Millisecond
	// firstCopyAfter is the time after which callers send the first copy of an opening
	// packet; the second one follows 400 ms later.
	firstCopyAfter = 200 * time.Millisecond
	// pollInterval is the read timeout while packets wait for a snapshot.
	pollInterval = 10 * time.Millisecond
	// pausedAfter is the time between two reads, which last readTimeout at most, after which
	// the process was paused and may have missed two readiness probes, which come twice a
	// second: the routers then send its flows to other instances.
	pausedAfter = 500 * time.Millisecond
	// backlogTime is the time after a pause in which the loop reads what has arrived
	// meanwhile. A full socketBuffer takes as long at 60,000 packets a second.
	backlogTime = 50 * time.Millisecond
	// expireInterval is the time between two passes over the remembered flows.
	expireInterval = time.Second
	// reachInterval is the time between two checks whether any upstream is
	// reachable: half of the time between two readiness probes.
	reachInterval = 250 * time.Millisecond
	// readTimeout is the read timeout while no packet waits, so that periodic work
	// runs without traffic.
	readTimeout = reachInterval
)

// Codec translates packets between their wire format and forward.Packet.
type Codec interface {
	Identifier
	// Sizes returns the bytes that EncodeForward needs before a packet, and the
	// size of the largest packet.
	Sizes() (prefix, datagram int)
	// Decode decodes a datagram into p. It returns an error when the datagram is
	// malformed.
	Decode(datagram []byte, p *forward.Packet) error
	// EncodeForward turns a buffer that holds the free prefix and a packet into a
	// datagram for an upstream, in place.
	EncodeForward(buffer []byte, upstream *catalog.Entry)
	// AppendReset appends to b a reset of the packet's flow, addressed to the caller,
	// and returns the extended buffer.
	AppendReset(b []byte, p *forward.Packet) []byte
}

// trafficLoop owns the packet socket and the engine. Its goroutine receives snapshots from
// the control goroutine, and queued results, reports and flows from other goroutines.
type trafficLoop struct {
	conn   *net.UDPConn
	codec  Codec
	engine *forward.Engine
	prober *prober
	// reports queues the reports from peers.
	reports chan peerReport
	// contradictions queues the answers by which peers contradict reports of silent upstreams.
	contradictions chan contradictionReport
	// sendSilent and sendLost report upstreams to peers: that they do not answer probes, or
	// that they left a request unanswered.
	sendSilent func(report uint64, upstreams []relay.UpstreamIncarnation)
	sendLost   func([]relay.UpstreamIncarnation)
	// contradict tells a peer that upstreams answer which it reported as silent; passOn tells
	// all peers that upstreams answer which this instance reported.
	contradict func(peer string, report uint64, answers []relay.UpstreamAnswer)
	passOn     func(report uint64, answers []relay.UpstreamAnswer)
	// loads queues the reports of other instances on response times; sendLoad sends this
	// instance's.
	loads    chan loadReport
	sendLoad func(load.Reports, inflight.Report)
	// failureDomain is that of this instance.
	failureDomain string
	// unsentSilent holds the silent upstreams that sendSilentReports sends to peers next,
	// silentReports the number of reports sent.
	unsentSilent  []relay.UpstreamIncarnation
	silentReports uint64
	// reportLimit limits the rate of upstreams reported to peers, contradictionLimit that of
	// upstreams in contradictions.
	reportLimit, contradictionLimit *rate.Limiter
	// imports queues the flows of peers that shut down.
	imports chan []forward.HandoverFlow
	// exports queues requests for the flows that this instance remembers.
	exports chan chan<- []forward.HandoverFlow
	// questions queues questions about the engine.
	questions chan question
	// limits holds new limits until the traffic goroutine adopts them; nil when there are
	// none.
	limits atomic.Pointer[forward.Limits]
	// peerRank returns this instance's rank among the instances of its failure
	// domain, and their number.
	peerRank func(time.Time) (rank, count int)
	snapshot *atomic.Pointer[catalog.Snapshot]
	log      flowLog
	metrics  *Metrics

	// lastArrival is when the last packet arrived, in Unix nanoseconds.
	lastArrival atomic.Int64
	// noUpstreamReachable is set while forward.Engine.CanServe is false.
	noUpstreamReachable atomic.Bool
	// prefix is the number of free bytes that EncodeForward needs before a packet.
	prefix int
	// currentSnapshot is the snapshot that the engine uses; nil before the first one.
	currentSnapshot *catalog.Snapshot
	// packet and resetBuffer are buffers that are reused for each packet and each reset.
	packet      forward.Packet
	resetBuffer []byte
	// held holds the packets that wait for the next snapshot, oldest first.
	held []heldPacket
	// lastExpiry is when flows were last expired.
	lastExpiry time.Time
	// lastReachCheck is when it was last checked whether any upstream is reachable.
	lastReachCheck time.Time
	// lastLoadReport is when response times were last reported.
	lastLoadReport time.Time
	// lastRead is when the last read ended. Until backlogEnd, packets may have waited in
	// the socket while the process was paused.
	lastRead, backlogEnd time.Time
	// deadline is the read deadline of the socket; zero after it has passed.
	deadline time.Time
	hedges   keptOpens
}

// heldPacket is a packet that waits for the next snapshot, with the free prefix.
type heldPacket struct {
	buffer  []byte
	arrived time.Time
	// superseded is when the caller sends the next copy of an opening packet. The flow may
	// then be opened through another instance. It is zero for other packets.
	superseded time.Time
}

func listenTraffic(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &listen.Error{Network: "udp", Address: address, Err: err}
	}
	// The kernel may cap the size; a smaller buffer only drops packets earlier.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// run forwards packets until ctx ends.
func (loop *trafficLoop) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = loop.conn.Close() })
	defer stop()
	prefix, datagram := loop.codec.Sizes()
	loop.prefix = prefix
	// One byte more than the largest packet reveals an oversized one.
	buffer := make([]byte, prefix+datagram+1)
	loop.lastRead = time.Now()
	for {
		now := time.Now()
		loop.sendHedges(now)
		if err := loop.setReadDeadline(now); err != nil && ctx.Err() == nil {
			return fmt.Errorf("set read deadline of the traffic socket: %w", err)
		}
		// Whatever was queued before the deadline was set does not interrupt the
		// read, so it is processed first.
		loop.runPeriodicWork(now)
		n, _, err := loop.conn.ReadFromUDPAddrPort(buffer[prefix:])
		now = time.Now()
		if now.Sub(loop.lastRead) > pausedAfter {
			loop.backlogEnd = now.Add(backlogTime)
		}
		loop.lastRead = now
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			loop.deadline = time.Time{}
			continue
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// An earlier send caused this error; the socket stays usable.
			loop.metrics.countDrop(dropSocket)
			continue
		}
		loop.lastArrival.Store(now.UnixNano())
		loop.handlePacket(now, buffer[:prefix+n], now)
		loop.requestProbes()
	}
}

// setReadDeadline sets the deadline of the next read: the end of the timeout, or the time
// of the next extra attempt. It keeps a deadline that is more than half of the timeout
// away, or at most half of it before the next extra attempt, which saves a timer
// operation for each packet.
func (loop *trafficLoop) setReadDeadline(now time.Time) error {
	wait := readTimeout
	if len(loop.held) > 0 {
		wait = pollInterval
	}
	if next, waits := loop.engine.NextHedge(); waits && next.Sub(now) < wait {
		wait = max(next.Sub(now), 0)
	}
	if left := loop.deadline.Sub(now); left > wait/2 && left <= wait {
		return nil
	}
	loop.deadline = now.Add(wait)
	return loop.conn.SetReadDeadline(loop.deadline)
}

// wake interrupts the blocked read. It may be called from any goroutine.
func (loop *trafficLoop) wake() {
	// The only possible error is a closed socket, which ends run anyway.
	_ = loop.conn.SetReadDeadline(time.Unix(1, 0))
}

// requestProbes passes the probes that the engine wants to the prober.
func (loop *trafficLoop) requestProbes() {
	for _, probe := range loop.engine.TakeProbes() {
		if !loop.prober.requestProbe(probe) {
			loop.engine.CancelProbe(probe)
			loop.metrics.countDrop(dropProbe)
		}
	}
}

// lastPacket returns when the last packet arrived.
func (loop *trafficLoop) lastPacket() time.Time { return time.Unix(0, loop.lastArrival.Load()) }

// runPeriodicWork adopts a new snapshot, processes the queues, and does the periodic work
// that is due.
func (loop *trafficLoop) runPeriodicWork(now time.Time) {
	if snapshot := loop.snapshot.Load(); snapshot != loop.currentSnapshot && snapshot != nil {
		loop.currentSnapshot = snapshot
		loop.engine.SetSnapshot(snapshot)
		loop.retryHeldPackets(now)
	}
	if limits := loop.limits.Swap(nil); limits != nil {
		loop.engine.SetLimits(*limits)
	}
	loop.processQueues(now)
	loop.sendContradictions(now)
	if len(loop.held) > 0 && now.Sub(loop.held[0].arrived) > holdTime {
		loop.retryHeldPackets(now)
	}
	if now.Sub(loop.lastExpiry) >= expireInterval {
		loop.lastExpiry = now
		loop.engine.RemoveIdleFlows(now)
		loop.engine.RequestRetryProbes(now)
		rank, count := loop.peerRank(now)
		loop.engine.SetPeerRank(forward.PeerRank{Rank: rank, Count: count})
		loop.metrics.setFlows(loop.engine.FlowCount())
		loop.log.logWaits()
	}
	if now.Sub(loop.lastLoadReport) >= loadReportInterval {
		loop.lastLoadReport = now
		loop.reportLoads(now)
	}
	if now.Sub(loop.lastReachCheck) >= reachInterval {
		loop.lastReachCheck = now
		loop.noUpstreamReachable.Store(loop.currentSnapshot != nil && !loop.engine.CanServe(now))
		loop.reportLostRequests(now)
		loop.reportAvoided()
	}
	loop.requestProbes()
}

// retryHeldPackets handles the held packets again. It drops the superseded ones.
func (loop *trafficLoop) retryHeldPackets(now time.Time) {
	held := loop.held
	loop.held = nil
	for _, packet := range held {
		if !packet.superseded.IsZero() && !now.Before(packet.superseded) {
			loop.metrics.countDrop(dropSuperseded)
			continue
		}
		loop.handlePacket(now, packet.buffer, packet.arrived)
	}
}

// handlePacket decodes a packet, asks the engine for a decision and carries it out: it
// forwards the packet, sends a reset, holds the packet or drops it. The buffer has the
// free prefix and the packet; arrived is when the packet was received.
func (loop *trafficLoop) handlePacket(now time.Time, buffer []byte, arrived time.Time) {
	p := &loop.packet
	if err := loop.codec.Decode(buffer[loop.prefix:], p); err != nil {
		loop.metrics.countDrop(dropMalformed)
		return
	}
	if p.Open && now.Before(loop.backlogEnd) {
		// The caller may have opened the flow through another instance since.
		loop.metrics.countDrop(dropSuperseded)
		return
	}
	decision := loop.engine.Decide(now, p)
	switch decision.Action {
	case forward.Forward:
		if decision.HedgeSlot > 0 {
			loop.hedges.keep(decision.HedgeSlot, buffer)
		}
		loop.codec.EncodeForward(buffer, decision.Upstream)
		if _, err := loop.conn.WriteToUDPAddrPort(buffer, decision.Upstream.Address); err != nil {
			loop.metrics.countDrop(dropSocket)
			loop.log.logSendFailed(p, decision.Upstream, err)
		}
	case forward.Reset:
		loop.sendReset(p)
	case forward.Wait:
		if loop.holdPacket(now, p, buffer, arrived) {
			return
		}
	}
	loop.metrics.countDecision(decision, !p.Open)
	if decision.Hedge != hedge.None {
		loop.metrics.countHedge(decision.Hedge)
		loop.log.logHedgeResult(p, decision)
	}
	if decision.MovedFrom != flowcookie.None {
		loop.metrics.moved.Add(1)
		loop.log.logMoved(p, decision)
	}
	if decision.Action == forward.Wait {
		loop.log.countWait(p, decision)
		return
	}
	if decision.Reason != forward.ReasonEstablished {
		loop.log.logDecision(now, p, decision, loop.currentSnapshot)
	}
}

// holdPacket keeps a copy of a packet for the next snapshot. It returns false when the packet
// has waited longer than holdTime or maxHeld packets already wait.
func (loop *trafficLoop) holdPacket(now time.Time, p *forward.Packet, buffer []byte, arrived time.Time) bool {
	if now.Sub(arrived) > holdTime || len(loop.held) >= maxHeld {
		return false
	}
	held := heldPacket{buffer: append([]byte(nil), buffer...), arrived: arrived}
	if p.Open {
		held.superseded = arrived.Add(holdTime)
		if p.Copy == 0 {
			held.superseded = arrived.Add(firstCopyAfter)
		}
	}
	loop.held = append(loop.held, held)
	return true
}

// sendReset sends a reset to the caller of a packet: to the caller's IP address and the
// port of this instance's own traffic address.
func (loop *trafficLoop) sendReset(p *forward.Packet) {
	loop.resetBuffer = loop.codec.AppendReset(loop.resetBuffer[:0], p)
	port := loop.conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	if _, err := loop.conn.WriteToUDPAddrPort(loop.resetBuffer, netip.AddrPortFrom(p.Flow.Caller.Addr(), port)); err != nil {
		loop.metrics.countDrop(dropSocket)
		loop.log.logSendFailed(p, nil, err)
	}
}
