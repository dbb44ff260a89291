package edge

import (
	"net/netip"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/forward"
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
