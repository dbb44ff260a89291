package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Guards against resets of flows that an upstream accepted after a probe had failed: it has
// started again under its id and has not reported yet, or was cut off for a moment.
func TestFlowOpenedAfterAFailedProbeIsNotReset(t *testing.T) {
	f := newFixture(t, upstream(1))
	cookie := flowcookie.Of("i-1", 1000)
	f.advance(10 * time.Second)
	f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: f.engine.snapshot.Resolve(cookie), Outcome: evidence.ProbeRefused, Started: f.now})
	f.now = f.now.Add(200 * time.Millisecond)
	require.Equal(t, Forward, f.open(4001, 0).Action, "there is no other upstream")
	f.now = f.now.Add(2 * time.Millisecond)
	d := f.send(4001, cookie, 1, 1, 100)
	require.Equal(t, Forward, d.Action, "the caller has the cookie from the upstream's answer: %s", d.Reason)
	require.Equal(t, Forward, f.send(4002, cookie, 1, 1, 100).Action, "a flow that another instance has opened")
}

// Guards against resets of flows that another instance has opened since an upstream started
// again under its id, by one whose probes were refused before that.
func TestRefusalBeforeRestartResetsNoLaterFlow(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	require.True(t, f.refuseTwice("i-1").Failed)
	f.now = f.now.Add(165 * time.Millisecond)
	require.NotEqual(t, Reset, f.send(4001, flowcookie.Of("i-1", 1000), 1, 1, 100).Action)
}
