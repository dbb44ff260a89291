package platform

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// Guards against decreasing versions or revisions, against writes that succeed
// although their expected version is wrong, and against a List or Watch that
// omits a change.
func TestStoreVersionsAndRevisionsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore(Options{})
		watch, err := s.Watch("a/", 0)
		require.NoError(t, err)
		versions, watched := map[string]uint64{}, map[string]uint64{}
		var revision uint64
		for i := range rapid.IntRange(1, 40).Draw(t, "writes") {
			key := rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "key")
			expected := rapid.Uint64Range(0, 4).Draw(t, "expected")
			change := fmt.Sprint(i)
			o, err := s.Put(&pb.PutRequest{Key: key, ExpectedVersion: expected, ChangeId: change,
				Value: []byte(change), Delete: rapid.Bool().Draw(t, "delete")})
			if expected != versions[key] {
				var conflict *ConflictError
				require.ErrorAs(t, err, &conflict)
				require.Equal(t, versions[key], conflict.Current.GetVersion())
				continue
			}
			require.NoError(t, err)
			revision++
			versions[key]++
			require.Equal(t, versions[key], o.Version)
			require.Equal(t, revision, o.Revision)
			require.Equal(t, o.Deleted, o.Value == nil)
			if rapid.Bool().Draw(t, "read watch") {
				readChanges(t, watch, watched)
			}
		}
		readChanges(t, watch, watched)
		listed, at, err := s.List("a/", 0)
		require.NoError(t, err)
		require.Equal(t, revision, at)
		for _, o := range listed {
			require.Equal(t, versions[o.Key], o.Version)
			require.Equal(t, o.Version, watched[o.Key])
		}
		require.Len(t, watched, len(listed))
	})
}

func readChanges(t require.TestingT, w *Watch, versions map[string]uint64) {
	changed, _, ok, err := w.Next()
	require.NoError(t, err)
	require.True(t, ok)
	for _, o := range changed {
		require.Greater(t, o.Version, versions[o.Key])
		versions[o.Key] = o.Version
	}
}

// Guards against lost responses whose write did not take effect, against calls
// that succeed during an outage, and against calls that are not counted.
func TestStoreFaultsAndCounters(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	s := NewStore(Options{Clock: c.Now, WritesPerSecond: 2})
	s.LoseWriteResponses(1)
	_, err := s.Put(&pb.PutRequest{Key: "k", ChangeId: "c1"})
	var lost *LostResponseError
	require.ErrorAs(t, err, &lost)
	o, _, err := s.Get("k")
	require.NoError(t, err)
	require.Equal(t, "c1", o.ChangeId)

	var invalid *InvalidError
	_, err = s.Put(&pb.PutRequest{Key: "k", ExpectedVersion: 1, Value: make([]byte, MaxValueSize+1)})
	require.ErrorAs(t, err, &invalid)
	var limited *RateError
	_, err = s.Put(&pb.PutRequest{Key: "k", ExpectedVersion: 1})
	require.ErrorAs(t, err, &limited)
	c.now = c.now.Add(time.Second)
	_, err = s.Put(&pb.PutRequest{Key: "k", ExpectedVersion: 1, Value: make([]byte, MaxValueSize)})
	require.NoError(t, err)

	silent, err := s.Watch("", 0)
	require.NoError(t, err)
	s.SilenceWatches()
	ended, err := s.Watch("", 0)
	require.NoError(t, err)
	s.SetDown(true)
	_, _, ok, err := silent.Next()
	require.NoError(t, err)
	require.False(t, ok)
	var unavailable *UnavailableError
	_, _, _, err = ended.Next()
	require.ErrorAs(t, err, &unavailable)
	_, _, err = s.Get("k")
	require.ErrorAs(t, err, &unavailable)
	s.SetDown(false)
	_, err = s.ListInstances()
	require.NoError(t, err)
	require.Equal(t, map[Call]uint64{CallPut: 4, CallGet: 2, CallWatch: 2, CallListInstances: 1}, s.Calls())
}

// Guards against lost updates when several clients write the same object
// concurrently and some of them do not receive the response to their write.
func TestStoreIsLinearizableForConcurrentWriters(t *testing.T) {
	s := NewStore(Options{})
	s.LoseWriteResponses(5)
	var mu sync.Mutex
	var ops []history.RegisterOp
	runOperation := func(client int, f func(op *history.RegisterOp)) history.RegisterOp {
		op := history.RegisterOp{Client: client, Key: "k", CallUS: time.Now().UnixMicro()}
		f(&op)
		op.ReturnUS = time.Now().UnixMicro()
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, op)
		return op
	}
	var group errgroup.Group
	for client := range 4 {
		group.Go(func() error {
			for i := range 20 {
				var readErr error
				current := runOperation(client, func(op *history.RegisterOp) {
					var o *pb.Object
					o, _, readErr = s.Get("k")
					op.Outcome, op.Version, op.ChangeID = history.RegisterRead, o.GetVersion(), o.GetChangeId()
				})
				if readErr != nil {
					return readErr
				}
				runOperation(client, func(op *history.RegisterOp) {
					op.Expected, op.ChangeID = current.Version, fmt.Sprint(client, i)
					o, err := s.Put(&pb.PutRequest{Key: "k", ExpectedVersion: op.Expected, ChangeId: op.ChangeID})
					var lost *LostResponseError
					op.Outcome, op.Version = history.RegisterApplied, o.GetVersion()
					if errors.As(err, &lost) {
						op.Outcome = history.RegisterUnknown
					} else if err != nil {
						op.Outcome = history.RegisterConflict
					}
				})
			}
			return nil
		})
	}
	require.NoError(t, group.Wait())
	require.Empty(t, history.CheckRegister(ops))
}

// Guards against changes of the instance list that are served before the lag has
// passed, and against overrides that are served with a lag.
func TestInstanceListLagAndOverrides(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	s := NewStore(Options{Clock: c.Now, InstanceLag: 10 * time.Second})
	names := func() (names []string) {
		list, err := s.ListInstances()
		require.NoError(t, err)
		for _, i := range list {
			names = append(names, fmt.Sprintf("%s leaving=%t", i.Name, i.Leaving))
		}
		return names
	}
	s.SetInstances([]*pb.InstanceInfo{{Name: "i1"}, {Name: "i2"}})
	require.Equal(t, []string{"i1 leaving=false", "i2 leaving=false"}, names())
	c.now = c.now.Add(time.Minute)
	s.SetInstances([]*pb.InstanceInfo{{Name: "i1"}})
	c.now = c.now.Add(9 * time.Second)
	require.Len(t, names(), 2)
	s.OverrideInstance(&pb.InstanceInfo{Name: "i1", Leaving: true})
	require.Equal(t, []string{"i1 leaving=true", "i2 leaving=false"}, names())
	c.now = c.now.Add(time.Second)
	require.Equal(t, []string{"i1 leaving=true"}, names())
	s.ClearOverride("i1")
	require.Equal(t, []string{"i1 leaving=false"}, names())
}
