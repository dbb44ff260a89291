// Command review-2 plays the scripts of the second review: it starts chivemast-edge as
// separate processes on loopback addresses and stands in for the platform's routers and
// store, the hosts and the consumers. See review/REPORT-2.md.
package main

import (
	"context"
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
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/platform/standin"
)

// Ports of a deployment, the same on all its machines.
const (
	trafficPort   = 8172
	readinessPort = 8167
	controlPort   = 8166
	metricsPort   = 7720
	storePort     = 8169
	hostPort      = 8080
)

const (
	readinessInterval = 500 * time.Millisecond
	maxMissedProbes   = 2
	gracePeriod       = 6 * time.Second
	restartDelay      = 500 * time.Millisecond
	// heartbeat is the interval of the hosts' status reports.
	heartbeat = 770 * time.Millisecond
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	drainTime  = 3 * time.Second
)

// zone is a zone of the deployment with its numbers of machines, hosts of each service
// and consumers.
type zone struct {
	name              string
	machines          int
	dispatch, bundles int
	consumers         int
}

// deployment is laid out like the small deployment bline-qld.
var deployment = []zone{
	{"brisbane", 3, 4, 1, 29},
	{"gold-coast", 2, 4, 1, 26},
	{"sunshine", 2, 3, 1, 21},
	{"toowoomba", 2, 3, 1, 23},
}

// world holds everything that a case plays with.
type world struct {
	ctx     context.Context
	net     byte
	dir     string
	trouble bool
	began   time.Time
	// loss is the share of the datagrams to and from hosts and consumers that is lost.
	loss float64

	recordMu sync.Mutex
	record   *os.File

	store    *standin.Store
	outSock  *net.UDPConn
	machines []*machine
	config   catalog.Configuration

	mu    sync.Mutex
	hosts []*host
	// owners holds, by consumer's end, the host that has the end of the handshake.
	owners map[netip.AddrPort]*host
	// rulesBroken counts the breaks by rule.
	rulesBroken map[string]int

	opened, twice, requests, served, failed, runs atomic.Int64
	// ran holds the request ids that hosts have run.
	ran sync.Map
}

// logf writes a line to record.txt.
func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records a broken rule.
func (w *world) breakRule(rule, format string, args ...any) {
	w.mu.Lock()
	w.rulesBroken[rule]++
	w.mu.Unlock()
	w.logf("BROKEN "+rule+": "+format, args...)
}

func (w *world) addr(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(group), byte(n)})
}

// Groups of loopback addresses.
const (
	groupMachine  = 1
	groupHost     = 2
	groupConsumer = 3
	groupStore    = 4
)

// machine is one machine of the system.
type machine struct {
	w        *world
	name     string
	zone     string
	address  netip.Addr
	settings string
	log      *os.File

	// restarting is held while the process is stopped and started again.
	restarting sync.Mutex
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
	// stopped is set when the case has ended the process, ended when it starts no further one.
	stopped    bool
	ended      bool
	inRotation bool
	missed     int
}

// newWorld opens the store and the sockets on free addresses.
func newWorld(ctx context.Context, dir string, trouble bool, record *os.File) (*world, error) {
	w := &world{
		ctx: ctx, dir: dir, trouble: trouble, began: time.Now(), record: record, store: standin.NewStore(),
		owners: map[netip.AddrPort]*host{}, rulesBroken: map[string]int{},
	}
	var listener net.Listener
	var err error
	for range 50 {
		w.net = byte(64 + rand.IntN(150))
		if listener, err = net.Listen("tcp4", netip.AddrPortFrom(w.addr(groupStore, 1), storePort).String()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		w.store.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if w.outSock, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.addr(groupStore, 1), 0))); err != nil {
		return nil, err
	}
	return w, nil
}

var seedsSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)

