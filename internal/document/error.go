package document

import (
	"fmt"
	"strings"
)

// Kind classifies errors of a document.
type Kind int

// Kinds of errors.
const (
	// Syntax: the input is not JSON with comments.
	Syntax Kind = iota + 1
	// TooLarge: the input exceeds a size limit.
	TooLarge
	// UnknownKey: a key has no meaning here.
	UnknownKey
	// RepeatedKey: a key appears twice in an object.
	RepeatedKey
	// WrongType: a value has another type than its key.
	WrongType
	// Missing: a required key is absent or empty.
	Missing
	// OutOfRange: a value lies outside its range.
	OutOfRange
	// Duplicate: a name or address that must be unique appears twice.
	Duplicate
	// Unreadable: the file could not be read.
	Unreadable
)

// Error is an error of a document.
type Error struct {
	// Source is the file name.
	Source string
	// Path is the key within the document, like services[0].upstreams[2].weight.
	Path string
	// Line and Column count from 1; zero when unknown.
	Line, Column int
	Kind         Kind
	// Allowed describes the accepted values, if that is short.
	Allowed string
	Err     error
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
