// Command standin runs stand-ins of the platform, the fabric, an upstream and
// callers, for tests and the demo. It exits with 1 if a check of a history fails
// and with 2 on any other error.
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
		var failed *failedChecksError
		if !errors.As(err, &failed) {
			logrus.WithError(err).Error("stand-in stopped with an error")
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
		// Values such as NAME,DOMAIN,PEER,ADMIN contain the comma that would
		// separate several values of one flag.
		c.DisableSliceFlagSeparator = true
	}
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the platform, the fabric, an upstream and callers",
		Commands: commands,
	}
}

// flagError reports a flag with a value that cannot be used, and why.
type flagError struct{ flag, value, detail string }

func (e *flagError) Error() string { return fmt.Sprintf("flag --%s=%q: %s", e.flag, e.value, e.detail) }

// failedChecksError reports how many checks of the histories found violations.
type failedChecksError struct{ checks int }

func (e *failedChecksError) Error() string {
	return fmt.Sprintf("%d checks of the histories failed; see the lines on standard output", e.checks)
}

func parseAddress(flag, value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return address, &flagError{flag, value, err.Error()}
	}
	return address, nil
}

// parseNamed parses NAME=IP:PORT into the name and the address. Errors are
// *flagError.
func parseNamed(flag, value string) (string, netip.AddrPort, error) {
	name, address, ok := strings.Cut(value, "=")
	if !ok || name == "" {
		return "", netip.AddrPort{}, &flagError{flag, value, "is not NAME=IP:PORT"}
	}
	parsed, err := parseAddress(flag, address)
	return name, parsed, err
}

func seedFlag() *cli.Uint64Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random source"}
}
