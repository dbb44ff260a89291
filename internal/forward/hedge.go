package forward

import (
	"container/heap"
	"slices"
	"time"

	"github.com/chivemast/chivemast/internal/catalog"
	"github.com/chivemast/chivemast/internal/choice"
	"github.com/chivemast/chivemast/internal/flowcookie"
	"github.com/chivemast/chivemast/internal/hedge"
)

const (
	// MaxHedgeWaits is the maximum number of opening packets that are kept for an extra
	// attempt: 2,500 openings per second that all stay unanswered for hedge.MaxDelay, or
	// 360 KB. Users open at most 70 flows per second on one instance.
	MaxHedgeWaits = 256
	// overdueWindow is the time for which an overdue opening counts against the failure
	// domain of its upstream; a probe of the upstream has a result by then.
	overdueWindow = time.Second
	// avoidFor is the longest time for which new flows avoid an upstream with an overdue
	// opening: openTimeout, 200 ms until the probe that follows has failed, and time for
	// both to be noticed. With 200 ms, the upstream as the least loaded one got 5 flows
	// within 10 ms before the probe had failed.
	avoidFor = 400 * time.Millisecond
	// maxOverdue is the maximum number of upstreams whose overdue openings are remembered.
	maxOverdue = 32
)

// Hedge is a decision about the extra attempt of an opening packet.
type Hedge struct {
	Result hedge.Result
	// Slot is the slot of the opening packet, Decision.HedgeSlot.
	Slot int
	Flow Flow
	Seq  uint32
	// First and Second are the upstreams of the first and the extra attempt. Second is
	// nil unless one could be chosen; the extra attempt is to be sent there when Result is
	// hedge.Sent. First is nil when the snapshot no longer knows it.
	First, Second *catalog.Entry
	// Waited is the time since the opening packet, Delay the time after which it was
	// overdue.
	Waited, Delay time.Duration
	// Tokens is the number of extra attempts that the budget paid for before.
	Tokens float64
}

// awaitAnswer queues the first copy of an opening packet of an idempotent route for an
// extra attempt, and earns its share of the budget. It returns the slot for the packet's
// bytes, or 0 and the reason.
func (e *Engine) awaitAnswer(now time.Time, p *Packet, route *catalog.Route, service string) (slot int, result hedge.Result) {
	h := &e.hedging
	record := e.flows.get(p.Flow)
	if e.cfg.HedgeShare <= 0 || !route.Terms.Idempotent || p.Copy > 0 || record == nil {
		return 0, hedge.None
	}
	h.budget.Earn(now, e.cfg.HedgeShare)
	switch last := len(h.freeSlots) - 1; {
	case last >= 0:
		slot, h.freeSlots = h.freeSlots[last], h.freeSlots[:last]
	case h.usedSlots < MaxHedgeWaits:
		h.usedSlots++
		slot = h.usedSlots
	default:
		return 0, hedge.NotKept
	}
	record.hedge = &hedgeWait{
		record: record, service: service, sentAt: now, slot: slot,
		delay: hedge.Delay(now, e.answerTimes(service), hedge.OpenQuantile, e.cfg.HedgeMinDelay),
	}
	heap.Push(&h.queue, record.hedge)
	return slot, hedge.None
}

// cancelHedge ends the wait of a flow record for an extra attempt, if there is one. An
// extra attempt that was sent stays recorded.
func (e *Engine) cancelHedge(record *flowRecord) {
	wait := record.hedge
	if wait == nil || wait.index == notQueued {
		return
	}
	heap.Remove(&e.hedging.queue, wait.index)
	wait.index = notQueued
	e.hedging.freeSlots = append(e.hedging.freeSlots, wait.slot)
	if wait.extra == flowcookie.None {
		record.hedge = nil
	}
}

// NextHedge returns when TakeHedges has the next decision; false when no opening packet
// waits.
func (e *Engine) NextHedge() (time.Time, bool) {
	if len(e.hedging.queue) == 0 {
		return time.Time{}, false
	}
	return e.hedging.queue[0].due(), true
}

