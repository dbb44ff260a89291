package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// putFault replaces the handling of one Put.
type putFault func(ctx context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error)

var errLost = connect.NewError(connect.CodeUnavailable, nil)

// loseAnswer applies the write and answers with an error.
func loseAnswer(_ context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
	_, _ = f.store(r)
	return nil, errLost
}

// loseRequest does not apply the write and answers with an error.
func loseRequest(context.Context, *fakePlatform, *pb.PutRequest) (*pb.PutResponse, error) {
	return nil, errLost
}

// otherWritesFirst applies n writes of others instead of the write and answers with
// an error.
func otherWritesFirst(n uint64) putFault {
	return func(_ context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
		for i := range n {
			_, _ = f.store(&pb.PutRequest{Key: r.GetKey(), ExpectedVersion: r.GetExpectedVersion() + i, ChangeId: "other"})
		}
		return nil, errLost
	}
}

// neverAnswer does not apply the write and does not answer.
func neverAnswer(ctx context.Context, _ *fakePlatform, _ *pb.PutRequest) (*pb.PutResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against reporting a wrong outcome when the request or the answer of a
// write is lost, and against a write that takes effect twice.
func TestPutResolvesLostAnswers(t *testing.T) {
	tests := []struct {
		name     string
		faults   []putFault
		expected uint64
		check    func(t *testing.T, object *pb.Object, err error)
		version  uint64
		puts     int
	}{
		{"no fault", nil, 0, requireApplied, 1, 1},
		{"answer lost", []putFault{loseAnswer}, 0, requireApplied, 1, 1},
		{"request lost", []putFault{loseRequest}, 0, requireApplied, 1, 2},
		{"connection without answers", []putFault{neverAnswer}, 0, requireApplied, 1, 2},
		{"request lost, then answer of the retry lost", []putFault{loseRequest, loseAnswer}, 0, requireApplied, 1, 2},
		{"other version expected", nil, 7, requireConflict, 0, 1},
		{"one other write first", []putFault{otherWritesFirst(1)}, 0, requireConflict, 1, 1},
		{"two other writes first", []putFault{otherWritesFirst(2)}, 0, requireUnknownOutcome, 2, 1},
		{"rejected", []putFault{func(context.Context, *fakePlatform, *pb.PutRequest) (*pb.PutResponse, error) {
			return nil, connect.NewError(connect.CodeInvalidArgument, nil)
		}}, 0, requireRejected, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFake()
				fake.putFaults = test.faults
				client := fake.connect(t, Config{})
				object, err := client.Put(t.Context(), Write{Key: "k", Value: []byte("v"), Expected: test.expected, ChangeID: "mine"})
				test.check(t, object, err)
				require.Equal(t, test.version, fake.objects["k"].GetVersion())
				require.Equal(t, test.puts, fake.count(CallPut))
			})
		})
	}
}

func requireApplied(t *testing.T, object *pb.Object, err error) {
	require.NoError(t, err)
	require.Equal(t, "mine", object.GetChangeId())
}

func requireConflict(t *testing.T, _ *pb.Object, err error) {
	var target *ConflictError
	require.ErrorAs(t, err, &target)
}

func requireUnknownOutcome(t *testing.T, _ *pb.Object, err error) {
	var target *UnknownOutcomeError
	require.ErrorAs(t, err, &target)
	require.Equal(t, "mine", target.ChangeID)
}

func requireRejected(t *testing.T, _ *pb.Object, err error) {
	var target *CallError
	require.ErrorAs(t, err, &target)
	require.Equal(t, OutcomeRejected, target.Outcome)
}

// Guards against reporting a write as failed when the platform became unavailable
// after the write took effect.
func TestPutDuringOutageIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		fake.putFaults = []putFault{func(ctx context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
			f.locked(func() { f.down = true })
			return loseAnswer(ctx, f, r)
		}}
		client := fake.connect(t, Config{})
		object, err := client.Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
		requireUnknownOutcome(t, object, err)
	})
}

// Guards against treating an answer that cannot be decoded as a rejection although
// the write took effect.
func TestPutResolvesMalformedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		fake.corruptPutAnswer = true
		object, err := fake.connect(t, Config{}).Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
		requireApplied(t, object, err)
		require.Equal(t, 1, fake.count(CallPut))
	})
}

// Guards against a write that takes effect twice and against reporting a wrong
// outcome, over random sequences of faults. The faults include writes of others,
// because they can hide whether the write took effect.
func TestPutOutcomesAreTrue(t *testing.T) {
	delayedWrite := func(ctx context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
		time.AfterFunc(3*time.Second, func() { _, _ = f.store(r) })
		return neverAnswer(ctx, f, r)
	}
	faults := []putFault{loseAnswer, loseRequest, neverAnswer, delayedWrite, otherWritesFirst(1), otherWritesFirst(2), otherWritesFirst(3), nil}
	outcomes := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		for i := range 500 {
			fake := newFake()
			for range rng.IntN(6) {
				fake.putFaults = append(fake.putFaults, faults[rng.IntN(len(faults))])
			}
			_, err := fake.connect(t, Config{}).Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
			// Delayed writes take effect within this time, if at all.
			time.Sleep(time.Minute)
			timesApplied := 0
			for _, id := range fake.written {
				if id == "mine" {
					timesApplied++
				}
			}
			var conflict *ConflictError
			var unknown *UnknownOutcomeError
			switch {
			case err == nil:
				outcomes["applied"]++
				require.Equal(t, 1, timesApplied, "schedule %d", i)
			case errors.As(err, &unknown):
				outcomes["unknown"]++
				require.LessOrEqual(t, timesApplied, 1, "schedule %d", i)
			default:
				outcomes["conflict"]++
				require.ErrorAs(t, err, &conflict, "schedule %d", i)
				require.Zero(t, timesApplied, "schedule %d", i)
			}
		}
	})
	require.Len(t, outcomes, 3, "every outcome must occur: %v", outcomes)
	t.Log(outcomes)
}

// Guards against reporting an unknown outcome for a write that was never sent.
func TestPutWithoutConnectionFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFake().connect(t, Config{})
		client.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		_, err := client.Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
		var target *CallError
		require.ErrorAs(t, err, &target)
		require.Equal(t, OutcomeUnreachable, target.Outcome)
	})
}

// Guards against sending values above the size limit, which the platform always
// rejects.
func TestPutRejectsLargeValues(t *testing.T) {
	client, err := New(Config{})
	require.NoError(t, err)
	_, err = client.Put(t.Context(), Write{Key: "k", Value: make([]byte, MaxObject+1)})
	var target *ObjectSizeError
	require.ErrorAs(t, err, &target)
}
