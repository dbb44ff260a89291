package main

import (
	"context"
	"fmt"
	"sync"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/measure"
)

// violationsError reports how many violations the checks found in all schedules.
type violationsError struct{ Count int }

func (e *violationsError) Error() string {
	return fmt.Sprintf("%d violations found; see the lines with violation= on standard output", e.Count)
}

func schedulesCommand() *cli.Command {
	return &cli.Command{
		Name:  "schedules",
		Usage: "run random fault schedules and check what happened to requests",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "count", Value: 200, Usage: "number of schedules"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first schedule; the others follow it"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "schedules at a time"},
			&cli.StringFlag{Name: "policy", Value: measure.PolicyChivemast, Usage: "`POLICY` of the instances"},
			&cli.BoolFlag{Name: "trace", Usage: "print the faults of each schedule"},
		},
		Action: runSchedules,
	}
}

// runSchedules runs --count schedules with consecutive seeds, prints the totals and
// the violations, and returns *violationsError if there are any.
func runSchedules(_ context.Context, cmd *cli.Command) error {
	totals := &measure.ScheduleTotals{Policy: cmd.String("policy")}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(cmd.Int("parallel"))
	for n := range uint64(cmd.Int("count")) {
		group.Go(func() error {
			s, err := measure.RunSchedule(totals.Policy, cmd.Uint64("seed")+n)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			totals.Add(s)
			if cmd.Bool("trace") {
				for _, f := range s.Faults {
					fmt.Printf("seed=%d fault=%q\n", s.Seed, f)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Println(totals.Line())
	for _, s := range totals.FailedSchedules {
		for _, v := range s.Violations() {
			fmt.Printf("seed=%d violation=%q\n", s.Seed, v.String())
		}
	}
	if n := totals.Violations(); n > 0 {
		return &violationsError{Count: n}
	}
	return nil
}
