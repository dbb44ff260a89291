package catalog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restored returns the event of a store that was restored; its first list has the
// given revision.
func restored(kind Kind, revision uint64, events ...Event) EraChanged {
	return EraChanged{
		Kind: kind, Before: Position{Era: 1, Revision: 100}, After: Position{Era: 2, Revision: revision}, Restored: true,
		Events: append(events, Confirmed{Kind: kind, Revision: revision}),
	}
}

// newFlowIDs returns the ids of the upstreams that may get new flows.
func newFlowIDs(t *testing.T, c *Catalog, now time.Time) (ids []string) {
	for _, entry := range snapshotAt(t, c, now).Service("s").Entries {
		ids = append(ids, entry.ID)
	}
	return ids
}

// Guards against a copy that undoes a drain or a removal, hides an upstream that has not
// written again yet, or hides a later incarnation; and against a merged state that stays
// after the store has settled.
func TestUpstreamsOfCopyAreMergedUntilSettled(t *testing.T) {
	ready, draining := listedEntry("i-3", 1000, "10.0.0.3:80", 5), listedEntry("i-1", 1000, "10.0.0.1:80", 6)
	draining.Upstream.Draining = true
	c := newSynchronized(draining, listedEntry("i-2", 1000, "10.0.0.2:80", 7), ready, listedEntry("i-4", 1000, "10.0.0.4:80", 9), listedEntry("i-5", 1000, "10.0.0.5:80", 9))
	c.Apply(start, UpstreamsChanged{Revision: 101, Changes: []UpstreamChange{removedEntry("i-2", 101)}})

	drainingInCopy := ready
	drainingInCopy.Upstream.Draining, drainingInCopy.Upstream.Revision = true, 4
	list := UpstreamsListed{Revision: 8, Entries: []UpstreamChange{
		listedEntry("i-1", 1000, "10.0.0.1:80", 2), listedEntry("i-2", 1000, "10.0.0.2:80", 3), drainingInCopy, listedEntry("i-4", 2000, "10.0.0.4:80", 8),
	}}
	now := start.Add(time.Second)
	c.Apply(now, restored(KindUpstreams, 8, list))
	require.Equal(t, []string{"i-4", "i-5"}, newFlowIDs(t, c, now))
	require.EqualValues(t, 2000, c.byID["i-4"].Born)
	require.Equal(t, Position{Era: 2, Revision: 8}, snapshotAt(t, c, now).Position(KindUpstreams))

	c.Apply(now, UpstreamsChanged{Revision: 9, Changes: []UpstreamChange{listedEntry("i-2", 1000, "10.0.0.2:80", 9)}})
	require.Equal(t, []string{"i-2", "i-4", "i-5"}, newFlowIDs(t, c, now), "what is written after the first list counts at once")

	list.Revision = 9
	c.Apply(now, EraSettled{Kind: KindUpstreams, Era: 2})
	c.Apply(now, list)
	require.Equal(t, []string{"i-1", "i-2", "i-4"}, newFlowIDs(t, c, now), "the settled list decides")
}

// Guards against a copy that ends an evacuation, or starts one again that has ended.
func TestEvacuationsOfCopyAreMergedUntilSettled(t *testing.T) {
	c := newSynchronized()
	c.Apply(start, EvacuationsListed{Revision: 50, Domains: []string{"a", "b"}})
	c.Apply(start, EvacuationsChanged{Revision: 51, Changes: []EvacuationChange{{FailureDomain: "b", Ended: true}}})
	list := EvacuationsListed{Revision: 40, Domains: []string{"b", "c"}}
	c.Apply(start, restored(KindEvacuations, 40, list))
	require.Equal(t, []string{"a", "c"}, snapshotAt(t, c, start).evacuated)
	c.Apply(start, EvacuationsChanged{Revision: 41, Changes: []EvacuationChange{{FailureDomain: "b"}, {FailureDomain: "c", Ended: true}}})
	require.Equal(t, []string{"a", "b"}, snapshotAt(t, c, start).evacuated)
	c.Apply(start, EraSettled{Kind: KindEvacuations, Era: 2})
	list.Revision, list.Domains = 42, []string{"b"}
	c.Apply(start, list)
	require.Equal(t, []string{"b"}, snapshotAt(t, c, start).evacuated)
}

// Guards against an older configuration from the copy, and against the next one that is
// ignored because its revision was another one's before.
func TestConfigurationOfCopyDoesNotReplaceLaterVersion(t *testing.T) {
	c := newSynchronized()
	c.Apply(start, configuration(10, 90))
	c.Apply(start, restored(KindConfiguration, 40, configuration(7, 39)))
	require.EqualValues(t, 10, snapshotAt(t, c, start).Version)
	c.Apply(start, configuration(10, 41))
	c.Apply(start, configuration(12, 90))
	require.EqualValues(t, 12, snapshotAt(t, c, start).Version)
}

// Guards against resets of flows whose upstreams have not written again yet: the state
// of a restored store is not complete at once.
func TestRestoredStateIsNotCompleteAtOnce(t *testing.T) {
	c := newSynchronized()
	later := start.Add(time.Minute)
	c.Apply(later, Confirmed{Kind: KindUpstreams, Revision: 100})
	require.True(t, snapshotAt(t, c, later).Complete(later))
	c.Apply(later, restored(KindUpstreams, 40, UpstreamsListed{Revision: 40}))
	require.False(t, snapshotAt(t, c, later).Complete(later.Add(completeDelay-time.Millisecond)))
	require.True(t, snapshotAt(t, c, later).Complete(later.Add(completeDelay)))
}
