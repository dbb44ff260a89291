package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/domain"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
)

const (
	simService = "repairs/dispatch"
	simIdle    = 20 * time.Second
	// simDrainBound is when a draining upstream must get no new flow: 1 s of
	// uneven adoption, ActivationLimit, and 1 s for held packets.
	simDrainBound = 5 * time.Second
	simOutBound   = 3 * time.Second
)

// policy replaces parts of the trackers by simpler ones.
type policy struct {
	modulo, noReplication, noActivation, noSync, noFreshness, noTable bool
}

// sim runs trackers over a fake network, platform and fabric in virtual time.
type sim struct {
	policy
	now     time.Time
	rng     *rand.Rand
	queue   eventQueue
	seq     int
	insts   map[string]*inst
	order   []string
	gone    map[string]uint64
	targets []Target
	table   *pb.ServiceTable
	rev     uint64
	tblRev  uint64
	drainAt map[string]time.Time // upstream → when it began to leave
	outAt   map[string]time.Time // failure domain → when it was taken out
	// cut holds failure domains without contact to others and the platform.
	cut      map[string]bool
	cutUntil time.Time
	// adoptDelay is the longest delay between a write and its adoption.
	adoptDelay time.Duration
	loss       float64

	flows      []*simFlow
	violations []string
	strays     int
	drops      map[DropReason]int
}

type simFlow struct {
	key       flow.Key
	upstream  string
	lost      bool // its failure domain was taken out
	closed    bool
	delivered time.Time
}

type simPacket struct {
	flow *simFlow
	kind pb.PacketKind
	hops uint32
	rev  uint64
}

type simPeer struct {
	membership.Member
	leaving bool
}

type inst struct {
	s               *sim
	self            membership.Member
	tracker         *Tracker
	domains         *domain.Domains
	table           *Table
	states          map[string]TargetState
	peers           map[string]simPeer
	view            *membership.View
	held            map[uint64]simPacket
	inbox           []func()
	dead, leaving   bool
	frozen, pulling bool
	confirmedAt     time.Time
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

func newSim(seed uint64, p policy) *sim {
	s := &sim{
		policy: p, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), insts: map[string]*inst{},
		gone: map[string]uint64{}, drainAt: map[string]time.Time{}, outAt: map[string]time.Time{},
		cut: map[string]bool{}, adoptDelay: time.Second, loss: 0.01, drops: map[DropReason]int{},
	}
	for i := range 8 {
		s.targets = append(s.targets, Target{Upstream: fmt.Sprintf("u%d", i), Weight: 100, State: TargetServing})
	}
	s.write(nil)
	for i := range 9 {
		s.startInst(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%4))
	}
	s.run(8 * time.Second)
	return s
}

