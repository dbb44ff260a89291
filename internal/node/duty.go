package node

import pb "github.com/chivemast/chivemast/gen/chivemast/v1"

// Duty is a category of work, by which the cost of a node is measured.
type Duty int

// Work categories.
const (
	// DutyOther is work that belongs to no other category.
	DutyOther Duty = iota
	// DutyMembership covers heartbeats and the building of the membership view.
	DutyMembership
	// DutyConfiguration covers pushes, pulls and the applying of configuration objects.
	DutyConfiguration
	// DutyPlatform covers results and messages of the platform client.
	DutyPlatform
	DutyHealth
	DutyLease
	// DutyTables covers planning and writing of placement tables.
	DutyTables
	// DutySnapshot covers the building of the routing snapshot.
	DutySnapshot
	// DutyTracking covers flows of buckets in transition.
	DutyTracking
	DutyCredits
	DutyRequests
	// Duties is the number of work categories.
	Duties
)

func (d Duty) String() string {
	return [...]string{
		"other", "membership", "configuration", "platform", "health", "lease",
		"tables", "snapshot", "tracking", "credits", "requests",
	}[d]
}

// attributeWork attributes the work that follows to category d, reports this to
// Config.Meter if it is set, and returns the previous category.
func (node *Node) attributeWork(d Duty) Duty {
	before := node.currentDuty
	node.currentDuty = d
	if node.cfg.Meter != nil {
		node.cfg.Meter(d)
	}
	return before
}

// DutyOf returns the work category of a peer message. A redirected packet counts as
// requests or tracking, and a message without a known body as DutyOther.
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

// dutyOfPacket returns DutyRequests for a packet with a request id and DutyTracking for
// any other.
func dutyOfPacket(p *pb.Packet) Duty {
	if p.GetRequestId() != 0 {
		return DutyRequests
	}
	return DutyTracking
}
