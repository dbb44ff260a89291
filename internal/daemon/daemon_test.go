package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/settings"
	"github.com/chivemast/chivemast/internal/standin/platform"
)

// waitLimit only keeps a broken daemon from blocking the test run. No assertion depends
// on how long something takes.
const waitLimit = time.Minute

// Guards against a daemon that never becomes ready, does not serve one of its admin
// pages, does not end after a shutdown request, or leaves a goroutine running.
func TestDaemonStartsServesAndStops(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // runs after the other cleanups
	url := startPlatform(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(testSettings(url), log.WithField("instance", "instance-1"))
	require.NoError(t, err)

	abort, cancelAbort := context.WithTimeout(context.Background(), waitLimit)
	defer cancelAbort()
	shutdown, requestShutdown := context.WithCancel(abort)
	defer requestShutdown()
	result := make(chan error, 1)
	go func() { result <- d.Run(shutdown, abort) }()

	admin := "http://" + d.admin.Addr().String()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	require.Eventually(t, func() bool {
		status, body := get(client, admin+"/readyz")
		return status == http.StatusOK && body == "ready\n"
	}, waitLimit, 20*time.Millisecond)
	status, body := get(client, admin+"/healthz")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ok\n", body)
	status, body = get(client, admin+"/metrics")
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "chivemast_config_revision")

	requestShutdown()
	require.NoError(t, <-result)
	require.NoError(t, abort.Err(), "the shutdown exceeded waitLimit and was aborted")
	status, _ = get(client, admin+"/healthz")
	require.Zero(t, status, "the admin server answers after the shutdown")
}

// startPlatform serves an empty store on loopback and returns its URL. The server is
// closed before the check for remaining goroutines.
func startPlatform(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := platform.NewServer(platform.NewStore(platform.Options{})).HTTPServer("default")
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close(); <-done })
	return "http://" + listener.Addr().String()
}

func testSettings(url string) *settings.Settings {
	s := settings.Default()
	s.Instance, s.FailureDomain, s.PlatformURL = "instance-1", "fd-a", url
	s.TrafficAddress = netip.MustParseAddrPort("127.0.0.1:0")
	s.PeerAddress, s.AdminAddress = s.TrafficAddress, s.TrafficAddress
	return s
}

// get returns the status code and the body of a response, and status 0 if the server
// does not answer.
func get(client *http.Client, url string) (int, string) {
	response, err := client.Get(url)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// Guards against a limit in the settings that is not passed on to the configuration of
// the decision core.
func TestSettingsReachDecisionCore(t *testing.T) {
	s := testSettings("http://127.0.0.1:1")
	s.Limits.HeartbeatIntervalMS, s.Limits.SuspectTimeoutMS = 501, 1502
	s.Limits.HeartbeatPeers, s.Limits.FreshnessLimitMS = 5, 1503
	d, err := New(s, logrus.NewEntry(logrus.New()))
	require.NoError(t, err)
	abort, cancelAbort := context.WithCancel(context.Background())
	cancelAbort()
	defer func() { require.NoError(t, d.Run(abort, abort)) }() // closes the sockets
	cfg := d.nodeConfig(1)
	require.Equal(t, 501*time.Millisecond, cfg.Membership.HeartbeatInterval)
	require.Equal(t, 1502*time.Millisecond, cfg.Membership.SuspectAfter)
	require.Equal(t, 5, cfg.Membership.Fanout)
	require.Equal(t, 6, cfg.Membership.FullMesh)
	require.Equal(t, 1503*time.Millisecond, cfg.Domain.FreshnessLimit)
}

// Guards against a platform outage that is not logged, or that is logged once per
// failed call.
func TestPlatformOutageIsLoggedOnce(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	d := &Daemon{log: logrus.NewEntry(logger)}
	for _, e := range []action.PlatformEvent{
		action.ObjectsRead{},
		action.WatchLost{Err: io.EOF}, action.ReadFailed{Err: io.EOF}, action.WriteResult{},
		action.InstancesRead{}, action.ObjectsRead{},
	} {
		d.logPlatformReachability(e)
	}
	var events []any
	for _, entry := range hook.AllEntries() {
		events = append(events, entry.Data["event"])
	}
	require.Equal(t, []any{"platform_lost", "platform_back"}, events)
}

// Guards against an aborted shutdown without a log line, which looks like a crash in
// the log.
func TestAbortedShutdownIsLogged(t *testing.T) {
	logger, hook := logrustest.NewNullLogger()
	d, err := New(testSettings("http://127.0.0.1:1"), logger.WithField("instance", "instance-1"))
	require.NoError(t, err)
	abort, cancelAbort := context.WithTimeout(context.Background(), waitLimit)
	defer cancelAbort()
	shutdown, requestShutdown := context.WithCancel(abort)
	result := make(chan error, 1)
	go func() { result <- d.Run(shutdown, abort) }()
	logged := func(event string) func() bool {
		return func() bool {
			for _, entry := range hook.AllEntries() {
				if entry.Data["event"] == event {
					return true
				}
			}
			return false
		}
	}
	requestShutdown()
	require.Eventually(t, logged("shutdown_started"), waitLimit, time.Millisecond)
	cancelAbort()
	require.NoError(t, <-result)
	require.True(t, logged("shutdown_aborted")())
}
