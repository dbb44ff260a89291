package catalogsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
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
	// peerStatePause is the pause after the transfer of another instance's state in units
	// of the time that it took.
	peerStatePause = 3
	// responseGap is the time without a further part from which a response of the store
	// does not count as arriving, responsePoll the time between two looks at it. The store's
	// calls fail after a shorter time without progress.
	responseGap  = time.Second
	responsePoll = 20 * time.Millisecond
	// settleDelay is the time from the first answer of another era after which a list
	// counts as complete: what operators and upstreams wrote since the copy has been
	// written again, and the entries of upstreams that ended have expired after three
	// missed reports, 2.3 s. A random part of up to settleSpread spreads the lists.
	settleDelay  = 3 * time.Second
	settleSpread = 500 * time.Millisecond
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
		spread:      time.Duration(rand.Int64N(int64(checkSpread))),
		peerUpdates: make(chan Update, peerUpdateQueue), peerStates: make(chan PeerState), checkRequests: make(chan struct{}, 1), storeFailed: make(chan struct{}),
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

// Seeking tells whether this instance looks for the state of others because the store does
// not confirm its own. It may be called from any goroutine.
func (s *Syncer) Seeking() bool {
	return slices.ContainsFunc(s.kinds, func(kind *kindSyncer) bool { return kind.seeking.Load() })
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

// RequestCheck requests a check of a kind in the store by this instance, because flows wait for
// it. The check begins within requestSpread, but at least checkInterval after the last one of this
// instance. It never blocks and may be called from any goroutine.
func (s *Syncer) RequestCheck(kind catalog.Kind) {
	select {
	case s.kinds[kind].checkRequests <- struct{}{}:
	default: // One is requested already.
	}
}

// kindSyncer keeps one kind up to date. The goroutine of run owns its state;
// only peerUpdates, checkRequests, seeking and responseAt are used by others.
type kindSyncer struct {
	kind   catalog.Kind
	store  Store
	peers  Peers
	events chan<- Event
	// peerUpdates queues the updates from peers, peerStates the states of other
	// instances.
	peerUpdates chan Update
	peerStates  chan PeerState
	// checkRequests holds a request of RequestCheck until run takes it.
	checkRequests chan struct{}
	// storeFailed is closed after the first failed call.
	storeFailed chan struct{}
	now         func() time.Time

	// listed is set from a successful list of the store until the store has lost
	// the history since the position, or another era is noticed.
	listed bool
	// historyRead is set after the first list.
	historyRead bool
	// position is the store's position of the state; zero before the first list or
	// fetched state.
	position catalog.Position
	// settleAt is the time at which the kind is listed again after a change of the era;
	// zero when that is not needed.
	settleAt time.Time
	// noticedEra is the highest era that a peer has named. While fresh is set, no replica
	// may answer lists, because the store may have been restored.
	noticedEra uint64
	fresh      bool
	// stopFetching stops fetchPeerStates; nil while it does not run. seeking is set while
	// it runs although the kind is listed.
	stopFetching context.CancelFunc
	seeking      atomic.Bool
	// responseAt is the time at which the last part of a response of the store arrived;
	// nil after a failed call and after the end of fetchPeerStates.
	responseAt atomic.Pointer[time.Time]
	// confirmed is the time at which the store itself last confirmed the revision, to
	// this instance or to a peer; zero before that. ownCheck is set while this instance
	// made that check.
	confirmed time.Time
	ownCheck  bool
	// checkRequested is set from a request of RequestCheck until the check, which is due at
	// requestedCheck. checkBegan is the start of this instance's last check.
	checkRequested             bool
	requestedCheck, checkBegan time.Time
	// firstCheck is the time of the first check after a list, if nothing confirms the kind
	// before.
	firstCheck time.Time
	// spread is the random part of takeOverAfter and staleAfter.
	spread time.Duration
	// replicasBehind is the time until which no replica may answer watches, because one
	// did not have the revision yet.
	replicasBehind time.Time
	// failures counts the failed calls since the last answer of the store itself.
	// reachable is set when a replica has answered since the last of them.
	failures  int
	reachable bool
}

// run lists the kind and then watches the store or waits for updates from peers, and
// checks the kind in the store when that is due, until ctx ends. While it cannot list, or
// checks fail and no peer confirms the kind, it also fetches the state of other instances.
func (s *kindSyncer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		switch {
		case !s.listed:
			s.startFetching(ctx)
			if err = s.list(ctx); err == nil {
				s.endFetching()
			}
		case s.untilSettled(1) == 0:
			err = s.list(ctx)
		case s.untilCheck() == 0:
			if s.failures > 0 && s.untilRegularCheck() == 0 {
				s.startFetching(ctx)
			}
			if err = s.check(ctx); err == nil && s.failures == 0 {
				s.endFetching()
			}
		case s.peers.IsWatcher(s.now(), s.kind):
			err = s.watch(ctx, s.untilSettled(min(watchTimeout, s.untilCheck())), !s.now().Before(s.replicasBehind), true)
		default:
			err = s.awaitUpdate(ctx)
		}
		if err != nil && ctx.Err() == nil {
			s.backOff(ctx, err)
		}
	}
	s.endFetching()
}

