// Package speed estimates how fast the upstreams of a service respond, and finds those
// that new flows should avoid: upstreams that fall behind, and upstreams that refuse
// requests. It reads no clock and makes no connections.
package speed

import (
	"math"
	"time"

	"github.com/chivemast/chivemast/internal/flowcookie"
)

const (
	// minSlowdown and maxSlowdown bound the effect of one response and of the estimate.
	minSlowdown, maxSlowdown = 0.25, 10
	// slowdownWeight is the weight of a response in the slowdown of its upstream. With
	// 0.1, even upstreams refused 5.0% of the requests at 0.8 of the capacity in a
	// simulation of 9 instances, because flows followed the noise; with 0.05, 2.9%.
	slowdownWeight = 0.05
	// A mean of about 5 responses, with recentWeight, replaces the slowdown when the two
	// differ by recentFactor: an upstream may become several times slower or faster at
	// once. A response counts as at most maxRatio times the recent mean, so that a single
	// long one does not do that.
	recentWeight, recentFactor, maxRatio = 0.2, 2, 4
	// slowdownKept is how long a slowdown stays as it is without responses: an instance of
	// a large deployment sees one response of an upstream in 2 s.
	slowdownKept = 2 * time.Second
	// slowdownHalfLife is the half-life of a slowdown's distance from 1 while there are no
	// responses. An upstream without flows must be tried again after it has recovered.
	slowdownHalfLife = 10 * time.Second
	// serviceTimeWeight is the weight of a response in the service time.
	serviceTimeWeight = 0.005
	// minResponses is the number of responses from which a service time is known.
	minResponses = 5
)

// Response is the response of an upstream to one request.
type Response struct {
	Service  string
	Upstream flowcookie.Cookie
	// InFlight is the number of requests in flight at the upstream when the request was
	// sent, including it.
	InFlight float64
	// Slots is the number of requests that the upstream runs concurrently; values below 1
	// count as 1.
	Slots int
	// Took is the time from the request to the response.
	Took time.Duration
}

// smoothed is an exponentially smoothed mean. The first responses have equal weights.
type smoothed struct {
	mean    float64
	samples int
}

func (s *smoothed) add(value, weight float64) {
	s.samples++
	s.mean += max(weight, 1/float64(s.samples)) * (value - s.mean)
}

// serviceTime is the response time of a service without queueing, in nanoseconds. queued is
// an estimate from responses of full upstreams, which is used until there are
// minResponses of others: an instance may start in an overload.
type serviceTime struct{ free, queued smoothed }

func (s *serviceTime) value() (nanoseconds float64, known bool) {
	switch {
	case s == nil:
		return 0, false
	case s.free.samples >= minResponses:
		return s.free.mean, true
	}
	return s.queued.mean, s.queued.samples >= minResponses
}

// slowdown is the state of one upstream: the slowdown and the recent mean, when the last
// response arrived.
type slowdown struct {
	factor, recent float64
	at             time.Time
}

// decayed returns the state at the given time.
func (s slowdown) decayed(now time.Time) slowdown {
	if s.at.IsZero() {
		return slowdown{factor: 1, recent: 1, at: now}
	}
	weight := math.Exp2(-float64(max(now.Sub(s.at)-slowdownKept, 0)) / float64(slowdownHalfLife))
	return slowdown{factor: 1 + (s.factor-1)*weight, recent: 1 + (s.recent-1)*weight, at: now}
}

// add adds the slowdown that one response shows.
func (s slowdown) add(ratio float64) slowdown {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	s.recent += recentWeight * (min(ratio, maxRatio*s.recent) - s.recent)
	s.factor += slowdownWeight * (ratio - s.factor)
	if s.recent > recentFactor*s.factor || s.factor > recentFactor*s.recent {
		s.factor = s.recent
	}
	return s
}

// Estimates holds the service times of services and the slowdowns of upstreams. It is not
// safe for concurrent use.
type Estimates struct {
	services  map[string]*serviceTime
	slowdowns map[flowcookie.Cookie]slowdown
}

// NewEstimates returns estimates without responses.
func NewEstimates() *Estimates {
	return &Estimates{services: map[string]*serviceTime{}, slowdowns: map[flowcookie.Cookie]slowdown{}}
}

// Record records a response.
func (e *Estimates) Record(now time.Time, r Response) {
	if r.Took <= 0 {
		return
	}
	took, queueing := float64(r.Took), r.InFlight/float64(max(r.Slots, 1))
	service := e.services[r.Service]
	if service == nil {
		service = &serviceTime{}
		e.services[r.Service] = service
	}
	if base, known := service.value(); known && base > 0 {
		e.slowdowns[r.Upstream] = e.slowdowns[r.Upstream].decayed(now).add(took / (base * max(queueing, 1)))
	}
	// Responses of slow upstreams have a lower weight. Otherwise the service time follows
	// upstreams that become slow before their slowdowns show it.
	slowness := max(1, e.Slowdown(now, r.Upstream))
	if queueing <= 1 {
		service.free.add(took, serviceTimeWeight/(slowness*slowness))
	} else {
		service.queued.add(took/queueing, serviceTimeWeight/(slowness*slowness))
	}
}

// Slowdown returns how much longer than usual for its service an upstream takes for a
// request without queueing, 1 being usual.
func (e *Estimates) Slowdown(now time.Time, upstream flowcookie.Cookie) float64 {
	return e.slowdowns[upstream].decayed(now).factor
}

// Expected returns the expected response time of a new request at an upstream; false while
// the service time is not known.
func (e *Estimates) Expected(now time.Time, service string, upstream flowcookie.Cookie, inFlight float64, slots int) (time.Duration, bool) {
	base, known := e.services[service].value()
	queueing := max(1, (inFlight+1)/float64(max(slots, 1)))
	return time.Duration(base * e.Slowdown(now, upstream) * queueing), known
}

// Retain discards the estimates of services and upstreams that are not known any more.
func (e *Estimates) Retain(service func(string) bool, upstream func(flowcookie.Cookie) bool) {
	for name := range e.services {
		if !service(name) {
			delete(e.services, name)
		}
	}
	for cookie := range e.slowdowns {
		if !upstream(cookie) {
			delete(e.slowdowns, cookie)
		}
	}
}
