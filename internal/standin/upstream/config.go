// Package upstream is the stand-in of an upstream. Machine is a state machine
// without sockets, goroutines or a clock of its own; Server connects it to UDP
// and HTTP.
package upstream

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// Config describes an upstream. Zero values take the defaults.
type Config struct {
	// Name is <team>/<service>/<upstream>; Service is the address as ip:port
	// of the only service whose packets are taken.
	Name    string
	Service string
	// Slots is the number of requests run at once. Default 2.
	Slots int
	// MaxConnections is the number of open flows. Default 2,000.
	MaxConnections int
	// QueueLimit is the number of requests waiting for a slot; more are shed.
	// Default 64.
	QueueLimit int
	// ServiceTime is the mean time of a run, default 5 ms; each run deviates
	// from it by at most the share Jitter, default 0.2.
	ServiceTime time.Duration
	Jitter      float64
	Cold        ColdStart
	// StartWarm skips the cold start at the first boot, not at restarts.
	StartWarm bool
	// IdleTimeout ends flows that sent nothing. Default 300 s.
	IdleTimeout time.Duration
	// MaxParts bounds the number of parts of an answer, which depends on the
	// request id. Default 3. PartSize is the filler of each part in bytes,
	// default 64, at most 1,300.
	MaxParts int
	PartSize int
	// HealthLag is the age of the load and state in health reports.
	HealthLag time.Duration
	// RefuseOpensWhileDraining sheds new flows during a drain. By default they
	// are taken, and the history shows them.
	RefuseOpensWhileDraining bool
	// Recorder takes the history. Default history.Discard.
	Recorder history.Recorder
}

// ColdStart is what the upstream can sustain after a boot.
type ColdStart struct {
	// OpensPerSecond is the sustainable rate at the boot. Default 10.
	OpensPerSecond float64
	// FullOpensPerSecond is the rate at the end of the ramp, after which the
	// upstream is warm and has no such limit. Default 1,000.
	FullOpensPerSecond float64
	// Ramp is the time from the boot until the upstream is warm. Default
	// 30 s; a negative value makes every boot warm.
	Ramp time.Duration
	// Burst is how many seconds of the sustainable rate may arrive at once.
	// Default 1 s.
	Burst time.Duration
	// FallOver is how long the upstream sheds everything after it received
	// more than it can sustain; its cold start begins again afterwards.
	// Default 2 s.
	FallOver time.Duration
}

// maxPartSize leaves room for the packet fields in a datagram of 1,400 B.
const maxPartSize = 1300

// ConfigError says which field of a Config is not usable.
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
	setDefault(&c.Cold.FallOver, 2*time.Second)
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

// Health is the answer of the health endpoint. Boot ids stay below 2^53, so
// that every JSON reader keeps them exact.
type Health struct {
	BootID      uint64 `json:"boot_id"`
	State       State  `json:"state"`
	Load        uint32 `json:"load"`
	Connections uint32 `json:"connections"`
}

// Proto returns the state as the messages between instances have it.
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

// Stats counts what an upstream did since it was created.
type Stats struct {
	Opened     int `json:"opened"`
	ColdOpened int `json:"cold_opened"`
	// Requests counts REQUEST packets of known flows, refused ones included.
	Requests     int `json:"requests"`
	Runs         int `json:"runs"`
	Done         int `json:"done"`
	Cancelled    int `json:"cancelled"`
	Shed         int `json:"shed"`
	Expired      int `json:"expired"`
	UnknownFlow  int `json:"unknown_flow"`
	WrongService int `json:"wrong_service"`
	Malformed    int `json:"malformed"`
	// Overloads counts how often a cold upstream fell over.
	Overloads int `json:"overloads"`
	// PeakColdRatio is the highest number of OPENs within one second of a
	// cold start, relative to the sustainable rate.
	PeakColdRatio float64 `json:"peak_cold_ratio"`
}

// Reply is a packet to send. To is the address from the packet's reply_to, or
// the caller's address when the packet had none.
type Reply struct {
	To     string
	Packet *pb.Packet
}
