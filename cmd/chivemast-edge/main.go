// Command chivemast-edge runs one instance, which forwards the packets of each flow to
// the upstream that the cookie in the packet identifies.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/document"
	"github.com/chivemast/chivemast/internal/edge"
	"github.com/chivemast/chivemast/internal/eventlog"
	"github.com/chivemast/chivemast/platform"
)

// Exit codes.
const (
	exitFailure = 1
	// exitSettings is the exit code for invalid settings.
	exitSettings = 2
)

func main() {
	cmd := &cli.Command{
		Name:  "chivemast-edge",
		Usage: "run one instance that forwards flows by their cookie",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE`, JSON with comments",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chivemast-edge:", err)
		var settingsError *document.Error
		if errors.As(err, &settingsError) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailure)
	}
}

// run loads the settings, and serves unless only a check was requested.
func run(ctx context.Context, cmd *cli.Command) error {
	load := func() (*edge.Settings, error) { return edge.LoadSettings(cmd.String("config")) }
	settings, err := load()
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	return serve(ctx, settings, load)
}

// serve runs the instance until SIGTERM or SIGINT; SIGHUP reloads the settings. The log
// ends after the instance, so that it contains the instance's last events.
func serve(ctx context.Context, settings *edge.Settings, load func() (*edge.Settings, error)) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	shutdown, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	log := eventlog.New(settings.Instance, settings.Level())
	logContext, stopLog := context.WithCancel(ctx)
	logResult := make(chan error, 1)
	go func() { logResult <- log.Run(logContext, os.Stdout) }()
	err := runInstance(ctx, shutdown, settings, log, reload, load)
	log.Event(logrus.InfoLevel, "stopped", logrus.Fields{"error": err})
	stopLog()
	return errors.Join(err, <-logResult)
}

// runInstance runs the instance until shutdown ends and the instance has left the
// routers' rotation, or until ctx ends.
func runInstance(ctx, shutdown context.Context, settings *edge.Settings, log *eventlog.Log,
	reload <-chan os.Signal, load func() (*edge.Settings, error),
) error {
	log.Event(logrus.InfoLevel, "started", logrus.Fields{
		"failure_domain": settings.FailureDomain, "traffic_address": settings.TrafficAddress.String(),
	})
	store := platform.NewStore(settings.StoreAddress)
	defer store.Close()
	instance, err := edge.New(settings, platform.Codec{}, store, log)
	if err != nil {
		return err
	}
	return instance.Run(shutdown, ctx, reload, load)
}
