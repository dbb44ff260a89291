package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/health"
)

// HandleProbe takes the result of a probe.
func (n *Node) HandleProbe(now time.Time, result action.ProbeResult) []action.Action {
	n.turn(DutyHealth)
	n.advancePacket(now)
	n.health.HandleProbe(now, result)
	if result.Err == nil {
		n.observeBoot(now, result.Name, result.BootID)
	}
	n.dirty = true
	return nil
}

func (n *Node) handleGrant(now time.Time, grant *pb.CreditGrant) {
	n.credits.HandleGrant(now, grant)
	if n.credits.Warm(grant.GetUpstream()) {
		n.health.MarkWarm(now, grant.GetUpstream(), grant.GetBootId())
		n.dirty = true
	}
}

// noteWarm carries the proof that an upstream is warm between admission, which
// finds it by the credits, and health, which hears of it from other instances.
func (n *Node) noteWarm(now time.Time) {
	for name := range n.knownUpstreams {
		state, warm := n.health.State(name), n.credits.Warm(name)
		switch {
		case warm && state == health.Cold && n.wasWarm[name]:
			// Another instance or the upstream itself says that it has turned
			// cold again.
			n.credits.MarkCold(now, name)
			n.wasWarm[name] = false
		case warm && state == health.Cold:
			n.health.MarkWarm(now, name, n.health.BootID(name))
		case !warm && state == health.Warm:
			n.credits.MarkWarm(now, name, n.health.BootID(name))
		case state == health.Warm:
			n.wasWarm[name] = true
			continue
		default:
			continue
		}
		n.dirty = true
	}
}

// observeBoot treats a new boot id as a cold start.
func (n *Node) observeBoot(now time.Time, name string, bootID uint64) {
	if n.credits.ObserveBoot(name, bootID) {
		n.health.Observe(now, name, health.SignalReset)
		n.dirty = true
	}
}

// observeSignal passes a signal of the data path on. An upstream that health
// finds cold by it, after a run of shed answers, needs credits again.
func (n *Node) observeSignal(now time.Time, name string, signal health.Signal) {
	before := n.health.State(name)
	n.health.Observe(now, name, signal)
	if before != health.Cold && n.health.State(name) == health.Cold {
		n.credits.MarkCold(now, name)
		n.dirty = true
	}
}

// refreshReports takes this second's health reports for the heartbeats.
func (n *Node) refreshReports(now time.Time) {
	if now.Before(n.nextReport) {
		return
	}
	n.nextReport = now.Add(time.Second)
	n.reports = n.health.Report(now)
}

// withReports adds the health reports to the heartbeats.
func (n *Node) withReports(actions []action.Action) []action.Action {
	for _, a := range actions {
		send, ok := a.(action.SendPeer)
		if !ok {
			continue
		}
		if hb := send.Message.GetHeartbeat(); hb != nil {
			hb.Upstreams = n.reports
		}
	}
	return actions
}
