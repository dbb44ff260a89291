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
)

// planState is what an instance remembers between looks at a table.
type planState struct {
	// inputs are those of the last look.
	inputs planInputs
	// nextLook is when the table is planned again with the same inputs.
	nextLook time.Time
	// dueSince is when the current change was first found missing; zero when
	// the table is up to date.
	dueSince time.Time
	// waitUntil is until when the result of a write is awaited.
	waitUntil time.Time
	// nextSettle is when this instance may report settled buckets again.
	nextSettle time.Time
	// deadSince notes how long upstreams have been dead.
	deadSince map[string]time.Time
}

// planInputs are what a plan depends on, besides the passing of time.
type planInputs struct {
	revision, tableVersion uint64
	targets                []placement.Target
}

func (p planInputs) equal(o planInputs) bool {
	return p.revision == o.revision && p.tableVersion == o.tableVersion && slices.Equal(p.targets, o.targets)
}

const (
	// deadLimit is how long an upstream has to be dead before its buckets
	// move; a restart that is quicker moves none.
	deadLimit = time.Second
	// settleInterval is the time between two changes by which an instance
	// reports the buckets that it tracked to their end. It is long because a
	// settled bucket that still counts as in transition only costs a redirect,
	// while each change sends the table to every instance.
	settleInterval = 30 * time.Second
	// writeWait is the time within which a written table is expected back.
	writeWait = 2 * time.Second
)

// writeTables writes the tables that are out of date, if this instance's turn
// has come.
func (n *Node) writeTables(now time.Time) []action.Action {
	if !n.Ready() {
		return nil
	}
	var out []action.Action
	for _, s := range n.order {
		if s.conflicting {
			continue
		}
		if write, ok := n.writeTable(now, s); ok {
			out = append(out, write)
		}
	}
	return out
}

// writeTable plans a table when its inputs changed or a gradual step is due,
// and writes it after a wait of WriterStagger per rank.
func (n *Node) writeTable(now time.Time, s *service) (action.WriteObject, bool) {
	targets := n.targets(now, s)
	inputs := planInputs{revision: s.revision, tableVersion: s.tableVersion, targets: targets}
	if now.Before(s.plan.waitUntil) {
		return action.WriteObject{}, false
	}
	same := inputs.equal(s.plan.inputs)
	if same && s.plan.dueSince.IsZero() && now.Before(s.plan.nextLook) {
		return action.WriteObject{}, false
	}
	if !same {
		inputs.targets = slices.Clone(targets)
		s.plan.inputs, s.plan.dueSince = inputs, time.Time{}
	}
	s.plan.nextLook = now.Add(n.cfg.StepInterval)
	options := placement.PlanOptions{Service: s.name, ConfigRevision: s.revision}
	if !now.Before(s.plan.nextSettle) {
		options.FinishedTransitions = n.tracker.FinishedTransitions(now, s.name)
	}
	next, changed := placement.Plan(s.tableValue, targets, options)
	if !changed {
		s.plan.dueSince = time.Time{}
		return action.WriteObject{}, false
	}
	if s.plan.dueSince.IsZero() {
		s.plan.dueSince = now
	}
	key := tablePrefix + s.name
	if now.Before(s.plan.dueSince.Add(time.Duration(n.rank(key)) * n.cfg.WriterStagger)) {
		return action.WriteObject{}, false
	}
	s.plan.waitUntil = now.Add(writeWait)
	s.plan.nextSettle = now.Add(settleInterval)
	return n.tableWrite(key, s, next), true
}

func (n *Node) tableWrite(key string, s *service, next *pb.ServiceTable) action.WriteObject {
	addAddresses(next, s)
	value, err := codec.Encode(next)
	if err != nil {
		// Names that passed validation are valid UTF-8, the only condition.
		n.observer.InvalidObject(&InvalidObjectError{Key: key, Version: s.tableVersion, Err: err})
	}
	n.writes++
	return action.WriteObject{
		Key: key, Value: value, Expected: s.tableVersion,
		ChangeID: fmt.Sprintf("%s/%d/%d", n.self.Name, n.self.Incarnation, n.writes),
	}
}

// addAddresses notes where each upstream of the table is. An upstream that is
// not declared any more loses its address, so that another service may use it,
// once no bucket refers to it and none is in transition, when trackers may
// still have flows on it.
func addAddresses(t *pb.ServiceTable, s *service) {
	t.Addresses, t.FailureDomains = nil, nil
	referred := referredUpstreams(t)
	for i, name := range t.GetUpstreams() {
		address, domain := "", ""
		if u := s.upstreams[name]; u != nil && (u.declared || referred == nil || referred[uint32(i+1)]) {
			address, domain = u.address.String(), u.domain
		}
		t.Addresses = append(t.Addresses, address)
		t.FailureDomains = append(t.FailureDomains, domain)
	}
}

// referredUpstreams returns the indexes plus 1 of the upstreams that own a
// bucket, nil while a bucket is in transition.
func referredUpstreams(t *pb.ServiceTable) map[uint32]bool {
	referred := map[uint32]bool{}
	for bucket, owner := range t.GetOwner() {
		if t.GetPrevious()[bucket] != 0 {
			return nil
		}
		referred[owner] = true
	}
	return referred
}

// rank is this instance's place among the live members for writing a key.
func (n *Node) rank(key string) int {
	for i, m := range n.view.Rank(flow.NameHash(key)) {
		if m.Name == n.self.Name {
			return i
		}
	}
	return len(n.view.Members)
}

// handleTableWritten ends the wait for a write that did not take effect.
func (n *Node) handleTableWritten(result action.WriteResult) {
	name, ok := strings.CutPrefix(result.Key, tablePrefix)
	if s := n.services[name]; ok && s != nil && result.Outcome != action.WriteApplied {
		s.plan.waitUntil = n.now.Add(n.cfg.WriterStagger)
	}
}

// targets returns the declared upstreams of a service with their states, by
// name. The result is valid until the next call.
func (n *Node) targets(now time.Time, s *service) []placement.Target {
	if s.plan.deadSince == nil {
		s.plan.deadSince = map[string]time.Time{}
	}
	n.targetBuffer = n.targetBuffer[:0]
	for _, name := range s.order {
		u := s.upstreams[name]
		n.targetBuffer = append(n.targetBuffer, placement.Target{
			Upstream: name, Weight: u.weight, State: n.targetState(now, s, name, u),
		})
	}
	return n.targetBuffer
}

func (n *Node) targetState(now time.Time, s *service, name string, u *upstream) placement.TargetState {
	dead := n.health.State(u.name) == health.Dead
	if !dead {
		delete(s.plan.deadSince, name)
	} else if _, ok := s.plan.deadSince[name]; !ok {
		s.plan.deadSince[name] = now
	}
	switch {
	case n.domains.Out(u.domain):
		return placement.TargetTakenOut
	case u.draining || !u.declared:
		return placement.TargetDraining
	case dead && now.Sub(s.plan.deadSince[name]) >= deadLimit:
		return placement.TargetDead
	}
	return placement.TargetServing
}
