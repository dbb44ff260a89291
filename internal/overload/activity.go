package overload

import "time"

const (
	// activityWindow is the length of the windows in which uses are counted; the current
	// and the previous one cover ActiveFor at most.
	activityWindow = ActiveFor / 2
	// minActiveShare is the share of the uses of a service that the routes of the higher
	// priorities need to count. Refusing other flows for fewer uses would free hardly any
	// capacity: occasional flows on otherwise idle routes of priority 0 made instances
	// refuse a quarter of the flows of priority 1 in a burst.
	minActiveShare = 0.05
)

// Activity counts the uses of a service by one route: its admitted flows and its requests.
// The zero value is ready for use. It is not safe for concurrent use.
type Activity struct {
	start             time.Time
	current, previous float64
}

// Record counts a use.
func (a *Activity) Record(now time.Time) {
	a.advance(now)
	a.current++
}

// Uses returns the number of uses within the last activityWindow to ActiveFor.
func (a *Activity) Uses(now time.Time) float64 {
	a.advance(now)
	return a.current + a.previous
}

// advance starts a new window when the current one has ended. A clock that has gone back
// starts it anew.
func (a *Activity) advance(now time.Time) {
	switch elapsed := now.Sub(a.start); {
	case elapsed >= 0 && elapsed < activityWindow:
	case elapsed >= activityWindow && elapsed < ActiveFor:
		a.previous, a.current, a.start = a.current, 0, a.start.Add(activityWindow)
	default:
		a.previous, a.current, a.start = 0, 0, now
	}
}

// HighestActive returns the highest priority up to which the routes of a service have
// minActiveShare of its uses, which are given by priority; the lowest priority without
// uses.
func HighestActive(uses []float64) int {
	total := 0.0
	for _, n := range uses {
		total += n
	}
	sum := 0.0
	for priority, n := range uses {
		if sum += n; sum > 0 && sum >= minActiveShare*total {
			return priority
		}
	}
	return len(uses) - 1
}
