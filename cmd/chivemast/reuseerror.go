package main

import (
	"fmt"
	"time"

	"github.com/chivemast/chivemast/internal/declare"
)

// addressMoveError lists addresses that one change moves between services.
type addressMoveError struct{ Moves []*declare.MoveError }

func (e *addressMoveError) Error() string {
	return "addresses cannot move between services in one change; nothing was changed" + listing(e.Moves)
}

// reuseBlockedError says that released addresses cannot be used yet. Blocks
// holds *reuseInstancesError, *reuseTablesError and *reuseTimeError.
type reuseBlockedError struct{ Blocks []error }

func (e *reuseBlockedError) Error() string {
	return "addresses released by another service cannot be used yet; nothing was changed" + listing(e.Blocks)
}

func (e *reuseBlockedError) Unwrap() []error { return e.Blocks }

// reuseInstancesError lists instances that may still use an address for its
// old service.
type reuseInstancesError struct {
	Reuse *reuse
	// Required is the revision that the instances have to report.
	Required  uint64
	Instances []string
}

func (e *reuseInstancesError) Error() string {
	return fmt.Sprintf("%s: %d instances have not reported revision %d: %v", e.Reuse, len(e.Instances), e.Required, e.Instances)
}

// reuseTablesError lists placement tables of other services that name an
// address.
type reuseTablesError struct {
	Reuse  *reuse
	Tables []string
}

func (e *reuseTablesError) Error() string {
	return fmt.Sprintf("%s: still named by %v", e.Reuse, e.Tables)
}

// reuseTimeError says that flows of the old service may still be open at a
// service address.
type reuseTimeError struct{ Reuse *reuse }

func (e *reuseTimeError) Error() string {
	return fmt.Sprintf("%s: the idle timeout of the old service ends at %s", e.Reuse, e.Reuse.IdleUntil.UTC().Format(time.RFC3339))
}

// listing shows errors one per line, at most maxShownConflicts of them.
func listing[E error](errs []E) string {
	text := ""
	for _, err := range errs[:min(len(errs), maxShownConflicts)] {
		text += "\n  " + err.Error()
	}
	if more := len(errs) - maxShownConflicts; more > 0 {
		text += fmt.Sprintf("\n  and %d more", more)
	}
	return text
}
