package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/edge"
)

// edgeReport contains the status of one chivemast-edge instance, or the error if
// it did not answer.
type edgeReport struct {
	Address string       `json:"address"`
	Error   string       `json:"error,omitempty"`
	Status  *edge.Status `json:"status,omitempty"`
}

// edgeResult is the result of the command edge.
type edgeResult struct {
	Instances []edgeReport `json:"instances"`
}

// edgeNotReadyError reports that Count of the Total instances asked did not answer
// or are not ready.
type edgeNotReadyError struct{ Count, Total int }

func (e *edgeNotReadyError) Error() string {
	return fmt.Sprintf("%d of %d instances did not answer or are not ready; see the output for each", e.Count, e.Total)
}

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:      "edge",
		Usage:     "show what chivemast-edge instances know and how old it is",
		ArgsUsage: "METRICS_ADDRESS...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "upstreams", Usage: "list the upstreams of each instance"},
			&cli.BoolFlag{Name: "messages", Usage: "count the messages to and from other instances by kind"},
		},
		Action:   runEdge,
		Commands: []*cli.Command{explainCommand()},
	}
}

func runEdge(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return usageErrorf("edge needs the metrics address of at least one instance, as HOST:PORT")
	}
	var reports []edgeReport
	notReady := 0
	for _, address := range c.Args().Slice() {
		report := edgeReport{Address: address}
		status, err := queryEdgeStatus(ctx, address)
		if err != nil {
			report.Error = err.Error()
		}
		report.Status = status
		if status == nil || !status.Ready {
			notReady++
		}
		reports = append(reports, report)
	}
	err := writeResult(c, edgeResult{Instances: reports}, func(w io.Writer) {
		for _, report := range reports {
			writeEdgeReport(w, report, c.Bool("upstreams"), c.Bool("messages"))
		}
	})
	if err == nil && notReady > 0 {
		err = &edgeNotReadyError{Count: notReady, Total: len(reports)}
	}
	return err
}

func queryEdgeStatus(ctx context.Context, address string) (*edge.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, usageErrorf("metrics address %q is not valid: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // The answer has been read; an error of Close changes nothing.
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance at %s answered /status with HTTP status %d", address, response.StatusCode)
	}
	status := &edge.Status{}
	if err := json.NewDecoder(response.Body).Decode(status); err != nil {
		return nil, fmt.Errorf("instance at %s: decode its answer to /status: %w", address, err)
	}
	return status, nil
}

// instanceReadiness describes whether an instance takes part.
func instanceReadiness(ready, shuttingDown bool) string {
	switch {
	case shuttingDown:
		return "leaving"
	case !ready:
		return "not ready"
	}
	return "ready"
}

func writeEdgeReport(w io.Writer, report edgeReport, upstreams, messages bool) {
	s := report.Status
	if s == nil {
		fmt.Fprintf(w, "%s: no answer: %s\n", report.Address, report.Error)
		return
	}
	fmt.Fprintf(w, "%s (%s): %s, configuration %d, upstreams at revision %d, %d mates, watches %s\n",
		s.Instance, s.FailureDomain, instanceReadiness(s.Ready, s.ShuttingDown), s.ConfigVersion, s.UpstreamRevision, len(s.Peers), strings.Join(s.Watches, ","))
	for _, kind := range []string{"upstreams", "configuration", "evacuations"} {
		fmt.Fprintf(w, "  %s confirmed %s ago", kind, time.Duration(s.AgeMS[kind])*time.Millisecond)
		if era, reported := s.Eras[kind]; reported {
			fmt.Fprintf(w, " at revision %d of era %d", s.Revisions[kind], era)
		}
		fmt.Fprintln(w)
	}
	writeOverload(w, s)
	for _, count := range s.Messages {
		if messages {
			fmt.Fprintf(w, "  %-8s %-12s %8d messages %10d bytes\n", count.Direction, count.Kind, count.Messages, count.Bytes)
		}
	}
	if !upstreams {
		return
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "  %-10s %-9s %s %s %s\n", u.ID, u.State, u.Service, u.FailureDomain, u.Address)
	}
}

// writeOverload writes the load of the services and the counts of admission control and
// extra attempts, as far as an instance has them.
func writeOverload(w io.Writer, s *edge.Status) {
	if s.Overload != nil {
		age := "none, from the requests of this instance alone"
		if s.Overload.ReportsAgeMS >= 0 {
			age = fmt.Sprintf("the oldest %s ago", time.Duration(s.Overload.ReportsAgeMS)*time.Millisecond)
		}
		fmt.Fprintf(w, "  reports on requests in flight: %s\n", age)
		for _, service := range s.Overload.Services {
			state := "not short"
			if service.Short {
				state = "short of capacity"
			}
			fmt.Fprintf(w, "  service %s in %s: %s, %.2f requests in flight per slot, %.1f on %d slots\n",
				service.Service, service.FailureDomain, state, service.Occupancy, service.InFlight, service.Slots)
		}
	}
	for _, count := range s.Admissions {
		fmt.Fprintf(w, "  new flows of priority %d: %d %s\n", count.Priority, count.Flows, count.Result)
	}
	for _, count := range s.Hedges {
		fmt.Fprintf(w, "  extra attempts: %d %s\n", count.Attempts, count.Result)
	}
}
