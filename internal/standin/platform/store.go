// Package platform is a test double of the platform's object API. Store contains
// the objects, faults and call counters without I/O; Server exposes it as
// ObjectService with an endpoint to control faults.
package platform

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/position"
)

// MaxValueSize is the maximum size of an object's value in bytes.
const MaxValueSize = 1 << 20

// Options configures a Store. A field with the zero value gets its default.
type Options struct {
	// Clock returns the current time. Default time.Now.
	Clock func() time.Time
	// InstanceLag is the age of the served instance list. Default 0.
	InstanceLag time.Duration
	// WritesPerSecond limits Put calls and ReadsPerSecond all other calls. Bursts
	// of up to one second's calls, at least 1, are allowed. Default 0, no limit.
	WritesPerSecond, ReadsPerSecond float64
}

// Store is a versioned object store with fault injection. All its revisions, also those
// of the objects, are positions: they include the era. It is safe for concurrent use.
type Store struct {
	opt Options

	mu sync.Mutex
	// objects contains the objects by key, including tombstones. Entries are never
	// removed.
	objects map[string]*pb.Object
	// revision is the position of the last write that took effect or of the last restored
	// copy.
	revision   uint64
	watches    map[*Watch]struct{}
	instances  instanceList
	faults     faults
	callCounts map[Call]uint64
	writes     *rate.Limiter
	reads      *rate.Limiter
}

