package overload

import (
	"maps"
	"net/netip"
	"time"
)

const (
	// callerWindow is the time over which the flows of callers are counted.
	callerWindow = time.Second
	// maxCallers is the maximum number of callers that are counted, about 300 KB.
	maxCallers = 4096
)

// Callers counts the flows that callers have opened within the last second to services
// that are short of capacity. The time is divided into windows of callerWindow, of which
// the earlier one counts with the part that the last second overlaps. The zero value is
// ready for use. It is not safe for concurrent use.
type Callers struct {
	start             time.Time
	current, previous map[netip.Addr]float64
	// currentTotal and previousTotal are the sums over the maps.
	currentTotal, previousTotal float64
}

// Add counts a flow that a caller opens. When maxCallers are counted, the flows of further
// ones are not.
func (c *Callers) Add(now time.Time, caller netip.Addr) {
	c.advance(now)
	if c.current == nil {
		c.current = map[netip.Addr]float64{}
	}
	if _, known := c.current[caller]; !known && len(c.current)+len(c.previous) >= maxCallers {
		return
	}
	c.current[caller]++
	c.currentTotal++
}

// Flows returns the number of flows that a caller has opened within the last second, and
// the mean of the callers that have opened any.
func (c *Callers) Flows(now time.Time, caller netip.Addr) (own, mean float64) {
	c.advance(now)
	callers := max(len(c.current), len(c.previous))
	if callers == 0 {
		return 0, 0
	}
	weight := 1 - float64(now.Sub(c.start))/float64(callerWindow)
	own = c.current[caller] + weight*c.previous[caller]
	return own, (c.currentTotal + weight*c.previousTotal) / float64(callers)
}

// Expire removes what is older than two windows.
func (c *Callers) Expire(now time.Time) { c.advance(now) }

// Copy returns an independent copy.
func (c *Callers) Copy() Callers {
	copied := *c
	copied.current, copied.previous = maps.Clone(c.current), maps.Clone(c.previous)
	return copied
}

// Len returns the number of counted callers.
func (c *Callers) Len() int { return len(c.current) + len(c.previous) }

// advance starts a new window when the current one has ended. A clock that has gone back
// starts it anew.
func (c *Callers) advance(now time.Time) {
	switch elapsed := now.Sub(c.start); {
	case elapsed >= 0 && elapsed < callerWindow:
		return
	case elapsed >= callerWindow && elapsed < 2*callerWindow:
		c.previous, c.previousTotal = c.current, c.currentTotal
		c.start = c.start.Add(callerWindow)
	default:
		c.previous, c.previousTotal = nil, 0
		c.start = now
	}
	c.current, c.currentTotal = nil, 0
}
