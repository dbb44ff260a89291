package request

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// upstream runs requests. It detects a duplicate of an attempt by the network, but
// not another attempt of the same request.
type upstream struct {
	offset time.Duration              // difference of the clock to simulated time
	seen   map[string]bool            // by request id, reply address and attempt number
	runs   map[uint64][]time.Duration // simulated times of the runs, by request id
	shed   float64                    // probability of shedding an attempt
	silent float64                    // probability of running an attempt without an answer
	dead   bool
}

// upstreamReceive handles a packet at the upstream: it refuses a request, or runs it
// and usually answers.
func (sim *simulation) upstreamReceive(p *pb.Packet) {
	u := &sim.upstream
	id := fmt.Sprint(p.GetRequestId(), p.GetReplyTo(), p.GetAttempt())
	if p.GetKind() != pb.PacketKind_PACKET_KIND_REQUEST || u.seen[id] || u.dead {
		return
	}
	u.seen[id] = true
	refuse := func(reason pb.RefusalReason) {
		r := reply(p, pb.PacketKind_PACKET_KIND_REFUSAL)
		r.Refusal, r.NotRun = reason, true
		sim.deliverToInstance(p.GetReplyTo(), r)
	}
	if !epoch.Add(sim.now + u.offset).Before(time.UnixMilli(p.GetDeadlineUnixMs())) {
		refuse(pb.RefusalReason_REFUSAL_REASON_EXPIRED)
		return
	}
	if sim.rng.Float64() < u.shed {
		if sim.rng.Float64() < 0.8 {
			refuse(pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED)
			return
		}
		// A refusal without "not run", after which the attempt runs.
		r := reply(p, pb.PacketKind_PACKET_KIND_REFUSAL)
		r.Refusal = pb.RefusalReason_REFUSAL_REASON_UPSTREAM_SHED
		sim.deliverToInstance(p.GetReplyTo(), r)
	}
	u.runs[p.GetRequestId()] = append(u.runs[p.GetRequestId()], sim.now)
	if sim.rng.Float64() < u.silent {
		return
	}
	parts := 1 + sim.rng.Uint32N(4)
	run := fmt.Sprintf("%d run %d", p.GetRequestId(), len(u.runs[p.GetRequestId()]))
	sim.runAfter(sim.randomUpTo(1500*time.Millisecond), func() {
		for part := range parts {
			a := reply(p, pb.PacketKind_PACKET_KIND_ANSWER)
			a.Part, a.Parts, a.Payload = part, parts, fmt.Appendf(nil, "%s %d/%d", run, part, parts)
			sim.deliverToInstance(p.GetReplyTo(), a)
		}
	})
}

func reply(p *pb.Packet, kind pb.PacketKind) *pb.Packet {
	return &pb.Packet{
		Kind: kind, Caller: p.GetCaller(), Service: p.GetService(), FlowId: p.GetFlowId(),
		RequestId: p.GetRequestId(), Idempotent: p.GetIdempotent(), Attempt: p.GetAttempt(),
	}
}

// caller sends requests and records their outcomes. Its maps are keyed by request
// id, parts by request id and attempt number.
type caller struct {
	requests     []*pb.Packet
	sent         map[uint64]time.Duration
	parts        map[string]map[uint32]string
	history      map[uint64][]porcupine.Operation
	firstOutcome map[uint64]pb.RefusalReason // refusal reason; unspecified for an answer
}

func (c *caller) init() {
	c.sent, c.parts = map[uint64]time.Duration{}, map[string]map[uint32]string{}
	c.history, c.firstOutcome = map[uint64][]porcupine.Operation{}, map[uint64]pb.RefusalReason{}
}

func (sim *simulation) newRequest(idempotent bool, timeout time.Duration) *pb.Packet {
	id := uint64(len(sim.caller.requests) + 1)
	p := &pb.Packet{
		Kind: pb.PacketKind_PACKET_KIND_REQUEST, Caller: "127.0.0.1:4000", Service: "10.0.0.1:80",
		FlowId: sim.rng.Uint64(), RequestId: id, Idempotent: idempotent,
		DeadlineUnixMs: epoch.Add(sim.now + timeout).UnixMilli(),
	}
	sim.caller.requests = append(sim.caller.requests, p)
	sim.caller.sent[id] = sim.now
	sim.runAfter(250*time.Millisecond, func() { sim.retransmit(p) })
	return p
}

