package measure

import (
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/standin/history"
)

// PolicyStaticShare gives each instance a fixed share of what a cold upstream
// sustains; new flows beyond it are refused.
const PolicyStaticShare = "static_share"

// staticShare limits the OPENs of one instance to each upstream.
type staticShare struct {
	*baseline
	world     *World
	upstreams map[netip.AddrPort]*share
}

type share struct {
	bootID  uint64
	since   time.Time
	limiter *rate.Limiter
}

func (s *staticShare) HandlePacket(now time.Time, p *pb.Packet) []action.Action {
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil || p.GetKind() != pb.PacketKind_PACKET_KIND_OPEN {
		return s.baseline.HandlePacket(now, p)
	}
	if address, ok := s.place(key); ok && !s.share(now, address).AllowN(now, 1) {
		return nil
	}
	return s.baseline.HandlePacket(now, p)
}

// share returns the limiter of an upstream at its present place in the ramp.
func (s *staticShare) share(now time.Time, address netip.AddrPort) *rate.Limiter {
	u := s.upstreams[address]
	if u == nil {
		u = &share{since: now, limiter: rate.NewLimiter(0, 1)}
		s.upstreams[address] = u
	}
	cold := s.world.opt.Cold
	grown := min(1, now.Sub(u.since).Seconds()/cold.Ramp.Seconds())
	sustainable := cold.OpensPerSecond + grown*(cold.FullOpensPerSecond-cold.OpensPerSecond)
	u.limiter.SetLimitAt(now, rate.Limit(sustainable/float64(s.world.opt.Instances)))
	return u.limiter
}

func (s *staticShare) HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	if u := s.upstreams[source]; u != nil && p.GetBootId() != u.bootID {
		if u.bootID != 0 {
			u.since = now
		}
		u.bootID = p.GetBootId()
	}
	return s.baseline.HandleUpstream(now, p, source)
}

// coldScript makes upstreams cold and then looks at the load of those that
// booted then, or of the one that turned cold without a restart.
func coldScript(begin func(w *World), at time.Duration) func(w *World, f *Figures) {
	return func(w *World, f *Figures) {
		measured := w.servers[2:3]
		w.At(at, func() {
			boots := map[string]uint64{}
			for _, s := range w.servers {
				boots[s.name] = s.machine.BootID()
			}
			begin(w)
			restarted := slices.DeleteFunc(slices.Clone(w.servers), func(s *server) bool {
				return s.machine.BootID() == boots[s.name]
			})
			if len(restarted) > 0 {
				measured = restarted
			}
		})
		f.finish = append(f.finish, func() { finishCold(w, measured, at, f) })
	}
}

// finishCold compares the opens of each second with what the upstream
// sustains, for 5 s after it became cold.
func finishCold(w *World, measured []*server, at time.Duration, f *Figures) {
	const seconds = 5
	opened := map[string]*[seconds]float64{}
	for _, s := range measured {
		opened[s.name] = &[seconds]float64{}
	}
	overloads := 0
	for _, e := range w.recorder.Events() {
		counts := opened[e.Upstream]
		since := e.Time().Sub(w.started) - at
		if counts == nil || since < 0 {
			continue
		}
		switch {
		case e.Kind == history.UpstreamOverload:
			overloads++
		case e.Kind == history.UpstreamOpened && since < seconds*time.Second:
			counts[since/time.Second]++
		}
	}
	cold := w.opt.Cold
	growth := (cold.FullOpensPerSecond - cold.OpensPerSecond) / cold.Ramp.Seconds()
	lowest, peak := 1e9, 0.0
	for _, s := range measured {
		best := 0.0
		for n, count := range opened[s.name] {
			best = max(best, count/(cold.OpensPerSecond+growth*(float64(n)+0.5)))
		}
		lowest = min(lowest, best)
		peak = max(peak, s.machine.Stats().PeakColdRatio)
	}
	f.add("overloads", "%d", overloads)
	f.add("peak_cold_ratio", "%.3f", peak)
	f.add("used_within_5s", "%.3f", lowest)
	f.target("overload", overloads == 0)
	f.target("used_within_5s", lowest >= 0.8)
}

func finishFigures(_ *World, r *history.Report, f *Figures) {
	f.add("flows", "%d", r.Flows)
	f.add("established", "%d", r.Established)
	for _, finish := range f.finish {
		finish()
	}
}
