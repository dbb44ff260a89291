package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/platform"
)

// changed is the result of a command that changes an object.
type changed struct {
	Key       string           `json:"key"`
	Version   uint64           `json:"version"`
	Revision  uint64           `json:"revision"`
	ChangeID  string           `json:"change_id,omitempty"`
	Unchanged bool             `json:"unchanged,omitempty"`
	Changes   []declare.Change `json:"changes,omitempty"`
	Confirmed []string         `json:"confirmed,omitempty"`
	// releasesLost says that the platform stored a tombstone without the
	// addresses that the team released.
	releasesLost bool
}

func (r *changed) text(w io.Writer) {
	if r.Unchanged {
		fmt.Fprintf(w, "%s unchanged at version %d (revision %d)\n", r.Key, r.Version, r.Revision)
	} else {
		fmt.Fprintf(w, "%s accepted as version %d (revision %d, change %s)\n", r.Key, r.Version, r.Revision, r.ChangeID)
	}
	if len(r.Changes) > 0 {
		fmt.Fprint(w, formatChanges(r.Changes))
	}
	if len(r.Confirmed) > 0 {
		fmt.Fprintf(w, "in force on %d instances\n", len(r.Confirmed))
	}
}

// setObject records the stored object.
func (r *changed) setObject(object *pb.Object) {
	r.Version, r.Revision, r.ChangeID = object.GetVersion(), object.GetRevision(), object.GetChangeId()
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "return when all instances have the change in force"},
		&cli.DurationFlag{Name: "wait-timeout", Usage: "longest time for --wait", Value: 30 * time.Second},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "replace a team's declarations by those in the files",
		ArgsUsage: "[FILE...]",
		Flags: append([]cli.Flag{
			filesFlag(),
			&cli.StringFlag{Name: "team", Usage: "`NAME` of the team whose subtree may change", Sources: cli.EnvVars("CHIVEMAST_TEAM"), Required: true},
			&cli.Int64Flag{Name: "expect-version", Usage: "apply only to this `VERSION` of the subtree", Value: -1},
			&cli.BoolFlag{Name: "delete", Usage: "delete the team's subtree instead of applying files"},
		}, waitFlags()...),
		Action: withClient(apply),
	}
}

func apply(ctx context.Context, c *cli.Command, client *platform.Client) error {
	name := c.String("team")
	if !declare.ValidName(name) {
		return usagef("team name %q is malformed", name)
	}
	mine, err := desiredTeam(c, name)
	if err != nil {
		return err
	}
	// Both waits of --wait share one time limit.
	deadline, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	stored, expected, err := readAdmissible(ctx, deadline, c, client, mine)
	if err != nil {
		return err
	}
	result, err := writeTeam(ctx, client, stored, mine, expected, c.Bool("delete"))
	if err != nil {
		return err
	}
	if result.releasesLost {
		fmt.Fprintf(c.Root().ErrWriter, "chivemast: warning: the platform did not keep the released addresses with the tombstone of %s; "+
			"reuse them only when all instances have revision %d in force and the idle timeouts have passed\n", result.Key, result.Revision)
	}
	var lateErr error
	if !result.Unchanged {
		lateErr = checkLateConflicts(ctx, c, client, mine)
	}
	if err := finish(deadline, c, client, result); lateErr == nil {
		return err
	}
	return lateErr
}

// desiredTeam reads the files. They may declare only the team that was named,
// so that a wrong file cannot change another team's subtree.
func desiredTeam(c *cli.Command, name string) (*declare.Team, error) {
	if c.Bool("delete") {
		if len(c.StringSlice("file")) > 0 || c.Args().Present() {
			return nil, usagef("--delete takes no files")
		}
		return &declare.Team{Name: name}, nil
	}
	files, err := readFiles(c)
	if err != nil {
		return nil, err
	}
	team, err := declare.ParseFiles(files)
	if err != nil {
		return nil, err
	}
	if team.Name != name {
		return nil, &invalidError{Reason: fmt.Sprintf("the files declare team %q, but --team allows only %q", team.Name, name)}
	}
	return team, nil
}

// writeTeam writes a team's subtree on top of the stored version. A negative
// expected version stands for the stored one.
func writeTeam(ctx context.Context, client *platform.Client, stored *teams, mine *declare.Team, expected int64, remove bool) (*changed, error) {
	object, before := stored.objects[mine.Name], stored.decoded[mine.Name]
	result := &changed{Key: declare.Key(mine.Name)}
	after := mine
	if remove {
		after = nil
	}
	result.Changes = declare.Diff(before, after)
	if expected >= 0 && uint64(expected) != object.GetVersion() {
		return nil, &changeConflictError{Key: result.Key, Expected: uint64(expected), Version: object.GetVersion(),
			ChangeID: object.GetChangeId(), Yours: result.Changes}
	}
	if len(result.Changes) == 0 && (before == nil) == remove && stored.invalid[mine.Name] == nil {
		result.setObject(object)
		result.Unchanged = true
		return result, nil
	}
	mine.Released = declare.NextReleases(stored.previous(mine.Name), object.GetRevision(), mine, time.Now())
	value, err := declare.Encode(mine)
	if err != nil {
		return nil, err
	}
	// A tombstone carries the value as well, for its released addresses.
	write := platform.Write{Key: result.Key, Value: value, ExpectedVersion: object.GetVersion(),
		Delete: remove, ChangeID: newChangeID()}
	accepted, err := client.Put(ctx, write)
	if err != nil {
		return nil, bothSides(err, before, result)
	}
	result.setObject(accepted)
	result.releasesLost = remove && len(mine.Released) > 0 && len(accepted.GetValue()) == 0
	return result, nil
}

// bothSides turns a conflict into one that shows this change and the other
// one, relative to the version that this change was based on.
func bothSides(err error, before *declare.Team, result *changed) error {
	conflict, ok := errors.AsType[*platform.ConflictError](err)
	if !ok || conflict.Current == nil {
		return err
	}
	both := &changeConflictError{Key: conflict.Key, Expected: conflict.ExpectedVersion, Version: conflict.Current.GetVersion(),
		ChangeID: conflict.Current.GetChangeId(), Yours: result.Changes, TheirsKnown: true}
	if conflict.Current.GetDeleted() {
		both.Theirs = declare.Diff(before, nil)
		return both
	}
	theirs, err := declare.Decode(conflict.Key, conflict.Current.GetValue())
	if err != nil {
		return fmt.Errorf("%w; the stored version is not valid: %w", conflict, err)
	}
	both.Theirs = declare.Diff(before, theirs)
	return both
}

// checkLateConflicts reads all teams once more: conditional updates cover one
// team each, so that two teams can declare the same address at the same time.
func checkLateConflicts(ctx context.Context, c *cli.Command, client *platform.Client, mine *declare.Team) error {
	stored, err := readTeams(ctx, c, client)
	if err != nil {
		return &uncheckedError{Err: err}
	}
	if conflicts := stored.conflicts(mine); len(conflicts) > 0 {
		return &addressConflictError{Conflicts: conflicts, Accepted: true}
	}
	return nil
}

// finish waits for the instances if asked to, and writes the result.
func finish(ctx context.Context, c *cli.Command, client *platform.Client, result *changed) error {
	var waitErr error
	if c.Bool("wait") {
		result.Confirmed, waitErr = waitForRevision(ctx, c, client, result.Revision)
	}
	if err := output(c, result, result.text); err != nil {
		return err
	}
	return waitErr
}
