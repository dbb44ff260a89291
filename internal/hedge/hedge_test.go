package hedge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 21, 11, 10, 0, 0, time.UTC)

// Guards against extra attempts where they are forbidden, and against a reason in the log
// that is not the one that decided.
func TestDecide(t *testing.T) {
	sent := Input{Idempotent: true, Upstream: true, Tokens: 1}
	for want, change := range map[Result]func(*Input){
		Sent:          func(*Input) {},
		NotIdempotent: func(in *Input) { in.Idempotent = false },
		Answered:      func(in *Input) { in.Answered, in.Short = true, true },
		FlowsMoved:    func(in *Input) { in.Moved, in.Short = true, true },
		Short:         func(in *Input) { in.Short, in.Tokens = true, 0 },
		NoUpstream:    func(in *Input) { in.Upstream, in.Tokens = false, 0 },
		OverBudget:    func(in *Input) { in.Tokens = 0.9 },
	} {
		in := sent
		change(&in)
		require.Equal(t, want.String(), Decide(in).String())
	}
	require.Len(t, Labels, int(NotIdempotent)+1)
}

// Guards against more extra work than operators allow: in total, in a second after a calm
// minute, and after a restart. A bucket that keeps everything spends 60 at once.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond int
		share     float64
		// calm is the time in which nothing is spent; most is the largest number of extra
		// attempts in the second after it.
		calm time.Duration
		most int
	}{
		"calm minute":    {100, 0.02, time.Minute, 4},
		"restart":        {1000, 0.02, 0, 20},
		"few attempts":   {5, 0.02, time.Minute, 1},
		"without share":  {1000, 0, time.Minute, 0},
		"idle afterward": {1, 0.2, time.Minute, 1},
	} {
		var b Budget
		spent, first, attempts := 0, 0, 0
		now := start
		for n := range int((test.calm + 10*time.Second).Seconds() * float64(test.perSecond)) {
			now = start.Add(time.Duration(n) * time.Second / time.Duration(test.perSecond))
			b.Earn(now, test.share)
			attempts++
			for now.Sub(start) >= test.calm && b.Tokens(now) >= 1 {
				b.Spend()
				spent++
				if now.Sub(start) < test.calm+time.Second {
					first++
				}
			}
		}
		require.LessOrEqual(t, first, test.most, name)
		require.LessOrEqual(t, float64(spent), test.share*float64(attempts)+rounding, name)
		require.LessOrEqual(t, b.Tokens(now.Add(time.Hour)), 1+rounding, name)
		if test.share > 0 && test.perSecond > 1 {
			require.Positive(t, spent, name)
		}
	}
}

// Guards against a delay that ignores the callers' round trips, keeps old values, or is
// set by a few values.
func TestDelayFollowsRecentTimes(t *testing.T) {
	const minimum = 10 * time.Millisecond
	var h Histogram
	record := func(now time.Time, n int, took time.Duration) {
		for range n {
			h.Record(now, took)
		}
	}
	record(start, minValues-1, 30*time.Millisecond)
	require.Equal(t, MaxDelay, Delay(start, &h, OpenQuantile, minimum), "too few values")
	record(start, 1, 30*time.Millisecond)
	require.InEpsilon(t, 30*time.Millisecond, Delay(start, &h, OpenQuantile, minimum), 0.09)
	later := start.Add(5 * time.Second)
	record(later, 950, 2*time.Millisecond)
	require.Equal(t, minimum, Delay(later, &h, OpenQuantile, minimum), "95% within 2 ms")
	record(later, 100, 3*time.Second)
	require.Equal(t, MaxDelay, Delay(later, &h, OpenQuantile, minimum), "9% take seconds")
	require.Equal(t, 150*time.Millisecond, Delay(later, &h, OpenQuantile, 150*time.Millisecond), "the operator's minimum")
	require.Equal(t, MaxDelay, Delay(later.Add(window), &h, OpenQuantile, minimum), "all values are old")
	record(start, 100, 50*time.Millisecond)
	require.InEpsilon(t, 50*time.Millisecond, Delay(start, &h, OpenQuantile, minimum), 0.09, "the clock went back")
	require.Equal(t, 0.98, AffordableQuantile(0.02))
	require.Equal(t, OpenQuantile, AffordableQuantile(0.2))
}

// Guards against a clock that goes back by minutes: earnings that do not expire until the
// clock catches up would pay for a burst of extra attempts.
func TestBudgetExpiresAfterClockGoesBack(t *testing.T) {
	var b Budget
	b.Earn(start, 0.02)
	for n := range 60 * 100 {
		b.Earn(start.Add(-10*time.Minute+time.Duration(n)*10*time.Millisecond), 0.02)
	}
	require.LessOrEqual(t, b.Tokens(start.Add(-9*time.Minute)), 2+rounding, "the earnings of a second")
	require.LessOrEqual(t, b.Tokens(time.Unix(-1, 0)), 2+rounding)
	b.Earn(time.Unix(-1, 0), 0.02)
}

// Guards against a delay by times that stay in the histogram until a clock that went back
// reaches its latest time again.
func TestDelayForgetsAfterClockGoesBack(t *testing.T) {
	var h Histogram
	for range 1000 {
		h.Record(start, 40*time.Millisecond)
	}
	back := start.Add(-10 * time.Minute)
	for n := range 600 {
		h.Record(back.Add(time.Duration(n)*100*time.Millisecond), 2*time.Millisecond)
	}
	require.InEpsilon(t, 2*time.Millisecond, Delay(back.Add(time.Minute), &h, OpenQuantile, time.Millisecond), 0.09)
	h.Record(time.Unix(-60, 0), time.Millisecond)
}
