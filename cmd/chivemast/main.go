// Command chivemast is the operators' command line. It changes the
// declarations stored in the platform's object API and shows which versions the
// instances have in force. docs/cli.md describes commands, exit codes and output.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code. With -o json it
// writes the result and the error of the command as one object to out; errors
// also go to errOut as text.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot()
	root.Reader, root.Writer, root.ErrWriter = in, out, errOut
	err := root.Run(ctx, args)
	if root.String("output") == outputJSON {
		result, _ := root.Metadata[resultKey].(json.RawMessage)
		if writeErr := writeJSON(out, result, err); err == nil {
			err = writeErr
		}
	}
	if err == nil {
		return int(exitOK)
	}
	fmt.Fprintf(errOut, "chivemast: %v\n", err)
	if unknown, ok := errors.AsType[*platform.UnknownOutcomeError](err); ok {
		fmt.Fprintf(errOut, "run \"chivemast get %s\" later: the write took effect if the change is %s\n", unknown.Key, unknown.ChangeID)
	}
	return int(exitCodeOf(err))
}

func newRoot() *cli.Command {
	root := &cli.Command{
		Name:  "chivemast",
		Usage: "declare services and inspect instances of the load balancer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform's object API", Sources: cli.EnvVars("CHIVEMAST_PLATFORM")},
			&cli.DurationFlag{Name: "timeout", Usage: "longest time for the calls to the platform", Value: 15 * time.Second},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "output `FORMAT`, text or json", Value: outputText, Validator: validOutput},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin `ADDRESS` of an instance to ask as well; without the platform, only these are asked"},
		},
		Commands: []*cli.Command{
			applyCommand(), diffCommand(), getCommand(), statusCommand(),
			domainCommand(), upstreamCommand(), instanceCommand(), validateCommand(), edgeCommand(),
		},
		EnableShellCompletion: true,
		Metadata:              map[string]any{},
		// run maps errors to exit codes; the library must not end the process itself.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and its subcommands report a wrong command line
// as *usageError. Without it, the library prints the help for an unknown
// subcommand and returns no error.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{Err: err}
	}
	if len(c.Commands) > 0 && c.Action == nil {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageErrorf("%s has no command %q; see --help for the list", c.FullName(), c.Args().First())
			}
			return usageErrorf("%s needs a command; see %s --help", c.FullName(), c.FullName())
		}
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}
