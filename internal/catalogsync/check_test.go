package catalogsync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// Guards against a change that stays unknown for longer than the users' bound because
// replicas that lag answer all watches.
func TestChangesAreFoundWhileReplicasLag(t *testing.T) {
	for name, watcher := range map[string]bool{"watcher": true, "other instance": false} {
		t.Run(name, func(t *testing.T) {
			store, peers := &fakeStore{revision: 5, replicaRevision: 5}, &fakePeers{watcher: watcher}
			run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
				time.Sleep(10 * time.Second)
				for revision := uint64(6); revision < 10; revision++ {
					store.set(func(s *fakeStore) { s.revision = revision })
					time.Sleep(changeBound)
					events := received()
					require.EqualValues(t, revision, events[len(events)-1].Event.(catalog.Confirmed).Revision)
				}
			})
		})
	}
}

// Guards against the answer of a replica that counts as a confirmation, from this
// instance or from a peer, so that no check is made.
func TestReplicasConfirmNothing(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		for range 30 {
			time.Sleep(500 * time.Millisecond)
			syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 5, Revision: 5}
		}
		require.GreaterOrEqual(t, store.checkCount(), int(15*time.Second/changeBound))
		require.Equal(t, store.checkCount(), count[catalog.Confirmed](received()))
	})
}

// Guards against checks that each instance repeats while changes follow each other,
// because the answer to a peer's check arrives after a later change.
func TestOlderCheckOfPeerConfirmsLaterState(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, _ func() []Event) {
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			var revision uint64
			store.set(func(s *fakeStore) { s.revision++; revision = s.revision })
			syncer.peerUpdates <- Update{Kind: syncer.kind, Base: revision - 1, Revision: revision, Events: []catalog.Event{catalog.EvacuationsChanged{Revision: revision}}}
			syncer.peerUpdates <- Update{Kind: syncer.kind, Base: revision - 1, Revision: revision - 1, Current: true}
			time.Sleep(time.Second)
		}
		require.Zero(t, store.checkCount())
	})
}

// Guards against a list of the whole kind, or an error, whenever a replica does not have
// the revision yet that a check has reached.
func TestReplicaWithoutRevisionCausesChecks(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{watcher: true}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.revision, s.replicaRevision = 8, 5 })
		time.Sleep(10 * time.Second)
		lists, watches := store.counts()
		require.Equal(t, 1, lists)
		require.Less(t, watches, 40)
		require.Zero(t, count[catalog.Unavailable](received()))
	})
}

// Guards against checks at the full price of a call while the store is down.
func TestFailedChecksAskReplicasFirst(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(_ *kindSyncer, received func() []Event) {
		time.Sleep(time.Second)
		before := store.checkCount()
		store.set(func(s *fakeStore) { s.down = true })
		time.Sleep(20 * time.Second)
		require.Equal(t, before+1, store.checkCount())
		store.set(func(s *fakeStore) { s.down = false })
		time.Sleep(time.Second)
		events := received()
		require.IsType(t, catalog.Confirmed{}, events[len(events)-1].Event)
	})
}

// Guards against checks by each instance of a failure domain, and against a gap when the
// instance that makes them ends.
func TestOneInstanceChecksForItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSimulation(ctx, 1, false)
		for n := range 8 {
			s.fleet.start(ctx, n, false)
		}
		time.Sleep(5 * time.Second)
		s.store.takeChecks()
		for range 10 {
			time.Sleep(6 * time.Second)
			for _, instance := range s.fleet.instances {
				for _, kind := range catalog.Kinds() {
					require.Less(t, time.Since(instance.published().Confirmed[kind]), staleAfter+20*time.Millisecond)
				}
			}
			s.fleet.start(ctx, 0, false) // Edge-0 and edge-1 are the watchers.
		}
		require.Less(t, s.store.takeChecks(), int(3*60*time.Second/checkInterval)+10*2*3, "one check of each kind in each interval, and two after each restart")
		cancel()
		time.Sleep(changeBound)
		synctest.Wait()
	})
}

// Guards against a check by each instance when a whole failure domain starts at once and
// its instances do not know each other yet.
func TestMassStartMakesFewChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, span = 33, 6 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		s := newSimulation(ctx, 1, false)
		s.fleet.meetAfter = time.Second
		for n := range instances {
			s.fleet.start(ctx, n, false)
		}
		time.Sleep(span)
		require.Less(t, s.store.takeChecks(), 3*(int(span/checkInterval)+3), "of %d instances and three kinds", instances)
		for _, instance := range s.fleet.instances {
			for _, kind := range catalog.Kinds() {
				require.Less(t, time.Since(instance.published().Confirmed[kind]), changeBound)
			}
		}
		cancel()
		time.Sleep(changeBound)
		synctest.Wait()
	})
}

// Guards against checks, or failing calls of a store that is down, for each flow that waits for
// one, and against such checks in the place of those that peers make and tell of.
func TestRequestedChecksAreBounded(t *testing.T) {
	store, peers := &fakeStore{revision: 5}, &fakePeers{}
	run(t, store, peers, func(syncer *kindSyncer, received func() []Event) {
		requests := &Syncer{kinds: []*kindSyncer{syncer}}
		request := func() {
			for range 10 {
				for range 100 {
					time.Sleep(10 * time.Millisecond)
					requests.RequestCheck(0)
				}
				syncer.peerUpdates <- Update{Kind: syncer.kind, Base: 5, Revision: 5, Current: true}
			}
		}
		time.Sleep(time.Second)
		request()
		require.InDelta(t, int(10*time.Second/checkInterval), store.checkCount(), 1)
		require.Zero(t, count[catalog.Unavailable](received()))
		require.Len(t, peers.sent, 1, "only the list at the start")

		store.set(func(s *fakeStore) { s.down = true })
		_, before := store.counts()
		request()
		_, after := store.counts()
		require.LessOrEqual(t, after-before, int(10*time.Second/checkInterval)+1)
	})
}
