package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// recordedGrants records to whom grants are stopped. Nobody has a grant.
type recordedGrants struct{ stopped map[string]bool }

func (recordedGrants) ReceivedGrantUntil(string) time.Time            { return time.Time{} }
func (recordedGrants) GivenGrantUntil(string) time.Time               { return time.Time{} }
func (g recordedGrants) SetGrantsStopped(member string, stopped bool) { g.stopped[member] = stopped }

// newTestManager returns the manager of instance b beside the members a and c, and its
// grants.
func newTestManager() (*Manager, recordedGrants) {
	grants := recordedGrants{stopped: map[string]bool{}}
	self := membership.Member{Name: "b", Incarnation: 1, State: membership.Alive}
	manager := New(Config{}, self, rand.New(rand.NewPCG(1, 1)))
	manager.grants = grants
	manager.view = &membership.View{Self: self, Members: []membership.Member{
		{Name: "a", Incarnation: 1, State: membership.Alive}, self, {Name: "c", Incarnation: 1, State: membership.Alive},
	}}
	return manager, grants
}

// Guards against grants that a replaced holder with an old table gets again, because the
// write of a later takeover of another of its slots fails.
func TestFailedSecondTakeoverKeepsGrantsStopped(t *testing.T) {
	manager, grants := newTestManager()
	table := &pb.SlotTable{}
	for range flow.LeaseSlotCount {
		table.Slots = append(table.Slots, &pb.Slot{Epoch: 1, Holder: "a", HolderIncarnation: 1, Successor: "b", SuccessorIncarnation: 1})
	}
	now := time.Unix(1_000_000, 0)
	manager.startedAt, manager.runningSince = now.Add(-time.Hour), now.Add(-time.Hour)
	manager.planTakeover(now, cloneTable(table), 0)
	require.True(t, grants.stopped["a"])
	manager.AdoptTable(now.Add(-time.Hour), table, 2, 9)
	manager.planTakeover(now, cloneTable(table), 1)
	manager.abandonWrite(now)
	require.True(t, grants.stopped["a"], "a has not reported revision 9")
}

// Guards against an instance that acts for a slot of a restored platform although the
// parties of one of its two lost entries have not noticed the restoration.
func TestSlotWaitsForPartiesOfEveryLostEntry(t *testing.T) {
	manager, _ := newTestManager()
	era1, err := position.Of(1, 5)
	require.NoError(t, err)
	now := time.Unix(1_000_000, 0)
	manager.revision = era1
	manager.quarantineSlot(now, 0, &pb.Slot{Holder: "a", HolderIncarnation: 1, Successor: "x"})
	manager.quarantineSlot(now, 0, &pb.Slot{Holder: "c", HolderIncarnation: 1, Successor: "x"})
	manager.view.Members[2].Revision = era1
	manager.endQuarantines(now)
	require.Len(t, manager.slots[0].lost, 1, "a may still act")
	manager.view.Members[0].Revision = era1
	manager.endQuarantines(now.Add(time.Minute))
	require.Empty(t, manager.slots[0].lost)
	require.True(t, manager.slots[0].quietUntil.After(now.Add(time.Minute)), "grants of before expire first")
}

// Guards against an instance that reclaims a slot from the copy of a restored platform
// while another one may act by a lost table, and against slots that are never reclaimed
// because a member does not report.
func TestReclaimWaitsForEraOfEveryInstance(t *testing.T) {
	era1, err := position.Of(1, 5)
	require.NoError(t, err)
	started := time.Unix(1_000_000, 0)
	for name, test := range map[string]struct {
		revision  uint64
		reported  []uint64 // by a and c
		after     time.Duration
		reclaimed bool
	}{
		"never restored":          {revision: 5, reported: []uint64{0, 0}, reclaimed: true},
		"nobody has reported":     {revision: era1, reported: []uint64{0, 0}},
		"holder has not reported": {revision: era1, reported: []uint64{0, era1}},
		"member has not reported": {revision: era1, reported: []uint64{era1, 0}},
		"all have reported":       {revision: era1, reported: []uint64{era1, era1}, reclaimed: true},
		"grants have expired":     {revision: era1, reported: []uint64{0, 0}, after: time.Minute, reclaimed: true},
	} {
		manager, _ := newTestManager()
		manager.startedAt = started
		table := &pb.SlotTable{}
		for range flow.LeaseSlotCount {
			table.Slots = append(table.Slots, &pb.Slot{Epoch: 1, Holder: "b", Successor: "a", SuccessorIncarnation: 1})
		}
		manager.AdoptTable(started, table, 2, test.revision)
		manager.view.Members[0].Revision, manager.view.Members[2].Revision = test.reported[0], test.reported[1]
		planned := cloneTable(table)
		manager.planHeld(started.Add(test.after), planned, 0)
		require.Equal(t, test.reclaimed, planned.GetSlots()[0].GetHolderIncarnation() == 1, name)
	}
}
