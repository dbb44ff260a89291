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

// changeCommand returns a command that takes one argument, a name, and changes one
// object by calling do. names lists the completions of the argument.
func changeCommand(name, usage, argument string, names nameSource, flags []cli.Flag,
	do func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changeResult, error)) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: argument,
		Flags:     append(flags, waitFlags()...),

		ShellComplete: completeNames(names),
		Action: withClient(func(ctx context.Context, c *cli.Command, client *platform.Client) error {
			if c.Args().Len() != 1 {
				return usageErrorf("%s takes exactly one argument, %s", c.FullName(), argument)
			}
			result, err := do(ctx, c, client, c.Args().First())
			if err != nil {
				return err
			}
			return waitAndWriteResult(ctx, c, client, result)
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
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changeResult, error) {
					return setDomain(ctx, c, client, name, true)
				}),
			changeCommand("bring-back", "use a failure domain again", "NAME", domainNames, force(),
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changeResult, error) {
					return setDomain(ctx, c, client, name, false)
				}),
		},
	}
}

func setDomain(ctx context.Context, c *cli.Command, client *platform.Client, name string, out bool) (*changeResult, error) {
	if !declare.ValidName(name) {
		return nil, &invalidError{Reason: fmt.Sprintf("failure domain name %q is malformed; a name consists of 1 to 63 lower-case letters, digits and inner hyphens", name)}
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
	result := &changeResult{Key: domainPrefix + name}
	object := objects[name]
	if states[name] == out {
		result.recordObject(object)
		result.Unchanged = true
		return result, nil
	}
	value, err := marshal(&pb.DomainState{Out: out})
	if err != nil {
		return nil, err
	}
	result.Changes = []declare.Change{{Path: "out", Old: strconv.FormatBool(!out), New: strconv.FormatBool(out)}}
	return putProperty(ctx, client, result, platform.Write{Key: result.Key, Value: value, ExpectedVersion: object.GetVersion()},
		func(current *pb.Object) bool {
			var state pb.DomainState
			err := proto.Unmarshal(current.GetValue(), &state)
			return err == nil && (state.GetOut() && !current.GetDeleted()) == out
		})
}

// readDomains returns, by name of the failure domain, whether it is taken out and
// its stored object. A domain without an object is in service.
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
			return nil, nil, fmt.Errorf("value of object %s cannot be decoded: %w", object.GetKey(), err)
		}
		name := strings.TrimPrefix(object.GetKey(), domainPrefix)
		byName[name] = object
		states[name] = state.GetOut() && !object.GetDeleted()
	}
	return states, byName, nil
}

// checkDomain returns *invalidError if no upstream is declared in the failure
// domain, since its name is probably misspelt, or if out is set and every other
// failure domain with upstreams is already out, since no upstream would be left.
// states tells which failure domains are out.
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
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changeResult, error) {
					return setDraining(ctx, c, client, name, true)
				}),
			changeCommand("undrain", "send new work to an upstream again", argument, upstreamNames, team(),
				func(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changeResult, error) {
					return setDraining(ctx, c, client, name, false)
				}),
		},
	}
}

func setDraining(ctx context.Context, c *cli.Command, client *platform.Client, name string, draining bool) (*changeResult, error) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return nil, usageErrorf("upstream %q is not of the form TEAM/SERVICE/UPSTREAM", name)
	}
	if allowed := c.String("team"); allowed != "" && allowed != parts[0] {
		return nil, &invalidError{Reason: fmt.Sprintf("upstream %q belongs to team %q, but --team or CHIVEMAST_TEAM allows only %q", name, parts[0], allowed)}
	}
	stored, err := readTeams(ctx, c, client)
	if err != nil {
		return nil, err
	}
	if err := stored.invalid[parts[0]]; err != nil {
		return nil, err
	}
	if stored.decoded[parts[0]] == nil {
		return nil, &invalidError{Reason: fmt.Sprintf("there is no team %q; chivemast get teams/ lists the stored teams", parts[0])}
	}
	desired := stored.decoded[parts[0]].Clone()
	for i := range desired.Services {
		if desired.Services[i].Name != parts[1] {
			continue
		}
		for j := range desired.Services[i].Upstreams {
			if desired.Services[i].Upstreams[j].Name == parts[2] {
				desired.Services[i].Upstreams[j].Draining = draining
				return writeTeam(ctx, client, stored, desired, -1, false)
			}
		}
	}
	return nil, &invalidError{Reason: fmt.Sprintf("there is no upstream %q; chivemast get teams/TEAM shows the declared ones", name)}
}

func instanceCommand() *cli.Command {
	return &cli.Command{
		Name:  "instance",
		Usage: "state facts about instances",
		Commands: []*cli.Command{
			changeCommand("forget", "state that an instance is gone for good, so that others may take over its lease slots", "NAME", instanceNames,
				[]cli.Flag{&cli.BoolFlag{Name: "undo", Usage: "withdraw the statement"}}, forgetInstance),
		},
	}
}

// forgetInstance stores that an instance is gone for good, or withdraws that with
// --undo. It returns *invalidError while the instance answers, since other
// instances would take over lease slots that it still acts for.
func forgetInstance(ctx context.Context, c *cli.Command, client *platform.Client, name string) (*changeResult, error) {
	if !declare.ValidName(name) {
		return nil, &invalidError{Reason: fmt.Sprintf("instance name %q is malformed; a name consists of 1 to 63 lower-case letters, digits and inner hyphens", name)}
	}
	undo := c.Bool("undo")
	if !undo {
		fleet, err := listFleet(ctx, c, client)
		if err != nil {
			return nil, err
		}
		for _, report := range fleet.queryInstances(ctx) {
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
	result := &changeResult{Key: key}
	if forgotten := object != nil && !object.GetDeleted(); forgotten != undo {
		result.recordObject(object)
		result.Unchanged = true
		return result, nil
	}
	result.Changes = []declare.Change{{Path: "forgotten", Old: strconv.FormatBool(undo), New: strconv.FormatBool(!undo)}}
	return putProperty(ctx, client, result, platform.Write{Key: key, ExpectedVersion: object.GetVersion(), Delete: undo},
		func(current *pb.Object) bool { return current.GetDeleted() == undo })
}

// putProperty writes an object that holds a single property and records the stored
// object in result. If another write came first, hasProperty decides: when the
// object stored by that write has the wanted property, the result is unchanged and
// there is no error; otherwise putProperty returns *changeConflictError.
func putProperty(ctx context.Context, client *platform.Client, result *changeResult, write platform.Write, hasProperty func(*pb.Object) bool) (*changeResult, error) {
	write.ChangeID = newChangeID()
	object, err := client.Put(ctx, write)
	conflict, conflicted := errors.AsType[*platform.ConflictError](err)
	switch {
	case err == nil:
		result.recordObject(object)
		return result, nil
	case !conflicted || conflict.Current == nil:
		return nil, err
	case hasProperty(conflict.Current):
		result.recordObject(conflict.Current)
		result.Unchanged, result.Changes = true, nil
		return result, nil
	default:
		return nil, &changeConflictError{Key: write.Key, Expected: write.ExpectedVersion, Version: conflict.Current.GetVersion(),
			ChangeID: conflict.Current.GetChangeId(), Yours: result.Changes, TheirsKnown: true}
	}
}
