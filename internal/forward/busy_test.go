package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/evidence"
)

// Guards against resets of the open flows of a busy upstream that resets the connection of a
// probe, and against new flows to it meanwhile.
func TestResetConnectionResetsNoFlows(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	entry := f.establish(1)
	f.advance(time.Second)
	f.answerProbe(2)
	result := evidence.ProbeResult{Upstream: entry, Outcome: evidence.ProbeReset, Started: f.now}
	effect := f.engine.HandleProbeResult(f.now, result)
	require.True(t, effect.Inconclusive)
	require.Empty(t, effect.Resets)
	require.Equal(t, Forward, f.send(1, entry.Cookie, 1, 1, 100).Action)
	require.True(t, f.engine.IsSuspect(f.now, entry.Cookie))
}
