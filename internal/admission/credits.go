package admission

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// Constants of cold-start credits.
const (
	// CreditLifetime is the longest time for which a credit may be valid.
	CreditLifetime = time.Second
	// CreditUse is how long after its request a credit may be spent. It is
	// shorter than CreditLifetime, because every credit granted in
	// 1 s + CreditUse may arrive within one second: with 100 ms, 87% of the
	// sustainable load can be used, with 1 s only half.
	CreditUse = 100 * time.Millisecond
	// transitLimit is the assumed bound on the spread of the time that a
	// packet takes from an instance to an upstream.
	transitLimit = 50 * time.Millisecond
	// grantWindow is the time in which the granter hands out at most the
	// credits that the upstream sustains in one second.
	grantWindow = time.Second + CreditUse + transitLimit
	// takeoverWait is how long a new granter waits, because it does not know
	// the credits of the previous one. With CreditLifetime alone, the last
	// opens on old credits and the first on new ones may lie only 900 ms
	// apart and exceed the load of one second.
	takeoverWait = max(CreditLifetime, grantWindow)

	// askInterval is the time between two requests for credits, and
	// askBackoff the time after a request that got none.
	askInterval = CreditUse
	askBackoff  = 200 * time.Millisecond
	// shedRun is the number of OPENs in a row that an upstream sheds before it
	// counts as cold; a warm one sheds single OPENs at its connection limit.
	shedRun = 3
	// coldHold is how long a requester disbelieves a granter that calls an
	// upstream warm which this instance has found cold; by then the granter
	// has heard of it through heartbeats.
	coldHold = 5 * time.Second
	// maxRetired bounds the earlier boot ids that are remembered.
	maxRetired = 8
	// defaultFullFactor estimates the full load when it is not known.
	defaultFullFactor = 16
)

// Defaults of CreditConfig.
const (
	// defaultUnanswered bounds what an instance sends to an upstream that
	// restarted unnoticed. An instance that opens 150 flows/s with a round
	// trip of 3 ms has 0.45 of them unanswered on average; more than 4 with a
	// probability of 0.01%.
	defaultUnanswered        = 4
	defaultUnansweredTimeout = time.Second
)

// CreditConfig holds the constants of Credits. Zero values take the defaults.
type CreditConfig struct {
	// Unanswered is the number of opens to one upstream that may be
	// unanswered at a time.
	Unanswered int
	// UnansweredTimeout is when an unanswered open is given up.
	UnansweredTimeout time.Duration
}

// Spec is what an upstream sustains.
type Spec struct {
	// SustainablePerSecond is the rate of opens that a cold upstream
	// sustains.
	SustainablePerSecond int
	// Ramp is the time from cold to full load; zero for none.
	Ramp time.Duration
	// FullPerSecond is the rate at the end of the ramp. Zero takes 16 times
	// the sustainable rate.
	FullPerSecond int
}

// Tenure is the time for which this instance may grant.
type Tenure struct{ Start, Until time.Time }

// Slots tells who grants credits for an upstream.
type Slots interface {
	// Holder returns the instance that holds the lease slot of an upstream;
	// "" for none.
	Holder(upstream string) (string, netip.AddrPort)
	// Tenure returns the tenure of this instance for the slot of an upstream,
	// and false when it is not the holder.
	Tenure(upstream string, now time.Time) (Tenure, bool)
}

// Decision tells whether an open may be sent to an upstream.
type Decision int

// Decisions on an open.
const (
	// OpenWarm: the upstream is warm.
	OpenWarm Decision = iota + 1
	// OpenCredit: a credit was spent.
	OpenCredit
	// RefusedNoCredit: the upstream is cold and no credit is left.
	RefusedNoCredit
	// RefusedUnanswered: too many opens to the upstream are unanswered.
	RefusedUnanswered
	// RefusedUnknown: no such upstream is declared.
	RefusedUnknown
)

var decisions = [...]string{"", "warm", "credit", "no_credit", "unanswered", "unknown_upstream"}

// Allowed tells whether the open may be sent.
func (d Decision) Allowed() bool { return d == OpenWarm || d == OpenCredit }

// String returns the decision as a metric label.
func (d Decision) String() string { return decisions[d] }

// Credits holds both sides of cold-start credits: it grants them for the
// upstreams whose slot this instance holds, and requests and spends them for
// the opens of this instance. It is not safe for concurrent use.
type Credits struct {
	cfg       CreditConfig
	self      string
	rng       *rand.Rand
	upstreams map[string]*upstream
	// names holds the keys of upstreams in order, so that a run with the same
	// seed requests credits in the same order.
	names    []string
	sequence uint64
}

// upstream is the state of one upstream.
type upstream struct {
	spec Spec
	// bootID is the newest boot id known, zero for none; retired holds the
	// ones before it.
	bootID  uint64
	retired []uint64
	warm    bool
	// shed counts the OPENs in a row that the upstream shed.
	shed int
	// distrust is until when a granter's claim of warmth is ignored.
	distrust time.Time
	// unanswered maps the hash of a flow to the time of its last OPEN.
	unanswered map[uint64]time.Time
	requester  requester
	granter    granter
}

// NewCredits returns credits of the instance named self.
func NewCredits(cfg CreditConfig, self string, rng *rand.Rand) *Credits {
	if cfg.Unanswered == 0 {
		cfg.Unanswered = defaultUnanswered
	}
	if cfg.UnansweredTimeout == 0 {
		cfg.UnansweredTimeout = defaultUnansweredTimeout
	}
	return &Credits{
		cfg: cfg, self: self, rng: rng, upstreams: make(map[string]*upstream),
		// A restarted instance must not take an answer to its earlier life
		// for its own.
		sequence: rng.Uint64() >> 1,
	}
}

