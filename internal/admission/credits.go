package admission

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// Constants of cold-start credits. A credit permits one open to a cold upstream.
const (
	// CreditLifetime is the upper bound of the time for which a credit is valid,
	// counted from the sending of its request.
	CreditLifetime = time.Second
	// CreditSpendWindow is the time after its request within which a credit may be
	// spent. It is shorter than CreditLifetime, because the opens on all credits
	// granted within 1 s + CreditSpendWindow may arrive within one second: with
	// 100 ms, 87% of the sustainable load can be used, with 1 s only half.
	CreditSpendWindow = 100 * time.Millisecond
	// maxTransitSpread is the assumed maximum difference between the times that
	// two packets take from an instance to an upstream.
	maxTransitSpread = 50 * time.Millisecond
	// grantWindow is the time within which the granter grants at most the credits
	// that the upstream sustains in one second.
	grantWindow = time.Second + CreditSpendWindow + maxTransitSpread
	// takeoverDelay is how long a new granter grants nothing, because it does not
	// know the credits that the previous one granted. With CreditLifetime alone,
	// the last opens on old credits and the first on new ones could be only 900 ms
	// apart and together exceed the sustainable load of one second.
	takeoverDelay = max(CreditLifetime, grantWindow)

	// requestInterval is the time from a request that got credits to the next one
	// for the same upstream, and requestBackoff the time when it was not answered.
	// After an answer without credits it is 0.5 to 1.5 times requestBackoff.
	requestInterval = CreditSpendWindow
	requestBackoff  = 200 * time.Millisecond
	// coldAfterSheds is the number of consecutive shed OPENs after which an
	// upstream counts as cold. A warm upstream sheds single OPENs at its
	// connection limit.
	coldAfterSheds = 3
	// ignoreWarmPeriod is the time for which an instance that has found an upstream
	// cold ignores claims of others that it is warm. After that time the granter
	// has learned of the cold state through heartbeats.
	ignoreWarmPeriod = 5 * time.Second
	// maxFormerBootIDs is the number of former boot ids kept per upstream.
	maxFormerBootIDs = 8
	// defaultFullLoadFactor is the assumed ratio of the full to the sustainable
	// rate when LoadSpec does not state the full rate.
	defaultFullLoadFactor = 16
)

// Defaults of CreditConfig.
const (
	// defaultMaxUnanswered bounds the opens that an instance sends to an upstream
	// before it notices that the upstream has restarted. An instance that opens
	// 150 flows/s with a round trip of 3 ms has 0.45 opens unanswered on average,
	// and more than 4 with a probability of 0.01%.
	defaultMaxUnanswered     = 4
	defaultUnansweredTimeout = time.Second
)

// CreditConfig holds the settings of Credits. Zero values select the defaults.
type CreditConfig struct {
	// MaxUnanswered is the maximum number of flows whose OPEN to one upstream is
	// unanswered. The default is 4.
	MaxUnanswered int
	// UnansweredTimeout is the time after which an unanswered OPEN no longer
	// counts. The default is 1 s.
	UnansweredTimeout time.Duration
}

// LoadSpec describes the load that an upstream sustains.
type LoadSpec struct {
	// SustainablePerSecond is the number of opens per second that a cold upstream
	// sustains. SetUpstream raises it to 1 at least.
	SustainablePerSecond int
	// Ramp is the time from the first credit to the full rate, over which the
	// granted rate grows linearly; zero for no ramp.
	Ramp time.Duration
	// FullPerSecond is the number of opens per second at the end of the ramp. Zero
	// selects 16 times SustainablePerSecond.
	FullPerSecond int
}

// LeaseTerm is the period, from Start until just before Until, in which this instance
// holds the lease slot of an upstream and may grant credits for it.
type LeaseTerm struct{ Start, Until time.Time }

// Slots tells which instance grants credits for an upstream. It is the one that
// holds the upstream's lease slot.
type Slots interface {
	// RequestTarget returns the name and peer address of the instance to which requests
	// for credits go, "" for none. It is the holder of the upstream's lease slot
	// or, while no live instance holds it, one that can at most confirm that the
	// upstream is warm.
	RequestTarget(upstream string) (string, netip.AddrPort)
	// Term returns the lease term of this instance for the lease slot of an upstream
	// at now, and false when this instance does not hold the slot.
	Term(upstream string, now time.Time) (LeaseTerm, bool)
}

// Decision is the result of Credits.AdmitOpen: whether an OPEN may be sent to an
// upstream and why.
type Decision int

