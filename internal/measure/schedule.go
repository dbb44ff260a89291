package measure

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/standin/caller"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

// Sizes of the world of one fault schedule.
const (
	scheduleInstances = 4
	scheduleLoad      = 16 * time.Second
	// scheduleSettle lets the instances agree on the lease slots, and lets the
	// fence of their first tenures pass.
	scheduleSettle = 10 * time.Second
)

// requestChecks are the promises on requests that a fault schedule may break.
var requestChecks = []history.Check{
	history.CheckDoubleRun, history.CheckFalseNotRun, history.CheckMixed, history.CheckTruncated, history.CheckForeignRun,
}

// Schedule is the outcome of one random fault schedule.
type Schedule struct {
	Seed uint64
	// Faults lists what happened, in the order of time.
	Faults []string
	Report *history.Report
	// NonIdempotent counts the requests that must not run twice, and
	// NonIdempotentRuns those that ran.
	NonIdempotent, NonIdempotentRuns int
	// NotRunClaims counts the refusals that say "not run".
	NotRunClaims int
}

// Violations returns the broken promises on requests.
func (s *Schedule) Violations() []history.Violation {
	var out []history.Violation
	for _, v := range s.Report.Violations {
		for _, check := range requestChecks {
			if v.Check == check {
				out = append(out, v)
			}
		}
	}
	return out
}

// scheduleOptions draws the world of a schedule: its clocks, its links and the
// lag of the instance list.
func scheduleOptions(policy string, seed uint64, rng *rand.Rand) Options {
	domains := 2 + rng.IntN(3)
	team := Team(4, 2, domains)
	for n := range team.Services {
		team.Services[n].MaxRequestTimeoutMS = 5000
		team.Services[n].ColdStart = declare.ColdStart{SustainableOpensPerSecond: 50, RampSeconds: 3}
	}
	opt := Options{
		Policy: policy, Seed: seed, Instances: scheduleInstances, Domains: domains, Teams: []*declare.Team{team},
		Settle: scheduleSettle, ServiceTime: time.Duration(5+rng.IntN(100)) * time.Millisecond,
		Cold:      upstream.ColdStart{OpensPerSecond: 50, FullOpensPerSecond: 800, Ramp: 3 * time.Second},
		Duplicate: 0.1 * rng.Float64(), Reorder: 0.2 * rng.Float64(), Drop: 0.03 * rng.Float64(),
		Links: LinkFaults{
			Duplicate: 0.1 * rng.Float64(), Reorder: 0.1 * rng.Float64(), Drop: 0.03 * rng.Float64(),
			ReorderBy: time.Duration(5+rng.IntN(1000)) * time.Millisecond,
		},
		InstanceLag: time.Duration(rng.IntN(15)) * time.Second,
		Load: caller.Config{
			Services: []string{serviceAddress(0).String(), serviceAddress(1).String()},
			Duration: scheduleLoad, OpensPerSecond: 6, LongFlows: 8, FlowLifetime: 3 * time.Second,
			RequestsPerSecond: 1.5, DataPerSecond: -1, NonIdempotent: 0.7, Cancel: 0.05, LateCopies: 0.5,
			RequestTimeout: []time.Duration{1500 * time.Millisecond, 4500 * time.Millisecond}[rng.IntN(2)], Retransmit: 100 * time.Millisecond,
		},
	}
	base := time.Duration(rng.Int64N(int64(skewLimit)))
	for range scheduleInstances {
		opt.Skew = append(opt.Skew, time.Duration(rng.Int64N(int64(skewLimit)))-base)
	}
	return opt
}

// skewLimit bounds the difference between two clocks.
const skewLimit = 250 * time.Millisecond

// RunSchedule runs the fault schedule of a seed. It fails when the options
// cannot be used.
func RunSchedule(policy string, seed uint64) (*Schedule, error) {
	rng := rand.New(rand.NewPCG(seed, 77))
	w, err := NewWorld(scheduleOptions(policy, seed, rng))
	if err != nil {
		return nil, err
	}
	s := &Schedule{Seed: seed}
	faults := &faultSchedule{world: w, rng: rng, trace: &s.Faults}
	for range 3 + rng.IntN(8) {
		faults.draw()
	}
	w.Run()
	s.Report = history.Run(history.Options{Outages: w.outages, AllowOverload: true}, w.recorder.Events())
	runs := map[history.RequestKey]bool{}
	for _, e := range w.recorder.Events() {
		key := history.RequestKey{Caller: e.Caller, Service: e.Service, FlowID: e.FlowID, RequestID: e.RequestID}
		switch {
		case e.Kind == history.CallerRequest && !e.Idempotent:
			s.NonIdempotent++
		case e.Kind == history.UpstreamRun && !e.Idempotent:
			runs[key] = true
		case e.NotRun:
			s.NotRunClaims++
		}
	}
	s.NonIdempotentRuns = len(runs)
	return s, nil
}

// ScheduleTotals sums the outcomes of schedules.
type ScheduleTotals struct {
	Policy                                           string
	Schedules, Faults                                int
	Requests, NonIdempotent, Runs, NotRunClaims      int
	Answered, Unknown, RequestTimeouts, WrongService int
	Counts                                           map[history.Check]int
	// Bad holds the schedules with violations.
	Bad []*Schedule
}

// Add counts one schedule.
func (t *ScheduleTotals) Add(s *Schedule) {
	if t.Counts == nil {
		t.Counts = map[history.Check]int{}
	}
	t.Schedules++
	t.Faults += len(s.Faults)
	t.Requests += s.Report.Requests
	t.NonIdempotent += s.NonIdempotent
	t.Runs += s.NonIdempotentRuns
	t.NotRunClaims += s.NotRunClaims
	t.Answered += s.Report.Answered
	t.RequestTimeouts += s.Report.RequestTimeouts
	t.Unknown += s.Report.RequestsRefused["outcome_unknown"]
	t.WrongService += s.Report.Counts[history.CheckWrongService]
	for _, check := range requestChecks {
		t.Counts[check] += s.Report.Counts[check]
	}
	if len(s.Violations()) > 0 {
		t.Bad = append(t.Bad, s)
	}
}

// Violations returns the number of broken promises on requests.
func (t *ScheduleTotals) Violations() int {
	sum := 0
	for _, n := range t.Counts {
		sum += n
	}
	return sum
}

// Line is the totals as key=value pairs.
func (t *ScheduleTotals) Line() string {
	fields := []string{
		"scenario=schedules", "policy=" + t.Policy, fmt.Sprintf("schedules=%d", t.Schedules), fmt.Sprintf("faults=%d", t.Faults),
		fmt.Sprintf("requests=%d", t.Requests), fmt.Sprintf("non_idempotent=%d", t.NonIdempotent),
		fmt.Sprintf("non_idempotent_run=%d", t.Runs), fmt.Sprintf("not_run_claims=%d", t.NotRunClaims),
		fmt.Sprintf("answered=%d", t.Answered), fmt.Sprintf("outcome_unknown=%d", t.Unknown),
		fmt.Sprintf("request_timeouts=%d", t.RequestTimeouts), fmt.Sprintf("wrong_service=%d", t.WrongService),
	}
	for _, check := range requestChecks {
		fields = append(fields, fmt.Sprintf("%s=%d", check, t.Counts[check]))
	}
	return strings.Join(append(fields, fmt.Sprintf("schedules_with_violations=%d", len(t.Bad))), " ")
}
