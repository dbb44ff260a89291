package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
)

// inDomains returns upstreams 1 to count, spread over the failure domains in turn.
func inDomains(count int, domains ...string) []catalog.Upstream {
	upstreams := make([]catalog.Upstream, count)
	for i := range upstreams {
		upstreams[i] = upstream(i + 1)
		upstreams[i].FailureDomain = domains[i%len(domains)]
	}
	return upstreams
}

// result passes the result of a probe of upstream n to the engine.
func (f *fixture) result(n int, outcome evidence.ProbeOutcome, started time.Time) ProbeEffect {
	f.t.Helper()
	entry := f.engine.snapshot.Resolve(f.catalogCookie(upstream(n).ID))
	require.NotNil(f.t, entry)
	return f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: entry, Outcome: outcome, Trigger: evidence.TriggerReport, Started: started})
}

// Guards against a reset whose log line does not show that the instance itself is slow: with
// the fields about the upstream alone, a silent upstream and a slow observer look the same.
func TestGroundsShowThePathOfThisInstance(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b")...)
	began := f.now
	f.advance(40 * time.Millisecond)
	f.result(1, evidence.ProbeAlive, began)
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(180 * time.Millisecond)
	f.result(3, evidence.ProbeSilent, began)
	grounds := f.result(4, evidence.ProbeSilent, began).Grounds
	require.Equal(t, 1, grounds.PathAnswered)
	require.Equal(t, 2, grounds.PathUnanswered)
	require.Equal(t, 180*time.Millisecond, grounds.PathSlow)
	require.Equal(t, 180*time.Millisecond, grounds.Reached)
}