// Decisions on an OPEN.
const (
	// OpenWarm: it may be sent without a credit, because the upstream is warm.
	OpenWarm Decision = iota + 1
	// OpenCredit: the upstream is cold and a credit was spent on it.
	OpenCredit
	// RefusedNoCredit: the upstream is cold and there is no valid credit.
	RefusedNoCredit
	// RefusedUnanswered: CreditConfig.MaxUnanswered other OPENs to the upstream are
	// unanswered.
	RefusedUnanswered
	// RefusedUnknown: the upstream was not declared by SetUpstream.
	RefusedUnknown
)

var decisions = [...]string{"", "warm", "credit", "no_credit", "unanswered", "unknown_upstream"}

// Allowed reports whether the OPEN may be sent.
func (d Decision) Allowed() bool { return d == OpenWarm || d == OpenCredit }

// String returns the decision as a metric label.
func (d Decision) String() string { return decisions[d] }

// Credits implements both sides of cold-start credits. It grants them for the
// upstreams whose lease slot this instance holds, and it requests and spends them
// for the opens of this instance. It is not safe for concurrent use.
type Credits struct {
	cfg       CreditConfig
	self      string
	rng       *rand.Rand
	upstreams map[string]*upstream
	// names holds the keys of upstreams, sorted, so that a run with the same seed
	// requests credits in the same order.
	names []string
	// sequence is the sequence number of the latest request for credits.
	sequence uint64
}

// upstream is what this instance knows about one upstream.
type upstream struct {
	spec LoadSpec
	// bootID is the latest boot id, 0 while it is not known.
	bootID uint64
	// formerBootIDs holds the latest maxFormerBootIDs boot ids before bootID,
	// oldest first. Late packets and reports that name one of them are ignored.
	formerBootIDs []uint64
	// warm is true when opens need no credit.
	warm bool
	// consecutiveSheds counts the OPENs shed since the last accepted one.
	consecutiveSheds int
	// ignoreWarmUntil is the time until which claims of other instances that the
	// upstream is warm are ignored, zero for none.
	ignoreWarmUntil time.Time
	// unanswered holds the time of the last OPEN of each flow that the upstream has
	// not answered, by flow hash. An entry is removed by the answer or, when it is
	// older than CreditConfig.UnansweredTimeout, once the map is full.
	unanswered map[uint64]time.Time
	requester  requester
	granter    granter
}

// NewCredits returns the Credits of the instance named self, without upstreams.
func NewCredits(cfg CreditConfig, self string, rng *rand.Rand) *Credits {
	if cfg.MaxUnanswered == 0 {
		cfg.MaxUnanswered = defaultMaxUnanswered
	}
	if cfg.UnansweredTimeout == 0 {
		cfg.UnansweredTimeout = defaultUnansweredTimeout
	}
	return &Credits{
		cfg: cfg, self: self, rng: rng, upstreams: make(map[string]*upstream),
		// The first sequence number is random, so that a restarted instance does
		// not accept a grant that answers a request of its earlier run.
		sequence: rng.Uint64() >> 1,
	}
}

// SetUpstream declares an upstream, named <team>/<service>/<upstream>, or changes
// its LoadSpec. A new upstream is cold.
func (c *Credits) SetUpstream(name string, spec LoadSpec) {
	spec.SustainablePerSecond = max(spec.SustainablePerSecond, 1)
	if spec.FullPerSecond == 0 {
		spec.FullPerSecond = spec.SustainablePerSecond * defaultFullLoadFactor
	}
	if u := c.upstreams[name]; u != nil {
		u.spec = spec
		return
	}
	c.upstreams[name] = &upstream{spec: spec, unanswered: make(map[uint64]time.Time)}
	i, _ := slices.BinarySearch(c.names, name)
	c.names = slices.Insert(c.names, i, name)
}

// RemoveUpstream removes an upstream and all that is known about it.
func (c *Credits) RemoveUpstream(name string) {
	delete(c.upstreams, name)
	if i, ok := slices.BinarySearch(c.names, name); ok {
		c.names = slices.Delete(c.names, i, i+1)
	}
}

// Warm reports whether opens to an upstream need no credits. It is false for an
// upstream that is not declared.
func (c *Credits) Warm(name string) bool {
	u := c.upstreams[name]
	return u != nil && u.warm
}

// AdmitOpen decides whether the OPEN of a flow may be sent to an upstream. It is refused
// when the upstream is not declared, when CreditConfig.MaxUnanswered OPENs of other
// flows are unanswered, or when the upstream is cold and no valid credit is left.
// The caller asks for every OPEN, retransmissions included: each one needs a credit
// of its own at a cold upstream.
func (c *Credits) AdmitOpen(now time.Time, name string, flowHash uint64) Decision {
	u := c.upstreams[name]
	if u == nil {
		return RefusedUnknown
	}
	u.requester.openAttempts++
	_, repeated := u.unanswered[flowHash]
	if !repeated && len(u.unanswered) >= c.cfg.MaxUnanswered {
		u.expireUnanswered(now, c.cfg.UnansweredTimeout)
		if len(u.unanswered) >= c.cfg.MaxUnanswered {
			return RefusedUnanswered
		}
	}
	if !u.warm && !u.requester.spendCredit(now) {
		return RefusedNoCredit
	}
	u.unanswered[flowHash] = now
	if u.warm {
		return OpenWarm
	}
	return OpenCredit
}

