// Package edge runs one instance, which forwards the packets of established flows
// by the cookie that they carry. It contains the packet socket with its traffic
// goroutine, the control goroutine that owns the catalog, the readiness probe,
// metrics, shutdown and reload.
package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/catalogsync"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/relay"
)

// headerTimeout is the maximum time in which an HTTP client must send the headers
// of its request.
const headerTimeout = 2 * time.Second

// Instance is one running load balancer. New creates it and Run runs it once.
type Instance struct {
	settings *Settings
	syncer   *catalogsync.Syncer
	relay    *relay.Relay
	events   chan catalogsync.Event
	log      *eventlog.Log
	metrics  *Metrics
	traffic  *trafficLoop
	// snapshot is the last published snapshot; nil until the upstreams are known.
	snapshot     atomic.Pointer[catalog.Snapshot]
	ready        atomic.Bool
	shuttingDown atomic.Bool
	// refusedProbes is the number of readiness probes refused since the shutdown began;
	// before, since the start.
	refusedProbes atomic.Int64
	// explainLimit limits the rate of /explain.
	explainLimit *rate.Limiter
	// lastOverload is the last OverloadStatus, nil when the traffic goroutine did not answer,
	// and lastOverloadAt its time; overloadMutex guards both.
	overloadMutex  sync.Mutex
	lastOverload   *OverloadStatus
	lastOverloadAt time.Time
	servers        []httpServer
}

type httpServer struct {
	listener net.Listener
	handler  http.Handler
}

// New creates an instance and opens its sockets. It returns a *listen.Error, joined
// with errors of closing other sockets, or an error of the metrics library.
func New(s *Settings, codec Codec, store catalogsync.Store, log *eventlog.Log) (*Instance, error) {
	metrics, err := NewMetrics()
	if err != nil {
		return nil, err
	}
	conn, err := listenTraffic(s.TrafficAddress)
	if err != nil {
		return nil, err
	}
	instance := &Instance{settings: s, log: log, metrics: metrics, events: make(chan catalogsync.Event, eventQueue)}
	instance.explainLimit = rate.NewLimiter(explainsPerSecond, explainBurst)
	instance.traffic = &trafficLoop{
		conn: conn, codec: codec, snapshot: &instance.snapshot, log: newFlowLog(log), metrics: metrics, failureDomain: s.FailureDomain,
		engine: forward.New(forward.Config{
			FailureDomain: s.FailureDomain, ColdFactor: s.ColdFactor, ColdSlack: s.ColdSlack, MaxFlows: int(s.MaxFlows), Seed: rand.Uint64(),
			OverloadControl: s.OverloadControl, Limits: s.limits(), CookieByID: s.CookieByID,
		}),
	}
	instance.traffic.prober = newProber(codec, instance.traffic.wake)
	instance.traffic.reportLimit, instance.traffic.contradictionLimit = rate.NewLimiter(reportsPerSecond, reportsAtOnce), rate.NewLimiter(reportsPerSecond, reportsAtOnce)
	instance.traffic.contradictions = make(chan contradictionReport, reportQueue)
	instance.traffic.reports, instance.traffic.loads = make(chan peerReport, reportQueue), make(chan loadReport, loadReportQueue)
	instance.traffic.imports, instance.traffic.exports = make(chan []forward.HandoverFlow, importQueue), make(chan chan<- []forward.HandoverFlow, 1)
	instance.traffic.questions = make(chan question, 1)
	if err := instance.listenRelay(store); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	if err := instance.listenHTTP(); err != nil {
		return nil, errors.Join(err, conn.Close(), instance.relay.Close())
	}
	return instance, nil
}

// listenHTTP opens the readiness, metrics and peer addresses. It returns a
// *listen.Error and closes the listeners it has opened if one cannot be opened.
func (instance *Instance) listenHTTP() error {
	readiness := http.NewServeMux()
	readiness.HandleFunc(instance.settings.ReadinessPath, instance.serveReady)
	operations := http.NewServeMux()
	operations.Handle("/metrics", instance.metrics.handler())
	operations.HandleFunc("/status", instance.serveStatus)
	operations.HandleFunc("/explain", instance.serveExplain)
	for _, server := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{{instance.settings.ReadinessAddress, readiness}, {instance.settings.MetricsAddress, operations}, {instance.settings.PeerAddress, instance.relay.Handler()}} {
		listener, err := net.Listen("tcp4", server.address.String())
		if err != nil {
			for _, open := range instance.servers {
				err = errors.Join(err, open.listener.Close())
			}
			return &listen.Error{Network: "tcp", Address: server.address, Err: err}
		}
		instance.servers = append(instance.servers, httpServer{listener: listener, handler: server.handler})
	}
	return nil
}

// Run serves until ctx ends and the shutdown is complete, or until abort ends. After
// ctx ends the instance forwards packets until the fabric's routers no longer send
// any, or for the setting shutdown_ms at most. A value on reload makes it read the
// settings again with load. It returns the first error of a socket or server, joined
// with an error of the metrics library.
func (instance *Instance) Run(ctx, abort context.Context, reload <-chan os.Signal, load func() (*Settings, error)) error {
	stop, cancel := context.WithCancel(abort)
	defer cancel()
	group, stop := errgroup.WithContext(stop)
	group.Go(func() error { return instance.traffic.run(stop) })
	group.Go(func() error { return instance.traffic.prober.run(stop) })
	group.Go(func() error { return instance.relay.Run(stop) })
	group.Go(func() error { return instance.syncer.Run(stop) })
	for _, server := range instance.servers {
		group.Go(func() error { return serveHTTP(stop, server) })
	}
	group.Go(func() error { instance.runControl(stop, reload, load); return nil })
	group.Go(func() error {
		defer cancel()
		instance.shutDown(ctx, stop)
		return nil
	})
	return errors.Join(group.Wait(), instance.metrics.provider.Shutdown(context.WithoutCancel(abort)))
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

func (instance *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !instance.ready.Load() {
		instance.refusedProbes.Add(1)
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n")) // The fabric's probe notices a failed write itself.
}
