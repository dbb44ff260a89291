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

// newFixture returns a caller that opens a single long flow, with the changes
// that the test makes to its Config.
func newFixture(t *testing.T, change func(*Config)) *fixture {
	f := &fixture{t: t, now: time.Unix(1_000_000, 0)}
	cfg := Config{Address: "127.0.0.1:1", Services: []string{service}, MaxFlows: 1, QuietShare: -1, DataPerSecond: -1,
		CancelShare: -1, LateCopyShare: -1, NonIdempotentShare: 1, RequestsPerSecond: 100, Recorder: &f.events}
	if change != nil {
		change(&cfg)
	}
	m, err := New(cfg, rand.New(rand.NewPCG(1, 1)), f.now)
	require.NoError(t, err)
	f.Machine = m
	return f
}

// runUntil advances the time by 1 ms steps until the caller sends a packet of
// the kind, and returns the packet.
func (f *fixture) runUntil(kind pb.PacketKind) *pb.Packet {
	f.t.Helper()
	for range 10_000 {
		for _, p := range f.Tick(f.now) {
			if p.Kind == kind {
				return p
			}
		}
		f.now = f.now.Add(time.Millisecond)
	}
	require.FailNow(f.t, "caller sent no packet of the kind within 10 s", "%s", kind)
	return nil
}

func (f *fixture) reply(to *pb.Packet, kind pb.PacketKind, change func(*pb.Packet)) {
	p := &pb.Packet{Kind: kind, Caller: to.Caller, Service: to.Service, FlowId: to.FlowId, RequestId: to.RequestId,
		Upstream: "t/s/u1", BootId: 3, Attempt: 1}
	if change != nil {
		change(p)
	}
	f.HandlePacket(f.now, p)
}

func (f *fixture) sendPart(to *pb.Packet, run uint64, part, parts, attempt uint32) {
	f.reply(to, pb.PacketKind_PACKET_KIND_ANSWER, func(p *pb.Packet) {
		p.Part, p.Parts, p.Attempt = part, parts, attempt
		p.Payload = payload.Encode(payload.Part{FlowID: to.FlowId, RequestID: to.RequestId, Run: run, Part: part, Parts: parts}, 8)
	})
}

// openAndRequest establishes the flow and returns its first request.
func (f *fixture) openAndRequest() *pb.Packet {
	f.reply(f.runUntil(pb.PacketKind_PACKET_KIND_OPEN), pb.PacketKind_PACKET_KIND_OPENED, nil)
	return f.runUntil(pb.PacketKind_PACKET_KIND_REQUEST)
}

