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
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
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

// runClient runs a client until the test ends.
func runClient(t *testing.T, client *Client) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against actions without an event, which a decision core would wait
// for without end.
func TestEveryActionHasAnEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		client := fake.connect(t, Config{})
		runClient(t, client)
		write := action.WriteObject{Key: "k", Value: []byte("v"), ChangeID: "mine"}
		require.NoError(t, client.Do(write))
		result := (<-client.Events()).(action.WriteResult)
		require.Equal(t, action.WriteApplied, result.Outcome)
		require.NoError(t, client.Do(write))
		require.Equal(t, action.WriteApplied, (<-client.Events()).(action.WriteResult).Outcome, "the same write again")
		write.ChangeID = "second"
		require.NoError(t, client.Do(write))
		result = (<-client.Events()).(action.WriteResult)
		require.Equal(t, action.WriteConflict, result.Outcome)
		require.Equal(t, "mine", result.Object.GetChangeId())
		require.NoError(t, client.Do(action.ReadObjects{}))
		read := (<-client.Events()).(action.ObjectsRead)
		require.Len(t, read.Objects, 1)
		require.False(t, read.Watched)
		require.NoError(t, client.Do(action.ReadInstances{}))
		require.Len(t, (<-client.Events()).(action.InstancesRead).Instances, 1)
		fake.set(func() { fake.down = true })
		require.NoError(t, client.Do(action.ReadObjects{}))
		require.IsType(t, action.ReadFailed{}, <-client.Events())
		var unsupported *UnsupportedActionError
		require.ErrorAs(t, client.Do(action.SendCaller{}), &unsupported)
	})
}

// Guards against a merged read that leaves out what the earlier one asked
// for, and against a control goroutine that is blocked by a full queue.
func TestDoMergesReadsAndNeverBlocks(t *testing.T) {
	client, err := New(Config{Queue: 1})
	require.NoError(t, err)
	require.NoError(t, client.Do(action.ReadObjects{Since: 3}))
	require.NoError(t, client.Do(action.ReadObjects{Since: 9}))
	require.Equal(t, uint64(3), (<-client.reads).Since)
	require.NoError(t, client.Do(action.WriteObject{}))
	var full *QueueFullError
	require.ErrorAs(t, client.Do(action.WriteObject{}), &full)
}

// Guards against a watch that stays silent for good, against changes that are
// lost when it is replaced, and against needless starts of watches.
func TestWatchIsReplacedWhenSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		client := fake.connect(t, Config{})
		runClient(t, client)
		store := func(version uint64) {
			_, err := fake.store(&pb.PutRequest{Key: "k", ExpectedVersion: version})
			require.NoError(t, err)
		}
		store(0)
		require.NoError(t, client.Do(action.WatchObjects{}))
		first := (<-client.Events()).(action.ObjectsRead)
		require.True(t, first.Watched)
		require.Len(t, first.Objects, 1)
		fake.set(func() { fake.silent = true })
		start := time.Now()
		lost := (<-client.Events()).(action.WatchLost)
		require.Equal(t, 3*time.Second, time.Since(start))
		var silent *SilentWatchError
		require.ErrorAs(t, lost.Err, &silent)
		store(1)
		fake.set(func() { fake.silent = false })
		require.NoError(t, client.Do(action.WatchObjects{Since: 1}))
		second := (<-client.Events()).(action.ObjectsRead)
		require.Equal(t, uint64(2), second.Objects[0].GetVersion())
		require.Equal(t, []uint64{0, 1}, fake.watches)
		// Events of before the stop may still be there.
		require.NoError(t, client.Do(action.StopWatch{}))
		synctest.Wait()
		for len(client.Events()) > 0 {
			<-client.Events()
		}
		time.Sleep(time.Minute)
		require.Empty(t, client.Events())
		require.Equal(t, 2, fake.count(CallWatch))
	})
}

// Guards against a client that floods the platform during an outage when the
// decision core repeats its actions at once.
func TestOutageIsMetWithBackoffAndBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		fake.down = true
		reader := sdkmetric.NewManualReader()
		meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test")
		client := fake.connect(t, Config{Meter: meter})
		runClient(t, client)
		require.NoError(t, client.Do(action.WatchObjects{}))
		require.NoError(t, client.Do(action.ReadObjects{}))
		end := time.After(10 * time.Minute)
		for running := true; running; {
			select {
			case event := <-client.Events():
				if _, failed := event.(action.ReadFailed); failed {
					require.NoError(t, client.Do(action.ReadObjects{}))
				}
			case <-end:
				running = false
			}
		}
		// With full jitter below 2 s, the mean wait is 1 s.
		for _, call := range []Call{CallList, CallWatch} {
			require.InDelta(t, 600, fake.count(call), 120, "%s", call)
		}
		fake.set(func() { fake.down = false })
		recovered := time.Now()
		for {
			if _, ok := (<-client.Events()).(action.ObjectsRead); ok {
				break
			}
		}
		require.LessOrEqual(t, time.Since(recovered), 2*time.Second)
		var data metricdata.ResourceMetrics
		require.NoError(t, reader.Collect(t.Context(), &data))
		require.Positive(t, counted(data, "list", "unavailable"))
		require.Positive(t, counted(data, "watch", "unavailable"))
	})
}

func counted(data metricdata.ResourceMetrics, kind, outcome string) int64 {
	var total int64
	for _, m := range data.ScopeMetrics[0].Metrics {
		sum, ok := m.Data.(metricdata.Sum[int64])
		if !ok || m.Name != "chivemast.platform.calls" {
			continue
		}
		for _, point := range sum.DataPoints {
			k, _ := point.Attributes.Value("kind")
			o, _ := point.Attributes.Value("outcome")
			if k.AsString() == kind && o.AsString() == outcome {
				total += point.Value
			}
		}
	}
	return total
}

// Guards against a budget that lets a burst of calls through.
func TestBudgetBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		client := fake.connect(t, Config{Budgets: map[Call]Budget{CallGet: {PerSecond: 1, Burst: 2}}})
		refused := 0
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			_, _, err := client.Get(ctx, "k")
			cancel()
			var budget *BudgetError
			if err != nil {
				require.ErrorAs(t, err, &budget)
				refused++
			}
		}
		require.Equal(t, 2, fake.count(CallGet))
		require.Equal(t, 98, refused)
	})
}

// Guards against waits beyond the cap and against repetitions at once.
func TestBackoffBounds(t *testing.T) {
	b := &backoff{base: 50 * time.Millisecond, limit: 2 * time.Second}
	require.Zero(t, b.next())
	for _, want := range []time.Duration{50, 100, 200, 400, 800, 1600, 2000, 2000} {
		b.record(true)
		require.Equal(t, want*time.Millisecond, b.bound())
		require.LessOrEqual(t, b.next(), b.bound())
	}
	b.record(false)
	require.Zero(t, b.next())
}
