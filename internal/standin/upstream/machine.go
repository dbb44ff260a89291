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

// Machine is the state of an upstream without I/O. It is not safe for concurrent
// use, and the times passed to its methods must not decrease.
type Machine struct {
	cfg    Config
	rng    *rand.Rand
	bootID uint64
	// runCount is the number of runs started since New.
	runCount uint64
	// flows contains the open flows. They are removed by a CLOSE, after
	// Config.IdleTimeout and at a restart.
	flows map[flowKey]*flowState
	// running contains the requests that are being run, at most cfg.Slots. queue
	// contains the requests that wait for a slot, oldest first.
	running []*job
	queue   []*job

	draining bool
	// shedUntil is the time until which new flows and requests are refused.
	shedUntil time.Time
	cold      coldStart
	faults    faults
	// reports contains the health reports needed for Config.HealthLag, oldest
	// first.
	reports []healthReport
	// nextSweep is the earliest time of the next sweep for idle flows.
	nextSweep time.Time
	stats     Stats
}

type flowKey struct {
	caller string
	id     uint64
}

// flowState contains the time at which the last packet of a flow arrived.
type flowState struct{ lastPacket time.Time }

// job is a request that waits for a slot or runs. run and endsAt are set when it
// starts to run.
type job struct {
	packet   *pb.Packet
	received time.Time
	run      uint64
	endsAt   time.Time
}

// faults contains the faults in force. health replaces the reported health unless
// it is nil.
type faults struct {
	health     *Health
	healthDown bool
	silent     bool
}

type healthReport struct {
	at     time.Time
	health Health
}

// sweepInterval is the minimum time between two sweeps for idle flows.
const sweepInterval = time.Second

// New returns an upstream that boots at now. It returns a *ConfigError if cfg is
// invalid.
func New(cfg Config, rng *rand.Rand, now time.Time) (*Machine, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Machine{cfg: cfg, rng: rng}
	m.startBoot(now, cfg.StartWarm)
	return m, nil
}

func (m *Machine) startBoot(now time.Time, warm bool) {
	m.bootID = m.rng.Uint64()>>11 | 1
	m.flows = map[flowKey]*flowState{}
	m.running, m.queue = nil, nil
	m.draining = false
	m.shedUntil = time.Time{}
	m.cold = coldStart{}
	if !warm {
		m.cold.start(now, m.cfg.Cold)
	}
	m.reports = nil
	m.record(now, history.Event{Kind: history.UpstreamBoot})
	m.addHealthReport(now)
}

// Restart drops all flows and requests and boots with a new boot id and a cold
// start. Requests that end at or before now are recorded as done, but their
// answers are not sent.
func (m *Machine) Restart(now time.Time) {
	m.finishDueJobs(now)
	m.startBoot(now, false)
}

// StartColdStart begins a cold start without a restart. Flows and requests are kept.
func (m *Machine) StartColdStart(now time.Time) { m.cold.start(now, m.cfg.Cold) }

// SetDraining starts or ends a drain. Established flows keep working.
func (m *Machine) SetDraining(now time.Time, draining bool) {
	if draining && !m.draining {
		m.record(now, history.Event{Kind: history.UpstreamDrain})
	}
	m.draining = draining
}

// ShedNewWork makes the upstream refuse new flows and requests until now + d.
func (m *Machine) ShedNewWork(now time.Time, d time.Duration) { m.shedUntil = now.Add(d) }

// SetMisleadingHealth makes the health endpoint report h instead of the actual
// health. With nil it reports the actual health again.
func (m *Machine) SetMisleadingHealth(h *Health) { m.faults.health = h }

// SetHealthDown makes the health endpoint fail, or work again.
func (m *Machine) SetHealthDown(down bool) { m.faults.healthDown = down }

// SetSilent makes the upstream drop every received packet and every reply and
// makes its health endpoint fail, or ends this fault.
func (m *Machine) SetSilent(silent bool) { m.faults.silent = silent }

// Name returns the name of the upstream.
func (m *Machine) Name() string { return m.cfg.Name }

// BootID returns the id of the current boot.
func (m *Machine) BootID() uint64 { return m.bootID }

// Stats returns the counters since New.
func (m *Machine) Stats() Stats { return m.stats }

