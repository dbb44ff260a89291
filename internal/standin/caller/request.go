package caller

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/payload"
)

type request struct {
	packet   *pb.Packet
	deadline time.Time
	// finished is set once the outcome has been recorded. The request is kept
	// until its deadline, to send late copies and to check late refusals.
	finished bool
	// notRunRecorded is set once a refusal that says "not run" has been recorded.
	notRunRecorded bool
	// answers contains the answers of which at least one part has arrived, until
	// the request is finished.
	answers map[attemptKey]*partialAnswer
}

// attemptKey identifies the attempt that an answer part belongs to, so that
// parts of different attempts are not joined.
type attemptKey struct {
	upstream string
	bootID   uint64
	attempt  uint32
}

// partialAnswer contains the payloads of the parts that have arrived, by the index
// of the part. parts is the number of parts of the answer.
type partialAnswer struct {
	parts   uint32
	payload map[uint32][]byte
}

func (m *Machine) newRequest(f *flowState) {
	f.lastID++
	p := m.newPacket(pb.PacketKind_PACKET_KIND_REQUEST, f)
	p.RequestId = f.lastID
	p.Idempotent = m.rng.Float64() >= m.cfg.NonIdempotentShare
	deadline := m.now.Add(m.cfg.RequestTimeout)
	p.DeadlineUnixMs = deadline.UnixMilli()
	p.Payload = binary.BigEndian.AppendUint64(nil, f.lastID)
	f.requests[f.lastID] = &request{packet: p, deadline: deadline, answers: map[attemptKey]*partialAnswer{}}
	m.record(f, history.Event{Kind: history.CallerRequest, RequestID: p.RequestId, Idempotent: p.Idempotent})
	m.send(p)
	m.setTimer(f, m.cfg.Retransmit, timerRequest, f.lastID)
	if m.rng.Float64() < m.cfg.CancelShare {
		m.setTimer(f, time.Duration(m.rng.Int64N(int64(m.cfg.Retransmit))), timerCancel, f.lastID)
	}
}

func (m *Machine) handleRequestTimer(f *flowState, id uint64) {
	r := f.requests[id]
	if r == nil {
		return
	}
	if !m.now.Before(r.deadline) {
		if !r.finished {
			m.recordOutcome(f, r, history.Event{Kind: history.CallerRequestTimeout, Partial: len(r.answers) > 0})
		}
		delete(f.requests, id)
		m.closeIfFinished(f)
		return
	}
	if !r.finished {
		m.stats.Retransmissions++
		m.send(r.packet)
	}
	m.setTimer(f, min(m.cfg.Retransmit, r.deadline.Sub(m.now)), timerRequest, id)
}

func (m *Machine) cancelRequest(f *flowState, id uint64) {
	r := f.requests[id]
	if r == nil || r.finished {
		return
	}
	p := m.newPacket(pb.PacketKind_PACKET_KIND_CANCEL, f)
	p.RequestId = id
	p.Idempotent = r.packet.Idempotent
	p.DeadlineUnixMs = r.packet.DeadlineUnixMs
	m.send(p)
	m.recordOutcome(f, r, history.Event{Kind: history.CallerCancel})
}

// recordOutcome marks a request as finished and records e as its outcome. With
// the probability Config.LateCopyShare it also schedules one more copy of the
// request.
func (m *Machine) recordOutcome(f *flowState, r *request, e history.Event) {
	r.finished = true
	r.answers = nil
	e.RequestID, e.Idempotent = r.packet.RequestId, r.packet.Idempotent
	m.record(f, e)
	if m.now.Before(r.deadline) && m.rng.Float64() < m.cfg.LateCopyShare {
		m.setTimer(f, time.Duration(m.rng.Int64N(int64(time.Second))), timerLateCopy, e.RequestID)
	}
}

