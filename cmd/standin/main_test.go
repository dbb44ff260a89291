package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/standin/history"
)

func write(t *testing.T, path string, events ...history.Event) {
	f, err := os.Create(path)
	require.NoError(t, err)
	w := history.NewWriter(f)
	for _, e := range events {
		w.Record(e)
	}
	require.NoError(t, w.Err())
	require.NoError(t, f.Close())
}

// Guards against a command that passes although a promise was broken, that
// ignores a listed outage, or that checks files which do not exist.
func TestCheckCommandFailsOnBrokenPromises(t *testing.T) {
	dir := t.TempDir()
	callers, upstreams := filepath.Join(dir, "c.jsonl"), filepath.Join(dir, "u1.jsonl")
	write(t, callers, history.Event{TimeUS: 10_000, Kind: history.CallerEstablished, FlowID: 1, Upstream: "t/s/u1", BootID: 1})
	write(t, upstreams, history.Event{TimeUS: 20_000, Kind: history.UpstreamUnknownFlow, FlowID: 1, Upstream: "t/s/u2"})
	run := func(args ...string) error {
		return newApp().Run(t.Context(), append([]string{"standin", "check", "--history", callers}, args...))
	}
	require.NoError(t, run())
	var broken *brokenPromiseError
	require.ErrorAs(t, run("--upstream-history", filepath.Join(dir, "u*.jsonl")), &broken)
	require.NoError(t, run("--upstream-history", upstreams, "--outage", "t/s/u1,15"))
	require.ErrorAs(t, run("--upstream-history", upstreams, "--outage", "t/s/u1,25,30"), &broken)
	var invalid *flagError
	require.ErrorAs(t, run("--upstream-history", filepath.Join(dir, "none*")), &invalid)
	require.ErrorAs(t, run("--outage", "t/s/u1"), &invalid)
}

// Guards against flags whose values contain a comma being split.
func TestPlatformFlags(t *testing.T) {
	i, err := parseInstance("i1,fd1,127.0.0.1:1,127.0.0.1:2,leaving")
	require.NoError(t, err)
	require.True(t, i.Leaving)
	var invalid *flagError
	_, err = parseInstance("i1,fd1")
	require.ErrorAs(t, err, &invalid)
	err = newApp().Run(t.Context(), []string{"standin", "platform", "--instance", "i1,fd1,127.0.0.1:1,127.0.0.1:2", "--listen", "no address"})
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "listen", invalid.flag)
}
