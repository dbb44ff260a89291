// Package node combines the decision packages into the decision core of one instance.
// The core performs no I/O and runs on one goroutine: it is called with events and the
// current time, and returns actions to carry out.
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

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

// Config configures a node. Zero values in the configurations of the parts select their
// defaults.
type Config struct {
	Self membership.Member
	// ReplyTo is the address to which upstreams send their answers, as ip:port.
	ReplyTo string
	// WriterStagger is the delay before a table is written, per rank of this instance
	// among the live members for that table. Zero selects DefaultWriterStagger.
	WriterStagger time.Duration
	// StepInterval is the interval between two steps of a gradual table change. Zero
	// selects DefaultStepInterval.
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
	// OnWorkCategory, if set, is called with the category of the work that follows.
	OnWorkCategory func(WorkCategory)
}

// Defaults of Config.
const (
	DefaultWriterStagger = 300 * time.Millisecond
	// DefaultStepInterval together with placement.DefaultMaxMoves brings a failure
	// domain with a quarter of the buckets back within 16 s.
	DefaultStepInterval = 2 * time.Second
)

// Node is the decision core of one instance. It is not safe for concurrent use;
// snapshots that it has returned may be read concurrently.
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

	// now is the time of the event that is being processed.
	now  time.Time
	view *membership.View
	// viewBuiltAt is when view was built.
	viewBuiltAt time.Time
	// snapshotOutdated is set when an event may change the routing snapshot. It is
	// never cleared or read, because Snapshot compares the routes itself.
	snapshotOutdated bool

	// services maps <team>/<service> to the declared service.
	services map[string]*service
	// servicesByName holds the services sorted by name.
	servicesByName []*service
	// targetBuffer is the reused result of targets.
	targetBuffer []placement.Target
	// serviceByAddress maps service addresses to the services without an address
	// conflict, and to those kept by keepTeamServices.
	serviceByAddress map[netip.AddrPort]*service
	// serviceByDeclaredAddress maps each declared address, of a service or of an
	// upstream, to the name of the service that uses it.
	serviceByDeclaredAddress map[netip.AddrPort]string
	upstreamByAddress        map[netip.AddrPort]*upstream
	// knownUpstreams holds the names of the upstreams at the last
	// rebuildUpstreamIndex.
	knownUpstreams map[string]bool
	// agreedWarm holds, by upstream name, whether health and admission last agreed
	// that the upstream is warm.
	agreedWarm map[string]bool
	// removedInstances holds the names of the instances that operators have declared
	// permanently removed, as stored under forgottenPrefix.
	removedInstances map[string]bool
	// slotTable is the current table of lease slots, nil if there is none.
	slotTable *pb.SlotTable
	// previousHolders maps a slot number to the instance that held the slot before
	// this one. Slots whose change this instance did not see have no entry.
	previousHolders map[int]string
	// lastTerms maps a slot number to the last lease term of this instance for it.
	lastTerms map[uint32]lease.Term

	// heldPackets maps a ticket of the tracker to the packet that waits for the
	// tracker's decision. The entry is removed when the tracker releases the ticket.
	heldPackets  map[uint64]heldPacket
	pendingOpens pendingOpenQueue
	// awaitingRevision holds redirected packets until their revision is applied here
	// or revisionWaitLimit has passed.
	awaitingRevision   []redirectAwaitingRevision
	redirectedAttempts attemptDeduplicator
	// nextReportAt is when healthReports is due for renewal.
	nextReportAt  time.Time
	healthReports []*pb.UpstreamHealth
	// leaving is true once a graceful shutdown has started.
	leaving bool
	// writeCount is the number of table writes, used for unique change ids.
	writeCount          uint64
	currentWorkCategory WorkCategory
	// routes are the routes of the last snapshot, shared with the traffic goroutines.
	// They are replaced as a whole, never changed in place.
	routes map[netip.AddrPort]route.Service
	// routeBuffer is reused by routeUpstreams.
	routeBuffer []route.Upstream
}

