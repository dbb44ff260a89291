package soak

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/chivemast/chivemast/platform/standin"
)

// Time bounds of the users' rules.
const (
	// undisturbedPeriod is the time without a fault after which a rule with a time
	// bound is checked: each part that the rule depends on must have had none.
	undisturbedPeriod = 4 * time.Second
	// drainBound is how long an upstream may get new flows after its drain started.
	drainBound = 3 * time.Second
	// evacuationBound is how long a failure domain may get new flows after its
	// evacuation started.
	evacuationBound = 5 * time.Second
	// configBound is how long a route may get new flows after its removal.
	configBound = 3 * time.Second
)

// checker checks the users' rules against what callers and upstreams observe, and
// records violations and the results of requests.
type checker struct {
	mu         sync.Mutex
	startedAt  time.Time
	violations []string
	// faults holds the faults of each part by kind. Entries are never removed.
	faults map[partFault]faultTimes
	// drainedAt holds the time at which the drain of an upstream was written to the
	// store, by upstream id. Entries are never removed.
	drainedAt map[string]time.Time
	// evacuatedAt holds the time at which the evacuation of a failure domain was
	// written to the store. It is removed when an evacuation ends.
	evacuatedAt map[string]time.Time
	// removedAt holds the time at which the removal of a route was written to the
	// store, by service address. It is removed when the route is added again.
	removedAt map[netip.AddrPort]time.Time
	// addedAt holds the time at which a route was last added again, by service address.
	addedAt map[netip.AddrPort]time.Time
	// allowedServices holds, by service address, the services that its route has had
	// at any time.
	allowedServices map[netip.AddrPort]map[string]bool
	// flows holds the open flows by the caller's address and port.
	flows map[netip.AddrPort]openFlow
	// excused holds a line for each reset of a flow whose upstream still had it that a fault
	// of the instance or the store excuses.
	excused []string

	requests []requestResult
}

// openFlow is a flow that a caller has open.
type openFlow struct {
	// upstream is nil if it was not among the running upstreams when the flow opened.
	upstream *upstream
	// sentAt is when the caller first sent the opening packet.
	sentAt time.Time
}

// partFault is a kind of fault of a part: partStore or the address of an instance.
type partFault struct {
	kind faultKind
	part string
}

// faultTimes counts the running faults and holds the last time at which that changed.
type faultTimes struct {
	running   int
	changedAt time.Time
}

// faultKind says which rules do not hold while a part has a fault.
type faultKind int

const (
	// unplannedFault excuses violations of all rules with a time bound.
	unplannedFault faultKind = iota
	// plannedStop is a stop by SIGTERM: flows must survive it.
	plannedStop
)

// requestResult is the result of one request with all its attempts.
type requestResult struct {
	startedAt time.Time
	// took is the time until the request was served or given up.
	took   time.Duration
	served bool
}

func newChecker() *checker {
	return &checker{
		startedAt: time.Now(), faults: map[partFault]faultTimes{}, drainedAt: map[string]time.Time{}, evacuatedAt: map[string]time.Time{},
		removedAt: map[netip.AddrPort]time.Time{}, addedAt: map[netip.AddrPort]time.Time{},
		allowedServices: map[netip.AddrPort]map[string]bool{}, flows: map[netip.AddrPort]openFlow{},
	}
}

// partStore is the store, as a part that can have faults.
const partStore = "store"

// recordViolation records a violation of a rule, with the time since the start.
func (c *checker) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(format, args...)
}

// recordViolationLocked is recordViolation for callers that hold c.mu.
func (c *checker) recordViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, c.line(format, args...))
}

// line returns a text with the time since the start.
func (c *checker) line(format string, args ...any) string {
	return fmt.Sprintf("%.3f s: ", time.Since(c.startedAt).Seconds()) + fmt.Sprintf(format, args...)
}

// beginFault records that a fault of a part begins. The returned function records its
// end.
func (c *checker) beginFault(kind faultKind, part string) (end func()) {
	change := func(count int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		key := partFault{kind, part}
		c.faults[key] = faultTimes{running: c.faults[key].running + count, changedAt: time.Now()}
	}
	change(1)
	return func() { change(-1) }
}

// undisturbed returns whether the store and an instance had no fault of a kind within
// undisturbedPeriod before now. The caller holds c.mu.
func (c *checker) undisturbed(now time.Time, kind faultKind, instance string) bool {
	for _, part := range []string{partStore, instance} {
		if times := c.faults[partFault{kind, part}]; times.running > 0 || now.Sub(times.changedAt) < undisturbedPeriod {
			return false
		}
	}
	return true
}

