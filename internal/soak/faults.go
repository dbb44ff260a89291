package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/platform/standin"
)

// crashedListingTime is how long the store lists an upstream that has crashed, which
// stands for three missed reports of the upstream. Then its address is reused.
const crashedListingTime = 2300 * time.Millisecond

// reportInterval is the time between two reports of an upstream to the store.
const reportInterval = 1200 * time.Millisecond

// faultInjector injects faults by a seeded random schedule.
type faultInjector struct {
	fleet   *fleet
	checker *checker
	seed    uint64
	rng     *rand.Rand
	// lastNumber is the number of the last upstream that was added. Addresses and
	// tokens of new upstreams follow from it.
	lastNumber int
	// shared is the configuration, which all faults share.
	shared *sharedConfiguration
	log    func(format string, args ...any)
}

// sharedConfiguration is the last configuration that was written to the store.
type sharedConfiguration struct {
	mu     sync.Mutex
	config catalog.Configuration
	// unusedRoutes is the number of routes that are written beside those of config. No
	// caller uses them.
	unusedRoutes int
	// changedAt is when the configuration last changed.
	changedAt time.Time
}

// domains holds the failure domains of a run.
var domains = []string{"a", "b"}

// fault is one kind of fault. run injects it and returns when it has ended.
type fault struct {
	name string
	run  func(ctx context.Context, injector *faultInjector)
}

// faults holds all kinds of faults. Each has the same probability; one kind may be
// drawn several times in a row, and faults may overlap.
var faults = []fault{
	{"kill", func(ctx context.Context, injector *faultInjector) {
		injector.restartProcess(ctx, injector.randomInstance(), syscall.SIGKILL)
	}},
	{"terminate", func(ctx context.Context, injector *faultInjector) {
		injector.restartProcess(ctx, injector.randomInstance(), syscall.SIGTERM)
	}},
	{"pause", func(ctx context.Context, injector *faultInjector) { injector.pauseProcess(ctx) }},
	{"reload", func(_ context.Context, injector *faultInjector) { injector.randomInstance().reloadSettings() }},
	{"proxy", func(ctx context.Context, injector *faultInjector) { injector.disturbStoreConnection(ctx) }},
	{"store_down", func(ctx context.Context, injector *faultInjector) { injector.refuseStoreCalls(ctx) }},
	{"store_history", func(_ context.Context, injector *faultInjector) {
		defer injector.checker.beginFault(unplannedFault, partStore)()
		injector.fleet.store.DropHistory()
	}},
	{"store_restored", func(ctx context.Context, injector *faultInjector) { injector.restoreStore(ctx) }},
	{"crash", func(ctx context.Context, injector *faultInjector) { injector.crashUpstream(ctx) }},
	{"restart_same_id", func(ctx context.Context, injector *faultInjector) { injector.restartUpstream(ctx) }},
	{"drain", func(ctx context.Context, injector *faultInjector) { injector.drainUpstream(ctx) }},
	{"evacuate", func(ctx context.Context, injector *faultInjector) { injector.evacuateDomain(ctx) }},
	{"configure", func(_ context.Context, injector *faultInjector) { injector.toggleExtraRoute() }},
	{"rotate_keys", func(ctx context.Context, injector *faultInjector) { injector.rotateKeys(ctx) }},
	{"forge", func(_ context.Context, injector *faultInjector) { injector.sendForgedReports() }},
	{"corrupt_entry", func(_ context.Context, injector *faultInjector) {
		id := fmt.Sprintf("i-%x", 0xdead00+injector.rng.IntN(9))
		injector.fleet.store.SetRawUpstream(id, standin.InvalidSpecs[injector.rng.IntN(len(standin.InvalidSpecs))])
	}},
}

// randomInstance draws an instance.
func (injector *faultInjector) randomInstance() *instance {
	return injector.fleet.instances[injector.rng.IntN(len(injector.fleet.instances))]
}

