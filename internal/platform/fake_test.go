package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
)

// fakePlatform is an object API in memory. Its connections are pipes, so that
// a test can run it in virtual time.
type fakePlatform struct {
	mu       sync.Mutex
	objects  map[string]*pb.Object
	revision uint64
	calls    map[Call]int
	// putFaults are used up one per Put.
	putFaults []putFault
	// down makes every call fail, silent makes watches send nothing.
	down, silent bool
	watches      []uint64
	// garble makes the next Put take effect with an answer that cannot be
	// decoded.
	garble bool
	// written holds the change ids that took effect, in order.
	written []string
}

func newFake() *fakePlatform {
	return &fakePlatform{objects: map[string]*pb.Object{}, calls: map[Call]int{}}
}

// connect serves the fake and returns a client of it.
func (f *fakePlatform) connect(t *testing.T, cfg Config) *Client {
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewObjectServiceHandler(f))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.garble || r.URL.Path != chivemastv1connect.ObjectServicePutProcedure {
			mux.ServeHTTP(w, r)
			return
		}
		f.garble = false
		mux.ServeHTTP(httptest.NewRecorder(), r)
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write([]byte{0xff})
	})}
	go func() { _ = server.Serve(listener) }()
	cfg.URL = "http://platform"
	client, err := New(cfg)
	require.NoError(t, err)
	client.transport.DialContext = listener.dial
	t.Cleanup(func() {
		client.Close()
		_ = server.Close()
	})
	return client
}

// begin counts a call and fails it while the platform is down.
func (f *fakePlatform) begin(call Call) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[call]++
	if f.down {
		return connect.NewError(connect.CodeUnavailable, nil)
	}
	return nil
}

func (f *fakePlatform) count(call Call) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[call]
}

func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakePlatform) Get(_ context.Context, r *pb.GetRequest) (*pb.GetResponse, error) {
	if err := f.begin(CallGet); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.GetResponse{Object: f.objects[r.GetKey()], Revision: f.revision}, nil
}

func (f *fakePlatform) List(_ context.Context, r *pb.ListRequest) (*pb.ListResponse, error) {
	if err := f.begin(CallList); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.ListResponse{Objects: f.since(r.GetPrefix(), r.GetSinceRevision()), Revision: f.revision}, nil
}

func (f *fakePlatform) since(prefix string, revision uint64) []*pb.Object {
	var objects []*pb.Object
	for key, object := range f.objects {
		if strings.HasPrefix(key, prefix) && object.GetRevision() > revision {
			objects = append(objects, object)
		}
	}
	return objects
}

func (f *fakePlatform) Put(ctx context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	if err := f.begin(CallPut); err != nil {
		return nil, err
	}
	f.mu.Lock()
	var fault putFault
	if len(f.putFaults) > 0 {
		fault, f.putFaults = f.putFaults[0], f.putFaults[1:]
	}
	f.mu.Unlock()
	if fault != nil {
		return fault(ctx, f, r)
	}
	return f.store(r)
}

// store carries a write out.
func (f *fakePlatform) store(r *pb.PutRequest) (*pb.PutResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects[r.GetKey()].GetVersion() != r.GetExpectedVersion() {
		return nil, connect.NewError(connect.CodeAborted, nil)
	}
	f.revision++
	object := &pb.Object{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetExpectedVersion() + 1,
		Revision: f.revision, Deleted: r.GetDelete(), ChangeId: r.GetChangeId()}
	f.objects[r.GetKey()] = object
	f.written = append(f.written, r.GetChangeId())
	return &pb.PutResponse{Object: object}, nil
}

func (f *fakePlatform) Watch(ctx context.Context, r *pb.WatchRequest, stream *connect.ServerStream[pb.WatchResponse]) error {
	if err := f.begin(CallWatch); err != nil {
		return err
	}
	sent := r.GetSinceRevision()
	f.set(func() { f.watches = append(f.watches, sent) })
	for {
		f.mu.Lock()
		message := &pb.WatchResponse{Objects: f.since(r.GetPrefix(), sent), Revision: f.revision}
		silent := f.silent
		f.mu.Unlock()
		if !silent {
			if err := stream.Send(message); err != nil {
				return err
			}
			sent = message.GetRevision()
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (f *fakePlatform) ListInstances(context.Context, *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	if err := f.begin(CallInstances); err != nil {
		return nil, err
	}
	return &pb.ListInstancesResponse{Instances: []*pb.InstanceInfo{{Name: "i1"}}}, nil
}

// pipeListener connects by net.Pipe, which virtual time can see through.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
