package catalog

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

var start = time.Date(2026, 8, 3, 14, 30, 0, 0, time.UTC)

// listedEntry returns a change with a valid entry.
func listedEntry(id string, born int64, address string, revision uint64) UpstreamChange {
	return UpstreamChange{Upstream: Upstream{
		ID: id, Born: born, Token: 1, Address: netip.MustParseAddrPort(address), FailureDomain: "a", Service: "s",
		Capacity: 2, Revision: revision,
	}}
}

func removedEntry(id string, revision uint64) UpstreamChange {
	return UpstreamChange{Upstream: Upstream{ID: id, Revision: revision}, Removed: true}
}

func configuration(version, revision uint64) ConfigurationRead {
	return ConfigurationRead{Configuration{
		Version: version, Revision: revision,
		Routes:   []Route{{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Split: []Weight{{Service: "s", Weight: 1}}}},
		Services: []Service{{Name: "s"}},
	}}
}

// newSynchronized returns a catalog that has read all kinds from the store.
func newSynchronized(entries ...UpstreamChange) *Catalog {
	c := New()
	c.Apply(start, configuration(1, 1))
	c.Apply(start, EvacuationsListed{Revision: 1})
	c.Apply(start, UpstreamsListed{Entries: entries, Revision: 100})
	for _, kind := range Kinds() {
		c.Apply(start, Confirmed{Kind: kind, Revision: c.status[kind].revision})
	}
	return c
}

func snapshotAt(t *testing.T, c *Catalog, now time.Time) *Snapshot {
	t.Helper()
	c.dirty = true
	s, changed := c.Snapshot(now)
	require.True(t, changed)
	return s
}

// Guards against treating an upstream as ended when the store still lists an
// earlier upstream with the same address, whose entry has not expired yet. The two
// entries may arrive in either order.
func TestLaterUpstreamKeepsAddressOfExpiringEntry(t *testing.T) {
	earlier, later := listedEntry("i-e081", 1000, "10.0.0.1:80", 110), listedEntry("i-bf19", 2000, "10.0.0.1:80", 199)
	for name, entries := range map[string][]UpstreamChange{
		"later first": {later, earlier}, "earlier first": {earlier, later},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSynchronized(entries...)
			s := snapshotAt(t, c, start.Add(time.Minute))
			require.False(t, s.Resolve(flowcookie.Of("i-bf19", 2000)).Gone(start.Add(time.Minute)))
			require.Len(t, s.Service("s").Entries, 1)
			require.Equal(t, "i-bf19", s.Service("s").Entries[0].ID)

			// The earlier upstream is gone once its entry is removed.
			require.False(t, s.Resolve(flowcookie.Of("i-e081", 1000)).Gone(start.Add(time.Minute)))
			c.Apply(start.Add(time.Second), UpstreamsChanged{Changes: []UpstreamChange{removedEntry("i-e081", 210)}, Revision: 210})
			s = snapshotAt(t, c, start.Add(time.Second))
			require.True(t, s.Resolve(flowcookie.Of("i-e081", 1000)).Gone(start.Add(time.Second)))
			require.False(t, s.Resolve(flowcookie.Of("i-bf19", 2000)).Gone(start.Add(time.Second)))
		})
	}
}

// Guards against new flows for an earlier incarnation after the upstream has started
// again under the same id, and against a lagging replica that brings it back.
func TestRestartWithSameIDReplacesEarlierIncarnation(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-1", 5000, "10.0.0.1:80", 101)}, Revision: 101})
	s := snapshotAt(t, c, start)
	require.True(t, s.Resolve(flowcookie.Of("i-1", 1000)).Gone(start))
	require.False(t, s.Resolve(flowcookie.Of("i-1", 5000)).Gone(start))
	require.Len(t, s.Service("s").Entries, 1)
	require.EqualValues(t, 5000, s.Successor(flowcookie.Of("i-1", 1000)).Born)
	require.Nil(t, s.Successor(flowcookie.Of("i-1", 5000)))

	// An older entry from a replica that lags does not bring it back.
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-1", 1000, "10.0.0.1:80", 10)}, Revision: 101})
	require.True(t, snapshotAt(t, c, start).Resolve(flowcookie.Of("i-1", 1000)).Gone(start))
}

