package measure

import (
	"fmt"
	"strings"

	"github.com/chivemast/chivemast/internal/standin/history"
)

// Study is a scenario that records its own figures and checks its own targets.
type Study struct {
	Name string
	// Policies are the policies to compare under the same seed, the product
	// first. Only the product has to reach the targets; that other policies
	// miss them shows that the checks can fail.
	Policies []string
	// Prepare, if set, changes the default options.
	Prepare func(opt *Options)
	// Script schedules the faults and changes, and Finish records the figures
	// after the run.
	Script func(w *World, f *StudyResult)
	Finish func(w *World, report *history.Report, f *StudyResult)
}

// StudyResult holds what a study measured under one policy and seed.
type StudyResult struct {
	Scenario, Policy string
	Seed             uint64
	fields           []string
	// MissedTargets holds the names of the targets that were not reached.
	MissedTargets []string
	finishers     []func()
}

// addField adds a figure to the result line.
func (f *StudyResult) addField(key, format string, value any) {
	f.fields = append(f.fields, key+"="+fmt.Sprintf(format, value))
}

// checkTarget records the name of a target that was not reached.
func (f *StudyResult) checkTarget(name string, reached bool) {
	if !reached {
		f.MissedTargets = append(f.MissedTargets, name)
	}
}

// Line returns the figures as key=value pairs on one line.
func (f *StudyResult) Line() string {
	missed := "none"
	if len(f.MissedTargets) > 0 {
		missed = strings.Join(f.MissedTargets, ",")
	}
	head := fmt.Sprintf("scenario=%s policy=%s seed=%d missed_targets=%s ", f.Scenario, f.Policy, f.Seed, missed)
	return head + strings.Join(f.fields, " ")
}

// Studies returns the studies of requests, admission and configuration.
func Studies() []Study { return append(requestStudies(), configStudies()...) }

// RunStudy runs a study under a policy. It returns the errors of NewWorld.
func RunStudy(s Study, policy string, seed uint64) (*StudyResult, error) {
	opt := DefaultOptions(policy, seed)
	if s.Prepare != nil {
		s.Prepare(&opt)
	}
	w, err := NewWorld(opt)
	if err != nil {
		return nil, err
	}
	figures := &StudyResult{Scenario: s.Name, Policy: policy, Seed: seed}
	s.Script(w, figures)
	w.Run()
	report := history.Run(history.Options{Outages: w.outages, AllowOverload: true}, w.recorder.Events())
	s.Finish(w, report, figures)
	return figures, nil
}
