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

// Status returns the state of the instance as shown to operators.
func (node *Node) Status() *pb.StatusResponse {
	out := &pb.StatusResponse{
		Instance: node.self.Name, FailureDomain: node.self.FailureDomain, Incarnation: node.self.Incarnation,
		Revision: node.sync.Revision(), ConfirmationAgeMs: node.confirmationAge(),
		Ready: node.Ready(), Leaving: node.leaving, SlotsHeld: uint32(node.leases.HeldSlots()),
	}
	for slot := range flow.LeaseSlotCount {
		if _, ok := node.leases.CurrentTerm(slot, node.now); ok {
			out.SlotsGranted++
		}
	}
	if node.view == nil {
		return out
	}
	node.addMembers(out)
	node.addConfiguration(out)
	return out
}

// confirmationAge returns the age of the last platform confirmation in ms, and the
// largest uint32 if there has been none.
func (node *Node) confirmationAge() uint32 {
	const never = 1<<32 - 1
	at := node.sync.ConfirmedAt()
	if at.IsZero() {
		return never
	}
	return uint32(min(node.now.Sub(at).Milliseconds(), never))
}

func (node *Node) addMembers(out *pb.StatusResponse) {
	for _, m := range node.view.Members {
		out.Members = append(out.Members, &pb.MemberDigest{
			Name: m.Name, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
			PeerAddress: m.Address.String(), Revision: m.Revision,
			AgeMs: uint32(max(0, min(node.now.Sub(m.LastHeard).Milliseconds(), 1<<32-1))), Leaving: m.State == membership.Leaving,
		})
	}
}

func (node *Node) addConfiguration(out *pb.StatusResponse) {
	domains := map[string]bool{node.self.FailureDomain: true}
	for _, prefix := range []string{declare.KeyPrefix, domainPrefix, tablePrefix} {
		for _, o := range node.sync.List(prefix) {
			out.Objects = append(out.Objects, &pb.ObjectVersion{Key: o.GetKey(), Version: o.GetVersion()})
			if name, ok := strings.CutPrefix(o.GetKey(), domainPrefix); ok {
				domains[name] = true
			}
		}
	}
	for name, s := range node.services {
		status := &pb.ServiceStatus{Service: name, Exceptions: uint64(node.tracker.TrackedFlows(name))}
		if s.table != nil {
			status.BucketsInTransition = uint32(len(s.table.BucketsInTransition()))
		}
		out.Services = append(out.Services, status)
		for _, u := range s.upstreams {
			domains[u.domain] = true
			out.Upstreams = append(out.Upstreams, node.upstreamHealth(u))
		}
	}
	for name := range domains {
		out.Domains = append(out.Domains, &pb.DomainStatus{
			Name: name, Out: node.domains.IsTakenOut(name),
			Reachable: node.domains.MaySendTo(node.now, name, node.sync.ConfirmedAt(), node.view),
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

func (node *Node) upstreamHealth(u *upstream) *pb.UpstreamHealth {
	load, connections := node.health.Load(u.name)
	state := healthStates[node.health.State(u.name)]
	if u.draining && state != pb.UpstreamHealth_STATE_DEAD {
		state = pb.UpstreamHealth_STATE_DRAINING
	}
	return &pb.UpstreamHealth{
		Upstream: u.name, BootId: node.health.BootID(u.name), State: state, Load: load, Connections: connections,
	}
}

// Summary contains the values that the daemon publishes after every tick.
type Summary struct {
	Ready               bool
	Revision            uint64
	InFlight            int
	TrackedFlows        int
	BucketsInTransition int
}

// Summary returns the values for metrics and readiness.
func (node *Node) Summary() Summary {
	s := Summary{Ready: node.Ready(), Revision: node.sync.Revision(), InFlight: node.engine.InFlight()}
	for name, svc := range node.services {
		s.TrackedFlows += node.tracker.TrackedFlows(name)
		if svc.table != nil {
			s.BucketsInTransition += len(svc.table.BucketsInTransition())
		}
	}
	return s
}

// Revision returns the configuration revision that the node has applied.
func (node *Node) Revision() uint64 { return node.sync.Revision() }

// TrackerStats returns the counters of the flow tracker.
func (node *Node) TrackerStats() placement.Stats { return node.tracker.Stats() }

// LowestRevision returns the lowest configuration revision among the members of the
// current view, as known from their heartbeats.
func (node *Node) LowestRevision() uint64 { return node.view.MinRevision() }