// TakeHedges decides on the extra attempts that are due and appends the decisions to
// hedges. The slots are free when the next packet is decided.
func (e *Engine) TakeHedges(now time.Time, hedges []Hedge) []Hedge {
	for len(e.hedging.queue) > 0 && !now.Before(e.hedging.queue[0].due()) {
		wait := e.hedging.queue[0]
		hedges = append(hedges, e.decideHedge(now, wait))
		e.cancelHedge(wait.record)
	}
	return hedges
}

// decideHedge decides on the extra attempt of an opening packet that is overdue. The
// answer is not known, because the wait ends with it.
func (e *Engine) decideHedge(now time.Time, wait *hedgeWait) Hedge {
	record := wait.record
	first := record.targets[0]
	result := Hedge{
		Slot: wait.slot, Flow: record.flow, Seq: record.seq, First: e.snapshot.Resolve(first),
		Waited: now.Sub(wait.sentAt), Delay: wait.delay, Tokens: e.hedging.budget.Tokens(now),
	}
	if now.Sub(wait.due()) >= openTimeout {
		// After a pause of the process, the answer may wait unread in the socket, or the
		// caller may have given up.
		result.Result = hedge.NotKept
		return result
	}
	short := false
	// The configuration may have changed since the opening packet.
	route := e.snapshot.Route(record.flow.Service)
	if service := e.snapshot.Service(wait.service); service != nil && mayRepeat(route, wait.service) {
		_, short = e.occupancy(now, service)
		result.Second = e.pickSecond(now, wait, service, result.First, short)
	}
	result.Result = hedge.Decide(hedge.Input{
		Idempotent: true, Moved: e.hedging.flowMovedAt.After(wait.sentAt), Short: short, Upstream: result.Second != nil, Tokens: result.Tokens,
	})
	if result.Result == hedge.Sent {
		e.hedging.budget.Spend()
		wait.extra, wait.extraAt = result.Second.Cookie, now
		e.rememberTarget(now, record, result.Second.Cookie)
	}
	return result
}

// mayRepeat reports whether a route, which may be nil, is idempotent and lists a service with
// a positive weight.
func mayRepeat(route *catalog.Route, service string) bool {
	return route != nil && route.Terms.Idempotent &&
		slices.ContainsFunc(route.Split, func(w catalog.Weight) bool { return w.Service == service && w.Weight > 0 })
}

// pickSecond selects the upstream of an extra attempt: as for a new flow, but only one
// that is neither cold, slow nor suspect, and in another failure domain when two upstreams
// of the first one's domain leave openings unanswered. It returns nil without one.
func (e *Engine) pickSecond(now time.Time, wait *hedgeWait, service *catalog.ServiceView, first *catalog.Entry, short bool) *catalog.Entry {
	if len(service.Entries) == 0 {
		return nil
	}
	hash := wait.record.flow.hash(wait.record.seq)
	e.collectCandidates(now, service, short)
	e.preferDomain(now, hash, service)
	if first != nil && e.recordOverdue(now, first, wait.sentAt) {
		e.preferOtherDomains(now, first.FailureDomain)
	}
	e.avoidOverdue(now)
	i, tier := choice.Pick(choice.Request{Hash: hash, Exclude: wait.record.triedTargets()}, e.candidates)
	if tier > choice.Remote {
		return nil
	}
	return e.entries[i]
}

// preferOtherDomains marks the candidates outside a failure domain as preferred, those of
// domains that are not heard excepted while this instance is isolated. Without a usable
// one the preference stays.
func (e *Engine) preferOtherDomains(now time.Time, avoided string) {
	other := func(i int) bool {
		domain := e.entries[i].FailureDomain
		return domain != avoided && (domain == e.cfg.FailureDomain || !e.isolated(now) || e.load.Heard(now, domain))
	}
	for i := range e.candidates {
		if other(i) && e.candidates[i].Usable() {
			for j := range e.candidates {
				e.candidates[j].Preferred = other(j)
			}
			return
		}
	}
}

