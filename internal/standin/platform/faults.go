package platform

import (
	"time"
)

// faults contains the faults in force. delay is the delay of each call;
// loseWrites is the number of writes whose responses are still to be lost.
type faults struct {
	down       bool
	delay      time.Duration
	loseWrites int
}

// SetDown starts or ends an outage, in which every call fails with an
// *UnavailableError. The start of an outage ends every open watch.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	if down {
		s.endWatches("down")
	}
}

// EndWatches ends every open watch with an *UnavailableError.
func (s *Store) EndWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches("watch ended")
}

func (s *Store) endWatches(reason string) {
	for w := range s.watches {
		w.err = &UnavailableError{Reason: reason}
		w.notify()
	}
}

// SilenceWatches makes every open watch silent for good: it delivers neither
// changes nor an error. Watches opened later work.
func (s *Store) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.silent = true
	}
}

// SetDelay sets the delay of every call. The store itself does not wait: the
// server or simulation that passes calls to it waits for Delay before each call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// Delay returns the time to wait before each call is passed to the store.
func (s *Store) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.delay
}

// LoseWriteResponses makes the next n writes that take effect fail with a
// *LostResponseError.
func (s *Store) LoseWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseWrites = n
}
