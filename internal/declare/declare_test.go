package declare

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chivemast/chivemast/internal/document"
)

// example parses a declaration of the examples folder.
func example(t testing.TB, name string) *Team {
	file := filepath.Join("..", "..", "examples", name+".jsonc")
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	team, err := Parse(file, data)
	require.NoError(t, err)
	return team
}

// Guards against example files that do not have the two organisations' numbers of
// upstreams and failure domains, or that use an address twice.
func TestExamples(t *testing.T) {
	first, second := example(t, "barrierline"), example(t, "trentside")
	require.Empty(t, Conflicts(first, second))
	for _, team := range []*Team{first, second} {
		sizes, domains := []int{}, map[string]bool{}
		for _, service := range team.Services {
			sizes = append(sizes, len(service.Upstreams))
			for _, upstream := range service.Upstreams {
				domains[upstream.FailureDomain] = true
			}
		}
		require.ElementsMatch(t, []int{14, 4}, sizes)
		require.Len(t, domains, 4)
	}
}

func teamWith(service string) string {
	return `{"name": "t", "services": [{"name": "s", "address": "127.0.0.1:1", ` + service + `}]}`
}

func upstream(name, address, rest string) string {
	return fmt.Sprintf(`{"name": %q, "address": %q, "failure_domain": "a"%s}`, name, address, rest)
}

// Guards against accepting declarations that instances cannot serve, and against
// errors that do not name the path and kind of the fault.
func TestParseRejects(t *testing.T) {
	tests := []struct {
		name, input, path string
		kind              document.Kind
	}{
		{"missing team name", `{}`, "name", document.Missing},
		{"team name with slash", `{"name": "a/b"}`, "name", document.OutOfRange},
		{"missing service address", `{"name": "t", "services": [{"name": "s"}]}`, "services[0].address", document.Missing},
		{"idle timeout above maximum", teamWith(`"idle_timeout_seconds": 86401`), "services[0].idle_timeout_seconds", document.OutOfRange},
		{"explicit zero instead of default", teamWith(`"idle_timeout_seconds": 0`), "services[0].idle_timeout_seconds", document.OutOfRange},
		{"request timeout above maximum", teamWith(`"max_request_timeout_ms": 5001`), "services[0].max_request_timeout_ms", document.OutOfRange},
		{"ramp", teamWith(`"cold_start": {"ramp_seconds": 0}`), "services[0].cold_start.ramp_seconds", document.OutOfRange},
		{"limit", teamWith(`"limits": {"requests_per_second": -1}`), "services[0].limits.requests_per_second", document.OutOfRange},
		{"weight", teamWith(`"upstreams": [` + upstream("u", "127.0.0.2:1", `, "weight": 1001`) + `]`), "services[0].upstreams[0].weight", document.OutOfRange},
		{"unspecified address", teamWith(`"upstreams": [` + upstream("u", "0.0.0.0:1", "") + `]`), "services[0].upstreams[0].address", document.OutOfRange},
		{"address with zone", teamWith(`"upstreams": [` + upstream("u", "[fe80::1%eth0]:1", "") + `]`), "services[0].upstreams[0].address", document.OutOfRange},
		{"upstream with address of its service", teamWith(`"upstreams": [` + upstream("u", "127.0.0.1:1", "") + `]`), "services[0].upstreams[0].address", document.Duplicate},
		{"duplicate upstream name", teamWith(`"upstreams": [` + upstream("u", "127.0.0.2:1", "") + "," + upstream("u", "127.0.0.3:1", "") + `]`), "services[0].upstreams[1].name", document.Duplicate},
		{"unknown key", teamWith(`"weigth": 1`), "services[0].weigth", document.UnknownKey},
		{"duplicate service name", strings.Replace(teamWith(`"upstreams": []`), "]}]", `]}, {"name": "s", "address": "127.0.0.9:1"}]`, 1), "services[1].name", document.Duplicate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("file", []byte(test.input))
			var target *Error
			require.ErrorAs(t, err, &target)
			require.Equal(t, test.path, target.Path, "%v", err)
			require.Equal(t, test.kind, target.Kind, "%v", err)
		})
	}
}

// Guards against merging files that declare different teams, the same service twice
// or the same address twice.
func TestParseFilesMergesOneTeam(t *testing.T) {
	first := File{"one", []byte(`{"name": "t", "services": [{"name": "b", "address": "127.0.0.1:1"}]}`)}
	second := File{"two", []byte(`{"name": "t", "services": [{"name": "a", "address": "127.0.0.2:1"}]}`)}
	team, err := ParseFiles([]File{first, second})
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, []string{team.Services[0].Name, team.Services[1].Name})
	for _, other := range []string{
		`{"name": "other"}`,
		`{"name": "t", "services": [{"name": "b", "address": "127.0.0.3:1"}]}`,
		`{"name": "t", "services": [{"name": "c", "address": "127.0.0.1:1"}]}`,
	} {
		_, err := ParseFiles([]File{first, {"three", []byte(other)}})
		var target *Error
		require.ErrorAs(t, err, &target)
		require.Equal(t, "three", target.Source)
		require.Equal(t, document.Duplicate, target.Kind)
	}
}

