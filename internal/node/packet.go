package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/domain"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/placement"
)

// Reasons passed to Observer.Dropped, in addition to those of placement.DropReason.
// They are label values of the metric for dropped packets.
const (
	DropMalformed              = "malformed"
	DropUnknownUpstreamAddress = "unknown_upstream_address"
	DropUnknownFlow            = "unknown_flow"
	DropUnknownService         = "unknown_service"
	DropStale                  = "stale"
	DropRevisionBehind         = "revision_behind"
	DropTooManyHops            = "too_many_hops"
	DropNoRefusalForKind       = "refused_without_answer"
	DropDuplicate              = "duplicate_attempt"
)

const (
	// revisionWaitLimit is how long a redirected packet waits for the configuration
	// revision that its sender has applied. Callers retransmit, so a dropped packet is
	// not lost for good.
	revisionWaitLimit = 500 * time.Millisecond
	// maxAwaitingRevision bounds the number of packets that wait for a revision.
	maxAwaitingRevision = 1024
)

// heldPacket is a packet that waits for a decision of the flow tracker.
type heldPacket struct {
	// service is <team>/<service>.
	service string
	packet  *pb.Packet
	key     flow.Key
}

// redirectAwaitingRevision is a redirected packet whose sender has applied a newer
// configuration revision than this instance.
type redirectAwaitingRevision struct {
	redirect *pb.RedirectedPacket
	// deadline is when the packet is dropped.
	deadline time.Time
}

// HandlePacket processes a packet of a caller that arrived from the network.
func (node *Node) HandlePacket(now time.Time, p *pb.Packet) []action.Action {
	node.attributeWork(dutyOfPacket(p))
	node.advanceTimeReusingView(now)
	return node.completePeerMessages(node.handleCallerPacket(p, 0, 0))
}

// handleCallerPacket decides a packet of a caller. For a packet from the network, hops
// and revision are 0; for a redirected one, they are those that the peer sent.
func (node *Node) handleCallerPacket(p *pb.Packet, hops uint32, revision uint64) []action.Action {
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		node.observer.Dropped(DropMalformed)
		return nil
	}
	if !node.sync.Ready() {
		return node.redirectToReadyMember(p, hops)
	}
	s := node.serviceByAddress[key.Service]
	if s == nil {
		return node.refuse(p, node.unknownServiceReason(key))
	}
	if p.GetAttempt() == 0 {
		switch p.GetKind() {
		case pb.PacketKind_PACKET_KIND_REQUEST:
			return node.decideRequest(s, p, key, hops)
		case pb.PacketKind_PACKET_KIND_CANCEL:
			return node.cancelRequest(s, p, key, hops)
		}
	}
	return node.forward(s, p, key, hops, revision)
}

// redirectToReadyMember redirects a packet to another ready instance while this one has
// no configuration. The packet is dropped if it has made placement.MaxHops hops or no
// other member is ready.
func (node *Node) redirectToReadyMember(p *pb.Packet, hops uint32) []action.Action {
	if hops >= placement.MaxHops {
		node.observer.Dropped(DropTooManyHops)
		return nil
	}
	for _, m := range node.view.Rank(flow.NameHash(node.self.Name)) {
		if m.Name != node.self.Name && m.Ready {
			return node.redirect(m.Name, p, hops+1)
		}
	}
	node.observer.Dropped(string(placement.DropNotSynchronized))
	return nil
}

// unknownServiceReason returns the reason for refusing a packet to an address without a
// serving service: a service with an address conflict declares it, or no service does.
func (node *Node) unknownServiceReason(key flow.Key) pb.RefusalReason {
	for _, s := range node.services {
		if s.addressConflict && s.declared.Address == key.Service {
			return pb.RefusalReason_REFUSAL_REASON_ADDRESS_QUARANTINED
		}
	}
	return pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE
}

// forward sends a packet to the upstream of its flow, or passes it on as the tracker
// decides.
func (node *Node) forward(s *service, p *pb.Packet, key flow.Key, hops uint32, revision uint64) []action.Action {
	if s.table == nil {
		return node.refuse(p, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM)
	}
	hash := key.Hash()
	d := node.tracker.HandlePacket(node.now, placement.Packet{
		Key: key, Kind: p.GetKind(), Hops: hops, Revision: revision,
		Allow: func(name string) bool { return node.admitNewFlow(s, name, hash) },
	}, s.table, node.view)
	return append(d.Actions, node.applyDecision(s, p, key, d)...)
}

// admitNewFlow reports whether an upstream may take a new flow now: packets may be sent
// to its failure domain, it is not dead, and admission allows the OPEN. This uses up a
// credit if the upstream is cold.
func (node *Node) admitNewFlow(s *service, name string, hash uint64) bool {
	u := s.upstreams[name]
	if u == nil || !node.maySendTo(u) || node.health.State(u.name) == health.Dead {
		return false
	}
	return node.credits.Open(node.now, u.name, hash).Allowed()
}

// maySendTo reports whether packets may be sent to the failure domain of an upstream.
func (node *Node) maySendTo(u *upstream) bool {
	return node.domains.MaySend(node.now, u.domain, node.sync.ConfirmedAt(), node.view)
}

// applyDecision converts a decision of the tracker into actions.
func (node *Node) applyDecision(s *service, p *pb.Packet, key flow.Key, d placement.Decision) []action.Action {
	switch d.Verdict {
	case placement.Forward:
		return node.sendToUpstream(s, d.Upstream, p)
	case placement.Redirect:
		return node.redirect(d.Instance, p, d.Hops)
	case placement.Hold:
		node.heldPackets[d.Ticket] = heldPacket{service: s.name, packet: p, key: key}
		return nil
	}
	return node.handleDrop(s, p, key, d.Reason)
}

