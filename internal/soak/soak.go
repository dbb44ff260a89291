package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/platform/standin"
)

// Times and number of callers of a run.
const (
	callersPerDomain = 6
	// warmupTime is how long the fleet runs before the first fault.
	warmupTime = 2 * time.Second
	// recoveryTime is the users' bound on the time from the end of the last fault until
	// requests are served again.
	recoveryTime = 12 * time.Second
	// measureTime is the time after recoveryTime in which requests are counted.
	measureTime = 3 * time.Second
	// maxStall is half of the time without an answer after which a probe fails.
	maxStall = 100 * time.Millisecond
	// minServedShare is the project's target for the share of the requests in
	// measureTime that are served.
	minServedShare = 0.995
)

// fleetSize is the number of processes of a run. There are few, so that several seeds can
// run on one machine at a time.
type fleetSize struct{ instancesPerDomain, upstreamsPerService int }

// sizeOf returns the size of the fleet of a seed. Seeds with slow instances have more
// instances, a third of which may be slow at once, and more upstreams to probe.
func sizeOf(seed uint64) fleetSize {
	if isSlowSeed(seed) {
		return fleetSize{3, 8}
	}
	return fleetSize{2, 4}
}

// services holds the names of the services.
var services = []string{"s1", "s2"}

// pageSize is the number of objects in one page of a list: less than upstreams, so that
// replicas with different revisions answer the pages of one list.
const pageSize = 3

var (
	// serviceAddresses holds the service address of each entry of services.
	serviceAddresses = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:80")}
	// extraAddress is the service address whose route is added and removed.
	extraAddress = netip.MustParseAddrPort("198.18.0.9:443")
)

// Config configures one run.
type Config struct {
	// Seed determines the schedule of the faults and of the callers.
	Seed uint64
	// Slot selects the loopback addresses, from 0 to 100. Runs at the same time need
	// different slots.
	Slot int
	// Binary is the path of the chivemast-edge executable.
	Binary string
	// Directory is where the settings and logs of the instances are written.
	Directory string
	// FaultTime is how long faults are started. The run continues until the last one
	// has ended.
	FaultTime time.Duration
	// RecoveryTime is the time from the end of the last fault until requests are counted;
	// 0 for the users' bound. A shorter time is a stricter check.
	RecoveryTime time.Duration
	// Log is called for each fault that is injected and for other events of the run;
	// nil for no log.
	Log func(format string, args ...any)
}

// Report is the result of one run.
type Report struct {
	Seed uint64
	// Settings describes the settings of the instances that differ by seed.
	Settings string
	// Violations holds a line for each violation of a rule.
	Violations []string
	// Requests is the number of requests in the whole run.
	Requests int
	// ServedShare is the share of these requests that were served, from 0 to 1.
	ServedShare float64
	// RecoveredShare is the share of the requests that were served after the
	// recovery time that follows the last fault, from 0 to 1.
	RecoveredShare float64
	// LongestStall is the longest time for which this process did not run.
	LongestStall time.Duration
	// FaultCount is the number of injected faults.
	FaultCount int
	// Excused holds a line for each reset of an open flow that a fault of the instance or
	// the store excuses.
	Excused []string
}

// Passed returns whether no rule was violated and, after the recovery time, at least
// the share minServedShare of the requests was served.
func (r *Report) Passed() bool { return len(r.Violations) == 0 && r.RecoveredShare >= minServedShare }

func (r *Report) String() string {
	verdict := "pass"
	if !r.Passed() {
		verdict = "FAIL"
	}
	return fmt.Sprintf("seed=%d settings=%s %s faults=%d requests=%d served=%.4f recovered=%.4f excused_resets=%d longest_stall=%.2fs violations=%d",
		r.Seed, r.Settings, verdict, r.FaultCount, r.Requests, r.ServedShare, r.RecoveredShare, len(r.Excused), r.LongestStall.Seconds(), len(r.Violations))
}