// SetUpstream declares an upstream, named <team>/<service>/<upstream>. A new
// one is cold.
func (c *Credits) SetUpstream(name string, spec Spec) {
	spec.SustainablePerSecond = max(spec.SustainablePerSecond, 1)
	if spec.FullPerSecond == 0 {
		spec.FullPerSecond = spec.SustainablePerSecond * defaultFullFactor
	}
	if u := c.upstreams[name]; u != nil {
		u.spec = spec
		return
	}
	c.upstreams[name] = &upstream{spec: spec, unanswered: make(map[uint64]time.Time)}
	i, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, i, name)
}

// RemoveUpstream forgets an upstream.
func (c *Credits) RemoveUpstream(name string) {
	delete(c.upstreams, name)
	if i, ok := slices.BinarySearch(c.names, name); ok {
		c.names = slices.Delete(c.names, i, i+1)
	}
}

// Warm tells whether an upstream takes opens without credits.
func (c *Credits) Warm(name string) bool {
	u := c.upstreams[name]
	return u != nil && u.warm
}

// Open decides whether the OPEN of a flow may be sent to an upstream. Every
// OPEN needs a decision, retransmissions included.
func (c *Credits) Open(now time.Time, name string, flowHash uint64) Decision {
	u := c.upstreams[name]
	if u == nil {
		return RefusedUnknown
	}
	u.requester.demand++
	_, repeated := u.unanswered[flowHash]
	if !repeated && len(u.unanswered) >= c.cfg.Unanswered {
		u.giveUp(now, c.cfg.UnansweredTimeout)
		if len(u.unanswered) >= c.cfg.Unanswered {
			return RefusedUnanswered
		}
	}
	if !u.warm && !u.requester.spend(now) {
		return RefusedNoCredit
	}
	u.unanswered[flowHash] = now
	if u.warm {
		return OpenWarm
	}
	return OpenCredit
}

// Answered notes that an upstream answered the OPEN of a flow in any way. Each
// packet with a boot id goes to ObserveBoot as well.
func (c *Credits) Answered(name string, flowHash uint64) {
	if u := c.upstreams[name]; u != nil {
		delete(u.unanswered, flowHash)
	}
}

// Shed notes that an upstream shed an OPEN. After shedRun of them in a row it
// counts as cold, also during a ramp, when it needs credits already.
func (c *Credits) Shed(now time.Time, name string) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	u.shed++
	if u.shed >= shedRun {
		c.MarkCold(now, name)
	}
}

// Opened notes that an upstream accepted an OPEN.
func (c *Credits) Opened(name string) {
	if u := c.upstreams[name]; u != nil {
		u.shed = 0
	}
}

// ObserveBoot notes a boot id seen in a packet, a probe or a report of a peer.
// A new one makes the upstream cold; it returns true in this case.
func (c *Credits) ObserveBoot(name string, bootID uint64) bool {
	u := c.upstreams[name]
	return u != nil && u.observe(bootID)
}

// MarkWarm notes that another instance has found an upstream warm under a boot
// id. An instance that started during an outage of the platform, when no
// instance may hold the upstream's lease slot, would otherwise take every
// upstream for cold.
func (c *Credits) MarkWarm(now time.Time, name string, bootID uint64) {
	u := c.upstreams[name]
	if u != nil && bootID != 0 && bootID == u.bootID && !now.Before(u.distrust) {
		u.warm = true
	}
}

// MarkCold notes that an upstream has turned cold without a new boot id, after
// a reset or a run of shed answers.
func (c *Credits) MarkCold(now time.Time, name string) {
	if u := c.upstreams[name]; u != nil {
		u.chill()
		u.distrust = now.Add(coldHold)
	}
}

// Tick requests credits for the cold upstreams that opens were meant for.
func (c *Credits) Tick(now time.Time, slots Slots) []action.Action {
	var actions []action.Action
	for _, name := range c.names {
		u := c.upstreams[name]
		request := u.requester.ask(now, c, u, name)
		if request == nil {
			continue
		}
		holder, address := slots.Holder(name)
		if holder != "" && holder != c.self {
			actions = append(actions, action.SendPeer{Instance: holder, Address: address, Message: &pb.PeerMessage{
				From: c.self, Body: &pb.PeerMessage_CreditRequest{CreditRequest: request},
			}})
			continue
		}
		if tenure, ok := slots.Tenure(name, now); ok {
			if grant := c.grant(now, request, tenure); grant != nil {
				c.HandleGrant(now, grant)
			}
		}
	}
	return actions
}

func (u *upstream) observe(bootID uint64) bool {
	if bootID == 0 || bootID == u.bootID {
		return false
	}
	if slices.Contains(u.retired, bootID) {
		return false
	}
	if u.bootID == 0 {
		u.bootID = bootID
		return false
	}
	if len(u.retired) == maxRetired {
		u.retired = u.retired[1:]
	}
	u.retired = append(u.retired, u.bootID)
	u.bootID = bootID
	u.chill()
	return true
}

func (u *upstream) chill() {
	u.warm = false
	u.requester.credits = 0
	u.granter.rampStart = time.Time{}
}

func (u *upstream) giveUp(now time.Time, timeout time.Duration) {
	for hash, sent := range u.unanswered {
		if now.Sub(sent) > timeout {
			delete(u.unanswered, hash)
		}
	}
}