// Guards against ending the flows of an upstream whose entry expired while the
// store was unavailable and comes back within missingGrace.
func TestMissingEntryThatComesBackInTimeIsNotGone(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	cookie := flowcookie.Of("i-1", 1000)
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{removedEntry("i-1", 101)}, Revision: 101})
	beforeGraceEnd := start.Add(missingGrace - time.Millisecond)
	s := snapshotAt(t, c, beforeGraceEnd)
	require.False(t, s.Resolve(cookie).Gone(beforeGraceEnd))
	require.Empty(t, s.Service("s").Entries)
	require.Len(t, s.Service("s").Missing, 1)

	c.Apply(beforeGraceEnd, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-1", 1000, "10.0.0.1:80", 102)}, Revision: 102})
	s = snapshotAt(t, c, beforeGraceEnd)
	require.Len(t, s.Service("s").Entries, 1)
	require.False(t, s.Resolve(cookie).Gone(start.Add(time.Hour)))
}

// Guards against using an upstream whose entry is still missing after the users'
// bound missingGrace.
func TestMissingEntryIsGoneAfterGrace(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{removedEntry("i-1", 101)}, Revision: 101})
	graceEnd := start.Add(missingGrace)
	s := snapshotAt(t, c, graceEnd)
	require.True(t, s.Resolve(flowcookie.Of("i-1", 1000)).Gone(graceEnd))
	require.True(t, s.Service("s").Missing[0].Gone(graceEnd))
	c.DeleteExpired(start.Add(removedRetention))
	require.Nil(t, snapshotAt(t, c, start.Add(removedRetention)).Resolve(flowcookie.Of("i-1", 1000)))
}

// Guards against an entry that cannot be decoded and removes other upstreams, ends
// its own flows, or gets new flows.
func TestInvalidEntryKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	invalid := UpstreamChange{Upstream: Upstream{ID: "i-1", Revision: 101}, Invalid: assert.AnError}
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10), listedEntry("i-2", 1000, "10.0.0.2:80", 11))
	changes := c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{invalid}, Revision: 101})
	require.Equal(t, "upstream_invalid", changes[0].Event)
	s := snapshotAt(t, c, start)
	require.Len(t, s.Service("s").Entries, 1)
	require.False(t, s.Resolve(flowcookie.Of("i-1", 1000)).Gone(start))

	c.Apply(start, UpstreamsListed{Entries: []UpstreamChange{invalid, listedEntry("i-2", 1000, "10.0.0.2:80", 11)}, Revision: 102})
	require.False(t, snapshotAt(t, c, start).Resolve(flowcookie.Of("i-1", 1000)).Gone(start.Add(time.Hour)))
}

// Guards against adding an upstream whose cookie another one has: packets of its
// flows would reach the other upstream.
func TestUpstreamWithCollidingCookieGetsNoFlows(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	cookie := flowcookie.Of("i-2", 1000)
	colliding := *c.byCookie[flowcookie.Of("i-1", 1000)]
	colliding.Cookie = cookie
	c.byCookie[cookie] = &colliding
	changes := c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-2", 1000, "10.0.0.2:80", 101)}, Revision: 101})
	require.Equal(t, "cookie_collision", changes[0].Event)
	require.Equal(t, "i-1", snapshotAt(t, c, start).Resolve(cookie).ID)
}

// Guards against a list from a replica that lags and undoes newer changes.
func TestOlderListIsIgnored(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	c.Apply(start, UpstreamsListed{Entries: nil, Revision: 50})
	require.Len(t, snapshotAt(t, c, start).Service("s").Entries, 1)
}

// Guards against a listed upstream that counts as missing because a watch repeats its
// removal from before the list.
func TestRemovalFromBeforeEntryIsIgnored(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 98))
	require.Empty(t, c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{removedEntry("i-1", 97)}, Revision: 97}))
	require.True(t, c.byID["i-1"].Listed())
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{removedEntry("i-1", 101)}, Revision: 101})
	require.False(t, c.byID["i-1"].Listed())
}

