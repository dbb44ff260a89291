package forward

import (
	"net/netip"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// routeFreshness is the age of the configuration up to which a missing
	// route is refused; an older view may lack a route that was just added, and
	// the caller's next copy may find an instance that has it.
	routeFreshness = 3 * time.Second
	// isolatedAfter is the age of the view of the upstreams from which an
	// instance keeps flows in its failure domain: the store confirms it at least
	// every 2 s, and answers within 0.3 s even when it is slow.
	isolatedAfter = 2500 * time.Millisecond
)

// Config sets up an Engine.
type Config struct {
	FailureDomain string
	// ColdFactor and ColdSlack bound the flows that cold upstreams get in a
	// second, over all instances: rate * factor + slack.
	ColdFactor, ColdSlack float64
	// MaxFlows bounds the remembered flows.
	MaxFlows int
}

// Engine decides packets. It belongs to one goroutine.
type Engine struct {
	cfg  Config
	view *catalog.Snapshot
	// sharing belongs to the limits of cold upstreams.
	sharing Sharing
	flows   flowTable
	stats   map[flowcookie.Cookie]*upstreamStats

	// pending are opening packets by the time at which they were sent.
	pending []pendingOpen
	// asks are requests without an answer by the time at which they were sent,
	// one for each upstream; askSigned is when one was last taken as a sign.
	asks      []pendingAsk
	askSigned time.Time
	// lastOpen is the last flow that each caller address opened, until it is
	// answered and another one is opened.
	lastOpen map[netip.Addr]*flowRecord

	// answers are requests without an answer by the time at which they were
	// sent, losses those of each group that got none, failures what others do
	// not know of them yet.
	answers  []pendingAnswer
	losses   map[lossGroup]*losses
	failures []Failure

	// delays are the times to an answer by service.
	delays map[string]*delay

	probes []Probe
	// reached is when the last probe began that an upstream answered, controlled
	// when upstreams were last probed to find out.
	reached, controlled time.Time
	// slow is when a probe was last answered late; unconfirmed are probes without
	// an answer for which no other upstream has answered yet.
	slow        time.Time
	unconfirmed []Probe

	weights    []int
	candidates []choice.Candidate
	entries    []*catalog.Entry
}

// New returns an engine without a view: every packet waits.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, flows: newFlowTable(cfg.MaxFlows), stats: map[flowcookie.Cookie]*upstreamStats{}, lastOpen: map[netip.Addr]*flowRecord{},
		delays: map[string]*delay{}, losses: map[lossGroup]*losses{}}
}

// Adopt makes a snapshot the view for the packets that follow.
func (e *Engine) Adopt(view *catalog.Snapshot) {
	same := view.SameUpstreams(e.view)
	e.view = view
	if same {
		return
	}
	e.probeRemoved()
	for cookie := range e.stats {
		if view.Resolve(cookie) == nil {
			delete(e.stats, cookie)
		}
	}
}

// probeRemoved asks for probes of upstreams that have flows here and are no
// longer listed.
func (e *Engine) probeRemoved() {
	for cookie, stats := range e.stats {
		entry := e.view.Resolve(cookie)
		if entry != nil && !entry.RemovedAt.IsZero() && stats.flows > 0 && stats.probe.asked.Before(entry.RemovedAt) {
			e.wantProbe(entry.RemovedAt, cookie, SignRemoved)
		}
	}
}

// Expire forgets idle flows.
func (e *Engine) Expire(now time.Time) {
	for _, record := range e.flows.expire(now) {
		e.forget(record)
	}
	for address, record := range e.lastOpen {
		if now.Sub(record.lastSeen) > retryWindow {
			delete(e.lastOpen, address)
		}
	}
}

