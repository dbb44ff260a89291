package node

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/placement"
)

// newFuzzNode returns a node with one service whose buckets are in transition.
func newFuzzNode(tb testing.TB) *Node {
	tb.Helper()
	node, _ := newTestNode()
	team, err := declare.Encode(&declare.Team{Name: "a", Services: []declare.Service{{
		Name: "s", Address: netip.MustParseAddrPort("127.2.0.1:80"),
		Upstreams: []declare.Upstream{
			{Name: "u", Address: netip.MustParseAddrPort("127.3.0.1:80"), FailureDomain: "a"},
			{Name: "v", Address: netip.MustParseAddrPort("127.3.0.2:80"), FailureDomain: "b"},
		},
	}}})
	require.NoError(tb, err)
	table, _ := placement.Plan(nil, []placement.Target{{Upstream: "u", Weight: 1, State: placement.TargetServing}}, placement.PlanOptions{Service: "a/s"})
	table, _ = placement.Plan(table, []placement.Target{{Upstream: "v", Weight: 1, State: placement.TargetServing}}, placement.PlanOptions{Service: "a/s"})
	value, err := codec.Encode(table)
	require.NoError(tb, err)
	node.Tick(start)
	node.HandlePlatform(start, action.ObjectsRead{Revision: 2, Objects: []*pb.Object{
		{Key: declare.Key("a"), Value: team, Version: 1, Revision: 1},
		{Key: "tables/a/s", Value: value, Version: 1, Revision: 2},
	}})
	return node
}

// FuzzMessages guards against a panic on any decodable message from a caller, an
// upstream or a peer.
func FuzzMessages(f *testing.F) {
	seeds := []proto.Message{
		openPacket("127.2.0.1:80"),
		&pb.Packet{Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: "127.0.0.9:9", Service: "127.2.0.1:80", RequestId: 1, DeadlineUnixMs: start.UnixMilli() + 1000},
		&pb.PeerMessage{From: "i2", Incarnation: 1, Body: &pb.PeerMessage_Heartbeat{Heartbeat: &pb.Heartbeat{Sequence: 1, FailureDomain: "a", PeerAddress: "127.0.0.2:1", Revision: 2}}},
		&pb.PeerMessage{From: "i2", Body: &pb.PeerMessage_Redirect{Redirect: &pb.RedirectedPacket{Packet: openPacket("127.2.0.1:80"), Revision: 1, Hops: 1}}},
		&pb.PeerMessage{From: "i2", Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{Since: 2, Revision: 3, Objects: []*pb.Object{{Key: "slots", Version: 1, Revision: 3}}}}},
		&pb.PeerMessage{From: "i2", Body: &pb.PeerMessage_CreditRequest{CreditRequest: &pb.CreditRequest{Upstream: "a/s/u", Credits: 1}}},
		&pb.PeerMessage{From: "i2", Body: &pb.PeerMessage_SlotHandover{SlotHandover: &pb.SlotHandover{Slots: []uint32{1, 99}}}},
	}
	for i, m := range seeds {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(seedKind(m, i), data)
	}
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		node := newFuzzNode(t)
		packet, message := &pb.Packet{}, &pb.PeerMessage{}
		switch kind % 3 {
		case 0:
			if proto.Unmarshal(data, packet) == nil {
				node.HandlePacket(start, packet)
			}
		case 1:
			if proto.Unmarshal(data, packet) == nil {
				node.HandleUpstream(start, packet, netip.MustParseAddrPort("127.3.0.1:80"))
			}
		default:
			if proto.Unmarshal(data, message) == nil {
				node.HandlePeer(start, message)
			}
		}
		node.Tick(start.Add(TickInterval))
	})
}

// seedKind returns the source that FuzzMessages uses for a seed: 0 for a caller, 1 for
// an upstream, 2 for a peer.
func seedKind(m proto.Message, i int) byte {
	if _, ok := m.(*pb.PeerMessage); ok {
		return 2
	}
	return byte(i % 2)
}
