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

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/internal/follow"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/listen"
	"github.com/chivemast/chivemast/internal/relay"
)

// headerTimeout bounds how long an HTTP client may take for its request.
const headerTimeout = 2 * time.Second

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
