package measure

import (
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/membership"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/standin/caller"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

// Load per instance: docs/design.md 1.6 has 33,000 new flows per second over
// 500 instances.
const (
	opensPerInstance = 66
	// servicesPerTeam is the size of one object of declarations.
	servicesPerTeam = 10
	slopeDomains    = 4
)

// Times of a slope run.
const (
	slopeSettle = 12 * time.Second
	// slopeWarmUp is the load before the first window, in which the upstreams
	// get warm and the digests of all members have gone round.
	slopeWarmUp     = 20 * time.Second
	steadyWindow    = 15 * time.Second
	allocatedWindow = 2 * time.Second
	// One core among stand-ins has no others to wait for; at the target size,
	// a second of virtual time takes several seconds.
	coreWarmUp    = 6 * time.Second
	coreWindow    = 4 * time.Second
	slopeDuration = 10 * time.Minute
)

// Size is the size of a fleet.
type Size struct{ Instances, Upstreams, Services int }

// SizeError says that a size cannot be parsed.
type SizeError struct{ Text string }

func (e *SizeError) Error() string {
	return fmt.Sprintf("size %q is not INSTANCES/UPSTREAMS/SERVICES with positive numbers", e.Text)
}

// ParseSizes parses a list such as 9/36/4,50/200/20. It fails with *SizeError.
func ParseSizes(text string) ([]Size, error) {
	var sizes []Size
	for _, one := range strings.Split(text, ",") {
		if one == "" {
			continue
		}
		var numbers []int
		for _, field := range strings.Split(one, "/") {
			n, err := strconv.Atoi(field)
			if err != nil || n < 1 {
				return nil, &SizeError{Text: one}
			}
			numbers = append(numbers, n)
		}
		if len(numbers) != 3 {
			return nil, &SizeError{Text: one}
		}
		sizes = append(sizes, Size{Instances: numbers[0], Upstreams: numbers[1], Services: numbers[2]})
	}
	return sizes, nil
}

func (s Size) String() string {
	return fmt.Sprintf("instances=%d upstreams=%d services=%d", s.Instances, s.Upstreams, s.Services)
}

// Slopes measures what the duties of an instance cost at several sizes.
type Slopes struct {
	Seed uint64
	Out  io.Writer
	// Fleets run a decision core in every instance, Cores in one of them.
	Fleets, Cores []Size
	// Events runs the one-off events in fleets of up to EventLimit instances.
	EventLimit int

	points map[series][]point
}

// Run prints one line per duty and size, and then the fits.
func (s *Slopes) Run() error {
	// The meters read the processor time of the thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	s.points = map[series][]point{}
	for _, size := range s.Cores {
		if err := s.runCore(size); err != nil {
			return err
		}
	}
	for _, size := range s.Fleets {
		if err := s.runFleet(size); err != nil {
			return err
		}
	}
	s.printEntries()
	s.printFits()
	return nil
}

func slopeOptions(size Size, seed uint64) Options {
	teams := slopeTeams(size)
	var services []string
	for _, t := range teams {
		for _, service := range t.Services {
			services = append(services, service.Address.String())
		}
	}
	return Options{
		Policy: PolicyChivemast, Seed: seed, Instances: size.Instances, Domains: slopeDomains, Teams: teams,
		Settle: startSpread(size) + slopeSettle, StartSpread: startSpread(size), ServiceTime: 2 * time.Millisecond, Cold: upstream.ColdStart{Ramp: -1}, Measured: true,
		DiscardHistory: true,
		Load: caller.Config{
			Services: services, Duration: slopeDuration, OpensPerSecond: float64(opensPerInstance * size.Instances),
			MaxFlows: 50_000_000, MaxPackets: 1_000_000_000, LongFlows: 100, QuietInterval: 15 * time.Second,
			FlowLifetime: 2 * time.Second, RequestsPerSecond: 0.25, DataPerSecond: 0.5, Cancel: -1, LateCopies: -1,
		},
	}
}

// startSpread is one rotation of the heartbeats.
func startSpread(size Size) time.Duration {
	return time.Duration(size.Instances) * time.Second / membership.DefaultFanout
}

// slopeTeams declares the services and upstreams of a size.
func slopeTeams(size Size) []*declare.Team {
	var teams []*declare.Team
	count := 0
	for n := range size.Services {
		if n%servicesPerTeam == 0 {
			teams = append(teams, &declare.Team{Name: fmt.Sprintf("team-%02d", n/servicesPerTeam)})
		}
		service := declare.Service{
			Name:    fmt.Sprintf("service-%03d", n),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 80),
			// The short idle timeout lets transitions end within a run.
			IdleTimeoutSeconds: 20, MaxRequestTimeoutMS: 2000,
			ColdStart: declare.ColdStart{SustainableOpensPerSecond: 100, RampSeconds: 1},
		}
		for range (n+1)*size.Upstreams/size.Services - n*size.Upstreams/size.Services {
			service.Upstreams = append(service.Upstreams, declare.Upstream{
				Name:          fmt.Sprintf("u%04d", count),
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(count >> 8), byte(count)}), 8080),
				FailureDomain: fmt.Sprintf("domain-%c", 'a'+count%slopeDomains),
			})
			count++
		}
		team := teams[len(teams)-1]
		team.Services = append(team.Services, service)
	}
	return teams
}

