package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chivemast/chivemast/internal/standin/caller"
	"github.com/chivemast/chivemast/internal/standin/history"
)

func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "generate bounded load, check the history and print one key=value line per result",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "fabric", Value: "127.0.0.1:7100", Usage: "UDP `IP:PORT` of the fabric"},
			&cli.StringFlag{Name: "listen-ip", Value: "127.0.0.1", Usage: "`IP` that answers reach"},
			&cli.StringSliceFlag{Name: "service", Required: true, Usage: "service address as `IP:PORT`"},
			&cli.IntFlag{Name: "callers", Value: 1, Usage: "number of callers; the rates and limits hold for each"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time of the load"},
			&cli.FloatFlag{Name: "opens-per-second", Value: 50, Usage: "rate of new flows"},
			&cli.IntFlag{Name: "max-flows", Value: 10_000, Usage: "limit on flows"},
			&cli.IntFlag{Name: "max-packets", Value: 1_000_000, Usage: "limit on packets"},
			&cli.IntFlag{Name: "long-flows", Value: 20, Usage: "flows that stay open until the end"},
			&cli.FloatFlag{Name: "quiet", Value: 0.25, Usage: "share of the long flows that are almost silent"},
			&cli.DurationFlag{Name: "quiet-interval", Value: time.Minute, Usage: "time between their packets"},
			&cli.DurationFlag{Name: "flow-lifetime", Value: 2 * time.Second, Usage: "mean lifetime of the other flows"},
			&cli.FloatFlag{Name: "requests-per-second", Value: 2, Usage: "rate per flow"},
			&cli.FloatFlag{Name: "data-per-second", Value: 1, Usage: "rate per flow"},
			&cli.FloatFlag{Name: "non-idempotent", Value: 0.5, Usage: "share of requests that must not run twice"},
			&cli.FloatFlag{Name: "cancel", Value: 0.02, Usage: "share of requests given up early"},
			&cli.FloatFlag{Name: "late-copies", Value: 0.05, Usage: "share of finished requests sent once more"},
			&cli.DurationFlag{Name: "request-timeout", Value: 2 * time.Second, Usage: "time to the deadline of a request"},
			&cli.DurationFlag{Name: "retransmit", Value: 250 * time.Millisecond, Usage: "time until a packet is sent again"},
			&cli.DurationFlag{Name: "open-timeout", Value: 3 * time.Second, Usage: "time until OPEN and DATA are given up"},
			&cli.StringFlag{Name: "history", Usage: "`FILE` to write the callers' history to"},
			seedFlag(),
		}, checkFlags()...),
		Action: runCaller,
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check recorded histories of callers and upstreams",
		Flags: append([]cli.Flag{
			&cli.StringSliceFlag{Name: "history", Required: true, Usage: "`FILE` or pattern of callers' histories"},
		}, checkFlags()...),
		Action: func(_ context.Context, cmd *cli.Command) error {
			var callers []history.Event
			for _, pattern := range cmd.StringSlice("history") {
				events, err := readHistories("history", pattern)
				if err != nil {
					return err
				}
				callers = append(callers, events...)
			}
			return checkHistories(cmd, callers)
		},
	}
}

func checkFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "upstream-history", Usage: "`FILE` or pattern of upstreams' histories"},
		&cli.StringSliceFlag{Name: "outage",
			Usage: "`UPSTREAM,FROM_MS[,UNTIL_MS]` when an upstream was stopped, in ms since the Unix epoch"},
		&cli.StringSliceFlag{Name: "take-out", Usage: "the same for an upstream whose failure domain was taken out"},
		&cli.DurationFlag{Name: "drain-limit", Usage: "time until a draining upstream gets no new work (default 8s)"},
		&cli.DurationFlag{Name: "take-out-limit", Usage: "time until a taken-out upstream gets no packet (default 8s)"},
		&cli.FloatFlag{Name: "max-imbalance", Usage: "largest busiest/mean of opens; 0 for no check"},
		&cli.FloatFlag{Name: "min-served", Usage: "smallest served ratio; 0 for no check"},
		&cli.BoolFlag{Name: "allow-overload", Usage: "accept cold upstreams that fell over"},
	}
}

