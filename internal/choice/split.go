package choice

import (
	"math"
	"time"
)

const (
	// fullFrom is the occupancy, in requests in flight per slot, from which flows of a
	// service that is short of capacity may go to another service of their route.
	fullFrom = 1.0
	// freeBelow is the occupancy up to which another service takes such flows. Above it,
	// requests of its own flows would begin to wait.
	freeBelow = 0.6
	// shareTime is the time constant with which the share of flows that leave follows its
	// target. Set at once, it alternates with the reports of 250 ms.
	shareTime = 500 * time.Millisecond
	// maxShareStep bounds the time that counts between two updates of a share: an old share
	// says nothing about the present load.
	maxShareStep = 500 * time.Millisecond
	// minShare is the least share; a smaller one is 0.
	minShare = 0.001
)

// Service is a service of a route.
type Service struct {
	// Weight is its weight in the route's split, 0 without any upstream.
	Weight int
	// Slots is the number of requests that its usable upstreams in the own failure domain
	// run at once, Occupancy their requests in flight per slot.
	Slots     int
	Occupancy float64
	// Short is true while the service is short of capacity.
	Short bool
	// Known is false when the occupancy is not known.
	Known bool
}

// Full tells whether flows of the service may go to other ones.
func (s *Service) Full() bool { return s.Known && s.Short && s.Occupancy >= fullFrom }

// freeSlots returns the number of slots that are free for flows of another service.
func (s *Service) freeSlots() float64 {
	if s.Weight <= 0 || !s.Known || s.Slots == 0 {
		return 0
	}
	return max(freeBelow-s.Occupancy, 0) * float64(s.Slots)
}

// NextShare returns the share of the flows of services[selected] that go to other services,
// from the share the time elapsed before. It approaches the excess of requests over slots,
// as far as the other services have free slots.
func NextShare(share float64, elapsed time.Duration, services []Service, selected int) float64 {
	s := &services[selected]
	if !s.Known || s.Slots == 0 {
		return 0
	}
	target := 0.0
	if s.Full() {
		// Headroom is the part of the requests of this service for which others have room
		// besides those that they already take; it is negative when they have too many.
		headroom, others := 0.0, false
		for i := range services {
			if other := &services[i]; i != selected && other.Weight > 0 && other.Known && other.Slots > 0 {
				others = true
				headroom += (freeBelow - other.Occupancy) * float64(other.Slots) / (s.Occupancy * float64(s.Slots))
			}
		}
		if others {
			target = max(min((s.Occupancy-fullFrom)/s.Occupancy, share+headroom), 0)
		}
	}
	step := min(max(elapsed, 0), maxShareStep)
	if share += (target - share) * -math.Expm1(-step.Seconds()/shareTime.Seconds()); share < minShare && target == 0 {
		return 0
	}
	return share
}

// PickService returns the index of the service of a new flow, and why: the selected one or,
// for a share of its flows, another one with free slots, in proportion to them.
func PickService(hash uint64, services []Service, selected int, share float64) (int, Cause) {
	const scale = 1 << 24
	if s := &services[selected]; !s.Known || !s.Short || float64(mixHash(hash, splitSalt)%scale)/scale >= share {
		return selected, Home
	}
	total := 0.0
	for i := range services {
		if i != selected {
			total += services[i].freeSlots()
		}
	}
	point, chosen := total*float64(mixHash(hash, splitSalt+1)%scale)/scale, selected
	for i := range services {
		free := services[i].freeSlots()
		if i == selected || free <= 0 {
			continue
		}
		chosen = i
		if point -= free; point < 0 {
			break
		}
	}
	if chosen == selected {
		return selected, Home
	}
	return chosen, ServiceFull
}

// splitSalt makes the choice of the flows that leave a service independent of the others.
const splitSalt = 0x73706c69
