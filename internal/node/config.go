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

// Key prefixes of the stored objects that a node reads; of these it writes only
// placement tables.
const (
	domainPrefix    = "domains/"
	tablePrefix     = "tables/"
	forgottenPrefix = "forgotten/"
)

// upstream is one upstream of a service: either declared by the team, or no longer
// declared but still named in the placement table.
type upstream struct {
	// name is <team>/<service>/<upstream>.
	name    string
	address netip.AddrPort
	// domain is the failure domain.
	domain   string
	declared bool
	draining bool
	weight   int
}

// service is one declared service with its current placement table.
type service struct {
	// name is <team>/<service>.
	name, team string
	declared   declare.Service
	// revision is the revision of the team object that declares the service.
	revision uint64
	// addressConflict is true when an earlier declared service already uses one of the
	// addresses of this one. Such a service does not serve.
	addressConflict bool
	table           *placement.Table
	// tableValue is the message from which table was compiled.
	tableValue *pb.ServiceTable
	// tableVersion is the version of the stored table object, 0 if there is none.
	tableVersion uint64
	// upstreams maps the last part of an upstream name to the upstream.
	upstreams map[string]*upstream
	// upstreamNames holds the keys of upstreams, sorted.
	upstreamNames []string
	// indexedUpstreams is the number of upstreams at the last rebuildUpstreamIndex.
	indexedUpstreams int
	plan             planState
}

// declaredAddresses returns the addresses of the service and of its declared upstreams.
func (s *service) declaredAddresses() []netip.AddrPort {
	addresses := []netip.AddrPort{s.declared.Address}
	for _, u := range s.declared.Upstreams {
		addresses = append(addresses, u.Address)
	}
	return addresses
}

func (s *service) upstreamName(name string) string { return s.name + "/" + name }

// applyObjects applies changed configuration objects. An object that cannot be decoded
// is reported to the observer and its previous version stays in use.
func (node *Node) applyObjects(changed []*pb.Object) {
	if len(changed) == 0 {
		return
	}
	defer node.attributeWork(node.attributeWork(WorkConfiguration))
	teamsChanged := false
	for _, o := range changed {
		switch {
		case strings.HasPrefix(o.GetKey(), declare.KeyPrefix):
			teamsChanged = true
		case strings.HasPrefix(o.GetKey(), domainPrefix):
			node.applyDomainState(o)
		case o.GetKey() == lease.Key:
			node.applySlotTable(o)
		case strings.HasPrefix(o.GetKey(), forgottenPrefix):
			node.applyRemovedInstances()
		}
	}
	if teamsChanged {
		node.rebuildServices()
	}
	upstreamsChanged := teamsChanged
	for _, o := range changed {
		if name, ok := strings.CutPrefix(o.GetKey(), tablePrefix); ok && node.services[name] != nil {
			s := node.services[name]
			node.applyServiceTable(s, o)
			upstreamsChanged = !node.refreshUpstreamIndex(s) || upstreamsChanged
		}
	}
	if upstreamsChanged {
		node.rebuildUpstreamIndex()
	}
	node.snapshotOutdated = true
}

// refreshUpstreamIndex points upstreamByAddress at the upstreams of a service whose
// table changed. It returns false, possibly with part of the entries updated, when
// upstreams were added or removed or changed their address; rebuildUpstreamIndex is
// then needed, which also informs health and admission.
func (node *Node) refreshUpstreamIndex(s *service) bool {
	if s.addressConflict {
		return true
	}
	if len(s.upstreamNames) != s.indexedUpstreams {
		return false
	}
	for _, u := range s.upstreams {
		if before := node.upstreamByAddress[u.address]; before == nil || before.name != u.name {
			return false
		}
		node.upstreamByAddress[u.address] = u
	}
	return true
}

// applyDomainState applies the state of one failure domain.
func (node *Node) applyDomainState(o *pb.Object) {
	name := strings.TrimPrefix(o.GetKey(), domainPrefix)
	if o.GetDeleted() {
		node.domains.SetState(name, nil)
		return
	}
	state := &pb.DomainState{}
	if err := proto.Unmarshal(o.GetValue(), state); err != nil {
		node.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
		return
	}
	node.domains.SetState(name, state)
}

