package loadsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
)

// Figures of the users' deployments.
const (
	callerDelay  = time.Millisecond
	localDelay   = 100 * time.Microsecond
	remoteDelay  = 500 * time.Microsecond
	meanWork     = 24 * time.Millisecond
	queueLength  = 8
	slots        = 2
	target       = 120 * time.Millisecond
	timeLimit    = 2 * time.Second
	maxTries     = 3
	openLimit    = 1400 * time.Millisecond
	coldRate     = 8.0
	coldFactor   = 1.5
	coldSlack    = 5.0
	storeDelay   = 20 * time.Millisecond
	probeSilence = 200 * time.Millisecond
)

// Intervals after which a caller sends a packet again.
var (
	openCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	dataCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
)

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

// world is the state of one simulation.
type world struct {
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
	users     []*user
	// blind leaves out all probes.
	blind bool
	// forgetful instances hand no flows over when they leave.
	forgetful bool
	// cut is a failure domain without a path to others and to the store.
	cut string

	requests []*request
	resets   int
	broken   int
	// lost are the times at which packets of established flows went to silent
	// upstreams.
	lost []time.Time
	// failures are the times at which an upstream reset a request, alarms the
	// upstreams that instances found to be failing.
	failures []time.Time
	alarms   []*upstream
	// unaware instances do not tell each other of silent upstreams and lost
	// requests.
	unaware bool
	// late are the times at which requests on established flows met a reset.
	late []time.Time
}

// size is a fleet: the number of instances and upstreams, and requests a second
// over four failure domains.
type size struct {
	instances, upstreams int
	rate                 float64
	// callers is how many times more callers share the rate, which leaves their
	// flows idle for longer; 0 counts as 1.
	callers int
}

// The users' deployment and the grown one.
var sizes = map[string]size{"9 instances": {9, 14, 400, 0}, "70 instances": {70, 120, 1500, 0}}

var domains = []string{"a", "b", "c", "d"}

type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].serial < q[j].serial)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// instance is one load balancer.
type instance struct {
	world  *world
	name   string
	domain string
	rank   int
	count  int
	engine *forward.Engine
	alive  bool
	// leaving is set from the begin of a planned restart to its end.
	leaving bool
	// rotation is set while the routers send to it.
	rotation bool
	started  int
}

// upstream answers requests.
type upstream struct {
	world *world
	catalog.Upstream
	// silent upstreams answer nothing; ended ones refuse connections.
	silent, ended bool
	// failing is the part of the requests that it resets.
	failing float64
	// factor is how much longer than usual it works; 0 counts as 1.
	factor  float64
	flows   map[forward.Flow]bool
	running int
	waiting []*request
	served  int
	opens   []time.Time
}

// user sends requests over one long flow at a time.
type user struct {
	domain string
	n      int
	port   int
	flow   *flow
}

// flow is the caller's end.
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
	// retries try the flow's requests again, unless they are done.
	retries []func()
}

type request struct {
	issued   time.Time
	answered time.Time
	domain   string
	tries    int
	done     bool
	failed   bool
	// start runs a waiting request.
	start func()
}

