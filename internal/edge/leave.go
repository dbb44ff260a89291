package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/forward"
)

const (
	// probesToLeave is the number of refused readiness probes after which the
	// routers stop sending to an instance.
	probesToLeave = 2
	// quietToLeave is how long no packet may have arrived: more than the time
	// after which callers send a packet again (200 ms).
	quietToLeave = 300 * time.Millisecond
	// leavePoll is the time between two looks at a leaving instance.
	leavePoll = 50 * time.Millisecond
	// handoverTimeout bounds how long a leaving instance hands its flows over.
	// With the longest wait before (5 s) it ends within the users' grace (6 s).
	handoverTimeout = 500 * time.Millisecond
)

// leave waits for the end of ctx, takes the instance out of the rotation, and
// goes on forwarding until the routers have noticed.
func (i *Instance) leave(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
	case <-stop.Done():
		return
	}
	began := time.Now()
	i.refused.Store(0)
	i.leaving.Store(true)
	i.ready.Store(false)
	i.log.Event(logrus.InfoLevel, "shutdown_started", logrus.Fields{"forwards_at_most_ms": i.settings.ShutdownMS})
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for now := began; !i.mayExit(now, began); {
		select {
		case now = <-ticker.C:
		case <-stop.Done():
			return
		}
	}
	i.handOver(stop)
	i.log.Event(logrus.InfoLevel, "shutdown_finished", logrus.Fields{
		"after_ms": time.Since(began).Milliseconds(), "probes_refused": i.refused.Load(),
		"quiet_ms": time.Since(i.traffic.lastPacket()).Milliseconds(), "flows_remembered": i.metrics.flows.Load(),
	})
}

// handOver gives the remembered flows to another instance of the failure domain.
func (i *Instance) handOver(stop context.Context) {
	ctx, cancel := context.WithTimeout(stop, handoverTimeout)
	defer cancel()
	flows := i.traffic.exportFlows(ctx)
	if len(flows) == 0 {
		return
	}
	mate, err := i.relay.HandOver(ctx, flows)
	if err != nil {
		i.log.Event(logrus.WarnLevel, "flows_not_handed_over", logrus.Fields{"flows": len(flows), "error": err})
		return
	}
	i.log.Event(logrus.InfoLevel, "flows_handed_over", logrus.Fields{"flows": len(flows), "member": mate.Name})
}

// takeFlows takes flows over from an instance that leaves.
func (i *Instance) takeFlows(flows []forward.FlowState) bool {
	if i.leaving.Load() || !i.ready.Load() || !i.traffic.importFlows(flows) {
		return false
	}
	i.log.Event(logrus.InfoLevel, "flows_taken_over", logrus.Fields{"flows": len(flows)})
	return true
}

// mayExit tells whether the routers have taken a leaving instance out of the
// rotation. They go on sending while too few instances are left.
func (i *Instance) mayExit(now, began time.Time) bool {
	if now.Sub(began) >= i.settings.shutdown() {
		return true
	}
	return i.refused.Load() >= probesToLeave && now.Sub(i.traffic.lastPacket()) >= quietToLeave
}
