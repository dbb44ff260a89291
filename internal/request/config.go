// Package request decides for the requests of callers whether they run, when
// they are retried and which outcome the caller receives. A non-idempotent
// request runs at most once. The package performs no I/O.
package request

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/hedge"
)

// Defaults of Config.
const (
	// DefaultClockSkewLimit is the largest difference between the clocks of two
	// instances up to which a non-idempotent request runs at most once.
	DefaultClockSkewLimit = 250 * time.Millisecond
	// DefaultMaxDeclaredTimeout is the largest maximum request timeout that a
	// service may declare. A new holder refuses requests that its predecessor
	// may have accepted, and assumes this timeout for them: the predecessor may
	// have used an older declaration of the service with a larger value.
	DefaultMaxDeclaredTimeout = 5 * time.Second
	// DefaultAttemptTimeout is the time without an answer to an attempt after
	// which an idempotent request is retried.
	DefaultAttemptTimeout = time.Second
	// DefaultBackoffBase is the longest wait before the first retry; it doubles
	// with each further retry up to DefaultBackoffMax.
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = 500 * time.Millisecond
	// DefaultRetryRatio is the number of retries that each first attempt of a
	// service adds to its retry budget.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst is the maximum number of retries in the budget of a
	// service.
	DefaultRetryBurst = 20
	// DefaultMaxAttempts is the maximum number of attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultMaxRecords is the maximum number of requests recorded at a time. It
	// is enough for 6,000 requests per second, each retained for 5.25 s.
	DefaultMaxRecords = 32768
	// DefaultMaxParts and DefaultMaxAnswerBytes are the maximum number of parts
	// and of payload bytes of one answer.
	DefaultMaxParts       = 1024
	DefaultMaxAnswerBytes = 1 << 20
	// DefaultMaxBufferBytes is the maximum number of payload bytes of all
	// buffered answers together.
	DefaultMaxBufferBytes = 16 << 20
	// DefaultHedgeMinDelay is the least time between an attempt and its extra attempt.
	DefaultHedgeMinDelay = 10 * time.Millisecond
	// MaxHops is the number of redirects after which a request is refused
	// instead of being redirected again.
	MaxHops = 3
	// CancelAllAttempts is the attempt number of a cancellation that applies
	// to every attempt of a request; no attempt has it.
	CancelAllAttempts = 1<<32 - 1
)

// Config holds the limits of an Engine. Zero values are replaced by the defaults.
type Config struct {
	// ReplyTo is the peer address of this instance as ip:port.
	ReplyTo string
	// The fields from ClockSkewLimit to MaxBufferBytes are described at the
	// defaults of the same names.
	ClockSkewLimit     time.Duration
	MaxDeclaredTimeout time.Duration
	AttemptTimeout     time.Duration
	BackoffBase        time.Duration
	BackoffMax         time.Duration
	RetryRatio         float64
	RetryBurst         float64
	MaxAttempts        int
	MaxRecords         int
	MaxParts           int
	MaxAnswerBytes     int
	MaxBufferBytes     int
	// HedgeShare is the number of extra attempts as a share of the idempotent requests; 0
	// makes none. HedgeMinDelay is described at its default.
	HedgeShare    float64
	HedgeMinDelay time.Duration
	// Limiter admits new requests; if it is nil, all are admitted.
	Limiter Limiter
	// Observer is notified of refusals, retries, extra attempts and drops; it may be nil.
	Observer Observer
}

// Limiter admits requests by team and service.
type Limiter interface {
	// Acquire admits one request, or returns an error that states the reason
	// against it.
	Acquire(now time.Time, team, service string) error
	// Release is called once when an admitted request has its outcome.
	Release(now time.Time, team, service string)
}

// Observer is notified of every refusal, retry, extra attempt and dropped packet.
type Observer interface {
	// Refused is called for each refusal sent to a caller, also if it repeats an
	// earlier one.
	Refused(reason Refusal)
	// Retried is called when a retry is planned.
	Retried(reason RetryReason)
	// Hedged is called for each decision about an extra attempt, and with hedge.Won when
	// one is answered first.
	Hedged(result hedge.Result)
	// Dropped is called for each packet that is ignored.
	Dropped(reason DropReason)
}

// LeaseTerm is the period in which this instance may decide the non-idempotent
// requests of a lease slot.
type LeaseTerm struct {
	// Start and Until are the begin and the end of the period by the clock of
	// this instance.
	Start time.Time
	Until time.Time
	// Clean is true if the previous holder handed the slot over.
	Clean bool
	// Previous is the name of the previous holder. It is used for a clean lease term
	// only.
	Previous string
}

// Availability states whether the upstream of a flow can receive a request.
type Availability int

// Values of Availability.
const (
	// Available: nothing is known against sending the request.
	Available Availability = iota
	// UpstreamDead: the flow's upstream is known to be dead.
	UpstreamDead
	// DomainOut: the failure domain of the flow's upstream is taken out.
	DomainOut
)

// Route is what this instance knows about the flow of a request.
type Route struct {
	// Team is the name of the team that owns the service.
	Team string
	// Service is <team>/<service>.
	Service string
	// MaxTimeout is the maximum time from now to the deadline of a request.
	MaxTimeout time.Duration
	// HoldsSlot is true if this instance holds the flow's lease slot, with the given
	// Term.
	HoldsSlot bool
	Term      LeaseTerm
	// Holder is the name of the instance that gets the request if this one may
	// not decide it, and HolderAddress its peer address: the holder of the slot
	// or, while this instance is draining, any ready instance for an idempotent
	// request. Holder is empty if there is none.
	Holder        string
	HolderAddress netip.AddrPort
	Availability  Availability
	// Revision is the configuration revision in force on this instance, and
	// Hops the number of redirects of the packet so far.
	Revision uint64
	Hops     uint32
}

func (c *Config) setDefaults() {
	setDuration(&c.ClockSkewLimit, DefaultClockSkewLimit)
	setDuration(&c.MaxDeclaredTimeout, DefaultMaxDeclaredTimeout)
	setDuration(&c.AttemptTimeout, DefaultAttemptTimeout)
	setDuration(&c.BackoffBase, DefaultBackoffBase)
	setDuration(&c.BackoffMax, DefaultBackoffMax)
	if c.RetryRatio == 0 {
		c.RetryRatio = DefaultRetryRatio
	}
	if c.RetryBurst == 0 {
		c.RetryBurst = DefaultRetryBurst
	}
	setDuration(&c.HedgeMinDelay, DefaultHedgeMinDelay)
	setInt(&c.MaxAttempts, DefaultMaxAttempts)
	setInt(&c.MaxRecords, DefaultMaxRecords)
	setInt(&c.MaxParts, DefaultMaxParts)
	setInt(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setInt(&c.MaxBufferBytes, DefaultMaxBufferBytes)
	if c.Limiter == nil {
		c.Limiter = noLimiter{}
	}
	if c.Observer == nil {
		c.Observer = noObserver{}
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setInt(i *int, value int) {
	if *i == 0 {
		*i = value
	}
}

type noLimiter struct{}

func (noLimiter) Acquire(time.Time, string, string) error { return nil }
func (noLimiter) Release(time.Time, string, string)       {}

type noObserver struct{}

func (noObserver) Refused(Refusal)     {}
func (noObserver) Retried(RetryReason) {}
func (noObserver) Hedged(hedge.Result) {}
func (noObserver) Dropped(DropReason)  {}
