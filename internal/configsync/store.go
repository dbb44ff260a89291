package configsync

import (
	"slices"
	"strings"
	"time"

	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// store holds the latest version of each object, including tombstones of deleted
// objects.
type store struct {
	objects  map[string]*pb.Object // by object key
	revision uint64                // all changes up to it are in force
	restored *restored             // nil unless the platform was restored
}

// adopt stores the objects that were changed in (since, revision], where since is
// not above the position of the store. It returns the objects that changed,
// ordered by revision. One invalid object rejects all of them, because a change
// up to revision would be missing otherwise. Objects of another era than those in
// force are merged with them for the time settle.
func (s *store) adopt(now time.Time, settle time.Duration, objects []*pb.Object, revision uint64) ([]*pb.Object, error) {
	for _, o := range objects {
		if err := s.validate(o, revision); err != nil {
			return nil, err
		}
	}
	earlier := func(o *pb.Object) bool { return position.Era(o.GetRevision()) < position.Era(revision) }
	switch era := position.Era(s.position()); {
	case position.Era(revision) < era:
		return nil, nil
	case s.restored != nil, s.revision > 0 && era < position.Era(revision), s.revision == 0 && slices.ContainsFunc(objects, earlier):
		return s.merge(now, settle, objects, revision), nil
	}
	// A peer that has not settled sends objects of an earlier era as well.
	objects = slices.DeleteFunc(slices.Clone(objects), earlier)
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

// validate returns a *MalformedError or *VersionError if an object must not be
// adopted from a message of the given revision, and nil otherwise.
func (s *store) validate(o *pb.Object, revision uint64) error {
	switch {
	case o.GetKey() == "":
		return &MalformedError{Reason: "key is missing"}
	case len(o.GetValue()) > MaxObjectBytes:
		return &MalformedError{Key: o.GetKey(), Reason: "value is larger than 1 MB"}
	case o.GetVersion() == 0 || o.GetRevision() == 0:
		return &MalformedError{Key: o.GetKey(), Reason: "version or revision is missing"}
	case o.GetRevision() > revision:
		return &MalformedError{Key: o.GetKey(), Reason: "revision is above that of the message"}
	}
	known := s.objects[o.GetKey()]
	if known == nil || position.Era(known.GetRevision()) != position.Era(o.GetRevision()) {
		return nil
	}
	// In one era, the version and the revision of a key rise together.
	newer := o.GetRevision() > known.GetRevision()
	if newer != (o.GetVersion() > known.GetVersion()) {
		return &VersionError{Key: o.GetKey(), OfferedVersion: o.GetVersion(), HeldVersion: known.GetVersion()}
	}
	return nil
}

// changedSince returns the objects changed after a revision, ordered by revision, and
// those of a restored platform that are not in force yet.
func (s *store) changedSince(revision uint64) []*pb.Object {
	var out []*pb.Object
	for _, o := range s.objects {
		if o.GetRevision() > revision {
			out = append(out, o)
		}
	}
	if s.restored != nil {
		for key, o := range s.restored.objects {
			if o.GetRevision() > revision && s.objects[key] != o {
				out = append(out, o)
			}
		}
	}
	sortByRevision(out)
	return out
}

// get returns an object, nil if it does not exist or was deleted.
func (s *store) get(key string) *pb.Object {
	if o := s.objects[key]; o != nil && !o.GetDeleted() {
		return o
	}
	return nil
}

// list returns the existing objects whose keys have a prefix, ordered by key.
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
