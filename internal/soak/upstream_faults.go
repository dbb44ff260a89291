package soak

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
)

// removableUpstreams returns the upstreams that are not draining and whose service has
// more than two such upstreams, so that a service keeps at least two.
func (injector *faultInjector) removableUpstreams() []*upstream {
	injector.fleet.mu.Lock()
	defer injector.fleet.mu.Unlock()
	counts := map[string]int{}
	var removable []*upstream
	for _, u := range injector.fleet.upstreams {
		if !u.Draining {
			counts[u.Service]++
		}
	}
	for _, u := range injector.fleet.upstreams {
		if !u.Draining && counts[u.Service] > 2 {
			removable = append(removable, u)
		}
	}
	return removable
}

// drawUpstream draws one of removableUpstreams, or returns nil.
func (injector *faultInjector) drawUpstream() *upstream {
	removable := injector.removableUpstreams()
	if len(removable) == 0 {
		return nil
	}
	return removable[injector.rng.IntN(len(removable))]
}

// forgetUpstream removes an upstream from the list of the running ones.
func (injector *faultInjector) forgetUpstream(u *upstream) {
	injector.fleet.mu.Lock()
	defer injector.fleet.mu.Unlock()
	injector.fleet.upstreams = slices.DeleteFunc(injector.fleet.upstreams, func(other *upstream) bool { return other == u })
}

// addUpstream starts an upstream and writes it to the store. An empty id or an invalid
// address is replaced by a new one. If the upstream cannot be started, this is logged
// and nothing is written.
func (injector *faultInjector) addUpstream(id string, service, domain string, address netip.AddrPort) {
	if u := injector.startUpstream(id, service, domain, address); u != nil {
		injector.report(u)
	}
}

// report writes the entry of an upstream to the store.
func (injector *faultInjector) report(u *upstream) {
	injector.fleet.mu.Lock()
	entry := u.Upstream
	injector.fleet.mu.Unlock()
	injector.fleet.store.SetUpstream(entry)
}

// startUpstream starts an upstream as addUpstream does, without a report to the store. It
// returns nil if the upstream cannot be started.
func (injector *faultInjector) startUpstream(id string, service, domain string, address netip.AddrPort) *upstream {
	injector.lastNumber++
	if !address.IsValid() {
		address = netip.AddrPortFrom(injector.fleet.loopbackAddress(groupUpstream, injector.lastNumber), upstreamPort)
	}
	token := uint64(0x1000 + injector.lastNumber)
	if id == "" {
		id = fmt.Sprintf("i-%x", token)
	} else if _, err := fmt.Sscanf(id, "i-%x", &token); err != nil {
		injector.checker.recordViolation("id %s has no hexadecimal token: %v", id, err)
		return nil
	}
	var queue *workQueue
	if injector.fleet.settings.enabled {
		queue = &workQueue{}
	}
	u, err := startUpstream(catalog.Upstream{
		ID: id, Born: time.Now().UnixMilli(), Token: token, Address: address, FailureDomain: domain, Service: service, Capacity: 2,
	}, queue, injector.checker)
	if err != nil {
		injector.log("cannot start upstream %s: %v", id, err)
		return nil
	}
	injector.fleet.mu.Lock()
	injector.fleet.upstreams = append(injector.fleet.upstreams, u)
	injector.fleet.mu.Unlock()
	return u
}

// crashUpstream stops an upstream that the store still lists. After crashedListingTime
// an upstream of another service gets its address, and a new one replaces it.
func (injector *faultInjector) crashUpstream(ctx context.Context) {
	u := injector.drawUpstream()
	if u == nil {
		return
	}
	other := services[(slices.Index(services, u.Service)+1)%len(services)]
	injector.forgetUpstream(u)
	u.stop(ctx)
	if injector.sleepBetween(ctx, crashedListingTime, crashedListingTime+time.Millisecond) {
		injector.fleet.store.RemoveUpstream(u.ID)
		injector.addUpstream("", other, u.FailureDomain, u.Address)
		injector.addUpstream("", u.Service, u.FailureDomain, netip.AddrPort{})
	}
}

// restartUpstream stops an upstream and starts it again after 0.2 to 1 second with the
// same id and address. It makes its first report up to a report interval later; the store
// lists the earlier incarnation meanwhile.
func (injector *faultInjector) restartUpstream(ctx context.Context) {
	u := injector.drawUpstream()
	if u == nil {
		return
	}
	injector.forgetUpstream(u)
	u.stop(ctx)
	if !injector.sleepBetween(ctx, 200*time.Millisecond, time.Second) {
		return
	}
	started := injector.startUpstream(u.ID, u.Service, u.FailureDomain, u.Address)
	if started != nil && injector.sleepBetween(ctx, time.Millisecond, reportInterval) {
		injector.report(started)
	}
}

// drainUpstream starts a replacement for an upstream, drains the upstream, and stops
// and removes it after 5 to 8 seconds.
func (injector *faultInjector) drainUpstream(ctx context.Context) {
	u := injector.drawUpstream()
	if u == nil {
		return
	}
	injector.startDrain(u)
	if injector.sleepBetween(ctx, 5*time.Second, 8*time.Second) {
		injector.forgetUpstream(u)
		u.stop(ctx)
		injector.fleet.store.RemoveUpstream(u.ID)
	}
}

// startDrain starts a replacement for an upstream and drains the upstream.
func (injector *faultInjector) startDrain(u *upstream) {
	injector.addUpstream("", u.Service, u.FailureDomain, netip.AddrPort{})
	injector.fleet.mu.Lock()
	u.Draining = true
	injector.fleet.mu.Unlock()
	injector.fleet.store.SetUpstream(u.Upstream)
	injector.checker.mu.Lock()
	injector.checker.drainedAt[u.ID] = time.Now()
	injector.checker.mu.Unlock()
}
