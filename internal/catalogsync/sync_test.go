package catalogsync

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/transfer"
)

// fakeStore is a Store with one kind. A store that is down fails calls, one that is
// silent does not answer watches, one with silentLists does not answer lists, one with slowLists sends the answer to a list
// for that time, and one with lostHistory fails watches with ErrHistoryGone. Its replicas are at replicaRevision unless that is 0. It records in lists
// the argument stale of each List call, and counts the watches of the store itself in checks.
type fakeStore struct {
	mu          sync.Mutex
	down        bool
	silent      bool
	silentLists bool
	slowLists   time.Duration
	lostHistory bool
	era         uint64
	revision    uint64
	lists       []bool
	watches     int
	checks      int

	replicaRevision uint64
}

// revisionOf returns the revision that a call sees; the caller holds s.mu.
func (s *fakeStore) revisionOf(stale bool) uint64 {
	if stale && s.replicaRevision > 0 {
		return s.replicaRevision
	}
	return s.revision
}

var errDown = errors.New("store is down")

func (s *fakeStore) List(ctx context.Context, kind catalog.Kind, stale bool) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, stale)
	if s.silentLists {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return Update{}, ctx.Err()
	}
	s.mu.Unlock()
	for end := time.Now().Add(s.slowLists); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		transfer.ReportProgress(ctx)
	}
	s.mu.Lock()
	if s.down {
		return Update{}, errDown
	}
	revision := s.revisionOf(stale)
	return Update{Kind: kind, Era: s.era, Revision: revision, Current: !stale, Events: []catalog.Event{catalog.EvacuationsListed{Revision: revision}}}, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind catalog.Kind, revision uint64, wait time.Duration, stale bool) (Update, error) {
	s.mu.Lock()
	s.watches++
	if !stale {
		s.checks++
	}
	down, silent, lostHistory := s.down, s.silent, s.lostHistory
	s.mu.Unlock()
	switch {
	case down:
		return Update{}, errDown
	case lostHistory:
		return Update{}, fmt.Errorf("watch: %w", ErrHistoryGone)
	case silent:
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		current, era := s.revisionOf(stale), s.era
		s.mu.Unlock()
		if current < revision {
			return Update{}, fmt.Errorf("watch: %w", ErrHistoryGone)
		}
		if current > revision {
			return Update{Kind: kind, Era: era, Base: revision, Revision: current, Current: !stale, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: current}}}, nil
		}
		if !time.Now().Before(deadline) {
			return Update{Kind: kind, Era: era, Base: revision, Revision: revision, Current: !stale}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) counts() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lists), s.watches
}

func (s *fakeStore) checkCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks
}

// fakePeers implements Peers: watcher makes the instance a watcher, state is the
// state that other instances provide within the time took, and sent records the sent updates.
type fakePeers struct {
	mu      sync.Mutex
	watcher bool
	sent    []Update
	state   *Update
	took    time.Duration
	fetches int
}

func (m *fakePeers) IsWatcher(time.Time, catalog.Kind) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watcher
}

func (m *fakePeers) SendUpdate(update Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent = append(m.sent, update)
}

func (m *fakePeers) FetchState(ctx context.Context, kind catalog.Kind, newerThan catalog.Position) (PeerState, error) {
	for {
		m.mu.Lock()
		m.fetches++
		state, took := m.state, m.took
		m.mu.Unlock()
		time.Sleep(took)
		if state != nil && state.Position().Compare(newerThan) > 0 {
			update := *state
			update.Kind = kind
			return PeerState{Update: update, Age: 3 * time.Second, Source: "edge-a-1", Took: took}, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return PeerState{}, ctx.Err()
		}
	}
}

func (m *fakePeers) fetchCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fetches
}

func (m *fakePeers) setState(state *Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// run runs a kindSyncer in virtual time and calls test, whose argument received
// returns all events emitted so far.
func run(t *testing.T, store *fakeStore, peers *fakePeers, test func(syncer *kindSyncer, received func() []Event)) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan Event, 1000)
		syncer := newKindSyncer(catalog.KindEvacuations, store, peers, events)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { syncer.run(ctx); close(done) }()
		var all []Event
		received := func() []Event {
			synctest.Wait()
			for {
				select {
				case event := <-events:
					all = append(all, event)
				default:
					return all
				}
			}
		}
		test(syncer, received)
		cancel()
		<-done
	})
}

func count[T catalog.Event](events []Event) (n int) {
	for _, event := range events {
		if _, ok := event.Event.(T); ok {
			n++
		}
	}
	return n
}

// lastRevision returns the revision up to which the kind is known after the events.
func lastRevision(events []Event) uint64 {
	switch e := events[len(events)-1].Event.(type) {
	case catalog.Known:
		return e.Revision
	case catalog.Confirmed:
		return e.Revision
	}
	return 0
}

