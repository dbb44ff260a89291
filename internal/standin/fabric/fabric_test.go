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

func instances() []Instance {
	return FromMap(map[string]netip.AddrPort{
		"i1": netip.MustParseAddrPort("127.0.0.1:1"), "i2": netip.MustParseAddrPort("127.0.0.1:2")})
}

func sprayer(t *testing.T, rates Rates) *Sprayer {
	s, err := NewSprayer(instances(), rates, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return s
}

// Guards against rates that do not hold and runs that differ for one seed.
func TestSprayerFollowsRatesAndSeed(t *testing.T) {
	rates := Rates{Drop: 0.1, Duplicate: 0.2, Reorder: 0.3}
	a, b := sprayer(t, rates), sprayer(t, rates)
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

// Guards against packets that pass a block or reach an instance out of the
// spray.
func TestSprayerBlocksAndDisables(t *testing.T) {
	s := sprayer(t, Rates{})
	reached := func(caller string) map[string]bool {
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
		require.Equal(t, map[string]bool{"i2": true}, reached("127.0.0.1:9"), blocked)
		s.Block(Pair{blocked, "i1"}, false)
	}
	s.Block(Pair{"127.0.0.1:9", "*"}, true)
	require.Empty(t, reached("127.0.0.1:9"))
	require.Len(t, reached("127.0.0.1:8"), 2)
	s.Disable("i2", true)
	require.Equal(t, map[string]bool{"i1": true}, reached("127.0.0.1:8"))
	s.Disable("i1", true)
	require.Empty(t, reached("127.0.0.1:8"))
}

// Guards against a fabric that changes datagrams or stops at malformed ones.
func TestServerForwardsDatagrams(t *testing.T) {
	instance, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer instance.Close()
	s := sprayer(t, Rates{Latency: time.Microsecond})
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
