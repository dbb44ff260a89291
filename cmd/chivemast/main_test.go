package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/declare"
	"github.com/chivemast/chivemast/internal/document"
)

// Guards against failures of different kinds that exit with the same code, which
// scripts could not tell apart, and against messages that do not name the fault.
func TestExitCodes(t *testing.T) {
	malformed := filepath.Join(t.TempDir(), "malformed.jsonc")
	require.NoError(t, os.WriteFile(malformed, []byte(`{"name": "t", "servces": []}`), 0o600))
	tests := []struct {
		name string
		args []string
		want exitCode
		text string
	}{
		{"no command", nil, exitUsage, "needs a command"},
		{"unknown command", []string{"aply"}, exitUsage, "no command"},
		{"unknown subcommand", []string{"domain", "remove", "a"}, exitUsage, "no command"},
		{"unknown flag", []string{"get", "--all"}, exitUsage, "all"},
		{"no team", []string{"apply", "-f", exampleFile("trentside")}, exitUsage, "team"},
		{"no file", []string{"apply", "--team", "t"}, exitUsage, "-f"},
		{"unknown output format", []string{"-o", "yaml", "get"}, exitUsage, "yaml"},
		{"absent file", []string{"validate", "-f", "absent"}, exitInvalid, "absent"},
		{"malformed file", []string{"validate", "-f", malformed}, exitInvalid, "malformed.jsonc:1:15: servces"},
		{"another team's file", []string{"apply", "--team", "t", "-f", exampleFile("trentside")}, exitInvalid, "allows only"},
		{"absent object", []string{"get", "teams/absent"}, exitInvalid, "no object"},
		{"unknown failure domain", []string{"domain", "take-out", "absent"}, exitInvalid, "no upstream"},
		{"unknown upstream", []string{"upstream", "drain", "a/b/c"}, exitInvalid, "no team"},
		{"malformed upstream name", []string{"upstream", "drain", "a"}, exitUsage, "TEAM/SERVICE/UPSTREAM"},
		{"another team's upstream", []string{"upstream", "drain", "--team", "t", "a/b/c"}, exitInvalid, "allows only"},
		{"platform down", []string{"--platform", "http://127.0.0.1:1", "--timeout", "10ms", "get", "k"}, exitUnavailable, "unreachable"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, _, errOut := newFakePlatform(t).runCommand(t, test.args...)
			require.Equal(t, int(test.want), got, errOut)
			require.Contains(t, errOut, test.text)
		})
	}
}

// Guards against an apply that changes another team's object, that writes although
// nothing differs, or that restarts the version numbers after a deletion.
func TestApply(t *testing.T) {
	f := newFakePlatform(t)
	f.addInstance(t, "i1", 0)
	f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	out := f.mustRun(t, "apply", "--team", "barrierline", "-f", exampleFile("barrierline"), "--wait")
	require.Contains(t, out, "accepted as version 1 (revision 2")
	require.Contains(t, out, "in force on 1 instances")
	require.Contains(t, f.mustRun(t, "apply", "--team", "barrierline", exampleFile("barrierline")), "unchanged at version 1")
	require.Contains(t, f.mustRun(t, "diff", "--exit-code", "-f", exampleFile("barrierline")), "differences: 0")
	require.Equal(t, uint64(1), f.objects["teams/trentside"].GetVersion())

	f.mustRun(t, "apply", "--team", "barrierline", "--delete")
	require.True(t, f.objects["teams/barrierline"].GetDeleted())
	require.Contains(t, f.mustRun(t, "apply", "--team", "barrierline", "--delete"), "unchanged at version 2")
	f.mustRun(t, "apply", "--team", "barrierline", "-f", exampleFile("barrierline"))
	require.Equal(t, uint64(3), f.objects["teams/barrierline"].GetVersion())
	require.Contains(t, f.mustRun(t, "get", "teams/barrierline"), "version 3")
	require.Contains(t, f.mustRun(t, "get"), "teams/trentside")
}

