// Package node composes the decision packages into the decision core of one
// instance. It performs no I/O and runs on one goroutine: events and the time
// come in, actions go out.
package node

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/admission"
	"github.com/chivemast/chivemast/internal/configsync"
	"github.com/chivemast/chivemast/internal/domain"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/request"
	"github.com/chivemast/chivemast/internal/route"
)

// TickInterval is how often Tick is due.
const TickInterval = 100 * time.Millisecond

// Config sets up a node. Zero values of the parts take their defaults.
type Config struct {
	Self membership.Member
	// ReplyTo is where upstreams answer, as ip:port.
	ReplyTo string
	// WriterStagger is the wait per rank before a table is written.
	WriterStagger time.Duration
	// StepInterval is the time between two gradual changes of a table.
	StepInterval time.Duration

	Membership membership.Config
	Sync       configsync.Config
	Lease      lease.Config
	Placement  placement.Config
	Health     health.Config
	Credits    admission.CreditConfig
	Limits     admission.LimitConfig
	Request    request.Config
	Domain     domain.Config

	Observer Observer
	// Meter, when set, is told which duty the following work belongs to.
	Meter func(Duty)
}

// Defaults of Config.
const (
	DefaultWriterStagger = 300 * time.Millisecond
	// DefaultStepInterval and placement.DefaultMaxMoves bring a failure
	// domain with a quarter of the buckets back within 16 s.
	DefaultStepInterval = 2 * time.Second
)

// Node is the decision core of one instance. It is not safe for concurrent
// use, except for Snapshot values that it has returned.
type Node struct {
	cfg      Config
	self     membership.Member
	observer Observer

	members *membership.Membership
	sync    *configsync.Sync
	leases  *lease.Manager
	tracker *placement.Tracker
	domains *domain.Domains
	health  *health.Health
	credits *admission.Credits
	limits  *admission.Limits
	engine  *request.Engine

	now  time.Time
	view *membership.View
	// viewAt is when view was built.
	viewAt time.Time
	// dirty: the routing snapshot has to be rebuilt.
	dirty bool

	services map[string]*service
	// order holds the services by name.
	order        []*service
	targetBuffer []placement.Target
	byAddress    map[netip.AddrPort]*service
	// declaredAt maps declared addresses to the service that uses them.
	declaredAt     map[netip.AddrPort]string
	byUpstream     map[netip.AddrPort]*upstream
	knownUpstreams map[string]bool
	// wasWarm tells which upstreams health and admission last agreed to be
	// warm.
	wasWarm   map[string]bool
	forgotten map[string]bool
	slots     *pb.SlotTable
	// predecessors holds the previous holder of slots that this instance
	// took, where it saw the change.
	predecessors map[int]string
	// tenures holds the last tenure for each lease slot.
	tenures map[uint32]lease.Tenure

	// held maps the tracker's tickets to the packets that wait.
	held  map[uint64]heldPacket
	opens openQueue
	// behind holds redirected packets whose sender has a newer revision.
	behind     []behindPacket
	seen       attemptsSeen
	nextReport time.Time
	reports    []*pb.UpstreamHealth
	leaving    bool
	writes     uint64
	duty       Duty
	// routes are those of the last snapshot, shared with traffic goroutines.
	routes      map[netip.AddrPort]route.Service
	routeBuffer []route.Upstream
}

// New returns the node of one instance without any state.
func New(cfg Config, rng *rand.Rand) *Node {
	if cfg.WriterStagger == 0 {
		cfg.WriterStagger = DefaultWriterStagger
	}
	if cfg.StepInterval == 0 {
		cfg.StepInterval = DefaultStepInterval
	}
	n := &Node{
		cfg: cfg, self: cfg.Self, observer: cfg.Observer,
		members:    membership.New(cfg.Membership, cfg.Self, rng),
		sync:       configsync.New(cfg.Sync, cfg.Self.Name, rng),
		leases:     lease.New(cfg.Lease, cfg.Self, rng),
		health:     health.New(cfg.Health, cfg.Self, rng),
		credits:    admission.NewCredits(cfg.Credits, cfg.Self.Name, rng),
		limits:     admission.NewLimits(cfg.Limits),
		services:   map[string]*service{},
		byAddress:  map[netip.AddrPort]*service{},
		byUpstream: map[netip.AddrPort]*upstream{},
		held:       map[uint64]heldPacket{},
		tenures:    map[uint32]lease.Tenure{},

		predecessors: map[int]string{},
		wasWarm:      map[string]bool{},
		opens:        openQueue{entries: map[flow.Key]waitingOpen{}},
	}
	cfg.Domain.OwnDomain = cfg.Self.FailureDomain
	n.domains = domain.New(cfg.Domain, cfg.Self.Name)
	cfg.Placement.Status = n.upstreamStatus
	cfg.Placement.IdleTimeout = n.idleTimeout
	n.tracker = placement.NewTracker(cfg.Placement, cfg.Self.Name)
	cfg.Request.ReplyTo = cfg.ReplyTo
	cfg.Request.Limiter = n.limits
	n.engine = request.New(cfg.Request, cfg.Self.Name, rng)
	return n
}

