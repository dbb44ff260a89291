package platform

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// runClient calls Run in the background until the test ends.
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

// Guards against actions that cause no event, for which the decision logic would
// wait forever.
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
		require.Equal(t, action.WriteApplied, (<-client.Events()).(action.WriteResult).Outcome, "the same write repeated")
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
		fake.locked(func() { fake.down = true })
		require.NoError(t, client.Do(action.ReadObjects{}))
		require.IsType(t, action.ReadFailed{}, <-client.Events())
		var unsupported *UnsupportedActionError
		require.ErrorAs(t, client.Do(action.SendCaller{}), &unsupported)
	})
}

// Guards against a merged read that does not cover the earlier read's revision, and
// against a full queue that blocks the control goroutine.
func TestDoMergesReadsAndNeverBlocks(t *testing.T) {
	client, err := New(Config{Queue: 1})
	require.NoError(t, err)
	require.NoError(t, client.Do(action.ReadObjects{Since: 3}))
	require.NoError(t, client.Do(action.ReadObjects{Since: 9}))
	require.Equal(t, uint64(3), (<-client.readQueue).Since)
	require.NoError(t, client.Do(action.WriteObject{}))
	var queueFull *QueueFullError
	require.ErrorAs(t, client.Do(action.WriteObject{}), &queueFull)
}

// Guards against a watch that receives no messages and is never replaced, against
// changes that are lost on replacement, and against unnecessary starts of watches.
func TestWatchIsReplacedWhenSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFake()
		client := fake.connect(t, Config{})
		runClient(t, client)
		write := func(version uint64) {
			_, err := fake.store(&pb.PutRequest{Key: "k", ExpectedVersion: version})
			require.NoError(t, err)
		}
		write(0)
		require.NoError(t, client.Do(action.WatchObjects{}))
		first := (<-client.Events()).(action.ObjectsRead)
		require.True(t, first.Watched)
		require.Len(t, first.Objects, 1)
		fake.locked(func() { fake.silent = true })
		start := time.Now()
		lost := (<-client.Events()).(action.WatchLost)
		require.Equal(t, 3*time.Second, time.Since(start))
		var silentWatch *SilentWatchError
		require.ErrorAs(t, lost.Err, &silentWatch)
		write(1)
		fake.locked(func() { fake.silent = false })
		require.NoError(t, client.Do(action.WatchObjects{Since: 1}))
		second := (<-client.Events()).(action.ObjectsRead)
		require.Equal(t, uint64(2), second.Objects[0].GetVersion())
		require.Equal(t, []uint64{0, 1}, fake.watchStarts)
		require.NoError(t, client.Do(action.WatchObjects{Since: 2}), "the running watch covers this revision")
		synctest.Wait()
		// Events sent before the stop may still be queued.
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

// Guards against flooding the platform with calls during an outage, while the
// decision logic repeats failed actions without delay.
func TestOutageCallsAreDelayedByBackoff(t *testing.T) {
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
		fake.locked(func() { fake.down = false })
		recovered := time.Now()
		for {
			if _, ok := (<-client.Events()).(action.ObjectsRead); ok {
				break
			}
		}
		require.LessOrEqual(t, time.Since(recovered), 2*time.Second)
		var data metricdata.ResourceMetrics
		require.NoError(t, reader.Collect(t.Context(), &data))
		require.Positive(t, callCount(data, "list", "unavailable"))
		require.Positive(t, callCount(data, "watch", "unavailable"))
	})
}

// callCount returns the counter of platform calls for a kind and an outcome.
func callCount(data metricdata.ResourceMetrics, kind, outcome string) int64 {
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

// Guards against a budget that admits more calls than its rate and burst.
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

// Guards against reporting a call as refused by its budget when its deadline has
// passed before the call, for example on a busy machine.
func TestPassedDeadlineIsNotBudgetError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newFake().connect(t, Config{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		time.Sleep(20 * time.Millisecond)
		_, _, err := client.Get(ctx, "k")
		var call *CallError
		require.ErrorAs(t, err, &call)
		require.Equal(t, OutcomeUnreachable, call.Outcome)
		require.False(t, call.Sent)
	})
}

// Guards against delays above the limit, and against delays that do not grow with
// the number of failures.
func TestBackoffBounds(t *testing.T) {
	b := &backoff{base: 50 * time.Millisecond, limit: 2 * time.Second}
	require.Zero(t, b.nextDelay())
	for _, want := range []time.Duration{50, 100, 200, 400, 800, 1600, 2000, 2000} {
		b.recordResult(true)
		require.Equal(t, want*time.Millisecond, b.delayBound())
		require.LessOrEqual(t, b.nextDelay(), b.delayBound())
	}
	b.recordResult(false)
	require.Zero(t, b.nextDelay())
}
