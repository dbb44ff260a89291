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

// Reasons with which Observer.Dropped is called, besides those of the tracker.
const (
	DropMalformed      = "malformed"
	DropUnknownSource  = "unknown_upstream_address"
	DropUnknownFlow    = "unknown_flow"
	DropUnknownService = "unknown_service"
	DropStale          = "stale"
	DropBehind         = "revision_behind"
	DropTooManyHops    = "too_many_hops"
	DropNotAnswerable  = "refused_without_answer"
	DropDuplicate      = "duplicate_attempt"
)

const (
	// behindLimit is how long a packet waits for a revision that its sender
	// has in force; callers retransmit.
	behindLimit = 500 * time.Millisecond
	// maxBehind bounds the packets that wait.
	maxBehind = 1024
)

// heldPacket waits for the tracker.
type heldPacket struct {
	service string
	packet  *pb.Packet
	key     flow.Key
}

// behindPacket waits for a newer revision.
type behindPacket struct {
	redirect *pb.RedirectedPacket
	deadline time.Time
}

// HandlePacket takes a packet of a caller from the fabric.
func (n *Node) HandlePacket(now time.Time, p *pb.Packet) []action.Action {
	n.turn(dutyOfPacket(p))
	n.advancePacket(now)
	return n.stamp(n.handleCaller(p, 0, 0))
}

// handleCaller decides a packet of a caller that came from the fabric, or
// from a peer whose revision is given.
func (n *Node) handleCaller(p *pb.Packet, hops uint32, revision uint64) []action.Action {
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		n.observer.Dropped(DropMalformed)
		return nil
	}
	if !n.sync.Ready() {
		return n.passOn(p, hops)
	}
	s := n.byAddress[key.Service]
	if s == nil {
		return n.refuse(p, n.unknownServiceReason(key))
	}
	if p.GetAttempt() == 0 {
		switch p.GetKind() {
		case pb.PacketKind_PACKET_KIND_REQUEST:
			return n.decideRequest(s, p, key, hops)
		case pb.PacketKind_PACKET_KIND_CANCEL:
			return n.cancelRequest(s, p, key, hops)
		}
	}
	return n.forward(s, p, key, hops, revision)
}

// passOn hands a packet to another instance while this one has no
// configuration to decide by.
func (n *Node) passOn(p *pb.Packet, hops uint32) []action.Action {
	if hops >= placement.MaxHops {
		n.observer.Dropped(DropTooManyHops)
		return nil
	}
	for _, m := range n.view.Rank(flow.NameHash(n.self.Name)) {
		if m.Name != n.self.Name && m.Ready {
			return n.redirect(m.Name, p, hops+1)
		}
	}
	n.observer.Dropped(string(placement.DropNotSynchronized))
	return nil
}

func (n *Node) unknownServiceReason(key flow.Key) pb.RefusalReason {
	for _, s := range n.services {
		if s.conflicting && s.declared.Address == key.Service {
			return pb.RefusalReason_REFUSAL_REASON_ADDRESS_QUARANTINED
		}
	}
	return pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE
}

// forward sends a packet along its flow.
func (n *Node) forward(s *service, p *pb.Packet, key flow.Key, hops uint32, revision uint64) []action.Action {
	if s.table == nil {
		return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM)
	}
	hash := key.Hash()
	d := n.tracker.HandlePacket(n.now, placement.Packet{
		Key: key, Kind: p.GetKind(), Hops: hops, Revision: revision,
		Allow: func(name string) bool { return n.mayOpen(s, name, hash) },
	}, s.table, n.view)
	return append(d.Actions, n.carryOut(s, p, key, d)...)
}

// mayOpen tells whether an upstream may take a new flow now. It spends a
// credit when the upstream is cold.
func (n *Node) mayOpen(s *service, name string, hash uint64) bool {
	u := s.upstreams[name]
	if u == nil || !n.maySend(u) || n.health.State(u.name) == health.Dead {
		return false
	}
	return n.credits.Open(n.now, u.name, hash).Allowed()
}

func (n *Node) maySend(u *upstream) bool {
	return n.domains.MaySend(n.now, u.domain, n.sync.ConfirmedAt(), n.view)
}

// carryOut turns the tracker's decision into actions.
func (n *Node) carryOut(s *service, p *pb.Packet, key flow.Key, d placement.Decision) []action.Action {
	switch d.Verdict {
	case placement.Forward:
		return n.send(s, d.Upstream, p)
	case placement.Redirect:
		return n.redirect(d.Instance, p, d.Hops)
	case placement.Hold:
		n.held[d.Ticket] = heldPacket{service: s.name, packet: p, key: key}
		return nil
	}
	return n.drop(s, p, key, d.Reason)
}

