package speed

import (
	"cmp"
	"slices"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// An upstream is an outlier from outlierPerSlot requests in flight per slot and
	// outlierFactor times the mean of the others. With 2, a new request waits for the time
	// of another one.
	outlierPerSlot, outlierFactor = 2, 3
	// outlierKept is the part of both bounds below which an outlier is no longer one.
	outlierKept = 0.5
)

// UpstreamLoad is the number of requests in flight per slot of an upstream.
type UpstreamLoad struct {
	Upstream flowcookie.Cookie
	PerSlot  float64
	// Outlier tells whether the upstream was found to be an outlier, at first by the last
	// evaluation and then by this one.
	Outlier bool
}

// OutlierReason says why the upstreams of a service in a failure domain are or are not
// outliers. It is written to the log.
type OutlierReason int

// Reasons.
const (
	// NoOutlier: no upstream exceeds the bounds.
	NoOutlier OutlierReason = iota
	// BehindOthers: at least one upstream exceeds the bounds.
	BehindOthers
	// MostBehind: more than half of the upstreams exceed the bounds, and none counts as an
	// outlier.
	MostBehind
)

func (r OutlierReason) String() string {
	return [...]string{"no_outlier", "behind_others", "most_behind"}[r]
}

// OutlierResult is the result of FindOutliers.
type OutlierResult struct {
	Reason OutlierReason
	// Mean is the mean number of requests in flight per slot of the upstreams that are no
	// outliers.
	Mean float64
}

// FindOutliers sorts the upstreams of a service in one failure domain by load, and sets
// Outlier of those that have far more requests in flight than the others. Outliers are left
// out of the mean that they are compared with: with 0.3 of the upstreams six times slower,
// no upstream reaches three times a mean that includes the others of them.
func FindOutliers(loads []UpstreamLoad) OutlierResult {
	slices.SortFunc(loads, func(a, b UpstreamLoad) int {
		return cmp.Or(cmp.Compare(a.PerSlot, b.PerSlot), cmp.Compare(a.Upstream, b.Upstream))
	})
	n := len(loads)
	half, sum, previous := (n+1)/2, 0.0, false
	first, tooMany, mean := n, false, 0.0
	for i := range loads {
		behind := i > 0 && loads[i].PerSlot >= max(outlierPerSlot, outlierFactor*sum/float64(i))
		if i >= half && behind {
			// The upstream below the cut exceeds those below it as well, so that more than
			// half do.
			first, tooMany = i, i == half && previous
			break
		}
		previous = behind
		sum += loads[i].PerSlot
	}
	if first > 0 {
		mean = sum / float64(first)
	}
	outliers := n - first
	for i := range loads[:first] {
		if loads[i].Outlier && loads[i].PerSlot >= outlierKept*max(outlierPerSlot, outlierFactor*mean) {
			outliers++
			continue
		}
		loads[i].Outlier = false
	}
	for i := first; i < n; i++ {
		loads[i].Outlier = true
	}
	switch {
	case tooMany || outliers > n/2:
		for i := range loads {
			loads[i].Outlier = false
		}
		return OutlierResult{Reason: MostBehind, Mean: mean}
	case outliers > 0:
		return OutlierResult{Reason: BehindOthers, Mean: mean}
	}
	return OutlierResult{Reason: NoOutlier, Mean: mean}
}
