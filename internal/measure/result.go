package measure

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/telemetry"
)

// Result holds what one run of a scenario measured.
type Result struct {
	Scenario, Policy string
	Seed             uint64
	Report           *history.Report
	// ControlMean and ControlMax are the control bytes per second, sent and
	// received, without redirected packets: the mean of the instances and the
	// busiest instance. ControlSteady and ControlPeak are the same quantity
	// for the mean of the instances: in the median second and in the busiest
	// ten seconds. Both leave out the first ten seconds of load, in which the
	// upstreams warm up.
	ControlMean, ControlMax, ControlSteady, ControlPeak float64
	// SentSteady and SentPeak are ControlSteady and ControlPeak for the sent
	// bytes alone.
	SentSteady, SentPeak float64
	// ByKind is ControlMean by kind of message.
	ByKind map[string]float64
	// PlatformCallsPerSecond is the mean per instance.
	PlatformCallsPerSecond float64
	// InForceP99 is the 99th percentile of the time from the acceptance of a
	// change by the platform until it is in force at an instance, over all
	// instances and changes.
	InForceP99 time.Duration
	// Resets counts the times that a caller was told that its flow is unknown.
	Resets int
	// MinServed is the lowest served ratio of any second.
	MinServed float64
}

func (w *World) collectResult(scenario string) *Result {
	r := &Result{Scenario: scenario, Policy: w.options.Policy, Seed: w.options.Seed, Report: w.Report(), ByKind: map[string]float64{}}
	elapsed := w.virtualNow.Sub(w.loadStart).Seconds()
	r.ControlSteady, r.ControlPeak = steadyAndPeakRates(w.controlSamples)
	r.SentSteady, r.SentPeak = steadyAndPeakRates(w.sentControlSamples)
	for _, i := range w.instances {
		rate := float64(i.controlTraffic.sent+i.controlTraffic.received) / elapsed
		r.ControlMean += rate / float64(len(w.instances))
		r.ControlMax = max(r.ControlMax, rate)
		for kind, n := range i.controlTraffic.byKind {
			r.ByKind[kindName(kind)] += float64(n) / elapsed / float64(len(w.instances))
		}
	}
	r.PlatformCallsPerSecond = float64(w.controlTotals.platformCalls) / elapsed / float64(len(w.instances))
	if len(w.inForceDelays) > 0 {
		slices.Sort(w.inForceDelays)
		r.InForceP99 = w.inForceDelays[len(w.inForceDelays)*99/100]
	}
	for _, e := range w.recorder.Events() {
		if e.Kind == history.CallerReset {
			r.Resets++
		}
	}
	r.MinServed = 1
	for _, bin := range r.Report.ServedBins {
		r.MinServed = min(r.MinServed, bin.Ratio())
	}
	return r
}

// sampleControlBytes appends the control bytes per instance since the load
// started to the samples.
func (w *World) sampleControlBytes() {
	total, sent := 0.0, 0.0
	for _, i := range w.instances {
		total += float64(i.controlTraffic.sent + i.controlTraffic.received)
		sent += float64(i.controlTraffic.sent)
	}
	w.controlSamples = append(w.controlSamples, total/float64(len(w.instances)))
	w.sentControlSamples = append(w.sentControlSamples, sent/float64(len(w.instances)))
}

// steadyAndPeakRates returns the rates of the median second and of the busiest
// ten seconds, in bytes per second, of a series of running totals with one
// sample per second.
func steadyAndPeakRates(samples []float64) (steady, peak float64) {
	const warmUp, window = 10, 10
	var seconds []float64
	for n := warmUp + 1; n < len(samples); n++ {
		seconds = append(seconds, samples[n]-samples[n-1])
		if n >= warmUp+window {
			peak = max(peak, (samples[n]-samples[n-window])/window)
		}
	}
	if len(seconds) == 0 {
		return 0, 0
	}
	slices.Sort(seconds)
	return seconds[len(seconds)/2], peak
}

func kindName(kind telemetry.MessageKind) string { return kind.String() }

// Line returns the result as key=value pairs on one line.
func (r *Result) Line() string {
	refused := 0
	for _, n := range r.Report.OpensRefused {
		refused += n
	}
	fields := []string{
		"scenario=" + r.Scenario, "policy=" + r.Policy, fmt.Sprintf("seed=%d", r.Seed),
		fmt.Sprintf("flows=%d", r.Report.Flows), fmt.Sprintf("established=%d", r.Report.Established),
		fmt.Sprintf("broken=%d", r.Report.Broken), fmt.Sprintf("misrouted=%d", r.Report.Misrouted),
		fmt.Sprintf("given_up=%d", r.Report.GivenUp),
		fmt.Sprintf("imbalance=%.3f", r.Report.OpenImbalance),
		fmt.Sprintf("control_bytes_per_second=%.0f", r.ControlMean), fmt.Sprintf("control_bytes_max=%.0f", r.ControlMax),
		fmt.Sprintf("control_steady=%.0f", r.ControlSteady), fmt.Sprintf("control_peak_10s=%.0f", r.ControlPeak),
		fmt.Sprintf("sent_steady=%.0f", r.SentSteady), fmt.Sprintf("sent_peak_10s=%.0f", r.SentPeak),
		fmt.Sprintf("served_ratio=%.5f", r.Report.Served), fmt.Sprintf("served_min_second=%.4f", r.MinServed),
		fmt.Sprintf("opens_refused=%d", refused), fmt.Sprintf("open_timeouts=%d", r.Report.OpenTimeouts),
		fmt.Sprintf("last_after_takeout_ms=%d", r.Report.LastAfterTakeOut.Milliseconds()),
		fmt.Sprintf("last_open_after_drain_ms=%d", r.Report.LastOpenAfterDrain.Milliseconds()),
		fmt.Sprintf("in_force_p99_ms=%d", r.InForceP99.Milliseconds()),
		fmt.Sprintf("platform_calls_per_second=%.3f", r.PlatformCallsPerSecond),
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Report.OpensRefused)) {
		fields = append(fields, fmt.Sprintf("open_refused_%s=%d", reason, r.Report.OpensRefused[reason]))
	}
	fields = append(fields, fmt.Sprintf("resets=%d", r.Resets))
	kinds := make([]string, 0, len(r.ByKind))
	for kind, n := range r.ByKind {
		kinds = append(kinds, fmt.Sprintf("%s_bytes=%.0f", kind, n))
	}
	slices.Sort(kinds)
	return strings.Join(append(fields, kinds...), " ")
}
