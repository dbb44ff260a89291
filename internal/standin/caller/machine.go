package caller

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// Machine is the state of a caller without I/O. It is not safe for concurrent
// use, and the times passed to its methods must not decrease.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	timers timerHeap
	// flows contains the flows that are not finished, by flow id.
	flows map[uint64]*flowState
	// flowIDPrefix is the random upper half of the flow ids. It keeps the flow
	// ids of callers with different seeds distinct.
	flowIDPrefix uint64
	flowsOpened  int
	nextOpen     time.Time
	// loadEnd is when the caller starts to close its flows; waitEnd is when it
	// stops waiting for outstanding answers.
	loadEnd, waitEnd time.Time
	// closing is set at loadEnd.
	closing bool
	// now is the time of the current call of Tick or HandlePacket.
	now time.Time
	// outgoing contains the packets that the current call returns.
	outgoing []*pb.Packet
	stats    Stats
}

type flowPhase int

const (
	opening flowPhase = iota + 1
	established
	closed
)

type flowState struct {
	id      uint64
	service string
	phase   flowPhase
	// longLived is set for the first Config.LongFlows flows, which have no end of
	// lifetime. quiet is set for the share Config.QuietShare of them.
	longLived bool
	quiet     bool
	// startedAt is when the first OPEN was sent.
	startedAt   time.Time
	lifetimeEnd time.Time
	closesSent  int
	// lastID is the last id given to a request or DATA packet of the flow.
	lastID uint64
	// requests contains the requests of the flow by request id. They are removed
	// after their deadline.
	requests map[uint64]*request
	// unansweredData contains the time at which each DATA packet was first sent,
	// by the id in its payload. Entries are removed when the packet is echoed or
	// Config.OpenTimeout has passed.
	unansweredData map[uint64]time.Time
}

// New returns a caller that starts its load at now. It returns a *ConfigError
// if cfg is invalid.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Machine, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rng, flows: map[uint64]*flowState{}, flowIDPrefix: rng.Uint64() &^ 0xffffffff,
		nextOpen: now, loadEnd: now.Add(cfg.Duration)}
	m.waitEnd = m.loadEnd.Add(max(cfg.RequestTimeout, cfg.OpenTimeout) + time.Second)
	return m, nil
}

// Tick opens the flows and runs the timers that are due at now, and returns the
// packets to send. A call every 10 ms is enough.
func (m *Machine) Tick(now time.Time) []*pb.Packet {
	m.now = now
	if !m.closing && m.stats.PacketsSent >= m.cfg.MaxPackets/10*9 {
		m.waitEnd = m.waitEnd.Add(now.Sub(m.loadEnd))
		m.loadEnd = now
	}
	for !m.closing && !m.nextOpen.After(now) && m.nextOpen.Before(m.loadEnd) && m.flowsOpened < m.cfg.MaxFlows {
		m.openFlow()
		m.nextOpen = m.nextOpen.Add(m.randomInterval(m.cfg.OpensPerSecond))
	}
	if !m.closing && !now.Before(m.loadEnd) {
		m.closing = true
		for _, id := range sortedFlowIDs(m.flows) {
			if f := m.flows[id]; f.phase == established && len(f.requests) == 0 {
				m.closeFlow(f)
			}
		}
	}
	for len(m.timers) > 0 && !m.timers[0].at.After(now) {
		t := heap.Pop(&m.timers).(timer)
		if f := m.flows[t.flow]; f != nil {
			m.handleTimer(f, t)
		}
	}
	return m.takeOutgoing()
}

// Done reports whether the load has ended and either every flow is finished or
// the time to wait for outstanding answers has passed.
func (m *Machine) Done(now time.Time) bool {
	return m.closing && (len(m.flows) == 0 || !now.Before(m.waitEnd))
}

