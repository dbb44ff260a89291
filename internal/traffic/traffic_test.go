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

type observed struct{ drops chan string }

func (o observed) Dropped(reason string) { o.drops <- reason }
func (observed) Forwarded()              {}

// toUpstream routes every packet to one address.
type toUpstream netip.AddrPort

func (r toUpstream) Route(*pb.Packet) (netip.AddrPort, bool) { return netip.AddrPort(r), true }

type fixture struct {
	server  *Server
	control chan Inbound
	drops   chan string
	caller  *net.UDPConn
}

func newFixture(t *testing.T, queue int) *fixture {
	t.Helper()
	f := &fixture{control: make(chan Inbound, queue), drops: make(chan string, 16)}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	var err error
	f.server, err = Listen(Config{CallerAddress: loopback, UpstreamAddress: loopback, Workers: 1}, f.control, observed{f.drops})
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

// Guards against a caller that passes a packet off as decided, and against a
// routed packet whose answer cannot come back.
func TestRoutedPacketsCarryOnlyTheCallersFields(t *testing.T) {
	f := newFixture(t, 1)
	upstream, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer upstream.Close()
	f.server.SetRouter(toUpstream(netip.MustParseAddrPort(upstream.LocalAddr().String())))
	f.send(t, &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_DATA, Attempt: 7, ReplyTo: "127.0.0.1:1", Payload: []byte("x")})
	got := receive(t, upstream)
	require.Zero(t, got.GetAttempt())
	require.Equal(t, f.server.ReplyTo(), got.GetReplyTo())
	require.Equal(t, []byte("x"), got.GetPayload())
}

// Guards against bad datagrams that end a receiver or pass uncounted.
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

// Guards against a full control queue that blocks traffic or leaves the caller
// without an answer.
func TestFullQueueIsRefused(t *testing.T) {
	f := newFixture(t, 0)
	open := &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_OPEN, Caller: f.caller.LocalAddr().String(), FlowId: 3}
	f.send(t, open)
	require.Equal(t, DropQueueFull, <-f.drops)
	got := receive(t, f.caller)
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL, got.GetRefusal())
	require.False(t, got.GetNotRun())
}
