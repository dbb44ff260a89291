package catalogsync

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
	// changePause is the time between a watch that returned changes and the next one.
	// Changes that follow each other, as in a release, then take one call and one message
	// to each peer. It is short against the users' tightest bound for changes, 3 s.
	changePause = 200 * time.Millisecond
	// staleAfter is the age of the last confirmation of a kind from which an
	// instance calls the store itself: a watching peer confirms the kind at
	// least every 1.5 s, and the users' tightest bound is 3 s.
	staleAfter = 2200 * time.Millisecond
	// retryMin and retryMax bound the mean backoff after a failed call. It is
	// short against the users' bound of 3 s and allows at most four calls a
	// second for each kind.
	retryMin = 150 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// peerStateDelay is how long a starting instance waits for the store before it
	// fetches another instance's state, unless the store fails at once. In a mass
	// restart with the store within reach, the instances then do not transfer the state
	// between each other. The store answers in 20 to 80 ms at a start.
	peerStateDelay = 100 * time.Millisecond
	// peerStateInterval is the time after which an instance that the store does not
	// answer looks for a newer state of another instance.
	peerStateInterval = time.Second
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

// Syncer keeps all kinds up to date, each in a goroutine of its own.
type Syncer struct {
	events chan<- Event
	kinds  []*kindSyncer
}

// New returns a Syncer that sends to events. Run starts it.
func New(store Store, peers Peers, events chan<- Event) *Syncer {
	s := &Syncer{events: events}
	for _, kind := range catalog.Kinds() {
		s.kinds = append(s.kinds, newKindSyncer(kind, store, peers, events))
	}
	return s
}

func newKindSyncer(kind catalog.Kind, store Store, peers Peers, events chan<- Event) *kindSyncer {
	return &kindSyncer{
		kind: kind, store: store, peers: peers, events: events, now: time.Now,
		peerUpdates: make(chan Update, peerUpdateQueue), peerStates: make(chan PeerState), storeFailed: make(chan struct{}),
	}
}

// Run keeps all kinds up to date until ctx ends. It returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range s.kinds {
		group.Go(func() error { kind.run(ctx); return nil })
	}
	return group.Wait()
}

// QueueUpdate queues an update from a peer. It never blocks: the update is dropped when
// the queue of its kind is full.
func (s *Syncer) QueueUpdate(update Update) {
	for _, kind := range s.kinds {
		if kind.kind != update.Kind {
			continue
		}
		select {
		case kind.peerUpdates <- update:
		default:
		}
	}
}

// kindSyncer keeps one kind up to date. The goroutine of run owns its state;
// only peerUpdates is used by others.
type kindSyncer struct {
	kind   catalog.Kind
	store  Store
	peers  Peers
	events chan<- Event
	// peerUpdates queues the updates from peers, peerStates the states of other
	// instances.
	peerUpdates chan Update
	peerStates  chan PeerState
	// storeFailed is closed after the first failed call.
	storeFailed chan struct{}
	now         func() time.Time

	// listed is set from a successful list of the store until the store has lost
	// the history since the revision.
	listed bool
	// era is the era of the last answer of the store; 0 before the first one.
	era uint64
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
// until ctx ends. Until the first list succeeds, it also fetches the state of other
// instances.
func (s *kindSyncer) run(ctx context.Context) {
	fetching, stopFetching := context.WithCancel(ctx)
	defer stopFetching()
	go s.fetchPeerStates(fetching)
	for ctx.Err() == nil {
		var err error
		switch {
		case !s.listed:
			if err = s.list(ctx); err == nil {
				stopFetching()
			}
		case s.peers.IsWatcher(s.now(), s.kind) || s.now().Sub(s.confirmed) >= staleAfter:
			err = s.watch(ctx, watchTimeout, true)
		default:
			err = s.awaitUpdate(ctx)
		}
		if err != nil && ctx.Err() == nil {
			s.backOff(ctx, err)
		}
	}
}

// fetchPeerStates passes the state of another instance to run, and each newer one,
// until ctx ends. It starts after peerStateDelay or the first failed call.
func (s *kindSyncer) fetchPeerStates(ctx context.Context) {
	wait := time.NewTimer(peerStateDelay)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return
	case <-s.storeFailed:
	case <-wait.C:
	}
	var newest uint64
	for {
		state, err := s.peers.FetchState(ctx, s.kind, newest)
		if err != nil {
			// The context has ended: the store has answered, or the instance stops.
			return
		}
		newest = state.Update.Revision
		select {
		case s.peerStates <- state:
		case <-ctx.Done():
			return
		}
		wait.Reset(peerStateInterval)
		select {
		case <-wait.C:
		case <-ctx.Done():
			return
		}
	}
}

// list reads the whole kind. After an even number of failures, 0 included, a replica
// may answer: the watch that follows returns the changes that the replica lacks.
// States and updates from other instances are applied meanwhile. It fails with the
// error of the store.
func (s *kindSyncer) list(ctx context.Context) error {
	type result struct {
		update Update
		err    error
	}
	results := make(chan result, 1)
	stale := s.failures%2 == 0
	go func() {
		update, err := s.store.List(ctx, s.kind, stale)
		results <- result{update, err}
	}()
	for {
		select {
		case r := <-results:
			if r.err != nil {
				return r.err
			}
			s.listed = true
			s.reportAnswer(ctx, r.update)
			s.apply(ctx, r.update)
			s.peers.SendUpdate(Update{Kind: s.kind, Base: s.revision, Revision: s.revision})
			return nil
		case state := <-s.peerStates:
			s.applyPeerState(ctx, state)
		case update := <-s.peerUpdates:
			s.applyPeerUpdate(ctx, update)
		}
	}
}

