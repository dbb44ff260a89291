package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/node"
	"github.com/chivemast/chivemast/internal/traffic"
)

// runControlLoop is the control goroutine, through which every event reaches the
// decision core. The end of ctx starts a graceful shutdown; the loop returns when that
// has finished or when stop ends.
func (daemon *Daemon) runControlLoop(ctx, stop context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextTick := time.Now()
	shutdown := ctx.Done()
	var deadline time.Time
	for {
		var actions []action.Action
		select {
		case <-stop.Done():
			if !deadline.IsZero() {
				daemon.log.WithFields(logrus.Fields{"event": "shutdown_aborted", "in_flight": daemon.node.Summary().InFlight}).
					Warn("graceful shutdown aborted")
			}
			return nil
		case <-shutdown:
			shutdown = nil
			deadline = time.Now().Add(daemon.settings.Limits.ShutdownTimeoutMS.Duration())
			daemon.log.WithField("event", "shutdown_started").Info("graceful shutdown started")
			actions = daemon.node.Shutdown(time.Now())
		case in := <-daemon.inboundPackets:
			actions = daemon.handleInboundPacket(in)
		case m := <-daemon.peerMessages:
			actions = daemon.node.HandlePeer(time.Now(), m)
		case e := <-daemon.platform.Events():
			daemon.logPlatformReachability(e)
			actions = daemon.node.HandlePlatform(time.Now(), e)
		case r := <-daemon.probeResults:
			actions = daemon.node.HandleProbe(time.Now(), r)
		case reply := <-daemon.statusRequests:
			reply <- daemon.node.Status()
			continue
		case now := <-timer.C:
			if !now.Before(nextTick) {
				nextTick = now.Add(node.TickInterval)
			}
			actions = daemon.node.Tick(now)
			daemon.publishState()
			if done, reason := daemon.shutdownFinished(now, deadline); done {
				daemon.log.WithFields(logrus.Fields{"event": "shutdown_finished", "reason": reason}).Info("graceful shutdown finished")
				return nil
			}
		}
		daemon.performActions(actions)
		daemon.resetTimer(timer, nextTick)
	}
}

// resetTimer sets the timer to the next tick, or to the next deadline of the node if
// that is earlier.
func (daemon *Daemon) resetTimer(timer *time.Timer, nextTick time.Time) {
	next := nextTick
	if due := daemon.node.NextDue(); !due.IsZero() && due.Before(next) {
		next = due
	}
	timer.Reset(max(0, time.Until(next)))
}

// shutdownFinished reports whether a graceful shutdown is over, and for which reason:
// "timeout" when deadline has passed, "done" when the node has been complete for
// forwardAfterHandover. A zero deadline means that no shutdown has started.
func (daemon *Daemon) shutdownFinished(now, deadline time.Time) (bool, string) {
	if deadline.IsZero() {
		return false, ""
	}
	if !now.Before(deadline) {
		return true, "timeout"
	}
	if !daemon.node.ShutdownComplete() {
		daemon.state.completeSince = time.Time{}
		return false, ""
	}
	if daemon.state.completeSince.IsZero() {
		daemon.state.completeSince = now
	}
	return now.Sub(daemon.state.completeSince) >= forwardAfterHandover, "done"
}

func (daemon *Daemon) handleInboundPacket(in traffic.Inbound) []action.Action {
	if in.FromUpstream {
		return daemon.node.HandleUpstream(time.Now(), in.Packet, in.Source)
	}
	return daemon.node.HandlePacket(time.Now(), in.Packet)
}

// publishState passes the state of the node to the traffic goroutines and the metrics,
// and logs changes of readiness and of the configuration revision.
func (daemon *Daemon) publishState() {
	daemon.traffic.SetRouter(daemon.node.Snapshot(time.Now))
	status := daemon.node.Summary()
	if status.Ready != daemon.state.ready.Load() {
		daemon.log.WithFields(logrus.Fields{"event": "readiness_changed", "ready": status.Ready}).Info("readiness changed")
	}
	daemon.state.setReady(status.Ready)
	daemon.metrics.SetRevision(status.Revision)
	daemon.metrics.SetInFlight(status.InFlight)
	daemon.metrics.SetTrackedFlows(status.TrackedFlows)
	daemon.metrics.SetBucketsInTransition(status.BucketsInTransition)
	if status.Revision != daemon.state.revision {
		daemon.log.WithFields(logrus.Fields{"event": "revision_adopted", "revision": status.Revision}).Info("configuration revision applied")
		daemon.state.revision = status.Revision
	}
}

// performActions performs the actions that the node returned.
func (daemon *Daemon) performActions(actions []action.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendUpstream:
			daemon.traffic.SendUpstream(a.Address, a.Packet)
		case action.SendCaller:
			daemon.traffic.SendCaller(a.Packet)
		case action.SendPeer:
			daemon.peers.Send(a.Address, a.Message)
		case action.Probe:
			daemon.probes.enqueue(a)
		default:
			if err := daemon.platform.Do(a); err != nil {
				daemon.log.WithFields(logrus.Fields{"event": "platform_action_refused", "error": err}).Warn("platform client refused an action")
			}
		}
	}
}

// requestStatus asks the control goroutine for the status of the node. It fails with
// the error of ctx.
func (daemon *Daemon) requestStatus(ctx context.Context) (*pb.StatusResponse, error) {
	reply := make(chan *pb.StatusResponse, 1)
	select {
	case daemon.statusRequests <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
