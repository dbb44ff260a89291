package forward

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/evidence"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/inflight"
	"github.com/chivemast/chivemast/internal/load"
	"github.com/chivemast/chivemast/internal/overload"
)

const (
	// routeFreshness is the longest time since the store last confirmed the configuration
	// at which an opening packet to an address without a route is reset. One confirmed
	// earlier may lack a route that was just added; the packet is then dropped, because
	// the caller's next copy may reach an instance that has the route.
	routeFreshness = 3 * time.Second
	// isolatedAfter is the time since the store or a replica last answered about the
	// upstreams after which an instance keeps new flows in its failure domain. It is heard
	// at least every 2 s and answers within 0.3 s even when it is slow.
	isolatedAfter = 2500 * time.Millisecond
)

// Config holds the settings of an Engine.
type Config struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// ColdFactor and ColdSlack (in flows per second) bound the opening packets, copies
	// included, that one cold upstream receives per second from all instances of its
	// failure domain together: at most coldMargin * (the service's cold rate *
	// ColdFactor + ColdSlack). Instances of other failure domains send it none.
	ColdFactor, ColdSlack float64
	// MaxFlows is the maximum number of flow records.
	MaxFlows int
	// OverloadControl turns on the decisions that rest on the requests in flight of all
	// instances.
	OverloadControl bool
	Limits
	// CookieByID is set when the catalog issues cookies by id.
	CookieByID bool
	// Seed spreads the reports on response times of instances over time; it should
	// differ between instances.
	Seed uint64
}

// Engine decides what happens to each packet. It is not safe for concurrent use: one
// goroutine owns it.
type Engine struct {
	// Tracker holds the evidence about the upstreams.
	*evidence.Tracker
	cfg Config
	// snapshot is the current snapshot; nil until SetSnapshot.
	snapshot *catalog.Snapshot
	// peerRank is this instance's rank in its failure domain and the number of instances
	// there, among which the limits of cold upstreams are divided.
	peerRank PeerRank
	// flows holds the flow records. A record is removed when its flow ends, is reset or
	// is idle for flowIdle.
	flows flowTable
	// unplaced holds the flows whose packets can go nowhere as far as this instance knows,
	// under the cookies of the packets.
	unplaced arrivals
	// doubtful holds the flows with packets since the last probe of their upstream has failed,
	// under its Cookie.
	doubtful arrivals
	// loads holds what this instance sends to each upstream, by its cookie. SetSnapshot
	// removes the entries of upstreams that the snapshot does not know and that have no flow
	// records.
	loads map[flowcookie.Cookie]*upstreamLoad

	// pendingOpens is a queue that holds, for each flow record, the first copy of the
	// opening packet to each remembered upstream, oldest first. An element is removed
	// openTimeout after it was sent.
	pendingOpens []pendingOpen
	// lastOpen is the last flow that each caller address opened. An entry is removed
	// when the caller opens another flow after this one was answered or after
	// retryWindow, and by RemoveIdleFlows after retryWindow.
	lastOpen map[netip.Addr]*flowRecord

	// flowRequests is a queue of the requests whose loss can be detected, oldest first;
	// an element is removed after evidence.LostAfter.
	flowRequests []flowRequest

	// routeUses counts the uses of each route, by its address and service; callers
	// counts the flows that callers open. Both are empty unless Config.OverloadControl is
	// set.
	routeUses map[routeKey]*overload.Activity
	callers   overload.Callers

	// load is what this instance knows about the response times of the failure domains.
	load *load.View
	// speed is what this instance knows about the speed of upstreams.
	speed *speedState
	// inFlight is what this instance knows about the requests in flight of its failure
	// domain; nil without Config.OverloadControl. clock is the time of the last call that
	// may change the number of its own requests.
	inFlight *inflight.View
	clock    time.Time
	// firstOpenAt is the time of the first opening packet; used with Config.OverloadControl.
	firstOpenAt time.Time
	// epoch is the time of the first counted request.
	epoch time.Time
	// counted is a queue of the requests that count in inFlight, oldest first but for those
	// that were checked before their timeout. endOverdueInFlight removes its elements.
	counted []countedRequest
	demand  demand

	hedging hedging

	// weights, domains, candidates, entries and usable are buffers that are reused for each
	// opening packet; entries[i] belongs to candidates[i]. considered is
	// the last new flow for which an upstream was selected.
	weights    []int
	domains    []choice.Domain
	candidates []choice.Candidate
	entries    []*catalog.Entry
	usable     []inflight.Upstream
	considered considered
}

