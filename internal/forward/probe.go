package forward

import (
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// probeInterval is the least time between two probes of an upstream by one
	// instance.
	probeInterval = 500 * time.Millisecond
	// reprobeMin and reprobeMax bound the pause before a failed probe is
	// repeated; cuts last a few seconds.
	reprobeMin = 900 * time.Millisecond
	reprobeMax = 4 * time.Second
	// aliveFor is how long a successful probe keeps the flows of an upstream
	// that the store no longer lists.
	aliveFor = 2 * time.Second
	// provenFor is how long a conclusive failure ends flows without another
	// probe: a quarter of the time after which the users hold an upstream that
	// was cut off to be in reach again.
	provenFor = time.Second
	// reportContradicted is how recent an answer of the upstream outweighs the
	// word of another instance, which takes a millisecond.
	reportContradicted = 20 * time.Millisecond
	// UnansweredAfter is the time without an answer from which a probe under way
	// counts against its upstream, and others are told: ten times the users'
	// longest round trip.
	UnansweredAfter = 30 * time.Millisecond
)

// Verdict is the outcome of a probe: a connection attempt to the upstream.
type Verdict int

// Verdicts.
const (
	// VerdictAlive: the upstream accepted the connection.
	VerdictAlive Verdict = iota + 1
	// VerdictRefused: its machine runs no process at the address.
	VerdictRefused
	// VerdictSilent: nothing answered.
	VerdictSilent
	// VerdictOther: another upstream answers at the address.
	VerdictOther
)

// Verdicts are the labels of all verdicts, by value.
var Verdicts = []string{"none", "alive", "refused", "silent", "other"}

func (v Verdict) String() string { return Verdicts[v] }

// Probe asks for a connection attempt to an upstream.
type Probe struct {
	Upstream *catalog.Entry
	// Sign says why.
	Sign Sign
	// HealthPath is the path at which the upstream tells its id; empty when the
	// connection alone decides.
	HealthPath string
}

// ProbeResult is the outcome of a Probe.
type ProbeResult struct {
	Upstream *catalog.Entry
	Verdict  Verdict
	Sign     Sign
	// Started is when the attempt began.
	Started time.Time
}

// Reported takes in another instance's word that its probe of an upstream
// failed or has had no answer. This instance probes the upstream itself.
func (e *Engine) Reported(now time.Time, id string, born int64) {
	cookie := flowcookie.Of(id, born)
	if e.view == nil || e.view.Resolve(cookie) == nil || now.Sub(e.statsOf(cookie).answered) < reportContradicted {
		return
	}
	e.wantProbe(now, cookie, SignReport)
}

// probeState is what an engine knows from probes of one upstream.
type probeState struct {
	pending bool
	// late is set from when a probe has had no answer for UnansweredAfter until
	// a conclusive outcome.
	late    bool
	asked   time.Time
	verdict Verdict
	decided time.Time
	// conclusive is when a failure was last beyond doubt.
	conclusive time.Time
	// retryAfter is the pause before a failed probe is repeated.
	retryAfter time.Duration
}

// decide takes in a verdict. Repeated failures double the pause.
func (s *probeState) decide(now time.Time, verdict Verdict) {
	retry := reprobeMin
	if s.failed() {
		retry = min(2*s.retryAfter, reprobeMax)
	}
	s.verdict, s.decided, s.retryAfter, s.late = verdict, now, retry, false
}

// failed tells whether the last probe found no process.
func (s *probeState) failed() bool {
	return s.verdict == VerdictRefused || s.verdict == VerdictSilent || s.verdict == VerdictOther
}

// proven tells whether a failure is recent and beyond doubt. Another upstream at
// the address shows for ever that this one has ended.
func (s *probeState) proven(now time.Time) bool {
	return s.verdict == VerdictOther || (s.failed() && now.Sub(s.conclusive) < provenFor)
}

// alive tells whether a recent probe found the process.
func (s *probeState) alive(now time.Time) bool {
	return s.verdict == VerdictAlive && now.Sub(s.decided) < aliveFor
}

// answered withdraws a failed probe: a packet shows that the upstream lives.
func (s *probeState) answered() {
	s.late = false
	if s.failed() {
		s.verdict = 0
	}
}

// wantProbe asks for a probe of an upstream unless one is under way or was a
// moment ago.
func (e *Engine) wantProbe(now time.Time, cookie flowcookie.Cookie, sign Sign) {
	entry := e.view.Resolve(cookie)
	stats := e.statsOf(cookie)
	if entry == nil || entry.Replaced || stats.probe.pending || now.Sub(stats.probe.asked) < probeInterval {
		return
	}
	stats.probe.pending, stats.probe.asked = true, now
	probe := Probe{Upstream: entry, Sign: sign}
	// Another upstream may have the address of one that failed or left.
	if service := e.view.Service(entry.Service); service != nil && (stats.trial || !entry.RemovedAt.IsZero()) {
		probe.HealthPath = service.HealthPath
	}
	e.probes = append(e.probes, probe)
}

// TakeProbes returns the probes that are wanted and forgets them.
func (e *Engine) TakeProbes() []Probe {
	if len(e.probes) == 0 {
		return nil
	}
	probes := e.probes
	e.probes = nil
	return probes
}

