// Package choice decides which upstream takes a new flow. It is pure: the
// caller passes what it knows about each upstream.
package choice

import (
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// minDomainShare is the part of a service's average number of upstreams per
// failure domain below which a failure domain hands new flows to the others.
// With half of its upstreams left, a domain at the users' busiest load runs its
// upstreams at about 70%.
const minDomainShare = 0.5

// Candidate is an upstream that may take a new flow.
type Candidate struct {
	Cookie flowcookie.Cookie
	// Local is set for an upstream in the failure domain of this instance.
	Local bool
	// Cold upstreams take flows only when no other upstream can.
	Cold bool
	// Slow upstreams answer much later than the service usually does, or leave
	// requests without an answer.
	Slow bool
	// Suspect upstreams did not answer recent flows.
	Suspect bool
	// Flows is the number of open flows and unanswered opens that this instance
	// attributes to the upstream.
	Flows int
	// Capacity is the number of requests that the upstream runs at once; values
	// below 1 count as 1.
	Capacity int
}

// Request describes a new flow.
type Request struct {
	// Hash identifies the flow; copies of an opening packet have the same hash.
	Hash uint64
	// Exclude are the upstreams that earlier copies of the opening packet went
	// to. They are used again only when there is nothing else.
	Exclude []flowcookie.Cookie
	// AverageDomain is the average number of upstreams per failure domain.
	AverageDomain float64
	// Isolated is set while this instance has lost its own contact with the
	// store, so that it may be cut off from other failure domains as well.
	Isolated bool
}

// Tier says how good the chosen upstream is; it goes into the log.
type Tier int

// Tiers, the best first.
const (
	Local Tier = iota
	Remote
	Slow
	Cold
	Suspect
	Repeat
	None
)

func (t Tier) String() string {
	return [...]string{"local", "remote", "slow", "cold", "suspect", "repeat", "none"}[t]
}

// Pick returns the index of the upstream that takes the flow. The tier is None
// and the index -1 without candidates.
func Pick(request Request, candidates []Candidate) (int, Tier) {
	local := countLocal(candidates)
	useLocal := localFirst(request, local)
	best, bestTier := -1, None
	for i := range candidates {
		tier := tierOf(request, &candidates[i], useLocal)
		if tier < bestTier || (tier == bestTier && lessLoaded(request, &candidates[i], &candidates[best])) {
			best, bestTier = i, tier
		}
	}
	return best, bestTier
}

// countLocal returns the number of local upstreams that can take flows at once.
func countLocal(candidates []Candidate) int {
	n := 0
	for i := range candidates {
		if c := &candidates[i]; c.Local && !c.Cold && !c.Suspect && !c.Slow {
			n++
		}
	}
	return n
}

// localFirst tells whether a flow stays in the failure domain. A domain that
// has lost most of its upstreams keeps only as many flows as the rest bear.
func localFirst(request Request, local int) bool {
	if local == 0 {
		return false
	}
	if request.Isolated {
		return true
	}
	needed := minDomainShare * request.AverageDomain
	if float64(local) >= needed {
		return true
	}
	const scale = 1 << 16
	return float64(request.Hash%scale) < scale*float64(local)/needed
}

func tierOf(request Request, c *Candidate, useLocal bool) Tier {
	for _, excluded := range request.Exclude {
		if c.Cookie == excluded {
			return Repeat
		}
	}
	switch {
	case c.Suspect:
		return Suspect
	case c.Cold:
		return Cold
	case c.Slow:
		return Slow
	case c.Local == useLocal:
		return Local
	}
	return Remote
}

// lessLoaded compares two upstreams of one tier by flows per capacity. Equal
// ones are ordered by a hash of the flow, so that instances that know nothing
// of each other spread their flows.
func lessLoaded(request Request, a, b *Candidate) bool {
	loadA := a.Flows * max(b.Capacity, 1)
	loadB := b.Flows * max(a.Capacity, 1)
	if loadA != loadB {
		return loadA < loadB
	}
	return mix(request.Hash, a.Cookie) > mix(request.Hash, b.Cookie)
}

// mix is the finalizer of splitmix64 over the flow and the upstream, the weight
// of rendezvous hashing.
func mix(hash uint64, cookie flowcookie.Cookie) uint64 {
	x := hash ^ uint64(cookie)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Split returns the index of the weight that a hash falls on, and -1 when all
// weights are 0 or less.
func Split(hash uint64, weights []int) int {
	total := 0
	for _, w := range weights {
		total += max(w, 0)
	}
	if total == 0 {
		return -1
	}
	point := int(mix(hash, flowcookie.None) % uint64(total))
	for i, w := range weights {
		if point -= max(w, 0); point < 0 {
			return i
		}
	}
	return -1
}
