package soak

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/platform/standin"
)

// prefixSize is the number of bytes that precede a packet for an upstream. They hold
// the upstream's token.
const prefixSize = 8

// processingTime is the time from a request to its answer.
const processingTime = 5 * time.Millisecond

// upstream echoes requests and serves health checks at its address until it is stopped.
type upstream struct {
	catalog.Upstream
	checker      *checker
	conn         *net.UDPConn
	port         *port
	healthServer *http.Server
	// queue bounds the requests; nil if the upstream runs all of them at once.
	queue *workQueue

	mu sync.Mutex
	// flows holds the upstream's first sequence number of each open flow, by the
	// caller's address and port.
	flows map[netip.AddrPort]uint32
}

// startUpstream starts an upstream at its address. It fails if the UDP or TCP port is in
// use. With a queue it refuses requests that the queue does not take.
func startUpstream(u catalog.Upstream, queue *workQueue, checker *checker) (*upstream, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(u.Address))
	if err != nil {
		return nil, err
	}
	port, err := listenPort(u.Address.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	newUpstream := &upstream{Upstream: u, checker: checker, conn: conn, port: port, queue: queue, flows: map[netip.AddrPort]uint32{}}
	newUpstream.healthServer = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(standin.IDHeader, u.ID)
	})}
	go func() { _ = newUpstream.healthServer.Serve(port) }() // Ends when the upstream is stopped.
	go newUpstream.receivePackets()
	return newUpstream, nil
}

// stop stops the upstream as if its process ended: it forgets its flows and closes its
// sockets.
func (u *upstream) stop(ctx context.Context) {
	u.mu.Lock()
	clear(u.flows)
	u.mu.Unlock()
	_ = u.conn.Close()
	_ = u.healthServer.Shutdown(ctx)
}

// receivePackets handles datagrams until the socket is closed. A datagram with another
// token was meant for an earlier upstream of the address and is ignored, unless its flow
// is open at another upstream. A packet that is malformed or has no checksum, which every
// caller's packet has, is a violation.
func (u *upstream) receivePackets() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < prefixSize {
			u.checker.recordViolation("UNASKED: upstream %s got a datagram of %d bytes", u.ID, n)
			continue
		}
		var p standin.Packet
		if p.Parse(buffer[prefixSize:n]) != nil || !p.HasChecksum {
			u.checker.recordViolation("UNASKED: upstream %s got a packet that no caller wrote", u.ID)
			continue
		}
		if token := binary.BigEndian.Uint64(buffer); token != u.Token {
			u.checker.checkUnknownFlow(u, p)
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		u.handlePacket(p, from.Addr().Unmap().String())
	}
}

// handlePacket opens and closes flows, echoes data, and resets unknown flows. instance is
// the address of the instance that forwarded the packet.
func (u *upstream) handlePacket(p standin.Packet, instance string) {
	u.mu.Lock()
	_, known := u.flows[p.Source]
	u.mu.Unlock()
	answer := standin.Packet{Source: p.Destination, Destination: p.Source, Ack: true, HasChecksum: true, Cookie: p.Cookie}
	switch {
	case p.Open:
		initialSeq := p.Seq ^ uint32(u.Token)
		u.mu.Lock()
		u.flows[p.Source] = initialSeq
		u.mu.Unlock()
		u.checker.checkOpen(u, p, instance)
		answer.Open, answer.Seq, answer.AckNumber = true, initialSeq, p.Seq+1
		u.answerOpen(answer)
	case !known:
		u.checker.checkUnknownFlow(u, p)
		answer.Ack, answer.Reset, answer.Seq = false, true, p.AckNumber
		u.sendAnswer(answer)
	case len(p.Data) > 0:
		answer.Seq, answer.AckNumber, answer.Data = p.AckNumber, p.Seq+uint32(len(p.Data)), p.Data
		u.checker.checkFlowPacket(u, p)
		u.process(answer)
	case p.Fin || p.Reset:
		u.mu.Lock()
		delete(u.flows, p.Source)
		u.mu.Unlock()
	}
}

// answerOpen answers an opening packet, late if the upstream is slow, so that instances
// send copies of opening packets to other upstreams.
func (u *upstream) answerOpen(answer standin.Packet) {
	if delay := u.queue.openDelay(); delay > 0 {
		time.AfterFunc(delay, func() { u.sendAnswer(answer) })
		return
	}
	u.sendAnswer(answer)
}

// process sends the answer of a request when it has been processed. A refusal is a
// response of one byte.
func (u *upstream) process(answer standin.Packet) {
	if u.queue == nil {
		time.AfterFunc(processingTime, func() { u.sendAnswer(answer) })
		return
	}
	wait, accepted := u.queue.add(time.Now())
	if !accepted {
		answer.Data = answer.Data[:1]
		u.sendAnswer(answer)
		return
	}
	time.AfterFunc(wait, func() {
		u.queue.done()
		u.sendAnswer(answer)
	})
}

// hasFlow returns whether the flow of a caller is open at the upstream.
func (u *upstream) hasFlow(caller netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, known := u.flows[caller]
	return known
}

// sendAnswer sends a packet to the caller directly, not through an instance. The caller
// listens at trafficPort of its own address, whatever the port of the flow.
func (u *upstream) sendAnswer(p standin.Packet) {
	to := netip.AddrPortFrom(p.Destination.Addr(), trafficPort)
	_, _ = u.conn.WriteToUDPAddrPort(p.Append(nil), to) // The answers of a stopped upstream are lost.
}
