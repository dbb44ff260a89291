// Package edge runs one instance that forwards flows by their cookie: the
// packet socket with its traffic goroutine, the control goroutine that owns the
// catalog, the readiness probe, metrics, shutdown and reload.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/internal/follow"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/internal/relay"
)

const (
	// eventQueue is the number of events of the source that may wait.
	eventQueue = 64
	// tickInterval is the time between two passes of the control goroutine
	// without events: short against the grace of a removed entry (2 s).
	tickInterval = 250 * time.Millisecond
	// publishInterval is the least time between two snapshots: one of 3,700
	// upstreams takes 1.6 ms, and the return of a failure domain changes hundreds
	// of entries within a second.
	publishInterval = 50 * time.Millisecond
	// headerTimeout bounds how long an HTTP client may take for its request.
	headerTimeout = 2 * time.Second
	// changeLines bounds the lines about the changes of one update, which pass
	// the rate limit; /status shows all upstreams.
	changeLines = 64
	// probesToLeave is the number of refused readiness probes after which the
	// routers stop sending to an instance.
	probesToLeave = 2
	// quietToLeave is how long no packet may have arrived: more than the time
	// after which callers send a packet again (200 ms).
	quietToLeave = 300 * time.Millisecond
	// leavePoll is the time between two looks at a leaving instance.
	leavePoll = 50 * time.Millisecond
	// handoverTimeout bounds how long a leaving instance hands its flows over.
	// With the longest wait before (5 s) it ends within the users' grace (6 s).
	handoverTimeout = 500 * time.Millisecond
)

// Instance is one running instance.
type Instance struct {
	settings *Settings
	follower *follow.Follower
	relay    *relay.Relay
	events   chan follow.Event
	log      *eventlog.Log
	metrics  *Metrics
	traffic  *traffic
	view     atomic.Pointer[catalog.Snapshot]
	ready    atomic.Bool
	leaving  atomic.Bool
	// refused counts readiness probes since the instance began to leave.
	refused atomic.Int64
	servers []httpServer
}

type httpServer struct {
	listener net.Listener
	handler  http.Handler
}

// New opens the sockets of an instance. It fails with *listen.Error, or with an
// error of the metrics library.
func New(s *Settings, codec Codec, store follow.Store, log *eventlog.Log) (*Instance, error) {
	metrics, err := NewMetrics()
	if err != nil {
		return nil, err
	}
	conn, err := listenTraffic(s.TrafficAddress)
	if err != nil {
		return nil, err
	}
	i := &Instance{settings: s, log: log, metrics: metrics, events: make(chan follow.Event, eventQueue)}
	i.traffic = &traffic{
		conn: conn, codec: codec, view: &i.view, log: flowLog{log}, metrics: metrics,
		engine: forward.New(forward.Config{
			FailureDomain: s.FailureDomain, ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack, MaxFlows: int(s.MaxFlows),
		}),
	}
	i.traffic.prober = newProber(codec, i.traffic.wake)
	i.traffic.reportLimit = rate.NewLimiter(reportsPerSecond, reportsAtOnce)
	i.traffic.reports = make(chan report, reportQueue)
	i.traffic.imports, i.traffic.exports = make(chan []forward.FlowState, importQueue), make(chan chan<- []forward.FlowState, 1)
	if err := i.listenRelay(store); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := i.listenHTTP(); err != nil {
		return nil, errors.Join(err, conn.Close(), i.relay.Close())
	}
	return i, nil
}

// listenRelay opens the relay and sets up the follower that it feeds.
func (i *Instance) listenRelay(store follow.Store) error {
	s := i.settings
	var err error
	i.relay, err = relay.Listen(relay.Config{
		Self:  relay.Member{Name: s.Instance, FailureDomain: s.FailureDomain, Address: s.PeerAddress},
		Seeds: s.Peers,
		Passed: func(update follow.Update) {
			i.follower.Passed(update)
		},
		Silent:    func(u relay.UpstreamName) { i.traffic.reported(report{upstream: u}) },
		Lost:      func(u relay.UpstreamName) { i.traffic.reported(report{upstream: u, lost: true}) },
		Knowledge: i.knowledge,
		Flows:     i.takeFlows,
		Observer:  relayObserver{i},
		Keys:      s.keys(),
	})
	if err != nil {
		return &listen.Error{Network: "udp", Address: s.PeerAddress, Err: err}
	}
	if len(s.PeerKeys) == 0 {
		i.log.Event(logrus.WarnLevel, "peers_not_authenticated", logrus.Fields{"setting": "peer_keys"})
	}
	i.traffic.silent, i.traffic.lost, i.traffic.sharing = i.relay.ReportSilent, i.relay.ReportLost, i.relay.Sharing
	i.follower = follow.New(store, i.relay, i.events)
	return nil
}

// knowledge returns what this instance knows of a kind.
func (i *Instance) knowledge(kind catalog.Kind) (follow.Update, time.Duration, bool) {
	view := i.view.Load()
	if view == nil || view.Confirmed[kind].IsZero() {
		return follow.Update{}, 0, false
	}
	update := follow.Update{Kind: kind, Revision: view.Revisions[kind]}
	if event := view.Knowledge(kind); event != nil {
		update.Events = []catalog.Event{event}
	}
	return update, time.Since(view.Confirmed[kind]), true
}

