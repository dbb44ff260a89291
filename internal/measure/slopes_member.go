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

// membershipOnlyCore only takes part in the membership: it sends heartbeats,
// grants leases and credits, answers object pulls, and reports the platform's
// revision as in force. With it, one decision core can run in a fleet that would
// take too long to simulate with a decision core in every instance.
type membershipOnlyCore struct {
	world       *World
	name        string
	incarnation uint64
	membership  *membership.Membership
	// partnersRevision is the platform's revision when the lease partners were
	// last read.
	partnersRevision uint64
}

func newMembershipOnlyCore(w *World, cfg node.Config, rng *rand.Rand) *membershipOnlyCore {
	return &membershipOnlyCore{
		world: w, name: cfg.Self.Name, incarnation: cfg.Self.Incarnation,
		membership: membership.New(cfg.Membership, cfg.Self, rng),
	}
}

func (c *membershipOnlyCore) Tick(now time.Time) []action.Action {
	if revision := c.world.store.Revision(); revision != c.partnersRevision {
		c.partnersRevision = revision
		c.readLeasePartners()
	}
	c.membership.SetLocal(c.partnersRevision, now, true, false)
	return c.membership.Tick(now)
}

// readLeasePartners reads the successors of the slots that the instance holds,
// and the holders of the slots whose successor it is, from the slot table. The
// read does not count as a platform call.
func (c *membershipOnlyCore) readLeasePartners() {
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
	c.membership.SetPartners(partners)
}

func (c *membershipOnlyCore) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	if hb := m.GetHeartbeat(); hb != nil {
		return c.membership.HandleHeartbeat(now, m.GetFrom(), m.GetIncarnation(), hb)
	}
	if r := m.GetCreditRequest(); r != nil {
		return c.grantCredits(m.GetFrom(), r)
	}
	if r := m.GetObjectPull(); r != nil {
		return c.pushObjects(m.GetFrom(), r)
	}
	return nil
}

// grantCredits grants all credits and reports the upstream as warm, so that the
// decision core does not wait for a slot holder that admits no flows.
func (c *membershipOnlyCore) grantCredits(to string, r *pb.CreditRequest) []action.Action {
	return c.sendToInstance(to, &pb.PeerMessage{Body: &pb.PeerMessage_CreditGrant{CreditGrant: &pb.CreditGrant{
		Upstream: r.GetUpstream(), Credits: r.GetCredits(), BootId: r.GetBootId(), Sequence: r.GetSequence(), Warm: true,
	}}})
}

// pushObjects answers an object pull with the objects that the platform holds.
func (c *membershipOnlyCore) pushObjects(to string, r *pb.ObjectPull) []action.Action {
	objects, revision, err := c.world.store.List("", r.GetSince())
	if err != nil {
		return nil
	}
	return c.sendToInstance(to, &pb.PeerMessage{Body: &pb.PeerMessage_ObjectPush{ObjectPush: &pb.ObjectPush{
		Since: r.GetSince(), Revision: revision, Objects: objects,
	}}})
}

func (c *membershipOnlyCore) sendToInstance(to string, m *pb.PeerMessage) []action.Action {
	m.From, m.Incarnation = c.name, c.incarnation
	for _, i := range c.world.instances {
		if i.name == to {
			return []action.Action{action.SendPeer{Instance: to, Address: i.peerAddress, Message: m}}
		}
	}
	return nil
}

func (*membershipOnlyCore) HandlePacket(time.Time, *pb.Packet) []action.Action { return nil }
func (*membershipOnlyCore) HandleUpstream(time.Time, *pb.Packet, netip.AddrPort) []action.Action {
	return nil
}
func (*membershipOnlyCore) HandlePlatform(time.Time, action.PlatformEvent) []action.Action {
	return nil
}
func (*membershipOnlyCore) HandleProbe(time.Time, action.ProbeResult) []action.Action { return nil }
func (*membershipOnlyCore) Shutdown(time.Time) []action.Action                        { return nil }
func (*membershipOnlyCore) Snapshot(func() time.Time) *route.Snapshot                 { return nil }
func (*membershipOnlyCore) NextDue() time.Time                                        { return time.Time{} }
func (*membershipOnlyCore) Ready() bool                                               { return true }
