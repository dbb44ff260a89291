package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
)

// Guards against resets by an instance that is behind, or was paused, of flows of an upstream
// that another instance has read before it.
func TestFlowOfAnUpstreamThatIsNotKnownYetIsNotReset(t *testing.T) {
	for name, newFixture := range map[string]func(*testing.T, ...catalog.Upstream) *fixture{"earlier format": newFixture, "by id": newFixtureByID} {
		for _, behind := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
			t.Run(name+" "+behind.String(), func(t *testing.T) {
				ahead, f := newFixture(t, upstream(2)), newFixture(t, upstream(1))
				cookie := ahead.establish(4001).IssuedCookie()
				f.advance(10 * time.Second)
				f.now = f.now.Add(behind)
				d := f.send(4001, cookie, 1, 1, 100)
				require.Equal(t, Wait, d.Action, "nothing was heard of the store since the upstream may have started: %s", d.Reason)
				f.updateUpstream(upstream(2))
				require.Equal(t, Forward, f.send(4001, cookie, 1, 1, 100).Action)
			})
		}
	}
}
