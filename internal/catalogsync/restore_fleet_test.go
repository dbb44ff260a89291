package catalogsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// simInstance is one instance: a Syncer, its catalog, and what the checks remember.
type simInstance struct {
	fleet  *simFleet
	name   string
	syncer *Syncer
	stop   context.CancelFunc
	// withoutEras is set for an instance of a version without eras in its messages.
	withoutEras bool
	started     time.Time
	// undisturbedSince is the time of the last start, or of the last cut's end; under
	// the fleet's lock.
	undisturbedSince time.Time

	mu       sync.Mutex
	snapshot *catalog.Snapshot
	// version is the highest configuration version that was in force, drained the
	// upstreams that were known to be draining.
	version  uint64
	drained  map[string]bool
	problems []string
}

// simFleet is a failure domain of instances in virtual time.
type simFleet struct {
	store *simStore
	rng   *rand.Rand
	// ignoresEras makes all instances take the store for one without eras.
	ignoresEras bool
	// loss is the probability that a message between instances is lost. An instance that
	// started less than meetAfter ago gets none, because the others do not know it yet.
	loss      float64
	meetAfter time.Duration
	// late is how much later messages to an instance arrive, by its name.
	late map[string]time.Duration

	mu        sync.Mutex
	instances []*simInstance
}

func (f *simFleet) others(name string) (others []*simInstance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, instance := range f.instances {
		if instance.name != name {
			others = append(others, instance)
		}
	}
	return others
}

// loses draws whether a message is lost.
func (f *simFleet) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.loss
}

// start starts an instance in the place of the one with its number, if there is one.
func (f *simFleet) start(ctx context.Context, number int, withoutEras bool) {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	instance := &simInstance{
		fleet: f, name: fmt.Sprintf("edge-%d", number), stop: cancel, withoutEras: withoutEras,
		started: now, undisturbedSince: now, drained: map[string]bool{},
	}
	events := make(chan Event)
	instance.syncer = New(simClient{f.store, instance.name, f.ignoresEras}, instance, events)
	f.mu.Lock()
	if number < len(f.instances) {
		f.instances[number].stop()
		f.instances[number] = instance
	} else {
		f.instances = append(f.instances, instance)
	}
	f.mu.Unlock()
	go func() { _ = instance.syncer.Run(ctx) }() // Run returns nil.
	go instance.control(ctx, events)
}

// control applies events to the catalog and publishes snapshots.
func (instance *simInstance) control(ctx context.Context, events <-chan Event) {
	c := catalog.New()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-events:
			c.Apply(time.Now().Add(-event.Age), event.Event)
			if snapshot, changed := c.Snapshot(time.Now()); changed {
				instance.check(snapshot)
			}
		}
	}
}

// check publishes a snapshot and records what it takes back: a newer configuration, or
// the drain of an upstream.
func (instance *simInstance) check(snapshot *catalog.Snapshot) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.snapshot = snapshot
	if snapshot.Version < instance.version {
		instance.problems = append(instance.problems, fmt.Sprintf("version %d after %d", snapshot.Version, instance.version))
	}
	instance.version = max(instance.version, snapshot.Version)
	for _, entry := range snapshot.All() {
		if entry.Draining {
			instance.drained[entry.ID] = true
		}
		if instance.drained[entry.ID] && entry.Listed() && !entry.Draining {
			instance.problems = append(instance.problems, fmt.Sprintf("%s no longer drains", entry.ID))
		}
	}
}

func (instance *simInstance) published() *catalog.Snapshot {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	return instance.snapshot
}

// IsWatcher implements Peers: the first two instances watch.
func (instance *simInstance) IsWatcher(time.Time, catalog.Kind) bool {
	return instance.name == "edge-0" || instance.name == "edge-1"
}

// SendUpdate implements Peers.
func (instance *simInstance) SendUpdate(update Update) {
	for _, other := range instance.fleet.others(instance.name) {
		if instance.fleet.loses() || time.Since(other.started) < instance.fleet.meetAfter {
			continue
		}
		sent := update
		if instance.withoutEras || other.withoutEras {
			// Earlier versions know neither eras nor checks.
			sent.Era, sent.Current = 0, false
		}
		time.AfterFunc(time.Millisecond+instance.fleet.late[other.name], func() { other.syncer.QueueUpdate(sent) })
	}
}

// FetchState implements Peers: it returns the state of an instance that holds a later
// position.
func (instance *simInstance) FetchState(ctx context.Context, kind catalog.Kind, newerThan catalog.Position) (PeerState, error) {
	for {
		for _, other := range instance.fleet.others(instance.name) {
			snapshot := other.published()
			if snapshot == nil || snapshot.Confirmed[kind].IsZero() || snapshot.Position(kind).Compare(newerThan) <= 0 {
				continue
			}
			state := PeerState{
				Update: Update{Kind: kind, Era: snapshot.Eras[kind], Revision: snapshot.Revisions[kind]},
				Age:    time.Since(snapshot.Confirmed[kind]), Source: other.name,
			}
			if instance.withoutEras || other.withoutEras {
				state.Update.Era = 0
			}
			if event := snapshot.StateEvent(kind); event != nil {
				state.Update.Events = []catalog.Event{event}
			}
			return state, nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return PeerState{}, ctx.Err()
		}
	}
}
