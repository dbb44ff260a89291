// Package overload decides whether a new flow is admitted while its service is short of
// capacity. Decide keeps no state and reads no clock; Callers holds the flows that callers
// have opened lately.
package overload

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ActiveFor is how long after its last opening packet or request a route counts as
	// active: callers of long-lived flows send at least one request in this time.
	ActiveFor = 60 * time.Second
	// maxCallerShare is the number of flows that a caller may open per second, as a
	// multiple of the mean of the callers; minCallerFlows is the number that every
	// caller may open.
	maxCallerShare = 8
	minCallerFlows = 8
)

// Reason says why a new flow is admitted or refused. It is written to the log.
type Reason int

// Reasons.
const (
	// NotShort: the service is not short of capacity.
	NotShort Reason = iota
	// HighestPriority: no route of a higher priority to the service is active.
	HighestPriority
	// FreeSlot: the upstream begins the request at once.
	FreeSlot
	// NoGoal: the route has no latency goal.
	NoGoal
	// UnknownResponse: there is no estimate of the response time.
	UnknownResponse
	// WithinGoal: the expected response time is within the bound.
	WithinGoal
	// OtherDomain: the response is expected too late in the own failure domain, and another
	// one has capacity. Decide does not return it.
	OtherDomain
	// Floor: the response is expected too late, and it is the caller's turn.
	Floor
	// Overloaded: the response is expected too late. The flow is refused.
	Overloaded
	// CallerShare: the caller has opened more than its share of flows. The flow is
	// refused.
	CallerShare
)

// ReasonLabels holds the label of each reason, indexed by Reason.
var ReasonLabels = []string{
	"not_short", "highest_priority", "free_slot", "no_goal", "unknown_response", "within_goal", "other_domain", "floor", "overloaded", "caller_share",
}

func (r Reason) String() string { return ReasonLabels[r] }

// Outcome groups the reasons for counters.
type Outcome int

// Outcomes.
const (
	OutcomeAdmitted Outcome = iota
	OutcomeFloor
	OutcomeOverloaded
	OutcomeCallerShare
)

// OutcomeLabels holds the label of each outcome, indexed by Outcome.
var OutcomeLabels = []string{"admitted", "floor", "overloaded", "caller_share"}

// Outcome returns the group of the reason.
func (r Reason) Outcome() Outcome {
	switch r {
	case Floor:
		return OutcomeFloor
	case Overloaded:
		return OutcomeOverloaded
	case CallerShare:
		return OutcomeCallerShare
	}
	return OutcomeAdmitted
}

// Input describes a new flow, the service that it is for, and the upstream that it would
// get.
type Input struct {
	// Now is the time of the opening packet, Caller the address of its sender.
	Now    time.Time
	Caller netip.Addr
	// Priority is the priority of the flow's route, HighestActive the highest one among
	// the routes to the service that were active within ActiveFor. 0 is the highest.
	Priority, HighestActive int
	// Goal is the latency goal of the route; 0 when it has none.
	Goal time.Duration
	// Short is true while the service is short of capacity.
	Short bool
	// InFlight is the number of requests in flight at the upstream, Slots the number that
	// it runs at once; values below 1 count as 1.
	InFlight float64
	Slots    int
	// Remote is true when the upstream is in another failure domain. The requests in flight
	// there are not known, and InFlight does not show a free slot.
	Remote bool
	// Expected is the expected response time at the upstream; ExpectedKnown is false when
	// there is no estimate.
	Expected      time.Duration
	ExpectedKnown bool
	// ServiceTime is the response time of the service without queueing; 0 when it is not
	// known. Usage is what the service's usable upstreams in the own failure domain have in
	// flight.
	ServiceTime time.Duration
	Usage       Usage
	// CallerFlows is the number of flows that the caller has opened in the last second,
	// MeanFlows the mean of the callers on this instance.
	CallerFlows, MeanFlows float64
	// WaitShare is the share of the goal that the response may be expected to take, Floor
	// the share of the callers that are admitted even so.
	WaitShare, Floor float64
}

