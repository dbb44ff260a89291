package membership

import (
	"fmt"
	"time"
)

// Defaults of Config; docs/design.md D7 and D12 give the reasons.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultSuspectAfter      = 3 * time.Second
	DefaultFullMesh          = 9
	DefaultFanout            = 8
	DefaultLeaseDuration     = 6 * time.Second
	// DefaultLeaseMargin covers clock rates that differ by up to 2% over
	// DefaultLeaseDuration (120 ms) more than twice.
	DefaultLeaseMargin = 300 * time.Millisecond
	// DefaultDigestBytes holds about 8 digests. With 8 heartbeats sent and
	// received per second, they cost 8 KB/s of the 24 KB/s at 500 nodes.
	DefaultDigestBytes = 512
)

// neverConfirmed is the confirmation age of an instance that never had a
// confirmation.
const neverConfirmed = ^uint32(0)

// Config holds the limits of the membership. Zero values mean the defaults.
type Config struct {
	// Peers are the configured peers: name, failure domain and address.
	Peers []Member
	// HeartbeatInterval is the time between two heartbeats to one member.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a member is suspect.
	SuspectAfter time.Duration
	// FullMesh is the number of instances, this one included, up to which
	// every member gets a heartbeat in each interval.
	FullMesh int
	// Fanout is the number of members that get a heartbeat in each interval
	// above FullMesh.
	Fanout int
	// DigestBytes bounds the member digests of one heartbeat.
	DigestBytes int
	// LeaseDuration is the length of a grant, from the sending of the
	// acknowledged heartbeat.
	LeaseDuration time.Duration
	// LeaseMargin is added by the granting instance.
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

// RejectReason says why a heartbeat was not used.
type RejectReason int

// Reasons for rejecting a heartbeat.
const (
	// RejectStaleIncarnation: a newer incarnation of the sender is known.
	RejectStaleIncarnation RejectReason = iota + 1
	// RejectForgotten: an operator stated that the sender is gone for good.
	RejectForgotten
	// RejectMalformed: the heartbeat lacks a field or has a bad address.
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

// RejectedError says that a heartbeat was not used.
type RejectedError struct {
	From        string
	Incarnation uint64
	Reason      RejectReason
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("heartbeat from %q, incarnation %d, rejected: %s", e.From, e.Incarnation, e.Reason)
}

// Stats counts events since the start.
type Stats struct {
	HeartbeatsSent, HeartbeatsReceived uint64
	Rejected                           map[RejectReason]uint64
	// Pauses counts the times that this instance noticed that it had been
	// paused.
	Pauses uint64
	// LastRejected is the latest rejection, nil if there was none.
	LastRejected *RejectedError
}
