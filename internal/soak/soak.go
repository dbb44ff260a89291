package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/platform/standin"
)

// Size of a run: a few processes, so that several seeds fit on one machine.
const (
	instancesPerDomain  = 2
	upstreamsPerService = 4
	callersPerDomain    = 6
	// settleTime is how long the fleet runs before the first fault.
	settleTime = 2 * time.Second
	// recoveryTime is how long it may take after the last fault until requests
	// are served again: the users' bound.
	recoveryTime = 12 * time.Second
	// checkTime is how long requests are counted after that.
	checkTime = 3 * time.Second
	// minServed is the share of them that must be served: the project's target.
	minServed = 0.995
)

var services = []string{"s1", "s2"}

// Service addresses, by service, and one that is added and removed.
var (
	serviceAddresses = []netip.AddrPort{netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:80")}
	extraAddress     = netip.MustParseAddrPort("198.18.0.9:443")
)

// Config sets up one run.
type Config struct {
	Seed uint64
	// Slot picks the loopback addresses; runs at the same time need different
	// ones, from 0 to 100.
	Slot int
	// Binary is the path of chivemast-edge.
	Binary string
	// Folder gets the settings and logs of the instances.
	Folder string
	// Faults is how long faults are injected.
	Faults time.Duration
	// Log receives what the run does; nil for nobody.
	Log func(format string, args ...any)
}

// Report is the outcome of one run.
type Report struct {
	Seed       uint64
	Violations []string
	// Requests and Served cover the whole run, Recovered the time after the last
	// fault and the recovery time.
	Requests  int
	Served    float64
	Recovered float64
	Faults    int
}

// Passed tells whether all promises were kept.
func (r *Report) Passed() bool { return len(r.Violations) == 0 && r.Recovered >= minServed }

func (r *Report) String() string {
	verdict := "pass"
	if !r.Passed() {
		verdict = "FAIL"
	}
	return fmt.Sprintf("seed=%d %s faults=%d requests=%d served=%.4f recovered=%.4f violations=%d",
		r.Seed, verdict, r.Faults, r.Requests, r.Served, r.Recovered, len(r.Violations))
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	l := newLedger()
	f := &fleet{ledger: l, binary: cfg.Binary, folder: cfg.Folder, slot: cfg.Slot, store: standin.NewStore()}
	c := &chaos{fleet: f, ledger: l, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), log: cfg.Log}
	f.key = newKey(c.rng)
	defer f.end()
	if err := f.begin(ctx, c); err != nil {
		return nil, err
	}
	callers, err := f.startCallers(ctx, cfg.Seed)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	c.sleep(ctx, settleTime, settleTime+time.Millisecond)
	count := c.inject(ctx, cfg.Faults)
	c.sleep(ctx, recoveryTime, recoveryTime+time.Millisecond)
	recovered := time.Now()
	c.sleep(ctx, checkTime, checkTime+time.Millisecond)
	cancel()
	callers.Wait()
	report := &Report{Seed: cfg.Seed, Violations: l.violations, Faults: count}
	report.Served, report.Requests = l.served(began)
	report.Recovered, _ = l.served(recovered)
	return report, nil
}

// begin starts the store, upstreams and instances, and waits for the rotation.
func (f *fleet) begin(ctx context.Context, c *chaos) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	f.conn = conn
	for n := range instancesPerDomain * len(domains) {
		domain := domains[n%len(domains)]
		f.instances = append(f.instances, &instance{name: fmt.Sprintf("edge-%s-%d", domain, n), domain: domain, address: f.ip(groupInstance, n+1)})
	}
	if err := f.startStore(ctx); err != nil {
		return err
	}
	c.version = 1
	c.config = catalog.Configuration{Version: 1}
	for n, service := range services {
		c.config.Services = append(c.config.Services, catalog.Service{Name: service, ColdRate: 10, ColdDuration: 2 * time.Second, HealthPath: "/health"})
		c.config.Routes = append(c.config.Routes, catalog.Route{Name: service, Address: serviceAddresses[n], Split: []catalog.Weight{{Service: service, Weight: 1}}})
		f.ledger.services[serviceAddresses[n]] = map[string]bool{service: true}
		for u := range upstreamsPerService {
			c.add("", service, domains[u%len(domains)], netip.AddrPort{})
		}
	}
	f.ledger.services[extraAddress] = map[string]bool{services[0]: true}
	f.store.SetConfiguration(c.config)
	for n, i := range f.instances {
		if err := errors.Join(f.configure(n, i)); err != nil {
			return err
		}
		if err := i.start(f.binary); err != nil {
			return err
		}
		go f.probe(ctx, i)
	}
	return f.awaitRotation(ctx)
}

func (f *fleet) awaitRotation(ctx context.Context) error {
	deadline := time.Now().Add(10 * time.Second)
	for _, i := range f.instances {
		for ready := false; !ready; {
			i.mu.Lock()
			ready = i.rotation
			i.mu.Unlock()
			switch {
			case ready:
			case ctx.Err() != nil:
				return ctx.Err()
			case time.Now().After(deadline):
				return fmt.Errorf("instance %s is not ready after 10 s, see %s", i.name, i.log.Name())
			default:
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	return nil
}

func (f *fleet) startCallers(ctx context.Context, seed uint64) (*sync.WaitGroup, error) {
	var group sync.WaitGroup
	for n := range callersPerDomain * len(domains) {
		address := f.ip(groupCaller, n+1)
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, trafficPort)))
		if err != nil {
			return nil, err
		}
		caller := &caller{
			fleet: f, ledger: f.ledger, conn: conn, address: address, domain: domains[n%len(domains)],
			service: serviceAddresses[n/len(domains)%len(serviceAddresses)], rng: rand.New(rand.NewPCG(seed, uint64(100+n))), port: 1024,
		}
		group.Go(func() {
			caller.run(ctx)
			_ = conn.Close() // Nothing is sent any more.
		})
	}
	return &group, nil
}

// inject draws faults until the span is over, several at a time, and waits for
// their end.
func (c *chaos) inject(ctx context.Context, span time.Duration) int {
	end := time.Now().Add(span)
	var running sync.WaitGroup
	count := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		drawn := faults[c.rng.IntN(len(faults))]
		// Each fault has a random source of its own: they overlap.
		own := *c
		own.rng = rand.New(rand.NewPCG(c.rng.Uint64(), uint64(count)))
		own.next = 20 + 8*count
		if drawn.name == "configure" {
			drawn.run(ctx, c)
		} else {
			running.Go(func() { drawn.run(ctx, &own) })
		}
		c.log("fault %s", drawn.name)
		count++
		c.sleep(ctx, 100*time.Millisecond, 1500*time.Millisecond)
	}
	running.Wait()
	return count
}

// end stops all that was started, by id.
func (f *fleet) end() {
	for _, i := range f.instances {
		i.mu.Lock()
		running := i.process != nil && i.process.Process != nil
		i.mu.Unlock()
		if running {
			i.signal(syscall.SIGCONT)
			i.stop(syscall.SIGKILL)
		}
		if i.log != nil {
			_ = i.log.Close() // The process has ended.
		}
	}
	for _, u := range f.upstreams {
		u.stop(context.Background())
	}
	if f.conn != nil {
		_ = f.conn.Close()
	}
}

// Keep returns a folder for the logs of a seed.
func Keep(root string, seed uint64) (string, error) {
	folder := fmt.Sprintf("%s/seed-%d", root, seed)
	return folder, os.MkdirAll(folder, 0o755)
}
