// Package platform is the stand-in of the platform's object API. Store holds
// objects, faults and counters without sockets; Server exposes it by
// ObjectService and a control endpoint.
package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// Options configure a Store. Zero values take the defaults.
type Options struct {
	// Clock returns the current time. Default time.Now.
	Clock func() time.Time
	// InstanceLag is the age of the instance list. Default 0.
	InstanceLag time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 for no limit.
	WritesPerSecond, ReadsPerSecond float64
}

// Store is a versioned object store. It is safe for concurrent use.
type Store struct {
	opt Options

	mu       sync.Mutex
	objects  map[string]*pb.Object
	revision uint64
	watches  map[*Watch]struct{}
	list     instanceList
	faults   faults
	counts   map[Call]uint64
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// NewStore returns an empty store at revision 0.
func NewStore(opt Options) *Store {
	if opt.Clock == nil {
		opt.Clock = time.Now
	}
	return &Store{
		opt:     opt,
		objects: map[string]*pb.Object{},
		watches: map[*Watch]struct{}{},
		counts:  map[Call]uint64{},
		writes:  limiter(opt.WritesPerSecond),
		reads:   limiter(opt.ReadsPerSecond),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Call is a kind of call.
type Call string

// Kinds of calls.
const (
	CallGet           Call = "get"
	CallList          Call = "list"
	CallPut           Call = "put"
	CallWatch         Call = "watch"
	CallListInstances Call = "list_instances"
)

// UnavailableError says that the platform is down or cut off.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string { return "platform unavailable: " + e.Reason }

// ConflictError says that an object does not have the expected version.
type ConflictError struct {
	Key      string
	Expected uint64
	// Current is the stored object; nil when the key was never written.
	Current *pb.Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s has version %d, expected %d", e.Key, e.Current.GetVersion(), e.Expected)
}

// InvalidError says that a write was not acceptable.
type InvalidError struct{ Key, Detail string }

func (e *InvalidError) Error() string { return fmt.Sprintf("object %q: %s", e.Key, e.Detail) }

// LostAnswerError says that a write took effect and its answer was lost. A
// client must not learn that the write took effect.
type LostAnswerError struct{ Key string }

func (e *LostAnswerError) Error() string { return "answer lost for object " + e.Key }

// RateError says that the limit on reads or writes was exceeded.
type RateError struct{ Call Call }

func (e *RateError) Error() string { return fmt.Sprintf("too many calls of kind %s", e.Call) }

// begin counts a call and fails it when the store is down or its limit is
// used up. The caller holds the lock.
func (s *Store) begin(call Call) error {
	s.counts[call]++
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

// Get returns an object, or nil when the key was never written, and the
// revision of the store. It fails with *UnavailableError or *RateError.
func (s *Store) Get(key string) (*pb.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(CallGet); err != nil {
		return nil, 0, err
	}
	return clone(s.objects[key]), s.revision, nil
}

// List returns the objects with a key prefix that changed after a revision,
// ordered by revision, and the revision of the store. It fails with
// *UnavailableError or *RateError.
func (s *Store) List(prefix string, since uint64) ([]*pb.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(CallList); err != nil {
		return nil, 0, err
	}
	return s.changed(prefix, since), s.revision, nil
}

func (s *Store) changed(prefix string, since uint64) []*pb.Object {
	var changed []*pb.Object
	for key, o := range s.objects {
		if o.Revision > since && strings.HasPrefix(key, prefix) {
			changed = append(changed, clone(o))
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

// Put writes or deletes an object if it has the expected version, and returns
// the stored object. Tombstones keep their version, and a write to one expects
// that version. It fails with *ConflictError, *InvalidError,
// *UnavailableError, *RateError or *LostAnswerError.
func (s *Store) Put(req *pb.PutRequest) (*pb.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(CallPut); err != nil {
		return nil, err
	}
	if req.Key == "" {
		return nil, &InvalidError{Key: req.Key, Detail: "the key is empty"}
	}
	if len(req.Value) > MaxValue {
		return nil, &InvalidError{Key: req.Key, Detail: fmt.Sprintf("value of %d B is above %d B", len(req.Value), MaxValue)}
	}
	current := s.objects[req.Key]
	if current.GetVersion() != req.ExpectedVersion {
		return nil, &ConflictError{Key: req.Key, Expected: req.ExpectedVersion, Current: clone(current)}
	}
	s.revision++
	o := &pb.Object{Key: req.Key, Version: req.ExpectedVersion + 1, Revision: s.revision,
		Deleted: req.Delete, ChangeId: req.ChangeId}
	if !req.Delete {
		o.Value = slices.Clone(req.Value)
	}
	s.objects[req.Key] = o
	s.wakeWatches(req.Key)
	if s.faults.loseWrites > 0 {
		s.faults.loseWrites--
		return nil, &LostAnswerError{Key: req.Key}
	}
	return clone(o), nil
}

// Revision returns the revision of the store without counting a call.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Calls returns the number of calls of each kind. A watch counts once, when it
// starts.
func (s *Store) Calls() map[Call]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]uint64, len(s.counts))
	for call, n := range s.counts {
		counts[call] = n
	}
	return counts
}

// ResetCalls sets the counters to zero.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.counts)
}

func clone(o *pb.Object) *pb.Object {
	if o == nil {
		return nil
	}
	return proto.Clone(o).(*pb.Object)
}
