// Package caller is the load generator. Machine is a state machine without
// sockets, goroutines or a clock of its own; Run connects it to UDP.
package caller

import (
	"fmt"
	"time"

	"github.com/chivemast/chivemast/internal/standin/history"
)

// Config describes the load. Zero values take the defaults.
type Config struct {
	// Name is the source in the history. Default "caller".
	Name string
	// Address is the caller address as ip:port in the packets; answers must
	// reach it. Run fills it in.
	Address string
	// Services are the service addresses as ip:port; flows take them in turn.
	Services []string
	// Duration bounds the time of the load. Default 10 s. Afterwards the
	// caller closes its flows and waits for outstanding answers.
	Duration time.Duration
	// OpensPerSecond is the rate of new flows. Default 50.
	OpensPerSecond float64
	// MaxFlows and MaxPackets bound the traffic. Defaults 10,000 and
	// 1,000,000. The load ends early at 90% of MaxPackets, so that the rest is
	// left for closing.
	MaxFlows, MaxPackets int
	// LongFlows is the number of flows, the first ones, that stay open until
	// the end. Default 20; negative for none.
	LongFlows int
	// Quiet is the share of the long flows that send nothing but one DATA
	// packet per QuietInterval and one before the end, so that nothing but the
	// upstream remembers them. Defaults 0.25 and 60 s; negative for none.
	Quiet         float64
	QuietInterval time.Duration
	// FlowLifetime is the mean lifetime of the other flows. Default 2 s.
	FlowLifetime time.Duration
	// RequestsPerSecond and DataPerSecond are rates per flow. Defaults 2 and
	// 1; negative for none.
	RequestsPerSecond, DataPerSecond float64
	// NonIdempotent is the share of requests that must not run twice. Default
	// 0.5; negative for none.
	NonIdempotent float64
	// Cancel is the share of requests that are given up before they are
	// answered. Default 0.02; negative for none.
	Cancel float64
	// LateCopies is the share of finished requests of which the caller sends
	// one more copy up to a second later. Default 0.05; negative for none.
	LateCopies float64
	// RequestTimeout is the time from sending a request to its deadline.
	// Default 2 s.
	RequestTimeout time.Duration
	// Retransmit is the time without an answer after which a packet is sent
	// again. Default 250 ms.
	Retransmit time.Duration
	// OpenTimeout is when the caller gives an OPEN or DATA up. Default 3 s.
	OpenTimeout time.Duration
	// Recorder takes the history. Default history.Discard.
	Recorder history.Recorder
}

// ConfigError says which field of a Config is not usable.
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
	setDefault(&c.Quiet, 0.25)
	setDefault(&c.QuietInterval, time.Minute)
	setDefault(&c.FlowLifetime, 2*time.Second)
	setDefault(&c.RequestsPerSecond, 2)
	setDefault(&c.DataPerSecond, 1)
	setDefault(&c.NonIdempotent, 0.5)
	setDefault(&c.Cancel, 0.02)
	setDefault(&c.LateCopies, 0.05)
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

// Stats counts what the caller did.
type Stats struct {
	PacketsSent     int
	PacketsReceived int
	Retransmissions int
	// Stray counts packets of flows or requests that are over.
	Stray int
}
