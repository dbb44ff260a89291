package catalogsync

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/forward"
)

// flowSimulation sends packets of open flows to all instances of a simulation. All upstreams
// serve from their first entry to the end.
type flowSimulation struct {
	*simulation
	engines map[*simInstance]*forward.Engine
	serving []catalog.Upstream
	// route is the only one; it is in the configuration if routed is set.
	route  netip.AddrPort
	routed bool
	resets map[forward.Reason]int
}

// engineOf returns the engine of an instance with its last snapshot; nil before the first.
func (s *flowSimulation) engineOf(instance *simInstance) *forward.Engine {
	snapshot := instance.published()
	if snapshot == nil || !snapshot.Ready() {
		return nil
	}
	engine := s.engines[instance]
	if engine == nil {
		engine = forward.New(forward.Config{FailureDomain: "a", MaxFlows: 10_000})
		s.engines[instance] = engine
	}
	engine.SetSnapshot(snapshot)
	return engine
}

// step makes a random change: an upstream starts, the route is removed or added, the replicas
// lag, messages are lost, an instance does not reach the store, or one restarts.
func (s *flowSimulation) step() {
	number := s.rng.IntN(len(s.fleet.instances))
	switch s.rng.IntN(200) {
	case 0, 1, 2:
		s.added++
		u := simUpstream(s.added, "a")
		s.serving = append(s.serving, u)
		s.store.setUpstream(u)
	case 3, 4:
		s.configure(!s.routed)
	case 5:
		lag := time.Duration(s.rng.IntN(6000)) * time.Millisecond
		s.store.set(func(store *simStore) { store.lag = lag })
	case 6:
		s.fleet.mu.Lock()
		s.fleet.loss = s.rng.Float64()
		s.fleet.mu.Unlock()
	case 7:
		name := fmt.Sprintf("edge-%d", number)
		s.store.set(func(store *simStore) { store.cut[name] = !store.cut[name] })
	case 8:
		s.fleet.start(s.ctx, number, false)
	}
}

func (s *flowSimulation) configure(routed bool) {
	s.routed = routed
	s.config.Version++
	s.config.Routes = nil
	if routed {
		s.config.Routes = []catalog.Route{{Name: "r", Address: s.route, Split: []catalog.Weight{{Service: "s", Weight: 1}}}}
	}
	s.store.setConfig(s.config)
}

// requestChecks passes the checks of the store that an engine wants to the instance's syncer.
func (instance *simInstance) requestChecks(engine *forward.Engine) {
	for _, kind := range engine.TakeChecks() {
		instance.syncer.RequestCheck(kind)
	}
}

// sendAll sends each instance a packet of a flow to each upstream to which another one may
// have opened a flow, under the latest configuration.
func (s *flowSimulation) sendAll() {
	if !s.routed {
		return
	}
	for n, u := range s.serving {
		cookie := flowcookie.Of(u.ID, u.Born)
		opens := func(instance *simInstance) bool {
			snapshot := instance.published()
			return snapshot != nil && snapshot.Version == s.config.Version && snapshot.Resolve(cookie) != nil
		}
		opened := false
		for _, instance := range s.fleet.instances {
			opened = opened || opens(instance)
		}
		for _, instance := range s.fleet.instances {
			engine := s.engineOf(instance)
			if !opened || engine == nil {
				continue
			}
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), uint16(1024+s.config.Version))
			decision := engine.Decide(time.Now(), &forward.Packet{Flow: forward.Flow{Caller: caller, Service: s.route}, Cookie: cookie, Seq: 1, Ack: 1})
			if decision.Action == forward.Reset {
				s.resets[decision.Reason]++
			}
			for _, probe := range engine.TakeProbes() {
				engine.HandleProbeResult(time.Now(), evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeAlive, Trigger: probe.Trigger, Started: time.Now()})
			}
			instance.requestChecks(engine)
		}
	}
}

// runFlows returns the resets of open flows in a random schedule, by their reasons.
func runFlows(t *testing.T, seed uint64, late map[string]time.Duration) (resets map[forward.Reason]int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &flowSimulation{
			simulation: newSimulation(ctx, seed, false), engines: map[*simInstance]*forward.Engine{},
			route: netip.MustParseAddrPort("198.18.0.1:443"), resets: map[forward.Reason]int{},
		}
		s.fleet.late = late
		s.configure(true)
		for n := range 5 {
			s.fleet.start(ctx, n, false)
		}
		for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(20 * time.Millisecond) {
			s.step()
			s.sendAll()
		}
		resets = s.resets
		cancel()
		time.Sleep(changeBound)
		synctest.Wait()
	})
	return resets
}

