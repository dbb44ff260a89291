package measure

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/lease"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

// requestStudies returns the studies of requests and admission.
func requestStudies() []Study {
	once := []string{PolicyChivemast, PolicyNoFence, PolicyRendezvous}
	cold := []string{PolicyChivemast, PolicyStaticShare, PolicyRendezvous}
	return []Study{
		{Name: "requests_kill", Policies: once, Prepare: requestLoad, Script: killScript, Finish: finishKill},
		{Name: "requests_shutdown", Policies: once, Prepare: requestLoad, Script: func(w *World, _ *Figures) {
			w.At(8*time.Second, func() { w.Restart(4, nil) })
		}, Finish: finishPlanned},
		{Name: "requests_drain", Policies: once, Prepare: requestLoad, Script: func(w *World, _ *Figures) {
			w.At(8*time.Second, func() { w.Drain(0, 0, 2, true) })
		}, Finish: finishPlanned},
		{
			Name: "requests_overload", Policies: []string{PolicyChivemast, PolicyNoRetryBudget, PolicyRendezvous},
			Prepare: overload, Script: func(*World, *Figures) {}, Finish: finishOverload,
		},
		{Name: "cold_all", Policies: cold, Prepare: coldLoad(20), Script: coldScript(restartAllUpstreams, 10*time.Second), Finish: finishFigures},
		{Name: "cold_one", Policies: cold, Prepare: coldLoad(20), Script: coldScript(restartOne, 10*time.Second), Finish: finishFigures},
		{Name: "cold_small", Policies: cold, Prepare: coldLoad(4), Script: coldScript(restartOne, 10*time.Second), Finish: finishFigures},
		{Name: "cold_again", Policies: cold, Prepare: coldLoad(20), Script: coldScript(func(w *World) {
			w.servers[2].machine.TurnCold(w.now)
		}, 10*time.Second), Finish: finishFigures},
		{Name: "cold_platform_down", Policies: cold, Prepare: coldLoad(20), Script: coldScript(func(w *World) {
			w.store.SetDown(true)
			restartOne(w)
		}, 10*time.Second), Finish: finishFigures},
	}
}

// requestLoad is 1,000 requests per second, half of them not idempotent.
func requestLoad(opt *Options) {
	opt.Settle = 14 * time.Second
	l := &opt.Load
	l.Duration, l.OpensPerSecond, l.FlowLifetime, l.LongFlows = 20*time.Second, 150, 3*time.Second, 50
	l.RequestsPerSecond, l.DataPerSecond, l.RequestTimeout = 2, -1, 1800*time.Millisecond
}

// slotTable reads the lease slots without counting a call.
func (w *World) slotTable() *pb.SlotTable {
	table := &pb.SlotTable{}
	if o, _, err := w.store.Get(lease.Key); err == nil {
		_ = codec.Decode(o.GetValue(), table)
	}
	return table
}

// killScript kills an instance and notes what it had in flight and when the
// last of its slots has another holder.
func killScript(w *World, f *Figures) {
	const victim = 4
	slots := map[int]bool{}
	var inFlight int
	var killed, taken time.Time
	w.At(8*time.Second, func() {
		for slot, entry := range w.slotTable().GetSlots() {
			slots[slot] = entry.GetHolder() == w.instances[victim].name
		}
		if s, ok := w.instances[victim].core.(interface{ Summary() node.Summary }); ok {
			inFlight = s.Summary().InFlight
		}
		killed = w.now
		w.Kill(victim)
	})
	w.At(8*time.Second, func() {
		w.every(10*time.Millisecond, func() {
			for slot, entry := range w.slotTable().GetSlots() {
				if slots[slot] && entry.GetHolder() == w.instances[victim].name {
					taken = w.now
				}
			}
		})
	})
	f.finish = append(f.finish, func() {
		unknown, mustRefuse, requests := 0, 0, 0
		fence := taken.Add(5250*time.Millisecond + peerDelay)
		for _, e := range w.recorder.Events() {
			switch {
			case e.Kind == history.CallerRequestRefused && e.Reason == pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN:
				unknown++
			case e.Kind == history.CallerRequest:
				requests++
				key, err := flow.ParseKey(e.Caller, e.Service, e.FlowID)
				deadline := e.Time().Add(w.opt.Load.RequestTimeout)
				if err == nil && !e.Idempotent && slots[flow.Slot(key.Hash())] && deadline.After(killed) && deadline.Before(fence) {
					mustRefuse++
				}
			}
		}
		f.add("in_flight_when_killed", "%d", inFlight)
		f.add("successors_must_refuse", "%d", mustRefuse)
		if !taken.IsZero() {
			f.add("takeover_ms", "%d", taken.Sub(killed).Milliseconds())
		}
		f.add("outcome_unknown_ratio", "%.5f", float64(unknown)/float64(max(1, requests)))
		f.target("outcome_unknown", unknown <= inFlight+mustRefuse)
	})
}

