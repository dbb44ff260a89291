// Package upstream is a test double of an upstream. Machine is a state machine
// without sockets, goroutines or a clock; Server connects it to UDP and HTTP.
package upstream

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// Config describes an upstream. A field with the zero value gets its default.
type Config struct {
	// Name has the form <team>/<service>/<upstream>. Service is the address of
	// the upstream's service as ip:port; packets for other services are refused.
	// Both are required.
	Name    string
	Service string
	// Slots is the number of requests that run concurrently. Default 2.
	Slots int
	// MaxConnections is the maximum number of open flows; further OPENs are
	// refused. Default 2,000.
	MaxConnections int
	// QueueLimit is the maximum number of requests that wait for a slot; further
	// requests are refused. Default 64.
	QueueLimit int
	// ServiceTime is the mean duration of a run, default 5 ms. Jitter is the
	// maximum relative deviation of a run from it, default 0.2.
	ServiceTime time.Duration
	Jitter      float64
	Cold        ColdStart
	// StartWarm skips the cold start at the first boot, but not at restarts.
	StartWarm bool
	// IdleTimeout is how long a flow may send nothing before it is removed.
	// Default 300 s.
	IdleTimeout time.Duration
	// MaxParts is the maximum number of parts of an answer; the number is
	// 1 + (request id modulo MaxParts). Default 3. PartSize is the size of the
	// filler of each part in bytes, default 64, at most 1,300.
	MaxParts int
	PartSize int
	// HealthLag is the age of the load and state in health reports. Default 0.
	HealthLag time.Duration
	// RefuseOpensWhileDraining refuses new flows during a drain. By default they
	// are accepted and recorded, so that a check of the history can find them.
	RefuseOpensWhileDraining bool
	// Recorder receives the upstream's events. Default history.Discard.
	Recorder history.Recorder
}

// ColdStart describes the rate of new flows that an upstream can sustain after a
// boot.
type ColdStart struct {
	// OpensPerSecond is the sustainable rate at the start of the ramp. Default
	// 10.
	OpensPerSecond float64
	// FullOpensPerSecond is the sustainable rate at the end of the ramp. From
	// then on the upstream is warm and the rate is unlimited. Default 1,000.
	FullOpensPerSecond float64
	// Ramp is the time from the boot until the upstream is warm. Default 30 s;
	// with a negative value the upstream has no cold start.
	Ramp time.Duration
	// Burst sets how many OPENs may arrive at once: the number that arrives
	// within Burst at the sustainable rate, but at least 1. Default 1 s.
	Burst time.Duration
	// OverloadDuration is how long the upstream refuses all new work after it
	// received more OPENs than it can sustain. Its cold start begins again
	// afterwards. Default 2 s.
	OverloadDuration time.Duration
}

// maxPartSize leaves room for the packet fields in a datagram of 1,400 B.
const maxPartSize = 1300

// ConfigError reports the field of a Config that is missing or has an invalid
// value.
type ConfigError struct{ Field, Detail string }

func (e *ConfigError) Error() string {
	return fmt.Sprintf("upstream config: %s: %s", e.Field, e.Detail)
}

func (c Config) withDefaults() (Config, error) {
	if c.Name == "" {
		return c, &ConfigError{"name", "is missing"}
	}
	if c.Service == "" {
		return c, &ConfigError{"service", "is missing"}
	}
	if c.PartSize > maxPartSize {
		return c, &ConfigError{"part size", "is above 1,300 B"}
	}
	setDefault(&c.Slots, 2)
	setDefault(&c.MaxConnections, 2000)
	setDefault(&c.QueueLimit, 64)
	setDefault(&c.ServiceTime, 5*time.Millisecond)
	setDefault(&c.Jitter, 0.2)
	setDefault(&c.IdleTimeout, 300*time.Second)
	setDefault(&c.MaxParts, 3)
	setDefault(&c.PartSize, 64)
	setDefault(&c.Cold.OpensPerSecond, 10)
	setDefault(&c.Cold.FullOpensPerSecond, 1000)
	setDefault(&c.Cold.Ramp, 30*time.Second)
	setDefault(&c.Cold.Burst, time.Second)
	setDefault(&c.Cold.OverloadDuration, 2*time.Second)
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

// State is the state that an upstream reports.
type State string

// States of an upstream.
const (
	Warm     State = "warm"
	Cold     State = "cold"
	Draining State = "draining"
)

// Health is the response body of GET /health. Boot ids are below 2^53, so that
// JSON decoders that use floating-point numbers keep them exact. Load is the
// number of running and waiting requests; Connections is the number of open
// flows.
type Health struct {
	BootID      uint64 `json:"boot_id"`
	State       State  `json:"state"`
	Load        uint32 `json:"load"`
	Connections uint32 `json:"connections"`
}

// Proto returns the state as it is encoded in messages between instances.
func (h Health) Proto() pb.UpstreamHealth_State {
	switch h.State {
	case Warm:
		return pb.UpstreamHealth_STATE_WARM
	case Cold:
		return pb.UpstreamHealth_STATE_COLD
	case Draining:
		return pb.UpstreamHealth_STATE_DRAINING
	}
	return pb.UpstreamHealth_STATE_UNSPECIFIED
}

// Stats contains the counters of an upstream since New; restarts do not reset
// them.
type Stats struct {
	Opened     int `json:"opened"`
	ColdOpened int `json:"cold_opened"`
	// Requests counts REQUEST packets of known flows, including refused ones.
	Requests     int `json:"requests"`
	Runs         int `json:"runs"`
	Done         int `json:"done"`
	Cancelled    int `json:"cancelled"`
	Shed         int `json:"shed"`
	Expired      int `json:"expired"`
	UnknownFlow  int `json:"unknown_flow"`
	WrongService int `json:"wrong_service"`
	Malformed    int `json:"malformed"`
	// Overloads counts how often the upstream received more OPENs during a cold
	// start than it could sustain.
	Overloads int `json:"overloads"`
	// PeakColdRatio is the highest number of OPENs within one second of a cold
	// start, divided by the sustainable rate at that time.
	PeakColdRatio float64 `json:"peak_cold_ratio"`
}

// Reply is a packet to send. To is the ip:port in the reply_to of the packet
// that it replies to, or the caller's address if reply_to is empty.
type Reply struct {
	To     string
	Packet *pb.Packet
}
