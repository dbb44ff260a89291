package settings

import (
	"reflect"
	"strconv"
	"time"

	"github.com/chivemast/chivemast/internal/document"
)

// Milliseconds is a duration in milliseconds, as settings files state it.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Limits holds the tunable limits of an instance. The tags default, min and max
// define the defaults and ranges; docs/settings.md repeats them, and a test
// compares both. A limit is a plain number unless the name states a unit.
//
// A limit marked "Fleet-wide" must be the same on all instances, because they rely
// on each other to use the same value.
type Limits struct {
	// HeartbeatIntervalMS is the time between two heartbeats to a peer, in ms.
	// Default 1,000, range 100 to 10,000. Fleet-wide.
	HeartbeatIntervalMS Milliseconds `json:"heartbeat_interval_ms" default:"1000" min:"100" max:"10000"`
	// HeartbeatPeers is the number of other members to which an instance sends a
	// heartbeat in each interval. With at most that many others, all get one.
	// Default 8, range 2 to 64.
	HeartbeatPeers int `json:"heartbeat_peers" default:"8" min:"2" max:"64"`
	// SuspectTimeoutMS is the time without a message from a member after which
	// it is suspect, in ms. Default 3,000, range 300 to 30,000; at least twice
	// heartbeat_interval_ms. Fleet-wide.
	SuspectTimeoutMS Milliseconds `json:"suspect_timeout_ms" default:"3000" min:"300" max:"30000"`
	// FreshnessLimitMS is an age in ms. Packets to another failure domain stop
	// when both the last platform confirmation and the last contact with that
	// domain are older. Default 2,000, range 500 to 30,000. Fleet-wide.
	FreshnessLimitMS Milliseconds `json:"freshness_limit_ms" default:"2000" min:"500" max:"30000"`
	// WriterStaggerMS is the delay per rank, in ms, before an instance writes an
	// object that an instance of lower rank should have written. Default 300,
	// range 10 to 10,000. Fleet-wide.
	WriterStaggerMS Milliseconds `json:"writer_stagger_ms" default:"300" min:"10" max:"10000"`
	// LeaseDurationMS is the lease term: the time, in ms, for which a grant allows
	// the holder of a slot to act. Default 6,000, range 1,000 to 60,000; at least twice
	// heartbeat_interval_ms. Fleet-wide.
	LeaseDurationMS Milliseconds `json:"lease_duration_ms" default:"6000" min:"1000" max:"60000"`
	// LeaseMarginMS is added to the lease term by the instance that gives a grant,
	// in ms, for clock rates that differ: a successor waits longer than the holder
	// acts. Default 300, range 10 to 10,000. Fleet-wide.
	LeaseMarginMS Milliseconds `json:"lease_margin_ms" default:"300" min:"10" max:"10000"`
	// ClockSkewLimitMS is the largest expected difference between the clocks
	// of two hosts, in ms. Default 250, range 1 to 5,000. Fleet-wide.
	ClockSkewLimitMS Milliseconds `json:"clock_skew_limit_ms" default:"250" min:"1" max:"5000"`
	// RetryBudgetPercent is the largest number of retries per 100 requests of a
	// service. Default 10, range 0 to 100.
	RetryBudgetPercent int `json:"retry_budget_percent" default:"10" min:"0" max:"100"`
	// HedgeBudgetPercent is the largest number of extra attempts per 100 idempotent
	// requests. Default 0, range 0 to 20.
	HedgeBudgetPercent int `json:"hedge_budget_percent" default:"0" min:"0" max:"20"`
	// HedgeMinDelayMS is the least time between an attempt and its extra attempt, in
	// ms. Default 10, range 1 to 200.
	HedgeMinDelayMS Milliseconds `json:"hedge_min_delay_ms" default:"10" min:"1" max:"200"`
	// ProbeIntervalMS is the time between two probes of an upstream, in ms.
	// Default 1,000, range 100 to 60,000.
	ProbeIntervalMS Milliseconds `json:"probe_interval_ms" default:"1000" min:"100" max:"60000"`
	// ProbeTimeoutMS is the time after which an unanswered probe fails, in ms.
	// Default 500, range 10 to 60,000; at most probe_interval_ms.
	ProbeTimeoutMS Milliseconds `json:"probe_timeout_ms" default:"500" min:"10" max:"60000"`
	// InstanceListIntervalMS is the time between two reads of the platform's list
	// of instances, in ms. Default 30,000, range 1,000 to 600,000.
	InstanceListIntervalMS Milliseconds `json:"instance_list_interval_ms" default:"30000" min:"1000" max:"600000"`
	// ShutdownTimeoutMS is the longest time that a graceful shutdown takes, in ms.
	// Default 30,000, range 1,000 to 600,000.
	ShutdownTimeoutMS Milliseconds `json:"shutdown_timeout_ms" default:"30000" min:"1000" max:"600000"`
	// ControlQueue is the largest number of packets that wait for the control
	// goroutine; further packets are refused. Default 4,096, range 64 to 1,048,576.
	ControlQueue int `json:"control_queue" default:"4096" min:"64" max:"1048576"`
	// MaxExceptions is the largest number of tracked flows per instance, of
	// at most 64 bytes each. Default 200,000, range 1,000 to 4,000,000.
	MaxExceptions int `json:"max_exceptions" default:"200000" min:"1000" max:"4000000"`
	// MaxRequests is the largest number of requests in flight per instance. Default
	// 65,536, range 16 to 1,048,576.
	MaxRequests int `json:"max_requests" default:"65536" min:"16" max:"1048576"`
	// PlatformCallTimeoutMS is the time after which an unanswered platform call
	// fails, and a read whose answer pauses for that time, in ms. Default 2,000, range 50 to 60,000.
	PlatformCallTimeoutMS Milliseconds `json:"platform_call_timeout_ms" default:"2000" min:"50" max:"60000"`
	// PlatformWriteTimeoutMS is the time, in ms, for a write including retries and
	// reading the object back after a lost answer. Default 10,000, range 100 to 120,000;
	// at least platform_call_timeout_ms.
	PlatformWriteTimeoutMS Milliseconds `json:"platform_write_timeout_ms" default:"10000" min:"100" max:"120000"`
	// PlatformBackoffMaxMS is the longest backoff before a failed platform call is
	// repeated, in ms. Default 2,000, range 10 to 60,000.
	PlatformBackoffMaxMS Milliseconds `json:"platform_backoff_max_ms" default:"2000" min:"10" max:"60000"`
	// PlatformWatchSilenceMS is the time without a byte of a message after which a watch is
	// replaced, in ms. The platform sends a message at least every 1,000 ms.
	// Default 3,000, range 1,500 to 60,000.
	PlatformWatchSilenceMS Milliseconds `json:"platform_watch_silence_ms" default:"3000" min:"1500" max:"60000"`
	// PlatformReadsPerMinute is the highest rate of reads of objects and,
	// separately, of reads of the list of instances, in calls per minute.
	// Default 60, range 1 to 6,000.
	PlatformReadsPerMinute int `json:"platform_reads_per_minute" default:"60" min:"1" max:"6000"`
	// PlatformWritesPerMinute is the highest rate of writes, in calls per minute.
	// Default 600, range 1 to 6,000.
	PlatformWritesPerMinute int `json:"platform_writes_per_minute" default:"600" min:"1" max:"6000"`
	// PlatformWatchesPerMinute is the highest rate at which watches are started, in
	// calls per minute.
	// Default 60, range 1 to 600.
	PlatformWatchesPerMinute int `json:"platform_watches_per_minute" default:"60" min:"1" max:"600"`
}