// RecordAnswer records that an upstream answered the OPEN of a flow, whether it accepted
// or refused it. The caller passes the boot id of the packet to ObserveBoot as well.
func (c *Credits) RecordAnswer(name string, flowHash uint64) {
	if u := c.upstreams[name]; u != nil {
		delete(u.unanswered, flowHash)
	}
}

// RecordShed records that an upstream shed an OPEN. After coldAfterSheds consecutive ones
// the upstream counts as cold. This applies also during a ramp, when opens need
// credits already: the granter then restarts the ramp.
func (c *Credits) RecordShed(now time.Time, name string) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	u.consecutiveSheds++
	if u.consecutiveSheds >= coldAfterSheds {
		c.MarkCold(now, name)
	}
}

// RecordAccepted records that an upstream accepted an OPEN.
func (c *Credits) RecordAccepted(name string) {
	if u := c.upstreams[name]; u != nil {
		u.consecutiveSheds = 0
	}
}

// ObserveBoot records a boot id from a packet, a probe or a report of a peer, 0 for
// unknown. If another one was known and this is not a former one, the upstream has
// restarted: it becomes cold, and the result is true.
func (c *Credits) ObserveBoot(name string, bootID uint64) bool {
	u := c.upstreams[name]
	return u != nil && u.updateBootID(bootID)
}

// MarkWarm records that another instance has found an upstream warm under a boot id.
// It counts only for the current boot id, and not for ignoreWarmPeriod after
// MarkCold. An instance that starts during an outage of the platform, when the
// upstream's lease slot may have no holder, would otherwise take every upstream for
// cold.
func (c *Credits) MarkWarm(now time.Time, name string, bootID uint64) {
	u := c.upstreams[name]
	if u != nil && bootID != 0 && bootID == u.bootID && !now.Before(u.ignoreWarmUntil) {
		u.warm = true
	}
}

// MarkCold records that an upstream has become cold without a new boot id, after a
// reset or consecutive shed answers.
func (c *Credits) MarkCold(now time.Time, name string) {
	if u := c.upstreams[name]; u != nil {
		u.markCold()
		u.ignoreWarmUntil = now.Add(ignoreWarmPeriod)
	}
}

// Tick returns the requests for credits that are due: for the cold upstreams for
// which opens arrive. Where this instance holds the lease slot itself, it grants the
// credits to itself at once.
func (c *Credits) Tick(now time.Time, slots Slots) []action.Action {
	var actions []action.Action
	for _, name := range c.names {
		u := c.upstreams[name]
		request := u.requester.nextRequest(now, c, u, name)
		if request == nil {
			continue
		}
		holder, address := slots.RequestTarget(name)
		if holder != "" && holder != c.self {
			actions = append(actions, action.SendPeer{Instance: holder, Address: address, Message: &pb.PeerMessage{
				From: c.self, Body: &pb.PeerMessage_CreditRequest{CreditRequest: request},
			}})
			continue
		}
		if term, ok := slots.Term(name, now); ok {
			if grant := c.grant(now, request, term); grant != nil {
				c.HandleGrant(now, grant)
			}
		}
	}
	return actions
}

// updateBootID records a boot id, 0 for unknown, and reports whether it shows a
// restart of the upstream.
func (u *upstream) updateBootID(bootID uint64) bool {
	if bootID == 0 || bootID == u.bootID {
		return false
	}
	if slices.Contains(u.formerBootIDs, bootID) {
		return false
	}
	if u.bootID == 0 {
		u.bootID = bootID
		return false
	}
	if len(u.formerBootIDs) == maxFormerBootIDs {
		u.formerBootIDs = u.formerBootIDs[1:]
	}
	u.formerBootIDs = append(u.formerBootIDs, u.bootID)
	u.bootID = bootID
	u.markCold()
	return true
}

// markCold makes the upstream cold, drops its credits and stops its ramp.
func (u *upstream) markCold() {
	u.warm = false
	u.requester.credits = 0
	u.granter.rampStartedAt = time.Time{}
}

// expireUnanswered removes the OPENs that are unanswered for longer than timeout.
func (u *upstream) expireUnanswered(now time.Time, timeout time.Duration) {
	for hash, sent := range u.unanswered {
		if now.Sub(sent) > timeout {
			delete(u.unanswered, hash)
		}
	}
}
