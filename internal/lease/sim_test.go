package lease_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/configsync"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// policy holds deliberate faults, which show that the checks find them.
type policy struct {
	// grants wraps the membership that the leases see.
	grants func(lease.Grants) lease.Grants
	// anyIncarnation counts the grants of every incarnation of a successor.
	anyIncarnation bool
	// trustFlag takes a handover as clean without having received records.
	trustFlag bool
	// lostIsFailed takes a lost answer to a write as a failure.
	lostIsFailed bool
	// contactConfirms takes each heartbeat as a confirmation of the platform.
	contactConfirms bool
}

// world is a set of instances with their own clocks, a network and a
// platform, in virtual true time.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	seq       int
	insts     []*inst
	policy    policy
	violation error

	cut      map[[2]string]bool
	loss     float64
	maxDelay time.Duration

	platformDown, loseAnswers bool
	objects                   map[string]*pb.Object
	revision                  uint64

	// writes holds the time at which each revision was written.
	writes []time.Duration
	// decisions holds the requests decided for each slot, by true time.
	decisions [flow.LeaseSlots][]decision
}

type decision struct {
	id uint64
	at time.Duration
}

type inst struct {
	w            *world
	self         membership.Member
	rate         float64
	offset       time.Duration
	mem          *membership.Membership
	sync         *configsync.Sync
	leases       *lease.Leases
	run          int // number of this run; events of earlier runs are dropped
	dead, frozen bool
	releasing    bool
	inbox        []func()
	watchSent    uint64
	watching     bool
	progressAt   time.Duration
	seenVersion  map[string]uint64
	seenEpoch    map[int]uint64
	table        *pb.SlotTable // last adopted
	records      map[int][]uint64
	received     map[uint64]bool
}

func newWorld(n int, seed uint64, p policy) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: p, cut: map[[2]string]bool{},
		objects: map[string]*pb.Object{},
	}
	for k := range n {
		w.insts = append(w.insts, &inst{w: w, self: membership.Member{
			Name: fmt.Sprintf("node-%02d", k+1), FailureDomain: fmt.Sprintf("d%d", k%4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(k + 1)}), 7000),
		}})
	}
	for _, x := range w.insts {
		x.offset = time.Duration(w.rng.Int64N(int64(time.Minute)))
		x.rate = 0.99 + 0.02*w.rng.Float64()
		x.start()
	}
	return w
}

// start begins a run with no state and a new incarnation.
func (x *inst) start() {
	x.run++
	x.dead, x.frozen, x.releasing, x.watching, x.inbox = false, false, false, false, nil
	x.self.Incarnation = uint64(x.clock().UnixNano()) + uint64(x.run)
	var peers []membership.Member
	var names []string
	for _, o := range x.w.insts {
		peers, names = append(peers, o.self), append(names, o.self.Name)
	}
	rng := rand.New(rand.NewPCG(x.w.rng.Uint64(), 2))
	x.mem = membership.New(membership.Config{Peers: peers}, x.self, rng)
	x.sync = configsync.New(configsync.Config{Peers: names}, x.self.Name, rng)
	x.leases = lease.New(lease.Config{}, x.self, rng)
	x.seenVersion, x.seenEpoch, x.table = map[string]uint64{}, map[int]uint64{}, nil
	x.records, x.received = map[int][]uint64{}, map[uint64]bool{}
	x.tick()
}

// clock is the local clock of the instance.
func (x *inst) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(x.offset + time.Duration(float64(x.w.now)*x.rate))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

// deliver runs an event at an instance after d, in this run of it only. A
// frozen instance gets it when it resumes.
func (x *inst) deliver(d time.Duration, do func()) {
	run := x.run
	x.w.after(d, func() {
		switch {
		case x.run != run || x.dead:
		case x.frozen:
			x.inbox = append(x.inbox, do)
		default:
			do()
		}
	})
}

