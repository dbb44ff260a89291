package evidence

import (
	"maps"
	"slices"
)

// Copy returns a tracker with the same evidence. Changes of one do not change the other.
func (t *Tracker) Copy() *Tracker {
	copied := *t
	copied.upstreams, copied.groupLosses, copied.serviceResponseTimes = copyValues(t.upstreams), copyValues(t.groupLosses), copyValues(t.serviceResponseTimes)
	copied.upstreamRequests, copied.lostRequests = slices.Clone(t.upstreamRequests), slices.Clone(t.lostRequests)
	copied.probes, copied.unconfirmedProbes, copied.checks = slices.Clone(t.probes), slices.Clone(t.unconfirmedProbes), slices.Clone(t.checks)
	copied.reported = newReportedLimit()
	copied.path.results = slices.Clone(t.path.results)
	copied.questions = slices.Clone(t.questions)
	return &copied
}

// copyValues returns a map with copies of the values. They must hold no references.
func copyValues[K comparable, V any](values map[K]*V) map[K]*V {
	copied := maps.Clone(values)
	for key, value := range copied {
		next := *value
		copied[key] = &next
	}
	return copied
}
