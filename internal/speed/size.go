package speed

import (
	"slices"
	"time"
)

const (
	// sizeSamples is the number of response sizes from which the median of a route is
	// taken, sizeInterval the least time between two of them. Together they cover at
	// least 12 s, so that the median stays that of served requests in an overload of 6 s in
	// which most requests are refused.
	sizeSamples  = 127
	sizeInterval = 100 * time.Millisecond
	// minSizes is the number of sizes from which the median is known.
	minSizes = 10
	// medianEvery is the number of new sizes after which the median is taken again.
	medianEvery = 8
	// shortShare is the part of the median below which a response is short.
	shortShare = 0.25
)

// Sizes holds the response sizes of one route, in bytes.
type Sizes struct {
	ring   [sizeSamples]uint32
	count  int
	lastAt time.Time
	median uint32
}

// Add adds the size of a response.
func (s *Sizes) Add(now time.Time, size uint32) {
	if s.count >= minSizes && now.Sub(s.lastAt) < sizeInterval {
		return
	}
	s.lastAt = now
	s.ring[s.count%sizeSamples] = size
	s.count++
	if s.count == minSizes || (s.count > minSizes && s.count%medianEvery == 0) {
		sorted := s.ring
		held := sorted[:min(s.count, sizeSamples)]
		slices.Sort(held)
		s.median = held[len(held)/2]
	}
}

// Short reports whether a size is that of a short response. It is false while the median is
// not known.
func (s *Sizes) Short(size uint32) bool { return float64(size) < shortShare*float64(s.median) }
