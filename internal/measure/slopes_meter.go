package measure

import (
	"net/netip"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/route"
)

// progressBytes is the size of a watch message without objects: its revision.
const progressBytes = 10

// dutyCost is what one duty of an instance has cost so far.
type dutyCost struct {
	sentBytes, receivedBytes       uint64
	sentMessages, receivedMessages uint64
	calls, probes                  uint64
	// processor is the time spent inside the methods of the core.
	processor time.Duration
	// allocated counts the bytes allocated while meter.allocating is set.
	allocated uint64
}

func (c *dutyCost) add(o dutyCost) {
	c.sentBytes += o.sentBytes
	c.receivedBytes += o.receivedBytes
	c.sentMessages += o.sentMessages
	c.receivedMessages += o.receivedMessages
	c.calls += o.calls
	c.probes += o.probes
	c.processor += o.processor
	c.allocated += o.allocated
}

func (c *dutyCost) subtract(o dutyCost) {
	c.sentBytes -= o.sentBytes
	c.receivedBytes -= o.receivedBytes
	c.sentMessages -= o.sentMessages
	c.receivedMessages -= o.receivedMessages
	c.calls -= o.calls
	c.probes -= o.probes
	c.processor -= o.processor
	c.allocated -= o.allocated
}

func (c dutyCost) bytes() uint64 { return c.sentBytes + c.receivedBytes }

// costs holds the costs by duty.
type costs [node.WorkCategoryCount]dutyCost

func (c costs) since(before costs) costs {
	for d := range c {
		c[d].subtract(before[d])
	}
	return c
}

func (c costs) total() dutyCost {
	var sum dutyCost
	for _, d := range c {
		sum.add(d)
	}
	return sum
}

// meter measures the costs of one instance, over all its lives.
type meter struct {
	costs
	running  bool
	duty     node.WorkCategory
	markedAt time.Duration
	// allocating: allocations are counted instead of the time, because
	// reading the counters stops the program for longer than most duties take.
	allocating bool
	memory     runtime.MemStats
	allocated  uint64
}

func (m *meter) begin() {
	m.running, m.duty = true, node.WorkOther
	m.mark()
}

func (m *meter) end() {
	m.charge()
	m.running = false
}

// turn is the node's Config.Meter.
func (m *meter) turn(d node.WorkCategory) {
	if m.running {
		m.charge()
		m.duty = d
		m.mark()
	}
}

func (m *meter) mark() {
	if m.allocating {
		runtime.ReadMemStats(&m.memory)
		m.allocated = m.memory.TotalAlloc
		return
	}
	m.markedAt = threadTime()
}

func (m *meter) charge() {
	if m.allocating {
		runtime.ReadMemStats(&m.memory)
		m.costs[m.duty].allocated += m.memory.TotalAlloc - m.allocated
		return
	}
	m.costs[m.duty].processor += threadTime() - m.markedAt
}

// threadTime is the processor time of this thread. The wall time would count
// the times in which the machine does other work: the same duty took between
// 38 and 92 ms per second. The collector's own threads do not count.
func threadTime() time.Duration {
	var t unix.Timespec
	// The clock exists on every kernel that Go supports.
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// sent counts the actions of a core.
func (m *meter) sent(actions []action.Action) []action.Action {
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendPeer:
			m.message(a.Message, true)
		case action.Probe:
			m.costs[node.WorkHealth].probes++
		case action.WriteObject:
			c := &m.costs[node.WorkPlatform]
			if a.Key == "slots" {
				c = &m.costs[node.WorkLease]
			} else if len(a.Value) > 0 {
				c = &m.costs[node.WorkTables]
			}
			c.calls++
			c.sentMessages++
			c.sentBytes += uint64(len(a.Key) + len(a.Value) + len(a.ChangeID))
		case action.ReadObjects, action.WatchObjects, action.ReadInstances:
			m.costs[node.WorkPlatform].calls++
		}
	}
	return actions
}

// message counts a peer message. The health reports of a heartbeat count for
// health. Redirected packets are callers' traffic.
func (m *meter) message(msg *pb.PeerMessage, sent bool) {
	if msg.GetRedirect() != nil {
		return
	}
	size := uint64(proto.Size(msg))
	if reports := msg.GetHeartbeat().GetUpstreams(); len(reports) > 0 {
		part := uint64(proto.Size(&pb.Heartbeat{Upstreams: reports}))
		m.bytes(node.WorkHealth, part, 0, sent)
		size -= part
	}
	m.bytes(node.WorkCategoryOf(msg), size, 1, sent)
}

func (m *meter) bytes(d node.WorkCategory, size, messages uint64, sent bool) {
	c := &m.costs[d]
	if sent {
		c.sentBytes += size
		c.sentMessages += messages
		return
	}
	c.receivedBytes += size
	c.receivedMessages += messages
}

// meteredCore measures a node.
type meteredCore struct {
	*node.Node
	meter *meter
}

func (c meteredCore) run(f func() []action.Action) []action.Action {
	c.meter.begin()
	actions := f()
	c.meter.end()
	return c.meter.sent(actions)
}

func (c meteredCore) HandlePacket(now time.Time, p *pb.Packet) []action.Action {
	return c.run(func() []action.Action { return c.Node.HandlePacket(now, p) })
}

func (c meteredCore) HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	return c.run(func() []action.Action { return c.Node.HandleUpstream(now, p, source) })
}

func (c meteredCore) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	c.meter.message(m, false)
	return c.run(func() []action.Action { return c.Node.HandlePeer(now, m) })
}

func (c meteredCore) HandlePlatform(now time.Time, event action.PlatformEvent) []action.Action {
	size := uint64(progressBytes)
	switch e := event.(type) {
	case action.ObjectsRead:
		for _, o := range e.Objects {
			size += uint64(proto.Size(o))
		}
	case action.InstancesRead:
		size += uint64(proto.Size(&pb.ListInstancesResponse{Instances: e.Instances}))
	}
	c.meter.bytes(node.WorkPlatform, size, 1, false)
	return c.run(func() []action.Action { return c.Node.HandlePlatform(now, event) })
}

func (c meteredCore) HandleProbe(now time.Time, result action.ProbeResult) []action.Action {
	return c.run(func() []action.Action { return c.Node.HandleProbe(now, result) })
}

func (c meteredCore) Tick(now time.Time) []action.Action {
	return c.run(func() []action.Action { return c.Node.Tick(now) })
}

func (c meteredCore) Shutdown(now time.Time) []action.Action {
	return c.run(func() []action.Action { return c.Node.Shutdown(now) })
}

func (c meteredCore) Snapshot(clock func() time.Time) *route.Snapshot {
	c.meter.begin()
	defer c.meter.end()
	return c.Node.Snapshot(clock)
}
