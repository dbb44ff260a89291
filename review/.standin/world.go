package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the rules, as the site file tmnc-notices gives them.
const (
	contact       = 4 * time.Second
	drainBound    = 3 * time.Second
	maxFlowAge    = 60 * time.Second
	idleTimeout   = 15 * time.Second
	grace         = 6 * time.Second
	warmupFactor  = 1.5
	warmupSlack   = 5
	probeInterval = 500 * time.Millisecond
)

// site says what a small deployment holds.
type site struct {
	// machines is the number of edge machines of each zone, in the order of zones.
	zones    []string
	machines []int
	// heartbeat is the interval of the reports of a host.
	heartbeat time.Duration
	// pageSize is the page size of the store.
	pageSize int
}

// instance is one edge machine with its process.
type instance struct {
	name, zone string
	address    netip.Addr
	settings   string
	log        *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	missed    int
	rotation  atomic.Bool
	// refused is the status with which the store refuses the instance's calls, or 0.
	refused atomic.Int64
}

// opened is a flow that a host holds.
type opened struct {
	h        *host
	openedAt time.Time
}

// world holds everything that a case runs.
type world struct {
	site
	began time.Time
	// program is the path of the instances' program, folder that of their settings and logs.
	program, folder string
	// base holds the second byte of all loopback addresses, and the first number of a group.
	base        [2]byte
	trafficPort uint16
	readyPort   uint16
	peerPort    uint16
	metricsPort uint16
	storePort   uint16
	hostPort    uint16
	store       *store
	heartbeat   time.Duration
	routerConn  *net.UDPConn
	instances   []*instance
	done        chan struct{}
	users       sync.WaitGroup
	closing     []func()

	mu    sync.Mutex
	hosts map[string]*host
	// lastReport holds when each host last reported, by its id.
	lastReport map[string]time.Time
	// flows holds the flows that hosts have opened, by the consumer's address and port; sent
	// holds when the first opening packet of each was sent.
	flows map[netip.AddrPort]opened
	sent  map[netip.AddrPort]time.Time
	// coldRate is warmup_per_s of all services.
	coldRate               float64
	hostCount, clientCount int

	recordMu   sync.Mutex
	recordFile *bufio.Writer
	// violations and excused count broken rules, and what the rules leave out.
	violations map[string]int
	excused    map[string]int
	requests   map[string]*requestState
	number     int
}

type requestState struct {
	method string
	runs   int
	served bool
	ended  bool
	// resetBySystem is set when a reset of the system ended the flow while the request
	// was under way.
	resetBySystem bool
}

// free returns a port that is free on an address for UDP and TCP.
func free(address netip.Addr) (uint16, error) {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort().Port(), nil
}

// newWorld prepares the store and the settings of all instances. Nothing runs yet but
// the store.
func newWorld(s site, program, recordPath string) (*world, error) {
	w := &world{
		site: s, began: time.Now(), program: program, heartbeat: s.heartbeat, store: newStore(s.pageSize), done: make(chan struct{}),
		hosts: map[string]*host{}, lastReport: map[string]time.Time{}, flows: map[netip.AddrPort]opened{}, sent: map[netip.AddrPort]time.Time{},
		violations: map[string]int{}, excused: map[string]int{}, requests: map[string]*requestState{},
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w.recordFile = bufio.NewWriterSize(file, 1<<20)
	w.closing = append(w.closing, func() { _, _ = w.recordFile.Flush(), file.Close() })
	if w.folder, err = os.MkdirTemp("", "chivemast-review-"); err != nil {
		return nil, err
	}
	w.base = [2]byte{byte(70 + rand.IntN(150)), byte(rand.IntN(240))}
	for _, port := range []*uint16{&w.trafficPort, &w.readyPort, &w.peerPort, &w.metricsPort, &w.storePort, &w.hostPort} {
		for *port == 0 || w.portTaken(port) {
			if *port, err = free(w.address(1, 1)); err != nil {
				return nil, err
			}
		}
	}
	w.store.record = w.record
	if w.routerConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(5, 1), 0))); err != nil {
		return nil, err
	}
	for z, zone := range s.zones {
		for n := range s.machines[z] {
			i := &instance{name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, address: w.address(1, len(w.instances)+1)}
			w.instances = append(w.instances, i)
		}
	}
	for _, i := range w.instances {
		if err := w.serveStore(i); err != nil {
			return nil, err
		}
		if err := w.writeSettings(i); err != nil {
			return nil, err
		}
	}
	go w.expireEntries()
	return w, nil
}

