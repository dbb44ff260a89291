package catalog

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against an odd entry that an instance of another version passes on, as a change, a
// list, or the state that a starting instance takes: it must be used for nothing and must
// hide, displace or replace no other entry.
func TestOddEntryOfPeerHidesNoOthers(t *testing.T) {
	for field, spoil := range map[string]func(*Upstream){
		"capacity":        func(u *Upstream) { u.Capacity = math.MaxInt },
		"no capacity":     func(u *Upstream) { u.Capacity = 0 },
		"start":           func(u *Upstream) { u.Born = math.MaxInt64 },
		"start before 0":  func(u *Upstream) { u.Born = -1 },
		"removed, start":  func(u *Upstream) { u.Born = math.MaxInt64 },
		"address of i-1,": func(u *Upstream) { u.Born = math.MaxInt64 },
	} {
		odd := listedEntry("i-2", 1000, "10.0.0.2:80", 101)
		if field == "address of i-1," {
			odd = listedEntry("i-2", 1000, "10.0.0.1:80", 101)
		}
		odd.Removed = field == "removed, start"
		spoil(&odd.Upstream)
		valid, later := listedEntry("i-1", 1000, "10.0.0.1:80", 100), listedEntry("i-3", 1000, "10.0.0.3:80", 102)
		entries := []UpstreamChange{valid, odd, later}
		for source, event := range map[string]Event{
			"change":        UpstreamsChanged{Changes: entries, Revision: 102},
			"list":          UpstreamsListed{Entries: entries, Revision: 102},
			"fetched state": PeerStateFetched{Kind: KindUpstreams, Revision: 102, Events: []Event{UpstreamsListed{Entries: entries, Revision: 102}}},
			"restored list": restored(KindUpstreams, 102, UpstreamsListed{Entries: entries, Revision: 102}),
		} {
			c := newSynchronized()
			c.Apply(start, event)
			require.Equal(t, []string{"i-1", "i-3"}, newFlowIDs(t, c, start), "%s: %s", source, field)
			s := snapshotAt(t, c, start)
			require.Equal(t, 2, s.UpstreamCount(), "%s: %s", source, field)
			require.True(t, s.Resolve(flowcookie.Of("i-1", 1000)).Listed(), "%s: %s", source, field)
		}
	}
}
