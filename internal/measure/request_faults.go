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
	// PolicyNoFence lets a new holder of a lease slot decide requests that the
	// previous holder may already have sent to an upstream.
	PolicyNoFence = "no_fence"
)

// LinkFaults holds the shares, from 0 to 1, of the packets between instances and
// to and from upstreams that are duplicated, reordered and lost. No packet to an
// upstream is duplicated. A reordered packet is delayed by up to
// MaxReorderDelay.
type LinkFaults struct {
	Duplicate, Reorder, Drop float64
	MaxReorderDelay          time.Duration
}

// platformTimeout is how long a client waits for the answer of the platform.
const platformTimeout = 2 * time.Second

// clockTime returns the time by the clock of the instance.
func (i *instance) clockTime() time.Time {
	if i.index < len(i.world.options.ClockSkew) {
		return i.world.virtualNow.Add(i.world.options.ClockSkew[i.index])
	}
	return i.world.virtualNow
}

// sendOverLink delivers a packet over a link with the configured faults. For a
// duplicate it calls deliver a second time.
func (w *World) sendOverLink(deliver func()) { w.sendWithFaults(w.options.LinkFaults, deliver) }

// sendOverLinkOnce is sendOverLink without duplicates. An upstream runs a request
// once for every packet that arrives, so no instance could prevent the second
// run that a duplicate on the way to an upstream would cause.
func (w *World) sendOverLinkOnce(deliver func()) {
	faults := w.options.LinkFaults
	faults.Duplicate = 0
	w.sendWithFaults(faults, deliver)
}

func (w *World) sendWithFaults(faults LinkFaults, deliver func()) {
	if faults.Drop > 0 && w.rng.Float64() < faults.Drop {
		return
	}
	copies := 1
	if faults.Duplicate > 0 && w.rng.Float64() < faults.Duplicate {
		copies = 2
	}
	for range copies {
		delay := domainNetworkDelay
		if faults.Reorder > 0 && w.rng.Float64() < faults.Reorder {
			delay += time.Duration(w.rng.Int64N(int64(faults.MaxReorderDelay)))
		}
		w.runAfter(delay, deliver)
	}
}

// eventOfLostAnswer returns the event that a client reports instead of the given
// one when the answer of the platform does not arrive.
func eventOfLostAnswer(event action.PlatformEvent) action.PlatformEvent {
	lost := &platform.UnavailableError{Reason: "answer lost on the network"}
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

// HoldSendsThenPause holds back what an instance sends to peers and upstreams
// for holdTime and then pauses it for pauseTime. The held messages leave when it
// resumes.
func (w *World) HoldSendsThenPause(index int, holdTime, pauseTime time.Duration) {
	instance := w.instances[index]
	generation := instance.generation
	instance.holdsSends = true
	w.runAfter(holdTime, func() {
		if instance.generation == generation && instance.running {
			w.PauseInstance(index, pauseTime)
		}
	})
	w.runAfter(holdTime+pauseTime, func() {
		if instance.generation != generation || !instance.running {
			return
		}
		held := instance.heldSends
		instance.holdsSends, instance.heldSends = false, nil
		for _, send := range held {
			send()
		}
	})
}

func usesProductNode(policy string) bool {
	switch policy {
	case PolicyChivemast, PolicyNoRetryBudget, PolicyNoFence:
		return true
	}
	return false
}

// configurePolicy changes the settings of a node to those of its policy.
func configurePolicy(policy string, cfg *node.Config) {
	if policy == PolicyNoRetryBudget {
		cfg.Request = request.Config{RetryRatio: 100, RetryBurst: 1e6}
	}
}

// noFenceNode is a node that takes every change of a lease slot for a complete
// handover by the previous holder. It therefore applies no fence: it decides
// requests that the previous holder may already have sent.
type noFenceNode struct {
	*node.Node
	// table is the slot table that was read last.
	table *pb.SlotTable
	// previousHolders holds, by slot number, the holder before the slot's last
	// change. Entries are never removed.
	previousHolders map[int]slotHolder
}

type slotHolder struct {
	name        string
	incarnation uint64
}

// Tick injects a handover message of the current holder of each slot, and then
// one of the previous holder: the lease manager expects the first, the request
// engine the second.
func (n *noFenceNode) Tick(now time.Time) []action.Action {
	for slot, entry := range n.table.GetSlots() {
		n.injectHandover(now, slot, slotHolder{entry.GetHolder(), entry.GetHolderIncarnation()})
		if holder, ok := n.previousHolders[slot]; ok {
			n.injectHandover(now, slot, holder)
		}
	}
	return n.Node.Tick(now)
}

func (n *noFenceNode) injectHandover(now time.Time, slot int, from slotHolder) {
	n.Node.HandlePeer(now, &pb.PeerMessage{
		From: from.name, Incarnation: from.incarnation,
		Body: &pb.PeerMessage_SlotHandover{SlotHandover: &pb.SlotHandover{Slots: []uint32{uint32(slot)}}},
	})
}

// recordPreviousHolders records the holders of the slots that the next table
// changes.
func (n *noFenceNode) recordPreviousHolders(next *pb.SlotTable) {
	if n.previousHolders == nil {
		n.previousHolders = map[int]slotHolder{}
	}
	for slot, entry := range n.table.GetSlots() {
		if slot < len(next.GetSlots()) && entry.GetEpoch() != next.GetSlots()[slot].GetEpoch() {
			n.previousHolders[slot] = slotHolder{entry.GetHolder(), entry.GetHolderIncarnation()}
		}
	}
}

// HandlePlatform marks all slots of a table that the platform returned as handed
// over completely.
func (n *noFenceNode) HandlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	switch e := event.(type) {
	case action.ObjectsRead:
		n.markSlotsClean(e.Objects)
	case action.WriteResult:
		n.markSlotsClean([]*pb.Object{e.Object})
	}
	return n.Node.HandlePlatform(now, event)
}

// HandlePeer marks all slots of a table that a peer pushed as handed over
// completely.
func (n *noFenceNode) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	n.markSlotsClean(m.GetObjectPush().GetObjects())
	return n.Node.HandlePeer(now, m)
}

// markSlotsClean marks every slot of the slot table among the objects as handed
// over completely.
func (n *noFenceNode) markSlotsClean(objects []*pb.Object) {
	for _, o := range objects {
		table := &pb.SlotTable{}
		if o.GetKey() != lease.Key || codec.Decode(o.GetValue(), table) != nil {
			continue
		}
		for _, slot := range table.Slots {
			slot.Clean = true
		}
		n.recordPreviousHolders(table)
		n.table = table
		if value, err := codec.Encode(table); err == nil {
			o.Value = value
		}
	}
}
