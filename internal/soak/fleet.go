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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/peerauth"
	"github.com/chivemast/chivemast/platform/standin"
)

// Ports of every instance, of the store and its proxies, and of every upstream. Each
// of them has its own loopback address.
const (
	trafficPort   = 8172
	readinessPort = 8167
	metricsPort   = 7720
	peerPort      = 8166
	storePort     = 8169
	upstreamPort  = 8080
)

const (
	// readinessInterval is the time between two readiness probes of an instance,
	// and the time limit of each.
	readinessInterval = 500 * time.Millisecond
	// maxMissedProbes is the number of consecutive failed readiness probes after
	// which an instance is out of rotation.
	maxMissedProbes = 2
	// restartDelay is the shortest time from the end of a process to its next start;
	// the longest is twice as long.
	restartDelay = 500 * time.Millisecond
	// copyInterval is the time between two copies of the store, and maxCopies the number
	// of copies that are kept.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 18
	// signalHandlerDelay is the time after the start of a process within which it
	// may not handle signals yet.
	signalHandlerDelay = 500 * time.Millisecond
	// terminationTimeout is the time within which a process must end after a
	// signal. Then it is killed.
	terminationTimeout = 6 * time.Second
)

// instance is one chivemast-edge process.
type instance struct {
	name    string
	domain  string
	address netip.Addr
	// settingsPath is the path of the settings file; logFile gets the output of all
	// processes of the instance.
	settingsPath string
	logFile      *os.File
	// proxy forwards the connections of the instance to the store.
	proxy *proxy

	// restartMu is held while the process is ended and started again, so that
	// there is never more than one.
	restartMu sync.Mutex
	mu        sync.Mutex
	// process is the last process that was started, at startedAt; exited is closed
	// when it has ended.
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	// inRotation is set while callers may send to the instance; missedProbes is the
	// number of consecutive failed readiness probes.
	inRotation   bool
	missedProbes int
	// takenOut is the number of faults that keep the instance out of rotation.
	takenOut atomic.Int32
}

// fleet holds the store, instances and upstreams of one seed.
type fleet struct {
	checker *checker
	// binary is the path of the chivemast-edge executable, directory that of the
	// settings and logs.
	binary    string
	directory string
	// slot selects the loopback addresses, as in Config.
	slot int
	size fleetSize
	// storeRate is the number of bytes a second from the store to each instance; 0 for no
	// limit.
	storeRate int
	// settings holds the settings of the instances that differ by seed.
	settings overloadSettings
	// addresses holds the service addresses that callers use, one for each route except
	// that of extraAddress.
	addresses []netip.AddrPort
	store     *standin.Store
	// conn sends the packets of all callers to the instances.
	conn      *net.UDPConn
	instances []*instance
	// losing is the number of faults that make callers' packets be lost.
	losing atomic.Int32

	// keyMu is held while the peer key of the instances is rotated.
	keyMu   sync.Mutex
	peerKey string

	mu sync.Mutex
	// upstreams holds the running upstreams.
	upstreams []*upstream
	// copies holds the last copies of the store, oldest first, at most maxCopies.
	copies []*standin.Copy
}

// loopbackAddress returns the loopback address of number n in a group. The slot of
// the run keeps the addresses of simultaneous runs apart.
func (fleet *fleet) loopbackAddress(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(60 + fleet.slot), byte(group), byte(n)})
}

// Groups of loopback addresses: the third byte of the address.
const (
	groupInstance = 1
	groupUpstream = 2
	groupCaller   = 3
	groupStore    = 4
	groupProxy    = 5
	// groupBurst is the first group of the callers of bursts; each burst has its own.
	groupBurst = 6
)

// startStore serves the store, and a proxy in front of it for each instance, until ctx
// ends.
func (fleet *fleet) startStore(ctx context.Context) error {
	address := netip.AddrPortFrom(fleet.loopbackAddress(groupStore, 1), storePort).String()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: fleet.store, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // Ends with the context.
	for n, instance := range fleet.instances {
		if instance.proxy, err = newProxy(netip.AddrPortFrom(fleet.loopbackAddress(groupProxy, n+1), storePort).String(), address); err != nil {
			return err
		}
		instance.proxy.rate = fleet.storeRate
		go func() { _ = instance.proxy.run(ctx) }() // Ends with the context.
	}
	return nil
}

// copyStore copies the store every copyInterval until ctx ends.
func (fleet *fleet) copyStore(ctx context.Context) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		fleet.mu.Lock()
		fleet.copies = append(fleet.copies, fleet.store.Copy())
		fleet.copies = fleet.copies[max(len(fleet.copies)-maxCopies, 0):]
		fleet.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// runningIDs returns the running upstreams by their ids.
func (fleet *fleet) runningIDs() map[string]catalog.Upstream {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	running := map[string]catalog.Upstream{}
	for _, u := range fleet.upstreams {
		running[u.ID] = u.Upstream
	}
	return running
}

// prepareInstance opens the log file of the instance with index n and writes its
// settings.
func (fleet *fleet) prepareInstance(n int, instance *instance) error {
	var err error
	instance.settingsPath = filepath.Join(fleet.directory, instance.name+".json")
	if instance.logFile, err = os.Create(filepath.Join(fleet.directory, instance.name+".log")); err != nil {
		return err
	}
	return fleet.writeSettings(n, instance, []string{fleet.peerKey})
}