// Run runs one seed and returns its report. It fails if the fleet or the callers cannot
// be started. All processes that it started have ended when it returns.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	if cfg.RecoveryTime == 0 {
		cfg.RecoveryTime = recoveryTime
	}
	checker := newChecker()
	settings := drawOverloadSettings(cfg.Seed)
	fleet := &fleet{
		checker: checker, binary: cfg.Binary, directory: cfg.Directory, slot: cfg.Slot, size: sizeOf(cfg.Seed), settings: settings,
		addresses: slices.Clone(serviceAddresses), store: standin.NewStore(),
	}
	fleet.store.SetPageSize(pageSize)
	if isSlowSeed(cfg.Seed) {
		fleet.storeRate = limitedRate
	}
	injector := &faultInjector{fleet: fleet, checker: checker, seed: cfg.Seed, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), log: cfg.Log}
	fleet.peerKey = newKey(injector.rng)
	defer fleet.stopAll()
	if err := fleet.startAll(ctx, injector); err != nil {
		return nil, err
	}
	callers, err := fleet.startCallers(ctx, cfg.Seed)
	if err != nil {
		return nil, err
	}
	var stall atomic.Int64
	go checker.recordStalls(ctx, &stall)
	startedAt := time.Now()
	injector.sleepBetween(ctx, warmupTime, warmupTime+time.Millisecond)
	count := injector.injectFaults(ctx, cfg.FaultTime)
	var checks sync.WaitGroup
	if isSlowSeed(cfg.Seed) {
		checks.Go(func() { fleet.checkConfigurations(ctx, injector.shared) })
	}
	injector.sleepBetween(ctx, cfg.RecoveryTime, cfg.RecoveryTime+time.Millisecond)
	recoveredAt := time.Now()
	injector.sleepBetween(ctx, measureTime, measureTime+time.Millisecond)
	checks.Wait()
	fleet.checkStates(ctx, injector.shared)
	cancel()
	callers.Wait()
	report := &Report{Seed: cfg.Seed, Settings: settings.String(), Violations: checker.violations, FaultCount: count, Excused: checker.excused,
		LongestStall: time.Duration(stall.Load())}
	report.ServedShare, report.Requests = checker.servedShare(startedAt)
	report.RecoveredShare, _ = checker.servedShare(recoveredAt)
	return report, nil
}

// recordStalls stores the longest time for which this process did not run, until ctx ends.
// The store and all upstreams stand still meanwhile: from maxStall on, that is a fault.
func (c *checker) recordStalls(ctx context.Context, longest *atomic.Int64) {
	const interval = 20 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(interval)
		now := time.Now()
		stalled := now.Sub(last) - interval
		longest.Store(max(longest.Load(), int64(stalled)))
		if stalled > maxStall {
			c.beginFault(unplannedFault, partStore)()
		}
		last = now
	}
}

// startAll starts the store, upstreams and instances, and waits until all instances are
// in rotation.
func (fleet *fleet) startAll(ctx context.Context, injector *faultInjector) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	fleet.conn = conn
	for n := range fleet.size.instancesPerDomain * len(domains) {
		domain := domains[n%len(domains)]
		fleet.instances = append(fleet.instances, &instance{name: fmt.Sprintf("edge-%s-%d", domain, n), domain: domain, address: fleet.loopbackAddress(groupInstance, n+1)})
	}
	if err := fleet.startStore(ctx); err != nil {
		return err
	}
	injector.shared = &sharedConfiguration{config: catalog.Configuration{Version: 1}}
	config := &injector.shared.config
	for n, service := range services {
		config.Services = append(config.Services, catalog.Service{Name: service, ColdRate: 10, ColdDuration: 2 * time.Second, HealthPath: "/health"})
		config.Routes = append(config.Routes, catalog.Route{Name: service, Address: serviceAddresses[n], Split: []catalog.Weight{{Service: service, Weight: 1}}})
		fleet.checker.allowedServices[serviceAddresses[n]] = map[string]bool{service: true}
		for u := range fleet.size.upstreamsPerService {
			injector.addUpstream("", service, domains[u%len(domains)], netip.AddrPort{})
		}
	}
	if fleet.settings.enabled {
		fleet.addTerms(config)
	}
	fleet.checker.allowedServices[extraAddress] = map[string]bool{services[0]: true}
	injector.shared.write(fleet.store)
	go fleet.copyStore(ctx)
	for n, instance := range fleet.instances {
		if err := errors.Join(fleet.prepareInstance(n, instance)); err != nil {
			return err
		}
		if err := instance.startProcess(fleet.binary); err != nil {
			return err
		}
		go fleet.probeReadiness(ctx, instance)
	}
	return fleet.waitUntilInRotation(ctx)
}

