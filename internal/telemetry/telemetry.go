// Package telemetry counts what an instance does and exposes it through
// OpenTelemetry in the Prometheus format. Counting is one atomic addition, so
// that the traffic path can afford it; the attribute sets are built once and
// used when the metrics are collected.
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
	"github.com/chivemast/chivemast/internal/request"
)

const scope = "github.com/chivemast/chivemast/internal/telemetry"

// SetupError says that the metrics could not be set up.
type SetupError struct {
	Step string
	Err  error
}

func (e *SetupError) Error() string { return fmt.Sprintf("telemetry: %s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *SetupError) Unwrap() error { return e.Err }

// Metrics holds the counters and gauges of one instance. It is safe for
// concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry

	refusals *counters.Family
	retries  *counters.Family
	drops    *counters.Family
	messages *counters.Family

	forwarded           atomic.Int64
	invalidObjects      atomic.Int64
	inFlight            atomic.Int64
	exceptions          atomic.Int64
	bucketsInTransition atomic.Int64
	revision            atomic.Int64
}

// New returns metrics with a registry of their own. It fails with *SetupError.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, &SetupError{Step: "exporter", Err: err}
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)), registry: registry,
		refusals: counters.NewFamily("reason", refusalLabels()),
		retries:  counters.NewFamily("reason", retryLabels()),
		drops:    counters.NewFamily("reason", allDropLabels()),
		messages: counters.NewTwoAttributeFamily("kind", messageLabels[:], "direction", directionLabels[:]),
	}
	if err := m.register(m.provider.Meter(scope)); err != nil {
		return nil, &SetupError{Step: "instruments", Err: err}
	}
	return m, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Shutdown ends the collection.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// Refused counts a refusal.
func (m *Metrics) Refused(reason pb.RefusalReason) { m.refusals.Add(int(reason), 1) }

// Retried counts a retry.
func (m *Metrics) Retried(reason request.RetryReason) { m.retries.Add(int(reason), 1) }

// Dropped counts a dropped packet.
func (m *Metrics) Dropped(reason DropReason) { m.drops.Add(int(reason), 1) }

// ControlBytes counts the bytes of one control message.
func (m *Metrics) ControlBytes(kind MessageKind, direction Direction, bytes int) {
	m.messages.Add(int(kind)*int(directions)+int(direction), int64(bytes))
}

// Meter returns the meter for packages that count by themselves.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter(scope) }

// Forwarded counts a packet forwarded by the routing snapshot.
func (m *Metrics) Forwarded() { m.forwarded.Add(1) }

// InvalidObject counts an object that could not be put in force.
func (m *Metrics) InvalidObject() { m.invalidObjects.Add(1) }

// SetInFlight sets the number of requests without an outcome.
func (m *Metrics) SetInFlight(n int) { m.inFlight.Store(int64(n)) }

// SetExceptions sets the number of tracked flows.
func (m *Metrics) SetExceptions(n int) { m.exceptions.Store(int64(n)) }

// SetBucketsInTransition sets the number of buckets in transition.
func (m *Metrics) SetBucketsInTransition(n int) { m.bucketsInTransition.Store(int64(n)) }

// SetRevision sets the configuration revision in force.
func (m *Metrics) SetRevision(revision uint64) { m.revision.Store(int64(revision)) }

// Refusals returns the number of refusals for a reason.
func (m *Metrics) Refusals(reason pb.RefusalReason) int64 { return m.refusals.Get(int(reason)) }

// Retries returns the number of retries for a reason.
func (m *Metrics) Retries(reason request.RetryReason) int64 { return m.retries.Get(int(reason)) }

// Drops returns the number of packets dropped for a reason.
func (m *Metrics) Drops(reason DropReason) int64 { return m.drops.Get(int(reason)) }

// Bytes returns the control bytes of a kind and direction.
func (m *Metrics) Bytes(kind MessageKind, direction Direction) int64 {
	return m.messages.Get(int(kind)*int(directions) + int(direction))
}

// RequestObserver counts what a request engine reports.
type RequestObserver struct{ Metrics *Metrics }

// Refused implements request.Observer.
func (o RequestObserver) Refused(reason request.Refusal) { o.Metrics.Refused(reason.Reason()) }

// Retried implements request.Observer.
func (o RequestObserver) Retried(reason request.RetryReason) { o.Metrics.Retried(reason) }

// Dropped implements request.Observer.
func (o RequestObserver) Dropped(reason request.DropReason) {
	o.Metrics.Dropped(firstRequestDrop + DropReason(reason))
}

// RequestDrop returns the drop reason that counts a reason of the request
// engine.
func RequestDrop(reason request.DropReason) DropReason { return firstRequestDrop + DropReason(reason) }

func (m *Metrics) register(meter metric.Meter) error {
	var errs []error
	counter := func(name, description string, f *counters.Family) {
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
	single := func(name, description string, value *atomic.Int64) {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value.Load())
				return nil
			}))
		errs = append(errs, err)
	}
	single("chivemast_forwarded_packets", "Packets forwarded by the routing snapshot.", &m.forwarded)
	single("chivemast_invalid_objects", "Configuration objects that could not be put in force.", &m.invalidObjects)
	counter("chivemast_refusals", "Refused opens and requests.", m.refusals)
	counter("chivemast_retries", "Repeated attempts of requests.", m.retries)
	counter("chivemast_dropped_packets", "Packets dropped without an answer.", m.drops)
	counter("chivemast_control_bytes", "Bytes of control messages.", m.messages)
	gauge("chivemast_requests_in_flight", "Requests without an outcome.", &m.inFlight)
	gauge("chivemast_exceptions", "Flows tracked apart from the placement tables.", &m.exceptions)
	gauge("chivemast_buckets_in_transition", "Buckets between two upstreams.", &m.bucketsInTransition)
	gauge("chivemast_config_revision", "Configuration revision in force.", &m.revision)
	return errors.Join(errs...)
}
