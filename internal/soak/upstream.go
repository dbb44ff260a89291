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

// prefixSize is the number of bytes before a packet that name its upstream.
const prefixSize = 8

// workTime is how long an upstream works on a request.
const workTime = 5 * time.Millisecond

// upstream answers on an address until it is stopped.
type upstream struct {
	catalog.Upstream
	ledger *ledger
	conn   *net.UDPConn
	health *http.Server

	mu    sync.Mutex
	flows map[netip.AddrPort]uint32
}

func startUpstream(u catalog.Upstream, l *ledger) (*upstream, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(u.Address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", u.Address.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	up := &upstream{Upstream: u, ledger: l, conn: conn, flows: map[netip.AddrPort]uint32{}}
	up.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(standin.IDHeader, u.ID)
	})}
	go func() { _ = up.health.Serve(listener) }() // Ends when the upstream is stopped.
	go up.receive()
	return up, nil
}

// stop ends the process: its flows are gone.
func (u *upstream) stop(ctx context.Context) {
	u.mu.Lock()
	clear(u.flows)
	u.mu.Unlock()
	_ = u.conn.Close()
	_ = u.health.Shutdown(ctx)
}

func (u *upstream) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := u.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < prefixSize {
			u.ledger.violate("UNASKED: upstream %s got a datagram of %d bytes", u.ID, n)
			continue
		}
		if token := binary.BigEndian.Uint64(buffer); token != u.Token {
			continue
		}
		var s standin.Packet
		if s.Parse(buffer[prefixSize:n]) != nil || !s.HasChecksum {
			u.ledger.violate("UNASKED: upstream %s got a packet that no caller wrote", u.ID)
			continue
		}
		s.Data = append([]byte(nil), s.Data...)
		u.handle(s)
	}
}

func (u *upstream) handle(s standin.Packet) {
	u.mu.Lock()
	_, known := u.flows[s.Source]
	u.mu.Unlock()
	answer := standin.Packet{Source: s.Destination, Destination: s.Source, Ack: true, HasChecksum: true, Cookie: s.Cookie}
	switch {
	case s.Open:
		isn := s.Seq ^ uint32(u.Token)
		u.mu.Lock()
		u.flows[s.Source] = isn
		u.mu.Unlock()
		u.ledger.opened(u, s)
		answer.Open, answer.Seq, answer.AckNumber = true, isn, s.Seq+1
		u.send(answer)
	case !known:
		u.ledger.strayed(u, s)
		answer.Ack, answer.Reset, answer.Seq = false, true, s.AckNumber
		u.send(answer)
	case len(s.Data) > 0:
		answer.Seq, answer.AckNumber, answer.Data = s.AckNumber, s.Seq+uint32(len(s.Data)), s.Data
		time.AfterFunc(workTime, func() { u.send(answer) })
	case s.Fin || s.Reset:
		u.mu.Lock()
		delete(u.flows, s.Source)
		u.mu.Unlock()
	}
}

func (u *upstream) holds(caller netip.AddrPort) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	_, known := u.flows[caller]
	return known
}

// send sends a packet to the caller, past the instances. The caller's end
// listens at its own address and the port of the traffic addresses.
func (u *upstream) send(s standin.Packet) {
	to := netip.AddrPortFrom(s.Destination.Addr(), trafficPort)
	_, _ = u.conn.WriteToUDPAddrPort(s.Append(nil), to) // A stopped upstream loses its answers.
}
