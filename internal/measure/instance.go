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

// core is a decision core: the product's or a baseline's.
type core interface {
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

// instance is one instance of the run.
type instance struct {
	world   *World
	index   int
	name    string
	domain  string
	peer    netip.AddrPort
	replyTo string

	core   core
	router *route.Snapshot
	// life grows with every start and stop, so that events of an earlier
	// life are ignored.
	life    int
	running bool
	leaving bool
	// frozen holds the events that wait while the instance is paused; nil
	// when it runs.
	frozen []func()
	paused bool
	// stalled: the process still decides, but what it sends waits in outbox
	// until it resumes.
	stalled bool
	outbox  []func()
	watch   *platform.Watch
	due     time.Time
	counted controlBytes
	// revision is the last one in force.
	revision uint64
	// meter is nil when costs are not measured.
	meter *meter
}

// controlBytes counts the control messages of an instance.
type controlBytes struct {
	sent, received uint64
	byKind         map[telemetry.MessageKind]uint64
}

// controlCount holds the totals of a run.
type controlCount struct{ platformCalls uint64 }

func (w *World) addInstance(index int) error {
	domain := w.domainName(index % w.opt.Domains)
	i := &instance{
		world: w, index: index, name: fmt.Sprintf("instance-%d", index+1), domain: domain,
		peer:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(index >> 8), byte(index)}), 7201),
		replyTo: fmt.Sprintf("127.1.%d.%d:7203", index>>8, index&0xff),
	}
	if w.opt.Measured {
		i.meter = &meter{}
	}
	w.instances = append(w.instances, i)
	w.byPeer[i.peer], w.byReply[i.replyTo] = i, i
	return i.start()
}

func (w *World) domainName(index int) string { return fmt.Sprintf("domain-%c", 'a'+index) }

// start starts a life without state.
func (i *instance) start() error {
	w := i.world
	i.life++
	i.running, i.leaving, i.paused, i.frozen, i.watch = true, false, false, nil, nil
	i.stalled, i.outbox, i.due = false, nil, time.Time{}
	i.revision = 0
	core, err := i.newCore()
	if err != nil {
		return err
	}
	i.core = core
	i.router = nil
	life := i.life
	// Instances do not tick in step.
	offset := time.Duration(w.rng.Int64N(int64(node.TickInterval)))
	switch {
	case i.life > 1 || w.opt.StartSpread == 0:
	case w.opt.Cores > 0 && i.index < w.opt.Cores:
		offset = w.opt.StartSpread
	default:
		offset = time.Duration(w.rng.Int64N(int64(w.opt.StartSpread)))
	}
	w.after(offset, func() { i.tick(life) })
	return nil
}

func (i *instance) newCore() (core, error) {
	w := i.world
	rng := rand.New(rand.NewPCG(w.opt.Seed, uint64(i.index)+uint64(i.life)*1000))
	if w.opt.Policy == PolicyStaticShare {
		b, err := newBaseline(PolicyRendezvous, i.replyTo)
		return &staticShare{baseline: b, world: w, upstreams: map[netip.AddrPort]*share{}}, err
	}
	if !usesNode(w.opt.Policy) {
		return newBaseline(w.opt.Policy, i.replyTo)
	}
	cfg := node.Config{
		Self: membership.Member{
			Name: i.name, FailureDomain: i.domain, Address: i.peer,
			Incarnation: uint64(w.now.UnixNano()) + uint64(i.life),
		},
		ReplyTo: i.replyTo, Observer: discard{}, Request: request.Config{},
	}
	for index := range w.opt.Instances {
		if index == i.index {
			continue
		}
		name := fmt.Sprintf("instance-%d", index+1)
		cfg.Membership.Peers = append(cfg.Membership.Peers, membership.Member{
			Name: name, FailureDomain: w.domainName(index % w.opt.Domains),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(index >> 8), byte(index)}), 7201),
		})
		cfg.Sync.Peers = append(cfg.Sync.Peers, name)
	}
	configurePolicy(w.opt.Policy, &cfg)
	if w.opt.Configure != nil {
		w.opt.Configure(&cfg)
	}
	if w.opt.Cores > 0 && i.index >= w.opt.Cores {
		return newMemberCore(w, cfg, rng), nil
	}
	if w.opt.WriterStagger > 0 {
		cfg.WriterStagger, cfg.Lease.WriterStagger = w.opt.WriterStagger, w.opt.WriterStagger
	}
	if w.opt.Policy == PolicyNoFence {
		return &unfenced{Node: node.New(cfg, rng)}, nil
	}
	if i.meter != nil {
		cfg.OnWorkCategory = i.meter.turn
		return meteredCore{Node: node.New(cfg, rng), meter: i.meter}, nil
	}
	return node.New(cfg, rng), nil
}

