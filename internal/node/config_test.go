package node

import (
	"fmt"
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

type discardObserver struct{}

func (discardObserver) InvalidObject(error)      {}
func (discardObserver) Dropped(string)           {}
func (discardObserver) Refused(pb.RefusalReason) {}

// tableFixture is a node with declared services, and the latest table object of the
// first service.
type tableFixture struct {
	node     *Node
	now      time.Time
	revision uint64
	table    *pb.Object
}

func newTableFixture(tb testing.TB, services, upstreams int) *tableFixture {
	fixture := &tableFixture{now: time.Unix(1_800_000_000, 0)}
	fixture.node = New(Config{Self: membership.Member{Name: "instance-1", FailureDomain: "domain-a", Incarnation: 1}, Observer: discardObserver{}}, rand.New(rand.NewPCG(1, 1)))
	team := &declare.Team{Name: "team"}
	var objects []*pb.Object
	for n := range services {
		s := declare.Service{Name: fmt.Sprintf("service-%03d", n), Address: address(2, n)}
		var targets []placement.Target
		for u := range upstreams / services {
			up := declare.Upstream{Name: fmt.Sprintf("u%02d", u), Address: address(3, n*100+u), FailureDomain: "domain-a"}
			s.Upstreams = append(s.Upstreams, up)
			targets = append(targets, placement.Target{Upstream: up.Name, Weight: 100, State: placement.TargetServing})
		}
		team.Services = append(team.Services, s)
		table, _ := placement.Plan(nil, targets, placement.PlanOptions{Service: "team/" + s.Name, ConfigRevision: 1})
		value, err := codec.Encode(table)
		require.NoError(tb, err)
		objects = append(objects, fixture.object(tablePrefix+"team/"+s.Name, value))
	}
	value, err := declare.Encode(team)
	require.NoError(tb, err)
	objects = append(objects, fixture.object(declare.Key("team"), value))
	fixture.table = objects[0]
	fixture.node.Tick(fixture.now)
	fixture.node.HandlePlatform(fixture.now, action.ObjectsRead{Objects: objects, Revision: fixture.revision})
	require.True(tb, fixture.node.Ready())
	return fixture
}

func address(net byte, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, net, byte(n >> 8), byte(n)}), 80)
}

func (fixture *tableFixture) object(key string, value []byte) *pb.Object {
	fixture.revision++
	return &pb.Object{Key: key, Version: 1, Revision: fixture.revision, Value: value}
}

// applyNextTable applies a changed version of the first service's table.
func (fixture *tableFixture) applyNextTable(change func(*pb.ServiceTable)) {
	table := &pb.ServiceTable{}
	if err := codec.Decode(fixture.table.GetValue(), table); err != nil {
		panic(err)
	}
	change(table)
	value, err := codec.Encode(table)
	if err != nil {
		panic(err)
	}
	fixture.revision++
	fixture.table = &pb.Object{Key: fixture.table.GetKey(), Version: fixture.table.GetVersion() + 1, Revision: fixture.revision, Value: value}
	fixture.node.HandlePlatform(fixture.now, action.ObjectsRead{Objects: []*pb.Object{fixture.table}, Revision: fixture.revision, Watched: true})
}

// Guards against a table change that leaves out an upstream that only the table names:
// its answers would be dropped and it would not be probed.
func TestUpstreamsOfTableAreIndexed(t *testing.T) {
	fixture := newTableFixture(t, 3, 12)
	undeclared := address(3, 999)
	fixture.applyNextTable(func(table *pb.ServiceTable) {
		addAddresses(table, fixture.node.services["team/service-000"])
		table.Upstreams = append(table.Upstreams, "retired")
		table.Addresses = append(table.Addresses, undeclared.String())
		table.FailureDomains = append(table.FailureDomains, "domain-a")
	})
	require.Equal(t, "team/service-000/retired", fixture.node.upstreamByAddress[undeclared].name)
	require.True(t, fixture.node.knownUpstreams["team/service-000/retired"])
	fixture.applyNextTable(func(table *pb.ServiceTable) { table.Change++ })
	s := fixture.node.services["team/service-000"]
	require.Same(t, s.upstreams["retired"], fixture.node.upstreamByAddress[undeclared])
	require.Same(t, s.upstreams["u00"], fixture.node.upstreamByAddress[address(3, 0)])
	require.Len(t, fixture.node.upstreamByAddress, 13)
}

// Guards against a snapshot that still shares the routes of the previous table after a
// table change.
func TestSnapshotUsesNewTable(t *testing.T) {
	fixture := newTableFixture(t, 3, 12)
	before := fixture.node.Snapshot(time.Now).Services
	require.Equal(t, before, fixture.node.Snapshot(time.Now).Services)
	fixture.applyNextTable(func(table *pb.ServiceTable) { table.Change++ })
	after := fixture.node.Snapshot(time.Now).Services
	require.Equal(t, before[address(2, 0)].Table.Change()+1, after[address(2, 0)].Table.Change())
	require.Same(t, before[address(2, 1)].Table, after[address(2, 1)].Table)
}

// BenchmarkApplyServiceTable measures applying one table among 300 services with 3,700
// upstreams in all, the target size.
func BenchmarkApplyServiceTable(b *testing.B) {
	fixture := newTableFixture(b, 300, 3700)
	b.ReportAllocs()
	for b.Loop() {
		fixture.applyNextTable(func(table *pb.ServiceTable) { table.Change++ })
	}
}
