package follow

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
)

// fakeStore answers for one kind.
type fakeStore struct {
	mu       sync.Mutex
	down     bool
	silent   bool
	forgets  bool
	revision uint64
	lists    []bool
	watches  int
}

var errDown = errors.New("store is down")

func (s *fakeStore) List(_ context.Context, kind catalog.Kind, stale bool) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, stale)
	if s.down {
		return Update{}, errDown
	}
	return Update{Kind: kind, Revision: s.revision, Events: []catalog.Event{catalog.EvacuationsListed{Revision: s.revision}}}, nil
}

func (s *fakeStore) Watch(ctx context.Context, kind catalog.Kind, revision uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.watches++
	down, silent, forgets := s.down, s.silent, s.forgets
	s.mu.Unlock()
	switch {
	case down:
		return Update{}, errDown
	case forgets:
		return Update{}, fmt.Errorf("watch: %w", ErrHistoryGone)
	case silent:
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		current := s.revision
		s.mu.Unlock()
		if current > revision {
			return Update{Kind: kind, Base: revision, Revision: current, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: current}}}, nil
		}
		if !time.Now().Before(deadline) {
			return Update{Kind: kind, Base: revision, Revision: revision}, nil
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

// fakeMates decides the duty and records what is passed on.
type fakeMates struct {
	mu        sync.Mutex
	duty      bool
	passed    []Update
	knowledge *Update
}

func (m *fakeMates) OnDuty(time.Time, catalog.Kind) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duty
}

func (m *fakeMates) Pass(update Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passed = append(m.passed, update)
}

func (m *fakeMates) Knowledge(_ context.Context, kind catalog.Kind) (Update, time.Duration, error) {
	if m.knowledge == nil {
		return Update{}, 0, errors.New("no mate")
	}
	update := *m.knowledge
	update.Kind = kind
	return update, 3 * time.Second, nil
}

// run follows one kind in virtual time and returns the events that arrive.
func run(t *testing.T, store *fakeStore, mates *fakeMates, play func(f *kindFollower, received func() []Event)) {
	synctest.Test(t, func(t *testing.T) {
		events := make(chan Event, 1000)
		f := &kindFollower{
			kind: catalog.KindEvacuations, store: store, mates: mates, events: events,
			passed: make(chan Update, passedQueue), now: time.Now,
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { f.run(ctx); close(done) }()
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
		play(f, received)
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

// Guards against a watching instance that does not pass on what the store says,
// confirmations included: its mates would all ask the store.
func TestWatchingInstancePassesOnChangesAndConfirmations(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{duty: true}
	run(t, store, mates, func(_ *kindFollower, received func() []Event) {
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.revision = 7 })
		time.Sleep(4 * time.Second)
		events := received()
		require.Equal(t, 1, count[catalog.EvacuationsListed](events))
		require.Equal(t, 1, count[catalog.EvacuationsChanged](events))
		var changed, confirmed int
		mates.mu.Lock()
		defer mates.mu.Unlock()
		for _, update := range mates.passed {
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

// Guards against store calls of instances that hear from their mates in time.
func TestInstanceOffDutyMakesNoCalls(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{}
	run(t, store, mates, func(f *kindFollower, received func() []Event) {
		for revision := uint64(5); revision < 25; revision++ {
			time.Sleep(time.Second)
			f.passed <- Update{Kind: f.kind, Base: revision, Revision: revision + 1,
				Events: []catalog.Event{catalog.EvacuationsChanged{Revision: revision + 1}}}
		}
		require.Equal(t, 20, count[catalog.EvacuationsChanged](received()))
		lists, watches := store.counts()
		require.Equal(t, 1, lists)
		require.Zero(t, watches)
	})
}

// Pattern: the watching instances are killed or cut off. Guards against
// knowledge that ages beyond the users' bound of 3 s because nobody watches.
func TestSilentMatesMakeAnInstanceAskItself(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{}
	run(t, store, mates, func(_ *kindFollower, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.revision = 6 })
		time.Sleep(staleAfter)
		require.Equal(t, 1, count[catalog.EvacuationsChanged](received()))
	})
}

// Guards against a lost message that leaves a hole: the next one shows it.
func TestGapIsFilledFromTheStore(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{}
	run(t, store, mates, func(f *kindFollower, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.revision = 9 })
		f.passed <- Update{Kind: f.kind, Base: 8, Revision: 9, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 9}}}
		events := received()
		require.Equal(t, 1, count[catalog.EvacuationsChanged](events))
		last := events[len(events)-1].Event.(catalog.Confirmed)
		require.EqualValues(t, 9, last.Revision)
		_, watches := store.counts()
		require.Equal(t, 1, watches)
	})
}

// Guards against an old update that undoes a newer one.
func TestOldUpdateFromAMateChangesNothing(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{}
	run(t, store, mates, func(f *kindFollower, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		f.passed <- Update{Kind: f.kind, Base: 2, Revision: 3, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 3}}}
		require.Zero(t, count[catalog.EvacuationsChanged](received()))
	})
}

// Pattern: connections gone silent. Guards against a watching instance that
// learns nothing while its own watch hangs, although a mate knows.
func TestUpdateOfAMateArrivesDuringASilentWatch(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{duty: true}
	run(t, store, mates, func(f *kindFollower, received func() []Event) {
		store.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(2 * watchWait)
		f.passed <- Update{Kind: f.kind, Base: 5, Revision: 6, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 6}}}
		require.Equal(t, 1, count[catalog.EvacuationsChanged](received()))
	})
}

// Pattern: history dropped. Guards against an instance that never lists again
// when the store has lost the changes since its revision.
func TestLostHistoryIsListedAgain(t *testing.T) {
	store, mates := &fakeStore{revision: 5}, &fakeMates{duty: true}
	run(t, store, mates, func(_ *kindFollower, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.forgets, s.revision = true, 50 })
		time.Sleep(2 * time.Second)
		store.set(func(s *fakeStore) { s.forgets = false })
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, count[catalog.EvacuationsListed](received()), 2)
	})
}

// Pattern: mass restart while the store is away. Guards against an instance
// that cannot serve although another one knows everything, and against old
// knowledge that counts as fresh.
func TestInstanceThatStartsWithoutTheStoreBorrowsKnowledge(t *testing.T) {
	store := &fakeStore{down: true}
	mates := &fakeMates{knowledge: &Update{Revision: 40, Events: []catalog.Event{catalog.EvacuationsListed{Revision: 40}}}}
	run(t, store, mates, func(_ *kindFollower, received func() []Event) {
		time.Sleep(50 * time.Millisecond)
		events := received()
		require.Equal(t, 1, count[catalog.EvacuationsListed](events))
		for _, event := range events {
			if _, listed := event.Event.(catalog.EvacuationsListed); listed {
				require.Equal(t, 3*time.Second, event.Age)
			}
		}
		store.set(func(s *fakeStore) { s.down, s.revision = false, 41 })
		time.Sleep(time.Second)
		require.Equal(t, 2, count[catalog.EvacuationsListed](received()))
	})
}

// Pattern: the store is down. Guards against a storm of calls, and against an
// instance that waits long after the store's return.
func TestFailedCallsArePaced(t *testing.T) {
	store, mates := &fakeStore{down: true}, &fakeMates{}
	run(t, store, mates, func(_ *kindFollower, _ func() []Event) {
		time.Sleep(10 * time.Second)
		lists, _ := store.counts()
		require.Less(t, lists, 45, "at most about four calls a second")
		require.Greater(t, lists, 10, "the longest pause is 0.75 s")
	})
}
