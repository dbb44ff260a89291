package choice

import "slices"

const (
	// minDomainShare is the share of the service's average number of upstreams per
	// failure domain below which a failure domain sends a part of its new flows to the
	// other domains. With half of its upstreams left, a domain under the users' peak load
	// runs its upstreams at about 70%.
	minDomainShare = 0.5
	// advantageGain multiplies the advantage of other failure domains. With a gain of 1, a
	// domain that must send away half of its flows settles at 1.5 times the response time
	// of the others, close to refusals.
	advantageGain = 20
)

// Cause says why a new flow stays in its failure domain or leaves it. It is written to
// the log.
type Cause int

// Causes.
const (
	// Home: the flow stays.
	Home Cause = iota
	// FewUpstreams: the own failure domain has too few usable upstreams.
	FewUpstreams
	// Quicker: requests are answered more quickly in the other failure domain.
	Quicker
	// ServiceFull: the service that the weights select is full; another service of the
	// route takes the flow.
	ServiceFull
	// DomainFull: the service lacks slots in the own failure domain.
	DomainFull
)

// CauseLabels holds the label of each cause, indexed by Cause.
var CauseLabels = []string{"home", "few_upstreams", "quicker", "service_full", "domain_full"}

func (c Cause) String() string { return CauseLabels[c] }

// Domain is a failure domain that may take a new flow.
type Domain struct {
	Name string
	// Own is true for the failure domain of this instance.
	Own bool
	// Usable is the number of usable candidates, Capacity the number of requests that
	// they run at once.
	Usable, Capacity int
	// Heard is true when an instance there has sent a message lately.
	Heard bool
	// Occupancy is the number of requests in flight per slot, as another domain reports it.
	Occupancy      float64
	OccupancyKnown bool
	// Advantage is the part of the response time, 0 to 1, that requests save in this
	// domain compared to the own one; 0 for the own domain.
	Advantage float64
}

// DomainRequest describes a new flow for PickDomain.
type DomainRequest struct {
	// Hash identifies the flow. All copies of an opening packet have the same hash.
	Hash uint64
	// Average is the average number of upstreams of the service per failure domain.
	Average float64
	// Isolated is true while this instance has lost its contact with the store, so that
	// it may be partitioned from other failure domains as well.
	Isolated bool
	// Occupancy is the expected number of requests in flight per slot in the own domain
	// while the service is short of capacity there; 0 otherwise.
	Occupancy float64
}

// PickDomain returns the index of the failure domain that a new flow prefers, and why;
// -1 when no domain has a usable upstream. The flow stays in the own domain, except that:
//   - a domain with less than minDomainShare of the average number of upstreams keeps a
//     share of the flows in proportion to them;
//   - where requests are quicker in other domains, flows leave in proportion to the
//     advantage and the capacity there, so that the share falls to zero as the response
//     times become equal;
//   - while the service lacks slots in the own domain, at least the share of flows that do
//     so leave for domains that are heard and have an advantage.
//
// While one upstream of the own domain is usable, flows of an isolated instance leave only
// for domains that it hears. Flows that leave are divided by capacity, weighted with the
// advantage in the second case.
func PickDomain(request DomainRequest, domains []Domain) (int, Cause) {
	own := slices.IndexFunc(domains, func(d Domain) bool { return d.Own && d.Usable > 0 })
	reachable := func(d *Domain) bool {
		return !d.Own && d.Usable > 0 && (own < 0 || !request.Isolated || d.Heard)
	}
	byCapacity := func(d *Domain) float64 {
		if !reachable(d) {
			return 0
		}
		return float64(d.Capacity)
	}
	if own < 0 {
		return pickOther(request.Hash, domains, byCapacity), FewUpstreams
	}
	kept, quicker, largest, heard := 1.0, 0.0, 0.0, false
	if needed := minDomainShare * request.Average; needed > 0 {
		kept = min(1, float64(domains[own].Usable)/needed)
	}
	for i := range domains {
		if reachable(&domains[i]) {
			quicker += advantageGain * byCapacity(&domains[i]) * domains[i].Advantage
			largest = max(largest, domains[i].Advantage)
			heard = heard || (domains[i].Heard && domains[i].Advantage > 0)
		}
	}
	if quicker > 0 {
		quicker /= quicker + (1-largest)*float64(domains[own].Capacity)
	}
	lacking := 0.0
	if heard && request.Occupancy > 1 {
		lacking = (request.Occupancy - 1) / request.Occupancy
	}
	const scale = 1 << 16
	point := float64(mixHash(request.Hash, domainSalt)%scale) / scale
	picked, cause := -1, Home
	switch {
	case point >= kept:
		picked, cause = pickOther(request.Hash, domains, byCapacity), FewUpstreams
	case point < quicker:
		picked, cause = pickOther(request.Hash, domains, func(d *Domain) float64 { return byCapacity(d) * d.Advantage }), Quicker
	case point < lacking:
		picked, cause = pickOther(request.Hash, domains, func(d *Domain) float64 {
			if !d.Heard {
				return 0
			}
			return byCapacity(d) * d.Advantage
		}), DomainFull
	}
	if picked < 0 {
		return own, Home
	}
	return picked, cause
}

// minOverflowAdvantage is the least advantage of a failure domain with an unknown occupancy
// that takes flows for which the own one has no capacity. While all domains are full, their
// response times differ by less.
const minOverflowAdvantage = 0.3

// overflowOccupancy is the occupancy up to which another failure domain takes flows that the
// own one would refuse. With 1, the queues of two domains stayed short while a third one
// refused a tenth of its flows.
const overflowOccupancy = 1.5

// Room returns the number of requests per slot that another failure domain takes of those
// that the own one would refuse. A domain that does not tell its occupancy takes half a
// request while it responds more quickly by minOverflowAdvantage.
func (d *Domain) Room() float64 {
	switch {
	case d.Own || d.Usable == 0 || !d.Heard:
		return 0
	case d.OccupancyKnown:
		return max(0, overflowOccupancy-d.Occupancy)
	case d.Advantage >= minOverflowAdvantage:
		return 0.5
	}
	return 0
}

// PickOverflow returns the index of another failure domain for a new flow that the own one
// would refuse, in proportion to what they take, or -1 when none takes any.
func PickOverflow(hash uint64, domains []Domain) int {
	return pickOther(hash, domains, func(d *Domain) float64 { return float64(d.Capacity) * d.Room() })
}

// domainSalt makes the choice of the domain independent of that of the upstream.
const domainSalt = 0x646f6d61

// pickOther returns the index of the failure domain that a hash selects in proportion to
// the weights, or -1 when none is positive.
func pickOther(hash uint64, domains []Domain, weight func(*Domain) float64) int {
	total := 0.0
	for i := range domains {
		total += weight(&domains[i])
	}
	const scale = 1 << 24
	point := total * float64(mixHash(hash, domainSalt+1)%scale) / scale
	chosen := -1
	for i := range domains {
		w := weight(&domains[i])
		if w <= 0 {
			continue
		}
		chosen = i
		if point -= w; point < 0 {
			break
		}
	}
	return chosen
}