// NewStore returns an empty store at revision 0 without faults.
func NewStore(opt Options) *Store {
	if opt.Clock == nil {
		opt.Clock = time.Now
	}
	return &Store{
		opt:        opt,
		objects:    map[string]*pb.Object{},
		watches:    map[*Watch]struct{}{},
		callCounts: map[Call]uint64{},
		writes:     newLimiter(opt.WritesPerSecond),
		reads:      newLimiter(opt.ReadsPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Call is a kind of call to the store.
type Call string

// Kinds of calls, by which calls are counted.
const (
	CallGet           Call = "get"
	CallList          Call = "list"
	CallPut           Call = "put"
	CallWatch         Call = "watch"
	CallListInstances Call = "list_instances"
)

// UnavailableError reports that the store is down or that it ended a watch.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Reason }

// ConflictError reports that a write was rejected because the object does not
// have the expected version, or the store is not in the expected era.
type ConflictError struct {
	Key      string
	Expected uint64
	// Current is the stored object, or nil if the key was never written.
	Current *pb.Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s has version %d, expected %d", e.Key, e.Current.GetVersion(), e.Expected)
}

// InvalidError reports that a write or an entry of a control request is invalid.
type InvalidError struct{ Key, Detail string }

func (e *InvalidError) Error() string { return fmt.Sprintf("object %q: %s", e.Key, e.Detail) }

// LostResponseError reports that a write took effect and that its response must be
// lost. The client must not learn whether the write took effect.
type LostResponseError struct{ Key string }

func (e *LostResponseError) Error() string {
	return "platform: response lost for the write of object " + e.Key
}

// RateError reports that a call exceeded the rate limit on reads or writes.
type RateError struct{ Call Call }

func (e *RateError) Error() string {
	return fmt.Sprintf("platform: rate limit exceeded by a call of kind %s", e.Call)
}

// admitCall counts a call. It returns an *UnavailableError during an outage and a
// *RateError if the call exceeds its rate limit. s.mu must be held.
func (s *Store) admitCall(call Call) error {
	s.callCounts[call]++
	if s.faults.down {
		return &UnavailableError{Reason: "down"}
	}
	limit := s.reads
	if call == CallPut {
		limit = s.writes
	}
	if !limit.AllowN(s.opt.Clock(), 1) {
		return &RateError{Call: call}
	}
	return nil
}

// Get returns an object, or nil if the key was never written, and the revision of
// the store. Deleted objects are returned as tombstones. It returns an
// *UnavailableError during an outage and a *RateError above the read limit.
func (s *Store) Get(key string) (*pb.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitCall(CallGet); err != nil {
		return nil, 0, err
	}
	return cloneObject(s.objects[key]), s.revision, nil
}

// Copy is the content of a store at one moment.
type Copy struct {
	objects  map[string]*pb.Object
	revision uint64
}

// Copy returns a copy of the content, for Restore.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{objects: maps.Clone(s.objects), revision: s.revision}
}

// Restore replaces the content by a copy and starts the next era: later writes are
// lost, and their revisions are given out again. It ends every open watch. It fails with
// *position.RangeError.
func (s *Store) Restore(c *Copy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := position.Era(s.revision) + 1
	revision, err := position.Of(era, position.Revision(c.revision))
	if err != nil {
		return err
	}
	s.revision, s.objects = revision, map[string]*pb.Object{}
	for key, o := range c.objects {
		restored := cloneObject(o)
		if restored.Revision, err = position.Of(era, position.Revision(o.Revision)); err != nil {
			return err
		}
		s.objects[key] = restored
	}
	s.endWatches("restored")
	return nil
}

// List returns the objects with the key prefix whose revision is greater than
// since, ordered by revision and with tombstones, and the revision of the store.
// It returns an *UnavailableError during an outage and a *RateError above the
// read limit.
func (s *Store) List(prefix string, since uint64) ([]*pb.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitCall(CallList); err != nil {
		return nil, 0, err
	}
	return s.changedObjects(prefix, since), s.revision, nil
}

func (s *Store) changedObjects(prefix string, since uint64) []*pb.Object {
	var changed []*pb.Object
	for key, o := range s.objects {
		if o.Revision > since && strings.HasPrefix(key, prefix) {
			changed = append(changed, cloneObject(o))
		}
	}
	slices.SortFunc(changed, func(a, b *pb.Object) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	return changed
}

// Put writes or deletes an object if its version equals req.ExpectedVersion (0 if
// the key was never written), and returns the stored object. A deletion stores a
// tombstone with the next version, which a later write has to expect. Put returns
// a *ConflictError if the version or the era differs, an *InvalidError for an empty key or a
// value above MaxValueSize, an *UnavailableError during an outage, a *RateError
// above the write limit, and a *LostResponseError if the write took effect but its
// response is to be lost.
func (s *Store) Put(req *pb.PutRequest) (*pb.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitCall(CallPut); err != nil {
		return nil, err
	}
	if req.Key == "" {
		return nil, &InvalidError{Key: req.Key, Detail: "key is empty"}
	}
	if len(req.Value) > MaxValueSize {
		return nil, &InvalidError{Key: req.Key,
			Detail: fmt.Sprintf("value has %d B, maximum is %d B", len(req.Value), MaxValueSize)}
	}
	current := s.objects[req.Key]
	if current.GetVersion() != req.ExpectedVersion || req.ExpectedEra != nil && *req.ExpectedEra != position.Era(s.revision) {
		return nil, &ConflictError{Key: req.Key, Expected: req.ExpectedVersion, Current: cloneObject(current)}
	}
	s.revision++
	o := &pb.Object{Key: req.Key, Version: req.ExpectedVersion + 1, Revision: s.revision,
		Deleted: req.Delete, ChangeId: req.ChangeId}
	if !req.Delete {
		o.Value = slices.Clone(req.Value)
	}
	s.objects[req.Key] = o
	s.notifyWatches(req.Key)
	if s.faults.loseWrites > 0 {
		s.faults.loseWrites--
		return nil, &LostResponseError{Key: req.Key}
	}
	return cloneObject(o), nil
}

// Revision returns the revision of the store without counting a call.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls of each kind since the last ResetCalls,
// including failed calls. A watch counts once, when it starts.
func (s *Store) Calls() map[Call]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]uint64, len(s.callCounts))
	for call, n := range s.callCounts {
		counts[call] = n
	}
	return counts
}

// ResetCalls sets the call counters to zero.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.callCounts)
}

func cloneObject(o *pb.Object) *pb.Object {
	if o == nil {
		return nil
	}
	return proto.Clone(o).(*pb.Object)
}
