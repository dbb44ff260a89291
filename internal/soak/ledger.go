package soak

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/chivemast/chivemast/platform/standin"
)

// Bounds of the users' rules.
const (
	// contact is how long nothing may have disturbed the parts that a rule with
	// a time bound is judged by.
	contact = 4 * time.Second
	// drainBound is how long a leaving upstream may get new flows.
	drainBound = 3 * time.Second
	// evacuationBound is how long an evacuated failure domain may.
	evacuationBound = 5 * time.Second
	// configBound is how long a removed route may.
	configBound = 3 * time.Second
)

// ledger records what callers and upstreams see and judges it.
type ledger struct {
	mu         sync.Mutex
	began      time.Time
	violations []string
	// disturbed has the end of the last fault of each part: an instance, an
	// upstream or the store.
	disturbed map[string]time.Time
	// leaving, evacuated and dropped have the times at which the store took the
	// change in.
	leaving   map[string]time.Time
	evacuated map[string]time.Time
	dropped   map[netip.AddrPort]time.Time
	// services has the services that a route ever allowed.
	services map[netip.AddrPort]map[string]bool
	// holders has the upstream of each flow that a caller has open.
	holders map[netip.AddrPort]*upstream

	requests []outcome
}

// outcome is what became of one request.
type outcome struct {
	issued time.Time
	took   time.Duration
	served bool
}

func newLedger() *ledger {
	return &ledger{
		began: time.Now(), disturbed: map[string]time.Time{}, leaving: map[string]time.Time{}, evacuated: map[string]time.Time{},
		dropped: map[netip.AddrPort]time.Time{}, services: map[netip.AddrPort]map[string]bool{}, holders: map[netip.AddrPort]*upstream{},
	}
}

const storePart = "store"

func (l *ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *ledger) violateLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// disturb records a fault of a part until a time.
func (l *ledger) disturb(part string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbed[part]) {
		l.disturbed[part] = until
	}
}

// calm tells whether parts have been without a fault for long enough.
func (l *ledger) calm(now time.Time, parts ...string) bool {
	for _, part := range parts {
		if until, ok := l.disturbed[part]; ok && now.Sub(until) < contact {
			return false
		}
	}
	return true
}

// anyInstance is the part that stands for all instances: the ledger does not
// know which one took a packet.
const anyInstance = "instances"

// opened judges an opening packet that an upstream took.
func (l *ledger) opened(u *upstream, s standin.Packet) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if allowed := l.services[s.Destination]; !allowed[u.Service] {
		l.violateLocked("ROUTE: upstream %s of %s got a flow to %s", u.ID, u.Service, s.Destination)
	}
	if !l.calm(now, storePart, anyInstance) {
		return
	}
	if at, ok := l.leaving[u.ID]; ok && now.Sub(at) > drainBound {
		l.violateLocked("DRAIN: upstream %s got a new flow %s after its drain", u.ID, now.Sub(at))
	}
	if at, ok := l.evacuated[u.FailureDomain]; ok && now.Sub(at) > evacuationBound {
		l.violateLocked("EVAC: upstream %s got a new flow %s after the evacuation of %s", u.ID, now.Sub(at), u.FailureDomain)
	}
	if at, ok := l.dropped[s.Destination]; ok && now.Sub(at) > configBound {
		l.violateLocked("CONFIG: a flow to the removed route %s reached %s after %s", s.Destination, u.ID, now.Sub(at))
	}
}

// strayed judges a packet of a flow that an upstream does not hold.
func (l *ledger) strayed(u *upstream, s standin.Packet) {
	l.mu.Lock()
	holder := l.holders[s.Source]
	l.mu.Unlock()
	if holder != nil && holder != u && holder.holds(s.Source) {
		l.violate("FLOW: a packet of %s reached %s instead of %s", s.Source, u.ID, holder.ID)
	}
}

// hold records the upstream whose answer a caller took.
func (l *ledger) hold(caller netip.AddrPort, u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[caller] = u
}

func (l *ledger) release(caller netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.holders, caller)
}

// reset judges a reset of the system on an open flow.
func (l *ledger) reset(caller, service netip.AddrPort) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	holder := l.holders[caller]
	if holder == nil || !holder.holds(caller) {
		return
	}
	if _, dropped := l.dropped[service]; dropped {
		return
	}
	if l.calm(now, storePart, anyInstance, holder.ID) {
		l.violateLocked("FLOW: the open flow of %s at %s was reset", caller, holder.ID)
	}
}

func (l *ledger) request(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, o)
}

// served returns the share of the requests since a time that were served, and
// their number.
func (l *ledger) served(since time.Time) (share float64, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := 0
	for _, r := range l.requests {
		if r.issued.Before(since) {
			continue
		}
		total++
		if r.served {
			ok++
		}
	}
	if total == 0 {
		return 0, 0
	}
	return float64(ok) / float64(total), total
}
