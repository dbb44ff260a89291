package forward

import (
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// maxUnplaced is the maximum number of unplaced flows that are remembered, about 0.5 MB.
const maxUnplaced = 4096

// unplacedFlow is a flow whose packets can go nowhere as far as this instance knows.
type unplacedFlow struct {
	flow   Flow
	cookie flowcookie.Cookie
}

// unplacedFlows stores the unplaced flows. An entry is removed when the flow is placed or
// reset, or has had no packet for flowIdle.
type unplacedFlows map[unplacedFlow]unplacedTimes

// unplacedTimes are the arrivals of the first and the last packet that could not be placed.
type unplacedTimes struct{ first, last time.Time }

// record records a packet and returns the arrival of the first one of its flow; now for a
// flow that is not remembered because there are too many.
func (u unplacedFlows) record(now time.Time, p *Packet) time.Time {
	key := unplacedFlow{p.Flow, p.Cookie}
	times, known := u[key]
	if !known {
		if len(u) >= maxUnplaced {
			return now
		}
		times.first = now
	}
	times.last = now
	u[key] = times
	return times.first
}

// remove removes the flow of a packet.
func (u unplacedFlows) remove(p *Packet) {
	if len(u) > 0 {
		delete(u, unplacedFlow{p.Flow, p.Cookie})
	}
}

// expire removes the flows without a packet for flowIdle.
func (u unplacedFlows) expire(now time.Time) {
	for key, times := range u {
		if now.Sub(times.last) >= flowIdle {
			delete(u, key)
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
	e.unplaced.remove(p)
	return e.resetFlow(p, reason, nil)
}

// absent reports whether the store has confirmed the kinds since the first packet arrived of
// a flow that this instance cannot place, so that what the flow needs does not exist.
func (e *Engine) absent(now time.Time, p *Packet, kinds ...catalog.Kind) bool {
	since := e.unplaced.record(now, p)
	for _, kind := range kinds {
		if !e.snapshot.CheckedSince(kind, since) || (kind == catalog.KindUpstreams && !e.snapshot.Complete(now)) {
			return false
		}
	}
	return true
}

// cookieUnknown reports whether the cookie of a packet that resolve does not know belongs to
// no upstream that still runs. A cookie by id also rests on the services of the route.
func (e *Engine) cookieUnknown(now time.Time, p *Packet) bool {
	return e.absent(now, p, catalog.KindUpstreams, catalog.KindConfiguration)
}
