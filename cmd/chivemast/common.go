package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/document"
	"github.com/chivemast/chivemast/internal/platform"
)

const (
	outputText = "text"
	outputJSON = "json"
)

func validOutput(format string) error {
	if format != outputText && format != outputJSON {
		return usagef("output format %q is neither text nor json", format)
	}
	return nil
}

func newClient(c *cli.Command) (*platform.Client, error) {
	url := c.String("platform")
	if url == "" {
		return nil, usagef("set --platform or CHIVEMAST_PLATFORM to the URL of the platform")
	}
	return platform.New(platform.Config{URL: url, WriteTimeout: c.Duration("timeout"), Budgets: readBudgets})
}

// readBudgets admit the repeated reads of one command. With the budgets of an
// instance, an outage ends in an error about the budget instead of one about
// the platform. The growing waits between the reads bound their rate as well.
var readBudgets = map[platform.Call]platform.Budget{
	platform.CallList:      {PerSecond: 10, Burst: 20},
	platform.CallInstances: {PerSecond: 10, Burst: 20},
}

// withClient runs a command that calls the platform. The context bounds every
// call but the waiting for instances.
func withClient(do func(ctx context.Context, c *cli.Command, client *platform.Client) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, err := newClient(c)
		if err != nil {
			return err
		}
		defer client.Close()
		return do(ctx, c, client)
	}
}

// resultKey is the key under which a command leaves its result for run, which
// writes it as one JSON object together with the error, if any.
const resultKey = "result"

// output takes the result of a command: it is kept for run, or written as text
// by the given function.
func output(c *cli.Command, result any, text func(w io.Writer)) error {
	if c.String("output") != outputJSON {
		text(c.Root().Writer)
		return nil
	}
	data, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encoding the result: %w", err)
	}
	c.Root().Metadata[resultKey] = json.RawMessage(data)
	return nil
}

// writeJSON writes a result, a JSON object or nothing, and an error as one
// object. It writes nothing when there is neither, as for help.
func writeJSON(w io.Writer, result json.RawMessage, failure error) error {
	if failure != nil {
		data, err := json.Marshal(describe(failure))
		if err != nil {
			return fmt.Errorf("encoding the error: %w", err)
		}
		fields := strings.TrimSuffix(string(result), "}")
		switch fields {
		case "":
			fields = "{"
		case "{":
		default:
			fields += ","
		}
		result = json.RawMessage(fields + `"error":` + string(data) + "}")
	}
	if result == nil {
		return nil
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, result, "", "  "); err != nil {
		return fmt.Errorf("formatting the result: %w", err)
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(w)
	return err
}

// filesFlag takes declarations; further files may follow as arguments.
func filesFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with declarations of the team, - for standard input; more may follow"}
}

// readFiles reads the files given by -f and as arguments.
func readFiles(c *cli.Command) ([]declare.File, error) {
	names := append(c.StringSlice("file"), c.Args().Slice()...)
	if len(names) == 0 {
		return nil, usagef("give at least one file with -f")
	}
	var files []declare.File
	for _, name := range names {
		read := func() ([]byte, error) { return os.ReadFile(name) }
		if name == "-" {
			read = func() ([]byte, error) { return io.ReadAll(io.LimitReader(c.Root().Reader, document.MaxBytes+1)) }
		}
		data, err := read()
		if err != nil {
			return nil, &document.Error{Source: name, Kind: document.Unreadable, Err: err}
		}
		files = append(files, declare.File{Name: name, Data: data})
	}
	return files, nil
}

func newChangeID() string { return "chivemast-" + rand.Text() }

// teams holds the stored declarations of all teams.
type teams struct {
	objects map[string]*pb.Object
	// decoded lacks deleted teams and those in invalid.
	decoded map[string]*declare.Team
	invalid map[string]error
	// tombstones holds the values of deleted teams, of platforms that keep
	// them. They declare no services but list released addresses.
	tombstones map[string]*declare.Team
}

// previous returns the stored version of a team or the value of its
// tombstone, nil for none.
func (t *teams) previous(name string) *declare.Team {
	if team := t.decoded[name]; team != nil {
		return team
	}
	return t.tombstones[name]
}

func readTeams(ctx context.Context, c *cli.Command, client *platform.Client) (*teams, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	objects, _, err := client.RetryList(ctx, declare.KeyPrefix, 0)
	if err != nil {
		return nil, err
	}
	t := &teams{objects: map[string]*pb.Object{}, decoded: map[string]*declare.Team{}, invalid: map[string]error{},
		tombstones: map[string]*declare.Team{}}
	for _, object := range objects {
		name := strings.TrimPrefix(object.GetKey(), declare.KeyPrefix)
		t.objects[name] = object
		if object.GetDeleted() && len(object.GetValue()) == 0 {
			continue
		}
		team, err := declare.Decode(object.GetKey(), object.GetValue())
		if err != nil {
			// Instances reject it as well. It must not keep other teams from
			// changing theirs, nor its own team from replacing it.
			fmt.Fprintf(c.Root().ErrWriter, "chivemast: warning: the stored declaration is not valid and is left out: %v\n", err)
			if !object.GetDeleted() {
				t.invalid[name] = err
			}
			continue
		}
		if object.GetDeleted() {
			team.Services = nil
			t.tombstones[name] = team
			continue
		}
		t.decoded[name] = team
	}
	return t, nil
}

// conflicts returns the address conflicts of a team with the others.
func (t *teams) conflicts(mine *declare.Team) []*declare.ConflictError {
	var others []*declare.Team
	for name, team := range t.decoded {
		if name != mine.Name {
			others = append(others, team)
		}
	}
	var conflicts []*declare.ConflictError
	for _, conflict := range declare.FindConflicts(append(others, mine)...) {
		if conflict.Second.Team == mine.Name {
			conflicts = append(conflicts, conflict)
		}
	}
	return conflicts
}

func marshal(m proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(m)
}

func formatChanges(changes []declare.Change) string {
	if len(changes) == 0 {
		return "  (none)\n"
	}
	var b strings.Builder
	for _, change := range changes {
		fmt.Fprintf(&b, "  %s\n", change)
	}
	return b.String()
}
