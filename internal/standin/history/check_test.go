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

// at returns an event of one flow and one request at a time in ms.
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
func at2(e *Event)   { e.Upstream, e.BootID = u2, 20 }
func boot2(e *Event) { e.BootID = 11 }

// good returns a history without fault: two upstreams, one flow, one request.
func good() []Event {
	return []Event{
		at(0, UpstreamBoot, nil), at(0, UpstreamBoot, at2),
		at(10, CallerOpen, nil), at(11, UpstreamOpened, nil), at(12, CallerEstablished, nil),
		at(20, CallerRequest, nil), at(21, UpstreamRun, nil), at(22, CallerAnswer, nil),
		at(30, UpstreamData, nil), at(31, CallerDataEchoed, nil),
		at(40, CallerClose, nil), at(41, UpstreamClosed, nil),
	}
}

// without returns events other than those of a kind.
func without(events []Event, kind Kind) []Event {
	var rest []Event
	for _, e := range events {
		if e.Kind != kind {
			rest = append(rest, e)
		}
	}
	return rest
}

// Guards against a check that lets a broken promise pass, or that rejects what
// is allowed.
func TestChecksRejectBadHistories(t *testing.T) {
	outage := func(fromMS int64, takenOut bool) Options {
		return Options{Outages: []Outage{{Upstream: u1, From: time.UnixMilli(fromMS), TakenOut: takenOut}}, TakeOutLimit: 10 * time.Millisecond}
	}
	cases := []struct {
		name   string
		opt    Options
		events []Event
		want   Check // "" for no violation
	}{
		{name: "good", events: good()},
		{name: "packet at an upstream that does not know the flow", want: CheckBrokenFlow,
			events: append(good(), at(35, UpstreamUnknownFlow, at2))},
		{name: "late packet after the close", events: append(good(), at(45, UpstreamUnknownFlow, at2))},
		{name: "packet before the flow was established", events: append(good(), at(11, UpstreamUnknownFlow, at2))},
		{name: "flow reset", want: CheckBrokenFlow, events: append(good(), at(35, CallerReset, nil))},
		{name: "reset for a failure domain that was not taken out", want: CheckBrokenFlow,
			events: append(good(), at(35, CallerReset, func(e *Event) { e.Reason = pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT }))},
		{name: "data at another upstream", want: CheckBrokenFlow, events: append(good(), at(35, UpstreamData, at2))},
		{name: "answer of another upstream", want: CheckBrokenFlow, events: append(good(), at(35, CallerDataEchoed, at2))},
		{name: "new boot id without a restart", want: CheckBrokenFlow, events: append(good(), at(35, UpstreamData, boot2))},
		{name: "flow lost by a restart",
			events: append(good(), at(33, UpstreamBoot, boot2), at(35, UpstreamUnknownFlow, boot2))},
		{name: "flow of a stopped upstream", opt: outage(33, false), events: append(good(), at(35, UpstreamUnknownFlow, at2))},
		{name: "flow broken before the upstream stopped", opt: outage(36, false), want: CheckBrokenFlow,
			events: append(good(), at(35, UpstreamUnknownFlow, at2))},
		{name: "packet soon after a take-out", opt: outage(35, true), events: good()},
		{name: "packet long after a take-out", opt: outage(15, true), want: CheckTakeOut, events: good()},
		{name: "late run of a request that came soon after a take-out", opt: outage(35, true), events: append(good(),
			at(60, UpstreamRun, func(e *Event) { e.RequestID, e.ReceivedUS = 6, 36_000 }))},
		{name: "request long after a take-out", opt: outage(35, true), want: CheckTakeOut, events: append(good(),
			at(60, UpstreamRun, func(e *Event) { e.RequestID = 6 }))},
		{name: "wrong service", want: CheckWrongService, events: append(good(), at(35, UpstreamWrongService, at2))},
		{name: "second run", want: CheckDoubleRun, events: append(good(), at(23, UpstreamRun, func(e *Event) { e.Run = 78 }))},
		{name: "second run of an idempotent request", events: append(without(good(), UpstreamRun),
			at(21, UpstreamRun, func(e *Event) { e.Idempotent = true }),
			at(23, UpstreamRun, func(e *Event) { e.Run, e.Idempotent = 78, true }))},
		{name: "not run although it ran", want: CheckFalseNotRun,
			events: append(without(good(), CallerAnswer), at(23, CallerRequestRefused, notRun))},
		{name: "run after not run", want: CheckFalseNotRun, events: append(without(without(good(), CallerAnswer), UpstreamRun),
			at(22, CallerRequestRefused, notRun), at(500, UpstreamRun, func(e *Event) { e.Idempotent = true }))},
		{name: "late not run although it ran", want: CheckFalseNotRun, events: append(good(), at(25, CallerLateNotRun, notRun))},
		{name: "refused and unknown", events: append(without(good(), CallerAnswer), at(23, CallerRequestRefused, nil))},
		{name: "mixed answer", want: CheckMixed, events: append(without(good(), CallerAnswer), at(23, CallerMixed, nil))},
		{name: "truncated answer", want: CheckTruncated, events: append(without(good(), CallerAnswer), at(23, CallerTruncated, nil))},
		{name: "answer of no run", want: CheckForeignRun, events: append(without(good(), CallerAnswer),
			at(23, CallerAnswer, func(e *Event) { e.Run = 99 }))},
		{name: "cold upstream fell over", want: CheckColdOverload, events: append(good(), at(35, UpstreamOverload, nil))},
		{name: "overload on purpose", opt: Options{AllowOverload: true}, events: append(good(), at(35, UpstreamOverload, nil))},
		{name: "new flow at the start of a drain", events: append(good(), at(5, UpstreamDrain, nil))},
		{name: "new flow long after the start of a drain", want: CheckDrain, events: append(good(), at(100, UpstreamDrain, at2),
			at(9000, UpstreamOpened, func(e *Event) { at2(e); e.FlowID, e.Draining = 2, true }))},
		{name: "imbalance", opt: Options{MaxImbalance: 1.5}, want: CheckImbalance, events: good()},
		{name: "imbalance by weight", opt: Options{MaxImbalance: 1.5, Weights: map[string]int{u1: 300}},
			events: append(good(), at(13, UpstreamOpened, func(e *Event) { at2(e); e.FlowID = 2 }),
				at(13, UpstreamOpened, func(e *Event) { e.FlowID = 3 }), at(13, UpstreamOpened, func(e *Event) { e.FlowID = 4 }))},
		{name: "request not served", opt: Options{MinServed: 0.6}, want: CheckServed,
			events: append(without(good(), CallerAnswer), at(2000, CallerRequestTimeout, nil))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Run(c.opt, c.events)
			if c.want == "" {
				require.True(t, r.OK(), "%v", r.Violations)
				return
			}
			require.Equal(t, map[Check]int{c.want: 1}, r.Counts, "%v", r.Violations)
		})
	}
}

// Guards against figures that miss refusals, upstreams without work or the
// second in which work was sent.
func TestReportFigures(t *testing.T) {
	events := append(good(), at(1500, CallerRequest, func(e *Event) { e.RequestID = 6 }),
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

// Guards against a history that loses fields or fails on the last line of a
// killed process.
func TestWriterAndReadKeepEvents(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, e := range good() {
		w.Record(e)
	}
	require.NoError(t, w.Err())
	b.WriteString(`{"t_us":1`)
	events, err := Read(&b)
	require.NoError(t, err)
	require.Equal(t, good(), events)
	_, err = Read(strings.NewReader("{}\nnot json\n"))
	require.ErrorContains(t, err, "line 2")
}

// Guards against a panic on malformed history files.
func FuzzRead(f *testing.F) {
	f.Add([]byte("{\"t_us\":1,\"event\":\"run\",\"request\":3}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		events, err := Read(bytes.NewReader(b))
		if err == nil {
			Run(Options{}, events)
		}
	})
}