// Decide returns what happens to a packet.
func (e *Engine) Decide(now time.Time, p *Packet) Decision {
	if e.view == nil {
		return Decision{Action: Wait, Reason: ReasonNotSynchronized}
	}
	e.checkPending(now)
	var decision Decision
	if p.Open {
		decision = e.open(now, p)
	} else {
		decision = e.established(now, p)
	}
	// The packet itself may show that an upstream answers.
	e.checkAsks(now)
	e.checkAnswers(now)
	return decision
}

func (e *Engine) established(now time.Time, p *Packet) Decision {
	if e.view.Dropped(p.Flow.Service) {
		return e.reset(p, ReasonRouteRemoved, nil)
	}
	if p.Cookie == flowcookie.None {
		return Decision{Action: Drop, Reason: ReasonNoCookie}
	}
	entry := e.view.Resolve(p.Cookie)
	if entry == nil {
		if e.view.Complete(now) && !p.Reset {
			return e.reset(p, ReasonUnknownCookie, nil)
		}
		return Decision{Action: Wait, Reason: ReasonUnknownCookie}
	}
	if reason, ended := e.ended(now, entry); ended && !p.Reset {
		return e.reset(p, reason, entry)
	}
	return Decision{Action: Forward, Reason: ReasonEstablished, Upstream: entry, Answer: e.observe(now, p)}
}

// ended tells whether an upstream can no longer answer its flows. The store
// alone does not prove it: an entry also vanishes when the upstream has lost the
// store. A probe decides.
func (e *Engine) ended(now time.Time, entry *catalog.Entry) (Reason, bool) {
	if entry.Replaced {
		return ReasonUpstreamGone, true
	}
	stats := e.statsOf(entry.Cookie)
	if stats.probe.proven(now) {
		return ReasonUpstreamSilent, true
	}
	if stats.probe.failed() {
		// A cut may be over since. The outcome ends the flow, or lets it go on.
		e.wantProbe(now, entry.Cookie, SignSilent)
	}
	if entry.RemovedAt.IsZero() || now.Sub(stats.answered) < answerWindow {
		return 0, false
	}
	e.wantProbe(now, entry.Cookie, SignRemoved)
	gone := entry.Gone(now) && e.view.Complete(now)
	return ReasonUpstreamGone, gone && !stats.probe.alive(now) && !stats.probe.pending
}

// reset forgets a flow and returns the decision to reset it.
func (e *Engine) reset(p *Packet, reason Reason, entry *catalog.Entry) Decision {
	e.discard(p.Flow)
	return Decision{Action: Reset, Reason: reason, Upstream: entry}
}

func (e *Engine) open(now time.Time, p *Packet) Decision {
	if !e.view.Ready() {
		return Decision{Action: Wait, Reason: ReasonNotSynchronized}
	}
	route := e.view.Route(p.Flow.Service)
	if route == nil {
		return e.noRoute(now, p)
	}
	hash := p.Flow.hash(p.Seq)
	record := e.flows.get(p.Flow)
	if record != nil && record.seq != p.Seq {
		// The caller uses the port again for another flow.
		e.discard(p.Flow)
		record = nil
	}
	service := e.service(route, hash)
	if service == nil {
		return Decision{Action: Reset, Reason: ReasonNoUpstream}
	}
	return e.assign(now, p, hash, service, record)
}

func (e *Engine) noRoute(now time.Time, p *Packet) Decision {
	switch {
	case e.view.Dropped(p.Flow.Service):
		return Decision{Action: Reset, Reason: ReasonRouteRemoved}
	case now.Sub(e.view.Confirmed[catalog.KindConfiguration]) <= routeFreshness:
		return Decision{Action: Reset, Reason: ReasonNoRoute}
	}
	return Decision{Action: Drop, Reason: ReasonNoRoute}
}

// service picks the service of a new flow by the weights of its route.
// Services without any upstream are passed over.
func (e *Engine) service(route *catalog.Route, hash uint64) *catalog.ServiceView {
	e.weights = e.weights[:0]
	for _, w := range route.Split {
		weight := w.Weight
		if s := e.view.Service(w.Service); s == nil || len(s.Entries)+len(s.Lapsed) == 0 {
			weight = 0
		}
		e.weights = append(e.weights, weight)
	}
	i := choice.Split(hash, e.weights)
	if i < 0 {
		return nil
	}
	return e.view.Service(route.Split[i].Service)
}

