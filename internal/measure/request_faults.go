package measure

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/request"
	"github.com/chivemast/chivemast/internal/standin/platform"
)

// Policies that run the product's node with one rule switched off.
const (
	// PolicyNoRetryBudget lets every failed attempt of an idempotent request
	// be retried.
	PolicyNoRetryBudget = "no_retry_budget"
	// PolicyNoFence lets a new holder of a lease slot decide requests that its
	// predecessor may have sent.
	PolicyNoFence = "no_fence"
)

// LinkFaults are shares of the packets between instances and to and from
// upstreams; no packet to an upstream is duplicated. A reordered packet is late
// by up to ReorderBy.
type LinkFaults struct {
	Duplicate, Reorder, Drop float64
	ReorderBy                time.Duration
}

// platformTimeout is when a client gives up a call whose answer is lost.
const platformTimeout = 2 * time.Second

// now is the time by the clock of the instance.
func (i *instance) now() time.Time {
	if i.index < len(i.world.opt.Skew) {
		return i.world.now.Add(i.world.opt.Skew[i.index])
	}
	return i.world.now
}

// link delivers a packet over a link with faults. A duplicate calls deliver a
// second time.
func (w *World) link(deliver func()) { w.deliver(w.opt.Links, deliver) }

// linkOnce is link without duplicates. Upstreams run a request once per packet
// that arrives, so that nobody before them could undo a duplicate there.
func (w *World) linkOnce(deliver func()) {
	faults := w.opt.Links
	faults.Duplicate = 0
	w.deliver(faults, deliver)
}

func (w *World) deliver(faults LinkFaults, deliver func()) {
	if faults.Drop > 0 && w.rng.Float64() < faults.Drop {
		return
	}
	copies := 1
	if faults.Duplicate > 0 && w.rng.Float64() < faults.Duplicate {
		copies = 2
	}
	for range copies {
		delay := peerDelay
		if faults.Reorder > 0 && w.rng.Float64() < faults.Reorder {
			delay += time.Duration(w.rng.Int64N(int64(faults.ReorderBy)))
		}
		w.after(delay, deliver)
	}
}

// lostAnswer is what a client reports when the answer of the platform does not
// arrive.
func lostAnswer(event action.PlatformEvent) action.PlatformEvent {
	lost := &platform.UnavailableError{Reason: "no answer"}
	switch e := event.(type) {
	case action.WriteResult:
		if e.Outcome == action.WriteFailed {
			return e
		}
		return action.WriteResult{Key: e.Key, ChangeID: e.ChangeID, Outcome: action.WriteUnknown}
	case action.ObjectsRead:
		if e.Watched {
			return action.WatchLost{Err: lost}
		}
	case action.WatchLost:
		return e
	}
	return action.ReadFailed{Err: lost}
}

// Stall pauses an instance as Freeze does, and holds back what it decided to
// send in the time before, so that these packets leave when it resumes.
func (w *World) Stall(index int, before, d time.Duration) {
	i := w.instances[index]
	life := i.life
	i.stalled = true
	w.after(before, func() {
		if i.life == life && i.running {
			w.Freeze(index, d)
		}
	})
	w.after(before+d, func() {
		if i.life != life || !i.running {
			return
		}
		waiting := i.outbox
		i.stalled, i.outbox = false, nil
		for _, send := range waiting {
			send()
		}
	})
}

func usesNode(policy string) bool {
	switch policy {
	case PolicyChivemast, PolicyNoRetryBudget, PolicyNoFence:
		return true
	}
	return false
}

// configurePolicy sets the options of a node that a policy changes.
func configurePolicy(policy string, cfg *node.Config) {
	if policy == PolicyNoRetryBudget {
		cfg.Request = request.Config{RetryRatio: 100, RetryBurst: 1e6}
	}
}

// unfenced is a node that takes every change of a lease slot for a complete
// handover by the previous holder, so that it applies no fence.
type unfenced struct {
	*node.Node
	table *pb.SlotTable
	// before holds the holder of each slot before its last change.
	before map[int]slotHolder
}

type slotHolder struct {
	name        string
	incarnation uint64
}

// Tick makes the present holder of each slot, and then the one before it,
// seem to hand the slot over: the leases look for the first, the request
// engine for the second.
func (u *unfenced) Tick(now time.Time) []action.Action {
	for slot, entry := range u.table.GetSlots() {
		u.handOver(now, slot, slotHolder{entry.GetHolder(), entry.GetHolderIncarnation()})
		if holder, ok := u.before[slot]; ok {
			u.handOver(now, slot, holder)
		}
	}
	return u.Node.Tick(now)
}

func (u *unfenced) handOver(now time.Time, slot int, from slotHolder) {
	u.Node.HandlePeer(now, &pb.PeerMessage{
		From: from.name, Incarnation: from.incarnation,
		Body: &pb.PeerMessage_SlotHandover{SlotHandover: &pb.SlotHandover{Slots: []uint32{uint32(slot)}}},
	})
}

// noteHolders remembers who held the slots that change.
func (u *unfenced) noteHolders(next *pb.SlotTable) {
	if u.before == nil {
		u.before = map[int]slotHolder{}
	}
	for slot, entry := range u.table.GetSlots() {
		if slot < len(next.GetSlots()) && entry.GetEpoch() != next.GetSlots()[slot].GetEpoch() {
			u.before[slot] = slotHolder{entry.GetHolder(), entry.GetHolderIncarnation()}
		}
	}
}

// HandlePlatform marks the slots that are read as handed over.
func (u *unfenced) HandlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	switch e := event.(type) {
	case action.ObjectsRead:
		u.markClean(e.Objects)
	case action.WriteResult:
		u.markClean([]*pb.Object{e.Object})
	}
	return u.Node.HandlePlatform(now, event)
}

// HandlePeer marks the slots that a peer pushes as handed over.
func (u *unfenced) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	u.markClean(m.GetObjectPush().GetObjects())
	return u.Node.HandlePeer(now, m)
}

// markClean marks every slot as handed over completely.
func (u *unfenced) markClean(objects []*pb.Object) {
	for _, o := range objects {
		table := &pb.SlotTable{}
		if o.GetKey() != lease.Key || codec.Decode(o.GetValue(), table) != nil {
			continue
		}
		for _, slot := range table.Slots {
			slot.Clean = true
		}
		u.noteHolders(table)
		u.table = table
		if value, err := codec.Encode(table); err == nil {
			o.Value = value
		}
	}
}