func newWorld(seed uint64, s size) *world {
	begin := time.Date(2026, 1, 21, 11, 0, 0, 0, time.UTC)
	w := &world{now: begin, begin: begin, rng: rand.New(rand.NewPCG(seed, 1)), size: s, store: catalog.New(), revision: 10}
	w.store.Apply(begin, catalog.ConfigurationRead{Configuration: catalog.Configuration{
		Version: 1, Revision: 1, Services: []catalog.Service{{Name: "s", ColdRate: coldRate, ColdDuration: 3 * time.Second}},
		Routes: []catalog.Route{{Name: "r", Address: serviceAddress, Split: []catalog.Weight{{Service: "s", Weight: 1}}}},
	}})
	w.store.Apply(begin, catalog.EvacuationsListed{Revision: 1})
	w.store.Apply(begin, catalog.UpstreamsListed{Revision: w.revision})
	for n := range s.upstreams {
		w.addUpstream(domains[n%len(domains)], 0)
	}
	for n := range s.instances {
		i := &instance{world: w, name: fmt.Sprintf("edge-%d", n), domain: domains[n%len(domains)], rank: n / len(domains), alive: true, rotation: true}
		i.count = (s.instances + len(domains) - 1) / len(domains)
		w.instances = append(w.instances, i)
		i.start()
	}
	for n := range 30 * len(domains) * max(1, s.instances/9) * max(1, s.callers) {
		w.users = append(w.users, &user{domain: domains[n%len(domains)], n: n, port: 1024})
	}
	w.publish()
	w.every(250*time.Millisecond, w.tick)
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now.Add(d), serial: w.serial, run: run})
}

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() { run(); w.every(d, run) })
}

// run plays until the time since the start.
func (w *world) run(until time.Duration) {
	end := w.begin.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// load issues requests at random times over a span.
func (w *world) load(span time.Duration) {
	for at := time.Duration(0); at < span; at += time.Duration(w.rng.ExpFloat64() / w.size.rate * float64(time.Second)) {
		u := w.users[w.rng.IntN(len(w.users))]
		w.after(at, func() {
			r := &request{issued: w.now, domain: u.domain}
			w.requests = append(w.requests, r)
			w.after(timeLimit, func() {
				if !r.done {
					r.done, r.failed = true, true
					if u.flow != nil {
						u.flow.ended = true
					}
				}
			})
			u.try(w, r)
		})
	}
}

// addUpstream registers an upstream in the store.
func (w *world) addUpstream(domain string, cold time.Duration) *upstream {
	n := len(w.upstreams) + 1
	u := &upstream{world: w, flows: map[forward.Flow]bool{}, Upstream: catalog.Upstream{
		ID: fmt.Sprintf("i-%03d", n), Born: w.now.UnixMilli() + int64(n), Token: uint64(n), FailureDomain: domain, Service: "s", Capacity: slots,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 250), byte(n % 250)}), 80), ColdFor: cold,
	}}
	w.upstreams = append(w.upstreams, u)
	w.write(u, false)
	return u
}

// write changes an entry of the store.
func (w *world) write(u *upstream, removed bool) {
	w.revision++
	entry := u.Upstream
	entry.Revision = w.revision
	w.store.Apply(w.now, catalog.UpstreamsChanged{Revision: w.revision, Changes: []catalog.UpstreamChange{{Upstream: entry, Removed: removed}}})
}

// tick lets the store confirm its view, expires flows and repeats probes.
func (w *world) tick() {
	for _, kind := range catalog.Kinds() {
		w.store.Apply(w.now, catalog.Confirmed{Kind: kind, Revision: w.revision})
	}
	w.publish()
	for _, i := range w.instances {
		if i.alive {
			i.engine.Expire(w.now)
			i.engine.Reprobe(w.now)
			i.probe()
		}
	}
}

// publish hands the store's view to the instances that reach it.
func (w *world) publish() {
	view, changed := w.store.Snapshot(w.now)
	if !changed {
		return
	}
	for _, i := range w.instances {
		w.after(storeDelay, func() {
			if i.alive && w.cut != i.domain {
				i.engine.Adopt(view)
			}
		})
	}
}

// start begins an incarnation of an instance.
func (i *instance) start() {
	i.started++
	i.alive = true
	i.engine = forward.New(forward.Config{FailureDomain: i.domain, ColdFactor: coldFactor, ColdSlack: coldSlack, MaxFlows: 65536})
	i.engine.Share(forward.Sharing{Rank: i.rank, Count: i.count})
	i.world.store.Apply(i.world.now, catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: i.world.revision})
}

