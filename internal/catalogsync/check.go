package catalogsync

import (
	"context"
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
)

// untilCheck returns the time until this instance has to check the kind in the store, at
// least 0.
func (s *kindSyncer) untilCheck() time.Duration {
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

// check reads the changes since the position from the store itself, and confirms the
// position to the peers. After a failed call it first asks a replica, which is cheap and
// not limited by a rate, until one answers.
func (s *kindSyncer) check(ctx context.Context) error {
	if s.failures > 0 && !s.reachable {
		return s.watch(ctx, 0, true, false)
	}
	return s.watch(ctx, 0, false, true)
}