// Guards against an address that two teams declare, as IPv4 and in its IPv6-mapped
// form, and that is not reported as a conflict.
func TestConflictsBetweenTeams(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	mapped := netip.MustParseAddrPort("[::ffff:127.0.0.1]:1")
	a := &Team{Name: "a", Services: []Service{{Name: "s", Address: address}}}
	b := &Team{Name: "b", Services: []Service{{Name: "s", Address: netip.MustParseAddrPort("127.0.0.2:1"),
		Upstreams: []Upstream{{Name: "u", Address: mapped}}}}}
	conflicts := Conflicts(a, b)
	require.Len(t, conflicts, 1)
	require.Equal(t, "address 127.0.0.1:1 of upstream b/s/u is already used by service a/s", conflicts[0].Error())
}

// Guards against a diff that does not list a change, or lists one between equal
// teams.
func TestDiff(t *testing.T) {
	before := example(t, "barrierline")
	after := before.Clone()
	require.Empty(t, Diff(before, after))
	after.Services[0].Upstreams[0].Draining = true
	after.Services[0].ColdStart.RampSeconds = 40
	removed := after.Services[1].Upstreams[3]
	after.Services[1].Upstreams = after.Services[1].Upstreams[:3]
	changes := Diff(before, after)
	var lines []string
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	require.Equal(t, []string{
		"~ dispatch.cold_start.ramp_seconds: 30 -> 40",
		"~ dispatch/dispatch-01.draining: false -> true",
		"- photo-evidence/photo-evidence-04: " + removed.Address.String() + " in barrierline-d, weight 100",
	}, lines)
	require.Equal(t, "127.10.0.1:7101", Diff(nil, before)[0].New)
}

// Guards against encodings that lose a value, and against different encodings of
// equal teams, because of which an unchanged file would be written again.
func TestEncodingIsCanonical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		team := &Team{Name: "t"}
		port := uint16(0)
		address := func() netip.AddrPort {
			port++
			return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "services") {
			service := Service{Name: fmt.Sprintf("s%d", i), Address: address(),
				IdleTimeoutSeconds: rapid.SampledFrom([]int{0, 1, 300}).Draw(t, "idle"),
				ColdStart:          ColdStart{RampSeconds: rapid.SampledFrom([]int{0, 1, 30}).Draw(t, "ramp")},
				Limits:             Limits{ConcurrentRequests: rapid.IntRange(0, 3).Draw(t, "limit")}}
			for j := range rapid.IntRange(0, 4).Draw(t, "upstreams") {
				service.Upstreams = append(service.Upstreams, Upstream{Name: fmt.Sprintf("u%d", j), Address: address(),
					FailureDomain: "a", Weight: rapid.SampledFrom([]int{0, 1, 100}).Draw(t, "weight"),
					Draining: rapid.Bool().Draw(t, "draining")})
			}
			team.Services = append(team.Services, service)
		}
		value, err := Encode(team)
		require.NoError(t, err)
		shuffled := team.Clone()
		shuffled.Services = rapid.Permutation(shuffled.Services).Draw(t, "order")
		encodedShuffled, err := Encode(shuffled)
		require.NoError(t, err)
		require.Equal(t, string(value), string(encodedShuffled))
		decoded, err := Decode("teams/t", value)
		require.NoError(t, err)
		require.Empty(t, Diff(team, decoded))
		team.Normalize()
		require.Equal(t, team, decoded)
	})
}

// Guards against panics on arbitrary input, and against accepted declarations that
// cannot be encoded and decoded again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(teamWith(`"upstreams": [` + upstream("u", "127.0.0.2:1", "") + `]`)))
	f.Fuzz(func(t *testing.T, data []byte) {
		team, err := Parse("file", data)
		if err != nil {
			var target *Error
			require.ErrorAs(t, err, &target)
			return
		}
		value, err := Encode(team)
		require.NoError(t, err)
		decoded, err := Decode("file", value)
		require.NoError(t, err)
		require.Equal(t, team, decoded)
		require.Empty(t, Conflicts(team))
	})
}

// Guards against a list of released addresses that loses an entry, never drops it
// or changes its revision, and against operators' files that contain the list.
func TestReleased(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	stored, err := Parse("t", []byte(teamWith(`"upstreams": [`+upstream("u", "127.0.0.2:1", "")+`]`)))
	require.NoError(t, err)
	after := stored.Clone()
	after.Services[0].Upstreams = nil
	after.Released = Released(stored, 7, after, now)
	want := Release{Address: netip.MustParseAddrPort("127.0.0.2:1"), Service: "s", Upstream: "u",
		ReleasedAtMS: now.UnixMilli(), IdleTimeoutSeconds: 300}
	require.Equal(t, []Release{want}, after.Released)

	data, err := Encode(after)
	require.NoError(t, err)
	decoded, err := Decode("t", data)
	require.NoError(t, err)
	require.Equal(t, after.Released, decoded.Released)
	_, err = Parse("file", data)
	require.ErrorContains(t, err, "released")

	want.Revision = 8
	next := Released(decoded, 8, decoded, now.Add(ReleaseRetention))
	require.Equal(t, []Release{want}, next)
	decoded.Released = next
	require.Equal(t, next, Released(decoded, 9, decoded, now), "the revision must not change")
	require.Empty(t, Released(decoded, 9, decoded, now.Add(ReleaseRetention+time.Millisecond)), "expired")
	require.Empty(t, Released(decoded, 9, stored, now), "an address in use again must be dropped")
	require.Len(t, Released(decoded, 9, &Team{Name: "t"}, now), 2, "deleted")
}
