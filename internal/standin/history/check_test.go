package history

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

const (
	u1 = "t/s/u1"
	u2 = "t/s/u2"
)

// at returns an event at ms milliseconds. All events have the same flow and,
// if they concern a request, the same request, unless change sets others.
func at(ms int64, kind Kind, change func(*Event)) Event {
	e := Event{TimeUS: ms * 1000, Kind: kind, Caller: "127.0.0.1:1", Service: "10.0.0.1:80", FlowID: 1, Upstream: u1, BootID: 10}
	switch kind {
	case CallerRequest, CallerAnswer, CallerRequestRefused, CallerLateNotRun, CallerRequestTimeout,
		CallerMixed, CallerTruncated, UpstreamRun:
		e.RequestID, e.Run = 5, 77
	}
	if change != nil {
		change(&e)
	}
	return e
}

func notRun(e *Event) {
	e.NotRun, e.Reason = true, pb.RefusalReason_REFUSAL_REASON_NO_LEASE
}
func onUpstream2(e *Event) { e.Upstream, e.BootID = u2, 20 }
func nextBoot(e *Event)    { e.BootID = 11 }

// valid returns a history without violations, with two upstreams, one flow
// and one request.
func valid() []Event {
	return []Event{
		at(0, UpstreamBoot, nil), at(0, UpstreamBoot, onUpstream2),
		at(10, CallerOpen, nil), at(11, UpstreamOpened, nil), at(12, CallerEstablished, nil),
		at(20, CallerRequest, nil), at(21, UpstreamRun, nil), at(22, CallerAnswer, nil),
		at(30, UpstreamData, nil), at(31, CallerDataEchoed, nil),
		at(40, CallerClose, nil), at(41, UpstreamClosed, nil),
	}
}

// without returns the events of all other kinds.
func without(events []Event, kind Kind) []Event {
	var rest []Event
	for _, e := range events {
		if e.Kind != kind {
			rest = append(rest, e)
		}
	}
	return rest
}

