package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
)

// Guards against resets by the first results of many probes without an answer: those that are
// still under way are as silent, but do not count yet.
func TestFirstResultsOfManySilentProbesProveNothing(t *testing.T) {
	f := newFixture(t, inDomains(60, "a", "b", "c")...)
	f.advance(time.Second)
	for n := 1; n <= 40; n++ {
		f.send(4000+n, f.catalogCookie(upstream(n).ID), 1, 1, 0)
	}
	f.advance(time.Second)
	began := f.now
	for n := 1; n <= 40; n++ {
		f.engine.RequestProbe(f.now, f.catalogCookie(upstream(n).ID), evidence.TriggerUnanswered)
	}
	probes := f.engine.TakeProbes()
	require.Len(t, probes, 40)
	f.advance(evidence.LateProbeAfter)
	for _, probe := range probes {
		f.engine.HandleLateProbe(f.now, probe)
	}
	f.engine.TakeProbes()
	f.advance(30 * time.Millisecond)
	f.result(60, evidence.ProbeAlive, f.now)
	f.advance(160 * time.Millisecond)
	resets := 0
	for n := 1; n <= 40; n++ {
		resets += len(f.result(n, evidence.ProbeSilent, began).Resets)
	}
	require.Zero(t, resets)
}

// Guards against resets by a single lost probe of a draining upstream that has closed its port:
// no request was left unanswered.
func TestLostProbeAfterARefusalResetsNoFlowsThatAreServed(t *testing.T) {
	f := newFixture(t, inDomains(6, "a", "b", "c")...)
	cookie := f.catalogCookie("i-1")
	f.send(4001, cookie, 1, 1, 0)
	leaving := upstream(1)
	leaving.Draining = true
	f.updateUpstream(leaving)
	f.advance(3 * time.Second)
	require.Empty(t, f.refuse("i-1").Resets)
	f.advance(600 * time.Millisecond)
	began := f.now
	f.result(2, evidence.ProbeAlive, f.now)
	f.advance(220 * time.Millisecond)
	require.Empty(t, f.result(1, evidence.ProbeSilent, began).Resets)
	f.requireServes(4001, cookie)
}

// Guards against resets of the flows of a draining upstream because of an answer of the store
// that took seconds to arrive over a slow link: the drain began after it was written.
func TestAnswerOfTheStoreThatArrivedSlowlyDoesNotExcludeADrain(t *testing.T) {
	f := newFixture(t, upstream(1), upstream(2))
	cookie := f.catalogCookie("i-1")
	f.send(4001, cookie, 1, 1, 0)
	began := f.now
	f.now = f.now.Add(5 * time.Second)
	f.apply(catalog.Confirmed{Kind: catalog.KindUpstreams, Revision: f.revision, Began: began})
	require.Empty(t, f.refuse("i-1").Resets)
	f.now = f.now.Add(60 * time.Millisecond)
	require.Empty(t, f.refuse("i-1").Resets)
	f.requireServes(4001, cookie)
}

// probeRounds lets silent upstreams leave their probes unanswered and the others answer probes
// and flows, and returns the time until all silent ones are found to have failed.
func (f *fixture) probeRounds(total, silent int, limit time.Duration) time.Duration {
	f.t.Helper()
	type running struct {
		probe    evidence.Probe
		started  time.Time
		reported bool
	}
	var probes []*running
	isSilent := func(entry *catalog.Entry) bool { return int(entry.Token) <= silent }
	began, failed := f.now, 0
	for n := 1; n <= silent; n++ {
		f.engine.RecordTrigger(f.now, f.catalogCookie(upstream(n).ID), evidence.TriggerRepeat)
	}
	for failed < silent && f.now.Sub(began) < limit {
		for _, p := range f.engine.TakeProbes() {
			probes = append(probes, &running{probe: p, started: f.now.Add(p.Delay)})
		}
		f.advance(5 * time.Millisecond)
		for n := silent + 1; n <= total; n++ {
			f.engine.RecordAnswer(f.now, f.catalogCookie(upstream(n).ID))
		}
		left := probes[:0:0]
		for _, p := range probes {
			took, outcome := f.now.Sub(p.started), evidence.ProbeAlive
			if isSilent(p.probe.Upstream) {
				outcome = evidence.ProbeSilent
			}
			switch {
			case outcome == evidence.ProbeAlive && took >= 0, took >= 220*time.Millisecond:
				if f.engine.HandleProbeResult(f.now, evidence.ProbeResult{Upstream: p.probe.Upstream, Outcome: outcome, Trigger: p.probe.Trigger, Started: p.started}).FirstFailure {
					failed++
				}
				continue
			case took >= evidence.LateProbeAfter && !p.reported:
				p.reported = true
				f.engine.HandleLateProbe(f.now, p.probe)
			}
			left = append(left, p)
		}
		probes = left
		f.engine.RequestRetryProbes(f.now)
	}
	f.t.Logf("%d of %d silent upstreams have failed after %v", failed, silent, f.now.Sub(began))
	return f.now.Sub(began)
}

// Guards against flows that wait for upstreams of a crashed machine, because an instance that
// reaches all others takes its own path for the reason.
func TestFailureOfManyInSeveralDomainsIsProvenSoon(t *testing.T) {
	for name, tc := range map[string]struct {
		total, silent int
		domains       []string
	}{
		"a third of three domains": {60, 20, []string{"a", "b", "c"}},
		"half of three domains":    {60, 30, []string{"a", "b", "c"}},
		"half of one domain":       {40, 20, []string{"a"}},
		"two of three upstreams":   {3, 2, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, inDomains(tc.total, tc.domains...)...)
			f.advance(time.Second)
			require.LessOrEqual(t, f.probeRounds(tc.total, tc.silent, 20*time.Second), 1300*time.Millisecond)
		})
	}
}
