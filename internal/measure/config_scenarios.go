package measure

import (
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// configStudies returns the studies of the configuration and of the calls to
// the platform.
func configStudies() []Study {
	policies := []string{PolicyChivemast}
	return []Study{
		{Name: "config_platform_up", Policies: policies, Prepare: quiet(60 * time.Second), Script: func(w *World, f *Figures) {
			log := w.watchConfig(20 * time.Millisecond)
			w.changeEvery(time.Second, 50*time.Second)
			f.finish = append(f.finish, func() { w.finishConfig(f, log, time.Second) })
		}, Finish: finishFigures},
		{Name: "config_through_peers", Policies: policies, Prepare: quiet(60 * time.Second), Script: func(w *World, f *Figures) {
			w.At(0, func() {
				w.Cut(w.domainName(1), platformName)
				w.Cut(platformName, w.domainName(1))
			})
			log := w.watchConfig(20 * time.Millisecond)
			w.changeEvery(time.Second, 50*time.Second)
			f.finish = append(f.finish, func() { w.finishConfig(f, log, 3*time.Second) })
		}, Finish: finishFigures},
		{Name: "platform_calls", Policies: policies, Prepare: quiet(300 * time.Second), Script: func(w *World, f *Figures) {
			outage, back := 120*time.Second, 240*time.Second
			w.callsBetween(f, "steady", 30*time.Second, outage, 0.2)
			w.At(outage, func() { w.store.SetDown(true) })
			w.callsBetween(f, "outage", outage, back, 0)
			w.At(back, func() { w.store.SetDown(false) })
			w.callsBetween(f, "return_10s", back, back+10*time.Second, 0)
			w.callsBetween(f, "after", back+10*time.Second, back+50*time.Second, 0.2)
		}, Finish: finishFigures},
		{Name: "config_chaos", Policies: policies, Prepare: quiet(150 * time.Second), Script: chaosScript, Finish: finishFigures},
		{Name: "config_long_outage", Policies: policies, Prepare: longQuiet, Script: outageScript, Finish: finishFigures},
	}
}

// quiet is a run with almost no flows.
func quiet(d time.Duration) func(opt *Options) {
	return func(opt *Options) {
		opt.Load.Duration, opt.Load.OpensPerSecond, opt.Load.LongFlows, opt.Load.DataPerSecond = d, 1, -1, -1
		opt.Settle = 14 * time.Second
	}
}

func longQuiet(opt *Options) {
	quiet(2*time.Hour + 30*time.Second)(opt)
	opt.Load.OpensPerSecond = 0.02
}

// changeEvery changes a weight at an interval.
func (w *World) changeEvery(interval, until time.Duration) {
	for at := 2 * time.Second; at < until; at += interval {
		weight := 90 + int(at/interval)%20
		w.At(at, func() {
			if w.reachable() {
				w.Change(0, func(t *declare.Team) { t.Services[0].Upstreams[1].Weight = weight })
			}
		})
	}
}

// callsBetween measures the calls to the platform per instance and second. A
// limit of 0 is none.
func (w *World) callsBetween(f *Figures, name string, from, until time.Duration, limit float64) {
	var before uint64
	w.At(from, func() { before = w.control.platformCalls })
	w.At(until, func() {
		calls := float64(w.control.platformCalls-before) / (until - from).Seconds() / float64(w.opt.Instances)
		f.add("calls_per_second_"+name, "%.3f", calls)
		f.target("calls_"+name, limit == 0 || calls <= limit)
	})
}

// configLog notes what the instances had in force.
type configLog struct {
	adoptions []history.Adoption
	versions  map[string]map[string]uint64
	backwards int
}

// watchConfig looks at every instance at an interval. Versions of objects must
// not go back, also not across a restart once the instance is ready.
func (w *World) watchConfig(interval time.Duration) *configLog {
	log := &configLog{versions: map[string]map[string]uint64{}}
	w.every(interval, func() {
		for _, i := range w.instances {
			n, ok := i.core.(nodeCore)
			if !ok || !i.running || !n.Ready() {
				continue
			}
			log.adoptions = append(log.adoptions, history.Adoption{
				Instance: i.name, Incarnation: uint64(i.life), Revision: n.Revision(), TimeUS: w.now.UnixMicro(),
			})
			log.noteVersions(i.name, n)
		}
	})
	return log
}

func (l *configLog) noteVersions(name string, n nodeCore) {
	seen := l.versions[name]
	if seen == nil {
		seen = map[string]uint64{}
		l.versions[name] = seen
	}
	for _, o := range n.Status().GetObjects() {
		if o.GetVersion() < seen[o.GetKey()] {
			l.backwards++
		}
		seen[o.GetKey()] = max(seen[o.GetKey()], o.GetVersion())
	}
}
