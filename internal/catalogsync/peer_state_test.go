package catalogsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// fetched returns the states of other instances among the events.
func fetched(events []Event) (states []catalog.PeerStateFetched) {
	for _, event := range events {
		if state, ok := event.Event.(catalog.PeerStateFetched); ok {
			states = append(states, state)
		}
	}
	return states
}

func evacuationState(revision uint64) *Update {
	return &Update{Revision: revision, Events: []catalog.Event{catalog.EvacuationsListed{Revision: revision}}}
}

// Guards against an instance that starts while the store is unavailable and does
// not fetch another instance's state, and against fetched state that is emitted
// without its age.
func TestInstanceWithoutStoreFetchesPeerState(t *testing.T) {
	store := &fakeStore{down: true}
	peers := &fakePeers{state: evacuationState(40)}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(50 * time.Millisecond)
		events := received()
		require.Len(t, fetched(events), 1)
		require.Equal(t, 3*time.Second, fetched(events)[0].Age)
		for _, event := range events {
			if _, state := event.Event.(catalog.PeerStateFetched); state {
				require.Equal(t, 3*time.Second, event.Age)
			}
		}
		store.set(func(s *fakeStore) { s.down, s.revision = false, 41 })
		time.Sleep(time.Second)
		require.Equal(t, 1, count[catalog.EvacuationsListed](received()))
	})
}

// Guards against an instance that waits for a silent store until its call times out
// before it asks other instances: those with state may end in the meantime.
func TestSilentStoreDoesNotDelayPeerState(t *testing.T) {
	store, peers := &fakeStore{silentLists: true}, &fakePeers{state: evacuationState(40)}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(peerStateDelay + 50*time.Millisecond)
		require.Len(t, fetched(received()), 1)
	})
}

// Guards against an instance that asks other instances once at its start and never
// again, and against one that does not adopt their newer state.
func TestPeerStateIsFetchedUntilStoreAnswers(t *testing.T) {
	store, peers := &fakeStore{down: true}, &fakePeers{}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(10 * time.Second)
		require.Empty(t, fetched(received()))
		peers.setState(evacuationState(40))
		time.Sleep(50 * time.Millisecond)
		require.Len(t, fetched(received()), 1)
		peers.setState(evacuationState(45))
		time.Sleep(2 * peerStateInterval)
		require.Len(t, fetched(received()), 2)
		require.EqualValues(t, 45, fetched(received())[1].Revision)
	})
}

// Guards against the state of another instance that replaces newer state from a peer's
// update or from the store.
func TestOlderPeerStateIsIgnored(t *testing.T) {
	store, peers := &fakeStore{down: true}, &fakePeers{state: evacuationState(40)}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(50 * time.Millisecond)
		syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 40, Revision: 60, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: 60}}}
		time.Sleep(50 * time.Millisecond)
		peers.setState(evacuationState(50))
		time.Sleep(2 * peerStateInterval)
		events := received()
		require.Len(t, fetched(events), 1)
		require.Equal(t, 1, count[catalog.EvacuationsChanged](events), "an update from a peer is applied before the store answers")
		last := events[len(events)-1]
		if confirmed, ok := last.Event.(catalog.Confirmed); ok {
			require.EqualValues(t, 60, confirmed.Revision)
		}
	})
}

// Guards against transfers of the whole state between instances while the store is
// within reach: in a mass restart they would take the links and the processors.
func TestStateIsNotFetchedFromPeersWhileStoreAnswers(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{state: evacuationState(5)}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(3 * time.Second)
		require.Empty(t, fetched(received()))
		peers.mu.Lock()
		defer peers.mu.Unlock()
		require.Zero(t, peers.fetches)
	})
}

// Guards against an instance that the store turns away while it serves others, and that
// keeps its state for as long as that lasts because no peer sends updates.
func TestStateIsFetchedWhileStoreTurnsInstanceAway(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		time.Sleep(4 * time.Second)
		store.set(func(s *fakeStore) { s.down = true })
		for revision := uint64(7); revision < 12; revision++ {
			peers.setState(&Update{Revision: revision, Events: []catalog.Event{catalog.EvacuationsListed{Revision: revision}}})
			time.Sleep(changeBound)
			last := ofType[catalog.PeerStateFetched](received())
			require.NotEmpty(t, last)
			require.EqualValues(t, revision, last[len(last)-1].Revision)
		}
		require.True(t, syncer.seeking.Load())
		store.set(func(s *fakeStore) { s.down, s.revision = false, 20 })
		time.Sleep(changeBound)
		require.EqualValues(t, 20, lastRevision(received()))
		require.False(t, syncer.seeking.Load())
		fetches := peers.fetchCount()
		time.Sleep(changeBound)
		require.Equal(t, fetches, peers.fetchCount())
	})
}

// Guards against the state of another instance that waits for the end of a call to the
// store, which may take seconds while its response arrives.
func TestPeerStateIsAppliedDuringCall(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(4 * time.Second)
		store.set(func(s *fakeStore) { s.down = true })
		time.Sleep(changeBound)
		store.set(func(s *fakeStore) { s.down, s.silent = false, true })
		time.Sleep(changeBound)
		require.Empty(t, fetched(received()))
		peers.setState(evacuationState(40))
		time.Sleep(2 * peerStateInterval)
		require.Len(t, fetched(received()), 1)
	})
}

// Guards against transfers from other instances beside a list that arrives slowly: they
// share its link, so that none of them ends.
func TestStateIsNotFetchedWhileListArrives(t *testing.T) {
	store, peers := &fakeStore{revision: 5, slowLists: 4 * time.Second}, &fakePeers{state: evacuationState(5)}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(3900 * time.Millisecond)
		require.Zero(t, peers.fetchCount())
		time.Sleep(200 * time.Millisecond)
		require.EqualValues(t, 5, lastRevision(received()))
		require.Zero(t, peers.fetchCount())
	})
}

// Guards against an instance that waits for a list that has broken off, and does not fetch
// the state of another instance.
func TestStateIsFetchedWhenListBreaksOff(t *testing.T) {
	store, peers := &fakeStore{down: true, slowLists: time.Second}, &fakePeers{state: evacuationState(40)}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(time.Second + 2*responsePoll)
		require.Len(t, fetched(received()), 1)
	})
}

// Guards against an instance that fetches each new state of others although one transfer
// takes seconds, so that its link stays full.
func TestSlowTransfersLeaveLinkToOthers(t *testing.T) {
	const took, span = 2 * time.Second, 60 * time.Second
	store, peers := &fakeStore{down: true}, &fakePeers{took: took}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		for n := range int(span / (100 * time.Millisecond)) {
			peers.setState(evacuationState(uint64(40 + n)))
			time.Sleep(100 * time.Millisecond)
		}
		transfers := len(fetched(received()))
		require.Greater(t, transfers, 2)
		require.LessOrEqual(t, time.Duration(transfers-1)*took*(1+peerStatePause), span)
	})
}
