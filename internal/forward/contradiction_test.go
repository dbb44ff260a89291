package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// probeTook is the time after which a probe without an answer ends.
const probeTook = 220 * time.Millisecond

// peerAnswer is an answer of i-1 that a peer has had at a time after the start of a probe. The
// peer's message arrives late by delay, and names the report by its number.
type peerAnswer struct {
	after, delay time.Duration
	report       uint64
}

// silentProbe lets a probe of i-1, which this instance reports under a number, have no answer
// while i-2 answers one, and hands it contradictions of a peer in the order of their arrival.
func (f *fixture) silentProbe(report uint64, answers ...peerAnswer) ProbeEffect {
	f.t.Helper()
	cookie := f.catalogCookie("i-1")
	f.engine.RequestProbe(f.now, cookie, evidence.TriggerRepeat)
	probes := f.engine.TakeProbes()
	require.Len(f.t, probes, 1)
	started := f.now
	f.advance(evidence.LateProbeAfter)
	require.True(f.t, f.engine.HandleLateProbe(f.now, probes[0]))
	f.engine.TakeProbes()
	f.engine.RecordSilenceReport(f.now, report, "i-1", 1000)
	f.answerProbe(2)
	for _, answer := range answers {
		// The peer sends the message at the later of its answer and the report.
		answered, sent := started.Add(answer.after), started.Add(max(answer.after, evidence.LateProbeAfter))
		f.engine.HandleContradiction(sent.Add(answer.delay), evidence.Contradiction{ID: "i-1", Born: 1000, Age: sent.Sub(answered), Report: answer.report})
	}
	f.advance(probeTook - evidence.LateProbeAfter)
	return f.engine.HandleProbeResult(f.now, evidence.ProbeResult{
		Upstream: probes[0].Upstream, Outcome: evidence.ProbeSilent, Trigger: probes[0].Trigger, Started: started,
	})
}

// Guards against resets of the open flows of an upstream with a full accept queue, or whose
// probes this instance loses, although a peer has had an answer since the probe began.
func TestAnswerOfAPeerContradictsSilence(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := f.catalogCookie("i-1")
	f.send(4001, cookie, 1, 1, 0)
	for report := range uint64(4) {
		f.advance(time.Second)
		effect := f.silentProbe(report, peerAnswer{after: 133 * time.Millisecond, delay: time.Millisecond, report: report})
		require.Empty(t, effect.Resets)
		require.True(t, effect.Inconclusive)
		require.Equal(t, 86*time.Millisecond, effect.Grounds.Contradicted)
		require.True(t, f.engine.Unreachable(cookie), "new flows avoid the upstream")
		require.Equal(t, Forward, f.send(4001, cookie, 1, 1, 100).Action)
	}
}

// Guards against flows of a crashed upstream that wait without end because of what peers had
// before: answers older than the probe, and messages that were held up. The next probe, which begins at once, decides.
func TestOldAnswersDoNotContradictSilence(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		answer peerAnswer
		// delayed says whether the first verdict is withheld.
		delayed bool
	}{
		"before the probe":                    {peerAnswer{-20 * ms, ms, 7}, false},
		"at its start, a slow network":        {peerAnswer{0, 3 * ms, 7}, false},
		"to an earlier report, held up":       {peerAnswer{-700 * ms, 800 * ms, 6}, false},
		"before the probe, in a late message": {peerAnswer{-20 * ms, 150 * ms, 7}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, upstream(1), upstream(2))
			f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
			f.advance(time.Second)
			require.Equal(t, tc.delayed, !f.silentProbe(7, tc.answer).Failed)
			if tc.delayed {
				require.Len(t, f.silentProbe(8, tc.answer).Resets, 1)
			}
		})
	}
}

// Guards against resets by the instances that probe because of the report of another one: the
// reporter tells them what it learns, from peers or from its own flows.
func TestContradictionReachesAllThatProbe(t *testing.T) {
	for name, learn := range map[string]func(*fixture){
		"from its own flow": func(f *fixture) { f.engine.RecordAnswer(f.now, f.catalogCookie("i-1")) },
		"from a peer": func(f *fixture) {
			f.engine.HandleContradiction(f.now, evidence.Contradiction{ID: "i-1", Born: 1000, Report: 7})
		},
	} {
		t.Run(name, func(t *testing.T) {
			reporter := newFixture(t, upstream(1), upstream(2))
			reporter.engine.RecordSilenceReport(reporter.now, 7, "i-1", 1000)
			reporter.advance(90 * time.Millisecond)
			require.Empty(t, reporter.engine.TakeContradictions(reporter.now))
			learn(reporter)
			reporter.advance(10 * time.Millisecond)
			due := reporter.engine.TakeContradictions(reporter.now)
			require.Equal(t, []evidence.Contradiction{{ID: "i-1", Born: 1000, Age: 10 * time.Millisecond, Report: 7}}, due)

			f := newFixture(t, upstream(1), upstream(2))
			f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
			f.advance(time.Second)
			f.engine.HandleQuestion(f.now, "edge-a-2", 7, "i-1", 1000)
			f.engine.HandleSilenceReport(f.now, "i-1", 1000)
			probe, started := f.engine.TakeProbes()[0], f.now
			f.advance(100 * time.Millisecond)
			f.answerProbe(2)
			due[0].Reporter = "edge-a-2"
			f.engine.HandleContradiction(f.now, due[0])
			require.Empty(t, f.engine.TakeContradictions(f.now), "only the reporter passes on what others had")
			f.advance(probeTook - 100*time.Millisecond)
			result := evidence.ProbeResult{Upstream: probe.Upstream, Outcome: evidence.ProbeSilent, Trigger: probe.Trigger, Started: started}
			require.Empty(t, f.engine.HandleProbeResult(f.now, result).Resets)

			f.advance(time.Second)
			f.engine.HandleContradiction(f.now, due[0])
			require.Equal(t, 1130*time.Millisecond, f.engine.Grounds(f.now, probe.Upstream).Contradicted, "the report is too old")
		})
	}
}