// serveStore serves the store to an instance, at an address that only this instance uses,
// so that the store can turn it away and serve the others.
func (w *world) serveStore(i *instance) error {
	listener, err := net.Listen("tcp4", w.storeAddress(i).String())
	if err != nil {
		return err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(answer http.ResponseWriter, r *http.Request) {
		if status := i.refused.Load(); status != 0 {
			answer.Header().Set("Store-Era", "1")
			answer.WriteHeader(int(status))
			return
		}
		w.store.serve(answer, r, func() bool { return i.refused.Load() != 0 })
	})}
	go func() { _ = server.Serve(listener) }()
	w.closing = append(w.closing, func() { _ = server.Close() })
	return nil
}

// storeAddress returns the address at which an instance reaches the store.
func (w *world) storeAddress(i *instance) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.base[0], byte(int(w.base[1]) + 4), i.address.As4()[3]}), w.storePort)
}

// turnAway makes the store refuse the calls of an instance with a status, waiting watches
// included, and serve them again with 0.
func (w *world) turnAway(i *instance, status int) {
	w.record("store status=%d for %s (0: served)", status, i.name)
	i.refused.Store(int64(status))
	w.store.wake()
}

func (w *world) portTaken(port *uint16) bool {
	taken := 0
	for _, other := range []uint16{w.trafficPort, w.readyPort, w.peerPort, w.metricsPort, w.storePort, w.hostPort} {
		if other == *port {
			taken++
		}
	}
	return taken > 1
}

// address returns number n of a group of loopback addresses.
func (w *world) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.base[0], byte(int(w.base[1]) + group), byte(n)})
}

// writeSettings fills in the template of the deploy file.
func (w *world) writeSettings(i *instance) error {
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(i.address, port).String() }
	quoted := func(s string) string { return `"` + s + `"` }
	seeds := []string{}
	for _, seed := range w.instances[:min(3, len(w.instances))] {
		seeds = append(seeds, quoted(netip.AddrPortFrom(seed.address, w.peerPort).String()))
	}
	text := strings.NewReplacer(
		"{{node_name|json}}", quoted(i.name), "{{zone|json}}", quoted(i.zone),
		"{{listen.udp_listen|json}}", quoted(at(w.trafficPort)), "{{listen.readiness_address|json}}", quoted(at(w.readyPort)),
		"{{ip}}", i.address.String(), "{{internal_port_range.0}}", fmt.Sprint(w.metricsPort), "{{listen.control|json}}", quoted(at(w.peerPort)),
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(seeds, ","),
		"{{platform.address|json}}", quoted(w.storeAddress(i).String()),
		"{{bounds.warmup_factor}}", fmt.Sprint(warmupFactor), "{{bounds.warmup_slack}}", fmt.Sprint(warmupSlack),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("template of the settings has an unknown placeholder: %s", text)
	}
	i.settings = filepath.Join(w.folder, i.name+".jsonc")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	i.log, err = os.Create(filepath.Join(w.folder, i.name+".log"))
	return err
}