// addRequests notes the figures that all studies of requests have.
func addRequests(r *history.Report, f *Figures) {
	f.add("requests", "%d", r.Requests)
	f.add("answered", "%d", r.Answered)
	f.add("timeouts", "%d", r.RequestTimeouts)
	for _, reason := range []string{"outcome_unknown", "no_lease", "shutting_down", "upstream_dead", "expired", "upstream_shed"} {
		if n := r.RequestsRefused[reason]; n > 0 {
			f.add("refused_"+reason, "%d", n)
		}
	}
	for _, check := range requestChecks {
		f.add(string(check), "%d", r.Counts[check])
		f.target(string(check), r.Counts[check] == 0)
	}
	for _, finish := range f.finish {
		finish()
	}
}

func finishKill(_ *World, r *history.Report, f *Figures) { addRequests(r, f) }

// finishPlanned expects that every request is answered, unless its caller
// gave it up.
func finishPlanned(w *World, r *history.Report, f *Figures) {
	addRequests(r, f)
	// A replaced instance is back after 3.6 s, so that the first 3 s show the
	// shutdown alone.
	first := 0
	for _, e := range w.recorder.Events() {
		at := e.Time().Sub(w.started) - 8*time.Second
		if e.Kind == history.CallerRequestRefused && at >= 0 && at < 3*time.Second {
			first++
		}
	}
	f.add("refused_in_first_3s", "%d", first)
	cutOff := r.Requests - r.Answered - r.Cancelled
	f.add("cut_off", "%d", cutOff)
	f.target("cut_off", cutOff == 0)
}

// overload offers twice what 18 upstreams with 2 slots sustain: 1,800 requests
// per second of 20 ms each. Callers do not retransmit, so that the
// amplification is that of the instances alone.
func overload(opt *Options) {
	requestLoad(opt)
	opt.ServiceTime = 20 * time.Millisecond
	l := &opt.Load
	l.OpensPerSecond, l.FlowLifetime, l.LongFlows = 300, 6*time.Second, -1
	l.NonIdempotent, l.Cancel, l.LateCopies, l.Retransmit = -1, -1, -1, 1800*time.Millisecond
}

func finishOverload(w *World, r *history.Report, f *Figures) {
	addRequests(r, f)
	const from, until = 8 * time.Second, 18 * time.Second
	offered, answered := 0, 0
	for _, e := range w.recorder.Events() {
		if at := e.Time().Sub(w.started); at < from || at >= until {
			continue
		}
		switch e.Kind {
		case history.CallerRequest:
			offered++
		case history.CallerAnswer:
			answered++
		}
	}
	capacity := float64(len(w.servers)) * 2 / w.opt.ServiceTime.Seconds() * (until - from).Seconds()
	f.add("offered_to_capacity", "%.3f", float64(offered)/capacity)
	f.add("goodput_to_capacity", "%.3f", float64(answered)/capacity)
	f.add("amplification", "%.3f", r.Amplification())
	f.target("goodput", float64(answered) >= 0.9*capacity)
	f.target("amplification", r.Amplification() <= 1.1)
}

// coldLoad offers each upstream about 100 opens per second while a cold one
// sustains fewer, rising to 16 times as many within a minute.
func coldLoad(sustainable int) func(opt *Options) {
	return func(opt *Options) {
		opt.Cold = upstream.ColdStart{
			OpensPerSecond: float64(sustainable), FullOpensPerSecond: 16 * float64(sustainable), Ramp: time.Minute,
		}
		opt.Load.Duration, opt.Load.FlowLifetime, opt.Load.DataPerSecond = 20*time.Second, time.Second, -1
		for n := range opt.Teams[0].Services {
			cold := &opt.Teams[0].Services[n].ColdStart
			cold.SustainableOpensPerSecond, cold.RampSeconds = sustainable, 60
		}
	}
}

func restartAllUpstreams(w *World) {
	for _, s := range w.servers {
		s.machine.Restart(w.now)
	}
}

func restartOne(w *World) { w.servers[2].machine.Restart(w.now) }