// newKey returns a random peer key in base64, as in the settings.
func newKey(rng *rand.Rand) string {
	key := make([]byte, peerauth.KeySize)
	for n := range key {
		key[n] = byte(rng.Uint32())
	}
	return base64.StdEncoding.EncodeToString(key)
}

// writeSettings writes the settings of the instance with index n, with the given peer
// keys. The file is replaced in one step, so that a process that reads it meanwhile
// gets the old or the new settings.
func (fleet *fleet) writeSettings(n int, instance *instance, keys []string) error {
	seeds := []string{}
	for _, seed := range fleet.instances[:min(len(fleet.instances), 3)] {
		seeds = append(seeds, netip.AddrPortFrom(seed.address, peerPort).String())
	}
	settings := map[string]any{
		"instance": instance.name, "failure_domain": instance.domain,
		"traffic_address":   netip.AddrPortFrom(instance.address, trafficPort).String(),
		"readiness_address": netip.AddrPortFrom(instance.address, readinessPort).String(),
		"metrics_address":   netip.AddrPortFrom(instance.address, metricsPort).String(),
		"peer_address":      netip.AddrPortFrom(instance.address, peerPort).String(),
		"store_address":     netip.AddrPortFrom(fleet.loopbackAddress(groupProxy, n+1), storePort).String(),
		"peers":             seeds, "cold_factor": 1.5, "cold_slack": 5, "peer_keys": keys,
	}
	fleet.settings.apply(settings)
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(instance.settingsPath+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(instance.settingsPath+".new", instance.settingsPath)
}

// startProcess starts a process of the instance and watches for its end.
func (instance *instance) startProcess(binary string) error {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.process = exec.Command(binary, "--config", instance.settingsPath)
	instance.process.Stdout, instance.process.Stderr = instance.logFile, instance.logFile
	if err := instance.process.Start(); err != nil {
		return err
	}
	process, exited := instance.process, make(chan struct{})
	instance.exited, instance.startedAt = exited, time.Now()
	go func() {
		_ = process.Wait() // The log of the process tells how it ended.
		close(exited)
	}()
	return nil
}

// sendSignal sends a signal to the instance's process, if one was started.
func (instance *instance) sendSignal(signal syscall.Signal) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if instance.process != nil {
		_ = instance.process.Process.Signal(signal) // The process may have ended.
	}
}

// reloadSettings makes the process read its settings again. It waits until the
// process handles signals, since SIGHUP would end it before.
func (instance *instance) reloadSettings() {
	instance.mu.Lock()
	wait := time.Until(instance.startedAt.Add(signalHandlerDelay))
	instance.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	instance.sendSignal(syscall.SIGHUP)
}

// stopProcess ends the process with a signal and waits until it has ended. After
// terminationTimeout it kills the process.
func (instance *instance) stopProcess(signal syscall.Signal) {
	instance.mu.Lock()
	exited := instance.exited
	instance.mu.Unlock()
	instance.sendSignal(signal)
	select {
	case <-exited:
	case <-time.After(terminationTimeout):
		instance.sendSignal(syscall.SIGKILL)
		<-exited
	}
}

// probeReadiness probes the readiness of an instance until ctx ends. As with the
// platform's routers, a success puts the instance into rotation, and maxMissedProbes
// consecutive failures take it out.
func (fleet *fleet) probeReadiness(ctx context.Context, instance *instance) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/readyz", netip.AddrPortFrom(instance.address, readinessPort))
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		response, err := client.Get(url)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close() // Only the status counts.
		}
		instance.mu.Lock()
		if ready {
			instance.inRotation, instance.missedProbes = true, 0
		} else if instance.missedProbes++; instance.missedProbes >= maxMissedProbes {
			instance.inRotation = false
		}
		instance.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendToInstance sends a packet of a caller to an instance in rotation of a failure
// domain, chosen by a hash of the flow. If fewer than half of the instances of the
// failure domain are in rotation, it chooses among all of them; if none is, among those in
// rotation of the other failure domains, if there are any.
func (fleet *fleet) sendToInstance(domain string, p *standin.Packet) {
	if fleet.losing.Load() > 0 && rand.IntN(5) == 0 {
		return
	}
	inRotation, all := fleet.instancesInRotation(domain)
	if len(inRotation) == 0 {
		for _, other := range domains {
			others, _ := fleet.instancesInRotation(other)
			inRotation = append(inRotation, others...)
		}
	}
	if 2*len(inRotation) < len(all) {
		inRotation = all
	}
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, p.Source, p.Destination) // A hash accepts every write.
	to := inRotation[int(hash.Sum32()%uint32(len(inRotation)))]
	// A stopped process does not receive the packet; the caller retransmits it.
	_, _ = fleet.conn.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(to.address, trafficPort))
}

// instancesInRotation returns the instances of a failure domain that are in rotation, and
// all of them.
func (fleet *fleet) instancesInRotation(domain string) (inRotation, all []*instance) {
	for _, instance := range fleet.instances {
		if instance.domain != domain {
			continue
		}
		all = append(all, instance)
		instance.mu.Lock()
		if instance.inRotation && instance.takenOut.Load() == 0 {
			inRotation = append(inRotation, instance)
		}
		instance.mu.Unlock()
	}
	return inRotation, all
}

// upstreamByToken returns the running upstream whose token has the given low 32 bits,
// or nil.
func (fleet *fleet) upstreamByToken(token uint32) *upstream {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, u := range fleet.upstreams {
		if uint32(u.Token) == token {
			return u
		}
	}
	return nil
}
