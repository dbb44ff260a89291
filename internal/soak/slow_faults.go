package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/platform/standin"
)

// firstSlowSeed and lastSlowSeed are the first and the last seed with slowFaults only.
// Other seeds keep their schedules.
const (
	firstSlowSeed = 6000
	lastSlowSeed  = 6999
)

const (
	// slowPeriod is the shortest time in which a slow instance runs and is stopped once, as
	// the period of a processor quota. An instance that has overdrawn its quota is stopped
	// for up to maxSlowPeriods of them.
	slowPeriod     = 100 * time.Millisecond
	maxSlowPeriods = 4
)

const (
	// growthStep is the number of routes by which the configuration grows at a time, and
	// maxUnusedRoutes the largest number: about 0.7 MB.
	growthStep      = 1400
	maxUnusedRoutes = 3 * growthStep
	// limitedRate is the number of bytes a second from the store to an instance, so that
	// the largest configuration takes 0.7 s.
	limitedRate = 1_000_000
)

// isSlowSeed returns whether the seed has slowFaults.
func isSlowSeed(seed uint64) bool { return seed >= firstSlowSeed && seed <= lastSlowSeed }

// slowFaults holds the kinds of faults that load instances, and those that make them probe
// upstreams meanwhile. None of them is a fault of an instance or of the store, so that all
// rules hold: an instance that is late must not take a serving upstream for ended.
var slowFaults = []fault{
	{"slow_instance", func(ctx context.Context, injector *faultInjector) { injector.slowInstances(ctx) }},
	{"slow_instance", func(ctx context.Context, injector *faultInjector) { injector.slowInstances(ctx) }},
	{"grow", func(ctx context.Context, injector *faultInjector) { injector.growConfiguration(ctx) }},
	{"leave", func(ctx context.Context, injector *faultInjector) { injector.leaveInSteps(ctx) }},
	{"crash", func(ctx context.Context, injector *faultInjector) { injector.crashUpstream(ctx) }},
	{"reset_connections", func(ctx context.Context, injector *faultInjector) { injector.resetConnections(ctx) }},
	{"lose", func(ctx context.Context, injector *faultInjector) { injector.losePackets(ctx) }},
	{"burst", func(ctx context.Context, injector *faultInjector) { injector.startBurst(ctx) }},
}

// pathFaults holds the kinds of faults that odd seeds with slowFaults have as well. All
// instances are affected alike; all rules hold meanwhile.
var pathFaults = []fault{
	{"full_path", func(ctx context.Context, injector *faultInjector) { injector.fillPath(ctx) }},
}

// slowInstances slows one instance or a third of them for 2 to 5 seconds.
func (injector *faultInjector) slowInstances(ctx context.Context) {
	slow := slices.Clone(injector.fleet.instances)
	injector.rng.Shuffle(len(slow), func(i, j int) { slow[i], slow[j] = slow[j], slow[i] })
	count := 1
	if injector.rng.IntN(2) == 0 {
		count = max(len(slow)/3, 1)
	}
	span := 2*time.Second + time.Duration(injector.rng.Int64N(int64(3*time.Second)))
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var running sync.WaitGroup
	for _, instance := range slow[:count] {
		period := slowPeriod * time.Duration(1+injector.rng.IntN(maxSlowPeriods))
		stopped := period * time.Duration(80+injector.rng.IntN(16)) / 100
		injector.log("%s is stopped for %s of every %s, for %s", instance.name, stopped, period, span)
		rng := rand.New(rand.NewPCG(injector.rng.Uint64(), 1))
		running.Go(func() { instance.stopInTurns(ctx, stopped, period-stopped, rng) })
	}
	running.Wait()
}

