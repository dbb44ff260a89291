// Package measure runs scenarios of instances, upstreams, callers and the
// platform in virtual time and one goroutine, and measures what callers and
// upstreams saw. It compares placement policies in the same run. It is not a
// cluster simulator: the instances are the product's decision cores, and the
// network is a delay per hop.
package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/standin/caller"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/platform"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

// Delays of the network, one way.
const (
	callerDelay = time.Millisecond
	// peerDelay is that between the failure domains of one region.
	peerDelay     = 500 * time.Microsecond
	platformDelay = 2 * time.Millisecond
	callerTick    = 5 * time.Millisecond
	// progressInterval is how often a watch reports progress.
	progressInterval = time.Second
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options describe one run.
type Options struct {
	Policy    string
	Seed      uint64
	Instances int
	Domains   int
	Teams     []*declare.Team
	// Load is the load of all callers together; Duration is its time.
	Load caller.Config
	// Settle is the time before the load starts.
	Settle time.Duration
	// Cold is the true cold start of the upstreams; a negative ramp makes
	// them start warm.
	Cold        upstream.ColdStart
	ServiceTime time.Duration
	// Duplicate, Reorder and Drop are shares of the packets from callers.
	Duplicate, Reorder, Drop float64
	// DiscardHistory: the run is not checked, and its history not kept.
	DiscardHistory bool
	// Measured: the costs of the duties of each instance are measured.
	Measured bool
	// Cores is the number of instances that run a decision core; the others
	// only take part in the membership. 0 for all.
	Cores int
	// StartSpread is the time over which the instances start. Members above
	// the full mesh get heartbeats in rotation; instances that start together
	// rotate in step, and all send to the same few members.
	StartSpread time.Duration
	// WriterStagger is the wait per rank before a write; 0 for the default.
	WriterStagger time.Duration
	// Links has the faults of the links between instances and to upstreams.
	Links LinkFaults
	// Skew is the offset of each instance's clock; zero where missing.
	Skew []time.Duration
	// InstanceLag is the age of the platform's instance list.
	InstanceLag time.Duration
	// Configure changes the settings of every node.
	Configure func(*node.Config)
}

// World is one run in virtual time. It is not safe for concurrent use.
type World struct {
	opt   Options
	rng   *rand.Rand
	now   time.Time
	queue eventQueue
	seq   uint64

	store     *platform.Store
	instances []*instance
	byPeer    map[netip.AddrPort]*instance
	byReply   map[string]*instance
	upstreams map[netip.AddrPort]*server
	servers   []*server
	callers   *caller.Machine
	recorder  *history.Memory
	outages   []history.Outage
	// cut holds the pairs of failure domains, or a domain and "platform",
	// that cannot reach each other, in one direction.
	cut map[[2]string]bool

	started time.Time
	control controlCount
	// samples holds, per second, the control bytes of the mean instance so
	// far.
	samples []float64
	// sentSamples is the sent part of samples.
	sentSamples []float64
	inForce     []time.Duration
	accepted    map[uint64]time.Time
}

// server is one upstream.
type server struct {
	name    string
	domain  string
	address netip.AddrPort
	machine *upstream.Machine
	down    bool
	// due is the time of the pending tick; zero for none.
	due time.Time
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after runs a function after a delay.
func (w *World) after(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(delay), seq: w.seq, run: run})
}

// every runs a function at an interval for the rest of the run.
func (w *World) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		w.after(interval, again)
	}
	w.after(interval, again)
}

// NewWorld builds a run: the platform holds the declarations of the teams, and
// all instances start without state. It fails when the options cannot be used.
func NewWorld(opt Options) (*World, error) {
	w := &World{
		opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), now: epoch,
		byPeer: map[netip.AddrPort]*instance{}, byReply: map[string]*instance{},
		upstreams: map[netip.AddrPort]*server{}, recorder: &history.Memory{},
		cut: map[[2]string]bool{}, accepted: map[uint64]time.Time{},
	}
	w.store = platform.NewStore(platform.Options{Clock: func() time.Time { return w.now }, InstanceLag: opt.InstanceLag})
	for _, team := range opt.Teams {
		if err := w.addTeam(team); err != nil {
			return nil, err
		}
	}
	for i := range opt.Instances {
		if err := w.addInstance(i); err != nil {
			return nil, err
		}
	}
	w.publishInstances()
	w.every(progressInterval, w.progress)
	w.after(opt.Settle, w.startLoad)
	return w, nil
}

