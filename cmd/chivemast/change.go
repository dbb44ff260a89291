package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/platform"
)

const (
	domainPrefix    = "domains/"
	forgottenPrefix = "forgotten/"
)

// changeCommand builds a command that takes one name and changes an object.
func changeCommand(name, usage, argument string, names completion, flags []cli.Flag,
	do func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changed, error)) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: argument,
		Flags:     append(flags, waitFlags()...),

		ShellComplete: complete(names),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *platform.Client) error {
			if c.Args().Len() != 1 {
				return usagef("%s takes one argument, %s", c.FullName(), argument)
			}
			result, err := do(ctx, c, client, c.Args().First())
			if err != nil {
				return err
			}
			return finish(ctx, c, client, result)
		}),
	}
}

func domainCommand() *cli.Command {
	force := func() []cli.Flag {
		return []cli.Flag{&cli.BoolFlag{Name: "force", Usage: "change it even if nothing is declared there or no other one is left"}}
	}
	return &cli.Command{
		Name:  "domain",
		Usage: "take a failure domain out of service or bring it back",
		Commands: []*cli.Command{
			changeCommand("take-out", "give up all flows of a failure domain and send it no packets", "NAME", domainNames, force(),
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changed, error) {
					return setDomain(ctx, c, client, name, true)
				}),
			changeCommand("bring-back", "use a failure domain again", "NAME", domainNames, force(),
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changed, error) {
					return setDomain(ctx, c, client, name, false)
				}),
		},
	}
}

func setDomain(ctx context.Context, c *cli.Command, client *platform.Client, name string, out bool) (*changed, error) {
	if !declare.ValidName(name) {
		return nil, &invalidError{Reason: fmt.Sprintf("failure domain name %q is malformed", name)}
	}
	states, objects, err := readDomains(ctx, c, client)
	if err != nil {
		return nil, err
	}
	if !c.Bool("force") {
		if err := checkDomain(ctx, c, client, states, name, out); err != nil {
			return nil, err
		}
	}
	result := &changed{Key: domainPrefix + name}
	object := objects[name]
	if states[name] == out {
		result.setObject(object)
		result.Unchanged = true
		return result, nil
	}
	value, err := marshal(&pb.DomainState{Out: out})
	if err != nil {
		return nil, err
	}
	result.Changes = []declare.Change{{Path: "out", Old: strconv.FormatBool(!out), New: strconv.FormatBool(out)}}
	return put(ctx, client, result, platform.Write{Key: result.Key, Value: value, ExpectedVersion: object.GetVersion()},
		func(current *pb.Object) bool {
			var state pb.DomainState
			err := proto.Unmarshal(current.GetValue(), &state)
			return err == nil && (state.GetOut() && !current.GetDeleted()) == out
		})
}

// readDomains returns which failure domains are out, and their objects.
func readDomains(ctx context.Context, c *cli.Command, client *platform.Client) (map[string]bool, map[string]*pb.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	objects, _, err := client.RetryList(ctx, domainPrefix, 0)
	if err != nil {
		return nil, nil, err
	}
	states, byName := map[string]bool{}, map[string]*pb.Object{}
	for _, object := range objects {
		var state pb.DomainState
		if err := proto.Unmarshal(object.GetValue(), &state); err != nil {
			return nil, nil, fmt.Errorf("value of %s: %w", object.GetKey(), err)
		}
		name := strings.TrimPrefix(object.GetKey(), domainPrefix)
		byName[name] = object
		states[name] = state.GetOut() && !object.GetDeleted()
	}
	return states, byName, nil
}

// checkDomain rejects a misspelt name, which would change nothing, and taking
// out the last failure domain that has upstreams.
func checkDomain(ctx context.Context, c *cli.Command, client *platform.Client, states map[string]bool, name string, out bool) error {
	stored, err := readTeams(ctx, c, client)
	if err != nil {
		return err
	}
	declared := map[string]bool{}
	for _, team := range stored.decoded {
		for _, service := range team.Services {
			for _, upstream := range service.Upstreams {
				declared[upstream.FailureDomain] = true
			}
		}
	}
	if !declared[name] {
		return &invalidError{Reason: fmt.Sprintf("no upstream is declared in failure domain %q; --force changes it anyway", name)}
	}
	for domain := range declared {
		if domain != name && !states[domain] {
			return nil
		}
	}
	if out {
		return &invalidError{Reason: fmt.Sprintf("failure domain %q is the last one in service; --force takes it out anyway", name)}
	}
	return nil
}

