// Package measure simulates instances, upstreams, callers and the platform in
// virtual time and in one goroutine, and measures what callers and upstreams
// observe. Each scenario can run under several placement policies, so that the
// product is compared with simpler load balancers under the same load and
// faults. The instances run the product's decision code; the network is
// modelled as a fixed delay per hop plus optional loss, duplication and
// reordering.
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

// One-way network delays and the intervals of the simulated clients.
const (
	callerNetworkDelay = time.Millisecond
	// domainNetworkDelay is the delay between the failure domains of one
	// region. Links within a domain and links to upstreams have it too.
	domainNetworkDelay   = 500 * time.Microsecond
	platformNetworkDelay = 2 * time.Millisecond
	callerTickInterval   = 5 * time.Millisecond
	// watchProgressInterval is the interval at which every watch reports the
	// current revision, also when no object has changed.
	watchProgressInterval = time.Second
)

// virtualStart is the time at which virtual time starts.
var virtualStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Options describes one run.
type Options struct {
	// Policy is one of the Policy constants.
	Policy string
	// Seed seeds every random source of the run; equal options give equal runs.
	Seed uint64
	// Instances and Domains are the numbers of instances and failure domains.
	Instances int
	Domains   int
	// Teams holds the declarations that the platform has at the start. The run
	// replaces an entry when it changes a team.
	Teams []*declare.Team
	// Load is the load of all callers together; Load.Duration is how long it
	// lasts.
	Load caller.Config
	// SettleTime is the time before the load starts.
	SettleTime time.Duration
	// ColdStart is the cold-start behaviour of the upstreams themselves, which
	// can differ from the declared one; with a negative ramp they start warm.
	ColdStart upstream.ColdStart
	// ServiceTime is how long an upstream works on one request.
	ServiceTime time.Duration
	// Duplicate, Reorder and Drop are the shares, from 0 to 1, of the packets
	// from callers that are sent twice, delayed and lost.
	Duplicate, Reorder, Drop float64
	// DiscardHistory drops the events of callers and upstreams instead of
	// keeping them for the checks.
	DiscardHistory bool
	// MeterCosts measures what each work category costs each instance.
	MeterCosts bool
	// CoreCount is the number of instances that run a decision core; the
	// others only take part in the membership. 0 means all.
	CoreCount int
	// StartSpread is the time over which the first starts of the instances are
	// spread. In fleets too large for a full mesh, heartbeats go to the other
	// members in rotation; instances that start together would rotate in step
	// and all send to the same few members.
	StartSpread time.Duration
	// WriterStagger is the wait per rank before an instance writes; 0 means
	// the default.
	WriterStagger time.Duration
	// LinkFaults are the faults of the links between instances and between
	// instances and upstreams.
	LinkFaults LinkFaults
	// ClockSkew is the offset of each instance's clock from virtual time, by
	// instance index. Instances without an entry have no offset.
	ClockSkew []time.Duration
	// InstanceListLag is the age of the instance list that the platform
	// returns.
	InstanceListLag time.Duration
	// ConfigureNode, if set, changes the settings of every node.
	ConfigureNode func(*node.Config)
}

// World is the simulated system of one run, in virtual time. It is not safe for
// concurrent use.
type World struct {
	options    Options
	rng        *rand.Rand
	virtualNow time.Time
	// queue holds the scheduled events. lastSequence numbers them, so that
	// events of the same time run in the order in which they were scheduled.
	queue        eventQueue
	lastSequence uint64

	store                  *platform.Store
	instances              []*instance
	instanceByPeerAddress  map[netip.AddrPort]*instance
	instanceByReplyAddress map[string]*instance
	serverByAddress        map[netip.AddrPort]*upstreamServer
	upstreamServers        []*upstreamServer
	callers                *caller.Machine
	recorder               *history.Memory
	// outages are the times for which failure domains were taken out, per
	// upstream. The checks of the history allow for them.
	outages []history.Outage
	// cuts is the set of cut directions, keyed by sender and receiver. Each is
	// a failure domain or platformEndpoint. An entry is removed when the
	// direction is restored.
	cuts map[[2]string]bool

	loadStart     time.Time
	controlTotals controlCount
	// controlSamples has one entry per second of load: the control bytes sent
	// and received per instance since the load started.
	controlSamples []float64
	// sentControlSamples is the sent part of controlSamples.
	sentControlSamples []float64
	// inForceDelays holds, for each change and instance, the time from the
	// acceptance of the change until it was in force at the instance.
	inForceDelays []time.Duration
	// acceptedAt holds when the platform accepted an operator's change, by
	// revision. Entries are never removed.
	acceptedAt map[uint64]time.Time
}

