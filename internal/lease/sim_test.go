package lease_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/codec"
	"google.golang.org/protobuf/proto"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/configsync"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/position"

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

// brokenPolicy selects deliberate violations of the rules, which the checks have
// to find. The zero value has none.
type brokenPolicy struct {
	// grants wraps the membership that the leases see.
	grants func(lease.Grants) lease.Grants
	// anyIncarnationGrants counts the grants of every incarnation of a successor.
	anyIncarnationGrants bool
	// trustCleanFlag takes a handover as clean without having received records.
	trustCleanFlag bool
	// lostAnswerFails takes a lost answer to a write as a failure.
	lostAnswerFails bool
	// anyEraWrites makes the platform ignore the era that a write expects.
	anyEraWrites bool
	// heartbeatConfirms takes each heartbeat as a confirmation of the platform.
	heartbeatConfirms bool
}

// simulation runs instances with clocks of their own, a network and a platform
// in simulated time.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	seq       int
	instances []*simInstance
	policy    brokenPolicy
	violation error

	// cutLinks has the pairs of sender and receiver that are disconnected; the
	// receiver may be the platform.
	cutLinks map[[2]string]bool
	lossRate float64       // probability that a message between peers is lost
	maxDelay time.Duration // upper bound of a delay, at least 3 ms

	platformDown, loseAnswers bool
	objects                   map[string]*pb.Object
	revision                  uint64
	// copies has the content of the platform before each write, oldest first.
	copies []platformCopy

	// writeTimes has the simulated time at which revision i+1 of the current era was
	// written at index i.
	writeTimes []time.Duration
	// decisions has the latest requests decided for each slot, oldest first.
	decisions [flow.LeaseSlotCount][]decision
}

type decision struct {
	id uint64
	at time.Duration
}

type simInstance struct {
	sim          *simulation
	self         membership.Member
	clockRate    float64
	clockOffset  time.Duration
	members      *membership.Membership
	sync         *configsync.Sync
	leases       *lease.Manager
	runNumber    int // number of the current run; events of earlier runs are dropped
	dead, frozen bool
	releasing    bool
	buffered     []func() // events to run when the instance is thawed
	watchSent    uint64   // revision up to which the watch has delivered changes
	watching     bool
	progressAt   time.Duration         // time of the latest delivery by the watch
	seen         map[string]*pb.Object // latest adopted object by key
	seenEpoch    map[int]uint64        // epoch of the latest lease term by slot
	table        *pb.SlotTable         // latest table received
	records      map[int][]uint64      // ids of the requests decided in this run, by slot
	received     map[uint64]bool       // ids of the requests received in handovers
}

func newSimulation(n int, seed uint64, policy brokenPolicy) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: policy, cutLinks: map[[2]string]bool{},
		objects: map[string]*pb.Object{},
	}
	for k := range n {
		sim.instances = append(sim.instances, &simInstance{sim: sim, self: membership.Member{
			Name: fmt.Sprintf("node-%02d", k+1), FailureDomain: fmt.Sprintf("d%d", k%4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(k + 1)}), 7000),
		}})
	}
	for _, inst := range sim.instances {
		inst.clockOffset = time.Duration(sim.rng.Int64N(int64(time.Minute)))
		inst.clockRate = 0.99 + 0.02*sim.rng.Float64()
		inst.start()
	}
	return sim
}

// start begins a new run of the instance, with a new incarnation and no state.
func (inst *simInstance) start() {
	inst.runNumber++
	inst.dead, inst.frozen, inst.releasing, inst.watching, inst.buffered = false, false, false, false, nil
	inst.self.Incarnation = uint64(inst.clock().UnixNano()) + uint64(inst.runNumber)
	var peers []membership.Member
	var names []string
	for _, o := range inst.sim.instances {
		peers, names = append(peers, o.self), append(names, o.self.Name)
	}
	rng := rand.New(rand.NewPCG(inst.sim.rng.Uint64(), 2))
	inst.members = membership.New(membership.Config{Peers: peers}, inst.self, rng)
	inst.sync = configsync.New(configsync.Config{Peers: names}, inst.self.Name, rng)
	inst.leases = lease.New(lease.Config{}, inst.self, rng)
	inst.seen, inst.seenEpoch, inst.table = map[string]*pb.Object{}, map[int]uint64{}, nil
	inst.records, inst.received = map[int][]uint64{}, map[uint64]bool{}
	inst.tick()
}