// considered is what the choice of an upstream rests on besides the candidates: the request,
// the service, why the flow goes to it, and why it stays in its failure domain or leaves it.
type considered struct {
	request                   choice.Request
	service                   *catalog.ServiceView
	serviceCause, domainCause choice.Cause
}

// New returns an engine without a snapshot. Until SetSnapshot is called, Decide returns
// Wait for every packet.
func New(cfg Config) *Engine {
	e := &Engine{
		Tracker: evidence.New(), cfg: cfg, flows: newFlowTable(cfg.MaxFlows),
		loads: map[flowcookie.Cookie]*upstreamLoad{}, lastOpen: map[netip.Addr]*flowRecord{},
		load: load.NewView(cfg.Seed), speed: newSpeedState(), routeUses: map[routeKey]*overload.Activity{},
		hedging: newHedging(), demand: newDemand(), unplaced: arrivals{}, doubtful: arrivals{},
	}
	if cfg.OverloadControl {
		e.inFlight = inflight.NewView(cfg.Seed)
	}
	return e
}

// SetSnapshot sets the snapshot for all later packets. When the upstreams have changed,
// it requests probes of removed upstreams that still have flow records here, unless one
// was requested since the removal, and discards the state of upstreams that the
// snapshot does not know.
func (e *Engine) SetSnapshot(snapshot *catalog.Snapshot) {
	same := snapshot.SameUpstreams(e.snapshot)
	e.snapshot = snapshot
	e.Tracker.SetSnapshot(snapshot)
	e.speed.retain(snapshot)
	if same {
		return
	}
	if e.inFlight != nil {
		e.inFlight.Retain(func(cookie flowcookie.Cookie) bool { return snapshot.Resolve(cookie) != nil })
	}
	e.hedging.forgetServices(snapshot)
	e.demand.retain(snapshot)
	for cookie, load := range e.loads {
		entry := snapshot.Resolve(cookie)
		switch {
		case entry == nil:
			// Flow records that are left are still to be subtracted: without the entry, an
			// upstream that returns would keep counts below 0.
			if load.flows <= 0 {
				delete(e.loads, cookie)
			}
		case !entry.RemovedAt.IsZero() && load.flows > 0:
			e.ProbeRemoved(entry)
		}
	}
}

// RemoveIdleFlows removes the records of flows without a packet for flowIdle, and the
// lastOpen entries whose flow has had no packet for retryWindow. Requests older than
// maxWait no longer count as waiting.
func (e *Engine) RemoveIdleFlows(now time.Time) {
	e.clock = now
	for _, record := range e.flows.records {
		if record.waiting && now.Sub(record.requestSentAt) > maxWait {
			e.releaseRequest(record)
		}
		// Callers that send data without answers would otherwise make the service look full
		// for as long as they do.
		if e.cfg.OverloadControl && record.waiting && now.Sub(e.epoch)-record.waitingSince > maxWait {
			e.releaseRequest(record)
			record.waitedOut = true
		}
		e.endIdleResponse(now, record)
	}
	for _, record := range e.flows.expire(now) {
		e.releaseLoad(record)
	}
	e.unplaced.expire(now)
	e.doubtful.expire(now)
	for address, record := range e.lastOpen {
		if now.Sub(record.lastSeen) > retryWindow {
			delete(e.lastOpen, address)
		}
	}
	e.endOverdueInFlight(now)
	e.removeUnusedAdmissionState(now)
}