// handleDrop processes a packet that the tracker drops. An OPEN that may find an
// upstream soon is queued; any other packet is counted as dropped. The caller gets a
// refusal if the failure domain of its flow is out, and otherwise retransmits.
func (node *Node) handleDrop(s *service, p *pb.Packet, key flow.Key, reason placement.DropReason) []action.Action {
	if mayWaitForUpstream(p, reason) {
		return node.queueOpen(s, p, key, reason)
	}
	node.observer.Dropped(string(reason))
	if reason == placement.DropDomainOut {
		return node.refuse(p, pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT)
	}
	return nil
}

// sendToUpstream sends a packet to an upstream if its failure domain may receive
// packets. If the domain is out, the packet is refused; if the knowledge about the
// domain is stale, it is dropped and counted.
func (node *Node) sendToUpstream(s *service, name string, p *pb.Packet) []action.Action {
	u := s.upstreams[name]
	if u == nil {
		node.observer.Dropped(string(placement.DropNoUpstream))
		return nil
	}
	switch node.domains.Check(node.now, u.domain, node.sync.ConfirmedAt(), node.view) {
	case domain.TakenOut:
		return node.refuse(p, pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT)
	case domain.Stale:
		node.observer.Dropped(DropStale)
		return nil
	}
	if p.GetReplyTo() == "" {
		p.ReplyTo = node.cfg.ReplyTo
	}
	return []action.Action{action.SendUpstream{Name: u.name, Address: u.address, Packet: p}}
}

// redirect sends a packet to the instance that has to decide it.
func (node *Node) redirect(instance string, p *pb.Packet, hops uint32) []action.Action {
	member, ok := node.view.Member(instance)
	if !ok {
		node.observer.Dropped(string(placement.DropNotSynchronized))
		return nil
	}
	return []action.Action{action.SendPeer{
		Instance: instance, Address: member.Address,
		Message: &pb.PeerMessage{
			From: node.self.Name, Incarnation: node.self.Incarnation,
			Body: &pb.PeerMessage_Redirect{Redirect: &pb.RedirectedPacket{
				Packet: p, Revision: node.sync.Revision(), Hops: hops,
			}},
		},
	}}
}

// handleRedirect decides a packet that a peer redirected. If the peer has applied a
// newer configuration revision, which may contain a change that affects the packet, the
// packet waits until this instance has applied that revision too.
func (node *Node) handleRedirect(now time.Time, r *pb.RedirectedPacket) []action.Action {
	if r.GetPacket() == nil {
		node.observer.Dropped(DropMalformed)
		return nil
	}
	if r.GetHops() > placement.MaxHops {
		node.observer.Dropped(DropTooManyHops)
		return nil
	}
	if !node.redirectedAttempts.admitOnce(now, r) {
		node.observer.Dropped(DropDuplicate)
		return nil
	}
	if r.GetRevision() > node.sync.Revision() {
		if len(node.awaitingRevision) >= maxAwaitingRevision {
			node.observer.Dropped(DropRevisionBehind)
			return nil
		}
		node.awaitingRevision = append(node.awaitingRevision, redirectAwaitingRevision{redirect: r, deadline: now.Add(revisionWaitLimit)})
		return nil
	}
	return node.handleCallerPacket(r.GetPacket(), r.GetHops(), r.GetRevision())
}

// retryAwaitingRevision decides the packets whose revision has been applied, and drops
// those that have waited for revisionWaitLimit.
func (node *Node) retryAwaitingRevision(now time.Time) []action.Action {
	if len(node.awaitingRevision) == 0 {
		return nil
	}
	waiting := node.awaitingRevision
	node.awaitingRevision = nil
	var out []action.Action
	for _, entry := range waiting {
		switch {
		case entry.redirect.GetRevision() <= node.sync.Revision():
			out = append(out, node.handleCallerPacket(entry.redirect.GetPacket(), entry.redirect.GetHops(), entry.redirect.GetRevision())...)
		case now.Before(entry.deadline):
			node.awaitingRevision = append(node.awaitingRevision, entry)
		default:
			node.observer.Dropped(DropRevisionBehind)
		}
	}
	return out
}

// releaseHeldPackets applies the decisions of the tracker on held packets.
func (node *Node) releaseHeldPackets(releases []placement.Release) []action.Action {
	var out []action.Action
	for _, r := range releases {
		held, ok := node.heldPackets[r.Ticket]
		if !ok {
			continue
		}
		delete(node.heldPackets, r.Ticket)
		out = append(out, r.Decision.Actions...)
		if s := node.services[held.service]; s != nil && s.table != nil {
			out = append(out, node.applyDecision(s, held.packet, held.key, r.Decision)...)
		}
	}
	return out
}

// refuse sends the caller a refusal without a statement that the request has not run.
// Packets of kinds without a refusal are dropped and counted.
func (node *Node) refuse(p *pb.Packet, reason pb.RefusalReason) []action.Action {
	if !acceptsRefusal(p) {
		node.observer.Dropped(DropNoRefusalForKind)
		return nil
	}
	node.observer.Refused(reason)
	return []action.Action{action.SendCaller{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REFUSAL, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Refusal: reason,
	}}}
}

// acceptsRefusal reports whether the node may answer a packet with a refusal: an OPEN,
// a DATA packet, or a request without a decided attempt. A decided request is answered
// by the engine that decided it.
func acceptsRefusal(p *pb.Packet) bool {
	switch p.GetKind() {
	case pb.PacketKind_PACKET_KIND_OPEN:
		return true
	case pb.PacketKind_PACKET_KIND_REQUEST:
		return p.GetAttempt() == 0
	case pb.PacketKind_PACKET_KIND_DATA:
		return true
	}
	return false
}
