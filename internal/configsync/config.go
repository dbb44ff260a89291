// Package configsync keeps the replicated objects up to date: from a watch of
// the platform at the watchers of each failure domain, and from peers
// everywhere else. Objects are adopted by store-wide revision and never go
// back.
package configsync

import (
	"fmt"
	"time"
)

// Defaults of Config; docs/design.md D5 and section 5 give the reasons.
const (
	DefaultReconnectMin = 100 * time.Millisecond
	DefaultReconnectMax = 2 * time.Second
	// DefaultWatchSilence is three missed progress messages.
	DefaultWatchSilence = 3 * time.Second
	DefaultPullTimeout  = time.Second
	DefaultReadTimeout  = 10 * time.Second
	// DefaultPullDelay lets a push that is under way arrive first.
	DefaultPullDelay = 300 * time.Millisecond
	// DefaultRepairDelay gives the heartbeats of one interval time to show
	// who still lacks a revision.
	DefaultRepairDelay = 1200 * time.Millisecond
	// DefaultInstancesInterval keeps the reads of the instance list at 0.033
	// calls/s per instance, well below the target of 0.2.
	DefaultInstancesInterval = 30 * time.Second
	// DefaultRegressionRetry keeps the calls to a platform that lost
	// revisions at 0.1/s.
	DefaultRegressionRetry = 10 * time.Second
	DefaultPauseLimit      = 3 * time.Second
)

// WatchersPerDomain is the number of instances of one failure domain that
// watch the platform.
const WatchersPerDomain = 2

// MaxObject is the largest value of an object, in bytes.
const MaxObject = 1 << 20

// Config holds the limits of the synchronization. Zero values mean the
// defaults.
type Config struct {
	// Peers are the names of the configured peers. A majority of them has to
	// answer before an instance that cannot read the platform is ready.
	Peers []string
	// ReconnectMin and ReconnectMax bound the jittered backoff of reads and
	// watches.
	ReconnectMin, ReconnectMax time.Duration
	// WatchSilence is the silence after which the watch is restarted.
	WatchSilence time.Duration
	// ReadTimeout is the time after which a read that got no answer is
	// repeated.
	ReadTimeout time.Duration
	// PullTimeout is the time after which a pull is sent to another peer.
	PullTimeout time.Duration
	// PullDelay is the time between learning that a peer is ahead and the
	// pull.
	PullDelay time.Duration
	// RepairDelay is the time after which a watcher pushes a revision to
	// members that are served by someone else first.
	RepairDelay time.Duration
	// InstancesInterval is the time between two reads of the platform's
	// instance list.
	InstancesInterval time.Duration
	// RegressionRetry is the time between two attempts to watch a platform
	// whose revision is lower than ours.
	RegressionRetry time.Duration
	// PauseLimit is the time between two ticks above which this instance
	// takes itself to have been paused.
	PauseLimit time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ReconnectMin, DefaultReconnectMin}, {&c.ReconnectMax, DefaultReconnectMax},
		{&c.WatchSilence, DefaultWatchSilence}, {&c.PullTimeout, DefaultPullTimeout}, {&c.ReadTimeout, DefaultReadTimeout}, {&c.PullDelay, DefaultPullDelay},
		{&c.RepairDelay, DefaultRepairDelay}, {&c.InstancesInterval, DefaultInstancesInterval},
		{&c.RegressionRetry, DefaultRegressionRetry}, {&c.PauseLimit, DefaultPauseLimit},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// RegressionError says that the platform reported a lower revision than this
// instance holds, for example after it was restored from a backup. Nothing of
// such a platform is adopted.
type RegressionError struct {
	Platform, Own uint64
}

func (e *RegressionError) Error() string {
	return fmt.Sprintf("platform is at revision %d, below revision %d in force here", e.Platform, e.Own)
}

// VersionError says that an object was offered with a newer revision but a
// version that is not higher than the one in force.
type VersionError struct {
	Key            string
	Offered, Known uint64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("object %q: offered version %d is not above version %d in force", e.Key, e.Offered, e.Known)
}

// MalformedError says that a message or object broke the protocol.
type MalformedError struct {
	Key, Reason string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("object %q: %s", e.Key, e.Reason)
}

// Stats counts events since the start.
type Stats struct {
	Reads, Watches, InstanceReads uint64
	PushesSent, PushesReceived    uint64
	PullsSent, PullsReceived      uint64
	// Gaps counts pushes that started above our revision.
	Gaps                            uint64
	Regressions, VersionErrors      uint64
	Malformed, WatchesLost, Pauses  uint64
	ReadsFailed, InstanceReadFailed uint64
}
