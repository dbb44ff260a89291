package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Pattern: rolling restart, then an upstream silent. Guards against flows whose
// callers are idle and that nobody remembers after a restart: the next request,
// which may be one that must not be repeated, is lost.
func TestFlowsOfAnInstanceThatLeftAreEndedByAnother(t *testing.T) {
	left, stays := newFixture(t, upstream(1)), newFixture(t, upstream(1))
	cookie := left.establish(1).Cookie
	left.answer(1, cookie)
	left.wait(time.Second)
	stays.wait(time.Second)
	require.Equal(t, 1, stays.engine.Import(stays.now, left.engine.Export(left.now)))
	require.Equal(t, 1, stays.engine.statsOf(cookie).flows)

	stays.engine.suspect(stays.now, cookie, SignStall)
	probe := stays.engine.TakeProbes()[0]
	reset := stays.engine.Probed(stays.now, ProbeResult{Upstream: probe.Upstream, Verdict: VerdictSilent, Started: stays.now})
	require.Len(t, reset.Flows, 1)
	require.Equal(t, caller(1), reset.Flows[0].Flow)
	require.EqualValues(t, 400, reset.Flows[0].Ack, "the reset must lie in the caller's window")
}

// Guards against old knowledge that replaces newer, against flows that are
// counted twice, and against opening packets that nothing answered.
func TestHandedOverFlowsDoNotReplaceNewerKnowledge(t *testing.T) {
	left, stays := newFixture(t, upstream(1)), newFixture(t, upstream(1))
	cookie := left.establish(1).Cookie
	left.answer(1, cookie)
	left.open(2, 0)
	left.wait(time.Second)
	stays.wait(time.Second)
	stays.send(1, cookie, 201, 900, 100)
	states := left.engine.Export(left.now)
	require.Len(t, states, 1)
	require.Zero(t, stays.engine.Import(stays.now, states))
	require.EqualValues(t, 900, stays.engine.flows.get(caller(1)).ack)

	states[0].Idle = 0
	stays.now = stays.now.Add(time.Millisecond)
	require.Equal(t, 1, stays.engine.Import(stays.now, states))
	require.Equal(t, 1, stays.engine.statsOf(cookie).flows)
	require.Equal(t, 1, stays.engine.Flows())
}

// Guards against a table that grows beyond its bound, and against a message of
// any size.
func TestHandoverIsBounded(t *testing.T) {
	left, stays := newFixture(t, upstream(1)), newFixture(t, upstream(1))
	left.engine.flows.limit, stays.engine.flows.limit = 2*maxExported, 100
	var states []FlowState
	for port := range maxExported + 10 {
		states = append(states, FlowState{Flow: caller(port), Cookie: flowcookie.Of("i-1", 1000)})
	}
	require.Equal(t, len(states), left.engine.Import(left.now, states))
	states = left.engine.Export(left.now)
	require.Len(t, states, maxExported)
	require.Equal(t, 100, stays.engine.Import(stays.now, states))

	left.now = left.now.Add(flowIdle)
	require.Empty(t, left.engine.Export(left.now))
}
