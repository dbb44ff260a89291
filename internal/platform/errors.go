package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// CallError reports that a platform call failed.
type CallError struct {
	Call Call
	// Key is the key or key prefix of the call, empty if it has none.
	Key     string
	Outcome Outcome
	// Sent is true if the request may have reached the platform.
	Sent bool
	Err  error
}

func (e *CallError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("platform call %s: %s: %v", e.Call, e.Outcome, e.Err)
	}
	return fmt.Sprintf("platform call %s of %q: %s: %v", e.Call, e.Key, e.Outcome, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// ConflictError reports that a write did not take effect because the object does not
// have the expected version.
type ConflictError struct {
	Key string
	// ExpectedVersion is the version that the write expected.
	ExpectedVersion uint64
	// Current is the stored object, nil if it could not be read.
	Current *pb.Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q has version %d by change %q, expected version %d",
		e.Key, e.Current.GetVersion(), e.Current.GetChangeId(), e.ExpectedVersion)
}

// UnknownOutcomeError reports that the answer to a write was lost and that reading
// the object back did not show whether the write took effect.
type UnknownOutcomeError struct {
	Key string
	// ChangeID is the change id of the write.
	ChangeID string
	Err      error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of object %q by change %q may or may not have taken effect: %v", e.Key, e.ChangeID, e.Err)
}

// Unwrap returns the error of the last attempt or the reason.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// MaxObjectBytes is the size of the largest value that the platform stores, in bytes.
const MaxObjectBytes = 1 << 20

// ObjectSizeError reports that a value is larger than MaxObjectBytes and was not sent.
type ObjectSizeError struct {
	Key string
	// Size is the size of the value in bytes.
	Size int
}

func (e *ObjectSizeError) Error() string {
	return fmt.Sprintf("value of object %q has %d bytes, at most %d are allowed", e.Key, e.Size, MaxObjectBytes)
}

// QueueFullError reports that Enqueue did not accept an action because Limit actions of
// the same kind are waiting.
type QueueFullError struct {
	Call  Call
	Limit int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue is full: %d platform calls of kind %s are waiting", e.Limit, e.Call)
}

// UnsupportedActionError reports that Enqueue was called with an action that is not a
// platform action.
type UnsupportedActionError struct{ Action any }

func (e *UnsupportedActionError) Error() string {
	return fmt.Sprintf("action %T is not a platform action", e.Action)
}

// SilentWatchError reports that a watch was ended because no message arrived for
// Silence.
type SilentWatchError struct{ Silence time.Duration }

func (e *SilentWatchError) Error() string {
	return fmt.Sprintf("watch was silent for %v", e.Silence)
}

// ClosedWatchError reports that the platform ended a watch without an error.
type ClosedWatchError struct{}

func (e *ClosedWatchError) Error() string { return "platform ended the watch" }

// BudgetError reports that a call was not made because the budget of its kind does
// not allow it before the deadline, or the wait for the budget was cancelled.
type BudgetError struct{ Err error }

func (e *BudgetError) Error() string { return fmt.Sprintf("call budget is used up: %v", e.Err) }

// Unwrap returns the error of the limiter.
func (e *BudgetError) Unwrap() error { return e.Err }

// Outcome classifies the result of a call for counters and messages.
type Outcome string

// Outcomes of a call.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeConflict means that the stored version is not the expected one.
	OutcomeConflict Outcome = "conflict"
	// OutcomeTimeout means that no answer arrived in time. A write may have taken
	// effect.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeUnreachable means that there was no connection and nothing was sent.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeUnavailable means that the connection or the platform failed. A write
	// may have taken effect.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeRejected means that the platform did not accept the request.
	OutcomeRejected Outcome = "rejected"
	// OutcomeBudget means that the call was not made because of its budget.
	OutcomeBudget Outcome = "budget"
	// OutcomeSilent means that a watch received nothing for WatchSilence.
	OutcomeSilent Outcome = "silent"
	// OutcomeCancelled means that the caller cancelled the call.
	OutcomeCancelled Outcome = "cancelled"
)

// classify returns the outcome of a call that ended with err. The parent context
// distinguishes a cancelled call from one that timed out. Only an error that the
// platform itself sent counts as a conflict or a rejection, because connect-go also
// reports an answer that it cannot decode as an invalid argument, and such a write
// may have taken effect.
func classify(parent context.Context, sent bool, err error) Outcome {
	var budget *BudgetError
	var silent *SilentWatchError
	switch {
	case err == nil:
		return OutcomeOK
	case errors.As(err, &budget):
		return OutcomeBudget
	case errors.As(err, &silent):
		return OutcomeSilent
	case errors.Is(parent.Err(), context.Canceled):
		return OutcomeCancelled
	case !sent:
		return OutcomeUnreachable
	}
	code := connect.CodeOf(err)
	if code == connect.CodeDeadlineExceeded || code == connect.CodeCanceled {
		return OutcomeTimeout
	}
	if !connect.IsWireError(err) {
		return OutcomeUnavailable
	}
	switch code {
	case connect.CodeAborted:
		return OutcomeConflict
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodePermissionDenied, connect.CodeFailedPrecondition, connect.CodeOutOfRange,
		connect.CodeUnimplemented, connect.CodeUnauthenticated:
		return OutcomeRejected
	default:
		return OutcomeUnavailable
	}
}
