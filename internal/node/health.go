package node

import (
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/health"
)

// HandleProbe processes the result of a health probe. It never returns actions.
func (node *Node) HandleProbe(now time.Time, result action.ProbeResult) []action.Action {
	node.attributeWork(DutyHealth)
	node.advanceTimeReusingView(now)
	node.health.HandleProbe(now, result)
	if result.Err == nil {
		node.observeBootID(now, result.Name, result.BootID)
	}
	node.snapshotOutdated = true
	return nil
}

// handleGrant processes a credit grant, which may show that the upstream is warm.
func (node *Node) handleGrant(now time.Time, grant *pb.CreditGrant) {
	node.credits.HandleGrant(now, grant)
	if node.credits.Warm(grant.GetUpstream()) {
		node.health.MarkWarm(now, grant.GetUpstream(), grant.GetBootId())
		node.snapshotOutdated = true
	}
}

// reconcileWarmStates aligns the warm state of every upstream between admission, which
// learns it from credit grants, and health, which learns it from the reports of other
// instances.
func (node *Node) reconcileWarmStates(now time.Time) {
	for name := range node.knownUpstreams {
		state, warm := node.health.State(name), node.credits.Warm(name)
		switch {
		case warm && state == health.Cold && node.agreedWarm[name]:
			// Both agreed on warm, and now a report of another instance or an answer of
			// the upstream itself shows that it is cold again.
			node.credits.MarkCold(now, name)
			node.agreedWarm[name] = false
		case warm && state == health.Cold:
			node.health.MarkWarm(now, name, node.health.BootID(name))
		case !warm && state == health.Warm:
			node.credits.MarkWarm(now, name, node.health.BootID(name))
		case state == health.Warm:
			node.agreedWarm[name] = true
			continue
		default:
			continue
		}
		node.snapshotOutdated = true
	}
}

// observeBootID passes a boot id of an upstream to admission. A new id means that the
// upstream restarted and is cold.
func (node *Node) observeBootID(now time.Time, name string, bootID uint64) {
	if node.credits.ObserveBoot(name, bootID) {
		node.health.Observe(now, name, health.SignalReset)
		node.snapshotOutdated = true
	}
}

// observeSignal passes a signal of the data path to health. If health then considers
// the upstream cold, after a run of shed answers, admission requires credits for it
// again.
func (node *Node) observeSignal(now time.Time, name string, signal health.Signal) {
	before := node.health.State(name)
	node.health.Observe(now, name, signal)
	if before != health.Cold && node.health.State(name) == health.Cold {
		node.credits.MarkCold(now, name)
		node.snapshotOutdated = true
	}
}

// refreshHealthReports takes a new set of health reports for the heartbeats at most
// once per second.
func (node *Node) refreshHealthReports(now time.Time) {
	if now.Before(node.nextReportAt) {
		return
	}
	node.nextReportAt = now.Add(time.Second)
	node.healthReports = node.health.Report(now)
}

// attachHealthReports adds the current health reports to the heartbeats among the
// actions.
func (node *Node) attachHealthReports(actions []action.Action) []action.Action {
	for _, a := range actions {
		send, ok := a.(action.SendPeer)
		if !ok {
			continue
		}
		if hb := send.Message.GetHeartbeat(); hb != nil {
			hb.Upstreams = node.healthReports
		}
	}
	return actions
}
