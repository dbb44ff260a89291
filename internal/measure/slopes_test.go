package measure

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against wrong fits. Points on a line have to give no error; a point off
// the line has to show in the residual and in the standard error of the slope.
func TestFitLine(t *testing.T) {
	exact, ok := fitLine([]dataPoint{{9, 28}, {50, 110}, {200, 410}})
	require.True(t, ok)
	require.InDelta(t, 2, exact.slope, 1e-9)
	require.InDelta(t, 10, exact.intercept, 1e-9)
	require.InDelta(t, 0, exact.slopeError, 1e-9)
	off, ok := fitLine([]dataPoint{{0, 0}, {1, 0}, {2, 3}})
	require.True(t, ok)
	require.InDelta(t, 1.5, off.slope, 1e-9)
	require.InDelta(t, 0.7071, off.residual, 1e-4)
	require.InDelta(t, 0.8660, off.slopeError, 1e-4)
	_, ok = fitLine([]dataPoint{{9, 1}})
	require.False(t, ok)
	power, ok := fitPower([]dataPoint{{1, 3}, {10, 300}, {100, 30_000}})
	require.True(t, ok)
	require.InDelta(t, 2, power.slope, 1e-9)
}

// Guards against a list of sizes that is accepted although a number is missing,
// is not positive, or is one too many.
func TestParseSizes(t *testing.T) {
	sizes, err := ParseSizes("9/36/4,50/200/20")
	require.NoError(t, err)
	require.Equal(t, []Size{{9, 36, 4}, {50, 200, 20}}, sizes)
	for _, text := range []string{"9/36", "9/0/4", "a/b/c", "9/36/4/1"} {
		var bad *SizeError
		_, err := ParseSizes(text)
		require.ErrorAs(t, err, &bad, text)
	}
}

// Guards against work whose costs are not counted. A short run with one decision
// core has to show its heartbeats, probes, processor time and retained memory.
func TestCostsOfOneDecisionCore(t *testing.T) {
	var out bytes.Buffer
	s := Slopes{Seed: 1, Out: &out, Cores: []Size{{3, 6, 2}}}
	require.NoError(t, s.Run())
	value := func(kind, subject, quantity string) float64 {
		return s.points[series{kind, subject, quantity}][0].y
	}
	require.InDelta(t, 2, value("core", "membership", "sent_messages_per_second"), 0.2)
	require.Positive(t, value("core", "health", "probes_per_second"))
	require.Positive(t, value("core", "tables", "processor_us_per_second"))
	require.Positive(t, value("core", "all", "allocated_bytes_per_second"))
	require.Positive(t, value("memory", "retained", "core_bytes"))
	again := Slopes{}
	require.NoError(t, again.ReadResults(&out))
	require.InEpsilon(t, value("memory", "retained", "core_bytes"), again.points[series{"memory", "retained", "core_bytes"}][0].y, 0.001)
}
