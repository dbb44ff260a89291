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

// progressBytes is the size of a watch message that holds only a revision.
const progressBytes = 10

// categoryCost is what one work category of an instance has cost so far.
type categoryCost struct {
	sentBytes, receivedBytes       uint64
	sentMessages, receivedMessages uint64
	platformCalls, probes          uint64
	// processorTime is the time spent inside the methods of the decision core.
	processorTime time.Duration
	// allocatedBytes counts the bytes allocated while meter.countsAllocations
	// is set.
	allocatedBytes uint64
}

func (c *categoryCost) add(o categoryCost) {
	c.sentBytes += o.sentBytes
	c.receivedBytes += o.receivedBytes
	c.sentMessages += o.sentMessages
	c.receivedMessages += o.receivedMessages
	c.platformCalls += o.platformCalls
	c.probes += o.probes
	c.processorTime += o.processorTime
	c.allocatedBytes += o.allocatedBytes
}

func (c *categoryCost) subtract(o categoryCost) {
	c.sentBytes -= o.sentBytes
	c.receivedBytes -= o.receivedBytes
	c.sentMessages -= o.sentMessages
	c.receivedMessages -= o.receivedMessages
	c.platformCalls -= o.platformCalls
	c.probes -= o.probes
	c.processorTime -= o.processorTime
	c.allocatedBytes -= o.allocatedBytes
}

func (c categoryCost) bytes() uint64 { return c.sentBytes + c.receivedBytes }

// costsByCategory holds the costs of an instance by work category.
type costsByCategory [node.WorkCategoryCount]categoryCost

func (c costsByCategory) since(before costsByCategory) costsByCategory {
	for category := range c {
		c[category].subtract(before[category])
	}
	return c
}

func (c costsByCategory) total() categoryCost {
	var sum categoryCost
	for _, cost := range c {
		sum.add(cost)
	}
	return sum
}

// meter measures the costs of one instance, also across restarts.
type meter struct {
	costsByCategory
	running       bool
	category      node.WorkCategory
	intervalStart time.Duration
	// countsAllocations counts allocated bytes instead of processor time.
	// Both at once would be wrong: reading the allocation counters stops the
	// program for longer than most work takes.
	countsAllocations bool
	memoryStats       runtime.MemStats
	allocatedBefore   uint64
}

func (m *meter) startCall() {
	m.running, m.category = true, node.WorkOther
	m.startInterval()
}

func (m *meter) endCall() {
	m.endInterval()
	m.running = false
}

// switchCategory is called by the node when it begins work of another category.
func (m *meter) switchCategory(category node.WorkCategory) {
	if m.running {
		m.endInterval()
		m.category = category
		m.startInterval()
	}
}

func (m *meter) startInterval() {
	if m.countsAllocations {
		runtime.ReadMemStats(&m.memoryStats)
		m.allocatedBefore = m.memoryStats.TotalAlloc
		return
	}
	m.intervalStart = threadProcessorTime()
}

func (m *meter) endInterval() {
	if m.countsAllocations {
		runtime.ReadMemStats(&m.memoryStats)
		m.costsByCategory[m.category].allocatedBytes += m.memoryStats.TotalAlloc - m.allocatedBefore
		return
	}
	m.costsByCategory[m.category].processorTime += threadProcessorTime() - m.intervalStart
}

// threadProcessorTime returns the processor time of this thread, without that of
// the garbage collector's own threads. Wall time would include the times in which
// the machine does other work: with it, the same work took between 38 and 92 ms
// per second.
func threadProcessorTime() time.Duration {
	var t unix.Timespec
	// The clock exists on every kernel that Go supports.
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t)
	return time.Duration(t.Nano())
}

// countActions counts the messages, probes and platform calls among the actions
// of the decision core, and returns the actions.
func (m *meter) countActions(actions []action.Action) []action.Action {
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendPeer:
			m.countMessage(a.Message, true)
		case action.Probe:
			m.costsByCategory[node.WorkHealth].probes++
		case action.WriteObject:
			c := &m.costsByCategory[node.WorkPlatform]
			if a.Key == "slots" {
				c = &m.costsByCategory[node.WorkLease]
			} else if len(a.Value) > 0 {
				c = &m.costsByCategory[node.WorkTables]
			}
			c.platformCalls++
			c.sentMessages++
			c.sentBytes += uint64(len(a.Key) + len(a.Value) + len(a.ChangeID))
		case action.ReadObjects, action.WatchObjects, action.ReadInstances:
			m.costsByCategory[node.WorkPlatform].platformCalls++
		}
	}
	return actions
}

// countMessage counts a peer message. The bytes of the health reports in a
// heartbeat count as health work. Redirected packets are callers' traffic and
// are not counted.
func (m *meter) countMessage(msg *pb.PeerMessage, sent bool) {
	if msg.GetRedirect() != nil {
		return
	}
	size := uint64(proto.Size(msg))
	if reports := msg.GetHeartbeat().GetUpstreams(); len(reports) > 0 {
		part := uint64(proto.Size(&pb.Heartbeat{Upstreams: reports}))
		m.addBytes(node.WorkHealth, part, 0, sent)
		size -= part
	}
	m.addBytes(node.WorkCategoryOf(msg), size, 1, sent)
}

func (m *meter) addBytes(category node.WorkCategory, size, messages uint64, sent bool) {
	c := &m.costsByCategory[category]
	if sent {
		c.sentBytes += size
		c.sentMessages += messages
		return
	}
	c.receivedBytes += size
	c.receivedMessages += messages
}

// meteredCore is a node whose calls are measured by a meter.
type meteredCore struct {
	*node.Node
	meter *meter
}

func (c meteredCore) meterCall(f func() []action.Action) []action.Action {
	c.meter.startCall()
	actions := f()
	c.meter.endCall()
	return c.meter.countActions(actions)
}

func (c meteredCore) HandlePacket(now time.Time, p *pb.Packet) []action.Action {
	return c.meterCall(func() []action.Action { return c.Node.HandlePacket(now, p) })
}

func (c meteredCore) HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	return c.meterCall(func() []action.Action { return c.Node.HandleUpstream(now, p, source) })
}

func (c meteredCore) HandlePeer(now time.Time, m *pb.PeerMessage) []action.Action {
	c.meter.countMessage(m, false)
	return c.meterCall(func() []action.Action { return c.Node.HandlePeer(now, m) })
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
	c.meter.addBytes(node.WorkPlatform, size, 1, false)
	return c.meterCall(func() []action.Action { return c.Node.HandlePlatform(now, event) })
}

func (c meteredCore) HandleProbe(now time.Time, result action.ProbeResult) []action.Action {
	return c.meterCall(func() []action.Action { return c.Node.HandleProbe(now, result) })
}

func (c meteredCore) Tick(now time.Time) []action.Action {
	return c.meterCall(func() []action.Action { return c.Node.Tick(now) })
}

func (c meteredCore) Shutdown(now time.Time) []action.Action {
	return c.meterCall(func() []action.Action { return c.Node.Shutdown(now) })
}

func (c meteredCore) Snapshot(clock func() time.Time) *route.Snapshot {
	c.meter.startCall()
	defer c.meter.endCall()
	return c.Node.Snapshot(clock)
}
