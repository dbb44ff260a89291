package edge

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/overload"
)

// flowLog writes rate-limited log lines about single flows and upstreams.
type flowLog struct {
	events eventLog
	// waits counts the packets that found no decision since the last line, by reason.
	waits map[forward.Reason]*waitCount
}

func newFlowLog(events eventLog) flowLog {
	return flowLog{events: events, waits: map[forward.Reason]*waitCount{}}
}

// waitCount is a number of packets and the fields of the first one.
type waitCount struct {
	packets int
	first   logrus.Fields
}

// countWait counts a packet that was dropped because the instance lacks state. Without
// state this happens to every packet, so that logWaits logs them together.
func (l flowLog) countWait(p *forward.Packet, d forward.Decision) {
	count := l.waits[d.Reason]
	if count == nil {
		count = &waitCount{first: flowFields(p)}
		l.waits[d.Reason] = count
	}
	count.packets++
}

// logWaits logs the packets that countWait has counted, one line for each reason.
func (l flowLog) logWaits() {
	for reason, count := range l.waits {
		count.first["reason"], count.first["packets"] = reason.String(), count.packets
		l.events.Flow(logrus.WarnLevel, "flow_wait", func() logrus.Fields { return count.first })
	}
	clear(l.waits)
}

// eventLog is the part of eventlog.Log that the traffic goroutine uses.
type eventLog interface {
	Flow(level logrus.Level, event string, fields func() logrus.Fields)
}

// logDecision logs a decision with its inputs and their age. Decisions other than to
// forward are warnings.
func (l flowLog) logDecision(now time.Time, p *forward.Packet, d forward.Decision, snapshot *catalog.Snapshot) {
	level := logrus.InfoLevel
	if d.Action != forward.Forward {
		level = logrus.WarnLevel
	}
	l.events.Flow(level, "flow_"+d.Action.String(), func() logrus.Fields {
		fields := flowFields(p)
		fields["reason"] = d.Reason.String()
		fields["copy"] = p.Copy
		if d.Choice != nil {
			fields["tier"], fields["domain_cause"] = d.Choice.Tier.String(), d.Choice.Cause.String()
		}
		if a := d.Admission; a != nil && a.Reason != overload.NotShort {
			fields["admission"], fields["priority"] = a.Reason.String(), a.Priority
			fields["expected_ms"], fields["bound_ms"] = a.Expected.Milliseconds(), a.Bound.Milliseconds()
			fields["occupancy"] = fmt.Sprintf("%.2f", a.Occupancy)
			fields["reports_age_ms"] = a.ReportAge.Milliseconds()
		}
		if d.Upstream != nil {
			fields["upstream"], fields["upstream_domain"] = d.Upstream.ID, d.Upstream.FailureDomain
			fields["upstream_revision"] = d.Upstream.Revision
		} else {
			fields["cookie"] = fmt.Sprintf("%08x", uint32(p.Cookie))
		}
		if d.Grounds != nil {
			addGrounds(fields, *d.Grounds)
		}
		if snapshot != nil {
			fields["available_ms"] = ageMS(now, snapshot.AvailableSince)
			fields["config_version"], fields["upstreams_revision"] = snapshot.Version, snapshot.Revisions[catalog.KindUpstreams]
			fields["upstreams_age_ms"] = now.Sub(snapshot.AsOf(catalog.KindUpstreams)).Milliseconds()
			fields["config_age_ms"] = now.Sub(snapshot.AsOf(catalog.KindConfiguration)).Milliseconds()
		}
		return fields
	})
}

// logSendFailed logs that a packet could not be sent to an upstream, or a reset to the
// caller if upstream is nil.
func (l flowLog) logSendFailed(p *forward.Packet, upstream *catalog.Entry, err error) {
	l.events.Flow(logrus.WarnLevel, "send_failed", func() logrus.Fields {
		fields := flowFields(p)
		fields["error"] = err
		if upstream != nil {
			fields["upstream"] = upstream.ID
		}
		return fields
	})
}