// retransmit sends a request again every 250 ms until its outcome or its deadline.
func (sim *simulation) retransmit(p *pb.Packet) {
	_, finished := sim.caller.firstOutcome[p.GetRequestId()]
	if finished || epoch.Add(sim.now).UnixMilli() > p.GetDeadlineUnixMs() {
		return
	}
	sim.sendCopies(p, 1)
	sim.runAfter(250*time.Millisecond, func() { sim.retransmit(p) })
}

// sendCopies sends n copies of a request, each to a random instance.
func (sim *simulation) sendCopies(p *pb.Packet, n int) {
	for range n {
		to := sim.instances[sim.rng.IntN(simInstances)]
		sim.send(func() { sim.deliverRequest(to, p, 0) })
	}
}

// outcome is an operation on the state of one request: the upstream runs it, or the
// caller receives an answer or a "not run".
type outcome struct {
	kind  string // "run", "answer" or "not run"
	value string // number of the run
}

// callerReceive records a refusal or a complete answer in the history.
func (sim *simulation) callerReceive(p *pb.Packet) {
	c, id := &sim.caller, p.GetRequestId()
	record := func(o outcome) {
		// A repeated outcome adds no constraint to the order of the history.
		for _, earlier := range c.history[id] {
			if earlier.Input == o {
				return
			}
		}
		c.history[id] = append(c.history[id], porcupine.Operation{
			Input: o, Call: int64(c.sent[id]), Return: int64(sim.now),
		})
	}
	if p.GetKind() == pb.PacketKind_PACKET_KIND_REFUSAL {
		if _, ok := c.firstOutcome[id]; !ok {
			c.firstOutcome[id] = p.GetRefusal()
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
	if _, ok := c.firstOutcome[id]; !ok {
		c.firstOutcome[id] = 0
	}
	var request, run, part, parts int
	_, _ = fmt.Sscanf(c.parts[key][0], "%d run %d %d/%d", &request, &run, &part, &parts)
	for i := range p.GetParts() {
		want := fmt.Sprintf("%d run %d %d/%d", id, run, i, len(c.parts[key]))
		if got := c.parts[key][i]; got != want {
			sim.violations = append(sim.violations, fmt.Sprintf("mixed or truncated answer: part %q instead of %q", got, want))
		}
	}
	record(outcome{kind: "answer", value: fmt.Sprint(run)})
}

// checkCompleteAnswers records a violation if an instance sends an answer with parts
// missing.
func (sim *simulation) checkCompleteAnswers(actions []action.Action) {
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
			sim.violations = append(sim.violations, fmt.Sprintf("attempt %d sent with %d parts missing", attempt, n))
		}
	}
}

// atMostOnceModel is the sequential specification of one non-idempotent request: it
// runs at most once and never after "not run", and every answer is that of its run.
// The state is "" (not decided), "barred" (must not run) or the number of the run.
var atMostOnceModel = porcupine.Model{
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

// checkHistory returns all violations: those found earlier, histories without a
// valid order, and state that an instance has not freed.
func (sim *simulation) checkHistory() []string {
	for _, p := range sim.caller.requests {
		id := p.GetRequestId()
		if p.GetIdempotent() {
			continue
		}
		history := sim.caller.history[id]
		for i, at := range sim.upstream.runs[id] {
			history = append(history, porcupine.Operation{
				Input: outcome{kind: "run", value: fmt.Sprint(i + 1)}, Call: int64(at), Return: int64(at),
			})
		}
		if !porcupine.CheckOperations(atMostOnceModel, history) {
			sim.violations = append(sim.violations, fmt.Sprintf("request %d: no valid order of %v", id, history))
		}
	}
	for _, inst := range sim.instances {
		if engine := inst.engine; engine.InFlight() != 0 || engine.Records() != 0 || engine.bufferBytes != 0 ||
			len(engine.retainedAnswers) != 0 || len(engine.decidedBefore) != 0 || inst.admitted != 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("instance %d keeps %d records, %d in flight, %d B, %d answers",
				inst.index, engine.Records(), engine.InFlight(), engine.bufferBytes, len(engine.retainedAnswers)))
		}
	}
	return sim.violations
}
