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

// declaration writes a file that declares a team.
func declaration(t *testing.T, team, services string) string {
	file := filepath.Join(t.TempDir(), team+".jsonc")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{"name": %q, "services": [%s]}`, team, services), 0o600))
	return file
}

// age moves the releases of a team into the past.
func (f *fakePlatform) age(t *testing.T, team string, by time.Duration) {
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
	_, err = f.store(&pb.PutRequest{Key: key, Value: value, ExpectedVersion: f.objects[key].GetVersion()})
	require.NoError(t, err)
}

// Guards against packets of one service that reach an upstream, or callers, of
// another one because the address was given to it too early.
func TestReuse(t *testing.T) {
	upstreamB := `{"name": "b", "address": "10.0.0.2:1"` + fmt.Sprintf(upstreams, 1) + `}`
	serviceB := `{"name": "b", "address": "10.0.0.1:1"}`
	tests := []struct {
		name, services string
		setup          func(t *testing.T, f *fakePlatform)
		want           code
		text           string
	}{
		{"all confirmed", upstreamB, func(t *testing.T, f *fakePlatform) { f.addInstance(t, "i1", 0) }, exitOK, ""},
		{"instance behind", upstreamB, func(t *testing.T, f *fakePlatform) { f.addInstance(t, "i1", 1) }, exitUnconfirmed,
			"10.0.1.1:1 of upstream other/b/u, released by upstream t/a/u at revision 2: 1 instances have not reported revision 2: [i1]"},
		{"silent instance", upstreamB, func(_ *testing.T, f *fakePlatform) { f.list("i1", "127.0.0.1:1") }, exitUnconfirmed, "[i1]"},
		{"silent instance heard of", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.list("i1", "127.0.0.1:1")
			f.serveInstance(t, &fakeInstance{platform: f, name: "i2", members: []*pb.MemberDigest{{Name: "i1", Revision: 9}}})
		}, exitUnconfirmed, "[i1]"},
		{"unlisted member behind", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.serveInstance(t, &fakeInstance{platform: f, name: "i1", members: []*pb.MemberDigest{{Name: "i2", Revision: 1}}})
		}, exitUnconfirmed, "[i2]"},
		{"forgotten instance", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.list("i1", "127.0.0.1:1")
			f.serveInstance(t, &fakeInstance{platform: f, name: "i2", members: []*pb.MemberDigest{{Name: "i1", Revision: 1}}})
			f.ok(t, "instance", "forget", "i1")
		}, exitOK, ""},
		{"table of another service", upstreamB, func(t *testing.T, f *fakePlatform) { f.storeTable(t, "t/a", "", "10.0.1.1:1") },
			exitUnconfirmed, "still named by [tables/t/a]"},
		{"own table", upstreamB, func(t *testing.T, f *fakePlatform) { f.storeTable(t, "other/b", "10.0.1.1:1") }, exitOK, ""},
		{"instance with an older table", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.storeTable(t, "t/a", "10.0.1.2:1")
			f.addInstance(t, "i1", 1)
		}, exitUnconfirmed, "have not reported revision 3: [i1]"},
		{"unreadable table", upstreamB, func(t *testing.T, f *fakePlatform) {
			_, err := f.store(&pb.PutRequest{Key: "tables/t/a", Value: []byte{0xff}})
			require.NoError(t, err)
		}, exitFailure, "tables/t/a"},
		{"idle timeout", serviceB, nil, exitUnconfirmed, "idle timeout of the old service ends at"},
		{"after the idle timeout", serviceB, func(t *testing.T, f *fakePlatform) { f.age(t, "t", time.Minute) }, exitOK, ""},
		{"after the retention", upstreamB, func(t *testing.T, f *fakePlatform) {
			f.age(t, "t", 25*time.Hour)
			f.addInstance(t, "i1", 2)
		}, exitOK, ""},
	}
	for _, test := range tests {
		for _, removal := range []string{"changed", "deleted"} {
			t.Run(test.name+"/"+removal, func(t *testing.T) {
				f := newFake(t)
				f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, fmt.Sprintf(upstreams, 1))))
				if removal == "deleted" {
					f.ok(t, "apply", "--team", "t", "--delete")
				} else {
					f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", ""))
				}
				if test.setup != nil {
					test.setup(t, f)
				}
				file := declaration(t, "other", test.services)
				got, _, errOut := f.chivemast(t, "apply", "--team", "other", "-f", file)
				require.Equal(t, int(test.want), got, errOut)
				require.Contains(t, errOut, test.text)
				require.Equal(t, test.want == exitOK, f.objects["teams/other"] != nil, "refused before writing")
				if test.want == exitOK {
					f.list("late", "127.0.0.1:1")
					f.ok(t, "apply", "--team", "other", "-f", file)
				}
			})
		}
	}
}

// Guards against a move that instances adopt at different times, and against
// an upstream that cannot be renamed or return within its service.
func TestMoveWithinOneApply(t *testing.T) {
	f := newFake(t)
	withUpstream := fmt.Sprintf(serviceA, fmt.Sprintf(upstreams, 1))
	f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", withUpstream))
	moved := fmt.Sprintf(serviceA, "") + `, {"name": "b", "address": "10.0.0.2:1"` + fmt.Sprintf(upstreams, 1) + `}`
	code, _, errOut := f.chivemast(t, "apply", "--team", "t", "-f", declaration(t, "t", moved))
	require.Equal(t, int(exitInvalid), code)
	require.Contains(t, errOut, "10.0.1.1:1 moves from upstream t/a/u to upstream t/b/u in one change; remove it")
	require.Equal(t, uint64(1), f.revision)

	f.list("silent", "127.0.0.1:1")
	f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, "")))
	code, _, errOut = f.chivemast(t, "apply", "--team", "t", "--admin", "127.0.0.1:2", "-f", declaration(t, "t", moved))
	require.Equal(t, int(exitUnconfirmed), code, errOut)
	require.Contains(t, errOut, "[127.0.0.1:2 silent]")
	f.rejectList = true
	admin := f.addInstance(t, "i1", 0).GetAdminAddress()
	code, _, _ = f.chivemast(t, "apply", "--team", "t", "--admin", admin, "-f", declaration(t, "t", moved))
	require.Equal(t, int(exitFailure), code, "--admin does not stand for the list")
	f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", withUpstream))
}

// Guards against a --wait that gives up at the first refusal, or that
// overwrites a change made during the wait.
func TestWaitForReuse(t *testing.T) {
	for _, raced := range []bool{false, true} {
		f := newFake(t)
		f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, fmt.Sprintf(upstreams, 1))))
		f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", ""))
		f.serveInstance(t, &fakeInstance{platform: f, name: "i1", lag: 2, onStatus: func(i *fakeInstance) {
			i.lag = max(i.lag, 1) - 1
			if raced {
				f.objects["teams/other"] = &pb.Object{Key: "teams/other", Version: 1, Deleted: true}
			}
		}})
		code, _, errOut := f.chivemast(t, "apply", "--team", "other", "--wait", "-f",
			declaration(t, "other", `{"name": "b", "address": "10.0.0.2:1"`+fmt.Sprintf(upstreams, 1)+`}`))
		require.Equal(t, map[bool]int{false: int(exitOK), true: int(exitConflict)}[raced], code, errOut)
	}
}

// Guards against a deletion that loses the released addresses unseen.
func TestTombstoneWithoutReleases(t *testing.T) {
	f := newFake(t)
	f.dropTombstoneValues = true
	f.ok(t, "apply", "--team", "t", "-f", declaration(t, "t", fmt.Sprintf(serviceA, "")))
	code, _, errOut := f.chivemast(t, "apply", "--team", "t", "--delete")
	require.Zero(t, code)
	require.Contains(t, errOut, "did not keep the released addresses")
}
