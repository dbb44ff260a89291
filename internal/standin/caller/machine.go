package caller

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// Machine is a caller without I/O. Its methods must be called from one
// goroutine at a time, with times that do not go back.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	timers timerHeap
	flows  map[uint64]*flowState
	// firstID makes flow ids of callers with different seeds distinct.
	firstID  uint64
	opened   int
	nextOpen time.Time
	// closeAt is when the caller closes its flows; endAt is when it stops
	// waiting.
	closeAt, endAt time.Time
	closing        bool
	now            time.Time
	out            []*pb.Packet
	stats          Stats
}

type flowPhase int

const (
	opening flowPhase = iota + 1
	established
	closed
)

type flowState struct {
	id        uint64
	service   string
	phase     flowPhase
	long      bool
	quiet     bool
	startedAt time.Time
	endsAt    time.Time
	closes    int
	nextID    uint64
	requests  map[uint64]*request
	data      map[uint64]time.Time
}

// New returns a caller that starts at now. It fails with *ConfigError.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Machine, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rng, flows: map[uint64]*flowState{}, firstID: rng.Uint64() &^ 0xffffffff,
		nextOpen: now, closeAt: now.Add(cfg.Duration)}
	m.endAt = m.closeAt.Add(max(cfg.RequestTimeout, cfg.OpenTimeout) + time.Second)
	return m, nil
}

// Tick returns the packets that are due. A call every 10 ms is enough.
func (m *Machine) Tick(now time.Time) []*pb.Packet {
	m.now = now
	if !m.closing && m.stats.PacketsSent >= m.cfg.MaxPackets/10*9 {
		m.endAt = m.endAt.Add(now.Sub(m.closeAt))
		m.closeAt = now
	}
	for !m.closing && !m.nextOpen.After(now) && m.nextOpen.Before(m.closeAt) && m.opened < m.cfg.MaxFlows {
		m.openFlow()
		m.nextOpen = m.nextOpen.Add(m.interval(m.cfg.OpensPerSecond))
	}
	if !m.closing && !now.Before(m.closeAt) {
		m.closing = true
		for _, id := range sortedIDs(m.flows) {
			if f := m.flows[id]; f.phase == established && len(f.requests) == 0 {
				m.closeFlow(f)
			}
		}
	}
	for len(m.timers) > 0 && !m.timers[0].at.After(now) {
		t := heap.Pop(&m.timers).(timer)
		if f := m.flows[t.flow]; f != nil {
			m.fire(f, t)
		}
	}
	return m.take()
}

// Done tells that the load is over and nothing is outstanding.
func (m *Machine) Done(now time.Time) bool {
	return m.closing && (len(m.flows) == 0 || !now.Before(m.endAt))
}

// Next returns when Tick has to be called next, for programs in virtual time.
func (m *Machine) Next() time.Time {
	next := m.endAt
	if !m.closing {
		next = m.closeAt
		if m.opened < m.cfg.MaxFlows && m.nextOpen.Before(next) {
			next = m.nextOpen
		}
	}
	if len(m.timers) > 0 && m.timers[0].at.Before(next) {
		next = m.timers[0].at
	}
	return next
}

// OpenFlows returns the number of flows that are not over.
func (m *Machine) OpenFlows() int { return len(m.flows) }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

func (m *Machine) take() []*pb.Packet {
	out := m.out
	m.out = nil
	return out
}

