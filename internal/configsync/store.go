package configsync

import (
	"slices"
	"strings"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// store holds the latest version of each object, tombstones included.
type store struct {
	objects  map[string]*pb.Object
	revision uint64
}

// adopt takes over objects that were changed in (since, revision], where
// since is not above the revision of the store. It returns the objects that
// changed, in the order of their revisions. A fault in one object rejects all
// of them: without it the rest would have a gap.
func (s *store) adopt(objects []*pb.Object, revision uint64) ([]*pb.Object, error) {
	for _, o := range objects {
		if err := s.check(o, revision); err != nil {
			return nil, err
		}
	}
	var changed []*pb.Object
	for _, o := range objects {
		known := s.objects[o.GetKey()]
		if known == nil || o.GetVersion() > known.GetVersion() {
			s.objects[o.GetKey()] = o
			changed = append(changed, o)
		}
	}
	s.revision = max(s.revision, revision)
	sortByRevision(changed)
	return changed, nil
}

// check tells what is wrong with an offered object, nil if nothing is.
func (s *store) check(o *pb.Object, revision uint64) error {
	switch {
	case o.GetKey() == "":
		return &MalformedError{Reason: "no key"}
	case len(o.GetValue()) > MaxObject:
		return &MalformedError{Key: o.GetKey(), Reason: "value above 1 MB"}
	case o.GetVersion() == 0 || o.GetRevision() == 0:
		return &MalformedError{Key: o.GetKey(), Reason: "no version or revision"}
	case o.GetRevision() > revision:
		return &MalformedError{Key: o.GetKey(), Reason: "revision above that of the message"}
	}
	known := s.objects[o.GetKey()]
	if known == nil {
		return nil
	}
	// Versions and revisions of one key rise together in one store.
	newer := o.GetRevision() > known.GetRevision()
	if newer != (o.GetVersion() > known.GetVersion()) {
		return &VersionError{Key: o.GetKey(), Offered: o.GetVersion(), Known: known.GetVersion()}
	}
	return nil
}

// since returns the objects changed after a revision, ordered by revision.
func (s *store) since(revision uint64) []*pb.Object {
	var out []*pb.Object
	for _, o := range s.objects {
		if o.GetRevision() > revision {
			out = append(out, o)
		}
	}
	sortByRevision(out)
	return out
}

func (s *store) get(key string) *pb.Object {
	if o := s.objects[key]; o != nil && !o.GetDeleted() {
		return o
	}
	return nil
}

func (s *store) list(prefix string) []*pb.Object {
	var out []*pb.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) && !o.GetDeleted() {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *pb.Object) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return out
}

func sortByRevision(objects []*pb.Object) {
	slices.SortFunc(objects, func(a, b *pb.Object) int {
		if a.GetRevision() != b.GetRevision() {
			if a.GetRevision() < b.GetRevision() {
				return -1
			}
			return 1
		}
		return strings.Compare(a.GetKey(), b.GetKey())
	})
}
