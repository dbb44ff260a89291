package catalogsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// startFetching starts fetchPeerStates unless it runs: without state, after
// peerStateDelay or the first failed call; with a state that has to be listed again, after
// peerStateInterval; with a state that the store does not confirm, at once.
func (s *kindSyncer) startFetching(ctx context.Context) {
	if s.stopFetching != nil {
		return
	}
	ctx, s.stopFetching = context.WithCancel(ctx)
	switch {
	case s.listed:
		s.seeking.Store(true)
		go s.fetchPeerStates(ctx, s.position, 0, nil)
	case s.position.Revision == 0:
		go s.fetchPeerStates(ctx, s.position, peerStateDelay, s.storeFailed)
	default:
		go s.fetchPeerStates(ctx, s.position, peerStateInterval, nil)
	}
}

// endFetching stops fetchPeerStates if it runs.
func (s *kindSyncer) endFetching() {
	if s.stopFetching != nil {
		s.seeking.Store(false)
		s.stopFetching()
		s.stopFetching = nil
		s.responseAt.Store(nil)
	}
}

// fetchPeerStates passes a state of another instance that is later than newest to run,
// and each later one, until ctx ends. It starts after delay, or sooner with a signal on
// start, and begins no transfer while a response of the store arrives, which would share
// the link with it. After a transfer it pauses for peerStateInterval, or longer so that
// transfers take at most 1/(1+peerStatePause) of the time.
func (s *kindSyncer) fetchPeerStates(ctx context.Context, newest catalog.Position, delay time.Duration, start <-chan struct{}) {
	wait := time.NewTimer(delay)
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return
	case <-start:
	case <-wait.C:
	}
	for s.awaitResponse(ctx) {
		state, err := s.peers.FetchState(ctx, s.kind, newest)
		if err != nil {
			// The context has ended: the store has answered, or the instance stops.
			return
		}
		newest = state.Update.Position()
		select {
		case s.peerStates <- state:
		case <-ctx.Done():
			return
		}
		wait.Reset(max(peerStateInterval, peerStatePause*state.Took))
		select {
		case <-wait.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitResponse waits while a response of the store arrives: its last part is less than
// responseGap old and its call has not failed. It returns false if ctx has ended.
func (s *kindSyncer) awaitResponse(ctx context.Context) bool {
	for {
		last := s.responseAt.Load()
		if last == nil || s.now().Sub(*last) >= responseGap {
			return ctx.Err() == nil
		}
		timer := time.NewTimer(responsePoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// recordResponse records that a part of a response of the store has arrived.
func (s *kindSyncer) recordResponse() {
	now := s.now()
	s.responseAt.Store(&now)
}

// applyPeerState applies the state of another instance unless a later one is known, or the
// store answers this instance.
func (s *kindSyncer) applyPeerState(ctx context.Context, state PeerState) {
	if (s.listed && s.failures == 0) || state.Update.Position().Compare(s.position) <= 0 {
		return
	}
	event := catalog.PeerStateFetched{
		Kind: s.kind, Revision: state.Update.Revision, Events: state.Update.Events, Source: state.Source, Age: state.Age,
	}
	if confirmed := s.now().Add(-state.Age); confirmed.After(s.confirmed) {
		s.confirmed = confirmed
	}
	if state.Update.Era != s.position.Era {
		s.startEra(ctx, state.Update.Position(), []catalog.Event{event}, state.Age)
		return
	}
	s.position = state.Update.Position()
	s.emit(ctx, event, state.Age)
}

// startEra emits the first state of another era. A state of an earlier era is kept and
// merged with it until settleAt.
func (s *kindSyncer) startEra(ctx context.Context, position catalog.Position, events []catalog.Event, age time.Duration) {
	restored := s.position.Revision > 0
	if restored {
		s.settleAt = s.now().Add(settleDelay + time.Duration(rand.Int64N(int64(settleSpread))))
	}
	s.emit(ctx, catalog.EraChanged{Kind: s.kind, Before: s.position, After: position, Restored: restored, Events: events}, age)
	s.position = position
}

// applyPeerUpdate applies an update from a peer unless changes before it are missing.
// An update of another era is not applied: an earlier one is out of date or comes from
// a version without eras, and a later one makes this instance list the kind.
func (s *kindSyncer) applyPeerUpdate(ctx context.Context, update Update) {
	switch {
	case update.Era > s.position.Era:
		s.noticeEra(update.Era)
	case update.Era == s.position.Era && update.Base <= s.position.Revision:
		s.apply(ctx, update, time.Time{})
		s.ownCheck = s.ownCheck && !update.Current
		if s.listed && update.Current {
			s.endFetching()
		}
	}
}

// noticeEra makes run list the kind again because a peer has named a later era, once
// for each era, because the peer may be wrong.
func (s *kindSyncer) noticeEra(era uint64) {
	if s.position.Revision > 0 && era > s.noticedEra {
		s.noticedEra, s.listed, s.fresh = era, false, true
	}
}
