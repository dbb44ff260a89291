package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/forward"
)

const (
	// refusedProbesBeforeExit is the number of refused readiness probes after which the
	// fabric's routers stop sending to an instance.
	refusedProbesBeforeExit = 2
	// quietBeforeExit is the time without packets that is required before the exit.
	// It exceeds the 200 ms after which callers retransmit a packet.
	quietBeforeExit = 300 * time.Millisecond
	// exitPollInterval is the time between two checks whether the instance may exit.
	exitPollInterval = 50 * time.Millisecond
	// handoverTimeout is the maximum duration of the flow handover. After the
	// default shutdown_ms (5 s) it still ends within the platform's grace period
	// of 6 s.
	handoverTimeout = 500 * time.Millisecond
	// lackingTimeout is the maximum time for which the exit waits for instances that
	// lack state, and fetch it from this one in about 50 ms.
	lackingTimeout = 300 * time.Millisecond
)

// shutDown waits until ctx ends, makes the readiness probe fail, forwards packets until
// mayExit is true, and hands the remembered flows over. It returns early when stop
// ends.
func (instance *Instance) shutDown(ctx, stop context.Context) {
	select {
	case <-ctx.Done():
	case <-stop.Done():
		return
	}
	began := time.Now()
	instance.refusedProbes.Store(0)
	instance.shuttingDown.Store(true)
	instance.ready.Store(false)
	instance.relay.Leave()
	instance.log.Event(logrus.InfoLevel, "shutdown_started", logrus.Fields{"forwards_at_most_ms": instance.settings.ShutdownMS})
	ticker := time.NewTicker(exitPollInterval)
	defer ticker.Stop()
	for now := began; !instance.mayExit(now, began); {
		select {
		case now = <-ticker.C:
		case <-stop.Done():
			return
		}
	}
	instance.handOverFlows(stop)
	lacking := instance.awaitFetches(stop)
	instance.log.Event(logrus.InfoLevel, "shutdown_finished", logrus.Fields{
		"after_ms": time.Since(began).Milliseconds(), "probes_refused": instance.refusedProbes.Load(),
		"quiet_ms": time.Since(instance.traffic.lastPacket()).Milliseconds(), "flows_remembered": instance.metrics.flows.Load(),
		"members_lacking_state": lacking,
	})
}

// awaitFetches waits until no known instance lacks state, or for lackingTimeout, and
// returns the number of those that still lack some.
func (instance *Instance) awaitFetches(stop context.Context) int {
	ctx, cancel := context.WithTimeout(stop, lackingTimeout)
	defer cancel()
	ticker := time.NewTicker(exitPollInterval)
	defer ticker.Stop()
	for {
		lacking := instance.relay.Lacking(time.Now())
		if lacking == 0 || !instance.holdings().Positions.Complete() {
			return lacking
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return lacking
		}
	}
}

// handOverFlows sends the remembered flows to another instance of the failure domain and
// logs the outcome.
func (instance *Instance) handOverFlows(stop context.Context) {
	ctx, cancel := context.WithTimeout(stop, handoverTimeout)
	defer cancel()
	flows := instance.traffic.exportFlows(ctx)
	if len(flows) == 0 {
		return
	}
	peer, err := instance.relay.HandOver(ctx, flows)
	if err != nil {
		instance.log.Event(logrus.WarnLevel, "flows_not_handed_over", logrus.Fields{"flows": len(flows), "error": err})
		return
	}
	instance.log.Event(logrus.InfoLevel, "flows_handed_over", logrus.Fields{"flows": len(flows), "member": peer.Name})
}

// acceptFlows accepts the flows of an instance that shuts down. It returns false when
// this instance is shutting down, is not ready, or has too many imports waiting.
func (instance *Instance) acceptFlows(flows []forward.HandoverFlow) bool {
	if instance.shuttingDown.Load() || !instance.ready.Load() || !instance.traffic.importFlows(flows) {
		return false
	}
	instance.log.Event(logrus.InfoLevel, "flows_taken_over", logrus.Fields{"flows": len(flows)})
	return true
}

// mayExit reports whether the instance may stop forwarding: shutdown_ms has passed
// since began, or refusedProbesBeforeExit readiness probes were refused and no packet
// arrived for quietBeforeExit. The routers go on sending while too few instances are ready.
func (instance *Instance) mayExit(now, began time.Time) bool {
	if now.Sub(began) >= instance.settings.shutdownTimeout() {
		return true
	}
	return instance.refusedProbes.Load() >= refusedProbesBeforeExit && now.Sub(instance.traffic.lastPacket()) >= quietBeforeExit
}
