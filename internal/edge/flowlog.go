package edge

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
)

// flowLog writes the decisions about single flows.
type flowLog struct{ events eventLog }

// eventLog is the part of eventlog.Log that the traffic goroutine uses.
type eventLog interface {
	Flow(level logrus.Level, event string, fields func() logrus.Fields)
}

// decided logs a decision with the inputs that led to it and their age.
func (l flowLog) decided(now time.Time, p *forward.Packet, d forward.Decision, view *catalog.Snapshot) {
	level := logrus.InfoLevel
	if d.Action != forward.Forward {
		level = logrus.WarnLevel
	}
	l.events.Flow(level, "flow_"+d.Action.String(), func() logrus.Fields {
		fields := flowFields(p)
		fields["reason"] = d.Reason.String()
		fields["copy"] = p.Copy
		if d.Detail != "" {
			fields["tier"] = d.Detail
		}
		if d.Upstream != nil {
			fields["upstream"], fields["upstream_domain"] = d.Upstream.ID, d.Upstream.FailureDomain
			fields["upstream_revision"] = d.Upstream.Revision
		} else {
			fields["cookie"] = fmt.Sprintf("%08x", uint32(p.Cookie))
		}
		if view != nil {
			fields["config_version"], fields["upstreams_revision"] = view.Version, view.Revisions[catalog.KindUpstreams]
			fields["upstreams_age_ms"] = now.Sub(view.Confirmed[catalog.KindUpstreams]).Milliseconds()
			fields["config_age_ms"] = now.Sub(view.Confirmed[catalog.KindConfiguration]).Milliseconds()
		}
		return fields
	})
}

func (l flowLog) sendFailed(p *forward.Packet, upstream *catalog.Entry, err error) {
	l.events.Flow(logrus.WarnLevel, "send_failed", func() logrus.Fields {
		fields := flowFields(p)
		fields["error"] = err
		if upstream != nil {
			fields["upstream"] = upstream.ID
		}
		return fields
	})
}

// probed logs the outcome of a probe.
func (l flowLog) probed(now time.Time, result forward.ProbeResult, ended forward.Abandoned) {
	l.events.Flow(logrus.InfoLevel, "upstream_probed", func() logrus.Fields {
		return logrus.Fields{
			"upstream": result.Upstream.ID, "verdict": result.Verdict.String(), "sign": result.Sign.String(), "upstream_revision": result.Upstream.Revision,
			"took_ms": now.Sub(result.Started).Milliseconds(), "flows_reset": len(ended.Flows),
			"inconclusive": ended.Inconclusive,
		}
	})
}

// failing logs that an upstream leaves requests without an answer.
func (l flowLog) failing(f forward.Failure) {
	l.events.Flow(logrus.WarnLevel, "upstream_failing", func() logrus.Fields {
		return logrus.Fields{
			"upstream": f.Upstream.ID, "upstream_domain": f.Upstream.FailureDomain, "lost": fmt.Sprintf("%.1f", f.Weight),
			"service_average": fmt.Sprintf("%.1f", f.Average), "own": f.Own, "upstream_revision": f.Upstream.Revision,
		}
	})
}

// unanswered logs a probe that has had no answer for a while.
func (l flowLog) unanswered(probe forward.Probe, reported bool) {
	l.events.Flow(logrus.InfoLevel, "probe_unanswered", func() logrus.Fields {
		return logrus.Fields{
			"upstream": probe.Upstream.ID, "sign": probe.Sign.String(), "upstream_revision": probe.Upstream.Revision,
			"after_ms": forward.UnansweredAfter.Milliseconds(), "reported": reported,
		}
	})
}

// flowFields identifies a flow: its two ends and the sequence number of the
// packet, which for an opening packet is that of the flow.
func flowFields(p *forward.Packet) logrus.Fields {
	return logrus.Fields{"caller": p.Flow.Caller.String(), "service": p.Flow.Service.String(), "seq": p.Seq}
}
