package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/catalog"
)

const (
	// watchTimeout is the time after which the store answers a watch without a
	// change. It bounds the time for which a silent connection stays undetected.
	watchTimeout = 1500 * time.Millisecond
	// staleAfter is the age of the last confirmation of a kind from which an
	// instance calls the store itself: a watching peer confirms the kind at
	// least every 1.5 s, and the users' tightest bound is 3 s.
	staleAfter = 2200 * time.Millisecond
	// retryMin and retryMax bound the mean backoff after a failed call. It is
	// short against the users' bound of 3 s and allows at most four calls a
	// second for each kind.
	retryMin = 150 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// peerUpdateQueue is the number of updates of one kind from peers that may be
	// queued. An update that finds the queue full is dropped; the base revision
	// of the next one shows the gap.
	peerUpdateQueue = 16
)

// Event is an event for the catalog and the age of its data.
type Event struct {
	Event catalog.Event
	// Age is the time since the store confirmed the data when the event was
	// emitted; 0 for data from the store or a peer's update.
	Age time.Duration
}

// Follower keeps all kinds up to date, each in a goroutine of its own.
type Follower struct {
	events chan<- Event
	kinds  []*kindFollower
}

// New returns a Follower that sends to events. Run starts it.
func New(store Store, peers Peers, events chan<- Event) *Follower {
	f := &Follower{events: events}
	for _, kind := range catalog.Kinds() {
		f.kinds = append(f.kinds, &kindFollower{
			kind: kind, store: store, peers: peers, events: events, peerUpdates: make(chan Update, peerUpdateQueue), now: time.Now,
		})
	}
	return f
}

// Run keeps all kinds up to date until ctx ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range f.kinds {
		group.Go(func() error { kind.run(ctx); return nil })
	}
	return group.Wait()
}

// Passed queues an update from a peer. It never blocks: the update is dropped when
// the queue of its kind is full.
func (f *Follower) Passed(update Update) {
	for _, kind := range f.kinds {
		if kind.kind != update.Kind {
			continue
		}
		select {
		case kind.peerUpdates <- update:
		default:
		}
	}
}

// kindFollower keeps one kind up to date. The goroutine of run owns its state;
// only peerUpdates is used by others.
type kindFollower struct {
	kind   catalog.Kind
	store  Store
	peers  Peers
	events chan<- Event
	// peerUpdates queues the updates from peers.
	peerUpdates chan Update
	now         func() time.Time

	// listed is set from a successful list of the store until the store has lost
	// the history since the revision.
	listed bool
	// peerStateFetched is set once the state was fetched from another instance.
	peerStateFetched bool
	// revision is the store's revision of the state; 0 before the first list or
	// fetched state.
	revision uint64
	// confirmed is the time at which the store last confirmed the revision, to
	// this instance or to a peer.
	confirmed time.Time
	// failures counts the failed calls since the last successful watch.
	failures int
}

// run lists the kind and then watches the store or waits for updates from peers,
// until ctx ends.
func (f *kindFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		switch {
		case !f.listed:
			err = f.list(ctx)
		case f.peers.OnDuty(f.now(), f.kind) || f.now().Sub(f.confirmed) >= staleAfter:
			err = f.watch(ctx, watchTimeout)
		default:
			err = f.awaitUpdate(ctx)
		}
		if err != nil && ctx.Err() == nil {
			f.backOff(ctx, err)
		}
	}
}

// list reads the whole kind. After an even number of failures, 0 included, a replica
// may answer: the watch that follows returns the changes that the replica lacks.
// When the call fails, list tries to fetch the state from another instance; it
// fails with the error of the store all the same.
func (f *kindFollower) list(ctx context.Context) error {
	update, err := f.store.List(ctx, f.kind, f.failures%2 == 0)
	if err != nil {
		f.fetchPeerState(ctx)
		return err
	}
	f.listed = true
	f.apply(ctx, update, 0)
	f.peers.SendUpdate(Update{Kind: f.kind, Base: f.revision, Revision: f.revision})
	return nil
}

// fetchPeerState applies the state of another instance, once and only while no
// revision is known.
func (f *kindFollower) fetchPeerState(ctx context.Context) {
	if f.peerStateFetched || f.revision > 0 {
		return
	}
	update, age, err := f.peers.FetchState(ctx, f.kind)
	if err != nil {
		f.emit(ctx, catalog.PeerStateUnavailable{Kind: f.kind, Err: err}, 0)
		return
	}
	f.peerStateFetched = true
	f.apply(ctx, update, age)
}

// watch waits for changes in the store, at most the time wait, applies them and
// sends them to the peers. It also applies the updates from peers that arrive
// meanwhile, so that a silent connection to the store does not delay this
// instance. It fails with the error of the watch.
func (f *kindFollower) watch(ctx context.Context, wait time.Duration) error {
	type result struct {
		update Update
		err    error
	}
	results := make(chan result, 1)
	revision := f.revision
	go func() {
		update, err := f.store.Watch(ctx, f.kind, revision, wait)
		results <- result{update, err}
	}()
	for {
		select {
		case r := <-results:
			if r.err != nil {
				return r.err
			}
			f.failures = 0
			if r.update.Revision < f.revision {
				// A peer's newer update has arrived first.
				return nil
			}
			f.apply(ctx, r.update, 0)
			f.peers.SendUpdate(r.update)
			return nil
		case update := <-f.peerUpdates:
			if update.Base <= f.revision {
				f.apply(ctx, update, 0)
			}
		}
	}
}

// awaitUpdate waits for an update from a peer and applies it, until the state is
// older than staleAfter. When the update's base shows a gap, the changes are read
// from the store.
func (f *kindFollower) awaitUpdate(ctx context.Context) error {
	timer := time.NewTimer(staleAfter - f.now().Sub(f.confirmed))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return nil
	case update := <-f.peerUpdates:
		if update.Base > f.revision {
			return f.watch(ctx, 0)
		}
		f.apply(ctx, update, 0)
		return nil
	}
}

// apply emits the events of an update, unless its revision is older than the state,
// and then a confirmation. The update's data was confirmed by the store the time
// age ago.
func (f *kindFollower) apply(ctx context.Context, update Update, age time.Duration) {
	f.confirmed = f.now().Add(-age)
	if update.Revision >= f.revision {
		for _, event := range update.Events {
			f.emit(ctx, event, age)
		}
	}
	f.revision = max(f.revision, update.Revision)
	f.emit(ctx, catalog.Confirmed{Kind: f.kind, Revision: f.revision}, age)
}

// backOff records and emits a failed call and then waits. The backoff is random,
// with a mean that grows with the failures up to retryMax, so that instances that
// lost the store at the same time do not all call it again at the same time.
// Updates from peers are applied meanwhile once the kind is listed.
func (f *kindFollower) backOff(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryGone) {
		f.listed = false
	}
	f.failures++
	f.emit(ctx, catalog.Unavailable{Kind: f.kind, Err: err}, 0)
	limit := min(retryMin<<min(f.failures-1, 4), retryMax)
	timer := time.NewTimer(limit/2 + time.Duration(rand.Int64N(int64(limit))))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case update := <-f.peerUpdates:
			if update.Base <= f.revision && f.listed {
				f.apply(ctx, update, 0)
			}
		}
	}
}

func (f *kindFollower) emit(ctx context.Context, event catalog.Event, age time.Duration) {
	select {
	case f.events <- Event{Event: event, Age: age}:
	case <-ctx.Done():
	}
}
