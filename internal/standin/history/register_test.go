package history

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a check of conditional writes that accepts lost updates or stale
// reads, or that rejects writes whose response was lost.
func TestCheckRegister(t *testing.T) {
	write := func(expected uint64, change string, call, end int64) RegisterOp {
		return RegisterOp{Key: "k", Outcome: RegisterApplied, Expected: expected, Version: expected + 1,
			ChangeID: change, CallUS: call, ReturnUS: end}
	}
	read := func(version uint64, change string, call, end int64) RegisterOp {
		return RegisterOp{Key: "k", Outcome: RegisterRead, Version: version, ChangeID: change, CallUS: call, ReturnUS: end}
	}
	unknown := RegisterOp{Key: "k", Outcome: RegisterUnknown, Expected: 1, ChangeID: "b", CallUS: 30, ReturnUS: 40}
	conflict := RegisterOp{Key: "k", Outcome: RegisterConflict, Expected: 1, CallUS: 50, ReturnUS: 60}
	failed := RegisterOp{Key: "k", Outcome: RegisterFailed, Expected: 1, ChangeID: "b", CallUS: 30, ReturnUS: 40}
	cases := []struct {
		name string
		ops  []RegisterOp
		ok   bool
	}{
		{"sequence", []RegisterOp{write(0, "a", 0, 10), read(1, "a", 15, 20), write(1, "b", 30, 40), conflict}, true},
		{"two writes of one version", []RegisterOp{write(0, "a", 0, 10), write(0, "b", 5, 15)}, false},
		{"stale read", []RegisterOp{write(0, "a", 0, 10), write(1, "b", 15, 20), read(1, "a", 30, 40)}, false},
		{"concurrent read of the old value", []RegisterOp{write(0, "a", 0, 10), write(1, "b", 15, 50), read(1, "a", 30, 40)}, true},
		{"write with lost response took effect", []RegisterOp{write(0, "a", 0, 10), unknown, conflict, read(2, "b", 70, 80)}, true},
		{"write with lost response took no effect", []RegisterOp{write(0, "a", 0, 10), unknown, read(1, "a", 70, 80)}, true},
		{"conflict without another write", []RegisterOp{write(0, "a", 0, 10), conflict}, false},
		{"failed write took effect", []RegisterOp{write(0, "a", 0, 10), failed, read(2, "b", 70, 80)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.ok, len(CheckRegister(c.ops)) == 0)
		})
	}
}

// Guards against a check that misses a reverted or late configuration.
func TestCheckConfiguration(t *testing.T) {
	accepted := []Acceptance{{Revision: 5, TimeUS: 100}}
	present := map[string]ConnectedPeriod{"i1": {0, 10_000}, "i2": {0, 10_000}}
	validAdoptions := []Adoption{{"i1", 1, 4, 50}, {"i1", 1, 5, 200}, {"i2", 1, 6, 300}}
	r := CheckConfiguration(accepted, validAdoptions, present, 1000)
	require.Empty(t, r.Violations)
	require.Equal(t, []int64{100, 200}, r.DelaysUS)
	require.EqualValues(t, 200, r.Quantile(0.99))

	r = CheckConfiguration(accepted, append(validAdoptions, Adoption{"i2", 1, 5, 400}), present, 1000)
	require.Len(t, r.Violations, 1)
	require.Equal(t, CheckRevert, r.Violations[0].Check)

	r = CheckConfiguration(accepted, append(validAdoptions, Adoption{"i2", 2, 5, 400}), present, 1000)
	require.Empty(t, r.Violations, "a restarted instance may start with an older revision")

	r = CheckConfiguration(accepted, validAdoptions[:2], present, 1000)
	require.Len(t, r.Violations, 1)
	require.Equal(t, CheckConfigurationLate, r.Violations[0].Check)

	r = CheckConfiguration(accepted, validAdoptions[:2],
		map[string]ConnectedPeriod{"i1": {0, 10_000}, "i2": {0, 500}}, 1000)
	require.Empty(t, r.Violations, "an instance whose connected period ends before the limit is not late")
}
