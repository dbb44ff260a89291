package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/hedge"
)

// openTwice opens a flow whose extra attempt reaches a second upstream, and lets the caller
// accept the answer of the first one, which comes before that of the second.
func openTwice(t *testing.T) (f *fixture, first, second *catalog.Entry) {
	f = newHedgeFixture(t, 1, upstream(1), upstream(2))
	h := f.overdue(1)
	require.Equal(t, h.First, f.send(1, h.First.Cookie, 1, 5001, 0).Upstream)
	return f, h.First, h.Second
}

// Guards against packets of an open flow that go to another upstream because that one, too,
// answered the opening packet: the caller returns the cookie that it received last.
func TestOpenFlowStaysWhenASecondUpstreamAnswers(t *testing.T) {
	f, first, second := openTwice(t)
	for _, p := range [][3]uint32{{1, 5001, 100}, {101, 5401, 0}, {101, 5401, 100}} {
		f.now = f.now.Add(time.Millisecond)
		decision := f.send(1, second.Cookie, p[0], p[1], int(p[2]))
		require.Equal(t, Forward, decision.Action)
		require.Equal(t, first.ID, decision.Upstream.ID)
	}
	require.Equal(t, 1, f.engine.loadOf(first.Cookie).flows)
	require.Zero(t, f.engine.loadOf(second.Cookie).flows)
}

// Guards against resets of an open flow when the second upstream that answered its opening
// packet ends, or is not known here.
func TestOpenFlowIsNotResetWhenASecondUpstreamEnds(t *testing.T) {
	f, first, second := openTwice(t)
	f.send(1, second.Cookie, 1, 5001, 100)
	f.now = f.now.Add(time.Millisecond)
	result := evidence.ProbeResult{Upstream: second, Outcome: evidence.ProbeRefused, Started: f.now}
	require.Empty(t, f.engine.HandleProbeResult(f.now, result).Resets)
	for _, cookie := range []flowcookie.Cookie{second.Cookie, 0x12345678} {
		f.advance(4 * time.Second)
		decision := f.engine.Decide(f.now, &Packet{Flow: caller(1), Cookie: cookie, Seq: 1001, Ack: 5001, Data: 100})
		require.Equal(t, "forward", decision.Action.String())
		require.Equal(t, first.ID, decision.Upstream.ID)
	}
}

// Guards against packets of a new flow on a reused port that go to the upstream of the
// earlier flow, and against a caller's reset of the second answer that ends the open flow.
func TestOtherFlowsFollowTheirCookies(t *testing.T) {
	f, first, second := openTwice(t)
	reset := f.engine.Decide(f.now, &Packet{Flow: caller(1), Reset: true, Cookie: second.Cookie, Seq: 1001, Ack: 77})
	require.Equal(t, second, reset.Upstream)
	require.Equal(t, first, f.send(1, second.Cookie, 1, 5001, 100).Upstream)
	for _, p := range []Packet{{Seq: 1 << 20, Ack: 5001}, {Seq: 1001, Ack: 1 << 20}} {
		f, first, second = openTwice(t)
		p.Flow, p.Cookie = caller(1), second.Cookie
		require.Equal(t, second, f.engine.Decide(f.now, &p).Upstream)
		require.Equal(t, 1, f.engine.loadOf(second.Cookie).flows)
		require.Zero(t, f.engine.loadOf(first.Cookie).flows)
	}
}

// Guards against a record that an instance of an earlier version handed over with the wrong
// upstream and that outweighs the cookie.
func TestCookieOutweighsHandedOverRecord(t *testing.T) {
	f, first, second := openTwice(t)
	f.engine.ImportFlows(f.now, []HandoverFlow{{Flow: caller(1), Cookie: second.Cookie, Ack: 5001, DataEnd: 1001}})
	require.Equal(t, first, f.send(1, first.Cookie, 1, 5001, 100).Upstream)
	require.Equal(t, first, f.send(1, first.Cookie, 101, 5401, 0).Upstream)
	require.Equal(t, first, f.send(1, second.Cookie, 101, 5401, 100).Upstream)
}

// Guards against resets that rest on the record alone: the upstream by the cookie serves.
func TestCookieOutweighsRecordOfAnEndedUpstream(t *testing.T) {
	f, first, second := openTwice(t)
	require.True(t, f.refuseTwice(first.ID).Failed)
	f.send(1, first.Cookie, 1, 5001, 0)
	require.Equal(t, second, f.send(1, second.Cookie, 1, 5001, 100).Upstream)
}