// New returns a node that has not read any configuration yet.
func New(cfg Config, rng *rand.Rand) *Node {
	if cfg.WriterStagger == 0 {
		cfg.WriterStagger = DefaultWriterStagger
	}
	if cfg.StepInterval == 0 {
		cfg.StepInterval = DefaultStepInterval
	}
	node := &Node{
		cfg: cfg, self: cfg.Self, observer: cfg.Observer,
		members:           membership.New(cfg.Membership, cfg.Self, rng),
		sync:              configsync.New(cfg.Sync, cfg.Self.Name, rng),
		leases:            lease.New(cfg.Lease, cfg.Self, rng),
		health:            health.New(cfg.Health, cfg.Self, rng),
		credits:           admission.NewCredits(cfg.Credits, cfg.Self.Name, rng),
		limits:            admission.NewLimits(cfg.Limits),
		services:          map[string]*service{},
		serviceByAddress:  map[netip.AddrPort]*service{},
		upstreamByAddress: map[netip.AddrPort]*upstream{},
		heldPackets:       map[uint64]heldPacket{},
		lastTerms:         map[uint32]lease.Term{},

		previousHolders: map[int]string{},
		agreedWarm:      map[string]bool{},
		pendingOpens:    pendingOpenQueue{entries: map[flow.Key]pendingOpen{}},
	}
	cfg.Domain.OwnDomain = cfg.Self.FailureDomain
	node.domains = domain.New(cfg.Domain, cfg.Self.Name)
	cfg.Placement.Status = node.upstreamStatus
	cfg.Placement.IdleTimeout = node.idleTimeout
	node.tracker = placement.NewTracker(cfg.Placement, cfg.Self.Name)
	cfg.Request.ReplyTo = cfg.ReplyTo
	cfg.Request.Limiter = node.limits
	node.engine = request.New(cfg.Request, cfg.Self.Name, rng)
	return node
}

// advanceTime sets the current time and rebuilds the membership view.
func (node *Node) advanceTime(now time.Time) {
	before := node.attributeWork(WorkMembership)
	node.now = now
	node.members.SetLocal(node.sync.Revision(), node.sync.ConfirmedAt(), node.Ready(), node.leaving)
	node.view = node.members.View(now)
	node.viewBuiltAt = now
	node.attributeWork(before)
}

// advanceTimeReusingView sets the current time and rebuilds the membership view only if
// it is at least maxViewAge old. It serves packets, probes and peer messages.
func (node *Node) advanceTimeReusingView(now time.Time) {
	if node.view == nil || now.Sub(node.viewBuiltAt) >= maxViewAge {
		node.advanceTime(now)
		return
	}
	node.now = now
}

// maxViewAge bounds the age of the membership view for packets, probes and peer
// messages. Rebuilding the view for each packet would cost more than the decision
// itself.
const maxViewAge = 20 * time.Millisecond

// Ready reports whether the instance may take traffic: its configuration is
// synchronized and it is not shutting down.
func (node *Node) Ready() bool { return node.sync.Ready() && !node.leaving }

// Tick performs all work that is due at now and returns the resulting actions. It must
// be called every TickInterval, and earlier when NextDue says so.
func (node *Node) Tick(now time.Time) []action.Action {
	return node.completePeerMessages(node.tick(now))
}

