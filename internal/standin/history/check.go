package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Options tells Run which faults were injected on purpose and which limits apply.
// A field with the zero value gets its default.
type Options struct {
	// Outages lists the upstreams that were stopped or taken out of service.
	// Restarts need no entry, because upstreams record them as boot events.
	Outages []Outage
	// DrainLimit is how long after the start of its drain an upstream may still
	// receive new flows. Default 8 s.
	DrainLimit time.Duration
	// TakeOutLimit is how long after the start of an Outage with TakenOut the
	// upstream may still receive packets. Default 8 s.
	TakeOutLimit time.Duration
	// Weights is the weight of each upstream, by name, by which its opens and
	// runs are divided for the imbalance. Default 100 each.
	Weights map[string]int
	// From (inclusive) and Until (exclusive) restrict the time for which
	// imbalance and served ratio are measured. Zero for no limit.
	From, Until time.Time
	// MaxImbalance is the maximum of Report.OpenImbalance and MinServed the
	// minimum of Report.Served (0 to 1) without a violation. 0 for no limit.
	MaxImbalance, MinServed float64
	// AllowOverload accepts overloads of cold upstreams, for runs that overload
	// them on purpose.
	AllowOverload bool
}

// Outage is a period in which an upstream was stopped or taken out of service on
// purpose. The flows established on it count as given up and not as broken.
type Outage struct {
	Upstream string
	From     time.Time
	// Until is zero if the upstream did not return.
	Until time.Time
	// TakenOut is set if the upstream kept running but must receive no packets.
	TakenOut bool
}

const (
	defaultDrainLimit   = 8 * time.Second
	defaultTakeOutLimit = 8 * time.Second
	defaultWeight       = 100
)

// Check is the name of a guarantee that is checked.
type Check string

// Guarantees of the load balancer that Run checks.
const (
	CheckBrokenFlow       Check = "broken_flow"
	CheckWrongService     Check = "wrong_service"
	CheckDoubleRun        Check = "double_run"
	CheckFalseNotRun      Check = "false_not_run"
	CheckMixed            Check = "mixed_answer"
	CheckTruncated        Check = "truncated_answer"
	CheckAnswerWithoutRun Check = "foreign_run"
	CheckColdOverload     Check = "cold_overload"
	CheckDrain            Check = "new_work_after_drain"
	CheckTakeOut          Check = "packet_after_takeout"
	CheckImbalance        Check = "imbalance"
	CheckServed           Check = "served_ratio"
)

// Violation is one violation of a guarantee. TimeUS is its time in microseconds
// since the Unix epoch, or 0 if it concerns the whole run.
type Violation struct {
	Check  Check
	TimeUS int64
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %d us: %s", v.Check, v.TimeUS, v.Detail)
}

// maxDetails is the maximum number of violations stored per check. All violations
// are counted.
const maxDetails = 20

// Report is the result of a check.
type Report struct {
	// ViolationCounts is the number of violations of each check that has any.
	ViolationCounts map[Check]int
	// Violations contains the first 20 violations of each check.
	Violations []Violation

	Flows, Established, OpenTimeouts int
	// GivenUp counts established flows that were misrouted or reset after their
	// upstream had restarted, been stopped or been taken out of service. They do
	// not count as broken.
	GivenUp int
	// Broken counts broken flows, each once. Misrouted counts the packets that
	// reached a wrong upstream and the resets of these flows.
	Broken, Misrouted int
	BrokenFlows       []BrokenFlow

	Requests, Answered, RequestTimeouts, Cancelled int
	// PartialAnswers counts request timeouts at which some parts of an answer had
	// arrived. They are no violation: the caller did not treat the parts as an
	// answer, and UDP may have lost the others.
	PartialAnswers int
	// Runs counts executions of requests. UpstreamRequests counts all attempts
	// that reached an upstream with a record of the flow, including refused
	// attempts.
	Runs, UpstreamRequests int
	// OpensRefused and RequestsRefused count the refusals that callers received,
	// by the lower-case name of the reason.
	OpensRefused, RequestsRefused map[string]int

	// OpenImbalance and RunImbalance are the weighted number of opens and runs of
	// the busiest upstream of a service divided by the mean of its upstreams, for
	// the service with the highest quotient. 0 without opens or runs.
	OpenImbalance, RunImbalance float64
	// Served is the share (0 to 1) of the opens and requests that were served.
	// Cancelled requests do not count. ServedBins contains the numbers for each
	// second in which any were sent.
	Served     float64
	ServedBins []ServedBin
	// LastAfterTakeOut is the longest time after the start of an Outage with
	// TakenOut at which the upstream still received a packet.
	LastAfterTakeOut time.Duration
	// LastOpenAfterDrain is the longest time after the start of a drain at which
	// the upstream still received a new flow.
	LastOpenAfterDrain time.Duration
}

