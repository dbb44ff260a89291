package measure

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/request"
	"github.com/chivemast/chivemast/internal/route"
	"github.com/chivemast/chivemast/internal/standin/platform"
	"github.com/chivemast/chivemast/internal/telemetry"
)

// decisionCore decides what an instance does with each input: the product's
// node or a baseline policy.
type decisionCore interface {
	HandlePacket(now time.Time, p *pb.Packet) []action.Action
	HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action
	HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action
	HandlePlatform(now time.Time, event action.PlatformEvent) []action.Action
	HandleProbe(now time.Time, result action.ProbeResult) []action.Action
	Tick(now time.Time) []action.Action
	Shutdown(now time.Time) []action.Action
	Snapshot(clock func() time.Time) *route.Snapshot
	NextDue() time.Time
	Ready() bool
}

// instance is one simulated instance.
type instance struct {
	world *World
	// index is the position in World.instances; 0 is instance-1.
	index  int
	name   string
	domain string
	// peerAddress receives messages of peers, and replyTo the packets of
	// upstreams.
	peerAddress netip.AddrPort
	replyTo     string

	core     decisionCore
	snapshot *route.Snapshot
	// generation increases with every start, so that events that were
	// scheduled before a restart are ignored.
	generation   int
	running      bool
	shuttingDown bool
	// deferredEvents are the events that arrive while the instance is paused,
	// in the order of arrival. They run when it resumes; a restart drops them.
	deferredEvents []func()
	paused         bool
	// holdsSends is set while the instance still makes decisions but its
	// messages to peers and upstreams wait in heldSends.
	holdsSends bool
	heldSends  []func()
	// watch is the open watch of the platform's objects; nil if there is none.
	watch *platform.Watch
	// scheduledTick is the deadline of the core for which an extra tick is
	// scheduled; zero if none is.
	scheduledTick time.Time
	// controlTraffic is counted from the start of the load on.
	controlTraffic controlBytes
	// lastRevision is the revision in force after the last event; 0 after a
	// start.
	lastRevision uint64
	// meter measures the costs of the instance; nil if they are not measured.
	meter *meter
}

// controlBytes counts the bytes of an instance's control messages.
type controlBytes struct {
	sent, received uint64
	byKind         map[telemetry.MessageKind]uint64
}

// controlCount holds the totals of all instances since the load started.
type controlCount struct{ platformCalls uint64 }

func (w *World) addInstance(index int) error {
	domain := w.domainName(index % w.options.Domains)
	i := &instance{
		world: w, index: index, name: fmt.Sprintf("instance-%d", index+1), domain: domain,
		peerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(index >> 8), byte(index)}), 7201),
		replyTo:     fmt.Sprintf("127.1.%d.%d:7203", index>>8, index&0xff),
	}
	if w.options.MeterCosts {
		i.meter = &meter{}
	}
	w.instances = append(w.instances, i)
	w.instanceByPeerAddress[i.peerAddress], w.instanceByReplyAddress[i.replyTo] = i, i
	return i.start()
}

func (w *World) domainName(index int) string { return fmt.Sprintf("domain-%c", 'a'+index) }

// start starts the instance without state, as a new generation.
func (i *instance) start() error {
	w := i.world
	i.generation++
	i.running, i.shuttingDown, i.paused, i.deferredEvents, i.watch = true, false, false, nil, nil
	i.holdsSends, i.heldSends, i.scheduledTick = false, nil, time.Time{}
	i.lastRevision = 0
	core, err := i.newCore()
	if err != nil {
		return err
	}
	i.core = core
	i.snapshot = nil
	generation := i.generation
	// A random offset keeps the instances from ticking at the same times.
	offset := time.Duration(w.rng.Int64N(int64(node.TickInterval)))
	switch {
	case i.generation > 1 || w.options.StartSpread == 0:
	case w.options.CoreCount > 0 && i.index < w.options.CoreCount:
		offset = w.options.StartSpread
	default:
		offset = time.Duration(w.rng.Int64N(int64(w.options.StartSpread)))
	}
	w.runAfter(offset, func() { i.runTick(generation) })
	return nil
}