// Guards against an instance that started after a restart of an upstream and resets the
// flows with the cookie of the earlier incarnation: it learns of it from a peer. Reports
// of unknown upstreams or later incarnations must change nothing.
func TestEarlierIncarnationsOfPeersHaveSuccessors(t *testing.T) {
	peer := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10), listedEntry("i-2", 1000, "10.0.0.2:80", 11))
	peer.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-1", 5000, "10.0.0.1:80", 101)}, Revision: 101})
	earlier := snapshotAt(t, peer, start).EarlierIncarnations(5)
	require.Equal(t, []Incarnation{{"i-1", 1000}}, earlier)

	c := newSynchronized(listedEntry("i-1", 5000, "10.0.0.1:80", 101))
	c.Apply(start, EarlierIncarnations{append(earlier, Incarnation{"i-1", 9000}, Incarnation{"i-7", 1})})
	s := snapshotAt(t, c, start)
	require.EqualValues(t, 5000, s.Successor(flowcookie.Of("i-1", 1000)).Born)
	require.Equal(t, 2, s.UpstreamCount())
	require.Len(t, s.Service("s").Entries, 1)
	c.DeleteExpired(start.Add(removedRetention))
	require.Equal(t, 1, snapshotAt(t, c, start.Add(removedRetention)).UpstreamCount())
}

// Guards against missing upstreams of peers that get new flows, replace what the store lists,
// hide an entry that comes back in another era, or are passed on for ever.
func TestMissingUpstreamsOfPeersOnlyKeepTheirFlows(t *testing.T) {
	told := func(id, address string, ago time.Duration) MissingUpstream {
		return MissingUpstream{Upstream: listedEntry(id, 1000, address, 900).Upstream, Ago: ago}
	}
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	c.Apply(start, MissingUpstreams{[]MissingUpstream{
		told("i-1", "10.0.0.1:80", 3*time.Second), told("i-2", "10.0.0.2:80", 3*time.Second), told("i-3", "10.0.0.1:80", 3*time.Second),
		told("i-4", "10.0.0.4:80", removedRetention), told("i-5", "10.0.0.5:80", time.Second),
	}})
	s := snapshotAt(t, c, start)
	require.Equal(t, 2, s.UpstreamCount())
	require.True(t, s.Resolve(flowcookie.Of("i-1", 1000)).Listed())
	require.True(t, s.Resolve(flowcookie.Of("i-2", 1000)).Gone(start))
	require.Len(t, s.Service("s").Entries, 1)
	require.Equal(t, 5*time.Second, s.MissingUpstreams(start.Add(2*time.Second), 5)[0].Ago)

	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-2", 1000, "10.0.0.2:80", 101)}, Revision: 101})
	require.Len(t, snapshotAt(t, c, start).Service("s").Entries, 2)
}

// Guards against an instance that starts as an evacuation ends and takes upstreams for warm
// that became cold during it, and against upstreams that count as cold again and again
// because instances pass the end on to each other.
func TestEndOfEvacuationBeforeStartMakesUpstreamsCold(t *testing.T) {
	peer := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	peer.Apply(start, EvacuationsChanged{Revision: 101, Changes: []EvacuationChange{{FailureDomain: "a"}}})
	peer.Apply(start, EvacuationsChanged{Revision: 102, Changes: []EvacuationChange{{FailureDomain: "a", Ended: true}}})
	told := start.Add(500 * time.Millisecond)
	ended := snapshotAt(t, peer, told).EndedEvacuations(told)
	require.Equal(t, []EndedEvacuation{{"a", 500 * time.Millisecond}}, ended)

	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	c.Apply(told, EvacuationsEnded{ended})
	s := snapshotAt(t, c, told)
	end := start.Add(evacuationColdTime)
	require.True(t, s.Service("s").Entries[0].Cold(end.Add(-time.Millisecond)))
	require.False(t, s.Service("s").Entries[0].Cold(end))
	require.Equal(t, ended, s.EndedEvacuations(told))
	require.Empty(t, s.EndedEvacuations(start.Add(evacuationToldFor)))
	require.Empty(t, c.Apply(end, EvacuationsEnded{s.EndedEvacuations(end)}))
	later := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	require.Empty(t, later.Apply(end, EvacuationsEnded{s.EndedEvacuations(end)}))
	require.False(t, snapshotAt(t, later, end).Service("s").Entries[0].Cold(end))
}

