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

// observed reports every drop on a channel.
type observed struct{ drops chan string }

func (o observed) Dropped(reason string) { o.drops <- reason }

func (observed) ControlBytes(telemetry.MessageKind, telemetry.Direction, int) {}

// freeAddress returns a loopback address whose UDP and TCP ports were free.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func run(t *testing.T) (*Transport, netip.AddrPort, chan *pb.PeerMessage, chan string) {
	t.Helper()
	in, drops := make(chan *pb.PeerMessage, 4), make(chan string, 16)
	address := freeAddress(t)
	transport, err := Listen(address, in, observed{drops})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = transport.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return transport, address, in, drops
}

func push(size int) *pb.PeerMessage {
	return &pb.PeerMessage{From: "i1", Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{
		Objects: []*pb.Object{{Key: strings.Repeat("k", size)}},
	}}}
}

// Guards against messages that are lost because they do not fit a datagram.
func TestSmallAndLargeMessagesArrive(t *testing.T) {
	sender, _, _, _ := run(t)
	_, address, in, _ := run(t)
	for _, size := range []int{10, 100_000} {
		sender.Send(address, push(size))
		got := <-in
		require.Len(t, got.GetObjectPush().GetObjects()[0].GetKey(), size)
	}
}

// Guards against datagrams that end the receiver or pass uncounted.
func TestMalformedDatagramsAreCounted(t *testing.T) {
	_, address, _, drops := run(t)
	conn, err := net.Dial("udp", address.String())
	require.NoError(t, err)
	defer conn.Close()
	for _, data := range [][]byte{{0xff, 0xff}, {}} {
		_, err = conn.Write(data)
		require.NoError(t, err)
		require.Equal(t, DropMalformed, <-drops)
	}
}

// Guards against an address in use that passes as a running transport.
func TestListenFailsOnAnAddressInUse(t *testing.T) {
	_, address, _, _ := run(t)
	_, err := Listen(address, nil, observed{})
	var target *listen.Error
	require.ErrorAs(t, err, &target)
}
