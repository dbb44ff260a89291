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
	// Reason returns the value for the refusal packet.
	Reason() pb.RefusalReason
}

// ExpiredError says that the deadline has passed.
type ExpiredError struct{ Deadline time.Time }

// DeadlineTooFarError says that the time from now to the deadline, Ahead, exceeds
// the maximum timeout of the service.
type DeadlineTooFarError struct {
	Ahead   time.Duration
	Maximum time.Duration
}

// MalformedError says that a field of the request is missing, or invalid if Err is
// set.
type MalformedError struct {
	Field string
	Err   error
}

// NoLeaseError says that no instance is known to hold the lease slot, that the
// request has already had MaxHops redirects, or that the lease term ended or was
// handed over before a retry. Hops is the number of redirects.
type NoLeaseError struct{ Hops uint32 }

// QueueFullError says that the number of recorded requests has reached MaxRecords.
type QueueFullError struct{ Records int }

// ShuttingDownError says that the instance accepts no new requests because it is
// shutting down.
type ShuttingDownError struct{}

// UpstreamDeadError says that the flow's upstream is dead. Service is
// <team>/<service>.
type UpstreamDeadError struct{ Service string }

// DomainOutError says that the failure domain of the flow's upstream is taken out.
// Service is <team>/<service>.
type DomainOutError struct{ Service string }

// LimitError says that the Limiter has rejected the request, with its error.
type LimitError struct{ Err error }

// RetryBudgetError says that the retry budget of a service is used up. Service is
// <team>/<service>.
type RetryBudgetError struct{ Service string }

// UpstreamRefusalError says that the upstream refused the request for the reason
// Given.
type UpstreamRefusalError struct{ Given pb.RefusalReason }

// CancelledError says that the caller cancelled the request.
type CancelledError struct{}

// UnknownCause says why the outcome of a request is unknown.
type UnknownCause int

// Causes of an unknown outcome.
const (
	// YoungTenure: the lease term started so recently that a previous holder may
	// have forwarded the request.
	YoungTenure UnknownCause = iota + 1
	// HandedOver: a previous holder decided the request and handed it over.
	HandedOver
	// NoAnswer: the upstream did not answer by the deadline.
	NoAnswer
	// UnclearRefusal: the upstream refused without "not run".
	UnclearRefusal
	// AnswerTooLarge: the answer exceeds its bounds, or was discarded to free
	// buffer space for other answers.
	AnswerTooLarge
)

// OutcomeUnknownError says that the request may or may not have run.
type OutcomeUnknownError struct{ Cause UnknownCause }

var unknownCauses = [...]string{"", "young_tenure", "handed_over", "no_answer", "unclear_refusal", "answer_too_large"}

// String returns the cause as a metric label.
func (c UnknownCause) String() string { return unknownCauses[c] }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("request deadline %s has passed", e.Deadline.Format(time.RFC3339Nano))
}

func (e *DeadlineTooFarError) Error() string {
	return fmt.Sprintf("request deadline is %v ahead, above the maximum of %v", e.Ahead, e.Maximum)
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
	return fmt.Sprintf("no holder of the lease slot found after %d redirects", e.Hops)
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("all %d request records are in use", e.Records)
}
func (e *ShuttingDownError) Error() string { return "the instance is shutting down" }
func (e *UpstreamDeadError) Error() string {
	return fmt.Sprintf("the flow's upstream of %s is dead", e.Service)
}
func (e *DomainOutError) Error() string {
	return fmt.Sprintf("the failure domain of the flow's upstream of %s is taken out", e.Service)
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

// RetryReason is the reason for a retry.
type RetryReason int

// Retry reasons.
const (
	// RetryShed: the upstream shed the request.
	RetryShed RetryReason = iota + 1
	// RetryExpired: the deadline had passed by the clock of the upstream.
	RetryExpired
	// RetrySilence: no answer came within AttemptTimeout.
	RetrySilence
	// RetryUnknownFlow: the upstream does not know the flow.
	RetryUnknownFlow
	// RetryRefused is any other refusal by the upstream.
	RetryRefused
	// RetryReasons is one more than the largest retry reason.
	RetryReasons
)

var retryReasons = [RetryReasons]string{"", "shed", "expired", "silence", "unknown_flow", "refused"}

// String returns the reason as a metric label.
func (r RetryReason) String() string { return retryReasons[r] }

// DropReason is the reason why a packet was ignored.
type DropReason int

// Drop reasons.
const (
	// DropNoRequest: no such request is recorded; its record has expired or it
	// belongs to an earlier run of this instance.
	DropNoRequest DropReason = iota + 1
	// DropOtherAttempt: the attempt is unknown or already closed, or the packet
	// cannot change the outcome.
	DropOtherAttempt
	// DropDuplicatePart: the part was already received.
	DropDuplicatePart
	// DropInvalidPart: the part number is out of range, or the number of parts
	// is 0 or differs from that of an earlier part.
	DropInvalidPart
	// DropTooLarge: the answer exceeds its bounds.
	DropTooLarge
	// DropMalformed: the packet has an invalid address or kind.
	DropMalformed
	// DropCopyInFlight: the packet is a copy of a request that is in flight.
	DropCopyInFlight
	// DropReasons is one more than the largest drop reason.
	DropReasons
)

var dropReasons = [DropReasons]string{"", "no_request", "other_attempt", "duplicate_part", "invalid_part",
	"answer_too_large", "malformed_answer", "copy_in_flight"}

// String returns the reason as a metric label.
func (r DropReason) String() string { return dropReasons[r] }