// listenHTTP opens the readiness and the metrics address.
func (i *Instance) listenHTTP() error {
	readiness := http.NewServeMux()
	readiness.HandleFunc(i.settings.ReadinessPath, i.serveReady)
	operations := http.NewServeMux()
	operations.Handle("/metrics", i.metrics.handler())
	operations.HandleFunc("/status", i.serveStatus)
	for _, server := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{i.settings.ReadinessAddress, readiness}, {i.settings.MetricsAddress, operations}, {i.settings.PeerAddress, i.relay.Handler()}} {
		listener, err := net.Listen("tcp4", server.address.String())
		if err != nil {
			for _, open := range i.servers {
				err = errors.Join(err, open.listener.Close())
			}
			return &listen.Error{Network: "tcp", Address: server.address, Err: err}
		}
		i.servers = append(i.servers, httpServer{listener: listener, handler: server.handler})
	}
	return nil
}

// Run serves until ctx ends and the instance has left the fabric's rotation, or
// until abort ends. A value on reload makes it read the settings again.
func (i *Instance) Run(ctx, abort context.Context, reload <-chan os.Signal, load func() (*Settings, error)) error {
	stop, cancel := context.WithCancel(abort)
	defer cancel()
	group, stop := errgroup.WithContext(stop)
	group.Go(func() error { return i.traffic.run(stop) })
	group.Go(func() error { return i.traffic.prober.run(stop) })
	group.Go(func() error { return i.relay.Run(stop) })
	group.Go(func() error { return i.follower.Run(stop) })
	for _, server := range i.servers {
		group.Go(func() error { return serveHTTP(stop, server) })
	}
	group.Go(func() error { i.control(stop, reload, load); return nil })
	group.Go(func() error {
		defer cancel()
		i.leave(ctx, stop)
		return nil
	})
	return errors.Join(group.Wait(), i.metrics.provider.Shutdown(context.WithoutCancel(abort)))
}

// leave waits for the end of ctx, takes the instance out of the rotation, and
// goes on forwarding until the routers have noticed.
func (i *Instance) leave(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
	case <-stop.Done():
		return
	}
	began := time.Now()
	i.refused.Store(0)
	i.leaving.Store(true)
	i.ready.Store(false)
	i.log.Event(logrus.InfoLevel, "shutdown_started", logrus.Fields{"forwards_at_most_ms": i.settings.ShutdownMS})
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for now := began; !i.mayExit(now, began); {
		select {
		case now = <-ticker.C:
		case <-stop.Done():
			return
		}
	}
	i.handOver(stop)
	i.log.Event(logrus.InfoLevel, "shutdown_finished", logrus.Fields{
		"after_ms": time.Since(began).Milliseconds(), "probes_refused": i.refused.Load(),
		"quiet_ms": time.Since(i.traffic.lastPacket()).Milliseconds(), "flows_remembered": i.metrics.flows.Load(),
	})
}

// handOver gives the remembered flows to another instance of the failure domain.
func (i *Instance) handOver(stop context.Context) {
	ctx, cancel := context.WithTimeout(stop, handoverTimeout)
	defer cancel()
	flows := i.traffic.exportFlows(ctx)
	if len(flows) == 0 {
		return
	}
	mate, err := i.relay.HandOver(ctx, flows)
	if err != nil {
		i.log.Event(logrus.WarnLevel, "flows_not_handed_over", logrus.Fields{"flows": len(flows), "error": err})
		return
	}
	i.log.Event(logrus.InfoLevel, "flows_handed_over", logrus.Fields{"flows": len(flows), "member": mate.Name})
}

// takeFlows takes flows over from an instance that leaves.
func (i *Instance) takeFlows(flows []forward.FlowState) bool {
	if i.leaving.Load() || !i.ready.Load() || !i.traffic.importFlows(flows) {
		return false
	}
	i.log.Event(logrus.InfoLevel, "flows_taken_over", logrus.Fields{"flows": len(flows)})
	return true
}

// mayExit tells whether the routers have taken a leaving instance out of the
// rotation. They go on sending while too few instances are left.
func (i *Instance) mayExit(now, began time.Time) bool {
	if now.Sub(began) >= i.settings.shutdown() {
		return true
	}
	return i.refused.Load() >= probesToLeave && now.Sub(i.traffic.lastPacket()) >= quietToLeave
}

// control is the control goroutine: it owns the catalog.
func (i *Instance) control(ctx context.Context, reload <-chan os.Signal, load func() (*Settings, error)) {
	c := catalog.New()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pace pacer
	var due <-chan time.Time
	var unlogged []catalog.Change
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			due = nil
		case event := <-i.events:
			unlogged = append(unlogged, c.Apply(time.Now().Add(-event.Age), event.Event)...)
		case <-reload:
			i.reload(load)
			continue
		case now := <-ticker.C:
			c.Forget(now)
		}
		wait := pace.wait(time.Now())
		if wait > 0 && due == nil {
			due = time.After(wait)
		}
		if wait <= 0 && i.publish(c) && i.view.Load().Ready() {
			pace.published(time.Now())
		}
		i.updateReadiness(time.Now())
		// Lines take longer than the snapshot that callers wait for.
		i.logChanges(unlogged)
		unlogged = unlogged[:0]
	}
}

