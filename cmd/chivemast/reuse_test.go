package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/chivemast/chivemast/gen/chivemast/v1"
	"github.com/chivemast/chivemast/internal/codec"
	"github.com/chivemast/chivemast/internal/declare"
)

const (
	serviceA  = `{"name": "a", "address": "10.0.0.1:1", "idle_timeout_seconds": 60%s}`
	upstreams = `, "upstreams": [{"name": "u", "address": "10.0.1.%d:1", "failure_domain": "d"}]`
)

// declaration writes a file that declares a team with the given services, and
// returns its path.
func declaration(t *testing.T, team, services string) string {
	file := filepath.Join(t.TempDir(), team+".jsonc")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{"name": %q, "services": [%s]}`, team, services), 0o600))
	return file
}

// backdateReleases moves the releases of a team into the past.
func (f *fakePlatform) backdateReleases(t *testing.T, team string, by time.Duration) {
	object := f.objects[declare.Key(team)]
	decoded, err := declare.Decode(object.GetKey(), object.GetValue())
	require.NoError(t, err)
	for i := range decoded.Released {
		decoded.Released[i].ReleasedAtMS -= by.Milliseconds()
	}
	object.Value, err = declare.Encode(decoded)
	require.NoError(t, err)
}

func (f *fakePlatform) storeTable(t *testing.T, service string, addresses ...string) {
	value, err := codec.Encode(&pb.ServiceTable{Service: service, Addresses: addresses})
	require.NoError(t, err)
	key := tablePrefix + service
	_, err = f.storeObject(&pb.PutRequest{Key: key, Value: value, ExpectedVersion: f.objects[key].GetVersion()})
	require.NoError(t, err)
}

// Guards against packets of one service that reach the upstreams or callers of
// another one. This happens if an address is declared for the new service while
// instances, tables or open flows still use it for the old one.
func TestReuse(t *testing.T) {
	upstreamB := `{"name": "b", "address": "10.0.0.2:1"` + fmt.Sprintf(upstreams, 1) + `}`
	serviceB := `{"name": "b", "address": "10.0.0.1:1"}`
	tests := []struct {
		name, services string
		setup          func(t *testing.T, f *fakePlatform)
		want           exitCode
		text           string
	}{
		{"all confirmed", upstreamB, func(t *testing.T, f *fakePlatform) { f.addInstance(t, "i1", 0) }, exitOK, ""},
		{"instance behind", upstreamB, func(t *testing.T, f *fakePlatform) { f.addInstance(t, "i1", 1) }, exitUnconfirmed,
			"10.0.1.1:1 of upstream other/b/u, released by upstream t/a/u at revision 2: 1 instances have not reported revision 2: [i1]"},
		{"listed instance does not answer", upstreamB, func(_ *testing.T, f *fakePlatform) { f.listInstance("i1", "127.0.0.1:1") }, exitUnconfirmed, "[i1]"},
		{"unanswering instance reported by a member", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.listInstance("i1", "127.0.0.1:1")
			f.serveInstance(t, &fakeInstance{platform: f, name: "i2", members: []*pb.MemberDigest{{Name: "i1", Revision: 9}}})
		}, exitUnconfirmed, "[i1]"},
		{"unlisted member behind", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.serveInstance(t, &fakeInstance{platform: f, name: "i1", members: []*pb.MemberDigest{{Name: "i2", Revision: 1}}})
		}, exitUnconfirmed, "[i2]"},
		{"forgotten instance", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.listInstance("i1", "127.0.0.1:1")
			f.serveInstance(t, &fakeInstance{platform: f, name: "i2", members: []*pb.MemberDigest{{Name: "i1", Revision: 1}}})
			f.mustRun(t, "instance", "forget", "i1")
		}, exitOK, ""},
		{"table of another service", upstreamB, func(t *testing.T, f *fakePlatform) { f.storeTable(t, "t/a", "", "10.0.1.1:1") },
			exitUnconfirmed, "still named by [tables/t/a]"},
		{"own table", upstreamB, func(t *testing.T, f *fakePlatform) { f.storeTable(t, "other/b", "10.0.1.1:1") }, exitOK, ""},
		{"instance with an older table", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.storeTable(t, "t/a", "10.0.1.2:1")
			f.addInstance(t, "i1", 1)
		}, exitUnconfirmed, "have not reported revision 3: [i1]"},
		{"unreadable table", upstreamB, func(t *testing.T, f *fakePlatform) {
			_, err := f.storeObject(&pb.PutRequest{Key: "tables/t/a", Value: []byte{0xff}})
			require.NoError(t, err)
		}, exitFailure, "tables/t/a"},
		{"idle timeout", serviceB, nil, exitUnconfirmed, "idle timeout of the old service ends at"},
		{"after the idle timeout", serviceB, func(t *testing.T, f *fakePlatform) { f.backdateReleases(t, "t", time.Minute) }, exitOK, ""},
		{"after the retention", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.backdateReleases(t, "t", 25*time.Hour)
			f.addInstance(t, "i1", 2)
		}, exitOK, ""},
	}
	for _, test := range tests {
		for _, removal := range []string{"changed", "deleted"} {
			t.Run(test.name+"/"+removal, func(t *testing.T) {
				f := newFakePlatform(t)
				f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, fmt.Sprintf(upstreams, 1))))
				if removal == "deleted" {
					f.mustRun(t, "apply", "--team", "t", "--delete")
				} else {
					f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", ""))
				}
				if test.setup != nil {
					test.setup(t, f)
				}
				file := declaration(t, "other", test.services)
				got, _, errOut := f.runCommand(t, "apply", "--team", "other", "-f", file)
				require.Equal(t, int(test.want), got, errOut)
				require.Contains(t, errOut, test.text)
				require.Equal(t, test.want == exitOK, f.objects["teams/other"] != nil, "refused before writing")
				if test.want == exitOK {
					f.listInstance("late", "127.0.0.1:1")
					f.mustRun(t, "apply", "--team", "other", "-f", file)
				}
			})
		}
	}
}

// Guards against an address that moves between services in one change, which
// instances would adopt at different times, and against a refusal when an upstream
// returns to the service that released its address.
func TestMoveWithinOneApply(t *testing.T) {
	f := newFakePlatform(t)
	withUpstream := fmt.Sprintf(serviceA, fmt.Sprintf(upstreams, 1))
	f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", withUpstream))
	moved := fmt.Sprintf(serviceA, "") + `, {"name": "b", "address": "10.0.0.2:1"` + fmt.Sprintf(upstreams, 1) + `}`
	code, _, errOut := f.runCommand(t, "apply", "--team", "t", "-f", declaration(t, "t", moved))
	require.Equal(t, int(exitInvalid), code)
	require.Contains(t, errOut, "10.0.1.1:1 moves from upstream t/a/u to upstream t/b/u in one change; remove it")
	require.Equal(t, uint64(1), f.revision)

	f.listInstance("silent", "127.0.0.1:1")
	f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, "")))
	code, _, errOut = f.runCommand(t, "apply", "--team", "t", "--admin", "127.0.0.1:2", "-f", declaration(t, "t", moved))
	require.Equal(t, int(exitUnconfirmed), code, errOut)
	require.Contains(t, errOut, "[127.0.0.1:2 silent]")
	f.rejectList = true
	admin := f.addInstance(t, "i1", 0).GetAdminAddress()
	code, _, _ = f.runCommand(t, "apply", "--team", "t", "--admin", admin, "-f", declaration(t, "t", moved))
	require.Equal(t, int(exitFailure), code, "--admin does not replace the list")
	f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", withUpstream))
}

// Guards against an apply --wait that fails at the first refusal of an address
// reuse, and against one that overwrites a change made by someone else while it
// waits for the instance to catch up.
func TestWaitForReuse(t *testing.T) {
	for _, otherWrite := range []bool{false, true} {
		f := newFakePlatform(t)
		f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, fmt.Sprintf(upstreams, 1))))
		f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", ""))
		f.serveInstance(t, &fakeInstance{platform: f, name: "i1", lag: 2, onStatus: func(i *fakeInstance) {
			i.lag = max(i.lag, 1) - 1
			if otherWrite {
				f.objects["teams/other"] = &pb.Object{Key: "teams/other", Version: 1, Deleted: true}
			}
		}})
		code, _, errOut := f.runCommand(t, "apply", "--team", "other", "--wait", "-f",
			declaration(t, "other", `{"name": "b", "address": "10.0.0.2:1"`+fmt.Sprintf(upstreams, 1)+`}`))
		require.Equal(t, map[bool]int{false: int(exitOK), true: int(exitConflict)}[otherWrite], code, errOut)
	}
}

// Guards against a deletion without a warning when the platform drops the value of
// the deleted object, and with it the list of released addresses.
func TestTombstoneWithoutReleases(t *testing.T) {
	f := newFakePlatform(t)
	f.dropTombstoneValues = true
	f.mustRun(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, "")))
	code, _, errOut := f.runCommand(t, "apply", "--team", "t", "--delete")
	require.Zero(t, code)
	require.Contains(t, errOut, "did not keep the released addresses")
}