// HandlePacket processes a packet that arrived at now and returns the packets to
// send. Packets that belong to no open flow are counted as Stray and ignored.
func (m *Machine) HandlePacket(now time.Time, p *pb.Packet) []*pb.Packet {
	m.now = now
	m.stats.PacketsReceived++
	f := m.flows[p.FlowId]
	if f == nil || p.Service != f.service || p.Caller != m.cfg.Address {
		m.stats.Stray++
		return nil
	}
	switch p.Kind {
	case pb.PacketKind_PACKET_KIND_OPENED:
		if f.phase == opening {
			m.establishFlow(f, p)
		}
	case pb.PacketKind_PACKET_KIND_DATA:
		m.handleEcho(f, p)
	case pb.PacketKind_PACKET_KIND_ANSWER:
		m.handleAnswer(f, p)
	case pb.PacketKind_PACKET_KIND_REFUSAL:
		m.handleRefusal(f, p)
	case pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW:
		m.handleReset(f, p)
	case pb.PacketKind_PACKET_KIND_CLOSE:
		if f.phase == closed {
			delete(m.flows, f.id)
		}
	default:
		m.stats.Stray++
	}
	return m.takeOutgoing()
}

func (m *Machine) handleEcho(f *flowState, p *pb.Packet) {
	if len(p.Payload) != 8 {
		m.stats.Stray++
		return
	}
	id := binary.BigEndian.Uint64(p.Payload)
	if _, waiting := f.unansweredData[id]; !waiting {
		m.stats.Stray++
		return
	}
	delete(f.unansweredData, id)
	m.record(f, history.Event{Kind: history.CallerDataEchoed, RequestID: id, Upstream: p.Upstream, BootID: p.BootId})
}

// handleReset removes a flow that the upstream does not know or whose failure
// domain is out of service. Its unfinished requests count as timed out. A flow
// that is still opening is kept.
func (m *Machine) handleReset(f *flowState, p *pb.Packet) {
	if f.phase == established {
		m.record(f, history.Event{Kind: history.CallerReset, Upstream: p.Upstream, BootID: p.BootId, Reason: p.Refusal})
		for _, id := range slices.Sorted(maps.Keys(f.requests)) {
			if r := f.requests[id]; !r.finished {
				m.recordOutcome(f, r, history.Event{Kind: history.CallerRequestTimeout})
			}
		}
	}
	if f.phase != opening {
		delete(m.flows, f.id)
	}
}

func (m *Machine) handleRefusal(f *flowState, p *pb.Packet) {
	if p.RequestId == 0 {
		switch {
		case f.phase == opening:
			m.record(f, history.Event{Kind: history.CallerOpenRefused, Reason: p.Refusal, NotRun: p.NotRun})
			delete(m.flows, f.id)
		case p.Refusal == pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT:
			m.handleReset(f, p)
		}
		// Any other refusal replies to a duplicate of the OPEN.
		return
	}
	r := f.requests[p.RequestId]
	if r == nil {
		m.stats.Stray++
		return
	}
	e := history.Event{Kind: history.CallerRequestRefused, Reason: p.Refusal, NotRun: p.NotRun,
		RequestID: p.RequestId, Idempotent: r.packet.Idempotent, Attempt: p.Attempt}
	switch {
	case !r.finished:
		m.recordOutcome(f, r, e)
	case p.NotRun && !r.notRunRecorded:
		e.Kind = history.CallerLateNotRun
		m.record(f, e)
	}
	r.notRunRecorded = r.notRunRecorded || p.NotRun
}

func (m *Machine) handleAnswer(f *flowState, p *pb.Packet) {
	r := f.requests[p.RequestId]
	if r == nil || r.finished {
		m.stats.Stray++
		return
	}
	key := attemptKey{p.Upstream, p.BootId, p.Attempt}
	a := r.answers[key]
	if a == nil {
		a = &partialAnswer{parts: max(1, p.Parts), payload: map[uint32][]byte{}}
		r.answers[key] = a
	}
	if a.payload[p.Part] == nil {
		a.payload[p.Part] = append([]byte{}, p.Payload...)
	}
	if uint32(len(a.payload)) < a.parts {
		return
	}
	var body []byte
	for part := range a.parts {
		body = append(body, a.payload[part]...)
	}
	e := history.Event{Kind: history.CallerAnswer, Upstream: p.Upstream, BootID: p.BootId, Attempt: p.Attempt}
	run, err := payload.Verify(body, f.id, p.RequestId)
	e.Run = run
	var format *payload.FormatError
	if errors.As(err, &format) {
		e.Kind = history.CallerTruncated
		if format.Mixed {
			e.Kind = history.CallerMixed
		}
	}
	m.recordOutcome(f, r, e)
}
