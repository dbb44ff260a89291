// Command chivemastd runs one instance of the chivemast load balancer.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/daemon"
	"github.com/chivemast/chivemast/internal/settings"
)

// Exit codes.
const (
	exitFailure = 1
	// exitSettings is the exit code for invalid settings.
	exitSettings = 2
	// exitAborted is the exit code after a second signal.
	exitAborted = 130
)

// abortDelay is the time between a second signal and the exit.
const abortDelay = 300 * time.Millisecond

func main() {
	cmd := &cli.Command{
		Name:  "chivemastd",
		Usage: "run one instance of the chivemast load balancer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE`, JSON with comments"},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "chivemastd:", err)
		var settingsError *settings.Error
		if errors.As(err, &settingsError) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailure)
	}
}

// run loads the settings, and runs the instance unless only a check was requested.
func run(_ context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("config"))
	if err != nil {
		return err
	}
	if cmd.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	logger := logrus.New()
	logger.SetLevel(s.Level())
	logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	log := logger.WithField("instance", s.Instance)
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	shutdown, abort, release := notifyContexts()
	defer release()
	log.WithFields(logrus.Fields{"event": "started", "failure_domain": s.FailureDomain}).Info("instance started")
	return d.Run(shutdown, abort)
}

// notifyContexts returns the context shutdown, which the first SIGTERM or SIGINT ends, and
// abort, which the second ends. abortDelay after the second the process exits with
// exitAborted. release stops the handling of signals.
func notifyContexts() (shutdown, abort context.Context, release func()) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	shutdown, cancelShutdown := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	go func() {
		<-received
		cancelShutdown()
		<-received
		cancelAbort()
		// The exit must not depend on goroutines that do not end at once. The delay
		// lets the last log line be written.
		time.Sleep(abortDelay)
		os.Exit(exitAborted)
	}()
	return shutdown, abort, func() { signal.Stop(received); cancelShutdown(); cancelAbort() }
}
