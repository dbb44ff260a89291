package request

import (
	"fmt"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// Refusal is the reason why a request was refused. Each reason has a type of
// its own.
type Refusal interface {
	error
	Reason() pb.RefusalReason
}

// ExpiredError says that the deadline has passed.
type ExpiredError struct{ Deadline time.Time }

// DeadlineTooFarError says that the deadline lies further ahead than the
// service allows.
type DeadlineTooFarError struct {
	Ahead   time.Duration
	Maximum time.Duration
}

// MalformedError says that a field of the request is missing or invalid.
type MalformedError struct {
	Field string
	Err   error
}

// NoLeaseError says that no instance is known to hold the lease slot, or that
// a request was redirected too often.
type NoLeaseError struct{ Hops uint32 }

// QueueFullError says that the engine remembers as many requests as it may.
type QueueFullError struct{ Records int }

// ShuttingDownError says that the instance takes no new requests.
type ShuttingDownError struct{}

// UpstreamDeadError says that the flow's upstream is dead.
type UpstreamDeadError struct{ Service string }

// DomainOutError says that the failure domain of the flow was taken out.
type DomainOutError struct{ Service string }

// LimitError says that a limit of the team or the service is used up.
type LimitError struct{ Err error }

// RetryBudgetError says that the service's retry budget is used up.
type RetryBudgetError struct{ Service string }

// UpstreamRefusalError says that the upstream refused the request for a
// reason of its own.
type UpstreamRefusalError struct{ Given pb.RefusalReason }

// CancelledError says that the caller cancelled the request.
type CancelledError struct{}

// UnknownCause says why the outcome of a request is unknown.
type UnknownCause int

// Causes of an unknown outcome.
const (
	// YoungTenure: a previous holder may have forwarded the request.
	YoungTenure UnknownCause = iota + 1
	// HandedOver: the previous holder decided the request.
	HandedOver
	// NoAnswer: the upstream did not answer by the deadline.
	NoAnswer
	// UnclearRefusal: the upstream refused without saying "not run".
	UnclearRefusal
	// AnswerTooLarge: the answer exceeds the bounds, or was dropped to make
	// room for others.
	AnswerTooLarge
)

// OutcomeUnknownError says that the request may or may not have run.
type OutcomeUnknownError struct{ Cause UnknownCause }

var unknownCauses = [...]string{"", "young_tenure", "handed_over", "no_answer", "unclear_refusal", "answer_too_large"}

// String returns the cause as a metric label.
func (c UnknownCause) String() string { return unknownCauses[c] }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("the deadline %s has passed", e.Deadline.Format(time.RFC3339Nano))
}

func (e *DeadlineTooFarError) Error() string {
	return fmt.Sprintf("the deadline is %v ahead, the maximum is %v", e.Ahead, e.Maximum)
}

func (e *MalformedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("malformed request: %s: %v", e.Field, e.Err)
	}
	return fmt.Sprintf("malformed request: %s is missing", e.Field)
}

// Unwrap returns the parse error, if any.
func (e *MalformedError) Unwrap() error { return e.Err }

func (e *NoLeaseError) Error() string {
	return fmt.Sprintf("no holder of the lease slot after %d redirects", e.Hops)
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("all %d request records are in use", e.Records)
}
func (e *ShuttingDownError) Error() string { return "the instance is shutting down" }
func (e *UpstreamDeadError) Error() string {
	return fmt.Sprintf("the flow's upstream of %s is dead", e.Service)
}
func (e *DomainOutError) Error() string {
	return fmt.Sprintf("the failure domain of the flow's upstream of %s is out", e.Service)
}
func (e *LimitError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the limiter.
func (e *LimitError) Unwrap() error { return e.Err }

func (e *RetryBudgetError) Error() string {
	return fmt.Sprintf("the retry budget of %s is used up", e.Service)
}

func (e *UpstreamRefusalError) Error() string {
	return fmt.Sprintf("the upstream refused: %v", e.Given)
}
func (e *CancelledError) Error() string { return "the caller cancelled the request" }
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome is unknown: %v", e.Cause)
}

// Reason implements Refusal.
func (e *ExpiredError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_EXPIRED }

// Reason implements Refusal.
func (e *DeadlineTooFarError) Reason() pb.RefusalReason {
	return pb.RefusalReason_REFUSAL_REASON_DEADLINE_TOO_FAR
}

// Reason implements Refusal.
func (e *MalformedError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_MALFORMED }

// Reason implements Refusal.
func (e *NoLeaseError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_NO_LEASE }

// Reason implements Refusal.
func (e *QueueFullError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_QUEUE_FULL }

// Reason implements Refusal.
func (e *ShuttingDownError) Reason() pb.RefusalReason {
	return pb.RefusalReason_REFUSAL_REASON_SHUTTING_DOWN
}

// Reason implements Refusal.
func (e *UpstreamDeadError) Reason() pb.RefusalReason {
	return pb.RefusalReason_REFUSAL_REASON_NO_UPSTREAM
}

// Reason implements Refusal.
func (e *DomainOutError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_DOMAIN_OUT }

// Reason implements Refusal.
func (e *LimitError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_LIMIT }

// Reason implements Refusal.
func (e *RetryBudgetError) Reason() pb.RefusalReason {
	return pb.RefusalReason_REFUSAL_REASON_RETRY_BUDGET
}

// Reason implements Refusal.
func (e *UpstreamRefusalError) Reason() pb.RefusalReason { return e.Given }

// Reason implements Refusal.
func (e *CancelledError) Reason() pb.RefusalReason { return pb.RefusalReason_REFUSAL_REASON_CANCELLED }

// Reason implements Refusal.
func (e *OutcomeUnknownError) Reason() pb.RefusalReason {
	return pb.RefusalReason_REFUSAL_REASON_OUTCOME_UNKNOWN
}

// RetryReason says why a request is sent again.
type RetryReason int

// Retry reasons.
const (
	RetryShed RetryReason = iota + 1
	RetryExpired
	RetrySilence
	RetryUnknownFlow
	// RetryRefused is any other refusal by the upstream.
	RetryRefused
	// RetryReasons is one more than the largest retry reason.
	RetryReasons
)

var retryReasons = [RetryReasons]string{"", "shed", "expired", "silence", "unknown_flow", "refused"}

// String returns the reason as a metric label.
func (r RetryReason) String() string { return retryReasons[r] }

// DropReason says why a packet was ignored.
type DropReason int

// Drop reasons.
const (
	// DropNoRequest: no such request is known; it expired or belongs to an
	// earlier life of this instance.
	DropNoRequest DropReason = iota + 1
	// DropOtherAttempt: the attempt is unknown or already closed.
	DropOtherAttempt
	DropDuplicatePart
	// DropInvalidPart: part number or part count do not fit.
	DropInvalidPart
	// DropTooLarge: the answer exceeds its bounds.
	DropTooLarge
	DropMalformed
	// DropAttached: a copy of a request that is in flight.
	DropAttached
	// DropReasons is one more than the largest drop reason.
	DropReasons
)

var dropReasons = [DropReasons]string{"", "no_request", "other_attempt", "duplicate_part", "invalid_part",
	"answer_too_large", "malformed_answer", "copy_in_flight"}

// String returns the reason as a metric label.
func (r DropReason) String() string { return dropReasons[r] }
