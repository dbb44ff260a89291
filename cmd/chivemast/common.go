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
		return usageErrorf("output format %q is not supported; use text or json", format)
	}
	return nil
}

func newClient(c *cli.Command) (*platform.Client, error) {
	url := c.String("platform")
	if url == "" {
		return nil, usageErrorf("no platform is set; set --platform or CHIVEMAST_PLATFORM to the base URL of the platform's object API")
	}
	return platform.New(platform.Config{URL: url, WriteTimeout: c.Duration("timeout"), Budgets: readBudgets})
}

// readBudgets limits how often one command repeats a read, per kind of call. The
// smaller default budgets are meant for instances: with them, a command that
// retries during an outage would report a used-up budget instead of the outage.
// The backoff between retries limits their rate as well.
var readBudgets = map[platform.Call]platform.Budget{
	platform.CallList:      {PerSecond: 10, Burst: 20},
	platform.CallInstances: {PerSecond: 10, Burst: 20},
}

// withClient returns the action of a command that calls the platform: it opens
// a client, runs do with it and closes it afterwards.
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

// resultKey is the key in the root command's Metadata under which writeResult
// stores the encoded result. run writes it and the error, if any, as one JSON
// object.
const resultKey = "result"

// writeResult reports the result of a command. With -o json it stores the encoded
// result for run to write; otherwise the function text writes it.
func writeResult(c *cli.Command, result any, text func(w io.Writer)) error {
	if c.String("output") != outputJSON {
		text(c.Root().Writer)
		return nil
	}
	data, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode the result as JSON: %w", err)
	}
	c.Root().Metadata[resultKey] = json.RawMessage(data)
	return nil
}

// writeJSON writes a result and an error as one JSON object, with the error under
// the key "error". The result is a JSON object or nil. Without result and error,
// as after --help, it writes nothing.
func writeJSON(w io.Writer, result json.RawMessage, failure error) error {
	if failure != nil {
		data, err := json.Marshal(describeError(failure))
		if err != nil {
			return fmt.Errorf("encode the error as JSON: %w", err)
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
		return fmt.Errorf("indent the JSON result: %w", err)
	}
	indented.WriteByte('\n')
	_, err := indented.WriteTo(w)
	return err
}

// filesFlag returns the flag that names files; more files may follow as arguments.
func filesFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "`FILE` with declarations of the team, - for standard input; more may follow"}
}

// readFiles reads the files named by -f and by the arguments, in this order. Of
// standard input it reads one byte more than document.MaxSize at most, enough for
// the parser to reject a document that is too large.
func readFiles(c *cli.Command) ([]declare.File, error) {
	names := append(c.StringSlice("file"), c.Args().Slice()...)
	if len(names) == 0 {
		return nil, usageErrorf("no file is named; name at least one with -f")
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

// storedTeams contains the stored declarations of all teams. Its maps are keyed by
// team name.
type storedTeams struct {
	// objects contains every stored team object, tombstones included.
	objects map[string]*pb.Object
	// decoded contains the declarations of teams that are neither deleted nor in
	// invalid.
	decoded map[string]*declare.Team
	// invalid contains the decoding error of each team whose stored value is not
	// a valid declaration and that is not deleted.
	invalid map[string]error
	// tombstones contains the values of deleted teams where the platform keeps
	// the value of a deleted object. They list released addresses; their services
	// are removed.
	tombstones map[string]*declare.Team
}

// previous returns the stored declaration of a team or the value of its
// tombstone. It returns nil if there is neither.
func (t *storedTeams) previous(name string) *declare.Team {
	if team := t.decoded[name]; team != nil {
		return team
	}
	return t.tombstones[name]
}

func readTeams(ctx context.Context, c *cli.Command, client *platform.Client) (*storedTeams, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	objects, _, err := client.RetryList(ctx, declare.KeyPrefix, 0)
	if err != nil {
		return nil, err
	}
	t := &storedTeams{objects: map[string]*pb.Object{}, decoded: map[string]*declare.Team{}, invalid: map[string]error{},
		tombstones: map[string]*declare.Team{}}
	for _, object := range objects {
		name := strings.TrimPrefix(object.GetKey(), declare.KeyPrefix)
		t.objects[name] = object
		if object.GetDeleted() && len(object.GetValue()) == 0 {
			continue
		}
		team, err := declare.Decode(object.GetKey(), object.GetValue())
		if err != nil {
			// Instances reject this declaration too. The command goes on, so that
			// other teams can change their declarations and this team can replace
			// its invalid one.
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

// conflicts returns the conflicts in which desired declares an address that a
// stored team uses. Conflicts between other teams are left out.
func (t *storedTeams) conflicts(desired *declare.Team) []*declare.ConflictError {
	var others []*declare.Team
	for name, team := range t.decoded {
		if name != desired.Name {
			others = append(others, team)
		}
	}
	var conflicts []*declare.ConflictError
	for _, conflict := range declare.FindConflicts(append(others, desired)...) {
		if conflict.Second.Team == desired.Name {
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
