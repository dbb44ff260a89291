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
	"github.com/chivemast/chivemast/internal/position"
)

// changeResult is the result of a command that changes an object, and of diff.
type changeResult struct {
	Key       string           `json:"key"`
	Version   uint64           `json:"version"`
	Revision  uint64           `json:"revision"`
	ChangeID  string           `json:"change_id,omitempty"`
	Unchanged bool             `json:"unchanged,omitempty"`
	Changes   []declare.Change `json:"changes,omitempty"`
	Confirmed []string         `json:"confirmed,omitempty"`
	// releasesDropped tells whether the platform stored a tombstone without its
	// value, so that the addresses released by the team are not known any more.
	releasesDropped bool
}

func (r *changeResult) writeText(w io.Writer) {
	if r.Unchanged {
		fmt.Fprintf(w, "%s unchanged at version %d (revision %s)\n", r.Key, r.Version, position.String(r.Revision))
	} else {
		fmt.Fprintf(w, "%s accepted as version %d (revision %s, change %s)\n", r.Key, r.Version, position.String(r.Revision), r.ChangeID)
	}
	if len(r.Changes) > 0 {
		fmt.Fprint(w, formatChanges(r.Changes))
	}
	if len(r.Confirmed) > 0 {
		fmt.Fprintf(w, "in force on %d instances\n", len(r.Confirmed))
	}
}

// recordObject copies version, revision and change id of the stored object.
func (r *changeResult) recordObject(object *pb.Object) {
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
		Action: withClient(runApply),
	}
}

func runApply(ctx context.Context, c *cli.Command, client *platform.Client) error {
	name := c.String("team")
	if !declare.ValidName(name) {
		return usageErrorf("team name %q is malformed; a name consists of 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
	desired, err := desiredTeam(c, name)
	if err != nil {
		return err
	}
	// --wait-timeout covers the wait until released addresses can be reused and
	// the wait for confirmations together.
	waitCtx, cancel := context.WithTimeout(ctx, c.Duration("wait-timeout"))
	defer cancel()
	stored, expected, err := readUntilAdmissible(ctx, waitCtx, c, client, desired)
	if err != nil {
		return err
	}
	result, err := writeTeam(ctx, client, stored, desired, expected, c.Bool("delete"))
	if err != nil {
		return err
	}
	if result.releasesDropped {
		fmt.Fprintf(c.Root().ErrWriter, "chivemast: warning: the platform did not keep the released addresses with the tombstone of %s; "+
			"reuse them only when all instances have revision %s in force and the idle timeouts have passed\n", result.Key, position.String(result.Revision))
	}
	var conflictErr error
	if !result.Unchanged {
		conflictErr = checkConflictsAfterWrite(ctx, c, client, desired)
	}
	if err := waitAndWriteResult(waitCtx, c, client, result); conflictErr == nil {
		return err
	}
	return conflictErr
}

// desiredTeam returns the declaration in the files, or one without services for
// --delete. It rejects files that declare another team than name, so that a wrong
// file cannot change another team's subtree.
func desiredTeam(c *cli.Command, name string) (*declare.Team, error) {
	if c.Bool("delete") {
		if len(c.StringSlice("file")) > 0 || c.Args().Present() {
			return nil, usageErrorf("--delete takes no files; use either --delete or files")
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
		return nil, &invalidError{Reason: fmt.Sprintf("the files declare team %q, but --team allows only %q; correct the files or --team", team.Name, name)}
	}
	return team, nil
}

// writeTeam replaces a team's subtree by desired, or deletes it if remove is set.
// It writes nothing if that changes nothing. It returns *changeConflictError if
// expected is not negative and differs from the stored version; for a write that
// came in between, it returns the error of describeWriteConflict.
func writeTeam(ctx context.Context, client *platform.Client, stored *storedTeams, desired *declare.Team, expected int64, remove bool) (*changeResult, error) {
	object, before := stored.objects[desired.Name], stored.decoded[desired.Name]
	result := &changeResult{Key: declare.Key(desired.Name)}
	after := desired
	if remove {
		after = nil
	}
	result.Changes = declare.Diff(before, after)
	if expected >= 0 && uint64(expected) != object.GetVersion() {
		return nil, &changeConflictError{Key: result.Key, Expected: uint64(expected), Version: object.GetVersion(),
			ChangeID: object.GetChangeId(), Yours: result.Changes}
	}
	if len(result.Changes) == 0 && (before == nil) == remove && stored.invalid[desired.Name] == nil {
		result.recordObject(object)
		result.Unchanged = true
		return result, nil
	}
	desired.Released = declare.NextReleases(stored.previous(desired.Name), object.GetRevision(), desired, time.Now())
	value, err := declare.Encode(desired)
	if err != nil {
		return nil, err
	}
	// A deletion carries the value as well, since it lists the released addresses.
	write := platform.Write{Key: result.Key, Value: value, ExpectedVersion: object.GetVersion(), Delete: remove, ChangeID: newChangeID()}
	accepted, err := client.Put(ctx, write)
	if err != nil {
		return nil, describeWriteConflict(err, before, result)
	}
	result.recordObject(accepted)
	result.releasesDropped = remove && len(desired.Released) > 0 && len(accepted.GetValue()) == 0
	return result, nil
}

// describeWriteConflict turns a *platform.ConflictError into a *changeConflictError
// that lists this change and the other one, both relative to the version that this
// change was based on. It returns other errors, and conflicts without the current
// object, as they are.
func describeWriteConflict(err error, before *declare.Team, result *changeResult) error {
	conflict, ok := errors.AsType[*platform.ConflictError](err)
	if !ok || conflict.Current == nil {
		return err
	}
	described := &changeConflictError{Key: conflict.Key, Expected: conflict.ExpectedVersion, Version: conflict.Current.GetVersion(),
		ChangeID: conflict.Current.GetChangeId(), Yours: result.Changes, TheirsKnown: true}
	if conflict.Current.GetDeleted() {
		described.Theirs = declare.Diff(before, nil)
		return described
	}
	theirs, err := declare.Decode(conflict.Key, conflict.Current.GetValue())
	if err != nil {
		return fmt.Errorf("%w; the stored declaration is not valid: %w", conflict, err)
	}
	described.Theirs = declare.Diff(before, theirs)
	return described
}

// checkConflictsAfterWrite reads all teams again and reports address conflicts of
// desired. A conditional write covers one team only, so two teams that write at
// the same time can declare the same address without a conflict of versions.
func checkConflictsAfterWrite(ctx context.Context, c *cli.Command, client *platform.Client, desired *declare.Team) error {
	stored, err := readTeams(ctx, c, client)
	if err != nil {
		return &uncheckedError{Err: err}
	}
	if conflicts := stored.conflicts(desired); len(conflicts) > 0 {
		return &addressConflictError{Conflicts: conflicts, Accepted: true}
	}
	return nil
}

// waitAndWriteResult waits with --wait until the instances have confirmed the
// revision, writes the result and returns the error of the wait.
func waitAndWriteResult(ctx context.Context, c *cli.Command, client *platform.Client, result *changeResult) error {
	var waitErr error
	if c.Bool("wait") {
		result.Confirmed, waitErr = waitForRevision(ctx, c, client, result.Revision)
	}
	if err := writeResult(c, result, result.writeText); err != nil {
		return err
	}
	return waitErr
}
