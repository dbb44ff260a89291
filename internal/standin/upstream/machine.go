package upstream

import (
	"fmt"
	"math/rand/v2"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/payload"
)

// Machine is an upstream without I/O. Its methods must be called from one
// goroutine at a time, with times that do not go back.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	bootID uint64
	runs   uint64
	flows  map[flowKey]*flowState
	// running holds at most cfg.Slots jobs; queue holds those that wait.
	running []*job
	queue   []*job

	draining  bool
	shedUntil time.Time
	cold      coldStart
	faults    faults
	reports   []report
	nextSweep time.Time
	stats     Stats
}

type flowKey struct {
	caller string
	id     uint64
}

type flowState struct{ lastHeard time.Time }

type job struct {
	packet   *pb.Packet
	received time.Time
	run      uint64
	ends     time.Time
}

type faults struct {
	health     *Health
	healthDown bool
	silent     bool
}

type report struct {
	at     time.Time
	health Health
}

// sweepInterval is the time between two searches for idle flows.
const sweepInterval = time.Second

// New returns an upstream that boots at now. It fails with *ConfigError.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Machine, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rng}
	m.boot(now, cfg.StartWarm)
	return m, nil
}

func (m *Machine) boot(now time.Time, warm bool) {
	m.bootID = m.rng.Uint64()>>11 | 1
	m.flows = map[flowKey]*flowState{}
	m.running, m.queue = nil, nil
	m.draining = false
	m.shedUntil = time.Time{}
	m.cold = coldStart{}
	if !warm {
		m.cold.begin(now, m.cfg.Cold)
	}
	m.reports = nil
	m.record(now, history.Event{Kind: history.UpstreamBoot})
	m.report(now)
}

// Restart loses every flow and request and boots cold with a new boot id.
func (m *Machine) Restart(now time.Time) {
	m.finish(now)
	m.boot(now, false)
}

// TurnCold starts a cold start without a restart; flows stay known.
func (m *Machine) TurnCold(now time.Time) { m.cold.begin(now, m.cfg.Cold) }

// SetDraining starts or ends a drain. Established flows go on.
func (m *Machine) SetDraining(now time.Time, draining bool) {
	if draining && !m.draining {
		m.record(now, history.Event{Kind: history.UpstreamDrain})
	}
	m.draining = draining
}

// ShedFor sheds all new work for a time.
func (m *Machine) ShedFor(now time.Time, d time.Duration) { m.shedUntil = now.Add(d) }

// SetMisleadingHealth makes the health endpoint report h; nil ends that.
func (m *Machine) SetMisleadingHealth(h *Health) { m.faults.health = h }

// SetHealthDown makes the health endpoint fail.
func (m *Machine) SetHealthDown(down bool) { m.faults.healthDown = down }

// SetSilent drops every packet and answer.
func (m *Machine) SetSilent(silent bool) { m.faults.silent = silent }

// Name returns the name of the upstream.
func (m *Machine) Name() string { return m.cfg.Name }

// BootID returns the id of the current boot.
func (m *Machine) BootID() uint64 { return m.bootID }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Health returns what the health endpoint reports; false when it fails.
func (m *Machine) Health(now time.Time) (Health, bool) {
	if m.faults.healthDown || m.faults.silent {
		return Health{}, false
	}
	if m.faults.health != nil {
		return *m.faults.health, true
	}
	if m.cfg.HealthLag == 0 {
		return m.health(now), true
	}
	h := m.reports[0].health
	for _, r := range m.reports {
		if r.at.After(now.Add(-m.cfg.HealthLag)) {
			break
		}
		h = r.health
	}
	return h, true
}

func (m *Machine) health(now time.Time) Health {
	h := Health{BootID: m.bootID, State: Warm,
		Load: uint32(len(m.running) + len(m.queue)), Connections: uint32(len(m.flows))}
	switch {
	case m.draining:
		h.State = Draining
	case m.cold.active(now, m.cfg.Cold):
		h.State = Cold
	}
	return h
}

// report keeps the health for lagging reports, one per 100 ms.
func (m *Machine) report(now time.Time) {
	const interval = 100 * time.Millisecond
	if n := len(m.reports); n > 0 && (m.cfg.HealthLag == 0 || now.Sub(m.reports[n-1].at) < interval) {
		return
	}
	m.reports = append(m.reports, report{now, m.health(now)})
	// The oldest report that is still needed is the last one older than the
	// lag.
	for len(m.reports) > 1 && now.Sub(m.reports[1].at) >= m.cfg.HealthLag {
		m.reports = m.reports[1:]
	}
}

