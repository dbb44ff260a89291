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
	upstreamName     = "t/s/u"
	simLeaseDuration = time.Second
	noRamp           = 1000 * time.Hour
)

var epoch = time.Unix(1_700_000_000, 0)

// policy selects a variant of the algorithm. The zero value is the correct one, every
// other value breaks it on purpose.
type policy struct {
	noTakeoverDelay    bool // a new granter grants before the credits of the old one have expired
	ignoreTermEnd      bool // a granter goes on granting after the end of its lease term
	creditsNeverExpire bool // a requester adds new credits to the old ones and spends them for a minute
}

// cluster simulates instances that open flows to one upstream, in virtual time.
type cluster struct {
	policy
	rng            *rand.Rand
	now            time.Duration
	events         []event
	instances      []*instance
	holder         int // index of the holder of the lease slot
	termEnd        time.Duration
	renewTerm      bool
	bootID         uint64
	arrivals       []time.Duration
	loss           float64       // probability that a message is lost
	demand         float64       // attempted opens per second of all instances together
	maxAnswerDelay time.Duration // longest time that the upstream takes to answer
}

// instance is one instance of a cluster. It implements Slots by its own, possibly
// outdated, knowledge of the holder.
type instance struct {
	*cluster
	credits     *Credits
	index       int
	clockOffset time.Duration
	holderIndex int // index of the instance that this one takes for the holder
	term        LeaseTerm
	paused      bool
	deferred    []func() // what arrived during the pause
}

func newCluster(seed uint64, size int, demand float64, spec LoadSpec, p policy, cfg CreditConfig) *cluster {
	c := &cluster{
		policy: p, rng: rand.New(rand.NewPCG(seed, 3)), bootID: 1, renewTerm: true,
		demand: demand, maxAnswerDelay: 2 * time.Millisecond,
	}
	for i := range size {
		n := &instance{cluster: c, index: i, clockOffset: c.randomUpTo(250*time.Millisecond) - 125*time.Millisecond}
		n.credits = NewCredits(cfg, fmt.Sprint(i), rand.New(rand.NewPCG(seed, uint64(i))))
		n.credits.SetUpstream(upstreamName, spec)
		c.instances = append(c.instances, n)
		c.scheduleEvery(func() time.Duration { return 100 * time.Millisecond }, func() {
			n.runUnlessPaused(func() []action.Action { return n.credits.Tick(n.clock(), n) })
		})
		c.scheduleEvery(func() time.Duration {
			return time.Duration(c.rng.ExpFloat64() / c.demand * float64(size) * float64(time.Second))
		}, n.tryOpen)
	}
	c.startTerm(0)
	c.scheduleEvery(func() time.Duration { return 10 * time.Millisecond }, c.renewOrReplace)
	return c
}

