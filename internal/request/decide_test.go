package request

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

type counter struct {
	refusals []Refusal
	retries  []RetryReason
	drops    []DropReason
}

func (c *counter) Refused(r Refusal)     { c.refusals = append(c.refusals, r) }
func (c *counter) Retried(r RetryReason) { c.retries = append(c.retries, r) }
func (c *counter) Dropped(r DropReason)  { c.drops = append(c.drops, r) }

func newEngine(cfg Config) (*Engine, *counter) {
	c := &counter{}
	cfg.Observer, cfg.ReplyTo = c, "127.0.0.1:9"
	return New(cfg, "a", rand.New(rand.NewPCG(1, 1))), c
}

func newPacket(id uint64, idempotent bool, deadline time.Time) *pb.Packet {
	return &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: "127.0.0.1:4000", Service: "10.0.0.1:80",
		RequestId: id, Idempotent: idempotent, DeadlineUnixMs: deadline.UnixMilli(),
	}
}

// held is the route of a holder whose tenure started long ago.
func held(now time.Time) Route {
	return Route{
		Team: "t", Service: "t/s", MaxTimeout: 5 * time.Second, Holds: true,
		Tenure: Tenure{Start: now.Add(-time.Hour), Until: now.Add(6 * time.Second)},
	}
}

func forwarded(t *testing.T, actions []action.Action) *pb.Packet {
	require.Len(t, actions, 1)
	require.IsType(t, action.Forward{}, actions[0])
	return actions[0].(action.Forward).Packet
}

func told(t *testing.T, actions []action.Action) (pb.RefusalReason, bool) {
	require.Len(t, actions, 1)
	require.IsType(t, action.SendCaller{}, actions[0])
	p := actions[0].(action.SendCaller).Packet
	return p.GetRefusal(), p.GetNotRun()
}

// Guards against a fence that does not cover the skew bound. One millisecond
// of skew beyond it lets the request run twice.
func TestFenceCoversTheSkewBoundAndNoMore(t *testing.T) {
	for skew, twice := range map[time.Duration]bool{
		DefaultClockSkewLimit:                    false,
		DefaultClockSkewLimit + time.Millisecond: true,
	} {
		first, _ := newEngine(Config{})
		second, _ := newEngine(Config{})
		ahead := epoch.Add(skew)
		p := newPacket(1, false, ahead.Add(5*time.Second))
		forwarded(t, first.HandleRequest(ahead, p, held(ahead)))
		route := held(epoch)
		route.Tenure.Start = epoch
		actions := second.HandleRequest(epoch.Add(skew), p, route)
		require.Equal(t, twice, actions[0] != nil && isForward(actions), "skew %v", skew)
	}
}

func isForward(actions []action.Action) bool {
	_, ok := actions[0].(action.Forward)
	return ok
}

// Guards against a new holder that takes a smaller maximum timeout, declared
// in the meantime, for the one that its predecessor applied.
func TestFenceIgnoresALoweredTimeout(t *testing.T) {
	e, _ := newEngine(Config{})
	now := epoch.Add(4 * time.Second)
	route := held(now)
	route.MaxTimeout, route.Tenure.Start = time.Second, epoch
	reason, notRun := told(t, e.HandleRequest(now, newPacket(1, false, now.Add(time.Second)), route))
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, reason)
	require.False(t, notRun)
}

// Guards against a forward that an upstream would accept after the tenure, and
// against a copy that runs again after the clock has stepped back.
func TestForwardEndsWithTheTenureAndRecordsOutliveClockSteps(t *testing.T) {
	e, _ := newEngine(Config{})
	route := held(epoch)
	route.Tenure.Until = epoch.Add(time.Second)
	deadline := epoch.Add(4 * time.Second)
	p := newPacket(1, false, deadline)
	require.Equal(t, route.Tenure.Until.UnixMilli(), forwarded(t, e.HandleRequest(epoch, p, route)).GetDeadlineUnixMs())
	for now := epoch; e.Records() > 0; now = now.Add(10 * time.Millisecond) {
		e.Tick(now)
		back := now.Add(-DefaultClockSkewLimit)
		for _, a := range e.HandleRequest(back, p, held(back)) {
			require.IsType(t, action.SendCaller{}, a)
		}
	}
}

// Guards against a refusal with a claim or a reason that it must not have.
func TestRefusals(t *testing.T) {
	in := func(d time.Duration) time.Time { return epoch.Add(d) }
	for name, c := range map[string]struct {
		packet *pb.Packet
		route  func(*Route)
		drain  bool
		want   Refusal
		notRun bool
	}{
		"expired":       {packet: newPacket(1, false, epoch), want: &ExpiredError{}},
		"too far":       {packet: newPacket(1, false, in(5001*time.Millisecond)), want: &DeadlineTooFarError{}},
		"no deadline":   {packet: newPacket(1, true, time.UnixMilli(0)), want: &MalformedError{}},
		"no request id": {packet: newPacket(0, true, in(time.Second)), want: &MalformedError{}},
		"no holder":     {packet: newPacket(1, false, in(time.Second)), route: func(r *Route) { r.Holds = false }, want: &NoLeaseError{}},
		"lapsed tenure": {
			packet: newPacket(1, false, in(time.Second)), route: func(r *Route) { r.Tenure.Until = epoch }, want: &NoLeaseError{},
		},
		"too many hops": {
			packet: newPacket(1, false, in(time.Second)),
			route:  func(r *Route) { r.Holds, r.Holder, r.Hops = false, "b", MaxHops }, want: &NoLeaseError{},
		},
		"dead upstream": {
			packet: newPacket(1, false, in(time.Second)), route: func(r *Route) { r.Availability = UpstreamDead },
			want: &UpstreamDeadError{}, notRun: true,
		},
		"domain out, idempotent": {
			packet: newPacket(1, true, in(time.Second)), route: func(r *Route) { r.Availability = DomainOut },
			want: &DomainOutError{},
		},
		"draining": {packet: newPacket(1, false, in(time.Second)), drain: true, want: &ShuttingDownError{}},
	} {
		t.Run(name, func(t *testing.T) {
			e, count := newEngine(Config{})
			route := held(epoch)
			if c.route != nil {
				c.route(&route)
			}
			if c.drain {
				e.Drain()
			}
			_, notRun := told(t, e.HandleRequest(epoch, c.packet, route))
			require.Equal(t, c.notRun, notRun)
			require.Len(t, count.refusals, 1)
			require.IsType(t, c.want, count.refusals[0])
		})
	}
}

