// Command measure runs the scenarios and studies in virtual time and prints one
// line of key=value pairs per scenario or study and policy.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/measure"
)

func main() {
	cmd := &cli.Command{
		Name:  "measure",
		Usage: "run scenarios of instances, upstreams and callers in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Usage: "run only scenarios whose name contains `TEXT`"},
			&cli.StringFlag{Name: "policy", Usage: "run only this `POLICY`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the run"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "runs at a time"},
			&cli.BoolFlag{Name: "violations", Usage: "print the violations found"},
		},
		Action:   runScenarios,
		Commands: []*cli.Command{slopesCommand(), schedulesCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// scenarioJob is one scenario to run under one policy. result is set by the run.
type scenarioJob struct {
	scenario measure.Scenario
	policy   string
	result   *measure.Result
}

// studyJob is one study to run under one policy. figures is set by the run.
type studyJob struct {
	study   measure.Study
	policy  string
	figures *measure.StudyResult
}

// runScenarios runs the scenarios and studies that the flags select, --parallel of
// them at the same time, and prints the results in order of declaration.
func runScenarios(_ context.Context, cmd *cli.Command) error {
	var jobs []*scenarioJob
	for _, s := range measure.Scenarios() {
		for _, p := range measure.Policies() {
			if s.OnlyProduct && p != measure.PolicyChivemast {
				continue
			}
			if strings.Contains(s.Name, cmd.String("scenario")) && (cmd.String("policy") == "" || cmd.String("policy") == p) {
				jobs = append(jobs, &scenarioJob{scenario: s, policy: p})
			}
		}
	}
	var studies []*studyJob
	for _, s := range measure.Studies() {
		for _, p := range s.Policies {
			if strings.Contains(s.Name, cmd.String("scenario")) && (cmd.String("policy") == "" || cmd.String("policy") == p) {
				studies = append(studies, &studyJob{study: s, policy: p})
			}
		}
	}
	var group errgroup.Group
	group.SetLimit(cmd.Int("parallel"))
	for _, j := range jobs {
		group.Go(func() error {
			result, err := measure.RunScenario(j.scenario, measure.DefaultOptions(j.policy, cmd.Uint64("seed")))
			j.result = result
			return err
		})
	}
	for _, j := range studies {
		group.Go(func() (err error) {
			j.figures, err = measure.RunStudy(j.study, j.policy, cmd.Uint64("seed"))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, j := range jobs {
		fmt.Println(j.result.Line())
		if cmd.Bool("violations") {
			for _, v := range j.result.Report.Violations {
				fmt.Println("violation", v)
			}
		}
	}
	for _, j := range studies {
		fmt.Println(j.figures.Line())
	}
	return nil
}