// addMachine writes the settings of a machine from the template of the deploy file.
func (w *world) addMachine(zone string, rank int) (*machine, error) {
	m := &machine{w: w, name: fmt.Sprintf("edge-%s-%d", zone, rank), zone: zone, address: w.addr(groupMachine, len(w.machines)+1)}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	var seeds []string
	for n := 1; n <= 3; n++ {
		seeds = append(seeds, strconv.Quote(netip.AddrPortFrom(w.addr(groupMachine, n), controlPort).String()))
	}
	at := func(port uint16) string { return strconv.Quote(netip.AddrPortFrom(m.address, port).String()) }
	text := seedsSection.ReplaceAllString(string(template), strings.Join(seeds, ","))
	text = strings.NewReplacer(
		"{{node_name|json}}", strconv.Quote(m.name), "{{zone|json}}", strconv.Quote(zone),
		"{{listen.udp_listen|json}}", at(trafficPort), "{{listen.readiness_address|json}}", at(readinessPort),
		"{{listen.control|json}}", at(controlPort), "{{ip}}", m.address.String(), "{{internal_port_range.0}}", strconv.Itoa(metricsPort),
		"{{platform.address|json}}", strconv.Quote(netip.AddrPortFrom(w.addr(groupStore, 1), storePort).String()),
		"{{bounds.warmup_factor}}", "1.5", "{{bounds.warmup_slack}}", "5",
	).Replace(text)
	m.settings = filepath.Join(w.dir, m.name+".jsonc")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if m.log, err = os.Create(filepath.Join(w.dir, m.name+".log")); err != nil {
		return nil, err
	}
	w.machines = append(w.machines, m)
	return m, nil
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	m.process = exec.Command("target/chivemast-edge")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVEMAST_BOOT=" + m.settings}
	m.process.Stdout, m.process.Stderr = m.log, m.log
	// The processes end with this one, whatever ends it.
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	process, exited := m.process, make(chan struct{})
	m.exited, m.stopped = exited, false
	go func() {
		_ = process.Wait()
		close(exited)
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.stopped && m.w.ctx.Err() == nil {
			m.w.logf("%s ended by itself: %v", m.name, process.ProcessState)
		}
	}()
	m.w.logf("%s started, pid %d", m.name, process.Process.Pid)
	return nil
}

func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
			m.stopped = true
		}
		_ = m.process.Process.Signal(signal)
	}
}

// stop stops the process as planned work does: SIGTERM, and SIGKILL after the grace period.
func (m *machine) stop() {
	m.w.logf("%s SIGTERM", m.name)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		m.w.logf("%s SIGKILL after the grace period", m.name)
		m.signal(syscall.SIGKILL)
		<-exited
	}
	m.w.logf("%s stopped", m.name)
}

// probe probes the readiness as the platform's routers do.
func (m *machine) probe() {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/-/ready", netip.AddrPortFrom(m.address, readinessPort))
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for m.w.ctx.Err() == nil {
		response, err := client.Get(url)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		m.mu.Lock()
		before := m.inRotation
		if ready {
			m.inRotation, m.missed = true, 0
		} else if m.missed++; m.missed >= maxMissedProbes {
			m.inRotation = false
		}
		if before != m.inRotation {
			m.w.logf("rotation: %s in=%t", m.name, m.inRotation)
		}
		m.mu.Unlock()
		select {
		case <-ticker.C:
		case <-m.w.ctx.Done():
		}
	}
}