func upstreamCommand() *cli.Command {
	const argument = "TEAM/SERVICE/UPSTREAM"
	team := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: "team", Usage: "`NAME` of the only team whose upstreams may change", Sources: cli.EnvVars("CHIVEMAST_TEAM")}}
	}
	return &cli.Command{
		Name:  "upstream",
		Usage: "stop or resume new work on an upstream",
		Commands: []*cli.Command{
			changeCommand("drain", "send no new work to an upstream; its established flows go on", argument, upstreamNames, team(),
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changed, error) {
					return setDraining(ctx, c, client, name, true)
				}),
			changeCommand("undrain", "send new work to an upstream again", argument, upstreamNames, team(),
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changed, error) {
					return setDraining(ctx, c, client, name, false)
				}),
		},
	}
}

func setDraining(ctx context.Context, c *cli.Command, client *platform.Client, name string, draining bool) (*changed, error) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return nil, usagef("%q is not of the form TEAM/SERVICE/UPSTREAM", name)
	}
	if allowed := c.String("team"); allowed != "" && allowed != parts[0] {
		return nil, &invalidError{Reason: fmt.Sprintf("%q belongs to team %q, but --team allows only %q", name, parts[0], allowed)}
	}
	stored, err := readTeams(ctx, c, client)
	if err != nil {
		return nil, err
	}
	if err := stored.invalid[parts[0]]; err != nil {
		return nil, err
	}
	if stored.decoded[parts[0]] == nil {
		return nil, &invalidError{Reason: fmt.Sprintf("there is no team %q", parts[0])}
	}
	mine := stored.decoded[parts[0]].Clone()
	for i := range mine.Services {
		if mine.Services[i].Name != parts[1] {
			continue
		}
		for j := range mine.Services[i].Upstreams {
			if mine.Services[i].Upstreams[j].Name == parts[2] {
				mine.Services[i].Upstreams[j].Draining = draining
				return writeTeam(ctx, client, stored, mine, -1, false)
			}
		}
	}
	return nil, &invalidError{Reason: fmt.Sprintf("there is no upstream %q", name)}
}

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name:  "instance",
		Usage: "state facts about instances",
		Commands: []*cli.Command{
			changeCommand("forget", "state that an instance is gone for good, so that others may take over its lease slots", "NAME", instanceNames,
				[]cli.Flag{&cli.BoolFlag{Name: "undo", Usage: "withdraw the statement"}}, forget),
		},
	}
}

// forget refuses while the instance answers: others would take over slots
// that it still acts for.
func forget(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changed, error) {
	if !declare.ValidName(name) {
		return nil, &invalidError{Reason: fmt.Sprintf("instance name %q is malformed", name)}
	}
	undo := c.Bool("undo")
	if !undo {
		fleet, err := listFleet(ctx, c, client)
		if err != nil {
			return nil, err
		}
		for _, report := range fleet.ask(ctx) {
			if report.Name == name && report.Answered {
				return nil, &invalidError{Reason: fmt.Sprintf("instance %q still answers at %s", name, report.AdminAddress)}
			}
		}
	}
	key := forgottenPrefix + name
	getCtx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	object, _, err := client.RetryGet(getCtx, key)
	if err != nil {
		return nil, err
	}
	result := &changed{Key: key}
	if stated := object != nil && !object.GetDeleted(); stated != undo {
		result.setObject(object)
		result.Unchanged = true
		return result, nil
	}
	result.Changes = []declare.Change{{Path: "forgotten", Old: strconv.FormatBool(undo), New: strconv.FormatBool(!undo)}}
	return put(ctx, client, result, platform.Write{Key: key, ExpectedVersion: object.GetVersion(), Delete: undo},
		func(current *pb.Object) bool { return current.GetDeleted() == undo })
}

// put writes an object with a single property and records the result. When
// another operator made the same change first, this one has nothing to do;
// agrees tells whether a stored object has the wanted property.
func put(ctx context.Context, client *platform.Client, result *changed, write platform.Write, agrees func(*pb.Object) bool) (*changed, error) {
	write.ChangeID = newChangeID()
	object, err := client.Put(ctx, write)
	conflict, conflicted := errors.AsType[*platform.ConflictError](err)
	switch {
	case err == nil:
		result.setObject(object)
		return result, nil
	case !conflicted || conflict.Current == nil:
		return nil, err
	case agrees(conflict.Current):
		result.setObject(conflict.Current)
		result.Unchanged, result.Changes = true, nil
		return result, nil
	default:
		return nil, &changeConflictError{Key: write.Key, Expected: write.ExpectedVersion, Version: conflict.Current.GetVersion(),
			ChangeID: conflict.Current.GetChangeId(), Yours: result.Changes, TheirsKnown: true}
	}
}
