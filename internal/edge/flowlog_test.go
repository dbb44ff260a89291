package edge

import (
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/forward"
	"github.com/chivemast/chivemast/internal/overload"
)

// recordedLog records the lines of a flowLog.
type recordedLog struct{ lines []logrus.Fields }

func (r *recordedLog) Flow(_ logrus.Level, event string, fields func() logrus.Fields) {
	line := fields()
	line["event"] = event
	r.lines = append(r.lines, line)
}

// Guards against a line for every packet of an instance without state: 14,764 in 6 s on a
// day of seven instances.
func TestPacketsWithoutDecisionShareALine(t *testing.T) {
	recorded := &recordedLog{}
	log := newFlowLog(recorded)
	for port := range uint16(1000) {
		packet := &forward.Packet{Flow: forward.Flow{
			Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port+1), Service: netip.MustParseAddrPort("198.18.0.1:443"),
		}}
		reason := forward.ReasonNotSynchronized
		if port%10 == 9 {
			reason = forward.ReasonUnknownCookie
		}
		log.countWait(packet, forward.Decision{Action: forward.Wait, Reason: reason})
	}
	log.logWaits()
	log.logWaits()
	require.Len(t, recorded.lines, 2)
	packets := map[any]any{}
	for _, line := range recorded.lines {
		require.Equal(t, "flow_wait", line["event"])
		packets[line["reason"]] = line["packets"]
	}
	require.Equal(t, map[any]any{"not_synchronized": 900, "unknown_cookie": 100}, packets)
}

// Guards against a refused call whose reason, estimate and bound operators cannot find in
// one line and in the counter.
func TestRefusalsAreLoggedAndCounted(t *testing.T) {
	recorded := &recordedLog{}
	decision := forward.Decision{Action: forward.Reset, Reason: forward.ReasonOverloaded, Admission: &forward.Admission{
		Result: overload.Result{Reason: overload.Overloaded, Bound: 150 * time.Millisecond}, Priority: 2, Expected: 240 * time.Millisecond,
		Occupancy: 3.25, ReportAge: 80 * time.Millisecond,
	}}
	newFlowLog(recorded).logDecision(time.Now(), &forward.Packet{Open: true}, decision, nil)
	require.Subset(t, recorded.lines[0], logrus.Fields{
		"event": "flow_reset", "reason": "overloaded", "admission": "overloaded", "priority": 2, "expected_ms": int64(240), "bound_ms": int64(150),
		"occupancy": "3.25", "reports_age_ms": int64(80),
	})
	metrics, err := NewMetrics()
	require.NoError(t, err)
	metrics.countDecision(decision, false)
	require.EqualValues(t, 1, metrics.admissions.Get(2*len(overload.OutcomeLabels)+int(overload.OutcomeOverloaded)))
}

// Guards against an upstream without new flows whose reason operators cannot find.
func TestAvoidedUpstreamsAreLogged(t *testing.T) {
	recorded := &recordedLog{}
	entry := &catalog.Entry{Upstream: catalog.Upstream{ID: "i-1", FailureDomain: "a"}}
	newFlowLog(recorded).logAvoided(forward.AvoidedUpstream{Upstream: entry, Reason: forward.AvoidRefusesMore, Value: 0.5, Others: 0.02})
	require.Subset(t, recorded.lines[0], logrus.Fields{
		"event": "upstream_avoided", "reason": "refuses_more", "upstream": "i-1", "value": "0.50", "others": "0.02",
	})
}

// Guards against a reset flow of which the log does not show what the verdict on its upstream
// rests on, so that a wrong verdict cannot be told from a right one.
func TestResetsAreLoggedWithTheirGrounds(t *testing.T) {
	recorded := &recordedLog{}
	entry := &catalog.Entry{Upstream: catalog.Upstream{ID: "i-1"}}
	grounds := evidence.Grounds{
		Draining: true, Missing: evidence.Never, Answered: 90 * time.Millisecond, Outcome: evidence.ProbeRefused, Probed: 2 * time.Millisecond,
		Doubted: 310 * time.Millisecond, Contradicted: 87 * time.Millisecond,
	}
	decision := forward.Decision{Action: forward.Reset, Reason: forward.ReasonUpstreamFailed, Upstream: entry, Grounds: &grounds}
	newFlowLog(recorded).logDecision(time.Now(), &forward.Packet{}, decision, &catalog.Snapshot{})
	require.Subset(t, recorded.lines[0], logrus.Fields{
		"reason": "upstream_silent", "draining": true, "missing_ms": int64(-1), "answered_ms": int64(90), "last_verdict": "refused", "probed_ms": int64(2),
		"doubted_ms": int64(310), "contradicted_ms": int64(87), "available_ms": int64(-1),
	})
	metrics, err := NewMetrics()
	require.NoError(t, err)
	metrics.countDecision(decision, true)
	require.EqualValues(t, 1, metrics.resets.Get(int(decision.Reason)*len(upstreamLabels)+upstreamDraining))
}