// Next returns the time at which Tick has to be called next. Simulations in
// virtual time advance their clock to it.
func (m *Machine) Next() time.Time {
	next := m.waitEnd
	if !m.closing {
		next = m.loadEnd
		if m.flowsOpened < m.cfg.MaxFlows && m.nextOpen.Before(next) {
			next = m.nextOpen
		}
	}
	if len(m.timers) > 0 && m.timers[0].at.Before(next) {
		next = m.timers[0].at
	}
	return next
}

// OpenFlows returns the number of flows that are opening, established or
// closing.
func (m *Machine) OpenFlows() int { return len(m.flows) }

// Stats returns the packet counters since New.
func (m *Machine) Stats() Stats { return m.stats }

func (m *Machine) takeOutgoing() []*pb.Packet {
	packets := m.outgoing
	m.outgoing = nil
	return packets
}

// randomInterval returns an exponentially distributed time to the next event,
// so that events form a Poisson process with the given rate.
func (m *Machine) randomInterval(perSecond float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (m *Machine) openFlow() {
	m.flowsOpened++
	id := m.flowIDPrefix | uint64(m.flowsOpened)
	f := &flowState{id: id, service: m.cfg.Services[m.flowsOpened%len(m.cfg.Services)], phase: opening,
		longLived: m.flowsOpened <= m.cfg.LongFlows, startedAt: m.now,
		requests: map[uint64]*request{}, unansweredData: map[uint64]time.Time{}}
	m.flows[id] = f
	m.record(f, history.Event{Kind: history.CallerOpen})
	m.sendOpen(f)
}

func (m *Machine) sendOpen(f *flowState) {
	m.send(m.newPacket(pb.PacketKind_PACKET_KIND_OPEN, f))
	m.setTimer(f, m.cfg.Retransmit, timerOpen, 0)
}

func (m *Machine) handleTimer(f *flowState, t timer) {
	switch t.kind {
	case timerOpen:
		if f.phase != opening {
			return
		}
		if m.now.Sub(f.startedAt) >= m.cfg.OpenTimeout {
			m.record(f, history.Event{Kind: history.CallerOpenTimeout})
			delete(m.flows, f.id)
			return
		}
		m.stats.Retransmissions++
		m.sendOpen(f)
	case timerNewRequest:
		if f.phase == established && !m.closing && !m.pastLifetime(f) {
			m.newRequest(f)
			m.setTimer(f, m.randomInterval(m.cfg.RequestsPerSecond), timerNewRequest, 0)
		}
	case timerRequest:
		m.handleRequestTimer(f, t.id)
	case timerCancel:
		m.cancelRequest(f, t.id)
	case timerLateCopy:
		if r := f.requests[t.id]; r != nil {
			m.send(r.packet)
		}
	case timerNewData:
		if f.phase == established && !m.closing && !m.pastLifetime(f) {
			m.newData(f)
			interval := m.nextQuietInterval()
			if !f.quiet {
				interval = m.randomInterval(m.cfg.DataPerSecond)
			}
			m.setTimer(f, interval, timerNewData, 0)
		}
	case timerData:
		m.handleDataTimer(f, t.id)
	case timerClose:
		m.handleCloseTimer(f)
	}
}

func (m *Machine) pastLifetime(f *flowState) bool {
	return !f.longLived && !m.now.Before(f.lifetimeEnd)
}

// establishFlow marks a flow as established by its OPENED packet and starts its
// traffic, or closes the flow if the load has ended.
func (m *Machine) establishFlow(f *flowState, p *pb.Packet) {
	f.phase = established
	m.record(f, history.Event{Kind: history.CallerEstablished, Upstream: p.Upstream, BootID: p.BootId})
	f.lifetimeEnd = m.now.Add(m.randomInterval(1 / m.cfg.FlowLifetime.Seconds()))
	if m.closing {
		m.closeFlow(f)
		return
	}
	if f.quiet = f.longLived && m.rng.Float64() < m.cfg.QuietShare; f.quiet {
		m.setTimer(f, m.nextQuietInterval(), timerNewData, 0)
		return
	}
	if !f.longLived {
		m.setTimer(f, f.lifetimeEnd.Sub(m.now), timerClose, 0)
	}
	if m.cfg.RequestsPerSecond > 0 {
		m.setTimer(f, m.randomInterval(m.cfg.RequestsPerSecond), timerNewRequest, 0)
	}
	if m.cfg.DataPerSecond > 0 {
		m.setTimer(f, m.randomInterval(m.cfg.DataPerSecond), timerNewData, 0)
	}
}

// nextQuietInterval returns the time until a quiet flow sends its next DATA
// packet. It is cut so that one packet is sent 1 s before the end of the load.
func (m *Machine) nextQuietInterval() time.Duration {
	left := m.loadEnd.Sub(m.now) - time.Second
	if left <= 0 {
		return 2 * time.Second
	}
	return min(m.cfg.QuietInterval, left)
}

func (m *Machine) newData(f *flowState) {
	f.lastID++
	f.unansweredData[f.lastID] = m.now
	m.record(f, history.Event{Kind: history.CallerData, RequestID: f.lastID})
	m.sendData(f, f.lastID)
}

func (m *Machine) sendData(f *flowState, id uint64) {
	p := m.newPacket(pb.PacketKind_PACKET_KIND_DATA, f)
	p.Payload = binary.BigEndian.AppendUint64(nil, id)
	m.send(p)
	m.setTimer(f, m.cfg.Retransmit, timerData, id)
}

func (m *Machine) handleDataTimer(f *flowState, id uint64) {
	sentAt, waiting := f.unansweredData[id]
	if !waiting || f.phase != established {
		return
	}
	if m.now.Sub(sentAt) >= m.cfg.OpenTimeout {
		delete(f.unansweredData, id)
		m.record(f, history.Event{Kind: history.CallerDataTimeout, RequestID: id})
		m.closeIfFinished(f)
		return
	}
	m.stats.Retransmissions++
	m.sendData(f, id)
}

// closeIfFinished closes an established flow if no request is outstanding and
// either the flow's lifetime or the load has ended.
func (m *Machine) closeIfFinished(f *flowState) {
	if f.phase == established && len(f.requests) == 0 && (m.closing || m.pastLifetime(f)) {
		m.closeFlow(f)
	}
}

func (m *Machine) closeFlow(f *flowState) {
	f.phase = closed
	m.record(f, history.Event{Kind: history.CallerClose})
	m.handleCloseTimer(f)
}

// handleCloseTimer closes an established flow if it is finished. For a flow in
// the closed phase it sends CLOSE, at most 3 times in total, and then removes the
// flow.
func (m *Machine) handleCloseTimer(f *flowState) {
	const maxCloses = 3
	if f.phase == established {
		m.closeIfFinished(f)
		return
	}
	if f.closesSent == maxCloses {
		delete(m.flows, f.id)
		return
	}
	f.closesSent++
	m.send(m.newPacket(pb.PacketKind_PACKET_KIND_CLOSE, f))
	m.setTimer(f, m.cfg.Retransmit, timerClose, 0)
}

// send queues p for the next result of Tick or HandlePacket. It drops p if
// Config.MaxPackets packets have been sent.
func (m *Machine) send(p *pb.Packet) {
	if m.stats.PacketsSent < m.cfg.MaxPackets {
		m.stats.PacketsSent++
		m.outgoing = append(m.outgoing, p)
	}
}

func (m *Machine) newPacket(kind pb.PacketKind, f *flowState) *pb.Packet {
	return &pb.Packet{Kind: kind, Caller: m.cfg.Address, Service: f.service, FlowId: f.id}
}

func (m *Machine) record(f *flowState, e history.Event) {
	e.TimeUS = m.now.UnixMicro()
	e.Source = m.cfg.Name
	e.Caller, e.Service, e.FlowID = m.cfg.Address, f.service, f.id
	m.cfg.Recorder.Record(e)
}