// Usage is the number of requests in flight at a group of upstreams.
type Usage struct {
	// Slots is the number of requests that the upstreams run at once.
	Slots int
	// Own is the number of requests of this instance, new flows included. Total is that of
	// all instances, in which those of the others are up to a report interval old.
	Own, Total float64
	// Instances is the number of instances that share the upstreams.
	Instances int
}

// exhausted reports whether the requests in flight exceed the number per slot, and this
// instance has its share of them. The numbers of other instances are too old to admit by
// them alone: all instances would fill the same free slots until the next reports, and
// upstreams would refuse twice as many requests. The own share follows at once. Without
// slots nothing is known.
func (u Usage) exhausted(perSlot float64) bool {
	bound := perSlot * float64(u.Slots)
	return u.Slots > 0 && u.Total >= bound && u.Own >= bound/float64(max(u.Instances, 1))
}

// TakesOverflow reports whether this instance may send a flow that it would refuse to the
// upstreams, which are in another failure domain and take a number of requests per slot.
// Total is not used. What is known of the domain is up to a second old: without the bound, a
// burst that filled all domains at once made upstreams refuse half as many requests again.
func (u Usage) TakesOverflow(room float64) bool {
	return u.Own < room*float64(u.Slots)/float64(max(u.Instances, 1))
}

// maxPerSlot is the largest number of requests per slot up to which flows of lower
// priorities are admitted, whatever their goal: with more than one waiting request per slot
// on average, some upstreams have full queues and refuse requests of all priorities.
const maxPerSlot = 2

// perSlot returns the number of requests per slot at which a response takes the time
// bound, between 1 and maxPerSlot.
func perSlot(bound, serviceTime time.Duration) float64 {
	if serviceTime <= 0 {
		return maxPerSlot
	}
	return min(max(float64(bound)/float64(serviceTime), 1), maxPerSlot)
}

// Result is a decision about a new flow.
type Result struct {
	Reason Reason
	// Bound is the longest expected response time at which the flow is admitted; 0 when
	// the route has no latency goal.
	Bound time.Duration
}

// Refused reports whether the flow is refused.
func (r Result) Refused() bool { return r.Reason == Overloaded || r.Reason == CallerShare }

// Decide decides whether a new flow is admitted.
func Decide(in Input) Result {
	result := Result{Bound: time.Duration(in.WaitShare * float64(in.Goal))}
	switch {
	case !in.Short:
		result.Reason = NotShort
	case in.Priority <= in.HighestActive:
		result.Reason = HighestPriority
	case !in.Remote && in.InFlight+1 <= float64(max(in.Slots, 1)):
		result.Reason = FreeSlot
	case in.CallerFlows > max(minCallerFlows, maxCallerShare*in.MeanFlows):
		result.Reason = CallerShare
	case in.Goal <= 0:
		result.Reason = NoGoal
	case !in.ExpectedKnown:
		result.Reason = UnknownResponse
	case in.Expected <= result.Bound && !in.Usage.exhausted(perSlot(result.Bound, in.ServiceTime)):
		result.Reason = WithinGoal
	case HasTurn(in.Now, in.Caller, in.Floor):
		result.Reason = Floor
	default:
		result.Reason = Overloaded
	}
	return result
}

// HasTurn reports whether a caller belongs to the share of callers that are admitted in
// the current second. All instances select the same callers without messages, so that a
// caller's retries are admitted as well.
func HasTurn(now time.Time, caller netip.Addr, share float64) bool {
	var key [24]byte
	address := caller.As16()
	copy(key[:], address[:])
	binary.BigEndian.PutUint64(key[16:], uint64(now.Unix()))
	return float64(xxhash.Sum64(key[:])>>11)/(1<<53) < share
}
