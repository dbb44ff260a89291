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

// Size and times of the run of one fault schedule.
const (
	scheduleInstances = 4
	scheduleLoadTime  = 16 * time.Second
	// scheduleSettleTime lets the instances agree on the holders of the lease
	// slots, and lets the fence of their first lease terms end, before the load
	// starts.
	scheduleSettleTime = 10 * time.Second
)

// requestChecks are the checks of requests that must hold under every fault
// schedule.
var requestChecks = []history.Check{
	history.CheckDoubleRun, history.CheckFalseNotRun, history.CheckMixed, history.CheckTruncated,
	history.CheckAnswerWithoutRun,
}

// ScheduleResult is the outcome of one random fault schedule.
type ScheduleResult struct {
	Seed uint64
	// Faults describes the faults that were applied, in the order of time.
	Faults []string
	Report *history.Report
	// NonIdempotent counts the requests that must not run twice, and
	// NonIdempotentRuns those of them that ran at least once.
	NonIdempotent, NonIdempotentRuns int
	// NotRunRefusals counts the refusals that tell the caller that the request
	// did not run.
	NotRunRefusals int
}

// Violations returns the violations of the checks of requests.
func (s *ScheduleResult) Violations() []history.Violation {
	var violations []history.Violation
	for _, v := range s.Report.Violations {
		for _, check := range requestChecks {
			if v.Check == check {
				violations = append(violations, v)
			}
		}
	}
	return violations
}

// scheduleOptions returns the options of a schedule. Those of the clocks, the
// links, the service time and the instance list are drawn at random.
func scheduleOptions(policy string, seed uint64, rng *rand.Rand) Options {
	domains := 2 + rng.IntN(3)
	team := Team(4, 2, domains)
	for n := range team.Services {
		team.Services[n].MaxRequestTimeoutMS = 5000
		team.Services[n].ColdStart = declare.ColdStart{SustainableOpensPerSecond: 50, RampSeconds: 3}
	}
	options := Options{
		Policy: policy, Seed: seed, Instances: scheduleInstances, Domains: domains, Teams: []*declare.Team{team},
		SettleTime: scheduleSettleTime, ServiceTime: time.Duration(5+rng.IntN(100)) * time.Millisecond,
		ColdStart: upstream.ColdStart{OpensPerSecond: 50, FullOpensPerSecond: 800, Ramp: 3 * time.Second},
		Duplicate: 0.1 * rng.Float64(), Reorder: 0.2 * rng.Float64(), Drop: 0.03 * rng.Float64(),
		LinkFaults: LinkFaults{
			Duplicate: 0.1 * rng.Float64(), Reorder: 0.1 * rng.Float64(), Drop: 0.03 * rng.Float64(),
			MaxReorderDelay: time.Duration(5+rng.IntN(1000)) * time.Millisecond,
		},
		InstanceListLag: time.Duration(rng.IntN(15)) * time.Second,
		Load: caller.Config{
			Services: []string{serviceAddress(0).String(), serviceAddress(1).String()},
			Duration: scheduleLoadTime, OpensPerSecond: 6, LongFlows: 8, FlowLifetime: 3 * time.Second,
			RequestsPerSecond: 1.5, DataPerSecond: -1, NonIdempotentShare: 0.7, CancelShare: 0.05, LateCopyShare: 0.5,
			RequestTimeout: []time.Duration{1500 * time.Millisecond, 4500 * time.Millisecond}[rng.IntN(2)], Retransmit: 100 * time.Millisecond,
		},
	}
	baseSkew := time.Duration(rng.Int64N(int64(maxClockSkew)))
	for range scheduleInstances {
		options.ClockSkew = append(options.ClockSkew, time.Duration(rng.Int64N(int64(maxClockSkew)))-baseSkew)
	}
	return options
}

// maxClockSkew bounds the difference between the clocks of two instances.
const maxClockSkew = 250 * time.Millisecond

// RunSchedule runs the random fault schedule of a seed under a policy. It
// returns the errors of NewWorld.
func RunSchedule(policy string, seed uint64) (*ScheduleResult, error) {
	rng := rand.New(rand.NewPCG(seed, 77))
	w, err := NewWorld(scheduleOptions(policy, seed, rng))
	if err != nil {
		return nil, err
	}
	s := &ScheduleResult{Seed: seed}
	faults := &faultSchedule{world: w, rng: rng, appliedFaults: &s.Faults}
	for range 3 + rng.IntN(8) {
		faults.addRandomFault()
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
			s.NotRunRefusals++
		}
	}
	s.NonIdempotentRuns = len(runs)
	return s, nil
}

// ScheduleTotals sums the outcomes of schedules.
type ScheduleTotals struct {
	// Policy is the policy of all schedules.
	Policy string
	// Schedules and Faults count schedules and the faults in them. The other
	// numbers count requests, except Counts.
	Schedules, Faults                                          int
	Requests, NonIdempotent, NonIdempotentRuns, NotRunRefusals int
	Answered, OutcomeUnknown, RequestTimeouts, WrongService    int
	// Counts holds the number of violations by check of requests.
	Counts map[history.Check]int
	// FailedSchedules holds the schedules with at least one violation.
	FailedSchedules []*ScheduleResult
}

// Add adds the counts of one schedule.
func (t *ScheduleTotals) Add(s *ScheduleResult) {
	if t.Counts == nil {
		t.Counts = map[history.Check]int{}
	}
	t.Schedules++
	t.Faults += len(s.Faults)
	t.Requests += s.Report.Requests
	t.NonIdempotent += s.NonIdempotent
	t.NonIdempotentRuns += s.NonIdempotentRuns
	t.NotRunRefusals += s.NotRunRefusals
	t.Answered += s.Report.Answered
	t.RequestTimeouts += s.Report.RequestTimeouts
	t.OutcomeUnknown += s.Report.RequestsRefused["outcome_unknown"]
	t.WrongService += s.Report.ViolationCounts[history.CheckWrongService]
	for _, check := range requestChecks {
		t.Counts[check] += s.Report.ViolationCounts[check]
	}
	if len(s.Violations()) > 0 {
		t.FailedSchedules = append(t.FailedSchedules, s)
	}
}

// Violations returns the number of violations of the checks of requests.
func (t *ScheduleTotals) Violations() int {
	sum := 0
	for _, n := range t.Counts {
		sum += n
	}
	return sum
}

// Line returns the totals as key=value pairs on one line.
func (t *ScheduleTotals) Line() string {
	fields := []string{
		"scenario=schedules", "policy=" + t.Policy, fmt.Sprintf("schedules=%d", t.Schedules), fmt.Sprintf("faults=%d", t.Faults),
		fmt.Sprintf("requests=%d", t.Requests), fmt.Sprintf("non_idempotent=%d", t.NonIdempotent),
		fmt.Sprintf("non_idempotent_run=%d", t.NonIdempotentRuns), fmt.Sprintf("not_run_claims=%d", t.NotRunRefusals),
		fmt.Sprintf("answered=%d", t.Answered), fmt.Sprintf("outcome_unknown=%d", t.OutcomeUnknown),
		fmt.Sprintf("request_timeouts=%d", t.RequestTimeouts), fmt.Sprintf("wrong_service=%d", t.WrongService),
	}
	for _, check := range requestChecks {
		fields = append(fields, fmt.Sprintf("%s=%d", check, t.Counts[check]))
	}
	return strings.Join(append(fields, fmt.Sprintf("schedules_with_violations=%d", len(t.FailedSchedules))), " ")
}
