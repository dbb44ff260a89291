package measure

import (
	"runtime"
	"time"

	"github.com/chivemast/chivemast/internal/node"
)

// runCore measures one decision core among instances that only send
// heartbeats.
func (s *Slopes) runCore(size Size) error {
	opt := slopeOptions(size, s.Seed)
	opt.Cores, opt.WriterStagger = 1, time.Millisecond
	opt.Load.OpensPerSecond = opensPerInstance
	// Slot holders among the stand-ins would not decide requests.
	opt.Load.RequestsPerSecond = -1
	w, err := NewWorld(opt)
	if err != nil {
		return err
	}
	w.runUntil(epoch.Add(opt.Settle + coreWarmUp))
	s.printSteady("core", size, w, coreWindow)
	s.printMemory(size, w)
	return nil
}

// printSteady measures the duties without changes.
func (s *Slopes) printSteady(kind string, size Size, w *World, window time.Duration) period {
	steady := w.measure(window)
	metered := w.allocating(true)
	allocated := w.measure(allocatedWindow)
	w.allocating(false)
	all := 0.0
	for d := range node.WorkCategoryCount {
		values := steady.mean(d)
		sum := uint64(0)
		for _, c := range allocated.costs[:metered] {
			sum += c[d].allocated
		}
		values["allocated_bytes_per_second"] = float64(sum) / float64(metered) / allocated.seconds
		all += values["allocated_bytes_per_second"]
		s.print(kind, d.String(), size, values)
	}
	values := steady.total()
	values["allocated_bytes_per_second"] = all
	s.print(kind, "all", size, values)
	return steady
}

// reachableBytes returns the bytes of reachable objects.
func reachableBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// printMemory measures what the first core retains by dropping it, which ends
// its part of the run.
func (s *Slopes) printMemory(size Size, w *World) {
	i := w.instances[0]
	i.running = false
	before := reachableBytes()
	i.router = nil
	withoutSnapshot := reachableBytes()
	i.core = nil
	without := reachableBytes()
	s.print("memory", "retained", size, map[string]float64{
		"snapshot_bytes": before - withoutSnapshot, "core_bytes": withoutSnapshot - without,
	})
	// Without this, the collector frees the rest of the run as well.
	runtime.KeepAlive(w)
}

// runFleet measures a fleet in which every instance runs a decision core.
func (s *Slopes) runFleet(size Size) error {
	opt := slopeOptions(size, s.Seed)
	w, err := NewWorld(opt)
	if err != nil {
		return err
	}
	w.runUntil(epoch.Add(opt.Settle + slopeWarmUp))
	steady := s.printSteady("fleet", size, w, steadyWindow)
	if size.Instances <= s.EventLimit {
		(&eventRun{slopes: s, size: size, world: w, steady: steady}).run()
	}
	return nil
}
