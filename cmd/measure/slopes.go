package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/measure"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the cost of each work category at several sizes and fit how it grows",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "fleets", Value: "9/36/4,14/56/6,24/96/10", Usage: "`SIZES` of fleets, as instances/upstreams/services"},
			&cli.StringFlag{Name: "cores", Value: "9/36/4,50/200/20,200/800/60,500/3700/300", Usage: "`SIZES` at which one core runs among stand-ins"},
			&cli.IntFlag{Name: "event-limit", Value: 14, Usage: "largest fleet that runs the one-off events"},
			&cli.StringFlag{Name: "fit", Usage: "run nothing; fit the lines of earlier runs in `FILE`"},
		},
		Action: runSlopes,
	}
}

// runSlopes measures the sizes of --fleets and --cores and fits the results, or only
// fits the lines of the file of --fit.
func runSlopes(_ context.Context, cmd *cli.Command) error {
	slopes := measure.Slopes{Seed: cmd.Uint64("seed"), Out: os.Stdout, EventLimit: cmd.Int("event-limit")}
	if name := cmd.String("fit"); name != "" {
		return fitFile(&slopes, name)
	}
	var err error
	if slopes.Fleets, err = measure.ParseSizes(cmd.String("fleets")); err != nil {
		return err
	}
	if slopes.Cores, err = measure.ParseSizes(cmd.String("cores")); err != nil {
		return err
	}
	fmt.Printf("kind=run seed=%d fleets=%s cores=%s\n", slopes.Seed, cmd.String("fleets"), cmd.String("cores"))
	return slopes.Run()
}

// fitFile reads the lines that earlier runs printed to a file and fits them.
func fitFile(slopes *measure.Slopes, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := slopes.ReadResults(file); err != nil {
		return err
	}
	slopes.PrintFits()
	return nil
}
