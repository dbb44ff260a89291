package history

import "math"

// life is what is known of an established flow.
type life struct {
	upstream string
	bootID   uint64
	// from and until bound the time in which the flow was established, in
	// microseconds.
	from, until int64
	// lostAt is when its upstream restarted or went away.
	lostAt int64
	// broken and givenUp hold a flow to one count each.
	broken, givenUp bool
}

// checkFlows finds established flows that reached an upstream that did not
// know them, or that changed their upstream.
func checkFlows(r *Report, opt Options, events []Event) {
	flows := lives(opt, events)
	for i := range events {
		e := &events[i]
		f := flows[e.flow()]
		if f == nil || e.TimeUS < f.from || e.TimeUS >= f.until {
			continue
		}
		switch e.Kind {
		case UpstreamUnknownFlow:
			r.suspect(f, e, "reached an upstream that does not know it")
		case CallerReset:
			r.suspect(f, e, "was reset")
		case UpstreamData, UpstreamRun, CallerDataEchoed, CallerAnswer:
			if e.Upstream != f.upstream || e.BootID != f.bootID {
				r.suspect(f, e, "changed its upstream")
			}
		}
	}
}

func (r *Report) suspect(f *life, e *Event, what string) {
	if e.TimeUS >= f.lostAt {
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
		Upstream: f.upstream, EstablishedUS: f.from, BrokenUS: e.TimeUS})
	r.violate(CheckBrokenFlow, e.TimeUS, "flow %d of %s to %s, established at %s boot %d, %s: %s boot %d, packet %s",
		e.FlowID, e.Caller, e.Service, f.upstream, f.bootID, what, e.Upstream, e.BootID, e.PacketKind)
}

// lives finds when and where each flow was established.
func lives(opt Options, events []Event) map[flowID]*life {
	flows := map[flowID]*life{}
	byUpstream := map[string][]*life{}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case CallerEstablished:
			f := &life{upstream: e.Upstream, bootID: e.BootID, from: e.TimeUS, until: math.MaxInt64, lostAt: math.MaxInt64}
			flows[e.flow()] = f
			byUpstream[e.Upstream] = append(byUpstream[e.Upstream], f)
		case CallerClose:
			if f := flows[e.flow()]; f != nil {
				f.until = min(f.until, e.TimeUS)
			}
		case UpstreamClosed:
			// The flow was over by its idle timeout, or by a CLOSE that the
			// caller's record precedes.
			if f := flows[e.flow()]; f != nil && f.upstream == e.Upstream && f.bootID == e.BootID {
				f.until = min(f.until, e.TimeUS)
			}
		case UpstreamBoot:
			for _, f := range byUpstream[e.Upstream] {
				if f.bootID != e.BootID {
					f.lostAt = min(f.lostAt, e.TimeUS)
				}
			}
			byUpstream[e.Upstream] = nil
		}
	}
	for _, o := range opt.Outages {
		for _, f := range flows {
			if f.upstream == o.Upstream && (o.Until.IsZero() || f.from < o.Until.UnixMicro()) {
				f.lostAt = min(f.lostAt, max(f.from, o.From.UnixMicro()))
			}
		}
	}
	return flows
}