// OK reports whether no check found a violation.
func (r *Report) OK() bool { return len(r.ViolationCounts) == 0 }

func (r *Report) addViolation(check Check, at int64, format string, args ...any) {
	r.ViolationCounts[check]++
	if r.ViolationCounts[check] <= maxDetails {
		r.Violations = append(r.Violations, Violation{Check: check, TimeUS: at, Detail: fmt.Sprintf(format, args...)})
	}
}

// BrokenFlow describes a flow that was misrouted or reset. EstablishedUS and
// BrokenUS are in microseconds since the Unix epoch; Upstream is the upstream on
// which the flow was established.
type BrokenFlow struct {
	Caller, Service string
	FlowID          uint64
	Upstream        string
	EstablishedUS   int64
	BrokenUS        int64
}

// flowID identifies a flow.
type flowID struct {
	caller, service string
	id              uint64
}

func (e *Event) flow() flowID { return flowID{e.Caller, e.Service, e.FlowID} }

// Run merges the histories of callers and upstreams by time and checks them. The
// clocks of the recording processes must be synchronised.
func Run(opt Options, histories ...[]Event) *Report {
	if opt.DrainLimit == 0 {
		opt.DrainLimit = defaultDrainLimit
	}
	if opt.TakeOutLimit == 0 {
		opt.TakeOutLimit = defaultTakeOutLimit
	}
	events := slices.Concat(histories...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.TimeUS, b.TimeUS) })
	r := &Report{ViolationCounts: map[Check]int{}, OpensRefused: map[string]int{}, RequestsRefused: map[string]int{}}
	countEvents(r, events)
	checkUpstreams(r, opt, events)
	checkFlows(r, opt, events)
	checkRequests(r, events)
	measureImbalance(r, opt, events)
	measureServed(r, opt, events)
	return r
}

func countEvents(r *Report, events []Event) {
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case CallerOpen:
			r.Flows++
		case CallerEstablished:
			r.Established++
		case CallerOpenTimeout:
			r.OpenTimeouts++
		case CallerOpenRefused:
			r.OpensRefused[reasonName(e)]++
		case CallerRequest:
			r.Requests++
		case CallerAnswer:
			r.Answered++
		case CallerRequestTimeout:
			r.RequestTimeouts++
			if e.Partial {
				r.PartialAnswers++
			}
		case CallerCancel:
			r.Cancelled++
		case CallerRequestRefused:
			r.RequestsRefused[reasonName(e)]++
		case UpstreamRun:
			r.Runs++
			r.UpstreamRequests++
		case UpstreamRefused:
			if e.PacketKind == pb.PacketKind_PACKET_KIND_REQUEST {
				r.UpstreamRequests++
			}
		case CallerMixed:
			r.addViolation(CheckMixed, e.TimeUS, "%s flow %d request %d", e.Caller, e.FlowID, e.RequestID)
		case CallerTruncated:
			r.addViolation(CheckTruncated, e.TimeUS, "%s flow %d request %d", e.Caller, e.FlowID, e.RequestID)
		case UpstreamWrongService:
			r.addViolation(CheckWrongService, e.TimeUS, "%s received a packet of service %s", e.Upstream, e.Service)
		}
	}
}
