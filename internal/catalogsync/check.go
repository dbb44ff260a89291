package catalogsync

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// checkInterval is the time between two checks of a kind in the store by the instance
	// that made the last one. Checks bound the time for which a change stays unknown
	// while the replicas that answer watches lag.
	checkInterval = 2 * time.Second
	// takeOverAfter is the age of the last confirmation of a kind from which another
	// watcher checks it, staleAfter that from which any instance does. Both include a
	// random part of up to checkSpread, so that one instance checks the kind and confirms
	// it to the others. The users' tightest bound for changes is 3 s.
	takeOverAfter = 2300 * time.Millisecond
	staleAfter    = 2500 * time.Millisecond
	checkSpread   = 150 * time.Millisecond
	// firstCheckMin and firstCheckMax bound the random time from a list that a replica has
	// answered to the first check. It is longer than checkInterval and than the time in
	// which instances that start together meet, so that the check of one instance confirms
	// the kind to its peers.
	firstCheckMin = 2 * time.Second
	firstCheckMax = staleAfter
	// requestSpread bounds the random time from a request of RequestCheck to the check, so that
	// the instances do not all check at once after a change that leaves flows without a
	// route. The packets of such flows are kept for longer.
	requestSpread = 300 * time.Millisecond
)

// untilCheck returns the time until this instance has to check the kind in the store, for
// itself or its peers, at least 0.
func (s *kindSyncer) untilCheck() time.Duration {
	due := s.untilRegularCheck()
	if s.checkRequested {
		due = min(due, max(s.requestedCheck.Sub(s.now()), 0))
	}
	return due
}

// takeCheckRequest records a request of RequestCheck. It reports whether there was none.
func (s *kindSyncer) takeCheckRequest() bool {
	if s.checkRequested {
		return false
	}
	s.checkRequested, s.requestedCheck = true, s.now().Add(time.Duration(rand.Int64N(int64(requestSpread))))
	if next := s.checkBegan.Add(checkInterval); next.After(s.requestedCheck) {
		s.requestedCheck = next
	}
	return true
}

// recordCheckBegan records that this instance calls the store for a check.
func (s *kindSyncer) recordCheckBegan(at time.Time) { s.checkRequested, s.checkBegan = false, at }

// untilRegularCheck returns the time until this instance has to check the kind for its peers,
// at least 0.
func (s *kindSyncer) untilRegularCheck() time.Duration {
	due := staleAfter - s.spread
	switch {
	case s.confirmed.IsZero():
		return max(s.firstCheck.Sub(s.now()), 0)
	case s.ownCheck:
		due = checkInterval
	case s.peers.IsWatcher(s.now(), s.kind):
		due = takeOverAfter - s.spread
	}
	return max(due-s.now().Sub(s.confirmed), 0)
}

// check reads the changes since the position from the store itself. It confirms the position to
// the peers, unless others watch the kind and make its regular checks, and flows here have
// requested this one. After a failed call it first asks a replica, which is cheap and
// not limited by a rate, until one answers.
func (s *kindSyncer) check(ctx context.Context) error {
	if s.failures > 0 && !s.reachable {
		began := s.now()
		err := s.watch(ctx, 0, true, false)
		if err != nil {
			s.recordCheckBegan(began)
		}
		return err
	}
	send := s.ownCheck || s.untilRegularCheck() == 0 || s.peers.IsWatcher(s.now(), s.kind)
	return s.watch(ctx, 0, false, send)
}