// start starts the process of an instance with the command of the deploy file.
func (w *world) start(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process = exec.Command(w.program)
	i.process.Env = []string{"CHIVEMAST_BOOT=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	i.process.Stdout, i.process.Stderr = i.log, i.log
	if err := i.process.Start(); err != nil {
		return err
	}
	i.startedAt, i.exited = time.Now(), make(chan struct{})
	process, exited := i.process, i.exited
	go func() { _ = process.Wait(); close(exited) }()
	w.record("instance %s start", i.name)
	return nil
}

// kill kills the process of an instance and waits for its end.
func (w *world) kill(i *instance) {
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	w.record("instance %s SIGKILL", i.name)
	_ = process.Process.Kill()
	<-exited
}

// terminate sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (w *world) terminate(i *instance) {
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	if process == nil {
		return
	}
	w.record("instance %s SIGTERM", i.name)
	_ = process.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		_ = process.Process.Kill()
		<-exited
	}
	w.record("instance %s ended", i.name)
}

// probeReadiness probes an instance twice a second, as the platform's routers do.
func (w *world) probeReadiness(i *instance) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + netip.AddrPortFrom(i.address, w.readyPort).String() + "/-/ready"
	for w.sleep(probeInterval) {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
		}
		before := i.rotation.Load()
		if err == nil && response.StatusCode == http.StatusOK {
			i.missed = 0
			i.rotation.Store(true)
		} else if i.missed++; i.missed >= 2 {
			i.rotation.Store(false)
		}
		if now := i.rotation.Load(); now != before {
			w.record("router %s in_rotation=%t", i.name, now)
		}
	}
}

// route sends a packet of a consumer in a zone to an instance, by a hash of its ends.
func (w *world) route(zone string, p *packet) {
	nearest := append([]string{zone}, slices.DeleteFunc(slices.Clone(w.zones), func(z string) bool { return z == zone })...)
	var targets []*instance
	for _, z := range nearest {
		var all, in []*instance
		for _, i := range w.instances {
			if i.zone != z {
				continue
			}
			all = append(all, i)
			if i.rotation.Load() {
				in = append(in, i)
			}
		}
		if len(in) > 0 && 2*len(in) < len(all) {
			in = all
		}
		if targets = in; len(targets) > 0 {
			break
		}
	}
	if len(targets) == 0 {
		return
	}
	data := p.encode()
	h := fnv.New32a()
	_, _ = h.Write(data[18:30])
	to := targets[int(h.Sum32())%len(targets)]
	_, _ = w.routerConn.WriteToUDPAddrPort(data, netip.AddrPortFrom(to.address, w.trafficPort))
}

func (w *world) instanceAt(address netip.Addr) *instance {
	for _, i := range w.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}

func (w *world) instanceName(address netip.Addr) string {
	if i := w.instanceAt(address); i != nil {
		return i.name
	}
	return address.String()
}

// inTouch reports whether the process of an instance has run for contact_ms.
func (i *instance) inTouch(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return at.Sub(i.startedAt) > contact
}

// reported notes that a host has made a report.
func (w *world) reported(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReport[id] = at
}

func (w *world) listed(id string) bool {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	_, listed := w.store.objects("servers", w.store.revision())[id]
	return listed
}

// expireEntries removes the entries of hosts after three report intervals of silence.
func (w *world) expireEntries() {
	for w.sleep(50 * time.Millisecond) {
		w.mu.Lock()
		var silent []string
		for id, at := range w.lastReport {
			if time.Since(at) > 3*w.heartbeat {
				silent = append(silent, id)
				delete(w.lastReport, id)
			}
		}
		w.mu.Unlock()
		for _, id := range silent {
			w.store.remove("servers", id)
			w.record("store entry of %s expired", id)
		}
	}
}

// sleep waits and reports whether the case still runs.
func (w *world) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.done:
		return false
	}
}

func (w *world) over() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// record writes a line to the record, with the time in seconds.
func (w *world) record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.recordFile, "%9.4f ", time.Since(w.began).Seconds())
	_, _ = fmt.Fprintf(w.recordFile, format+"\n", args...)
}

// violation records that a rule was broken.
func (w *world) violation(rule, format string, args ...any) {
	w.recordMu.Lock()
	w.violations[rule]++
	w.recordMu.Unlock()
	w.record("BROKEN "+rule+" "+format, args...)
}

