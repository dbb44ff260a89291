package measure

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/platform"
)

// configReporter is a decision core that reports the configuration that it has
// in force. The baselines do not.
type configReporter interface {
	Ready() bool
	Revision() uint64
	Status() *pb.StatusResponse
}

// recordConfigFigures checks that every instance had each change that was
// accepted during the load in force within the limit, and that no instance went
// back to an older revision or to an older version of an object.
func (w *World) recordConfigFigures(figures *StudyResult, seen *configHistory, limit time.Duration) {
	present := map[string]history.ConnectedPeriod{}
	for _, i := range w.instances {
		present[i.name] = history.ConnectedPeriod{FromUS: w.loadStart.UnixMicro(), UntilUS: w.virtualNow.UnixMicro()}
	}
	var accepted []history.Acceptance
	for revision, at := range w.acceptedAt {
		if !at.Before(w.loadStart) {
			accepted = append(accepted, history.Acceptance{Revision: revision, TimeUS: at.UnixMicro()})
		}
	}
	report := history.CheckConfiguration(accepted, seen.adoptions, present, limit.Microseconds())
	reverted, late := 0, 0
	for _, v := range report.Violations {
		if v.Check == history.CheckRevert {
			reverted++
		} else {
			late++
		}
	}
	figures.addField("changes", "%d", len(accepted))
	figures.addField("in_force_p50_ms", "%d", report.Quantile(0.5)/1000)
	figures.addField("in_force_p99_ms", "%d", report.Quantile(0.99)/1000)
	figures.addField("in_force_max_ms", "%d", report.Quantile(1)/1000)
	figures.addField("late", "%d", late)
	figures.addField("reverted", "%d", reverted)
	figures.addField("versions_backwards", "%d", seen.versionsBackwards)
	figures.checkTarget("in_force_p99", len(accepted) > 0 && report.Quantile(0.99) < limit.Microseconds())
	figures.checkTarget("late", late == 0)
	figures.checkTarget("reverted", reverted == 0 && seen.versionsBackwards == 0)
}

// operatorClients simulates operators who change the same objects at the same
// time. Each reads an object and, up to 100 ms later, writes or deletes it on the
// condition that it has not changed since.
type operatorClients struct {
	world *World
	// operations holds every read and write, for the check of the register.
	operations  []history.RegisterOp
	changeCount int
}

// startRandomChange lets an operator read one of three teams and schedules the
// write that changes it.
func (operators *operatorClients) startRandomChange(client int) {
	world := operators.world
	number := world.rng.IntN(3)
	key := declare.Key(fmt.Sprintf("extra%d", number))
	readUS := world.virtualNow.UnixMicro()
	current, _, err := world.store.Get(key)
	if err != nil {
		return
	}
	operators.operations = append(operators.operations, history.RegisterOp{
		Client: client, Key: key, Outcome: history.RegisterRead, Version: current.GetVersion(), ChangeID: current.GetChangeId(),
		CallUS: readUS, ReturnUS: readUS,
	})
	world.runAfter(time.Duration(world.rng.Int64N(int64(100*time.Millisecond))), func() {
		operators.writeTeam(client, number, key, current.GetVersion())
	})
}

func (operators *operatorClients) writeTeam(client, number int, key string, expected uint64) {
	world := operators.world
	operators.changeCount++
	operation := history.RegisterOp{
		Client: client, Key: key, Outcome: history.RegisterApplied, Expected: expected,
		ChangeID: fmt.Sprintf("operator-%d-%d", client, operators.changeCount),
		CallUS:   world.virtualNow.UnixMicro(), ReturnUS: world.virtualNow.UnixMicro(),
	}
	req := &pb.PutRequest{Key: key, ExpectedVersion: expected, ChangeId: operation.ChangeID, Delete: world.rng.IntN(4) == 0}
	if !req.Delete {
		value, err := declare.Encode(racingTeam(number))
		if err != nil {
			panic(fmt.Sprintf("cannot encode the declarations of a team of the scenario: %v", err))
		}
		req.Value = value
	}
	object, err := world.store.Put(req)
	var conflict *platform.ConflictError
	var lost *platform.LostResponseError
	switch {
	case errors.As(err, &conflict):
		operation.Outcome = history.RegisterConflict
	case errors.As(err, &lost):
		operation.Outcome = history.RegisterUnknown
	case err != nil:
		operation.Outcome = history.RegisterFailed
	default:
		operation.Version = object.GetVersion()
		world.acceptedAt[object.GetRevision()] = world.virtualNow
	}
	operators.operations = append(operators.operations, operation)
	world.deliverWatches()
}

