package peer

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/telemetry"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// dropObserver sends the reason of every dropped message to a channel.
type dropObserver struct{ drops chan string }

func (o dropObserver) Dropped(reason string) { o.drops <- reason }

func (dropObserver) ControlBytes(telemetry.MessageKind, telemetry.Direction, int) {}

// freeAddress returns a loopback address whose TCP port was free when it was checked.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func startTransport(t *testing.T) (*Transport, netip.AddrPort, chan *pb.PeerMessage, chan string) {
	t.Helper()
	in, drops := make(chan *pb.PeerMessage, 4), make(chan string, 16)
	address := freeAddress(t)
	transport, err := Listen(address, in, dropObserver{drops})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = transport.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return transport, address, in, drops
}

// objectPush returns a push of one object whose key has the given length.
func objectPush(size int) *pb.PeerMessage {
	return &pb.PeerMessage{From: "i1", Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{
		Objects: []*pb.Object{{Key: strings.Repeat("k", size)}},
	}}}
}

// Guards against messages that are lost because they do not fit into a datagram.
func TestSmallAndLargeMessagesArrive(t *testing.T) {
	sender, _, _, _ := startTransport(t)
	_, address, in, _ := startTransport(t)
	for _, size := range []int{10, 100_000} {
		sender.Send(address, objectPush(size))
		got := <-in
		require.Len(t, got.GetObjectPush().GetObjects()[0].GetKey(), size)
	}
}

// Guards against malformed datagrams that stop the receiver or are not counted.
func TestMalformedDatagramsAreCounted(t *testing.T) {
	_, address, _, drops := startTransport(t)
	conn, err := net.Dial("udp", address.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, data := range [][]byte{{0xff, 0xff}, {}} {
		_, err = conn.Write(data)
		require.NoError(t, err)
		require.Equal(t, DropMalformed, <-drops)
	}
}

// Guards against a transport that starts without an error although its address is in
// use.
func TestListenFailsOnAddressInUse(t *testing.T) {
	_, address, _, _ := startTransport(t)
	_, err := Listen(address, nil, dropObserver{})
	var target *listen.Error
	require.ErrorAs(t, err, &target)
}