// drop counts a dropped packet. An OPEN may wait; the caller is told when its
// flow was given up, and retransmits any other packet.
func (n *Node) drop(s *service, p *pb.Packet, key flow.Key, reason placement.DropReason) []action.Action {
	if mayWait(p, reason) {
		return n.awaitUpstream(s, p, key, reason)
	}
	n.observer.Dropped(string(reason))
	if reason == placement.DropDomainOut {
		return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT)
	}
	return nil
}

// send sends a packet to an upstream if its failure domain may receive any.
func (n *Node) send(s *service, name string, p *pb.Packet) []action.Action {
	u := s.upstreams[name]
	if u == nil {
		n.observer.Dropped(string(placement.DropNoUpstream))
		return nil
	}
	switch n.domains.Check(n.now, u.domain, n.sync.ConfirmedAt(), n.view) {
	case domain.TakenOut:
		return n.refuse(p, pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT)
	case domain.Stale:
		n.observer.Dropped(DropStale)
		return nil
	}
	if p.GetReplyTo() == "" {
		p.ReplyTo = n.cfg.ReplyTo
	}
	return []action.Action{action.SendUpstream{Name: u.name, Address: u.address, Packet: p}}
}

// redirect passes a packet to the instance that has to decide it.
func (n *Node) redirect(instance string, p *pb.Packet, hops uint32) []action.Action {
	member, ok := n.view.Member(instance)
	if !ok {
		n.observer.Dropped(string(placement.DropNotSynchronized))
		return nil
	}
	return []action.Action{action.SendPeer{
		Instance: instance, Address: member.Address,
		Message: &pb.PeerMessage{
			From: n.self.Name, Incarnation: n.self.Incarnation,
			Body: &pb.PeerMessage_Redirect{Redirect: &pb.RedirectedPacket{
				Packet: p, Revision: n.sync.Revision(), Hops: hops,
			}},
		},
	}}
}

// handleRedirect decides a packet that a peer passed on. A peer with a newer
// revision may know of a change that matters to the packet, so it waits until
// that revision is in force here.
func (n *Node) handleRedirect(now time.Time, r *pb.RedirectedPacket) []action.Action {
	if r.GetPacket() == nil {
		n.observer.Dropped(DropMalformed)
		return nil
	}
	if r.GetHops() > placement.MaxHops {
		n.observer.Dropped(DropTooManyHops)
		return nil
	}
	if !n.seen.first(now, r) {
		n.observer.Dropped(DropDuplicate)
		return nil
	}
	if r.GetRevision() > n.sync.Revision() {
		if len(n.behind) >= maxBehind {
			n.observer.Dropped(DropBehind)
			return nil
		}
		n.behind = append(n.behind, behindPacket{redirect: r, deadline: now.Add(behindLimit)})
		return nil
	}
	return n.handleCaller(r.GetPacket(), r.GetHops(), r.GetRevision())
}

// retryBehind decides the packets whose revision has arrived and drops those
// that waited too long.
func (n *Node) retryBehind(now time.Time) []action.Action {
	if len(n.behind) == 0 {
		return nil
	}
	waiting := n.behind
	n.behind = nil
	var out []action.Action
	for _, b := range waiting {
		switch {
		case b.redirect.GetRevision() <= n.sync.Revision():
			out = append(out, n.handleCaller(b.redirect.GetPacket(), b.redirect.GetHops(), b.redirect.GetRevision())...)
		case now.Before(b.deadline):
			n.behind = append(n.behind, b)
		default:
			n.observer.Dropped(DropBehind)
		}
	}
	return out
}

// release carries out the decisions on held packets.
func (n *Node) release(releases []placement.Release) []action.Action {
	var out []action.Action
	for _, r := range releases {
		h, ok := n.held[r.Ticket]
		if !ok {
			continue
		}
		delete(n.held, r.Ticket)
		out = append(out, r.Decision.Actions...)
		if s := n.services[h.service]; s != nil && s.table != nil {
			out = append(out, n.carryOut(s, h.packet, h.key, r.Decision)...)
		}
	}
	return out
}

// refuse answers an OPEN or a request with a refusal that makes no "not run"
// claim; packets of other kinds get no answer.
func (n *Node) refuse(p *pb.Packet, reason pb.RefusalReason) []action.Action {
	if !answersRefusal(p) {
		n.observer.Dropped(DropNotAnswerable)
		return nil
	}
	n.observer.Refused(reason)
	return []action.Action{action.SendCaller{Packet: &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REFUSAL, Caller: p.GetCaller(), Service: p.GetService(),
		FlowId: p.GetFlowId(), RequestId: p.GetRequestId(), Refusal: reason,
	}}}
}

// answersRefusal: a decided request is answered by the engine that decided
// it.
func answersRefusal(p *pb.Packet) bool {
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
