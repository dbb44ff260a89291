package platform

import (
	"time"
)

type faults struct {
	down       bool
	delay      time.Duration
	loseWrites int
}

// SetDown starts or ends an outage. An outage ends every watch.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	if down {
		s.endWatches("down")
	}
}

// EndWatches ends every watch with an error.
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

// SilenceWatches makes every present watch silent for good. New ones work.
func (s *Store) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.silent = true
	}
}

// SetDelay makes every call slow. The store itself does not wait: whoever
// carries calls to it applies Delay before each.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// Delay returns how long each call has to be held back.
func (s *Store) Delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.delay
}

// LoseWriteAnswers loses the answers of the next n writes that take effect.
func (s *Store) LoseWriteAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseWrites = n
}
