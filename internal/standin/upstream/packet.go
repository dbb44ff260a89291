package upstream

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// HandlePacket processes a packet that arrived at now. It returns the packets to
// send, including the answers of requests that ended by now.
func (m *Machine) HandlePacket(now time.Time, p *pb.Packet) []Reply {
	if m.faults.silent {
		return nil
	}
	replies := m.finishDueJobs(now)
	m.addHealthReport(now)
	if p.Service != m.cfg.Service {
		m.stats.WrongService++
		m.record(now, m.newEvent(history.UpstreamWrongService, p, 0))
		return append(replies, m.newRefusal(p, pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, true))
	}
	return append(replies, m.handlePacketOfService(now, p)...)
}

func (m *Machine) handlePacketOfService(now time.Time, p *pb.Packet) []Reply {
	key := flowKey{p.Caller, p.FlowId}
	f, known := m.flows[key]
	if known {
		f.lastPacket = now
	}
	switch p.Kind {
	case pb.PacketKind_PACKET_KIND_OPEN:
		return []Reply{m.handleOpen(now, p, known)}
	case pb.PacketKind_PACKET_KIND_DATA, pb.PacketKind_PACKET_KIND_REQUEST,
		pb.PacketKind_PACKET_KIND_CANCEL, pb.PacketKind_PACKET_KIND_CLOSE:
		if !known {
			m.stats.UnknownFlow++
			m.record(now, m.newEvent(history.UpstreamUnknownFlow, p, 0))
			return []Reply{m.newReply(pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW, p)}
		}
	default:
		m.stats.Malformed++
		return nil
	}
	switch p.Kind {
	case pb.PacketKind_PACKET_KIND_DATA:
		m.record(now, m.newEvent(history.UpstreamData, p, 0))
		echo := m.newReply(pb.PacketKind_PACKET_KIND_DATA, p)
		echo.Packet.Payload = p.Payload
		return []Reply{echo}
	case pb.PacketKind_PACKET_KIND_REQUEST:
		return m.handleRequest(now, p)
	case pb.PacketKind_PACKET_KIND_CANCEL:
		return m.handleCancel(now, p)
	default:
		delete(m.flows, key)
		m.record(now, m.newEvent(history.UpstreamClosed, p, 0))
		return []Reply{m.newReply(pb.PacketKind_PACKET_KIND_CLOSE, p)}
	}
}

func (m *Machine) handleOpen(now time.Time, p *pb.Packet, known bool) Reply {
	if known {
		return m.newReply(pb.PacketKind_PACKET_KIND_OPENED, p)
	}
	if expired(p, now) {
		return m.refuseNotRun(now, p, pb.RefusalReason_REFUSAL_REASON_EXPIRED)
	}
	refuseDraining := m.draining && m.cfg.RefuseOpensWhileDraining
	if now.Before(m.shedUntil) || refuseDraining || len(m.flows) >= m.cfg.MaxConnections {
		return m.refuseOverloaded(now, p)
	}
	if m.cold.isActive(now, m.cfg.Cold) {
		ratio, sustained := m.cold.admitOpen(now, m.cfg.Cold)
		m.stats.PeakColdRatio = max(m.stats.PeakColdRatio, ratio)
		if !sustained {
			m.stats.Overloads++
			m.record(now, m.newEvent(history.UpstreamOverload, p, 0))
			m.shedUntil = now.Add(m.cfg.Cold.OverloadDuration)
			m.cold.start(m.shedUntil, m.cfg.Cold)
			return m.refuseOverloaded(now, p)
		}
		m.stats.ColdOpened++
	}
	m.stats.Opened++
	m.flows[flowKey{p.Caller, p.FlowId}] = &flowState{lastPacket: now}
	m.record(now, m.newEvent(history.UpstreamOpened, p, 0))
	return m.newReply(pb.PacketKind_PACKET_KIND_OPENED, p)
}

func (m *Machine) handleRequest(now time.Time, p *pb.Packet) []Reply {
	m.stats.Requests++
	if expired(p, now) {
		return []Reply{m.refuseNotRun(now, p, pb.RefusalReason_REFUSAL_REASON_EXPIRED)}
	}
	if now.Before(m.shedUntil) || len(m.queue) >= m.cfg.QueueLimit {
		return []Reply{m.refuseOverloaded(now, p)}
	}
	m.queue = append(m.queue, &job{packet: p, received: now})
	return m.startQueued(now)
}

