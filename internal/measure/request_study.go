package measure

import (
	"fmt"
	"strings"

	"github.com/chivemast/chivemast/internal/standin/history"
)

// Study is a scenario with figures and targets of its own.
type Study struct {
	Name string
	// Policies are compared in the same run, the product first. Targets apply
	// to the product; baselines show what they are worth.
	Policies []string
	Prepare  func(opt *Options)
	// Script schedules what happens, and Finish takes the figures.
	Script func(w *World, f *Figures)
	Finish func(w *World, report *history.Report, f *Figures)
}

// Figures is what a study measured.
type Figures struct {
	Scenario, Policy string
	Seed             uint64
	fields           []string
	// Missed names the targets that were not reached.
	Missed []string
	finish []func()
}

// add notes a figure.
func (f *Figures) add(key, format string, value any) {
	f.fields = append(f.fields, key+"="+fmt.Sprintf(format, value))
}

// target notes whether a target was reached.
func (f *Figures) target(name string, reached bool) {
	if !reached {
		f.Missed = append(f.Missed, name)
	}
}

// Line is the figures as key=value pairs.
func (f *Figures) Line() string {
	missed := "none"
	if len(f.Missed) > 0 {
		missed = strings.Join(f.Missed, ",")
	}
	head := fmt.Sprintf("scenario=%s policy=%s seed=%d missed_targets=%s ", f.Scenario, f.Policy, f.Seed, missed)
	return head + strings.Join(f.fields, " ")
}

// Studies returns the studies of requests, admission and configuration.
func Studies() []Study { return append(requestStudies(), configStudies()...) }

// RunStudy runs a study under a policy. It fails when the options cannot be
// used.
func RunStudy(s Study, policy string, seed uint64) (*Figures, error) {
	opt := DefaultOptions(policy, seed)
	if s.Prepare != nil {
		s.Prepare(&opt)
	}
	w, err := NewWorld(opt)
	if err != nil {
		return nil, err
	}
	f := &Figures{Scenario: s.Name, Policy: policy, Seed: seed}
	s.Script(w, f)
	w.Run()
	report := history.Run(history.Options{Outages: w.outages, AllowOverload: true}, w.recorder.Events())
	s.Finish(w, report, f)
	return f, nil
}
