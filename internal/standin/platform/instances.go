package platform

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// instanceList stores snapshots of the actual instance list, because the platform
// serves the list with a lag. Snapshots are ordered by time and removed once a
// later one is served. overrides replaces entries of the served list, by instance
// name, until ClearOverride.
type instanceList struct {
	snapshots []instanceSnapshot
	overrides map[string]*pb.InstanceInfo
}

type instanceSnapshot struct {
	at   time.Time
	list []*pb.InstanceInfo
}

// SetInstances sets the actual instance list. It is served once it is as old as
// Options.InstanceLag; the first list is served immediately.
func (s *Store) SetInstances(list []*pb.InstanceInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := instanceSnapshot{at: s.opt.Clock()}
	for _, i := range list {
		snapshot.list = append(snapshot.list, proto.Clone(i).(*pb.InstanceInfo))
	}
	s.instances.snapshots = append(s.instances.snapshots, snapshot)
}

// OverrideInstance adds or replaces an entry of the served list without lag. The
// entry may contradict the actual list: it can have a wrong address, mark the
// instance as leaving or describe an instance that does not exist.
func (s *Store) OverrideInstance(info *pb.InstanceInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instances.overrides == nil {
		s.instances.overrides = map[string]*pb.InstanceInfo{}
	}
	s.instances.overrides[info.Name] = proto.Clone(info).(*pb.InstanceInfo)
}

// ClearOverride removes the override of an instance.
func (s *Store) ClearOverride(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances.overrides, name)
}

// ListInstances returns the instance list as it was before Options.InstanceLag,
// with the overrides, ordered by name. It returns an *UnavailableError during an
// outage and a *RateError above the read limit.
func (s *Store) ListInstances() ([]*pb.InstanceInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitCall(CallListInstances); err != nil {
		return nil, err
	}
	return s.servedInstances(), nil
}

func (s *Store) servedInstances() []*pb.InstanceInfo {
	servedAsOf := s.opt.Clock().Add(-s.opt.InstanceLag)
	snapshots := s.instances.snapshots
	for len(snapshots) > 1 && !snapshots[1].at.After(servedAsOf) {
		snapshots = snapshots[1:]
	}
	s.instances.snapshots = snapshots
	var served []*pb.InstanceInfo
	if len(snapshots) > 0 {
		for _, i := range snapshots[0].list {
			if s.instances.overrides[i.Name] == nil {
				served = append(served, proto.Clone(i).(*pb.InstanceInfo))
			}
		}
	}
	for _, i := range s.instances.overrides {
		served = append(served, proto.Clone(i).(*pb.InstanceInfo))
	}
	slices.SortFunc(served, func(a, b *pb.InstanceInfo) int { return strings.Compare(a.Name, b.Name) })
	return served
}
