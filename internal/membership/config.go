package membership

import (
	"fmt"
	"time"
)

// Defaults of Config; docs/design.md explains them in D7 and D12.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSuspectAfter      = 3 * time.Second
	DefaultFullMesh          = 9
	DefaultFanout            = 8
	DefaultLeaseDuration     = 6 * time.Second
	// DefaultLeaseMargin is more than twice the 120 ms by which two clocks drift
	// apart over DefaultLeaseDuration when their rates differ by 2%.
	DefaultLeaseMargin = 300 * time.Millisecond
	// DefaultDigestBytes is the total size of about 8 digests. With 8 heartbeats sent and
	// 8 received per second, they take 8 KB/s of the 24 KB/s at 500 instances.
	DefaultDigestBytes = 512
)

// unknownAge is the age in milliseconds that stands for "never", for example in
// the heartbeats of an instance without a confirmation by the platform.
const unknownAge = ^uint32(0)

// Config holds the settings of the membership. Zero values select the defaults.
type Config struct {
	// Peers lists the configured peers; only name, failure domain and address
	// are used.
	Peers []Member
	// HeartbeatInterval is the time between two heartbeats to the same member,
	// and between two rounds of rotation above FullMesh instances.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without news after which a member is suspect. A
	// member that is reached only in rotation gets one full rotation more.
	SuspectAfter time.Duration
	// FullMesh is the number of instances, this one included, up to which
	// every member gets a heartbeat in each interval.
	FullMesh int
	// Fanout is the number of members that get a heartbeat in each interval when
	// there are more than FullMesh instances. Every partner gets one in any case,
	// and at least one other member.
	Fanout int
	// DigestBytes is the maximum total size of the member digests in one
	// heartbeat.
	DigestBytes int
	// LeaseDuration is how long a grant is valid for its receiver, counted from
	// when the receiver sent the acknowledged heartbeat.
	LeaseDuration time.Duration
	// LeaseMargin is the extra time for which the granting instance counts the
	// grant as valid, for clock rates that differ.
	LeaseMargin time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.SuspectAfter, DefaultSuspectAfter)
	setDefault(&c.FullMesh, DefaultFullMesh)
	setDefault(&c.Fanout, DefaultFanout)
	setDefault(&c.DigestBytes, DefaultDigestBytes)
	setDefault(&c.LeaseDuration, DefaultLeaseDuration)
	setDefault(&c.LeaseMargin, DefaultLeaseMargin)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// RejectReason is the reason for which a heartbeat was ignored.
type RejectReason int

// Reasons for rejecting a heartbeat.
const (
	// RejectStaleIncarnation: a newer incarnation of the sender is known.
	RejectStaleIncarnation RejectReason = iota + 1
	// RejectForgotten: an operator declared that the sender is gone for good.
	RejectForgotten
	// RejectMalformed: the sender's name, incarnation or sequence number is
	// missing, or its address cannot be parsed.
	RejectMalformed
	// RejectUnknownSender: the sender is unknown and gave no address.
	RejectUnknownSender
	// RejectOwnName: the sender uses the name of this instance.
	RejectOwnName
)

func (r RejectReason) String() string {
	switch r {
	case RejectStaleIncarnation:
		return "stale_incarnation"
	case RejectForgotten:
		return "forgotten"
	case RejectMalformed:
		return "malformed"
	case RejectUnknownSender:
		return "unknown_sender"
	case RejectOwnName:
		return "own_name"
	}
	return "unspecified"
}

// RejectedError describes a heartbeat that was ignored. Stats.LastRejected holds
// the latest one.
type RejectedError struct {
	From        string
	Incarnation uint64
	Reason      RejectReason
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("heartbeat from %q, incarnation %d, rejected: %s", e.From, e.Incarnation, e.Reason)
}

// Stats holds counters since the start of the instance.
type Stats struct {
	// HeartbeatsReceived leaves out the rejected ones.
	HeartbeatsSent, HeartbeatsReceived uint64
	// Rejected counts the rejected heartbeats by reason.
	Rejected map[RejectReason]uint64
	// Pauses counts the times that this instance detected that it had not run
	// for longer than Config.SuspectAfter.
	Pauses uint64
	// LastRejected is the latest rejection, nil if there was none.
	LastRejected *RejectedError
}
