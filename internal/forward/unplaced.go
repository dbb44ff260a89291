package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// maxUnplaced is the maximum length of arrivals, about 0.5 MB.
const maxUnplaced = 4096

// arrivalKey identifies a flow and the upstream that it needs.
type arrivalKey struct {
	flow   Flow
	cookie flowcookie.Cookie
}

// arrivals stores when packets of flows arrived about which this instance cannot decide yet. An
// entry is removed when the flow is placed or reset, or has had no packet for flowIdle.
type arrivals map[arrivalKey]arrivalTimes

// arrivalTimes are the arrivals of the first and the last such packet.
type arrivalTimes struct{ first, last time.Time }

// record records a packet and returns the arrival of the first one of its flow; now for a
// flow that is not remembered because there are too many.
func (a arrivals) record(now time.Time, key arrivalKey) time.Time {
	times, known := a[key]
	if !known {
		if len(a) >= maxUnplaced {
			return now
		}
		times.first = now
	}
	times.last = now
	a[key] = times
	return times.first
}

func (a arrivals) remove(key arrivalKey) {
	if len(a) > 0 {
		delete(a, key)
	}
}

// beganAfter reports whether the first packet of a remembered flow arrived after a time.
func (a arrivals) beganAfter(key arrivalKey, at time.Time) bool {
	times, known := a[key]
	return known && times.first.After(at)
}

// expire removes the flows without a packet for flowIdle.
func (a arrivals) expire(now time.Time) {
	for key, times := range a {
		if now.Sub(times.last) >= flowIdle {
			delete(a, key)
		}
	}
}

// decideUnplaced decides on a packet of a flow that this instance cannot place. Another instance
// may have opened the flow with a state of the store that this one has not read yet, so that
// its packets wait until absent is set.
func (e *Engine) decideUnplaced(p *Packet, reason Reason, absent bool) Decision {
	if !absent || p.Reset {
		return Decision{Action: Wait, Reason: reason}
	}
	e.unplaced.remove(arrivalKey{p.Flow, p.Cookie})
	return e.resetFlow(p, reason, nil)
}

// absent reports whether this instance has checked the kinds in the store since the first packet
// arrived of a flow that it cannot place, so that what the flow needs does not exist.
func (e *Engine) absent(now time.Time, p *Packet, kinds ...catalog.Kind) bool {
	return e.CheckedSince(now, e.unplaced.record(now, arrivalKey{p.Flow, p.Cookie}), kinds...)
}

// cookieUnknown reports whether the cookie of a packet that resolve does not know belongs to
// no upstream that still runs. A cookie by id also rests on the services of the route.
func (e *Engine) cookieUnknown(now time.Time, p *Packet) bool {
	return e.absent(now, p, catalog.KindUpstreams, catalog.KindConfiguration)
}