// Guards against an apply that fails, or writes a second time, when its write has
// taken effect but the platform's answer is lost.
func TestApplyResolvesLostAnswer(t *testing.T) {
	f := newFakePlatform(t)
	f.losePutAnswer = true
	require.Contains(t, f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside")), "version 1 ")
	require.Equal(t, uint64(1), f.revision)
}

// drainAnotherUpstream returns a beforePut function that stores a version of the team
// in which a second upstream is draining, as another operator would.
func drainAnotherUpstream(t *testing.T) func(f *fakePlatform, r *pb.PutRequest) {
	return func(f *fakePlatform, r *pb.PutRequest) {
		team, err := declare.Decode("other", f.objects[r.GetKey()].GetValue())
		require.NoError(t, err)
		team.Services[0].Upstreams[1].Draining = true
		value, err := declare.Encode(team)
		require.NoError(t, err)
		_, err = f.storeObject(&pb.PutRequest{Key: r.GetKey(), Value: value, ExpectedVersion: r.GetExpectedVersion(), ChangeId: "other"})
		require.NoError(t, err)
	}
}

// Guards against an operator's change that overwrites another operator's without
// notice. The other change is stored between the read and the write of the command.
func TestConflictShowsBothSides(t *testing.T) {
	f := newFakePlatform(t)
	f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	f.beforePut = drainAnotherUpstream(t)
	code, _, errOut := f.runCommand(t, "upstream", "drain", "trentside/notice-feed/notice-feed-01")
	require.Equal(t, int(exitConflict), code)
	require.Contains(t, errOut, "your change:\n  ~ notice-feed/notice-feed-01.draining: false -> true\n")
	require.Contains(t, errOut, "the other change:\n  ~ documents/documents-02.draining: false -> true\n")
	require.Equal(t, "other", f.objects["teams/trentside"].GetChangeId())

	code, out, _ := f.runCommand(t, "-o", "json", "apply", "--team", "trentside", "--expect-version", "1", "-f", exampleFile("trentside"))
	require.Equal(t, int(exitConflict), code)
	var result struct {
		Error errorDescription `json:"error"`
	}
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, "conflict", result.Error.Kind)
	require.Len(t, result.Error.Yours, 1)
	require.Equal(t, uint64(2), f.revision)
}

// Guards against two teams that declare the same address: one after the other, which
// the check before the write finds, and at the same time, which only the check after
// the write finds.
func TestAddressConflict(t *testing.T) {
	data, err := os.ReadFile(exampleFile("trentside"))
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "other.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(data), `"trentside"`, `"other"`, 1)), 0o600))
	f := newFakePlatform(t)
	f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	for _, command := range [][]string{{"apply", "--team", "other"}, {"diff"}, {"validate", exampleFile("trentside")}} {
		code, _, errOut := f.runCommand(t, append(command, "-f", file)...)
		require.Equal(t, int(exitConflict), code)
		require.Contains(t, errOut, "already used by service ")
	}

	g := newFakePlatform(t)
	g.beforePut = func(g *fakePlatform, _ *pb.PutRequest) {
		_, err := g.storeObject(&pb.PutRequest{Key: "teams/trentside", Value: f.objects["teams/trentside"].GetValue()})
		require.NoError(t, err)
	}
	code, out, errOut := g.runCommand(t, "apply", "--team", "other", "-f", file)
	require.Equal(t, int(exitConflict), code)
	require.Contains(t, out, "accepted")
	require.Contains(t, errOut, "at the same time")
}

// Guards against taking out the last failure domain in service, and against a
// conflict when another operator has made the same change at the same time.
func TestDomain(t *testing.T) {
	f := newFakePlatform(t)
	f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	for _, domain := range []string{"a", "b", "c"} {
		f.mustRun(t, "domain", "take-out", "trentside-"+domain)
	}
	require.Contains(t, f.mustRun(t, "domain", "take-out", "trentside-a"), "unchanged")
	code, _, errOut := f.runCommand(t, "domain", "take-out", "trentside-d")
	require.Equal(t, int(exitInvalid), code)
	require.Contains(t, errOut, "last one")
	f.beforePut = func(f *fakePlatform, r *pb.PutRequest) {
		_, err := f.storeObject(&pb.PutRequest{Key: r.GetKey(), Value: r.GetValue(), ExpectedVersion: r.GetExpectedVersion(), ChangeId: "other"})
		require.NoError(t, err)
	}
	require.Contains(t, f.mustRun(t, "domain", "bring-back", "trentside-a"), "unchanged at version 2")
	require.Contains(t, f.mustRun(t, "get", "domains/trentside-a"), `"out": false`)
}

