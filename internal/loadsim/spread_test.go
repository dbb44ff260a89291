package loadsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The users' targets for load that moves between failure domains.
const (
	// maxRefused is the part of the arrivals that upstreams may refuse.
	maxRefused = 0.01
	// maxImbalance bounds the requests of the busiest upstream against the mean.
	maxImbalance = 1.4
	// minDomainInGoal is the part of the requests of each failure domain's callers that
	// must be served within their goal.
	minDomainInGoal = 0.95
)

// uneven is a deployment at the 48% of its capacity of the users' busiest days, whose
// failure domains are
// 1.4 ms apart.
var uneven = size{instances: 9, upstreams: 14, rate: 556, crossing: 1400 * time.Microsecond}

// unevenLarge has ten upstreams in each failure domain.
var unevenLarge = size{instances: 26, upstreams: 40, rate: 1588, crossing: 1400 * time.Microsecond}

const (
	spreadSpan, spreadBegin, spreadEnd = 16 * time.Second, 4 * time.Second, 11 * time.Second
	// settleTime is the time after a change of the load after which the targets hold.
	settleTime = 1500 * time.Millisecond
)

// domainInGoal returns the lowest part over the failure domains of the requests issued
// in a span that were served within their goal.
func (sim *simulation) domainInGoal(from, to time.Duration) float64 {
	total, good := map[string]float64{}, map[string]float64{}
	for _, r := range sim.requests {
		if at := r.issued.Sub(sim.begin); at < from || at >= to {
			continue
		}
		total[r.domain]++
		if !r.failed && !r.answered.IsZero() && r.answered.Sub(r.issued) <= target {
			good[r.domain]++
		}
	}
	lowest := 1.0
	for domain := range total {
		lowest = min(lowest, good[domain]/total[domain])
	}
	return lowest
}

// imbalance returns the requests that the busiest running upstream has served against
// the mean.
func (sim *simulation) imbalance() float64 {
	busiest, total, count := 0, 0, 0
	for _, u := range sim.upstreams {
		if u.ended || u.silent {
			continue
		}
		busiest, total, count = max(busiest, u.served), total+u.served, count+1
	}
	return float64(busiest) * float64(count) / float64(total)
}

// move moves the callers that match into a failure domain from begin to end.
func move(sim *simulation, to string, begin, end time.Duration, match func(c *caller) bool) {
	var moved []*caller
	sim.after(begin, func() {
		for _, c := range sim.callers {
			if match(c) {
				moved = append(moved, c)
			}
		}
		for _, c := range moved {
			c.domain = to
		}
	})
	sim.after(end, func() {
		for _, c := range moved {
			c.domain = domains[c.n%len(domains)]
		}
	})
}

// shift moves half of the callers of the other failure domains into one for a while.
func shift(sim *simulation) {
	move(sim, "c", spreadBegin, spreadEnd, func(c *caller) bool { return (c.n/len(domains))%2 == 0 })
}

// leaveDomain moves all callers of one failure domain into another one for a while, so
// that no instance sees answers of the upstreams of the first one.
func leaveDomain(sim *simulation) {
	move(sim, "c", spreadBegin, spreadEnd, func(c *caller) bool { return c.domain == "a" })
}

// loseUpstreams moves a third of the other callers into a failure domain, so that its
// upstreams are full, and drains a fifth of them.
func loseUpstreams(sim *simulation) {
	move(sim, "c", time.Second, spreadSpan, func(c *caller) bool { return (c.n/len(domains))%3 == 0 })
	sim.after(spreadBegin, func() {
		left := 0
		for _, u := range sim.upstreams {
			if u.FailureDomain == "c" && left < sim.size.upstreams/len(domains)/5 {
				left++
				u.Draining, u.drained = true, sim.now
				sim.write(u, false)
			}
		}
		sim.publish()
	})
}

// unevenFlows gives one caller in eight eight times the requests of the others, on flows
// that rarely end.
func unevenFlows(sim *simulation) {
	sim.closing = 0.02
	var busy []*caller
	for n, c := range sim.callers {
		if (n/len(domains))%8 == 0 {
			busy = append(busy, c)
		}
	}
	for range 7 {
		sim.callers = append(sim.callers, busy...)
	}
}

// slowUpstream makes one upstream eight times slower for a while.
func slowUpstream(sim *simulation) {
	sim.after(spreadBegin, func() { sim.upstreams[2].factor = 8 })
	sim.after(spreadEnd, func() { sim.upstreams[2].factor = 1 })
}

// spread simulates a pattern of load on the deployment uneven, spreadOver on another one.
func spread(seed uint64, pattern, policy func(sim *simulation)) *simulation {
	return spreadOver(uneven, seed, pattern, policy)
}

func spreadOver(s size, seed uint64, pattern, policy func(sim *simulation)) *simulation {
	sim := newSimulationWith(seed, s, policy)
	sim.closing = 0.3
	pattern(sim)
	sim.load(spreadSpan)
	sim.run(spreadSpan + requestTimeout)
	return sim
}

