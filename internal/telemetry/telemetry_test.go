package telemetry

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/request"
)

// Guards against a reason without a counter or label, against counting that allocates
// memory, and against a value that is missing from the Prometheus output.
func TestCountersReachPrometheusOutput(t *testing.T) {
	defer goleak.VerifyNone(t)
	m, err := New()
	require.NoError(t, err)
	o := RequestObserver{m}
	for i := range pb.RefusalReason_name {
		m.Refused(pb.RefusalReason(i))
		require.Equal(t, int64(1), m.Refusals(pb.RefusalReason(i)))
	}
	for r := request.RetryReason(1); r < request.RetryReasons; r++ {
		o.Retried(r)
		require.Equal(t, int64(1), m.Retries(r))
	}
	for r := request.DropReason(1); r < request.DropReasons; r++ {
		o.Dropped(r)
		require.Equal(t, int64(1), m.Drops(RequestDropReason(r)))
	}
	o.Refused(&request.ExpiredError{})
	m.Refused(pb.RefusalReason(1000)) // a reason that only newer versions know
	m.Dropped(DropSocketError)
	m.ControlBytes(KindOf(&pb.PeerMessage{Body: &pb.PeerMessage_ObjectPush{}}), Sent, 300)
	m.SetInFlight(3)
	m.SetTrackedFlows(4)
	m.SetBucketsInTransition(5)
	m.SetRevision(6)
	require.Equal(t, int64(300), m.TotalControlBytes(MessageObjectPush, Sent))
	require.Zero(t, testing.AllocsPerRun(100, func() { m.Dropped(DropMalformed); m.ControlBytes(MessageBirth, Received, 6) }))

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`chivemast_refusals_total{reason="expired"} 2`,
		`chivemast_refusals_total{reason="unspecified"} 2`,
		`chivemast_retries_total{reason="silence"} 1`,
		`chivemast_dropped_packets_total{reason="socket"} 1`,
		`chivemast_dropped_packets_total{reason="request_duplicate_part"} 1`,
		`chivemast_control_bytes_total{direction="sent",kind="object_push"} 300`,
		`chivemast_requests_in_flight 3`,
		`chivemast_exceptions 4`,
		`chivemast_buckets_in_transition 5`,
		`chivemast_config_revision 6`,
	} {
		require.Contains(t, strings.Split(w.Body.String(), "\n"), line)
	}
	require.NotContains(t, w.Body.String(), `reason=""`)
	require.NoError(t, m.Shutdown(context.Background()))
}
