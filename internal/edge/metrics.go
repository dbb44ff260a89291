package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/counters"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/peerauth"
)

const scope = "github.com/chivemast/chivemast/internal/edge"

// Reasons for packets that are dropped before or after a decision.
const (
	dropMalformed = iota
	dropSocket
	// dropProbe counts probes that were not started because too many were under
	// way.
	dropProbe
)

var dropLabels = []string{"malformed", "socket", "probe_limit"}

// Directions of messages between instances.
const (
	relaySent = iota
	relayReceived
)

var relayLabels = []string{"sent", "received"}

// relayOther counts messages that the guard accepted and that cannot be used,
// and errors of the network.
var relayOther = len(peerauth.Reasons)

var refusalLabels = append(slices.Clone(peerauth.Reasons), "other")

var actionLabels = []string{"drop", "forward", "reset", "wait"}

// Metrics holds the counters of one instance. It is safe for concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry

	decisions *counters.Family
	drops     *counters.Family
	events    *counters.Family
	probes    *counters.Family
	messages  *counters.Family
	bytes     *counters.Family
	refused   *counters.Family
	lost      atomic.Int64
	failing   atomic.Int64
	flows     atomic.Int64
	upstreams atomic.Int64
	snapshots atomic.Int64
	version   atomic.Int64
	confirmed [3]atomic.Int64
	probe     metric.Float64Histogram
	answer    metric.Float64Histogram
	gap       metric.Float64Histogram
}

// beliefEvents are the counted changes of belief; others count as the first.
var beliefEvents = []string{
	"other", "store_lost", "store_regained", "upstream_added", "upstream_changed", "upstream_removed", "upstream_replaced",
	"upstream_displaced",
	"upstream_invalid", "upstream_older_incarnation", "cookie_collision", "configuration_adopted", "configuration_invalid",
	"configuration_older", "evacuation_started", "evacuation_ended", "entry_invalid", "mate_unavailable",
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	m := &Metrics{
		registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		decisions: counters.NewFamily2("action", actionLabels, "reason", forward.Reasons[:]),
		drops:     counters.NewFamily("reason", dropLabels),
		events:    counters.NewFamily("event", beliefEvents),
		probes:    counters.NewFamily("verdict", forward.Verdicts),
		messages:  counters.NewFamily("direction", relayLabels),
		bytes:     counters.NewFamily("direction", relayLabels),
		refused:   counters.NewFamily("reason", refusalLabels),
	}
	return m, m.register(m.provider.Meter(scope))
}

func (m *Metrics) register(meter metric.Meter) error {
	var errs []error
	counter := func(name, description string, f *counters.Family) {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(f.Observe))
		errs = append(errs, err)
	}
	gauge := func(name, description string, value func() int64) {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value())
				return nil
			}))
		errs = append(errs, err)
	}
	counter("chivemast_decisions", "Packets of callers by action and reason.", m.decisions)
	counter("chivemast_discarded_datagrams", "Datagrams that could not be decoded or sent.", m.drops)
	counter("chivemast_belief_changes", "Changes of what the instance knows.", m.events)
	counter("chivemast_probes", "Connection attempts to upstreams that seemed silent.", m.probes)
	counter("chivemast_relay_messages", "Messages between instances.", m.messages)
	counter("chivemast_relay_refused", "Messages of instances that were not accepted.", m.refused)
	counter("chivemast_relay_bytes", "Bytes of messages between instances.", m.bytes)
	total := func(name, description string, value *atomic.Int64) {
		_, err := meter.Int64ObservableCounter(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value.Load())
				return nil
			}))
		errs = append(errs, err)
	}
	total("chivemast_snapshots", "Views handed to the goroutine that forwards packets.", &m.snapshots)
	total("chivemast_lost_requests", "Requests that an upstream left without an answer.", &m.lost)
	total("chivemast_upstreams_failing", "Times that an upstream was found to fail a part of its requests.", &m.failing)
	gauge("chivemast_flows_remembered", "Flows remembered for the choice of upstreams.", m.flows.Load)
	gauge("chivemast_upstreams_known", "Upstream incarnations that cookies resolve to.", m.upstreams.Load)
	gauge("chivemast_config_version", "Configuration version in force.", m.version.Load)
	for kind := range m.confirmed {
		gauge("chivemast_"+catalog.Kind(kind).String()+"_age_ms", "Time since the store confirmed this knowledge, in ms.",
			func() int64 { return time.Now().UnixMilli() - m.confirmed[kind].Load() })
	}
	var err error
	m.answer, err = meter.Float64Histogram("chivemast_open_answer_ms",
		metric.WithDescription("Time from an opening packet to the next packet of its flow, in ms."),
		metric.WithExplicitBucketBoundaries(1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1600))
	errs = append(errs, err)
	m.probe, err = meter.Float64Histogram("chivemast_probe_ms",
		metric.WithDescription("Duration of connection attempts to upstreams, in ms."),
		metric.WithExplicitBucketBoundaries(1, 2, 5, 10, 20, 50, 100, 200, 300, 400))
	errs = append(errs, err)
	m.gap, err = meter.Float64Histogram("chivemast_knowledge_gap_ms",
		metric.WithDescription("Time between two confirmations of one kind by the store, in ms."),
		metric.WithExplicitBucketBoundaries(10, 100, 500, 1000, 2000, 2600, 4000, 8000, 16000))
	return errors.Join(append(errs, err)...)
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *Metrics) decided(d forward.Decision) {
	m.decisions.Add(int(d.Action)*len(forward.Reasons)+int(d.Reason), 1)
	if d.Answer > 0 {
		m.answer.Record(context.Background(), float64(d.Answer)/float64(time.Millisecond))
	}
}

func (m *Metrics) drop(reason int) { m.drops.Add(reason, 1) }

func (m *Metrics) probed(verdict forward.Verdict, took time.Duration) {
	m.probes.Add(int(verdict), 1)
	m.probe.Record(context.Background(), float64(took)/float64(time.Millisecond))
}

func (m *Metrics) relayed(direction, bytes int) {
	m.messages.Add(direction, 1)
	m.bytes.Add(direction, int64(bytes))
}

// lostRequest counts a request that an upstream left without an answer.
func (m *Metrics) lostRequest(f forward.Failure) {
	if f.Own {
		m.lost.Add(1)
	}
	if f.Failing {
		m.failing.Add(1)
	}
}

// relayRefused counts a message that was not accepted.
func (m *Metrics) relayRefused(err error) {
	reason := relayOther
	var unaccepted *peerauth.Error
	if errors.As(err, &unaccepted) {
		reason = int(unaccepted.Reason)
	}
	m.refused.Add(reason, 1)
}

func (m *Metrics) setFlows(n int) { m.flows.Store(int64(n)) }

func (m *Metrics) changed(event string) {
	for i, name := range beliefEvents {
		if name == event {
			m.events.Add(i, 1)
			return
		}
	}
	m.events.Add(0, 1)
}

func (m *Metrics) adopted(view *catalog.Snapshot) {
	m.snapshots.Add(1)
	m.upstreams.Store(int64(view.Known()))
	m.version.Store(int64(view.Version))
	for kind, confirmed := range view.Confirmed {
		if confirmed.IsZero() {
			continue
		}
		now := confirmed.UnixMilli()
		if before := m.confirmed[kind].Swap(now); before > 0 && now > before {
			m.gap.Record(context.Background(), float64(now-before))
		}
	}
}
