package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/action"
)

const (
	name     = "t/s/u"
	simLease = time.Second
	noRamp   = 1000 * time.Hour
)

var epoch = time.Unix(1_700_000_000, 0)

// policy selects a deliberately broken variant.
type policy struct {
	noWait   bool // a new granter does not wait for the credits of the old one
	noTenure bool // a granter does not look at the end of its tenure
	noExpiry bool // credits do not expire but add up
}

// cluster is a number of instances in front of one upstream, in virtual time.
type cluster struct {
	policy
	rng      *rand.Rand
	now      time.Duration
	events   []event
	nodes    []*instance
	holder   int
	until    time.Duration
	renewing bool
	bootID   uint64
	arrivals []time.Duration
	loss     float64
	demand   float64       // opens per second over all instances
	slow     time.Duration // time in which the upstream answers
}

// instance is one instance; it implements Slots with its own view.
type instance struct {
	*cluster
	credits *Credits
	index   int
	offset  time.Duration
	view    int
	tenure  Tenure
	frozen  bool
	backlog []func()
}

func newCluster(seed uint64, size int, demand float64, spec Spec, p policy, cfg CreditConfig) *cluster {
	c := &cluster{
		policy: p, rng: rand.New(rand.NewPCG(seed, 3)), bootID: 1, renewing: true, demand: demand, slow: 2 * time.Millisecond,
	}
	for i := range size {
		n := &instance{cluster: c, index: i, offset: c.upTo(250*time.Millisecond) - 125*time.Millisecond}
		n.credits = NewCredits(cfg, fmt.Sprint(i), rand.New(rand.NewPCG(seed, uint64(i))))
		n.credits.SetUpstream(name, spec)
		c.nodes = append(c.nodes, n)
		c.repeat(func() time.Duration { return 100 * time.Millisecond }, func() {
			n.run(func() []action.Action { return n.credits.Tick(n.clock(), n) })
		})
		c.repeat(func() time.Duration {
			return time.Duration(c.rng.ExpFloat64() / c.demand * float64(size) * float64(time.Second))
		}, n.open)
	}
	c.take(0)
	c.repeat(func() time.Duration { return 10 * time.Millisecond }, c.renew)
	return c
}

func (c *cluster) upTo(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

func (c *cluster) after(d time.Duration, run func()) {
	at := c.now + d
	i, _ := slices.BinarySearchFunc(c.events, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	c.events = slices.Insert(c.events, i, event{at, run})
}

func (c *cluster) repeat(interval func() time.Duration, run func()) {
	c.after(interval(), func() { run(); c.repeat(interval, run) })
}

func (c *cluster) advance(d time.Duration) {
	end := c.now + d
	for c.events[0].at <= end {
		e := c.events[0]
		c.events, c.now = c.events[1:], e.at
		e.run()
	}
	c.now = end
}

func (c *cluster) send(run func()) {
	if c.rng.Float64() >= c.loss {
		c.after(c.upTo(3*time.Millisecond), run)
	}
	if c.rng.Float64() < c.loss {
		c.after(c.upTo(2*time.Second), run)
	}
}

// renew extends the tenure of a running holder. The next one takes over as
// soon as it ends, without the margin of the lease.
func (c *cluster) renew() {
	h := c.nodes[c.holder]
	if c.renewing && !h.frozen && c.now < c.until {
		c.until, h.tenure.Until = c.now+simLease, h.clock().Add(simLease)
	}
	if c.now >= c.until {
		c.take(c.rng.IntN(len(c.nodes)))
	}
}

func (c *cluster) take(i int) {
	n := c.nodes[i]
	if n.frozen {
		return
	}
	c.holder, c.until, c.renewing = i, c.now+simLease, true
	n.view, n.tenure = i, Tenure{Start: n.clock(), Until: n.clock().Add(simLease)}
	if c.noWait || c.now == 0 {
		n.tenure.Start = n.tenure.Start.Add(-time.Hour)
	}
	for _, other := range c.nodes {
		c.after(c.upTo(2*time.Second), func() { other.view = c.holder })
	}
}

func (n *instance) clock() time.Time { return epoch.Add(n.now + n.offset) }

func (n *instance) Holder(string) (string, netip.AddrPort) {
	return fmt.Sprint(n.view), netip.AddrPort{}
}

func (n *instance) Tenure(string, time.Time) (Tenure, bool) {
	t := n.tenure
	if n.noTenure {
		t.Until = t.Until.Add(time.Hour)
	}
	return t, !t.Start.IsZero()
}

// run executes an event now or when the instance resumes.
func (n *instance) run(event func() []action.Action) {
	handle := func() {
		for _, a := range event() {
			send := a.(action.SendPeer)
			to := n.nodes[int(send.Instance[0]-'0')]
			n.send(func() {
				to.run(func() []action.Action {
					if request := send.Message.GetCreditRequest(); request != nil {
						return to.credits.HandleRequest(to.clock(), send.Message.From, netip.AddrPort{}, request, to)
					}
					r := &to.credits.upstreams[name].requester
					kept := r.credits
					to.credits.HandleGrant(to.clock(), send.Message.GetCreditGrant())
					if n.noExpiry {
						r.credits, r.until = r.credits+kept, to.clock().Add(time.Minute)
					}
					return nil
				})
			})
		}
	}
	if n.frozen {
		n.backlog = append(n.backlog, handle)
		return
	}
	handle()
}

func (n *instance) freeze(d time.Duration) {
	n.frozen = true
	n.after(d, func() {
		backlog := n.backlog
		n.frozen, n.backlog = false, nil
		for _, handle := range backlog {
			handle()
		}
	})
}

// open sends an OPEN if it may; the upstream answers with its boot id.
func (n *instance) open() {
	hash := n.rng.Uint64()
	if n.frozen || !n.credits.Open(n.clock(), name, hash).Allowed() {
		return
	}
	n.after(n.upTo(2*time.Millisecond), func() {
		n.arrivals = append(n.arrivals, n.now)
		bootID := n.bootID
		n.after(n.upTo(n.slow), func() {
			if !n.frozen {
				n.credits.Answered(name, hash)
				n.credits.ObserveBoot(name, bootID)
			}
		})
	})
}

// busiest returns the largest number of arrivals within one second.
func (c *cluster) busiest() int {
	most, first := 0, 0
	for i, at := range c.arrivals {
		for c.arrivals[first] <= at-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

type event struct {
	at  time.Duration
	run func()
}
