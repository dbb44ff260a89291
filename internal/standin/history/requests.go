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

// requestStep is one operation on a request.
type requestStep struct {
	// refuse is a claim that the request has not run and will not run; any
	// other step is a run.
	refuse     bool
	idempotent bool
}

// requestState is what is true of a request.
type requestState struct{ ran, refused bool }

// requestModel is the sequential specification of one request: it runs at
// most once unless it is idempotent, and never both runs and is refused as
// "not run".
var requestModel = porcupine.Model{
	Init: func() any { return requestState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, step := state.(requestState), input.(requestStep)
		if step.refuse {
			return !s.ran, requestState{refused: true}
		}
		return !s.refused && (!s.ran || step.idempotent), requestState{ran: true}
	},
}

// checkRequests checks runs and "not run" refusals against requestModel, and
// that every answer is of a run of the request itself.
func checkRequests(r *Report, events []Event) {
	type record struct {
		steps  []porcupine.Operation
		runs   map[uint64]bool
		sentAt int64
		claims int
		first  int64
	}
	requests := map[RequestKey]*record{}
	get := func(e *Event) *record {
		key := RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID}
		q := requests[key]
		if q == nil {
			q = &record{runs: map[uint64]bool{}, sentAt: math.MinInt64, first: e.TimeUS}
			requests[key] = q
		}
		return q
	}
	upstreams := false
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case UpstreamBoot:
			upstreams = true
		case CallerRequest:
			get(e).sentAt = e.TimeUS
		case UpstreamRun:
			q := get(e)
			q.runs[e.Run] = true
			q.steps = append(q.steps, porcupine.Operation{Input: requestStep{idempotent: e.Idempotent}, Call: e.TimeUS, Return: e.TimeUS})
		case CallerRequestRefused, CallerLateNotRun:
			if q := get(e); e.NotRun {
				q.claims++
				q.steps = append(q.steps, porcupine.Operation{
					Input: requestStep{refuse: true}, Call: q.sentAt, Return: e.TimeUS})
			}
		}
	}
	for i := range events {
		e := &events[i]
		if q := requests[RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID}]; upstreams &&
			e.Kind == CallerAnswer && (q == nil || !q.runs[e.Run]) {
			r.violate(CheckForeignRun, e.TimeUS, "%s flow %d request %d was answered by a run of something else",
				e.Caller, e.FlowID, e.RequestID)
		}
	}
	for _, key := range sortedKeys(requests) {
		q := requests[key]
		if len(q.steps) < 2 || porcupine.CheckOperations(requestModel, q.steps) {
			continue
		}
		check := CheckDoubleRun
		if q.claims > 0 && len(q.runs) > 0 {
			check = CheckFalseNotRun
		}
		r.violate(check, q.first, "%s flow %d request %d: %d runs and %d claims that it has not run",
			key.Caller, key.FlowID, key.RequestID, len(q.runs), q.claims)
	}
}

func sortedKeys[V any](m map[RequestKey]V) []RequestKey {
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
