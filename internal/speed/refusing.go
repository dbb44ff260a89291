package speed

import (
	"math"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// RefusingFor is how long an upstream that refuses requests gets no new flows while
	// others can take them: as long as one that loses requests.
	RefusingFor = 2 * time.Second
	// refusingExcess is the least excess of an upstream's share of short responses over
	// that of the others. It has to exceed refusingErrors standard errors in addition: with
	// 10 responses and half of all requests refused everywhere, one in six upstreams
	// exceeds the others by 0.2 by chance.
	refusingExcess, refusingErrors = 0.2, 2
	// refusingResponses is the least number of responses of an upstream and of the others.
	refusingResponses = 10
	// shareResponses is the number of latest responses that count in the share of an
	// upstream, and shareHalfLife the half-life of their weight. An instance of a large
	// deployment sees one response of an upstream in 2 s.
	shareResponses = 20
	shareHalfLife  = 30 * time.Second
)

// ResponseCount counts responses, with weights that decrease over time.
type ResponseCount struct{ Short, All float64 }

func (c ResponseCount) share() float64 { return c.Short / c.All }

// RefusingInput holds the responses of an upstream and of the other upstreams of its
// service.
type RefusingInput struct{ Own, Others ResponseCount }

// RefusingReason says why an upstream does or does not count as refusing requests. It is
// written to the log.
type RefusingReason int

// Reasons.
const (
	// FewResponses: there are too few responses of the upstream or of the others.
	FewResponses RefusingReason = iota
	// AsOthers: the upstream refuses about as many requests as the others do.
	AsOthers
	// RefusesMore: the upstream refuses more requests than the others do.
	RefusesMore
)

func (r RefusingReason) String() string {
	return [...]string{"few_responses", "as_others", "refuses_more"}[r]
}

// RefusingResult is the result of Refusing.
type RefusingResult struct {
	Reason RefusingReason
	// Share and OthersShare are the shares of short responses.
	Share, OthersShare float64
}

// Refusing decides whether an upstream refuses more requests than the others of its
// service.
func Refusing(in RefusingInput) RefusingResult {
	if in.Own.All < refusingResponses || in.Others.All < refusingResponses {
		return RefusingResult{Reason: FewResponses}
	}
	result := RefusingResult{Reason: AsOthers, Share: in.Own.share(), OthersShare: in.Others.share()}
	deviation := math.Sqrt(result.OthersShare * (1 - result.OthersShare) / in.Own.All)
	if result.Share-result.OthersShare >= refusingExcess+refusingErrors*deviation {
		result.Reason = RefusesMore
	}
	return result
}

// refusals is the state of one upstream.
type refusals struct {
	service string
	count   ResponseCount
	at      time.Time
	// avoidUntil is the time until which the upstream counts as refusing requests.
	avoidUntil time.Time
}

// decayed returns the count at the given time.
func (r *refusals) decayed(now time.Time) ResponseCount {
	factor := math.Exp2(-float64(now.Sub(r.at)) / float64(shareHalfLife))
	return ResponseCount{Short: r.count.Short * factor, All: r.count.All * factor}
}

// Refusals holds the shares of short responses of upstreams. It is not safe for concurrent
// use.
type Refusals struct {
	upstreams map[flowcookie.Cookie]*refusals
}

// NewRefusals returns refusals without responses.
func NewRefusals() *Refusals { return &Refusals{upstreams: map[flowcookie.Cookie]*refusals{}} }

// Record counts a response of an upstream. started is true when the upstream counts as
// refusing requests from now on; a further short response extends the time.
func (r *Refusals) Record(now time.Time, service string, upstream flowcookie.Cookie, short bool) (result RefusingResult, started bool) {
	own := r.upstreams[upstream]
	if own == nil {
		own = &refusals{service: service}
		r.upstreams[upstream] = own
	}
	own.count, own.at = own.decayed(now), now
	if own.count.All >= shareResponses {
		scale := (shareResponses - 1) / own.count.All
		own.count.Short, own.count.All = own.count.Short*scale, shareResponses-1
	}
	own.count.All++
	if !short {
		return RefusingResult{Reason: AsOthers}, false
	}
	own.count.Short++
	if result = Refusing(RefusingInput{Own: own.count, Others: r.others(now, service, upstream)}); result.Reason != RefusesMore {
		return result, false
	}
	started = !now.Before(own.avoidUntil)
	own.avoidUntil = now.Add(RefusingFor)
	return result, started
}

// others returns the responses of the other upstreams of a service.
func (r *Refusals) others(now time.Time, service string, upstream flowcookie.Cookie) (sum ResponseCount) {
	for cookie, other := range r.upstreams {
		if cookie != upstream && other.service == service {
			count := other.decayed(now)
			sum.Short += count.Short
			sum.All += count.All
		}
	}
	return sum
}

// IsRefusing reports whether an upstream counts as refusing requests.
func (r *Refusals) IsRefusing(now time.Time, upstream flowcookie.Cookie) bool {
	state := r.upstreams[upstream]
	return state != nil && now.Before(state.avoidUntil)
}

// Retain discards the upstreams that are not known any more.
func (r *Refusals) Retain(upstream func(flowcookie.Cookie) bool) {
	for cookie := range r.upstreams {
		if !upstream(cookie) {
			delete(r.upstreams, cookie)
		}
	}
}
