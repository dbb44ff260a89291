package node

import pb "github.com/chivemast/chivemast/gen/chivemast/v1"

// Duty names a part of the work of a node, for measuring its cost.
type Duty int

// Duties of a node.
const (
	// DutyOther is work that is none of the others.
	DutyOther Duty = iota
	// DutyMembership covers heartbeats and building the view.
	DutyMembership
	// DutyConfiguration covers pushes, pulls and putting objects in force.
	DutyConfiguration
	// DutyPlatform covers results and messages of the platform client.
	DutyPlatform
	DutyHealth
	DutyLease
	// DutyTables covers planning and writing of placement tables.
	DutyTables
	// DutySnapshot is building the routing snapshot.
	DutySnapshot
	// DutyTracking covers buckets in transition.
	DutyTracking
	DutyCredits
	DutyRequests
	// Duties is the number of duties.
	Duties
)

func (d Duty) String() string {
	return [...]string{
		"other", "membership", "configuration", "platform", "health", "lease",
		"tables", "snapshot", "tracking", "credits", "requests",
	}[d]
}

// turn reports that the work that follows belongs to a duty, and returns the
// duty before.
func (n *Node) turn(d Duty) Duty {
	before := n.duty
	n.duty = d
	if n.cfg.Meter != nil {
		n.cfg.Meter(d)
	}
	return before
}

// DutyOf returns the duty to which a peer message belongs.
func DutyOf(m *pb.PeerMessage) Duty {
	switch m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		return DutyMembership
	case *pb.PeerMessage_Redirect:
		return dutyOfPacket(m.GetRedirect().GetPacket())
	case *pb.PeerMessage_Birth, *pb.PeerMessage_BirthAck, *pb.PeerMessage_TrackerSyncRequest, *pb.PeerMessage_TrackerSync:
		return DutyTracking
	case *pb.PeerMessage_CreditRequest, *pb.PeerMessage_CreditGrant:
		return DutyCredits
	case *pb.PeerMessage_ObjectPush, *pb.PeerMessage_ObjectPull:
		return DutyConfiguration
	case *pb.PeerMessage_SlotHandover:
		return DutyLease
	}
	return DutyOther
}

// dutyOfPacket attributes requests to the request engine and other packets to
// the tracker.
func dutyOfPacket(p *pb.Packet) Duty {
	if p.GetRequestId() != 0 {
		return DutyRequests
	}
	return DutyTracking
}