// clock returns the time of the local clock of the instance.
func (inst *simInstance) clock() time.Time {
	return time.Unix(1_000_000, 0).Add(inst.clockOffset + time.Duration(float64(inst.sim.now)*inst.clockRate))
}

// schedule runs an event after d of simulated time.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, do: do})
}

// deliver runs an event at the instance after d, unless its current run has ended
// by then. Events for a frozen instance are buffered until it is thawed.
func (inst *simInstance) deliver(d time.Duration, do func()) {
	run := inst.runNumber
	inst.sim.schedule(d, func() {
		switch {
		case inst.runNumber != run || inst.dead:
		case inst.frozen:
			inst.buffered = append(inst.buffered, do)
		default:
			do()
		}
	})
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end && sim.violation == nil {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

func (inst *simInstance) tick() {
	inst.deliver(100*time.Millisecond, inst.tick)
	now := inst.clock()
	inst.adopt(inst.sync.Settle(), nil)
	inst.members.SetLocal(inst.sync.Revision(), inst.sync.ConfirmedAt(), inst.sync.Ready(), inst.releasing)
	inst.members.SetPartners(inst.leases.Partners())
	view := inst.members.View(now)
	inst.execute(inst.members.Tick(now))
	if inst.sim.policy.heartbeatConfirms {
		inst.confirmOnHeartbeat(view)
	}
	inst.execute(inst.sync.Tick(now, view))
	if inst.sim.policy.anyIncarnationGrants {
		inst.useTableIncarnations(view)
	}
	inst.execute(inst.leases.Tick(now, view, inst.grants()))
	inst.sim.checkTerms(inst)
	inst.checkConfirmation()
	inst.decideRequests()
	inst.pollWatch()
}

// confirmOnHeartbeat sets the confirmation time of each member to the time of its
// last message.
func (inst *simInstance) confirmOnHeartbeat(view *membership.View) {
	for i, m := range view.Members {
		if !m.ConfirmedAt.IsZero() {
			view.Members[i].ConfirmedAt = m.LastHeard
		}
	}
}

// useTableIncarnations gives the successors in the view the incarnations that the
// table names.
func (inst *simInstance) useTableIncarnations(view *membership.View) {
	for i, m := range view.Members {
		for _, e := range inst.table.GetSlots() {
			if e.GetSuccessor() == m.Name {
				view.Members[i].Incarnation = e.GetSuccessorIncarnation()
			}
		}
	}
}

// checkConfirmation records a violation if the instance claims that its objects
// were current at a time by which it had already missed a write. Clock rates
// differ by up to 2%, and an age passes through two instances.
func (inst *simInstance) checkConfirmation() {
	if inst.sync.ConfirmedAt().IsZero() {
		return
	}
	sim := inst.sim
	age := time.Duration(float64(inst.clock().Sub(inst.sync.ConfirmedAt())) * 1.04)
	if position.Era(inst.sync.Revision()) != position.Era(sim.revision) {
		return
	}
	missed := int(position.Revision(inst.sync.Revision()))
	if missed < len(sim.writeTimes) && sim.writeTimes[missed] < sim.now-age-20*time.Millisecond {
		sim.recordViolation("%s at revision %d claims to be current %v ago at %v", inst.self.Name, missed, age, sim.now)
	}
}

// decideRequests decides one request for each slot of this instance, and checks
// that a clean lease term starts with the records of all requests that still count.
func (inst *simInstance) decideRequests() {
	sim := inst.sim
	for slot := range flow.LeaseSlotCount {
		term, ok := inst.leases.CurrentTerm(slot, inst.clock())
		if !ok {
			continue
		}
		clean := term.Clean || sim.policy.trustCleanFlag && inst.table.GetSlots()[slot].GetClean()
		if clean && inst.seenEpoch[slot] != term.Epoch {
			for _, d := range sim.decisions[slot] {
				if sim.now-d.at < 5*time.Second && !inst.received[d.id] && !slices.Contains(inst.records[slot], d.id) {
					sim.recordViolation("slot %d: %s started a clean lease term without the records of %v ago",
						slot, inst.self.Name, sim.now-d.at)
				}
			}
		}
		inst.seenEpoch[slot] = term.Epoch
		sim.seq++
		// One instance decides 60 requests per slot in 6 s.
		sim.decisions[slot] = lastItems(60, append(sim.decisions[slot], decision{uint64(sim.seq), sim.now}))
		inst.records[slot] = lastItems(60, append(inst.records[slot], uint64(sim.seq)))
	}
}

func lastItems[T any](n int, list []T) []T { return list[max(len(list)-n, 0):] }

// recordViolation keeps the first violation.
func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

func (inst *simInstance) grants() lease.Grants {
	if inst.sim.policy.grants != nil {
		return inst.sim.policy.grants(inst.members)
	}
	return inst.members
}

// checkTerms records a violation if another live instance has a lease term for a
// slot of inst at the same time. Lease terms begin and are extended in Tick only, so a
// check after each Tick misses none.
func (sim *simulation) checkTerms(inst *simInstance) {
	for slot := range flow.LeaseSlotCount {
		if _, ok := inst.leases.CurrentTerm(slot, inst.clock()); !ok {
			continue
		}
		for _, o := range sim.instances {
			if _, ok := o.leases.CurrentTerm(slot, o.clock()); ok && o != inst && !o.dead {
				sim.recordViolation("slot %d: %s and %s both have a lease term at %v", slot, inst.self.Name, o.self.Name, sim.now)
			}
		}
	}
}

func (inst *simInstance) adopt(changed []*pb.Object, actions []action.Action) {
	for _, o := range changed {
		before := inst.seen[o.GetKey()]
		if o.GetVersion() <= before.GetVersion() && position.Era(o.GetRevision()) == position.Era(before.GetRevision()) {
			inst.sim.recordViolation("%s: %s went back to version %d", inst.self.Name, o.GetKey(), o.GetVersion())
		}
		inst.seen[o.GetKey()] = o
		if o.GetKey() == lease.Key {
			inst.setTable(o)
			if o.GetDeleted() {
				inst.table = nil
			}
			inst.leases.AdoptTable(inst.clock(), inst.table, o.GetVersion(), o.GetRevision())
		}
	}
	inst.execute(actions)
}

func (inst *simInstance) setTable(o *pb.Object) {
	if o == nil {
		return
	}
	inst.table = &pb.SlotTable{}
	if err := codec.Decode(o.GetValue(), inst.table); err != nil {
		panic(err)
	}
}

func (inst *simInstance) handlePeer(m *pb.PeerMessage) {
	now, from := inst.clock(), m.GetFrom()
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		inst.execute(inst.members.HandleHeartbeat(now, from, m.GetIncarnation(), body.Heartbeat))
	case *pb.PeerMessage_ObjectPush:
		inst.adopt(inst.sync.HandlePush(now, from, body.ObjectPush))
	case *pb.PeerMessage_ObjectPull:
		inst.execute(inst.sync.HandlePull(now, from, body.ObjectPull))
	case *pb.PeerMessage_SlotHandover:
		for _, id := range body.SlotHandover.GetDecidedRequests() {
			inst.received[id] = true
		}
		inst.leases.HandleHandover(from, m.GetIncarnation(), body.SlotHandover.GetSlots())
	}
}

func (inst *simInstance) execute(actions []action.Action) {
	sim := inst.sim
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendPeer:
			if h := a.Message.GetSlotHandover(); h != nil {
				for _, slot := range h.GetSlots() {
					h.DecidedRequests = append(h.DecidedRequests, inst.records[int(slot)]...)
				}
				h.DecidedRequests = slices.AppendSeq(h.DecidedRequests, maps.Keys(inst.received))
			}
			for _, o := range sim.instances {
				if o.self.Name == a.Instance && !sim.cutLinks[[2]string{inst.self.Name, o.self.Name}] && sim.rng.Float64() >= sim.lossRate {
					m := proto.Clone(a.Message).(*pb.PeerMessage)
					o.deliver(sim.randomDelay(), func() { o.handlePeer(m) })
				}
			}
		case action.ReadObjects:
			inst.handleRead(a)
		case action.WatchObjects:
			inst.watching, inst.watchSent, inst.progressAt = true, a.Since, sim.now
		case action.StopWatch:
			inst.watching = false
		case action.WriteObject:
			inst.handleWrite(a)
		}
	}
}

func (sim *simulation) randomDelay() time.Duration {
	return 200*time.Microsecond + time.Duration(sim.rng.Int64N(int64(max(sim.maxDelay, 3*time.Millisecond))))
}
