package main

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/gen/chivemast/v1/chivemastv1connect"
	"github.com/chivemast/chivemast/internal/platform"
)

const (
	// statusTimeout bounds one Status call.
	statusTimeout = 2 * time.Second
	// statusCalls is the number of Status calls at a time; 500 instances, a
	// tenth of them silent, then take about 4 s.
	statusCalls = 32
	// pollInterval is the time between two rounds of --wait.
	pollInterval = 200 * time.Millisecond
)

// instanceReport is what one instance said, or that it did not answer.
type instanceReport struct {
	Name          string             `json:"name"`
	FailureDomain string             `json:"failure_domain"`
	AdminAddress  string             `json:"admin_address"`
	Answered      bool               `json:"answered"`
	Error         string             `json:"error,omitempty"`
	Status        *pb.StatusResponse `json:"-"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "ask every instance what it has in force",
		Flags: []cli.Flag{
			adminFlag(),
			&cli.BoolFlag{Name: "all", Usage: "list every object and upstream, not only those that need attention"},
		},
		Action: withClient(status),
	}
}

func adminFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "admin", Usage: "admin `ADDRESS` of an instance to ask as well; without the platform, only these are asked"}
}

func status(ctx context.Context, c *cli.Command, client *platform.Client) error {
	reports, err := collect(ctx, c, client)
	if err != nil {
		return err
	}
	listCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	// Without the platform, the highest revision in force is the reference.
	_, revision, platformErr := client.List(listCtx, "", newestRevision(reports))
	fleet := summarize(reports, max(revision, newestRevision(reports)))
	if platformErr != nil {
		fleet.PlatformError = platformErr.Error()
	}
	if err := output(c, fleet, func(w io.Writer) { fleet.text(w, c.Bool("all")) }); err != nil {
		return err
	}
	if len(fleet.Unconfirmed) > 0 {
		return &unconfirmedError{Revision: fleet.Revision, Instances: fleet.Unconfirmed}
	}
	return nil
}

// collect asks every instance that the platform lists, and those named by
// --admin, for its status.
func collect(ctx context.Context, c *cli.Command, client *platform.Client) ([]*instanceReport, error) {
	listCtx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	extra := c.StringSlice("admin")
	listed, err := client.Instances(listCtx)
	if err != nil && len(extra) == 0 {
		return nil, err
	}
	var reports []*instanceReport
	known := map[string]bool{}
	for _, instance := range listed {
		known[instance.GetAdminAddress()] = true
		reports = append(reports, &instanceReport{Name: instance.GetName(), FailureDomain: instance.GetFailureDomain(), AdminAddress: instance.GetAdminAddress()})
	}
	for _, address := range extra {
		if !known[address] {
			known[address] = true
			reports = append(reports, &instanceReport{Name: address, AdminAddress: address})
		}
	}
	ask(ctx, reports)
	slices.SortFunc(reports, func(a, b *instanceReport) int { return cmp.Compare(a.Name, b.Name) })
	return reports, nil
}

// ask fills the reports in.
func ask(ctx context.Context, reports []*instanceReport) {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for _, report := range reports {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			admin := chivemastv1connect.NewAdminServiceClient(&http.Client{Transport: transport}, "http://"+report.AdminAddress)
			answer, err := admin.Status(ctx, &pb.StatusRequest{})
			if err != nil {
				report.Error = err.Error()
				return nil
			}
			report.Answered, report.Status = true, answer
			report.Name, report.FailureDomain = answer.GetInstance(), answer.GetFailureDomain()
			return nil
		})
	}
	_ = group.Wait()
}

func newestRevision(reports []*instanceReport) uint64 {
	var newest uint64
	for _, report := range reports {
		newest = max(newest, report.Status.GetRevision())
	}
	return newest
}

// waitForRevision asks all instances until each has a revision in force. It
// fails with *unconfirmedError and returns who has confirmed.
func waitForRevision(ctx context.Context, c *cli.Command, client *platform.Client, revision uint64) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	var confirmed, missing []string
	for {
		reports, err := collect(ctx, c, client)
		if err == nil {
			confirmed, missing = confirmations(reports, revision)
			if len(missing) == 0 {
				return confirmed, nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			if err != nil && confirmed == nil && missing == nil {
				return nil, err
			}
			return confirmed, &unconfirmedError{Revision: revision, Instances: missing}
		}
	}
}

// confirmations splits the instances by whether they have a revision in
// force. An instance that does not answer here counts as confirmed when
// another one has heard from it that it has the revision, because revisions
// in force never go back.
func confirmations(reports []*instanceReport, revision uint64) (confirmed, missing []string) {
	heard := map[string]uint64{}
	for _, report := range reports {
		heard[report.Name] = max(heard[report.Name], report.Status.GetRevision())
		for _, member := range report.Status.GetMembers() {
			heard[member.GetName()] = max(heard[member.GetName()], member.GetRevision())
		}
	}
	for name, reached := range heard {
		if reached >= revision {
			confirmed = append(confirmed, name)
		} else {
			missing = append(missing, name)
		}
	}
	slices.Sort(confirmed)
	slices.Sort(missing)
	return confirmed, missing
}