func checkSpread(t *testing.T, s size, pattern func(sim *simulation), check func(*testing.T, *simulation)) {
	for seed := range uint64(3) {
		sim := spreadOver(s, seed, pattern, func(*simulation) {})
		inGoal := sim.domainInGoal(spreadBegin+settleTime, spreadEnd)
		refused := float64(sim.refusals) / float64(sim.arrivals)
		t.Logf("seed %d: lowest in goal %.3f, refused %.4f, busiest/mean %.2f", seed, inGoal, refused, sim.imbalance())
		require.GreaterOrEqual(t, inGoal, minDomainInGoal)
		require.Less(t, refused, maxRefused)
		require.Zero(t, sim.broken, "packets of open flows reached other upstreams")
		check(t, sim)
	}
}

// allowImbalance accepts any distribution over upstreams: flows stay in a failure domain
// as long as nobody waits there.
func allowImbalance(*testing.T, *simulation) {}

// Guards against flows that stay in a failure domain whose upstreams are full while
// others have room: callers shift into one domain and back.
func TestCallersShiftIntoOneDomain(t *testing.T) { checkSpread(t, uneven, shift, allowImbalance) }

// Guards against a failure domain that gets no flows because it has no callers of its own,
// so that nobody there sees response times.
func TestDomainWithoutCallersTakesLoad(t *testing.T) {
	checkSpread(t, uneven, leaveDomain, allowImbalance)
}

// Guards against flows that stay in a full failure domain when it loses a fifth of its
// upstreams.
func TestFullDomainLosesUpstreams(t *testing.T) {
	checkSpread(t, unevenLarge, loseUpstreams, allowImbalance)
}

// Guards against a choice that counts flows only: long flows with uneven requests.
func TestLongFlowsWithUnevenRequests(t *testing.T) {
	checkSpread(t, uneven, unevenFlows, func(t *testing.T, sim *simulation) {
		require.LessOrEqual(t, sim.imbalance(), maxImbalance)
	})
}

// Guards against new flows to an upstream that answers eight times slower than the
// others. Established flows stay there.
func TestOneUpstreamEightTimesSlower(t *testing.T) {
	for seed := range uint64(3) {
		sim := spread(seed, slowUpstream, func(*simulation) {})
		_, inGoal := sim.shares(spreadBegin+settleTime, spreadEnd)
		require.GreaterOrEqual(t, inGoal, minDomainInGoal)
		opened := 0
		for _, at := range sim.upstreams[2].opens {
			if at := at.Sub(sim.begin); at >= spreadBegin+settleTime && at < spreadEnd {
				opened++
			}
		}
		mean := float64(len(sim.requests)) * sim.closing / float64(len(sim.upstreams)) * float64(spreadEnd-spreadBegin-settleTime) / float64(spreadSpan)
		t.Logf("seed %d: in goal %.3f, %d flows opened, mean %.0f", seed, inGoal, opened, mean)
		require.Less(t, float64(opened), mean/2)
	}
}

// Guards against queues that build at single upstreams, and refusals that meet the same
// upstream again, after an outage of all instances that lasts almost as long as callers
// wait. The backlog is six times what the queues of all upstreams hold; a second and a half
// after the instances are back, requests are served as before.
func TestWaveAfterOutageOfAllInstances(t *testing.T) {
	const down = 1500 * time.Millisecond
	for seed := range uint64(3) {
		sim := spread(seed, func(sim *simulation) {
			sim.after(spreadBegin, func() {
				for _, i := range sim.instances {
					i.kill(down)
				}
			})
		}, func(*simulation) {})
		back := spreadBegin + down
		inGoal := sim.domainInGoal(back+settleTime, spreadEnd)
		served, _ := sim.shares(back+settleTime, spreadEnd)
		refused := float64(sim.refusals) / float64(sim.arrivals)
		t.Logf("seed %d: lowest in goal %.3f, served %.4f, refused %.4f", seed, inGoal, served, refused)
		require.GreaterOrEqual(t, inGoal, minDomainInGoal)
		require.GreaterOrEqual(t, served, minServed)
	}
}

// Guards against checks that pass without reports on response times.
func TestChecksRejectInstancesWithoutLoadReports(t *testing.T) {
	for name, pattern := range map[string]func(*simulation){"shift": shift, "leave": leaveDomain, "lose": loseUpstreams} {
		sim := spread(0, pattern, func(sim *simulation) { sim.withoutLoadReports = true })
		inGoal := sim.domainInGoal(spreadBegin+settleTime, spreadEnd)
		t.Logf("%s: lowest in goal %.3f, refused %d of %d, busiest/mean %.2f", name, inGoal, sim.refusals, sim.arrivals, sim.imbalance())
		require.Less(t, inGoal, minDomainInGoal, name)
	}
}
