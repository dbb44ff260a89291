package node

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/admission"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/placement"
)

// Prefixes of the keys that a node reads and writes.
const (
	domainPrefix    = "domains/"
	tablePrefix     = "tables/"
	forgottenPrefix = "forgotten/"
)

// upstream is one upstream of a service, declared or still named by the
// table.
type upstream struct {
	// name is <team>/<service>/<upstream>.
	name     string
	address  netip.AddrPort
	domain   string
	declared bool
	draining bool
	weight   int
}

// service is one declared service with its table.
type service struct {
	// name is <team>/<service>.
	name, team string
	declared   declare.Service
	// revision is that of the team object.
	revision uint64
	// conflicting: another service has declared one of the addresses first.
	conflicting  bool
	table        *placement.Table
	tableValue   *pb.ServiceTable
	tableVersion uint64
	upstreams    map[string]*upstream
	// order holds the names of the upstreams, sorted.
	order []string
	// indexed is the number of upstreams that declareUpstreams knows.
	indexed int
	plan    planState
}

func (s *service) upstreamName(name string) string { return s.name + "/" + name }

// adopt puts changed objects in force. Objects that cannot be decoded leave
// the earlier version in force and are counted.
func (n *Node) adopt(changed []*pb.Object) {
	if len(changed) == 0 {
		return
	}
	defer n.turn(n.turn(DutyConfiguration))
	teams := false
	for _, o := range changed {
		switch {
		case strings.HasPrefix(o.GetKey(), declare.KeyPrefix):
			teams = true
		case strings.HasPrefix(o.GetKey(), domainPrefix):
			n.adoptDomain(o)
		case o.GetKey() == lease.Key:
			n.adoptSlots(o)
		case strings.HasPrefix(o.GetKey(), forgottenPrefix):
			n.adoptForgotten()
		}
	}
	if teams {
		n.rebuildServices()
	}
	names := teams
	for _, o := range changed {
		if name, ok := strings.CutPrefix(o.GetKey(), tablePrefix); ok && n.services[name] != nil {
			s := n.services[name]
			n.adoptTable(s, o)
			names = !n.indexUpstreams(s) || names
		}
	}
	if names {
		n.declareUpstreams()
	}
	n.dirty = true
}

// indexUpstreams replaces the upstreams of a service whose table changed. It
// returns false when upstreams or addresses were added or removed, which
// health and admission have to be told of.
func (n *Node) indexUpstreams(s *service) bool {
	if s.conflicting {
		return true
	}
	if len(s.order) != s.indexed {
		return false
	}
	for _, u := range s.upstreams {
		if before := n.byUpstream[u.address]; before == nil || before.name != u.name {
			return false
		}
		n.byUpstream[u.address] = u
	}
	return true
}

func (n *Node) adoptDomain(o *pb.Object) {
	name := strings.TrimPrefix(o.GetKey(), domainPrefix)
	if o.GetDeleted() {
		n.domains.Adopt(name, nil)
		return
	}
	state := &pb.DomainState{}
	if err := proto.Unmarshal(o.GetValue(), state); err != nil {
		n.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
		return
	}
	n.domains.Adopt(name, state)
}

func (n *Node) adoptSlots(o *pb.Object) {
	if o.GetDeleted() {
		n.slots = nil
		n.leases.AdoptTable(n.now, nil, o.GetVersion(), o.GetRevision())
		return
	}
	table := &pb.SlotTable{}
	if err := codec.Decode(o.GetValue(), table); err != nil {
		n.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
		return
	}
	n.notePredecessors(table)
	n.slots = table
	n.leases.AdoptTable(n.now, table, o.GetVersion(), o.GetRevision())
	n.members.SetPartners(n.leases.Partners())
}

// notePredecessors remembers who held the slots that change to this instance.
// When a change in between was not seen, nobody counts as the predecessor, and
// the engine takes the tenure as not clean.
func (n *Node) notePredecessors(next *pb.SlotTable) {
	for i, slot := range next.GetSlots() {
		if slot.GetHolder() != n.self.Name || i >= len(n.slots.GetSlots()) {
			continue
		}
		before := n.slots.GetSlots()[i]
		switch {
		case slot.GetEpoch() == before.GetEpoch():
		case slot.GetEpoch() == before.GetEpoch()+1 && before.GetHolder() != n.self.Name:
			n.predecessors[i] = before.GetHolder()
		default:
			delete(n.predecessors, i)
		}
	}
}

func (n *Node) adoptForgotten() {
	names := map[string]bool{}
	for _, o := range n.sync.List(forgottenPrefix) {
		names[strings.TrimPrefix(o.GetKey(), forgottenPrefix)] = true
	}
	for name := range n.forgotten {
		if !names[name] {
			n.members.Unforget(name)
		}
	}
	list := make([]string, 0, len(names))
	for name := range names {
		n.members.Forget(name)
		list = append(list, name)
	}
	slices.Sort(list)
	n.forgotten = names
	n.leases.SetForgotten(list)
}

