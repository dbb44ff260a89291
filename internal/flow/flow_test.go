package flow

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a hash that differs between instances or spreads flows
// unevenly over buckets.
func TestHashSpreadsFlowsOverBuckets(t *testing.T) {
	const flows = 200_000
	var counts [Buckets]int
	for id := range uint64(flows) {
		key, err := ParseKey("127.0.0.1:4000", "10.0.0.1:80", id)
		require.NoError(t, err)
		require.Equal(t, key.Hash(), key.Hash())
		counts[Bucket(key.Hash())]++
	}
	// The mean is 195 and the standard deviation 14; the bound is six standard
	// deviations.
	for bucket, count := range counts {
		require.InDelta(t, flows/Buckets, count, 84, "bucket %d", bucket)
	}
}

// Guards against flow keys that are built from malformed addresses.
func TestParseKeyRejectsMalformedAddresses(t *testing.T) {
	for _, value := range []string{"", "10.0.0.1", "host:80", "10.0.0.1:70000"} {
		_, err := ParseKey("127.0.0.1:1", value, 1)
		var target *AddressError
		require.ErrorAs(t, err, &target)
		require.Equal(t, "service", target.Field)
	}
}