// Next returns when Tick has to be called next for a request to end in time;
// false when nothing runs.
func (m *Machine) Next() (time.Time, bool) {
	var next time.Time
	for _, j := range m.running {
		if next.IsZero() || j.ends.Before(next) {
			next = j.ends
		}
	}
	return next, !next.IsZero()
}

// Tick ends requests that are done, starts those that wait and ends idle
// flows.
func (m *Machine) Tick(now time.Time) []Reply {
	replies := m.finish(now)
	m.report(now)
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(sweepInterval)
		for key, f := range m.flows {
			if now.Sub(f.lastHeard) > m.cfg.IdleTimeout {
				delete(m.flows, key)
				m.record(now, history.Event{Kind: history.UpstreamClosed,
					Caller: key.caller, Service: m.cfg.Service, FlowID: key.id})
			}
		}
	}
	return m.audible(replies)
}

func (m *Machine) audible(replies []Reply) []Reply {
	if m.faults.silent {
		return nil
	}
	return replies
}

// finish ends the requests that are done at now, in the order in which they
// end, and starts waiting ones at the time when a slot became free.
func (m *Machine) finish(now time.Time) []Reply {
	var replies []Reply
	for {
		first := -1
		for i, j := range m.running {
			if !j.ends.After(now) && (first < 0 || j.ends.Before(m.running[first].ends)) {
				first = i
			}
		}
		if first < 0 {
			return replies
		}
		j := m.running[first]
		m.running = append(m.running[:first], m.running[first+1:]...)
		m.stats.Done++
		m.record(j.ends, m.event(history.UpstreamDone, j.packet, j.run))
		replies = append(replies, m.answer(j)...)
		replies = append(replies, m.startQueued(j.ends)...)
	}
}

func (m *Machine) startQueued(now time.Time) []Reply {
	var replies []Reply
	for len(m.queue) > 0 && len(m.running) < m.cfg.Slots {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if expired(j.packet, now) {
			replies = append(replies, m.refuseWaiting(now, j, pb.RefusalReason_REFUSAL_REASON_EXPIRED))
			continue
		}
		m.start(now, j)
	}
	return replies
}

func (m *Machine) start(now time.Time, j *job) {
	m.runs++
	j.run = flow.NameHash(fmt.Sprintf("%s/%d/%d", m.cfg.Name, m.bootID, m.runs))
	deviation := 1 + m.cfg.Jitter*(2*m.rng.Float64()-1)
	j.ends = now.Add(time.Duration(float64(m.cfg.ServiceTime) * deviation))
	m.running = append(m.running, j)
	m.stats.Runs++
	e := m.event(history.UpstreamRun, j.packet, j.run)
	e.ReceivedUS = j.received.UnixMicro()
	m.record(now, e)
}

func (m *Machine) answer(j *job) []Reply {
	parts := uint32(1 + j.packet.RequestId%uint64(m.cfg.MaxParts))
	replies := make([]Reply, 0, parts)
	for i := range parts {
		p := m.packet(pb.PacketKind_PACKET_KIND_ANSWER, j.packet)
		p.Part, p.Parts = i, parts
		p.Payload = payload.Encode(payload.Part{FlowID: j.packet.FlowId, RequestID: j.packet.RequestId,
			Run: j.run, Part: i, Parts: parts}, m.cfg.PartSize)
		replies = append(replies, Reply{To: replyTo(j.packet), Packet: p})
	}
	return replies
}

func (m *Machine) record(now time.Time, e history.Event) {
	e.TimeUS = now.UnixMicro()
	e.Upstream, e.BootID = m.cfg.Name, m.bootID
	e.Draining = m.draining
	e.Cold = m.cold.active(now, m.cfg.Cold)
	m.cfg.Recorder.Record(e)
}

func (m *Machine) event(kind history.Kind, p *pb.Packet, run uint64) history.Event {
	return history.Event{Kind: kind, Caller: p.Caller, Service: p.Service, FlowID: p.FlowId,
		RequestID: p.RequestId, Attempt: p.Attempt, Idempotent: p.Idempotent, PacketKind: p.Kind, Run: run}
}
