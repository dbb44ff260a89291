package catalog

import (
	"fmt"
	"time"
)

const (
	// LowestPriority is the priority of a route that declares none, or an invalid one. The
	// highest priority is 0.
	LowestPriority = 7
	// maxTermsTime bounds the times of a route. Longer ones are errors of the writer.
	maxTermsTime = time.Hour
)

// Terms say what the callers of a route need.
type Terms struct {
	// Priority orders routes while a service is short of capacity: 0 is the highest,
	// LowestPriority the lowest.
	Priority int
	// LatencyGoal is the time within which callers want their answers; 0 when the route
	// declares none.
	LatencyGoal time.Duration
	// Timeout is the time after which callers give up; 0 when the route declares none.
	Timeout time.Duration
	// Idempotent is set when the requests of the route may be repeated.
	Idempotent bool
}

// DefaultTerms returns the terms of a route that declares none.
func DefaultTerms() Terms { return Terms{Priority: LowestPriority} }

// TermsError reports a term of a route that is out of range and was replaced by its
// default.
type TermsError struct {
	Field string
	Value any
	// Allowed describes the values that are allowed.
	Allowed string
}

func (e *TermsError) Error() string {
	return fmt.Sprintf("%s %v of the route is invalid, allowed are %s", e.Field, e.Value, e.Allowed)
}

// Normalize replaces terms that are out of range by their defaults, and returns a
// *TermsError for each. Terms from other instances, whose version may not have checked
// them, are normalized as well.
func (t *Terms) Normalize() []error {
	var invalid []error
	if t.Priority < 0 || t.Priority > LowestPriority {
		invalid = append(invalid, &TermsError{Field: "priority", Value: t.Priority, Allowed: fmt.Sprintf("0 to %d", LowestPriority)})
		t.Priority = LowestPriority
	}
	for _, term := range []struct {
		field string
		value *time.Duration
	}{{"latency goal", &t.LatencyGoal}, {"timeout", &t.Timeout}} {
		if *term.value < 0 || *term.value > maxTermsTime {
			invalid = append(invalid, &TermsError{Field: term.field, Value: *term.value, Allowed: "0s to " + maxTermsTime.String()})
			*term.value = 0
		}
	}
	return invalid
}
