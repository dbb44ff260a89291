package platform

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// slowConn delays reads, as a link with the given bytes a second does.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), c.bytesPerSecond/20)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// connectSlowly returns a client on a link of 1 MB a second to a platform with 6 MB of
// objects.
func connectSlowly(t *testing.T) *Client {
	fake, random := newFake(), rand.NewChaCha8([32]byte{})
	for n := range 600 {
		key := string(rune('a'+n%26)) + string(rune('a'+n/26))
		fake.revision++
		value := make([]byte, 10_000) // answers are compressed
		_, _ = random.Read(value)     // Read never fails.
		fake.objects[key] = &pb.Object{Key: key, Value: value, Version: 1, Revision: fake.revision}
	}
	client := fake.connect(t, Config{Prefix: ""})
	dial := client.transport.DialContext
	client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return slowConn{conn, 1_000_000}, err
	}
	return client
}

// Guards against lists that fail over and over because a large answer on a slow link takes
// longer than the time limit of a call.
func TestLargeListOnSlowLinkIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := connectSlowly(t)
		objects, _, err := client.List(t.Context(), "", 0)
		require.NoError(t, err)
		require.Len(t, objects, 600)
	})
}

// Guards against a watch that is replaced as silent, over and over, while a large message
// arrives.
func TestLargeWatchMessageOnSlowLinkIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := connectSlowly(t)
		runClient(t, client)
		require.NoError(t, client.Enqueue(action.WatchObjects{}))
		event := <-client.Events()
		read, ok := event.(action.ObjectsRead)
		require.True(t, ok, "%T", event)
		require.Len(t, read.Objects, 600)
	})
}