// kill ends an instance; the routers notice after a second.
func (i *instance) kill(down time.Duration) {
	i.alive = false
	i.world.after(time.Second, func() { i.rotation = i.alive })
	i.world.after(down, func() {
		i.start()
		i.world.publish()
		i.world.after(500*time.Millisecond, func() { i.rotation = i.alive })
	})
}

// restart ends an instance as planned: it leaves the rotation, hands its flows
// over and starts again.
func (i *instance) restart() {
	w := i.world
	i.leaving = true
	w.after(time.Second, func() { i.rotation = false })
	w.after(1300*time.Millisecond, func() {
		for _, mate := range w.instances {
			if !w.forgetful && mate.domain == i.domain && mate != i && mate.alive && !mate.leaving {
				mate.engine.Import(w.now, i.engine.Export(w.now))
				break
			}
		}
		i.alive = false
	})
	w.after(1900*time.Millisecond, func() {
		i.start()
		w.publish()
		w.after(500*time.Millisecond, func() { i.rotation, i.leaving = true, false })
	})
}

// reach tells whether packets pass between two failure domains.
func (w *world) reach(a, b string) bool { return a == b || (w.cut != a && w.cut != b) }

func (i *instance) probe() {
	w := i.world
	for _, p := range i.engine.TakeProbes() {
		if w.blind {
			continue
		}
		u := w.find(p.Upstream.ID)
		result := forward.ProbeResult{Upstream: p.Upstream, Sign: p.Sign, Started: w.now, Verdict: forward.VerdictAlive}
		delay := 2 * time.Millisecond
		switch {
		case u.silent || !w.reach(i.domain, u.FailureDomain):
			result.Verdict, delay = forward.VerdictSilent, probeSilence
		case u.ended:
			result.Verdict = forward.VerdictRefused
		}
		engine := i.engine
		if delay > forward.UnansweredAfter {
			w.after(forward.UnansweredAfter, func() {
				if i.alive && i.engine == engine && engine.Unanswered(w.now, p) {
					w.report(i, u)
				}
				i.probe()
			})
		}
		w.after(delay, func() {
			if !i.alive || i.engine != engine {
				return
			}
			abandoned := engine.Probed(w.now, result)
			for _, packet := range abandoned.Flows {
				w.resets++
				w.reset(packet.Flow)
			}
			if abandoned.Report {
				w.report(i, u)
			}
			i.probe()
		})
	}
}

// tell passes lost requests on to the instances of the failure domain.
func (w *world) tell(from *instance) {
	for _, failure := range from.engine.TakeFailures() {
		u := w.find(failure.Upstream.ID)
		if failure.Failing {
			w.alarms = append(w.alarms, u)
		}
		for _, mate := range w.instances {
			if failure.Own && !w.unaware && mate != from && mate.domain == from.domain {
				w.after(time.Millisecond, func() {
					if mate.alive {
						mate.engine.Lost(w.now, u.ID, u.Born)
					}
				})
			}
		}
	}
}

// report tells the instances of the failure domain of a failed probe.
func (w *world) report(from *instance, u *upstream) {
	for _, mate := range w.instances {
		if !w.unaware && mate != from && mate.domain == from.domain {
			w.after(time.Millisecond, func() {
				if mate.alive {
					mate.engine.Reported(w.now, u.ID, u.Born)
					mate.probe()
				}
			})
		}
	}
}

func (w *world) find(id string) *upstream {
	for _, u := range w.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// route returns the instance that the routers pick for a flow.
func (w *world) route(f forward.Flow, domain string) *instance {
	var rotation []*instance
	for _, i := range w.instances {
		if i.domain == domain && i.rotation {
			rotation = append(rotation, i)
		}
	}
	if len(rotation) == 0 {
		for _, i := range w.instances {
			if i.domain == domain {
				rotation = append(rotation, i)
			}
		}
	}
	return rotation[(int(f.Caller.Port())*7+int(f.Caller.Addr().As4()[3]))%len(rotation)]
}