func (w *world) nextRequest(method, zone string) string {
	w.recordMu.Lock()
	w.number++
	id := fmt.Sprintf("r%06d", w.number)
	w.requests[id] = &requestState{method: method}
	w.recordMu.Unlock()
	w.record("sent %s %s %s", id, method, zone)
	return id
}

func (w *world) ran(id, host string) {
	w.recordMu.Lock()
	r := w.requests[id]
	if r != nil {
		r.runs++
	}
	w.recordMu.Unlock()
	switch {
	case r == nil:
		w.violation("UNASKED", "host %s ran %q, which no consumer sent", host, id)
	case r.method == "POST" && r.runs > 1:
		w.violation("TWICE", "%s, which may run once, ran %d times", id, r.runs)
	}
	w.record("run %s at %s", id, host)
}

func (w *world) answered(id string, served bool) {
	w.recordMu.Lock()
	w.requests[id].served, w.requests[id].ended = served, true
	w.recordMu.Unlock()
	if served {
		w.record("answered %s", id)
	} else {
		w.record("not answered %s", id)
	}
}

func (w *world) noteSent(flow netip.AddrPort, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[flow] = at
}

func (w *world) sentAt(flow netip.AddrPort) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[flow]
}

func (w *world) flowOpened(h *host, f *hostFlow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flows[f.consumer] = opened{h, f.openedAt}
	w.record("open flow %s at host %s", f.consumer, h.id)
}

// tookOpening judges DRAIN when a host has taken an opening packet. The caller holds h.mu.
func (w *world) tookOpening(h *host, o opening) {
	if h.drainingAt.IsZero() || o.arrived.Sub(h.drainingAt) <= drainBound {
		return
	}
	i := w.instanceNamed(o.instance)
	late := o.arrived.Sub(h.drainingAt).Milliseconds()
	if i == nil || !i.inTouch(o.arrived) {
		w.excuse("DRAIN", "flow %s reached host %s %d ms after it was draining, through %s, which has just started", o.flow, h.id, late, o.instance)
		return
	}
	w.violation("DRAIN", "flow %s reached host %s %d ms after its draining was confirmed, through %s", o.flow, h.id, late, o.instance)
}

