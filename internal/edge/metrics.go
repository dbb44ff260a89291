package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/counters"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/hedge"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/overload"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/internal/relay"
)

const scope = "github.com/chivemast/chivemast/internal/edge"

// Indexes into dropLabels: reasons for datagrams dropped before or after a decision,
// and for probes that were not started.
const (
	dropMalformed = iota
	dropSocket
	// dropProbe is for probes that were not started because too many were in
	// progress.
	dropProbe
	// dropLoadReport is for reports on response times that found the queue full.
	dropLoadReport
	// dropSuperseded is for opening packets that were held, or waited while the process was
	// paused, until their caller has probably sent a copy.
	dropSuperseded
	// dropContradiction is for upstreams in contradictions of silence reports that found the
	// queue full or exceeded the rate limit.
	dropContradiction
)

var dropLabels = []string{"malformed", "socket", "probe_limit", "load_report_queue", "superseded", "contradiction_limit"}

// Indexes into relayLabels: directions of messages between instances.
const (
	relaySent = iota
	relayReceived
)

var relayLabels = []string{"sent", "received"}

// relayOther and relayInFlight are the indexes into refusalLabels for refusals without a
// reason of peerauth: relayInFlight for malformed reports of requests in flight, relayOther
// for other messages that cannot be used, and network errors.
var relayOther, relayInFlight = len(peerauth.Reasons), len(peerauth.Reasons) + 1

var refusalLabels = append(slices.Clone(peerauth.Reasons), "other", "in_flight")

// priorityLabels holds the label of each priority of a route, indexed by the priority.
var priorityLabels = func() (labels []string) {
	for priority := range catalog.LowestPriority + 1 {
		labels = append(labels, strconv.Itoa(priority))
	}
	return labels
}()

// Indexes into upstreamLabels: states of the entry of a flow's upstream.
const (
	upstreamUnknown = iota
	upstreamListed
	upstreamDraining
	upstreamMissing
)

var upstreamLabels = []string{"unknown", "listed", "draining", "missing"}

func upstreamLabel(d forward.Decision) int {
	switch {
	case d.Grounds == nil:
		return upstreamUnknown
	case d.Grounds.Missing != evidence.Never:
		return upstreamMissing
	case d.Grounds.Draining:
		return upstreamDraining
	}
	return upstreamListed
}

var actionLabels = []string{"drop", "forward", "reset", "wait"}

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry

	decisions *counters.Family
	choices   *counters.Family
	drops     *counters.Family
	events    *counters.Family
	probes    *counters.Family
	messages  *counters.Family
	bytes     *counters.Family
	refused   *counters.Family
	hedges    *counters.Family
	avoided   *counters.Family
	resets    *counters.Family
	moved     atomic.Int64
	// contradicted counts the probes without an answer that peers contradicted.
	contradicted atomic.Int64
	lost         atomic.Int64
	failing      atomic.Int64
	flows        atomic.Int64
	upstreams    atomic.Int64
	snapshots    atomic.Int64
	version      atomic.Int64
	era          atomic.Int64
	// confirmed is when the store last confirmed each catalog.Kind, in Unix
	// milliseconds; 0 before the first confirmation.
	confirmed [3]atomic.Int64
	probe     metric.Float64Histogram
	answer    metric.Float64Histogram
	gap       metric.Float64Histogram

	// admissions counts new flows by priority and overload.Outcome.
	admissions *counters.Family
}

// changeEvents are the label values of chivemast_belief_changes. Events that are not
// listed count as the first one.
var changeEvents = []string{
	"other", "store_lost", "store_regained", "upstream_added", "upstream_changed", "upstream_removed", "upstream_replaced",
	"upstream_displaced",
	"upstream_invalid", "upstream_older_incarnation", "cookie_collision", "configuration_adopted", "configuration_invalid",
	"configuration_older", "evacuation_started", "evacuation_ended", "entry_invalid", "peer_state_fetched", "state_known",
	"store_era_changed", "store_era_settled", "answer_ignored",
}

