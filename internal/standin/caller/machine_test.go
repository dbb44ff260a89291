package caller

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

type fixture struct {
	*Machine
	t      *testing.T
	now    time.Time
	events history.Memory
}

// newFixture returns a caller that sends one long flow.
func newFixture(t *testing.T, change func(*Config)) *fixture {
	f := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	cfg := Config{Address: "127.0.0.1:1", Services: []string{service}, MaxFlows: 1, Quiet: -1, DataPerSecond: -1,
		Cancel: -1, LateCopies: -1, NonIdempotent: 1, RequestsPerSecond: 100, Recorder: &f.events}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg, rand.New(rand.NewPCG(1, 1)), f.now)
	require.NoError(t, err)
	f.Machine = m
	return f
}

// next runs the caller until it sends a packet of a kind.
func (f *fixture) next(kind pb.PacketKind) *pb.Packet {
	f.t.Helper()
	for range 10_000 {
		for _, p := range f.Tick(f.now) {
			if p.Kind == kind {
				return p
			}
		}
		f.now = f.now.Add(time.Millisecond)
	}
	require.FailNow(f.t, "no packet", "%s", kind)
	return nil
}

func (f *fixture) answer(to *pb.Packet, kind pb.PacketKind, change func(*pb.Packet)) {
	p := &pb.Packet{Kind: kind, Caller: to.Caller, Service: to.Service, FlowId: to.FlowId, RequestId: to.RequestId,
		Upstream: "t/s/u1", BootId: 3, Attempt: 1}
	if change != nil {
		change(p)
	}
	f.HandlePacket(f.now, p)
}

func (f *fixture) part(to *pb.Packet, run uint64, part, parts, attempt uint32) {
	f.answer(to, pb.PacketKind_PACKET_KIND_ANSWER, func(p *pb.Packet) {
		p.Part, p.Parts, p.Attempt = part, parts, attempt
		p.Payload = payload.Encode(payload.Part{FlowID: to.FlowId, RequestID: to.RequestId, Run: run, Part: part, Parts: parts}, 8)
	})
}

// request establishes the flow and returns its first request.
func (f *fixture) request() *pb.Packet {
	f.answer(f.next(pb.PacketKind_PACKET_KIND_OPEN), pb.PacketKind_PACKET_KIND_OPENED, nil)
	return f.next(pb.PacketKind_PACKET_KIND_REQUEST)
}

func (f *fixture) outcome(request *pb.Packet) (kinds []history.Kind) {
	for _, e := range f.events.Events() {
		if e.RequestID == request.RequestId && e.Kind != history.CallerRequest {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// Guards against answers whose parts come late, twice, out of order or from
// several attempts being judged wrongly.
func TestAnswersAreJudgedByTheirParts(t *testing.T) {
	cases := []struct {
		name string
		send func(f *fixture, r *pb.Packet)
		want []history.Kind
	}{
		{"out of order and twice", func(f *fixture, r *pb.Packet) { f.part(r, 7, 1, 2, 1); f.part(r, 7, 1, 2, 1); f.part(r, 7, 0, 2, 1) },
			[]history.Kind{history.CallerAnswer}},
		{"two attempts", func(f *fixture, r *pb.Packet) { f.part(r, 7, 1, 2, 1); f.part(r, 8, 0, 2, 2); f.part(r, 8, 1, 2, 2) },
			[]history.Kind{history.CallerAnswer}},
		{"two attempts, neither whole", func(f *fixture, r *pb.Packet) { f.part(r, 7, 1, 2, 1); f.part(r, 8, 0, 2, 2) }, nil},
		{"two runs as one attempt", func(f *fixture, r *pb.Packet) { f.part(r, 7, 1, 2, 1); f.part(r, 8, 0, 2, 1) },
			[]history.Kind{history.CallerMixed}},
		{"joined parts", func(f *fixture, r *pb.Packet) {
			f.answer(r, pb.PacketKind_PACKET_KIND_ANSWER, func(p *pb.Packet) {
				for i := range uint32(2) {
					p.Payload = append(p.Payload, payload.Encode(payload.Part{FlowID: r.FlowId, RequestID: r.RequestId, Run: 7, Part: i, Parts: 2}, 8)...)
				}
			})
		}, []history.Kind{history.CallerAnswer}},
		{"one part as the whole", func(f *fixture, r *pb.Packet) {
			f.answer(r, pb.PacketKind_PACKET_KIND_ANSWER, func(p *pb.Packet) {
				p.Payload = payload.Encode(payload.Part{FlowID: r.FlowId, RequestID: r.RequestId, Run: 7, Parts: 2}, 8)
			})
		}, []history.Kind{history.CallerTruncated}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil)
			r := f.request()
			c.send(f, r)
			require.Equal(t, c.want, f.outcome(r))
		})
	}
}

// Guards against a caller that forgets a "not run" claim that comes after the
// outcome, or that records one twice.
func TestLateNotRunClaimsAreRecordedOnce(t *testing.T) {
	f := newFixture(t, nil)
	r := f.request()
	refuse := func(notRun bool) {
		f.answer(r, pb.PacketKind_PACKET_KIND_REFUSAL, func(p *pb.Packet) {
			p.Refusal, p.NotRun = pb.RefusalReason_REFUSAL_REASON_NO_LEASE, notRun
		})
	}
	refuse(false)
	refuse(true)
	refuse(true)
	require.Equal(t, []history.Kind{history.CallerRequestRefused, history.CallerLateNotRun}, f.outcome(r))
}

// Guards against lost packets that are never sent again, and requests without
// an outcome.
func TestRetransmissionAndTimeouts(t *testing.T) {
	f := newFixture(t, nil)
	first := f.next(pb.PacketKind_PACKET_KIND_OPEN)
	second := f.next(pb.PacketKind_PACKET_KIND_OPEN)
	require.Equal(t, first.FlowId, second.FlowId)
	f.answer(second, pb.PacketKind_PACKET_KIND_OPENED, nil)
	r := f.next(pb.PacketKind_PACKET_KIND_REQUEST)
	f.part(r, 7, 1, 2, 1)
	copies := 0
	for end := f.now.Add(3 * time.Second); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for _, p := range f.Tick(f.now) {
			if p.RequestId == r.RequestId {
				copies++
			}
		}
	}
	require.Equal(t, 7, copies, "one copy per 250 ms before the deadline after 2 s")
	require.Equal(t, []history.Kind{history.CallerRequestTimeout}, f.outcome(r))
	report := history.Run(history.Options{}, f.events.Events())
	require.Equal(t, 1, report.PartialAnswers)
	require.True(t, report.OK())
	f.answer(r, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW, nil)
	require.Zero(t, f.OpenFlows())
}

// Guards against load without a bound in time or packets.
func TestLoadIsBounded(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxFlows, c.MaxPackets, c.OpensPerSecond = 1_000_000, 500, 1000 })
	start := f.now
	for ; !f.Done(f.now); f.now = f.Next() {
		for _, p := range f.Tick(f.now) {
			if p.Kind == pb.PacketKind_PACKET_KIND_OPEN {
				f.answer(p, pb.PacketKind_PACKET_KIND_OPENED, nil)
			}
		}
	}
	require.LessOrEqual(t, f.Stats().PacketsSent, 500)
	require.Less(t, f.now.Sub(start), 6*time.Second, "the load ends early, and the grace after it is 4 s")
}
