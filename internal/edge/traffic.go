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
)

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
