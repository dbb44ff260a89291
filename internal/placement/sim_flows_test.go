package placement

import (
	"fmt"
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%7.3fs ", s.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// sendUpstream checks every packet that leaves for an upstream.
func (in *simInstance) sendUpstream(p simPacket, upstream string) {
	s, f := in.sim, p.flow
	if !in.maySend(upstream) {
		if p.kind == pb.PacketKind_PACKET_KIND_OPEN && s.partitioned() {
			s.excludeSplitFlow(f)
		}
		return
	}
	// Instances in a failure domain that is cut off continue to serve it (D6).
	alone := upstreamDomain(upstream) == in.self.FailureDomain && s.partitioned()
	if at, out := s.outAt[upstreamDomain(upstream)]; out && s.now.Sub(at) > simTakeOutBound && !alone {
		s.addViolation("taken out: %s sent to %s", in.self.Name, upstream)
	}
	switch {
	case f.upstream == "" && p.kind == pb.PacketKind_PACKET_KIND_OPEN:
		f.upstream, f.lastDelivered, f.openedBy, f.opened = upstream, s.now, in.self.Name, s.now
		// The flow is excluded as well if this instance has yet to learn that the
		// failure domain was out for a while.
		f.excluded = f.excluded || in.self.Revision < s.outRevision[upstreamDomain(upstream)]
		if _, out := s.outAt[upstreamDomain(upstream)]; out {
			f.excluded = true
		}
		if at, ok := s.drainAt[upstream]; ok && s.now.Sub(at) > simDrainBound && !s.partitioned() {
			s.addViolation("draining: %s placed a new flow on %s", in.self.Name, upstream)
		}
	case f.upstream == upstream:
		f.lastDelivered = s.now
	case f.excluded || f.closed || f.upstream == "":
	case s.partitioned():
		// During a partition, a packet of a flow opened on the other side goes to
		// the older upstream, which does not know the flow and drops the packet
		// (D4).
		s.misrouted++
		if p.kind == pb.PacketKind_PACKET_KIND_OPEN {
			s.excludeSplitFlow(f)
		}
	default:
		s.addViolation("moved: %s sent %v of bucket %d to %s instead of %s", in.self.Name, p.kind, flow.Bucket(f.key.Hash()), upstream, f.upstream)
	}
}

// excludeSplitFlow excludes a flow from the checks. Copies of its OPEN were placed
// on both sides of a partition, and neither side can know which copy the caller
// continues with.
func (s *simulation) excludeSplitFlow(f *simFlow) {
	f.excluded = true
	s.splitFlows++
}

func (in *simInstance) maySend(upstream string) bool {
	return in.domains.MaySend(in.sim.now, upstreamDomain(upstream), in.confirmedAt, in.view)
}

// partitioned reports whether a failure domain is cut off, or was until a few
// seconds ago.
func (s *simulation) partitioned() bool { return s.now.Before(s.cutUntil) }

// sendToAnyInstance sends a packet to a random running instance, as the fabric
// does.
func (s *simulation) sendToAnyInstance(p simPacket) {
	var up []*simInstance
	for _, name := range s.order {
		if in := s.instances[name]; !in.dead {
			up = append(up, in)
		}
	}
	in := up[s.rng.IntN(len(up))]
	s.after(s.jitter(time.Millisecond), func() { in.receive(func() { in.handle(p) }) })
}

// openFlow starts a flow that lasts for the given time and sends data at random
// intervals.
func (s *simulation) openFlow(life time.Duration) *simFlow {
	id := uint64(len(s.flows))
	f := &simFlow{key: flow.Key{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(id)),
		Service: netip.MustParseAddrPort("10.9.0.1:80"), ID: id + uint64(s.rng.Uint32())<<20,
	}}
	s.flows = append(s.flows, f)
	ends := s.now.Add(life)
	var step func()
	step = func() {
		switch {
		case f.upstream == "":
			s.sendToAnyInstance(simPacket{flow: f, kind: pb.PacketKind_PACKET_KIND_OPEN})
			s.after(400*time.Millisecond, step)
			return
		case s.now.After(ends):
			f.closed = true
			s.sendToAnyInstance(simPacket{flow: f, kind: pb.PacketKind_PACKET_KIND_CLOSE})
			return
		}
		s.sendToAnyInstance(simPacket{flow: f, kind: pb.PacketKind_PACKET_KIND_DATA})
		s.after(100*time.Millisecond+s.jitter(2*time.Second), step)
	}
	s.after(0, step)
	return f
}

// startTraffic opens flows at a rate per second for the given time.
func (s *simulation) startTraffic(d time.Duration, rate int) {
	for range int(d.Seconds() * float64(rate)) {
		s.after(s.jitter(d), func() { s.openFlow(s.jitter(60 * time.Second)) })
	}
}

func (s *simulation) kill(name string) {
	in := s.instances[name]
	in.dead = true
	// Flows opened in the last 100 ms may be lost (section 1.7).
	for _, f := range s.flows {
		if f.openedBy == name && !f.excluded && s.now.Sub(f.opened) <= 100*time.Millisecond {
			f.excluded = true
			s.lostByKill++
		}
	}
	s.after(5*time.Second, func() { s.removedIncarnation[name] = in.self.Incarnation })
}

// restart replaces an instance. A graceful one first announces that it leaves.
func (s *simulation) restart(name string, graceful bool) {
	in := s.instances[name]
	if graceful {
		in.leaving = true
		s.run(2 * time.Second)
	}
	in.dead = true
	s.removedIncarnation[name] = in.self.Incarnation
	s.run(time.Second)
	s.startInstance(name, in.self.FailureDomain)
}

func (s *simulation) freeze(name string, d time.Duration) {
	in := s.instances[name]
	in.frozen = true
	s.after(d, func() {
		in.frozen = false
		for len(in.inbox) > 0 {
			fn := in.inbox[0]
			in.inbox = in.inbox[1:]
			in.receive(fn)
		}
	})
}

func (s *simulation) cutOff(dom string, d time.Duration) {
	s.cutDomains[dom] = true
	s.cutUntil = s.now.Add(time.Hour)
	s.after(d, func() {
		delete(s.cutDomains, dom)
		if len(s.cutDomains) == 0 {
			// Contact returns within a heartbeat, adoption and synchronization
			// within another 4 s.
			s.cutUntil = s.now.Add(5 * time.Second)
		}
	})
}

// busiestTracker returns the running instance with the most buckets and flow
// records under its authority.
func (s *simulation) busiestTracker() string {
	best, most := s.order[0], -1
	for _, name := range s.order {
		in, n := s.instances[name], 0
		if in.dead || in.tracker.services[simService] == nil {
			continue
		}
		for _, b := range in.tracker.services[simService].buckets {
			if b.authoritative {
				n += 1 + len(b.flows)
			}
		}
		if n > most {
			best, most = name, n
		}
	}
	return best
}

// check returns the violations so far, including flows whose packets do not arrive
// any more.
func (s *simulation) check() []string {
	for i, f := range s.flows {
		if f.upstream != "" && !f.closed && !f.excluded && s.now.Sub(f.lastDelivered) > 10*time.Second {
			s.addViolation("stuck: flow %d of bucket %d on %s", i, flow.Bucket(f.key.Hash()), f.upstream)
		}
	}
	return s.violations
}
