package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/platform"
)

// completeTimeout is the time limit for the platform calls of one completion. It
// keeps the shell from hanging while the platform is down.
const completeTimeout = time.Second

// nameSource reads the possible values of an argument from the platform.
type nameSource func(ctx context.Context, client *platform.Client) []string

// completeNames returns a completion that prints flags when the last word starts
// with a hyphen, and otherwise the names from the platform. If the platform cannot
// be reached it prints no names.
func completeNames(names nameSource) cli.ShellCompleteFunc {
	return func(ctx context.Context, c *cli.Command) {
		if args := c.Args().Slice(); len(args) > 0 && strings.HasPrefix(args[len(args)-1], "-") {
			cli.DefaultCompleteWithFlags(ctx, c)
			return
		}
		client, err := newClient(c)
		if err != nil {
			return
		}
		defer client.Close()
		ctx, cancel := context.WithTimeout(ctx, completeTimeout)
		defer cancel()
		for _, name := range names(ctx, client) {
			fmt.Fprintln(c.Root().Writer, name)
		}
	}
}

func instanceNames(ctx context.Context, client *platform.Client) []string {
	instances, err := client.Instances(ctx)
	if err != nil {
		return nil
	}
	names := map[string]bool{}
	for _, instance := range instances {
		names[instance.GetName()] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func domainNames(ctx context.Context, client *platform.Client) []string {
	return upstreamFields(ctx, client, func(_, _ string, u declare.Upstream) string { return u.FailureDomain })
}

func upstreamNames(ctx context.Context, client *platform.Client) []string {
	return upstreamFields(ctx, client, func(team, service string, u declare.Upstream) string {
		return team + "/" + service + "/" + u.Name
	})
}

// upstreamFields returns the sorted distinct values of field over all declared
// upstreams. It leaves out declarations that cannot be decoded.
func upstreamFields(ctx context.Context, client *platform.Client, field func(team, service string, u declare.Upstream) string) []string {
	objects, _, err := client.List(ctx, declare.KeyPrefix, 0)
	if err != nil {
		return nil
	}
	values := map[string]bool{}
	for _, object := range objects {
		team, err := declare.Decode(object.GetKey(), object.GetValue())
		if err != nil || object.GetDeleted() {
			continue
		}
		for _, service := range team.Services {
			for _, upstream := range service.Upstreams {
				values[field(team.Name, service.Name, upstream)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(values))
}