// NewMetrics returns metrics with their own registry. It returns the errors of the
// metrics library.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, err
	}
	m := &Metrics{
		registry: registry, provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		decisions: counters.NewTwoAttributeFamily("action", actionLabels, "reason", forward.ReasonLabels[:]),
		choices:   counters.NewTwoAttributeFamily("tier", choice.TierLabels, "cause", choice.CauseLabels),
		drops:     counters.NewFamily("reason", dropLabels),
		events:    counters.NewFamily("event", changeEvents),
		probes:    counters.NewFamily("verdict", evidence.ProbeOutcomeLabels),
		messages:  counters.NewTwoAttributeFamily("direction", relayLabels, "kind", relay.MessageKindLabels),
		bytes:     counters.NewTwoAttributeFamily("direction", relayLabels, "kind", relay.MessageKindLabels),
		refused:   counters.NewFamily("reason", refusalLabels),

		admissions: counters.NewTwoAttributeFamily("priority", priorityLabels, "result", overload.OutcomeLabels),
		hedges:     counters.NewFamily("result", hedge.CounterLabels),
		avoided:    counters.NewFamily("reason", forward.AvoidReasonLabels),
		resets:     counters.NewTwoAttributeFamily("reason", forward.ReasonLabels[:], "upstream", upstreamLabels),
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
	counter("chivemast_choices", "Opening packets by the tier of their upstream and why they stay in the failure domain or leave it.", m.choices)
	counter("chivemast_admissions", "New flows by the priority of their route and the result of admission control.", m.admissions)
	counter("chivemast_avoided_upstreams", "Times that new flows began to avoid an upstream, by reason.", m.avoided)
	counter("chivemast_flow_resets", "Resets of established flows by reason and the entry of their upstream.", m.resets)
	counter("chivemast_hedges", "Extra attempts of opening packets that were due, and of those sent the ones answered first, by result.", m.hedges)
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
	total("chivemast_flows_moved", "Established flows whose packets began to go to another upstream.", &m.moved)
	total("chivemast_contradicted_verdicts", "Probes without an answer that count for nothing because peers had answers of the upstream.", &m.contradicted)
	total("chivemast_lost_requests", "Requests that an upstream left without an answer.", &m.lost)
	total("chivemast_upstreams_failing", "Times that an upstream was found to fail a part of its requests.", &m.failing)
	gauge("chivemast_flows_remembered", "Flows remembered for the choice of upstreams.", m.flows.Load)
	gauge("chivemast_upstreams_known", "Upstream incarnations that cookies resolve to.", m.upstreams.Load)
	gauge("chivemast_config_version", "Configuration version in force.", m.version.Load)
	gauge("chivemast_store_era", "Era of the store in its last answer about upstreams.", m.era.Load)
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

// countDecision counts a decision and records the time to the flow's next packet, if the
// decision has one. established is false for opening packets.
func (m *Metrics) countDecision(d forward.Decision, established bool) {
	m.decisions.Add(int(d.Action)*len(forward.ReasonLabels)+int(d.Reason), 1)
	if d.Action == forward.Reset && established {
		m.resets.Add(int(d.Reason)*len(upstreamLabels)+upstreamLabel(d), 1)
	}
	if d.Choice != nil {
		m.choices.Add(int(d.Choice.Tier)*len(choice.CauseLabels)+int(d.Choice.Cause), 1)
	}
	if a := d.Admission; a != nil {
		m.admissions.Add(a.Priority*len(overload.OutcomeLabels)+int(a.Reason.Outcome()), 1)
	}
	if d.HandshakeTime > 0 {
		m.answer.Record(context.Background(), float64(d.HandshakeTime)/float64(time.Millisecond))
	}
}

// countHedge counts a result other than hedge.None.
func (m *Metrics) countHedge(result hedge.Result) { m.hedges.Add(int(result-hedge.Sent), 1) }

func (m *Metrics) countDrop(reason int) { m.drops.Add(reason, 1) }

func (m *Metrics) countProbe(outcome evidence.ProbeOutcome, took time.Duration) {
	m.probes.Add(int(outcome), 1)
	m.probe.Record(context.Background(), float64(took)/float64(time.Millisecond))
}

func (m *Metrics) countMessage(direction int, kind relay.MessageKind, bytes int) {
	index := direction*len(relay.MessageKindLabels) + int(kind)
	m.messages.Add(index, 1)
	m.bytes.Add(index, int64(bytes))
}

// MessageCount is the number of messages of one kind that an instance has sent or
// received, and their bytes.
type MessageCount struct {
	Kind      string `json:"kind"`
	Direction string `json:"direction"`
	Messages  int64  `json:"messages"`
	Bytes     int64  `json:"bytes"`
}

// messageCounts returns the counts of all kinds of messages that occurred.
func (m *Metrics) messageCounts() []MessageCount {
	var counts []MessageCount
	for direction, label := range relayLabels {
		for kind, kindLabel := range relay.MessageKindLabels {
			index := direction*len(relay.MessageKindLabels) + kind
			if n := m.messages.Get(index); n > 0 {
				counts = append(counts, MessageCount{Kind: kindLabel, Direction: label, Messages: n, Bytes: m.bytes.Get(index)})
			}
		}
	}
	return counts
}

// countLostRequest counts a request that an upstream left unanswered, if this instance
// saw it, and an upstream that is now found to be failing.
func (m *Metrics) countLostRequest(f evidence.LostRequest) {
	if f.Local {
		m.lost.Add(1)
	}
	if f.StartsFailing {
		m.failing.Add(1)
	}
}

// countRefusedMessage counts a message that was not accepted, by the reason in err.
func (m *Metrics) countRefusedMessage(err error) {
	reason := relayOther
	var unaccepted *peerauth.Error
	var malformed *inflight.FormatError
	switch {
	case errors.As(err, &unaccepted):
		reason = int(unaccepted.Reason)
	case errors.As(err, &malformed):
		reason = relayInFlight
	}
	m.refused.Add(reason, 1)
}

func (m *Metrics) setFlows(n int) { m.flows.Store(int64(n)) }

// countChange counts a change of the catalog by its event.
func (m *Metrics) countChange(event string) {
	for n, name := range changeEvents {
		if name == event {
			m.events.Add(n, 1)
			return
		}
	}
	m.events.Add(0, 1)
}

// recordSnapshot records a published snapshot and the time between its confirmations and
// those of the snapshot before, in ms.
func (m *Metrics) recordSnapshot(snapshot *catalog.Snapshot) {
	m.snapshots.Add(1)
	m.upstreams.Store(int64(snapshot.UpstreamCount()))
	m.version.Store(int64(snapshot.Version))
	m.era.Store(int64(snapshot.Eras[catalog.KindUpstreams]))
	for kind, confirmed := range snapshot.Confirmed {
		if confirmed.IsZero() {
			continue
		}
		now := confirmed.UnixMilli()
		if before := m.confirmed[kind].Swap(now); before > 0 && now > before {
			m.gap.Record(context.Background(), float64(now-before))
		}
	}
}