// upstreamServer is one simulated upstream.
type upstreamServer struct {
	name    string
	domain  string
	address netip.AddrPort
	machine *upstream.Machine
	// down stops the upstream from answering. No scenario sets it.
	down bool
	// nextTick is the time of the scheduled tick; zero if none is scheduled.
	nextTick time.Time
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// runAfter schedules a function after a delay of virtual time.
func (w *World) runAfter(delay time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{at: w.virtualNow.Add(delay), sequence: w.lastSequence, run: run})
}

// runEvery schedules a function at an interval for the rest of the run.
func (w *World) runEvery(interval time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		w.runAfter(interval, repeat)
	}
	w.runAfter(interval, repeat)
}

// NewWorld prepares a run: the platform holds the declarations of the teams, and
// all instances start without state. It returns a *PolicyError for an unknown
// policy, and an error when a team cannot be written or an upstream cannot be
// configured.
func NewWorld(options Options) (*World, error) {
	w := &World{
		options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), virtualNow: virtualStart,
		instanceByPeerAddress: map[netip.AddrPort]*instance{}, instanceByReplyAddress: map[string]*instance{},
		serverByAddress: map[netip.AddrPort]*upstreamServer{}, recorder: &history.Memory{},
		cuts: map[[2]string]bool{}, acceptedAt: map[uint64]time.Time{},
	}
	w.store = platform.NewStore(platform.Options{Clock: func() time.Time { return w.virtualNow }, InstanceLag: options.InstanceListLag})
	for _, team := range options.Teams {
		if err := w.addTeam(team); err != nil {
			return nil, err
		}
	}
	for i := range options.Instances {
		if err := w.addInstance(i); err != nil {
			return nil, err
		}
	}
	w.publishInstances()
	w.runEvery(watchProgressInterval, w.deliverWatches)
	w.runAfter(options.SettleTime, w.startLoad)
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

func (w *World) addServer(team *declare.Team, service declare.Service, declared declare.Upstream) error {
	name := team.Name + "/" + service.Name + "/" + declared.Name
	machine, err := upstream.New(upstream.Config{
		Name: name, Service: service.Address.String(), Cold: w.options.ColdStart, StartWarm: w.options.ColdStart.Ramp < 0,
		ServiceTime: w.options.ServiceTime, MaxConnections: maxConnections, Recorder: w.historyRecorder(),
	}, rand.New(rand.NewPCG(w.options.Seed, uint64(len(w.upstreamServers))+100)), w.virtualNow)
	if err != nil {
		return err
	}
	server := &upstreamServer{name: name, domain: declared.FailureDomain, address: declared.Address, machine: machine}
	w.upstreamServers = append(w.upstreamServers, server)
	w.serverByAddress[declared.Address] = server
	return nil
}

func (w *World) historyRecorder() history.Recorder {
	if w.options.DiscardHistory {
		return history.Discard{}
	}
	return w.recorder
}

// maxConnections is the connection limit of each upstream. It lets 18 upstreams
// hold 100,000 flows at once.
const maxConnections = 20_000

func (w *World) startLoad() {
	w.loadStart = w.virtualNow
	for _, instance := range w.instances {
		instance.controlTraffic = controlBytes{}
	}
	w.controlTotals = controlCount{}
	w.runEvery(time.Second, w.sampleControlBytes)
	load := w.options.Load
	load.Address = "127.0.0.1:4000"
	load.Recorder = w.historyRecorder()
	machine, err := caller.New(load, rand.New(rand.NewPCG(w.options.Seed, 2)), w.virtualNow)
	if err != nil {
		panic(fmt.Sprintf("invalid caller load in the scenario: %v", err))
	}
	w.callers = machine
	w.runEvery(callerTickInterval, func() { w.routeFromCallers(w.callers.Tick(w.virtualNow)) })
}

