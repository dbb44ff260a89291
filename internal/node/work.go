package node

import pb "github.com/chivemast/chivemast/gen/chivemast/v1"

// WorkCategory is a category of work, by which the cost of a node is measured.
type WorkCategory int

// Work categories.
const (
	// WorkOther is work that belongs to no other category.
	WorkOther WorkCategory = iota
	// WorkMembership covers heartbeats and the building of the membership view.
	WorkMembership
	// WorkConfiguration covers pushes, pulls and the applying of configuration objects.
	WorkConfiguration
	// WorkPlatform covers results and messages of the platform client.
	WorkPlatform
	WorkHealth
	WorkLease
	// WorkTables covers planning and writing of placement tables.
	WorkTables
	// WorkSnapshot covers the building of the routing snapshot.
	WorkSnapshot
	// WorkTracking covers flows of buckets in transition.
	WorkTracking
	WorkCredits
	WorkRequests
	// WorkCategoryCount is the number of work categories.
	WorkCategoryCount
)

func (d WorkCategory) String() string {
	return [...]string{
		"other", "membership", "configuration", "platform", "health", "lease",
		"tables", "snapshot", "tracking", "credits", "requests",
	}[d]
}

// attributeWork attributes the work that follows to category d, reports this to
// Config.OnWorkCategory if it is set, and returns the previous category.
func (node *Node) attributeWork(d WorkCategory) WorkCategory {
	before := node.currentWorkCategory
	node.currentWorkCategory = d
	if node.cfg.OnWorkCategory != nil {
		node.cfg.OnWorkCategory(d)
	}
	return before
}

// WorkCategoryOf returns the work category of a peer message. A redirected packet counts as
// requests or tracking, and a message without a known body as WorkOther.
func WorkCategoryOf(m *pb.PeerMessage) WorkCategory {
	switch m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		return WorkMembership
	case *pb.PeerMessage_Redirect:
		return workCategoryOfPacket(m.GetRedirect().GetPacket())
	case *pb.PeerMessage_Birth, *pb.PeerMessage_BirthAck, *pb.PeerMessage_TrackerSyncRequest, *pb.PeerMessage_TrackerSync:
		return WorkTracking
	case *pb.PeerMessage_CreditRequest, *pb.PeerMessage_CreditGrant:
		return WorkCredits
	case *pb.PeerMessage_ObjectPush, *pb.PeerMessage_ObjectPull:
		return WorkConfiguration
	case *pb.PeerMessage_SlotHandover:
		return WorkLease
	}
	return WorkOther
}

// workCategoryOfPacket returns WorkRequests for a packet with a request id and WorkTracking for
// any other.
func workCategoryOfPacket(p *pb.Packet) WorkCategory {
	if p.GetRequestId() != 0 {
		return WorkRequests
	}
	return WorkTracking
}
