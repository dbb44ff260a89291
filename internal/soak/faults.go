package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/peerauth"
)

// lapseAfter is how long the store lists an upstream that has crashed: three
// missed reports. Its address is used again after that.
const lapseAfter = 2300 * time.Millisecond

// chaos injects faults by a seeded schedule.
type chaos struct {
	fleet   *fleet
	ledger  *ledger
	rng     *rand.Rand
	next    int
	version uint64
	config  catalog.Configuration
	log     func(format string, args ...any)
}

// domains of a run.
var domains = []string{"a", "b"}

// fault is one kind of fault; it returns when it is over.
type fault struct {
	name string
	run  func(ctx context.Context, c *chaos)
}

// faults are drawn with equal weight; series of one kind and overlaps follow
// from the schedule.
var faults = []fault{
	{"kill", func(ctx context.Context, c *chaos) { c.endInstance(ctx, syscall.SIGKILL) }},
	{"terminate", func(ctx context.Context, c *chaos) { c.endInstance(ctx, syscall.SIGTERM) }},
	{"pause", func(ctx context.Context, c *chaos) { c.pause(ctx) }},
	{"reload", func(_ context.Context, c *chaos) { c.instance().reload() }},
	{"proxy", func(ctx context.Context, c *chaos) { c.cutStore(ctx) }},
	{"store_down", func(ctx context.Context, c *chaos) { c.storeDown(ctx) }},
	{"store_history", func(_ context.Context, c *chaos) {
		c.ledger.disturb(storePart, time.Now())
		c.fleet.store.DropHistory()
	}},
	{"crash", func(ctx context.Context, c *chaos) { c.crash(ctx) }},
	{"restart_same_id", func(ctx context.Context, c *chaos) { c.restart(ctx) }},
	{"drain", func(ctx context.Context, c *chaos) { c.drain(ctx) }},
	{"evacuate", func(ctx context.Context, c *chaos) { c.evacuate(ctx) }},
	{"configure", func(_ context.Context, c *chaos) { c.configure() }},
	{"rotate_keys", func(ctx context.Context, c *chaos) { c.rotateKeys(ctx) }},
	{"forge", func(_ context.Context, c *chaos) { c.forge() }},
	{"corrupt_entry", func(_ context.Context, c *chaos) { c.fleet.store.Corrupt(fmt.Sprintf("i-%x", 0xdead00+c.rng.IntN(9))) }},
}

func (c *chaos) instance() *instance { return c.fleet.instances[c.rng.IntN(len(c.fleet.instances))] }

