package configsync

import (
	"math"
	"time"

	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/membership"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// watchSeed ranks the instances of a failure domain for the watch.
var watchSeed = flow.NameHash("configsync/watch")

// noRank is the rank of an instance that takes no duties.
const noRank = math.MaxInt

// watchRank returns the rank of this instance among the live members of its
// failure domain.
func watchRank(view *membership.View) int {
	for i, m := range view.RankIn(view.Self.FailureDomain, watchSeed) {
		if m.Name == view.Self.Name {
			return i
		}
	}
	return noRank
}

func (s *Sync) tickPlatform(now time.Time) []action.Action {
	var actions []action.Action
	if s.read.open && now.Sub(s.read.issuedAt) > s.cfg.ReadTimeout {
		s.stats.ReadsFailed++
		s.retry(&s.read, now)
	}
	// An instance that joined through its peers leaves the platform to the
	// watchers.
	if !s.Ready() && !s.read.open && !now.Before(s.read.next) {
		s.begin(&s.read, now)
		s.stats.Reads++
		actions = append(actions, action.ReadObjects{Since: s.store.revision})
	}
	switch watcher := s.rank < WatchersPerDomain; {
	case !watcher && s.watch.open:
		s.watch = call{}
		actions = append(actions, action.StopWatch{})
	case watcher && s.watch.open && now.Sub(s.watchedAt) > s.cfg.WatchSilence:
		s.retry(&s.watch, now)
		actions = append(actions, action.StopWatch{})
	case watcher && !s.watch.open && !now.Before(s.watch.next):
		s.begin(&s.watch, now)
		s.watchedAt, s.watchRejected = now, false
		s.stats.Watches++
		actions = append(actions, action.WatchObjects{Since: s.store.revision})
	}
	return append(actions, s.tickInstances(now)...)
}

func (s *Sync) tickInstances(now time.Time) []action.Action {
	if s.instances.next.IsZero() {
		// The first read happens at once; later ones are spread.
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

func (s *Sync) begin(c *call, now time.Time) {
	c.open, c.issuedAt, c.floor = true, now, s.store.revision
}

// retry closes a failed call and sets the time of the next attempt.
func (s *Sync) retry(c *call, now time.Time) {
	c.open = false
	c.backoff = min(max(2*c.backoff, s.cfg.ReconnectMin), s.cfg.ReconnectMax)
	c.next = now.Add(c.backoff/2 + time.Duration(s.rng.Int64N(int64(c.backoff)/2+1)))
	if s.regressed {
		c.next = now.Add(s.cfg.RegressionRetry)
	}
}

// HandleRead takes over the result of ReadObjects. It returns the objects
// that changed.
func (s *Sync) HandleRead(now time.Time, objects []*pb.Object, revision uint64) ([]*pb.Object, []action.Action) {
	s.notePause(now)
	if !s.read.open {
		return nil, nil
	}
	issued := s.read.issuedAt
	if s.isRegression(revision, s.read.floor) {
		s.retry(&s.read, now)
		return nil, nil
	}
	changed, actions, ok := s.adopt(now, objects, revision)
	if !ok {
		s.retry(&s.read, now)
		return nil, nil
	}
	s.read = call{}
	s.platformRead = true
	s.confirm(issued)
	return changed, actions
}

// HandleReadFailed notes that ReadObjects or ReadInstances failed.
func (s *Sync) HandleReadFailed(now time.Time, _ error) {
	s.notePause(now)
	if s.read.open {
		s.stats.ReadsFailed++
		s.retry(&s.read, now)
		return
	}
	s.stats.InstanceReadFailed++
}

// HandleWatch takes over a message of the watch: every object changed since
// the watch started, or since its previous message, up to revision. It
// returns the objects that changed. Every message that a watch delivers has
// to be passed on, also after StopWatch: the next one follows on from it.
func (s *Sync) HandleWatch(now time.Time, objects []*pb.Object, revision uint64) ([]*pb.Object, []action.Action) {
	s.notePause(now)
	if now.Before(s.confirmFrom) && revision < s.store.revision {
		return nil, nil
	}
	if s.watch.open && s.isRegression(revision, s.watch.floor) {
		s.retry(&s.watch, now)
		return nil, []action.Action{action.StopWatch{}}
	}
	if s.watch.floor > revision || s.watchRejected {
		return nil, nil
	}
	changed, actions, ok := s.adopt(now, objects, revision)
	if !ok {
		s.watchRejected = true
		s.retry(&s.watch, now)
		return nil, []action.Action{action.StopWatch{}}
	}
	if s.watch.open {
		s.watchedAt = now
		s.watch.backoff, s.watch.floor = 0, revision
		s.platformRead = true
		// The message arrived after the last tick, not necessarily just now.
		if !now.Before(s.confirmFrom) {
			s.confirm(s.lastTick)
		}
	}
	return changed, actions
}

// HandleWatchLost notes that the watch ended.
func (s *Sync) HandleWatchLost(now time.Time, _ error) []action.Action {
	s.notePause(now)
	if s.watch.open {
		s.stats.WatchesLost++
		s.retry(&s.watch, now)
	}
	return nil
}

// isRegression tells whether the platform answered with a lower revision than
// the one held when it was asked.
func (s *Sync) isRegression(revision, floor uint64) bool {
	if revision >= floor {
		if s.regressed {
			s.regressed, s.err = false, nil
		}
		return false
	}
	s.regressed = false
	s.fault(&RegressionError{Platform: revision, Own: floor})
	s.regressed = true
	return true
}

func (s *Sync) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}
