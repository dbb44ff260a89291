// Command standin runs the stand-ins of the platform, the fabric, an upstream
// and callers for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

func main() {
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newApp().Run(ctx, os.Args); err != nil {
		var broken *brokenPromiseError
		if !errors.As(err, &broken) {
			logrus.WithError(err).Error("stand-in failed")
			os.Exit(2)
		}
		logrus.Error(err)
		os.Exit(1)
	}
}

func newApp() *cli.Command {
	commands := []*cli.Command{
		platformCommand(), fabricCommand(), upstreamCommand(), callerCommand(), checkCommand(),
	}
	for _, c := range commands {
		// Values such as NAME,DOMAIN,PEER,ADMIN contain the separator.
		c.DisableSliceFlagSeparator = true
	}
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the platform, the fabric, an upstream and callers",
		Commands: commands,
	}
}

// flagError says that the value of a flag is not usable.
type flagError struct{ flag, value, detail string }

func (e *flagError) Error() string { return fmt.Sprintf("flag --%s=%q: %s", e.flag, e.value, e.detail) }

// brokenPromiseError says how many checks of a history failed.
type brokenPromiseError struct{ checks int }

func (e *brokenPromiseError) Error() string { return fmt.Sprintf("%d promises were broken", e.checks) }

func parseAddress(flag, value string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		return a, &flagError{flag, value, err.Error()}
	}
	return a, nil
}

// parseNamed splits NAME=IP:PORT.
func parseNamed(flag, value string) (string, netip.AddrPort, error) {
	name, address, ok := strings.Cut(value, "=")
	if !ok || name == "" {
		return "", netip.AddrPort{}, &flagError{flag, value, "is not NAME=IP:PORT"}
	}
	a, err := parseAddress(flag, address)
	return name, a, err
}

func seedFlag() *cli.Uint64Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random source"}
}