// advance notes the time of an event and refreshes the view.
func (n *Node) advance(now time.Time) {
	before := n.turn(DutyMembership)
	n.now = now
	n.members.SetLocal(n.sync.Revision(), n.sync.ConfirmedAt(), n.Ready(), n.leaving)
	n.view = n.members.View(now)
	n.viewAt = now
	n.turn(before)
}

// advancePacket is advance for packets, probes and messages of peers; a view
// that is a little old serves them.
func (n *Node) advancePacket(now time.Time) {
	if n.view == nil || now.Sub(n.viewAt) >= viewAge {
		n.advance(now)
		return
	}
	n.now = now
}

// viewAge bounds the age of the view by which they are decided. Building it
// for each packet would cost more than the decision.
const viewAge = 20 * time.Millisecond

// Ready tells whether the instance may take traffic.
func (n *Node) Ready() bool { return n.sync.Ready() && !n.leaving }

// Tick does what is due. It is called every TickInterval.
func (n *Node) Tick(now time.Time) []action.Action { return n.stamp(n.tick(now)) }

func (n *Node) tick(now time.Time) []action.Action {
	n.advance(now)
	n.turn(DutyHealth)
	n.refreshReports(now)
	n.turn(DutyConfiguration)
	out := n.sync.Tick(now, n.view)
	n.turn(DutyMembership)
	out = append(out, n.withReports(n.members.Tick(now))...)
	n.turn(DutyLease)
	n.noteTenures(now)
	out = append(out, n.withRecords(now, n.leases.Tick(now, n.view, n.members))...)
	n.turn(DutyHealth)
	out = append(out, n.health.Tick(now, n.view)...)
	n.turn(DutyCredits)
	out = append(out, n.credits.Tick(now, slotsView{n})...)
	n.noteWarm(now)
	n.turn(DutyTracking)
	actions, releases := n.tracker.Tick(now, n.view)
	out = append(out, actions...)
	out = append(out, n.release(releases)...)
	n.turn(DutyCredits)
	out = append(out, n.retryWaiting(now)...)
	n.turn(DutyRequests)
	out = append(out, n.route(n.engine.Tick(now))...)
	n.turn(DutyTables)
	return append(out, n.writeTables(now)...)
}

// retryWaiting decides packets again that wait for configuration or credits.
func (n *Node) retryWaiting(now time.Time) []action.Action {
	return append(n.retryBehind(now), n.retryOpens()...)
}

// NextDue returns when Tick is due before the next TickInterval; zero when it
// is not.
func (n *Node) NextDue() time.Time {
	due := n.engine.NextDue()
	if t, ok := n.tracker.NextDeadline(); ok && (due.IsZero() || t.Before(due)) {
		due = t
	}
	return due
}

// HandlePlatform takes a result or message of the platform client.
func (n *Node) HandlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	return n.stamp(n.handlePlatform(now, event))
}

func (n *Node) handlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	n.turn(DutyPlatform)
	n.advance(now)
	var changed []*pb.Object
	var out []action.Action
	switch e := event.(type) {
	case action.ObjectsRead:
		if e.Watched {
			changed, out = n.sync.HandleWatch(now, e.Objects, e.Revision)
		} else {
			changed, out = n.sync.HandleRead(now, e.Objects, e.Revision)
		}
	case action.ReadFailed:
		n.sync.HandleReadFailed(now, e.Err)
	case action.WatchLost:
		out = n.sync.HandleWatchLost(now, e.Err)
	case action.InstancesRead:
		n.members.HandleInstanceList(now, e.Instances)
	case action.WriteResult:
		out = n.leases.HandleWriteResult(now, e)
		n.handleTableWritten(e)
	}
	n.adopt(changed)
	n.advance(now)
	return append(out, n.retryWaiting(now)...)
}