func racingTeam(number int) *declare.Team {
	return &declare.Team{Name: fmt.Sprintf("extra%d", number), Services: []declare.Service{{
		Name: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, byte(number + 1)}), 80),
		Upstreams: []declare.Upstream{{
			Name: "u01", FailureDomain: "domain-a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 9, byte(number + 1)}), 8080),
		}},
	}}}
}

// scheduleOperators lets each of three operators start a change at an interval,
// from 1 s of load on.
func (w *World) scheduleOperators(interval, until time.Duration) *operatorClients {
	operators := &operatorClients{world: w}
	for client := range 3 {
		for at := time.Second; at < until; at += interval {
			w.At(at+time.Duration(w.rng.Int64N(int64(interval/4))), func() { operators.startRandomChange(client) })
		}
	}
	return operators
}

// configFaultsScript lets operators change the same teams while instances
// restart without state, failure domains are cut off and the platform is down,
// slow, loses the responses to writes or stops sending on watches.
func configFaultsScript(w *World, figures *StudyResult) {
	seen := w.recordConfigEvery(100 * time.Millisecond)
	operators := w.scheduleOperators(800*time.Millisecond, 140*time.Second)
	for n := range w.options.Instances {
		at := time.Duration(10+7*n) * time.Second
		w.At(at, func() { w.killAndRestart(n, time.Second) })
		w.At(at+3*time.Second, func() { w.store.LoseWriteResponses(1) })
	}
	for n := range w.options.Domains {
		at := time.Duration(15+20*n) * time.Second
		w.At(at, func() { w.SetDomainIsolated(w.domainName(n), true) })
		w.At(at+8*time.Second, func() { w.SetDomainIsolated(w.domainName(n), false) })
	}
	w.At(50*time.Second, func() { w.store.SetDown(true) })
	w.At(60*time.Second, func() { w.store.SetDown(false) })
	w.At(80*time.Second, func() { w.store.SetDelay(1500 * time.Millisecond) })
	w.At(95*time.Second, func() { w.store.SetDelay(0) })
	w.At(100*time.Second, func() { w.store.SilenceWatches() })
	figures.finishers = append(figures.finishers, func() {
		// The limit is long because a change can be accepted while an instance
		// is cut off, and is then in force only after the fault has ended.
		w.recordConfigFigures(figures, seen, 60*time.Second)
		figures.addField("register_operations", "%d", len(operators.operations))
		violations := history.CheckRegister(operators.operations)
		figures.addField("register_violations", "%d", len(violations))
		figures.checkTarget("register", len(violations) == 0)
	})
}

// longOutageScript takes the platform down for two hours. Every instance
// restarts without state once, and one failure domain is cut off for a time. No
// instance may go back to an older configuration, and a change after the outage
// has to be in force within 3 s.
func longOutageScript(w *World, figures *StudyResult) {
	const outage = 2 * time.Hour
	seen := w.recordConfigEvery(time.Second)
	w.At(5*time.Second, func() { w.ChangeTeam(0, func(t *declare.Team) { t.Services[0].Upstreams[1].Weight = 90 }) })
	w.At(10*time.Second, func() { w.store.SetDown(true) })
	for n := range w.options.Instances {
		w.At(time.Duration(5+10*n)*time.Minute, func() { w.killAndRestart(n, 2*time.Second) })
	}
	w.At(100*time.Minute, func() { w.SetDomainIsolated(w.domainName(2), true) })
	w.At(101*time.Minute, func() { w.killAndRestart(2, 2*time.Second) })
	w.At(110*time.Minute, func() { w.SetDomainIsolated(w.domainName(2), false) })
	w.At(outage, func() { w.store.SetDown(false) })
	w.recordPlatformCalls(figures, "return_10s", outage, outage+10*time.Second, 0)
	w.At(outage+10*time.Second, func() {
		w.ChangeTeam(0, func(t *declare.Team) { t.Services[0].Upstreams[1].Weight = 95 })
	})
	figures.finishers = append(figures.finishers, func() { w.recordConfigFigures(figures, seen, 3*time.Second) })
}
