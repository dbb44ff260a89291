package request

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

const (
	simInstances = 4
	// The lease and the maximum timeout are shorter than the real ones, so that
	// a schedule sees many tenures; the skew bound is not. A successor takes
	// over without the margin of the lease, which the engine must not need.
	simLease   = 1500 * time.Millisecond
	simTimeout = 2 * time.Second
)

var epoch = time.Unix(1_700_000_000, 0)

// policy selects a deliberately broken variant of the engine's environment.
type policy struct {
	skew       time.Duration // largest difference between two clocks
	noFence    bool          // new holders believe in an old tenure
	noRefusals bool          // refusals are not recorded
	noHistory  bool          // every takeover claims a handover
	anyAttempt bool          // answers are taken for the open attempt
	calm       bool          // not broken: the network delivers everything once
}

// sim is a virtual network of engines, one upstream and one caller.
type sim struct {
	policy
	rng      *rand.Rand
	now      time.Duration
	events   []event
	nodes    [simInstances]*node
	lease    lease
	upstream upstream
	caller   caller
	lossy    bool
	faults   []string
}

type node struct {
	engine   *Engine
	index    int
	offset   time.Duration
	frozen   bool
	dead     bool
	pauseMid bool // freeze with the actions of the next request unsent
	view     int  // believed holder
	tenure   Tenure
	backlog  []func()
	admitted int // requests that the limiter has admitted
	admitAll bool
}

// Acquire and Release make a node the limiter of its engine.
func (n *node) Acquire(now time.Time, _, _ string) error {
	if !n.admitAll && now.UnixNano()%16 == 0 {
		return &LimitError{Err: &QueueFullError{}}
	}
	n.admitted++
	return nil
}

func (n *node) Release(time.Time, string, string) { n.admitted-- }

// lease is the truth about who may decide; it stands for the lease package.
type lease struct {
	holder int
	until  time.Duration
}

type event struct {
	at  time.Duration
	run func()
}

func newSim(seed uint64, p policy) *sim {
	s := &sim{policy: p, rng: rand.New(rand.NewPCG(seed, 1))}
	s.caller.init()
	s.upstream = upstream{offset: s.offset(), seen: map[string]bool{}, runs: map[uint64][]time.Duration{}}
	for i := range s.nodes {
		s.nodes[i] = &node{index: i}
		s.restart(s.nodes[i])
	}
	s.lease = lease{holder: 0, until: simLease}
	s.nodes[0].tenure = Tenure{Start: s.clock(s.nodes[0]).Add(-time.Minute), Until: s.clock(s.nodes[0]).Add(simLease)}
	s.every(100*time.Millisecond, s.tick)
	s.every(20*time.Millisecond, s.renew)
	return s
}

func (s *sim) offset() time.Duration {
	return time.Duration(s.rng.Int64N(int64(s.skew)+1)) - s.skew/2
}

func (s *sim) upTo(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *sim) clock(n *node) time.Time { return epoch.Add(s.now + n.offset) }

func (s *sim) restart(n *node) {
	n.offset, n.dead, n.frozen, n.pauseMid, n.backlog, n.tenure, n.admitted = s.offset(), false, false, false, nil, Tenure{}, 0
	n.admitAll = s.calm
	cfg := Config{ReplyTo: fmt.Sprint(n.index), RetryRatio: 0.5, FenceTimeout: simTimeout, Limiter: n}
	n.engine = New(cfg, fmt.Sprint(n.index), rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
}

func (s *sim) after(d time.Duration, run func()) {
	at := s.now + d
	i, _ := slices.BinarySearchFunc(s.events, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	s.events = slices.Insert(s.events, i, event{at, run})
}

func (s *sim) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := s.events[0]
		s.events, s.now = s.events[1:], e.at
		e.run()
	}
	s.now = end
}

// send delivers a message with loss, duplication and reordering.
func (s *sim) send(deliver func()) {
	copies := 1
	switch x := s.rng.Float64(); {
	case s.calm:
	case x < 0.04 || s.lossy && x < 0.4:
		copies = 0
	case x > 0.92:
		copies = 2
	}
	for range copies {
		delay := s.upTo(5 * time.Millisecond)
		if !s.calm && s.rng.Float64() < 0.05 {
			delay = s.upTo(4 * time.Second)
		}
		s.after(delay, deliver)
	}
}

// toNode runs an event on an instance, now or after it resumes.
func (s *sim) toNode(n *node, run func() []action.Action) {
	engine := n.engine
	handle := func() {
		if n.dead || n.engine != engine {
			return
		}
		actions := run()
		if n.pauseMid && len(actions) > 0 {
			n.pauseMid = false
			s.freeze(n, s.upTo(6*time.Second))
			n.backlog = append([]func(){func() { s.perform(n, actions) }}, n.backlog...)
			return
		}
		s.perform(n, actions)
	}
	if n.frozen {
		n.backlog = append(n.backlog, handle)
		return
	}
	handle()
}

