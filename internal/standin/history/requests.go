package history

import (
	"cmp"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// RequestKey identifies a request.
type RequestKey struct {
	Caller, Service string
	FlowID          uint64
	RequestID       uint64
}

// requestStep is one operation on a request in requestModel: a run or a refusal
// that says "not run".
type requestStep struct {
	// notRunRefusal is set for a refusal, which states that the request has not
	// run and will not run. Otherwise the step is a run.
	notRunRefusal bool
	idempotent    bool
}

// requestState is the state of a request in requestModel.
type requestState struct{ ran, refusedNotRun bool }

// requestModel is the sequential specification of one request: it runs at most
// once unless it is idempotent, and a request that is refused as "not run" never
// runs.
var requestModel = porcupine.Model{
	Init: func() any { return requestState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, step := state.(requestState), input.(requestStep)
		if step.notRunRefusal {
			return !s.ran, requestState{refusedNotRun: true}
		}
		return !s.refusedNotRun && (!s.ran || step.idempotent), requestState{ran: true}
	},
}

// checkRequests checks runs and "not run" refusals against requestModel, and
// checks that every answer was produced by a run of its request. The latter is
// skipped if no upstream recorded a boot.
func checkRequests(r *Report, events []Event) {
	type requestRecord struct {
		steps []porcupine.Operation
		runs  map[uint64]bool
		// sentUS is when the caller sent the request, or math.MinInt64 if that is
		// not recorded.
		sentUS         int64
		notRunRefusals int
		firstEventUS   int64
	}
	requests := map[RequestKey]*requestRecord{}
	recordOf := func(e *Event) *requestRecord {
		key := RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID}
		record := requests[key]
		if record == nil {
			record = &requestRecord{runs: map[uint64]bool{}, sentUS: math.MinInt64, firstEventUS: e.TimeUS}
			requests[key] = record
		}
		return record
	}
	upstreamsRecorded := false
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case UpstreamBoot:
			upstreamsRecorded = true
		case CallerRequest:
			recordOf(e).sentUS = e.TimeUS
		case UpstreamRun:
			record := recordOf(e)
			record.runs[e.Run] = true
			record.steps = append(record.steps, porcupine.Operation{
				Input: requestStep{idempotent: e.Idempotent}, Call: e.TimeUS, Return: e.TimeUS})
		case CallerRequestRefused, CallerLateNotRun:
			if record := recordOf(e); e.NotRun {
				record.notRunRefusals++
				record.steps = append(record.steps, porcupine.Operation{
					Input: requestStep{notRunRefusal: true}, Call: record.sentUS, Return: e.TimeUS})
			}
		}
	}
	for i := range events {
		e := &events[i]
		if record := requests[RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID}]; upstreamsRecorded &&
			e.Kind == CallerAnswer && (record == nil || !record.runs[e.Run]) {
			r.addViolation(CheckAnswerWithoutRun, e.TimeUS, "%s flow %d request %d has an answer that no run of it produced",
				e.Caller, e.FlowID, e.RequestID)
		}
	}
	for _, key := range sortedRequestKeys(requests) {
		record := requests[key]
		if len(record.steps) < 2 || porcupine.CheckOperations(requestModel, record.steps) {
			continue
		}
		check := CheckDoubleRun
		if record.notRunRefusals > 0 && len(record.runs) > 0 {
			check = CheckFalseNotRun
		}
		r.addViolation(check, record.firstEventUS, "%s flow %d request %d: %d runs and %d refusals that say not run",
			key.Caller, key.FlowID, key.RequestID, len(record.runs), record.notRunRefusals)
	}
}

func sortedRequestKeys[V any](m map[RequestKey]V) []RequestKey {
	keys := make([]RequestKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b RequestKey) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.FlowID, b.FlowID), cmp.Compare(a.RequestID, b.RequestID))
	})
	return keys
}