// Guards against a check that misses a violation of its guarantee, or that reports
// a violation for an allowed history.
func TestChecksReportOnlyViolations(t *testing.T) {
	outage := func(fromMS int64, takenOut bool) Options {
		return Options{Outages: []Outage{{Upstream: u1, From: time.UnixMilli(fromMS), TakenOut: takenOut}}, TakeOutLimit: 10 * time.Millisecond}
	}
	cases := []struct {
		name   string
		opt    Options
		events []Event
		want   Check // "" for no violation
	}{
		{name: "good", events: valid()},
		{name: "packet at an upstream without a record of the flow", want: CheckBrokenFlow,
			events: append(valid(), at(35, UpstreamUnknownFlow, onUpstream2))},
		{name: "late packet after the close", events: append(valid(), at(45, UpstreamUnknownFlow, onUpstream2))},
		{name: "packet before the flow was established", events: append(valid(), at(11, UpstreamUnknownFlow, onUpstream2))},
		{name: "flow reset", want: CheckBrokenFlow, events: append(valid(), at(35, CallerReset, nil))},
		{name: "reset for a failure domain that was not taken out", want: CheckBrokenFlow,
			events: append(valid(), at(35, CallerReset, func(e *Event) { e.Reason = pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT }))},
		{name: "data at another upstream", want: CheckBrokenFlow, events: append(valid(), at(35, UpstreamData, onUpstream2))},
		{name: "data echoed by another upstream", want: CheckBrokenFlow, events: append(valid(), at(35, CallerDataEchoed, onUpstream2))},
		{name: "new boot id without a restart", want: CheckBrokenFlow, events: append(valid(), at(35, UpstreamData, nextBoot))},
		{name: "flow lost by a restart",
			events: append(valid(), at(33, UpstreamBoot, nextBoot), at(35, UpstreamUnknownFlow, nextBoot))},
		{name: "flow of a stopped upstream", opt: outage(33, false), events: append(valid(), at(35, UpstreamUnknownFlow, onUpstream2))},
		{name: "flow broken before the upstream stopped", opt: outage(36, false), want: CheckBrokenFlow,
			events: append(valid(), at(35, UpstreamUnknownFlow, onUpstream2))},
		{name: "packet within the take-out limit", opt: outage(35, true), events: valid()},
		{name: "packet after the take-out limit", opt: outage(15, true), want: CheckTakeOut, events: valid()},
		{name: "late run of a request received within the take-out limit", opt: outage(35, true), events: append(valid(),
			at(60, UpstreamRun, func(e *Event) { e.RequestID, e.ReceivedUS = 6, 36_000 }))},
		{name: "request after the take-out limit", opt: outage(35, true), want: CheckTakeOut, events: append(valid(),
			at(60, UpstreamRun, func(e *Event) { e.RequestID = 6 }))},
		{name: "wrong service", want: CheckWrongService, events: append(valid(), at(35, UpstreamWrongService, onUpstream2))},
		{name: "second run of a non-idempotent request", want: CheckDoubleRun, events: append(valid(), at(23, UpstreamRun, func(e *Event) { e.Run = 78 }))},
		{name: "second run of an idempotent request", events: append(without(valid(), UpstreamRun),
			at(21, UpstreamRun, func(e *Event) { e.Idempotent = true }),
			at(23, UpstreamRun, func(e *Event) { e.Run, e.Idempotent = 78, true }))},
		{name: "refused as not run although it ran", want: CheckFalseNotRun,
			events: append(without(valid(), CallerAnswer), at(23, CallerRequestRefused, notRun))},
		{name: "run after a not run refusal", want: CheckFalseNotRun, events: append(without(without(valid(), CallerAnswer), UpstreamRun),
			at(22, CallerRequestRefused, notRun), at(500, UpstreamRun, func(e *Event) { e.Idempotent = true }))},
		{name: "late not run refusal although it ran", want: CheckFalseNotRun, events: append(valid(), at(25, CallerLateNotRun, notRun))},
		{name: "refused with unknown outcome", events: append(without(valid(), CallerAnswer), at(23, CallerRequestRefused, nil))},
		{name: "mixed answer", want: CheckMixed, events: append(without(valid(), CallerAnswer), at(23, CallerMixed, nil))},
		{name: "truncated answer", want: CheckTruncated, events: append(without(valid(), CallerAnswer), at(23, CallerTruncated, nil))},
		{name: "answer that no run produced", want: CheckAnswerWithoutRun, events: append(without(valid(), CallerAnswer),
			at(23, CallerAnswer, func(e *Event) { e.Run = 99 }))},
		{name: "overload of a cold upstream", want: CheckColdOverload, events: append(valid(), at(35, UpstreamOverload, nil))},
		{name: "overload on purpose", opt: Options{AllowOverload: true}, events: append(valid(), at(35, UpstreamOverload, nil))},
		{name: "new flow at the start of a drain", events: append(valid(), at(5, UpstreamDrain, nil))},
		{name: "new flow after the drain limit", want: CheckDrain, events: append(valid(), at(100, UpstreamDrain, onUpstream2),
			at(9000, UpstreamOpened, func(e *Event) { onUpstream2(e); e.FlowID, e.Draining = 2, true }))},
		{name: "imbalance", opt: Options{MaxImbalance: 1.5}, want: CheckImbalance, events: valid()},
		{name: "imbalance by weight", opt: Options{MaxImbalance: 1.5, Weights: map[string]int{u1: 300}},
			events: append(valid(), at(13, UpstreamOpened, func(e *Event) { onUpstream2(e); e.FlowID = 2 }),
				at(13, UpstreamOpened, func(e *Event) { e.FlowID = 3 }), at(13, UpstreamOpened, func(e *Event) { e.FlowID = 4 }))},
		{name: "request not served", opt: Options{MinServed: 0.6}, want: CheckServed,
			events: append(without(valid(), CallerAnswer), at(2000, CallerRequestTimeout, nil))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Run(c.opt, c.events)
			if c.want == "" {
				require.True(t, r.OK(), "%v", r.Violations)
				return
			}
			require.Equal(t, map[Check]int{c.want: 1}, r.ViolationCounts, "%v", r.Violations)
		})
	}
}

// Guards against report figures that omit refusals or upstreams without flows, or
// that count a request in another second than the one in which it was sent.
func TestReportFigures(t *testing.T) {
	events := append(valid(), at(1500, CallerRequest, func(e *Event) { e.RequestID = 6 }),
		at(2500, CallerRequestRefused, func(e *Event) { notRun(e); e.RequestID = 6 }))
	r := Run(Options{}, events)
	require.True(t, r.OK(), "%v", r.Violations)
	require.Equal(t, map[string]int{"no_lease": 1}, r.RequestsRefused)
	require.InDelta(t, 2, r.OpenImbalance, 1e-9)
	require.InDelta(t, 2.0/3, r.Served, 1e-9)
	require.InDelta(t, 0.5, r.Amplification(), 1e-9)
	require.Equal(t, []ServedBin{{Second: 0, Served: 2}, {Second: 1, Failed: 1}}, r.ServedBins)
	require.Contains(t, r.Lines(), "request_refused_no_lease=1")
	require.Contains(t, r.Lines(), "violations=0")
}

// Guards against event fields that are lost when written and read, and against a
// read error for the incomplete last line that a killed process leaves.
func TestWriterAndReadPreserveEvents(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, e := range valid() {
		w.Record(e)
	}
	require.NoError(t, w.Err())
	b.WriteString(`{"t_us":1`)
	events, err := Read(&b)
	require.NoError(t, err)
	require.Equal(t, valid(), events)
	_, err = Read(strings.NewReader("{}\nnot json\n"))
	require.ErrorContains(t, err, "line 2")
}

// Guards against a panic of Read or Run on malformed history files.
func FuzzRead(f *testing.F) {
	f.Add([]byte("{\"t_us\":1,\"event\":\"run\",\"request\":3}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		events, err := Read(bytes.NewReader(b))
		if err == nil {
			Run(Options{}, events)
		}
	})
}
