package loadsim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
)

// Properties of the users' deployments: delays, times, limits and rates.
const (
	callerDelay     = time.Millisecond
	localDelay      = 100 * time.Microsecond
	remoteDelay     = 500 * time.Microsecond
	meanServiceTime = 24 * time.Millisecond
	queueLength     = 8
	slots           = 2
	target          = 120 * time.Millisecond
	requestTimeout  = 2 * time.Second
	maxTries        = 3
	openTimeout     = 1400 * time.Millisecond
	coldRate        = 8.0
	coldFactor      = 1.5
	coldSlack       = 5.0
	storeDelay      = 20 * time.Millisecond
	probeSilence    = 200 * time.Millisecond
)

// Times since the first sending at which a caller sends copies of a packet.
var (
	openCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

// simulation is the state of one simulation run.
type simulation struct {
	now    time.Time
	begin  time.Time
	queue  eventQueue
	serial int
	rng    *rand.Rand

	size      size
	store     *catalog.Catalog
	revision  uint64
	instances []*instance
	upstreams []*upstream
	callers   []*caller
	// withoutProbes makes instances drop all probes.
	withoutProbes bool
	// closing is the part of the requests, 0 to 1, after which the caller ends its flow.
	closing float64
	// ignoreShares makes each instance use the whole limit of cold upstreams;
	// withoutUpdates makes instances receive no snapshot after the first second;
	// rehashing makes them choose the upstream anew for each packet.
	ignoreShares, withoutUpdates, rehashing bool
	// withoutHandover makes instances hand no flows over at a planned restart.
	withoutHandover bool
	// cut is the failure domain without a connection to others and to the store, or
	// empty.
	cut string
	// arrivals and refusals count the requests that reached upstreams, and those that
	// upstreams refused because their queues were full.
	arrivals, refusals int

	// kinds holds the kinds of requests, each with its route; without any there is one
	// route with the default terms.
	kinds []*kind
	// limits are the limits of the instances.
	limits forward.Limits

	requests []*request
	resets   int
	// wrong is the number of resets of flows whose upstream was neither silent nor ended.
	wrong int
	// broken is the number of packets of established flows that reached another
	// upstream.
	broken int
	// lost lists the times at which instances sent packets of established flows to
	// silent or unreachable upstreams.
	lost []time.Time
	// failures lists the times at which an upstream reset a request.
	failures []time.Time
	// alarms lists the upstreams that instances found to be failing.
	alarms []*upstream
	// withoutReports makes instances send no reports of silent upstreams and lost
	// requests to their peers.
	withoutReports bool
	// silenceReports numbers the reports of silent upstreams, contradictions counts the messages
	// that contradict them.
	silenceReports uint64
	contradictions int
	// withoutLoadReports makes instances send no reports on response times.
	withoutLoadReports bool
	// overloadControl sets forward.Config.OverloadControl; withoutInFlightReports makes
	// instances send no reports on requests in flight.
	overloadControl, withoutInFlightReports bool
	// shortRefusals makes upstreams refuse requests with a short response, and callers end
	// their flows with a packet.
	shortRefusals bool
	// late lists the times at which instances answered requests with a reset.
	late []time.Time
}

// size is the size of a deployment in four failure domains: the number of instances and
// upstreams, and the rate in requests per second.
type size struct {
	instances, upstreams int
	rate                 float64
	// callers multiplies the number of callers that share the rate, so that their
	// flows are idle for longer; 0 counts as 1.
	callers int
	// crossing is the delay between failure domains; 0 counts as remoteDelay.
	crossing time.Duration
}

func (s size) remoteDelay() time.Duration {
	if s.crossing > 0 {
		return s.crossing
	}
	return remoteDelay
}

// sizes holds the users' deployment and a larger one.
var sizes = map[string]size{"9 instances": {9, 14, 400, 0, 0}, "70 instances": {70, 120, 1500, 0, 0}}

var domains = []string{"a", "b", "c", "d"}

// upstream is a simulated upstream with slots and a queue.
type upstream struct {
	sim *simulation
	catalog.Upstream
	// silent is set while the upstream answers nothing; ended is set once it refuses
	// connections.
	silent, ended bool
	// closed is set while the upstream refuses probes but does not end its flows by that.
	closed bool
	// closing is set while the upstream ends each flow after its next response.
	closing bool
	// drained is when the upstream reported that it drains.
	drained time.Time
	// failing is the part of the requests, 0 to 1, that the upstream resets.
	failing float64
	// refusing is the part of the requests, 0 to 1, that the upstream refuses quickly with a
	// short response.
	refusing float64
	// factor multiplies the service time; values below 1 count as 1.
	factor  float64
	flows   map[forward.Flow]bool
	running int
	waiting []*request
	served  int
	opens   []time.Time
}

// caller sends requests over one long-lived flow at a time.
type caller struct {
	domain string
	// kind is the kind of the caller's requests; nil without simulation.kinds.
	kind *kind
	// last is the caller's last request.
	last *request
	n    int
	port int
	flow *flow
}

// flow is the state of a flow at its caller.
type flow struct {
	forward.Flow
	seq      uint32
	open     bool
	ended    bool
	upstream *upstream
	cookie   uint32
	sent     uint32
	received uint32
	waiting  []openWaiter
	// retries holds a function for each request of the flow, which sends it again
	// unless it is done.
	retries []func()
}

type request struct {
	// kind is nil without simulation.kinds.
	kind     *kind
	issued   time.Time
	answered time.Time
	domain   string
	tries    int
	done     bool
	failed   bool
	// start begins the work on a request that waits in an upstream's queue.
	start func()
}

func newSimulation(seed uint64, s size) *simulation {
	return newSimulationWith(seed, s, func(*simulation) {})
}

// newSimulationWith returns a simulation in which policy sets options before the instances start.
func newSimulationWith(seed uint64, s size, policy func(sim *simulation)) *simulation {
	begin := time.Date(2026, 1, 21, 11, 0, 0, 0, time.UTC)
	sim := &simulation{now: begin, begin: begin, rng: rand.New(rand.NewPCG(seed, 1)), size: s, store: catalog.New(), revision: 10}
	policy(sim)
	sim.store.Apply(begin, catalog.ConfigurationRead{Configuration: catalog.Configuration{
		Version: 1, Revision: 1, Services: []catalog.Service{{Name: "s", ColdRate: coldRate, ColdDuration: 3 * time.Second}},
		Routes: sim.routes(),
	}})
	sim.store.Apply(begin, catalog.EvacuationsListed{Revision: 1})
	sim.store.Apply(begin, catalog.UpstreamsListed{Revision: sim.revision})
	for n := range s.upstreams {
		sim.addUpstream(domains[n%len(domains)], 0)
	}
	for n := range s.instances {
		i := &instance{sim: sim, name: fmt.Sprintf("edge-%d", n), domain: domains[n%len(domains)], rank: n / len(domains), alive: true, inRotation: true}
		i.count = (s.instances + len(domains) - 1) / len(domains)
		sim.instances = append(sim.instances, i)
		i.start()
	}
	for n := range 30 * len(domains) * max(1, s.instances/9) * max(1, s.callers) {
		sim.callers = append(sim.callers, &caller{domain: domains[n%len(domains)], n: n, port: 1024})
	}
	sim.publish()
	sim.every(250*time.Millisecond, sim.tick)
	sim.every(loadReportInterval, sim.reportLoad)
	return sim
}

// load schedules requests of random callers at random times within span.
func (sim *simulation) load(span time.Duration) {
	for at := time.Duration(0); at < span; at += time.Duration(sim.rng.ExpFloat64() / sim.size.rate * float64(time.Second)) {
		u := sim.callers[sim.rng.IntN(len(sim.callers))]
		sim.after(at, func() { sim.issue(u) })
	}
}

// issue lets a caller send a request, which fails after requestTimeout.
func (sim *simulation) issue(c *caller) {
	r := &request{kind: c.kind, issued: sim.now, domain: c.domain}
	sim.requests, c.last = append(sim.requests, r), r
	sim.after(requestTimeout, func() {
		if !r.done {
			r.done, r.failed = true, true
			if c.flow != nil {
				c.flow.ended = true
			}
		}
	})
	c.sendRequest(sim, r)
}

// addUpstream adds an upstream and registers it in the store. It is cold for the given
// time.
func (sim *simulation) addUpstream(domain string, cold time.Duration) *upstream {
	n := len(sim.upstreams) + 1
	u := &upstream{sim: sim, flows: map[forward.Flow]bool{}, Upstream: catalog.Upstream{
		ID: fmt.Sprintf("i-%03d", n), Born: sim.now.UnixMilli(), Token: uint64(n), FailureDomain: domain, Service: "s", Capacity: slots,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80), ColdFor: cold,
	}}
	sim.upstreams = append(sim.upstreams, u)
	sim.write(u, false)
	return u
}

