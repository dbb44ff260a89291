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

// control is the control goroutine: every event of the decision core passes
// through it.
func (d *Daemon) control(ctx, stop context.Context) error {
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
				d.log.WithFields(logrus.Fields{"event": "shutdown_aborted", "in_flight": d.node.Summary().InFlight}).
					Warn("graceful shutdown aborted")
			}
			return nil
		case <-shutdown:
			shutdown = nil
			deadline = time.Now().Add(d.settings.Limits.ShutdownTimeoutMS.Duration())
			d.log.WithField("event", "shutdown_started").Info("graceful shutdown started")
			actions = d.node.Shutdown(time.Now())
		case in := <-d.packets:
			actions = d.handleInbound(in)
		case m := <-d.messages:
			actions = d.node.HandlePeer(time.Now(), m)
		case e := <-d.platform.Events():
			d.logPlatform(e)
			actions = d.node.HandlePlatform(time.Now(), e)
		case r := <-d.results:
			actions = d.node.HandleProbe(time.Now(), r)
		case reply := <-d.status:
			reply <- d.node.Status()
			continue
		case now := <-timer.C:
			if !now.Before(nextTick) {
				nextTick = now.Add(node.TickInterval)
			}
			actions = d.node.Tick(now)
			d.publish()
			if done, why := d.finished(now, deadline); done {
				d.log.WithFields(logrus.Fields{"event": "shutdown_finished", "reason": why}).Info("graceful shutdown finished")
				return nil
			}
		}
		d.execute(actions)
		d.arm(timer, nextTick)
	}
}

// arm sets the timer to the next tick or to an earlier deadline of the node.
func (d *Daemon) arm(timer *time.Timer, nextTick time.Time) {
	next := nextTick
	if due := d.node.NextDue(); !due.IsZero() && due.Before(next) {
		next = due
	}
	timer.Reset(max(0, time.Until(next)))
}

// finished tells whether a graceful shutdown is over, and why.
func (d *Daemon) finished(now, deadline time.Time) (bool, string) {
	if deadline.IsZero() {
		return false, ""
	}
	if !now.Before(deadline) {
		return true, "timeout"
	}
	if !d.node.ShutdownComplete() {
		d.ready.doneSince = time.Time{}
		return false, ""
	}
	if d.ready.doneSince.IsZero() {
		d.ready.doneSince = now
	}
	return now.Sub(d.ready.doneSince) >= lingerAfterHandover, "done"
}

func (d *Daemon) handleInbound(in traffic.Inbound) []action.Action {
	if in.FromUpstream {
		return d.node.HandleUpstream(time.Now(), in.Packet, in.Source)
	}
	return d.node.HandlePacket(time.Now(), in.Packet)
}

// publish makes the state of the core visible to traffic and metrics.
func (d *Daemon) publish() {
	d.traffic.SetRouter(d.node.Snapshot(time.Now))
	status := d.node.Summary()
	if status.Ready != d.ready.ready.Load() {
		d.log.WithFields(logrus.Fields{"event": "readiness_changed", "ready": status.Ready}).Info("readiness changed")
	}
	d.ready.set(status.Ready)
	d.metrics.SetRevision(status.Revision)
	d.metrics.SetInFlight(status.InFlight)
	d.metrics.SetExceptions(status.TrackedFlows)
	d.metrics.SetBucketsInTransition(status.BucketsInTransition)
	if status.Revision != d.ready.revision {
		d.log.WithFields(logrus.Fields{"event": "revision_adopted", "revision": status.Revision}).Info("configuration in force")
		d.ready.revision = status.Revision
	}
}

// execute carries out the actions of the core.
func (d *Daemon) execute(actions []action.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case action.SendUpstream:
			d.traffic.SendUpstream(a.Address, a.Packet)
		case action.SendCaller:
			d.traffic.SendCaller(a.Packet)
		case action.SendPeer:
			d.peers.Send(a.Address, a.Message)
		case action.Probe:
			d.probes.start(a)
		default:
			if err := d.platform.Do(a); err != nil {
				d.log.WithFields(logrus.Fields{"event": "platform_action_refused", "error": err}).Warn("platform action refused")
			}
		}
	}
}

// requestStatus asks the control goroutine for the status.
func (d *Daemon) requestStatus(ctx context.Context) (*pb.StatusResponse, error) {
	reply := make(chan *pb.StatusResponse, 1)
	select {
	case d.status <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
