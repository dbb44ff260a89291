package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow instance that counts as faulty, which would excuse the resets it
// sends, that is not slow, or that stays stopped.
func TestSlowInstanceIsStoppedInTurnsWithoutExcuse(t *testing.T) {
	log, err := os.Create(t.TempDir() + "/log")
	require.NoError(t, err)
	slow := &instance{logFile: log, settingsPath: "unused"}
	script := t.TempDir() + "/process"
	require.NoError(t, os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 30\n"), 0o700))
	require.NoError(t, slow.startProcess(script))
	slow.startedAt = time.Time{} // The process handles signals at once.
	t.Cleanup(func() { slow.stopProcess(syscall.SIGKILL) })
	state := func() byte {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", slow.process.Process.Pid))
		require.NoError(t, err)
		return stat[bytes.LastIndexByte(stat, ')')+2]
	}
	injector := &faultInjector{
		fleet: &fleet{instances: []*instance{slow}}, checker: newChecker(), rng: rand.New(rand.NewPCG(1, 1)), log: t.Logf,
	}
	ended := make(chan struct{})
	go func() { injector.slowInstances(context.Background()); close(ended) }()
	counts, changes, last := map[byte]int{}, 0, byte(0)
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(5 * time.Millisecond):
			now := state()
			counts[now]++
			if now != last {
				changes++
			}
			last = now
		}
	}
	require.NotZero(t, counts['T'])
	require.Greater(t, counts['T'], counts['S'])
	require.Greater(t, changes, 4)
	require.NotEqual(t, byte('T'), state())
	require.Empty(t, injector.checker.faults)
}

// Guards against schedules of recorded seeds that change with the range of slowFaults.
func TestOnlySlowSeedsHaveSlowFaults(t *testing.T) {
	for _, seed := range []uint64{0, 702, 1005, 5000, 5402, 5999, 7000} {
		require.False(t, isSlowSeed(seed), seed)
		require.Equal(t, fleetSize{2, 4}, sizeOf(seed), seed)
	}
	require.True(t, isSlowSeed(6000))
	require.True(t, isSlowSeed(6999))
}