// sleepBetween waits for a random time of at least shortest and less than longest. It
// returns false if ctx ends first.
func (injector *faultInjector) sleepBetween(ctx context.Context, shortest, longest time.Duration) bool {
	select {
	case <-time.After(shortest + time.Duration(injector.rng.Int64N(int64(longest-shortest)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// pauseProcess stops a process with SIGSTOP for 0.3 to 4 seconds.
func (injector *faultInjector) pauseProcess(ctx context.Context) {
	instance := injector.randomInstance()
	defer injector.checker.beginFault(unplannedFault, instance.address.String())()
	instance.sendSignal(syscall.SIGSTOP)
	injector.sleepBetween(ctx, 300*time.Millisecond, 4*time.Second)
	instance.sendSignal(syscall.SIGCONT)
}

// restartProcess ends the process of an instance with a signal and starts it again.
func (injector *faultInjector) restartProcess(ctx context.Context, instance *instance, signal syscall.Signal) {
	instance.restartMu.Lock()
	defer instance.restartMu.Unlock()
	kind := unplannedFault
	if signal == syscall.SIGTERM {
		kind = plannedStop
	}
	defer injector.checker.beginFault(kind, instance.address.String())()
	instance.stopProcess(signal)
	injector.sleepBetween(ctx, restartDelay, 2*restartDelay)
	if ctx.Err() != nil {
		return
	}
	if err := instance.startProcess(injector.fleet.binary); err != nil {
		injector.checker.recordViolation("cannot start instance %s again: %v", instance.name, err)
	}
}

// rotateKeys replaces the peer key in three steps, each on one instance after the
// other: add the new key, put it first, remove the old key. Other faults may overlap.
func (injector *faultInjector) rotateKeys(ctx context.Context) {
	injector.fleet.keyMu.Lock()
	defer injector.fleet.keyMu.Unlock()
	oldKey, nextKey := injector.fleet.peerKey, newKey(injector.rng)
	for _, keys := range [][]string{{oldKey, nextKey}, {nextKey, oldKey}, {nextKey}} {
		for n := range injector.fleet.instances {
			injector.replaceKeys(n, keys)
			if !injector.sleepBetween(ctx, 10*time.Millisecond, 100*time.Millisecond) {
				return
			}
		}
	}
	injector.fleet.peerKey = nextKey
}

// replaceKeys gives the instance with index n other peer keys.
func (injector *faultInjector) replaceKeys(n int, keys []string) {
	instance := injector.fleet.instances[n]
	if err := injector.fleet.writeSettings(n, instance, keys); err != nil {
		injector.checker.recordViolation("cannot write settings of instance %s: %v", instance.name, err)
	}
	instance.reloadSettings()
}

// sendForgedReports sends an instance two false reports of a silent upstream, one
// without a signature and one signed with a key that the instance does not know.
func (injector *faultInjector) sendForgedReports() {
	to := netip.AddrPortFrom(injector.randomInstance().address, peerPort)
	conn, err := net.Dial("udp4", to.String())
	if err != nil {
		injector.log("send forged reports: %v", err)
		return
	}
	defer func() { _ = conn.Close() }() // Datagrams are not buffered, so that closing loses none.
	foreignGuard := peerauth.NewAuthenticator([]peerauth.Key{{byte(injector.rng.Uint32())}})
	report := fmt.Sprintf(`{"from":{"name":"edge-x","domain":"a","address":%q},"silent":[{"id":"i-1","born":1}]}`, to)
	for _, message := range [][]byte{[]byte(report), foreignGuard.Seal(peerauth.Session(injector.rng.Uint64()), []byte(report))} {
		if _, err := conn.Write(message); err != nil {
			injector.log("send forged report: %v", err)
		}
	}
}

// disturbStoreConnection sets the proxy between one instance and the store to a random
// mode for 0.5 to 5 seconds.
func (injector *faultInjector) disturbStoreConnection(ctx context.Context) {
	instance, mode := injector.randomInstance(), Mode(1+injector.rng.IntN(4))
	injector.log("store proxy of %s set to mode %s", instance.name, mode)
	defer injector.checker.beginFault(unplannedFault, instance.address.String())()
	instance.proxy.setMode(mode)
	injector.sleepBetween(ctx, 500*time.Millisecond, 5*time.Second)
	instance.proxy.setMode(ModePass)
}

// refuseStoreCalls makes the store refuse all calls for 0.5 to 5 seconds.
func (injector *faultInjector) refuseStoreCalls(ctx context.Context) {
	defer injector.checker.beginFault(unplannedFault, partStore)()
	injector.fleet.store.RefuseCalls([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[injector.rng.IntN(2)])
	injector.sleepBetween(ctx, 500*time.Millisecond, 5*time.Second)
	injector.fleet.store.RefuseCalls(0)
}

// lagReplicas lets replicas of the store lag for 0.5 to 6 seconds, again and again until a
// time. All rules hold meanwhile, so that no fault is recorded.
func (injector *faultInjector) lagReplicas(ctx context.Context, end time.Time) {
	store := injector.fleet.store
	for time.Now().Before(end) && injector.sleepBetween(ctx, 500*time.Millisecond, 3*time.Second) {
		calls := standin.ReplicaCalls(injector.rng.IntN(2))
		injector.log("replicas lag for calls %d", calls)
		store.HoldReplicas(calls)
		injector.sleepBetween(ctx, 500*time.Millisecond, 6*time.Second)
		store.ReleaseReplicas()
	}
}

// restoreStore makes the store refuse calls for up to 2 seconds, restores it from a copy
// that is up to maxCopies intervals old, and lets operators and upstreams write again
// what was lost, each within 0.3 seconds. The entries of upstreams that have ended
// expire after crashedListingTime.
func (injector *faultInjector) restoreStore(ctx context.Context) {
	fleet := injector.fleet
	end := injector.checker.beginFault(unplannedFault, partStore)
	fleet.mu.Lock()
	backup := fleet.copies[injector.rng.IntN(len(fleet.copies))]
	fleet.mu.Unlock()
	fleet.store.RefuseCalls(http.StatusServiceUnavailable)
	injector.sleepBetween(ctx, time.Millisecond, 2*time.Second)
	fleet.store.Restore(backup)
	fleet.store.RefuseCalls(0)
	injector.log("store restored")
	injector.sleepBetween(ctx, time.Millisecond, 300*time.Millisecond)
	injector.writeAgain()
	end()
	if injector.sleepBetween(ctx, crashedListingTime, crashedListingTime+time.Millisecond) {
		running := fleet.runningIDs()
		for _, id := range fleet.store.UpstreamIDs() {
			if _, known := running[id]; !known {
				fleet.store.RemoveUpstream(id)
			}
		}
	}
}

// writeAgain writes what operators and running upstreams have in force to the store.
func (injector *faultInjector) writeAgain() {
	injector.shared.mu.Lock()
	injector.shared.write(injector.fleet.store)
	injector.shared.mu.Unlock()
	injector.checker.mu.Lock()
	for _, domain := range domains {
		_, evacuated := injector.checker.evacuatedAt[domain]
		injector.fleet.store.SetEvacuation(domain, evacuated)
	}
	injector.checker.mu.Unlock()
	for _, u := range injector.fleet.runningIDs() {
		injector.fleet.store.SetUpstream(u)
	}
}

// evacuateDomain evacuates a failure domain for 6 to 9 seconds.
func (injector *faultInjector) evacuateDomain(ctx context.Context) {
	domain := domains[injector.rng.IntN(len(domains))]
	injector.fleet.store.SetEvacuation(domain, true)
	injector.checker.mu.Lock()
	if _, known := injector.checker.evacuatedAt[domain]; !known {
		injector.checker.evacuatedAt[domain] = time.Now()
	}
	injector.checker.mu.Unlock()
	injector.sleepBetween(ctx, 6*time.Second, 9*time.Second)
	injector.checker.mu.Lock()
	delete(injector.checker.evacuatedAt, domain)
	injector.checker.mu.Unlock()
	injector.fleet.store.SetEvacuation(domain, false)
}

// toggleExtraRoute adds the route of extraAddress, or removes it if it exists. No
// caller before firstFlowSeed uses it. The configuration version grows by a random number from 1 to 5.
func (injector *faultInjector) toggleExtraRoute() {
	extra := catalog.Route{Name: "extra", Address: extraAddress, Split: []catalog.Weight{{Service: services[0], Weight: 1}}}
	injector.shared.mu.Lock()
	defer injector.shared.mu.Unlock()
	config := &injector.shared.config
	config.Version += 1 + uint64(injector.rng.IntN(5))
	present := len(config.Routes) > len(injector.fleet.addresses)
	if present {
		config.Routes = config.Routes[:len(injector.fleet.addresses)]
	} else {
		config.Routes = append(slices.Clone(config.Routes), extra)
	}
	injector.shared.changedAt = time.Now()
	injector.shared.write(injector.fleet.store)
	injector.checker.mu.Lock()
	defer injector.checker.mu.Unlock()
	if present {
		injector.checker.removedAt[extraAddress] = time.Now()
	} else {
		injector.checker.addedAt[extraAddress] = time.Now()
		delete(injector.checker.removedAt, extraAddress)
	}
}
