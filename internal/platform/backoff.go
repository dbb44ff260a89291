package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// backoff delays calls of one kind after failures: full jitter below a bound that
// doubles with every failure. Its state is kept across actions, so that a caller
// that repeats a failed action at once is delayed as well.
type backoff struct {
	// base is the bound after one failure, limit the highest bound.
	base, limit time.Duration

	mu       sync.Mutex
	failures int // failed calls since the last success
}

// wait sleeps for a random time up to the current bound, and not at all if the last
// call succeeded. It fails only if ctx ends.
func (b *backoff) wait(ctx context.Context) error {
	delay := b.nextDelay()
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

// nextDelay returns a random delay up to the current bound, zero without failures.
func (b *backoff) nextDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(b.delayBound()) + 1))
}

// delayBound returns the longest delay for the current number of failures.
func (b *backoff) delayBound() time.Duration {
	bound := b.base
	for i := 1; i < b.failures && bound < b.limit; i++ {
		bound *= 2
	}
	return min(bound, b.limit)
}

// recordResult counts a failed call, or forgets earlier failures after a success.
func (b *backoff) recordResult(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed {
		b.failures++
	} else {
		b.failures = 0
	}
}
