// Package peer carries messages between instances: small ones as UDP
// datagrams, larger ones over connect-go on the same port number.
//
// Heartbeats do not use connect-go because HTTP headers alone would exceed
// the control traffic of 1 KB/s per instance.
package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/telemetry"
)

const (
	// MaxDatagram is the largest message sent as a datagram, in bytes; it
	// fits an Ethernet frame.
	MaxDatagram = 1400
	// MaxMessage is the largest message accepted over connect-go, in bytes.
	// It leaves room for one object of 1 MB and its envelope.
	MaxMessage = 4 << 20

	readBuffer        = 64 << 10
	deliverTimeout    = 2 * time.Second
	deliverWorkers    = 4
	deliverQueue      = 256
	idleConnTimeout   = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// Observer receives the counts of the transport.
type Observer interface {
	// ControlBytes counts the bytes of one message.
	ControlBytes(kind telemetry.MessageKind, direction telemetry.Direction, n int)
	// Dropped counts a message that was not delivered.
	Dropped(reason string)
}

// Reasons with which Observer.Dropped is called.
const (
	DropMalformed  = "peer_malformed"
	DropQueueFull  = "peer_queue_full"
	DropSendFailed = "peer_send_failed"
)

// Transport sends and receives peer messages.
type Transport struct {
	udp      *net.UDPConn
	tcp      net.Listener
	in       chan<- *pb.PeerMessage
	observer Observer
	outbox   chan delivery
	client   *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]chivemastv1connect.PeerServiceClient
}

type delivery struct {
	address netip.AddrPort
	message *pb.PeerMessage
}

// Listen opens the peer address for UDP and TCP. Received messages go to in;
// a message that finds it full is dropped and counted. It fails with
// *listen.Error.
func Listen(address netip.AddrPort, in chan<- *pb.PeerMessage, observer Observer) (*Transport, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &listen.Error{Network: "udp", Address: address, Err: err}
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Join(&listen.Error{Network: "tcp", Address: address, Err: err}, udp.Close())
	}
	return &Transport{
		udp:      udp,
		tcp:      tcp,
		in:       in,
		observer: observer,
		outbox:   make(chan delivery, deliverQueue),
		client:   newHTTPClient(),
		clients:  map[netip.AddrPort]chivemastv1connect.PeerServiceClient{},
	}, nil
}

func newHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Timeout:   deliverTimeout,
		Transport: &http.Transport{Protocols: &protocols, IdleConnTimeout: idleConnTimeout},
	}
}

// Run receives messages until ctx ends, then closes the sockets.
func (t *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := t.newServer()
	group.Go(func() error { return ignoreClosed(ctx, server.Serve(t.tcp)) })
	group.Go(func() error { return ignoreClosed(ctx, t.receive()) })
	for range deliverWorkers {
		group.Go(func() error { t.deliverQueued(ctx); return nil })
	}
	group.Go(func() error {
		<-ctx.Done()
		t.client.CloseIdleConnections()
		return errors.Join(t.udp.Close(), server.Close())
	})
	return group.Wait()
}

func (t *Transport) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewPeerServiceHandler(t, connect.WithReadMaxBytes(MaxMessage)))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout}
}

// ignoreClosed drops the error with which a closed socket ends a loop after
// shutdown.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (t *Transport) receive() error {
	buf := make([]byte, readBuffer)
	for {
		n, _, err := t.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		message := &pb.PeerMessage{}
		if err := proto.Unmarshal(buf[:n], message); err != nil {
			t.observer.Dropped(DropMalformed)
			continue
		}
		t.accept(message, n)
	}
}

// Deliver implements the connect-go side.
func (t *Transport) Deliver(_ context.Context, req *pb.DeliverRequest) (*pb.DeliverResponse, error) {
	if req.GetMessage() == nil {
		t.observer.Dropped(DropMalformed)
		return nil, connect.NewError(connect.CodeInvalidArgument, &EmptyMessageError{})
	}
	t.accept(req.GetMessage(), proto.Size(req.GetMessage()))
	return &pb.DeliverResponse{}, nil
}

// EmptyMessageError says that a delivery had no message.
type EmptyMessageError struct{}

func (*EmptyMessageError) Error() string { return "the delivery has no message" }

func (t *Transport) accept(message *pb.PeerMessage, size int) {
	if message.GetBody() == nil || message.GetFrom() == "" {
		t.observer.Dropped(DropMalformed)
		return
	}
	t.observer.ControlBytes(telemetry.KindOf(message), telemetry.Received, size)
	select {
	case t.in <- message:
	default:
		t.observer.Dropped(DropQueueFull)
	}
}

// Send sends a message without blocking and without a promise of delivery.
func (t *Transport) Send(address netip.AddrPort, message *pb.PeerMessage) {
	data, err := proto.Marshal(message)
	if err != nil {
		t.observer.Dropped(DropMalformed)
		return
	}
	t.observer.ControlBytes(telemetry.KindOf(message), telemetry.Sent, len(data))
	if len(data) > MaxDatagram {
		select {
		case t.outbox <- delivery{address: address, message: message}:
		default:
			t.observer.Dropped(DropQueueFull)
		}
		return
	}
	if _, err := t.udp.WriteToUDPAddrPort(data, address); err != nil {
		t.observer.Dropped(DropSendFailed)
	}
}

func (t *Transport) deliverQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-t.outbox:
			t.deliver(ctx, d)
		}
	}
}

func (t *Transport) deliver(ctx context.Context, d delivery) {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	if _, err := t.clientFor(d.address).Deliver(ctx, &pb.DeliverRequest{Message: d.message}); err != nil {
		t.observer.Dropped(DropSendFailed)
		// A connection whose other end has lost track of it fails by timeout;
		// closing idle connections makes the next delivery dial anew.
		t.client.CloseIdleConnections()
	}
}

func (t *Transport) clientFor(address netip.AddrPort) chivemastv1connect.PeerServiceClient {
	t.mu.Lock()
	defer t.mu.Unlock()
	client, ok := t.clients[address]
	if !ok {
		client = chivemastv1connect.NewPeerServiceClient(t.client, "http://"+address.String())
		t.clients[address] = client
	}
	return client
}
