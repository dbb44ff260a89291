// Package traffic owns the UDP sockets towards callers and upstreams. Its goroutines
// forward the packets that the current router can decide, and pass all others to the
// control goroutine.
package traffic

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/listen"
)

const (
	// MaxDatagram is the size of the largest accepted packet, in bytes.
	MaxDatagram = 1400

	// readBuffer is the size of the receive buffer in bytes. It is larger than
	// MaxDatagram so that an oversized packet is detected.
	readBuffer = 2048
	// socketBuffer is the size of the kernel's receive buffer in bytes. It holds about
	// 30 ms of packets at 100,000 packets/s.
	socketBuffer = 4 << 20
)

// Reasons with which Observer.Dropped is called.
const (
	DropMalformed  = "malformed"
	DropOversized  = "oversized"
	DropQueueFull  = "queue_full"
	DropSendFailed = "socket"
)

// Observer counts packets. It is called from several goroutines at once.
type Observer interface {
	// Dropped counts a packet that was dropped; reason is one of the Drop constants.
	Dropped(reason string)
	// Forwarded counts a caller's packet that was forwarded without the control
	// goroutine.
	Forwarded()
}

// Router decides callers' packets without the control goroutine. It is immutable.
type Router interface {
	// Route returns the address of the upstream for a packet. ok is false when the
	// control goroutine has to decide.
	Route(p *pb.Packet) (upstream netip.AddrPort, ok bool)
}

// Inbound is a received packet for the control goroutine.
type Inbound struct {
	Packet *pb.Packet
	// FromUpstream is true for a packet that came from an upstream.
	FromUpstream bool
	// Source is the address from which the packet was received.
	Source netip.AddrPort
}

// Config holds the settings of a Server.
type Config struct {
	// CallerAddress is the local address that receives the packets of callers.
	CallerAddress netip.AddrPort
	// UpstreamAddress is the local address that receives the packets of upstreams. With
	// port 0, the kernel selects a port.
	UpstreamAddress netip.AddrPort
	// Workers is the number of receiving goroutines per socket.
	Workers int
}

// Server owns the socket towards callers and the socket towards upstreams.
type Server struct {
	cfg      Config
	callers  *net.UDPConn
	upstream *net.UDPConn
	replyTo  string
	router   atomic.Pointer[Router]
	control  chan<- Inbound
	observer Observer
}

// Listen opens the sockets. Packets that need a decision are sent to control. When
// control is full, they are dropped and counted, and the caller of an OPEN or a request
// receives a refusal. It fails with *listen.Error, joined with the error of closing the
// other socket if there is one.
func Listen(cfg Config, control chan<- Inbound, observer Observer) (*Server, error) {
	callers, err := listenUDP(cfg.CallerAddress)
	if err != nil {
		return nil, err
	}
	upstream, err := listenUDP(cfg.UpstreamAddress)
	if err != nil {
		return nil, errors.Join(err, callers.Close())
	}
	return &Server{
		cfg:      cfg,
		callers:  callers,
		upstream: upstream,
		replyTo:  upstream.LocalAddr().String(),
		control:  control,
		observer: observer,
	}, nil
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &listen.Error{Network: "udp", Address: address, Err: err}
	}
	// The kernel may cap the size. A smaller buffer only drops packets earlier.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// ReplyTo returns the address to which upstreams answer, as ip:port.
func (s *Server) ReplyTo() string { return s.replyTo }

// SetRouter sets the router for all later packets. Until the first call, every packet
// goes to the control goroutine. It is safe for concurrent use.
func (s *Server) SetRouter(router Router) { s.router.Store(&router) }

// Run receives packets until ctx ends, then closes the sockets and returns the error of
// closing them. It ends early with an error when a socket is closed otherwise.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range s.cfg.Workers {
		group.Go(func() error { return s.receive(ctx, s.callers, s.handleCallerPacket) })
		group.Go(func() error { return s.receive(ctx, s.upstream, s.handleUpstreamPacket) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(s.callers.Close(), s.upstream.Close())
	})
	return group.Wait()
}