// checkOpen checks an opening packet that reached an upstream from an instance. The route
// of its destination must have had the upstream's service at some time. If neither store
// nor instance had a fault within undisturbedPeriod, the bounds for drained upstreams,
// evacuated failure domains and removed routes are checked as well.
func (c *checker) checkOpen(u *upstream, p standin.Packet, instance string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if allowed := c.allowedServices[p.Destination]; !allowed[u.Service] {
		c.recordViolationLocked("ROUTE: upstream %s of %s got a flow to %s", u.ID, u.Service, p.Destination)
	}
	if !c.undisturbed(now, unplannedFault, instance) || !c.undisturbed(now, plannedStop, instance) {
		return
	}
	if at, ok := c.drainedAt[u.ID]; ok && now.Sub(at) > drainBound {
		c.recordViolationLocked("DRAIN: upstream %s got a new flow %s after its drain", u.ID, now.Sub(at))
	}
	if at, ok := c.evacuatedAt[u.FailureDomain]; ok && now.Sub(at) > evacuationBound {
		c.recordViolationLocked("EVAC: upstream %s got a new flow %s after the evacuation of %s", u.ID, now.Sub(at), u.FailureDomain)
	}
	if at, ok := c.removedAt[p.Destination]; ok && now.Sub(at) > configBound {
		c.recordViolationLocked("CONFIG: a flow to the removed route %s reached %s after %s", p.Destination, u.ID, now.Sub(at))
	}
}

// checkUnknownFlow checks a packet of a flow that the upstream u does not have. It is a
// violation if another upstream has the flow.
func (c *checker) checkUnknownFlow(u *upstream, p standin.Packet) {
	if other := c.otherUpstream(u, p); other != nil {
		c.recordViolation("FLOW: a packet of %s reached %s instead of %s", p.Source, u.ID, other.ID)
	}
}

// checkFlowPacket checks a request on a flow that the upstream u has. Copies of an
// opening packet may open a flow at several upstreams; it is a violation if another one
// of them gets requests than the one whose answer the caller accepted.
func (c *checker) checkFlowPacket(u *upstream, p standin.Packet) {
	if other := c.otherUpstream(u, p); other != nil {
		c.recordViolation("FLOW: a request of %s reached %s, its flow is open at %s", p.Source, u.ID, other.ID)
	}
}

// otherUpstream returns the upstream at which the flow of a packet is open, or nil if
// that is u or none.
func (c *checker) otherUpstream(u *upstream, p standin.Packet) *upstream {
	c.mu.Lock()
	flowUpstream := c.flows[p.Source].upstream
	c.mu.Unlock()
	if flowUpstream == nil || flowUpstream == u || !flowUpstream.hasFlow(p.Source) {
		return nil
	}
	return flowUpstream
}

// recordFlow records the upstream whose answer opened the flow of a caller, and when the
// caller first sent the opening packet.
func (c *checker) recordFlow(caller netip.AddrPort, u *upstream, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows[caller] = openFlow{upstream: u, sentAt: sentAt}
}

// forgetFlow removes the flow of a caller.
func (c *checker) forgetFlow(caller netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, caller)
}

// checkReset checks a reset that an instance sent on an open flow. It is a violation if
// the flow's upstream still has the flow, its route has not been removed since it opened,
// and neither store nor instance had an unplanned fault within undisturbedPeriod.
func (c *checker) checkReset(caller, service netip.AddrPort, instance string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	flow := c.flows[caller]
	if flow.upstream == nil || !flow.upstream.hasFlow(caller) {
		return
	}
	if _, removed := c.removedAt[service]; removed || flow.sentAt.Before(c.addedAt[service]) {
		return
	}
	line := c.line("FLOW: %s reset the open flow of %s at %s", instance, caller, flow.upstream.ID)
	if c.undisturbed(now, unplannedFault, instance) {
		c.violations = append(c.violations, line)
	} else {
		c.excused = append(c.excused, line)
	}
}

// recordRequest records the result of a request.
func (c *checker) recordRequest(result requestResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, result)
}

// servedShare returns the share of the requests that started at or after a time and
// were served, from 0 to 1, and the number of those requests. Without requests both are
// 0.
func (c *checker) servedShare(since time.Time) (share float64, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, result := range c.requests {
		if result.startedAt.Before(since) {
			continue
		}
		total++
		if result.served {
			served++
		}
	}
	if total == 0 {
		return 0, 0
	}
	return float64(served) / float64(total), total
}