// Guards against late copies of the opening packet of an open flow that reach another upstream,
// which answers or resets the flow, or that this instance resets.
func TestLateCopyOfAnOpenFlowGoesToItsUpstream(t *testing.T) {
	for name, seen := range map[string]bool{"opened through this instance": true, "opened through another instance": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, upstream(1), upstream(2), upstream(3))
			opened := f.establish(1)
			if !seen {
				f.engine.removeFlow(caller(1))
				f.send(1, opened.Cookie, 1, 1, 0)
				f.open(2, 0)
			}
			f.send(1, opened.Cookie, 1, 1, 100)
			f.now = f.now.Add(openTimeout)
			require.Equal(t, opened.ID, f.open(1, 1).Upstream.ID)
			require.True(t, f.engine.flows.get(caller(1)).answered)

			for n := 1; n <= 3; n++ {
				leaving := upstream(n)
				leaving.Draining = true
				f.updateUpstream(leaving)
			}
			decision := f.open(1, 2)
			require.Equal(t, "forward", decision.Action.String())
			require.Equal(t, opened.ID, decision.Upstream.ID)

			f.removeUpstream(opened.ID)
			f.advance(10 * time.Second)
			for range 2 {
				f.engine.CancelProbe(evidence.Probe{Upstream: opened})
				decision = f.open(1, 2)
			}
			require.Equal(t, Drop, decision.Action, "the flow's next packet is reset")
		})
	}
}

// Guards against a new flow on a reused port that is taken for a copy of the earlier one.
func TestReusedPortOpensANewFlow(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.establish(1)
	f.engine.Decide(f.now, &Packet{Flow: caller(1), Open: true, Seq: 1010})
	require.False(t, f.engine.flows.get(caller(1)).answered)
	f.engine.removeFlow(caller(1))
	f.send(1, upstreamCookie(1), 1, 1, 0)
	f.engine.Decide(f.now, &Packet{Flow: caller(1), Open: true, Seq: 1000 + 1<<20})
	require.False(t, f.engine.flows.get(caller(1)).answered)
}

func upstreamCookie(n int) flowcookie.Cookie { return flowcookie.Of(upstream(n).ID, 1000) }

// Guards against two answers to one opening packet whose copies are decided together, after a
// pause of the instance or with its first snapshot: the first upstream had no time to answer.
func TestCopiesDecidedTogetherGoToOneUpstream(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2), upstream(3))
	first := f.open(1, 0).Upstream
	f.now = f.now.Add(time.Millisecond)
	require.Equal(t, first.ID, f.open(1, 1).Upstream.ID)
	require.Equal(t, 1, f.engine.loadOf(first.Cookie).flows)

	leaving := upstream(int(first.Token))
	leaving.Draining = true
	f.updateUpstream(leaving)
	second := f.open(1, 1).Upstream
	require.NotEqual(t, first.ID, second.ID, "the first one takes no new flows any more")
	f.now = f.now.Add(openTimeout)
	require.NotContains(t, []string{first.ID, second.ID}, f.open(1, 2).Upstream.ID, "both had time to answer")
}

// Guards against extra attempts for flows that were opened through another instance meanwhile,
// because the routers move flows: the second answer would reach the caller of an open flow.
func TestNoExtraAttemptWhileFlowsMove(t *testing.T) {
	for name, test := range map[string]struct {
		packet Packet
		sent   bool
	}{
		"request of a flow opened elsewhere": {Packet{Seq: 5, Ack: 5, Data: 100}, false},
		"last packet of a closed flow":       {Packet{Seq: 5, Ack: 5}, true},
	} {
		f := newHedgeFixture(t, 1, upstream(1), upstream(2), upstream(3))
		f.open(1, 0)
		f.now = f.now.Add(time.Millisecond)
		test.packet.Flow, test.packet.Cookie = caller(2), upstreamCookie(3)
		f.engine.Decide(f.now, &test.packet)
		due, _ := f.engine.NextHedge()
		f.now = due
		hedges := f.engine.TakeHedges(f.now, nil)
		require.Len(t, hedges, 1)
		require.Equal(t, test.sent, hedges[0].Result == hedge.Sent, name)
		require.Equal(t, hedge.Sent, f.overdue(3).Result, "the flow was opened after the others had moved")
	}
}

// Guards against a record that outweighs the cookie although its first packet here may have had
// the cookie of the upstream that the caller did not accept.
func TestRecordOfAFlowOpenedElsewhereNeedsProgress(t *testing.T) {
	for name, opening := range map[string]bool{"without opening packet": false, "with a late opening packet": true} {
		f := newFixture(t, upstream(1), upstream(2))
		if opening {
			f.open(1, 0)
		}
		first, second := f.engine.snapshot.Resolve(upstreamCookie(1)), f.engine.snapshot.Resolve(upstreamCookie(2))
		require.Equal(t, second, f.send(1, second.Cookie, 101, 5401, 100).Upstream, name)
		require.Equal(t, first, f.send(1, first.Cookie, 101, 5401, 100).Upstream, name)
		require.Equal(t, second, f.send(1, second.Cookie, 101, 5401, 100).Upstream, name)
		require.Equal(t, second, f.send(1, second.Cookie, 201, 5801, 0).Upstream, name)
		require.Equal(t, second, f.send(1, first.Cookie, 201, 5801, 100).Upstream, "its answer was acknowledged")
	}
}
