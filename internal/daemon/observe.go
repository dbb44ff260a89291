package daemon

import (
	"github.com/sirupsen/logrus"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/telemetry"
)

// observer turns what the parts report into counters and log lines.
type observer struct{ daemon *Daemon }

// ControlBytes implements peer.Observer.
func (o observer) ControlBytes(kind telemetry.MessageKind, direction telemetry.Direction, n int) {
	o.daemon.metrics.ControlBytes(kind, direction, n)
}

// Dropped implements the observers of peer, traffic and node.
func (o observer) Dropped(reason string) { o.daemon.metrics.Dropped(telemetry.DropReasonOf(reason)) }

// Forwarded implements traffic.Observer.
func (o observer) Forwarded() { o.daemon.metrics.Forwarded() }

// Refused implements node.Observer.
func (o observer) Refused(reason pb.RefusalReason) { o.daemon.metrics.Refused(reason) }

// InvalidObject implements node.Observer.
func (o observer) InvalidObject(err error) {
	o.daemon.metrics.InvalidObject()
	o.daemon.log.WithFields(logrus.Fields{"event": "object_invalid", "error": err}).Warn("object not put in force")
}

// logPlatform logs the first failed call to the platform, and the first that
// succeeds again.
func (d *Daemon) logPlatform(event action.PlatformEvent) {
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
	lost := err != nil
	if lost == d.ready.platformLost {
		return
	}
	d.ready.platformLost = lost
	if lost {
		d.log.WithFields(logrus.Fields{"event": "platform_lost", "error": err}).Warn("platform does not answer")
		return
	}
	d.log.WithField("event", "platform_back").Info("platform answers again")
}
