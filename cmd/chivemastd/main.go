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
	exitFailure  = 1
	exitSettings = 2
	// exitAborted follows a second signal.
	exitAborted = 130
)

// abortGrace is the time between a second signal and the exit.
const abortGrace = 300 * time.Millisecond

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
		var invalid *settings.Error
		if errors.As(err, &invalid) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailure)
	}
}

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
	shutdown, abort, release := signals()
	defer release()
	log.WithFields(logrus.Fields{"event": "started", "failure_domain": s.FailureDomain}).Info("instance started")
	return d.Run(shutdown, abort)
}

// signals returns a context that the first SIGTERM or SIGINT ends, and one
// that the second ends.
func signals() (shutdown, abort context.Context, release func()) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	shutdown, stop := context.WithCancel(context.Background())
	abort, kill := context.WithCancel(context.Background())
	go func() {
		<-received
		stop()
		<-received
		kill()
		// A part that does not end at once must not hold up the operator; the
		// pause lets the last log line out.
		time.Sleep(abortGrace)
		os.Exit(exitAborted)
	}()
	return shutdown, abort, func() { signal.Stop(received); stop(); kill() }
}
