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

// Result is what one run showed.
type Result struct {
	Scenario, Policy string
	Seed             uint64
	Report           *history.Report
	// ControlMean and ControlMax are bytes per second and instance, sent and
	// received, without redirected packets: the mean and the busiest instance.
	// ControlSteady is the median second; ControlPeak the busiest ten seconds
	// of the mean instance, both after the first ten seconds of load, in
	// which the upstreams get warm.
	ControlMean, ControlMax, ControlSteady, ControlPeak float64
	// SentSteady and SentPeak are the sent part of ControlSteady and
	// ControlPeak.
	SentSteady, SentPeak   float64
	ByKind                 map[string]float64
	PlatformCallsPerSecond float64
	// InForceP99 is the time from acceptance until a change is in force, over
	// all instances and changes.
	InForceP99 time.Duration
	// Resets counts flows that the caller was told are unknown.
	Resets int
	// MinServed is the lowest served ratio of a second.
	MinServed float64
}

func (w *World) result(scenario string) *Result {
	r := &Result{Scenario: scenario, Policy: w.opt.Policy, Seed: w.opt.Seed, Report: w.Report(), ByKind: map[string]float64{}}
	elapsed := w.now.Sub(w.started).Seconds()
	r.ControlSteady, r.ControlPeak = rates(w.samples)
	r.SentSteady, r.SentPeak = rates(w.sentSamples)
	for _, i := range w.instances {
		rate := float64(i.counted.sent+i.counted.received) / elapsed
		r.ControlMean += rate / float64(len(w.instances))
		r.ControlMax = max(r.ControlMax, rate)
		for kind, n := range i.counted.byKind {
			r.ByKind[kindName(kind)] += float64(n) / elapsed / float64(len(w.instances))
		}
	}
	r.PlatformCallsPerSecond = float64(w.control.platformCalls) / elapsed / float64(len(w.instances))
	if len(w.inForce) > 0 {
		slices.Sort(w.inForce)
		r.InForceP99 = w.inForce[len(w.inForce)*99/100]
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

// sampleControl notes the control bytes since the last second.
func (w *World) sampleControl() {
	total, sent := 0.0, 0.0
	for _, i := range w.instances {
		total += float64(i.counted.sent + i.counted.received)
		sent += float64(i.counted.sent)
	}
	w.samples = append(w.samples, total/float64(len(w.instances)))
	w.sentSamples = append(w.sentSamples, sent/float64(len(w.instances)))
}

// rates returns the median second and the busiest ten seconds of a series of
// totals, in bytes per second.
func rates(samples []float64) (steady, peak float64) {
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

// Line is the result as key=value pairs.
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
