package configsync

import (
	"math"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// watchSeed is the seed of the ranking that selects the watchers of a failure
// domain.
var watchSeed = flow.NameHash("configsync/watch")

// noRank is the rank of an instance that is not ranked in its failure domain.
const noRank = math.MaxInt

// rankForWatch returns the rank of this instance among the ranked members of its
// failure domain, noRank if it is not among them.
func rankForWatch(view *membership.View) int {
	for i, m := range view.RankInDomain(view.Self.FailureDomain, watchSeed) {
		if m.Name == view.Self.Name {
			return i
		}
	}
	return noRank
}

// tickPlatform starts the platform calls that are due: a read while this
// instance is not ready, the watch if its rank makes it a watcher, and the read
// of the instance list. It stops the watch when this instance is no longer a
// watcher, and restarts a watch that was silent for WatchSilence.
func (s *Sync) tickPlatform(now time.Time) []action.Action {
	var actions []action.Action
	if s.read.open && now.Sub(s.read.issuedAt) > s.cfg.ReadTimeout {
		s.stats.ReadsFailed++
		s.scheduleRetry(&s.read, now)
	}
	// An instance that became ready through its peers does not read the
	// platform; the watchers do.
	if !s.Ready() && !s.read.open && !now.Before(s.read.next) {
		s.startCall(&s.read, now)
		s.stats.Reads++
		actions = append(actions, action.ReadObjects{Since: s.store.position()})
	}
	switch watcher := s.rank < WatchersPerDomain; {
	case !watcher && s.watch.open:
		s.watch = platformCall{}
		actions = append(actions, action.StopWatch{})
	case watcher && s.watch.open && now.Sub(s.lastWatchMessageAt) > s.cfg.WatchSilence:
		s.scheduleRetry(&s.watch, now)
		actions = append(actions, action.StopWatch{})
	case watcher && !s.watch.open && !now.Before(s.watch.next):
		s.startCall(&s.watch, now)
		s.lastWatchMessageAt, s.watchRejected = now, false
		s.stats.Watches++
		actions = append(actions, action.WatchObjects{Since: s.store.position()})
	}
	return append(actions, s.tickInstances(now)...)
}

// tickInstances reads the instance list when the next read is due.
func (s *Sync) tickInstances(now time.Time) []action.Action {
	if s.instances.next.IsZero() {
		// The first read is due at once; later ones are spread by jitter.
		s.instances.next = now
	}
	if now.Before(s.instances.next) {
		return nil
	}
	jitter := time.Duration(s.rng.Int64N(int64(s.cfg.InstancesInterval)/4 + 1))
	s.instances.next = now.Add(s.cfg.InstancesInterval + jitter)
	s.stats.InstanceReads++
	return []action.Action{action.ReadInstances{}}
}

// startCall marks a platform call as open and notes the revision held now.
func (s *Sync) startCall(c *platformCall, now time.Time) {
	c.open, c.issuedAt, c.floor = true, now, s.store.position()
}

// scheduleRetry closes a failed call and sets the time of the next attempt:
// after a jittered, doubling backoff, or after RegressionRetry while the platform
// is below the revision held here.
func (s *Sync) scheduleRetry(c *platformCall, now time.Time) {
	c.open = false
	c.backoff = min(max(2*c.backoff, s.cfg.ReconnectMin), s.cfg.ReconnectMax)
	c.next = now.Add(c.backoff/2 + time.Duration(s.rng.Int64N(int64(c.backoff)/2+1)))
	if s.platformRegressed {
		c.next = now.Add(s.cfg.RegressionRetry)
	}
}

// HandleRead adopts the result of ReadObjects. It returns the objects that
// changed and the messages to send. If the platform is below the revision held
// when the read was sent, or an object is invalid, nothing is adopted, the fault
// is recorded for Err and the read is scheduled again. A result without an open
// read is ignored.
func (s *Sync) HandleRead(now time.Time, objects []*pb.Object, revision uint64) ([]*pb.Object, []action.Action) {
	s.detectPause(now)
	if !s.read.open {
		return nil, nil
	}
	issuedAt := s.read.issuedAt
	if s.isRegression(revision, s.read.floor) {
		s.scheduleRetry(&s.read, now)
		return nil, nil
	}
	changed, actions, ok := s.adopt(now, objects, revision)
	if !ok {
		s.scheduleRetry(&s.read, now)
		return nil, nil
	}
	s.read = platformCall{}
	s.platformRead = true
	s.recordConfirmation(issuedAt)
	return changed, actions
}

// HandleReadFailed records that ReadObjects or ReadInstances failed. While a read
// of the objects is open, the failure counts as that read's.
func (s *Sync) HandleReadFailed(now time.Time, _ error) {
	s.detectPause(now)
	if s.read.open {
		s.stats.ReadsFailed++
		s.scheduleRetry(&s.read, now)
		return
	}
	s.stats.InstanceReadsFailed++
}

// HandleWatch adopts a message of the watch: all objects changed since the start
// of the watch, or since its previous message, up to revision. It returns the
// objects that changed and the actions to take. The caller has to pass on every
// message that a watch delivers, also after StopWatch, since each message
// contains only the changes after the previous one. If the revision is below that
// of the previous message, or an object is invalid, the message is rejected, the
// fault is recorded for Err and the watch is restarted after a backoff.
func (s *Sync) HandleWatch(now time.Time, objects []*pb.Object, revision uint64) ([]*pb.Object, []action.Action) {
	s.detectPause(now)
	if now.Before(s.confirmationsFrom) && revision < s.store.position() {
		return nil, nil
	}
	if s.watch.open && s.isRegression(revision, s.watch.floor) {
		s.scheduleRetry(&s.watch, now)
		return nil, []action.Action{action.StopWatch{}}
	}
	if s.watch.floor > revision || s.watchRejected {
		return nil, nil
	}
	changed, actions, ok := s.adopt(now, objects, revision)
	if !ok {
		s.watchRejected = true
		s.scheduleRetry(&s.watch, now)
		return nil, []action.Action{action.StopWatch{}}
	}
	if s.watch.open {
		s.lastWatchMessageAt = now
		s.watch.backoff, s.watch.floor = 0, revision
		s.platformRead = true
		// The message arrived at some time after the last tick.
		if !now.Before(s.confirmationsFrom) {
			s.recordConfirmation(s.lastTick)
		}
	}
	return changed, actions
}

// HandleWatchLost records that the watch ended and schedules its restart.
func (s *Sync) HandleWatchLost(now time.Time, _ error) []action.Action {
	s.detectPause(now)
	if s.watch.open {
		s.stats.WatchesLost++
		s.scheduleRetry(&s.watch, now)
	}
	return nil
}

// isRegression reports whether the platform answered with a lower revision than
// floor, the revision held when it was asked, and records the fault. A revision
// that is not lower ends an earlier regression.
func (s *Sync) isRegression(revision, floor uint64) bool {
	if revision >= floor {
		if s.platformRegressed {
			s.platformRegressed, s.err = false, nil
		}
		return false
	}
	s.platformRegressed = false
	s.recordFault(&RegressionError{PlatformRevision: revision, HeldRevision: floor})
	s.platformRegressed = true
	return true
}

// recordConfirmation raises the time at which the platform confirmed the held objects.
func (s *Sync) recordConfirmation(at time.Time) {
	if at.After(s.platformAt) {
		s.platformAt = at
	}
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}
