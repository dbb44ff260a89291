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

// requestStudies returns the studies of requests, overload and cold upstreams.
func requestStudies() []Study {
	requestPolicies := []string{PolicyChivemast, PolicyNoFence, PolicyRendezvous}
	coldPolicies := []string{PolicyChivemast, PolicyStaticShare, PolicyRendezvous}
	return []Study{
		{Name: "requests_kill", Policies: requestPolicies, Prepare: loadRequests, Script: killScript, Finish: recordKillFigures},
		{Name: "requests_shutdown", Policies: requestPolicies, Prepare: loadRequests, Script: func(w *World, _ *StudyResult) {
			w.At(8*time.Second, func() { w.RestartInstance(4, nil) })
		}, Finish: recordPlannedChangeFigures},
		{Name: "requests_drain", Policies: requestPolicies, Prepare: loadRequests, Script: func(w *World, _ *StudyResult) {
			w.At(8*time.Second, func() { w.SetUpstreamDraining(0, 0, 2, true) })
		}, Finish: recordPlannedChangeFigures},
		{
			Name: "requests_overload", Policies: []string{PolicyChivemast, PolicyNoRetryBudget, PolicyRendezvous},
			Prepare: overloadRequests, Script: func(*World, *StudyResult) {}, Finish: recordOverloadFigures,
		},
		{
			Name: "cold_all", Policies: coldPolicies, Prepare: loadColdUpstreams(20),
			Script: coldStartScript(restartAllUpstreams, 10*time.Second), Finish: recordFlowFigures,
		},
		{
			Name: "cold_one", Policies: coldPolicies, Prepare: loadColdUpstreams(20),
			Script: coldStartScript(restartOneUpstream, 10*time.Second), Finish: recordFlowFigures,
		},
		{
			Name: "cold_small", Policies: coldPolicies, Prepare: loadColdUpstreams(4),
			Script: coldStartScript(restartOneUpstream, 10*time.Second), Finish: recordFlowFigures,
		},
		{Name: "cold_again", Policies: coldPolicies, Prepare: loadColdUpstreams(20), Script: coldStartScript(func(w *World) {
			w.upstreamServers[2].machine.StartColdStart(w.virtualNow)
		}, 10*time.Second), Finish: recordFlowFigures},
		{Name: "cold_platform_down", Policies: coldPolicies, Prepare: loadColdUpstreams(20), Script: coldStartScript(func(w *World) {
			w.store.SetDown(true)
			restartOneUpstream(w)
		}, 10*time.Second), Finish: recordFlowFigures},
	}
}

// loadRequests sets a load of 1,000 requests per second, half of them not
// idempotent.
func loadRequests(opt *Options) {
	opt.SettleTime = 14 * time.Second
	l := &opt.Load
	l.Duration, l.OpensPerSecond, l.FlowLifetime, l.LongFlows = 20*time.Second, 150, 3*time.Second, 50
	l.RequestsPerSecond, l.DataPerSecond, l.RequestTimeout = 2, -1, 1800*time.Millisecond
}

// slotTable returns the lease slots that the platform holds. The read does not
// count as a platform call. The table is empty if the platform is down.
func (w *World) slotTable() *pb.SlotTable {
	table := &pb.SlotTable{}
	if o, _, err := w.store.Get(lease.Key); err == nil {
		_ = codec.Decode(o.GetValue(), table)
	}
	return table
}

// killScript kills an instance after 8 s of load, and records its requests in
// flight and the time until the last of its slots has another holder. The
// target is that no more requests end with an unknown outcome than were in
// flight or have to be refused by the new holders of its slots.
func killScript(w *World, figures *StudyResult) {
	const killedIndex = 4
	slotsOfKilled := map[int]bool{}
	var inFlight int
	var killed, lastHeld time.Time
	w.At(8*time.Second, func() {
		for slot, entry := range w.slotTable().GetSlots() {
			slotsOfKilled[slot] = entry.GetHolder() == w.instances[killedIndex].name
		}
		if s, ok := w.instances[killedIndex].core.(interface{ Summary() node.Summary }); ok {
			inFlight = s.Summary().InFlight
		}
		killed = w.virtualNow
		w.KillInstance(killedIndex)
	})
	w.At(8*time.Second, func() {
		w.runEvery(10*time.Millisecond, func() {
			for slot, entry := range w.slotTable().GetSlots() {
				if slotsOfKilled[slot] && entry.GetHolder() == w.instances[killedIndex].name {
					lastHeld = w.virtualNow
				}
			}
		})
	})
	figures.finishers = append(figures.finishers, func() {
		unknown, mustRefuse, requests := 0, 0, 0
		fence := lastHeld.Add(5250*time.Millisecond + domainNetworkDelay)
		for _, e := range w.recorder.Events() {
			switch {
			case e.Kind == history.CallerRequestRefused && e.Reason == pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN:
				unknown++
			case e.Kind == history.CallerRequest:
				requests++
				key, err := flow.ParseKey(e.Caller, e.Service, e.FlowID)
				deadline := e.Time().Add(w.options.Load.RequestTimeout)
				if err == nil && !e.Idempotent && slotsOfKilled[flow.Slot(key.Hash())] && deadline.After(killed) && deadline.Before(fence) {
					mustRefuse++
				}
			}
		}
		figures.addField("in_flight_when_killed", "%d", inFlight)
		figures.addField("successors_must_refuse", "%d", mustRefuse)
		if !lastHeld.IsZero() {
			figures.addField("takeover_ms", "%d", lastHeld.Sub(killed).Milliseconds())
		}
		figures.addField("outcome_unknown_ratio", "%.5f", float64(unknown)/float64(max(1, requests)))
		figures.checkTarget("outcome_unknown", unknown <= inFlight+mustRefuse)
	})
}