// pacer spaces snapshots. What changes meanwhile is part of the next one.
type pacer struct{ last time.Time }

// wait returns how long the next snapshot has to wait.
func (p *pacer) wait(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return publishInterval - now.Sub(p.last)
}

func (p *pacer) published(now time.Time) { p.last = now }

// publish hands a changed view to the traffic goroutine; false when there is
// none. The upstreams alone let it forward established flows, while the
// configuration is still being read at a start.
func (i *Instance) publish(c *catalog.Catalog) bool {
	if !c.KnowsUpstreams() {
		return false
	}
	view, changed := c.Snapshot(time.Now())
	if !changed {
		return false
	}
	i.view.Store(view)
	i.traffic.wake()
	i.metrics.adopted(view)
	return true
}

// updateReadiness takes the instance into the rotation while it can serve.
func (i *Instance) updateReadiness(now time.Time) {
	view := i.view.Load()
	ready := view != nil && view.Ready() && !i.leaving.Load() && !i.traffic.cutOff.Load()
	if i.ready.Swap(ready) == ready || view == nil {
		return
	}
	i.log.Event(logrus.InfoLevel, "readiness_changed", logrus.Fields{
		"ready": ready, "leaving": i.leaving.Load(), "cut_off": i.traffic.cutOff.Load(),
		"config_version": view.Version, "upstreams": view.Known(), "upstreams_revision": view.Revisions[catalog.KindUpstreams],
		"upstreams_age_ms": now.Sub(view.Confirmed[catalog.KindUpstreams]).Milliseconds(),
	})
}

func (i *Instance) logChanges(changes []catalog.Change) {
	unwritten := map[string]int{}
	for n, change := range changes {
		i.metrics.changed(change.Event)
		if n >= changeLines {
			unwritten[change.Event]++
			continue
		}
		level := logrus.InfoLevel
		fields := logrus.Fields{"kind": change.Kind.String(), "revision": change.Revision}
		if change.Subject != "" {
			fields["subject"] = change.Subject
		}
		if change.Detail != "" {
			fields["detail"] = change.Detail
		}
		if change.Err != nil {
			level = logrus.WarnLevel
			fields["error"] = change.Err
		}
		i.log.Event(level, change.Event, fields)
	}
	for event, count := range unwritten {
		i.log.Event(logrus.InfoLevel, "changes_summarized", logrus.Fields{
			"change": event, "count": count, "revision": changes[len(changes)-1].Revision,
		})
	}
}

// reload applies the log level and the keys of changed settings; other settings
// need a restart.
func (i *Instance) reload(load func() (*Settings, error)) {
	next, err := load()
	if err != nil {
		i.log.Event(logrus.ErrorLevel, "reload_failed", logrus.Fields{"error": err})
		return
	}
	i.log.SetLevel(next.Level())
	i.relay.SetKeys(next.keys())
	applied := *i.settings
	applied.LogLevel, applied.PeerKeys = next.LogLevel, next.PeerKeys
	i.log.Event(logrus.InfoLevel, "reloaded", logrus.Fields{
		"log_level": next.LogLevel, "peer_keys": len(next.PeerKeys), "restart_needed": !applied.equal(next),
	})
}

func serveHTTP(ctx context.Context, s httpServer) error {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready.Load() {
		i.refused.Add(1)
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // The prober sees a failed write itself.
}

// relayObserver counts and logs what the relay reports.
type relayObserver struct{ instance *Instance }

// Sent implements relay.Observer.
func (o relayObserver) Sent(bytes int) { o.instance.metrics.relayed(relaySent, bytes) }

// Received implements relay.Observer.
func (o relayObserver) Received(bytes int) { o.instance.metrics.relayed(relayReceived, bytes) }

// Rejected implements relay.Observer.
func (o relayObserver) Rejected(source netip.AddrPort, err error) {
	o.instance.metrics.relayRefused(err)
	level := logrus.WarnLevel
	var unaccepted *peerauth.Error
	if errors.As(err, &unaccepted) && unaccepted.Reason == peerauth.Unbound {
		// It follows each restart of the receiver.
		level = logrus.InfoLevel
	}
	o.instance.log.Flow(level, "message_rejected", func() logrus.Fields {
		return logrus.Fields{"source": source.String(), "error": err}
	})
}

// MemberChanged implements relay.Observer.
func (o relayObserver) MemberChanged(member relay.Member, found bool) {
	event := "member_lost"
	if found {
		event = "member_found"
	}
	o.instance.log.Flow(logrus.InfoLevel, event, func() logrus.Fields {
		return logrus.Fields{"member": member.Name, "member_domain": member.FailureDomain, "address": member.Address.String()}
	})
}
