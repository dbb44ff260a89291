package placement

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

// Guards against lookups that panic because a malformed table was accepted.
func TestCompileRejectsMalformedTables(t *testing.T) {
	valid, _ := Plan(nil, targets(100, 100), PlanOptions{Service: "t/s"})
	for fault, edit := range map[TableFault]func(*pb.ServiceTable){
		FaultNoService:     func(p *pb.ServiceTable) { p.Service = "" },
		FaultBucketCount:   func(p *pb.ServiceTable) { p.Previous = p.Previous[1:] },
		FaultUpstreamIndex: func(p *pb.ServiceTable) { p.Owner[7] = 3 },
		FaultUpstreamName:  func(p *pb.ServiceTable) { p.Upstreams[1] = p.Upstreams[0] },
		FaultChangeNumber:  func(p *pb.ServiceTable) { p.MovedAt[9] = p.Change + 1 },
		FaultTooManyUpstreams: func(p *pb.ServiceTable) {
			p.Upstreams = make([]string, MaxUpstreams+1)
		},
	} {
		pt := proto.Clone(valid).(*pb.ServiceTable)
		edit(pt)
		_, err := Compile(pt, 1)
		var target *TableError
		require.ErrorAs(t, err, &target)
		require.Equal(t, fault, target.Fault)
	}
	_, err := Compile(nil, 1)
	require.Error(t, err)
}

// Guards against allocations in the lookup, which runs for every packet.
func TestLookupDoesNotAllocate(t *testing.T) {
	pt, _ := Plan(nil, targets(100, 100, 100), PlanOptions{Service: "t/s"})
	tbl, err := Compile(pt, 1)
	require.NoError(t, err)
	hash := uint64(1)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		hash = hash*6364136223846793005 + 1
		if tbl.Lookup(hash).Owner == "" {
			t.Fail()
		}
	}))
}

func BenchmarkLookup(b *testing.B) {
	pt, _ := Plan(nil, targets(100, 100, 100), PlanOptions{Service: "t/s"})
	tbl, _ := Compile(pt, 1)
	hash := uint64(1)
	for b.Loop() {
		hash = hash*6364136223846793005 + 1
		if tbl.Lookup(hash).Owner == "" {
			b.Fail()
		}
	}
}

