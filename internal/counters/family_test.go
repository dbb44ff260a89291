package counters

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a count without an attribute set, which would panic on collection.
func TestFamilyHasAnAttributeSetForEachValue(t *testing.T) {
	one := NewFamily("reason", []string{"a", "b", "c"})
	require.Len(t, one.options, len(one.counts))
	require.Len(t, one.counts, 3)
	two := NewFamily2("kind", []string{"a", "b"}, "direction", []string{"in", "out", "both"})
	require.Len(t, two.options, len(two.counts))
	require.Len(t, two.counts, 6)
	two.Add(1*3+2, 5)
	require.EqualValues(t, 5, two.Get(5))
}

// Guards against a panic on a reason that only a newer peer knows.
func TestFamilyCountsUnknownValuesAtIndexZero(t *testing.T) {
	f := NewFamily("reason", []string{"other", "known"})
	f.Add(7, 1)
	f.Add(-1, 1)
	require.EqualValues(t, 2, f.Get(0))
}

// Guards against an allocation for every counted packet.
func TestFamilyAddDoesNotAllocate(t *testing.T) {
	f := NewFamily("reason", []string{"a"})
	require.Zero(t, testing.AllocsPerRun(100, func() { f.Add(0, 1) }))
}
