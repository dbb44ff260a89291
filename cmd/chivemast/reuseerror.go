package main

import (
	"fmt"
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/position"
)

// addressMoveError lists addresses that one change would move between services.
type addressMoveError struct{ Moves []*declare.MoveError }

func (e *addressMoveError) Error() string {
	return "addresses cannot move between services in one change; nothing was changed" + formatErrors(e.Moves)
}

// reuseBlockedError reports that released addresses cannot be used yet. Reasons
// contains *reuseInstancesError, *reuseTablesError and *reuseTimeError.
type reuseBlockedError struct{ Reasons []error }

func (e *reuseBlockedError) Error() string {
	return "addresses released by another service cannot be used yet; nothing was changed; apply again later, or with --wait" + formatErrors(e.Reasons)
}

func (e *reuseBlockedError) Unwrap() []error { return e.Reasons }

// reuseInstancesError lists instances that may still use the address for its old
// service, since they have not reported the required revision.
type reuseInstancesError struct {
	Reuse *addressReuse
	// Required is the revision that every instance has to report.
	Required  uint64
	Instances []string
}

func (e *reuseInstancesError) Error() string {
	return fmt.Sprintf("%s: %d instances have not reported revision %s: %v", e.Reuse, len(e.Instances), position.String(e.Required), e.Instances)
}

// reuseTablesError lists the keys of placement tables of other services that still
// name the address.
type reuseTablesError struct {
	Reuse  *addressReuse
	Tables []string
}

func (e *reuseTablesError) Error() string {
	return fmt.Sprintf("%s: still named by %v", e.Reuse, e.Tables)
}

// reuseTimeError reports that flows of the old service may still be open at its
// former address, since its idle timeout has not passed.
type reuseTimeError struct{ Reuse *addressReuse }

func (e *reuseTimeError) Error() string {
	return fmt.Sprintf("%s: the idle timeout of the old service ends at %s", e.Reuse, e.Reuse.IdleUntil.UTC().Format(time.RFC3339))
}

// formatErrors formats errors one per line, at most maxShownConflicts of them, and
// the number of the others.
func formatErrors[E error](errs []E) string {
	text := ""
	for _, err := range errs[:min(len(errs), maxShownConflicts)] {
		text += "\n  " + err.Error()
	}
	if more := len(errs) - maxShownConflicts; more > 0 {
		text += fmt.Sprintf("\n  and %d more", more)
	}
	return text
}
