package soak

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/platform/standin"
)

// Ports of every instance; each has an address of its own on loopback.
const (
	trafficPort   = 8172
	readinessPort = 8167
	metricsPort   = 7720
	peerPort      = 8166
	storePort     = 8169
	upstreamPort  = 8080
)

const (
	// readinessInterval is the time between two readiness probes, missesOut the
	// number of misses that take an instance out of the rotation.
	readinessInterval = 500 * time.Millisecond
	missesOut         = 2
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// signalsAfter is how long a process may take until it handles signals.
	signalsAfter = 500 * time.Millisecond
	// terminationGrace is how long a process may take to leave.
	terminationGrace = 6 * time.Second
)

// instance is one chivemast-edge process.
type instance struct {
	name    string
	domain  string
	address netip.Addr
	config  string
	log     *os.File
	proxy   *proxy

	// turn is held while the process is ended and started again, so that there
	// is never more than one.
	turn     sync.Mutex
	mu       sync.Mutex
	process  *exec.Cmd
	stopped  chan struct{}
	begun    time.Time
	rotation bool
	misses   int
}

// fleet is all that one seed runs.
type fleet struct {
	ledger    *ledger
	binary    string
	folder    string
	slot      int
	store     *standin.Store
	conn      *net.UDPConn
	instances []*instance

	// rotation is held while the key of the instances changes.
	rotation sync.Mutex
	key      string

	mu        sync.Mutex
	upstreams []*upstream
}

// ip returns an address of this run on loopback.
func (f *fleet) ip(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(60 + f.slot), byte(group), byte(n)})
}

// Groups of addresses.
const (
	groupInstance = 1
	groupUpstream = 2
	groupCaller   = 3
	groupStore    = 4
	groupProxy    = 5
)

// startStore serves the store stand-in, and a proxy before it for each instance.
func (f *fleet) startStore(ctx context.Context) error {
	address := netip.AddrPortFrom(f.ip(groupStore, 1), storePort).String()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // Ends with the context.
	for n, i := range f.instances {
		if i.proxy, err = listenProxy(netip.AddrPortFrom(f.ip(groupProxy, n+1), storePort).String(), address); err != nil {
			return err
		}
		go func() { _ = i.proxy.run(ctx) }() // Ends with the context.
	}
	return nil
}

// configure opens the log of an instance and writes its settings.
func (f *fleet) configure(n int, i *instance) error {
	var err error
	i.config = filepath.Join(f.folder, i.name+".json")
	if i.log, err = os.Create(filepath.Join(f.folder, i.name+".log")); err != nil {
		return err
	}
	return f.writeSettings(n, i, []string{f.key})
}

// newKey returns a key as the settings have it.
func newKey(rng *rand.Rand) string {
	key := make([]byte, peerauth.KeySize)
	for i := range key {
		key[i] = byte(rng.Uint32())
	}
	return base64.StdEncoding.EncodeToString(key)
}

// writeSettings writes the settings of an instance with the given keys. A
// process that starts meanwhile reads the old or the new ones.
func (f *fleet) writeSettings(n int, i *instance, keys []string) error {
	seeds := []string{}
	for _, seed := range f.instances[:min(len(f.instances), 3)] {
		seeds = append(seeds, netip.AddrPortFrom(seed.address, peerPort).String())
	}
	data, err := json.Marshal(map[string]any{
		"instance": i.name, "failure_domain": i.domain,
		"traffic_address":   netip.AddrPortFrom(i.address, trafficPort).String(),
		"readiness_address": netip.AddrPortFrom(i.address, readinessPort).String(),
		"metrics_address":   netip.AddrPortFrom(i.address, metricsPort).String(),
		"peer_address":      netip.AddrPortFrom(i.address, peerPort).String(),
		"store_address":     netip.AddrPortFrom(f.ip(groupProxy, n+1), storePort).String(),
		"peers":             seeds, "cold_factor": 1.5, "cold_slack": 5, "peer_keys": keys,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.config+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(i.config+".new", i.config)
}

// start begins a process of an instance.
func (i *instance) start(binary string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process = exec.Command(binary, "--config", i.config)
	i.process.Stdout, i.process.Stderr = i.log, i.log
	if err := i.process.Start(); err != nil {
		return err
	}
	process, stopped := i.process, make(chan struct{})
	i.stopped, i.begun = stopped, time.Now()
	go func() {
		_ = process.Wait() // How it ended stands in its log.
		close(stopped)
	}()
	return nil
}

// signal sends a signal to the process that this soak started.
func (i *instance) signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(signal) // It may have ended just now.
	}
}

// reload makes the process read its settings again. A process that has just
// started may not take the signal yet, and would end.
func (i *instance) reload() {
	i.mu.Lock()
	wait := time.Until(i.begun.Add(signalsAfter))
	i.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	i.signal(syscall.SIGHUP)
}

// stop ends the process with a signal and waits for its end.
func (i *instance) stop(signal syscall.Signal) {
	i.mu.Lock()
	stopped := i.stopped
	i.mu.Unlock()
	i.signal(signal)
	select {
	case <-stopped:
	case <-time.After(terminationGrace):
		i.signal(syscall.SIGKILL)
		<-stopped
	}
}

// probe keeps the rotation up to date, as the routers do.
func (f *fleet) probe(ctx context.Context, i *instance) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/readyz", netip.AddrPortFrom(i.address, readinessPort))
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		response, err := client.Get(url)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close() // Only the status counts.
		}
		i.mu.Lock()
		if ready {
			i.rotation, i.misses = true, 0
		} else if i.misses++; i.misses >= missesOut {
			i.rotation = false
		}
		i.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send takes a packet of a caller to an instance of its failure domain. With
// fewer than half of them in rotation, all are used.
func (f *fleet) send(domain string, s *standin.Packet) {
	var all, rotation []*instance
	for _, i := range f.instances {
		if i.domain != domain {
			continue
		}
		all = append(all, i)
		i.mu.Lock()
		if i.rotation {
			rotation = append(rotation, i)
		}
		i.mu.Unlock()
	}
	if 2*len(rotation) < len(all) {
		rotation = all
	}
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, s.Source, s.Destination) // A hash accepts every write.
	to := rotation[int(hash.Sum32()%uint32(len(rotation)))]
	// A stopped process does not receive; the caller sends again.
	_, _ = f.conn.WriteToUDPAddrPort(s.Append(nil), netip.AddrPortFrom(to.address, trafficPort))
}

// upstreamOf returns the living upstream with a token; its answers carry it.
func (f *fleet) upstreamOf(token uint32) *upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if uint32(u.Token) == token {
			return u
		}
	}
	return nil
}