func (f *fixture) outcomes(request *pb.Packet) (kinds []history.Kind) {
	for _, e := range f.events.Events() {
		if e.RequestID == request.RequestId && e.Kind != history.CallerRequest {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// Guards against a wrong outcome when the parts of an answer arrive duplicated,
// out of order or from several attempts.
func TestAnswerOutcomeFromParts(t *testing.T) {
	cases := []struct {
		name string
		send func(f *fixture, r *pb.Packet)
		want []history.Kind
	}{
		{"parts out of order and duplicated", func(f *fixture, r *pb.Packet) {
			f.sendPart(r, 7, 1, 2, 1)
			f.sendPart(r, 7, 1, 2, 1)
			f.sendPart(r, 7, 0, 2, 1)
		},
			[]history.Kind{history.CallerAnswer}},
		{"two attempts, second complete", func(f *fixture, r *pb.Packet) {
			f.sendPart(r, 7, 1, 2, 1)
			f.sendPart(r, 8, 0, 2, 2)
			f.sendPart(r, 8, 1, 2, 2)
		},
			[]history.Kind{history.CallerAnswer}},
		{"two attempts, both incomplete", func(f *fixture, r *pb.Packet) { f.sendPart(r, 7, 1, 2, 1); f.sendPart(r, 8, 0, 2, 2) }, nil},
		{"parts of two runs in one attempt", func(f *fixture, r *pb.Packet) { f.sendPart(r, 7, 1, 2, 1); f.sendPart(r, 8, 0, 2, 1) },
			[]history.Kind{history.CallerMixed}},
		{"parts joined in one packet", func(f *fixture, r *pb.Packet) {
			f.reply(r, pb.PacketKind_PACKET_KIND_ANSWER, func(p *pb.Packet) {
				for i := range uint32(2) {
					p.Payload = append(p.Payload, payload.Encode(payload.Part{FlowID: r.FlowId, RequestID: r.RequestId, Run: 7, Part: i, Parts: 2}, 8)...)
				}
			})
		}, []history.Kind{history.CallerAnswer}},
		{"first part sent as the whole answer", func(f *fixture, r *pb.Packet) {
			f.reply(r, pb.PacketKind_PACKET_KIND_ANSWER, func(p *pb.Packet) {
				p.Payload = payload.Encode(payload.Part{FlowID: r.FlowId, RequestID: r.RequestId, Run: 7, Parts: 2}, 8)
			})
		}, []history.Kind{history.CallerTruncated}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil)
			r := f.openAndRequest()
			c.send(f, r)
			require.Equal(t, c.want, f.outcomes(r))
		})
	}
}

// Guards against a "not run" refusal that is lost because it arrives after the
// outcome, or that is recorded twice because it is duplicated.
func TestLateNotRunRefusalIsRecordedOnce(t *testing.T) {
	f := newFixture(t, nil)
	r := f.openAndRequest()
	refuse := func(notRun bool) {
		f.reply(r, pb.PacketKind_PACKET_KIND_REFUSAL, func(p *pb.Packet) {
			p.Refusal, p.NotRun = pb.RefusalReason_REFUSAL_REASON_NO_LEASE, notRun
		})
	}
	refuse(false)
	refuse(true)
	refuse(true)
	require.Equal(t, []history.Kind{history.CallerRequestRefused, history.CallerLateNotRun}, f.outcomes(r))
}

// Guards against lost packets that are never retransmitted, and against
// requests without an outcome after their deadline.
func TestRetransmissionAndTimeouts(t *testing.T) {
	f := newFixture(t, nil)
	first := f.runUntil(pb.PacketKind_PACKET_KIND_OPEN)
	second := f.runUntil(pb.PacketKind_PACKET_KIND_OPEN)
	require.Equal(t, first.FlowId, second.FlowId)
	f.reply(second, pb.PacketKind_PACKET_KIND_OPENED, nil)
	r := f.runUntil(pb.PacketKind_PACKET_KIND_REQUEST)
	f.sendPart(r, 7, 1, 2, 1)
	copies := 0
	for end := f.now.Add(3 * time.Second); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for _, p := range f.Tick(f.now) {
			if p.RequestId == r.RequestId {
				copies++
			}
		}
	}
	require.Equal(t, 7, copies, "one copy per 250 ms before the deadline after 2 s")
	require.Equal(t, []history.Kind{history.CallerRequestTimeout}, f.outcomes(r))
	report := history.Run(history.Options{}, f.events.Events())
	require.Equal(t, 1, report.PartialAnswers)
	require.True(t, report.OK())
	f.reply(r, pb.PacketKind_PACKET_KIND_UNKNOWN_FLOW, nil)
	require.Zero(t, f.OpenFlows())
}

// Guards against a load that exceeds MaxPackets or does not end in time.
func TestLoadStaysWithinLimits(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaxFlows, c.MaxPackets, c.OpensPerSecond = 1_000_000, 500, 1000 })
	start := f.now
	for ; !f.Done(f.now); f.now = f.Next() {
		for _, p := range f.Tick(f.now) {
			if p.Kind == pb.PacketKind_PACKET_KIND_OPEN {
				f.reply(p, pb.PacketKind_PACKET_KIND_OPENED, nil)
			}
		}
	}
	require.LessOrEqual(t, f.Stats().PacketsSent, 500)
	require.Less(t, f.now.Sub(start), 6*time.Second, "the load ends early and the wait after it is at most 4 s")
}
