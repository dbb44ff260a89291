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

type putFault func(ctx context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error)

var errLost = connect.NewError(connect.CodeUnavailable, nil)

// loseAnswer carries the write out and reports a failure.
func loseAnswer(_ context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
	_, _ = f.store(r)
	return nil, errLost
}

// loseRequest does not carry the write out.
func loseRequest(context.Context, *fakePlatform, *pb.PutRequest) (*pb.PutResponse, error) {
	return nil, errLost
}

// overtaken lets n writes of others go first.
func overtaken(n uint64) putFault {
	return func(_ context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
		for i := range n {
			_, _ = f.store(&pb.PutRequest{Key: r.GetKey(), ExpectedVersion: r.GetExpectedVersion() + i, ChangeId: "other"})
		}
		return nil, errLost
	}
}

// hang never answers, like a connection that went silent.
func hang(ctx context.Context, _ *fakePlatform, _ *pb.PutRequest) (*pb.PutResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a lost write answer being reported as a failure or a
// success that did not happen, and against a write that takes effect twice.
func TestPutResolvesLostAnswers(t *testing.T) {
	tests := []struct {
		name     string
		faults   []putFault
		expected uint64
		check    func(t *testing.T, object *pb.Object, err error)
		version  uint64
		puts     int
	}{
		{"answer arrives", nil, 0, applied, 1, 1},
		{"answer lost", []putFault{loseAnswer}, 0, applied, 1, 1},
		{"request lost", []putFault{loseRequest}, 0, applied, 1, 2},
		{"connection silent", []putFault{hang}, 0, applied, 1, 2},
		{"answer and its repetition lost", []putFault{loseRequest, loseAnswer}, 0, applied, 1, 2},
		{"other version expected", nil, 7, conflict, 0, 1},
		{"another write first", []putFault{overtaken(1)}, 0, conflict, 1, 1},
		{"several later writes", []putFault{overtaken(2)}, 0, unknown, 2, 1},
		{"rejected", []putFault{func(context.Context, *fakePlatform, *pb.PutRequest) (*pb.PutResponse, error) {
			return nil, connect.NewError(connect.CodeInvalidArgument, nil)
		}}, 0, rejected, 0, 1},
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

func applied(t *testing.T, object *pb.Object, err error) {
	require.NoError(t, err)
	require.Equal(t, "mine", object.GetChangeId())
}

func conflict(t *testing.T, _ *pb.Object, err error) {
	var target *ConflictError
	require.ErrorAs(t, err, &target)
}

func unknown(t *testing.T, _ *pb.Object, err error) {
	var target *UnknownOutcomeError
	require.ErrorAs(t, err, &target)
	require.Equal(t, "mine", target.ChangeID)
}

func rejected(t *testing.T, _ *pb.Object, err error) {
	var target *CallError
	require.ErrorAs(t, err, &target)
	require.Equal(t, OutcomeRejected, target.Outcome)
}

// Guards against a write that is reported as failed although the platform
// went down after it took effect.
func TestPutDuringOutageIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		fake.putFaults = []putFault{func(ctx context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
			f.set(func() { f.down = true })
			return loseAnswer(ctx, f, r)
		}}
		client := fake.connect(t, Config{})
		object, err := client.Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
		unknown(t, object, err)
	})
}

// Guards against an answer that cannot be decoded being taken for a rejection,
// although the write took effect.
func TestPutResolvesMalformedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		fake.garble = true
		object, err := fake.connect(t, Config{}).Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
		applied(t, object, err)
		require.Equal(t, 1, fake.count(CallPut))
	})
}

// Guards against a write that takes effect twice and against an outcome that
// is not true, over random sequences of faults. The writes of others count as
// well, because they decide what reading back can tell.
func TestPutOutcomesAreTrue(t *testing.T) {
	late := func(ctx context.Context, f *fakePlatform, r *pb.PutRequest) (*pb.PutResponse, error) {
		time.AfterFunc(3*time.Second, func() { _, _ = f.store(r) })
		return hang(ctx, f, r)
	}
	faults := []putFault{loseAnswer, loseRequest, hang, late, overtaken(1), overtaken(2), overtaken(3), nil}
	outcomes := map[string]int{}
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		for i := range 500 {
			fake := newFake()
			for range rng.IntN(6) {
				fake.putFaults = append(fake.putFaults, faults[rng.IntN(len(faults))])
			}
			_, err := fake.connect(t, Config{}).Put(t.Context(), Write{Key: "k", ChangeID: "mine"})
			// Writes that are still on their way take effect now or never.
			time.Sleep(time.Minute)
			count := 0
			for _, id := range fake.written {
				if id == "mine" {
					count++
				}
			}
			var conflict *ConflictError
			var unknown *UnknownOutcomeError
			switch {
			case err == nil:
				outcomes["applied"]++
				require.Equal(t, 1, count, "schedule %d", i)
			case errors.As(err, &unknown):
				outcomes["unknown"]++
				require.LessOrEqual(t, count, 1, "schedule %d", i)
			default:
				outcomes["conflict"]++
				require.ErrorAs(t, err, &conflict, "schedule %d", i)
				require.Zero(t, count, "schedule %d", i)
			}
		}
	})
	require.Len(t, outcomes, 3, "every outcome occurs: %v", outcomes)
	t.Log(outcomes)
}

// Guards against a write that never left being reported as possibly applied.
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

// Guards against values that every platform rejects, and that would be sent
// again and again.
func TestPutRejectsLargeValues(t *testing.T) {
	client, err := New(Config{})
	require.NoError(t, err)
	_, err = client.Put(t.Context(), Write{Key: "k", Value: make([]byte, MaxObject+1)})
	var target *ObjectSizeError
	require.ErrorAs(t, err, &target)
}