// discard drops what nodes report.
type discard struct{}

func (discard) InvalidObject(error)      {}
func (discard) Dropped(string)           {}
func (discard) Refused(pb.RefusalReason) {}

// do runs an event of this life, now or when the instance resumes.
func (i *instance) do(life int, run func()) {
	switch {
	case !i.running || life != i.life:
	case i.paused:
		if len(i.frozen) < maxFrozen {
			i.frozen = append(i.frozen, run)
		}
	default:
		run()
	}
}

// maxFrozen is what the socket buffers of a paused process hold.
const maxFrozen = 4096

func (i *instance) tick(life int) {
	if life != i.life || !i.running {
		return
	}
	i.world.after(node.TickInterval, func() { i.tick(life) })
	if i.paused {
		return
	}
	i.execute(i.core.Tick(i.now()))
	i.router = i.core.Snapshot(i.now)
}

// arm schedules a tick at an earlier deadline of the core.
func (i *instance) arm() {
	due := i.core.NextDue()
	if due.IsZero() || !i.due.IsZero() && !due.Before(i.due) && i.due.After(i.now()) {
		return
	}
	i.due = due
	life := i.life
	i.world.after(max(0, due.Sub(i.now())), func() {
		i.do(life, func() {
			if i.due.Equal(due) {
				i.due = time.Time{}
				i.execute(i.core.Tick(i.now()))
			}
		})
	})
}

func (i *instance) fromCaller(p *pb.Packet) {
	i.do(i.life, func() {
		if i.router != nil {
			if upstream, ok := i.router.Route(p); ok {
				p.ReplyTo = i.replyTo
				i.world.toUpstream(i, upstream, p)
				return
			}
		}
		i.execute(i.core.HandlePacket(i.now(), p))
	})
}

func (i *instance) fromUpstream(p *pb.Packet, source netip.AddrPort) {
	i.do(i.life, func() { i.execute(i.core.HandleUpstream(i.now(), p, source)) })
}

func (i *instance) fromPeer(m *pb.PeerMessage, size int) {
	i.do(i.life, func() {
		i.count(m, size, false)
		i.execute(i.core.HandlePeer(i.now(), m))
	})
}

// count counts control messages; redirected packets are callers' traffic.
func (i *instance) count(m *pb.PeerMessage, size int, sent bool) {
	kind := telemetry.KindOf(m)
	if kind == telemetry.MessageRedirect {
		return
	}
	if i.counted.byKind == nil {
		i.counted.byKind = map[telemetry.MessageKind]uint64{}
	}
	i.counted.byKind[kind] += uint64(size)
	if sent {
		i.counted.sent += uint64(size)
	} else {
		i.counted.received += uint64(size)
	}
}

// execute carries out the actions of the core.
func (i *instance) execute(actions []action.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendUpstream:
			i.world.toUpstream(i, a.Address, a.Packet)
		case action.SendCaller:
			i.world.toCaller(a.Packet)
		case action.SendPeer:
			i.sendPeer(a)
		case action.Probe:
			i.probe(a)
		default:
			i.callPlatform(a)
		}
	}
	i.noteRevision()
	i.arm()
}

func (i *instance) sendPeer(a action.SendPeer) {
	w := i.world
	to := w.byPeer[a.Address]
	size := proto.Size(a.Message)
	if !i.stalled {
		i.count(a.Message, size, true)
	}
	if to == nil || w.cut[[2]string{i.domain, to.domain}] {
		return
	}
	if i.stalled {
		i.outbox = append(i.outbox, func() { i.sendPeer(a) })
		return
	}
	m := proto.Clone(a.Message).(*pb.PeerMessage)
	w.link(func() { to.fromPeer(proto.Clone(m).(*pb.PeerMessage), size) })
}

func (i *instance) probe(a action.Probe) {
	w := i.world
	life := i.life
	w.after(2*peerDelay, func() {
		result := action.ProbeResult{Name: a.Name, Err: &unreachableError{a.Name}}
		s := w.upstreams[a.Address]
		if s != nil && !s.down && !w.cut[[2]string{i.domain, s.domain}] && !w.cut[[2]string{s.domain, i.domain}] {
			if h, ok := s.machine.Health(w.now); ok {
				result = action.ProbeResult{
					Name: a.Name, BootID: h.BootID, State: h.Proto(), Load: uint32(h.Load), Connections: uint32(h.Connections),
				}
			}
		}
		i.do(life, func() { i.execute(i.core.HandleProbe(i.now(), result)) })
	})
}

// unreachableError says that a probe was not answered.
type unreachableError struct{ name string }

func (e *unreachableError) Error() string { return "no answer from " + e.name }
