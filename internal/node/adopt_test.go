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

type silent struct{}

func (silent) InvalidObject(error)      {}
func (silent) Dropped(string)           {}
func (silent) Refused(pb.RefusalReason) {}

// adopter is a node with declared services, and the table of the first one.
type adopter struct {
	node     *Node
	now      time.Time
	revision uint64
	table    *pb.Object
}

func newAdopter(tb testing.TB, services, upstreams int) *adopter {
	a := &adopter{now: time.Unix(1_800_000_000, 0)}
	a.node = New(Config{Self: membership.Member{Name: "instance-1", FailureDomain: "domain-a", Incarnation: 1}, Observer: silent{}}, rand.New(rand.NewPCG(1, 1)))
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
		objects = append(objects, a.object(tablePrefix+"team/"+s.Name, value))
	}
	value, err := declare.Encode(team)
	require.NoError(tb, err)
	objects = append(objects, a.object(declare.Key("team"), value))
	a.table = objects[0]
	a.node.Tick(a.now)
	a.node.HandlePlatform(a.now, action.ObjectsRead{Objects: objects, Revision: a.revision})
	require.True(tb, a.node.Ready())
	return a
}

func address(net byte, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, net, byte(n >> 8), byte(n)}), 80)
}

func (a *adopter) object(key string, value []byte) *pb.Object {
	a.revision++
	return &pb.Object{Key: key, Version: 1, Revision: a.revision, Value: value}
}

// adoptTable puts a new version of the first table in force.
func (a *adopter) adoptTable(change func(*pb.ServiceTable)) {
	table := &pb.ServiceTable{}
	if err := codec.Decode(a.table.GetValue(), table); err != nil {
		panic(err)
	}
	change(table)
	value, err := codec.Encode(table)
	if err != nil {
		panic(err)
	}
	a.revision++
	a.table = &pb.Object{Key: a.table.GetKey(), Version: a.table.GetVersion() + 1, Revision: a.revision, Value: value}
	a.node.HandlePlatform(a.now, action.ObjectsRead{Objects: []*pb.Object{a.table}, Revision: a.revision, Watched: true})
}

// Guards against answers of an upstream that are dropped, or probes that are
// missing, when a table brings a name that is not declared any more.
func TestAdoptTableKnowsItsUpstreams(t *testing.T) {
	a := newAdopter(t, 3, 12)
	retired := address(3, 999)
	a.adoptTable(func(table *pb.ServiceTable) {
		addAddresses(table, a.node.services["team/service-000"])
		table.Upstreams = append(table.Upstreams, "retired")
		table.Addresses = append(table.Addresses, retired.String())
		table.FailureDomains = append(table.FailureDomains, "domain-a")
	})
	require.Equal(t, "team/service-000/retired", a.node.byUpstream[retired].name)
	require.True(t, a.node.knownUpstreams["team/service-000/retired"])
	a.adoptTable(func(table *pb.ServiceTable) { table.Change++ })
	s := a.node.services["team/service-000"]
	require.Same(t, s.upstreams["retired"], a.node.byUpstream[retired])
	require.Same(t, s.upstreams["u00"], a.node.byUpstream[address(3, 0)])
	require.Len(t, a.node.byUpstream, 13)
}

// Guards against routes of an older table or of fewer upstreams that a shared
// snapshot would go on with.
func TestSnapshotFollowsTables(t *testing.T) {
	a := newAdopter(t, 3, 12)
	before := a.node.Snapshot(time.Now).Services
	require.Equal(t, before, a.node.Snapshot(time.Now).Services)
	a.adoptTable(func(table *pb.ServiceTable) { table.Change++ })
	after := a.node.Snapshot(time.Now).Services
	require.Equal(t, before[address(2, 0)].Table.Change()+1, after[address(2, 0)].Table.Change())
	require.Same(t, before[address(2, 1)].Table, after[address(2, 1)].Table)
}

// BenchmarkAdoptTable puts one table of the target size in force.
func BenchmarkAdoptTable(b *testing.B) {
	a := newAdopter(b, 300, 3700)
	b.ReportAllocs()
	for b.Loop() {
		a.adoptTable(func(table *pb.ServiceTable) { table.Change++ })
	}
}