// Guards against an instance that decides for a slot it does not hold.
func TestRedirectsToTheHolder(t *testing.T) {
	e, _ := newEngine(Config{})
	route := held(epoch)
	route.Holds, route.Holder, route.Hops = false, "b", 1
	route.HolderAddress, route.Revision = netip.MustParseAddrPort("127.0.0.1:7"), 5
	actions := e.HandleRequest(epoch, newPacket(1, false, epoch.Add(time.Second)), route)
	require.Len(t, actions, 1)
	send := actions[0].(action.SendPeer)
	require.Equal(t, "b", send.Instance)
	require.Equal(t, uint32(2), send.Message.GetRedirect().GetHops())
	require.Equal(t, uint64(5), send.Message.GetRedirect().GetRevision())
}

// Guards against a cancellation that is not passed on, or that claims "not
// run" while the upstream may run the request.
func TestCancel(t *testing.T) {
	e, _ := newEngine(Config{})
	p := newPacket(1, false, epoch.Add(time.Second))
	sent := forwarded(t, e.HandleRequest(epoch, p, held(epoch)))
	require.Equal(t, sent.GetAttempt(), forwarded(t, e.HandleCancel(epoch, p)).GetAttempt())
	refusal := reply(sent, pb.PacketKind_PACKET_KIND_REFUSAL)
	refusal.NotRun = true
	reason, notRun := told(t, e.HandleAnswer(epoch, refusal))
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_CANCELLED, reason)
	require.True(t, notRun)
	other := forwarded(t, e.HandleCancel(epoch, newPacket(2, true, epoch)))
	require.Equal(t, uint32(CancelAllAttempts), other.GetAttempt())
}

// Guards against unbounded memory: records, parts and bytes of answers. A
// dropped answer must not turn into a second run or a claim.
func TestBounds(t *testing.T) {
	e, count := newEngine(Config{MaxRecords: 3, MaxAnswerBytes: 10, MaxBufferBytes: 15, MaxParts: 2})
	answer := func(id uint64, parts uint32, size int) []action.Action {
		sent := forwarded(t, e.HandleRequest(epoch, newPacket(id, false, epoch.Add(time.Second)), held(epoch)))
		a := reply(sent, pb.PacketKind_PACKET_KIND_ANSWER)
		a.Parts, a.Payload = parts, make([]byte, size)
		return e.HandleAnswer(epoch, a)
	}
	require.Len(t, answer(1, 1, 10), 1)
	reason, notRun := told(t, answer(2, 3, 1))
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, reason)
	require.False(t, notRun)
	require.Len(t, answer(3, 1, 8), 1) // evicts the first answer
	reason, _ = told(t, e.HandleRequest(epoch, newPacket(1, false, epoch.Add(time.Second)), held(epoch)))
	require.Equal(t, pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN, reason)
	_, notRun = told(t, e.HandleRequest(epoch, newPacket(4, false, epoch.Add(time.Second)), held(epoch)))
	require.False(t, notRun)
	require.IsType(t, &QueueFullError{}, count.refusals[len(count.refusals)-1])
	e.Tick(epoch.Add(2 * time.Second))
	require.Zero(t, e.Records()+e.bufferBytes+e.InFlight()+len(e.retained))
}

// Guards against a handover that is taken for that of a later tenure, whose
// own message was lost. Schedule 0x74 of the fault schedules ran a request
// twice for this reason.
func TestHandoverCountsForItsTenureOnly(t *testing.T) {
	first := Tenure{Start: epoch, Until: epoch.Add(6 * time.Second), Clean: true, Previous: "b"}
	later := Tenure{Start: epoch.Add(time.Second), Until: epoch.Add(7 * time.Second), Clean: true, Previous: "c"}
	again := later
	again.Previous = "b"
	for name, c := range map[string]struct {
		tenure   Tenure
		released bool
		forward  bool
	}{
		"its tenure":                     {tenure: first, forward: true},
		"from another holder":            {tenure: later},
		"handed over since":              {tenure: again, released: true},
		"long before the tenure":         {tenure: Tenure{Start: epoch.Add(5 * time.Second), Until: epoch.Add(11 * time.Second), Clean: true, Previous: "b"}},
		"of a holder that did not leave": {tenure: Tenure{Start: epoch, Until: first.Until, Previous: "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			e, _ := newEngine(Config{})
			e.HandleHandover(epoch, "b", &pb.SlotHandover{Slots: allSlots()})
			if c.released {
				// The message came too late for a tenure that was not clean.
				for _, slot := range allSlots() {
					e.Handover(epoch, map[uint32]Tenure{slot: {Start: epoch, Until: first.Until}})
				}
			}
			now := c.tenure.Start.Add(100 * time.Millisecond)
			route := held(now)
			route.Tenure = c.tenure
			actions := e.HandleRequest(now, newPacket(1, false, now.Add(time.Second)), route)
			require.Equal(t, c.forward, isForward(actions))
		})
	}
}
