package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
)

// CallError says that a platform call failed.
type CallError struct {
	Call    Call
	Key     string
	Outcome Outcome
	// Sent tells whether the request may have reached the platform.
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

// ConflictError says that an object has another version than expected, so
// that the write did not take effect.
type ConflictError struct {
	Key      string
	Expected uint64
	// Current is the stored object; nil when it could not be read.
	Current *pb.Object
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q has version %d by change %q, expected version %d",
		e.Key, e.Current.GetVersion(), e.Current.GetChangeId(), e.Expected)
}

// UnknownOutcomeError says that the answer to a write was lost and that
// reading back did not settle whether it took effect.
type UnknownOutcomeError struct {
	Key      string
	ChangeID string
	Err      error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write of object %q by change %q may or may not have taken effect: %v", e.Key, e.ChangeID, e.Err)
}

// Unwrap returns the last error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// MaxObject is the size of the largest value that the platform holds, in
// bytes.
const MaxObject = 1 << 20

// ObjectSizeError says that a value is too large to be written.
type ObjectSizeError struct {
	Key  string
	Size int
}

func (e *ObjectSizeError) Error() string {
	return fmt.Sprintf("value of object %q has %d bytes, at most %d are allowed", e.Key, e.Size, MaxObject)
}

// QueueFullError says that an action was not accepted because too many of its
// kind wait.
type QueueFullError struct {
	Call  Call
	Limit int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d platform calls %s are waiting already", e.Limit, e.Call)
}

// UnsupportedActionError says that an action is not one for the platform.
type UnsupportedActionError struct{ Action any }

func (e *UnsupportedActionError) Error() string {
	return fmt.Sprintf("action %T is not a platform action", e.Action)
}

// SilentWatchError says that a watch was replaced because it was silent.
type SilentWatchError struct{ Silence time.Duration }

func (e *SilentWatchError) Error() string {
	return fmt.Sprintf("watch was silent for %v", e.Silence)
}

// ClosedWatchError says that the platform ended a watch without an error.
type ClosedWatchError struct{}

func (e *ClosedWatchError) Error() string { return "platform ended the watch" }

// BudgetError says that a call was not made because its budget was used up.
type BudgetError struct{ Err error }

func (e *BudgetError) Error() string { return fmt.Sprintf("call budget used up: %v", e.Err) }

// Unwrap returns the error of the limiter.
func (e *BudgetError) Unwrap() error { return e.Err }

// Outcome classifies the end of a call for counters and messages.
type Outcome string

// Outcomes of a call.
const (
	OutcomeOK Outcome = "ok"
	// OutcomeConflict: the expected version was not the stored one.
	OutcomeConflict Outcome = "conflict"
	// OutcomeTimeout: no answer in time; a write may have taken effect.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeUnreachable: no connection, so that nothing was sent.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeUnavailable: the connection or the platform failed; a write may
	// have taken effect.
	OutcomeUnavailable Outcome = "unavailable"
	// OutcomeRejected: the platform did not accept the request.
	OutcomeRejected Outcome = "rejected"
	// OutcomeBudget: the call was not made.
	OutcomeBudget Outcome = "budget"
	// OutcomeSilent: a watch was silent for too long.
	OutcomeSilent Outcome = "silent"
	// OutcomeCancelled: the caller gave the call up.
	OutcomeCancelled Outcome = "cancelled"
)

// classify maps an error of connect-go to an outcome. The parent context
// tells a cancelled call from one that timed out. Only an error that the
// platform itself sent is a conflict or a rejection: connect-go also reports
// an answer that it cannot decode as an invalid argument, and such a write may
// have taken effect.
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
