// Package traffic owns the sockets towards callers and upstreams. Its
// goroutines forward packets that the current routing snapshot decides and
// hand everything else to the control goroutine.
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
	// MaxDatagram is the largest packet accepted, in bytes.
	MaxDatagram = 1400

	// A buffer larger than MaxDatagram makes an oversized packet visible.
	readBuffer = 2048
	// socketBuffer holds about 30 ms of packets at 100,000 packets/s.
	socketBuffer = 4 << 20
)

// Reasons with which Observer.Dropped is called.
const (
	DropMalformed  = "malformed"
	DropOversized  = "oversized"
	DropQueueFull  = "queue_full"
	DropSendFailed = "socket"
)

// Observer receives the counts of the sockets. It is called from several
// goroutines.
type Observer interface {
	Dropped(reason string)
	Forwarded()
}

// Router decides packets of callers without the control goroutine. It is
// immutable.
type Router interface {
	// Route returns the upstream of a packet; ok is false when the control
	// goroutine has to decide.
	Route(p *pb.Packet) (upstream netip.AddrPort, ok bool)
}

// Inbound is a packet for the control goroutine.
type Inbound struct {
	Packet *pb.Packet
	// FromUpstream is true for a packet that came from an upstream.
	FromUpstream bool
	// Source is the address that the packet came from.
	Source netip.AddrPort
}

// Config sets up a Server.
type Config struct {
	// CallerAddress receives packets of callers from the fabric.
	CallerAddress netip.AddrPort
	// UpstreamAddress receives packets of upstreams; port 0 picks one.
	UpstreamAddress netip.AddrPort
	// Workers is the number of goroutines per socket.
	Workers int
}

// Server owns the two sockets.
type Server struct {
	cfg      Config
	callers  *net.UDPConn
	upstream *net.UDPConn
	replyTo  string
	router   atomic.Pointer[Router]
	control  chan<- Inbound
	observer Observer
}

// Listen opens the sockets. Packets that need a decision go to control; a
// packet that finds it full is refused and counted. It fails with
// *listen.Error.
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
	// The kernel may cap the size; a smaller buffer only drops earlier.
	_ = conn.SetReadBuffer(socketBuffer)
	return conn, nil
}

// ReplyTo is the address to which upstreams answer, as ip:port.
func (s *Server) ReplyTo() string { return s.replyTo }

// SetRouter publishes a routing snapshot.
func (s *Server) SetRouter(router Router) { s.router.Store(&router) }

// Run serves until ctx ends, then closes the sockets.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range s.cfg.Workers {
		group.Go(func() error { return s.receive(ctx, s.callers, s.handleCaller) })
		group.Go(func() error { return s.receive(ctx, s.upstream, s.handleUpstream) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(s.callers.Close(), s.upstream.Close())
	})
	return group.Wait()
}

func (s *Server) receive(ctx context.Context, conn *net.UDPConn, handle func(*pb.Packet, netip.AddrPort)) error {
	buf := make([]byte, readBuffer)
	for {
		n, source, err := conn.ReadFromUDPAddrPort(buf)
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
		if err := proto.Unmarshal(buf[:n], packet); err != nil {
			s.observer.Dropped(DropMalformed)
			continue
		}
		handle(packet, netip.AddrPortFrom(source.Addr().Unmap(), source.Port()))
	}
}

func (s *Server) handleCaller(packet *pb.Packet, source netip.AddrPort) {
	ClearInternal(packet)
	if router := s.router.Load(); router != nil {
		if upstream, ok := (*router).Route(packet); ok {
			packet.ReplyTo = s.replyTo
			s.SendUpstream(upstream, packet)
			s.observer.Forwarded()
			return
		}
	}
	if s.enqueue(Inbound{Packet: packet, Source: source}) {
		return
	}
	s.refuseQueueFull(packet)
}

// refuseQueueFull tells the caller of an OPEN or a request that this instance
// is overloaded. It makes no "not run" claim, because a copy of the packet may
// have reached another instance.
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

func (s *Server) handleUpstream(packet *pb.Packet, source netip.AddrPort) {
	s.enqueue(Inbound{Packet: packet, FromUpstream: true, Source: source})
}

func (s *Server) enqueue(in Inbound) bool {
	select {
	case s.control <- in:
		return true
	default:
		s.observer.Dropped(DropQueueFull)
		return false
	}
}

// SendUpstream sends a packet to an upstream.
func (s *Server) SendUpstream(upstream netip.AddrPort, packet *pb.Packet) {
	s.send(s.upstream, upstream, packet)
}

// SendCaller sends a packet to the caller that it names.
func (s *Server) SendCaller(packet *pb.Packet) {
	caller, err := netip.ParseAddrPort(packet.GetCaller())
	if err != nil {
		s.observer.Dropped(DropMalformed)
		return
	}
	s.send(s.callers, caller, packet)
}

func (s *Server) send(conn *net.UDPConn, to netip.AddrPort, packet *pb.Packet) {
	data, err := proto.Marshal(packet)
	if err != nil {
		s.observer.Dropped(DropMalformed)
		return
	}
	// A send blocks at most for the kernel's buffer; the deadline keeps a full
	// buffer from stopping the goroutine.
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		s.observer.Dropped(DropSendFailed)
	}
}

const sendTimeout = 50 * time.Millisecond

// ClearInternal removes the fields that only instances and upstreams set, so
// that a caller cannot pass a packet off as decided.
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
