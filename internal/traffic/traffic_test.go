package traffic

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// dropRecorder is an Observer that sends the reason of each drop to a channel.
type dropRecorder struct{ drops chan string }

func (r dropRecorder) Dropped(reason string) { r.drops <- reason }
func (dropRecorder) Forwarded()              {}

// fixedRoute is a Router that routes every packet to one address.
type fixedRoute netip.AddrPort

func (r fixedRoute) Route(*pb.Packet) (netip.AddrPort, bool) { return netip.AddrPort(r), true }

// fixture is a running server with a caller's socket.
type fixture struct {
	server  *Server
	control chan Inbound
	drops   chan string
	caller  *net.UDPConn
}

func newFixture(t *testing.T, queueLength int) *fixture {
	t.Helper()
	f := &fixture{control: make(chan Inbound, queueLength), drops: make(chan string, 16)}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	var err error
	f.server, err = Listen(Config{CallerAddress: loopback, UpstreamAddress: loopback, Workers: 1}, f.control, dropRecorder{f.drops})
	require.NoError(t, err)
	f.caller, err = net.DialUDP("udp", nil, f.server.callers.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = f.server.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait(); f.caller.Close() })
	return f
}

func (f *fixture) send(t *testing.T, p *pb.Packet) {
	t.Helper()
	data, err := proto.Marshal(p)
	require.NoError(t, err)
	_, err = f.caller.Write(data)
	require.NoError(t, err)
}

func receive(t *testing.T, conn *net.UDPConn) *pb.Packet {
	t.Helper()
	buf := make([]byte, readBuffer)
	n, err := conn.Read(buf)
	require.NoError(t, err)
	p := &pb.Packet{}
	require.NoError(t, proto.Unmarshal(buf[:n], p))
	return p
}

// Guards against a caller that forges a decided packet, and against a routed packet
// without the address to which the upstream answers.
func TestRoutedPacketsCarryOnlyTheCallersFields(t *testing.T) {
	f := newFixture(t, 1)
	upstream, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer upstream.Close()
	f.server.SetRouter(fixedRoute(netip.MustParseAddrPort(upstream.LocalAddr().String())))
	f.send(t, &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_DATA, Attempt: 7, ReplyTo: "127.0.0.1:1", Payload: []byte("x")})
	got := receive(t, upstream)
	require.Zero(t, got.GetAttempt())
	require.Equal(t, f.server.ReplyTo(), got.GetReplyTo())
	require.Equal(t, []byte("x"), got.GetPayload())
}

// Guards against malformed or oversized datagrams that end the receiver or are not
// counted.
func TestBadDatagramsAreCounted(t *testing.T) {
	f := newFixture(t, 1)
	for _, tc := range []struct {
		data   []byte
		reason string
	}{{[]byte{0xff}, DropMalformed}, {make([]byte, MaxDatagram+1), DropOversized}} {
		_, err := f.caller.Write(tc.data)
		require.NoError(t, err)
		require.Equal(t, tc.reason, <-f.drops)
	}
}

// Guards against a full control queue that blocks the receiver or leaves the caller
// without an answer.
func TestOpenIsRefusedWhenTheControlQueueIsFull(t *testing.T) {
	f := newFixture(t, 0)
	open := &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_OPEN, Caller: f.caller.LocalAddr().String(), FlowId: 3}
	f.send(t, open)
	require.Equal(t, DropQueueFull, <-f.drops)
	got := receive(t, f.caller)
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL, got.GetRefusal())
	require.False(t, got.GetNotRun())
}
