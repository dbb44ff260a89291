package history

import "math"

// flowRecord describes an established flow.
type flowRecord struct {
	upstream string
	bootID   uint64
	// establishedUS and closedUS are the times, in microseconds since the Unix
	// epoch, from which and until which the flow was established.
	establishedUS, closedUS int64
	// upstreamLostUS is when the upstream of the flow restarted, stopped or was
	// taken out of service, in microseconds since the Unix epoch.
	upstreamLostUS int64
	// broken and givenUp are set once the flow has been counted as such, so that
	// it is counted only once.
	broken, givenUp bool
}

// checkFlows finds packets of established flows that reached an upstream without
// a record of the flow or another upstream or boot than the one that established
// it, and resets of established flows.
func checkFlows(r *Report, opt Options, events []Event) {
	flows := findEstablishedFlows(opt, events)
	for i := range events {
		e := &events[i]
		f := flows[e.flow()]
		if f == nil || e.TimeUS < f.establishedUS || e.TimeUS >= f.closedUS {
			continue
		}
		switch e.Kind {
		case UpstreamUnknownFlow:
			r.recordMisroute(f, e, "reached an upstream that has no record of it")
		case CallerReset:
			r.recordMisroute(f, e, "was reset")
		case UpstreamData, UpstreamRun, CallerDataEchoed, CallerAnswer:
			if e.Upstream != f.upstream || e.BootID != f.bootID {
				r.recordMisroute(f, e, "was moved to another upstream")
			}
		}
	}
}

func (r *Report) recordMisroute(f *flowRecord, e *Event, description string) {
	if e.TimeUS >= f.upstreamLostUS {
		if !f.givenUp {
			f.givenUp = true
			r.GivenUp++
		}
		return
	}
	r.Misrouted++
	if f.broken {
		return
	}
	f.broken = true
	r.Broken++
	r.BrokenFlows = append(r.BrokenFlows, BrokenFlow{Caller: e.Caller, Service: e.Service, FlowID: e.FlowID,
		Upstream: f.upstream, EstablishedUS: f.establishedUS, BrokenUS: e.TimeUS})
	r.addViolation(CheckBrokenFlow, e.TimeUS, "flow %d of %s to %s, established at %s boot %d, %s: %s boot %d, packet %s",
		e.FlowID, e.Caller, e.Service, f.upstream, f.bootID, description, e.Upstream, e.BootID, e.PacketKind)
}

// findEstablishedFlows returns, for each established flow, its upstream and boot
// and the times at which it was established and closed and its upstream was lost.
func findEstablishedFlows(opt Options, events []Event) map[flowID]*flowRecord {
	flows := map[flowID]*flowRecord{}
	byUpstream := map[string][]*flowRecord{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case CallerEstablished:
			f := &flowRecord{upstream: e.Upstream, bootID: e.BootID,
				establishedUS: e.TimeUS, closedUS: math.MaxInt64, upstreamLostUS: math.MaxInt64}
			flows[e.flow()] = f
			byUpstream[e.Upstream] = append(byUpstream[e.Upstream], f)
		case CallerClose:
			if f := flows[e.flow()]; f != nil {
				f.closedUS = min(f.closedUS, e.TimeUS)
			}
		case UpstreamClosed:
			// The upstream removed the flow after its idle timeout or because of a
			// CLOSE, which the caller has recorded earlier.
			if f := flows[e.flow()]; f != nil && f.upstream == e.Upstream && f.bootID == e.BootID {
				f.closedUS = min(f.closedUS, e.TimeUS)
			}
		case UpstreamBoot:
			for _, f := range byUpstream[e.Upstream] {
				if f.bootID != e.BootID {
					f.upstreamLostUS = min(f.upstreamLostUS, e.TimeUS)
				}
			}
			byUpstream[e.Upstream] = nil
		}
	}
	for _, o := range opt.Outages {
		for _, f := range flows {
			if f.upstream == o.Upstream && (o.Until.IsZero() || f.establishedUS < o.Until.UnixMicro()) {
				f.upstreamLostUS = min(f.upstreamLostUS, max(f.establishedUS, o.From.UnixMicro()))
			}
		}
	}
	return flows
}
