// Package telemetry counts what an instance does and exports the counts through
// OpenTelemetry in the Prometheus format. Counting is one atomic addition, so that it
// is cheap enough for the traffic path. The attribute sets are built once and only used
// when the metrics are collected.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/counters"
	"github.com/chivemast/chivemast/internal/hedge"
	"github.com/chivemast/chivemast/internal/request"
)

const meterScope = "github.com/chivemast/chivemast/internal/telemetry"

// SetupError reports that the metrics could not be set up. Step is "exporter" or
// "instruments".
type SetupError struct {
	Step string
	Err  error
}

func (e *SetupError) Error() string { return fmt.Sprintf("telemetry: %s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Err }

// Metrics holds the counters and gauges of one instance. It is safe for concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry

	refusals     *counters.Family
	retries      *counters.Family
	hedges       *counters.Family
	drops        *counters.Family
	controlBytes *counters.Family

	// Values that the callbacks of the instruments read.
	forwarded           atomic.Int64
	invalidObjects      atomic.Int64
	inFlight            atomic.Int64
	trackedFlows        atomic.Int64
	bucketsInTransition atomic.Int64
	revision            atomic.Int64
}

// New returns metrics with their own registry. It fails with *SetupError.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, &SetupError{Step: "exporter", Err: err}
	}
	metrics := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)), registry: registry,
		refusals:     counters.NewFamily("reason", refusalLabels()),
		retries:      counters.NewFamily("reason", retryLabels()),
		hedges:       counters.NewFamily("result", hedge.CounterLabels),
		drops:        counters.NewFamily("reason", allDropLabels()),
		controlBytes: counters.NewTwoAttributeFamily("kind", messageLabels[:], "direction", directionLabels[:]),
	}
	if err := metrics.register(metrics.provider.Meter(meterScope)); err != nil {
		return nil, &SetupError{Step: "instruments", Err: err}
	}
	return metrics, nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (metrics *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{})
}

// Shutdown stops the collection of the metrics. It returns the error of the meter
// provider.
func (metrics *Metrics) Shutdown(ctx context.Context) error { return metrics.provider.Shutdown(ctx) }

// Refused counts a refusal. Values unknown to this version are counted as unspecified.
func (metrics *Metrics) Refused(reason pb.RefusalReason) { metrics.refusals.Add(int(reason), 1) }

// Retried counts a retry of a request.
func (metrics *Metrics) Retried(reason request.RetryReason) { metrics.retries.Add(int(reason), 1) }

// Hedged counts a decision about an extra attempt of a request, or one that was answered
// first. Requests whose answer has begun to arrive are not counted.
func (metrics *Metrics) Hedged(result hedge.Result) {
	if result >= hedge.Sent && result <= hedge.NotKept {
		metrics.hedges.Add(int(result-hedge.Sent), 1)
	}
}

// Dropped counts a dropped packet or peer message.
func (metrics *Metrics) Dropped(reason DropReason) { metrics.drops.Add(int(reason), 1) }

// ControlBytes adds the bytes of one control message.
func (metrics *Metrics) ControlBytes(kind MessageKind, direction Direction, bytes int) {
	metrics.controlBytes.Add(int(kind)*int(directionCount)+int(direction), int64(bytes))
}

// Meter returns the meter for packages that register their own instruments.
func (metrics *Metrics) Meter() metric.Meter { return metrics.provider.Meter(meterScope) }

// Forwarded counts a packet that a traffic goroutine forwarded by the routing snapshot.
func (metrics *Metrics) Forwarded() { metrics.forwarded.Add(1) }

// InvalidObject counts a configuration object that could not be applied.
func (metrics *Metrics) InvalidObject() { metrics.invalidObjects.Add(1) }

// SetInFlight sets the number of requests without an outcome.
func (metrics *Metrics) SetInFlight(n int) { metrics.inFlight.Store(int64(n)) }

