package measure

import (
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// configStudies returns the studies of how fast configuration changes are in
// force and of the rate of calls to the platform.
func configStudies() []Study {
	policies := []string{PolicyChivemast}
	return []Study{
		{Name: "config_platform_up", Policies: policies, Prepare: lowLoad(60 * time.Second),
			Script: func(w *World, f *StudyResult) {
				seen := w.recordConfigEvery(20 * time.Millisecond)
				w.changeWeightEvery(time.Second, 50*time.Second)
				f.finishers = append(f.finishers, func() { w.recordConfigFigures(f, seen, time.Second) })
			}, Finish: recordFlowFigures},
		{Name: "config_through_peers", Policies: policies, Prepare: lowLoad(60 * time.Second),
			Script: func(w *World, f *StudyResult) {
				w.At(0, func() {
					w.CutDirection(w.domainName(1), platformEndpoint)
					w.CutDirection(platformEndpoint, w.domainName(1))
				})
				seen := w.recordConfigEvery(20 * time.Millisecond)
				w.changeWeightEvery(time.Second, 50*time.Second)
				f.finishers = append(f.finishers, func() { w.recordConfigFigures(f, seen, 3*time.Second) })
			}, Finish: recordFlowFigures},
		{Name: "platform_calls", Policies: policies, Prepare: lowLoad(300 * time.Second),
			Script: func(w *World, f *StudyResult) {
				outage, back := 120*time.Second, 240*time.Second
				w.recordPlatformCalls(f, "steady", 30*time.Second, outage, 0.2)
				w.At(outage, func() { w.store.SetDown(true) })
				w.recordPlatformCalls(f, "outage", outage, back, 0)
				w.At(back, func() { w.store.SetDown(false) })
				w.recordPlatformCalls(f, "return_10s", back, back+10*time.Second, 0)
				w.recordPlatformCalls(f, "after", back+10*time.Second, back+50*time.Second, 0.2)
			}, Finish: recordFlowFigures},
		{Name: "config_chaos", Policies: policies, Prepare: lowLoad(150 * time.Second), Script: configFaultsScript, Finish: recordFlowFigures},
		{Name: "config_long_outage", Policies: policies, Prepare: longLowLoad, Script: longOutageScript, Finish: recordFlowFigures},
	}
}

// lowLoad returns a Prepare function for a run with almost no flows.
func lowLoad(duration time.Duration) func(opt *Options) {
	return func(opt *Options) {
		opt.Load.Duration, opt.Load.OpensPerSecond, opt.Load.LongFlows, opt.Load.DataPerSecond = duration, 1, -1, -1
		opt.SettleTime = 14 * time.Second
	}
}

func longLowLoad(opt *Options) {
	lowLoad(2*time.Hour + 30*time.Second)(opt)
	opt.Load.OpensPerSecond = 0.02
}

// changeWeightEvery changes the weight of an upstream at an interval while the
// platform is reachable.
func (w *World) changeWeightEvery(interval, until time.Duration) {
	for at := 2 * time.Second; at < until; at += interval {
		weight := 90 + int(at/interval)%20
		w.At(at, func() {
			if w.platformReachable() {
				w.ChangeTeam(0, func(t *declare.Team) { t.Services[0].Upstreams[1].Weight = weight })
			}
		})
	}
}

// recordPlatformCalls records the calls to the platform per instance and second
// between two times of load, and checks them against a limit. A limit of 0 means
// no limit.
func (w *World) recordPlatformCalls(figures *StudyResult, name string, from, until time.Duration, limit float64) {
	var callsBefore uint64
	w.At(from, func() { callsBefore = w.controlTotals.platformCalls })
	w.At(until, func() {
		calls := float64(w.controlTotals.platformCalls-callsBefore) / (until - from).Seconds() / float64(w.options.Instances)
		figures.addField("calls_per_second_"+name, "%.3f", calls)
		figures.checkTarget("calls_"+name, limit == 0 || calls <= limit)
	})
}

// configHistory records what the instances had in force during a run.
type configHistory struct {
	// adoptions holds the revision of each ready instance at each observation.
	adoptions []history.Adoption
	// versions holds the highest version observed, by instance and object key.
	versions map[string]map[string]uint64
	// versionsBackwards counts the observations of a lower version than before.
	versionsBackwards int
}

// recordConfigEvery records, at an interval, the revision and the object
// versions that each ready instance has in force. Versions must not decrease,
// also not after a restart once the instance is ready again.
func (w *World) recordConfigEvery(interval time.Duration) *configHistory {
	seen := &configHistory{versions: map[string]map[string]uint64{}}
	w.runEvery(interval, func() {
		for _, i := range w.instances {
			reporter, ok := i.core.(configReporter)
			if !ok || !i.running || !reporter.Ready() {
				continue
			}
			seen.adoptions = append(seen.adoptions, history.Adoption{
				Instance: i.name, Incarnation: uint64(i.generation), Revision: reporter.Revision(), TimeUS: w.virtualNow.UnixMicro(),
			})
			seen.recordVersions(i.name, reporter)
		}
	})
	return seen
}

func (recorded *configHistory) recordVersions(name string, reporter configReporter) {
	seen := recorded.versions[name]
	if seen == nil {
		seen = map[string]uint64{}
		recorded.versions[name] = seen
	}
	for _, o := range reporter.Status().GetObjects() {
		if o.GetVersion() < seen[o.GetKey()] {
			recorded.versionsBackwards++
		}
		seen[o.GetKey()] = max(seen[o.GetKey()], o.GetVersion())
	}
}
