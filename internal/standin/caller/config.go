// Package caller generates the load for tests and measurements. Machine is a
// state machine without sockets, goroutines or a clock; Run connects it to a
// UDP socket.
package caller

import (
	"fmt"
	"time"

	"github.com/chivemast/chivemast/internal/standin/history"
)

// Config describes the load. A field with the zero value gets its default.
type Config struct {
	// Name is the Source of the recorded events. Default "caller".
	Name string
	// Address is the ip:port that packets carry as the caller's address and to
	// which answers are sent. Required by New; Run sets it.
	Address string
	// Services lists the service addresses as ip:port. Required. New flows use
	// them round-robin.
	Services []string
	// Duration is how long the caller opens flows and sends requests. Default
	// 10 s. Afterwards it closes its flows and waits for outstanding answers.
	Duration time.Duration
	// OpensPerSecond is the mean rate of new flows. Default 50; must not be
	// negative.
	OpensPerSecond float64
	// MaxFlows and MaxPackets limit the flows opened and the packets sent in
	// total. Defaults 10,000 and 1,000,000. The load ends early at 90% of
	// MaxPackets, so that the remaining 10% can be used to close flows.
	MaxFlows, MaxPackets int
	// LongFlows is how many flows, counted from the first, stay open until the
	// end of the load. Default 20; negative for none.
	LongFlows int
	// QuietShare is the share (0 to 1) of the long flows that only send one DATA
	// packet per QuietInterval and one shortly before the end of the load.
	// Between these packets only the upstream still has a record of the flow.
	// Defaults 0.25 and 60 s; a negative share for none.
	QuietShare    float64
	QuietInterval time.Duration
	// FlowLifetime is the mean lifetime of flows that are not long. Default 2 s.
	FlowLifetime time.Duration
	// RequestsPerSecond and DataPerSecond are the mean rates of new requests and
	// of DATA packets per flow. Defaults 2 and 1; negative for none.
	RequestsPerSecond, DataPerSecond float64
	// NonIdempotentShare is the share (0 to 1) of requests that must not run twice.
	// Default 0.5; negative for none.
	NonIdempotentShare float64
	// CancelShare is the share (0 to 1) of requests that the caller cancels at a
	// random time within Retransmit, unless the outcome is known by then.
	// Default 0.02; negative for none.
	CancelShare float64
	// LateCopyShare is the share (0 to 1) of requests that the caller sends once
	// more up to 1 s after their outcome is known, unless their deadline has
	// passed by then. Default 0.05; negative for none.
	LateCopyShare float64
	// RequestTimeout is the time from the first copy of a request to its
	// deadline. Default 2 s.
	RequestTimeout time.Duration
	// Retransmit is the interval at which an unanswered packet is sent again.
	// Default 250 ms.
	Retransmit time.Duration
	// OpenTimeout is how long the caller waits for the reply to an OPEN or DATA
	// packet, retransmissions included. Default 3 s.
	OpenTimeout time.Duration
	// Recorder receives the caller's events. Default history.Discard.
	Recorder history.Recorder
}

// ConfigError reports the field of a Config that is missing or has an invalid
// value.
type ConfigError struct{ Field, Detail string }

func (e *ConfigError) Error() string { return fmt.Sprintf("caller config: %s: %s", e.Field, e.Detail) }

func (c Config) withDefaults() (Config, error) {
	if len(c.Services) == 0 {
		return c, &ConfigError{"services", "are missing"}
	}
	if c.Address == "" {
		return c, &ConfigError{"address", "is missing"}
	}
	setDefault(&c.Name, "caller")
	setDefault(&c.Duration, 10*time.Second)
	setDefault(&c.OpensPerSecond, 50)
	setDefault(&c.MaxFlows, 10_000)
	setDefault(&c.MaxPackets, 1_000_000)
	setDefault(&c.LongFlows, 20)
	setDefault(&c.QuietShare, 0.25)
	setDefault(&c.QuietInterval, time.Minute)
	setDefault(&c.FlowLifetime, 2*time.Second)
	setDefault(&c.RequestsPerSecond, 2)
	setDefault(&c.DataPerSecond, 1)
	setDefault(&c.NonIdempotentShare, 0.5)
	setDefault(&c.CancelShare, 0.02)
	setDefault(&c.LateCopyShare, 0.05)
	setDefault(&c.RequestTimeout, 2*time.Second)
	setDefault(&c.Retransmit, 250*time.Millisecond)
	setDefault(&c.OpenTimeout, 3*time.Second)
	if c.OpensPerSecond < 0 {
		return c, &ConfigError{"opens per second", "is negative"}
	}
	if c.Recorder == nil {
		c.Recorder = history.Discard{}
	}
	return c, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats contains the packet counters of a caller.
type Stats struct {
	PacketsSent     int
	PacketsReceived int
	Retransmissions int
	// Stray counts received packets that were ignored because their flow or
	// request is finished or unknown, or because they are malformed.
	Stray int
}