// stopInTurns stops the process for a time and lets it run for another one, again and again
// until ctx ends. A process that may not handle signals yet is not stopped.
func (instance *instance) stopInTurns(ctx context.Context, stopped, runs time.Duration, rng *rand.Rand) {
	wait := func(span time.Duration) {
		select {
		case <-time.After(span):
		case <-ctx.Done():
		}
	}
	wait(time.Duration(rng.Int64N(int64(stopped))))
	for ctx.Err() == nil {
		instance.mu.Lock()
		started := time.Since(instance.startedAt) >= 2*signalHandlerDelay
		instance.mu.Unlock()
		if started {
			instance.sendSignal(syscall.SIGSTOP)
		}
		wait(stopped)
		instance.sendSignal(syscall.SIGCONT)
		wait(runs)
	}
}

// resetConnections lets half of the upstreams reset all connections, as at a limit, for 0.5
// to 4 seconds. Their flows go on.
func (injector *faultInjector) resetConnections(ctx context.Context) {
	injector.fleet.mu.Lock()
	upstreams := slices.Clone(injector.fleet.upstreams)
	injector.fleet.mu.Unlock()
	for _, u := range upstreams {
		if injector.rng.IntN(2) == 0 {
			u.port.resetting.Add(1)
			defer u.port.resetting.Add(-1)
		}
	}
	injector.sleepBetween(ctx, 500*time.Millisecond, 4*time.Second)
}

// fillPath acts as a full path between instances and upstreams for 0.3 to 1.5 seconds: no
// upstream answers connection attempts, and a fifth of the callers' packets is lost. The
// upstreams answer again one after the other, within 0.3 seconds. Their flows go on.
func (injector *faultInjector) fillPath(ctx context.Context) {
	injector.fleet.losing.Add(1)
	defer injector.fleet.losing.Add(-1)
	injector.fleet.mu.Lock()
	upstreams := slices.Clone(injector.fleet.upstreams)
	injector.fleet.mu.Unlock()
	span := 300*time.Millisecond + time.Duration(injector.rng.Int64N(int64(1200*time.Millisecond)))
	var blocked sync.WaitGroup
	for _, u := range upstreams {
		late := *injector
		late.rng = rand.New(rand.NewPCG(injector.rng.Uint64(), 3))
		blocked.Go(func() {
			defer u.port.block()()
			late.sleepBetween(ctx, span, span+300*time.Millisecond)
		})
	}
	blocked.Wait()
}

// growConfiguration makes the configuration grow by growthStep routes one to three times,
// and changes its version only when it has maxUnusedRoutes. Meanwhile two upstreams start
// and two leave.
func (injector *faultInjector) growConfiguration(ctx context.Context) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for n := range 2 {
		replacement := *injector
		replacement.rng = rand.New(rand.NewPCG(injector.rng.Uint64(), 2))
		replacement.lastNumber += n
		leaving.Go(func() { replacement.leaveInSteps(ctx) })
	}
	for range 1 + injector.rng.IntN(3) {
		shared := injector.shared
		shared.mu.Lock()
		shared.unusedRoutes = min(shared.unusedRoutes+growthStep, maxUnusedRoutes)
		shared.config.Version++
		shared.changedAt = time.Now()
		shared.write(injector.fleet.store)
		injector.log("configuration has %d unused routes", shared.unusedRoutes)
		shared.mu.Unlock()
		if !injector.sleepBetween(ctx, 200*time.Millisecond, 1500*time.Millisecond) {
			return
		}
	}
}

// write writes the configuration with its unused routes. The caller holds shared.mu.
func (shared *sharedConfiguration) write(store *standin.Store) {
	store.SetConfiguration(shared.withUnusedRoutes())
}

// withUnusedRoutes returns the configuration with its unused routes. The caller holds
// shared.mu.
func (shared *sharedConfiguration) withUnusedRoutes() catalog.Configuration {
	config := shared.config
	config.Routes = slices.Clone(config.Routes)
	split := []catalog.Weight{{Service: services[0], Weight: 1}, {Service: services[1], Weight: 1}}
	for n := range shared.unusedRoutes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(n >> 8), byte(n)}), 443)
		config.Routes = append(config.Routes, catalog.Route{Name: fmt.Sprintf("unused-route-of-another-service-%d", n), Address: address, Split: split})
	}
	return config
}
