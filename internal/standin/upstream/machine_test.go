package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/payload"
)

const service = "10.0.0.1:80"

var start = time.Unix(1_000_000, 0)

type fixture struct {
	*Machine
	t      *testing.T
	now    time.Time
	events *history.Memory
}

func newFixture(t *testing.T, change func(*Config)) *fixture {
	events := &history.Memory{}
	cfg := Config{Name: "t/s/u1", Service: service, StartWarm: true, ServiceTime: 10 * time.Millisecond, Recorder: events}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg, rand.New(rand.NewPCG(1, 1)), start)
	require.NoError(t, err)
	return &fixture{m, t, start, events}
}

func (f *fixture) send(kind pb.PacketKind, flow, request uint64, change func(*pb.Packet)) []Reply {
	p := &pb.Packet{Kind: kind, Caller: "127.0.0.1:1", Service: service, FlowId: flow, RequestId: request,
		Attempt: uint32(request), ReplyTo: "127.0.0.1:2"}
	if change != nil {
		change(p)
	}
	return f.HandlePacket(f.now, p)
}

func (f *fixture) open(flow uint64) Reply {
	r := f.send(pb.PacketKind_PACKET_KIND_OPEN, flow, 0, nil)
	require.Len(f.t, r, 1)
	return r[0]
}

func (f *fixture) request(request uint64, change func(*pb.Packet)) []Reply {
	return f.send(pb.PacketKind_PACKET_KIND_REQUEST, 1, request, change)
}

func (f *fixture) advance(d time.Duration) []Reply {
	f.now = f.now.Add(d)
	return f.Tick(f.now)
}

func (f *fixture) countEvents(kind history.Kind) (n int) {
	for _, e := range f.events.Events() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func requireRefusal(t *testing.T, r Reply, reason pb.RefusalReason, notRun bool) {
	t.Helper()
	require.Equal(t, pb.PacketKind_PACKET_KIND_REFUSAL, r.Packet.Kind)
	require.Equal(t, reason, r.Packet.Refusal)
	require.Equal(t, notRun, r.Packet.NotRun)
}

// Guards against answers that lack the fields by which instances match them to
// requests, and against parts that do not form the whole answer.
func TestAnswerFieldsAndParts(t *testing.T) {
	f := newFixture(t, nil)
	require.Equal(t, pb.PacketKind_PACKET_KIND_OPENED, f.open(1).Packet.Kind)
	require.Equal(t, pb.PacketKind_PACKET_KIND_OPENED, f.open(1).Packet.Kind, "duplicate of the OPEN")
	require.Empty(t, f.request(5, nil))
	next, ok := f.Next()
	require.True(t, ok)
	replies := f.advance(next.Sub(f.now))
	require.Len(t, replies, 3)
	var body []byte
	for i, r := range replies {
		require.Equal(t, "127.0.0.1:2", r.To)
		p := r.Packet
		require.EqualValues(t, i, p.Part)
		require.EqualValues(t, 3, p.Parts)
		require.Equal(t, []any{uint64(5), uint32(5), f.BootID(), "t/s/u1"}, []any{p.RequestId, p.Attempt, p.BootId, p.Upstream})
		body = append(body, p.Payload...)
	}
	_, err := payload.Verify(body, 1, 5)
	require.NoError(t, err)
	echo := f.send(pb.PacketKind_PACKET_KIND_DATA, 1, 0, func(p *pb.Packet) { p.Payload, p.ReplyTo = []byte("x"), "" })
	require.Equal(t, "x", string(echo[0].Packet.Payload))
	require.Equal(t, "127.0.0.1:1", echo[0].To, "without reply_to the caller gets the answer")
}

// Guards against more concurrent requests than slots, and against requests that
// start to run after their deadline because they waited.
func TestSlotsQueueAndDeadlines(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.QueueLimit = 2; c.Jitter = 0.001 })
	f.open(1)
	shortDeadline := func(p *pb.Packet) { p.DeadlineUnixMs = start.Add(5 * time.Millisecond).UnixMilli() }
	for i := range uint64(3) {
		require.Empty(t, f.request(i+1, nil))
	}
	require.Empty(t, f.request(4, shortDeadline))
	require.Equal(t, 2, f.countEvents(history.UpstreamRun))
	requireRefusal(t, f.request(5, nil)[0], pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED, true)
	h, ok := f.Health(f.now)
	require.True(t, ok)
	require.Equal(t, Health{BootID: f.BootID(), State: Warm, Load: 4, Connections: 1}, h)
	replies := f.advance(15 * time.Millisecond)
	requireRefusal(t, replies[len(replies)-1], pb.RefusalReason_REFUSAL_REASON_EXPIRED, true)
	requireRefusal(t, f.request(6, shortDeadline)[0], pb.RefusalReason_REFUSAL_REASON_EXPIRED, true)
	f.advance(10 * time.Millisecond)
	require.Equal(t, Stats{Opened: 1, Requests: 6, Runs: 3, Done: 3, Shed: 1, Expired: 2}, f.Stats())
}

