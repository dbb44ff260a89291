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

// Size of the simulated fleet's load and declarations.
const (
	// opensPerInstance is the number of new flows per second and instance:
	// docs/design.md 1.6 has 33,000 per second over 500 instances.
	opensPerInstance = 66
	// servicesPerTeam is the number of services that one platform object
	// declares.
	servicesPerTeam = 10
	costRunDomains  = 4
)

// Times of the runs that measure costs. fleetWarmUp and fleetWindow apply to
// fleets in which every instance runs a decision core, coreWarmUp and coreWindow
// to fleets with one decision core.
const (
	costRunSettleTime = 12 * time.Second
	// fleetWarmUp is the time of load before the first window, in which the
	// upstreams warm up and the digests of all members reach every member.
	fleetWarmUp      = 20 * time.Second
	fleetWindow      = 15 * time.Second
	allocationWindow = 2 * time.Second
	// A single decision core needs less time, because it has no other cores
	// to wait for. Its times are short, because at the target size a second of
	// virtual time takes several seconds to simulate.
	coreWarmUp      = 6 * time.Second
	coreWindow      = 4 * time.Second
	costRunLoadTime = 10 * time.Minute
)

// Size holds the numbers of instances, upstreams and services of a fleet.
type Size struct{ Instances, Upstreams, Services int }

// SizeError reports a size that cannot be parsed.
type SizeError struct{ Text string }

func (e *SizeError) Error() string {
	return fmt.Sprintf("size %q is not INSTANCES/UPSTREAMS/SERVICES with positive numbers", e.Text)
}

// ParseSizes parses a comma-separated list of INSTANCES/UPSTREAMS/SERVICES, such
// as 9/36/4,50/200/20. It returns a *SizeError for an item that does not consist
// of three positive numbers, and skips empty items.
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

// Slopes measures what each work category costs an instance in fleets of several
// sizes, and fits how each cost grows with the number of instances.
type Slopes struct {
	// Seed seeds every random source of the runs.
	Seed uint64
	// Out receives the result lines.
	Out io.Writer
	// Fleets are the sizes to measure with a decision core in every instance,
	// Cores those with a decision core in one instance only.
	Fleets, Cores []Size
	// EventLimit is the largest number of instances of a fleet in which the
	// one-off events are measured.
	EventLimit int

	// points holds the values of each series, by the number of instances.
	points map[series][]dataPoint
}

// Run measures all sizes and prints one line per work category and size, then
// the memory per entry and the fits. It returns the errors of NewWorld.
func (s *Slopes) Run() error {
	// The meters read the processor time of the current thread.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	s.points = map[series][]dataPoint{}
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
	s.printMemoryPerEntry()
	s.printFits()
	return nil
}

func slopeRunOptions(size Size, seed uint64) Options {
	teams := declaredTeams(size)
	var services []string
	for _, t := range teams {
		for _, service := range t.Services {
			services = append(services, service.Address.String())
		}
	}
	return Options{
		Policy: PolicyChivemast, Seed: seed, Instances: size.Instances, Domains: costRunDomains, Teams: teams,
		SettleTime: startSpread(size) + costRunSettleTime, StartSpread: startSpread(size),
		ServiceTime: 2 * time.Millisecond, ColdStart: upstream.ColdStart{Ramp: -1}, MeterCosts: true,
		DiscardHistory: true,
		Load: caller.Config{
			Services: services, Duration: costRunLoadTime, OpensPerSecond: float64(opensPerInstance * size.Instances),
			MaxFlows: 50_000_000, MaxPackets: 1_000_000_000, LongFlows: 100, QuietInterval: 15 * time.Second,
			FlowLifetime: 2 * time.Second, RequestsPerSecond: 0.25, DataPerSecond: 0.5, CancelShare: -1, LateCopyShare: -1,
		},
	}
}

// startSpread returns the time of one rotation of the heartbeats over all
// members.
func startSpread(size Size) time.Duration {
	return time.Duration(size.Instances) * time.Second / membership.DefaultFanout
}

