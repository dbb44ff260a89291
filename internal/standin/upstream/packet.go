package upstream

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// HandlePacket takes one packet and returns the answers that are due.
func (m *Machine) HandlePacket(now time.Time, p *pb.Packet) []Reply {
	if m.faults.silent {
		return nil
	}
	replies := m.finish(now)
	m.report(now)
	if p.Service != m.cfg.Service {
		m.stats.WrongService++
		m.record(now, m.event(history.UpstreamWrongService, p, 0))
		return append(replies, m.refusal(p, pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, true))
	}
	return append(replies, m.handle(now, p)...)
}

func (m *Machine) handle(now time.Time, p *pb.Packet) []Reply {
	key := flowKey{p.Caller, p.FlowId}
	f, known := m.flows[key]
	if known {
		f.lastHeard = now
	}
	switch p.Kind {
	case pb.PacketKind_PACKET_KIND_OPEN:
		return []Reply{m.open(now, p, known)}
	case pb.PacketKind_PACKET_KIND_DATA, pb.PacketKind_PACKET_KIND_REQUEST,
		pb.PacketKind_PACKET_KIND_CANCEL, pb.PacketKind_PACKET_KIND_CLOSE:
		if !known {
			m.stats.UnknownFlow++
			m.record(now, m.event(history.UpstreamUnknownFlow, p, 0))
			return []Reply{m.reply(pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW, p)}
		}
	default:
		m.stats.Malformed++
		return nil
	}
	switch p.Kind {
	case pb.PacketKind_PACKET_KIND_DATA:
		m.record(now, m.event(history.UpstreamData, p, 0))
		echo := m.reply(pb.PacketKind_PACKET_KIND_DATA, p)
		echo.Packet.Payload = p.Payload
		return []Reply{echo}
	case pb.PacketKind_PACKET_KIND_REQUEST:
		return m.request(now, p)
	case pb.PacketKind_PACKET_KIND_CANCEL:
		return m.cancel(now, p)
	default:
		delete(m.flows, key)
		m.record(now, m.event(history.UpstreamClosed, p, 0))
		return []Reply{m.reply(pb.PacketKind_PACKET_KIND_CLOSE, p)}
	}
}

func (m *Machine) open(now time.Time, p *pb.Packet, known bool) Reply {
	if known {
		return m.reply(pb.PacketKind_PACKET_KIND_OPENED, p)
	}
	if expired(p, now) {
		return m.refuse(now, p, pb.RefusalReason_REFUSAL_REASON_EXPIRED)
	}
	refuseDraining := m.draining && m.cfg.RefuseOpensWhileDraining
	if now.Before(m.shedUntil) || refuseDraining || len(m.flows) >= m.cfg.MaxConnections {
		return m.shed(now, p)
	}
	if m.cold.active(now, m.cfg.Cold) {
		ratio, sustained := m.cold.admit(now, m.cfg.Cold)
		m.stats.PeakColdRatio = max(m.stats.PeakColdRatio, ratio)
		if !sustained {
			m.stats.Overloads++
			m.record(now, m.event(history.UpstreamOverload, p, 0))
			m.shedUntil = now.Add(m.cfg.Cold.FallOver)
			m.cold.begin(m.shedUntil, m.cfg.Cold)
			return m.shed(now, p)
		}
		m.stats.ColdOpened++
	}
	m.stats.Opened++
	m.flows[flowKey{p.Caller, p.FlowId}] = &flowState{lastHeard: now}
	m.record(now, m.event(history.UpstreamOpened, p, 0))
	return m.reply(pb.PacketKind_PACKET_KIND_OPENED, p)
}

func (m *Machine) request(now time.Time, p *pb.Packet) []Reply {
	m.stats.Requests++
	if expired(p, now) {
		return []Reply{m.refuse(now, p, pb.RefusalReason_REFUSAL_REASON_EXPIRED)}
	}
	if now.Before(m.shedUntil) || len(m.queue) >= m.cfg.QueueLimit {
		return []Reply{m.shed(now, p)}
	}
	m.queue = append(m.queue, &job{packet: p, received: now})
	return m.startQueued(now)
}

