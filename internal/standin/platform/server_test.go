package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
)

// startServer starts an HTTP/2 server without TLS for the listener fd1. It returns
// a client and the server's URL.
func startServer(t *testing.T, s *Server) (chivemastv1connect.ObjectServiceClient, string) {
	h := httptest.NewUnstartedServer(nil)
	h.Config = s.HTTPServer("fd1")
	h.Start()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		h.Close()
	})
	return chivemastv1connect.NewObjectServiceClient(&http.Client{Transport: transport}, h.URL), h.URL
}

func postControl(t *testing.T, url, body string, want int) {
	resp, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, want, resp.StatusCode)
}

// Guards against conflicts, outages and lost responses that are reported with a
// status code other than the one that the API specifies.
func TestServerMapsFaultsToStatusCodes(t *testing.T) {
	store := NewStore(Options{})
	client, url := startServer(t, NewServer(store))
	ctx := t.Context()

	resp, err := client.Put(ctx, &pb.PutRequest{Key: "k", Value: []byte("v"), ChangeId: "c1"})
	require.NoError(t, err)
	require.EqualValues(t, 1, resp.Object.Version)

	_, err = client.Put(ctx, &pb.PutRequest{Key: "k"})
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))
	var apiError *connect.Error
	require.ErrorAs(t, err, &apiError)
	require.Len(t, apiError.Details(), 1)
	detail, err := apiError.Details()[0].Value()
	require.NoError(t, err)
	require.Equal(t, "c1", detail.(*pb.Object).ChangeId)

	postControl(t, url, `{"lose_writes":1}`, http.StatusOK)
	_, err = client.Put(ctx, &pb.PutRequest{Key: "k", ExpectedVersion: 1, ChangeId: "c2"})
	require.Error(t, err)
	require.NotContains(t, []connect.Code{connect.CodeAborted, connect.CodeUnavailable, connect.CodeInvalidArgument},
		connect.CodeOf(err), "the error must not say that the write failed")
	got, err := client.Get(ctx, &pb.GetRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, "c2", got.Object.ChangeId)

	postControl(t, url, `{"down":true}`, http.StatusOK)
	_, err = client.List(ctx, &pb.ListRequest{})
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err))
	postControl(t, url, `{"down":false,"cut":["fd1"]}`, http.StatusOK)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = client.List(short, &pb.ListRequest{})
	require.Equal(t, connect.CodeDeadlineExceeded, connect.CodeOf(err))
	postControl(t, url, `{"heal":["fd1"],"override":[{"name":"i9","leaving":true}]}`, http.StatusOK)
	list, err := client.ListInstances(ctx, &pb.ListInstancesRequest{})
	require.NoError(t, err)
	require.Len(t, list.Instances, 1)
	postControl(t, url, `{"no_such_field":1}`, http.StatusBadRequest)
	http.DefaultClient.CloseIdleConnections()
	postControl(t, url, `{"silence_connections":true}`, http.StatusOK)
	silent, cancelSilent := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancelSilent()
	_, err = client.Get(silent, &pb.GetRequest{Key: "k"})
	require.Equal(t, connect.CodeDeadlineExceeded, connect.CodeOf(err))
}

// Guards against a watch that omits changes or progress messages, and against one
// that stays open during an outage.
func TestServerWatchSendsChangesAndProgress(t *testing.T) {
	store := NewStore(Options{})
	client, _ := startServer(t, NewServer(store))
	_, err := store.Put(&pb.PutRequest{Key: "a/1"})
	require.NoError(t, err)
	stream, err := client.Watch(t.Context(), &pb.WatchRequest{Prefix: "a/"})
	require.NoError(t, err)
	defer stream.Close()
	require.True(t, stream.Receive())
	require.Len(t, stream.Msg().Objects, 1)

	_, err = store.Put(&pb.PutRequest{Key: "b/1"})
	require.NoError(t, err)
	for stream.Msg().Revision < 2 {
		require.True(t, stream.Receive(), "a progress message reports the revision of changes to other keys")
		require.Empty(t, stream.Msg().Objects)
	}
	_, err = store.Put(&pb.PutRequest{Key: "a/2"})
	require.NoError(t, err)
	for stream.Msg().Revision < 3 {
		require.True(t, stream.Receive())
	}
	require.Len(t, stream.Msg().Objects, 1)

	store.SetDown(true)
	for stream.Receive() {
	}
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(stream.Err()))
}
