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

// recordingObserver records what a node reports.
type recordingObserver struct {
	invalid []error
	dropped map[string]int
	refused map[pb.RefusalReason]int
}

func (r *recordingObserver) InvalidObject(err error)         { r.invalid = append(r.invalid, err) }
func (r *recordingObserver) Dropped(reason string)           { r.dropped[reason]++ }
func (r *recordingObserver) Refused(reason pb.RefusalReason) { r.refused[reason]++ }

func newTestNode() (*Node, *recordingObserver) {
	r := &recordingObserver{dropped: map[string]int{}, refused: map[pb.RefusalReason]int{}}
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

// loadObjects ticks the node once and then delivers the objects as the result of its
// first read.
func loadObjects(node *Node, now time.Time, revision uint64, objects ...*pb.Object) []action.Action {
	node.Tick(now)
	return node.HandlePlatform(now, action.ObjectsRead{Objects: objects, Revision: revision})
}

func openPacket(service string) *pb.Packet {
	return &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_OPEN, Caller: "127.0.0.9:9", Service: service, FlowId: 1}
}

// Guards against an instance that refuses every service as unknown because it has not
// read its configuration yet.
func TestInstanceWithoutConfigurationRefusesNothing(t *testing.T) {
	node, r := newTestNode()
	require.Empty(t, node.HandlePacket(start, openPacket("127.2.0.1:80")))
	require.Empty(t, r.refused)
}

// Guards against malformed, misaddressed or incomplete packets that are neither
// answered nor counted.
func TestInvalidPacketsAreRefusedOrCounted(t *testing.T) {
	node, r := newTestNode()
	loadObjects(node, start, 1, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1))
	out := node.HandlePacket(start, openPacket("127.2.0.9:80"))
	require.Len(t, out, 1)
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, out[0].(action.SendCaller).Packet.GetRefusal())
	require.Empty(t, node.HandlePacket(start, openPacket("not an address")))
	require.Empty(t, node.HandlePacket(start, &pb.Packet{}))
	require.Equal(t, 2, r.dropped[DropMalformed])
	require.Empty(t, node.HandleUpstream(start, openPacket("127.2.0.1:80"), netip.MustParseAddrPort("127.9.9.9:1")))
	require.Equal(t, 1, r.dropped[DropUnknownUpstreamAddress])
	require.Empty(t, node.HandlePeer(start, &pb.PeerMessage{From: "i2"}))
	require.Empty(t, node.HandlePeer(start, &pb.PeerMessage{From: "i2", Body: &pb.PeerMessage_Redirect{}}))
}

// Guards against a service whose packets reach the upstreams of another service because
// both declare the same address.
func TestLaterUseOfAnAddressDoesNotServe(t *testing.T) {
	node, r := newTestNode()
	loadObjects(node, start, 2,
		teamObject(t, "b", "127.2.0.2:80", "127.3.0.1:80", 1),
		teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 2))
	require.Len(t, r.invalid, 1)
	var conflict *AddressConflictError
	require.ErrorAs(t, r.invalid[0], &conflict)
	require.Equal(t, "a/s", conflict.Service)
	out := node.HandlePacket(start, openPacket("127.2.0.1:80"))
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_ADDRESS_QUARANTINED, out[0].(action.SendCaller).Packet.GetRefusal())
}

// Guards against a team whose services stop because a new version of its object cannot
// be decoded.
func TestInvalidObjectKeepsPreviousVersion(t *testing.T) {
	node, r := newTestNode()
	loadObjects(node, start, 1, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1))
	node.HandlePlatform(start, action.ObjectsRead{Watched: true, Revision: 2, Objects: []*pb.Object{
		{Key: "teams/a", Value: []byte("{"), Version: 2, Revision: 2},
	}})
	require.Len(t, r.invalid, 1)
	require.Contains(t, node.serviceByAddress, netip.MustParseAddrPort("127.2.0.1:80"))
}

// Guards against packets of open flows that reach the upstreams of another service, which
// gets the address while the object of either team cannot be decoded.
func TestInvalidObjectMovesNoAddress(t *testing.T) {
	address := netip.MustParseAddrPort("127.2.0.1:80")
	invalid := func(team string, version, revision uint64) *pb.Object {
		return &pb.Object{Key: "teams/" + team, Value: []byte("{"), Version: version, Revision: revision}
	}
	first := teamObject(t, "b", "127.2.0.1:80", "127.3.0.1:80", 1)
	second := teamObject(t, "a", "127.2.0.1:80", "127.3.0.2:80", 2)
	later := teamObject(t, "a", "127.2.0.1:80", "127.3.0.2:80", 3)
	for name, changes := range map[string][]*pb.Object{
		"of the team in conflict":                   {second, invalid("a", 2, 3)},
		"of the team with the address":              {invalid("b", 2, 2), later},
		"of the team with the address, in conflict": {second, invalid("b", 2, 3)},
	} {
		node, _ := newTestNode()
		loadObjects(node, start, 1, first)
		for _, o := range changes {
			node.HandlePlatform(start, action.ObjectsRead{Watched: true, Revision: o.GetRevision(), Objects: []*pb.Object{o}})
		}
		require.Equal(t, "b/s", node.serviceByAddress[address].name, name)
		require.Equal(t, "b/s/u", node.upstreamByAddress[netip.MustParseAddrPort("127.3.0.1:80")].name, name)
	}
}

// Guards against an instance that writes a new table more than once or not at all within
// a second, or without the conditions of a safe write (expected version and change id).
func TestTableIsWrittenOnceConditionally(t *testing.T) {
	node, _ := newTestNode()
	loadObjects(node, start, 1, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1))
	var writes []action.WriteObject
	for i := range 10 {
		for _, a := range node.Tick(start.Add(time.Duration(i) * TickInterval)) {
			if w, ok := a.(action.WriteObject); ok && w.Key == "tables/a/s" {
				writes = append(writes, w)
			}
		}
	}
	require.Len(t, writes, 1)
	require.Zero(t, writes[0].ExpectedVersion)
	require.NotEmpty(t, writes[0].ChangeID)
}

// Guards against a table with an undeclared upstream that sends packets of one service
// to an address which another service has declared in the meantime.
func TestRetiredUpstreamDoesNotOverrideADeclaredAddress(t *testing.T) {
	node, _ := newTestNode()
	loadObjects(node, start, 2, teamObject(t, "a", "127.2.0.1:80", "127.3.0.1:80", 1), teamObject(t, "b", "127.2.0.2:80", "127.3.0.2:80", 2))
	table, changed := placement.Plan(nil, []placement.Target{{Upstream: "old", Weight: 1, State: placement.TargetServing}}, placement.PlanOptions{Service: "a/s"})
	require.True(t, changed)
	table.Addresses, table.FailureDomains = []string{"127.3.0.2:80"}, []string{"a"}
	value, err := codec.Encode(table)
	require.NoError(t, err)
	node.HandlePlatform(start, action.ObjectsRead{Watched: true, Revision: 3, Objects: []*pb.Object{
		{Key: "tables/a/s", Value: value, Version: 1, Revision: 3},
	}})
	require.NotNil(t, node.services["a/s"].table)
	require.NotContains(t, node.services["a/s"].upstreams, "old")
	require.Equal(t, "b/s/u", node.upstreamByAddress[netip.MustParseAddrPort("127.3.0.2:80")].name)
}

// Guards against tables that keep the addresses of removed upstreams for ever, and
// against an address that is removed while a bucket in transition may have flows on it.
func TestTableRemovesAddressesOfUnreferencedUpstreams(t *testing.T) {
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
