package catalogsync

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

var restoreSeeds = flag.Int("restore-seeds", 25, "number of schedules of TestRestoredStoreSchedules")

const (
	// changeBound is the users' bound for a change that the store has confirmed.
	changeBound = 3 * time.Second
	// stableAfter is the time without a disturbance after which the bound holds.
	stableAfter = 4 * time.Second
)

// simDomains are the failure domains that are evacuated.
var simDomains = []string{"a", "b", "c"}

// simulation is one schedule of changes, restarts, cuts and restorations.
type simulation struct {
	fleet *simFleet
	store *simStore
	rng   *rand.Rand
	ctx   context.Context

	config    catalog.Configuration
	running   map[string]catalog.Upstream
	evacuated map[string]bool
	added     int
	// disturbedUntil is the end of the last disturbance of the store.
	disturbedUntil time.Time
	problems       []string
}

// change makes one random change, as the operators and the upstreams do. Nothing is
// written while the store is down.
func (s *simulation) change() {
	switch s.rng.IntN(6) {
	case 0, 1:
		s.config.Version += 1 + uint64(s.rng.IntN(4))
		s.store.setConfig(s.config)
		s.expectVersion(s.config.Version)
	case 2, 3:
		s.added++
		u := simUpstream(s.added, simDomains[s.rng.IntN(len(simDomains))])
		s.running[u.ID] = u
		s.store.setUpstream(u)
	case 4:
		for id, u := range s.running {
			if u.Draining {
				delete(s.running, id)
				s.store.removeUpstream(id)
			} else {
				u.Draining = true
				s.running[id] = u
				s.store.setUpstream(u)
			}
			return
		}
	case 5:
		domain := simDomains[s.rng.IntN(len(simDomains))]
		s.evacuated[domain] = !s.evacuated[domain]
		s.store.setEvacuated(domain, s.evacuated[domain])
	}
}

// expectVersion checks after changeBound that the version is in force on every instance
// that was not disturbed, unless the store was.
func (s *simulation) expectVersion(expected uint64) {
	written := time.Now()
	s.fleet.mu.Lock()
	disturbedUntil := s.disturbedUntil
	s.fleet.mu.Unlock()
	if written.Sub(disturbedUntil) < stableAfter {
		return
	}
	go func() {
		time.Sleep(changeBound)
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		if s.disturbedUntil.After(written) {
			return
		}
		for _, instance := range s.fleet.instances {
			if written.Sub(instance.undisturbedSince) < stableAfter || instance.withoutEras {
				continue
			}
			if snapshot := instance.published(); snapshot == nil || snapshot.Version < expected {
				s.problems = append(s.problems, fmt.Sprintf("%s: version %d is not in force in time", instance.name, expected))
			}
		}
	}()
}

// disturbStore records a disturbance of the store until a time.
func (s *simulation) disturbStore(until time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if until.After(s.disturbedUntil) {
		s.disturbedUntil = until
	}
}

// restore takes the store away, restores it from a copy, and lets operators and
// upstreams write again what was lost, each after up to a second. Entries of upstreams
// that ended expire.
func (s *simulation) restore() {
	away, age := time.Duration(s.rng.IntN(3000))*time.Millisecond, time.Duration(s.rng.IntN(9000))*time.Millisecond
	from := time.Now().Add(-age)
	s.disturbStore(time.Now().Add(away + 3*time.Second))
	s.store.set(func(store *simStore) { store.down = true })
	time.Sleep(away)
	s.store.restore(from)
	s.store.set(func(store *simStore) { store.down = false })
	later := func(limit int, write func()) {
		time.Sleep(time.Duration(s.rng.IntN(limit)) * time.Millisecond)
		write()
	}
	restored := s.store.truth()
	if restored.config == nil || restored.config.Version != s.config.Version {
		later(400, func() { s.store.setConfig(s.config) })
	}
	for _, domain := range simDomains {
		if restored.evacuated[domain] != s.evacuated[domain] {
			later(200, func() { s.store.setEvacuated(domain, s.evacuated[domain]) })
		}
	}
	for id, u := range s.running {
		if known := restored.upstreams[id]; known.ID == "" || known.Draining != u.Draining {
			later(60, func() { s.store.setUpstream(u) })
		}
	}
	var ended []string
	for id := range restored.upstreams {
		if _, runs := s.running[id]; !runs {
			ended = append(ended, id)
		}
	}
	if len(ended) > 0 {
		time.Sleep(2300 * time.Millisecond)
		for _, id := range ended {
			s.store.removeUpstream(id)
		}
	}
	s.disturbStore(time.Now())
}

