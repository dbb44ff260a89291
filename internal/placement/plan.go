package placement

import (
	"slices"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/flow"
)

// DefaultMaxMoves is the default of PlanOptions.MaxMoves: 3% of the buckets of a
// service.
const DefaultMaxMoves = 32

// TargetState says how a declared upstream may be used. An upstream that is no
// longer declared counts as draining.
type TargetState int

// States of a target.
const (
	// TargetServing means: the upstream takes new flows.
	TargetServing TargetState = iota + 1
	// TargetDraining means: the upstream keeps its established flows and takes new
	// ones only until its buckets have been moved and their transitions are active.
	TargetDraining
	// TargetDead means: the upstream takes new flows only as in TargetDraining. Its
	// flows stay on it, because it may be unreachable only from this instance.
	TargetDead
	// TargetTakenOut means: the upstream is in a failure domain that was taken out. Its
	// flows are given up.
	TargetTakenOut
)

// Target is one declared upstream.
type Target struct {
	// Upstream is the name within the service.
	Upstream string
	// Weight is the share of buckets relative to the other serving targets. A
	// serving target of weight 0 is treated as draining.
	Weight int
	State  TargetState
}

// PlanOptions holds the other inputs of Plan.
type PlanOptions struct {
	Service        string
	ConfigRevision uint64
	// MaxMoves is the maximum number of buckets that one change moves from serving
	// upstreams; 0 for DefaultMaxMoves. Moves away from upstreams that take no new flows
	// are not bounded, except that each upstream below half its quota takes at most
	// MaxMoves of them, unless all are below half; those count towards the maximum.
	MaxMoves int
	// FinishedTransitions maps each bucket whose transition can end to the table change that
	// moved it. An entry for another change is ignored.
	FinishedTransitions map[uint32]uint32
}

// Plan returns the next table of a service and whether it differs from the old one,
// which must be nil or valid. It returns an old one itself if nothing changes; a new
// ConfigRevision alone is no change. An empty Service in opt stands for that of old.
// Plan moves as few buckets as exact quotas allow, and approaches the quotas by at
// most MaxMoves buckets per change.
//
// A bucket in transition moves again only if its owner leaves. Its previous
// upstream, which receives flows without a record, stays the oldest upstream that
// still serves its flows; flows on the upstreams in between have records at the
// trackers. If the previous upstream was taken out and the owner is draining, the owner
// becomes the previous upstream.
func Plan(old *pb.ServiceTable, desired []Target, opt PlanOptions) (*pb.ServiceTable, bool) {
	p := newPlanner(old, desired, opt)
	p.endTransitions(opt.FinishedTransitions)
	p.moveLeaving()
	p.moveToBelowQuota()
	return p.nextTable(old, opt)
}

type planner struct {
	names    []string
	index    map[string]uint32 // by name: index into names plus 1
	states   []TargetState     // by index
	weights  []int             // by index; 0 for upstreams that take no new flows
	quota    []int             // by index; buckets that the upstream should own
	count    []int             // by index; buckets that the upstream owns
	gained   []int             // by index; buckets moved to the upstream by this change
	capped   []bool            // by index; true if maxMoves bounds gained
	maxMoves int

	owner, previous, movedAt []uint32
	change                   uint32
	changed                  bool
}

func newPlanner(old *pb.ServiceTable, desired []Target, opt PlanOptions) *planner {
	p := &planner{index: make(map[string]uint32), maxMoves: opt.MaxMoves, change: old.GetChange() + 1}
	if p.maxMoves <= 0 {
		p.maxMoves = DefaultMaxMoves
	}
	p.owner, p.previous, p.movedAt = copyBuckets(old.GetOwner()), copyBuckets(old.GetPrevious()), copyBuckets(old.GetMovedAt())
	p.assignIndexes(old, desired)
	n := len(p.names)
	p.states, p.weights = make([]TargetState, n), make([]int, n)
	p.count, p.gained, p.capped = make([]int, n), make([]int, n), make([]bool, n)
	for i := range p.states {
		p.states[i] = TargetDraining
	}
	for _, d := range desired {
		i, ok := p.index[d.Upstream]
		if !ok {
			continue
		}
		p.states[i-1] = d.State
		if d.State == TargetServing && d.Weight > 0 {
			p.weights[i-1] = d.Weight
		}
	}
	for _, o := range p.owner {
		if o != 0 {
			p.count[o-1]++
		}
	}
	p.quota = quotas(p.weights, p.count, p.names)
	p.capNewUpstreams()
	return p
}

