package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/domain"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

const (
	simService     = "repairs/dispatch"
	simIdleTimeout = 20 * time.Second
	// simDrainBound is the time after which a draining upstream must get no new
	// flow: 1 s of uneven adoption, ActivationLimit, and 1 s for held packets.
	simDrainBound   = 5 * time.Second
	simTakeOutBound = 3 * time.Second
)

// policy selects parts of the trackers that are replaced by simpler ones.
type policy struct {
	modulo, noReplication, noActivation, noSync, noFreshness, noTable bool
}

// simulation runs trackers over a simulated network, platform and fabric in virtual
// time.
type simulation struct {
	policy
	now       time.Time
	rng       *rand.Rand
	queue     eventQueue
	seq       int
	instances map[string]*simInstance
	order     []string
	// removedIncarnation holds the latest incarnation of an instance that was
	// removed, by instance name.
	removedIncarnation map[string]uint64
	targets            []Target
	table              *pb.ServiceTable
	revision           uint64
	tableRevision      uint64
	drainAt            map[string]time.Time // upstream → when it began to leave
	outAt              map[string]time.Time // failure domain → when it was taken out
	// outRevision holds the revision with which a failure domain was last taken
	// out.
	outRevision map[string]uint64
	// cutDomains contains the failure domains that have no contact to other domains
	// and to the platform.
	cutDomains map[string]bool
	cutUntil   time.Time
	// adoptDelay is the longest delay between a write and its adoption.
	adoptDelay time.Duration
	syncPeers  int
	loss       float64

	flows      []*simFlow
	violations []string
	// misrouted counts packets to another upstream during a partition, lostByKill
	// the flows lost with a killed instance, and splitFlows the flows whose OPEN
	// was placed on both sides of a partition.
	misrouted  int
	lostByKill int
	splitFlows int
	drops      map[DropReason]int
}

type simFlow struct {
	key           flow.Key
	upstream      string
	openedBy      string // instance that opened it
	opened        time.Time
	excluded      bool // no longer checked: its upstream was out, or its OPEN was lost or split
	closed        bool
	lastDelivered time.Time
}

type simPacket struct {
	flow     *simFlow
	kind     pb.PacketKind
	hops     uint32
	revision uint64
}

type simPeer struct {
	membership.Member
	leaving bool
}

type simInstance struct {
	sim              *simulation
	self             membership.Member
	tracker          *Tracker
	domains          *domain.Domains
	table            *Table
	states           map[string]TargetState
	peers            map[string]simPeer
	view             *membership.View
	held             map[uint64]simPacket
	inbox            []func()
	dead, leaving    bool
	frozen, adopting bool
	confirmedAt      time.Time
	tickAt           time.Time
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, p policy) *simulation {
	s := &simulation{
		policy: p, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*simInstance{},
		removedIncarnation: map[string]uint64{}, drainAt: map[string]time.Time{}, outAt: map[string]time.Time{}, outRevision: map[string]uint64{},
		cutDomains: map[string]bool{}, adoptDelay: time.Second, loss: 0.01, drops: map[DropReason]int{},
	}
	for i := range 8 {
		s.targets = append(s.targets, Target{Upstream: fmt.Sprintf("u%d", i), Weight: 100, State: TargetServing})
	}
	s.writeTable(nil)
	for i := range 9 {
		s.startInstance(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%4))
	}
	s.run(8 * time.Second)
	return s
}

func upstreamDomain(name string) string { return "d" + string('0'+(name[1]-'0')%4) }

func (s *simulation) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, fn})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// writeTable plans the next table and stores it.
func (s *simulation) writeTable(settled map[uint32]uint32) {
	tbl, changed := Plan(s.table, s.targets, PlanOptions{Service: simService, Settled: settled})
	s.revision++
	if changed && !(s.noTable && s.table != nil) {
		s.table, s.tableRevision = tbl, s.revision
	}
}

func (s *simulation) setState(upstream string, state TargetState) {
	for i := range s.targets {
		if s.targets[i].Upstream == upstream {
			s.targets[i].State = state
		}
	}
	delete(s.drainAt, upstream)
	if state != TargetServing {
		s.drainAt[upstream] = s.now
	}
}

// takeOut takes a failure domain out, or back in if out is false.
func (s *simulation) takeOut(name string, out bool) {
	delete(s.outAt, name)
	state := TargetServing
	if out {
		s.outAt[name], state = s.now, TargetOut
		for _, f := range s.flows {
			f.excluded = f.excluded || (f.upstream != "" && upstreamDomain(f.upstream) == name)
		}
	}
	for _, t := range s.targets {
		if upstreamDomain(t.Upstream) == name {
			s.setState(t.Upstream, state)
		}
	}
	s.writeTable(nil)
	if out {
		s.outRevision[name] = s.revision
	}
}

func (s *simulation) every(in *simInstance, d time.Duration, fn func()) {
	var loop func()
	loop = func() {
		if in.dead {
			return
		}
		if !in.frozen {
			fn()
		}
		s.after(d, loop)
	}
	s.after(s.jitter(d/2), loop)
}

// deliver runs fn at an instance after a network delay; the message may be lost.
func (s *simulation) deliver(from *simInstance, to string, fn func(*simInstance)) {
	in := s.instances[to]
	if in == nil || s.rng.Float64() < s.loss {
		return
	}
	if a, b := from.self.FailureDomain, in.self.FailureDomain; a != b && (s.cutDomains[a] || s.cutDomains[b]) {
		return
	}
	s.after(300*time.Microsecond+s.jitter(2*time.Millisecond), func() { in.receive(func() { fn(in) }) })
}

func (in *simInstance) receive(fn func()) {
	switch {
	case in.dead:
	case in.frozen:
		in.inbox = append(in.inbox, fn)
	default:
		fn()
	}
}