// Decide returns what happens to a packet, and updates the flow records and the state
// of the upstreams from it.
func (e *Engine) Decide(now time.Time, p *Packet) Decision {
	if e.snapshot == nil {
		return Decision{Action: Wait, Reason: ReasonNotSynchronized}
	}
	e.clock = now
	e.endOverdueInFlight(now)
	e.checkPendingOpens(now)
	var decision Decision
	if p.Open {
		decision = e.decideOpen(now, p)
	} else {
		decision = e.decideEstablished(now, p)
	}
	// Timeouts are checked after the packet, because it may itself show that an
	// upstream answers.
	e.CheckRequests(now)
	e.checkFlowRequests(now)
	return decision
}

// decideEstablished decides on a packet of an established flow from its cookie, or from the
// flow record if that shows another upstream. It replaces the packet's cookie by the Cookie
// of the upstream. The latest incarnation has the token of earlier ones, so that it has
// accepted flows that were opened between its start and its first report.
func (e *Engine) decideEstablished(now time.Time, p *Packet) Decision {
	if e.snapshot.RouteRemoved(p.Flow.Service) {
		return e.decideUnplaced(p, ReasonRouteRemoved, e.absent(now, p, catalog.KindConfiguration))
	}
	if p.Cookie == flowcookie.None {
		return Decision{Action: Drop, Reason: ReasonNoCookie}
	}
	record := e.flows.get(p.Flow)
	entry, reason := e.resolve(now, p)
	if recorded := e.otherRecorded(record, entry); recorded != nil {
		switch {
		case !p.Reset && record.continuedBy(p) && e.standingOf(now, p.Flow, recorded) == evidence.Running:
			entry, reason = recorded, ReasonFlowRecord
		case p.Reset && entry != nil:
			// It rejects the answer of another upstream than the recorded one.
			p.Cookie = entry.Cookie
			return Decision{Action: Forward, Reason: reason, Upstream: entry}
		}
	}
	if entry == nil {
		return e.decideUnplaced(p, ReasonUnknownCookie, e.cookieUnknown(now, p))
	}
	e.unplaced.remove(arrivalKey{p.Flow, p.Cookie})
	p.Cookie = entry.Cookie
	standing := e.standingOf(now, p.Flow, entry)
	if standing == evidence.Failed && e.answeredSinceFailure(p) {
		e.RecordAnswer(now, p.Cookie)
		standing = e.Standing(now, entry)
	}
	if standing != evidence.Running && !p.Reset {
		grounds := e.Grounds(now, entry)
		e.doubtful.remove(arrivalKey{p.Flow, p.Cookie})
		decision := e.resetFlow(p, resetReasons[standing], entry)
		decision.Grounds = &grounds
		return decision
	}
	decision := Decision{Action: Forward, Reason: reason, Upstream: entry}
	e.observePacket(now, p, record, &decision)
	return decision
}

// resolve returns the upstream that the cookie of a packet leads to, or nil, and why. A
// cookie that is unknown but for the id of an upstream leads to the latest incarnation,
// unless that has ended. While this instance issues the earlier format, most unknown
// cookies have it and match an id by accident; the match then only takes the place of a
// reset.
func (e *Engine) resolve(now time.Time, p *Packet) (*catalog.Entry, Reason) {
	if entry := e.snapshot.ResolveFlow(now, p.Flow.Service, p.Cookie); entry != nil {
		if successor := e.snapshot.Successor(entry.Cookie); successor != nil {
			return successor, ReasonEarlierIncarnation
		}
		return entry, ReasonEstablished
	}
	if !e.cfg.CookieByID && !e.cookieUnknown(now, p) {
		return nil, ReasonUnknownCookie
	}
	latest := e.snapshot.ResolveID(p.Flow.Service, p.Cookie)
	if latest == nil || e.standingOf(now, p.Flow, latest) != evidence.Running {
		return nil, ReasonUnknownCookie
	}
	return latest, ReasonEarlierIncarnation
}

// standingOf returns the standing of an upstream for a flow. A failed probe that may be older
// than the flow does not count.
func (e *Engine) standingOf(now time.Time, flow Flow, entry *catalog.Entry) evidence.Standing {
	key := arrivalKey{flow, entry.Cookie}
	if !e.ProbeFailed(entry.Cookie) {
		e.doubtful.remove(key)
		return e.Standing(now, entry)
	}
	return e.FlowStanding(now, entry, e.doubtful.record(now, key))
}