// Unprobed takes back a probe that could not be started.
func (e *Engine) Unprobed(probe Probe) { e.statsOf(probe.Upstream.Cookie).probe.pending = false }

// Unanswered takes in that a probe has had no answer for UnansweredAfter. Until
// its outcome new flows go elsewhere. It tells whether other instances should
// hear of it, so that all probe at the same time.
func (e *Engine) Unanswered(now time.Time, probe Probe) (report bool) {
	stats := e.statsOf(probe.Upstream.Cookie)
	if !stats.probe.pending || stats.answered.After(stats.probe.asked) {
		return false
	}
	stats.probe.late = true
	e.control(now, probe.Upstream.Cookie, stats.probe.asked)
	if stats.probe.failed() {
		return false
	}
	switch {
	case !e.reached.Before(stats.probe.asked):
		e.probeNeighbours(now, probe.Upstream.Cookie, probe.Sign)
	case len(e.unconfirmed) < maxUnconfirmed:
		// A slow instance must not add probes of whole domains to its trouble.
		e.unconfirmed = append(e.unconfirmed, probe)
	}
	return probe.Sign != SignReport && probe.Sign != SignControl
}

// Reprobe asks again for upstreams whose last probe failed, so that one that
// returns is used again, or had no conclusive outcome.
func (e *Engine) Reprobe(now time.Time) {
	if e.view == nil {
		return
	}
	for cookie, stats := range e.stats {
		failed := stats.probe.failed() && stats.probe.verdict != VerdictOther && now.Sub(stats.probe.decided) >= stats.probe.retryAfter
		if !failed && !stats.probe.late {
			continue
		}
		if entry := e.view.Resolve(cookie); entry != nil && entry.RemovedAt.IsZero() {
			e.wantProbe(now, cookie, SignSilent)
		}
	}
}

// Abandoned is what a failed probe ends.
type Abandoned struct {
	// Inconclusive is set when no upstream answered a probe meanwhile, so that
	// this instance itself may be out of reach or slow.
	Inconclusive bool
	// New is set when the probe before did not fail.
	New bool
	// Report is set when other instances should hear of it.
	Report bool
	// Flows are packets to answer with a reset, one for each remembered flow.
	Flows []Packet
}

// Probed takes in the outcome of a probe. When the upstream has ended or cannot
// be reached it forgets and returns its flows.
func (e *Engine) Probed(now time.Time, result ProbeResult) Abandoned {
	stats := e.statsOf(result.Upstream.Cookie)
	stats.probe.pending = false
	if result.Verdict != VerdictSilent {
		e.answeredProbe(now, result.Started)
	}
	if result.Verdict != VerdictAlive && stats.answered.After(result.Started) {
		// A packet that arrived meanwhile is the better evidence.
		stats.probe.late = false
		return Abandoned{}
	}
	first := !stats.probe.failed()
	if result.Verdict == VerdictSilent && !e.conclusive(result) {
		// What is known to be silent stays so, and its probes back off.
		stats.probe.late = first
		if !first {
			stats.probe.decide(now, result.Verdict)
		}
		return Abandoned{Inconclusive: true}
	}
	stats.probe.decide(now, result.Verdict)
	if !stats.probe.failed() {
		return Abandoned{}
	}
	stats.probe.conclusive = now
	stats.trial = true
	if first {
		e.probeNeighbours(now, result.Upstream.Cookie, result.Sign)
	}
	report := first && result.Sign != SignReport && result.Sign != SignControl
	return Abandoned{New: first, Report: report, Flows: e.abandon(result.Upstream.Cookie)}
}

// probeNeighbours asks for probes of the failure domain of an upstream that does
// not answer and whose end was not announced. Whoever reported an upstream
// probes its domain and reports what it finds.
func (e *Engine) probeNeighbours(now time.Time, cookie flowcookie.Cookie, sign Sign) {
	entry := e.view.Resolve(cookie)
	if sign != SignDomain && sign != SignReport && sign != SignControl && entry != nil && entry.Listed() && !entry.Draining {
		e.probeDomain(now, entry.FailureDomain)
	}
}

// probeDomain asks for probes of the upstreams of a failure domain in which one
// has failed unannounced: the domain may be cut off, and crashes also hit
// several at once.
func (e *Engine) probeDomain(now time.Time, domain string) {
	for _, service := range e.view.Services() {
		for _, entry := range service.Entries {
			stats := e.statsOf(entry.Cookie)
			if entry.FailureDomain == domain && now.Sub(stats.answered) > answerWindow {
				e.wantProbe(now, entry.Cookie, SignDomain)
			}
		}
	}
}

// abandon forgets the established flows of an upstream and returns them.
func (e *Engine) abandon(cookie flowcookie.Cookie) []Packet {
	var packets []Packet
	for flow, record := range e.flows.records {
		if !record.answered || record.targets[0] != cookie {
			continue
		}
		packets = append(packets, Packet{Flow: flow, Ack: record.ack, Cookie: cookie})
		delete(e.flows.records, flow)
		e.forget(record)
	}
	slices.SortFunc(packets, func(a, b Packet) int { return a.Flow.Caller.Compare(b.Flow.Caller) })
	return packets
}
