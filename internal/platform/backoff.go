package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// backoff spaces the calls of one kind after failures. Its state outlives a
// single action, so that a caller that repeats a failed action at once is
// slowed down as well.
type backoff struct {
	base, limit time.Duration

	mu       sync.Mutex
	failures int
}

// wait sleeps for a random time below the current bound (full jitter); not at
// all after a success.
func (b *backoff) wait(ctx context.Context) error {
	delay := b.next()
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *backoff) next() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(b.bound()) + 1))
}

func (b *backoff) bound() time.Duration {
	bound := b.base
	for i := 1; i < b.failures && bound < b.limit; i++ {
		bound *= 2
	}
	return min(bound, b.limit)
}

func (b *backoff) record(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed {
		b.failures++
	} else {
		b.failures = 0
	}
}
