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

// nodeCore is a core that tells what it has in force.
type nodeCore interface {
	Ready() bool
	Revision() uint64
	Status() *pb.StatusResponse
}

// finishConfig checks that every instance had each accepted change in force
// within a limit and that nothing went back.
func (w *World) finishConfig(f *Figures, log *configLog, limit time.Duration) {
	present := map[string]history.Presence{}
	for _, i := range w.instances {
		present[i.name] = history.Presence{FromUS: w.started.UnixMicro(), UntilUS: w.now.UnixMicro()}
	}
	var accepted []history.Acceptance
	for revision, at := range w.accepted {
		if !at.Before(w.started) {
			accepted = append(accepted, history.Acceptance{Revision: revision, TimeUS: at.UnixMicro()})
		}
	}
	report := history.CheckConfiguration(accepted, log.adoptions, present, limit.Microseconds())
	reverted, late := 0, 0
	for _, v := range report.Violations {
		if v.Check == history.CheckRevert {
			reverted++
		} else {
			late++
		}
	}
	f.add("changes", "%d", len(accepted))
	f.add("in_force_p50_ms", "%d", report.Quantile(0.5)/1000)
	f.add("in_force_p99_ms", "%d", report.Quantile(0.99)/1000)
	f.add("in_force_max_ms", "%d", report.Quantile(1)/1000)
	f.add("late", "%d", late)
	f.add("reverted", "%d", reverted)
	f.add("versions_backwards", "%d", log.backwards)
	f.target("in_force_p99", len(accepted) > 0 && report.Quantile(0.99) < limit.Microseconds())
	f.target("late", late == 0)
	f.target("reverted", reverted == 0 && log.backwards == 0)
}

// operators are clients that race on the same objects. They read an object and
// write or delete it a little later on the condition that it did not change.
type operators struct {
	world *World
	ops   []history.RegisterOp
	count int
}

// act lets one operator change one of three teams.
func (o *operators) act(client int) {
	w := o.world
	number := w.rng.IntN(3)
	key := declare.Key(fmt.Sprintf("extra%d", number))
	at := w.now.UnixMicro()
	current, _, err := w.store.Get(key)
	if err != nil {
		return
	}
	o.ops = append(o.ops, history.RegisterOp{
		Client: client, Key: key, Outcome: history.RegisterRead, Version: current.GetVersion(), ChangeID: current.GetChangeId(),
		CallUS: at, ReturnUS: at,
	})
	w.after(time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() { o.write(client, number, key, current.GetVersion()) })
}

func (o *operators) write(client, number int, key string, expected uint64) {
	w := o.world
	o.count++
	op := history.RegisterOp{
		Client: client, Key: key, Outcome: history.RegisterApplied, Expected: expected,
		ChangeID: fmt.Sprintf("operator-%d-%d", client, o.count), CallUS: w.now.UnixMicro(), ReturnUS: w.now.UnixMicro(),
	}
	req := &pb.PutRequest{Key: key, ExpectedVersion: expected, ChangeId: op.ChangeID, Delete: w.rng.IntN(4) == 0}
	if !req.Delete {
		value, err := declare.Encode(extraTeam(number))
		if err != nil {
			panic(fmt.Sprintf("team of the scenario is not valid: %v", err))
		}
		req.Value = value
	}
	object, err := w.store.Put(req)
	var conflict *platform.ConflictError
	var lost *platform.LostAnswerError
	switch {
	case errors.As(err, &conflict):
		op.Outcome = history.RegisterConflict
	case errors.As(err, &lost):
		op.Outcome = history.RegisterUnknown
	case err != nil:
		op.Outcome = history.RegisterFailed
	default:
		op.Version = object.GetVersion()
		w.accepted[object.GetRevision()] = w.now
	}
	o.ops = append(o.ops, op)
	w.progress()
}

func extraTeam(number int) *declare.Team {
	return &declare.Team{Name: fmt.Sprintf("extra%d", number), Services: []declare.Service{{
		Name: "service", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 1, byte(number + 1)}), 80),
		Upstreams: []declare.Upstream{{
			Name: "u01", FailureDomain: "domain-a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 9, byte(number + 1)}), 8080),
		}},
	}}}
}

// race lets three operators act at an interval.
func (w *World) race(interval, until time.Duration) *operators {
	o := &operators{world: w}
	for client := range 3 {
		for at := time.Second; at < until; at += interval {
			w.At(at+time.Duration(w.rng.Int64N(int64(interval/4))), func() { o.act(client) })
		}
	}
	return o
}

// chaosScript races operators while instances restart without state, failure
// domains are cut off and the platform is down, slow or loses answers.
func chaosScript(w *World, f *Figures) {
	log := w.watchConfig(100 * time.Millisecond)
	o := w.race(800*time.Millisecond, 140*time.Second)
	for n := range w.opt.Instances {
		at := time.Duration(10+7*n) * time.Second
		w.At(at, func() { w.stop(n, time.Second) })
		w.At(at+3*time.Second, func() { w.store.LoseWriteAnswers(1) })
	}
	for n := range w.opt.Domains {
		at := time.Duration(15+20*n) * time.Second
		w.At(at, func() { w.Isolate(w.domainName(n), true) })
		w.At(at+8*time.Second, func() { w.Isolate(w.domainName(n), false) })
	}
	w.At(50*time.Second, func() { w.store.SetDown(true) })
	w.At(60*time.Second, func() { w.store.SetDown(false) })
	w.At(80*time.Second, func() { w.store.SetDelay(1500 * time.Millisecond) })
	w.At(95*time.Second, func() { w.store.SetDelay(0) })
	w.At(100*time.Second, func() { w.store.SilenceWatches() })
	f.finish = append(f.finish, func() {
		// Changes accepted while an instance cannot hear of them count from
		// when the faults are over.
		w.finishConfig(f, log, 60*time.Second)
		f.add("register_operations", "%d", len(o.ops))
		bad := history.CheckRegister(o.ops)
		f.add("register_violations", "%d", len(bad))
		f.target("register", len(bad) == 0)
	})
}

// outageScript has the platform down for two hours. Every instance is replaced
// once, and one failure domain is cut off in between. Nothing may go back, and
// a change afterwards has to be in force as fast as ever.
func outageScript(w *World, f *Figures) {
	const outage = 2 * time.Hour
	log := w.watchConfig(time.Second)
	w.At(5*time.Second, func() { w.Change(0, func(t *declare.Team) { t.Services[0].Upstreams[1].Weight = 90 }) })
	w.At(10*time.Second, func() { w.store.SetDown(true) })
	for n := range w.opt.Instances {
		w.At(time.Duration(5+10*n)*time.Minute, func() { w.stop(n, 2*time.Second) })
	}
	w.At(100*time.Minute, func() { w.Isolate(w.domainName(2), true) })
	w.At(101*time.Minute, func() { w.stop(2, 2*time.Second) })
	w.At(110*time.Minute, func() { w.Isolate(w.domainName(2), false) })
	w.At(outage, func() { w.store.SetDown(false) })
	w.callsBetween(f, "return_10s", outage, outage+10*time.Second, 0)
	w.At(outage+10*time.Second, func() {
		w.Change(0, func(t *declare.Team) { t.Services[0].Upstreams[1].Weight = 95 })
	})
	f.finish = append(f.finish, func() { w.finishConfig(f, log, 3*time.Second) })
}
