package admission

import (
	"math"
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
)

const (
	// binWidth is the resolution of the count of granted credits, and bins
	// the number needed to cover grantWindow and the bin under way.
	binWidth = 10 * time.Millisecond
	bins     = int(grantWindow/binWidth) + 2
	// paceWindow and paceShare spread the credits: no more than 15% of a
	// second's credits within 100 ms.
	paceWindow = 100 * time.Millisecond
	paceShare  = 0.15
	// While credits are scarce, an instance asks for 60% of the opens that it
	// expects: credits that it cannot use are lost to the others. Otherwise it
	// asks for 30% more, and for 2 at least.
	scarceShare = 0.6
	plentyShare = 1.3
	// scarceTime is how long a partial grant counts as a sign of scarcity.
	scarceTime = time.Second
)

// requester is the side that spends the credits of one upstream.
type requester struct {
	credits int
	until   time.Time
	// demand counts the opens since the last look; rate is the smoothed
	// demand in opens per second.
	demand int
	rate   float64
	looked time.Time
	// The request under way; sequence is zero when there is none.
	sequence uint64
	asked    int
	sentAt   time.Time
	nextAsk  time.Time
	scarce   time.Time // until when credits are taken to be scarce
}

func (r *requester) spend(now time.Time) bool {
	if r.credits <= 0 || !now.Before(r.until) {
		return false
	}
	r.credits--
	return true
}

// ask returns the request to send now, or nil.
func (r *requester) ask(now time.Time, c *Credits, u *upstream, name string) *pb.CreditRequest {
	demand := r.demand
	if elapsed := now.Sub(r.looked); elapsed > 0 {
		const smoothing = 0.5
		current := float64(demand) / min(elapsed, time.Second).Seconds()
		r.rate += smoothing * (current - r.rate)
		r.demand, r.looked = 0, now
	}
	if u.warm || now.Before(r.nextAsk) || demand == 0 && r.rate < 1 {
		return nil
	}
	c.sequence++
	r.sequence, r.sentAt = c.sequence, now
	expected := r.rate * CreditUse.Seconds()
	if now.Before(r.scarce) {
		r.asked = max(1, int(expected*scarceShare))
	} else {
		r.asked = 2 + int(expected*plentyShare)
	}
	r.nextAsk = now.Add(askBackoff)
	return &pb.CreditRequest{
		Upstream: name, Credits: uint32(r.asked), BootId: u.bootID, Sequence: r.sequence,
		FoundCold: now.Before(u.distrust),
	}
}

// HandleGrant takes the answer to the last request for credits. Answers to
// earlier ones, duplicates and credits for another boot id are ignored.
func (c *Credits) HandleGrant(now time.Time, grant *pb.CreditGrant) {
	u := c.upstreams[grant.GetUpstream()]
	if u == nil || u.requester.sequence == 0 || grant.GetSequence() != u.requester.sequence {
		return
	}
	r := &u.requester
	r.sequence = 0
	u.observe(grant.GetBootId())
	if grant.GetBootId() != u.bootID {
		return
	}
	if grant.GetWarm() && !now.Before(u.distrust) {
		u.warm = true
		return
	}
	r.credits, r.until = min(int(grant.GetCredits()), r.asked), r.sentAt.Add(CreditUse)
	r.nextAsk = r.sentAt.Add(askInterval)
	if r.credits < r.asked {
		r.scarce = now.Add(scarceTime)
	}
	if r.credits == 0 {
		// The random part lets instances take turns when there are fewer
		// credits than instances.
		r.nextAsk = r.sentAt.Add(askBackoff/2 + time.Duration(c.rng.Int64N(int64(askBackoff))))
	}
}

// granter is the side that hands out the credits of one upstream.
type granter struct {
	tenure    time.Time
	rampStart time.Time
	// counts holds the credits granted per bin; base is the number of the
	// newest bin since the Unix epoch.
	counts [bins]uint32
	base   int64
}

