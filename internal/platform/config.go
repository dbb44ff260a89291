// Package platform is the client of the platform's object API. It carries out
// the platform actions of a decision core and offers synchronous calls to the
// command line.
package platform

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/settings"
)

// Call is a kind of platform call. Each kind has its own budget, backoff and
// counters.
type Call string

// Kinds of platform calls.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallPut       Call = "put"
	CallWatch     Call = "watch"
	CallInstances Call = "list_instances"
)

// Budget bounds the rate of one kind of call.
type Budget struct {
	// PerSecond is the sustained rate in calls per second.
	PerSecond rate.Limit
	// Burst is the number of calls that may follow each other at once.
	Burst int
}

// Config configures a client. Zero fields take their defaults.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// CallTimeout bounds one call. Default 2 s.
	CallTimeout time.Duration
	// WriteTimeout bounds a write including the reading back after a lost
	// answer. Default 10 s.
	WriteTimeout time.Duration
	// BackoffBase and BackoffMax bound the waits between failed calls of a
	// kind: full jitter below BackoffBase, doubled per failure up to
	// BackoffMax. Defaults 50 ms and 2 s.
	BackoffBase, BackoffMax time.Duration
	// WatchSilence is the silence after which a watch is replaced. The
	// platform sends a message at least every second, so that the default of
	// 3 s stands for three lost ones.
	WatchSilence time.Duration
	// Budgets bound the rate of each kind of call. Kinds that are not listed
	// have the default budget.
	Budgets map[Call]Budget
	// Queue is the number of actions of one kind that may wait. Default 512,
	// enough for one write per service of the target size.
	Queue int
	// Writers is the number of writes in flight. Default 4, so that a write
	// whose answer is lost does not hold up the others.
	Writers int
	// Prefix restricts the objects that are read and watched. Default all.
	Prefix string
	// Meter counts calls. Default none.
	Meter metric.Meter
}

// defaultBudgets keep an instance far below the platform's rates even when a
// decision core repeats an action without end. The steady need is 0.2 calls
// per second. Taking a failure domain out rewrites about 33 tables per
// instance at 300 services and 9 instances, which the burst of writes admits.
var defaultBudgets = map[Call]Budget{
	CallGet:       {PerSecond: 10, Burst: 20},
	CallList:      {PerSecond: 1, Burst: 5},
	CallPut:       {PerSecond: 10, Burst: 40},
	CallWatch:     {PerSecond: 1, Burst: 5},
	CallInstances: {PerSecond: 1, Burst: 5},
}

// FromSettings returns the configuration for an instance. The budget of reads
// applies to reads of objects and of the list of instances separately; reading
// back after lost answers has the budget of writes.
func FromSettings(s *settings.Settings, meter metric.Meter) Config {
	perMinute := func(n int) Budget {
		return Budget{PerSecond: rate.Limit(n) / 60, Burst: min(n, 40)}
	}
	l := s.Limits
	return Config{
		URL:          s.PlatformURL,
		CallTimeout:  l.PlatformCallTimeoutMS.Duration(),
		WriteTimeout: l.PlatformWriteTimeoutMS.Duration(),
		BackoffMax:   l.PlatformBackoffMaxMS.Duration(),
		WatchSilence: l.PlatformWatchSilenceMS.Duration(),
		Budgets: map[Call]Budget{
			CallGet:       perMinute(l.PlatformWritesPerMinute),
			CallPut:       perMinute(l.PlatformWritesPerMinute),
			CallList:      perMinute(l.PlatformReadsPerMinute),
			CallInstances: perMinute(l.PlatformReadsPerMinute),
			CallWatch:     perMinute(l.PlatformWatchesPerMinute),
		},
		Meter: meter,
	}
}

func (c *Config) setDefaults() {
	setDefault(&c.CallTimeout, 2*time.Second)
	setDefault(&c.WriteTimeout, 10*time.Second)
	setDefault(&c.BackoffBase, 50*time.Millisecond)
	setDefault(&c.BackoffMax, 2*time.Second)
	setDefault(&c.WatchSilence, 3*time.Second)
	setDefault(&c.Queue, 512)
	setDefault(&c.Writers, 4)
	if c.Meter == nil {
		c.Meter = noop.NewMeterProvider().Meter("")
	}
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
