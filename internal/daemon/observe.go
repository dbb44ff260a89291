package daemon

import (
	"github.com/sirupsen/logrus"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
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
