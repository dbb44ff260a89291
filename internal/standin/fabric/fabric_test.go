package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

func testInstances() []Instance {
	return InstancesFromMap(map[string]netip.AddrPort{
		"i1": netip.MustParseAddrPort("127.0.0.1:1"), "i2": netip.MustParseAddrPort("127.0.0.1:2")})
}

func newTestSprayer(t *testing.T, rates Rates) *Sprayer {
	s, err := NewSprayer(testInstances(), rates, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return s
}

// Guards against fault rates that differ from the configured ones, and against
// sprayers with equal seeds that route differently.
func TestSprayerFollowsRatesAndSeed(t *testing.T) {
	rates := Rates{Drop: 0.1, Duplicate: 0.2, Reorder: 0.3}
	a, b := newTestSprayer(t, rates), newTestSprayer(t, rates)
	const packets = 20_000
	for range packets {
		require.Equal(t, a.Route("127.0.0.1:9"), b.Route("127.0.0.1:9"))
	}
	s := a.Stats()
	// Six standard deviations of the largest of the counts are 600.
	require.InDelta(t, packets*0.2, s.Duplicated, 600)
	require.InDelta(t, packets*1.2*0.1, s.Dropped, 600)
	require.InDelta(t, packets*1.2*0.9*0.3, s.Reordered, 600)
	require.InDelta(t, s.PerInstance["i1"], s.PerInstance["i2"], 900)
	var rateError *RateError
	require.ErrorAs(t, a.SetRates(Rates{Drop: 1.5}), &rateError)
}

// Guards against packets that reach an instance although their pair is blocked
// or the instance is disabled.
func TestSprayerBlocksPairsAndDisablesInstances(t *testing.T) {
	s := newTestSprayer(t, Rates{})
	reachedInstances := func(caller string) map[string]bool {
		names := map[string]bool{}
		for range 100 {
			for _, d := range s.Route(caller) {
				names[d.Instance.Name] = true
			}
		}
		return names
	}
	for _, blocked := range []string{"127.0.0.1:9", "127.0.0.1", "*"} {
		s.Block(Pair{blocked, "i1"}, true)
		require.Equal(t, map[string]bool{"i2": true}, reachedInstances("127.0.0.1:9"), blocked)
		s.Block(Pair{blocked, "i1"}, false)
	}
	s.Block(Pair{"127.0.0.1:9", "*"}, true)
	require.Empty(t, reachedInstances("127.0.0.1:9"))
	require.Len(t, reachedInstances("127.0.0.1:8"), 2)
	s.Disable("i2", true)
	require.Equal(t, map[string]bool{"i1": true}, reachedInstances("127.0.0.1:8"))
	s.Disable("i1", true)
	require.Empty(t, reachedInstances("127.0.0.1:8"))
}

// Guards against a server that alters datagrams, or that stops forwarding after
// a malformed one.
func TestServerForwardsDatagrams(t *testing.T) {
	instance, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer instance.Close()
	s := newTestSprayer(t, Rates{Latency: time.Microsecond})
	s.SetInstances([]Instance{{"i1", instance.LocalAddr().(*net.UDPAddr).AddrPort()}})
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), s)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server.Address()))
	require.NoError(t, err)
	defer conn.Close()
	sent, err := proto.Marshal(&pb.Packet{Caller: conn.LocalAddr().String(), FlowId: 7})
	require.NoError(t, err)
	_, err = conn.Write([]byte{0xff})
	require.NoError(t, err)
	_, err = conn.Write(sent)
	require.NoError(t, err)
	buffer := make([]byte, maxDatagram)
	require.NoError(t, instance.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := instance.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, sent, buffer[:n])
	require.EqualValues(t, 1, s.Stats().Malformed)
	cancel()
	require.NoError(t, <-done)
}
