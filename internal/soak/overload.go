package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

const (
	// firstOverloadSeed is the first seed that may run with overloadSettings. The seeds
	// in regressions.go are lower and keep their schedules.
	firstOverloadSeed = 1000
	// maxRunning and maxQueued are the numbers of requests that a bounded upstream runs
	// and queues. It refuses further ones.
	maxRunning = 2
	maxQueued  = 8
	// burstCallers exceeds what the four upstreams of a service run and queue, 40
	// requests, together with about 40 callers that pause at full throughput.
	burstCallers = 100
	// burstPause is the longest pause between two requests of a caller of a burst.
	burstPause = 50 * time.Millisecond
	// maxSlowdown keeps a full queue of a slow upstream, 5 requests per slot, within
	// firstRetransmitDelay, since upstreams run retransmitted requests again.
	maxSlowdown = 6
)

// urgentAddress is the service address of a second route to the first service, which has
// a higher priority.
var urgentAddress = netip.MustParseAddrPort("198.18.0.3:443")

// Terms of the routes of seeds with overloadSettings. The latency goal of the lower
// priority is exceeded by half before the queue of an upstream is full, so that
// admission control refuses flows.
var (
	urgentTerms  = catalog.Terms{Priority: 1, LatencyGoal: 200 * time.Millisecond, Timeout: requestTimeout}
	regularTerms = catalog.Terms{Priority: 2, LatencyGoal: 40 * time.Millisecond, Timeout: requestTimeout, Idempotent: true}
)

// overloadFaults holds the kinds of faults that only seeds with overloadSettings have.
var overloadFaults = []fault{
	{"burst", func(ctx context.Context, injector *faultInjector) { injector.startBurst(ctx) }},
	{"slow", func(ctx context.Context, injector *faultInjector) { injector.slowUpstreams(ctx) }},
}

// overloadSettings holds the settings of the instances that differ by seed. If they are
// enabled, upstreams are bounded, routes have terms, and overloadFaults are injected.
type overloadSettings struct {
	enabled    bool
	hedgeShare float64
}

// drawOverloadSettings returns the settings of a seed. From firstOverloadSeed on, eight
// consecutive seeds run with them and the next eight without.
func drawOverloadSettings(seed uint64) overloadSettings {
	if seed < firstOverloadSeed || seed&8 == 0 {
		return overloadSettings{}
	}
	rng := rand.New(rand.NewPCG(seed, 9))
	return overloadSettings{enabled: true, hedgeShare: 0.02 + 0.18*rng.Float64()}
}

func (s overloadSettings) String() string {
	if !s.enabled {
		return "default"
	}
	return fmt.Sprintf("overload_control,cookie_by_id,hedge_share:%.3f", s.hedgeShare)
}

// apply adds the settings to those of an instance.
func (s overloadSettings) apply(settings map[string]any) {
	if s.enabled {
		settings["overload_control"], settings["cookie_by_id"], settings["hedge_share"] = true, true, s.hedgeShare
	}
}

// addTerms gives the routes terms, and adds the route of urgentAddress.
func (fleet *fleet) addTerms(config *catalog.Configuration) {
	for n := range config.Routes {
		config.Routes[n].Terms = regularTerms
	}
	urgent := catalog.Route{Name: "urgent", Address: urgentAddress, Split: []catalog.Weight{{Service: services[0], Weight: 1}}, Terms: urgentTerms}
	config.Routes = append(config.Routes, urgent)
	fleet.addresses = append(fleet.addresses, urgentAddress)
	fleet.checker.allowedServices[urgentAddress] = map[string]bool{services[0]: true}
}

// startBurst runs burstCallers additional callers of one route for 2 to 4 seconds. All
// rules hold meanwhile, so that no fault is recorded.
func (injector *faultInjector) startBurst(ctx context.Context) {
	fleet := injector.fleet
	service := fleet.addresses[injector.rng.IntN(len(fleet.addresses))]
	// The ranges of lastNumber of two faults are at least 8 apart.
	group, seed := groupBurst+injector.lastNumber/8, injector.rng.Uint64()
	injector.log("burst of callers to %s", service)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	for n := range burstCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		caller, err := fleet.newCaller(fleet.loopbackAddress(group, n+1), domains[n%len(domains)], service, burstPause, rng)
		if err != nil {
			injector.checker.recordViolation("cannot start a caller of a burst: %v", err)
			break
		}
		callers.Go(func() { caller.run(ctx) })
	}
	injector.sleepBetween(ctx, 2*time.Second, 4*time.Second)
	cancel()
	callers.Wait()
}

// slowUpstreams makes about half of the upstreams 3 to maxSlowdown times slower for 2 to
// 5 seconds. All rules hold meanwhile, so that no fault is recorded.
func (injector *faultInjector) slowUpstreams(ctx context.Context) {
	factor := 3 + injector.rng.IntN(maxSlowdown-2)
	injector.fleet.mu.Lock()
	var slow []*upstream
	for _, u := range injector.fleet.upstreams {
		if injector.rng.IntN(2) == 0 {
			slow = append(slow, u)
		}
	}
	injector.fleet.mu.Unlock()
	injector.log("%d upstreams are %d times slower", len(slow), factor)
	for _, u := range slow {
		u.setSlowdown(factor)
	}
	injector.sleepBetween(ctx, 2*time.Second, 5*time.Second)
	for _, u := range slow {
		u.setSlowdown(1)
	}
}

// newCaller returns a caller with a socket at its address. It fails if the address is in
// use.
func (fleet *fleet) newCaller(address netip.Addr, domain string, service netip.AddrPort, pause time.Duration, rng *rand.Rand) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, trafficPort)))
	if err != nil {
		return nil, err
	}
	return &caller{
		fleet: fleet, checker: fleet.checker, conn: conn, address: address, domain: domain, service: service, maxPause: pause,
		maxRequests: maxRequestsPerFlow, rng: rng, port: 1024,
	}, nil
}

// workQueue is the queue of a bounded upstream. The zero value is empty.
type workQueue struct {
	mu sync.Mutex
	// slowdown multiplies the processing time; 0 counts as 1.
	slowdown int
	// slotFree holds the time at which each slot has finished its requests.
	slotFree [maxRunning]time.Time
	pending  int
}

// add adds a request that arrived at now. It returns the time from now until it is
// processed, or false if the upstream refuses it. The caller calls done after this time.
func (q *workQueue) add(now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending >= maxRunning+maxQueued {
		return 0, false
	}
	q.pending++
	slot := 0
	for n, free := range q.slotFree {
		if free.Before(q.slotFree[slot]) {
			slot = n
		}
	}
	start := now
	if q.slotFree[slot].After(now) {
		start = q.slotFree[slot]
	}
	q.slotFree[slot] = start.Add(processingTime * time.Duration(max(q.slowdown, 1)))
	return q.slotFree[slot].Sub(now), true
}

// openDelay returns the time that the upstream takes to answer an opening packet: 0 unless
// it is slow. q may be nil.
func (q *workQueue) openDelay() time.Duration {
	if q == nil {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slowdown <= 1 {
		return 0
	}
	return processingTime * time.Duration(q.slowdown)
}

// done removes a processed request.
func (q *workQueue) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
}

// setSlowdown sets the factor by which the upstream is slower than normally.
func (u *upstream) setSlowdown(factor int) {
	u.queue.mu.Lock()
	defer u.queue.mu.Unlock()
	u.queue.slowdown = factor
}
