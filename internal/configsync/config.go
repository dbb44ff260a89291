// Package configsync replicates the configuration objects of the platform to
// every instance. A few instances of each failure domain watch the platform;
// the others receive the objects from their peers. Objects are adopted in the
// order of the platform's store-wide revision, and an adopted object is never
// replaced by an older version. All revisions are positions (package position): after
// the platform was restored from a copy, its objects are merged with those in force
// until operators have written again what was lost.
package configsync

import (
	"fmt"
	"time"
)

// Defaults of Config. The reasons are in docs/design.md, D5 and section 5.
const (
	DefaultReconnectMin = 100 * time.Millisecond
	DefaultReconnectMax = 2 * time.Second
	// DefaultWatchSilence corresponds to three missed progress messages of the
	// watch.
	DefaultWatchSilence = 3 * time.Second
	DefaultPullTimeout  = time.Second
	DefaultReadTimeout  = 10 * time.Second
	// DefaultPullDelay leaves time for a push that is already under way, so
	// that the same objects are not also pulled.
	DefaultPullDelay = 300 * time.Millisecond
	// DefaultRepairDelay leaves time for the heartbeats of one interval to
	// report which members do not hold the revision yet.
	DefaultRepairDelay = 1200 * time.Millisecond
	// DefaultInstancesInterval keeps the reads of the instance list at 0.033
	// calls/s per instance, well below the target of 0.2.
	DefaultInstancesInterval = 30 * time.Second
	// DefaultSettleDelay leaves operators time to write again what a restored platform
	// has lost. It is the users' bound for a change to be in force.
	DefaultSettleDelay = 3 * time.Second
	// DefaultRegressionRetry keeps the calls to a platform that lost
	// revisions at 0.1/s.
	DefaultRegressionRetry = 10 * time.Second
	DefaultPauseLimit      = 3 * time.Second
)

// WatchersPerDomain is the number of instances of one failure domain that
// watch the platform at the same time.
const WatchersPerDomain = 2

// MaxObjectBytes is the largest accepted size of an object's value, in bytes.
const MaxObjectBytes = 1 << 20

// Config holds the timeouts and limits of the synchronization. A zero duration
// means the default.
type Config struct {
	// Peers lists the names of the configured peers. An instance that cannot
	// read the platform is ready only after a majority of them has answered.
	Peers []string
	// ReconnectMin and ReconnectMax are the bounds of the backoff, before
	// jitter, between attempts to read or watch the platform.
	ReconnectMin, ReconnectMax time.Duration
	// WatchSilence is the time without a watch message after which the watch is
	// restarted.
	WatchSilence time.Duration
	// ReadTimeout is the time after which an unanswered read counts as failed
	// and is scheduled again.
	ReadTimeout time.Duration
	// PullTimeout is the time after which an unanswered pull is sent again, to
	// another peer if possible.
	PullTimeout time.Duration
	// PullDelay is the time between learning that a peer holds a higher
	// revision and the pull.
	PullDelay time.Duration
	// RepairDelay is the time after which a watcher also pushes a revision to
	// members that other instances were expected to update first.
	RepairDelay time.Duration
	// InstancesInterval is the shortest time between two reads of the
	// platform's instance list; jitter of up to a quarter is added.
	InstancesInterval time.Duration
	// RegressionRetry is the time between two attempts to read or watch a
	// platform whose revision is lower than the one held here.
	RegressionRetry time.Duration
	// SettleDelay is the time from the first message of another era of the platform
	// until its objects replace those of the era before. Until then the two are merged.
	SettleDelay time.Duration
	// PauseLimit is the time since the last tick above which this instance counts
	// as having been paused: an open watch and an open read are restarted. After
	// more than PauseLimit/6 without a tick, watch messages confirm nothing for
	// PauseLimit/3.
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
		{&c.RegressionRetry, DefaultRegressionRetry}, {&c.SettleDelay, DefaultSettleDelay}, {&c.PauseLimit, DefaultPauseLimit},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return c
}

// RegressionError reports that the platform is at a lower revision than this
// instance held when it asked, although its era has not risen. Such an answer is not
// adopted.
type RegressionError struct {
	PlatformRevision, HeldRevision uint64
}

func (e *RegressionError) Error() string {
	return fmt.Sprintf("platform is at revision %d, below revision %d held by this instance", e.PlatformRevision, e.HeldRevision)
}

// VersionError reports an object whose version and revision disagree with the
// copy held here: only one of the two is higher.
type VersionError struct {
	Key                         string
	OfferedVersion, HeldVersion uint64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("object %q: received version %d and held version %d contradict the order of their revisions", e.Key, e.OfferedVersion, e.HeldVersion)
}

// MalformedError reports a message or object that violates the protocol. Key is
// empty if no object is concerned or the object has no key.
type MalformedError struct {
	Key, Reason string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("object %q: %s", e.Key, e.Reason)
}

// Stats holds counters of events since the start of the instance.
type Stats struct {
	Reads, Watches, InstanceReads uint64
	PushesSent, PushesReceived    uint64
	PullsSent, PullsReceived      uint64
	// Gaps counts received pushes that start above the revision held here.
	Gaps                       uint64
	Regressions, VersionErrors uint64
	// Restorations counts the changes of the platform's era.
	Restorations                     uint64
	Malformed, WatchesLost, Pauses   uint64
	ReadsFailed, InstanceReadsFailed uint64
}
