package main

import (
	"errors"
	"fmt"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/document"
	"github.com/chivemast/chivemast/internal/platform"
)

// code is an exit code of the command line. Scripts depend on the numbers.
type code int

// Exit codes.
const (
	exitOK code = 0
	// exitFailure: any other failure.
	exitFailure code = 1
	// exitUsage: the command line is wrong.
	exitUsage code = 2
	// exitInvalid: a file or a name is not valid.
	exitInvalid code = 3
	// exitConflict: another change came first, or an address is taken.
	exitConflict code = 4
	// exitUnavailable: the platform did not answer; nothing was changed.
	exitUnavailable code = 5
	// exitUnknown: the change may or may not have taken effect.
	exitUnknown code = 6
	// exitUnconfirmed: a change was accepted, but instances did not answer or
	// do not have it in force, or a check after it failed. Also a status with
	// such instances, and a refusal to reuse an address that may still be in
	// use; nothing was changed then.
	exitUnconfirmed code = 7
	// exitDifferent: diff --exit-code found differences.
	exitDifferent code = 8
)

func (c code) String() string {
	return [...]string{"ok", "failure", "usage", "invalid", "conflict", "platform_unavailable",
		"outcome_unknown", "unconfirmed", "different"}[c]
}

// usageError says that the command line is wrong.
type usageError struct{ Err error }

func (e *usageError) Error() string { return e.Err.Error() }
func (e *usageError) Unwrap() error { return e.Err }

func usagef(format string, args ...any) error {
	return &usageError{Err: fmt.Errorf(format, args...)}
}

// invalidError says that an argument names something that does not exist or
// must not be changed this way.
type invalidError struct{ Reason string }

func (e *invalidError) Error() string { return e.Reason }

// changeConflictError shows both sides of a conflict: what this command would
// have changed, and what the other change did.
type changeConflictError struct {
	Key      string
	Expected uint64
	Version  uint64
	ChangeID string
	// Yours is relative to the version that this command was based on, and so
	// is Theirs, if that version is known.
	Yours       []declare.Change
	Theirs      []declare.Change
	TheirsKnown bool
}

func (e *changeConflictError) Error() string {
	theirs := fmt.Sprintf("  (not known, because version %d is not stored any more; yours is relative to version %d)\n", e.Expected, e.Version)
	if e.TheirsKnown {
		theirs = formatChanges(e.Theirs)
	}
	return fmt.Sprintf("%s: expected version %d, found version %d by change %s; nothing was changed\nyour change:\n%sthe other change:\n%sread the new version and decide again",
		e.Key, e.Expected, e.Version, e.ChangeID, formatChanges(e.Yours), theirs)
}

// maxShownConflicts keeps the message on one screen when a whole file was
// applied under another team's name.
const maxShownConflicts = 10

// addressConflictError lists addresses that another team uses.
type addressConflictError struct {
	Conflicts []*declare.ConflictError
	// Accepted tells whether the change is stored: the other team's change
	// came between the check and the write.
	Accepted bool
}

func (e *addressConflictError) Error() string {
	text := "address conflict; nothing was changed"
	if e.Accepted {
		text = "address conflict with a change made at the same time; both changes are stored, and the later one gets no traffic for these addresses"
	}
	shown := e.Conflicts[:min(len(e.Conflicts), maxShownConflicts)]
	for _, conflict := range shown {
		text += "\n  " + conflict.Error()
	}
	if more := len(e.Conflicts) - len(shown); more > 0 {
		text += fmt.Sprintf("\n  and %d more", more)
	}
	return text
}

// uncheckedError says that a change was accepted, but that the check for
// address conflicts after the write failed.
type uncheckedError struct{ Err error }

func (e *uncheckedError) Error() string {
	return fmt.Sprintf("the change was accepted, but address conflicts could not be checked: %v", e.Err)
}

func (e *uncheckedError) Unwrap() error { return e.Err }

// unconfirmedError lists instances that did not confirm a revision.
type unconfirmedError struct {
	Revision  uint64
	Instances []string
	// Unlisted says that not even the list of instances could be read.
	Unlisted bool
}

func (e *unconfirmedError) Error() string {
	if e.Unlisted {
		return fmt.Sprintf("the list of instances could not be read, so that revision %d is not confirmed", e.Revision)
	}
	return fmt.Sprintf("%d instances have not confirmed revision %d: %v", len(e.Instances), e.Revision, e.Instances)
}

// differentError says that diff found differences.
type differentError struct{ Changes int }

func (e *differentError) Error() string { return fmt.Sprintf("differences: %d", e.Changes) }

// codeOf maps an error to its exit code.
func codeOf(err error) code {
	switch {
	case err == nil:
		return exitOK
	case is[*usageError](err):
		return exitUsage
	case is[*unconfirmedError](err), is[*uncheckedError](err), is[*reuseBlockedError](err), is[*edgeSilentError](err):
		return exitUnconfirmed
	case is[*differentError](err):
		return exitDifferent
	case is[*document.Error](err), is[*invalidError](err), is[*addressMoveError](err):
		return exitInvalid
	case is[*changeConflictError](err), is[*addressConflictError](err), is[*platform.ConflictError](err):
		return exitConflict
	case is[*platform.UnknownOutcomeError](err):
		return exitUnknown
	}
	var call *platform.CallError
	if !errors.As(err, &call) || call.Outcome == platform.OutcomeRejected || call.Outcome == platform.OutcomeCancelled {
		return exitFailure
	}
	return exitUnavailable
}

func is[T error](err error) bool {
	_, ok := errors.AsType[T](err)
	return ok
}

// description is the JSON form of an error.
type description struct {
	Code     code             `json:"code"`
	Kind     string           `json:"kind"`
	Message  string           `json:"message"`
	File     string           `json:"file,omitempty"`
	Path     string           `json:"path,omitempty"`
	Line     int              `json:"line,omitempty"`
	Yours    []declare.Change `json:"yours,omitempty"`
	Theirs   []declare.Change `json:"theirs,omitempty"`
	ChangeID string           `json:"change_id,omitempty"`
}

func describe(err error) description {
	d := description{Code: codeOf(err), Kind: codeOf(err).String(), Message: err.Error()}
	if fault, ok := errors.AsType[*document.Error](err); ok {
		d.File, d.Path, d.Line = fault.Source, fault.Path, fault.Line
	}
	if conflict, ok := errors.AsType[*changeConflictError](err); ok {
		d.Yours, d.Theirs, d.ChangeID = conflict.Yours, conflict.Theirs, conflict.ChangeID
	}
	if unknown, ok := errors.AsType[*platform.UnknownOutcomeError](err); ok {
		d.ChangeID = unknown.ChangeID
	}
	return d
}