// disturb disturbs one instance or the messages between them.
func (s *simulation) disturb(mixed bool) {
	number := s.rng.IntN(len(s.fleet.instances))
	switch s.rng.IntN(3) {
	case 0:
		s.fleet.start(s.ctx, number, mixed && s.rng.IntN(2) == 0)
	case 1:
		name := fmt.Sprintf("edge-%d", number)
		s.store.set(func(store *simStore) { store.cut[name] = true })
		span := time.Duration(500+s.rng.IntN(4000)) * time.Millisecond
		s.fleet.mu.Lock()
		s.fleet.instances[number].undisturbedSince = time.Now().Add(span)
		s.fleet.mu.Unlock()
		time.AfterFunc(span, func() { s.store.set(func(store *simStore) { delete(store.cut, name) }) })
	case 2:
		s.fleet.mu.Lock()
		s.fleet.loss = s.rng.Float64() * 0.5
		s.fleet.mu.Unlock()
	}
}

// run runs a schedule for a time of about 40 s and returns what was wrong.
func (s *simulation) run(instances int, mixed bool) []string {
	for n := range instances {
		s.fleet.start(s.ctx, n, mixed && n == 0)
	}
	for began := time.Now(); time.Since(began) < 40*time.Second; {
		time.Sleep(time.Duration(50+s.rng.IntN(1200)) * time.Millisecond)
		switch draw := s.rng.IntN(20); {
		case draw == 0:
			s.restore()
		case draw < 4:
			s.disturb(mixed)
		case draw < 5:
			// Lagging replicas are no disturbance: the bound holds meanwhile.
			lag, span := time.Duration(s.rng.IntN(6000))*time.Millisecond, time.Duration(s.rng.IntN(8000))*time.Millisecond
			s.store.set(func(store *simStore) { store.lag = lag })
			time.AfterFunc(span, func() { s.store.set(func(store *simStore) { store.lag = 0 }) })
		case draw < 6:
			s.store.set(func(store *simStore) { store.dropped = store.current().revision })
		default:
			s.change()
		}
	}
	s.restore()
	s.store.set(func(store *simStore) { store.cut = map[string]bool{} })
	time.Sleep(8 * time.Second)
	return s.finalProblems()
}

// finalProblems returns all problems, after comparing each instance with the store a
// while after the last change.
func (s *simulation) finalProblems() (problems []string) {
	truth := s.store.truth()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	problems = s.problems
	for _, instance := range s.fleet.instances {
		instance.mu.Lock()
		problems = append(problems, instance.problems...)
		instance.mu.Unlock()
		if instance.withoutEras {
			continue
		}
		if err := compare(truth, instance.published()); err != nil {
			problems = append(problems, fmt.Sprintf("%s: %v", instance.name, err))
		}
	}
	return problems
}

// compare returns how a snapshot differs from the content of the store.
func compare(truth *simState, snapshot *catalog.Snapshot) error {
	if snapshot == nil {
		return errors.New("has no state")
	}
	if snapshot.Version != truth.config.Version {
		return fmt.Errorf("version %d in force, not %d", snapshot.Version, truth.config.Version)
	}
	var expected, listed []string
	for id, u := range truth.upstreams {
		if !u.Draining && !truth.evacuated[u.FailureDomain] {
			expected = append(expected, id)
		}
	}
	for _, entry := range snapshot.Service("s").Entries {
		listed = append(listed, entry.ID)
	}
	slices.Sort(expected)
	if !slices.Equal(expected, listed) {
		return fmt.Errorf("new flows go to %v, not to %v", listed, expected)
	}
	return nil
}

// newSimulation returns a simulation with the configuration in the store.
func newSimulation(ctx context.Context, seed uint64, ignoresEras bool) *simulation {
	s := &simulation{
		store: newSimStore(), rng: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, running: map[string]catalog.Upstream{}, evacuated: map[string]bool{},
		config: catalog.Configuration{Version: 1, Services: []catalog.Service{{Name: "s"}}},
	}
	s.fleet = &simFleet{ignoresEras: ignoresEras, store: s.store, rng: rand.New(rand.NewPCG(seed, 2))}
	s.store.setConfig(s.config)
	return s
}

// Guards against a confirmed change that is not in force in time, comes back older or
// differs from the store for good on some instance, after the store was restored from
// a copy any number of times, while instances restart, are cut off and lose messages.
func TestRestoredStoreSchedules(t *testing.T) {
	for seed := range *restoreSeeds {
		for _, mixed := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed=%d/mixed=%t", seed, mixed), func(t *testing.T) {
				require.Empty(t, runSchedule(t, uint64(seed), mixed, false))
			})
		}
	}
}

// Guards against checks of TestRestoredStoreSchedules that find nothing: they must
// reject instances that compare revisions of different eras.
func TestChecksRejectInstancesThatIgnoreEras(t *testing.T) {
	var problems []string
	for seed := range uint64(25) {
		problems = append(problems, runSchedule(t, seed, false, true)...)
	}
	require.NotEmpty(t, problems)
}

// runSchedule runs a schedule in virtual time and returns what was wrong.
func runSchedule(t *testing.T, seed uint64, mixed, ignoresEras bool) (problems []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		problems = newSimulation(ctx, seed, ignoresEras).run(2+int(seed%4), mixed)
		cancel()
		time.Sleep(changeBound) // Calls and checks that still run end.
		synctest.Wait()
	})
	return problems
}
