package request

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// upstream runs requests. It recognizes a network duplicate of an attempt, but
// not another attempt of the same request.
type upstream struct {
	offset time.Duration
	seen   map[string]bool
	runs   map[uint64][]time.Duration
	shed   float64 // probability of shedding an attempt
	silent float64 // probability of running an attempt without an answer
	dead   bool
}

func (s *sim) upstreamReceive(p *pb.Packet) {
	u := &s.upstream
	id := fmt.Sprint(p.GetRequestId(), p.GetReplyTo(), p.GetAttempt())
	if p.GetKind() != pb.PacketKind_PACKET_KIND_REQUEST || u.seen[id] || u.dead {
		return
	}
	u.seen[id] = true
	refuse := func(reason pb.RefusalReason) {
		r := reply(p, pb.PacketKind_PACKET_KIND_REFUSAL)
		r.Refusal, r.NotRun = reason, true
		s.answer(p.GetReplyTo(), r)
	}
	if !epoch.Add(s.now + u.offset).Before(time.UnixMilli(p.GetDeadlineUnixMs())) {
		refuse(pb.RefusalReason_REFUSAL_REASON_EXPIRED)
		return
	}
	if s.rng.Float64() < u.shed {
		if s.rng.Float64() < 0.8 {
			refuse(pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED)
			return
		}
		// A refusal without "not run", after which the attempt runs.
		r := reply(p, pb.PacketKind_PACKET_KIND_REFUSAL)
		r.Refusal = pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED
		s.answer(p.GetReplyTo(), r)
	}
	u.runs[p.GetRequestId()] = append(u.runs[p.GetRequestId()], s.now)
	if s.rng.Float64() < u.silent {
		return
	}
	parts := 1 + s.rng.Uint32N(4)
	run := fmt.Sprintf("%d run %d", p.GetRequestId(), len(u.runs[p.GetRequestId()]))
	s.after(s.upTo(1500*time.Millisecond), func() {
		for part := range parts {
			a := reply(p, pb.PacketKind_PACKET_KIND_ANSWER)
			a.Part, a.Parts, a.Payload = part, parts, fmt.Appendf(nil, "%s %d/%d", run, part, parts)
			s.answer(p.GetReplyTo(), a)
		}
	})
}

func reply(p *pb.Packet, kind pb.PacketKind) *pb.Packet {
	return &pb.Packet{
		Kind: kind, Caller: p.GetCaller(), Service: p.GetService(), FlowId: p.GetFlowId(),
		RequestId: p.GetRequestId(), Idempotent: p.GetIdempotent(), Attempt: p.GetAttempt(),
	}
}

// caller sends requests and remembers what it was told.
type caller struct {
	requests []*pb.Packet
	sent     map[uint64]time.Duration
	parts    map[string]map[uint32]string
	history  map[uint64][]porcupine.Operation
	told     map[uint64]pb.RefusalReason // first outcome; unspecified for an answer
}

func (c *caller) init() {
	c.sent, c.parts = map[uint64]time.Duration{}, map[string]map[uint32]string{}
	c.history, c.told = map[uint64][]porcupine.Operation{}, map[uint64]pb.RefusalReason{}
}

func (s *sim) newRequest(idempotent bool, timeout time.Duration) *pb.Packet {
	id := uint64(len(s.caller.requests) + 1)
	p := &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: "127.0.0.1:4000", Service: "10.0.0.1:80",
		FlowId: s.rng.Uint64(), RequestId: id, Idempotent: idempotent,
		DeadlineUnixMs: epoch.Add(s.now + timeout).UnixMilli(),
	}
	s.caller.requests = append(s.caller.requests, p)
	s.caller.sent[id] = s.now
	s.after(250*time.Millisecond, func() { s.retransmit(p) })
	return p
}

// retransmit repeats a request until its outcome or its deadline.
func (s *sim) retransmit(p *pb.Packet) {
	_, told := s.caller.told[p.GetRequestId()]
	if told || epoch.Add(s.now).UnixMilli() > p.GetDeadlineUnixMs() {
		return
	}
	s.copies(p, 1)
	s.after(250*time.Millisecond, func() { s.retransmit(p) })
}

