package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
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
	// listInterval is the time between two reads of the list of instances
	// during --wait. The platform counts every call.
	listInterval = 2 * time.Second
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
		Name:   "status",
		Usage:  "ask every instance what it has in force",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "list the placement tables as well, even where all instances agree"}},
		Action: withClient(status),
	}
}

func status(ctx context.Context, c *cli.Command, client *platform.Client) error {
	fleet, err := listFleet(ctx, c, client)
	if err != nil {
		return err
	}
	// The revision is read before the instances are asked, so that a change
	// in between does not count against them.
	getCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, revision, platformErr := client.Get(getCtx, "slots")
	reports := fleet.ask(ctx)
	if platformErr != nil {
		// Without the platform, the newest revision in force is the reference.
		revision = newestRevision(reports)
	}
	result := summarize(reports, revision)
	_, result.Unconfirmed = fleet.confirmations(reports, revision)
	if platformErr != nil {
		result.PlatformError = platformErr.Error()
	}
	if err := output(c, result, func(w io.Writer) { result.text(w, c.Bool("all")) }); err != nil {
		return err
	}
	if len(result.Unconfirmed) > 0 {
		return &unconfirmedError{Revision: result.Revision, Instances: result.Unconfirmed}
	}
	return nil
}

// fleet is the list of instances to ask.
type fleet struct {
	instances []*pb.InstanceInfo
	// gone holds the instances that an operator has stated to be gone.
	gone map[string]bool
	// listErr says why the platform's list could not be read when addresses
	// given by --admin stand in for it.
	listErr error
}

// listFleet reads the platform's list of instances, without those that an
// operator has stated to be gone, and adds the addresses given by --admin.
// With such addresses it works without the platform.
func listFleet(ctx context.Context, c *cli.Command, client *platform.Client) (*fleet, error) {
	extra := c.StringSlice("admin")
	limit := c.Duration("timeout")
	if len(extra) > 0 {
		limit = statusTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	listed, err := client.RetryInstances(ctx)
	var forgotten []*pb.Object
	if err == nil {
		forgotten, _, err = client.RetryList(ctx, forgottenPrefix, 0)
	}
	if err != nil && len(extra) == 0 {
		return nil, fmt.Errorf("%w; --admin ADDRESS asks an instance without the platform", err)
	}
	f := &fleet{gone: map[string]bool{}, listErr: err}
	for _, object := range forgotten {
		f.gone[strings.TrimPrefix(object.GetKey(), forgottenPrefix)] = !object.GetDeleted()
	}
	known := map[string]bool{}
	for _, instance := range listed {
		if !f.gone[instance.GetName()] {
			known[instance.GetAdminAddress()] = true
			f.instances = append(f.instances, instance)
		}
	}
	for _, address := range extra {
		if !known[address] {
			known[address] = true
			f.instances = append(f.instances, &pb.InstanceInfo{Name: address, AdminAddress: address})
		}
	}
	return f, nil
}

// ask asks every instance for its status. The reports are ordered by name.
func (f *fleet) ask(ctx context.Context) []*instanceReport {
	transport := &http.Transport{DisableKeepAlives: true}
	reports := make([]*instanceReport, len(f.instances))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for i, instance := range f.instances {
		reports[i] = &instanceReport{Name: instance.GetName(), FailureDomain: instance.GetFailureDomain(), AdminAddress: instance.GetAdminAddress()}
		group.Go(func() error {
			reports[i].ask(ctx, &http.Client{Transport: transport})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(reports, func(a, b *instanceReport) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}

func (r *instanceReport) ask(ctx context.Context, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	admin := chivemastv1connect.NewAdminServiceClient(client, "http://"+r.AdminAddress,
		connect.WithReadMaxBytes(platform.MaxMessageBytes))
	answer, err := admin.Status(ctx, &pb.StatusRequest{})
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.Answered, r.Status = true, answer
	r.Name, r.FailureDomain = answer.GetInstance(), answer.GetFailureDomain()
}

func newestRevision(reports []*instanceReport) uint64 {
	var newest uint64
	for _, report := range reports {
		newest = max(newest, report.Status.GetRevision())
	}
	return newest
}

// waitForRevision asks all instances until each has a revision in force. It
// fails with *unconfirmedError and returns who has confirmed. Revisions in
// force never go back, so that a confirmation stays valid in later rounds; the
// last round may be cut short by the time limit.
func waitForRevision(ctx context.Context, c *cli.Command, client *platform.Client, revision uint64) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	var instances *fleet
	var listedAt time.Time
	var confirmed, missing []string
	done := map[string]bool{}
	for {
		if time.Since(listedAt) > listInterval {
			if listed, err := listFleet(ctx, c, client); err == nil {
				instances, listedAt = listed, time.Now()
			}
		}
		if instances != nil {
			confirmed, missing = instances.confirmations(instances.ask(ctx), revision)
			for _, name := range confirmed {
				done[name] = true
			}
			confirmed = slices.Sorted(maps.Keys(done))
			missing = slices.DeleteFunc(missing, func(name string) bool { return done[name] })
			if len(missing) == 0 {
				return confirmed, nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return confirmed, &unconfirmedError{Revision: revision, Instances: missing, Unlisted: instances == nil}
		}
	}
}

// confirmations splits the instances by whether they have a revision in
// force. An instance that does not answer here counts as confirmed when
// another one has heard from it that it has the revision, because revisions
// in force never go back.
func (f *fleet) confirmations(reports []*instanceReport, revision uint64) (confirmed, missing []string) {
	heard := map[string]uint64{}
	for _, report := range reports {
		heard[report.Name] = max(heard[report.Name], report.Status.GetRevision())
		for _, member := range report.Status.GetMembers() {
			heard[member.GetName()] = max(heard[member.GetName()], member.GetRevision())
		}
	}
	for name, reached := range heard {
		switch {
		case f.gone[name]:
		case reached >= revision:
			confirmed = append(confirmed, name)
		default:
			missing = append(missing, name)
		}
	}
	slices.Sort(confirmed)
	slices.Sort(missing)
	return confirmed, missing
}
