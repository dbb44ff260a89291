package hedge

import (
	"math"
	"time"
)

const (
	// OpenQuantile is the quantile of the times to the next packet after which an opening
	// packet is overdue.
	OpenQuantile = 0.95
	// MaxDelay is the longest delay unless the operator's minimum is longer, and the delay
	// without enough values: half of the time after which callers repeat an opening packet.
	MaxDelay = 100 * time.Millisecond
	// window is the time whose values count, in slots of slotLength.
	window     = 10 * time.Second
	slotLength = time.Second
	slots      = int(window / slotLength)
	// minValues is the least number of values that give a quantile.
	minValues = 50
	// shortest is the upper bound of the first bucket. Each further bucket ends at
	// 2^(1/perDoubling) of the one before, so that the error is at most 9%. The last one
	// holds all values above 102 ms, which is more than MaxDelay.
	shortest    = 100 * time.Microsecond
	perDoubling = 8
	buckets     = 10*perDoubling + 2
)

// Histogram counts the times of the last ten seconds. The zero value is empty.
type Histogram struct {
	counts [slots][buckets]uint32
	total  [buckets]uint32
	values uint32
	// slot is the number of the latest slot since the Unix epoch.
	slot int64
}

// Record adds a time.
func (h *Histogram) Record(now time.Time, took time.Duration) {
	h.expire(now)
	bucket := bucketOf(took)
	h.counts[h.slot%int64(slots)][bucket]++
	h.total[bucket]++
	h.values++
}

// Quantile returns the upper bound of the bucket that holds a quantile; false with fewer
// than minValues.
func (h *Histogram) Quantile(now time.Time, quantile float64) (time.Duration, bool) {
	h.expire(now)
	if h.values < minValues {
		return 0, false
	}
	rank := uint32(math.Ceil(quantile * float64(h.values)))
	for bucket, count := range h.total {
		if count >= rank {
			return upperBound(bucket), true
		}
		rank -= count
	}
	return MaxDelay, true
}

// expire removes the values before the window. A clock that goes back by more than the window
// removes all of them: they would otherwise stay until it reaches its latest time again.
func (h *Histogram) expire(now time.Time) {
	slot := max(now.UnixNano()/int64(slotLength), 0)
	if slot < h.slot-int64(slots) {
		*h = Histogram{slot: slot}
	}
	if slot <= h.slot {
		return
	}
	for n := max(h.slot+1, slot-int64(slots)+1); n <= slot; n++ {
		old := &h.counts[n%int64(slots)]
		for bucket, count := range old {
			h.total[bucket] -= count
			h.values -= count
		}
		*old = [buckets]uint32{}
	}
	h.slot = slot
}

func bucketOf(took time.Duration) int {
	if took <= shortest {
		return 0
	}
	return min(int(math.Ceil(perDoubling*math.Log2(float64(took)/float64(shortest))-1e-6)), buckets-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(bucket)/perDoubling))
}

// Delay returns the time after which an unanswered attempt is overdue: a quantile of the
// recent times, at least minimum and at most MaxDelay.
func Delay(now time.Time, times *Histogram, quantile float64, minimum time.Duration) time.Duration {
	delay, known := times.Quantile(now, quantile)
	if !known {
		delay = MaxDelay
	}
	return max(min(delay, MaxDelay), minimum)
}

// AffordableQuantile returns the quantile above which no more attempts are overdue than
// the share pays for, and at least OpenQuantile. With a lower one the budget pays for a
// random part of the overdue attempts, and the longest ones keep their length.
func AffordableQuantile(share float64) float64 { return max(OpenQuantile, 1-share) }