// rebuildServices decodes every team object and keeps the tables of services
// that stay.
func (n *Node) rebuildServices() {
	old := n.services
	n.services = map[string]*service{}
	n.byAddress = map[netip.AddrPort]*service{}
	objects := n.sync.List(declare.KeyPrefix)
	// Of two services with the same address, the one declared first keeps it.
	slices.SortFunc(objects, func(a, b *pb.Object) int { return compare(a.GetRevision(), b.GetRevision()) })
	used := map[netip.AddrPort]string{}
	n.declaredAt = used
	for _, o := range objects {
		team, err := declare.Decode(o.GetKey(), o.GetValue())
		if err != nil {
			n.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
			n.keepTeam(old, strings.TrimPrefix(o.GetKey(), declare.KeyPrefix))
			continue
		}
		for _, declared := range team.Services {
			n.addService(old, team.Name, declared, o.GetRevision(), used)
		}
	}
	for name := range old {
		if n.services[name] == nil {
			n.tracker.RemoveService(name)
		}
	}
	n.order = n.order[:0]
	for _, s := range n.services {
		n.order = append(n.order, s)
	}
	slices.SortFunc(n.order, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	// Tables come last: what they name must not override a declared address.
	for _, s := range n.order {
		n.adoptTable(s, n.sync.Get(tablePrefix+s.name))
	}
	n.setLimits()
}

// keepTeam keeps the services of a team whose new object cannot be decoded.
func (n *Node) keepTeam(old map[string]*service, team string) {
	for name, s := range old {
		if s.team == team {
			n.services[name] = s
			n.byAddress[s.declared.Address] = s
		}
	}
}

func (n *Node) addService(old map[string]*service, team string, declared declare.Service, revision uint64, used map[netip.AddrPort]string) {
	s := &service{name: team + "/" + declared.Name, team: team, declared: declared, revision: revision}
	addresses := []netip.AddrPort{declared.Address}
	for _, u := range declared.Upstreams {
		addresses = append(addresses, u.Address)
	}
	for _, a := range addresses {
		if other, ok := used[a]; ok && other != s.name {
			s.conflicting = true
			n.observer.InvalidObject(&AddressConflictError{Address: a, Service: s.name, Other: other})
		}
	}
	if !s.conflicting {
		for _, a := range addresses {
			used[a] = s.name
		}
		n.byAddress[declared.Address] = s
	}
	n.services[s.name] = s
	if before := old[s.name]; before != nil && before.declared.Address == declared.Address {
		s.plan = before.plan
	}
}

// adoptTable compiles the table of a service and resolves its upstreams. A
// table for another service address is not used: flows of the old address are
// unknown at the new one.
func (n *Node) adoptTable(s *service, o *pb.Object) {
	if s == nil {
		return
	}
	s.upstreams = map[string]*upstream{}
	defer func() { s.order = slices.Sorted(maps.Keys(s.upstreams)) }()
	for _, u := range s.declared.Upstreams {
		s.upstreams[u.Name] = &upstream{
			name: s.upstreamName(u.Name), address: u.Address, domain: u.FailureDomain,
			declared: true, draining: u.Draining, weight: u.Weight,
		}
	}
	if o == nil || o.GetDeleted() {
		s.table, s.tableValue, s.tableVersion = nil, nil, o.GetVersion()
		return
	}
	value := &pb.ServiceTable{}
	err := codec.Decode(o.GetValue(), value)
	var table *placement.Table
	if err == nil {
		table, err = placement.Compile(value, o.GetRevision())
	}
	if err != nil {
		n.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
		return
	}
	s.table, s.tableValue, s.tableVersion = table, value, o.GetVersion()
	n.addRetired(s, value)
	n.tracker.AdoptTable(n.now, table, n.view)
}

// addRetired adds upstreams that the table still names although they are not
// declared any more; their flows go on. An address that another service has
// declared since then belongs to that service.
func (n *Node) addRetired(s *service, value *pb.ServiceTable) {
	for i, name := range value.GetUpstreams() {
		if s.upstreams[name] != nil || i >= len(value.GetAddresses()) || i >= len(value.GetFailureDomains()) {
			continue
		}
		address, err := netip.ParseAddrPort(value.GetAddresses()[i])
		if owner, taken := n.declaredAt[address]; err != nil || taken && owner != s.name {
			continue
		}
		s.upstreams[name] = &upstream{
			name: s.upstreamName(name), address: address, domain: value.GetFailureDomains()[i],
		}
	}
}

// declareUpstreams tells health and admission which upstreams exist.
func (n *Node) declareUpstreams() {
	known := map[string]bool{}
	n.byUpstream = map[netip.AddrPort]*upstream{}
	var refs []health.UpstreamRef
	for _, s := range n.services {
		if s.conflicting {
			continue
		}
		s.indexed = len(s.order)
		for _, u := range s.upstreams {
			known[u.name] = true
			n.byUpstream[u.address] = u
			refs = append(refs, health.UpstreamRef{Name: u.name, Address: u.address})
			n.credits.SetUpstream(u.name, admission.Spec{
				SustainablePerSecond: s.declared.ColdStart.SustainableOpensPerSecond,
				Ramp:                 seconds(s.declared.ColdStart.RampSeconds),
			})
		}
	}
	for name := range n.knownUpstreams {
		if !known[name] {
			n.credits.RemoveUpstream(name)
		}
	}
	n.knownUpstreams = known
	slices.SortFunc(refs, func(a, b health.UpstreamRef) int { return strings.Compare(a.Name, b.Name) })
	n.health.SetUpstreams(refs)
}

func (n *Node) setLimits() {
	for _, s := range n.services {
		n.limits.SetService(n.now, s.name, admission.ServiceLimit{
			RequestsPerSecond:  float64(s.declared.Limits.RequestsPerSecond),
			ConcurrentRequests: s.declared.Limits.ConcurrentRequests,
		})
	}
}