// Health returns what the health endpoint reports at now, or false if the
// endpoint fails.
func (m *Machine) Health(now time.Time) (Health, bool) {
	if m.faults.healthDown || m.faults.silent {
		return Health{}, false
	}
	if m.faults.health != nil {
		return *m.faults.health, true
	}
	if m.cfg.HealthLag == 0 {
		return m.currentHealth(now), true
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

func (m *Machine) currentHealth(now time.Time) Health {
	h := Health{BootID: m.bootID, State: Warm,
		Load: uint32(len(m.running) + len(m.queue)), Connections: uint32(len(m.flows))}
	switch {
	case m.draining:
		h.State = Draining
	case m.cold.isActive(now, m.cfg.Cold):
		h.State = Cold
	}
	return h
}

// addHealthReport stores the current health, at most once per 100 ms, for
// reports that lag by Config.HealthLag.
func (m *Machine) addHealthReport(now time.Time) {
	const interval = 100 * time.Millisecond
	if n := len(m.reports); n > 0 && (m.cfg.HealthLag == 0 || now.Sub(m.reports[n-1].at) < interval) {
		return
	}
	m.reports = append(m.reports, healthReport{now, m.currentHealth(now)})
	// Health needs the newest report that is at least HealthLag old, and all
	// reports after it.
	for len(m.reports) > 1 && now.Sub(m.reports[1].at) >= m.cfg.HealthLag {
		m.reports = m.reports[1:]
	}
}

// Next returns the earliest time at which a running request ends, when Tick has
// to be called next. It returns false if no request is running.
func (m *Machine) Next() (time.Time, bool) {
	var next time.Time
	for _, j := range m.running {
		if next.IsZero() || j.endsAt.Before(next) {
			next = j.endsAt
		}
	}
	return next, !next.IsZero()
}

// Tick finishes the requests whose run ends by now, starts waiting requests and
// removes idle flows. It returns the packets to send.
func (m *Machine) Tick(now time.Time) []Reply {
	replies := m.finishDueJobs(now)
	m.addHealthReport(now)
	if !now.Before(m.nextSweep) {
		m.nextSweep = now.Add(sweepInterval)
		for key, f := range m.flows {
			if now.Sub(f.lastPacket) > m.cfg.IdleTimeout {
				delete(m.flows, key)
				m.record(now, history.Event{Kind: history.UpstreamClosed,
					Caller: key.caller, Service: m.cfg.Service, FlowID: key.id})
			}
		}
	}
	return m.unlessSilent(replies)
}

func (m *Machine) unlessSilent(replies []Reply) []Reply {
	if m.faults.silent {
		return nil
	}
	return replies
}

// finishDueJobs finishes the requests whose run ends by now, in the order of
// their end, and starts waiting requests at the time at which a slot became
// free. It returns the packets to send.
func (m *Machine) finishDueJobs(now time.Time) []Reply {
	var replies []Reply
	for {
		next := -1
		for i, j := range m.running {
			if !j.endsAt.After(now) && (next < 0 || j.endsAt.Before(m.running[next].endsAt)) {
				next = i
			}
		}
		if next < 0 {
			return replies
		}
		j := m.running[next]
		m.running = append(m.running[:next], m.running[next+1:]...)
		m.stats.Done++
		m.record(j.endsAt, m.newEvent(history.UpstreamDone, j.packet, j.run))
		replies = append(replies, m.answerParts(j)...)
		replies = append(replies, m.startQueued(j.endsAt)...)
	}
}

func (m *Machine) startQueued(now time.Time) []Reply {
	var replies []Reply
	for len(m.queue) > 0 && len(m.running) < m.cfg.Slots {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if expired(j.packet, now) {
			replies = append(replies, m.refuseQueued(now, j, pb.RefusalReason_REFUSAL_REASON_EXPIRED))
			continue
		}
		m.startJob(now, j)
	}
	return replies
}

func (m *Machine) startJob(now time.Time, j *job) {
	m.runCount++
	j.run = flow.NameHash(fmt.Sprintf("%s/%d/%d", m.cfg.Name, m.bootID, m.runCount))
	deviation := 1 + m.cfg.Jitter*(2*m.rng.Float64()-1)
	j.endsAt = now.Add(time.Duration(float64(m.cfg.ServiceTime) * deviation))
	m.running = append(m.running, j)
	m.stats.Runs++
	e := m.newEvent(history.UpstreamRun, j.packet, j.run)
	e.ReceivedUS = j.received.UnixMicro()
	m.record(now, e)
}

func (m *Machine) answerParts(j *job) []Reply {
	parts := uint32(1 + j.packet.RequestId%uint64(m.cfg.MaxParts))
	replies := make([]Reply, 0, parts)
	for i := range parts {
		p := m.newPacket(pb.PacketKind_PACKET_KIND_ANSWER, j.packet)
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
	e.Cold = m.cold.isActive(now, m.cfg.Cold)
	m.cfg.Recorder.Record(e)
}

func (m *Machine) newEvent(kind history.Kind, p *pb.Packet, run uint64) history.Event {
	return history.Event{Kind: kind, Caller: p.Caller, Service: p.Service, FlowID: p.FlowId,
		RequestID: p.RequestId, Attempt: p.Attempt, Idempotent: p.Idempotent, PacketKind: p.Kind, Run: run}
}
