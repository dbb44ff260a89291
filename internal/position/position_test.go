package position

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against positions whose order differs from that of eras and revisions, and
// against a large revision that changes the era.
func TestPositionsKeepTheOrder(t *testing.T) {
	var last uint64
	for _, p := range [][2]uint64{{0, 1}, {0, 7}, {0, MaxRevision}, {1, 0}, {1, 5}, {2, 3}, {MaxEra, MaxRevision}} {
		position, err := Of(p[0], p[1])
		require.NoError(t, err)
		require.Greater(t, position, last)
		require.Equal(t, p, [2]uint64{Era(position), Revision(position)})
		last = position
	}
	for _, p := range [][2]uint64{{MaxEra + 1, 0}, {0, MaxRevision + 1}} {
		_, err := Of(p[0], p[1])
		require.Equal(t, &RangeError{Era: p[0], Revision: p[1]}, err)
	}
	position, err := Of(0, 23)
	require.NoError(t, err)
	require.EqualValues(t, 23, position, "a platform without eras keeps its revisions")
	require.Equal(t, "23", String(position))
	position, err = Of(2, 23)
	require.NoError(t, err)
	require.Equal(t, "23 of era 2", String(position))
}
