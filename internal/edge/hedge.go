package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/hedge"
)

// keptOpens holds the bytes of the opening packets that wait for an extra attempt.
type keptOpens struct {
	// buffers holds, by slot, the free prefix and the packet as it was received. The
	// buffers are reused, so that an opening packet is copied without an allocation.
	buffers [][]byte
	// due is a buffer for the decisions of forward.Engine.TakeHedges.
	due []forward.Hedge
}

func (k *keptOpens) keep(slot int, buffer []byte) {
	for len(k.buffers) <= slot {
		k.buffers = append(k.buffers, nil)
	}
	k.buffers[slot] = append(k.buffers[slot][:0], buffer...)
}

// sendHedges decides on the extra attempts that are due and sends them.
func (loop *trafficLoop) sendHedges(now time.Time) {
	loop.hedges.due = loop.engine.TakeHedges(now, loop.hedges.due[:0])
	for i := range loop.hedges.due {
		decided := &loop.hedges.due[i]
		if decided.Result == hedge.Sent {
			buffer := loop.hedges.buffers[decided.Slot]
			loop.codec.EncodeForward(buffer, decided.Second)
			if _, err := loop.conn.WriteToUDPAddrPort(buffer, decided.Second.Address); err != nil {
				loop.metrics.countDrop(dropSocket)
				loop.log.logSendFailed(&forward.Packet{Flow: decided.Flow, Seq: decided.Seq}, decided.Second, err)
			}
		}
		loop.metrics.countHedge(decided.Result)
		loop.log.logHedge(now, decided, loop.currentSnapshot)
	}
}

// logHedge logs a decision about an extra attempt, with its inputs and their age.
func (l flowLog) logHedge(now time.Time, h *forward.Hedge, snapshot *catalog.Snapshot) {
	l.events.Flow(logrus.InfoLevel, "flow_hedged", func() logrus.Fields {
		fields := flowFields(&forward.Packet{Flow: h.Flow, Seq: h.Seq})
		fields["reason"] = h.Result.String()
		fields["waited_ms"], fields["delay_ms"] = h.Waited.Milliseconds(), h.Delay.Milliseconds()
		fields["budget"] = h.Tokens
		if h.First != nil {
			fields["first_upstream"], fields["first_domain"] = h.First.ID, h.First.FailureDomain
		}
		if h.Second != nil {
			fields["upstream"], fields["upstream_domain"] = h.Second.ID, h.Second.FailureDomain
		}
		if snapshot != nil {
			fields["upstreams_revision"] = snapshot.Revisions[catalog.KindUpstreams]
			fields["upstreams_age_ms"] = now.Sub(snapshot.AsOf(catalog.KindUpstreams)).Milliseconds()
		}
		return fields
	})
}

// logHedgeResult logs that an extra attempt was answered first, or that an opening packet
// could not be kept.
func (l flowLog) logHedgeResult(p *forward.Packet, d forward.Decision) {
	l.events.Flow(logrus.InfoLevel, "flow_hedged", func() logrus.Fields {
		fields := flowFields(p)
		fields["reason"] = d.Hedge.String()
		fields["upstream"], fields["upstream_domain"] = d.Upstream.ID, d.Upstream.FailureDomain
		if d.HandshakeTime > 0 {
			fields["answered_ms"] = d.HandshakeTime.Milliseconds()
		}
		return fields
	})
}