func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end && w.violation == nil {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (x *inst) tick() {
	x.deliver(100*time.Millisecond, x.tick)
	now := x.clock()
	x.mem.SetLocal(x.sync.Revision(), x.sync.ConfirmedAt(), x.sync.Ready(), x.releasing)
	x.mem.SetPartners(x.leases.Partners())
	view := x.mem.View(now)
	x.do(x.mem.Tick(now))
	if x.w.policy.contactConfirms {
		x.confirmOnContact(view)
	}
	x.do(x.sync.Tick(now, view))
	if x.w.policy.anyIncarnation {
		x.renumber(view)
	}
	x.do(x.leases.Tick(now, view, x.grants()))
	x.w.checkTenures(x)
	x.checkConfirmation()
	x.decide()
	x.pollWatch()
}

// confirmOnContact makes confirmations as young as the last message of the
// member.
func (x *inst) confirmOnContact(view *membership.View) {
	for i, m := range view.Members {
		if !m.ConfirmedAt.IsZero() {
			view.Members[i].ConfirmedAt = m.LastHeard
		}
	}
}

// renumber gives the successors the incarnations that the table names.
func (x *inst) renumber(view *membership.View) {
	for i, m := range view.Members {
		for _, e := range x.table.GetSlots() {
			if e.GetSuccessor() == m.Name {
				view.Members[i].Incarnation = e.GetSuccessorIncarnation()
			}
		}
	}
}

// checkConfirmation finds an instance that takes its objects to be current at
// a time by which it had already missed a write. Clock rates differ by up to
// 2%, and an age passes through two instances.
func (x *inst) checkConfirmation() {
	if x.sync.ConfirmedAt().IsZero() {
		return
	}
	w := x.w
	age := time.Duration(float64(x.clock().Sub(x.sync.ConfirmedAt())) * 1.04)
	missed := int(x.sync.Revision())
	if missed < len(w.writes) && w.writes[missed] < w.now-age-20*time.Millisecond {
		w.fail("%s at revision %d claims to be current %v ago at %v", x.self.Name, missed, age, w.now)
	}
}

// decide records one request for each slot of this instance, and checks that
// a clean tenure starts with the records of all requests that still count.
func (x *inst) decide() {
	w := x.w
	for slot := range flow.LeaseSlots {
		tenure, ok := x.leases.Tenure(slot, x.clock())
		if !ok {
			continue
		}
		clean := tenure.Clean || w.policy.trustFlag && x.table.GetSlots()[slot].GetClean()
		if clean && x.seenEpoch[slot] != tenure.Epoch {
			for _, d := range w.decisions[slot] {
				if w.now-d.at < 5*time.Second && !x.received[d.id] && !slices.Contains(x.records[slot], d.id) {
					w.fail("slot %d: %s started a clean tenure without the records of %v ago",
						slot, x.self.Name, w.now-d.at)
				}
			}
		}
		x.seenEpoch[slot] = tenure.Epoch
		w.seq++
		// 60 decisions are 6 s of one instance.
		w.decisions[slot] = last(60, append(w.decisions[slot], decision{uint64(w.seq), w.now}))
		x.records[slot] = last(60, append(x.records[slot], uint64(w.seq)))
	}
}

func last[T any](n int, list []T) []T { return list[max(len(list)-n, 0):] }

func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

func (x *inst) grants() lease.Grants {
	if x.w.policy.grants != nil {
		return x.w.policy.grants(x.mem)
	}
	return x.mem
}

// checkTenures finds two instances that may act for one slot at this moment.
// Tenures begin and are extended in Tick only, so a check after each Tick
// misses none.
func (w *world) checkTenures(x *inst) {
	for slot := range flow.LeaseSlots {
		if _, ok := x.leases.Tenure(slot, x.clock()); !ok {
			continue
		}
		for _, o := range w.insts {
			if _, ok := o.leases.Tenure(slot, o.clock()); ok && o != x && !o.dead {
				w.fail("slot %d: %s and %s both have a tenure at %v", slot, x.self.Name, o.self.Name, w.now)
			}
		}
	}
}

func (x *inst) adopt(changed []*pb.Object, actions []action.Action) {
	for _, o := range changed {
		if o.GetVersion() <= x.seenVersion[o.GetKey()] {
			x.w.fail("%s: %s went back to version %d", x.self.Name, o.GetKey(), o.GetVersion())
		}
		x.seenVersion[o.GetKey()] = o.GetVersion()
		if o.GetKey() == lease.Key {
			x.setTable(o)
			x.leases.Adopt(x.clock(), x.table, o.GetVersion(), o.GetRevision())
		}
	}
	x.do(actions)
}

func (x *inst) setTable(o *pb.Object) {
	if o == nil {
		return
	}
	x.table = &pb.SlotTable{}
	if err := proto.Unmarshal(o.GetValue(), x.table); err != nil {
		panic(err)
	}
}

func (x *inst) handlePeer(m *pb.PeerMessage) {
	now, from := x.clock(), m.GetFrom()
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		x.do(x.mem.HandleHeartbeat(now, from, m.GetIncarnation(), body.Heartbeat))
	case *pb.PeerMessage_ObjectPush:
		x.adopt(x.sync.HandlePush(now, from, body.ObjectPush))
	case *pb.PeerMessage_ObjectPull:
		x.do(x.sync.HandlePull(now, from, body.ObjectPull))
	case *pb.PeerMessage_SlotHandover:
		for _, id := range body.SlotHandover.GetDecidedRequests() {
			x.received[id] = true
		}
		x.leases.HandleHandover(from, m.GetIncarnation(), body.SlotHandover.GetSlots())
	}
}

func (x *inst) do(actions []action.Action) {
	w := x.w
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendPeer:
			if h := a.Message.GetSlotHandover(); h != nil {
				for _, slot := range h.GetSlots() {
					h.DecidedRequests = append(h.DecidedRequests, x.records[int(slot)]...)
				}
				h.DecidedRequests = slices.AppendSeq(h.DecidedRequests, maps.Keys(x.received))
			}
			for _, o := range w.insts {
				if o.self.Name == a.Instance && !w.cut[[2]string{x.self.Name, o.self.Name}] && w.rng.Float64() >= w.loss {
					m := proto.Clone(a.Message).(*pb.PeerMessage)
					o.deliver(w.delay(), func() { o.handlePeer(m) })
				}
			}
		case action.ReadObjects:
			x.read(a)
		case action.WatchObjects:
			x.watching, x.watchSent, x.progressAt = true, a.Since, w.now
		case action.StopWatch:
			x.watching = false
		case action.WriteObject:
			x.write(a)
		}
	}
}

func (w *world) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.rng.Int64N(int64(max(w.maxDelay, 3*time.Millisecond))))
}