// movedFrom returns the upstream to which the earlier packets of an answered flow went, unless
// target is a later incarnation of it.
func (e *Engine) movedFrom(record *flowRecord, target flowcookie.Cookie) flowcookie.Cookie {
	if successor := e.snapshot.Successor(record.targets[0]); successor != nil && successor.Cookie == target {
		return flowcookie.None
	}
	return record.targets[0]
}

// answeredSinceFailure reports whether a packet is the first that follows the opening packet
// of a flow that was opened here after the last failed probe of its upstream: the caller has
// the cookie from the upstream's answer.
func (e *Engine) answeredSinceFailure(p *Packet) bool {
	record := e.flows.get(p.Flow)
	return record != nil && !record.answered && slices.Contains(record.triedTargets(), p.Cookie) && record.opened.After(e.FailedAt(p.Cookie))
}

// resetReasons holds the reason of a reset by the standing of the flow's upstream.
var resetReasons = map[evidence.Standing]Reason{evidence.Ended: ReasonUpstreamGone, evidence.Failed: ReasonUpstreamFailed}

// resetFlow removes the flow record and returns the decision to reset the flow.
func (e *Engine) resetFlow(p *Packet, reason Reason, entry *catalog.Entry) Decision {
	e.removeFlow(p.Flow)
	return Decision{Action: Reset, Reason: reason, Upstream: entry}
}

// SetPeerRank sets how this instance shares the limits of cold upstreams with the other
// instances of its failure domain.
func (e *Engine) SetPeerRank(peerRank PeerRank) {
	e.peerRank = peerRank
	if e.inFlight != nil {
		e.inFlight.SetPeers(peerRank.Count - 1)
	}
}

// FlowCount returns the number of flow records.
func (e *Engine) FlowCount() int { return len(e.flows.records) }

// isolated reports whether nothing was heard of the store about the upstreams for more than
// isolatedAfter, so that this instance may be partitioned from other failure domains.
func (e *Engine) isolated(now time.Time) bool {
	return now.Sub(e.snapshot.Heard[catalog.KindUpstreams]) > isolatedAfter
}

// CanServe reports whether this instance should stay in the rotation. It is false
// without a snapshot, and when the instance is isolated and the last probe of every
// listed upstream failed or is unsettled, or there is no listed upstream: other
// instances may then reach the upstreams. While the store is within reach the instance
// is not partitioned, and other instances would not reach the upstreams either.
func (e *Engine) CanServe(now time.Time) bool {
	if e.snapshot == nil || !e.isolated(now) {
		return e.snapshot != nil
	}
	for _, service := range e.snapshot.Services() {
		for _, entry := range service.Entries {
			if !e.Unreachable(entry.Cookie) {
				return true
			}
		}
	}
	return false
}

// ProbeEffect says what follows from a probe result.
type ProbeEffect struct {
	evidence.ProbeEffect
	// Resets holds one packet for each flow whose record was removed; each is to be
	// answered with a reset. It is empty unless Failed is set.
	Resets []Packet
	// Grounds is what the effect rests on, the result included.
	Grounds evidence.Grounds
}

// HandleProbeResult records the result of a probe. On a conclusive failure, it removes
// the upstream's flow records and returns the resets to send. The failure of an earlier
// incarnation proves nothing about the latest one, and has no effect.
func (e *Engine) HandleProbeResult(now time.Time, result evidence.ProbeResult) ProbeEffect {
	if e.snapshot.Successor(result.Upstream.Cookie) != nil {
		e.CancelProbe(evidence.Probe{Upstream: result.Upstream})
		return ProbeEffect{}
	}
	e.clock = now
	effect := ProbeEffect{ProbeEffect: e.Tracker.HandleProbeResult(now, result)}
	effect.Grounds = e.Grounds(now, result.Upstream)
	if current := e.snapshot.Resolve(result.Upstream.Cookie); current != nil {
		effect.Grounds = e.Grounds(now, current)
	}
	if effect.Failed {
		effect.Resets = e.removeFlowsOf(result.Upstream.Cookie, result.Started)
	}
	return effect
}
