package node

import (
	"fmt"
	"slices"
	"strings"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/action"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/health"
	"github.com/chivemast/chivemast/internal/placement"
	"github.com/chivemast/chivemast/internal/position"
)

// planState is the state that an instance keeps between two plans of a service's table.
type planState struct {
	// lastInputs are the inputs of the last plan.
	lastInputs planInputs
	// nextPlanAt is when the table is planned again even if its inputs are unchanged.
	nextPlanAt time.Time
	// changeDueSince is when the pending change was first planned; zero when the table
	// is up to date.
	changeDueSince time.Time
	// resultDeadline is the time until which no new write is planned, because the result
	// of the last one is awaited.
	resultDeadline time.Time
	// nextSettledReport is the earliest time at which this instance may report settled
	// buckets again.
	nextSettledReport time.Time
	// deadSince maps the name of each dead upstream to the time at which it was first
	// seen dead. The entry is removed when the upstream is no longer dead.
	deadSince map[string]time.Time
}

// planInputs are the inputs of a plan, apart from the current time.
type planInputs struct {
	revision, tableVersion uint64
	targets                []placement.Target
}

func (p planInputs) equal(o planInputs) bool {
	return p.revision == o.revision && p.tableVersion == o.tableVersion && slices.Equal(p.targets, o.targets)
}

const (
	// deadUpstreamDelay is how long an upstream has to be dead before its buckets move,
	// so that a quicker restart moves none.
	deadUpstreamDelay = time.Second
	// settledReportInterval is the interval between two table changes by which an
	// instance reports settled buckets. It is long because a settled bucket that still
	// counts as in transition only costs a redirect, while each table change is sent to
	// every instance.
	settledReportInterval = 30 * time.Second
	// writeResultTimeout is the time within which a written table is expected to be read
	// back.
	writeResultTimeout = 2 * time.Second
)

// writeDueTables returns the writes of the tables that are out of date and whose writer
// stagger for this instance has passed.
func (node *Node) writeDueTables(now time.Time) []action.Action {
	if !node.Ready() {
		return nil
	}
	var out []action.Action
	for _, s := range node.servicesByName {
		if s.addressConflict {
			continue
		}
		if write, ok := node.planTableWrite(now, s); ok {
			out = append(out, write)
		}
	}
	return out
}

// planTableWrite plans a table when its inputs changed, a change is pending or
// StepInterval has passed since the last plan. It returns the write, and true, once a
// change has been due for WriterStagger times the rank of this instance.
func (node *Node) planTableWrite(now time.Time, s *service) (action.WriteObject, bool) {
	targets := node.targets(now, s)
	inputs := planInputs{revision: s.revision, tableVersion: s.tableVersion, targets: targets}
	if now.Before(s.plan.resultDeadline) {
		return action.WriteObject{}, false
	}
	same := inputs.equal(s.plan.lastInputs)
	if same && s.plan.changeDueSince.IsZero() && now.Before(s.plan.nextPlanAt) {
		return action.WriteObject{}, false
	}
	if !same {
		inputs.targets = slices.Clone(targets)
		s.plan.lastInputs, s.plan.changeDueSince = inputs, time.Time{}
	}
	s.plan.nextPlanAt = now.Add(node.cfg.StepInterval)
	options := placement.PlanOptions{Service: s.name, ConfigRevision: s.revision}
	if !now.Before(s.plan.nextSettledReport) {
		options.FinishedTransitions = node.tracker.FinishedTransitions(now, s.name)
	}
	next, changed := placement.Plan(s.tableValue, targets, options)
	if !changed {
		s.plan.changeDueSince = time.Time{}
		return action.WriteObject{}, false
	}
	if s.plan.changeDueSince.IsZero() {
		s.plan.changeDueSince = now
	}
	key := tablePrefix + s.name
	if now.Before(s.plan.changeDueSince.Add(time.Duration(node.writerRank(key)) * node.cfg.WriterStagger)) {
		return action.WriteObject{}, false
	}
	s.plan.resultDeadline = now.Add(writeResultTimeout)
	s.plan.nextSettledReport = now.Add(settledReportInterval)
	return node.newTableWrite(key, s, next), true
}