// logProbe logs the result of a probe and the number of flows reset because of it.
func (l flowLog) logProbe(now time.Time, result evidence.ProbeResult, effect forward.ProbeEffect) {
	l.events.Flow(logrus.InfoLevel, "upstream_probed", func() logrus.Fields {
		fields := logrus.Fields{
			"upstream": result.Upstream.ID, "verdict": result.Outcome.String(), "sign": result.Trigger.String(), "upstream_revision": result.Upstream.Revision,
			"took_ms": now.Sub(result.Started).Milliseconds(), "flows_reset": len(effect.Resets),
			"inconclusive": effect.Inconclusive, "contradicted": effect.Contradicted,
		}
		if result.Outcome != evidence.ProbeAlive {
			addGrounds(fields, effect.Grounds)
		}
		if result.Err != nil {
			fields["error"] = result.Err
		}
		return fields
	})
}

// logMoved logs that the packets of an established flow have begun to go to another upstream.
func (l flowLog) logMoved(p *forward.Packet, d forward.Decision) {
	l.events.Flow(logrus.WarnLevel, "flow_moved", func() logrus.Fields {
		fields := flowFields(p)
		fields["reason"], fields["upstream"], fields["ack"] = d.Reason.String(), d.Upstream.ID, p.Ack
		fields["from_cookie"], fields["cookie"] = fmt.Sprintf("%08x", uint32(d.MovedFrom)), fmt.Sprintf("%08x", uint32(p.Cookie))
		return fields
	})
}

// addGrounds adds what the standing of an upstream rests on, ages in ms and -1 for what has
// not happened.
func addGrounds(fields logrus.Fields, g evidence.Grounds) {
	fields["draining"], fields["probe_pending"], fields["last_verdict"] = g.Draining, g.Pending, g.Outcome.String()
	for name, age := range map[string]time.Duration{
		"missing_ms": g.Missing, "answered_ms": g.Answered, "probed_ms": g.Probed, "doubted_ms": g.Doubted,
		"contradicted_ms": g.Contradicted,
	} {
		if fields[name] = int64(-1); age != evidence.Never {
			fields[name] = age.Milliseconds()
		}
	}
}

// ageMS returns the time since an event in ms, or -1 if it has not happened.
func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// logFailing logs that an upstream leaves requests unanswered and therefore gets no new
// flows.
func (l flowLog) logFailing(lost evidence.LostRequest) {
	l.events.Flow(logrus.WarnLevel, "upstream_failing", func() logrus.Fields {
		return logrus.Fields{
			"upstream": lost.Upstream.ID, "upstream_domain": lost.Upstream.FailureDomain, "lost": fmt.Sprintf("%.1f", lost.Weight),
			"service_average": fmt.Sprintf("%.1f", lost.Average), "own": lost.Local, "upstream_revision": lost.Upstream.Revision,
		}
	})
}

// logAvoided logs that new flows begin to avoid an upstream that falls behind or refuses
// requests.
func (l flowLog) logAvoided(avoided forward.AvoidedUpstream) {
	l.events.Flow(logrus.WarnLevel, "upstream_avoided", func() logrus.Fields {
		return logrus.Fields{
			"upstream": avoided.Upstream.ID, "upstream_domain": avoided.Upstream.FailureDomain, "reason": avoided.Reason.String(),
			"value": fmt.Sprintf("%.2f", avoided.Value), "others": fmt.Sprintf("%.2f", avoided.Others), "upstream_revision": avoided.Upstream.Revision,
		}
	})
}

// logUnanswered logs a probe without an answer after evidence.LateProbeAfter, and
// whether the upstream is reported to peers.
func (l flowLog) logUnanswered(probe evidence.Probe, reported bool) {
	l.events.Flow(logrus.InfoLevel, "probe_unanswered", func() logrus.Fields {
		return logrus.Fields{
			"upstream": probe.Upstream.ID, "sign": probe.Trigger.String(), "upstream_revision": probe.Upstream.Revision,
			"after_ms": evidence.LateProbeAfter.Milliseconds(), "reported": reported,
		}
	})
}

// flowFields returns the fields that identify a flow: the caller's and the service's
// address, and the sequence number of the packet, which for an opening packet is
// the initial one of the flow.
func flowFields(p *forward.Packet) logrus.Fields {
	return logrus.Fields{"caller": p.Flow.Caller.String(), "service": p.Flow.Service.String(), "seq": p.Seq}
}