// validate checks the range of every limit and the relations between limits. It
// fails with *Error.
func (l *Limits) validate(doc *document.Document) error {
	v := reflect.ValueOf(l).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		low, high := tagBound(field, "min"), tagBound(field, "max")
		if err := doc.CheckRange("limits."+document.FieldKey(field), v.Field(i).Int(), low, high); err != nil {
			return err
		}
	}
	relations := []struct {
		key     string
		value   Milliseconds
		low     Milliseconds
		high    Milliseconds
		allowed string
	}{
		// The loss of one heartbeat must neither make a member suspect nor let
		// a lease expire.
		{"suspect_timeout_ms", l.SuspectTimeoutMS, 2 * l.HeartbeatIntervalMS, l.SuspectTimeoutMS, "at least twice heartbeat_interval_ms"},
		{"lease_duration_ms", l.LeaseDurationMS, 2 * l.HeartbeatIntervalMS, l.LeaseDurationMS, "at least twice heartbeat_interval_ms"},
		{"probe_timeout_ms", l.ProbeTimeoutMS, 0, l.ProbeIntervalMS, "at most probe_interval_ms"},
		{"platform_write_timeout_ms", l.PlatformWriteTimeoutMS, l.PlatformCallTimeoutMS, l.PlatformWriteTimeoutMS, "at least platform_call_timeout_ms"},
	}
	for _, r := range relations {
		if r.value < r.low || r.value > r.high {
			return doc.Errorf("limits."+r.key, document.OutOfRange, r.allowed, "%d is outside the range", r.value)
		}
	}
	return nil
}

// tagBound returns the number in the min or max tag of a field.
func tagBound(field reflect.StructField, tag string) int64 {
	n, _ := strconv.ParseInt(field.Tag.Get(tag), 10, 64)
	return n
}