func (s *sim) freeze(n *node, d time.Duration) {
	if n.dead || n.frozen {
		return
	}
	n.frozen = true
	engine := n.engine
	s.after(d, func() {
		if n.engine != engine || n.dead {
			return
		}
		backlog := n.backlog
		n.frozen, n.backlog = false, nil
		for _, run := range backlog {
			run()
		}
	})
}

func (s *sim) kill(n *node) {
	n.dead = true
	s.after(s.upTo(2*time.Second), func() { s.restart(n) })
}

func (s *sim) tick() {
	for _, n := range s.nodes {
		if !n.frozen {
			s.toNode(n, func() []action.Action { return n.engine.Tick(s.clock(n)) })
		}
	}
}

// renew extends the lease of a running holder and replaces one whose lease
// has ended.
func (s *sim) renew() {
	h := s.nodes[s.lease.holder]
	holds := !h.tenure.Start.IsZero()
	if !h.dead && !h.frozen && holds && s.now < s.lease.until-simLease+300*time.Millisecond {
		return
	}
	if !h.dead && !h.frozen && holds && s.now < s.lease.until {
		s.lease.until = s.now + simLease
		h.tenure.Until = s.clock(h).Add(simLease)
	}
	if s.now < s.lease.until {
		return
	}
	if next := s.nodes[s.rng.IntN(simInstances)]; !next.dead && !next.frozen {
		s.take(next, false)
	}
}

// take makes an instance the holder; the others learn of it later.
func (s *sim) take(n *node, clean bool) {
	previous := fmt.Sprint(s.lease.holder)
	s.lease = lease{holder: n.index, until: s.now + simLease}
	start := s.clock(n)
	if s.noFence {
		start = start.Add(-time.Minute)
	}
	n.tenure = Tenure{Start: start, Until: s.clock(n).Add(simLease), Clean: clean || s.noHistory, Previous: previous}
	if s.noHistory {
		n.engine.HandleHandover(s.clock(n), previous, &pb.SlotHandover{Slots: allSlots()})
	}
	n.view = n.index
	for _, other := range s.nodes {
		s.after(s.upTo(2*time.Second), func() {
			other.view = s.lease.holder
			if other.index != s.lease.holder {
				other.tenure = Tenure{}
			}
		})
	}
}

// handover moves the slots from a running holder to another instance.
func (s *sim) handover(to *node) {
	h := s.nodes[s.lease.holder]
	if h == to || h.dead || h.frozen || to.dead || to.frozen || h.tenure.Start.IsZero() || s.now >= s.lease.until {
		return
	}
	tenures := map[uint32]Tenure{}
	for _, slot := range allSlots() {
		tenures[slot] = h.tenure
	}
	message, sent := h.engine.Handover(s.clock(h), tenures), s.now
	s.send(func() {
		s.toNode(to, func() []action.Action {
			// The call that carries a handover has a timeout.
			if s.now-sent < simTimeout {
				to.engine.HandleHandover(s.clock(to), fmt.Sprint(h.index), message)
			}
			return nil
		})
	})
	// No copy of the tenure outlives the handover; the node forgets it later.
	s.after(s.upTo(50*time.Millisecond), func() {
		if !to.dead && !to.frozen && s.lease.holder == h.index {
			h.tenure = Tenure{}
			s.take(to, true)
		}
	})
}

func allSlots() []uint32 {
	slots := make([]uint32, 64)
	for i := range slots {
		slots[i] = uint32(i)
	}
	return slots
}

func (s *sim) request(n *node, p *pb.Packet, hops uint32) {
	s.toNode(n, func() []action.Action {
		now := s.clock(n)
		route := Route{
			Team: "t", Service: "t/s", MaxTimeout: simTimeout, Hops: hops,
			Holds: !n.tenure.Start.IsZero(), Tenure: n.tenure,
			Holder: fmt.Sprint(n.view), HolderAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		if s.upstream.dead {
			route.Availability = UpstreamDead
		}
		actions := n.engine.HandleRequest(now, p, route)
		if s.noRefusals {
			for _, r := range n.engine.records {
				if r.done && r.refusal != nil {
					n.engine.remove(r)
				}
			}
		}
		return actions
	})
}

// perform carries out the actions of an instance.
func (s *sim) perform(n *node, actions []action.Action) {
	s.checkWhole(actions)
	for _, a := range actions {
		switch a := a.(type) {
		case action.Forward:
			s.send(func() { s.upstreamReceive(a.Packet) })
		case action.SendCaller:
			s.send(func() { s.callerReceive(a.Packet) })
		case action.SendPeer:
			to := s.nodes[a.Instance[0]-'0']
			redirect := a.Message.GetRedirect()
			s.send(func() { s.request(to, redirect.GetPacket(), redirect.GetHops()) })
		}
	}
}

// answer delivers a packet of the upstream to the instance in reply_to.
func (s *sim) answer(replyTo string, p *pb.Packet) {
	n := s.nodes[replyTo[0]-'0']
	s.send(func() {
		s.toNode(n, func() []action.Action {
			if s.anyAttempt {
				if k, err := cancelKey(p); err == nil && n.engine.records[k] != nil {
					p.Attempt = n.engine.records[k].attempts[0].number
				}
			}
			return n.engine.HandleAnswer(s.clock(n), p)
		})
	})
}
