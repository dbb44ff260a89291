// Package request decides requests of callers: whether a request runs, when
// it is retried, and which answer the caller receives. A non-idempotent
// request runs at most once. The package performs no I/O.
package request

import (
	"net/netip"
	"time"
)

// Defaults of Config.
const (
	// DefaultClockSkewLimit is the largest difference between two clocks of
	// the system for which at-most-once holds.
	DefaultClockSkewLimit = 250 * time.Millisecond
	// DefaultFenceTimeout is the largest maximum request timeout that a
	// service may declare. The fence of a new holder uses it instead of the
	// service's own value, because the previous holder may have had an older
	// declaration with a larger value in force.
	DefaultFenceTimeout = 5 * time.Second
	// DefaultAttemptTimeout is the silence after which an idempotent request
	// is retried.
	DefaultAttemptTimeout = time.Second
	// DefaultBackoffBase and DefaultBackoffMax bound the wait before a retry.
	DefaultBackoffBase = 20 * time.Millisecond
	DefaultBackoffMax  = 500 * time.Millisecond
	// DefaultRetryRatio is the share of retries among first attempts.
	DefaultRetryRatio = 0.1
	// DefaultRetryBurst bounds the retries saved up by a quiet service.
	DefaultRetryBurst = 20
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 4
	// DefaultMaxRecords bounds the requests remembered at a time: 6,000
	// requests per second over a retention of 5.25 s.
	DefaultMaxRecords = 32768
	// DefaultMaxParts and DefaultMaxAnswerBytes bound one answer.
	DefaultMaxParts       = 1024
	DefaultMaxAnswerBytes = 1 << 20
	// DefaultMaxBufferBytes bounds all buffered answers together.
	DefaultMaxBufferBytes = 16 << 20
	// MaxHops is the number of redirects after which a request is refused.
	MaxHops = 3
	// CancelAllAttempts is the attempt number of a cancellation that applies
	// to every attempt of a request; no attempt has it.
	CancelAllAttempts = 1<<32 - 1
)

// Config holds the constants of an engine. Zero values take the defaults.
type Config struct {
	// ReplyTo is the peer address of this instance as ip:port.
	ReplyTo        string
	ClockSkewLimit time.Duration
	FenceTimeout   time.Duration
	AttemptTimeout time.Duration
	BackoffBase    time.Duration
	BackoffMax     time.Duration
	RetryRatio     float64
	RetryBurst     float64
	MaxAttempts    int
	MaxRecords     int
	MaxParts       int
	MaxAnswerBytes int
	MaxBufferBytes int
	// Limiter admits new requests; nil admits all.
	Limiter Limiter
	// Observer counts refusals, retries and drops; nil counts nothing.
	Observer Observer
}

// Limiter admits requests by team and service.
type Limiter interface {
	// Acquire admits one request or fails with the reason.
	Acquire(now time.Time, team, service string) error
	// Release ends an admitted request.
	Release(now time.Time, team, service string)
}

// Observer is told of every refusal, retry and dropped packet.
type Observer interface {
	Refused(reason Refusal)
	Retried(reason RetryReason)
	Dropped(reason DropReason)
}

// Tenure is the time for which this instance may decide for a lease slot.
type Tenure struct {
	// Start and Until are readings of this instance's clock.
	Start time.Time
	Until time.Time
	// Clean is true when the previous holder released the slot.
	Clean bool
	// Previous is the name of the previous holder, for a clean tenure.
	Previous string
}

// Availability tells whether the flow's upstream can take a request.
type Availability int

// Values of Availability.
const (
	Available Availability = iota
	// UpstreamDead: the flow's upstream is known to be dead.
	UpstreamDead
	// DomainOut: the failure domain of the flow's upstream is out.
	DomainOut
)

// Route is what the node knows about the flow of a request.
type Route struct {
	Team string
	// Service is <team>/<service>.
	Service string
	// MaxTimeout bounds how far ahead the deadline may lie.
	MaxTimeout time.Duration
	// Holds is true when this instance holds the flow's lease slot.
	Holds  bool
	Tenure Tenure
	// Holder is the instance to redirect to when this one may not decide: the
	// holder of the slot or, while this instance drains, any ready instance
	// for an idempotent request. Empty for none.
	Holder        string
	HolderAddress netip.AddrPort
	Availability  Availability
	// Revision in force here, and the redirects that the packet has had.
	Revision uint64
	Hops     uint32
}

func (c *Config) setDefaults() {
	setDuration(&c.ClockSkewLimit, DefaultClockSkewLimit)
	setDuration(&c.FenceTimeout, DefaultFenceTimeout)
	setDuration(&c.AttemptTimeout, DefaultAttemptTimeout)
	setDuration(&c.BackoffBase, DefaultBackoffBase)
	setDuration(&c.BackoffMax, DefaultBackoffMax)
	if c.RetryRatio == 0 {
		c.RetryRatio = DefaultRetryRatio
	}
	if c.RetryBurst == 0 {
		c.RetryBurst = DefaultRetryBurst
	}
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
func (noObserver) Dropped(DropReason)  {}