func (w *World) addTeam(team *declare.Team) error {
	if err := w.ApplyTeam(team); err != nil {
		return err
	}
	for _, s := range team.Services {
		for _, u := range s.Upstreams {
			if err := w.addServer(team, s, u); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *World) addServer(team *declare.Team, s declare.Service, u declare.Upstream) error {
	name := team.Name + "/" + s.Name + "/" + u.Name
	machine, err := upstream.New(upstream.Config{
		Name: name, Service: s.Address.String(), Cold: w.opt.Cold, StartWarm: w.opt.Cold.Ramp < 0,
		ServiceTime: w.opt.ServiceTime, MaxConnections: maxConnections, Recorder: w.historyRecorder(),
	}, rand.New(rand.NewPCG(w.opt.Seed, uint64(len(w.servers))+100)), w.now)
	if err != nil {
		return err
	}
	server := &server{name: name, domain: u.FailureDomain, address: u.Address, machine: machine}
	w.servers = append(w.servers, server)
	w.upstreams[u.Address] = server
	return nil
}

func (w *World) historyRecorder() history.Recorder {
	if w.opt.DiscardHistory {
		return history.Discard{}
	}
	return w.recorder
}

// maxConnections lets 18 upstreams hold 100,000 flows at once.
const maxConnections = 20_000

func (w *World) startLoad() {
	w.started = w.now
	for _, i := range w.instances {
		i.counted = controlBytes{}
	}
	w.control = controlCount{}
	w.every(time.Second, w.sampleControl)
	load := w.opt.Load
	load.Address = "127.0.0.1:4000"
	load.Recorder = w.historyRecorder()
	machine, err := caller.New(load, rand.New(rand.NewPCG(w.opt.Seed, 2)), w.now)
	if err != nil {
		panic(fmt.Sprintf("load of the scenario is not usable: %v", err))
	}
	w.callers = machine
	w.every(callerTick, func() { w.fromCallers(w.callers.Tick(w.now)) })
}

// Run runs until the load is over.
func (w *World) Run() {
	w.runUntil(epoch.Add(w.opt.Settle + w.opt.Load.Duration + 6*time.Second))
}

// runUntil runs the events up to a time.
func (w *World) runUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

// fromCallers sprays packets over the instances that are in the fabric.
func (w *World) fromCallers(packets []*pb.Packet) {
	for _, p := range packets {
		copies := 1
		if w.opt.Duplicate > 0 && w.rng.Float64() < w.opt.Duplicate {
			copies = 2
		}
		for range copies {
			w.spray(p)
		}
	}
}

func (w *World) spray(p *pb.Packet) {
	if w.opt.Drop > 0 && w.rng.Float64() < w.opt.Drop {
		return
	}
	receivers := len(w.instances)
	if w.opt.Cores > 0 {
		receivers = w.opt.Cores
	}
	i := w.instances[w.rng.IntN(receivers)]
	delay := callerDelay
	if w.opt.Reorder > 0 && w.rng.Float64() < w.opt.Reorder {
		delay += time.Duration(w.rng.Int64N(int64(max(20*time.Millisecond, w.opt.Links.ReorderBy))))
	}
	copied := proto.Clone(p).(*pb.Packet)
	w.after(delay, func() { i.fromCaller(copied) })
}

func (w *World) toCaller(p *pb.Packet) {
	if w.callers == nil {
		return
	}
	copied := proto.Clone(p).(*pb.Packet)
	w.after(callerDelay, func() { w.fromCallers(w.callers.HandlePacket(w.now, copied)) })
}

// toUpstream delivers a packet to whoever listens at an address.
func (w *World) toUpstream(from *instance, address netip.AddrPort, p *pb.Packet) {
	s := w.upstreams[address]
	if s == nil || w.cut[[2]string{from.domain, s.domain}] {
		return
	}
	if from.stalled {
		from.outbox = append(from.outbox, func() { w.toUpstream(from, address, p) })
		return
	}
	copied := proto.Clone(p).(*pb.Packet)
	w.linkOnce(func() {
		if !s.down {
			w.fromUpstream(s, s.machine.HandlePacket(w.now, proto.Clone(copied).(*pb.Packet)))
			w.arm(s)
		}
	})
}

func (w *World) fromUpstream(s *server, replies []upstream.Reply) {
	for _, r := range replies {
		i := w.byReply[r.To]
		if i == nil || w.cut[[2]string{s.domain, i.domain}] {
			continue
		}
		w.link(func() { i.fromUpstream(proto.Clone(r.Packet).(*pb.Packet), s.address) })
	}
}

// arm schedules the next tick of an upstream.
func (w *World) arm(s *server) {
	next, ok := s.machine.Next()
	if !ok || (!s.due.IsZero() && !next.Before(s.due)) {
		return
	}
	s.due = next
	w.after(max(0, next.Sub(w.now)), func() {
		if s.due.Equal(next) {
			s.due = time.Time{}
		}
		if !s.down {
			w.fromUpstream(s, s.machine.Tick(w.now))
			w.arm(s)
		}
	})
}