func runCaller(ctx context.Context, cmd *cli.Command) error {
	fabricAddress, err := parseAddress("fabric", cmd.String("fabric"))
	if err != nil {
		return err
	}
	listen, err := parseAddress("listen-ip", cmd.String("listen-ip")+":0")
	if err != nil {
		return err
	}
	memory := &history.Memory{}
	recorder := history.Recorder(memory)
	var writer *history.Writer
	if path := cmd.String("history"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return fmt.Errorf("create the file of --history: %w", err)
		}
		defer file.Close()
		writer = history.NewWriter(file)
		recorder = history.Tee{memory, writer}
	}
	var group errgroup.Group
	stats := make([]caller.Stats, cmd.Int("callers"))
	for i := range stats {
		config := callerConfig(cmd)
		config.Name = fmt.Sprintf("caller-%d", i)
		config.Recorder = recorder
		group.Go(func() error {
			var err error
			stats[i], err = caller.Run(ctx, config, listen, fabricAddress, rand.New(rand.NewPCG(cmd.Uint64("seed"), uint64(i))))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if writer != nil && writer.Err() != nil {
		return fmt.Errorf("write the file of --history: %w", writer.Err())
	}
	var total caller.Stats
	for _, s := range stats {
		total.PacketsSent += s.PacketsSent
		total.PacketsReceived += s.PacketsReceived
		total.Retransmissions += s.Retransmissions
		total.Stray += s.Stray
	}
	fmt.Printf("packets_sent=%d\npackets_received=%d\nretransmissions=%d\nstray_packets=%d\n",
		total.PacketsSent, total.PacketsReceived, total.Retransmissions, total.Stray)
	return checkHistories(cmd, memory.Events())
}

func callerConfig(cmd *cli.Command) caller.Config {
	return caller.Config{
		Services: cmd.StringSlice("service"), Duration: cmd.Duration("duration"),
		OpensPerSecond: cmd.Float("opens-per-second"), MaxFlows: cmd.Int("max-flows"), MaxPackets: cmd.Int("max-packets"),
		LongFlows: zeroAsNone(cmd.Int("long-flows")), QuietShare: zeroAsNone(cmd.Float("quiet")),
		QuietInterval: cmd.Duration("quiet-interval"), FlowLifetime: cmd.Duration("flow-lifetime"),
		RequestsPerSecond: zeroAsNone(cmd.Float("requests-per-second")), DataPerSecond: zeroAsNone(cmd.Float("data-per-second")),
		NonIdempotentShare: zeroAsNone(cmd.Float("non-idempotent")), CancelShare: zeroAsNone(cmd.Float("cancel")),
		LateCopyShare: zeroAsNone(cmd.Float("late-copies")), RequestTimeout: cmd.Duration("request-timeout"),
		Retransmit: cmd.Duration("retransmit"), OpenTimeout: cmd.Duration("open-timeout"),
	}
}

// zeroAsNone returns -1 for a flag that is 0. In caller.Config 0 stands for the
// default and a negative value for none.
func zeroAsNone[T int | float64](value T) T {
	if value == 0 {
		return -1
	}
	return value
}

// checkHistories checks the callers' events together with the histories of the
// upstreams, prints the results and returns *failedChecksError if a check failed.
func checkHistories(cmd *cli.Command, callers []history.Event) error {
	options := history.Options{
		DrainLimit: cmd.Duration("drain-limit"), TakeOutLimit: cmd.Duration("take-out-limit"),
		MaxImbalance: cmd.Float("max-imbalance"), MinServed: cmd.Float("min-served"),
		AllowOverload: cmd.Bool("allow-overload"),
	}
	for _, flag := range []string{"outage", "take-out"} {
		for _, value := range cmd.StringSlice(flag) {
			outage, err := parseOutage(flag, value)
			if err != nil {
				return err
			}
			options.Outages = append(options.Outages, outage)
		}
	}
	histories := [][]history.Event{callers}
	for _, pattern := range cmd.StringSlice("upstream-history") {
		events, err := readHistories("upstream-history", pattern)
		if err != nil {
			return err
		}
		histories = append(histories, events)
	}
	report := history.Run(options, histories...)
	fmt.Println(strings.Join(report.Lines(), "\n"))
	if !report.OK() {
		return &failedChecksError{checks: len(report.ViolationCounts)}
	}
	return nil
}

// readHistories returns the events of all files that match a pattern. It returns
// *flagError if there is no such file.
func readHistories(flag, pattern string) ([]history.Event, error) {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return nil, &flagError{flag, pattern, "matches no file"}
	}
	var events []history.Event
	for _, path := range paths {
		more, err := history.ReadFile(path)
		if err != nil {
			return nil, err
		}
		events = append(events, more...)
	}
	return events, nil
}

// parseOutage parses UPSTREAM,FROM_MS[,UNTIL_MS], with times in ms since the Unix
// epoch. Without UNTIL_MS the outage has no end. Errors are *flagError.
func parseOutage(flag, value string) (history.Outage, error) {
	fields := strings.Split(value, ",")
	if len(fields) != 2 && len(fields) != 3 {
		return history.Outage{}, &flagError{flag, value, "is not UPSTREAM,FROM_MS[,UNTIL_MS]"}
	}
	outage := history.Outage{Upstream: fields[0], TakenOut: flag == "take-out"}
	for i, text := range fields[1:] {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return history.Outage{}, &flagError{flag, value, err.Error()}
		}
		if i == 0 {
			outage.From = time.UnixMilli(ms)
		} else {
			outage.Until = time.UnixMilli(ms)
		}
	}
	return outage, nil
}