// route selects the machine for a consumer's packet: a hash over the machines of the
// consumer's zone that are in rotation.
func (w *world) route(zone string, p *standin.Packet) *machine {
	in, all := w.rotation(zone)
	if len(in) == 0 {
		for _, other := range deployment {
			others, _ := w.rotation(other.name)
			in = append(in, others...)
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		return nil
	}
	hash := fnv.New32a()
	fmt.Fprint(hash, p.Source, p.Destination)
	return in[int(hash.Sum32()%uint32(len(in)))]
}

func (w *world) rotation(zone string) (in, all []*machine) {
	for _, m := range w.machines {
		if m.zone != zone {
			continue
		}
		all = append(all, m)
		m.mu.Lock()
		if m.inRotation {
			in = append(in, m)
		}
		m.mu.Unlock()
	}
	return in, all
}

// lost tells whether a datagram is lost.
func (w *world) lost() bool { return w.loss > 0 && rand.Float64() < w.loss }

// toSystem sends a consumer's packet to the machine that the routers select.
func (w *world) toSystem(zone string, p *standin.Packet) *machine {
	m := w.route(zone, p)
	if m == nil || w.lost() {
		return m
	}
	_, _ = w.outSock.WriteToUDPAddrPort(p.Append(nil), netip.AddrPortFrom(m.address, trafficPort))
	return m
}

// Services and routes.
const (
	serviceDispatch = "dele69a"
	serviceBundles  = "xano55b"
)

var (
	routeUpdates = netip.MustParseAddrPort("127.255.0.1:8080")
	routeAlerts  = netip.MustParseAddrPort("127.255.0.1:8443")
	routeBundles = netip.MustParseAddrPort("127.255.0.2:8443")
)

func firstConfiguration() catalog.Configuration {
	terms := func(priority int, goal, timeout time.Duration, idempotent bool) catalog.Terms {
		return catalog.Terms{Priority: priority, LatencyGoal: goal, Timeout: timeout, Idempotent: idempotent}
	}
	return catalog.Configuration{
		Version: 7,
		Routes: []catalog.Route{
			{Name: "r-updates", Address: routeUpdates, Split: []catalog.Weight{{Service: serviceDispatch, Weight: 1}}, Terms: terms(1, 150*time.Millisecond, 2500*time.Millisecond, false)},
			{Name: "r-alerts", Address: routeAlerts, Split: []catalog.Weight{{Service: serviceDispatch, Weight: 1}}, Terms: terms(2, 120*time.Millisecond, 2*time.Second, true)},
			{Name: "r-bundles", Address: routeBundles, Split: []catalog.Weight{{Service: serviceBundles, Weight: 1}}, Terms: terms(2, 500*time.Millisecond, 8*time.Second, true)},
		},
		Services: []catalog.Service{
			{Name: serviceDispatch, ColdDuration: 2 * time.Second, HealthPath: "/health"},
			{Name: serviceBundles, ColdDuration: 2 * time.Second, HealthPath: "/health"},
		},
	}
}

// startAll starts the store's content, hosts and machines, and waits until all are in
// rotation.
func (w *world) startAll() error {
	w.config = firstConfiguration()
	w.store.SetConfiguration(w.config)
	for _, z := range deployment {
		for n := range z.dispatch + z.bundles {
			service := serviceDispatch
			if n >= z.dispatch {
				service = serviceBundles
			}
			if _, err := w.startHost(service, z.name); err != nil {
				return err
			}
		}
	}
	for _, z := range deployment {
		for n := range z.machines {
			if _, err := w.addMachine(z.name, n+1); err != nil {
				return err
			}
		}
	}
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
		go m.probe()
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, z := range deployment {
			in, _ := w.rotation(z.name)
			ready += len(in)
		}
		if ready == len(w.machines) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d machines are ready after 10 s", ready, len(w.machines))
		}
	}
}

// stopAll ends all processes that were started.
func (w *world) stopAll() {
	for _, m := range w.machines {
		m.mu.Lock()
		m.ended = true
		exited := m.exited
		m.mu.Unlock()
		m.signal(syscall.SIGKILL)
		if exited != nil {
			<-exited
		}
	}
}

// summary writes the totals and returns the exit code.
func (w *world) summary() int {
	w.mu.Lock()
	broken := len(w.rulesBroken)
	data, _ := json.Marshal(w.rulesBroken)
	w.mu.Unlock()
	line := fmt.Sprintf("flows opened %d, of these answered by two hosts %d; requests %d, served %d, failed %d; runs %d; rules broken %s",
		w.opened.Load(), w.twice.Load(), w.requests.Load(), w.served.Load(), w.failed.Load(), w.runs.Load(), data)
	w.logf("%s", line)
	fmt.Println(line)
	if broken > 0 {
		return 1
	}
	return 0
}
