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

// balancer stands between the fabric and the upstreams of a test: one
// consistent instance, with faults to be found.
type balancer struct {
	upstreams map[string][]string
	// decided holds the non-idempotent requests that were forwarded.
	decided map[[2]uint64]bool
	packets int
	fault   string
}

// choose returns the upstream of a packet, or a refusal.
func (b *balancer) choose(p *pb.Packet) (string, *pb.Packet) {
	b.packets++
	list := b.upstreams[p.Service]
	index := int(p.FlowId % uint64(len(list)))
	switch {
	case b.fault == "move flows" && p.Kind != pb.PacketKind_PACKET_KIND_OPEN && b.packets > 2000:
		index = (index + 1) % len(list)
	case b.fault == "wrong service" && b.packets%500 == 0:
		list, index = b.upstreams[serviceB], 0
	}
	if p.Kind == pb.PacketKind_PACKET_KIND_REQUEST && !p.Idempotent {
		id := [2]uint64{p.FlowId, p.RequestId}
		if b.decided[id] && b.fault != "forward copies" {
			if b.fault != "refuse copies as not run" {
				return "", nil
			}
			return "", &pb.Packet{Kind: pb.PacketKind_PACKET_KIND_REFUSAL, Caller: p.Caller, Service: p.Service,
				FlowId: p.FlowId, RequestId: p.RequestId, NotRun: true, Refusal: pb.RefusalReason_REFUSAL_REASON_NO_LEASE}
		}
		b.decided[id] = true
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

// simulate runs callers, fabric, balancer and upstreams in virtual time.
func simulate(t *testing.T, fault string, seed uint64) []history.Event {
	rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	now := time.Unix(1_000_000, 0)
	events := &history.Memory{}
	upstreams, names := map[string]*upstream.Machine{}, []string{}
	b := &balancer{upstreams: map[string][]string{}, decided: map[[2]uint64]bool{}, fault: fault}
	for i, service := range []string{serviceA, serviceA, serviceA, serviceB, serviceB} {
		name := fmt.Sprintf("t/%s/u%d", service, i)
		m, err := upstream.New(upstream.Config{Name: name, Service: service, Recorder: events,
			StartWarm: fault != "cold upstreams", Cold: upstream.ColdStart{OpensPerSecond: 3}}, rng(uint64(i)), now)
		require.NoError(t, err)
		upstreams[name], names = m, append(names, name)
		b.upstreams[service] = append(b.upstreams[service], name)
	}
	c, err := caller.New(caller.Config{Address: "127.0.0.1:1", Services: []string{serviceA, serviceB},
		Duration: 10 * time.Second, Recorder: events}, rng(100), now)
	require.NoError(t, err)
	s, err := fabric.NewSprayer(fabric.FromMap(map[string]netip.AddrPort{"i1": {}}),
		fabric.Rates{Drop: 0.02, Duplicate: 0.05, Reorder: 0.1, Latency: time.Millisecond}, rng(101))
	require.NoError(t, err)

	var pending deliveries
	seq := 0
	later := func(now time.Time, d time.Duration, run func(time.Time)) {
		seq++
		heap.Push(&pending, delivery{now.Add(d), seq, run})
	}
	var toCaller func(now time.Time, p *pb.Packet)
	replies := func(now time.Time, list []upstream.Reply) {
		for _, r := range list {
			later(now, time.Millisecond, func(now time.Time) { toCaller(now, r.Packet) })
		}
	}
	fromCaller := func(now time.Time, packets []*pb.Packet) {
		for _, p := range packets {
			for _, d := range s.Route(p.Caller) {
				later(now, d.Delay, func(now time.Time) {
					name, refusal := b.choose(p)
					if refusal != nil {
						later(now, 0, func(now time.Time) { toCaller(now, refusal) })
					} else if name != "" {
						replies(now, upstreams[name].HandlePacket(now, p))
					}
				})
			}
		}
	}
	toCaller = func(now time.Time, p *pb.Packet) {
		if fault == "cut answers" && p.Kind == pb.PacketKind_PACKET_KIND_ANSWER && p.Part == 0 {
			p.Parts = 1
		}
		fromCaller(now, c.HandlePacket(now, p))
	}
	for !c.Done(now) {
		for len(pending) > 0 && !pending[0].at.After(now) {
			d := heap.Pop(&pending).(delivery)
			d.run(d.at)
		}
		for _, name := range names {
			replies(now, upstreams[name].Tick(now))
		}
		fromCaller(now, c.Tick(now))
		now = now.Add(time.Millisecond)
	}
	return events.Events()
}

// Guards against checks that miss a faulty load balancer, and against ones
// that reject a correct one under loss, duplication and reordering.
func TestCheckerTellsFaultyBalancersFromCorrectOnes(t *testing.T) {
	for fault, want := range map[string]history.Check{
		"":                         "",
		"move flows":               history.CheckBrokenFlow,
		"wrong service":            history.CheckWrongService,
		"forward copies":           history.CheckDoubleRun,
		"refuse copies as not run": history.CheckFalseNotRun,
		"cut answers":              history.CheckTruncated,
		"cold upstreams":           history.CheckColdOverload,
	} {
		t.Run(fault, func(t *testing.T) {
			r := history.Run(history.Options{}, simulate(t, fault, 7))
			if want == "" {
				require.True(t, r.OK(), "%v", r.Violations)
				require.Greater(t, r.Answered, 500)
				require.Greater(t, r.Served, 0.98)
				return
			}
			require.Positive(t, r.Counts[want], "%v", r.Violations)
		})
	}
}

// Guards against runs that differ for one seed, which would make a failure
// impossible to repeat.
func TestSimulationRepeatsForASeed(t *testing.T) {
	first := simulate(t, "", 3)
	require.Equal(t, first, simulate(t, "", 3))
	require.NotEqual(t, flow.NameHash(fmt.Sprint(first)), flow.NameHash(fmt.Sprint(simulate(t, "", 4))))
}
