package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/platform/standin"
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

// Guards against a path to an instance that is faster than its limit, or limited for each
// connection only.
func TestLimitHoldsForAllConnectionsOfAnInstance(t *testing.T) {
	const size, connections = 100_000, 3
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = conn.Write(make([]byte, size)); _ = conn.Close() }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", server.Addr().String())
	require.NoError(t, err)
	p.rate = limitedRate
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = p.run(ctx) }()
	start := time.Now()
	var clients sync.WaitGroup
	for range connections {
		clients.Go(func() {
			conn, err := net.Dial("tcp4", p.listener.Addr().String())
			if !assert.NoError(t, err) {
				return
			}
			received, err := io.Copy(io.Discard, conn)
			assert.NoError(t, err)
			assert.EqualValues(t, size, received)
		})
	}
	clients.Wait()
	require.GreaterOrEqual(t, time.Since(start), transferTime(connections*size, limitedRate))
}

// Guards against unused routes that share an address with another route or stay in the
// configuration of later changes, and against a grown configuration that is much smaller
// than the day that showed issue 40.
func TestGrownConfigurationIsUsable(t *testing.T) {
	shared := &sharedConfiguration{config: catalog.Configuration{Version: 1, Routes: []catalog.Route{{Name: "extra", Address: extraAddress}}}, unusedRoutes: maxUnusedRoutes}
	store := standin.NewStore()
	shared.write(store)
	require.Len(t, shared.config.Routes, 1)
	require.InDelta(t, 700_000, store.ConfigurationSize(), 70_000)
	addresses := map[netip.AddrPort]bool{}
	for _, r := range shared.withUnusedRoutes().Routes {
		addresses[r.Address] = true
	}
	require.Len(t, addresses, maxUnusedRoutes+1)
}
