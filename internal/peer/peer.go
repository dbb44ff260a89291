// Package peer carries messages between instances: up to MaxDatagram bytes as a UDP
// datagram, larger ones over connect-go on the same port number.
//
// Heartbeats do not use connect-go because HTTP headers alone would exceed the limit of
// 1 KB/s of control traffic per instance.
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
	// MaxDatagram is the size of the largest message sent as a datagram, in bytes. Such
	// a datagram fits into an Ethernet frame.
	MaxDatagram = 1400
	// MaxMessage is the size of the largest message accepted over connect-go, in bytes.
	// It leaves room for one object of 1 MB and its envelope.
	MaxMessage = 4 << 20

	readBufferBytes   = 64 << 10
	deliveryTimeout   = 2 * time.Second
	deliveryWorkers   = 4
	deliveryQueueSize = 256
	idleConnTimeout   = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// Observer counts the messages of the transport. Its methods are called concurrently.
type Observer interface {
	// ControlBytes counts one message of n bytes, before it is queued or sent.
	ControlBytes(kind telemetry.MessageKind, direction telemetry.Direction, n int)
	// Dropped counts a message that was not delivered; reason is one of the Drop
	// constants.
	Dropped(reason string)
}

// Reasons passed to Observer.Dropped. They are label values of the metric for dropped
// packets.
const (
	DropMalformed  = "peer_malformed"
	DropQueueFull  = "peer_queue_full"
	DropSendFailed = "peer_send_failed"
)

// Transport sends and receives peer messages.
type Transport struct {
	udpConn     *net.UDPConn
	tcpListener net.Listener
	received    chan<- *pb.PeerMessage
	observer    Observer
	// deliveries queues the messages that are too large for a datagram.
	deliveries chan delivery
	httpClient *http.Client

	mu sync.Mutex
	// clients caches one connect-go client per peer address, guarded by mu. Entries are
	// never removed.
	clients map[netip.AddrPort]chivemastv1connect.PeerServiceClient
}

// delivery is a message to be sent over connect-go.
type delivery struct {
	address netip.AddrPort
	message *pb.PeerMessage
}

// Listen opens the UDP and TCP sockets of the peer address. Received messages are sent
// to received; a message that arrives while this channel is full is dropped and
// counted. Listen fails with *listen.Error.
func Listen(address netip.AddrPort, received chan<- *pb.PeerMessage, observer Observer) (*Transport, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &listen.Error{Network: "udp", Address: address, Err: err}
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Join(&listen.Error{Network: "tcp", Address: address, Err: err}, udp.Close())
	}
	return &Transport{
		udpConn:     udp,
		tcpListener: tcp,
		received:    received,
		observer:    observer,
		deliveries:  make(chan delivery, deliveryQueueSize),
		httpClient:  newHTTPClient(),
		clients:     map[netip.AddrPort]chivemastv1connect.PeerServiceClient{},
	}, nil
}

func newHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Timeout:   deliveryTimeout,
		Transport: &http.Transport{Protocols: &protocols, IdleConnTimeout: idleConnTimeout},
	}
}

// Run receives messages until ctx ends, then closes the sockets. It returns the first
// error of a socket that fails earlier.
func (transport *Transport) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := transport.newServer()
	group.Go(func() error { return ignoreClosed(ctx, server.Serve(transport.tcpListener)) })
	group.Go(func() error { return ignoreClosed(ctx, transport.receiveDatagrams()) })
	for range deliveryWorkers {
		group.Go(func() error { transport.runDeliveryWorker(ctx); return nil })
	}
	group.Go(func() error {
		<-ctx.Done()
		transport.httpClient.CloseIdleConnections()
		return errors.Join(transport.udpConn.Close(), server.Close())
	})
	return group.Wait()
}

func (transport *Transport) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewPeerServiceHandler(transport, connect.WithReadMaxBytes(MaxMessage)))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout}
}

// ignoreClosed returns nil instead of err after ctx has ended, because the sockets are
// then closed on purpose.
func ignoreClosed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (transport *Transport) receiveDatagrams() error {
	buf := make([]byte, readBufferBytes)
	for {
		n, _, err := transport.udpConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			continue
		}
		message := &pb.PeerMessage{}
		if err := proto.Unmarshal(buf[:n], message); err != nil {
			transport.observer.Dropped(DropMalformed)
			continue
		}
		transport.enqueueReceived(message, n)
	}
}

// Deliver implements PeerService. It fails with CodeInvalidArgument if the request has
// no message, and returns without an error when a message is dropped because the
// receive queue is full.
func (transport *Transport) Deliver(_ context.Context, req *pb.DeliverRequest) (*pb.DeliverResponse, error) {
	if req.GetMessage() == nil {
		transport.observer.Dropped(DropMalformed)
		return nil, connect.NewError(connect.CodeInvalidArgument, &EmptyMessageError{})
	}
	transport.enqueueReceived(req.GetMessage(), proto.Size(req.GetMessage()))
	return &pb.DeliverResponse{}, nil
}

// EmptyMessageError reports a delivery request without a message.
type EmptyMessageError struct{}

func (*EmptyMessageError) Error() string { return "delivery request contains no message" }

// enqueueReceived counts a message of size bytes and passes it on, or drops it when the
// channel is full or the message lacks a sender or a body.
func (transport *Transport) enqueueReceived(message *pb.PeerMessage, size int) {
	if message.GetBody() == nil || message.GetFrom() == "" {
		transport.observer.Dropped(DropMalformed)
		return
	}
	transport.observer.ControlBytes(telemetry.KindOf(message), telemetry.Received, size)
	select {
	case transport.received <- message:
	default:
		transport.observer.Dropped(DropQueueFull)
	}
}

// Send sends a message without blocking. Delivery is best effort: a failure is only
// counted.
func (transport *Transport) Send(address netip.AddrPort, message *pb.PeerMessage) {
	data, err := proto.Marshal(message)
	if err != nil {
		transport.observer.Dropped(DropMalformed)
		return
	}
	transport.observer.ControlBytes(telemetry.KindOf(message), telemetry.Sent, len(data))
	if len(data) > MaxDatagram {
		select {
		case transport.deliveries <- delivery{address: address, message: message}:
		default:
			transport.observer.Dropped(DropQueueFull)
		}
		return
	}
	if _, err := transport.udpConn.WriteToUDPAddrPort(data, address); err != nil {
		transport.observer.Dropped(DropSendFailed)
	}
}

func (transport *Transport) runDeliveryWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-transport.deliveries:
			transport.sendDelivery(ctx, d)
		}
	}
}

// sendDelivery sends one message over connect-go and waits up to deliveryTimeout.
func (transport *Transport) sendDelivery(ctx context.Context, d delivery) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	if _, err := transport.clientFor(d.address).Deliver(ctx, &pb.DeliverRequest{Message: d.message}); err != nil {
		transport.observer.Dropped(DropSendFailed)
		// When the other end no longer knows the connection, requests on it fail only by
		// timeout. Closing idle connections makes the next delivery open a new one.
		transport.httpClient.CloseIdleConnections()
	}
}

func (transport *Transport) clientFor(address netip.AddrPort) chivemastv1connect.PeerServiceClient {
	transport.mu.Lock()
	defer transport.mu.Unlock()
	client, ok := transport.clients[address]
	if !ok {
		client = chivemastv1connect.NewPeerServiceClient(transport.httpClient, "http://"+address.String())
		transport.clients[address] = client
	}
	return client
}
