package node

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recorder keeps what a node reports.
type recorder struct {
	invalid []error
	dropped map[string]int
	refused map[pb.RefusalReason]int
}

func (r *recorder) InvalidObject(err error)         { r.invalid = append(r.invalid, err) }
func (r *recorder) Dropped(reason string)           { r.dropped[reason]++ }
func (r *recorder) Refused(reason pb.RefusalReason) { r.refused[reason]++ }

func newTestNode() (*Node, *recorder) {
	r := &recorder{dropped: map[string]int{}, refused: map[pb.RefusalReason]int{}}
	return New(Config{
		Self:    membership.Member{Name: "i1", FailureDomain: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1},
		ReplyTo: "127.0.0.1:2", Observer: r,
	}, rand.New(rand.NewPCG(1, 1))), r
}

func teamObject(t *testing.T, name, address, upstream string, revision uint64) *pb.Object {
	t.Helper()
	value, err := declare.Encode(&declare.Team{Name: name, Services: []declare.Service{{
		Name: "s", Address: netip.MustParseAddrPort(address),
		Upstreams: []declare.Upstream{{Name: "u", Address: netip.MustParseAddrPort(upstream), FailureDomain: "a"}},
	}}})
	require.NoError(t, err)
	return &pb.Object{Key: declare.Key(name), Value: value, Version: 1, Revision: revision}
}

// read answers the read that the first tick asks for.
func read(n *Node, now time.Time, revision uint64, objects ...*pb.Object) []action.Action {
	n.Tick(now)
	return n.HandlePlatform(now, action.ObjectsRead{Objects: objects, Revision: revision})
}

func open(service string) *pb.Packet {
	return &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_OPEN, Caller: "127.0.0.9:9", Service: service, FlowId: 1}
}

// Guards against an instance that refuses every service as unknown before it
// has read its configuration.
func TestInstanceWithoutConfigurationRefusesNothing(t *testing.T) {
	n, r := newTestNode()
	require.Empty(t, n.HandlePacket(start, open("127.2.0.1:80")))
	require.Empty(t, r.refused)
}

// Guards against packets without an answer and without a counter.
func TestBadPacketsAreCounted(t *testing.T) {
	n, r := newTestNode()
	read(n, start, 1, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1))
	out := n.HandlePacket(start, open("127.2.0.9:80"))
	require.Len(t, out, 1)
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, out[0].(action.SendCaller).Packet.GetRefusal())
	require.Empty(t, n.HandlePacket(start, open("not an address")))
	require.Empty(t, n.HandlePacket(start, &pb.Packet{}))
	require.Equal(t, 2, r.dropped[DropMalformed])
	require.Empty(t, n.HandleUpstream(start, open("127.2.0.1:80"), netip.MustParseAddrPort("127.9.9.9:1")))
	require.Equal(t, 1, r.dropped[DropUnknownSource])
	require.Empty(t, n.HandlePeer(start, &pb.PeerMessage{From: "i2"}))
	require.Empty(t, n.HandlePeer(start, &pb.PeerMessage{From: "i2", Body: &pb.PeerMessage_Redirect{}}))
}

// Guards against a service that sends its packets to the upstreams of another
// one because both declare the same address.
func TestLaterUseOfAnAddressDoesNotServe(t *testing.T) {
	n, r := newTestNode()
	read(n, start, 2,
		teamObject(t, "b", "127.2.0.2:80", "127.3.0.1:80", 1),
		teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 2))
	require.Len(t, r.invalid, 1)
	var conflict *AddressConflictError
	require.ErrorAs(t, r.invalid[0], &conflict)
	require.Equal(t, "a/s", conflict.Service)
	out := n.HandlePacket(start, open("127.2.0.1:80"))
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_ADDRESS_QUARANTINED, out[0].(action.SendCaller).Packet.GetRefusal())
}

// Guards against a team whose services stop because its new object cannot be
// decoded.
func TestInvalidObjectKeepsTheEarlierVersion(t *testing.T) {
	n, r := newTestNode()
	read(n, start, 1, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1))
	n.HandlePlatform(start, action.ObjectsRead{Watched: true, Revision: 2, Objects: []*pb.Object{
		{Key: "teams/a", Value: []byte("{"), Version: 2, Revision: 2},
	}})
	require.Len(t, r.invalid, 1)
	require.Contains(t, n.byAddress, netip.MustParseAddrPort("127.2.0.1:80"))
}

// Guards against a table that every instance writes at the same time, or none.
func TestTableIsWrittenConditionally(t *testing.T) {
	n, _ := newTestNode()
	read(n, start, 1, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1))
	var writes []action.WriteObject
	for i := range 10 {
		for _, a := range n.Tick(start.Add(time.Duration(i) * TickInterval)) {
			if w, ok := a.(action.WriteObject); ok && w.Key == "tables/a/s" {
				writes = append(writes, w)
			}
		}
	}
	require.Len(t, writes, 1)
	require.Zero(t, writes[0].Expected)
	require.NotEmpty(t, writes[0].ChangeID)
}

// Guards against a table that sends packets of one service to an address that
// another service has declared since.
func TestRetiredUpstreamDoesNotOverrideADeclaredAddress(t *testing.T) {
	n, _ := newTestNode()
	read(n, start, 2, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1), teamObject(t, "b", "127.2.0.2:80", "127.3.0.2:80", 2))
	table, changed := placement.Plan(nil, []placement.Target{{Upstream: "old", Weight: 1, State: placement.TargetServing}}, placement.PlanOptions{Service: "a/s"})
	require.True(t, changed)
	table.Addresses, table.FailureDomains = []string{"127.3.0.2:80"}, []string{"a"}
	value, err := codec.Encode(table)
	require.NoError(t, err)
	n.HandlePlatform(start, action.ObjectsRead{Watched: true, Revision: 3, Objects: []*pb.Object{
		{Key: "tables/a/s", Value: value, Version: 1, Revision: 3},
	}})
	require.NotNil(t, n.services["a/s"].table)
	require.NotContains(t, n.services["a/s"].upstreams, "old")
	require.Equal(t, "b/s/u", n.byUpstream[netip.MustParseAddrPort("127.3.0.2:80")].name)
}

// Guards against addresses of removed upstreams that tables keep for ever, and
// against one that is lost while trackers may have flows on it.
func TestTableDropsAddressesOfSettledRemovals(t *testing.T) {
	s := &service{upstreams: map[string]*upstream{
		"gone": {address: netip.MustParseAddrPort("127.3.0.1:80")},
		"kept": {address: netip.MustParseAddrPort("127.3.0.2:80"), declared: true},
	}}
	table := &pb.ServiceTable{Upstreams: []string{"gone", "kept"}, Owner: []uint32{2, 2}, Previous: []uint32{0, 1}}
	addAddresses(table, s)
	require.Equal(t, "127.3.0.1:80", table.GetAddresses()[0])
	table.Previous[1] = 0
	addAddresses(table, s)
	require.Equal(t, []string{"", "127.3.0.2:80"}, table.GetAddresses())
}