// applySlotTable applies the table of lease slots and tells membership which instances
// share a slot with this one.
func (node *Node) applySlotTable(o *pb.Object) {
	if o.GetDeleted() {
		node.slotTable = nil
		node.leases.AdoptTable(node.now, nil, o.GetVersion(), o.GetRevision())
		return
	}
	table := &pb.SlotTable{}
	if err := codec.Decode(o.GetValue(), table); err != nil {
		node.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
		return
	}
	node.recordPreviousHolders(table)
	node.slotTable = table
	node.leases.AdoptTable(node.now, table, o.GetVersion(), o.GetRevision())
	node.members.SetPartners(node.leases.Partners())
}

// recordPreviousHolders records the previous holder of each slot that changes to this
// instance from another one. If the change of epoch shows that a holder in between may
// have been missed, or the slot was this instance's already, the entry is removed, and
// the request engine treats the lease term as not clean.
func (node *Node) recordPreviousHolders(next *pb.SlotTable) {
	for i, slot := range next.GetSlots() {
		if slot.GetHolder() != node.self.Name || i >= len(node.slotTable.GetSlots()) {
			continue
		}
		before := node.slotTable.GetSlots()[i]
		switch {
		case slot.GetEpoch() == before.GetEpoch():
		case slot.GetEpoch() == before.GetEpoch()+1 && before.GetHolder() != node.self.Name:
			node.previousHolders[i] = before.GetHolder()
		default:
			delete(node.previousHolders, i)
		}
	}
}

// applyRemovedInstances passes the instances that operators have declared permanently
// removed to membership and leases. An instance whose entry was deleted may join again.
func (node *Node) applyRemovedInstances() {
	names := map[string]bool{}
	for _, o := range node.sync.List(forgottenPrefix) {
		names[strings.TrimPrefix(o.GetKey(), forgottenPrefix)] = true
	}
	for name := range node.removedInstances {
		if !names[name] {
			node.members.UnmarkRemoved(name)
		}
	}
	list := make([]string, 0, len(names))
	for name := range names {
		node.members.MarkRemoved(name)
		list = append(list, name)
	}
	slices.Sort(list)
	node.removedInstances = names
	node.leases.SetRemovedInstances(list)
}

// rebuildServices decodes every team object. A service that keeps its address keeps the
// state of its table planning. The services of objects that cannot be decoded come first,
// so that their addresses stay theirs.
func (node *Node) rebuildServices() {
	previous := node.services
	node.services = map[string]*service{}
	node.serviceByAddress = map[netip.AddrPort]*service{}
	objects := node.sync.List(declare.KeyPrefix)
	// When two services declare the same address, the one with the older team object
	// keeps it.
	slices.SortFunc(objects, func(a, b *pb.Object) int { return compare(a.GetRevision(), b.GetRevision()) })
	used := map[netip.AddrPort]string{}
	node.serviceByDeclaredAddress = used
	teams := make([]*declare.Team, len(objects))
	for i, o := range objects {
		team, err := declare.Decode(o.GetKey(), o.GetValue())
		if err != nil {
			node.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
			node.keepTeamServices(previous, strings.TrimPrefix(o.GetKey(), declare.KeyPrefix), used)
			continue
		}
		teams[i] = team
	}
	for i, team := range teams {
		if team == nil {
			continue
		}
		for _, declared := range team.Services {
			node.addService(previous, team.Name, declared, objects[i].GetRevision(), used)
		}
	}
	for name := range previous {
		if node.services[name] == nil {
			node.tracker.RemoveService(name)
		}
	}
	node.servicesByName = node.servicesByName[:0]
	for _, s := range node.services {
		node.servicesByName = append(node.servicesByName, s)
	}
	slices.SortFunc(node.servicesByName, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	// Tables are applied after all declarations, because an upstream that only a table
	// names must not override a declared address.
	for _, s := range node.servicesByName {
		node.applyServiceTable(s, node.sync.Get(tablePrefix+s.name))
	}
	node.setServiceLimits()
}

// keepTeamServices keeps the current services of a team whose new object cannot be
// decoded, and records their addresses in used. A service with an address conflict still
// does not serve.
func (node *Node) keepTeamServices(previous map[string]*service, team string, used map[netip.AddrPort]string) {
	for name, s := range previous {
		if s.team != team {
			continue
		}
		node.services[name] = s
		if s.addressConflict {
			continue
		}
		node.serviceByAddress[s.declared.Address] = s
		for _, a := range s.declaredAddresses() {
			used[a] = name
		}
	}
}

// addService adds one declared service. used maps the addresses declared so far to the
// names of their services. If one of the addresses is already used by another service,
// the conflict is reported to the observer and the service does not serve.
func (node *Node) addService(previous map[string]*service, team string, declared declare.Service, revision uint64, used map[netip.AddrPort]string) {
	s := &service{name: team + "/" + declared.Name, team: team, declared: declared, revision: revision}
	addresses := s.declaredAddresses()
	for _, a := range addresses {
		if other, ok := used[a]; ok && other != s.name {
			s.addressConflict = true
			node.observer.InvalidObject(&AddressConflictError{Address: a, Service: s.name, Other: other})
		}
	}
	if !s.addressConflict {
		for _, a := range addresses {
			used[a] = s.name
		}
		node.serviceByAddress[declared.Address] = s
	}
	node.services[s.name] = s
	if before := previous[s.name]; before != nil && before.declared.Address == declared.Address {
		s.plan = before.plan
	}
}

// applyServiceTable rebuilds the upstreams of a service: those that it declares and
// those that only its table names. It also compiles the table. A table that cannot be
// decoded or compiled is reported to the observer and does not replace s.table.
func (node *Node) applyServiceTable(s *service, o *pb.Object) {
	if s == nil {
		return
	}
	s.upstreams = map[string]*upstream{}
	defer func() { s.upstreamNames = slices.Sorted(maps.Keys(s.upstreams)) }()
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
		node.observer.InvalidObject(&InvalidObjectError{Key: o.GetKey(), Version: o.GetVersion(), Err: err})
		return
	}
	s.table, s.tableValue, s.tableVersion = table, value, o.GetVersion()
	node.addUndeclaredUpstreams(s, value)
	node.tracker.AdoptTable(node.now, table, node.view)
}

