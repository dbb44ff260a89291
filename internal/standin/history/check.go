package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Options tell the checker what was done to the system. Zero values take the
// defaults.
type Options struct {
	// Outages lists upstreams that were stopped or taken out. Restarts need
	// no entry, as a boot event shows them.
	Outages []Outage
	// DrainLimit is how long a draining upstream may still receive new work.
	// Default 8 s.
	DrainLimit time.Duration
	// TakeOutLimit is how long a taken-out upstream may still receive
	// packets. Default 8 s.
	TakeOutLimit time.Duration
	// Weights is the weight of upstreams for the imbalance. Default 100 each.
	Weights map[string]int
	// From and Until restrict imbalance and served ratio; zero for no limit.
	From, Until time.Time
	// MaxImbalance and MinServed make violations of the figures; 0 for none.
	MaxImbalance, MinServed float64
	// AllowOverload accepts cold upstreams that fell over, for runs that
	// overload them on purpose.
	AllowOverload bool
}

// Outage is a time in which an upstream was gone on purpose. Its flows are
// given up.
type Outage struct {
	Upstream string
	From     time.Time
	// Until is zero when the upstream did not return.
	Until time.Time
	// TakenOut tells that the upstream still ran but must get no packet.
	TakenOut bool
}

const (
	defaultDrainLimit   = 8 * time.Second
	defaultTakeOutLimit = 8 * time.Second
	defaultWeight       = 100
)

// Check names a promise.
type Check string

// Promises that a history can break.
const (
	CheckBrokenFlow   Check = "broken_flow"
	CheckWrongService Check = "wrong_service"
	CheckDoubleRun    Check = "double_run"
	CheckFalseNotRun  Check = "false_not_run"
	CheckMixed        Check = "mixed_answer"
	CheckTruncated    Check = "truncated_answer"
	CheckForeignRun   Check = "foreign_run"
	CheckColdOverload Check = "cold_overload"
	CheckDrain        Check = "new_work_after_drain"
	CheckTakeOut      Check = "packet_after_takeout"
	CheckImbalance    Check = "imbalance"
	CheckServed       Check = "served_ratio"
)

// Violation is one broken promise.
type Violation struct {
	Check  Check
	TimeUS int64
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %d us: %s", v.Check, v.TimeUS, v.Detail)
}

// maxDetails bounds the violations kept per check; all are counted.
const maxDetails = 20

// Report is the result of a check.
type Report struct {
	// Counts holds the number of violations of each check.
	Counts map[Check]int
	// Violations holds the first 20 of each check.
	Violations []Violation

	Flows, Established, OpenTimeouts int
	// GivenUp counts established flows whose upstream restarted, was stopped
	// or was taken out. They are not broken.
	GivenUp int
	// Broken counts broken flows; each counts once. Misrouted counts the
	// packets and resets that broke them.
	Broken, Misrouted int
	BrokenFlows       []BrokenFlow

	Requests, Answered, RequestTimeouts, Cancelled int
	// PartialAnswers counts timeouts of requests of whose answer some parts had
	// arrived. The caller was not deceived, and UDP may have lost the rest.
	PartialAnswers int
	// Runs counts executions, and UpstreamRequests all attempts that reached an
	// upstream that knows the flow, refused ones included.
	Runs, UpstreamRequests int
	// OpensRefused and RequestsRefused count by reason.
	OpensRefused, RequestsRefused map[string]int

	// OpenImbalance and RunImbalance are busiest/mean over the upstreams of a
	// service, the worst service; 0 without work.
	OpenImbalance, RunImbalance float64
	// Served is the share of new work, opens and requests, that was served;
	// cancelled requests do not count. ServedBins has it per second.
	Served     float64
	ServedBins []ServedBin
	// LastAfterTakeOut is the longest time after a take-out at which a packet
	// still arrived.
	LastAfterTakeOut time.Duration
	// LastOpenAfterDrain is the longest time after the start of a drain at
	// which a new flow still arrived.
	LastOpenAfterDrain time.Duration
}

// OK tells that no promise was broken.
func (r *Report) OK() bool { return len(r.Counts) == 0 }

func (r *Report) violate(check Check, at int64, format string, args ...any) {
	r.Counts[check]++
	if r.Counts[check] <= maxDetails {
		r.Violations = append(r.Violations, Violation{Check: check, TimeUS: at, Detail: fmt.Sprintf(format, args...)})
	}
}

// BrokenFlow tells when a flow was established and when it broke.
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

// Run checks the events of callers and upstreams together. Their clocks must
// agree.
func Run(opt Options, histories ...[]Event) *Report {
	if opt.DrainLimit == 0 {
		opt.DrainLimit = defaultDrainLimit
	}
	if opt.TakeOutLimit == 0 {
		opt.TakeOutLimit = defaultTakeOutLimit
	}
	events := slices.Concat(histories...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.TimeUS, b.TimeUS) })
	r := &Report{Counts: map[Check]int{}, OpensRefused: map[string]int{}, RequestsRefused: map[string]int{}}
	count(r, events)
	checkUpstreams(r, opt, events)
	checkFlows(r, opt, events)
	checkRequests(r, events)
	measureImbalance(r, opt, events)
	measureServed(r, opt, events)
	return r
}

func count(r *Report, events []Event) {
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
			r.violate(CheckMixed, e.TimeUS, "%s flow %d request %d", e.Caller, e.FlowID, e.RequestID)
		case CallerTruncated:
			r.violate(CheckTruncated, e.TimeUS, "%s flow %d request %d", e.Caller, e.FlowID, e.RequestID)
		case UpstreamWrongService:
			r.violate(CheckWrongService, e.TimeUS, "%s got a packet of %s", e.Upstream, e.Service)
		}
	}
}