// Guards against refused probes that count for less because a peer had an answer: the port is
// closed, whatever the flows of others show.
func TestAnswersOfPeersDoNotContradictRefusals(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.send(4001, f.catalogCookie("i-1"), 1, 1, 0)
	f.advance(time.Second)
	f.engine.HandleQuestion(f.now, "edge-a-2", 7, "i-1", 1000)
	f.engine.HandleContradiction(f.now.Add(20*time.Millisecond), evidence.Contradiction{ID: "i-1", Born: 1000, Reporter: "edge-a-2", Report: 7})
	require.True(t, f.refuseTwice("i-1").Failed)
}

// Guards against messages about incarnations that have gone, or that arrive before the first
// snapshot, which must not stop an instance.
func TestContradictionsAboutUnknownUpstreamsAreIgnored(t *testing.T) {
	empty := evidence.New()
	empty.HandleQuestion(time.Now(), "edge-a-2", 7, "i-1", 1000)
	empty.HandleContradiction(time.Now(), evidence.Contradiction{ID: "i-1", Born: 1000, Reporter: "edge-a-2", Report: 7})
	require.Empty(t, empty.TakeContradictions(time.Now()))
	f := newFixture(t, upstream(1))
	f.engine.HandleQuestion(f.now, "edge-a-2", 7, "i-1", 999)
	f.engine.HandleContradiction(f.now, evidence.Contradiction{ID: "i-1", Born: 999, Reporter: "edge-a-2", Report: 7})
	f.send(4001, flowcookie.Of("i-1", 999), 1, 1, 0)
	require.Empty(t, f.engine.TakeContradictions(f.now))
}

// Guards against a reporter that learns nothing of the answers that others have: those shortly
// before the question, those that follow it, and accepted probes, one for each question.
func TestAnswersContradictQuestions(t *testing.T) {
	const ms = time.Millisecond
	flow := func(f *fixture) { f.engine.RecordAnswer(f.now, f.catalogCookie("i-1")) }
	probe := func(f *fixture) { f.answerProbe(1) }
	for name, tc := range map[string]struct {
		answer func(*fixture)
		// at is the time of the answer after the question.
		at   time.Duration
		want int
	}{
		"a flow just before":    {flow, -15 * ms, 1},
		"a flow that long ago":  {flow, -25 * ms, 0},
		"a flow afterwards":     {flow, 130 * ms, 1},
		"a flow after the end":  {flow, 300 * ms, 0},
		"a probe afterwards":    {probe, 10 * ms, 1},
		"a probe long before":   {probe, -25 * ms, 0},
		"no answer of any sort": {func(*fixture) {}, 10 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, upstream(1), upstream(2))
			f.advance(time.Second)
			asked := f.now
			if tc.at < 0 {
				f.now = asked.Add(tc.at)
				tc.answer(f)
				f.now = asked
			}
			f.engine.HandleQuestion(f.now, "edge-a-2", 7, "i-1", 1000)
			f.now = f.now.Add(ms)
			f.engine.HandleQuestion(f.now, "edge-a-2", 8, "i-1", 1000)
			if tc.at > 0 {
				require.Empty(t, f.engine.TakeContradictions(f.now))
				f.now = asked.Add(tc.at)
				tc.answer(f)
				f.now = f.now.Add(ms)
			}
			found := f.engine.TakeContradictions(f.now)
			require.Len(t, found, tc.want)
			if tc.want > 0 {
				want := evidence.Contradiction{ID: "i-1", Born: 1000, Age: ms - min(tc.at, 0), Reporter: "edge-a-2", Report: 7}
				require.Equal(t, want, found[0])
			}
			require.Empty(t, f.engine.TakeContradictions(f.now), "at most one in 100 ms")
			f.now = f.now.Add(100 * ms)
			require.Empty(t, f.engine.TakeContradictions(f.now), "none without a new answer")
		})
	}
}

// Guards against peers whose probes began after the first contradiction and that learn of no
// later answer.
func TestLaterAnswersContradictAgain(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	f.advance(time.Second)
	f.engine.RecordAnswer(f.now, f.catalogCookie("i-1"))
	f.engine.HandleQuestion(f.now, "edge-a-2", 7, "i-1", 1000)
	sent := 0
	for range 40 {
		f.now = f.now.Add(10 * time.Millisecond)
		sent += len(f.engine.TakeContradictions(f.now))
		f.engine.RecordAnswer(f.now, f.catalogCookie("i-1"))
	}
	require.Equal(t, 3, sent)
}