// write writes an upstream's entry to the store, or removes it.
func (sim *simulation) write(u *upstream, removed bool) {
	sim.revision++
	entry := u.Upstream
	entry.Revision = sim.revision
	sim.store.Apply(sim.now, catalog.UpstreamsChanged{Revision: sim.revision, Changes: []catalog.UpstreamChange{{Upstream: entry, Removed: removed}}})
}

// tick lets the store confirm its data, expires flows and repeats probes.
func (sim *simulation) tick() {
	for _, kind := range catalog.Kinds() {
		sim.store.Apply(sim.now, catalog.Confirmed{Kind: kind, Revision: sim.revision})
	}
	sim.publish()
	for _, i := range sim.instances {
		if i.alive {
			i.engine.RemoveIdleFlows(sim.now)
			i.engine.RequestRetryProbes(sim.now)
			i.runProbes()
		}
	}
}

// publish sends a changed snapshot of the store to the instances that can reach it.
func (sim *simulation) publish() {
	snapshot, changed := sim.store.Snapshot(sim.now)
	if !changed {
		return
	}
	for _, i := range sim.instances {
		sim.after(storeDelay, func() {
			if i.alive && sim.cut != i.domain && !(sim.withoutUpdates && sim.now.Sub(sim.begin) > time.Second) {
				i.engine.SetSnapshot(snapshot)
			}
		})
	}
}

// reach reports whether packets pass between two failure domains.
func (sim *simulation) reach(a, b string) bool { return a == b || (sim.cut != a && sim.cut != b) }

func (sim *simulation) find(id string) *upstream {
	for _, u := range sim.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}