// waitUntilInRotation waits until all instances are in rotation. It fails after 10 s or
// when ctx ends.
func (fleet *fleet) waitUntilInRotation(ctx context.Context) error {
	deadline := time.Now().Add(10 * time.Second)
	for _, instance := range fleet.instances {
		for ready := false; !ready; {
			instance.mu.Lock()
			ready = instance.inRotation
			instance.mu.Unlock()
			switch {
			case ready:
			case ctx.Err() != nil:
				return ctx.Err()
			case time.Now().After(deadline):
				return fmt.Errorf("instance %s is not in rotation after 10 s, see its log %s", instance.name, instance.logFile.Name())
			default:
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return nil
}

// startCallers starts the callers, which run until ctx ends.
func (fleet *fleet) startCallers(ctx context.Context, seed uint64) (*sync.WaitGroup, error) {
	var group sync.WaitGroup
	for n := range callersPerDomain * len(domains) {
		service := fleet.addresses[n/len(domains)%len(fleet.addresses)]
		rng := rand.New(rand.NewPCG(seed, uint64(100+n)))
		caller, err := fleet.newCaller(fleet.loopbackAddress(groupCaller, n+1), domains[n%len(domains)], service, maxRequestPause, rng)
		if err != nil {
			return nil, err
		}
		group.Go(func() { caller.run(ctx) })
	}
	if seed >= firstFlowSeed {
		if err := fleet.startFlowCallers(ctx, seed, &group); err != nil {
			return nil, err
		}
	}
	return &group, nil
}

// injectFaults starts random faults for a time, 0.1 to 1.5 seconds apart, so that they
// may overlap, and waits until all have ended. It returns their number.
func (injector *faultInjector) injectFaults(ctx context.Context, span time.Duration) int {
	end := time.Now().Add(span)
	var running sync.WaitGroup
	replicas := *injector
	// A random source of its own keeps the schedules of earlier seeds.
	replicas.rng = rand.New(rand.NewPCG(injector.seed, 8))
	running.Go(func() { replicas.lagReplicas(ctx, end) })
	count, kinds := 0, faults
	if injector.fleet.settings.enabled {
		// Twice, so that a run of the default length has about five of them.
		kinds = slices.Concat(faults, overloadFaults, overloadFaults)
	}
	switch {
	case injector.seed < firstFlowSeed:
	case isSlowSeed(injector.seed) && injector.seed%2 == 0:
		kinds = slowFaults
	case isSlowSeed(injector.seed):
		kinds = slices.Concat(slowFaults, pathFaults)
	case injector.seed%2 == 0:
		kinds = slices.Concat(flowFaults, kinds[len(faults):])
	default:
		// Twice, so that half of the faults are of these kinds.
		kinds = slices.Concat(kinds, flowFaults, flowFaults)
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		fault := kinds[injector.rng.IntN(len(kinds))]
		// Faults overlap, so each has its own random source and range of numbers for
		// new upstreams.
		injectorCopy := *injector
		injectorCopy.rng = rand.New(rand.NewPCG(injector.rng.Uint64(), uint64(count)))
		injectorCopy.lastNumber = 20 + 8*count
		running.Go(func() { fault.run(ctx, &injectorCopy) })
		injector.log("start fault %s", fault.name)
		count++
		injector.sleepBetween(ctx, 100*time.Millisecond, 1500*time.Millisecond)
	}
	running.Wait()
	return count
}

// stopAll ends the processes of the instances, and stops the upstreams.
func (fleet *fleet) stopAll() {
	for _, instance := range fleet.instances {
		instance.mu.Lock()
		running := instance.process != nil && instance.process.Process != nil
		instance.mu.Unlock()
		if running {
			instance.sendSignal(syscall.SIGCONT)
			instance.stopProcess(syscall.SIGKILL)
		}
		if instance.logFile != nil {
			_ = instance.logFile.Close() // The process has ended.
		}
	}
	for _, u := range fleet.upstreams {
		u.stop(context.Background())
	}
	if fleet.conn != nil {
		_ = fleet.conn.Close()
	}
}

// CreateLogDirectory creates the directory for the settings and logs of a seed under
// root and returns its path. It fails if the directory cannot be created.
func CreateLogDirectory(root string, seed uint64) (string, error) {
	directory := fmt.Sprintf("%s/seed-%d", root, seed)
	return directory, os.MkdirAll(directory, 0o755)
}