// SetTrackedFlows sets the number of flows that are tracked individually.
func (metrics *Metrics) SetTrackedFlows(n int) { metrics.trackedFlows.Store(int64(n)) }

// SetBucketsInTransition sets the number of buckets in transition.
func (metrics *Metrics) SetBucketsInTransition(n int) { metrics.bucketsInTransition.Store(int64(n)) }

// SetRevision sets the configuration revision that the node has applied.
func (metrics *Metrics) SetRevision(revision uint64) { metrics.revision.Store(int64(revision)) }

// Refusals returns the number of refusals counted for a reason.
func (metrics *Metrics) Refusals(reason pb.RefusalReason) int64 {
	return metrics.refusals.Get(int(reason))
}

// Retries returns the number of retries counted for a reason.
func (metrics *Metrics) Retries(reason request.RetryReason) int64 {
	return metrics.retries.Get(int(reason))
}

// Drops returns the number of drops counted for a reason.
func (metrics *Metrics) Drops(reason DropReason) int64 { return metrics.drops.Get(int(reason)) }

// TotalControlBytes returns the bytes of control messages of a kind and direction.
func (metrics *Metrics) TotalControlBytes(kind MessageKind, direction Direction) int64 {
	return metrics.controlBytes.Get(int(kind)*int(directionCount) + int(direction))
}

// RequestObserver implements request.Observer by counting the reports of a request
// engine.
type RequestObserver struct{ Metrics *Metrics }

// Refused implements request.Observer.
func (o RequestObserver) Refused(reason request.Refusal) { o.Metrics.Refused(reason.Reason()) }

// Retried implements request.Observer.
func (o RequestObserver) Retried(reason request.RetryReason) { o.Metrics.Retried(reason) }

// Hedged implements request.Observer.
func (o RequestObserver) Hedged(result hedge.Result) { o.Metrics.Hedged(result) }

// Dropped implements request.Observer.
func (o RequestObserver) Dropped(reason request.DropReason) {
	o.Metrics.Dropped(firstRequestDropReason + DropReason(reason))
}

// RequestDropReason returns the DropReason under which a drop reason of the request
// engine is counted.
func RequestDropReason(reason request.DropReason) DropReason {
	return firstRequestDropReason + DropReason(reason)
}

func (metrics *Metrics) register(meter metric.Meter) error {
	var errs []error
	counterFamily := func(name, description string, f *counters.Family) {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description),
			metric.WithInt64Callback(f.Observe))
		errs = append(errs, err)
	}
	gauge := func(name, description string, value *atomic.Int64) {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value.Load())
				return nil
			}))
		errs = append(errs, err)
	}
	singleCounter := func(name, description string, value *atomic.Int64) {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value.Load())
				return nil
			}))
		errs = append(errs, err)
	}
	singleCounter("chivemast_forwarded_packets", "Packets forwarded by the routing snapshot.", &metrics.forwarded)
	singleCounter("chivemast_invalid_objects", "Configuration objects that could not be applied.", &metrics.invalidObjects)
	counterFamily("chivemast_refusals", "Refused opens and requests.", metrics.refusals)
	counterFamily("chivemast_retries", "Repeated attempts of requests.", metrics.retries)
	counterFamily("chivemast_hedges", "Extra attempts of requests that were due, and of those sent the ones answered first, by result.", metrics.hedges)
	counterFamily("chivemast_dropped_packets", "Packets dropped without an answer.", metrics.drops)
	counterFamily("chivemast_control_bytes", "Bytes of control messages.", metrics.controlBytes)
	gauge("chivemast_requests_in_flight", "Requests without an outcome.", &metrics.inFlight)
	gauge("chivemast_exceptions", "Flows tracked apart from the placement tables.", &metrics.trackedFlows)
	gauge("chivemast_buckets_in_transition", "Buckets in transition between two upstreams.", &metrics.bucketsInTransition)
	gauge("chivemast_config_revision", "Configuration revision applied by the instance.", &metrics.revision)
	return errors.Join(errs...)
}
