package node

import (
	"slices"
	"strings"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/placement"
)

// Status describes the instance for operators.
func (n *Node) Status() *pb.StatusResponse {
	out := &pb.StatusResponse{
		Instance: n.self.Name, FailureDomain: n.self.FailureDomain, Incarnation: n.self.Incarnation,
		Revision: n.sync.Revision(), ConfirmationAgeMs: n.confirmationAge(),
		Ready: n.Ready(), Leaving: n.leaving, SlotsHeld: uint32(n.leases.HeldSlots()),
	}
	for slot := range flow.LeaseSlotCount {
		if _, ok := n.leases.Tenure(slot, n.now); ok {
			out.SlotsGranted++
		}
	}
	if n.view == nil {
		return out
	}
	n.addMembers(out)
	n.addConfiguration(out)
	return out
}

// confirmationAge returns the age in ms, the largest value for never.
func (n *Node) confirmationAge() uint32 {
	const never = 1<<32 - 1
	at := n.sync.ConfirmedAt()
	if at.IsZero() {
		return never
	}
	return uint32(min(n.now.Sub(at).Milliseconds(), never))
}

func (n *Node) addMembers(out *pb.StatusResponse) {
	for _, m := range n.view.Members {
		out.Members = append(out.Members, &pb.MemberDigest{
			Name: m.Name, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
			PeerAddress: m.Address.String(), Revision: m.Revision,
			AgeMs: uint32(max(0, min(n.now.Sub(m.LastHeard).Milliseconds(), 1<<32-1))), Leaving: m.State == membership.Leaving,
		})
	}
}

func (n *Node) addConfiguration(out *pb.StatusResponse) {
	domains := map[string]bool{n.self.FailureDomain: true}
	for _, prefix := range []string{declare.KeyPrefix, domainPrefix, tablePrefix} {
		for _, o := range n.sync.List(prefix) {
			out.Objects = append(out.Objects, &pb.ObjectVersion{Key: o.GetKey(), Version: o.GetVersion()})
			if name, ok := strings.CutPrefix(o.GetKey(), domainPrefix); ok {
				domains[name] = true
			}
		}
	}
	for name, s := range n.services {
		status := &pb.ServiceStatus{Service: name, Exceptions: uint64(n.tracker.FlowRecords(name))}
		if s.table != nil {
			status.BucketsInTransition = uint32(len(s.table.BucketsInTransition()))
		}
		out.Services = append(out.Services, status)
		for _, u := range s.upstreams {
			domains[u.domain] = true
			out.Upstreams = append(out.Upstreams, n.upstreamHealth(u))
		}
	}
	for name := range domains {
		out.Domains = append(out.Domains, &pb.DomainStatus{
			Name: name, Out: n.domains.Out(name),
			Reachable: n.domains.MaySend(n.now, name, n.sync.ConfirmedAt(), n.view),
		})
	}
	slices.SortFunc(out.Services, func(a, b *pb.ServiceStatus) int { return strings.Compare(a.GetService(), b.GetService()) })
	slices.SortFunc(out.Upstreams, func(a, b *pb.UpstreamHealth) int {
		return strings.Compare(a.GetUpstream(), b.GetUpstream())
	})
	slices.SortFunc(out.Domains, func(a, b *pb.DomainStatus) int { return strings.Compare(a.GetName(), b.GetName()) })
}

var healthStates = map[health.State]pb.UpstreamHealth_State{
	health.Cold:     pb.UpstreamHealth_STATE_COLD,
	health.Warm:     pb.UpstreamHealth_STATE_WARM,
	health.Dead:     pb.UpstreamHealth_STATE_DEAD,
	health.Draining: pb.UpstreamHealth_STATE_DRAINING,
}

func (n *Node) upstreamHealth(u *upstream) *pb.UpstreamHealth {
	load, connections := n.health.Load(u.name)
	state := healthStates[n.health.State(u.name)]
	if u.draining && state != pb.UpstreamHealth_STATE_DEAD {
		state = pb.UpstreamHealth_STATE_DRAINING
	}
	return &pb.UpstreamHealth{
		Upstream: u.name, BootId: n.health.BootID(u.name), State: state, Load: load, Connections: connections,
	}
}

// Summary is what the daemon publishes after every tick.
type Summary struct {
	Ready               bool
	Revision            uint64
	InFlight            int
	Exceptions          int
	BucketsInTransition int
}

// Summary returns the figures for metrics and readiness.
func (n *Node) Summary() Summary {
	s := Summary{Ready: n.Ready(), Revision: n.sync.Revision(), InFlight: n.engine.InFlight()}
	for name, svc := range n.services {
		s.Exceptions += n.tracker.FlowRecords(name)
		if svc.table != nil {
			s.BucketsInTransition += len(svc.table.BucketsInTransition())
		}
	}
	return s
}

// Revision returns the configuration revision in force.
func (n *Node) Revision() uint64 { return n.sync.Revision() }

// TrackerStats returns the counters of the tracker.
func (n *Node) TrackerStats() placement.Stats { return n.tracker.Stats() }

// LowestRevision returns the lowest revision that a member is known to have
// in force.
func (n *Node) LowestRevision() uint64 { return n.view.MinRevision() }