// Guards against flow records that take more memory than the design allows. The
// sizes are on both sides of a growth step of a map.
func TestExceptionMemory(t *testing.T) {
	for _, perBucket := range []int{300, 450, 800, 2000} {
		tr := NewTracker(Config{}, "i0")
		s := tr.ensureService("t/s")
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for b := range uint32(73) {
			st := s.ensureBucket(b)
			for i := range perBucket {
				tr.recordFlow(time.Time{}, st, uint64(i)<<10|uint64(b), "u1", 0)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		each := float64(after.HeapAlloc-before.HeapAlloc) / float64(73*perBucket)
		t.Logf("%d flow records per bucket: %.1f B each", perBucket, each)
		require.Less(t, each, 64.0)
		runtime.KeepAlive(tr)
	}
}

// newDrainTracker returns a tracker, the table of a drain, and a view of the
// tracker alone.
func newDrainTracker(t *testing.T) (*Tracker, *Table, *membership.View) {
	old, _ := Plan(nil, targets(100, 100, 100), PlanOptions{Service: "repairs/dispatch"})
	desired := targets(100, 100, 100)
	desired[0].State = TargetDraining
	next, _ := Plan(old, desired, PlanOptions{Service: "repairs/dispatch"})
	tbl, err := Compile(next, 2)
	require.NoError(t, err)
	self := membership.Member{Name: "i0", FailureDomain: "d0", State: membership.Alive, Revision: 2, Ready: true}
	view := &membership.View{Self: self, Members: []membership.Member{self}}
	return NewTracker(Config{}, "i0"), tbl, view
}

// Guards against records that take more than 8 bytes each in a Birth message, and
// against a backup tracker that decodes other upstreams than were encoded.
func TestBirthsTakeEightBytes(t *testing.T) {
	tr, tbl, view := newDrainTracker(t)
	now := time.Unix(1000, 0)
	tr.Adopt(now, tbl, view)
	backup := NewTracker(Config{}, "i1")
	backup.Adopt(now, tbl, view)
	b := &batch{}
	for i := range 100 {
		fp := uint64(i)<<10 | uint64(tbl.Moving()[i%8])
		b.items = append(b.items, replicationItem{service: tbl.Service(), change: tbl.Change(), fp: fp, upstream: tbl.Bucket(tbl.Moving()[i%8]).Owner})
	}
	msg := tr.batchMessage(1, b, false).(action.SendPeer).Message
	size := proto.Size(msg)
	t.Logf("100 records: %d bytes", size)
	require.LessOrEqual(t, size, 100*8+40)
	require.Len(t, backup.HandleBirth(now, "i0", msg.GetBirth()), 1)
	for _, item := range b.items {
		e := backup.services[tbl.Service()].buckets[bucketOf(item.fp)].flows[item.fp]
		require.Equal(t, item.upstream, backup.upstreamNames[e.upstream])
	}
}

// Guards against panics on malformed peer messages.
func FuzzPeerMessages(f *testing.F) {
	entry := binary.LittleEndian.AppendUint64(nil, 1<<48|5)
	for _, m := range []*pb.PeerMessage{
		{Body: &pb.PeerMessage_Birth{Birth: &pb.Birth{Groups: []*pb.FlowGroup{{Service: "t/s", Entries: entry}}}}},
		{Body: &pb.PeerMessage_TrackerSync{TrackerSync: &pb.TrackerSync{Service: "t/s", Buckets: []*pb.BucketSync{{Bucket: 5000}}}}},
		{Body: &pb.PeerMessage_TrackerSyncRequest{TrackerSyncRequest: &pb.TrackerSyncRequest{Service: "t/s", Buckets: []uint32{1, 5000}}}},
	} {
		raw, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m pb.PeerMessage
		if proto.Unmarshal(raw, &m) != nil {
			return
		}
		tr, now := NewTracker(Config{}, "i0"), time.Unix(1000, 0)
		tr.HandleBirth(now, "i1", m.GetBirth())
		tr.HandleBirthAck(now, "i1", m.GetBirthAck())
		tr.HandleSyncRequest(now, "i1", 1, m.GetTrackerSyncRequest())
		tr.HandleSync(now, "i1", 1, m.GetTrackerSync())
	})
}

// Guards against replication that exceeds the control traffic of 4 KB/s during a
// change, at 214 new flows per second at one tracker.
func TestReplicationTraffic(t *testing.T) {
	tr, tbl, view := newDrainTracker(t)
	peer := membership.Member{Name: "i1", FailureDomain: "d1", State: membership.Alive, Revision: 2, Ready: true}
	now := time.Unix(1000, 0)
	total, released := 0, 0
	count := func(actions []action.Action) {
		for _, a := range actions {
			m := a.(action.SendPeer).Message
			m.From, m.Incarnation = "i0", 1
			total += proto.Size(m)
			if birth := m.GetBirth(); birth != nil {
				ack := &pb.PeerMessage{From: "i1", Incarnation: 1, Body: &pb.PeerMessage_BirthAck{BirthAck: &pb.BirthAck{Sequence: birth.Sequence}}}
				total += proto.Size(ack)
				released += len(tr.HandleBirthAck(now, "i1", ack.GetBirthAck()))
			}
		}
	}
	peer.LastHeard = now.Add(time.Second)
	view.Members = append(view.Members, peer)
	tr.Adopt(now, tbl, view)
	newFlows := 0
	for ms := range 20_000 {
		now = now.Add(time.Millisecond)
		if at, ok := tr.NextDeadline(); ms%100 == 0 || (ok && !now.Before(at)) {
			actions, _ := tr.Tick(now, view)
			count(actions)
			for _, b := range tr.services[tbl.Service()].buckets { // the only peer has nothing to merge
				b.mergedPeers = b.syncPeers
			}
		}
		if ms == 10_000 {
			total, released, newFlows = 0, 0, 0
		}
		for id := uint64(ms) << 20; ms%14 < 3 && ms >= 5000; id++ {
			p := Packet{Key: flow.Key{ID: id}, Kind: pb.PacketKind_PACKET_KIND_OPEN}
			if b := tr.services[tbl.Service()].buckets[flow.Bucket(p.Key.Hash())]; b != nil && b.isTracker {
				count(tr.HandlePacket(now, p, tbl, view).Actions)
				newFlows++
				break
			}
		}
	}
	t.Logf("%d new flows in 10 s, %d bytes with acknowledgements", newFlows, total)
	require.InDelta(t, newFlows, released, 20)
	require.Less(t, total/10, 4096)
}
