package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against resets, by an instance that starts while the entry of an upstream is missing
// from the store, of flows that the upstream serves: other instances find it with probes.
func TestStartingInstanceLearnsOfUpstreamsWhoseEntriesAreMissing(t *testing.T) {
	now := time.Now()
	listed := catalog.UpstreamChange{Upstream: catalog.Upstream{ID: "i-1", Born: 1000, Capacity: 2, Address: netip.MustParseAddrPort("10.0.0.1:80"), Revision: 1}}
	missing := catalog.UpstreamChange{Upstream: catalog.Upstream{ID: "i-2", Born: 1000, Capacity: 2, Address: netip.MustParseAddrPort("10.0.0.2:80"), Revision: 2}}
	c := catalog.New()
	c.Apply(now.Add(-10*time.Second), catalog.UpstreamsListed{Revision: 2, Entries: []catalog.UpstreamChange{listed, missing}})
	c.Apply(now.Add(-5*time.Second), catalog.UpstreamsListed{Revision: 3, Entries: []catalog.UpstreamChange{listed}})
	running := &Instance{}
	snapshot, _ := c.Snapshot(now)
	running.snapshot.Store(snapshot)

	c = catalog.New()
	c.Apply(now, catalog.UpstreamsListed{Revision: 3, Entries: []catalog.UpstreamChange{listed}})
	starting := &Instance{events: make(chan catalogsync.Event, eventQueue)}
	starting.applyPast(running.past(12))
	close(starting.events)
	for event := range starting.events {
		c.Apply(now, event.Event)
	}
	snapshot, _ = c.Snapshot(now)
	entry := snapshot.Resolve(flowcookie.Of("i-2", 1000))
	require.NotNil(t, entry, "the flow would be reset as unknown_cookie")
	require.True(t, entry.Gone(now), "it gets no new flows")
}