// HandlePeer takes a message of another instance.
func (n *Node) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	return n.stamp(n.handlePeer(now, m))
}

func (n *Node) handlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	n.turn(DutyOf(m))
	n.advancePacket(now)
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		return n.handleHeartbeat(now, m, body.Heartbeat)
	case *pb.PeerMessage_Redirect:
		return n.handleRedirect(now, body.Redirect)
	case *pb.PeerMessage_Birth:
		return n.tracker.HandleBirth(now, m.GetFrom(), body.Birth)
	case *pb.PeerMessage_BirthAck:
		return n.release(n.tracker.HandleBirthAck(now, m.GetFrom(), body.BirthAck))
	case *pb.PeerMessage_TrackerSyncRequest:
		return n.tracker.HandleSyncRequest(now, m.GetFrom(), m.GetIncarnation(), body.TrackerSyncRequest)
	case *pb.PeerMessage_TrackerSync:
		return n.release(n.tracker.HandleSync(now, m.GetFrom(), m.GetIncarnation(), body.TrackerSync))
	case *pb.PeerMessage_CreditRequest:
		member, ok := n.view.Member(m.GetFrom())
		if !ok {
			return nil
		}
		return n.credits.HandleRequest(now, m.GetFrom(), member.Address, body.CreditRequest, slotsView{n})
	case *pb.PeerMessage_CreditGrant:
		n.handleGrant(now, body.CreditGrant)
		return n.retryOpens()
	case *pb.PeerMessage_ObjectPush:
		changed, out := n.sync.HandlePush(now, m.GetFrom(), body.ObjectPush)
		n.adopt(changed)
		n.advance(now)
		return append(out, n.retryWaiting(now)...)
	case *pb.PeerMessage_ObjectPull:
		return n.sync.HandlePull(now, m.GetFrom(), body.ObjectPull)
	case *pb.PeerMessage_SlotHandover:
		n.engine.HandleHandover(now, m.GetFrom(), body.SlotHandover)
		n.leases.HandleHandover(m.GetFrom(), m.GetIncarnation(), body.SlotHandover.GetSlots())
	}
	return nil
}

// stamp completes peer messages: the sender and, where a package knows only
// names, the address. Messages to members without an address are dropped.
func (n *Node) stamp(actions []action.Action) []action.Action {
	out := actions[:0]
	for _, a := range actions {
		send, ok := a.(action.SendPeer)
		if !ok {
			out = append(out, a)
			continue
		}
		if !send.Address.IsValid() {
			member, known := n.view.Member(send.Instance)
			if !known {
				continue
			}
			send.Address = member.Address
		}
		send.Message.From, send.Message.Incarnation = n.self.Name, n.self.Incarnation
		out = append(out, send)
	}
	return out
}

func (n *Node) handleHeartbeat(now time.Time, m *pb.PeerMessage, hb *pb.Heartbeat) []action.Action {
	out := n.members.HandleHeartbeat(now, m.GetFrom(), m.GetIncarnation(), hb)
	n.turn(DutyHealth)
	for _, report := range hb.GetUpstreams() {
		n.observeBoot(now, report.GetUpstream(), report.GetBootId())
	}
	n.health.HandleReport(now, hb.GetFailureDomain(), hb.GetUpstreams())
	return out
}

func (n *Node) upstreamStatus(serviceName, name string) placement.UpstreamStatus {
	s := n.services[serviceName]
	if s == nil {
		return placement.StatusLeaving
	}
	u := s.upstreams[name]
	switch {
	case u == nil:
		return placement.StatusLeaving
	case n.domains.Out(u.domain):
		return placement.StatusTakenOut
	case !u.declared || u.draining || n.health.State(u.name) == health.Dead:
		return placement.StatusLeaving
	}
	return placement.StatusServing
}

func (n *Node) idleTimeout(serviceName string) time.Duration {
	if s := n.services[serviceName]; s != nil {
		return s.declared.IdleTimeout()
	}
	return n.cfg.maxIdleTimeout()
}

// maxIdleTimeout is used for a service that is not declared any more.
func (Config) maxIdleTimeout() time.Duration { return 300 * time.Second }

func compare(a, b uint64) int { return cmp.Compare(a, b) }

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
