package configsync

import (
	"maps"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/position"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// restored holds the objects of a platform that was restored from a copy, until what
// was written since the copy has been written again.
type restored struct {
	// base is the revision of the first message of the new era, revision that of the
	// latest one.
	base, revision uint64
	// objects holds the objects of the new era by key.
	objects  map[string]*pb.Object
	settleAt time.Time
}

// merge adds objects of a restored platform up to a revision. An object is put in force
// at once if it is certainly not older than the one in force: it was written after the
// first message of the era, is the same write, or no object of the key is known.
// Versions of different eras say nothing. It returns the objects that changed, ordered
// by revision.
func (s *store) merge(now time.Time, settle time.Duration, objects []*pb.Object, revision uint64) []*pb.Object {
	if s.restored == nil || position.Era(s.restored.revision) < position.Era(revision) {
		s.restored = &restored{base: revision, objects: map[string]*pb.Object{}, settleAt: now.Add(settle)}
	}
	r := s.restored
	var changed []*pb.Object
	for _, o := range objects {
		known := s.objects[o.GetKey()]
		if position.Era(o.GetRevision()) < position.Era(revision) {
			// A peer that has not settled sends what it has in force as well.
			if known == nil {
				s.objects[o.GetKey()], s.revision = o, max(s.revision, o.GetRevision())
				changed = append(changed, o)
			}
			continue
		}
		if before := r.objects[o.GetKey()]; before != nil && before.GetRevision() >= o.GetRevision() {
			continue
		}
		r.objects[o.GetKey()] = o
		sameWrite := known.GetChangeId() == o.GetChangeId() && known.GetVersion() == o.GetVersion()
		if known == nil || o.GetRevision() > r.base || sameWrite {
			s.objects[o.GetKey()] = o
			changed = append(changed, o)
		}
	}
	r.revision = max(r.revision, revision)
	sortByRevision(changed)
	return changed
}

// settle puts the restored objects in force. Objects that the platform does not have are
// removed. It returns the objects that changed, ordered by revision, and for each
// removed one a deleted object of version 0.
func (s *store) settle() []*pb.Object {
	r := s.restored
	var changed []*pb.Object
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		known := s.objects[key]
		if position.Era(known.GetRevision()) == position.Era(r.revision) {
			continue
		}
		next := r.objects[key]
		if next == nil {
			// A new object of the key starts at version 1 again.
			delete(s.objects, key)
			next = &pb.Object{Key: key, Deleted: true, Revision: r.base}
		} else {
			s.objects[key] = next
		}
		changed = append(changed, next)
	}
	s.revision, s.restored = r.revision, nil
	sortByRevision(changed)
	return changed
}

// Settle puts the objects of a restored platform in force and returns those that
// changed. It does so once the platform has confirmed them, to this instance or to a
// member that holds no later ones, SettleDelay after the first of them: operators have
// written again by then. It has to be called periodically.
func (s *Sync) Settle() []*pb.Object {
	r := s.store.restored
	if r == nil || s.platformAt.Before(r.settleAt) && !s.memberConfirmed(r) {
		return nil
	}
	return s.store.settle()
}

// memberConfirmed reports whether the platform has confirmed the restored objects to a
// member after settleAt, at a revision of their era that this instance holds.
func (s *Sync) memberConfirmed(r *restored) bool {
	return s.view != nil && slices.ContainsFunc(s.view.Members, func(m membership.Member) bool {
		return m.Name != s.self && position.Era(m.ConfirmedRevision) == position.Era(r.revision) &&
			m.ConfirmedRevision <= r.revision && !m.ConfirmedAt.Before(r.settleAt)
	})
}

// position returns the revision up to which the platform's changes are known; those of
// a restored platform may not be in force yet.
func (s *store) position() uint64 {
	if s.restored != nil {
		return s.restored.revision
	}
	return s.revision
}
