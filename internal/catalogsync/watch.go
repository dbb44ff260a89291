package catalogsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/transfer"
)

// list reads the whole kind. After an even number of failures, 0 included, a replica
// may answer, unless the era has changed: the watch that follows returns the changes
// that the replica lacks. The first list of the evacuations also reads which ended shortly
// before. States and updates from other instances are applied meanwhile. It fails with the error of the store, or with *OutdatedError.
func (s *kindSyncer) list(ctx context.Context) error {
	type result struct {
		update Update
		err    error
		ends   *catalog.EarlierEvacuationEnds
	}
	results := make(chan result, 1)
	asked, stale := s.position, s.failures%2 == 0 && !s.fresh && s.settleAt.IsZero()
	first := !s.historyRead
	go func() {
		var r result
		r.update, r.err = s.store.List(transfer.WithProgress(ctx, s.recordResponse), s.kind, stale)
		if r.err == nil && first && s.kind == catalog.KindEvacuations {
			r.ends = s.readEvacuationEnds(ctx, r.update, stale)
		}
		results <- r
	}()
	for {
		select {
		case r := <-results:
			if r.err != nil {
				s.responseAt.Store(nil)
				return r.err
			}
			if s.historyRead = true; r.ends != nil {
				s.emit(ctx, *r.ends, 0)
			}
			return s.applyList(ctx, r.update, asked)
		case state := <-s.peerStates:
			s.applyPeerState(ctx, state)
		case update := <-s.peerUpdates:
			s.applyPeerUpdate(ctx, update)
		}
	}
}

// applyList applies a list that was requested at the position asked, and sends its position
// to the peers. It fails with *OutdatedError.
func (s *kindSyncer) applyList(ctx context.Context, list Update, asked catalog.Position) error {
	if list.Position().Compare(asked) < 0 || list.Era < s.position.Era {
		return s.ignoreAnswer(ctx, list)
	}
	s.listed, s.fresh = true, false
	s.firstCheck = s.now().Add(firstCheckMin + time.Duration(rand.Int64N(int64(firstCheckMax-firstCheckMin))))
	if list.Position().Compare(s.position) < 0 {
		// Newer updates from peers have arrived first.
		return nil
	}
	if list.Era == s.position.Era && s.untilSettled(1) == 0 {
		s.settleAt = time.Time{}
		s.emit(ctx, catalog.EraSettled{Kind: s.kind, Era: list.Era}, 0)
	}
	s.apply(ctx, list)
	s.ownCheck = list.Current || s.ownCheck
	s.peers.SendUpdate(Update{Kind: s.kind, Era: s.position.Era, Base: s.position.Revision, Revision: s.position.Revision, Current: list.Current})
	return nil
}

// ignoreAnswer emits an event for an answer that is older than the state and returns
// its *OutdatedError.
func (s *kindSyncer) ignoreAnswer(ctx context.Context, answer Update) error {
	s.emit(ctx, catalog.AnswerIgnored{Kind: s.kind, Answer: answer.Position(), Held: s.position}, 0)
	return &OutdatedError{Kind: s.kind, Answer: answer.Position(), Held: s.position}
}

// watch waits for changes in the store, or with stale set in a replica, at most the time
// wait, applies them and, if send is set, sends them to the peers. It also applies the
// updates from peers and the states of other instances that arrive meanwhile, so that a
// silent connection to the store does not delay this instance. It ends early when another era is noticed. A replica that does
// not have the position makes a check in the store due. It fails with the error of the
// watch, or with *OutdatedError.
func (s *kindSyncer) watch(ctx context.Context, wait time.Duration, stale, send bool) error {
	type result struct {
		update Update
		err    error
	}
	results := make(chan result, 1)
	revision := s.position.Revision
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		update, err := s.store.Watch(transfer.WithProgress(call, s.recordResponse), s.kind, revision, wait, stale)
		results <- result{update, err}
	}()
	for s.listed {
		select {
		case r := <-results:
			if stale && errors.Is(r.err, ErrHistoryGone) {
				s.replicasBehind, s.reachable = s.now().Add(checkInterval), true
				return s.check(ctx)
			}
			if r.err != nil {
				s.responseAt.Store(nil)
				return r.err
			}
			return s.applyWatch(ctx, r.update, send)
		case state := <-s.peerStates:
			s.applyPeerState(ctx, state)
		case update := <-s.peerUpdates:
			s.applyPeerUpdate(ctx, update)
		}
	}
	return nil
}

// applyWatch applies the answer to a watch and, if send is set, sends it to the peers.
// The changes of another era are not applied, because the state lacks earlier ones. It
// fails with *OutdatedError.
func (s *kindSyncer) applyWatch(ctx context.Context, update Update, send bool) error {
	switch {
	case update.Era < s.position.Era:
		return s.ignoreAnswer(ctx, update)
	case update.Era > s.position.Era:
		s.listed, s.fresh = false, true
		return nil
	}
	s.reachable = true
	if update.Current {
		s.failures = 0
	}
	if update.Revision < s.position.Revision {
		// A peer's newer update has arrived first.
		s.apply(ctx, update)
		return nil
	}
	if update.Current && len(update.Events) > 0 {
		s.emit(ctx, catalog.FoundByCheck{Kind: s.kind, Revision: s.position.Revision, Current: update.Revision}, 0)
	}
	s.apply(ctx, update)
	if !send || (!update.Current && len(update.Events) == 0 && s.untilCheck() == 0) {
		// A check is due, and its result goes to the peers.
		return nil
	}
	s.ownCheck = update.Current || s.ownCheck
	s.peers.SendUpdate(update)
	if len(update.Events) > 0 {
		s.pause(ctx, changePause)
	}
	return nil
}