// HandleRequest answers a request for credits if this instance may grant them.
// The address is where the requesting instance receives peer messages.
func (c *Credits) HandleRequest(now time.Time, from string, address netip.AddrPort, request *pb.CreditRequest,
	slots Slots,
) []action.Action {
	tenure, ok := slots.Tenure(request.GetUpstream(), now)
	grant := c.confirmWarm(request)
	if ok {
		grant = c.grant(now, request, tenure)
	}
	if grant == nil {
		return nil
	}
	return []action.Action{action.SendPeer{Instance: from, Address: address, Message: &pb.PeerMessage{
		From: c.self, Body: &pb.PeerMessage_CreditGrant{CreditGrant: grant},
	}}}
}

// confirmWarm answers a request without a tenure: an instance that may not
// grant credits can still say that an upstream is warm. It returns nil when
// the upstream is not warm here under the same boot id.
func (c *Credits) confirmWarm(request *pb.CreditRequest) *pb.CreditGrant {
	u := c.upstreams[request.GetUpstream()]
	if u == nil || !u.warm || request.GetFoundCold() || request.GetBootId() != 0 && request.GetBootId() != u.bootID {
		return nil
	}
	return &pb.CreditGrant{
		Upstream: request.GetUpstream(), BootId: u.bootID, Sequence: request.GetSequence(), Warm: true,
	}
}

// grant decides a request. The result is nil when this instance knows nothing
// of the upstream or its tenure does not cover now.
func (c *Credits) grant(now time.Time, request *pb.CreditRequest, tenure Tenure) *pb.CreditGrant {
	u := c.upstreams[request.GetUpstream()]
	if u == nil || now.Before(tenure.Start) || !now.Before(tenure.Until) {
		return nil
	}
	u.observe(request.GetBootId())
	g := &u.granter
	if !g.tenure.Equal(tenure.Start) {
		g.tenure, g.rampStart = tenure.Start, time.Time{}
	}
	answer := &pb.CreditGrant{
		Upstream: request.GetUpstream(), BootId: u.bootID, Sequence: request.GetSequence(),
	}
	if request.GetFoundCold() && request.GetBootId() == u.bootID {
		// The ramp starts when the last instance has not seen the upstream
		// shed for coldHold. Started earlier, it ran ahead of an upstream that
		// still shed everything, and made it fall over again.
		u.chill()
	}
	if request.GetBootId() != 0 && request.GetBootId() != u.bootID {
		// The requester has an old boot id and learns the new one.
		return answer
	}
	if now.Sub(tenure.Start) < takeoverWait {
		answer.Warm = u.warm
		return answer
	}
	limit := g.limit(now, u)
	answer.Warm = u.warm
	answer.Credits = g.take(now, request.GetCredits(), limit)
	if answer.Credits > 0 && g.rampStart.IsZero() {
		g.rampStart = now
	}
	return answer
}

// limit returns how many opens the upstream sustains per second now. At the
// end of the ramp the upstream becomes warm.
func (g *granter) limit(now time.Time, u *upstream) uint32 {
	sustainable := float64(u.spec.SustainablePerSecond)
	if g.rampStart.IsZero() {
		return uint32(sustainable)
	}
	elapsed := now.Sub(g.rampStart)
	if elapsed >= u.spec.Ramp {
		u.warm = true
		return uint32(u.spec.FullPerSecond)
	}
	growth := max(0, float64(u.spec.FullPerSecond)-sustainable)
	return uint32(sustainable + growth*elapsed.Seconds()/u.spec.Ramp.Seconds())
}

// take grants up to wanted credits within the limit and the pace.
func (g *granter) take(now time.Time, wanted, limit uint32) uint32 {
	bin := now.UnixNano() / int64(binWidth)
	if bin < g.base {
		// The clock went back: count everything in the newest bin.
		bin = g.base
	}
	for b := max(g.base+1, bin-int64(bins)+1); b <= bin; b++ {
		g.counts[b%int64(bins)] = 0
	}
	g.base = bin
	pace := uint32(math.Ceil(float64(limit) * paceShare))
	granted := min(wanted, left(limit, g.sum(bins)), left(pace, g.sum(int(paceWindow/binWidth))))
	g.counts[bin%int64(bins)] += granted
	return granted
}

// sum counts the credits of the newest n bins.
func (g *granter) sum(n int) uint32 {
	var total uint32
	for i := range int64(n) {
		total += g.counts[(g.base-i+int64(bins))%int64(bins)]
	}
	return total
}

func left(limit, used uint32) uint32 {
	if used >= limit {
		return 0
	}
	return limit - used
}