// period holds the costs of each instance within a time.
type period struct {
	start   time.Time
	seconds float64
	costs   []costs
	// peakMean is the busiest second of the mean instance, peakMax that of
	// any instance, in bytes sent and received.
	peakMean, peakMax float64
}

// measure runs for a time and returns its costs.
func (w *World) measure(d time.Duration) period {
	first := w.snapshotCosts()
	p := period{start: w.now, seconds: d.Seconds()}
	before := first
	for end := w.now.Add(d); w.now.Before(end); {
		w.runUntil(w.now.Add(time.Second))
		after := w.snapshotCosts()
		mean := 0.0
		for n := range after {
			bytes := float64(after[n].total().bytes() - before[n].total().bytes())
			mean += bytes / float64(len(after))
			p.peakMax = max(p.peakMax, bytes)
		}
		p.peakMean = max(p.peakMean, mean)
		before = after
	}
	for n := range before {
		p.costs = append(p.costs, before[n].since(first[n]))
	}
	return p
}

func (w *World) snapshotCosts() []costs {
	var out []costs
	for _, i := range w.instances {
		if i.isCore() {
			out = append(out, i.meter.costs)
		}
	}
	return out
}

func (i *instance) isCore() bool { return i.world.opt.Cores == 0 || i.index < i.world.opt.Cores }

// allocating switches the first instances, one per failure domain, to
// counting allocations.
func (w *World) allocating(on bool) int {
	n := min(slopeDomains, len(w.snapshotCosts()))
	for _, i := range w.instances[:n] {
		i.meter.allocating = on
	}
	return n
}

// mean returns the cost of a duty per instance and second.
func (p period) mean(d node.WorkCategory) map[string]float64 {
	var sum dutyCost
	for _, c := range p.costs {
		sum.add(c[d])
	}
	return p.rates(sum, float64(len(p.costs)))
}

func (p period) rates(sum dutyCost, instances float64) map[string]float64 {
	share := p.seconds * instances
	return map[string]float64{
		"sent_bytes_per_second":        float64(sum.sentBytes) / share,
		"received_bytes_per_second":    float64(sum.receivedBytes) / share,
		"sent_messages_per_second":     float64(sum.sentMessages) / share,
		"received_messages_per_second": float64(sum.receivedMessages) / share,
		"processor_us_per_second":      float64(sum.processor.Microseconds()) / share,
		"platform_calls_per_second":    float64(sum.calls) / share,
		"probes_per_second":            float64(sum.probes) / share,
	}
}

// total returns the cost of all duties per instance and second, and the
// processor time of the busiest instance.
func (p period) total() map[string]float64 {
	var sum dutyCost
	busiest := time.Duration(0)
	for _, c := range p.costs {
		t := c.total()
		sum.add(t)
		busiest = max(busiest, t.processor)
	}
	out := p.rates(sum, float64(len(p.costs)))
	out["busiest_processor_us_per_second"] = float64(busiest.Microseconds()) / p.seconds
	out["peak_bytes_per_second_mean"], out["peak_bytes_per_second_max"] = p.peakMean, p.peakMax
	return out
}
