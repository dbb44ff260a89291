package history

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ServedBin contains the number of opens and requests that were sent within one
// second, by outcome.
type ServedBin struct {
	// Second is the start of the second in seconds since the Unix epoch.
	Second int64
	// Served counts those that were established or answered, Failed those that
	// were refused, timed out or got a mixed or truncated answer.
	Served, Failed int
}

// Ratio returns the share (0 to 1) that was served, or 1 if nothing was sent.
func (b ServedBin) Ratio() float64 {
	if b.Served+b.Failed == 0 {
		return 1
	}
	return float64(b.Served) / float64(b.Served+b.Failed)
}

func (o Options) covers(e *Event) bool {
	t := e.Time()
	return !t.Before(o.From) && (o.Until.IsZero() || t.Before(o.Until))
}

// measureServed counts opens and requests by outcome and by the second in which
// they were sent, and checks the served share against Options.MinServed.
func measureServed(r *Report, opt Options, events []Event) {
	sent := map[RequestKey]*Event{}
	bins := map[int64]*ServedBin{}
	countOutcome := func(e *Event, served bool) {
		key := RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID}
		start := sent[key]
		// Only the first outcome of a request counts.
		if start == nil || !opt.covers(start) {
			return
		}
		delete(sent, key)
		second := start.Time().Unix()
		if bins[second] == nil {
			bins[second] = &ServedBin{Second: second}
		}
		if served {
			bins[second].Served++
		} else {
			bins[second].Failed++
		}
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case CallerOpen, CallerRequest:
			sent[RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID}] = e
		case CallerCancel:
			delete(sent, RequestKey{e.Caller, e.Service, e.FlowID, e.RequestID})
		case CallerEstablished, CallerAnswer:
			countOutcome(e, true)
		case CallerOpenRefused, CallerOpenTimeout, CallerRequestRefused, CallerRequestTimeout, CallerMixed, CallerTruncated:
			countOutcome(e, false)
		}
	}
	total := ServedBin{}
	for _, second := range slices.Sorted(maps.Keys(bins)) {
		b := *bins[second]
		r.ServedBins = append(r.ServedBins, b)
		total.Served += b.Served
		total.Failed += b.Failed
	}
	r.Served = total.Ratio()
	if r.Served < opt.MinServed {
		r.addViolation(CheckServed, 0, "served share of the opens and requests is %.5f, minimum is %.5f",
			r.Served, opt.MinServed)
	}
}

// measureImbalance computes the imbalance of opens and of runs between the
// upstreams of each service, including upstreams without any, and checks the
// imbalance of opens, but not that of runs, against Options.MaxImbalance.
func measureImbalance(r *Report, opt Options, events []Event) {
	opens, runs := map[string]float64{}, map[string]float64{}
	for i := range events {
		e := &events[i]
		weight := float64(defaultWeight)
		if w := opt.Weights[e.Upstream]; w > 0 {
			weight = float64(w)
		}
		switch {
		case e.Kind == UpstreamBoot:
			opens[e.Upstream] += 0
			runs[e.Upstream] += 0
		case e.Kind == UpstreamOpened && opt.covers(e):
			opens[e.Upstream] += 1 / weight
		case e.Kind == UpstreamRun && opt.covers(e):
			runs[e.Upstream] += 1 / weight
		}
	}
	r.OpenImbalance, r.RunImbalance = worstImbalance(opens), worstImbalance(runs)
	if opt.MaxImbalance > 0 && r.OpenImbalance > opt.MaxImbalance {
		r.addViolation(CheckImbalance, 0, "busiest/mean of the opens is %.3f, maximum is %.3f",
			r.OpenImbalance, opt.MaxImbalance)
	}
}

func worstImbalance(workByUpstream map[string]float64) float64 {
	type serviceWork struct{ busiest, total, upstreams float64 }
	services := map[string]*serviceWork{}
	for upstream, n := range workByUpstream {
		service := upstream
		if i := strings.LastIndexByte(upstream, '/'); i >= 0 {
			service = upstream[:i]
		}
		if services[service] == nil {
			services[service] = &serviceWork{}
		}
		s := services[service]
		s.busiest = max(s.busiest, n)
		s.total += n
		s.upstreams++
	}
	var worst float64
	for _, s := range services {
		if s.total > 0 {
			worst = max(worst, s.busiest/(s.total/s.upstreams))
		}
	}
	return worst
}

func reasonName(e *Event) string {
	return strings.ToLower(strings.TrimPrefix(e.Reason.String(), "REFUSAL_REASON_"))
}

// Amplification returns the number of request attempts that reached upstreams
// divided by the number of requests of the callers, or 0 without requests.
func (r *Report) Amplification() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.UpstreamRequests) / float64(r.Requests)
}

// Lines returns the report as lines of the form key=value.
func (r *Report) Lines() []string {
	lines := []string{
		line("flows", r.Flows), line("established", r.Established), line("open_timeouts", r.OpenTimeouts),
		line("broken_flows", r.Broken), line("misrouted_packets", r.Misrouted), line("given_up_flows", r.GivenUp),
		line("requests", r.Requests), line("answered", r.Answered), line("request_timeouts", r.RequestTimeouts),
		line("partial_answers", r.PartialAnswers), line("cancelled", r.Cancelled), line("runs", r.Runs),
		line("upstream_requests", r.UpstreamRequests), fmt.Sprintf("amplification=%.3f", r.Amplification()),
		line("wrong_service", r.ViolationCounts[CheckWrongService]), line("double_runs", r.ViolationCounts[CheckDoubleRun]),
		line("false_not_run", r.ViolationCounts[CheckFalseNotRun]), line("mixed_answers", r.ViolationCounts[CheckMixed]),
		line("truncated_answers", r.ViolationCounts[CheckTruncated]),
		line("foreign_runs", r.ViolationCounts[CheckAnswerWithoutRun]),
		line("cold_overloads", r.ViolationCounts[CheckColdOverload]),
		line("new_work_after_drain", r.ViolationCounts[CheckDrain]),
		line("packets_after_takeout", r.ViolationCounts[CheckTakeOut]),
		line("last_after_takeout_ms", int(r.LastAfterTakeOut/time.Millisecond)),
		line("last_open_after_drain_ms", int(r.LastOpenAfterDrain/time.Millisecond)),
		fmt.Sprintf("open_imbalance=%.3f", r.OpenImbalance), fmt.Sprintf("run_imbalance=%.3f", r.RunImbalance),
		fmt.Sprintf("served_ratio=%.5f", r.Served),
	}
	for _, reason := range slices.Sorted(maps.Keys(r.OpensRefused)) {
		lines = append(lines, line("open_refused_"+reason, r.OpensRefused[reason]))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.RequestsRefused)) {
		lines = append(lines, line("request_refused_"+reason, r.RequestsRefused[reason]))
	}
	for _, b := range r.ServedBins {
		lines = append(lines, fmt.Sprintf("served_ratio_second_%d=%.4f", b.Second-r.ServedBins[0].Second, b.Ratio()))
	}
	violations := 0
	for _, n := range r.ViolationCounts {
		violations += n
	}
	lines = append(lines, line("violations", violations))
	for _, v := range r.Violations {
		lines = append(lines, fmt.Sprintf("violation=%q", v.String()))
	}
	return lines
}

func line(key string, value int) string { return fmt.Sprintf("%s=%d", key, value) }