func (i *instance) newCore() (decisionCore, error) {
	w := i.world
	rng := rand.New(rand.NewPCG(w.options.Seed, uint64(i.index)+uint64(i.generation)*1000))
	if w.options.Policy == PolicyStaticShare {
		base, err := newBaseline(PolicyRendezvous, i.replyTo)
		return &staticShare{baseline: base, world: w, upstreams: map[netip.AddrPort]*upstreamShare{}}, err
	}
	if !usesProductNode(w.options.Policy) {
		return newBaseline(w.options.Policy, i.replyTo)
	}
	cfg := node.Config{
		Self: membership.Member{
			Name: i.name, FailureDomain: i.domain, Address: i.peerAddress,
			Incarnation: uint64(w.virtualNow.UnixNano()) + uint64(i.generation),
		},
		ReplyTo: i.replyTo, Observer: discardObserver{}, Request: request.Config{},
	}
	for index := range w.options.Instances {
		if index == i.index {
			continue
		}
		name := fmt.Sprintf("instance-%d", index+1)
		cfg.Membership.Peers = append(cfg.Membership.Peers, membership.Member{
			Name: name, FailureDomain: w.domainName(index % w.options.Domains),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(index >> 8), byte(index)}), 7201),
		})
		cfg.Sync.Peers = append(cfg.Sync.Peers, name)
	}
	configurePolicy(w.options.Policy, &cfg)
	if w.options.ConfigureNode != nil {
		w.options.ConfigureNode(&cfg)
	}
	if w.options.CoreCount > 0 && i.index >= w.options.CoreCount {
		return newMembershipOnlyCore(w, cfg, rng), nil
	}
	if w.options.WriterStagger > 0 {
		cfg.WriterStagger, cfg.Lease.WriterStagger = w.options.WriterStagger, w.options.WriterStagger
	}
	if w.options.Policy == PolicyNoFence {
		return &noFenceNode{Node: node.New(cfg, rng)}, nil
	}
	if i.meter != nil {
		cfg.OnWorkCategory = i.meter.switchCategory
		return meteredCore{Node: node.New(cfg, rng), meter: i.meter}, nil
	}
	return node.New(cfg, rng), nil
}

// discardObserver ignores the events that a node reports.
type discardObserver struct{}

func (discardObserver) InvalidObject(error)      {}
func (discardObserver) Dropped(string)           {}
func (discardObserver) Refused(pb.RefusalReason) {}

// runOrDefer runs an event now, or when the instance resumes if it is paused.
// It drops the event if the instance is stopped, if the event belongs to an
// earlier generation, or if too many events are deferred.
func (i *instance) runOrDefer(generation int, run func()) {
	switch {
	case !i.running || generation != i.generation:
	case i.paused:
		if len(i.deferredEvents) < maxDeferredEvents {
			i.deferredEvents = append(i.deferredEvents, run)
		}
	default:
		run()
	}
}

// maxDeferredEvents is the number of events that the socket buffers of a paused
// process hold; later ones are lost.
const maxDeferredEvents = 4096

func (i *instance) runTick(generation int) {
	if generation != i.generation || !i.running {
		return
	}
	i.world.runAfter(node.TickInterval, func() { i.runTick(generation) })
	if i.paused {
		return
	}
	i.executeActions(i.core.Tick(i.clockTime()))
	i.snapshot = i.core.Snapshot(i.clockTime)
}

// scheduleTick schedules a tick at the next deadline of the core, unless one is
// scheduled that is no later.
func (i *instance) scheduleTick() {
	due := i.core.NextDue()
	if due.IsZero() || !i.scheduledTick.IsZero() && !due.Before(i.scheduledTick) && i.scheduledTick.After(i.clockTime()) {
		return
	}
	i.scheduledTick = due
	generation := i.generation
	i.world.runAfter(max(0, due.Sub(i.clockTime())), func() {
		i.runOrDefer(generation, func() {
			if i.scheduledTick.Equal(due) {
				i.scheduledTick = time.Time{}
				i.executeActions(i.core.Tick(i.clockTime()))
			}
		})
	})
}

