package document

import (
	"fmt"
	"strings"
)

// Kind classifies the faults of a document.
type Kind int

// Kinds of faults.
const (
	// Syntax means that the input is not JSON with comments.
	Syntax Kind = iota + 1
	// TooLarge means that the input exceeds the limit of size or nesting.
	TooLarge
	// UnknownKey means that a key is not defined or not allowed in this document.
	UnknownKey
	// RepeatedKey means that a key appears twice in an object.
	RepeatedKey
	// WrongType means that a value does not have the type that its key requires.
	WrongType
	// Missing means that a required key is absent or empty.
	Missing
	// OutOfRange means that a value is outside its range or does not have the
	// required form.
	OutOfRange
	// Duplicate means that a name or address that must be unique appears twice, or
	// that it contradicts another one in the documents.
	Duplicate
	// Unreadable means that the file could not be read.
	Unreadable
)

// Error reports a fault in a document and its place.
type Error struct {
	// Source is the name of the document, usually a file name.
	Source string
	// Path is the path of the value, for example services[0].upstreams[2].weight.
	// It is empty for the document as a whole.
	Path string
	// Line and Column count from 1, Column in bytes. Both are zero if the position
	// is unknown.
	Line, Column int
	Kind         Kind
	// Allowed describes the accepted values; empty if there is no short
	// description.
	Allowed string
	// Err describes the fault.
	Err error
}

func (e *Error) Error() string {
	var b strings.Builder
	if e.Source != "" {
		b.WriteString(e.Source)
		if e.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", e.Line, e.Column)
		}
		b.WriteString(": ")
	}
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	b.WriteString(e.Err.Error())
	if e.Allowed != "" {
		b.WriteString(" (allowed: " + e.Allowed + ")")
	}
	return b.String()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