func copyBuckets(values []uint32) []uint32 {
	out := make([]uint32, flow.BucketCount)
	copy(out, values)
	return out
}

// assignIndexes keeps the indexes of names that buckets refer to and gives free
// indexes to new names in alphabetical order.
func (p *planner) assignIndexes(old *pb.ServiceTable, desired []Target) {
	used := make(map[uint32]bool)
	for b := range p.owner {
		used[p.owner[b]], used[p.previous[b]] = true, true
	}
	serving := make(map[string]bool)
	for _, d := range desired {
		if d.State == TargetServing && d.Weight > 0 {
			serving[d.Upstream] = true
		}
	}
	var free []int
	for i, name := range old.GetUpstreams() {
		p.names = append(p.names, name)
		if used[uint32(i+1)] || serving[name] {
			p.index[name] = uint32(i + 1)
		} else {
			free = append(free, i)
		}
	}
	var added []string
	for name := range serving {
		if p.index[name] == 0 {
			added = append(added, name)
		}
	}
	slices.Sort(added)
	for _, name := range added {
		i := len(p.names)
		if len(free) > 0 {
			i, free = free[0], free[1:]
			p.names[i] = name
		} else {
			p.names = append(p.names, name)
		}
		p.index[name] = uint32(i + 1)
	}
}

// quotas divides the buckets by weight with the largest remainder method. Equal
// remainders go to the upstream that has more buckets already.
func quotas(weights, count []int, names []string) []int {
	total := 0
	for _, w := range weights {
		total += w
	}
	quota := make([]int, len(weights))
	if total == 0 {
		return quota
	}
	var order []int
	left := flow.BucketCount
	for i, w := range weights {
		quota[i] = flow.BucketCount * w / total
		left -= quota[i]
		if w > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		ra, rb := flow.BucketCount*weights[a]%total, flow.BucketCount*weights[b]%total
		switch {
		case ra != rb:
			return rb - ra
		case count[a] != count[b]:
			return count[b] - count[a]
		case names[a] < names[b]:
			return -1
		}
		return 1
	})
	for _, i := range order[:left] {
		quota[i]++
	}
	return quota
}

// capNewUpstreams limits the number of buckets that an upstream with less than half
// its quota takes over from upstreams that leave, so that a drain does not put its
// whole load on an upstream that has just started. It does nothing if every
// upstream is below half its quota.
func (p *planner) capNewUpstreams() {
	anyEstablished := false
	for i, q := range p.quota {
		if q > 0 {
			p.capped[i] = 2*p.count[i] < q
			anyEstablished = anyEstablished || !p.capped[i]
		}
	}
	if !anyEstablished {
		clear(p.capped)
	}
}

func (p *planner) endTransitions(finished map[uint32]uint32) {
	for b, change := range finished {
		if b < flow.BucketCount && p.previous[b] != 0 && p.movedAt[b] == change {
			p.previous[b] = 0
			p.changed = true
		}
	}
}

func (p *planner) moveBucket(b int, owner, previous uint32) {
	if old := p.owner[b]; old != owner {
		if old != 0 {
			p.count[old-1]--
		}
		if owner != 0 {
			p.count[owner-1]++
			p.gained[owner-1]++
		}
	}
	p.owner[b], p.previous[b], p.movedAt[b] = owner, previous, p.change
	p.changed = true
}