func (i *instance) handleCallerPacket(p *pb.Packet) {
	i.runOrDefer(i.generation, func() {
		if i.snapshot != nil {
			if upstream, ok := i.snapshot.Route(p); ok {
				p.ReplyTo = i.replyTo
				i.world.sendToUpstream(i, upstream, p)
				return
			}
		}
		i.executeActions(i.core.HandlePacket(i.clockTime(), p))
	})
}

func (i *instance) handleUpstreamPacket(p *pb.Packet, source netip.AddrPort) {
	i.runOrDefer(i.generation, func() { i.executeActions(i.core.HandleUpstream(i.clockTime(), p, source)) })
}

func (i *instance) handlePeerMessage(m *pb.PeerMessage, size int) {
	i.runOrDefer(i.generation, func() {
		i.countControlMessage(m, size, false)
		i.executeActions(i.core.HandlePeer(i.clockTime(), m))
	})
}

// countControlMessage adds the size of a control message, in bytes, to the
// traffic of the instance. Redirected packets are callers' traffic and are not
// counted.
func (i *instance) countControlMessage(m *pb.PeerMessage, size int, sent bool) {
	kind := telemetry.KindOf(m)
	if kind == telemetry.MessageRedirect {
		return
	}
	if i.controlTraffic.byKind == nil {
		i.controlTraffic.byKind = map[telemetry.MessageKind]uint64{}
	}
	i.controlTraffic.byKind[kind] += uint64(size)
	if sent {
		i.controlTraffic.sent += uint64(size)
	} else {
		i.controlTraffic.received += uint64(size)
	}
}

// executeActions carries out the actions that the core returned.
func (i *instance) executeActions(actions []action.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendUpstream:
			i.world.sendToUpstream(i, a.Address, a.Packet)
		case action.SendCaller:
			i.world.sendToCaller(a.Packet)
		case action.SendPeer:
			i.sendPeer(a)
		case action.Probe:
			i.probeUpstream(a)
		default:
			i.callPlatform(a)
		}
	}
	i.recordRevision()
	i.scheduleTick()
}

func (i *instance) sendPeer(a action.SendPeer) {
	w := i.world
	to := w.instanceByPeerAddress[a.Address]
	size := proto.Size(a.Message)
	if !i.holdsSends {
		i.countControlMessage(a.Message, size, true)
	}
	if to == nil || w.cuts[[2]string{i.domain, to.domain}] {
		return
	}
	if i.holdsSends {
		i.heldSends = append(i.heldSends, func() { i.sendPeer(a) })
		return
	}
	m := proto.Clone(a.Message).(*pb.PeerMessage)
	w.sendOverLink(func() { to.handlePeerMessage(proto.Clone(m).(*pb.PeerMessage), size) })
}

func (i *instance) probeUpstream(a action.Probe) {
	w := i.world
	generation := i.generation
	w.runAfter(2*domainNetworkDelay, func() {
		result := action.ProbeResult{Name: a.Name, Err: &probeTimeoutError{a.Name}}
		server := w.serverByAddress[a.Address]
		if server != nil && !server.down && !w.cuts[[2]string{i.domain, server.domain}] && !w.cuts[[2]string{server.domain, i.domain}] {
			if health, ok := server.machine.Health(w.virtualNow); ok {
				result = action.ProbeResult{
					Name: a.Name, BootID: health.BootID, State: health.Proto(), Load: uint32(health.Load), Connections: uint32(health.Connections),
				}
			}
		}
		i.runOrDefer(generation, func() { i.executeActions(i.core.HandleProbe(i.clockTime(), result)) })
	})
}

// probeTimeoutError reports that an upstream did not answer a probe.
type probeTimeoutError struct{ name string }

func (e *probeTimeoutError) Error() string { return "health probe not answered by upstream " + e.name }