// Run simulates until 6 s after the end of the load.
func (w *World) Run() {
	w.runUntil(virtualStart.Add(w.options.SettleTime + w.options.Load.Duration + 6*time.Second))
}

// runUntil runs the scheduled events up to and including a time.
func (w *World) runUntil(end time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.virtualNow = e.at
		e.run()
	}
}

// routeFromCallers sends the packets of callers to random instances; the
// configured share of them is sent twice.
func (w *World) routeFromCallers(packets []*pb.Packet) {
	for _, p := range packets {
		copies := 1
		if w.options.Duplicate > 0 && w.rng.Float64() < w.options.Duplicate {
			copies = 2
		}
		for range copies {
			w.sendToRandomInstance(p)
		}
	}
}

func (w *World) sendToRandomInstance(p *pb.Packet) {
	if w.options.Drop > 0 && w.rng.Float64() < w.options.Drop {
		return
	}
	receivers := len(w.instances)
	if w.options.CoreCount > 0 {
		receivers = w.options.CoreCount
	}
	i := w.instances[w.rng.IntN(receivers)]
	delay := callerNetworkDelay
	if w.options.Reorder > 0 && w.rng.Float64() < w.options.Reorder {
		delay += time.Duration(w.rng.Int64N(int64(max(20*time.Millisecond, w.options.LinkFaults.MaxReorderDelay))))
	}
	copied := proto.Clone(p).(*pb.Packet)
	w.runAfter(delay, func() { i.handleCallerPacket(copied) })
}

func (w *World) sendToCaller(p *pb.Packet) {
	if w.callers == nil {
		return
	}
	copied := proto.Clone(p).(*pb.Packet)
	w.runAfter(callerNetworkDelay, func() { w.routeFromCallers(w.callers.HandlePacket(w.virtualNow, copied)) })
}

// sendToUpstream sends a packet from an instance to the upstream at an address.
// The packet is lost if the address has no upstream or the direction is cut.
func (w *World) sendToUpstream(from *instance, address netip.AddrPort, p *pb.Packet) {
	server := w.serverByAddress[address]
	if server == nil || w.cuts[[2]string{from.domain, server.domain}] {
		return
	}
	if from.holdsSends {
		from.heldSends = append(from.heldSends, func() { w.sendToUpstream(from, address, p) })
		return
	}
	copied := proto.Clone(p).(*pb.Packet)
	w.sendOverLinkOnce(func() {
		if !server.down {
			w.sendReplies(server, server.machine.HandlePacket(w.virtualNow, proto.Clone(copied).(*pb.Packet)))
			w.scheduleUpstreamTick(server)
		}
	})
}

func (w *World) sendReplies(server *upstreamServer, replies []upstream.Reply) {
	for _, r := range replies {
		instance := w.instanceByReplyAddress[r.To]
		if instance == nil || w.cuts[[2]string{server.domain, instance.domain}] {
			continue
		}
		w.sendOverLink(func() { instance.handleUpstreamPacket(proto.Clone(r.Packet).(*pb.Packet), server.address) })
	}
}

// scheduleUpstreamTick schedules the next tick that an upstream needs, unless
// one is scheduled that is no later.
func (w *World) scheduleUpstreamTick(server *upstreamServer) {
	next, ok := server.machine.Next()
	if !ok || (!server.nextTick.IsZero() && !next.Before(server.nextTick)) {
		return
	}
	server.nextTick = next
	w.runAfter(max(0, next.Sub(w.virtualNow)), func() {
		if server.nextTick.Equal(next) {
			server.nextTick = time.Time{}
		}
		if !server.down {
			w.sendReplies(server, server.machine.Tick(w.virtualNow))
			w.scheduleUpstreamTick(server)
		}
	})
}