// sleep waits between two durations; false when ctx has ended.
func (c *chaos) sleep(ctx context.Context, least, most time.Duration) bool {
	select {
	case <-time.After(least + time.Duration(c.rng.Int64N(int64(most-least)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// pause stops a process for a while.
func (c *chaos) pause(ctx context.Context) {
	i := c.instance()
	c.ledger.disturb(anyInstance, time.Now().Add(4*time.Second))
	i.signal(syscall.SIGSTOP)
	c.sleep(ctx, 300*time.Millisecond, 4*time.Second)
	i.signal(syscall.SIGCONT)
	c.ledger.disturb(anyInstance, time.Now())
}

// endInstance ends a process and starts it again.
func (c *chaos) endInstance(ctx context.Context, signal syscall.Signal) {
	i := c.instance()
	i.turn.Lock()
	defer i.turn.Unlock()
	c.ledger.disturb(anyInstance, time.Now().Add(terminationGrace))
	i.stop(signal)
	c.sleep(ctx, restartDelay, 2*restartDelay)
	if ctx.Err() != nil {
		return
	}
	if err := i.start(c.fleet.binary); err != nil {
		c.ledger.violate("instance %s does not start: %v", i.name, err)
	}
	c.ledger.disturb(anyInstance, time.Now())
}

// rotateKeys changes the key of the instances in three steps, one instance after
// the other, while other faults go on.
func (c *chaos) rotateKeys(ctx context.Context) {
	c.fleet.rotation.Lock()
	defer c.fleet.rotation.Unlock()
	before, after := c.fleet.key, newKey(c.rng)
	for _, keys := range [][]string{{before, after}, {after, before}, {after}} {
		for n, i := range c.fleet.instances {
			if err := c.fleet.writeSettings(n, i, keys); err != nil {
				c.ledger.violate("settings of %s: %v", i.name, err)
			}
			i.reload()
			if !c.sleep(ctx, 10*time.Millisecond, 100*time.Millisecond) {
				return
			}
		}
	}
	c.fleet.key = after
}

// forge sends an instance bytes, and a report that its sender signed with a key
// of its own.
func (c *chaos) forge() {
	to := netip.AddrPortFrom(c.instance().address, peerPort)
	conn, err := net.Dial("udp4", to.String())
	if err != nil {
		c.log("forge: %v", err)
		return
	}
	defer func() { _ = conn.Close() }() // Nothing waits to be sent.
	guard := peerauth.NewAuthenticator([]peerauth.Key{{byte(c.rng.Uint32())}})
	report := fmt.Sprintf(`{"from":{"name":"edge-x","domain":"a","address":%q},"silent":[{"id":"i-1","born":1}]}`, to)
	for _, message := range [][]byte{[]byte(report), guard.Seal(peerauth.Session(c.rng.Uint64()), []byte(report))} {
		if _, err := conn.Write(message); err != nil {
			c.log("forge: %v", err)
		}
	}
}

// cutStore disturbs the connections of one instance to the store.
func (c *chaos) cutStore(ctx context.Context) {
	i, mode := c.instance(), Mode(1+c.rng.IntN(4))
	c.log("proxy of %s: %s", i.name, mode)
	c.ledger.disturb(anyInstance, time.Now().Add(5*time.Second))
	i.proxy.set(mode)
	c.sleep(ctx, 500*time.Millisecond, 5*time.Second)
	i.proxy.set(Pass)
	c.ledger.disturb(anyInstance, time.Now())
}

func (c *chaos) storeDown(ctx context.Context) {
	c.ledger.disturb(storePart, time.Now().Add(5*time.Second))
	c.fleet.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[c.rng.IntN(2)])
	c.sleep(ctx, 500*time.Millisecond, 5*time.Second)
	c.fleet.store.Refuse(0)
	c.ledger.disturb(storePart, time.Now())
}

// living returns the upstreams that are neither leaving nor the last of their
// service.
func (c *chaos) living() []*upstream {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	counts := map[string]int{}
	var living []*upstream
	for _, u := range c.fleet.upstreams {
		if !u.Draining {
			counts[u.Service]++
		}
	}
	for _, u := range c.fleet.upstreams {
		if !u.Draining && counts[u.Service] > 2 {
			living = append(living, u)
		}
	}
	return living
}

func (c *chaos) forget(u *upstream) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.upstreams = slices.DeleteFunc(c.fleet.upstreams, func(o *upstream) bool { return o == u })
}

// add starts an upstream and registers it. An invalid address picks a new one.
func (c *chaos) add(id string, service, domain string, address netip.AddrPort) {
	c.next++
	if !address.IsValid() {
		address = netip.AddrPortFrom(c.fleet.ip(groupUpstream, c.next), upstreamPort)
	}
	token := uint64(0x1000 + c.next)
	if id == "" {
		id = fmt.Sprintf("i-%x", token)
	} else if _, err := fmt.Sscanf(id, "i-%x", &token); err != nil {
		c.ledger.violate("id %s: %v", id, err)
		return
	}
	u, err := startUpstream(catalog.Upstream{
		ID: id, Born: time.Now().UnixMilli(), Token: token, Address: address, FailureDomain: domain, Service: service, Capacity: 2,
	}, c.ledger)
	if err != nil {
		c.log("upstream %s does not start: %v", id, err)
		return
	}
	c.fleet.mu.Lock()
	c.fleet.upstreams = append(c.fleet.upstreams, u)
	c.fleet.mu.Unlock()
	c.fleet.store.SetUpstream(u.Upstream)
}

// crash ends an upstream without a word; its address goes to another service.
func (c *chaos) crash(ctx context.Context) {
	living := c.living()
	if len(living) == 0 {
		return
	}
	u := living[c.rng.IntN(len(living))]
	other := services[(slices.Index(services, u.Service)+1)%len(services)]
	c.forget(u)
	u.stop(ctx)
	if c.sleep(ctx, lapseAfter, lapseAfter+time.Millisecond) {
		c.fleet.store.RemoveUpstream(u.ID)
		c.add("", other, u.FailureDomain, u.Address)
		c.add("", u.Service, u.FailureDomain, netip.AddrPort{})
	}
}

// restart ends an upstream and starts it again under its id.
func (c *chaos) restart(ctx context.Context) {
	living := c.living()
	if len(living) == 0 {
		return
	}
	u := living[c.rng.IntN(len(living))]
	c.forget(u)
	u.stop(ctx)
	if c.sleep(ctx, 200*time.Millisecond, time.Second) {
		c.add(u.ID, u.Service, u.FailureDomain, u.Address)
	}
}

// drain lets an upstream leave as planned; a new one has started before.
func (c *chaos) drain(ctx context.Context) {
	living := c.living()
	if len(living) == 0 {
		return
	}
	u := living[c.rng.IntN(len(living))]
	c.add("", u.Service, u.FailureDomain, netip.AddrPort{})
	c.fleet.mu.Lock()
	u.Draining = true
	c.fleet.mu.Unlock()
	c.fleet.store.SetUpstream(u.Upstream)
	c.ledger.mu.Lock()
	c.ledger.leaving[u.ID] = time.Now()
	c.ledger.mu.Unlock()
	if c.sleep(ctx, 5*time.Second, 8*time.Second) {
		c.forget(u)
		u.stop(ctx)
		c.fleet.store.RemoveUpstream(u.ID)
	}
}

func (c *chaos) evacuate(ctx context.Context) {
	domain := domains[c.rng.IntN(len(domains))]
	c.fleet.store.Evacuate(domain, true)
	c.ledger.mu.Lock()
	if _, already := c.ledger.evacuated[domain]; !already {
		c.ledger.evacuated[domain] = time.Now()
	}
	c.ledger.mu.Unlock()
	c.sleep(ctx, 6*time.Second, 9*time.Second)
	c.ledger.mu.Lock()
	delete(c.ledger.evacuated, domain)
	c.ledger.mu.Unlock()
	c.fleet.store.Evacuate(domain, false)
}

// configure adds or removes a route that no caller of the check relies on.
func (c *chaos) configure() {
	extra := catalog.Route{Name: "extra", Address: extraAddress, Split: []catalog.Weight{{Service: services[0], Weight: 1}}}
	c.version += 1 + uint64(c.rng.IntN(5))
	c.config.Version = c.version
	has := len(c.config.Routes) > len(services)
	if has {
		c.config.Routes = c.config.Routes[:len(services)]
	} else {
		c.config.Routes = append(slices.Clone(c.config.Routes), extra)
	}
	c.fleet.store.Configure(c.config)
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if has {
		c.ledger.dropped[extraAddress] = time.Now()
	} else {
		delete(c.ledger.dropped, extraAddress)
	}
}
