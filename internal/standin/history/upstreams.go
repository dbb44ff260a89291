package history

import (
	"time"
)

// checkUpstreams checks what upstreams in a drain, a cold start or an outage
// received.
func checkUpstreams(r *Report, opt Options, events []Event) {
	drains := map[string]int64{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case UpstreamOverload:
			if !opt.AllowOverload {
				r.violate(CheckColdOverload, e.TimeUS, "%s fell over", e.Upstream)
			}
		case UpstreamBoot:
			delete(drains, e.Upstream)
		case UpstreamDrain:
			drains[e.Upstream] = e.TimeUS
		case UpstreamOpened:
			since, drained := drains[e.Upstream]
			if !drained || !e.Draining {
				break
			}
			after := time.Duration(e.TimeUS-since) * time.Microsecond
			r.LastOpenAfterDrain = max(r.LastOpenAfterDrain, after)
			if after > opt.DrainLimit {
				r.violate(CheckDrain, e.TimeUS, "%s got a new flow %v after its drain began", e.Upstream, after)
			}
		}
		if isPacket(e) {
			checkTakeOut(r, opt, e)
		}
	}
}

// isPacket tells whether an event of an upstream means that a packet arrived.
func isPacket(e *Event) bool {
	switch e.Kind {
	case UpstreamOpened, UpstreamData, UpstreamRun, UpstreamRefused, UpstreamUnknownFlow, UpstreamWrongService:
		return true
	case UpstreamClosed:
		return e.PacketKind != 0
	}
	return false
}

func checkTakeOut(r *Report, opt Options, e *Event) {
	for _, o := range opt.Outages {
		if !o.TakenOut || o.Upstream != e.Upstream || !o.covers(e.received()) {
			continue
		}
		after := e.received().Sub(o.From)
		r.LastAfterTakeOut = max(r.LastAfterTakeOut, after)
		if after > opt.TakeOutLimit {
			r.violate(CheckTakeOut, e.TimeUS, "%s got a packet %v after it was taken out", e.Upstream, after)
		}
	}
}

func (o Outage) covers(t time.Time) bool {
	return !t.Before(o.From) && (o.Until.IsZero() || t.Before(o.Until))
}
