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

// PolicyStaticShare is PolicyRendezvous with a rate limit: each instance may
// open an equal share of the new flows per second that an upstream sustains
// while it warms up. It drops the OPEN packets above that rate.
const PolicyStaticShare = "static_share"

// staticShare limits the rate of OPEN packets from one instance to each
// upstream.
type staticShare struct {
	*baseline
	world     *World
	upstreams map[netip.AddrPort]*upstreamShare
}

// upstreamShare is the share of an instance in what one upstream sustains.
type upstreamShare struct {
	// bootID is the boot ID in the last packet of the upstream; 0 before the
	// first packet.
	bootID uint64
	// coldSince is the time of the first flow to the upstream, or of its last
	// restart seen.
	coldSince time.Time
	// limiter admits OPEN packets to the upstream.
	limiter *rate.Limiter
}

func (s *staticShare) HandlePacket(now time.Time, p *pb.Packet) []action.Action {
	key, err := flow.ParseKey(p.GetCaller(), p.GetService(), p.GetFlowId())
	if err != nil || p.GetKind() != pb.PacketKind_PACKET_KIND_OPEN {
		return s.baseline.HandlePacket(now, p)
	}
	if address, ok := s.chooseUpstream(key); ok && !s.limiterFor(now, address).AllowN(now, 1) {
		return nil
	}
	return s.baseline.HandlePacket(now, p)
}

// limiterFor returns the limiter of an upstream, set to the instance's share of
// what the upstream sustains at this point of its ramp.
func (s *staticShare) limiterFor(now time.Time, address netip.AddrPort) *rate.Limiter {
	limit := s.upstreams[address]
	if limit == nil {
		limit = &upstreamShare{coldSince: now, limiter: rate.NewLimiter(0, 1)}
		s.upstreams[address] = limit
	}
	coldStart := s.world.options.ColdStart
	rampFraction := min(1, now.Sub(limit.coldSince).Seconds()/coldStart.Ramp.Seconds())
	sustainable := coldStart.OpensPerSecond + rampFraction*(coldStart.FullOpensPerSecond-coldStart.OpensPerSecond)
	limit.limiter.SetLimitAt(now, rate.Limit(sustainable/float64(s.world.options.Instances)))
	return limit.limiter
}

func (s *staticShare) HandleUpstream(now time.Time, p *pb.Packet, source netip.AddrPort) []action.Action {
	if limit := s.upstreams[source]; limit != nil && p.GetBootId() != limit.bootID {
		if limit.bootID != 0 {
			limit.coldSince = now
		}
		limit.bootID = p.GetBootId()
	}
	return s.baseline.HandleUpstream(now, p, source)
}

// coldStartScript makes upstreams cold at a time of load. It measures the
// upstreams that makeCold restarted, or the third upstream if it restarted none.
func coldStartScript(makeCold func(w *World), at time.Duration) func(w *World, f *StudyResult) {
	return func(w *World, f *StudyResult) {
		measured := w.upstreamServers[2:3]
		w.At(at, func() {
			bootIDs := map[string]uint64{}
			for _, s := range w.upstreamServers {
				bootIDs[s.name] = s.machine.BootID()
			}
			makeCold(w)
			restarted := slices.DeleteFunc(slices.Clone(w.upstreamServers), func(s *upstreamServer) bool {
				return s.machine.BootID() == bootIDs[s.name]
			})
			if len(restarted) > 0 {
				measured = restarted
			}
		})
		f.finishers = append(f.finishers, func() { recordColdStartFigures(w, measured, at, f) })
	}
}

// recordColdStartFigures compares the flows that each measured upstream opened in each
// of the first 5 s after it became cold with what it sustains in that second. No
// upstream may be overloaded, and each has to use 80% of its capacity in at
// least one of these seconds.
func recordColdStartFigures(w *World, measured []*upstreamServer, at time.Duration, figures *StudyResult) {
	const seconds = 5
	opened := map[string]*[seconds]float64{}
	for _, s := range measured {
		opened[s.name] = &[seconds]float64{}
	}
	overloads := 0
	for _, e := range w.recorder.Events() {
		counts := opened[e.Upstream]
		since := e.Time().Sub(w.loadStart) - at
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
	cold := w.options.ColdStart
	growthPerSecond := (cold.FullOpensPerSecond - cold.OpensPerSecond) / cold.Ramp.Seconds()
	lowestRatio, peakColdRatio := 1e9, 0.0
	for _, s := range measured {
		bestRatio := 0.0
		for n, count := range opened[s.name] {
			bestRatio = max(bestRatio, count/(cold.OpensPerSecond+growthPerSecond*(float64(n)+0.5)))
		}
		lowestRatio = min(lowestRatio, bestRatio)
		peakColdRatio = max(peakColdRatio, s.machine.Stats().PeakColdRatio)
	}
	figures.addField("overloads", "%d", overloads)
	figures.addField("peak_cold_ratio", "%.3f", peakColdRatio)
	figures.addField("used_within_5s", "%.3f", lowestRatio)
	figures.checkTarget("overload", overloads == 0)
	figures.checkTarget("used_within_5s", lowestRatio >= 0.8)
}

// recordFlowFigures records the numbers of flows and runs the finishers of the
// script.
func recordFlowFigures(_ *World, r *history.Report, figures *StudyResult) {
	figures.addField("flows", "%d", r.Flows)
	figures.addField("established", "%d", r.Established)
	for _, finish := range figures.finishers {
		finish()
	}
}
