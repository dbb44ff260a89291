package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// firstFlowSeed is the first seed with flowFaults and flowCallers. Even seeds from there
// have none of faults, which excuse much. Lower seeds keep their schedules.
const firstFlowSeed = 5000

// flowFaults holds the kinds of faults that bear on open flows of sound upstreams. All but
// "behind" are no fault of an instance or of the store, so that all rules hold meanwhile.
var flowFaults = []fault{
	{"leave", func(ctx context.Context, injector *faultInjector) { injector.leaveInSteps(ctx) }},
	{"block_port", func(ctx context.Context, injector *faultInjector) { injector.blockPort(ctx) }},
	{"lapse", func(ctx context.Context, injector *faultInjector) { injector.lapseEntry(ctx) }},
	{"behind", func(ctx context.Context, injector *faultInjector) { injector.leaveBehind(ctx) }},
	{"rotate", func(ctx context.Context, injector *faultInjector) { injector.changeRotation(ctx) }},
	{"lose", func(ctx context.Context, injector *faultInjector) { injector.losePackets(ctx) }},
	{"readd_route", func(ctx context.Context, injector *faultInjector) { injector.readdRoute(ctx) }},
	{"rolling", func(ctx context.Context, injector *faultInjector) { injector.restartInTurn(ctx) }},
}

// flowCaller describes callers whose requests are not counted: each failure domain has one
// of each.
type flowCaller struct {
	service     netip.AddrPort
	maxPause    time.Duration
	maxRequests int
}

// flowCallers keep flows open for much longer than other callers, some of them idle for
// seconds, and use the route that comes and goes.
var flowCallers = []flowCaller{
	{serviceAddresses[0], 6 * time.Second, 60},
	{serviceAddresses[1], 6 * time.Second, 60},
	{serviceAddresses[0], 300 * time.Millisecond, 600},
	{serviceAddresses[1], 300 * time.Millisecond, 600},
	{extraAddress, 2 * time.Second, 60},
	{extraAddress, 200 * time.Millisecond, 60},
}

// startFlowCallers starts flowCallers, which run until ctx ends.
func (fleet *fleet) startFlowCallers(ctx context.Context, seed uint64, group *sync.WaitGroup) error {
	for n := range len(flowCallers) * len(domains) {
		kind := flowCallers[n/len(domains)]
		rng := rand.New(rand.NewPCG(seed, uint64(200+n)))
		address := fleet.loopbackAddress(groupCaller, 100+n)
		caller, err := fleet.newCaller(address, domains[n%len(domains)], kind.service, kind.maxPause, rng)
		if err != nil {
			return err
		}
		caller.maxRequests, caller.uncounted = kind.maxRequests, true
		group.Go(func() { caller.run(ctx) })
	}
	return nil
}

// leaveInSteps drains an upstream as drainUpstream does. The upstream then closes or
// blocks its port and its entry is removed, in either order within 1 second. Its flows go
// on for up to 1 second more.
func (injector *faultInjector) leaveInSteps(ctx context.Context) {
	u := injector.drawUpstream()
	if u == nil {
		return
	}
	injector.startDrain(u)
	if !injector.sleepBetween(ctx, 4*time.Second, 8*time.Second) {
		return
	}
	unblock := func() {}
	steps := []func(){
		func() {
			if injector.rng.IntN(2) == 0 {
				_ = u.port.Close() // Connection attempts are refused from now on.
				return
			}
			unblock = u.port.block()
		},
		func() {
			injector.forgetUpstream(u)
			injector.fleet.store.RemoveUpstream(u.ID)
		},
	}
	if injector.rng.IntN(2) == 0 {
		slices.Reverse(steps)
	}
	for _, step := range steps {
		step()
		if !injector.sleepBetween(ctx, time.Millisecond, time.Second) {
			break
		}
	}
	u.stop(ctx)
	unblock()
}

// blockPort blocks the port of an upstream that goes on, for 0.5 to 4 seconds.
func (injector *faultInjector) blockPort(ctx context.Context) {
	if u := injector.drawUpstream(); u != nil {
		defer u.port.block()()
		injector.sleepBetween(ctx, 500*time.Millisecond, 4*time.Second)
	}
}

// lapseEntry removes the entry of an upstream that goes on, for 0.2 to 4 seconds.
func (injector *faultInjector) lapseEntry(ctx context.Context) {
	u := injector.drawUpstream()
	if u == nil {
		return
	}
	injector.fleet.store.RemoveUpstream(u.ID)
	injector.sleepBetween(ctx, 200*time.Millisecond, 4*time.Second)
	if _, running := injector.fleet.runningIDs()[u.ID]; running {
		injector.report(u)
	}
}

// leaveBehind makes an instance lose the messages of the other instances, and with them
// half of the time the answers of the store, for 1 to 5 seconds. Half of the time the
// others lose its messages, too.
func (injector *faultInjector) leaveBehind(ctx context.Context) {
	fleet := injector.fleet
	fleet.keyMu.Lock()
	defer fleet.keyMu.Unlock()
	n := injector.rng.IntN(len(fleet.instances))
	instance, foreign := fleet.instances[n], newKey(injector.rng)
	defer injector.checker.beginFault(unplannedFault, instance.address.String())()
	// The first key signs, all keys verify.
	keys := [][]string{{foreign}, {foreign, fleet.peerKey}}[injector.rng.IntN(2)]
	if injector.rng.IntN(2) == 0 {
		instance.proxy.setMode(ModeSilence)
		defer instance.proxy.setMode(ModePass)
	}
	injector.replaceKeys(n, keys)
	injector.sleepBetween(ctx, time.Second, 5*time.Second)
	injector.replaceKeys(n, []string{fleet.peerKey})
}

// changeRotation takes one or all instances of a failure domain out of rotation for 0.3 to
// 3 seconds, as after lost readiness probes. Packets then reach the other instance, or
// those of the other failure domain.
func (injector *faultInjector) changeRotation(ctx context.Context) {
	first := injector.randomInstance()
	var out []*instance
	all := injector.rng.IntN(3) == 0
	for _, instance := range injector.fleet.instances {
		if instance == first || (all && instance.domain == first.domain) {
			out = append(out, instance)
		}
	}
	for _, instance := range out {
		instance.takenOut.Add(1)
	}
	injector.sleepBetween(ctx, 300*time.Millisecond, 3*time.Second)
	for _, instance := range out {
		instance.takenOut.Add(-1)
	}
}

// losePackets loses a fifth of the packets of the callers of all failure domains for 1 to
// 3 seconds.
func (injector *faultInjector) losePackets(ctx context.Context) {
	injector.fleet.losing.Add(1)
	injector.sleepBetween(ctx, time.Second, 3*time.Second)
	injector.fleet.losing.Add(-1)
}

// readdRoute toggles the route of extraAddress up to four times, 0.05 to 1 second apart.
func (injector *faultInjector) readdRoute(ctx context.Context) {
	for range 2 + injector.rng.IntN(3) {
		injector.toggleExtraRoute()
		if !injector.sleepBetween(ctx, 50*time.Millisecond, time.Second) {
			return
		}
	}
}

// restartInTurn stops and starts each instance with SIGTERM, one after the other. Half of
// them get SIGHUP first.
func (injector *faultInjector) restartInTurn(ctx context.Context) {
	for _, instance := range injector.fleet.instances {
		if injector.rng.IntN(2) == 0 {
			instance.reloadSettings()
		}
		injector.restartProcess(ctx, instance, syscall.SIGTERM)
		if !injector.sleepBetween(ctx, 200*time.Millisecond, 1500*time.Millisecond) {
			return
		}
	}
}
