package platform

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// instanceList keeps the instances as they were, because the platform serves
// an old list.
type instanceList struct {
	history   []instanceSnapshot
	overrides map[string]*pb.InstanceInfo
}

type instanceSnapshot struct {
	at   time.Time
	list []*pb.InstanceInfo
}

// SetInstances sets the true list. It is served after the lag, except for the
// first list, which is served at once.
func (s *Store) SetInstances(list []*pb.InstanceInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := instanceSnapshot{at: s.opt.Clock()}
	for _, i := range list {
		snapshot.list = append(snapshot.list, proto.Clone(i).(*pb.InstanceInfo))
	}
	s.list.history = append(s.list.history, snapshot)
}

// OverrideInstance puts an entry on the list at once, whatever the true list
// says: a wrong address, a leaving mark or an instance that does not exist.
func (s *Store) OverrideInstance(info *pb.InstanceInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list.overrides == nil {
		s.list.overrides = map[string]*pb.InstanceInfo{}
	}
	s.list.overrides[info.Name] = proto.Clone(info).(*pb.InstanceInfo)
}

// ClearOverride removes the override of an instance.
func (s *Store) ClearOverride(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.list.overrides, name)
}

// ListInstances returns the lagging list ordered by name. It fails with
// *UnavailableError or *RateError.
func (s *Store) ListInstances() ([]*pb.InstanceInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(CallListInstances); err != nil {
		return nil, err
	}
	return s.servedInstances(), nil
}

func (s *Store) servedInstances() []*pb.InstanceInfo {
	visible := s.opt.Clock().Add(-s.opt.InstanceLag)
	h := s.list.history
	for len(h) > 1 && !h[1].at.After(visible) {
		h = h[1:]
	}
	s.list.history = h
	var served []*pb.InstanceInfo
	if len(h) > 0 {
		for _, i := range h[0].list {
			if s.list.overrides[i.Name] == nil {
				served = append(served, proto.Clone(i).(*pb.InstanceInfo))
			}
		}
	}
	for _, i := range s.list.overrides {
		served = append(served, proto.Clone(i).(*pb.InstanceInfo))
	}
	slices.SortFunc(served, func(a, b *pb.InstanceInfo) int { return strings.Compare(a.Name, b.Name) })
	return served
}
