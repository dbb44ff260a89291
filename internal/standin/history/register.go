package history

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/anishathalye/porcupine"
)

// RegisterOutcome is the outcome of an operation on an object, as its client
// observed it.
type RegisterOutcome int

// Outcomes of operations on an object.
const (
	// RegisterRead: the client read Version and ChangeID.
	RegisterRead RegisterOutcome = iota + 1
	// RegisterApplied: the conditional write produced Version.
	RegisterApplied
	// RegisterConflict: the object did not have the expected version.
	RegisterConflict
	// RegisterUnknown: the client does not know whether the write took effect. It
	// may do so at any time after its call.
	RegisterUnknown
	// RegisterFailed: the write did not take effect.
	RegisterFailed
)

// RegisterOp is one operation of a client on an object.
type RegisterOp struct {
	Client  int
	Key     string
	Outcome RegisterOutcome
	// Expected is the version that a write expected; unused for reads.
	Expected uint64
	// Version is the version that a read returned or a write produced. ChangeID is
	// the change id that a read returned or a write set.
	Version  uint64
	ChangeID string
	// CallUS and ReturnUS are the times of the call and of its return in
	// microseconds since the Unix epoch.
	CallUS, ReturnUS int64
}

type registerState struct {
	version  uint64
	changeID string
}

// registerModel is the sequential specification of an object with conditional
// writes (compare-and-set). A write with unknown outcome may or may not take
// effect.
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

// CheckRegister returns, in ascending order, the keys whose operations are not
// linearizable. The reason can be a lost update, a version that decreased or a
// stale read from the platform.
func CheckRegister(ops []RegisterOp) []string {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range ops {
		returnUS := op.ReturnUS
		if op.Outcome == RegisterUnknown {
			returnUS = math.MaxInt64
		}
		byKey[op.Key] = append(byKey[op.Key], porcupine.Operation{
			ClientId: op.Client, Input: op, Call: op.CallUS, Return: returnUS})
	}
	var invalidKeys []string
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		if !porcupine.CheckOperations(registerModel, byKey[key]) {
			invalidKeys = append(invalidKeys, key)
		}
	}
	return invalidKeys
}

// Checks of the configuration.
const (
	// CheckRevert: an instance reverted to an older revision.
	CheckRevert Check = "configuration_reverted"
	// CheckConfigurationLate: an instance did not adopt an accepted revision in time.
	CheckConfigurationLate Check = "configuration_late"
)

// Acceptance records that the platform accepted a change with the revision at
// TimeUS, in microseconds since the Unix epoch.
type Acceptance struct {
	Revision uint64
	TimeUS   int64
}

// Adoption records that an instance put a revision in force at TimeUS, in
// microseconds since the Unix epoch.
type Adoption struct {
	Instance string
	// Incarnation identifies the run of the instance between two restarts.
	Incarnation uint64
	Revision    uint64
	TimeUS      int64
}

// ConnectedPeriod is the period in which an instance could receive changes, in
// microseconds since the Unix epoch.
type ConnectedPeriod struct{ FromUS, UntilUS int64 }

// ConfigurationReport is the result of CheckConfiguration.
type ConfigurationReport struct {
	Violations []Violation
	// DelaysUS contains, in ascending order, the delay in microseconds of each
	// acceptance at each instance that adopted it. The delay is the time from the
	// acceptance, or from the start of the connected period if that is later, until
	// the revision or a later one was in force.
	DelaysUS []int64
}

// Quantile returns the delay in microseconds that the share q (0 to 1) of
// DelaysUS does not exceed, or 0 without delays.
func (r *ConfigurationReport) Quantile(q float64) int64 {
	if len(r.DelaysUS) == 0 {
		return 0
	}
	return r.DelaysUS[max(0, int(math.Ceil(q*float64(len(r.DelaysUS))))-1)]
}

// CheckConfiguration checks that no instance reverts to an older revision without
// a restart, and that each instance has every accepted revision, or a later one,
// in force within limitUS microseconds after the acceptance or, if later, the start
// of its connected period. The limit does not apply if the period ends before it.
func CheckConfiguration(accepted []Acceptance, adoptions []Adoption, present map[string]ConnectedPeriod,
	limitUS int64) *ConfigurationReport {
	r := &Report{ViolationCounts: map[Check]int{}}
	type incarnationID struct {
		instance    string
		incarnation uint64
	}
	adoptions = slices.Clone(adoptions)
	slices.SortStableFunc(adoptions, func(a, b Adoption) int { return cmp.Compare(a.TimeUS, b.TimeUS) })
	highestRevision := map[incarnationID]uint64{}
	byInstance := map[string][]Adoption{}
	for _, a := range adoptions {
		id := incarnationID{a.Instance, a.Incarnation}
		if a.Revision < highestRevision[id] {
			r.addViolation(CheckRevert, a.TimeUS, "%s reverted from revision %d to %d",
				a.Instance, highestRevision[id], a.Revision)
		}
		highestRevision[id] = max(highestRevision[id], a.Revision)
		byInstance[a.Instance] = append(byInstance[a.Instance], a)
	}
	report := &ConfigurationReport{}
	for _, name := range slices.Sorted(maps.Keys(present)) {
		p := present[name]
		for _, c := range accepted {
			startUS := max(c.TimeUS, p.FromUS)
			delayUS, ok := adoptionDelayUS(byInstance[name], c.Revision, startUS)
			if ok && startUS < p.UntilUS {
				report.DelaysUS = append(report.DelaysUS, delayUS)
			}
			if startUS+limitUS <= p.UntilUS && (!ok || delayUS > limitUS) {
				r.addViolation(CheckConfigurationLate, startUS,
					"%s did not have revision %d or a later one in force within %d us", name, c.Revision, limitUS)
			}
		}
	}
	slices.Sort(report.DelaysUS)
	report.Violations = r.Violations
	return report
}

// adoptionDelayUS returns the time in microseconds from startUS until the revision
// or a later one was in force, 0 if it already was, and false if it never was.
func adoptionDelayUS(adoptions []Adoption, revision uint64, startUS int64) (int64, bool) {
	for _, a := range adoptions {
		if a.Revision >= revision {
			return max(0, a.TimeUS-startUS), true
		}
	}
	return 0, false
}
