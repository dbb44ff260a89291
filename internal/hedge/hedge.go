// Package hedge decides whether an attempt that is still unanswered after its delay is
// followed by an extra one. The clock is passed in, and nothing accesses the network.
package hedge

// Result is the result of a decision, and its reason.
type Result int

// Results. Won is not returned by Decide: it counts the extra attempts that were answered
// before the first one.
const (
	// None: there is nothing to decide.
	None Result = iota
	// Sent: an extra attempt is sent.
	Sent
	// Won: the extra attempt was answered first.
	Won
	// OverBudget: the budget does not pay for an extra attempt.
	OverBudget
	// Short: the service is short of capacity, and extra work would delay other requests.
	Short
	// NoUpstream: no other upstream may receive an extra attempt.
	NoUpstream
	// NotKept: too many opening packets are kept already, or this one was kept for too long.
	NotKept
	// FlowsMoved: the answer may have been acknowledged through another instance, because
	// flows have moved to this one since the first attempt.
	FlowsMoved
	// Answered: the first attempt was answered.
	Answered
	// NotIdempotent: the request must not run twice.
	NotIdempotent
)

// Labels holds the label of each result, indexed by Result.
var Labels = []string{"none", "sent", "won", "budget", "short", "no_upstream", "not_kept", "flows_moved", "answered", "not_idempotent"}

// CounterLabels holds the labels of the results from Sent to FlowsMoved, in their order. The
// others concern attempts that never wait for an extra one.
var CounterLabels = Labels[Sent : FlowsMoved+1]

func (r Result) String() string { return Labels[r] }

// Input describes an attempt whose delay has passed.
type Input struct {
	Idempotent bool
	// Answered is true when the answer to the first attempt is known.
	Answered bool
	// Moved is true when flows have moved to this instance since the first attempt.
	Moved bool
	// Short is true while the service is short of capacity.
	Short bool
	// Upstream is true when another upstream may receive the extra attempt.
	Upstream bool
	// Tokens is the number of extra attempts that the budget pays for.
	Tokens float64
}

// Decide returns Sent when an extra attempt is to be sent, and otherwise the first reason
// against it.
func Decide(in Input) Result {
	switch {
	case !in.Idempotent:
		return NotIdempotent
	case in.Answered:
		return Answered
	case in.Moved:
		return FlowsMoved
	case in.Short:
		return Short
	case !in.Upstream:
		return NoUpstream
	case in.Tokens < 1:
		return OverBudget
	}
	return Sent
}