// Guards against a CANCEL whose refusal says that a running request has not run,
// and against one that cancels another attempt.
func TestCancelWaitingAndRunningRequests(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.Slots = 1 })
	f.open(1)
	f.request(1, nil)
	f.request(2, nil)
	cancel := func(request uint64, attempt uint32) []Reply {
		return f.send(pb.PacketKind_PACKET_KIND_CANCEL, 1, request, func(p *pb.Packet) { p.Attempt = attempt })
	}
	require.Empty(t, cancel(1, 9))
	requireRefusal(t, cancel(2, 2)[0], pb.RefusalReason_REFUSAL_REASON_CANCELLED, true)
	requireRefusal(t, cancel(1, 0)[0], pb.RefusalReason_REFUSAL_REASON_CANCELLED, false)
	require.Empty(t, f.advance(time.Second))
	require.Equal(t, 1, f.countEvents(history.UpstreamRun))
}

// Guards against an upstream that accepts packets of unknown flows or of other
// services, as a misrouting load balancer sends them.
func TestUnknownFlowsAndOtherServicesAreRefused(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxConnections = 1; c.IdleTimeout = time.Minute })
	require.Equal(t, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW, f.request(1, nil)[0].Packet.Kind)
	f.open(1)
	requireRefusal(t, f.open(2), pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED, true)
	other := f.send(pb.PacketKind_PACKET_KIND_DATA, 1, 0, func(p *pb.Packet) { p.Service = "10.0.0.2:80" })
	requireRefusal(t, other[0], pb.RefusalReason_REFUSAL_REASON_UNKNOWN_SERVICE, true)
	require.Equal(t, 1, f.countEvents(history.UpstreamWrongService))
	f.advance(2 * time.Minute)
	require.Equal(t, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW, f.request(2, nil)[0].Packet.Kind, "the flow was idle")
	f.open(3)
	bootID := f.BootID()
	f.Restart(f.now)
	require.NotEqual(t, bootID, f.BootID())
	require.Equal(t, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW,
		f.send(pb.PacketKind_PACKET_KIND_DATA, 3, 0, nil)[0].Packet.Kind, "a restart loses flows")
	require.Zero(t, f.countEvents(history.UpstreamRun))
}

// Guards against a cold upstream that accepts OPENs above its sustainable rate,
// and against one that refuses OPENs below it.
func TestColdStartOverloadAboveSustainableRate(t *testing.T) {
	f := newFixture(t, func(c *Config) {
		c.StartWarm = false
		c.Cold = ColdStart{OpensPerSecond: 10, FullOpensPerSecond: 100, Ramp: 10 * time.Second}
	})
	var id uint64
	sendOpens := func(rate int, d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); f.advance(time.Second / time.Duration(rate)) {
			id++
			f.open(id)
		}
	}
	sendOpens(10, 3*time.Second)
	require.Zero(t, f.Stats().Overloads)
	require.Equal(t, 30, f.Stats().ColdOpened)
	h, _ := f.Health(f.now)
	require.Equal(t, Cold, h.State)
	sendOpens(200, time.Second)
	require.Equal(t, 1, f.Stats().Overloads)
	require.Greater(t, f.Stats().PeakColdRatio, 1.0)
	requireRefusal(t, f.request(1, nil)[0], pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED, true)
	f.advance(12 * time.Second)
	h, _ = f.Health(f.now)
	require.Equal(t, Warm, h.State)
	sendOpens(500, time.Second)
	require.Equal(t, 1, f.Stats().Overloads, "a warm upstream has no rate limit")
}

// Guards against injected health faults without effect, and against drains that
// interrupt established flows.
func TestHealthFaultsAndDrain(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HealthLag = 5 * time.Second; c.RefuseOpensWhileDraining = true })
	f.open(1)
	f.advance(4900 * time.Millisecond)
	h, _ := f.Health(f.now)
	require.Zero(t, h.Connections, "health report lags by 5 s")
	f.advance(200 * time.Millisecond)
	f.advance(5 * time.Second)
	h, _ = f.Health(f.now)
	require.EqualValues(t, 1, h.Connections)
	f.SetMisleadingHealth(&Health{BootID: 3, State: Cold, Load: 9})
	h, _ = f.Health(f.now)
	require.Equal(t, Health{BootID: 3, State: Cold, Load: 9}, h)
	f.SetHealthDown(true)
	_, ok := f.Health(f.now)
	require.False(t, ok)
	f.SetDraining(f.now, true)
	requireRefusal(t, f.open(2), pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED, true)
	require.Empty(t, f.request(1, nil))
	require.NotEmpty(t, f.advance(time.Second))
	f.SetSilent(true)
	require.Empty(t, f.send(pb.PacketKind_PACKET_KIND_DATA, 1, 0, nil))
}
