package admission

import (
	"math"
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

const (
	// binWidth is the resolution at which granted credits are counted, and
	// binCount the number of bins that cover grantWindow and the current bin.
	binWidth = 10 * time.Millisecond
	binCount = int(grantWindow/binWidth) + 2
	// paceWindow and paceShare spread the credits over time: at most 15% of a
	// second's credits are granted within 100 ms.
	paceWindow = 100 * time.Millisecond
	paceShare  = 0.15
	// While credits are scarce, an instance requests 60% of the credits for the
	// opens that it expects, and 1 at least, because credits that it does not use
	// are lost to the others. Otherwise it requests 30% more than it expects, plus
	// 2.
	scarceRequestShare = 0.6
	normalRequestShare = 1.3
	// scarcityPeriod is the time for which credits count as scarce after a grant of
	// fewer than requested.
	scarcityPeriod = time.Second
)

// requester is the side of this instance that requests and spends credits for one
// upstream.
type requester struct {
	// credits is the number of credits left, valid until just before expiresAt.
	credits   int
	expiresAt time.Time
	// openAttempts counts the calls of Credits.AdmitOpen since rateUpdatedAt, and
	// openRate is their smoothed rate per second.
	openAttempts  int
	openRate      float64
	rateUpdatedAt time.Time
	// sequence is the sequence number of the request that is not answered yet, 0
	// for none; requestedCredits and sentAt belong to the latest request.
	sequence         uint64
	requestedCredits int
	sentAt           time.Time
	nextRequestAt    time.Time // earliest time of the next request
	scarceUntil      time.Time // end of the time in which credits count as scarce
}

// spendCredit spends one credit and reports whether a valid one was left.
func (r *requester) spendCredit(now time.Time) bool {
	if r.credits <= 0 || !now.Before(r.expiresAt) {
		return false
	}
	r.credits--
	return true
}

// nextRequest returns the request for credits to send now. It returns nil when the
// upstream is warm, when the next request is not due, and when there is no demand.
func (r *requester) nextRequest(now time.Time, c *Credits, u *upstream, name string) *pb.CreditRequest {
	attempts := r.openAttempts
	if elapsed := now.Sub(r.rateUpdatedAt); elapsed > 0 {
		const smoothing = 0.5
		current := float64(attempts) / min(elapsed, time.Second).Seconds()
		r.openRate += smoothing * (current - r.openRate)
		r.openAttempts, r.rateUpdatedAt = 0, now
	}
	if u.warm || now.Before(r.nextRequestAt) || attempts == 0 && r.openRate < 1 {
		return nil
	}
	c.sequence++
	r.sequence, r.sentAt = c.sequence, now
	expected := r.openRate * CreditSpendWindow.Seconds()
	if now.Before(r.scarceUntil) {
		r.requestedCredits = max(1, int(expected*scarceRequestShare))
	} else {
		r.requestedCredits = 2 + int(expected*normalRequestShare)
	}
	r.nextRequestAt = now.Add(requestBackoff)
	return &pb.CreditRequest{
		Upstream: name, Credits: uint32(r.requestedCredits), BootId: u.bootID, Sequence: r.sequence,
		FoundCold: now.Before(u.ignoreWarmUntil),
	}
}

// HandleGrant applies the answer to the latest request for credits. Answers to
// earlier requests, duplicates and credits for another boot id are ignored. A claim
// that the upstream is warm counts unless this instance found it cold within
// ignoreWarmPeriod.
func (c *Credits) HandleGrant(now time.Time, grant *pb.CreditGrant) {
	u := c.upstreams[grant.GetUpstream()]
	if u == nil || u.requester.sequence == 0 || grant.GetSequence() != u.requester.sequence {
		return
	}
	r := &u.requester
	r.sequence = 0
	u.updateBootID(grant.GetBootId())
	if grant.GetBootId() != u.bootID {
		return
	}
	if grant.GetWarm() && !now.Before(u.ignoreWarmUntil) {
		u.warm = true
		return
	}
	r.credits, r.expiresAt = min(int(grant.GetCredits()), r.requestedCredits), r.sentAt.Add(CreditSpendWindow)
	r.nextRequestAt = r.sentAt.Add(requestInterval)
	if r.credits < r.requestedCredits {
		r.scarceUntil = now.Add(scarcityPeriod)
	}
	if r.credits == 0 {
		// The random part lets each instance get credits in turn when there are
		// fewer credits than instances.
		r.nextRequestAt = r.sentAt.Add(requestBackoff/2 + time.Duration(c.rng.Int64N(int64(requestBackoff))))
	}
}

// granter is the side that grants the credits of one upstream while this instance
// holds its lease slot.
type granter struct {
	// termStart identifies the lease term in which the ramp started; rampStartedAt is
	// the time of its first grant, zero before that.
	termStart     time.Time
	rampStartedAt time.Time
	// grantedPerBin holds the credits granted per bin, indexed by bin number modulo
	// binCount. Bins are numbered from the Unix epoch; newestBin is the latest one.
	grantedPerBin [binCount]uint32
	newestBin     int64
}

// HandleRequest returns the answer to a request for credits by the instance from,
// whose peer address is address. It grants credits when this instance has a lease term
// for the upstream's lease slot; otherwise it can only confirm that the upstream is
// warm. It returns nil when it can do neither.
func (c *Credits) HandleRequest(now time.Time, from string, address netip.AddrPort, request *pb.CreditRequest,
	slots Slots,
) []action.Action {
	term, ok := slots.Term(request.GetUpstream(), now)
	grant := c.confirmWarm(request)
	if ok {
		grant = c.grant(now, request, term)
	}
	if grant == nil {
		return nil
	}
	return []action.Action{action.SendPeer{Instance: from, Address: address, Message: &pb.PeerMessage{
		From: c.self, Body: &pb.PeerMessage_CreditGrant{CreditGrant: grant},
	}}}
}

// confirmWarm returns the answer of an instance without a lease term, which may not grant
// credits but can confirm that an upstream is warm. It returns nil when the upstream
// is not warm here, when the requester has another boot id for it, and when the
// requester has found it cold.
func (c *Credits) confirmWarm(request *pb.CreditRequest) *pb.CreditGrant {
	u := c.upstreams[request.GetUpstream()]
	if u == nil || !u.warm || request.GetFoundCold() || request.GetBootId() != 0 && request.GetBootId() != u.bootID {
		return nil
	}
	return &pb.CreditGrant{
		Upstream: request.GetUpstream(), BootId: u.bootID, Sequence: request.GetSequence(), Warm: true,
	}
}

// grant returns the answer of the holder of the lease slot to a request. It returns
// nil when the upstream is not declared here or now is outside the lease term. During
// takeoverDelay after the start of the lease term it grants no credits.
func (c *Credits) grant(now time.Time, request *pb.CreditRequest, term LeaseTerm) *pb.CreditGrant {
	u := c.upstreams[request.GetUpstream()]
	if u == nil || now.Before(term.Start) || !now.Before(term.Until) {
		return nil
	}
	u.updateBootID(request.GetBootId())
	g := &u.granter
	if !g.termStart.Equal(term.Start) {
		g.termStart, g.rampStartedAt = term.Start, time.Time{}
	}
	grant := &pb.CreditGrant{
		Upstream: request.GetUpstream(), BootId: u.bootID, Sequence: request.GetSequence(),
	}
	if request.GetFoundCold() && request.GetBootId() == u.bootID {
		// The requester has found the upstream cold within ignoreWarmPeriod. Every
		// such request stops the ramp, so that it starts only when no instance makes
		// this claim any more. A ramp that started earlier would grow while the
		// upstream still sheds everything, and overload it again.
		u.markCold()
	}
	if request.GetBootId() != 0 && request.GetBootId() != u.bootID {
		// The requester has a former boot id. It gets no credits but learns the
		// current one.
		return grant
	}
	if now.Sub(term.Start) < takeoverDelay {
		grant.Warm = u.warm
		return grant
	}
	limit := g.currentLimit(now, u)
	grant.Warm = u.warm
	grant.Credits = g.grantUpTo(now, request.GetCredits(), limit)
	if grant.Credits > 0 && g.rampStartedAt.IsZero() {
		g.rampStartedAt = now
	}
	return grant
}

// currentLimit returns the number of opens per second that the upstream sustains
// now: LoadSpec.SustainablePerSecond before the ramp, then growing linearly to
// LoadSpec.FullPerSecond. At the end of the ramp it makes the upstream warm.
func (g *granter) currentLimit(now time.Time, u *upstream) uint32 {
	sustainable := float64(u.spec.SustainablePerSecond)
	if g.rampStartedAt.IsZero() {
		return uint32(sustainable)
	}
	elapsed := now.Sub(g.rampStartedAt)
	if elapsed >= u.spec.Ramp {
		u.warm = true
		return uint32(u.spec.FullPerSecond)
	}
	growth := max(0, float64(u.spec.FullPerSecond)-sustainable)
	return uint32(sustainable + growth*elapsed.Seconds()/u.spec.Ramp.Seconds())
}

// grantUpTo grants at most wanted credits and returns their number. It grants no more
// than limit within grantWindow and no more than paceShare of limit within
// paceWindow.
func (g *granter) grantUpTo(now time.Time, wanted, limit uint32) uint32 {
	bin := now.UnixNano() / int64(binWidth)
	if bin < g.newestBin {
		// The clock went back, so the credits are counted in the newest bin.
		bin = g.newestBin
	}
	for b := max(g.newestBin+1, bin-int64(binCount)+1); b <= bin; b++ {
		g.grantedPerBin[b%int64(binCount)] = 0
	}
	g.newestBin = bin
	pace := uint32(math.Ceil(float64(limit) * paceShare))
	granted := min(
		wanted, remaining(limit, g.grantedInNewest(binCount)),
		remaining(pace, g.grantedInNewest(int(paceWindow/binWidth))),
	)
	g.grantedPerBin[bin%int64(binCount)] += granted
	return granted
}

// grantedInNewest returns the number of credits granted in the newest n bins.
func (g *granter) grantedInNewest(n int) uint32 {
	var total uint32
	for i := range int64(n) {
		total += g.grantedPerBin[(g.newestBin-i+int64(binCount))%int64(binCount)]
	}
	return total
}

// remaining returns limit minus used, 0 when used exceeds limit.
func remaining(limit, used uint32) uint32 {
	if used >= limit {
		return 0
	}
	return limit - used
}