// interval draws the time to the next event of a Poisson process.
func (m *Machine) interval(perSecond float64) time.Duration {
	return time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (m *Machine) openFlow() {
	m.opened++
	id := m.firstID | uint64(m.opened)
	f := &flowState{id: id, service: m.cfg.Services[m.opened%len(m.cfg.Services)], phase: opening,
		long: m.opened <= m.cfg.LongFlows, startedAt: m.now,
		requests: map[uint64]*request{}, data: map[uint64]time.Time{}}
	m.flows[id] = f
	m.record(f, history.Event{Kind: history.CallerOpen})
	m.sendOpen(f)
}

func (m *Machine) sendOpen(f *flowState) {
	m.send(m.packet(pb.PacketKind_PACKET_KIND_OPEN, f))
	m.after(f, m.cfg.Retransmit, timerOpen, 0)
}

func (m *Machine) fire(f *flowState, t timer) {
	switch t.what {
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
		if f.phase == established && !m.closing && !m.pastEnd(f) {
			m.newRequest(f)
			m.after(f, m.interval(m.cfg.RequestsPerSecond), timerNewRequest, 0)
		}
	case timerRequest:
		m.fireRequest(f, t.id)
	case timerCancel:
		m.cancelRequest(f, t.id)
	case timerLateCopy:
		if r := f.requests[t.id]; r != nil {
			m.send(r.packet)
		}
	case timerNewData:
		if f.phase == established && !m.closing && !m.pastEnd(f) {
			m.newData(f)
			interval := m.quietInterval()
			if !f.quiet {
				interval = m.interval(m.cfg.DataPerSecond)
			}
			m.after(f, interval, timerNewData, 0)
		}
	case timerData:
		m.fireData(f, t.id)
	case timerClose:
		m.fireClose(f)
	}
}

func (m *Machine) pastEnd(f *flowState) bool { return !f.long && !m.now.Before(f.endsAt) }

// establish starts the traffic of a flow.
func (m *Machine) establish(f *flowState, p *pb.Packet) {
	f.phase = established
	m.record(f, history.Event{Kind: history.CallerEstablished, Upstream: p.Upstream, BootID: p.BootId})
	f.endsAt = m.now.Add(m.interval(1 / m.cfg.FlowLifetime.Seconds()))
	if m.closing {
		m.closeFlow(f)
		return
	}
	if f.quiet = f.long && m.rng.Float64() < m.cfg.Quiet; f.quiet {
		m.after(f, m.quietInterval(), timerNewData, 0)
		return
	}
	if !f.long {
		m.after(f, f.endsAt.Sub(m.now), timerClose, 0)
	}
	if m.cfg.RequestsPerSecond > 0 {
		m.after(f, m.interval(m.cfg.RequestsPerSecond), timerNewRequest, 0)
	}
	if m.cfg.DataPerSecond > 0 {
		m.after(f, m.interval(m.cfg.DataPerSecond), timerNewData, 0)
	}
}

// quietInterval ends one second before the end of the load at the latest.
func (m *Machine) quietInterval() time.Duration {
	left := m.closeAt.Sub(m.now) - time.Second
	if left <= 0 {
		return 2 * time.Second
	}
	return min(m.cfg.QuietInterval, left)
}

func (m *Machine) newData(f *flowState) {
	f.nextID++
	f.data[f.nextID] = m.now
	m.record(f, history.Event{Kind: history.CallerData, RequestID: f.nextID})
	m.sendData(f, f.nextID)
}

func (m *Machine) sendData(f *flowState, id uint64) {
	p := m.packet(pb.PacketKind_PACKET_KIND_DATA, f)
	p.Payload = binary.BigEndian.AppendUint64(nil, id)
	m.send(p)
	m.after(f, m.cfg.Retransmit, timerData, id)
}

func (m *Machine) fireData(f *flowState, id uint64) {
	sentAt, waiting := f.data[id]
	if !waiting || f.phase != established {
		return
	}
	if m.now.Sub(sentAt) >= m.cfg.OpenTimeout {
		delete(f.data, id)
		m.record(f, history.Event{Kind: history.CallerDataTimeout, RequestID: id})
		m.maybeClose(f)
		return
	}
	m.stats.Retransmissions++
	m.sendData(f, id)
}

// maybeClose closes a flow whose time is over once its last answer came.
func (m *Machine) maybeClose(f *flowState) {
	if f.phase == established && len(f.requests) == 0 && (m.closing || m.pastEnd(f)) {
		m.closeFlow(f)
	}
}

func (m *Machine) closeFlow(f *flowState) {
	f.phase = closed
	m.record(f, history.Event{Kind: history.CallerClose})
	m.fireClose(f)
}

// fireClose closes an established flow or repeats its CLOSE, at most 3 times.
func (m *Machine) fireClose(f *flowState) {
	const maxCloses = 3
	if f.phase == established {
		m.maybeClose(f)
		return
	}
	if f.closes == maxCloses {
		delete(m.flows, f.id)
		return
	}
	f.closes++
	m.send(m.packet(pb.PacketKind_PACKET_KIND_CLOSE, f))
	m.after(f, m.cfg.Retransmit, timerClose, 0)
}

// send drops packets above the limit of the run.
func (m *Machine) send(p *pb.Packet) {
	if m.stats.PacketsSent < m.cfg.MaxPackets {
		m.stats.PacketsSent++
		m.out = append(m.out, p)
	}
}

func (m *Machine) packet(kind pb.PacketKind, f *flowState) *pb.Packet {
	return &pb.Packet{Kind: kind, Caller: m.cfg.Address, Service: f.service, FlowId: f.id}
}

func (m *Machine) record(f *flowState, e history.Event) {
	e.TimeUS = m.now.UnixMicro()
	e.Source = m.cfg.Name
	e.Caller, e.Service, e.FlowID = m.cfg.Address, f.service, f.id
	m.cfg.Recorder.Record(e)
}