// copies sends a request to several instances.
func (s *sim) copies(p *pb.Packet, n int) {
	for range n {
		to := s.nodes[s.rng.IntN(simInstances)]
		s.send(func() { s.request(to, p, 0) })
	}
}

// outcome is an operation on the state of one request: the caller learns its
// outcome, or (run) the upstream runs it.
type outcome struct {
	kind  string // "run", "answer" or "not run"
	value string
}

func (s *sim) callerReceive(p *pb.Packet) {
	c, id := &s.caller, p.GetRequestId()
	record := func(o outcome) {
		// A repeated outcome can take effect together with the first one.
		for _, earlier := range c.history[id] {
			if earlier.Input == o {
				return
			}
		}
		c.history[id] = append(c.history[id], porcupine.Operation{
			Input: o, Call: int64(c.sent[id]), Return: int64(s.now),
		})
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_REFUSAL {
		if _, ok := c.told[id]; !ok {
			c.told[id] = p.GetRefusal()
		}
		if p.GetNotRun() {
			record(outcome{kind: "not run"})
		}
		return
	}
	key := fmt.Sprint(id, "/", p.GetAttempt())
	if c.parts[key] == nil {
		c.parts[key] = map[uint32]string{}
	}
	c.parts[key][p.GetPart()] = string(p.GetPayload())
	if len(c.parts[key]) < int(p.GetParts()) {
		return
	}
	if _, ok := c.told[id]; !ok {
		c.told[id] = 0
	}
	var request, run, part, parts int
	_, _ = fmt.Sscanf(c.parts[key][0], "%d run %d %d/%d", &request, &run, &part, &parts)
	for i := range p.GetParts() {
		want := fmt.Sprintf("%d run %d %d/%d", id, run, i, len(c.parts[key]))
		if got := c.parts[key][i]; got != want {
			s.faults = append(s.faults, fmt.Sprintf("mixed or truncated answer: part %q instead of %q", got, want))
		}
	}
	record(outcome{kind: "answer", value: fmt.Sprint(run)})
}

// checkWhole checks that an instance sends an answer only when it is whole.
func (s *sim) checkWhole(actions []action.Action) {
	missing := map[uint32]uint32{}
	for _, a := range actions {
		if send, ok := a.(action.SendCaller); ok && send.Packet.GetKind() == pb.PacketKind_PACKET_KIND_ANSWER {
			p := send.Packet
			if _, ok := missing[p.GetAttempt()]; !ok {
				missing[p.GetAttempt()] = p.GetParts()
			}
			missing[p.GetAttempt()]--
		}
	}
	for attempt, n := range missing {
		if n != 0 {
			s.faults = append(s.faults, fmt.Sprintf("attempt %d sent with %d parts missing", attempt, n))
		}
	}
}

// onceModel is the sequential specification of one non-idempotent request: it
// runs at most once and never after "not run"; every answer is that of its
// run. The state is "" (open), "barred" or the number of the run.
var onceModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		o := input.(outcome)
		switch o.kind {
		case "run":
			return state == "", o.value
		case "not run":
			return state == "" || state == "barred", "barred"
		}
		return state == o.value, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// check returns the faults of the whole history.
func (s *sim) check() []string {
	for _, p := range s.caller.requests {
		id := p.GetRequestId()
		if p.GetIdempotent() {
			continue
		}
		history := s.caller.history[id]
		for i, at := range s.upstream.runs[id] {
			history = append(history, porcupine.Operation{
				Input: outcome{kind: "run", value: fmt.Sprint(i + 1)}, Call: int64(at), Return: int64(at),
			})
		}
		if !porcupine.CheckOperations(onceModel, history) {
			s.faults = append(s.faults, fmt.Sprintf("request %d: no valid order of %v", id, history))
		}
	}
	for _, n := range s.nodes {
		if e := n.engine; e.InFlight() != 0 || e.Records() != 0 || e.bufferBytes != 0 || len(e.retained) != 0 ||
			len(e.decided) != 0 || n.admitted != 0 {
			s.faults = append(s.faults, fmt.Sprintf("instance %d keeps %d records, %d in flight, %d B, %d answers",
				n.index, e.Records(), e.InFlight(), e.bufferBytes, len(e.retained)))
		}
	}
	return s.faults
}