// applyPeerState applies the state of another instance unless a newer one is known.
func (s *kindSyncer) applyPeerState(ctx context.Context, state PeerState) {
	if s.listed || state.Update.Revision <= s.revision {
		return
	}
	s.revision = state.Update.Revision
	if confirmed := s.now().Add(-state.Age); confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	s.emit(ctx, catalog.PeerStateFetched{
		Kind: s.kind, Revision: s.revision, Events: state.Update.Events, Source: state.Source, Age: state.Age,
	}, state.Age)
}

// applyPeerUpdate applies an update from a peer unless changes before it are missing.
func (s *kindSyncer) applyPeerUpdate(ctx context.Context, update Update) {
	if update.Base <= s.revision {
		s.apply(ctx, update)
	}
}

// watch waits for changes in the store, at most the time wait, applies them and, if send
// is set, sends them to the peers. It also applies the updates from peers that arrive
// meanwhile, so that a silent connection to the store does not delay this
// instance. It fails with the error of the watch.
func (s *kindSyncer) watch(ctx context.Context, wait time.Duration, send bool) error {
	type result struct {
		update Update
		err    error
	}
	results := make(chan result, 1)
	revision := s.revision
	go func() {
		update, err := s.store.Watch(ctx, s.kind, revision, wait)
		results <- result{update, err}
	}()
	for {
		select {
		case r := <-results:
			if r.err != nil {
				return r.err
			}
			s.failures = 0
			s.reportAnswer(ctx, r.update)
			if r.update.Revision < s.revision {
				// A peer's newer update has arrived first.
				return nil
			}
			s.apply(ctx, r.update)
			if !send {
				return nil
			}
			s.peers.SendUpdate(r.update)
			if len(r.update.Events) > 0 {
				s.pause(ctx, changePause)
			}
			return nil
		case update := <-s.peerUpdates:
			s.applyPeerUpdate(ctx, update)
		}
	}
}

// awaitUpdate waits for an update from a peer and applies it, until the state is
// older than staleAfter. When the update's base shows a gap, the changes are read
// from the store. The peers have received the update as well, and are not told.
func (s *kindSyncer) awaitUpdate(ctx context.Context) error {
	timer := time.NewTimer(staleAfter - s.now().Sub(s.confirmed))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return nil
	case update := <-s.peerUpdates:
		if update.Base > s.revision {
			return s.watch(ctx, 0, false)
		}
		s.apply(ctx, update)
		return nil
	}
}

// apply emits the events of an update, unless its revision is older than the state,
// and then a confirmation.
func (s *kindSyncer) apply(ctx context.Context, update Update) {
	s.confirmed = s.now()
	if update.Revision >= s.revision {
		for _, event := range update.Events {
			s.emit(ctx, event, 0)
		}
	}
	s.revision = max(s.revision, update.Revision)
	s.emit(ctx, catalog.Confirmed{Kind: s.kind, Revision: s.revision}, 0)
}

// backOff records and emits a failed call and then waits. The backoff is random,
// with a mean that grows with the failures up to retryMax, so that instances that
// lost the store at the same time do not all call it again at the same time.
// States and updates from other instances are applied meanwhile.
func (s *kindSyncer) backOff(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryGone) {
		s.listed = false
	}
	if s.failures++; s.failures == 1 {
		s.reportStoreFailed()
	}
	s.emit(ctx, catalog.Unavailable{Kind: s.kind, Err: err}, 0)
	limit := min(retryMin<<min(s.failures-1, 4), retryMax)
	s.pause(ctx, limit/2+time.Duration(rand.Int64N(int64(limit))))
}

// pause waits and applies the states and updates from other instances meanwhile.
func (s *kindSyncer) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case state := <-s.peerStates:
			s.applyPeerState(ctx, state)
		case update := <-s.peerUpdates:
			s.applyPeerUpdate(ctx, update)
		}
	}
}

// reportAnswer emits events for an answer of the store that has another era, or that
// is older than the state and therefore ignored.
func (s *kindSyncer) reportAnswer(ctx context.Context, answer Update) {
	if answer.Era != s.era {
		s.emit(ctx, catalog.EraChanged{Kind: s.kind, Era: answer.Era, Before: s.era, Revision: answer.Revision, Held: s.revision}, 0)
		s.era = answer.Era
	}
	if answer.Revision < s.revision {
		s.emit(ctx, catalog.AnswerIgnored{Kind: s.kind, Era: answer.Era, Revision: answer.Revision, Held: s.revision}, 0)
	}
}

// reportStoreFailed lets fetchPeerStates start.
func (s *kindSyncer) reportStoreFailed() {
	select {
	case <-s.storeFailed:
	default:
		close(s.storeFailed)
	}
}

func (s *kindSyncer) emit(ctx context.Context, event catalog.Event, age time.Duration) {
	select {
	case s.events <- Event{Event: event, Age: age}:
	case <-ctx.Done():
	}
}