// Guards against two holders of a lease slot: an instance is stated to be gone while
// it still answers, and others take over slots that it still acts for.
func TestForget(t *testing.T) {
	f := newFakePlatform(t)
	f.addInstance(t, "i1", 0)
	f.listInstance("i2", "127.0.0.1:1")
	code, _, errOut := f.runCommand(t, "instance", "forget", "i1")
	require.Equal(t, int(exitInvalid), code)
	require.Contains(t, errOut, "still answers")
	f.mustRun(t, "instance", "forget", "i2", "--wait")
	require.False(t, f.objects["forgotten/i2"].GetDeleted())
	f.mustRun(t, "instance", "forget", "--undo", "i2")
	require.True(t, f.objects["forgotten/i2"].GetDeleted())
}

// Guards against a status, or a wait, that succeeds although one instance does not
// answer and another one has an older revision in force.
func TestStatusAndWaitNameUnconfirmedInstances(t *testing.T) {
	f := newFakePlatform(t)
	f.addInstance(t, "current", 0)
	f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	f.mustRun(t, "status")
	f.addInstance(t, "behind", 1)
	f.listInstance("silent", "127.0.0.1:1")
	code, out, errOut := f.runCommand(t, "status")
	require.Equal(t, int(exitUnconfirmed), code)
	require.Contains(t, errOut, "2 instances have not confirmed revision 1: [behind silent]")
	require.Contains(t, out, "no answer")
	_, out, _ = f.runCommand(t, "-o", "json", "status")
	var status fleetStatus
	require.NoError(t, json.Unmarshal([]byte(out), &status), "one JSON object")
	require.Contains(t, out, `"error": {`)
	require.Equal(t, []string{"silent"}, status.Silent)
	require.Equal(t, []objectState{{Key: "teams/trentside", Version: 1, Behind: []string{"behind"}}}, status.Objects)
	require.Equal(t, []domainState{{Name: "a", UnreachableFrom: []string{"behind"}}}, status.Domains)
	require.Equal(t, []upstreamState{{Name: "t/s/u", State: "warm", Load: 3, AgeMS: 100}}, status.Upstreams)
	require.Equal(t, uint32(64), status.SlotsHeld)

	code, _, errOut = f.runCommand(t, "domain", "take-out", "trentside-a", "--wait", "--wait-timeout", "2s")
	require.Equal(t, int(exitUnconfirmed), code)
	require.Contains(t, errOut, "revision 2: [behind silent]")
}

