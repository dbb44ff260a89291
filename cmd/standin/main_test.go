package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/standin/history"
)

func writeHistory(t *testing.T, path string, events ...history.Event) {
	file, err := os.Create(path)
	require.NoError(t, err)
	writer := history.NewWriter(file)
	for _, e := range events {
		writer.Record(e)
	}
	require.NoError(t, writer.Err())
	require.NoError(t, file.Close())
}

// Guards against a check command that succeeds although a check of a history fails or
// a file does not exist, and against one that ignores a listed outage. A packet of a
// flow at upstream u1 reaches u2: a violation, unless u1 had been stopped by then.
func TestCheckCommandFailsOnViolations(t *testing.T) {
	dir := t.TempDir()
	callers, upstreams := filepath.Join(dir, "c.jsonl"), filepath.Join(dir, "u1.jsonl")
	writeHistory(t, callers, history.Event{TimeUS: 10_000, Kind: history.CallerEstablished, FlowID: 1, Upstream: "t/s/u1", BootID: 1})
	writeHistory(t, upstreams, history.Event{TimeUS: 20_000, Kind: history.UpstreamUnknownFlow, FlowID: 1, Upstream: "t/s/u2"})
	run := func(args ...string) error {
		return newApp().Run(t.Context(), append([]string{"standin", "check", "--history", callers}, args...))
	}
	require.NoError(t, run())
	var failed *failedChecksError
	require.ErrorAs(t, run("--upstream-history", filepath.Join(dir, "u*.jsonl")), &failed)
	require.NoError(t, run("--upstream-history", upstreams, "--outage", "t/s/u1,15"))
	require.ErrorAs(t, run("--upstream-history", upstreams, "--outage", "t/s/u1,25,30"), &failed)
	var invalid *flagError
	require.ErrorAs(t, run("--upstream-history", filepath.Join(dir, "none*")), &invalid)
	require.ErrorAs(t, run("--outage", "t/s/u1"), &invalid)
}

// Guards against flag values that are split at their commas, and against malformed
// values that are accepted.
func TestPlatformFlags(t *testing.T) {
	instance, err := parseInstance("i1,fd1,127.0.0.1:1,127.0.0.1:2,leaving")
	require.NoError(t, err)
	require.True(t, instance.Leaving)
	var invalid *flagError
	_, err = parseInstance("i1,fd1")
	require.ErrorAs(t, err, &invalid)
	err = newApp().Run(t.Context(), []string{"standin", "platform", "--instance", "i1,fd1,127.0.0.1:1,127.0.0.1:2", "--listen", "no address"})
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "listen", invalid.flag)
}
