package measure

import (
	"math/rand/v2"
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/route"
)

// memberCore is an instance that only takes part in the membership: it sends
// heartbeats and grants, answers pulls, and reports the platform's revision as
// in force. It lets one decision core run at a size whose fleet would take too long.
type memberCore struct {
	world       *World
	name        string
	incarnation uint64
	members     *membership.Membership
	// revision is the one at which the lease partners were read.
	revision uint64
}

func newMemberCore(w *World, cfg node.Config, rng *rand.Rand) *memberCore {
	return &memberCore{world: w, name: cfg.Self.Name, incarnation: cfg.Self.Incarnation, members: membership.New(cfg.Membership, cfg.Self, rng)}
}

func (c *memberCore) Tick(now time.Time) []action.Action {
	if revision := c.world.store.Revision(); revision != c.revision {
		c.revision = revision
		c.setPartners()
	}
	c.members.SetLocal(c.revision, now, true, false)
	return c.members.Tick(now)
}

// setPartners reads the slot table. The read does not count as a call of the
// instance.
func (c *memberCore) setPartners() {
	object, _, err := c.world.store.Get(lease.Key)
	table := &pb.SlotTable{}
	if err != nil || object == nil || codec.Decode(object.GetValue(), table) != nil {
		return
	}
	var partners []string
	for _, s := range table.GetSlots() {
		switch c.name {
		case s.GetHolder():
			partners = append(partners, s.GetSuccessor())
		case s.GetSuccessor():
			partners = append(partners, s.GetHolder())
		}
	}
	c.members.SetPartners(partners)
}

func (c *memberCore) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	if hb := m.GetHeartbeat(); hb != nil {
		return c.members.HandleHeartbeat(now, m.GetFrom(), m.GetIncarnation(), hb)
	}
	if r := m.GetCreditRequest(); r != nil {
		return c.grant(m.GetFrom(), r)
	}
	if r := m.GetObjectPull(); r != nil {
		return c.push(m.GetFrom(), r)
	}
	return nil
}

// grant says that an upstream is warm, so that the decision core does not
// wait for a slot holder that decides nothing.
func (c *memberCore) grant(to string, r *pb.CreditRequest) []action.Action {
	return c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_CreditGrant{CreditGrant: &pb.CreditGrant{
		Upstream: r.GetUpstream(), Credits: r.GetCredits(), BootId: r.GetBootId(), Sequence: r.GetSequence(), Warm: true,
	}}})
}

// push answers a pull with what the platform has.
func (c *memberCore) push(to string, r *pb.ObjectPull) []action.Action {
	objects, revision, err := c.world.store.List("", r.GetSince())
	if err != nil {
		return nil
	}
	return c.send(to, &pb.PeerMessage{Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{
		Since: r.GetSince(), Revision: revision, Objects: objects,
	}}})
}

func (c *memberCore) send(to string, m *pb.PeerMessage) []action.Action {
	m.From, m.Incarnation = c.name, c.incarnation
	for _, i := range c.world.instances {
		if i.name == to {
			return []action.Action{action.SendPeer{Instance: to, Address: i.peer, Message: m}}
		}
	}
	return nil
}

func (*memberCore) HandlePacket(time.Time, *pb.Packet) []action.Action { return nil }
func (*memberCore) HandleUpstream(time.Time, *pb.Packet, netip.AddrPort) []action.Action {
	return nil
}
func (*memberCore) HandlePlatform(time.Time, action.PlatformEvent) []action.Action { return nil }
func (*memberCore) HandleProbe(time.Time, action.ProbeResult) []action.Action      { return nil }
func (*memberCore) Shutdown(time.Time) []action.Action                             { return nil }
func (*memberCore) Snapshot(func() time.Time) *route.Snapshot                      { return nil }
func (*memberCore) NextDue() time.Time                                             { return time.Time{} }
func (*memberCore) Ready() bool                                                    { return true }
