package daemon

import (
	"github.com/sirupsen/logrus"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/telemetry"
)

// observer converts reports of the other packages into metrics and log lines.
type observer struct{ daemon *Daemon }

// ControlBytes implements peer.Observer.
func (o observer) ControlBytes(kind telemetry.MessageKind, direction telemetry.Direction, n int) {
	o.daemon.metrics.ControlBytes(kind, direction, n)
}

// Dropped implements peer.Observer, traffic.Observer and node.Observer.
func (o observer) Dropped(reason string) { o.daemon.metrics.Dropped(telemetry.DropReasonOf(reason)) }

// Forwarded implements traffic.Observer.
func (o observer) Forwarded() { o.daemon.metrics.Forwarded() }

// Refused implements node.Observer.
func (o observer) Refused(reason pb.RefusalReason) { o.daemon.metrics.Refused(reason) }

// InvalidObject implements node.Observer.
func (o observer) InvalidObject(err error) {
	o.daemon.metrics.InvalidObject()
	o.daemon.log.WithFields(logrus.Fields{"event": "object_invalid", "error": err}).Warn("configuration object not applied")
}

// logPlatformReachability logs the first failed read or watch of the platform, and the
// first successful one after it. Results of writes are ignored.
func (daemon *Daemon) logPlatformReachability(event action.PlatformEvent) {
	var err error
	switch e := event.(type) {
	case action.ReadFailed:
		err = e.Err
	case action.WatchLost:
		err = e.Err
	case action.ObjectsRead, action.InstancesRead:
	default:
		return
	}
	unreachable := err != nil
	if unreachable == daemon.state.platformUnreachable {
		return
	}
	daemon.state.platformUnreachable = unreachable
	if unreachable {
		daemon.log.WithFields(logrus.Fields{"event": "platform_lost", "error": err}).Warn("platform does not answer")
		return
	}
	daemon.log.WithField("event", "platform_back").Info("platform answers again")
}