// Guards against one invalid stored declaration, written by other means than the
// command line, that stops all teams from changing theirs or its own team from
// replacing it.
func TestInvalidStoredDeclaration(t *testing.T) {
	f := newFakePlatform(t)
	for _, key := range []string{"teams/broken", "teams/trentside"} {
		_, err := f.storeObject(&pb.PutRequest{Key: key, Value: []byte(`{"name": 1}`)})
		require.NoError(t, err)
	}
	code, _, errOut := f.runCommand(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	require.Zero(t, code, errOut)
	require.Contains(t, errOut, "warning: the stored declaration is not valid and is left out: teams/broken:1:10: name")
	code, _, _ = f.runCommand(t, "upstream", "drain", "broken/s/u")
	require.Equal(t, int(exitInvalid), code)
}

// Guards against completion without names, and against output other than names when
// the platform is unreachable, which the shell would offer as completions.
func TestCompletion(t *testing.T) {
	f := newFakePlatform(t)
	f.listInstance("i1", "127.0.0.1:1")
	f.mustRun(t, "apply", "--team", "trentside", "-f", exampleFile("trentside"))
	for want, args := range map[string][]string{
		"take-out":                           {"domain"},
		"trentside-c\n":                      {"domain", "take-out"},
		"trentside/documents/documents-03\n": {"upstream", "drain"},
		"i1\n":                               {"instance", "forget"},
		"--wait-timeout":                     {"instance", "forget", "--w"},
	} {
		require.Contains(t, f.mustRun(t, append(args, "--generate-shell-completion")...), want)
	}
	_, out, _ := f.runCommand(t, "--platform", "http://127.0.0.1:1", "domain", "take-out", "--generate-shell-completion")
	require.Empty(t, out)
}

// Guards against a status that fails without the platform although the address of an
// instance is given by --admin.
func TestStatusWithoutPlatform(t *testing.T) {
	f := newFakePlatform(t)
	admin := f.addInstance(t, "i1", 0).GetAdminAddress()
	code, out, errOut := f.runCommand(t, "--platform", "http://127.0.0.1:1", "status", "--admin", admin)
	require.Zero(t, code, errOut)
	require.Contains(t, out, "platform: ")
	require.Contains(t, out, "i1")
}

// Guards against an unreachable instance that counts as missing although another one
// reports its confirmation, and against a member that is left out because it joined
// after the list was read.
func TestConfirmationsUseReportsOfMembers(t *testing.T) {
	f := &fleet{forgotten: map[string]bool{"forgotten": true}}
	confirmed, missing := f.confirmations([]*instanceReport{
		{Name: "cut-off"},
		{Name: "a", Status: &pb.StatusResponse{Revision: 5, Members: []*pb.MemberDigest{
			{Name: "cut-off", Revision: 5}, {Name: "joined", Revision: 4}, {Name: "forgotten", Revision: 1}}}},
	}, 5)
	require.Equal(t, []string{"a", "cut-off"}, confirmed)
	require.Equal(t, []string{"joined"}, missing)
}

// Guards against docs/cli.md lacking a command, an option, an exit code or a key of a
// declaration that was added to the code.
func TestPageIsComplete(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "cli.md"))
	require.NoError(t, err)
	requireInPage := func(text string) {
		require.True(t, strings.Contains(string(page), text), "%q is not in docs/cli.md", text)
	}
	var checkCommand func(path string, c *cli.Command)
	checkCommand = func(path string, c *cli.Command) {
		requireInPage("`" + strings.TrimSpace(path))
		for _, flag := range c.Flags {
			requireInPage("--" + flag.Names()[0])
		}
		for _, sub := range c.Commands {
			checkCommand(path+sub.Name+" ", sub)
		}
	}
	checkCommand("", newRoot())
	for c := exitOK; c <= exitDifferent; c++ {
		requireInPage(fmt.Sprintf("\n| %d | %s |", c, c))
	}
	var checkKeys func(prefix string, typ reflect.Type)
	checkKeys = func(prefix string, typ reflect.Type) {
		for i := range typ.NumField() {
			field := typ.Field(i)
			path := prefix + document.FieldKey(field)
			switch {
			case field.Type.Kind() == reflect.Slice:
				checkKeys(path+"[].", field.Type.Elem())
			case field.Type.Kind() == reflect.Struct && field.Type != reflect.TypeFor[netip.AddrPort]():
				checkKeys(path+".", field.Type)
			default:
				requireInPage("\n| `" + path + "` |")
			}
		}
	}
	checkKeys("", reflect.TypeFor[declare.Team]())
}

// Guards against panics and invalid JSON when a stored value does not have the type
// that its key stands for.
func FuzzValueJSON(f *testing.F) {
	f.Add("teams/a", []byte(`{"name": "a"}`))
	f.Add("slots", []byte{0x0a, 0x02, 0x08, 0x01})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		data, err := valueJSON(&pb.Object{Key: key, Value: value})
		if err == nil {
			require.True(t, json.Valid(data), "%q", data)
		}
	})
}
