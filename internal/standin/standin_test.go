package standin_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/standin/caller"
	"github.com/chivemast/chivemast/internal/standin/fabric"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

const serviceA, serviceB = "10.0.0.1:80", "10.0.0.2:80"

// fakeBalancer replaces the load balancer between the fabric and the upstreams.
// It behaves like a single instance and injects at most one fault, which the
// checks of package history must detect.
type fakeBalancer struct {
	upstreams map[string][]string
	// forwarded contains the flow id and request id of each non-idempotent
	// request that was sent to an upstream. Entries are never removed.
	forwarded map[[2]uint64]bool
	packets   int
	fault     string
}

// chooseUpstream returns the name of the upstream that receives p, or a refusal
// for the caller. It returns neither if p is to be dropped.
func (b *fakeBalancer) chooseUpstream(p *pb.Packet) (string, *pb.Packet) {
	b.packets++
	list := b.upstreams[p.Service]
	index := int(p.FlowId % uint64(len(list)))
	switch {
	case b.fault == "misroute flows" && p.Kind != pb.PacketKind_PACKET_KIND_OPEN && b.packets > 2000:
		index = (index + 1) % len(list)
	case b.fault == "wrong service" && b.packets%500 == 0:
		list, index = b.upstreams[serviceB], 0
	}
	if p.Kind == pb.PacketKind_PACKET_KIND_REQUEST && !p.Idempotent {
		id := [2]uint64{p.FlowId, p.RequestId}
		if b.forwarded[id] && b.fault != "forward duplicates" {
			if b.fault != "refuse duplicates as not run" {
				return "", nil
			}
			return "", &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_REFUSAL, Caller: p.Caller, Service: p.Service,
				FlowId: p.FlowId, RequestId: p.RequestId, NotRun: true, Refusal: pb.RefusalReason_REFUSAL_REASON_NO_LEASE}
		}
		b.forwarded[id] = true
	}
	return list[index], nil
}

type delivery struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].seq < d[j].seq
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simulate runs a caller, the fabric, a balancer with the given fault ("" for
// none) and five upstreams in virtual time, and returns the recorded events.
func simulate(t *testing.T, fault string, seed uint64) []history.Event {
	newRNG := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	now := time.Unix(1_000_000, 0)
	events := &history.Memory{}
	upstreams, names := map[string]*upstream.Machine{}, []string{}
	b := &fakeBalancer{upstreams: map[string][]string{}, forwarded: map[[2]uint64]bool{}, fault: fault}
	for i, service := range []string{serviceA, serviceA, serviceA, serviceB, serviceB} {
		name := fmt.Sprintf("t/%s/u%d", service, i)
		m, err := upstream.New(upstream.Config{Name: name, Service: service, Recorder: events,
			StartWarm: fault != "cold upstreams", Cold: upstream.ColdStart{OpensPerSecond: 3}}, newRNG(uint64(i)), now)
		require.NoError(t, err)
		upstreams[name], names = m, append(names, name)
		b.upstreams[service] = append(b.upstreams[service], name)
	}
	callerMachine, err := caller.New(caller.Config{Address: "127.0.0.1:1", Services: []string{serviceA, serviceB},
		Duration: 10 * time.Second, Recorder: events}, newRNG(100), now)
	require.NoError(t, err)
	sprayer, err := fabric.NewSprayer(fabric.InstancesFromMap(map[string]netip.AddrPort{"i1": {}}),
		fabric.Rates{Drop: 0.02, Duplicate: 0.05, Reorder: 0.1, Latency: time.Millisecond}, newRNG(101))
	require.NoError(t, err)

	var scheduled deliveries
	seq := 0
	schedule := func(now time.Time, d time.Duration, run func(time.Time)) {
		seq++
		heap.Push(&scheduled, delivery{now.Add(d), seq, run})
	}
	var deliverToCaller func(now time.Time, p *pb.Packet)
	sendReplies := func(now time.Time, list []upstream.Reply) {
		for _, r := range list {
			schedule(now, time.Millisecond, func(now time.Time) { deliverToCaller(now, r.Packet) })
		}
	}
	sendToBalancer := func(now time.Time, packets []*pb.Packet) {
		for _, p := range packets {
			for _, d := range sprayer.Route(p.Caller) {
				schedule(now, d.Delay, func(now time.Time) {
					name, refusal := b.chooseUpstream(p)
					if refusal != nil {
						schedule(now, 0, func(now time.Time) { deliverToCaller(now, refusal) })
					} else if name != "" {
						sendReplies(now, upstreams[name].HandlePacket(now, p))
					}
				})
			}
		}
	}
	deliverToCaller = func(now time.Time, p *pb.Packet) {
		if fault == "truncate answers" && p.Kind == pb.PacketKind_PACKET_KIND_ANSWER && p.Part == 0 {
			p.Parts = 1
		}
		sendToBalancer(now, callerMachine.HandlePacket(now, p))
	}
	for !callerMachine.Done(now) {
		for len(scheduled) > 0 && !scheduled[0].at.After(now) {
			d := heap.Pop(&scheduled).(delivery)
			d.run(d.at)
		}
		for _, name := range names {
			sendReplies(now, upstreams[name].Tick(now))
		}
		sendToBalancer(now, callerMachine.Tick(now))
		now = now.Add(time.Millisecond)
	}
	return events.Events()
}

// Guards against history checks that miss an injected balancer fault, and that
// reject a correct balancer when packets are lost, duplicated or reordered.
func TestCheckerRejectsOnlyFaultyBalancers(t *testing.T) {
	for fault, want := range map[string]history.Check{
		"":                             "",
		"misroute flows":               history.CheckBrokenFlow,
		"wrong service":                history.CheckWrongService,
		"forward duplicates":           history.CheckDoubleRun,
		"refuse duplicates as not run": history.CheckFalseNotRun,
		"truncate answers":             history.CheckTruncated,
		"cold upstreams":               history.CheckColdOverload,
	} {
		t.Run(fault, func(t *testing.T) {
			r := history.Run(history.Options{}, simulate(t, fault, 7))
			if want == "" {
				require.True(t, r.OK(), "%v", r.Violations)
				require.Greater(t, r.Answered, 500)
				require.Greater(t, r.Served, 0.98)
				return
			}
			require.Positive(t, r.ViolationCounts[want], "%v", r.Violations)
		})
	}
}

// Guards against simulations with equal seeds that record different events, so
// that a failure could not be reproduced.
func TestSimulationIsDeterministicForSeed(t *testing.T) {
	first := simulate(t, "", 3)
	require.Equal(t, first, simulate(t, "", 3))
	require.NotEqual(t, flow.NameHash(fmt.Sprint(first)), flow.NameHash(fmt.Sprint(simulate(t, "", 4))))
}