func upstreamDomain(name string) string { return "d" + string('0'+(name[1]-'0')%4) }

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, fn})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *sim) jitter(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

// write plans and stores a new table.
func (s *sim) write(settled map[uint32]uint32) {
	tbl, changed := Plan(s.table, s.targets, PlanOptions{Service: simService, Settled: settled})
	s.rev++
	if changed && !(s.noTable && s.table != nil) {
		s.table, s.tblRev = tbl, s.rev
	}
}

func (s *sim) setState(upstream string, state TargetState) {
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

// takeOut takes a failure domain out or in again.
func (s *sim) takeOut(name string, out bool) {
	delete(s.outAt, name)
	state := TargetServing
	if out {
		s.outAt[name], state = s.now, TargetOut
		for _, f := range s.flows {
			f.lost = f.lost || (f.upstream != "" && upstreamDomain(f.upstream) == name)
		}
	}
	for _, t := range s.targets {
		if upstreamDomain(t.Upstream) == name {
			s.setState(t.Upstream, state)
		}
	}
	s.write(nil)
}

func (s *sim) startInst(name, dom string) *inst {
	in := &inst{
		s: s, peers: map[string]simPeer{}, held: map[uint64]simPacket{},
		self: membership.Member{Name: name, FailureDomain: dom, Incarnation: uint64(s.now.UnixNano()), State: membership.Alive,
			Address: netip.MustParseAddrPort("127.0.0.1:7000")},
	}
	limit := time.Duration(0)
	if s.noFreshness {
		limit = time.Hour
	}
	in.domains = domain.New(domain.Config{OwnDomain: dom, FreshnessLimit: limit}, name)
	in.tracker = NewTracker(Config{
		IdleTimeout: func(string) time.Duration { return simIdle },
		Status: func(_, upstream string) UpstreamStatus {
			switch in.states[upstream] {
			case TargetServing:
				return StatusServing
			case TargetOut:
				return StatusOut
			}
			return StatusLeaving
		},
	}, name)
	if s.insts[name] == nil {
		s.order = append(s.order, name)
	}
	s.insts[name] = in
	s.every(in, 100*time.Millisecond, in.tick)
	s.every(in, time.Second, in.heartbeat)
	return in
}

func (s *sim) every(in *inst, d time.Duration, fn func()) {
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

// deliver runs fn at an instance after a network delay.
func (s *sim) deliver(from *inst, to string, fn func(*inst)) {
	in := s.insts[to]
	if in == nil || s.rng.Float64() < s.loss {
		return
	}
	if a, b := from.self.FailureDomain, in.self.FailureDomain; a != b && (s.cut[a] || s.cut[b]) {
		return
	}
	s.after(300*time.Microsecond+s.jitter(2*time.Millisecond), func() { in.receive(func() { fn(in) }) })
}

func (in *inst) receive(fn func()) {
	switch {
	case in.dead:
	case in.frozen:
		in.inbox = append(in.inbox, fn)
	default:
		fn()
	}
}

func (in *inst) heartbeat() {
	s := in.s
	m, leaving := in.self, in.leaving
	for _, name := range s.order {
		if name != m.Name {
			s.deliver(in, name, func(to *inst) {
				if old := to.peers[m.Name]; old.Incarnation <= m.Incarnation {
					m.LastHeard = s.now
					to.peers[m.Name] = simPeer{m, leaving}
				}
			})
		}
	}
	if in.self.Ready && in.table.change == s.table.Change && !s.cut[in.self.FailureDomain] {
		if settled := in.tracker.Settled(s.now, simService); settled != nil {
			s.write(settled)
		}
	}
}

func (in *inst) tick() {
	s := in.s
	reachable := !s.cut[in.self.FailureDomain]
	if reachable && in.self.Revision == s.rev {
		in.confirmedAt = s.now
	} else if reachable && !in.pulling {
		in.pulling = true
		s.after(s.jitter(s.adoptDelay), func() { in.receive(in.adopt) })
	}
	in.rebuildView()
	actions, releases := in.tracker.Tick(s.now, in.view)
	in.perform(actions)
	in.release(releases)
}

func (in *inst) adopt() {
	s := in.s
	in.pulling = false
	if s.cut[in.self.FailureDomain] {
		return
	}
	in.states = map[string]TargetState{}
	for _, t := range s.targets {
		in.states[t.Upstream] = t.State
	}
	for _, d := range []string{"d0", "d1", "d2", "d3"} {
		_, out := s.outAt[d]
		in.domains.Adopt(d, &pb.DomainState{Out: out})
	}
	in.table, _ = Compile(s.table, s.tblRev)
	in.self.Revision, in.self.Ready = s.rev, true
	in.rebuildView()
	in.tracker.Adopt(s.now, in.table, in.view)
}

func (in *inst) rebuildView() {
	s := in.s
	in.self.LastHeard = s.now
	if in.leaving {
		in.self.State = membership.Leaving
	}
	v := &membership.View{Self: in.self, Members: []membership.Member{in.self}}
	for name, p := range in.peers {
		silent := s.now.Sub(p.LastHeard) >= SuspectAfter
		p.State = membership.Alive
		switch {
		case silent && s.gone[name] >= p.Incarnation:
			continue
		case p.leaving:
			p.State = membership.Leaving
		case silent:
			p.State = membership.Suspect
		}
		if s.noActivation {
			p.Revision = in.self.Revision
		}
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(a, b membership.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	in.view = v
}

func (in *inst) perform(actions []action.Action) {
	for _, a := range actions {
		sp := a.(action.SendPeer)
		from, inc := in.self.Name, in.self.Incarnation
		in.s.deliver(in, sp.Instance, func(to *inst) { to.handlePeer(from, inc, sp.Message) })
	}
}

func (in *inst) handlePeer(from string, inc uint64, m *pb.PeerMessage) {
	s, t := in.s, in.tracker
	switch body := m.Body.(type) {
	case *pb.PeerMessage_Birth:
		if s.noReplication {
			body.Birth.Groups = nil
		}
		in.perform(t.HandleBirth(s.now, from, body.Birth))
	case *pb.PeerMessage_BirthAck:
		in.release(t.HandleBirthAck(s.now, from, body.BirthAck))
	case *pb.PeerMessage_TrackerSyncRequest:
		in.perform(t.HandleSyncRequest(s.now, from, body.TrackerSyncRequest))
	case *pb.PeerMessage_TrackerSync:
		if s.noSync {
			for _, b := range body.TrackerSync.Buckets {
				b.Groups = nil
			}
		}
		in.release(t.HandleSync(s.now, from, inc, body.TrackerSync))
	}
}

func (in *inst) release(releases []Release) {
	for _, r := range releases {
		p := in.held[r.Ticket]
		delete(in.held, r.Ticket)
		in.apply(p, r.Decision)
	}
}

func (in *inst) handle(p simPacket) {
	s := in.s
	if !in.self.Ready {
		return
	}
	if s.modulo {
		in.sendUpstream(p, in.moduloChoice(p.flow.key.Hash()))
		return
	}
	d := in.tracker.HandlePacket(s.now, Packet{Key: p.flow.key, Kind: p.kind, Hops: p.hops, Revision: p.rev}, in.table, in.view)
	in.perform(d.Actions)
	in.apply(p, d)
	if at, ok := in.tracker.NextDeadline(); ok {
		s.after(at.Sub(s.now), func() { in.receive(in.tick) })
	}
}

func (in *inst) moduloChoice(hash uint64) string {
	var serving []string
	for _, t := range in.s.targets {
		if in.states[t.Upstream] == TargetServing {
			serving = append(serving, t.Upstream)
		}
	}
	return serving[hash%uint64(len(serving))]
}

func (in *inst) apply(p simPacket, d Decision) {
	switch d.Verdict {
	case Forward:
		in.sendUpstream(p, d.Upstream)
	case Redirect:
		p.hops, p.rev = d.Hops, in.self.Revision
		in.s.deliver(in, d.Instance, func(to *inst) { to.handle(p) })
	case Hold:
		in.held[d.Ticket] = p
	case Drop:
		in.s.drops[d.Reason]++
	}
}