func (s *Server) receive(ctx context.Context, conn *net.UDPConn, handle func(*pb.Packet, netip.AddrPort)) error {
	buffer := make([]byte, readBuffer)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			continue
		case n > MaxDatagram:
			s.observer.Dropped(DropOversized)
			continue
		}
		packet := &pb.Packet{}
		if err := proto.Unmarshal(buffer[:n], packet); err != nil {
			s.observer.Dropped(DropMalformed)
			continue
		}
		handle(packet, netip.AddrPortFrom(source.Addr().Unmap(), source.Port()))
	}
}

func (s *Server) handleCallerPacket(packet *pb.Packet, source netip.AddrPort) {
	ClearInternal(packet)
	if router := s.router.Load(); router != nil {
		if upstream, ok := (*router).Route(packet); ok {
			packet.ReplyTo = s.replyTo
			s.SendUpstream(upstream, packet)
			s.observer.Forwarded()
			return
		}
	}
	if s.enqueueForControl(Inbound{Packet: packet, Source: source}) {
		return
	}
	s.refuseQueueFull(packet)
}

// refuseQueueFull refuses an OPEN or a request because the control queue is full. The
// refusal does not set NotRun, because a copy of the packet may have reached another
// instance.
func (s *Server) refuseQueueFull(packet *pb.Packet) {
	if packet.GetKind() != pb.PacketKind_PACKET_KIND_OPEN && packet.GetKind() != pb.PacketKind_PACKET_KIND_REQUEST {
		return
	}
	s.SendCaller(&pb.Packet{
		Kind:      pb.PacketKind_PACKET_KIND_REFUSAL,
		Caller:    packet.GetCaller(),
		Service:   packet.GetService(),
		FlowId:    packet.GetFlowId(),
		RequestId: packet.GetRequestId(),
		Refusal:   pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL,
	})
}

func (s *Server) handleUpstreamPacket(packet *pb.Packet, source netip.AddrPort) {
	s.enqueueForControl(Inbound{Packet: packet, FromUpstream: true, Source: source})
}

func (s *Server) enqueueForControl(inbound Inbound) bool {
	select {
	case s.control <- inbound:
		return true
	default:
		s.observer.Dropped(DropQueueFull)
		return false
	}
}

// SendUpstream sends a packet to an upstream. A packet that cannot be sent is dropped
// and counted.
func (s *Server) SendUpstream(upstream netip.AddrPort, packet *pb.Packet) {
	s.sendPacket(s.upstream, upstream, packet)
}

// SendCaller sends a packet to the address in its Caller field. A packet that has no
// valid address or cannot be sent is dropped and counted.
func (s *Server) SendCaller(packet *pb.Packet) {
	caller, err := netip.ParseAddrPort(packet.GetCaller())
	if err != nil {
		s.observer.Dropped(DropMalformed)
		return
	}
	s.sendPacket(s.callers, caller, packet)
}

func (s *Server) sendPacket(conn *net.UDPConn, destination netip.AddrPort, packet *pb.Packet) {
	data, err := proto.Marshal(packet)
	if err != nil {
		s.observer.Dropped(DropMalformed)
		return
	}
	// A write blocks while the kernel's send buffer is full; the deadline limits how
	// long it stops the goroutine.
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := conn.WriteToUDPAddrPort(data, destination); err != nil {
		s.observer.Dropped(DropSendFailed)
	}
}

// sendTimeout is the write deadline of one packet.
const sendTimeout = 50 * time.Millisecond

// ClearInternal clears the fields that only instances and upstreams set, so that a
// caller cannot forge a decided packet.
func ClearInternal(packet *pb.Packet) {
	packet.Attempt = 0
	packet.ReplyTo = ""
	packet.Upstream = ""
	packet.BootId = 0
	packet.Part = 0
	packet.Parts = 0
	packet.Refusal = pb.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	packet.NotRun = false
}
