// Package platform is the client of the platform's object API. It executes the
// platform actions that the decision logic of an instance returns and reports their
// results as events. The command line uses its synchronous calls.
package platform

import (
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/time/rate"

	"github.com/chivemast/chivemast/internal/settings"
)

// Call is a kind of platform call. Every kind has its own budget, backoff and
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

// Budget limits the rate of one kind of call.
type Budget struct {
	// PerSecond is the sustained rate in calls per second.
	PerSecond rate.Limit
	// Burst is the largest number of calls that are made without delay.
	Burst int
}

// Config configures a client. A zero field means its default.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// CallTimeout is the timeout of one call, including the wait for its budget. A read has
	// it until the header of the answer, and then for each pause in the answer. Default 2 s.
	CallTimeout time.Duration
	// WriteTimeout is the timeout of a write, including retries and reading the
	// object back after a lost answer. Default 10 s.
	WriteTimeout time.Duration
	// BackoffBase and BackoffMax bound the random delay after failed calls of a
	// kind: up to BackoffBase after the first failure, and up to twice as much
	// after every further one, at most BackoffMax. Defaults 50 ms and 2 s.
	BackoffBase, BackoffMax time.Duration
	// WatchSilence is the time without a byte of a message after which a watch is replaced.
	// The platform sends a message at least every second, so the default of 3 s
	// means that three messages are missing.
	WatchSilence time.Duration
	// Budgets holds the budget of each kind of call. A kind that is not listed
	// has its default budget.
	Budgets map[Call]Budget
	// Queue is the largest number of waiting writes, and of events that the
	// receiver has not taken. Default 512, enough for one write per service at the
	// target size.
	Queue int
	// Writers is the largest number of writes in flight. Default 4, so that a
	// write whose answer is lost does not delay the others.
	Writers int
	// Prefix is the key prefix of the objects that actions read and watch. Default
	// all objects.
	Prefix string
	// Meter creates the metrics of the client. By default there are none.
	Meter metric.Meter
}

// defaultBudgets holds the budget of each kind of call. They keep an instance far
// below the platform's rates even if the decision logic repeats an action endlessly.
// In steady state an instance needs 0.2 calls per second. Evacuating a failure
// domain rewrites about 33 tables per instance at 300 services and 9 instances; the
// burst of writes allows that.
var defaultBudgets = map[Call]Budget{
	CallGet:       {PerSecond: 10, Burst: 20},
	CallList:      {PerSecond: 1, Burst: 5},
	CallPut:       {PerSecond: 10, Burst: 40},
	CallWatch:     {PerSecond: 1, Burst: 5},
	CallInstances: {PerSecond: 1, Burst: 5},
}

// FromSettings returns the configuration for an instance. The rate of reads applies
// separately to reads of objects and of the list of instances. Single objects are
// read back after lost answers of writes, so CallGet has the rate of writes.
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

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
