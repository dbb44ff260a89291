package edge

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/internal/relay"
	"github.com/chivemast/chivemast/internal/transfer"
)

// logged returns what an instance logs in run, and the instance.
func logged(t *testing.T, run func(*Instance)) (string, *Instance) {
	t.Helper()
	metrics, err := NewMetrics()
	require.NoError(t, err)
	instance := &Instance{log: eventlog.New("edge-1", logrus.InfoLevel), metrics: metrics}
	run(instance)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var output bytes.Buffer
	require.NoError(t, instance.log.Run(ended, &output))
	return output.String(), instance
}

// Guards against failed transfers of state that operators find neither in the log nor in the
// counters.
func TestFailedTransfersOfStateAreLoggedAndCounted(t *testing.T) {
	lines, instance := logged(t, func(instance *Instance) {
		relayObserver{instance}.StateFetchFailed(relay.FailedFetch{
			Kind: catalog.KindConfiguration, Source: "edge-2", Took: 1234 * time.Millisecond,
			Err: &relay.FetchError{Failure: relay.FetchStalled, Received: 4096, Err: errors.New("cause")},
		})
	})
	for _, field := range []string{
		"event=state_fetch_failed", "kind=configuration", "source=edge-2", "reason=stalled", "error=cause", "took_ms=1234", "received=4096",
	} {
		require.Contains(t, lines, field)
	}
	require.EqualValues(t, 1, instance.metrics.fetchFailures.Get(int(relay.FetchStalled)))
	require.EqualValues(t, 4096, instance.metrics.lostFetchBytes.Load())
}

// Guards against failed calls to the store whose log line does not tell a slow transfer from
// a silent store.
func TestFailedStoreCallsAreLoggedAndCounted(t *testing.T) {
	refused := errors.New("status 503")
	for reason, err := range map[string]error{
		"other":       refused,
		"interrupted": &transfer.Error{Received: 512, Err: refused},
		"no_response": &transfer.Error{Err: &transfer.TimeoutError{Limit: transfer.LimitHeader}},
		"stalled":     &transfer.Error{Received: 512, Err: &transfer.TimeoutError{Limit: transfer.LimitStall}},
		"too_slow":    &transfer.Error{Received: 512, Err: &transfer.TimeoutError{Limit: transfer.LimitTotal}},
	} {
		lines, instance := logged(t, func(instance *Instance) {
			instance.logFailedCall(catalog.Unavailable{Kind: catalog.KindConfiguration, Err: err})
		})
		index, received := storeFailure(err)
		require.Equal(t, reason, storeFailureLabels[index])
		require.Contains(t, lines, "event=store_call_failed")
		require.Contains(t, lines, "kind=configuration")
		require.Contains(t, lines, "reason="+reason)
		if received > 0 {
			require.Contains(t, lines, "received=512")
		}
		require.EqualValues(t, 1, instance.metrics.storeFailures.Get(int(catalog.KindConfiguration)*len(storeFailureLabels)+index))
	}
}