// handleCancel removes the waiting and running requests that the CANCEL packet p
// matches and refuses them. The refusal of a waiting request says that this
// attempt has not run; the refusal of a running request does not.
func (m *Machine) handleCancel(now time.Time, p *pb.Packet) []Reply {
	var replies []Reply
	remaining := m.queue[:0]
	for _, j := range m.queue {
		if !sameRequest(j.packet, p) {
			remaining = append(remaining, j)
			continue
		}
		replies = append(replies, m.refuseQueued(now, j, pb.RefusalReason_REFUSAL_REASON_CANCELLED))
	}
	m.queue = remaining
	stillRunning := m.running[:0]
	for _, j := range m.running {
		if !sameRequest(j.packet, p) {
			stillRunning = append(stillRunning, j)
			continue
		}
		m.stats.Cancelled++
		m.record(now, m.newEvent(history.UpstreamCancelled, j.packet, j.run))
		replies = append(replies, m.newRefusal(j.packet, pb.RefusalReason_REFUSAL_REASON_CANCELLED, false))
	}
	m.running = stillRunning
	return append(replies, m.startQueued(now)...)
}

func (m *Machine) refuseOverloaded(now time.Time, p *pb.Packet) Reply {
	return m.refuseNotRun(now, p, pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED)
}

// refuseNotRun refuses a packet that has just arrived, with a statement that it
// has not run.
func (m *Machine) refuseNotRun(now time.Time, p *pb.Packet, reason pb.RefusalReason) Reply {
	return m.refuseQueued(now, &job{packet: p, received: now}, reason)
}

// refuseQueued refuses a request that may have waited in the queue, with a
// statement that it has not run.
func (m *Machine) refuseQueued(now time.Time, j *job, reason pb.RefusalReason) Reply {
	switch reason {
	case pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED:
		m.stats.Shed++
	case pb.RefusalReason_REFUSAL_REASON_EXPIRED:
		m.stats.Expired++
	}
	e := m.newEvent(history.UpstreamRefused, j.packet, 0)
	e.Reason, e.NotRun, e.ReceivedUS = reason, true, j.received.UnixMicro()
	m.record(now, e)
	return m.newRefusal(j.packet, reason, true)
}

func (m *Machine) newRefusal(p *pb.Packet, reason pb.RefusalReason, notRun bool) Reply {
	r := m.newReply(pb.PacketKind_PACKET_KIND_REFUSAL, p)
	r.Packet.Refusal, r.Packet.NotRun = reason, notRun
	return r
}

func (m *Machine) newReply(kind pb.PacketKind, p *pb.Packet) Reply {
	return Reply{To: replyTo(p), Packet: m.newPacket(kind, p)}
}

func replyTo(p *pb.Packet) string {
	if p.ReplyTo == "" {
		return p.Caller
	}
	return p.ReplyTo
}

// newPacket returns a packet that replies to p, with the fields that every reply
// copies from it.
func (m *Machine) newPacket(kind pb.PacketKind, p *pb.Packet) *pb.Packet {
	return &pb.Packet{Kind: kind, Caller: p.Caller, Service: p.Service, FlowId: p.FlowId,
		RequestId: p.RequestId, Idempotent: p.Idempotent, DeadlineUnixMs: p.DeadlineUnixMs,
		Attempt: p.Attempt, ReplyTo: p.ReplyTo, BootId: m.bootID, Upstream: m.cfg.Name}
}

// sameRequest reports whether a CANCEL packet refers to the request. A CANCEL
// with attempt 0 refers to every attempt of the request.
func sameRequest(request, cancel *pb.Packet) bool {
	return request.Caller == cancel.Caller && request.FlowId == cancel.FlowId &&
		request.RequestId == cancel.RequestId &&
		(cancel.Attempt == 0 || cancel.Attempt == request.Attempt)
}

func expired(p *pb.Packet, now time.Time) bool {
	return p.DeadlineUnixMs != 0 && now.UnixMilli() >= p.DeadlineUnixMs
}
