package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// requireServes requires that an upstream's request on a flow is forwarded and its answer seen.
func (f *fixture) requireServes(port int, cookie flowcookie.Cookie) {
	f.t.Helper()
	require.Equal(f.t, Forward, f.send(port, cookie, 1, 1, 100).Action)
	f.now = f.now.Add(time.Millisecond)
	require.Equal(f.t, Forward, f.send(port, cookie, 101, 400, 0).Action)
}

// Guards against resets of the open flows of an upstream that closes its port at the end
// of a drain of which this instance has not heard yet.
func TestRefusalBeforeTheDrainIsKnownResetsNoFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.send(4001, cookie, 1, 1, 0)
	f.now = f.now.Add(2400 * time.Millisecond)
	require.Empty(t, f.refuse("i-1").Resets)
	f.now = f.now.Add(60 * time.Millisecond)
	f.requireServes(4001, cookie)
}

// Guards against resets of the open flows of a draining upstream whose entry is removed
// after it has closed its port and before it has ended: its call to the store is answered
// late, or the probe that it refused is handled late.
func TestRemovalBeforeTheEndOfTheFlowsResetsNone(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.send(4001, cookie, 1, 1, 0)
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	f.advance(3 * time.Second)
	refused := evidence.ProbeResult{Upstream: f.engine.snapshot.Resolve(cookie), Outcome: evidence.ProbeRefused, Started: f.now}
	f.removeUpstream("i-1")
	f.advance(time.Millisecond)
	require.Empty(t, f.engine.HandleProbeResult(f.now, refused).Resets)
	f.requireServes(4001, cookie)
	f.advance(600 * time.Millisecond)
	require.Empty(t, f.refuse("i-1").Resets)
	f.requireServes(4001, cookie)
}

// Guards against resets of the open flows of a draining upstream that runs on for long
// after it has closed its port: no request was left unanswered.
func TestRefusalsOfADrainingUpstreamResetNoFlowsThatItServes(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.send(4001, cookie, 1, 1, 0)
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	for range 5 {
		f.advance(time.Second)
		require.Empty(t, f.refuse("i-1").Resets)
	}
	f.requireServes(4001, cookie)
}

// Guards against resets of the open flows of a draining upstream whose first refusal follows
// an old failure, here of the network: its flows go on after the failure.
func TestRefusalAfterAnOldFailureResetsNoFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := flowcookie.Of("i-1", 1000)
	f.answerProbe(2)
	silent := evidence.ProbeResult{Upstream: f.engine.snapshot.Resolve(cookie), Outcome: evidence.ProbeSilent, Started: f.now}
	require.True(t, f.engine.HandleProbeResult(f.now, silent).Failed)
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	f.advance(2 * time.Second)
	require.Equal(t, Forward, f.send(4001, cookie, 1, 1, 100).Action)
	require.Empty(t, f.refuse("i-1").Resets)
	f.requireServes(4001, cookie)
}