func (node *Node) tick(now time.Time) []action.Action {
	node.now = now
	if settled := node.sync.Settle(); len(settled) > 0 {
		node.applyObjects(settled)
	}
	node.advanceTime(now)
	node.attributeWork(WorkHealth)
	node.refreshHealthReports(now)
	node.attributeWork(WorkConfiguration)
	out := node.sync.Tick(now, node.view)
	node.attributeWork(WorkMembership)
	out = append(out, node.attachHealthReports(node.members.Tick(now))...)
	node.attributeWork(WorkLease)
	node.recordLeaseTerms(now)
	out = append(out, node.attachRequestRecords(now, node.leases.Tick(now, node.view, node.members))...)
	node.attributeWork(WorkHealth)
	out = append(out, node.health.Tick(now, node.view)...)
	node.attributeWork(WorkCredits)
	out = append(out, node.credits.Tick(now, leaseSlotsAdapter{node})...)
	node.reconcileWarmStates(now)
	node.attributeWork(WorkTracking)
	actions, releases := node.tracker.Tick(now, node.view)
	out = append(out, actions...)
	out = append(out, node.releaseHeldPackets(releases)...)
	node.attributeWork(WorkCredits)
	out = append(out, node.retryQueuedPackets(now)...)
	node.attributeWork(WorkRequests)
	out = append(out, node.resolveForwards(node.engine.Tick(now))...)
	node.attributeWork(WorkTables)
	return append(out, node.writeDueTables(now)...)
}

// retryQueuedPackets decides again the packets that wait for a configuration revision
// or for an upstream.
func (node *Node) retryQueuedPackets(now time.Time) []action.Action {
	return append(node.retryAwaitingRevision(now), node.retryPendingOpens()...)
}

// NextDue returns the next deadline of the request engine or the flow tracker, at which
// Tick must be called even if TickInterval has not passed. It returns the zero time
// when there is none.
func (node *Node) NextDue() time.Time {
	due := node.engine.NextDue()
	if t, ok := node.tracker.NextDeadline(); ok && (due.IsZero() || t.Before(due)) {
		due = t
	}
	return due
}

// HandlePlatform processes a result or a watch message of the platform client.
func (node *Node) HandlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	return node.completePeerMessages(node.handlePlatform(now, event))
}

func (node *Node) handlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	node.attributeWork(WorkPlatform)
	node.advanceTime(now)
	var changed []*pb.Object
	var out []action.Action
	switch e := event.(type) {
	case action.ObjectsRead:
		if e.Watched {
			changed, out = node.sync.HandleWatch(now, e.Objects, e.Revision)
		} else {
			changed, out = node.sync.HandleRead(now, e.Objects, e.Revision)
		}
	case action.ReadFailed:
		node.sync.HandleReadFailed(now, e.Err)
	case action.WatchLost:
		out = node.sync.HandleWatchLost(now, e.Err)
	case action.InstancesRead:
		node.members.HandleInstanceList(now, e.Instances)
	case action.WriteResult:
		out = node.leases.HandleWriteResult(now, e)
		node.handleTableWritten(e)
	}
	node.applyObjects(changed)
	node.advanceTime(now)
	return append(out, node.retryQueuedPackets(now)...)
}

// upstreamStatus returns the status of an upstream for the flow tracker: out if its
// failure domain is out, leaving if it is unknown, undeclared, draining or dead, and
// serving otherwise.
func (node *Node) upstreamStatus(serviceName, name string) placement.UpstreamStatus {
	s := node.services[serviceName]
	if s == nil {
		return placement.StatusLeaving
	}
	u := s.upstreams[name]
	switch {
	case u == nil:
		return placement.StatusLeaving
	case node.domains.IsTakenOut(u.domain):
		return placement.StatusTakenOut
	case !u.declared || u.draining || node.health.State(u.name) == health.Dead:
		return placement.StatusLeaving
	}
	return placement.StatusServing
}

// idleTimeout returns the idle timeout for the flows of a service, and maxIdleTimeout if
// the service is not declared.
func (node *Node) idleTimeout(serviceName string) time.Duration {
	if s := node.services[serviceName]; s != nil {
		return s.declared.IdleTimeout()
	}
	return node.cfg.maxIdleTimeout()
}

// maxIdleTimeout is the idle timeout for flows of a service that is no longer declared.
func (Config) maxIdleTimeout() time.Duration { return 300 * time.Second }

func compare(a, b uint64) int { return cmp.Compare(a, b) }

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