// Guards against a watcher that does not send the store's changes and
// confirmations to its peers, which makes all of them call the store.
func TestWatcherSendsChangesAndConfirmations(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.revision = 7 })
		time.Sleep(4 * time.Second)
		events := received()
		require.Equal(t, 1, count[catalog.EvacuationsListed](events))
		require.Equal(t, 1, count[catalog.EvacuationsChanged](events))
		var changed, confirmed int
		peers.mu.Lock()
		defer peers.mu.Unlock()
		for _, update := range peers.sent {
			if update.Revision > update.Base {
				changed++
				require.EqualValues(t, 5, update.Base)
				require.EqualValues(t, 7, update.Revision)
			} else {
				confirmed++
			}
		}
		require.Equal(t, 1, changed)
		require.GreaterOrEqual(t, confirmed, 3)
	})
}

// Guards against a store call for each of many changes that follow each other, as in a
// release, and against changes that wait longer than the pause.
func TestChangesInSuccessionShareCalls(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(time.Second)
		_, before := store.counts()
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			store.set(func(s *fakeStore) { s.revision++ })
		}
		_, after := store.counts()
		require.LessOrEqual(t, after-before, 12)
		time.Sleep(changePause + 50*time.Millisecond)
		events := received()
		require.EqualValues(t, 105, lastRevision(events))
	})
}

// Guards against store calls by an instance that is no watcher and receives its
// peers' updates in time.
func TestNonWatcherDoesNotCallStore(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(50 * time.Millisecond)
		_, atStart := store.counts()
		require.Equal(t, len(historySpans), atStart)
		syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 5, Revision: 5, Current: true}
		for revision := uint64(5); revision < 25; revision++ {
			time.Sleep(time.Second)
			store.set(func(s *fakeStore) { s.revision = revision + 1 })
			syncer.peerUpdates <- Update{Kind: syncer.kind, Base: revision, Revision: revision + 1, Current: true,
				Events: []catalog.Event{catalog.EvacuationsChanged{Revision: revision + 1}}}
		}
		require.Equal(t, 20, count[catalog.EvacuationsChanged](received()))
		lists, watches := store.counts()
		require.Equal(t, 1, lists)
		require.Equal(t, atStart, watches)
	})
}

// Guards against a state that becomes older than the users' bound of 3 s because
// all watchers have failed or are cut off.
func TestInstanceCallsStoreWhenPeersAreSilent(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.revision = 6 })
		time.Sleep(staleAfter)
		require.Equal(t, 1, count[catalog.EvacuationsChanged](received()))
	})
}

// Guards against one lost message that makes every instance send the changes to all
// others.
func TestFilledGapsAreNotSentToPeers(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.revision = 9 })
		syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 8, Revision: 9, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 9}}}
		require.Equal(t, 1, count[catalog.EvacuationsChanged](received()))
		peers.mu.Lock()
		defer peers.mu.Unlock()
		require.Len(t, peers.sent, 1, "only the list at the start")
	})
}

// Guards against changes that are lost with a message from a peer: the base
// revision of the next message shows the gap.
func TestGapIsFilledFromStore(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		_, atStart := store.counts()
		store.set(func(s *fakeStore) { s.revision = 9 })
		syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 8, Revision: 9, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 9}}}
		events := received()
		require.Equal(t, 1, count[catalog.EvacuationsChanged](events))
		require.EqualValues(t, 9, lastRevision(events))
		_, watches := store.counts()
		require.Equal(t, atStart+1, watches)
	})
}

// Guards against an old update from a peer that undoes a newer one.
func TestOldUpdateFromPeerIsIgnored(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 2, Revision: 3, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 3}}}
		require.Zero(t, count[catalog.EvacuationsChanged](received()))
	})
}

// Guards against a watcher that ignores its peers' updates while its own watch
// hangs on a silent connection.
func TestPeerUpdateIsAppliedDuringSilentWatch(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		store.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(2 * watchTimeout)
		syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 5, Revision: 6, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 6}}}
		require.Equal(t, 1, count[catalog.EvacuationsChanged](received()))
	})
}

// Guards against an instance that does not list the kind again when the store has
// lost the changes since its revision.
func TestKindIsListedAgainAfterLostHistory(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.lostHistory, s.revision = true, 50 })
		time.Sleep(2 * time.Second)
		store.set(func(s *fakeStore) { s.lostHistory = false })
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, count[catalog.EvacuationsListed](received()), 2)
	})
}

// Guards against too many calls while the store is down, and against a backoff that
// is too long once it is available again.
func TestFailedCallsBackOff(t *testing.T) {
	store, peers := &fakeStore{down: true}, &fakePeers{}
	run(t, store, peers, func(_ *kindSyncer, _ func() []Event) {
		time.Sleep(10 * time.Second)
		lists, _ := store.counts()
		require.Less(t, lists, 45, "at most about four calls a second")
		require.Greater(t, lists, 10, "the longest backoff is 0.75 s")
	})
}