// assign chooses the upstream of a new flow; record is that of earlier copies,
// or nil.
func (e *Engine) assign(now time.Time, p *Packet, hash uint64, service *catalog.ServiceView, record *flowRecord) Decision {
	request := choice.Request{
		Hash:          hash,
		AverageDomain: float64(service.Total) / float64(max(service.Domains, 1)),
		Isolated:      e.isolated(now),
	}
	if record != nil {
		request.Exclude = record.tried()
	} else {
		request.Exclude = e.failedBefore(now, p)
	}
	limited := e.collect(now, service)
	i, tier := choice.Pick(request, e.candidates)
	switch {
	case i < 0 && limited:
		return Decision{Action: Drop, Reason: ReasonColdLimit}
	case i < 0:
		return Decision{Action: Reset, Reason: ReasonNoUpstream}
	}
	chosen := e.entries[i]
	if e.candidates[i].Cold {
		e.statsOf(chosen.Cookie).cold.take(now)
	}
	e.remember(now, p, chosen, record)
	reason := ReasonOpened
	if p.Copy > 0 {
		reason = ReasonOpenRepeated
	}
	return Decision{Action: Forward, Reason: reason, Upstream: chosen, Detail: tier.String()}
}

// collect sets the candidates for a new flow of a service. It tells whether cold
// upstreams were left out because of their limit.
func (e *Engine) collect(now time.Time, service *catalog.ServiceView) (limited bool) {
	entries := service.Entries
	if len(entries) == 0 {
		entries = service.Lapsed
	}
	e.candidates, e.entries = e.candidates[:0], e.entries[:0]
	for _, entry := range entries {
		if entry.Gone(now) {
			continue
		}
		stats := e.statsOf(entry.Cookie)
		cold, local := entry.Cold(now), entry.FailureDomain == e.cfg.FailureDomain
		if cold && (!local || !stats.cold.allows(now, e.coldBudget(service))) {
			limited = true
			continue
		}
		e.entries = append(e.entries, entry)
		e.candidates = append(e.candidates, choice.Candidate{
			Cookie: entry.Cookie, Local: local, Cold: cold,
			Suspect: stats.suspect(now), Slow: now.Before(stats.slowUntil) || now.Before(stats.failingUntil), Flows: stats.flows, Capacity: entry.Capacity,
		})
	}
	return limited
}

// coldBudget returns the limit of this instance for a cold upstream.
func (e *Engine) coldBudget(service *catalog.ServiceView) int {
	return coldBudget(service.ColdRate, e.cfg.ColdFactor, e.cfg.ColdSlack, e.sharing)
}

// Share sets how this instance shares the limits of cold upstreams.
func (e *Engine) Share(sharing Sharing) { e.sharing = sharing }

// Flows returns the number of remembered flows.
func (e *Engine) Flows() int { return len(e.flows.records) }

// isolated tells whether this instance has lost the store and may be cut off.
func (e *Engine) isolated(now time.Time) bool {
	return now.Sub(e.view.Confirmed[catalog.KindUpstreams]) > isolatedAfter
}

// CanServe tells whether a new flow of any service has an upstream that is not
// known to be silent. An instance that is cut off from all of them does better
// to leave the callers to others. While the store is in reach the instance is
// not cut off, and others would find no upstreams either.
func (e *Engine) CanServe(now time.Time) bool {
	if e.view == nil || !e.isolated(now) {
		return e.view != nil
	}
	for _, service := range e.view.Services() {
		for _, entry := range service.Entries {
			if stats := e.stats[entry.Cookie]; stats == nil || !(stats.probe.failed() || stats.probe.late) {
				return true
			}
		}
	}
	return false
}