// recordRequestFigures records the figures that all studies of requests have, and
// runs the finishers of the script.
func recordRequestFigures(r *history.Report, figures *StudyResult) {
	figures.addField("requests", "%d", r.Requests)
	figures.addField("answered", "%d", r.Answered)
	figures.addField("timeouts", "%d", r.RequestTimeouts)
	for _, reason := range []string{"outcome_unknown", "no_lease", "shutting_down", "upstream_dead", "expired", "upstream_shed"} {
		if n := r.RequestsRefused[reason]; n > 0 {
			figures.addField("refused_"+reason, "%d", n)
		}
	}
	for _, check := range requestChecks {
		figures.addField(string(check), "%d", r.ViolationCounts[check])
		figures.checkTarget(string(check), r.ViolationCounts[check] == 0)
	}
	for _, finish := range figures.finishers {
		finish()
	}
}

func recordKillFigures(_ *World, r *history.Report, figures *StudyResult) {
	recordRequestFigures(r, figures)
}

// recordPlannedChangeFigures checks that every request was answered or cancelled by its
// caller.
func recordPlannedChangeFigures(w *World, r *history.Report, figures *StudyResult) {
	recordRequestFigures(r, figures)
	// A replaced instance is back after 3.6 s, so the refusals of the first 3 s
	// come from the shutdown alone.
	refusedAtShutdown := 0
	for _, e := range w.recorder.Events() {
		at := e.Time().Sub(w.loadStart) - 8*time.Second
		if e.Kind == history.CallerRequestRefused && at >= 0 && at < 3*time.Second {
			refusedAtShutdown++
		}
	}
	figures.addField("refused_in_first_3s", "%d", refusedAtShutdown)
	unanswered := r.Requests - r.Answered - r.Cancelled
	figures.addField("cut_off", "%d", unanswered)
	figures.checkTarget("cut_off", unanswered == 0)
}

// overloadRequests sets a load of twice what the upstreams sustain: 18 upstreams
// that each work on 2 requests of 20 ms at a time sustain 1,800 requests per
// second. Callers do not retransmit, so only the instances cause amplification.
func overloadRequests(opt *Options) {
	loadRequests(opt)
	opt.ServiceTime = 20 * time.Millisecond
	l := &opt.Load
	l.OpensPerSecond, l.FlowLifetime, l.LongFlows = 300, 6*time.Second, -1
	l.NonIdempotentShare, l.CancelShare, l.LateCopyShare, l.Retransmit = -1, -1, -1, 1800*time.Millisecond
}

func recordOverloadFigures(w *World, r *history.Report, figures *StudyResult) {
	recordRequestFigures(r, figures)
	const from, until = 8 * time.Second, 18 * time.Second
	offered, answered := 0, 0
	for _, e := range w.recorder.Events() {
		if at := e.Time().Sub(w.loadStart); at < from || at >= until {
			continue
		}
		switch e.Kind {
		case history.CallerRequest:
			offered++
		case history.CallerAnswer:
			answered++
		}
	}
	capacity := float64(len(w.upstreamServers)) * 2 / w.options.ServiceTime.Seconds() * (until - from).Seconds()
	figures.addField("offered_to_capacity", "%.3f", float64(offered)/capacity)
	figures.addField("goodput_to_capacity", "%.3f", float64(answered)/capacity)
	figures.addField("amplification", "%.3f", r.Amplification())
	figures.checkTarget("goodput", float64(answered) >= 0.9*capacity)
	figures.checkTarget("amplification", r.Amplification() <= 1.1)
}

// loadColdUpstreams returns a Prepare function for a load of about 100 new flows
// per second to each upstream. A cold upstream sustains the given number per
// second, rising to 16 times as many within a minute.
func loadColdUpstreams(sustainable int) func(opt *Options) {
	return func(opt *Options) {
		opt.ColdStart = upstream.ColdStart{
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
	for _, s := range w.upstreamServers {
		s.machine.Restart(w.virtualNow)
	}
}

func restartOneUpstream(w *World) { w.upstreamServers[2].machine.Restart(w.virtualNow) }
