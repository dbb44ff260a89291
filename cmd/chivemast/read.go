package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/platform"
	"github.com/chivemast/chivemast/internal/position"
	"github.com/chivemast/chivemast/internal/settings"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what apply would change",
		ArgsUsage: "[FILE...]",
		Flags: []cli.Flag{
			filesFlag(),
			&cli.BoolFlag{Name: "exit-code", Usage: "exit with code 8 if there are differences"},
		},
		Action: withClient(runDiff),
	}
}

func runDiff(ctx context.Context, c *cli.Command, client *platform.Client) error {
	files, err := readFiles(c)
	if err != nil {
		return err
	}
	desired, err := declare.ParseFiles(files)
	if err != nil {
		return err
	}
	stored, err := readTeams(ctx, c, client)
	if err != nil {
		return err
	}
	result := &changeResult{Key: declare.Key(desired.Name), Changes: declare.Diff(stored.decoded[desired.Name], desired)}
	result.recordObject(stored.objects[desired.Name])
	result.Unchanged = len(result.Changes) == 0
	err = writeResult(c, result, func(w io.Writer) {
		fmt.Fprintf(w, "%s version %d, differences: %d\n", result.Key, result.Version, len(result.Changes))
		if !result.Unchanged {
			fmt.Fprint(w, formatChanges(result.Changes))
		}
	})
	if err != nil {
		return err
	}
	if conflicts := stored.conflicts(desired); len(conflicts) > 0 {
		return &addressConflictError{Conflicts: conflicts}
	}
	if c.Bool("exit-code") && !result.Unchanged {
		return &differentError{Changes: len(result.Changes)}
	}
	return nil
}

// storedObject is the JSON form of an object of the platform.
type storedObject struct {
	Key      string          `json:"key"`
	Version  uint64          `json:"version"`
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"change_id"`
	Deleted  bool            `json:"deleted,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show an object, or list the objects below a prefix that ends in /",
		ArgsUsage: "[KEY | PREFIX/]",
		Action:    withClient(runGet),
	}
}

func runGet(ctx context.Context, c *cli.Command, client *platform.Client) error {
	if c.Args().Len() > 1 {
		return usageErrorf("get takes at most one key or prefix")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	key := c.Args().First()
	if key == "" || strings.HasSuffix(key, "/") {
		return listObjects(ctx, c, client, key)
	}
	object, _, err := client.RetryGet(ctx, key)
	if err != nil {
		return err
	}
	if object == nil {
		return &invalidError{Reason: fmt.Sprintf("there is no object %q; chivemast get lists all keys", key)}
	}
	result := describeObject(object)
	result.Value, err = valueJSON(object)
	if err != nil {
		return err
	}
	return writeResult(c, result, func(w io.Writer) {
		fmt.Fprintf(w, "// %s version %d, revision %s, change %s%s\n", key, result.Version, position.String(result.Revision), result.ChangeID,
			map[bool]string{true: ", deleted"}[result.Deleted])
		if len(result.Value) > 0 {
			var indented bytes.Buffer
			_ = json.Indent(&indented, result.Value, "", "  ")
			fmt.Fprintln(w, indented.String())
		}
	})
}

func listObjects(ctx context.Context, c *cli.Command, client *platform.Client, prefix string) error {
	objects, revision, err := client.RetryList(ctx, prefix, 0)
	if err != nil {
		return err
	}
	slices.SortFunc(objects, func(a, b *pb.Object) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	result := struct {
		Revision uint64         `json:"revision"`
		Objects  []storedObject `json:"objects"`
	}{Revision: revision, Objects: []storedObject{}}
	for _, object := range objects {
		result.Objects = append(result.Objects, describeObject(object))
	}
	return writeResult(c, result, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "KEY\tVERSION\tREVISION\tDELETED\tCHANGE")
		for _, o := range result.Objects {
			fmt.Fprintf(t, "%s\t%d\t%s\t%t\t%s\n", o.Key, o.Version, position.String(o.Revision), o.Deleted, o.ChangeID)
		}
		_ = t.Flush()
	})
}

func describeObject(o *pb.Object) storedObject {
	return storedObject{Key: o.GetKey(), Version: o.GetVersion(), Revision: o.GetRevision(),
		ChangeID: o.GetChangeId(), Deleted: o.GetDeleted()}
}

// valueJSON returns the value of an object as JSON, decoded by the type that its
// key stands for. Values of unknown keys, and team values that are not JSON, become
// base64 strings; the value of a deleted object is nil. It fails if a value cannot
// be decoded by the type of its key.
func valueJSON(object *pb.Object) (json.RawMessage, error) {
	var message proto.Message
	decode := codec.Decode
	kind, _, _ := strings.Cut(object.GetKey(), "/")
	switch {
	case object.GetDeleted():
		return nil, nil
	case kind == "teams" && json.Valid(object.GetValue()):
		return object.GetValue(), nil
	case kind == "domains":
		message = &pb.DomainState{}
		decode = proto.Unmarshal
	case kind == "tables":
		message = &pb.ServiceTable{}
	case kind == "slots":
		message = &pb.SlotTable{}
	default:
		return json.Marshal(object.GetValue())
	}
	if err := decode(object.GetValue(), message); err != nil {
		return nil, fmt.Errorf("value of object %s cannot be decoded: %w", object.GetKey(), err)
	}
	return protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check files without calling the platform",
		ArgsUsage: "[FILE...]",
		Flags: []cli.Flag{
			filesFlag(),
			&cli.BoolFlag{Name: "settings", Usage: "the files are settings of instances"},
		},
		Action: runValidate,
	}
}

func runValidate(_ context.Context, c *cli.Command) error {
	files, err := readFiles(c)
	if err != nil {
		return err
	}
	if c.Bool("settings") {
		for _, file := range files {
			if _, err := settings.Parse(file.Name, file.Data); err != nil {
				return err
			}
		}
	} else if err := validateTeams(files); err != nil {
		return err
	}
	return writeResult(c, map[string]int{"valid_files": len(files)}, func(w io.Writer) {
		fmt.Fprintf(w, "%d files are valid\n", len(files))
	})
}

// validateTeams checks each team's files as one declaration, and the addresses of
// all teams for conflicts with each other.
func validateTeams(files []declare.File) error {
	byTeam := map[string][]declare.File{}
	var order []string
	for _, file := range files {
		team, err := declare.Parse(file.Name, file.Data)
		if err != nil {
			return err
		}
		if byTeam[team.Name] == nil {
			order = append(order, team.Name)
		}
		byTeam[team.Name] = append(byTeam[team.Name], file)
	}
	var all []*declare.Team
	for _, name := range order {
		team, err := declare.ParseFiles(byTeam[name])
		if err != nil {
			return err
		}
		all = append(all, team)
	}
	if conflicts := declare.FindConflicts(all...); len(conflicts) > 0 {
		return &addressConflictError{Conflicts: conflicts}
	}
	return nil
}