// moveLeaving gives every bucket whose owner takes no new flows, or that has no
// owner, to another upstream. If no upstream serves, buckets of dead ones stay,
// because those may return, and the others get no owner.
func (p *planner) moveLeaving() {
	for b, owner := range p.owner {
		if owner != 0 && p.weights[owner-1] > 0 {
			continue
		}
		next := p.chooseRecipient(p.previous[b])
		if next == 0 && (owner == 0 || p.states[owner-1] == TargetDead) {
			continue
		}
		p.moveBucket(b, next, p.nextPrevious(p.previous[b], owner))
	}
}

// nextPrevious returns the previous upstream that a bucket gets when its owner
// leaves. This is the one that it has, or the owner if there is no previous one, or
// if that was taken out while the owner drains. A dead previous upstream stays, because
// health checks also fail while it serves its flows, and the flows on the owner have
// records. An owner that was taken out does not replace the previous upstream, because
// new flows must not be placed elsewhere before every member has adopted the change.
func (p *planner) nextPrevious(previous, owner uint32) uint32 {
	switch {
	case previous == 0:
		return owner
	case owner == 0:
		return previous
	}
	if p.states[previous-1] == TargetTakenOut && p.states[owner-1] == TargetDraining {
		return owner
	}
	return previous
}

// chooseRecipient returns the index plus 1 of the upstream for a bucket whose owner
// leaves: the preferred one if it is below its quota, otherwise the one furthest
// below, otherwise the one least above in proportion to its weight; 0 if no
// upstream may take it.
func (p *planner) chooseRecipient(preferred uint32) uint32 {
	if preferred != 0 && p.mayGain(int(preferred-1)) && p.count[preferred-1] < p.quota[preferred-1] {
		return preferred
	}
	best := -1
	for i := range p.names {
		if p.mayGain(i) && (best < 0 || p.ranksBefore(i, best)) {
			best = i
		}
	}
	return uint32(best + 1)
}

func (p *planner) mayGain(i int) bool {
	return p.weights[i] > 0 && (!p.capped[i] || p.gained[i] < p.maxMoves)
}

func (p *planner) ranksBefore(a, b int) bool {
	da, db := p.quota[a]-p.count[a], p.quota[b]-p.count[b]
	if da <= 0 && db <= 0 {
		if la, lb := (p.count[a]+1)*p.weights[b], (p.count[b]+1)*p.weights[a]; la != lb {
			return la < lb
		}
	} else if da != db {
		return da > db
	}
	return p.names[a] < p.names[b]
}

// moveToBelowQuota moves settled buckets from upstreams above their quota to
// upstreams below it. The moves that new upstreams have gained from leaving ones
// count towards the maximum.
func (p *planner) moveToBelowQuota() {
	cappedMoves := 0
	for i := range p.gained {
		if p.capped[i] {
			cappedMoves += p.gained[i]
		}
	}
	for left := p.maxMoves - cappedMoves; left > 0; left-- {
		from, to := -1, -1
		for i := range p.names {
			if p.weights[i] == 0 {
				continue
			}
			surplus := p.count[i] - p.quota[i]
			if surplus > 0 && (from < 0 || surplus > p.count[from]-p.quota[from]) && p.firstSettledBucket(i) >= 0 {
				from = i
			}
			if surplus < 0 && (to < 0 || surplus < p.count[to]-p.quota[to]) {
				to = i
			}
		}
		if from < 0 || to < 0 {
			return
		}
		p.moveBucket(p.firstSettledBucket(from), uint32(to+1), uint32(from+1))
	}
}

func (p *planner) firstSettledBucket(upstream int) int {
	for b, owner := range p.owner {
		if owner == uint32(upstream+1) && p.previous[b] == 0 {
			return b
		}
	}
	return -1
}

func (p *planner) nextTable(old *pb.ServiceTable, opt PlanOptions) (*pb.ServiceTable, bool) {
	if old != nil && !p.changed {
		return old, false
	}
	service := opt.Service
	if service == "" {
		service = old.GetService()
	}
	return &pb.ServiceTable{
		Service: service, ConfigRevision: opt.ConfigRevision, Upstreams: p.names,
		Owner: p.owner, Previous: p.previous, MovedAt: p.movedAt, Change: p.change,
	}, true
}
