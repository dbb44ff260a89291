package hedge

import "time"

const (
	// budgetPeriod is the time whose earnings a Budget keeps at most.
	budgetPeriod = time.Second
	// budgetSteps is the number of parts of budgetPeriod that are added up separately.
	budgetSteps = 10
	// rounding makes up for the error of adding shares: ten times 0.1 is less than 1.
	rounding = 1e-9
)

// Budget limits extra attempts to a share of the first attempts. The zero value is empty.
// It keeps at most what was earned in the last second, or 1, so that a calm period does
// not pay for extra work under load.
type Budget struct {
	tokens float64
	// earned holds the earnings by step; step is the number of the latest one since the
	// Unix epoch, and recent the sum of earned.
	earned [budgetSteps]float64
	step   int64
	recent float64
}

// Earn adds a share of one first attempt.
func (b *Budget) Earn(now time.Time, share float64) {
	b.expire(now)
	b.earned[b.step%budgetSteps] += share
	b.recent += share
	b.tokens = min(b.tokens+share, max(b.recent, 1))
}

// Tokens returns the number of extra attempts that the budget pays for.
func (b *Budget) Tokens(now time.Time) float64 {
	b.expire(now)
	return b.tokens + rounding
}

// Spend takes one extra attempt from the budget. Tokens must have returned 1 or more.
func (b *Budget) Spend() { b.tokens = max(0, b.tokens-1) }

// expire removes the earnings before the last budgetPeriod. A clock that goes back removes
// all of them: they would otherwise add up until it reaches its latest time again.
func (b *Budget) expire(now time.Time) {
	step := max(now.UnixNano()/int64(budgetPeriod/budgetSteps), 0)
	if step == b.step {
		return
	}
	if step < b.step {
		b.earned, b.step = [budgetSteps]float64{}, step
	}
	for n := max(b.step+1, step-budgetSteps+1); n <= step; n++ {
		b.earned[n%budgetSteps] = 0
	}
	b.step, b.recent = step, 0
	for _, earned := range b.earned {
		b.recent += earned
	}
	b.tokens = min(b.tokens, max(b.recent, 1))
}