func (w *world) instanceNamed(name string) *instance {
	for _, i := range w.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

func (w *world) excuse(rule, format string, args ...any) {
	w.recordMu.Lock()
	w.excused[rule]++
	w.recordMu.Unlock()
	w.record("excused "+rule+" "+format, args...)
}

// systemReset judges FLOW (a) when a consumer has got a reset of the system on a flow
// that it has open.
func (w *world) systemReset(f *flow, r received, request string) {
	w.mu.Lock()
	o, open := w.flows[f.local]
	w.mu.Unlock()
	if !open {
		return
	}
	o.h.mu.Lock()
	ended := o.h.ended || o.h.flows[f.local] == nil
	o.h.mu.Unlock()
	i := w.instanceAt(r.from.Addr())
	switch {
	case ended:
		return
	case r.at.Sub(o.h.born) <= contact:
		w.excuse("FLOW", "flow %s was reset by %s; its host %s has just started", f.local, i.name, o.h.id)
	case !i.inTouch(r.at):
		w.excuse("FLOW", "flow %s was reset by %s, which has just started", f.local, i.name)
	case r.at.Sub(o.openedAt) > maxFlowAge || f.idle > idleTimeout:
		w.excuse("FLOW", "flow %s was reset by %s; it is old or idle", f.local, i.name)
	default:
		w.violation("FLOW", "flow %s, open for %.1f s at host %s, which runs for %.1f s, was reset by %s (request %s)",
			f.local, r.at.Sub(o.openedAt).Seconds(), o.h.id, r.at.Sub(o.h.born).Seconds(), i.name, request)
		if request != "" {
			w.recordMu.Lock()
			w.requests[request].resetBySystem = true
			w.recordMu.Unlock()
		}
	}
}

// judgeCold judges FAILBACK: within any second, a cold host takes no more opening packets
// that were sent and arrived in it than its rate times the factor plus the slack.
func (w *world) judgeCold(h *host) {
	h.mu.Lock()
	opens := slices.Clone(h.coldOpens)
	h.mu.Unlock()
	limit := w.coldRate*warmupFactor + warmupSlack
	worst, at := 0, time.Time{}
	for _, first := range opens {
		count := 0
		for _, o := range opens {
			if !o.sent.Before(first.sent) && o.arrived.Sub(first.sent) < time.Second {
				count++
			}
		}
		if count > worst {
			worst, at = count, first.sent
		}
	}
	w.record("host %s took %d openings while cold, at most %d in a second (limit %.1f)", h.id, len(opens), worst, limit)
	if float64(worst) > limit {
		w.violation("FAILBACK", "cold host %s took %d openings in the second from %.3f s (limit %.1f)", h.id, worst, at.Sub(w.began).Seconds(), limit)
	}
}

// run starts the instances, waits until all are in rotation and the hosts are known,
// starts the users and calls scenario; then it ends everything that it started.
func (w *world) run(prepare func() error, users func() error, scenario func() error) (err error) {
	defer w.cleanUp()
	if err := prepare(); err != nil {
		return err
	}
	for _, i := range w.instances {
		if err := w.start(i); err != nil {
			return err
		}
		go w.probeReadiness(i)
	}
	ready := func() bool {
		return !slices.ContainsFunc(w.instances, func(i *instance) bool { return !i.rotation.Load() })
	}
	for deadline := time.Now().Add(10 * time.Second); !ready(); {
		if time.Now().After(deadline) {
			return fmt.Errorf("not all instances became ready; logs in %s", w.folder)
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.record("all instances are in rotation")
	// The state counts as complete 5 s after an instance has started.
	time.Sleep(6 * time.Second)
	if err := users(); err != nil {
		return err
	}
	return scenario()
}

// cleanUp ends all processes that the world started, and the stand-ins.
func (w *world) cleanUp() {
	select {
	case <-w.done:
		return
	default:
	}
	close(w.done)
	finished := make(chan struct{})
	go func() { w.users.Wait(); close(finished) }()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
	}
	for _, i := range w.instances {
		i.mu.Lock()
		process, exited := i.process, i.exited
		i.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
		_ = i.log.Close()
	}
	w.mu.Lock()
	hosts := slices.Collect(maps.Values(w.hosts))
	w.mu.Unlock()
	for _, h := range hosts {
		h.stop(false)
	}
}

// user starts a user at a client.
func (w *world) user(c *client, service netip.AddrPort, h habit) {
	w.users.Add(1)
	go func() {
		defer w.users.Done()
		c.runUser(service, h)
	}()
}

// report prints the result and returns the exit code.
func (w *world) report(err error, rule string) int {
	served, ended, lost, twice := 0, 0, 0, 0
	for _, r := range w.requests {
		if r.ended {
			ended++
		}
		if r.served {
			served++
		}
		if r.resetBySystem && r.ended && !r.served {
			lost++
		}
		if r.method == "POST" && r.runs > 1 {
			twice++
		}
	}
	summary := fmt.Sprintf("requests=%d served=%d never_answered_after_reset=%d run_twice=%d broken=%v excused=%v", ended, served, lost, twice, w.violations, w.excused)
	w.record("%s", summary)
	code := 0
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		code = 2
	case ended == 0 || served < ended/2:
		fmt.Println("the case could not run: too few requests were served;", summary)
		code = 2
	case w.violations[rule] > 0:
		fmt.Println("BROKEN", rule, summary)
		code = 1
	default:
		fmt.Println("held:", rule, summary)
	}
	for _, f := range slices.Backward(w.closing) {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
	return code
}
