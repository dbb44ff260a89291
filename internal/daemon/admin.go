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

// adminHeaderTimeout bounds the time for reading the header of an admin request.
const adminHeaderTimeout = 5 * time.Second

// controlState is the state that the control goroutine keeps besides the node. Only
// ready is accessed by other goroutines.
type controlState struct {
	ready atomic.Bool
	// revision is the configuration revision that was last logged.
	revision uint64
	// completeSince is when the node was first found complete during a shutdown; zero
	// when it is not.
	completeSince time.Time
	// platformUnreachable is true when the last read or watch of the platform failed.
	platformUnreachable bool
}

func (state *controlState) setReady(ready bool) { state.ready.Store(ready) }

// serveAdmin serves AdminService, /healthz, /readyz and /metrics until ctx ends.
func (daemon *Daemon) serveAdmin(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewAdminServiceHandler(adminServer{daemon}))
	mux.Handle("/metrics", daemon.metrics.Handler())
	mux.HandleFunc("/healthz", daemon.healthz)
	mux.HandleFunc("/readyz", daemon.readyz)
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: adminHeaderTimeout}
	cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer cancelClose()
	if err := server.Serve(daemon.admin); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// healthz fails when the control goroutine does not answer within 1 s.
func (daemon *Daemon) healthz(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if _, err := daemon.requestStatus(ctx); err != nil {
		http.Error(w, "control goroutine does not answer", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (daemon *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if !daemon.state.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

type adminServer struct{ daemon *Daemon }

// Status implements AdminService. It fails with the error of ctx when the control
// goroutine does not accept the request in time.
func (a adminServer) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusResponse, error) {
	return a.daemon.requestStatus(ctx)
}