// randomUpTo returns a random duration below d.
func (c *cluster) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// schedule runs a function after d.
func (c *cluster) schedule(d time.Duration, run func()) {
	at := c.now + d
	i, _ := slices.BinarySearchFunc(c.events, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	c.events = slices.Insert(c.events, i, event{at, run})
}

// scheduleEvery runs a function again and again, after an interval each time.
func (c *cluster) scheduleEvery(interval func() time.Duration, run func()) {
	c.schedule(interval(), func() { run(); c.scheduleEvery(interval, run) })
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

// sendWithLoss delivers a message after up to 3 ms unless it is lost. With the
// probability of a loss it is also delivered, again or late, after up to 2 s.
func (c *cluster) sendWithLoss(run func()) {
	if c.rng.Float64() >= c.loss {
		c.schedule(c.randomUpTo(3*time.Millisecond), run)
	}
	if c.rng.Float64() < c.loss {
		c.schedule(c.randomUpTo(2*time.Second), run)
	}
}

// renewOrReplace extends the lease term of the holder while it runs. When the lease term has
// ended, it starts that of a random instance at once, without the margin that a
// lease has.
func (c *cluster) renewOrReplace() {
	h := c.instances[c.holder]
	if c.renewTerm && !h.paused && c.now < c.termEnd {
		c.termEnd, h.term.Until = c.now+simLeaseDuration, h.clock().Add(simLeaseDuration)
	}
	if c.now >= c.termEnd {
		c.startTerm(c.rng.IntN(len(c.instances)))
	}
}

// startTerm makes instance i the holder unless it is paused. The others learn of it
// within 2 s.
func (c *cluster) startTerm(i int) {
	n := c.instances[i]
	if n.paused {
		return
	}
	c.holder, c.termEnd, c.renewTerm = i, c.now+simLeaseDuration, true
	n.holderIndex, n.term = i, LeaseTerm{Start: n.clock(), Until: n.clock().Add(simLeaseDuration)}
	if c.noTakeoverDelay || c.now == 0 {
		n.term.Start = n.term.Start.Add(-time.Hour)
	}
	for _, other := range c.instances {
		c.schedule(c.randomUpTo(2*time.Second), func() { other.holderIndex = c.holder })
	}
}

// clock returns the time by the instance's own clock.
func (n *instance) clock() time.Time { return epoch.Add(n.now + n.clockOffset) }

func (n *instance) RequestTarget(string) (string, netip.AddrPort) {
	return fmt.Sprint(n.holderIndex), netip.AddrPort{}
}

func (n *instance) Term(string, time.Time) (LeaseTerm, bool) {
	t := n.term
	if n.ignoreTermEnd {
		t.Until = t.Until.Add(time.Hour)
	}
	return t, !t.Start.IsZero()
}

// runUnlessPaused runs an event, and sends the messages that it returns, now or when
// the instance resumes.
func (n *instance) runUnlessPaused(event func() []action.Action) {
	handle := func() {
		for _, a := range event() {
			send := a.(action.SendPeer)
			to := n.instances[int(send.Instance[0]-'0')]
			n.sendWithLoss(func() {
				to.runUnlessPaused(func() []action.Action {
					if request := send.Message.GetCreditRequest(); request != nil {
						return to.credits.HandleRequest(to.clock(), send.Message.From, netip.AddrPort{}, request, to)
					}
					r := &to.credits.upstreams[upstreamName].requester
					kept := r.credits
					to.credits.HandleGrant(to.clock(), send.Message.GetCreditGrant())
					if n.creditsNeverExpire {
						r.credits, r.expiresAt = r.credits+kept, to.clock().Add(time.Minute)
					}
					return nil
				})
			})
		}
	}
	if n.paused {
		n.deferred = append(n.deferred, handle)
		return
	}
	handle()
}

// pause stops the instance for d; what arrives meanwhile is handled afterwards.
func (n *instance) pause(d time.Duration) {
	n.paused = true
	n.schedule(d, func() {
		deferred := n.deferred
		n.paused, n.deferred = false, nil
		for _, handle := range deferred {
			handle()
		}
	})
}

// tryOpen sends an OPEN if admission allows it. The upstream answers with its boot
// id.
func (n *instance) tryOpen() {
	hash := n.rng.Uint64()
	if n.paused || !n.credits.AdmitOpen(n.clock(), upstreamName, hash).Allowed() {
		return
	}
	n.schedule(n.randomUpTo(2*time.Millisecond), func() {
		n.arrivals = append(n.arrivals, n.now)
		bootID := n.bootID
		n.schedule(n.randomUpTo(n.maxAnswerDelay), func() {
			if !n.paused {
				n.credits.RecordAnswer(upstreamName, hash)
				n.credits.ObserveBoot(upstreamName, bootID)
			}
		})
	})
}

// maxArrivalsPerSecond returns the largest number of opens that arrived at the
// upstream within one second.
func (c *cluster) maxArrivalsPerSecond() int {
	most, oldest := 0, 0
	for i, at := range c.arrivals {
		for c.arrivals[oldest] <= at-time.Second {
			oldest++
		}
		most = max(most, i-oldest+1)
	}
	return most
}

// event is a function that runs at a point in virtual time.
type event struct {
	at  time.Duration
	run func()
}
