package measure

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/route"
)

// Policies that a run can use; others are PolicyStaticShare,
// PolicyNoRetryBudget and PolicyNoFence.
const (
	// PolicyChivemast is the product.
	PolicyChivemast = "chivemast"
	// PolicyModulo takes the flow's hash modulo the number of active
	// upstreams.
	PolicyModulo = "modulo"
	// PolicyRendezvous chooses the upstream with the highest rendezvous weight
	// and keeps a table of the flows that the instance itself has seen.
	PolicyRendezvous = "rendezvous"
)

// PolicyError reports that a policy does not exist.
type PolicyError struct{ Name string }

func (e *PolicyError) Error() string { return fmt.Sprintf("unknown placement policy %q", e.Name) }

// baseline is a simple load balancer without cooperation between instances:
// every instance watches the platform and decides alone. It forwards requests
// without any protection against running them twice.
type baseline struct {
	policy         string
	replyTo        string
	watchRequested bool
	// teams holds the declarations that were read, by team name.
	teams map[string]*declare.Team
	// takenOutDomains tells, by name, whether a failure domain is taken out.
	takenOutDomains map[string]bool
	// services holds the declared upstreams by service address. It is built
	// anew from teams after each change.
	services map[netip.AddrPort][]declare.Upstream
	// flows maps each flow that this instance has placed to its upstream. Only
	// the rendezvous policy fills it; entries are never removed.
	flows map[flow.Key]netip.AddrPort
}

func newBaseline(policy, replyTo string) (*baseline, error) {
	if policy != PolicyModulo && policy != PolicyRendezvous {
		return nil, &PolicyError{Name: policy}
	}
	return &baseline{
		policy: policy, replyTo: replyTo, teams: map[string]*declare.Team{}, takenOutDomains: map[string]bool{},
		services: map[netip.AddrPort][]declare.Upstream{}, flows: map[flow.Key]netip.AddrPort{},
	}, nil
}

func (b *baseline) HandlePacket(_ time.Time, p *pb.Packet) []action.Action {
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		return nil
	}
	upstream, ok := b.chooseUpstream(key)
	if !ok {
		return nil
	}
	p.ReplyTo = b.replyTo
	if p.GetKind() == pb.PacketKind_PACKET_KIND_REQUEST {
		p.Attempt = 1
	}
	return []action.Action{action.SendUpstream{Address: upstream, Packet: p}}
}

func (b *baseline) chooseUpstream(key flow.Key) (netip.AddrPort, bool) {
	if a, ok := b.flows[key]; ok && b.mayKeepUpstream(key.Service, a) {
		return a, true
	}
	var active []declare.Upstream
	for _, u := range b.services[key.Service] {
		if !u.Draining && !b.takenOutDomains[u.FailureDomain] {
			active = append(active, u)
		}
	}
	if len(active) == 0 {
		return netip.AddrPort{}, false
	}
	if b.policy == PolicyModulo {
		return active[key.Hash()%uint64(len(active))].Address, true
	}
	best := slices.MaxFunc(active, func(x, y declare.Upstream) int {
		return cmp.Compare(rendezvousWeight(key, x), rendezvousWeight(key, y))
	})
	b.flows[key] = best.Address
	return best.Address, true
}

// mayKeepUpstream tells whether a recorded flow may stay on its upstream. It may
// stay on a draining upstream, but not on a removed one or on one in a failure
// domain that is taken out.
func (b *baseline) mayKeepUpstream(service, address netip.AddrPort) bool {
	for _, u := range b.services[service] {
		if u.Address == address {
			return !b.takenOutDomains[u.FailureDomain]
		}
	}
	return false
}

func rendezvousWeight(key flow.Key, u declare.Upstream) uint64 {
	return xxhash.Sum64String(fmt.Sprint(key.Hash(), u.Address))
}

func (b *baseline) HandleUpstream(_ time.Time, p *pb.Packet, _ netip.AddrPort) []action.Action {
	return []action.Action{action.SendCaller{Packet: p}}
}

func (b *baseline) HandlePlatform(_ time.Time, event action.PlatformEvent) []action.Action {
	objects, ok := event.(action.ObjectsRead)
	if !ok {
		return nil
	}
	for _, o := range objects.Objects {
		if strings.HasPrefix(o.GetKey(), declare.KeyPrefix) {
			if team, err := declare.Decode(o.GetKey(), o.GetValue()); err == nil {
				b.teams[team.Name] = team
			}
		}
		if name, ok := strings.CutPrefix(o.GetKey(), "domains/"); ok {
			state := &pb.DomainState{}
			if proto.Unmarshal(o.GetValue(), state) == nil {
				b.takenOutDomains[name] = state.GetOut()
			}
		}
	}
	b.services = map[netip.AddrPort][]declare.Upstream{}
	for _, team := range b.teams {
		for _, s := range team.Services {
			b.services[s.Address] = s.Upstreams
		}
	}
	return nil
}

func (b *baseline) Tick(time.Time) []action.Action {
	if b.watchRequested {
		return nil
	}
	b.watchRequested = true
	return []action.Action{action.WatchObjects{}}
}

func (*baseline) HandlePeer(time.Time, *pb.PeerMessage) []action.Action     { return nil }
func (*baseline) HandleProbe(time.Time, action.ProbeResult) []action.Action { return nil }
func (*baseline) Shutdown(time.Time) []action.Action                        { return nil }
func (*baseline) Snapshot(func() time.Time) *route.Snapshot                 { return nil }
func (*baseline) NextDue() time.Time                                        { return time.Time{} }
func (b *baseline) Ready() bool                                             { return b.watchRequested }
