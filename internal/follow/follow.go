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
	// watchWait is how long a watch waits for a change. It bounds how long a
	// connection that has gone silent stays unnoticed.
	watchWait = 1500 * time.Millisecond
	// staleAfter is the age of the knowledge of a kind from which an instance
	// asks the store itself: a watching mate confirms it at least every 1.5 s,
	// and the users' tightest bound is 3 s.
	staleAfter = 2200 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call: short against
	// the bound of 3 s, and at most four calls a second for each kind.
	retryMin = 150 * time.Millisecond
	retryMax = 500 * time.Millisecond
	// passedQueue is the number of updates of one kind from mates that may
	// wait; one that finds it full is found missing by the next.
	passedQueue = 16
)

// Event is a message for the catalog with the time that it is about.
type Event struct {
	Event catalog.Event
	// Age is how old the knowledge was when it was passed on.
	Age time.Duration
}

// Follower keeps up with all kinds.
type Follower struct {
	events chan<- Event
	kinds  []*kindFollower
}

// New returns a follower that emits events.
func New(store Store, mates Mates, events chan<- Event) *Follower {
	f := &Follower{events: events}
	for _, kind := range catalog.Kinds() {
		f.kinds = append(f.kinds, &kindFollower{
			kind: kind, store: store, mates: mates, events: events, passed: make(chan Update, passedQueue), now: time.Now,
		})
	}
	return f
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, kind := range f.kinds {
		group.Go(func() error { kind.run(ctx); return nil })
	}
	return group.Wait()
}

// Passed takes in an update from a mate. It never blocks.
func (f *Follower) Passed(update Update) {
	for _, kind := range f.kinds {
		if kind.kind != update.Kind {
			continue
		}
		select {
		case kind.passed <- update:
		default:
		}
	}
}

// kindFollower keeps up with one kind. Its goroutine owns it.
type kindFollower struct {
	kind   catalog.Kind
	store  Store
	mates  Mates
	events chan<- Event
	passed chan Update
	now    func() time.Time

	listed   bool
	borrowed bool
	revision uint64
	// confirmed is when the store last confirmed the revision, to this instance
	// or to a mate.
	confirmed time.Time
	failures  int
}

func (f *kindFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		var err error
		switch {
		case !f.listed:
			err = f.list(ctx)
		case f.mates.OnDuty(f.now(), f.kind) || f.now().Sub(f.confirmed) >= staleAfter:
			err = f.watch(ctx, watchWait)
		default:
			err = f.await(ctx)
		}
		if err != nil && ctx.Err() == nil {
			f.fail(ctx, err)
		}
	}
}

// list reads the kind as a whole, from a replica first: the watch that follows
// brings what it lacks. After a failed attempt a mate may still know.
func (f *kindFollower) list(ctx context.Context) error {
	update, err := f.store.List(ctx, f.kind, f.failures%2 == 0)
	if err != nil {
		f.borrow(ctx)
		return err
	}
	f.listed = true
	f.adopt(ctx, update, 0)
	f.mates.Pass(Update{Kind: f.kind, Base: f.revision, Revision: f.revision})
	return nil
}

// borrow takes over the knowledge of a mate once, until the store answers.
func (f *kindFollower) borrow(ctx context.Context) {
	if f.borrowed || f.revision > 0 {
		return
	}
	update, age, err := f.mates.Knowledge(ctx, f.kind)
	if err != nil {
		f.emit(ctx, catalog.MateUnavailable{Kind: f.kind, Err: err}, 0)
		return
	}
	f.borrowed = true
	f.adopt(ctx, update, age)
}

// watch waits for changes in the store and passes them on. Updates of mates
// that arrive meanwhile are taken as well, so that a silent connection of this
// instance does not hold it up.
func (f *kindFollower) watch(ctx context.Context, wait time.Duration) error {
	type answer struct {
		update Update
		err    error
	}
	answers := make(chan answer, 1)
	revision := f.revision
	go func() {
		update, err := f.store.Watch(ctx, f.kind, revision, wait)
		answers <- answer{update, err}
	}()
	for {
		select {
		case a := <-answers:
			if a.err != nil {
				return a.err
			}
			f.failures = 0
			if a.update.Revision < f.revision {
				// A mate was faster.
				return nil
			}
			f.adopt(ctx, a.update, 0)
			f.mates.Pass(a.update)
			return nil
		case update := <-f.passed:
			if update.Base <= f.revision {
				f.adopt(ctx, update, 0)
			}
		}
	}
}

// await waits for a mate's update. A gap before it is filled from the store.
func (f *kindFollower) await(ctx context.Context) error {
	timer := time.NewTimer(staleAfter - f.now().Sub(f.confirmed))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
		return nil
	case update := <-f.passed:
		if update.Base > f.revision {
			return f.watch(ctx, 0)
		}
		f.adopt(ctx, update, 0)
		return nil
	}
}

// adopt emits an update.
func (f *kindFollower) adopt(ctx context.Context, update Update, age time.Duration) {
	f.confirmed = f.now().Add(-age)
	if update.Revision >= f.revision {
		for _, event := range update.Events {
			f.emit(ctx, event, age)
		}
	}
	f.revision = max(f.revision, update.Revision)
	f.emit(ctx, catalog.Confirmed{Kind: f.kind, Revision: f.revision}, age)
}

// fail records a failed call and pauses, longer while failures go on, at random
// so that instances that lost the store together do not return together.
func (f *kindFollower) fail(ctx context.Context, err error) {
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
		case update := <-f.passed:
			if update.Base <= f.revision && f.listed {
				f.adopt(ctx, update, 0)
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
