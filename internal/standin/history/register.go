package history

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// RegisterOutcome tells how an operation on an object ended for its client.
type RegisterOutcome int

// Outcomes of operations on an object.
const (
	// RegisterRead: the client read Version and ChangeID.
	RegisterRead RegisterOutcome = iota + 1
	// RegisterApplied: the conditional write produced Version.
	RegisterApplied
	// RegisterConflict: the object did not have the expected version.
	RegisterConflict
	// RegisterUnknown: the write may take effect at any time after its call.
	RegisterUnknown
	// RegisterFailed: the write did not take effect.
	RegisterFailed
)

// RegisterOp is one operation of a client on an object.
type RegisterOp struct {
	Client  int
	Key     string
	Outcome RegisterOutcome
	// Expected is the version that a write expected.
	Expected uint64
	// Version and ChangeID are what a read returned or a write produced.
	Version  uint64
	ChangeID string
	// CallUS and ReturnUS are in microseconds since the Unix epoch.
	CallUS, ReturnUS int64
}

type registerState struct {
	version  uint64
	changeID string
}

// registerModel is the sequential specification of an object with conditional
// writes. A write of unknown outcome may or may not take effect.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(registerState), input.(RegisterOp)
		written := registerState{version: op.Expected + 1, changeID: op.ChangeID}
		var next []any
		switch op.Outcome {
		case RegisterRead:
			if s.version == op.Version && s.changeID == op.ChangeID {
				next = append(next, s)
			}
		case RegisterApplied:
			if s.version == op.Expected && op.Version == written.version {
				next = append(next, written)
			}
		case RegisterConflict:
			if s.version != op.Expected {
				next = append(next, s)
			}
		case RegisterUnknown:
			next = append(next, s)
			if s.version == op.Expected {
				next = append(next, written)
			}
		default:
			next = append(next, s)
		}
		return next
	},
}).ToModel()

// CheckRegister returns the keys whose operations have no order that explains
// them: a lost update, a version that went back, or a stale read from the
// platform itself.
func CheckRegister(ops []RegisterOp) []string {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range ops {
		end := op.ReturnUS
		if op.Outcome == RegisterUnknown {
			end = math.MaxInt64
		}
		byKey[op.Key] = append(byKey[op.Key], porcupine.Operation{
			ClientId: op.Client, Input: op, Call: op.CallUS, Return: end})
	}
	var bad []string
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		if !porcupine.CheckOperations(registerModel, byKey[key]) {
			bad = append(bad, key)
		}
	}
	return bad
}

// Checks of the configuration.
const (
	// CheckRevert: an instance went back to an older revision.
	CheckRevert Check = "configuration_reverted"
	// CheckInForce: an instance did not adopt an accepted revision in time.
	CheckInForce Check = "configuration_late"
)

// Acceptance is when the platform accepted a change.
type Acceptance struct {
	Revision uint64
	TimeUS   int64
}

// Adoption is when an instance put a revision in force.
type Adoption struct {
	Instance string
	// Incarnation tells restarts of an instance apart.
	Incarnation uint64
	Revision    uint64
	TimeUS      int64
}

// Presence is the time in which an instance could learn of changes, in
// microseconds since the Unix epoch.
type Presence struct{ FromUS, UntilUS int64 }

// ConfigurationReport is the result of CheckConfiguration.
type ConfigurationReport struct {
	Violations []Violation
	// DelaysUS holds, in ascending order, the time from each acceptance until
	// each present instance had the change in force.
	DelaysUS []int64
}

// Quantile returns the delay in microseconds that the share q of adoptions did
// not exceed; 0 without adoptions.
func (r *ConfigurationReport) Quantile(q float64) int64 {
	if len(r.DelaysUS) == 0 {
		return 0
	}
	return r.DelaysUS[max(0, int(math.Ceil(q*float64(len(r.DelaysUS))))-1)]
}

// CheckConfiguration checks that no instance reverts and that each present
// instance has every accepted revision, or a later one, in force within a
// limit in microseconds.
func CheckConfiguration(accepted []Acceptance, adoptions []Adoption, present map[string]Presence, limitUS int64) *ConfigurationReport {
	r := &Report{Counts: map[Check]int{}}
	type life struct {
		instance    string
		incarnation uint64
	}
	adoptions = slices.Clone(adoptions)
	slices.SortStableFunc(adoptions, func(a, b Adoption) int { return cmp.Compare(a.TimeUS, b.TimeUS) })
	highest := map[life]uint64{}
	byInstance := map[string][]Adoption{}
	for _, a := range adoptions {
		l := life{a.Instance, a.Incarnation}
		if a.Revision < highest[l] {
			r.violate(CheckRevert, a.TimeUS, "%s went from revision %d to %d", a.Instance, highest[l], a.Revision)
		}
		highest[l] = max(highest[l], a.Revision)
		byInstance[a.Instance] = append(byInstance[a.Instance], a)
	}
	report := &ConfigurationReport{}
	for _, name := range slices.Sorted(maps.Keys(present)) {
		p := present[name]
		for _, c := range accepted {
			start := max(c.TimeUS, p.FromUS)
			delay, ok := adoptionDelay(byInstance[name], c.Revision, start)
			if ok && start < p.UntilUS {
				report.DelaysUS = append(report.DelaysUS, delay)
			}
			if start+limitUS <= p.UntilUS && (!ok || delay > limitUS) {
				r.violate(CheckInForce, start, "%s did not have revision %d in force after %d us", name, c.Revision, limitUS)
			}
		}
	}
	slices.Sort(report.DelaysUS)
	report.Violations = r.Violations
	return report
}

// adoptionDelay returns the time from start until a revision or a later one
// was in force.
func adoptionDelay(adoptions []Adoption, revision uint64, start int64) (int64, bool) {
	for _, a := range adoptions {
		if a.Revision >= revision {
			return max(0, a.TimeUS-start), true
		}
	}
	return 0, false
}
