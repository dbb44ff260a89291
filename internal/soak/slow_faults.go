package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// firstSlowSeed and lastSlowSeed are the first and the last seed with slowFaults only.
// Other seeds keep their schedules.
const (
	firstSlowSeed = 6000
	lastSlowSeed  = 6999
)

// slowPeriod is the time in which a slow instance runs and is stopped once, as the period
// of a processor quota.
const slowPeriod = 100 * time.Millisecond

// isSlowSeed returns whether the seed has slowFaults.
func isSlowSeed(seed uint64) bool { return seed >= firstSlowSeed && seed <= lastSlowSeed }

// slowFaults holds the kinds of faults that load instances, and those that make them probe
// upstreams meanwhile. None of them is a fault of an instance or of the store, so that all
// rules hold: an instance that is late must not take a serving upstream for ended.
var slowFaults = []fault{
	{"slow_instance", func(ctx context.Context, injector *faultInjector) { injector.slowInstances(ctx) }},
	{"slow_instance", func(ctx context.Context, injector *faultInjector) { injector.slowInstances(ctx) }},
	{"leave", func(ctx context.Context, injector *faultInjector) { injector.leaveInSteps(ctx) }},
	{"crash", func(ctx context.Context, injector *faultInjector) { injector.crashUpstream(ctx) }},
	{"lose", func(ctx context.Context, injector *faultInjector) { injector.losePackets(ctx) }},
	{"burst", func(ctx context.Context, injector *faultInjector) { injector.startBurst(ctx) }},
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
		stopped := slowPeriod * time.Duration(80+injector.rng.IntN(16)) / 100
		injector.log("%s is stopped for %s of every %s, for %s", instance.name, stopped, slowPeriod, span)
		rng := rand.New(rand.NewPCG(injector.rng.Uint64(), 1))
		running.Go(func() { instance.stopInTurns(ctx, stopped, rng) })
	}
	running.Wait()
}

// stopInTurns stops the process for a part of every slowPeriod until ctx ends. A process
// that may not handle signals yet goes on, since a stop would delay it further.
func (instance *instance) stopInTurns(ctx context.Context, stopped time.Duration, rng *rand.Rand) {
	wait := func(span time.Duration) {
		select {
		case <-time.After(span):
		case <-ctx.Done():
		}
	}
	wait(time.Duration(rng.Int64N(int64(slowPeriod))))
	for ctx.Err() == nil {
		instance.mu.Lock()
		started := time.Since(instance.startedAt) >= 2*signalHandlerDelay
		instance.mu.Unlock()
		if started {
			instance.sendSignal(syscall.SIGSTOP)
		}
		wait(stopped)
		instance.sendSignal(syscall.SIGCONT)
		wait(slowPeriod - stopped)
	}
}
