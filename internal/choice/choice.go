// Package choice selects the upstream of a new flow. It keeps no state: the calling
// package passes what it knows about each upstream.
package choice

import (
	"github.com/chivemast/chivemast/internal/flowcookie"
)

// Candidate is an upstream that may take a new flow.
type Candidate struct {
	Cookie flowcookie.Cookie
	// Preferred is true for an upstream in the failure domain that PickDomain selected.
	Preferred bool
	// Cold is true for an upstream that receives flows only when no upstream that is
	// neither cold nor suspect can.
	Cold bool
	// Slow is true for an upstream that answers much later than is usual for its
	// service, or that leaves requests unanswered.
	Slow bool
	// Suspect is true for an upstream that appears to be silent.
	Suspect bool
	// Load is what this instance sends to the upstream: the open flows, unanswered opens
	// included, and the flows that have ended recently. With Request.TwoChoices it
	// includes the requests in flight from all instances.
	Load float64
	// Capacity is the number of requests that the upstream runs at once; values below 1
	// count as 1.
	Capacity int
	// Slowdown is how much longer than usual for its service the upstream takes for a
	// request; 0 when it is not known, for all candidates.
	Slowdown float64
}

// Usable tells whether the candidate is neither cold, suspect nor slow.
func (c *Candidate) Usable() bool { return !c.Cold && !c.Suspect && !c.Slow }

// Request describes a new flow.
type Request struct {
	// Hash identifies the flow. All copies of an opening packet have the same hash.
	Hash uint64
	// Exclude holds the upstreams that did not answer earlier copies of the opening
	// packet or the caller's last flow. They are selected only when there is no other
	// candidate.
	Exclude []flowcookie.Cookie
	// TwoChoices is set while the service is short of capacity and the loads are those of
	// all instances: the flow goes to the less loaded of two candidates that a hash of flow
	// and instance picks. All instances would choose the same least loaded one until the
	// next reports.
	TwoChoices bool
	// Instance identifies this instance in that hash.
	Instance uint64
}

// Tier ranks the selected upstream; lower is better. It is written to the log.
type Tier int

// Tiers, the best first.
const (
	// Local: in the failure domain that new flows prefer.
	Local Tier = iota
	// Remote: in another failure domain than the preferred one.
	Remote
	// Slow: see Candidate.Slow.
	Slow
	// Cold: see Candidate.Cold.
	Cold
	// Suspect: see Candidate.Suspect.
	Suspect
	// Repeat: listed in Request.Exclude.
	Repeat
	// None: there is no candidate.
	None
)

// TierLabels holds the label of each tier, indexed by Tier.
var TierLabels = []string{"local", "remote", "slow", "cold", "suspect", "repeat", "none"}

func (t Tier) String() string { return TierLabels[t] }

// Pick returns the index of the candidate that receives the flow, and its tier: the
// least loaded candidate of the best tier, or of two of them with Request.TwoChoices.
// Without candidates it returns -1 and None.
func Pick(request Request, candidates []Candidate) (int, Tier) {
	best, bestTier := -1, None
	for i := range candidates {
		tier := TierOf(request, &candidates[i])
		if tier < bestTier || (tier == bestTier && lessLoaded(request, &candidates[i], &candidates[best])) {
			best, bestTier = i, tier
		}
	}
	if request.TwoChoices && best >= 0 {
		best = pickOfTwo(request, candidates, bestTier)
	}
	return best, bestTier
}

// pickOfTwo returns the less loaded of the two candidates of a tier that have the highest
// hashes with the flow and the instance.
func pickOfTwo(request Request, candidates []Candidate, tier Tier) int {
	hash := request.Hash ^ mixHash(request.Instance, flowcookie.None)
	first, second := -1, -1
	for i := range candidates {
		switch {
		case TierOf(request, &candidates[i]) != tier:
		case first < 0 || mixHash(hash, candidates[i].Cookie) > mixHash(hash, candidates[first].Cookie):
			first, second = i, first
		case second < 0 || mixHash(hash, candidates[i].Cookie) > mixHash(hash, candidates[second].Cookie):
			second = i
		}
	}
	if second >= 0 && lessLoaded(request, &candidates[second], &candidates[first]) {
		return second
	}
	return first
}

// TierOf returns the tier of a candidate for a new flow.
func TierOf(request Request, c *Candidate) Tier {
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
	case c.Preferred:
		return Local
	}
	return Remote
}

// lessLoaded reports whether a has less load per capacity than b; with known slowdowns,
// whether the new flow is expected to be served earlier there. Equal candidates are
// ordered by a hash of flow and upstream, so that instances without knowledge of each
// other distribute their flows evenly.
func lessLoaded(request Request, a, b *Candidate) bool {
	loadA := a.weightedLoad() * float64(max(b.Capacity, 1))
	loadB := b.weightedLoad() * float64(max(a.Capacity, 1))
	if loadA != loadB {
		return loadA < loadB
	}
	return mixHash(request.Hash, a.Cookie) > mixHash(request.Hash, b.Cookie)
}

// weightedLoad returns the load with the new flow, multiplied by the slowdown; the load
// alone when the slowdown is not known.
func (c *Candidate) weightedLoad() float64 {
	if c.Slowdown > 0 {
		return (c.Load + 1) * c.Slowdown
	}
	return c.Load
}

// mixHash returns the weight of an upstream for a flow in rendezvous hashing. It is the
// finalizer of splitmix64.
func mixHash(hash uint64, cookie flowcookie.Cookie) uint64 {
	x := hash ^ uint64(cookie)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// PickWeighted returns the index that a hash selects in proportion to the weights.
// Negative weights count as 0. It returns -1 when no weight is positive.
func PickWeighted(hash uint64, weights []int) int {
	total := 0
	for _, w := range weights {
		total += max(w, 0)
	}
	if total == 0 {
		return -1
	}
	point := int(mixHash(hash, flowcookie.None) % uint64(total))
	for i, w := range weights {
		if point -= max(w, 0); point < 0 {
			return i
		}
	}
	return -1
}