// Guards against instances that all start after the end of an evacuation, so that none has
// seen it, and take upstreams for warm that have not written since, and against upstreams
// that count as cold although another instance tells that the end was long ago.
func TestEndOfEvacuationInHistoryMakesUpstreamsCold(t *testing.T) {
	ends := EarlierEvacuationEnds{Revisions: map[string]uint64{"a": 50}}
	cold := func(c *Catalog, now time.Time, id string) bool {
		return snapshotAt(t, c, now).Resolve(flowcookie.Of(id, 1000)).Cold(now)
	}
	upstreams := []UpstreamChange{listedEntry("i-1", 1000, "10.0.0.1:80", 49), listedEntry("i-2", 1000, "10.0.0.2:80", 51)}
	c := newSynchronized(upstreams...)
	c.Apply(start, ends)
	require.True(t, cold(c, start, "i-1"))
	require.False(t, cold(c, start, "i-2"), "it has written since the end")
	require.False(t, cold(c, start.Add(evacuationColdTime), "i-1"))
	require.Empty(t, snapshotAt(t, c, start).EndedEvacuations(start), "the time of the end is not known")
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{listedEntry("i-1", 1000, "10.0.0.1:80", 101)}, Revision: 101})
	require.False(t, cold(c, start, "i-1"))

	told := EvacuationsEnded{[]EndedEvacuation{{"a", 10 * time.Second}}}
	for name, events := range map[string][]Event{"told after": {ends, told}, "told before": {told, ends}} {
		c := newSynchronized(upstreams...)
		for _, event := range events {
			c.Apply(start, event)
		}
		require.False(t, cold(c, start, "i-1"), name)
	}
}

// Guards against upstreams that became cold shortly before the end of an evacuation and
// count as warm because a replica that lags keeps their reports back, and against
// upstreams that count as cold for longer than a cold start takes.
func TestColdTimeAfterEvacuationFollowsColdStart(t *testing.T) {
	for cold, expected := range map[time.Duration]time.Duration{
		0: evacuationColdTime, time.Second: time.Second, 2 * time.Second: 2 * time.Second, 30 * time.Second: evacuationColdTime,
	} {
		c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
		config := configuration(2, 2)
		config.Configuration.Services[0].ColdDuration = cold
		c.Apply(start, config)
		c.Apply(start, EvacuationsChanged{Revision: 101, Changes: []EvacuationChange{{FailureDomain: "a"}}})
		c.Apply(start, EvacuationsChanged{Revision: 102, Changes: []EvacuationChange{{FailureDomain: "a", Ended: true}}})
		entry := snapshotAt(t, c, start).Service("s").Entries[0]
		require.Equal(t, start.Add(expected), entry.ColdUntil, cold)
	}
}

// Guards against an instance that starts while the store is unavailable, fetches
// the state of another one, and lacks upstreams whose flows go on although their
// entries are missing.
func TestFetchedStateContainsMissingUpstreams(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10), listedEntry("i-2", 1000, "10.0.0.2:80", 11))
	c.Apply(start, UpstreamsChanged{Changes: []UpstreamChange{removedEntry("i-1", 101)}, Revision: 101})
	receiver := New()
	for _, kind := range Kinds() {
		receiver.Apply(start, snapshotAt(t, c, start).StateEvent(kind))
	}
	s := snapshotAt(t, receiver, start)
	require.NotNil(t, s.Resolve(flowcookie.Of("i-1", 1000)))
	require.Len(t, s.Service("s").Entries, 1)
	require.EqualValues(t, 1, s.Version)
}

// Guards against rebuilding all maps for each confirmation, and against a snapshot
// with shared maps that shows outdated times.
func TestConfirmationSharesMapsOfLastSnapshot(t *testing.T) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	first := snapshotAt(t, c, start)
	c.Apply(start.Add(time.Second), Confirmed{Kind: KindUpstreams, Revision: 120})
	second, changed := c.Snapshot(start.Add(time.Second))
	require.True(t, changed)
	require.Same(t, first.Service("s"), second.Service("s"))
	require.EqualValues(t, 120, second.Revisions[KindUpstreams])
	require.Equal(t, start.Add(time.Second), second.Confirmed[KindUpstreams])
	require.Equal(t, start, first.Confirmed[KindUpstreams])
	_, changed = c.Snapshot(start.Add(time.Second))
	require.False(t, changed)
}

func BenchmarkConfirmation(b *testing.B) {
	c := newSynchronized(listedEntry("i-1", 1000, "10.0.0.1:80", 10))
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		c.Apply(now, Confirmed{Kind: KindUpstreams, Revision: 100})
		c.Snapshot(now)
	}
}
