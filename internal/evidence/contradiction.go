package evidence

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// questionFor is how long answers contradict a silence report: a probe without an answer
	// ends 220 ms after its start, and its report follows the start by LateProbeAfter.
	questionFor = 250 * time.Millisecond
	// contradictionInterval is the least time between two questions of one reporter about
	// one upstream, and between two contradictions of one report.
	contradictionInterval = 100 * time.Millisecond
	// maxQuestions is the maximum number of questions kept; further ones are ignored. That
	// many upstreams are reported by five instances at once within their rate.
	maxQuestions = 256
	// contradictionMargin is the least time from the start of a probe to an answer that
	// contradicts its silence: messages take less to arrive.
	contradictionMargin = 5 * time.Millisecond
)

// Contradiction says that an instance has had an answer from an upstream whose silence another
// one has reported, as the refutation of a suspicion does in SWIM (Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
// DSN 2002). There the suspected member itself refutes; upstreams know nothing of instances, so
// that their answers to others do here.
type Contradiction struct {
	// ID and Born identify the incarnation of the upstream. Born is its start in Unix
	// milliseconds.
	ID   string
	Born int64
	// Age is the time from the answer to the sending of the message; a negative one counts
	// as 0.
	Age time.Duration
	// Reporter is the name of the instance that reported the silence, empty for this one, and
	// Report the number that it gave to the report.
	Reporter string
	Report   uint64
}

// question is a report that an upstream is silent, by a peer or by this instance, which answers
// of the upstream contradict.
type question struct {
	cookie   flowcookie.Cookie
	id       string
	born     int64
	reporter string
	report   uint64
	askedAt  time.Time
	// answeredAt is the time of the last answer that TakeContradictions has returned, or at
	// first the one before which answers say nothing; returnedAt is when it did.
	answeredAt, returnedAt time.Time
}

// HandleQuestion records that a peer reported an upstream as silent and wants to know whether it
// answers others. It is ignored for an upstream that is unknown or replaced, and within
// contradictionInterval after another one by the same reporter.
func (t *Tracker) HandleQuestion(now time.Time, reporter string, report uint64, id string, born int64) {
	cookie := flowcookie.Of(id, born)
	if t.snapshot == nil {
		return
	}
	if entry := t.snapshot.Resolve(cookie); entry == nil || entry.Replaced {
		return
	}
	t.forgetQuestions(now)
	asked := func(q question) bool {
		return q.cookie == cookie && q.reporter == reporter && now.Sub(q.askedAt) < contradictionInterval
	}
	if len(t.questions) < maxQuestions && !slices.ContainsFunc(t.questions, asked) {
		t.questions = append(t.questions, question{
			cookie: cookie, id: id, born: born, reporter: reporter, report: report, askedAt: now, answeredAt: now.Add(-reportContradicted),
		})
	}
}

// RecordSilenceReport records that this instance tells its peers under the given number that an
// upstream is silent. They probe it as well, so that answers which it or others have had
// since are due to all of them.
func (t *Tracker) RecordSilenceReport(now time.Time, report uint64, id string, born int64) {
	t.HandleQuestion(now, "", report, id, born)
}

// TakeContradictions returns the contradictions that are due: those of peers' reports, for the
// reporter, of upstreams that have answered a flow or a probe of this instance since
// reportContradicted before the question; and those of this instance's own reports, for all
// peers, which rest on the answers that peers have had as well. A later answer contradicts the
// same report again, because some peers begin their probes later.
func (t *Tracker) TakeContradictions(now time.Time) []Contradiction {
	t.forgetQuestions(now)
	var due []Contradiction
	for i := range t.questions {
		q := &t.questions[i]
		state := t.upstreams[q.cookie]
		if state == nil || now.Sub(q.returnedAt) < contradictionInterval {
			continue
		}
		answered := latest(state.answeredAt, state.probe.aliveSince)
		if q.reporter == "" {
			answered = latest(answered, state.peersAnsweredAt)
		}
		if answered.After(q.answeredAt) {
			q.answeredAt, q.returnedAt = answered, now
			due = append(due, Contradiction{ID: q.id, Born: q.born, Age: max(now.Sub(answered), 0), Reporter: q.reporter, Report: q.report})
		}
	}
	return due
}

// forgetQuestions removes the questions older than questionFor. They are in the order of askedAt.
func (t *Tracker) forgetQuestions(now time.Time) {
	for len(t.questions) > 0 && now.Sub(t.questions[0].askedAt) > questionFor {
		t.questions = t.questions[1:]
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleContradiction records an answer of an upstream that a peer has had. The time of the
// answer is receivedAt, when the message arrived, less its age, so that a message which is held
// up makes the answer look newer by that time. Therefore only a contradiction of a report that
// this instance sent or received within questionFor before counts, which bounds the error to
// questionFor at the reporter, and at its peers to twice that unless the report was late as well.
// The same holds for answers that callers acknowledge with their next requests, up to
// AnswerWindow later. Verdicts about an upstream that has ended are withheld only if their probes
// began within these times after its last answer, which are at most the first two.
func (t *Tracker) HandleContradiction(receivedAt time.Time, c Contradiction) {
	cookie := flowcookie.Of(c.ID, c.Born)
	asked := func(q question) bool {
		return q.cookie == cookie && q.reporter == c.Reporter && q.report == c.Report && receivedAt.Sub(q.askedAt) <= questionFor
	}
	if slices.ContainsFunc(t.questions, asked) {
		state := t.stateOf(cookie)
		state.peersAnsweredAt = latest(state.peersAnsweredAt, receivedAt.Add(-max(c.Age, 0)))
	}
}

// contradicts reports whether a peer has had an answer since a probe began that was silent. New
// flows then avoid the upstream, and its open flows go on while each further probe is
// contradicted as well. If only the path from this instance to the upstream has failed, they
// wait for their callers' time limits, or until the rotation moves them to another instance.
func (s *upstreamState) contradicts(result ProbeResult) bool {
	return s.peersAnsweredAt.Sub(result.Started) > contradictionMargin
}

// recordContradicted records a silent probe that peers contradict. It is repeated at once,
// because the upstream may have ended since its last answer, and if the last one was contradicted
// as well, as a probe that settled nothing. An upstream already known to have failed stays so.
func (t *Tracker) recordContradicted(now time.Time, result ProbeResult) ProbeEffect {
	state := t.stateOf(result.Upstream.Cookie)
	repeated := now.Sub(state.contradictedAt) < reprobeMax
	state.contradictedAt = now
	if state.probe.failed() {
		state.probe.recordOutcome(now, result.Outcome)
		return ProbeEffect{Inconclusive: true, Contradicted: true}
	}
	state.probe.unsettled = true
	if entry := t.snapshot.Resolve(result.Upstream.Cookie); entry != nil && !entry.Replaced && !repeated {
		t.probes = append(t.probes, t.newProbe(now, entry, TriggerProbeFailed))
	}
	return ProbeEffect{Inconclusive: true, Contradicted: true}
}
