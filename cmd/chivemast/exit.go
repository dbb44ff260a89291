package main

import (
	"errors"
	"fmt"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/document"
	"github.com/chivemast/chivemast/internal/platform"
	"github.com/chivemast/chivemast/internal/position"
)

// exitCode is an exit code of the command line. Scripts depend on the numbers, so
// the numbers stay the same.
type exitCode int

// Exit codes.
const (
	exitOK exitCode = 0
	// exitFailure stands for every failure without a code of its own.
	exitFailure exitCode = 1
	// exitUsage means that the command line is wrong.
	exitUsage exitCode = 2
	// exitInvalid means that a file or a name is not valid.
	exitInvalid exitCode = 3
	// exitConflict means that another change came first, or that another service
	// uses an address.
	exitConflict exitCode = 4
	// exitUnavailable means that the platform did not answer. Nothing was changed.
	exitUnavailable exitCode = 5
	// exitUnknown means that the change may or may not have taken effect.
	exitUnknown exitCode = 6
	// exitUnconfirmed means that a change was accepted, but that instances did not
	// answer or do not have it in force, or that the check after the write failed.
	// It is also the code of status and edge when there are such instances, and of
	// an apply that is refused because it reuses an address too early; in these
	// cases nothing was changed.
	exitUnconfirmed exitCode = 7
	// exitDifferent means that diff --exit-code found differences.
	exitDifferent exitCode = 8
)

func (c exitCode) String() string {
	return [...]string{"ok", "failure", "usage", "invalid", "conflict", "platform_unavailable",
		"outcome_unknown", "unconfirmed", "different"}[c]
}

// usageError reports a wrong command line.
type usageError struct{ Err error }

func (e *usageError) Error() string { return e.Err.Error() }
func (e *usageError) Unwrap() error { return e.Err }

func usageErrorf(format string, args ...any) error {
	return &usageError{Err: fmt.Errorf(format, args...)}
}

// invalidError reports an argument that is malformed, that names something that
// does not exist, or that names something that must not be changed this way.
type invalidError struct{ Reason string }

func (e *invalidError) Error() string { return e.Reason }

// changeConflictError reports that the stored version of an object is not the
// expected one. It lists the changes of this command and of the other write.
type changeConflictError struct {
	Key      string
	Expected uint64
	Version  uint64
	ChangeID string
	// Yours lists the changes that this command would have made, relative to the
	// version that it read.
	Yours []declare.Change
	// Theirs lists the changes of the other write, relative to the same version.
	// It is valid only if TheirsKnown is set.
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

// maxShownConflicts is the number of addresses that one message lists. It keeps the
// message on one screen when a whole file is applied under another team's name,
// which makes every address a conflict.
const maxShownConflicts = 10

// addressConflictError lists declared addresses that are already used.
type addressConflictError struct {
	Conflicts []*declare.ConflictError
	// Accepted tells whether the change is stored. That happens when the other
	// team's change is written between the check and the write of this one.
	Accepted bool
}

func (e *addressConflictError) Error() string {
	text := "address conflict; nothing was changed; declare other addresses, or release these first"
	if e.Accepted {
		text = "address conflict with a change made at the same time; both changes are stored, and the later one gets no traffic for these addresses; change one of the two declarations"
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

// uncheckedError reports that a change was accepted, but that the teams could not
// be read afterwards to check for address conflicts.
type uncheckedError struct{ Err error }

func (e *uncheckedError) Error() string {
	return fmt.Sprintf("the change was accepted, but address conflicts could not be checked (chivemast diff repeats the check): %v", e.Err)
}

func (e *uncheckedError) Unwrap() error { return e.Err }

// unconfirmedError lists instances that have not confirmed a revision.
type unconfirmedError struct {
	Revision  uint64
	Instances []string
	// Unlisted tells whether the list of instances could not be read; Instances is
	// empty then.
	Unlisted bool
}

func (e *unconfirmedError) Error() string {
	if e.Unlisted {
		return fmt.Sprintf("the list of instances could not be read, so revision %s is not confirmed; run chivemast status later", position.String(e.Revision))
	}
	return fmt.Sprintf("%d instances have not confirmed revision %s: %v", len(e.Instances), position.String(e.Revision), e.Instances)
}

// differentError reports how many differences diff found.
type differentError struct{ Changes int }

func (e *differentError) Error() string { return fmt.Sprintf("differences: %d", e.Changes) }

// exitCodeOf maps an error to its exit code.
func exitCodeOf(err error) exitCode {
	switch {
	case err == nil:
		return exitOK
	case isError[*usageError](err):
		return exitUsage
	case isError[*unconfirmedError](err), isError[*uncheckedError](err), isError[*reuseBlockedError](err), isError[*edgeNotReadyError](err), isError[*notExplainedError](err):
		return exitUnconfirmed
	case isError[*differentError](err):
		return exitDifferent
	case isError[*document.Error](err), isError[*invalidError](err), isError[*addressMoveError](err):
		return exitInvalid
	case isError[*changeConflictError](err), isError[*addressConflictError](err), isError[*platform.ConflictError](err):
		return exitConflict
	case isError[*platform.UnknownOutcomeError](err):
		return exitUnknown
	}
	var call *platform.CallError
	if !errors.As(err, &call) || call.Outcome == platform.OutcomeRejected || call.Outcome == platform.OutcomeCancelled {
		return exitFailure
	}
	return exitUnavailable
}

func isError[T error](err error) bool {
	_, ok := errors.AsType[T](err)
	return ok
}

// errorDescription is the JSON form of an error, the value of the key "error".
type errorDescription struct {
	Code     exitCode         `json:"code"`
	Kind     string           `json:"kind"`
	Message  string           `json:"message"`
	File     string           `json:"file,omitempty"`
	Path     string           `json:"path,omitempty"`
	Line     int              `json:"line,omitempty"`
	Yours    []declare.Change `json:"yours,omitempty"`
	Theirs   []declare.Change `json:"theirs,omitempty"`
	ChangeID string           `json:"change_id,omitempty"`
}

func describeError(err error) errorDescription {
	d := errorDescription{Code: exitCodeOf(err), Kind: exitCodeOf(err).String(), Message: err.Error()}
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
