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
	"github.com/chivemast/chivemast/internal/standin/silence"
)

// progressInterval is the longest time between two messages of a watch.
const progressInterval = time.Second

// Server serves a Store by ObjectService. Each failure domain may have a
// listener of its own, so that it can be cut off alone.
type Server struct {
	store    *Store
	silencer silence.Injector

	mu sync.Mutex
	// hang makes calls wait instead of failing while the store is down, and
	// lost answers wait instead of resetting the stream.
	hang bool
	cut  map[string]bool
	// changed is closed and replaced when hang or cut changes.
	changed chan struct{}
}

// NewServer returns a server of a store.
func NewServer(store *Store) *Server {
	return &Server{store: store, cut: map[string]bool{}, changed: make(chan struct{})}
}

// HTTPServer returns the server of one listener. It accepts HTTP/2 without TLS
// and HTTP/1.1.
func (s *Server) HTTPServer(listener string) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: s.handler(listener), Protocols: protocols,
		ConnContext: s.silencer.ConnContext, ReadHeaderTimeout: 5 * time.Second}
}

// SilenceConnections makes every present connection silent for good, watches
// included. New ones work.
func (s *Server) SilenceConnections() {
	s.silencer.Silence()
	s.store.SilenceWatches()
}

func (s *Server) handler(listener string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewObjectServiceHandler(&endpoint{server: s, listener: listener}))
	mux.HandleFunc("/control", s.control)
	return s.silencer.Wrap(mux)
}

// SetHang makes calls that fail by an outage or lose their answer wait for the
// client's timeout.
func (s *Server) SetHang(hang bool) {
	s.update(func() { s.hang = hang })
}

// SetCut cuts a listener off: its calls and watches wait without an answer.
func (s *Server) SetCut(listener string, cut bool) {
	s.update(func() { s.cut[listener] = cut })
}

func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) isCut(listener string) (cut, hang bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[listener], s.hang, s.changed
}

type endpoint struct {
	server   *Server
	listener string
}

// enter holds a call back while the listener is cut off and for the delay.
func (e *endpoint) enter(ctx context.Context) error {
	if cut, _, _ := e.server.isCut(e.listener); cut {
		<-ctx.Done()
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	if d := e.server.store.Delay(); d > 0 {
		select {
		case <-ctx.Done():
			return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		case <-time.After(d):
		}
	}
	return nil
}

// fail turns an error of the store into one of the API.
func (e *endpoint) fail(ctx context.Context, err error) error {
	var unavailable *UnavailableError
	var conflict *ConflictError
	var invalid *InvalidError
	var lost *LostAnswerError
	var limited *RateError
	switch {
	case errors.As(err, &unavailable):
		if _, hang, _ := e.server.isCut(e.listener); hang {
			<-ctx.Done()
		}
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.As(err, &conflict):
		aborted := connect.NewError(connect.CodeAborted, err)
		if conflict.Current != nil {
			if detail, detailErr := connect.NewErrorDetail(conflict.Current); detailErr == nil {
				aborted.AddDetail(detail)
			}
		}
		return aborted
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &limited):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &lost):
		// The stream is reset, at once or after the client's timeout, so that
		// the client sees neither success nor a code that says what happened.
		if _, hang, _ := e.server.isCut(e.listener); hang {
			<-ctx.Done()
		}
		panic(http.ErrAbortHandler)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func (e *endpoint) Get(ctx context.Context, req *pb.GetRequest) (*pb.GetResponse, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	object, revision, err := e.server.store.Get(req.Key)
	if err != nil {
		return nil, e.fail(ctx, err)
	}
	return &pb.GetResponse{Object: object, Revision: revision}, nil
}

func (e *endpoint) List(ctx context.Context, req *pb.ListRequest) (*pb.ListResponse, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	objects, revision, err := e.server.store.List(req.Prefix, req.SinceRevision)
	if err != nil {
		return nil, e.fail(ctx, err)
	}
	return &pb.ListResponse{Objects: objects, Revision: revision}, nil
}

func (e *endpoint) Put(ctx context.Context, req *pb.PutRequest) (*pb.PutResponse, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	object, err := e.server.store.Put(req)
	if err != nil {
		return nil, e.fail(ctx, err)
	}
	return &pb.PutResponse{Object: object}, nil
}

func (e *endpoint) ListInstances(ctx context.Context, _ *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	list, err := e.server.store.ListInstances()
	if err != nil {
		return nil, e.fail(ctx, err)
	}
	return &pb.ListInstancesResponse{Instances: list}, nil
}

func (e *endpoint) Watch(ctx context.Context, req *pb.WatchRequest, stream *connect.ServerStream[pb.WatchResponse]) error {
	if err := e.enter(ctx); err != nil {
		return err
	}
	watch, err := e.server.store.Watch(req.Prefix, req.SinceRevision)
	if err != nil {
		return e.fail(ctx, err)
	}
	defer watch.Close()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	for {
		if err := e.deliver(ctx, watch, stream); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-watch.Wake():
		case <-progress.C:
		}
	}
}

// deliver sends what is new, or a progress message. A listener that is cut off
// sends nothing and keeps the watch, as a broken link would.
func (e *endpoint) deliver(ctx context.Context, watch *Watch, stream *connect.ServerStream[pb.WatchResponse]) error {
	for {
		cut, _, changed := e.server.isCut(e.listener)
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
		return e.fail(ctx, err)
	}
	if !ok {
		return nil
	}
	return stream.Send(&pb.WatchResponse{Objects: objects, Revision: revision})
}
