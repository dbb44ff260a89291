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

// edgeReport is what one chivemast-edge instance said, or that it did not
// answer.
type edgeReport struct {
	Address string       `json:"address"`
	Error   string       `json:"error,omitempty"`
	Status  *edge.Status `json:"status,omitempty"`
}

// edgeResult is the result of the command.
type edgeResult struct {
	Instances []edgeReport `json:"instances"`
}

// edgeSilentError says that instances did not answer or are not ready.
type edgeSilentError struct{ Count, Of int }

func (e *edgeSilentError) Error() string {
	return fmt.Sprintf("%d of %d instances did not answer or are not ready", e.Count, e.Of)
}

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:      "edge",
		Usage:     "show what chivemast-edge instances know and how old it is",
		ArgsUsage: "METRICS_ADDRESS...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "upstreams", Usage: "list the upstreams of each instance"},
		},
		Action: edgeStatus,
	}
}

func edgeStatus(ctx context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return usagef("edge needs the metrics address of at least one instance")
	}
	var reports []edgeReport
	silent := 0
	for _, address := range c.Args().Slice() {
		report := edgeReport{Address: address}
		status, err := askEdge(ctx, address)
		if err != nil {
			report.Error = err.Error()
		}
		report.Status = status
		if status == nil || !status.Ready {
			silent++
		}
		reports = append(reports, report)
	}
	err := output(c, edgeResult{Instances: reports}, func(w io.Writer) {
		for _, report := range reports {
			writeEdge(w, report, c.Bool("upstreams"))
		}
	})
	if err == nil && silent > 0 {
		err = &edgeSilentError{Count: silent, Of: len(reports)}
	}
	return err
}

func askEdge(ctx context.Context, address string) (*edge.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, usagef("address %q: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // Reading is over; an error here has no effect.
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("instance at %s: status %d", address, response.StatusCode)
	}
	status := &edge.Status{}
	if err := json.NewDecoder(response.Body).Decode(status); err != nil {
		return nil, fmt.Errorf("instance at %s: %w", address, err)
	}
	return status, nil
}

func writeEdge(w io.Writer, report edgeReport, upstreams bool) {
	s := report.Status
	if s == nil {
		fmt.Fprintf(w, "%s: no answer: %s\n", report.Address, report.Error)
		return
	}
	state := "ready"
	switch {
	case s.ShuttingDown:
		state = "leaving"
	case !s.Ready:
		state = "not ready"
	}
	fmt.Fprintf(w, "%s (%s): %s, configuration %d, upstreams at revision %d, %d mates, watches %s\n",
		s.Instance, s.FailureDomain, state, s.ConfigVersion, s.UpstreamRevision, len(s.Peers), strings.Join(s.Watches, ","))
	for _, kind := range []string{"upstreams", "configuration", "evacuations"} {
		fmt.Fprintf(w, "  %s confirmed %s ago\n", kind, time.Duration(s.AgeMS[kind])*time.Millisecond)
	}
	if !upstreams {
		return
	}
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "  %-10s %-9s %s %s %s\n", u.ID, u.State, u.Service, u.FailureDomain, u.Address)
	}
}