// recordOverdue records that an opening at an upstream is overdue, and reports whether two
// upstreams of its failure domain have overdue openings and have answered nothing since.
func (e *Engine) recordOverdue(now time.Time, first *catalog.Entry, sentAt time.Time) bool {
	h := &e.hedging
	h.overdue = slices.DeleteFunc(h.overdue, func(o overdueOpen) bool {
		return o.target == first.Cookie || now.Sub(o.sentAt) > overdueWindow
	})
	if len(h.overdue) == maxOverdue {
		h.overdue = slices.Delete(h.overdue, 0, 1)
	}
	another := slices.ContainsFunc(h.overdue, func(o overdueOpen) bool {
		return o.domain == first.FailureDomain && e.AnsweredAt(o.target).Before(o.sentAt)
	})
	h.overdue = append(h.overdue, overdueOpen{first.Cookie, first.FailureDomain, sentAt, now})
	return another && e.AnsweredAt(first.Cookie).Before(sentAt)
}

// avoidOverdue marks the candidates with an overdue opening as slow until they answer, for
// avoidFor at most. A flow that an extra attempt took over no longer counts as load of the
// silent upstream, which would otherwise get most of the new flows. When more than half of
// the candidates of the preferred domain are overdue, the callers or the network may be
// slow, and none is marked.
func (e *Engine) avoidOverdue(now time.Time) {
	if len(e.hedging.overdue) == 0 {
		return
	}
	preferred, marked := 0, 0
	each := func(visit func(c *choice.Candidate)) {
		for i := range e.candidates {
			if c := &e.candidates[i]; c.Usable() && c.Preferred {
				visit(c)
			}
		}
	}
	each(func(c *choice.Candidate) {
		preferred++
		if e.isOverdue(now, c.Cookie) {
			marked++
		}
	})
	if 2*marked > preferred {
		return
	}
	each(func(c *choice.Candidate) { c.Slow = e.isOverdue(now, c.Cookie) })
}

// isOverdue reports whether an upstream has answered nothing since an opening that became
// overdue within avoidFor. After that, or after an answer, it gets single openings until
// overdueWindow has passed: as the least loaded upstream it would otherwise get many
// before the next one is overdue.
func (e *Engine) isOverdue(now time.Time, target flowcookie.Cookie) bool {
	n := slices.IndexFunc(e.hedging.overdue, func(o overdueOpen) bool { return o.target == target })
	if n < 0 {
		return false
	}
	o := e.hedging.overdue[n]
	if now.Sub(o.dueAt) < avoidFor && e.AnsweredAt(target).Before(o.sentAt) {
		return true
	}
	return now.Sub(o.dueAt) < overdueWindow && slices.ContainsFunc(e.hedging.queue, func(w *hedgeWait) bool {
		return w.record.targets[0] == target
	})
}

// recordAnswerTime records the time from an opening packet to the next packet of its flow,
// measured from the copy that the answering upstream received, and returns hedge.Won when
// that was the extra attempt. Flows whose callers sent further copies are left out: it is
// not known which copy was answered.
func (e *Engine) recordAnswerTime(now time.Time, record *flowRecord, cookie flowcookie.Cookie) hedge.Result {
	extra := record.extra()
	copies := record.attempts
	if extra != flowcookie.None {
		copies--
	}
	if entry := e.snapshot.Resolve(cookie); entry != nil && copies == 1 && e.cfg.HedgeShare > 0 {
		switch cookie {
		case extra:
			e.answerTimes(entry.Service).Record(now, now.Sub(record.hedge.extraAt))
		case record.targets[0]:
			e.answerTimes(entry.Service).Record(now, now.Sub(record.opened))
		}
	}
	if extra != flowcookie.None && extra == cookie {
		return hedge.Won
	}
	return hedge.None
}

func (e *Engine) answerTimes(service string) *hedge.Histogram {
	times := e.hedging.times[service]
	if times == nil {
		times = &hedge.Histogram{}
		e.hedging.times[service] = times
	}
	return times
}

// stopHedging discards what extra attempts need while there are none.
func (e *Engine) stopHedging() {
	for len(e.hedging.queue) > 0 {
		e.cancelHedge(e.hedging.queue[0].record)
	}
	e.hedging = newHedging()
}
