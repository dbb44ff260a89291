package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
)

// fakePlatform is an object API that stores objects in memory, with a list of
// instances. Its instances have every accepted change in force unless their lag is
// set.
type fakePlatform struct {
	chivemastv1connect.UnimplementedObjectServiceHandler
	url string

	mu        sync.Mutex
	objects   map[string]*pb.Object
	revision  uint64
	instances []*pb.InstanceInfo
	// beforePut runs once, before the next write, and may write objects itself.
	beforePut func(f *fakePlatform, r *pb.PutRequest)
	// losePutAnswer makes the next write take effect but return an error, as when
	// its answer is lost.
	losePutAnswer bool
	// dropTombstoneValues makes deletions drop the value that they carry.
	dropTombstoneValues bool
	// rejectList makes ListInstances return an error.
	rejectList bool
}

func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{objects: map[string]*pb.Object{}}
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewObjectServiceHandler(f))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// addInstance starts the AdminService of an instance and lists it. The instance
// reports a revision that is lag lower than the platform's.
func (f *fakePlatform) addInstance(t *testing.T, name string, lag uint64) *pb.InstanceInfo {
	return f.serveInstance(t, &fakeInstance{platform: f, name: name, lag: lag})
}

func (f *fakePlatform) serveInstance(t *testing.T, instance *fakeInstance) *pb.InstanceInfo {
	mux := http.NewServeMux()
	mux.Handle(chivemastv1connect.NewAdminServiceHandler(instance))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return f.listInstance(instance.name, strings.TrimPrefix(server.URL, "http://"))
}

// listInstance adds an instance to the platform's list without starting it.
func (f *fakePlatform) listInstance(name, admin string) *pb.InstanceInfo {
	info := &pb.InstanceInfo{Name: name, FailureDomain: "a", AdminAddress: admin}
	f.instances = append(f.instances, info)
	return info
}

func (f *fakePlatform) Get(_ context.Context, r *pb.GetRequest) (*pb.GetResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.GetResponse{Object: f.objects[r.GetKey()], Revision: f.revision}, nil
}

func (f *fakePlatform) List(_ context.Context, r *pb.ListRequest) (*pb.ListResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := &pb.ListResponse{Revision: f.revision}
	for key, object := range f.objects {
		if strings.HasPrefix(key, r.GetPrefix()) {
			answer.Objects = append(answer.Objects, object)
		}
	}
	return answer, nil
}

func (f *fakePlatform) Put(_ context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	if before := f.beforePut; before != nil {
		f.beforePut = nil
		before(f, r)
	}
	answer, err := f.storeObject(r)
	if f.losePutAnswer {
		f.losePutAnswer = false
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	return answer, err
}

func (f *fakePlatform) storeObject(r *pb.PutRequest) (*pb.PutResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects[r.GetKey()].GetVersion() != r.GetExpectedVersion() {
		return nil, connect.NewError(connect.CodeAborted, nil)
	}
	f.revision++
	object := &pb.Object{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetExpectedVersion() + 1,
		Revision: f.revision, Deleted: r.GetDelete(), ChangeId: r.GetChangeId()}
	if f.dropTombstoneValues && r.GetDelete() {
		object.Value = nil
	}
	f.objects[r.GetKey()] = object
	return &pb.PutResponse{Object: object}, nil
}

func (f *fakePlatform) ListInstances(context.Context, *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	if f.rejectList {
		return nil, connect.NewError(connect.CodeInvalidArgument, nil)
	}
	return &pb.ListInstancesResponse{Instances: f.instances}, nil
}

type fakeInstance struct {
	platform *fakePlatform
	name     string
	lag      uint64
	// members is the list of other members that the instance reports.
	members []*pb.MemberDigest
	// onStatus runs before each answer, with the platform's lock held.
	onStatus func(i *fakeInstance)
}

func (i *fakeInstance) Status(context.Context, *pb.StatusRequest) (*pb.StatusResponse, error) {
	i.platform.mu.Lock()
	defer i.platform.mu.Unlock()
	if i.onStatus != nil {
		i.onStatus(i)
	}
	status := &pb.StatusResponse{Instance: i.name, Members: i.members, FailureDomain: "a", Revision: i.platform.revision - i.lag, Ready: true, SlotsHeld: 32,
		Domains:   []*pb.DomainStatus{{Name: "a", Reachable: i.lag == 0}},
		Upstreams: []*pb.UpstreamHealth{{Upstream: "t/s/u", State: pb.UpstreamHealth_STATE_WARM, Load: 3, AgeMs: 100 + uint32(i.lag)}}}
	for key, object := range i.platform.objects {
		if object.GetRevision() <= status.GetRevision() {
			status.Objects = append(status.Objects, &pb.ObjectVersion{Key: key, Version: object.GetVersion()})
		}
	}
	return status, nil
}

// runCommand runs a command line against the fake.
func (f *fakePlatform) runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Setenv("CHIVEMAST_PLATFORM", f.url)
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), append([]string{"chivemast"}, args...), strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// mustRun runs a command line that must succeed.
func (f *fakePlatform) mustRun(t *testing.T, args ...string) string {
	code, out, errOut := f.runCommand(t, args...)
	require.Zero(t, code, "%v: %s", args, errOut)
	return out
}

func exampleFile(name string) string { return filepath.Join("..", "..", "examples", name+".jsonc") }
