// Command soak tests chivemast-edge processes on loopback addresses under random
// faults, for a number of seeds. It exits with status 1 if a seed fails.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/soak"
)

// errSeedFailed says that at least one report has not passed.
var errSeedFailed = errors.New("a seed failed")

func main() {
	cmd := &cli.Command{
		Name:  "soak",
		Usage: "run chivemast-edge under random faults and check its promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "jobs", Usage: "seeds at a time", Value: 4},
			&cli.IntFlag{Name: "slot", Usage: "first `SLOT` of loopback addresses; commands at the same time need slots of their own"},
			&cli.DurationFlag{Name: "faults", Usage: "how long faults are injected", Value: 20 * time.Second},
			&cli.DurationFlag{Name: "recovery", Usage: "time from the last fault until requests are counted (default: the users' bound)", HideDefault: true},
			&cli.StringFlag{Name: "binary", Usage: "`PATH` of chivemast-edge", Value: "bin/chivemast-edge"},
			&cli.StringFlag{Name: "logs", Usage: "`FOLDER` for logs", Value: "soak-out"},
			&cli.BoolFlag{Name: "verbose", Usage: "print every fault"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run runs the seeds, as many at a time as jobs are set, and prints their reports.
func run(ctx context.Context, cmd *cli.Command) error {
	var mu sync.Mutex
	failed := false
	slots := make(chan int, cmd.Int("jobs"))
	for slot := range cmd.Int("jobs") {
		slots <- cmd.Int("slot") + slot
	}
	var group errgroup.Group
	for n := range cmd.Int("seeds") {
		slot := <-slots
		group.Go(func() error {
			defer func() { slots <- slot }()
			report, err := runSeed(ctx, cmd, cmd.Uint64("seed")+uint64(n), slot)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Println(report)
			for _, violation := range report.Violations {
				fmt.Println("   ", violation)
			}
			for _, reset := range report.Excused {
				fmt.Println("    excused:", reset)
			}
			failed = failed || !report.Passed()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if failed {
		return errSeedFailed
	}
	return nil
}

// runSeed runs one seed on the loopback addresses of a slot.
func runSeed(ctx context.Context, cmd *cli.Command, seed uint64, slot int) (*soak.Report, error) {
	directory, err := soak.CreateLogDirectory(cmd.String("logs"), seed)
	if err != nil {
		return nil, err
	}
	cfg := soak.Config{Seed: seed, Slot: slot, Binary: cmd.String("binary"), Directory: directory, FaultTime: cmd.Duration("faults"), RecoveryTime: cmd.Duration("recovery")}
	if cmd.Bool("verbose") {
		start := time.Now()
		cfg.Log = func(format string, args ...any) {
			fmt.Printf("%7.3f seed=%d %s\n", time.Since(start).Seconds(), seed, fmt.Sprintf(format, args...))
		}
	}
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		return nil, fmt.Errorf("seed %d: %w", seed, err)
	}
	return report, nil
}
