package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/flow"
	"github.com/chivemast/chivemast/internal/standin/history"
	"github.com/chivemast/chivemast/internal/standin/upstream"
)

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "serve packets of one service by UDP, and /health and /control by HTTP on the same port",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`IP:PORT` for UDP and HTTP"},
			&cli.StringFlag{Name: "name", Required: true, Usage: "`TEAM/SERVICE/UPSTREAM`"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service address as `IP:PORT`"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "requests run at once"},
			&cli.IntFlag{Name: "max-connections", Value: 2000, Usage: "open flows"},
			&cli.IntFlag{Name: "queue", Value: 64, Usage: "requests waiting for a slot"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "mean time of a run"},
			&cli.FloatFlag{Name: "jitter", Value: 0.2, Usage: "largest deviation of a run from the mean, as a share"},
			&cli.FloatFlag{Name: "cold-opens-per-second", Value: 10, Usage: "sustainable rate of opens after a boot"},
			&cli.FloatFlag{Name: "full-opens-per-second", Value: 1000, Usage: "sustainable rate at the end of the ramp"},
			&cli.DurationFlag{Name: "ramp", Value: 30 * time.Second, Usage: "time from cold to warm"},
			&cli.DurationFlag{Name: "fall-over", Value: 2 * time.Second, Usage: "time of shedding after a cold overload"},
			&cli.BoolFlag{Name: "warm", Usage: "start warm; restarts by /control are cold"},
			&cli.DurationFlag{Name: "idle-timeout", Value: 300 * time.Second, Usage: "time after which a silent flow ends"},
			&cli.IntFlag{Name: "max-parts", Value: 3, Usage: "largest number of parts of an answer"},
			&cli.IntFlag{Name: "part-size", Value: 64, Usage: "filler of each part in bytes"},
			&cli.DurationFlag{Name: "health-lag", Usage: "age of health reports"},
			&cli.BoolFlag{Name: "refuse-opens-while-draining", Usage: "shed new flows during a drain"},
			&cli.StringFlag{Name: "history", Usage: "`FILE` to append the history to"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random source; 0 takes the time"},
		},
		Action: runUpstream,
	}
}

func runUpstream(ctx context.Context, cmd *cli.Command) error {
	config := upstream.Config{
		Name: cmd.String("name"), Service: cmd.String("service"),
		Slots: cmd.Int("slots"), MaxConnections: cmd.Int("max-connections"), QueueLimit: cmd.Int("queue"),
		ServiceTime: cmd.Duration("service-time"), Jitter: cmd.Float("jitter"),
		Cold: upstream.ColdStart{
			OpensPerSecond: cmd.Float("cold-opens-per-second"), FullOpensPerSecond: cmd.Float("full-opens-per-second"),
			Ramp: cmd.Duration("ramp"), OverloadDuration: cmd.Duration("fall-over"),
		},
		StartWarm: cmd.Bool("warm"), IdleTimeout: cmd.Duration("idle-timeout"),
		MaxParts: cmd.Int("max-parts"), PartSize: cmd.Int("part-size"), HealthLag: cmd.Duration("health-lag"),
		RefuseOpensWhileDraining: cmd.Bool("refuse-opens-while-draining"),
	}
	if path := cmd.String("history"); path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fmt.Errorf("open the file of --history: %w", err)
		}
		defer file.Close()
		config.Recorder = history.NewWriter(file)
	}
	address, err := parseAddress("listen", cmd.String("listen"))
	if err != nil {
		return err
	}
	// The boot id is drawn from the random source. A restarted process must not
	// repeat it, so the seed is the time unless one is given.
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	machine, err := upstream.New(config, rand.New(rand.NewPCG(seed, flow.NameHash(config.Name))), time.Now())
	if err != nil {
		return err
	}
	server, err := upstream.Listen(address, machine)
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"upstream": config.Name, "address": server.Address()}).Info("upstream is listening")
	return server.Serve(ctx)
}
