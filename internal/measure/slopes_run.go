package measure

import (
	"runtime"
	"time"

	"github.com/chivemast/chivemast/internal/node"
)

// runCore measures one decision core among instances that only take part in the
// membership.
func (s *Slopes) runCore(size Size) error {
	opt := slopeRunOptions(size, s.Seed)
	opt.CoreCount, opt.WriterStagger = 1, time.Millisecond
	opt.Load.OpensPerSecond = opensPerInstance
	// Without requests: instances without a decision core hold lease slots but
	// decide no requests.
	opt.Load.RequestsPerSecond = -1
	w, err := NewWorld(opt)
	if err != nil {
		return err
	}
	w.runUntil(virtualStart.Add(opt.SettleTime + coreWarmUp))
	s.printSteadyCosts("core", size, w, coreWindow)
	s.printRetainedMemory(size, w)
	return nil
}

// printSteadyCosts measures and prints the costs of each work category while
// nothing changes.
func (s *Slopes) printSteadyCosts(kind string, size Size, w *World, window time.Duration) costWindow {
	steady := w.measureCosts(window)
	meteredInstances := w.setAllocationCounting(true)
	allocated := w.measureCosts(allocationWindow)
	w.setAllocationCounting(false)
	allCategories := 0.0
	for category := range node.WorkCategoryCount {
		values := steady.meanOfCategory(category)
		sum := uint64(0)
		for _, c := range allocated.costs[:meteredInstances] {
			sum += c[category].allocatedBytes
		}
		values["allocated_bytes_per_second"] = float64(sum) / float64(meteredInstances) / allocated.seconds
		allCategories += values["allocated_bytes_per_second"]
		s.printValues(kind, category.String(), size, values)
	}
	values := steady.totalOfCategories()
	values["allocated_bytes_per_second"] = allCategories
	s.printValues(kind, "all", size, values)
	return steady
}

// reachableHeapBytes returns the bytes of the reachable objects on the heap.
func reachableHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// printRetainedMemory measures the memory that the first decision core and its
// routing snapshot retain, by dropping them. This stops the instance.
func (s *Slopes) printRetainedMemory(size Size, w *World) {
	i := w.instances[0]
	i.running = false
	before := reachableHeapBytes()
	i.snapshot = nil
	withoutSnapshot := reachableHeapBytes()
	i.core = nil
	withoutCore := reachableHeapBytes()
	s.printValues("memory", "retained", size, map[string]float64{
		"snapshot_bytes": before - withoutSnapshot, "core_bytes": withoutSnapshot - withoutCore,
	})
	// Without this, the garbage collector could free the rest of the run too.
	runtime.KeepAlive(w)
}

// runFleet measures a fleet in which every instance runs a decision core, and
// the one-off events if the fleet has at most EventLimit instances.
func (s *Slopes) runFleet(size Size) error {
	opt := slopeRunOptions(size, s.Seed)
	w, err := NewWorld(opt)
	if err != nil {
		return err
	}
	w.runUntil(virtualStart.Add(opt.SettleTime + fleetWarmUp))
	steady := s.printSteadyCosts("fleet", size, w, fleetWindow)
	if size.Instances <= s.EventLimit {
		(&eventRun{slopes: s, size: size, world: w, steadyCosts: steady}).runEvents()
	}
	return nil
}
