package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// HandlePeer processes a message of another instance.
func (node *Node) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	return node.completePeerMessages(node.handlePeer(now, m))
}

func (node *Node) handlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	node.attributeWork(WorkCategoryOf(m))
	node.advanceTimeReusingView(now)
	switch body := m.GetBody().(type) {
	case *pb.PeerMessage_Heartbeat:
		return node.handleHeartbeat(now, m, body.Heartbeat)
	case *pb.PeerMessage_Redirect:
		return node.handleRedirect(now, body.Redirect)
	case *pb.PeerMessage_Birth:
		return node.tracker.HandleBirth(now, m.GetFrom(), body.Birth)
	case *pb.PeerMessage_BirthAck:
		return node.releaseHeldPackets(node.tracker.HandleBirthAck(now, m.GetFrom(), body.BirthAck))
	case *pb.PeerMessage_TrackerSyncRequest:
		return node.tracker.HandleSyncRequest(now, m.GetFrom(), m.GetIncarnation(), body.TrackerSyncRequest)
	case *pb.PeerMessage_TrackerSync:
		return node.releaseHeldPackets(node.tracker.HandleSync(now, m.GetFrom(), m.GetIncarnation(), body.TrackerSync))
	case *pb.PeerMessage_CreditRequest:
		member, ok := node.view.Member(m.GetFrom())
		if !ok {
			return nil
		}
		return node.credits.HandleRequest(now, m.GetFrom(), member.Address, body.CreditRequest, leaseSlotsAdapter{node})
	case *pb.PeerMessage_CreditGrant:
		node.handleGrant(now, body.CreditGrant)
		return node.retryPendingOpens()
	case *pb.PeerMessage_ObjectPush:
		changed, out := node.sync.HandlePush(now, m.GetFrom(), body.ObjectPush)
		node.applyObjects(changed)
		node.advanceTime(now)
		return append(out, node.retryQueuedPackets(now)...)
	case *pb.PeerMessage_ObjectPull:
		return node.sync.HandlePull(now, m.GetFrom(), body.ObjectPull)
	case *pb.PeerMessage_SlotHandover:
		node.engine.HandleHandover(now, m.GetFrom(), body.SlotHandover)
		node.leases.HandleHandover(m.GetFrom(), m.GetIncarnation(), body.SlotHandover.GetSlots())
	}
	return nil
}

// completePeerMessages fills in the sender of peer messages, and the address where only
// the instance name is given. Messages to members without a known address are dropped.
func (node *Node) completePeerMessages(actions []action.Action) []action.Action {
	out := actions[:0]
	for _, a := range actions {
		send, ok := a.(action.SendPeer)
		if !ok {
			out = append(out, a)
			continue
		}
		if !send.Address.IsValid() {
			member, known := node.view.Member(send.Instance)
			if !known {
				continue
			}
			send.Address = member.Address
		}
		send.Message.From, send.Message.Incarnation = node.self.Name, node.self.Incarnation
		out = append(out, send)
	}
	return out
}

func (node *Node) handleHeartbeat(now time.Time, m *pb.PeerMessage, hb *pb.Heartbeat) []action.Action {
	out := node.members.HandleHeartbeat(now, m.GetFrom(), m.GetIncarnation(), hb)
	node.attributeWork(WorkHealth)
	for _, report := range hb.GetUpstreams() {
		node.observeBootID(now, report.GetUpstream(), report.GetBootId())
	}
	node.health.HandleReport(now, hb.GetFailureDomain(), hb.GetUpstreams())
	return out
}