// untilSettled returns the time until the kind has to be listed again after a change
// of the era, at least 0, and limit if that is sooner or no such list is due.
func (s *kindSyncer) untilSettled(limit time.Duration) time.Duration {
	if s.settleAt.IsZero() {
		return limit
	}
	return min(max(s.settleAt.Sub(s.now()), 0), limit)
}

// awaitUpdate waits for an update from a peer and applies it, until the kind has to be
// checked or listed. When the update's base shows a gap, the changes are read from a
// replica, and from the store if the replica lacks them. The peers have received the
// update as well, and are not told.
func (s *kindSyncer) awaitUpdate(ctx context.Context) error {
	timer := time.NewTimer(s.untilSettled(s.untilCheck()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return nil
	case <-s.checkRequests:
		s.takeCheckRequest()
		return nil
	case update := <-s.peerUpdates:
		if update.Era == s.position.Era && update.Base > s.position.Revision {
			if err := s.watch(ctx, 0, true, false); err != nil || s.position.Revision >= update.Revision {
				return err
			}
			return s.watch(ctx, 0, false, false)
		}
		s.applyPeerUpdate(ctx, update)
		return nil
	}
}

// apply emits the events of an update and its position, confirmed or only known, unless
// the update is older than the state, and moves the state to that position. An older
// update of the store itself confirms the state: nothing that it lacks had been confirmed. began
// is when this instance called the store, zero for an update from a peer.
func (s *kindSyncer) apply(ctx context.Context, update Update, began time.Time) {
	confirmed := catalog.Confirmed{Kind: s.kind, ByPeer: began.IsZero(), Began: began}
	if update.Position().Compare(s.position) < 0 {
		if update.Current && update.Era == s.position.Era {
			s.confirmed, confirmed.Revision = s.now(), s.position.Revision
			s.emit(ctx, confirmed, 0)
		}
		return
	}
	var reached catalog.Event = catalog.Known{Kind: s.kind, Revision: update.Revision}
	if update.Current {
		confirmed.Revision = update.Revision
		s.confirmed, reached = s.now(), confirmed
	}
	if update.Era != s.position.Era {
		s.startEra(ctx, update.Position(), append(slices.Clip(update.Events), reached), 0)
		return
	}
	for _, event := range update.Events {
		s.emit(ctx, event, 0)
	}
	s.position = update.Position()
	s.emit(ctx, reached, 0)
}

// backOff records and emits a failed call and then waits. The backoff is random,
// with a mean that grows with the failures up to retryMax, so that instances that
// lost the store at the same time do not all call it again at the same time.
// States and updates from other instances are applied meanwhile.
func (s *kindSyncer) backOff(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryGone) {
		s.listed = false
	}
	s.reachable = false
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
