package history

import (
	"time"
)

// checkUpstreams checks that cold upstreams are not overloaded, and that draining
// upstreams receive no new flows after Options.DrainLimit and upstreams taken out
// of service receive no packets after Options.TakeOutLimit.
func checkUpstreams(r *Report, opt Options, events []Event) {
	drainStartUS := map[string]int64{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case UpstreamOverload:
			if !opt.AllowOverload {
				r.addViolation(CheckColdOverload, e.TimeUS, "%s received more OPENs during its cold start than it can sustain",
					e.Upstream)
			}
		case UpstreamBoot:
			delete(drainStartUS, e.Upstream)
		case UpstreamDrain:
			drainStartUS[e.Upstream] = e.TimeUS
		case UpstreamOpened:
			since, drained := drainStartUS[e.Upstream]
			if !drained || !e.Draining {
				break
			}
			after := time.Duration(e.TimeUS-since) * time.Microsecond
			r.LastOpenAfterDrain = max(r.LastOpenAfterDrain, after)
			if after > opt.DrainLimit {
				r.addViolation(CheckDrain, e.TimeUS, "%s received a new flow %v after the start of its drain", e.Upstream, after)
			}
		}
		if isPacketArrival(e) {
			checkTakeOut(r, opt, e)
		}
	}
}

// isPacketArrival reports whether an upstream recorded the event because a packet
// arrived.
func isPacketArrival(e *Event) bool {
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
			r.addViolation(CheckTakeOut, e.TimeUS, "%s received a packet %v after it was taken out of service",
				e.Upstream, after)
		}
	}
}

func (o Outage) covers(t time.Time) bool {
	return !t.Before(o.From) && (o.Until.IsZero() || t.Before(o.Until))
}
