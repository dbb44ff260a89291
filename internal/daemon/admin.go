package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
)

const adminHeaderTimeout = 5 * time.Second

// readiness is what the admin server shows. Its plain fields belong to the
// control goroutine.
type readiness struct {
	ready     atomic.Bool
	revision  uint64
	doneSince time.Time
	// platformLost tells whether the last call to the platform failed.
	platformLost bool
}

func (r *readiness) set(ready bool) { r.ready.Store(ready) }

// serveAdmin serves AdminService, /healthz, /readyz and /metrics.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewAdminServiceHandler(adminServer{d}))
	mux.Handle("/metrics", d.metrics.Handler())
	mux.HandleFunc("/healthz", d.healthz)
	mux.HandleFunc("/readyz", d.readyz)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: adminHeaderTimeout}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.Serve(d.admin); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// healthz fails when the control goroutine does not answer within a second.
func (d *Daemon) healthz(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if _, err := d.requestStatus(ctx); err != nil {
		http.Error(w, "control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

type adminServer struct{ daemon *Daemon }

// Status implements AdminService.
func (a adminServer) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusResponse, error) {
	return a.daemon.requestStatus(ctx)
}
