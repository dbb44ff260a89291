package platform

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
	"github.com/chivemast/chivemast/internal/position"
	"github.com/chivemast/chivemast/internal/standin/silence"
)

// progressInterval is the maximum time between two messages of a watch. Without
// changes the watch sends a progress message.
const progressInterval = time.Second

// Server exposes a Store as ObjectService and /control over HTTP. Each failure
// domain may use a separate listener, so that it can be cut off from the platform
// separately.
type Server struct {
	store    *Store
	silencer silence.Injector

	mu sync.Mutex
	// hang makes calls wait until the client gives up before they fail because
	// of an outage or before their stream is reset for a lost response.
	hang bool
	// cutListeners contains true for the name of each listener that is cut off.
	cutListeners map[string]bool
	// faultsChanged is closed and replaced when hang or cutListeners changes.
	faultsChanged chan struct{}
}

// NewServer returns a server for the store.
func NewServer(store *Store) *Server {
	return &Server{store: store, cutListeners: map[string]bool{}, faultsChanged: make(chan struct{})}
}

// HTTPServer returns the HTTP server for the listener with the given name. It
// accepts HTTP/1.1 and HTTP/2 without TLS.
func (s *Server) HTTPServer(listener string) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: s.handler(listener), Protocols: protocols,
		ConnContext: s.silencer.ConnContext, ReadHeaderTimeout: 5 * time.Second}
}

// SilenceConnections makes every connection and watch that is open now silent for
// good. Those opened later work.
func (s *Server) SilenceConnections() {
	s.silencer.Silence()
	s.store.SilenceWatches()
}

func (s *Server) handler(listener string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewObjectServiceHandler(&apiHandler{server: s, listener: listener}))
	mux.HandleFunc("/control", s.handleControl)
	return s.silencer.Wrap(mux)
}

// SetHang sets whether calls that fail because of an outage or lose their
// response wait until the client gives up.
func (s *Server) SetHang(hang bool) {
	s.changeFaults(func() { s.hang = hang })
}

// SetCut cuts a listener off or reconnects it. Calls that arrive at a cut
// listener wait without a response until the client gives up, and its watches
// send nothing until the listener is reconnected.
func (s *Server) SetCut(listener string, cut bool) {
	s.changeFaults(func() { s.cutListeners[listener] = cut })
}

func (s *Server) changeFaults(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Server) listenerFaults(listener string) (cut, hang bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutListeners[listener], s.hang, s.faultsChanged
}

// apiHandler implements ObjectService for one listener.
type apiHandler struct {
	server   *Server
	listener string
}

// applyCallFaults delays a call by Store.Delay. On a listener that is cut off, it
// waits until the client gives up and returns CodeDeadlineExceeded.
func (h *apiHandler) applyCallFaults(ctx context.Context) error {
	if cut, _, _ := h.server.listenerFaults(h.listener); cut {
		<-ctx.Done()
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	if d := h.server.store.Delay(); d > 0 {
		select {
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		case <-time.After(d):
		}
	}
	return nil
}

// apiError converts an error of the store to a Connect error with its status
// code. It panics with http.ErrAbortHandler, which resets the stream, for a
// *LostResponseError.
func (h *apiHandler) apiError(ctx context.Context, err error) error {
	var unavailable *UnavailableError
	var conflict *ConflictError
	var invalid *InvalidError
	var lost *LostResponseError
	var limited *RateError
	switch {
	case errors.As(err, &unavailable):
		if _, hang, _ := h.server.listenerFaults(h.listener); hang {
			<-ctx.Done()
		}
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.As(err, &conflict):
		aborted := connect.NewError(connect.CodeAborted, err)
		if conflict.Current != nil {
			if detail, detailErr := connect.NewErrorDetail(onWire(conflict.Current)); detailErr == nil {
				aborted.AddDetail(detail)
			}
		}
		return aborted
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &limited):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &lost):
		// The stream is reset, immediately or after the client's timeout, so
		// that the client cannot tell from the response whether the write took
		// effect.
		if _, hang, _ := h.server.listenerFaults(h.listener); hang {
			<-ctx.Done()
		}
		panic(http.ErrAbortHandler)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func (h *apiHandler) Get(ctx context.Context, req *pb.GetRequest) (*pb.GetResponse, error) {
	if err := h.applyCallFaults(ctx); err != nil {
		return nil, err
	}
	object, revision, err := h.server.store.Get(req.Key)
	if err != nil {
		return nil, h.apiError(ctx, err)
	}
	return &pb.GetResponse{Object: onWire(object), Revision: position.Revision(revision), Era: position.Era(revision)}, nil
}

func (h *apiHandler) List(ctx context.Context, req *pb.ListRequest) (*pb.ListResponse, error) {
	if err := h.applyCallFaults(ctx); err != nil {
		return nil, err
	}
	since, err := position.Of(req.SinceEra, req.SinceRevision)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	objects, revision, err := h.server.store.List(req.Prefix, since)
	if err != nil {
		return nil, h.apiError(ctx, err)
	}
	return &pb.ListResponse{Objects: allOnWire(objects), Revision: position.Revision(revision), Era: position.Era(revision)}, nil
}

func (h *apiHandler) Put(ctx context.Context, req *pb.PutRequest) (*pb.PutResponse, error) {
	if err := h.applyCallFaults(ctx); err != nil {
		return nil, err
	}
	object, err := h.server.store.Put(req)
	if err != nil {
		return nil, h.apiError(ctx, err)
	}
	return &pb.PutResponse{Era: position.Era(object.GetRevision()), Object: onWire(object)}, nil
}

func (h *apiHandler) ListInstances(ctx context.Context, _ *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	if err := h.applyCallFaults(ctx); err != nil {
		return nil, err
	}
	list, err := h.server.store.ListInstances()
	if err != nil {
		return nil, h.apiError(ctx, err)
	}
	return &pb.ListInstancesResponse{Instances: list}, nil
}

func (h *apiHandler) Watch(ctx context.Context, req *pb.WatchRequest,
	stream *connect.ServerStream[pb.WatchResponse]) error {
	if err := h.applyCallFaults(ctx); err != nil {
		return err
	}
	since, err := position.Of(req.SinceEra, req.SinceRevision)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	watch, err := h.server.store.Watch(req.Prefix, since)
	if err != nil {
		return h.apiError(ctx, err)
	}
	defer watch.Close()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		if err := h.sendChanges(ctx, watch, stream); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-watch.Notifications():
		case <-progress.C:
		}
	}
}

// sendChanges sends the changes since the last message, or a progress message if
// there are none. While the listener is cut off it sends nothing and keeps the
// watch open, as on a broken network link.
func (h *apiHandler) sendChanges(ctx context.Context, watch *Watch,
	stream *connect.ServerStream[pb.WatchResponse]) error {
	for {
		cut, _, changed := h.server.listenerFaults(h.listener)
		if !cut {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
	objects, revision, ok, err := watch.Next()
	if err != nil {
		return h.apiError(ctx, err)
	}
	if !ok {
		return nil
	}
	return stream.Send(&pb.WatchResponse{Objects: allOnWire(objects), Revision: position.Revision(revision), Era: position.Era(revision)})
}

// onWire replaces the position of an object by its revision, because the answer that
// carries it names the era. It returns the object.
func onWire(object *pb.Object) *pb.Object {
	if object != nil {
		object.Revision = position.Revision(object.Revision)
	}
	return object
}

func allOnWire(objects []*pb.Object) []*pb.Object {
	for _, object := range objects {
		onWire(object)
	}
	return objects
}
