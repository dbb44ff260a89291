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

// Policies that a run can use.
const (
	// PolicyChivemast is the product.
	PolicyChivemast = "chivemast"
	// PolicyModulo hashes flows over the list of upstreams.
	PolicyModulo = "modulo"
	// PolicyRendezvous takes the upstream with the highest rendezvous weight
	// and keeps a table of the flows that the instance itself has seen.
	PolicyRendezvous = "rendezvous"
)

// PolicyError says that a policy does not exist.
type PolicyError struct{ Name string }

func (e *PolicyError) Error() string { return fmt.Sprintf("policy %q does not exist", e.Name) }

// baseline is a simple load balancer without cooperation between instances:
// every instance watches the platform and decides by itself. Requests are
// forwarded without any rule for running at most once.
type baseline struct {
	policy   string
	replyTo  string
	started  bool
	teams    map[string]*declare.Team
	out      map[string]bool
	services map[netip.AddrPort][]declare.Upstream
	// flows is the local table of the rendezvous policy.
	flows map[flow.Key]netip.AddrPort
}

func newBaseline(policy, replyTo string) (*baseline, error) {
	if policy != PolicyModulo && policy != PolicyRendezvous {
		return nil, &PolicyError{Name: policy}
	}
	return &baseline{
		policy: policy, replyTo: replyTo, teams: map[string]*declare.Team{}, out: map[string]bool{},
		services: map[netip.AddrPort][]declare.Upstream{}, flows: map[flow.Key]netip.AddrPort{},
	}, nil
}

func (b *baseline) HandlePacket(_ time.Time, p *pb.Packet) []action.Action {
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil {
		return nil
	}
	upstream, ok := b.place(key)
	if !ok {
		return nil
	}
	p.ReplyTo = b.replyTo
	if p.GetKind() == pb.PacketKind_PACKET_KIND_REQUEST {
		p.Attempt = 1
	}
	return []action.Action{action.SendUpstream{Address: upstream, Packet: p}}
}

func (b *baseline) place(key flow.Key) (netip.AddrPort, bool) {
	if a, ok := b.flows[key]; ok && b.usable(key.Service, a) {
		return a, true
	}
	var active []declare.Upstream
	for _, u := range b.services[key.Service] {
		if !u.Draining && !b.out[u.FailureDomain] {
			active = append(active, u)
		}
	}
	if len(active) == 0 {
		return netip.AddrPort{}, false
	}
	if b.policy == PolicyModulo {
		return active[key.Hash()%uint64(len(active))].Address, true
	}
	best := slices.MaxFunc(active, func(x, y declare.Upstream) int { return cmp.Compare(weightOf(key, x), weightOf(key, y)) })
	b.flows[key] = best.Address
	return best.Address, true
}

// usable: a flow of the local table stays on a draining upstream, but not on a
// removed one or in a failure domain that was taken out.
func (b *baseline) usable(service, address netip.AddrPort) bool {
	for _, u := range b.services[service] {
		if u.Address == address {
			return !b.out[u.FailureDomain]
		}
	}
	return false
}

func weightOf(key flow.Key, u declare.Upstream) uint64 {
	return xxhash.Sum64String(fmt.Sprint(key.Hash(), u.Address))
}

func (b *baseline) HandleUpstream(_ time.Time, p *pb.Packet, _ netip.AddrPort) []action.Action {
	return []action.Action{action.SendCaller{Packet: p}}
}

func (b *baseline) HandlePlatform(_ time.Time, event action.PlatformEvent) []action.Action {
	read, ok := event.(action.ObjectsRead)
	if !ok {
		return nil
	}
	for _, o := range read.Objects {
		if strings.HasPrefix(o.GetKey(), declare.KeyPrefix) {
			if team, err := declare.Decode(o.GetKey(), o.GetValue()); err == nil {
				b.teams[team.Name] = team
			}
		}
		if name, ok := strings.CutPrefix(o.GetKey(), "domains/"); ok {
			state := &pb.DomainState{}
			if proto.Unmarshal(o.GetValue(), state) == nil {
				b.out[name] = state.GetOut()
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
	if b.started {
		return nil
	}
	b.started = true
	return []action.Action{action.WatchObjects{}}
}

func (*baseline) HandlePeer(time.Time, *pb.PeerMessage) []action.Action     { return nil }
func (*baseline) HandleProbe(time.Time, action.ProbeResult) []action.Action { return nil }
func (*baseline) Shutdown(time.Time) []action.Action                        { return nil }
func (*baseline) Snapshot(func() time.Time) *route.Snapshot                 { return nil }
func (*baseline) NextDue() time.Time                                        { return time.Time{} }
func (b *baseline) Ready() bool                                             { return b.started }
