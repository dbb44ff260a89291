package health

import (
	"slices"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

// reportsPerChange is the number of heartbeats that report a state change, with
// one heartbeat per second.
const reportsPerChange = int(ChangeReportWindow / time.Second)

// upstream is what this instance knows about one upstream.
type upstream struct {
	ref       UpstreamRef
	state     State
	changedAt time.Time // last change of state, zero for none

	// bootID is the latest boot id, 0 while it is not known.
	bootID uint64
	// warmBootID is the boot id under which the upstream was last confirmed
	// warm, 0 for none.
	warmBootID uint64
	// formerBootIDs holds the latest maxFormerBootIDs boot ids before bootID,
	// oldest first. A report that names one of them is late and is ignored.
	formerBootIDs []uint64

	// isProber is true when this instance probes the upstream for its failure
	// domain.
	isProber    bool
	nextProbeAt time.Time
	// failures counts consecutive failures and successes consecutive successful
	// probes, both as seen by this instance.
	failures, successes int
	// locallyDead is set when this instance has seen Config.DeadAfter consecutive
	// failures, and cleared by recovery: Config.AliveAfter successful probes or an
	// answer on the data path.
	locallyDead bool
	// coldSignalled is set when a signal of the data path made the upstream cold.
	// Reports of other instances that say warm are ignored until MarkWarm or a
	// new boot id clears it.
	coldSignalled bool
	// coldObserved is true when something showed the upstream to be cold: its own
	// statement, a new boot id or a signal of the data path. It is false when the
	// upstream only lacks a proof that it is warm. Only an observed cold state is
	// reported, so that an instance that has just started does not make the
	// others take every upstream for cold.
	coldObserved bool
	// consecutiveSheds counts shed answers since the last other answer. A new
	// boot id resets it, and so does reaching Config.ColdAfterSheds.
	consecutiveSheds int
	// answeredAt is the time of the last answer on the data path, zero for none.
	answeredAt time.Time

	// observedAt is the time of the observation on which the state is based, zero
	// for none; fromOtherDomain is true when another failure domain made it.
	observedAt      time.Time
	fromOtherDomain bool
	// load and connections are what the upstream reported last.
	load        uint32
	connections uint32

	// reportedAt is when Report last returned the upstream, zero for never.
	reportedAt time.Time
	// reportsSinceChange counts the reports since the last change of state.
	reportsSinceChange int
}

// setState changes the state; a change is reported again from the start.
func (u *upstream) setState(now time.Time, state State) {
	if u.state != state {
		u.state, u.changedAt, u.reportsSinceChange = state, now, 0
	}
}

// recordFailure counts a failed probe, or a flow that failed on this instance.
func (u *upstream) recordFailure(now time.Time, cfg Config) {
	u.failures++
	u.successes = 0
	if u.failures >= cfg.DeadAfter && now.Sub(u.answeredAt) > AnswerValidity {
		u.locallyDead = true
		u.setObservedAt(now)
		u.setState(now, Dead)
	}
}

// setObservedAt records an observation that this instance made itself.
func (u *upstream) setObservedAt(at time.Time) {
	u.observedAt, u.fromOtherDomain = at, false
}

// recordProbeAnswer applies the result of a probe that was answered. An upstream
// that reports itself dead counts as failed.
func (u *upstream) recordProbeAnswer(now time.Time, cfg Config, result action.ProbeResult) {
	u.setObservedAt(now)
	u.load, u.connections = result.Load, result.Connections
	u.updateBootID(now, result.BootID)
	if result.State == pb.UpstreamHealth_STATE_DEAD {
		u.recordFailure(now, cfg)
		return
	}
	u.failures = 0
	u.successes++
	if result.State == pb.UpstreamHealth_STATE_DRAINING {
		u.successes = 0
	}
	if (u.state == Dead || u.state == Draining) && result.State != pb.UpstreamHealth_STATE_DRAINING && u.successes < cfg.AliveAfter {
		return
	}
	u.locallyDead = false
	u.setLiveState(now, result.State)
}

// setLiveState sets the state of an upstream that answers. Its own report is
// believed when it says cold or draining; warm needs a confirmation under the
// current boot id that no signal of the data path contradicts.
func (u *upstream) setLiveState(now time.Time, reported pb.UpstreamHealth_State) {
	switch {
	case reported == pb.UpstreamHealth_STATE_DRAINING:
		u.setState(now, Draining)
	case reported == pb.UpstreamHealth_STATE_COLD:
		u.warmBootID, u.coldObserved = 0, true
		u.setState(now, Cold)
	case u.bootID != 0 && u.warmBootID == u.bootID && !u.coldSignalled:
		u.setState(now, Warm)
	default:
		u.setState(now, Cold)
	}
}

// updateBootID records the boot id of a probe or report, 0 for unknown. A change
// means that the upstream restarted and makes a warm one cold.
func (u *upstream) updateBootID(now time.Time, id uint64) {
	if id == 0 || id == u.bootID {
		return
	}
	if u.bootID != 0 {
		u.formerBootIDs = append(u.formerBootIDs, u.bootID)
		if len(u.formerBootIDs) > maxFormerBootIDs {
			u.formerBootIDs = u.formerBootIDs[1:]
		}
		u.warmBootID, u.coldObserved = 0, true
		if u.state == Warm {
			u.setState(now, Cold)
		}
	}
	u.formerBootIDs = slices.DeleteFunc(u.formerBootIDs, func(old uint64) bool { return old == id })
	u.bootID, u.coldSignalled, u.consecutiveSheds = id, false, 0
}

// markCold records a signal of the data path that the upstream is cold.
func (u *upstream) markCold(now time.Time) {
	u.coldSignalled, u.coldObserved, u.warmBootID = true, true, 0
	u.setObservedAt(now)
	if u.state == Warm {
		u.setState(now, Cold)
	}
}

// recordAnswer records that the upstream answered on the data path.
func (u *upstream) recordAnswer(now time.Time) {
	u.answeredAt = now
	u.failures, u.consecutiveSheds, u.locallyDead = 0, 0, false
	if u.state == Dead {
		u.setLiveState(now, pb.UpstreamHealth_STATE_UNSPECIFIED)
	}
}

// applyReport applies a report of another instance. The report is ignored when it
// names a former boot id, when it comes from another failure domain although the
// own one has an observation, or when it is no newer than an observation
// of the same origin. If this instance probes the upstream or has found it dead
// itself, applyReportAsProber decides instead.
func (u *upstream) applyReport(now time.Time, cfg Config, r *pb.UpstreamHealth, ownDomain bool) {
	at := now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
	switch {
	case u.isProber, u.locallyDead:
		u.applyReportAsProber(now, at, r)
		return
	case !at.After(u.observedAt) && (u.fromOtherDomain == !ownDomain || !ownDomain):
		return
	case !ownDomain && !u.fromOtherDomain && !u.observedAt.IsZero():
		return
	case slices.Contains(u.formerBootIDs, r.GetBootId()):
		return
	}
	u.observedAt, u.fromOtherDomain = at, !ownDomain
	u.load, u.connections = r.GetLoad(), r.GetConnections()
	u.updateBootID(now, r.GetBootId())
	switch r.GetState() {
	case pb.UpstreamHealth_STATE_DEAD:
		if now.Sub(u.answeredAt) > AnswerValidity {
			u.setState(now, Dead)
		}
	case pb.UpstreamHealth_STATE_WARM:
		u.applyWarmReport(r.GetBootId())
		u.setLiveState(now, r.GetState())
	default:
		u.setLiveState(now, r.GetState())
	}
}

// applyWarmReport records that another instance has found the upstream warm under
// its current boot id. A cold signal on this instance's data path outweighs it.
func (u *upstream) applyWarmReport(bootID uint64) {
	if !u.coldSignalled && bootID != 0 && bootID == u.bootID {
		u.warmBootID, u.coldObserved = bootID, false
	}
}

// applyReportAsProber applies a report about an upstream that this instance probes
// itself. It uses only the states warm and cold under the same boot id, because
// probes do not show them.
func (u *upstream) applyReportAsProber(now, at time.Time, r *pb.UpstreamHealth) {
	if u.bootID == 0 || r.GetBootId() != u.bootID {
		return
	}
	switch r.GetState() {
	case pb.UpstreamHealth_STATE_WARM:
		u.applyWarmReport(r.GetBootId())
		if u.state == Cold {
			u.setLiveState(now, r.GetState())
		}
	case pb.UpstreamHealth_STATE_COLD:
		if u.state == Warm && at.After(u.changedAt) {
			u.setLiveState(now, r.GetState())
		}
	}
}

// reportable reports whether the state is based on an observation of the own
// failure domain. Others are not passed on, because receivers take the failure
// domain of the sender for the origin of a report.
func (u *upstream) reportable() bool { return !u.observedAt.IsZero() && !u.fromOtherDomain }

// reportDue reports whether Report has to return the upstream now.
func (u *upstream) reportDue(now time.Time, cfg Config) bool {
	if !u.changedAt.IsZero() && u.reportsSinceChange < reportsPerChange {
		return true
	}
	return u.isProber && now.Sub(u.reportedAt) >= cfg.RefreshInterval
}

// reportEntry returns the entry for heartbeats. Its state is STATE_UNSPECIFIED
// when the upstream answers but is known to be neither warm nor cold.
func (u *upstream) reportEntry(now time.Time) *pb.UpstreamHealth {
	states := map[State]pb.UpstreamHealth_State{
		Cold: pb.UpstreamHealth_STATE_COLD, Warm: pb.UpstreamHealth_STATE_WARM,
		Dead: pb.UpstreamHealth_STATE_DEAD, Draining: pb.UpstreamHealth_STATE_DRAINING,
	}
	state := states[u.state]
	if u.state == Cold && !u.coldObserved {
		state = pb.UpstreamHealth_STATE_UNSPECIFIED
	}
	return &pb.UpstreamHealth{
		Upstream: u.ref.Name, BootId: u.bootID, State: state,
		Load: u.load, Connections: u.connections,
		AgeMs: uint32(now.Sub(u.observedAt).Milliseconds()),
	}
}
