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
	// statusTimeout is the time limit of one call for the status of an instance.
	statusTimeout = 2 * time.Second
	// statusCalls is the largest number of Status calls at the same time. With it,
	// 500 instances of which a tenth do not answer take about 4 s.
	statusCalls = 32
	// pollInterval is the time between two rounds of Status calls during --wait.
	pollInterval = 200 * time.Millisecond
	// listInterval is the time between two reads of the list of instances
	// and between two checks of address reuses during --wait. It is longer than
	// pollInterval because the platform counts every call.
	listInterval = 2 * time.Second
)

// instanceReport contains the status of one instance, or the error if it did not
// answer.
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
		Action: withClient(runStatus),
	}
}

func runStatus(ctx context.Context, c *cli.Command, client *platform.Client) error {
	fleet, err := listFleet(ctx, c, client)
	if err != nil {
		return err
	}
	// The revision is read before the instances are asked. A change in between
	// would otherwise make current instances look unconfirmed.
	getCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, revision, platformErr := client.Get(getCtx, "slots")
	reports := fleet.queryInstances(ctx)
	if platformErr != nil {
		// Without the platform, the instances are compared with the newest
		// revision in force.
		revision = newestRevision(reports)
	}
	result := newFleetStatus(reports, revision)
	_, result.Unconfirmed = fleet.confirmations(reports, revision)
	if platformErr != nil {
		result.PlatformError = platformErr.Error()
	}
	if err := writeResult(c, result, func(w io.Writer) { result.writeText(w, c.Bool("all")) }); err != nil {
		return err
	}
	if len(result.Unconfirmed) > 0 {
		return &unconfirmedError{Revision: result.Revision, Instances: result.Unconfirmed}
	}
	return nil
}

// fleet contains the instances to ask for their status.
type fleet struct {
	instances []*pb.InstanceInfo
	// forgotten contains, by name, true for each instance that an operator has
	// stated to be gone for good (instance forget), and false once that is withdrawn.
	forgotten map[string]bool
	// listErr is the error of reading the platform's lists of instances and of
	// forgotten instances. It is set only when addresses are given by --admin;
	// instances may then lack listed ones and contain forgotten ones.
	listErr error
}

// listFleet returns the instances in the platform's list, without those that an
// operator has stated to be gone for good, and the addresses given by --admin. When
// such addresses are given, a failure of the platform is recorded in listErr and is
// no error.
func listFleet(ctx context.Context, c *cli.Command, client *platform.Client) (*fleet, error) {
	adminAddresses := c.StringSlice("admin")
	limit := c.Duration("timeout")
	if len(adminAddresses) > 0 {
		limit = statusTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	listed, err := client.RetryInstances(ctx)
	var forgottenObjects []*pb.Object
	if err == nil {
		forgottenObjects, _, err = client.RetryList(ctx, forgottenPrefix, 0)
	}
	if err != nil && len(adminAddresses) == 0 {
		return nil, fmt.Errorf("%w; --admin ADDRESS asks an instance without the platform", err)
	}
	f := &fleet{forgotten: map[string]bool{}, listErr: err}
	for _, object := range forgottenObjects {
		f.forgotten[strings.TrimPrefix(object.GetKey(), forgottenPrefix)] = !object.GetDeleted()
	}
	known := map[string]bool{}
	for _, instance := range listed {
		if !f.forgotten[instance.GetName()] {
			known[instance.GetAdminAddress()] = true
			f.instances = append(f.instances, instance)
		}
	}
	for _, address := range adminAddresses {
		if !known[address] {
			known[address] = true
			f.instances = append(f.instances, &pb.InstanceInfo{Name: address, AdminAddress: address})
		}
	}
	return f, nil
}

// queryInstances asks every instance for its status, up to statusCalls at the same
// time. The reports are ordered by name.
func (f *fleet) queryInstances(ctx context.Context) []*instanceReport {
	transport := &http.Transport{DisableKeepAlives: true}
	reports := make([]*instanceReport, len(f.instances))
	var group errgroup.Group
	group.SetLimit(statusCalls)
	for i, instance := range f.instances {
		reports[i] = &instanceReport{Name: instance.GetName(), FailureDomain: instance.GetFailureDomain(), AdminAddress: instance.GetAdminAddress()}
		group.Go(func() error {
			reports[i].queryStatus(ctx, &http.Client{Transport: transport})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(reports, func(a, b *instanceReport) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}

func (r *instanceReport) queryStatus(ctx context.Context, client *http.Client) {
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

// waitForRevision asks all instances until each has confirmed the revision or
// --wait-timeout has passed, which is an *unconfirmedError. In both cases it returns
// the names of those that have confirmed. Confirmations of earlier rounds stay
// valid, since a revision in force never goes back; the time limit may end the last
// round before all instances answer.
func waitForRevision(ctx context.Context, c *cli.Command, client *platform.Client, revision uint64) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	var instances *fleet
	var listedAt time.Time
	var confirmed, missing []string
	done := map[string]bool{}
	for {
		if time.Since(listedAt) > listInterval {
			if latest, err := listFleet(ctx, c, client); err == nil {
				instances, listedAt = latest, time.Now()
			}
		}
		if instances != nil {
			confirmed, missing = instances.confirmations(instances.queryInstances(ctx), revision)
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

// confirmations divides the instances, and the members that they report, by whether
// they have the revision in force. An instance that does not answer counts as
// confirmed if another one reports the revision for it, since a revision in force
// never goes back. Forgotten instances are left out.
func (f *fleet) confirmations(reports []*instanceReport, revision uint64) (confirmed, missing []string) {
	revisions := map[string]uint64{}
	for _, report := range reports {
		revisions[report.Name] = max(revisions[report.Name], report.Status.GetRevision())
		for _, member := range report.Status.GetMembers() {
			revisions[member.GetName()] = max(revisions[member.GetName()], member.GetRevision())
		}
	}
	for name, reached := range revisions {
		switch {
		case f.forgotten[name]:
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
