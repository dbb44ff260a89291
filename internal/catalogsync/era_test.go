package catalogsync

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// ofType returns the events of a type.
func ofType[T catalog.Event](events []Event) (found []T) {
	for _, event := range events {
		if e, ok := event.Event.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// Guards against an instance that does not list a restored store, that lets a replica
// answer such a list, or that takes the copy for complete before it has settled.
func TestRestoredStoreIsListedTwice(t *testing.T) {
	store, peers := &fakeStore{era: 1, revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.era, s.revision, s.lists = 2, 3, nil })
		time.Sleep(2 * time.Second)
		changes := ofType[catalog.EraChanged](received())
		require.Len(t, changes, 2, "the first state and the restored one")
		require.True(t, changes[1].Restored)
		require.Equal(t, catalog.Position{Era: 1, Revision: 5}, changes[1].Before)
		require.Equal(t, catalog.Position{Era: 2, Revision: 3}, changes[1].After)
		require.Empty(t, ofType[catalog.EraSettled](received()))
		time.Sleep(settleDelay + settleSpread)
		require.Len(t, ofType[catalog.EraSettled](received()), 1)
		store.mu.Lock()
		defer store.mu.Unlock()
		require.Equal(t, []bool{false, false}, store.lists)
	})
}

// Guards against messages that make all instances list the store again and again: a
// peer that names an era that the store does not have is believed once.
func TestEraOfPeerIsCheckedOnce(t *testing.T) {
	store, peers := &fakeStore{era: 1, revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, _ func() []Event) {
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			syncer.peerUpdates <- Update{Kind: syncer.kind, Era: 9, Base: 2, Revision: 2}
		}
		lists, _ := store.counts()
		require.Equal(t, 2, lists)
	})
}

// Guards against updates of an earlier era, or of a version without eras, that are
// applied or count as confirmations.
func TestUpdateOfEarlierEraIsIgnored(t *testing.T) {
	store, peers := &fakeStore{era: 2, revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		for n := range 60 {
			syncer.peerUpdates <- Update{Kind: syncer.kind, Era: uint64(n % 2), Base: 5, Revision: 90,
				Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 90}}}
			time.Sleep(50 * time.Millisecond)
		}
		require.Empty(t, ofType[catalog.EvacuationsChanged](received()))
		_, watches := store.counts()
		require.NotZero(t, watches, "without confirmations the instance calls the store")
	})
}

// Guards against a replica of before a restoration whose answers are applied, or count
// as confirmations.
func TestAnswerOfEarlierEraIsIgnored(t *testing.T) {
	store, peers := &fakeStore{era: 2, revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		before := slices.Clone(received())
		store.set(func(s *fakeStore) { s.era, s.revision = 1, 90 })
		time.Sleep(2 * time.Second)
		after := received()[len(before):]
		require.NotEmpty(t, ofType[catalog.AnswerIgnored](after))
		require.Empty(t, ofType[catalog.EvacuationsChanged](after))
		require.Empty(t, ofType[catalog.EvacuationsListed](after))
		require.Empty(t, ofType[catalog.Confirmed](after))
		for _, failed := range ofType[catalog.Unavailable](after) {
			var outdated *OutdatedError
			require.ErrorAs(t, failed.Err, &outdated)
			require.Equal(t, catalog.Position{Era: 1, Revision: 90}, outdated.Answer)
		}
	})
}

// Guards against an instance without the store that stays in an earlier era although
// its peers have the state of the next one.
func TestStateOfNextEraIsFetchedFromPeers(t *testing.T) {
	store, peers := &fakeStore{era: 1, revision: 50}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(100 * time.Millisecond)
		store.set(func(s *fakeStore) { s.down = true })
		state := evacuationState(7)
		state.Era = 2
		peers.setState(state)
		syncer.peerUpdates <- Update{Kind: syncer.kind, Era: 2, Base: 7, Revision: 7}
		time.Sleep(2 * peerStateInterval)
		changes := ofType[catalog.EraChanged](received())
		require.Equal(t, catalog.Position{Era: 2, Revision: 7}, changes[len(changes)-1].After)
		require.IsType(t, catalog.PeerStateFetched{}, changes[len(changes)-1].Events[0])
		syncer.peerUpdates <- Update{Kind: syncer.kind, Era: 2, Base: 7, Revision: 8, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 8}}}
		require.Len(t, ofType[catalog.EvacuationsChanged](received()), 1)
	})
}