// cancel drops a waiting request or stops a running one. The refusal of a
// waiting request says that this attempt has not run.
func (m *Machine) cancel(now time.Time, p *pb.Packet) []Reply {
	var replies []Reply
	waiting := m.queue[:0]
	for _, j := range m.queue {
		if !sameRequest(j.packet, p) {
			waiting = append(waiting, j)
			continue
		}
		replies = append(replies, m.refuseWaiting(now, j, pb.RefusalReason_REFUSAL_REASON_CANCELLED))
	}
	m.queue = waiting
	running := m.running[:0]
	for _, j := range m.running {
		if !sameRequest(j.packet, p) {
			running = append(running, j)
			continue
		}
		m.stats.Cancelled++
		m.record(now, m.event(history.UpstreamCancelled, j.packet, j.run))
		replies = append(replies, m.refusal(j.packet, pb.RefusalReason_REFUSAL_REASON_CANCELLED, false))
	}
	m.running = running
	return append(replies, m.startQueued(now)...)
}

func (m *Machine) shed(now time.Time, p *pb.Packet) Reply {
	return m.refuse(now, p, pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED)
}

// refuse answers work that has not run here.
func (m *Machine) refuse(now time.Time, p *pb.Packet, reason pb.RefusalReason) Reply {
	return m.refuseWaiting(now, &job{packet: p, received: now}, reason)
}

// refuseWaiting answers a request that has not run and may have waited.
func (m *Machine) refuseWaiting(now time.Time, j *job, reason pb.RefusalReason) Reply {
	switch reason {
	case pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED:
		m.stats.Shed++
	case pb.RefusalReason_REFUSAL_REASON_EXPIRED:
		m.stats.Expired++
	}
	e := m.event(history.UpstreamRefused, j.packet, 0)
	e.Reason, e.NotRun, e.ReceivedUS = reason, true, j.received.UnixMicro()
	m.record(now, e)
	return m.refusal(j.packet, reason, true)
}

func (m *Machine) refusal(p *pb.Packet, reason pb.RefusalReason, notRun bool) Reply {
	r := m.reply(pb.PacketKind_PACKET_KIND_REFUSAL, p)
	r.Packet.Refusal, r.Packet.NotRun = reason, notRun
	return r
}

func (m *Machine) reply(kind pb.PacketKind, p *pb.Packet) Reply {
	return Reply{To: replyTo(p), Packet: m.packet(kind, p)}
}

func replyTo(p *pb.Packet) string {
	if p.ReplyTo == "" {
		return p.Caller
	}
	return p.ReplyTo
}

// packet returns an answer to p with the fields that every answer copies.
func (m *Machine) packet(kind pb.PacketKind, p *pb.Packet) *pb.Packet {
	return &pb.Packet{Kind: kind, Caller: p.Caller, Service: p.Service, FlowId: p.FlowId,
		RequestId: p.RequestId, Idempotent: p.Idempotent, DeadlineUnixMs: p.DeadlineUnixMs,
		Attempt: p.Attempt, ReplyTo: p.ReplyTo, BootId: m.bootID, Upstream: m.cfg.Name}
}

// sameRequest compares attempts too, unless the cancellation names none.
func sameRequest(request, cancel *pb.Packet) bool {
	return request.Caller == cancel.Caller && request.FlowId == cancel.FlowId &&
		request.RequestId == cancel.RequestId &&
		(cancel.Attempt == 0 || cancel.Attempt == request.Attempt)
}

func expired(p *pb.Packet, now time.Time) bool {
	return p.DeadlineUnixMs != 0 && now.UnixMilli() >= p.DeadlineUnixMs
}