// declaredTeams returns the declarations of the services and upstreams of a size.
func declaredTeams(size Size) []*declare.Team {
	var teams []*declare.Team
	declared := 0
	for n := range size.Services {
		if n%servicesPerTeam == 0 {
			teams = append(teams, &declare.Team{Name: fmt.Sprintf("team-%02d", n/servicesPerTeam)})
		}
		service := declare.Service{
			Name:    fmt.Sprintf("service-%03d", n),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 80),
			// The short idle timeout lets bucket transitions end within a run.
			IdleTimeoutSeconds: 20, MaxRequestTimeoutMS: 2000,
			ColdStart: declare.ColdStart{SustainableOpensPerSecond: 100, RampSeconds: 1},
		}
		for range (n+1)*size.Upstreams/size.Services - n*size.Upstreams/size.Services {
			service.Upstreams = append(service.Upstreams, declare.Upstream{
				Name:          fmt.Sprintf("u%04d", declared),
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(declared >> 8), byte(declared)}), 8080),
				FailureDomain: fmt.Sprintf("domain-%c", 'a'+declared%costRunDomains),
			})
			declared++
		}
		team := teams[len(teams)-1]
		team.Services = append(team.Services, service)
	}
	return teams
}

// costWindow holds the costs of each instance with a decision core in a window
// of virtual time.
type costWindow struct {
	start   time.Time
	seconds float64
	costs   []costsByCategory
	// peakMean is the busiest second of the mean of all instances, peakMax the
	// busiest second of any instance, in bytes sent and received.
	peakMean, peakMax float64
}

// measureCosts runs for a time and returns the costs of that time.
func (w *World) measureCosts(duration time.Duration) costWindow {
	initial := w.costsByInstance()
	window := costWindow{start: w.virtualNow, seconds: duration.Seconds()}
	before := initial
	for end := w.virtualNow.Add(duration); w.virtualNow.Before(end); {
		w.runUntil(w.virtualNow.Add(time.Second))
		after := w.costsByInstance()
		mean := 0.0
		for n := range after {
			bytes := float64(after[n].total().bytes() - before[n].total().bytes())
			mean += bytes / float64(len(after))
			window.peakMax = max(window.peakMax, bytes)
		}
		window.peakMean = max(window.peakMean, mean)
		before = after
	}
	for n := range before {
		window.costs = append(window.costs, before[n].since(initial[n]))
	}
	return window
}

func (w *World) costsByInstance() []costsByCategory {
	var costs []costsByCategory
	for _, i := range w.instances {
		if i.hasDecisionCore() {
			costs = append(costs, i.meter.costsByCategory)
		}
	}
	return costs
}

func (i *instance) hasDecisionCore() bool {
	return i.world.options.CoreCount == 0 || i.index < i.world.options.CoreCount
}

// setAllocationCounting switches the first instances, one per failure domain,
// between counting allocations and counting processor time. It returns their
// number.
func (w *World) setAllocationCounting(on bool) int {
	n := min(costRunDomains, len(w.costsByInstance()))
	for _, i := range w.instances[:n] {
		i.meter.countsAllocations = on
	}
	return n
}

// meanOfCategory returns the costs of a work category per instance and second.
func (w costWindow) meanOfCategory(category node.WorkCategory) map[string]float64 {
	var sum categoryCost
	for _, c := range w.costs {
		sum.add(c[category])
	}
	return w.perInstanceAndSecond(sum, float64(len(w.costs)))
}

func (w costWindow) perInstanceAndSecond(cost categoryCost, instances float64) map[string]float64 {
	instanceSeconds := w.seconds * instances
	return map[string]float64{
		"sent_bytes_per_second":        float64(cost.sentBytes) / instanceSeconds,
		"received_bytes_per_second":    float64(cost.receivedBytes) / instanceSeconds,
		"sent_messages_per_second":     float64(cost.sentMessages) / instanceSeconds,
		"received_messages_per_second": float64(cost.receivedMessages) / instanceSeconds,
		"processor_us_per_second":      float64(cost.processorTime.Microseconds()) / instanceSeconds,
		"platform_calls_per_second":    float64(cost.platformCalls) / instanceSeconds,
		"probes_per_second":            float64(cost.probes) / instanceSeconds,
	}
}

// totalOfCategories returns the costs of all work categories per instance and
// second, and the processor time per second of the busiest instance.
func (w costWindow) totalOfCategories() map[string]float64 {
	var sum categoryCost
	busiest := time.Duration(0)
	for _, c := range w.costs {
		t := c.total()
		sum.add(t)
		busiest = max(busiest, t.processorTime)
	}
	values := w.perInstanceAndSecond(sum, float64(len(w.costs)))
	values["busiest_processor_us_per_second"] = float64(busiest.Microseconds()) / w.seconds
	values["peak_bytes_per_second_mean"], values["peak_bytes_per_second_max"] = w.peakMean, w.peakMax
	return values
}