// addUndeclaredUpstreams adds the upstreams that the table still names although they
// are no longer declared, because their existing flows continue. An upstream whose
// address another service has declared in the meantime is left out.
func (node *Node) addUndeclaredUpstreams(s *service, value *pb.ServiceTable) {
	for i, name := range value.GetUpstreams() {
		if s.upstreams[name] != nil || i >= len(value.GetAddresses()) || i >= len(value.GetFailureDomains()) {
			continue
		}
		address, err := netip.ParseAddrPort(value.GetAddresses()[i])
		if owner, taken := node.serviceByDeclaredAddress[address]; err != nil || taken && owner != s.name {
			continue
		}
		s.upstreams[name] = &upstream{
			name: s.upstreamName(name), address: address, domain: value.GetFailureDomains()[i],
		}
	}
}

// rebuildUpstreamIndex rebuilds upstreamByAddress and passes the current set of
// upstreams to health and admission. Services with an address conflict are left out.
func (node *Node) rebuildUpstreamIndex() {
	known := map[string]bool{}
	node.upstreamByAddress = map[netip.AddrPort]*upstream{}
	var refs []health.UpstreamRef
	for _, s := range node.services {
		if s.addressConflict {
			continue
		}
		s.indexedUpstreams = len(s.upstreamNames)
		for _, u := range s.upstreams {
			known[u.name] = true
			node.upstreamByAddress[u.address] = u
			refs = append(refs, health.UpstreamRef{Name: u.name, Address: u.address})
			node.credits.SetUpstream(u.name, admission.LoadSpec{
				SustainablePerSecond: s.declared.ColdStart.SustainableOpensPerSecond,
				Ramp:                 seconds(s.declared.ColdStart.RampSeconds),
			})
		}
	}
	for name := range node.knownUpstreams {
		if !known[name] {
			node.credits.RemoveUpstream(name)
		}
	}
	node.knownUpstreams = known
	slices.SortFunc(refs, func(a, b health.UpstreamRef) int { return strings.Compare(a.Name, b.Name) })
	node.health.SetUpstreams(refs)
}

func (node *Node) setServiceLimits() {
	for _, s := range node.services {
		node.limits.SetService(node.now, s.name, admission.DeclaredLimit{
			RequestsPerSecond:  float64(s.declared.Limits.RequestsPerSecond),
			ConcurrentRequests: s.declared.Limits.ConcurrentRequests,
		})
	}
}
