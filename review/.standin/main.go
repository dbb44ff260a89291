// Command standin plays the cases of the review: it starts the instances of a small
// deployment as processes on loopback addresses, and is the store, the routers, the hosts
// and the consumers around them, as PROTOCOL.md describes these.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// tmnc is the small deployment of the site file tmnc-notices.
var tmnc = site{
	zones: []string{"derby", "nottingham", "leicester", "coventry"}, machines: []int{3, 2, 2, 2},
	heartbeat: 1200 * time.Millisecond, pageSize: 500,
}

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// A scenario plays one case. With trouble unset it does the same without the disruption.
type scenario struct {
	rule string
	play func(w *world, trouble bool) error
	site func() site
}

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(s.site(), "target/chivemast-edge", filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan error, 1)
	go func() { result <- s.play(w, trouble) }()
	select {
	case err = <-result:
	case <-time.After(maxTime):
		err = fmt.Errorf("not finished after %s", maxTime)
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	}
	w.cleanUp()
	os.Exit(w.report(err, s.rule))
}

// routes of the manifest: the first two lead to the service notice-feed, the third one to
// notice-docs.
func (w *world) serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(w.address(9, 1+n/2), uint16(8080+n%2))
}

// writeManifest writes the first manifest.
func (w *world) writeManifest() {
	routes := []any{}
	add := func(name, kind, service string) {
		address := w.serviceAddress(len(routes))
		routes = append(routes, map[string]any{
			"name": name, "host": address.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", address.Port()), "type": kind, "timeout_ms": 2000,
			"target_latency_ms": 200, "priority": 1, "service": service, "max_attempts": 2,
		})
	}
	add("r-ack", "non_idempotent", "notice-feed")
	add("r-feed", "idempotent", "notice-feed")
	add("r-docs", "download", "notice-docs")
	for n := range 8 {
		add(fmt.Sprintf("r-idle%d", n), "idempotent", "notice-docs")
	}
	services := []any{}
	for _, name := range []string{"notice-feed", "notice-docs"} {
		services = append(services, map[string]any{
			"name": name, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false,
			"warmup_s": coldTime.Seconds(), "warmup_per_s": w.coldRate,
		})
	}
	w.store.put("config", "main", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	})
}

// coldTime is how long a host is cold after a start during traffic.
const coldTime = 2 * time.Second

// newID returns a random id whose first digit is below e.
func newID() string {
	return fmt.Sprintf("i-%x%07x", rand.IntN(14), rand.IntN(1<<28))
}

// startHosts starts the hosts of a service, count of them in each zone, before traffic.
func (w *world) startHosts(service string, counts []int) (hosts []*host, err error) {
	for z, zone := range w.zones {
		for range counts[z] {
			h, err := w.startHost(hostSpec{id: newID(), service: service, zone: zone, address: w.nextHostAddress()}, 0, time.Duration(rand.Int64N(int64(w.heartbeat))))
			if err != nil {
				return nil, err
			}
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

// nextHostAddress returns an address that no host has had.
func (w *world) nextHostAddress() netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostCount++
	return netip.AddrPortFrom(w.address(10+w.hostCount/200, 1+w.hostCount%200), w.hostPort)
}

// startUsers starts count users in each zone, on four addresses.
func (w *world) startUsers(counts []int, service int, h habit) error {
	for z, zone := range w.zones {
		for n := range min(counts[z], 4) {
			w.clientCount++
			c, err := w.newClient(zone, w.address(7, w.clientCount))
			if err != nil {
				return err
			}
			for range (counts[z] + 3 - n) / 4 {
				w.user(c, w.serviceAddress(service), h)
			}
		}
	}
	return nil
}
