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

// fakePlatform is an object API in memory. Its connections are pipes, so that tests
// can use it with the virtual time of synctest.
type fakePlatform struct {
	mu       sync.Mutex
	objects  map[string]*pb.Object
	revision uint64
	calls    map[Call]int // received calls by kind
	// putFaults holds the faults of the next Puts, one per Put in order; a Put
	// without an entry succeeds.
	putFaults []putFault
	// down makes every call fail, silent makes watches send nothing.
	down, silent bool
	watchStarts  []uint64 // start revision of each watch, in order
	// corruptPutAnswer makes the next Put take effect with an answer that cannot
	// be decoded.
	corruptPutAnswer bool
	// written holds the change ids of the writes that took effect, in order.
	written []string
}

func newFake() *fakePlatform {
	return &fakePlatform{objects: map[string]*pb.Object{}, calls: map[Call]int{}}
}

// connect starts a server for the fake platform and returns a client for it.
func (f *fakePlatform) connect(t *testing.T, cfg Config) *Client {
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewObjectServiceHandler(f))
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.corruptPutAnswer || r.URL.Path != chivemastv1connect.ObjectServicePutProcedure {
			mux.ServeHTTP(w, r)
			return
		}
		f.corruptPutAnswer = false
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

// countCall counts a call and returns an error while the platform is down.
func (f *fakePlatform) countCall(call Call) error {
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

// locked runs change under the lock.
func (f *fakePlatform) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakePlatform) Get(_ context.Context, r *pb.GetRequest) (*pb.GetResponse, error) {
	if err := f.countCall(CallGet); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.GetResponse{Object: f.objects[r.GetKey()], Revision: f.revision}, nil
}

func (f *fakePlatform) List(_ context.Context, r *pb.ListRequest) (*pb.ListResponse, error) {
	if err := f.countCall(CallList); err != nil {
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
	if err := f.countCall(CallPut); err != nil {
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

// store applies a write, or fails if the expected version is not the stored one.
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
	if err := f.countCall(CallWatch); err != nil {
		return err
	}
	sent := r.GetSinceRevision()
	f.locked(func() { f.watchStarts = append(f.watchStarts, sent) })
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
	if err := f.countCall(CallInstances); err != nil {
		return nil, err
	}
	return &pb.ListInstancesResponse{Instances: []*pb.InstanceInfo{{Name: "i1"}}}, nil
}

// pipeListener accepts connections made by net.Pipe. Unlike sockets, these do not
// keep the virtual time of synctest from advancing.
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
