package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/platform"
	"github.com/chivemast/chivemast/internal/position"
	standin "github.com/chivemast/chivemast/internal/standin/platform"
)

// Guards against changes of a restored platform that a watch or a read from before
// misses, because their revisions were others' before, and against a conditional write
// that meets another object of the expected version.
func TestRestoredPlatformIsReadWhole(t *testing.T) {
	store := standin.NewStore(standin.Options{})
	server := httptest.NewUnstartedServer(nil)
	server.Config = standin.NewServer(store).HTTPServer("fd1")
	server.Start()
	defer server.Close()
	client, err := platform.New(platform.Config{URL: server.URL})
	require.NoError(t, err)
	put := func(key string, version uint64, era *uint64, change string) (uint64, error) {
		object, err := client.Put(t.Context(), platform.Write{Key: key, ExpectedVersion: version, ExpectedEra: era, ChangeID: change})
		return object.GetRevision(), err
	}
	_, err = put("a", 0, nil, "c1")
	require.NoError(t, err)
	backup := store.Copy()
	before, err := put("b", 0, nil, "c2")
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(t.Context())
	running := make(chan error, 1)
	go func() { running <- client.Run(ctx) }()
	require.NoError(t, client.Enqueue(action.WatchObjects{Since: before}))
	require.Zero(t, position.Era(nextWatched(t, client).Revision))
	require.NoError(t, store.Restore(backup))
	after, err := put("c", 0, nil, "c3")
	require.NoError(t, err)
	require.Equal(t, position.Revision(before), position.Revision(after), "the revision is given out again")
	require.Greater(t, after, before)

	objects, revision, err := client.List(t.Context(), "", before)
	require.NoError(t, err)
	require.Len(t, objects, 2)
	require.Equal(t, after, revision)
	watched := nextWatched(t, client)
	for position.Era(watched.Revision) == 0 {
		watched = nextWatched(t, client)
	}
	require.Equal(t, "a", watched.Objects[0].GetKey())
	require.EqualValues(t, 1, position.Era(watched.Objects[0].GetRevision()))

	era := uint64(0)
	_, err = put("a", 1, &era, "c4")
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	era = 1
	_, err = put("a", 1, &era, "c5")
	require.NoError(t, err)
	cancel()
	require.ErrorIs(t, <-running, context.Canceled)
}

// nextWatched returns the next message of the watch.
func nextWatched(t *testing.T, client *platform.Client) action.ObjectsRead {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case event := <-client.Events():
			if read, ok := event.(action.ObjectsRead); ok {
				return read
			}
		case <-timeout:
			require.FailNow(t, "no message of the watch")
		}
	}
}