// newTableWrite returns the conditional write that replaces the current table by next.
func (node *Node) newTableWrite(key string, s *service, next *pb.ServiceTable) action.WriteObject {
	addAddresses(next, s)
	value, err := codec.Encode(next)
	if err != nil {
		// Encoding fails only on invalid UTF-8, which the validation of names rules out.
		node.observer.InvalidObject(&InvalidObjectError{Key: key, Version: s.tableVersion, Err: err})
	}
	node.writeCount++
	return action.WriteObject{
		Key: key, Value: value, ExpectedVersion: s.tableVersion, ExpectedEra: position.Era(node.sync.Revision()),
		ChangeID: fmt.Sprintf("%s/%d/%d", node.self.Name, node.self.Incarnation, node.writeCount),
	}
}

// addAddresses sets the address and failure domain of each upstream in the table. The
// address of an upstream that is no longer declared is removed, so that another service
// may use it, once no bucket refers to the upstream and no bucket is in transition;
// until then trackers may still have flows on it.
func addAddresses(t *pb.ServiceTable, s *service) {
	t.Addresses, t.FailureDomains = nil, nil
	referenced := referencedUpstreams(t)
	for i, name := range t.GetUpstreams() {
		address, domain := "", ""
		if u := s.upstreams[name]; u != nil && (u.declared || referenced == nil || referenced[uint32(i+1)]) {
			address, domain = u.address.String(), u.domain
		}
		t.Addresses = append(t.Addresses, address)
		t.FailureDomains = append(t.FailureDomains, domain)
	}
}

// referencedUpstreams returns the upstreams that own a bucket, by their index plus 1.
// It returns nil while any bucket is in transition.
func referencedUpstreams(t *pb.ServiceTable) map[uint32]bool {
	referenced := map[uint32]bool{}
	for bucket, owner := range t.GetOwner() {
		if t.GetPrevious()[bucket] != 0 {
			return nil
		}
		referenced[owner] = true
	}
	return referenced
}

// writerRank returns the rank of this instance among the live members for writing a
// key, starting at 0.
func (node *Node) writerRank(key string) int {
	for i, m := range node.view.Rank(flow.NameHash(key)) {
		if m.Name == node.self.Name {
			return i
		}
	}
	return len(node.view.Members)
}

// handleTableWritten shortens the wait to WriterStagger after a table write whose
// outcome is not WriteApplied.
func (node *Node) handleTableWritten(result action.WriteResult) {
	name, ok := strings.CutPrefix(result.Key, tablePrefix)
	if s := node.services[name]; ok && s != nil && result.Outcome != action.WriteApplied {
		s.plan.resultDeadline = node.now.Add(node.cfg.WriterStagger)
	}
}

// targets returns the upstreams of a service with their weights and states, sorted by
// name. The result is valid until the next call.
func (node *Node) targets(now time.Time, s *service) []placement.Target {
	if s.plan.deadSince == nil {
		s.plan.deadSince = map[string]time.Time{}
	}
	node.targetBuffer = node.targetBuffer[:0]
	for _, name := range s.upstreamNames {
		u := s.upstreams[name]
		node.targetBuffer = append(node.targetBuffer, placement.Target{
			Upstream: name, Weight: u.weight, State: node.targetState(now, s, name, u),
		})
	}
	return node.targetBuffer
}

// targetState returns the state of an upstream for the table plan, and maintains
// deadSince.
func (node *Node) targetState(now time.Time, s *service, name string, u *upstream) placement.TargetState {
	dead := node.health.State(u.name) == health.Dead
	if !dead {
		delete(s.plan.deadSince, name)
	} else if _, ok := s.plan.deadSince[name]; !ok {
		s.plan.deadSince[name] = now
	}
	switch {
	case node.domains.IsTakenOut(u.domain):
		return placement.TargetTakenOut
	case u.draining || !u.declared:
		return placement.TargetDraining
	case dead && now.Sub(s.plan.deadSince[name]) >= deadUpstreamDelay:
		return placement.TargetDead
	}
	return placement.TargetServing
}