// Guards against resets by an instance of open flows to upstreams, or on routes, that
// another instance has read and this one has not: replicas lag, messages are lost, and
// instances are turned away by the store or restart.
func TestFlowsOpenedByInstancesThatAreAheadAreNotReset(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { require.Empty(t, runFlows(t, seed, nil)) })
	}
}

// Guards against resets of open flows by an instance that the messages of the others reach
// late: the time at which a confirmation arrives is not that at which the store was asked.
func TestLateConfirmationsResetNoFlows(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			require.Empty(t, runFlows(t, seed, map[string]time.Duration{"edge-3": 1500 * time.Millisecond}))
		})
	}
}

// Guards against flows without a route or an upstream that wait for long, and against checks of
// the store by each instance for each of them.
func TestUnplacedFlowsAreResetAfterFewChecks(t *testing.T) {
	late := map[string]time.Duration{"edge-3": 1500 * time.Millisecond}
	for name, tc := range map[string]struct {
		every  int
		late   map[string]time.Duration
		checks int
	}{
		"rare flows":    {1000, nil, 60},
		"many flows":    {20, nil, (5*2 + 3) * (int(20*time.Second/checkInterval) + 1)}, // Of 5 instances that check two kinds, and the regular ones.
		"late messages": {20, late, (5*2 + 3) * (int(20*time.Second/checkInterval) + 1)},
	} {
		t.Run(name, func(t *testing.T) {
			waits, checks := unplacedFlowWaits(t, tc.every, tc.late)
			slices.Sort(waits)
			t.Logf("reset after %s in the median, at most %s; %d checks in 20 s", waits[len(waits)/2], waits[len(waits)-1], checks)
			require.LessOrEqual(t, waits[len(waits)-1], checkInterval+requestSpread+100*time.Millisecond)
			require.LessOrEqual(t, checks, tc.checks)
		})
	}
}

// unplacedFlowWaits returns the times from the first packets of unplaced flows to their resets,
// and the number of checks of the store in the 20 s in which flows of a removed route and with
// an unknown cookie arrive at random times at all instances, at each one on average after
// every times 10 ms.
func unplacedFlowWaits(t *testing.T, every int, late map[string]time.Duration) (waits []time.Duration, checks int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &flowSimulation{simulation: newSimulation(ctx, 1, false), engines: map[*simInstance]*forward.Engine{}, route: netip.MustParseAddrPort("198.18.0.1:443")}
		s.fleet.late = late
		s.configure(true)
		for n := range 5 {
			s.fleet.start(ctx, n, false)
		}
		time.Sleep(10 * time.Second)
		s.configure(false)
		time.Sleep(changeBound)
		s.store.takeChecks()
		first := map[*simInstance]map[forward.Flow]time.Time{}
		for began, n := time.Now(), 0; time.Since(began) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
			for _, instance := range s.fleet.instances {
				engine := s.engineOf(instance)
				if first[instance] == nil {
					first[instance] = map[forward.Flow]time.Time{}
				}
				if n++; s.rng.IntN(every) == 0 && time.Since(began) < 17*time.Second {
					service := s.route
					if n%2 == 0 {
						service = netip.MustParseAddrPort("198.18.0.2:443")
					}
					flow := forward.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(1024+n%256)), Service: service}
					first[instance][flow] = time.Now()
				}
				for flow, at := range first[instance] {
					if engine.Decide(time.Now(), &forward.Packet{Flow: flow, Cookie: 12345, Seq: 1, Ack: 1}).Action == forward.Reset {
						waits = append(waits, time.Since(at))
						delete(first[instance], flow)
					}
				}
				instance.requestChecks(engine)
			}
		}
		for _, flows := range first {
			require.Empty(t, flows, "not reset")
		}
		checks = s.store.takeChecks()
		cancel()
		time.Sleep(changeBound)
		synctest.Wait()
	})
	return waits, checks
}
