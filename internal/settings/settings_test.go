package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chivemast/chivemast/internal/document"
)

const requiredKeys = `"instance": "i1", "failure_domain": "a", "traffic_address": "127.0.0.1:1",
	"peer_address": "127.0.0.1:2", "admin_address": "0.0.0.0:3", "platform_url": "http://127.0.0.1:4"`

// Guards against accepting invalid settings, and against errors that do not name
// the file, the key and the allowed values.
func TestParseRejects(t *testing.T) {
	peer := func(name, address string) string {
		return fmt.Sprintf(`{"name": %q, "failure_domain": "a", "peer_address": %q}`, name, address)
	}
	tests := []struct {
		name, input string
		kind        document.Kind
		path        string
		allowed     string
	}{
		{"missing required key", `{}`, document.Missing, "instance", "lower-case"},
		{"name", `{"instance": "Upper"}`, document.OutOfRange, "instance", "lower-case"},
		{"address without IP", strings.Replace("{"+requiredKeys+"}", "127.0.0.1:1", ":1", 1), document.WrongType, "traffic_address", "ip:port"},
		{"unspecified address", strings.Replace("{"+requiredKeys+"}", "127.0.0.1:2", "0.0.0.0:2", 1), document.OutOfRange, "peer_address", "ip:port"},
		{"IPv6-mapped address", strings.Replace("{"+requiredKeys+"}", "127.0.0.1:2", "[::ffff:127.0.0.1]:2", 1), document.OutOfRange, "peer_address", "ip:port"},
		{"port", strings.Replace("{"+requiredKeys+"}", "127.0.0.1:2", "127.0.0.1:0", 1), document.OutOfRange, "peer_address", "1 to 65535"},
		{"peer address equal to traffic address", strings.Replace("{"+requiredKeys+"}", "127.0.0.1:2", "127.0.0.1:1", 1), document.Duplicate, "peer_address", "of its own"},
		{"URL", strings.Replace("{"+requiredKeys+"}", "http:", "ftp:", 1), document.OutOfRange, "platform_url", "http://"},
		{"level", "{" + requiredKeys + `, "log_level": "loud"}`, document.OutOfRange, "log_level", "error, warn, info, debug"},
		{"duplicate peer name", "{" + requiredKeys + `, "peers": [` + peer("p", "127.0.0.1:9") + "," + peer("p", "127.0.0.1:10") + "]}", document.Duplicate, "peers[1].name", "unique"},
		{"peer with address of this instance", "{" + requiredKeys + `, "peers": [` + peer("p", "127.0.0.1:2") + "]}", document.Duplicate, "peers[0]", "this instance"},
		{"limit", "{" + requiredKeys + `, "limits": {"lease_duration_ms": 999}}`, document.OutOfRange, "limits.lease_duration_ms", "1000 to 60000"},
		{"limit of zero", "{" + requiredKeys + `, "limits": {"heartbeat_peers": 0}}`, document.OutOfRange, "limits.heartbeat_peers", "2 to 64"},
		{"relation", "{" + requiredKeys + `, "limits": {"heartbeat_interval_ms": 2000}}`, document.OutOfRange, "limits.suspect_timeout_ms", "twice"},
		{"lease shorter than two heartbeat intervals", "{" + requiredKeys + `, "limits": {"heartbeat_interval_ms": 600, "lease_duration_ms": 1000}}`, document.OutOfRange, "limits.lease_duration_ms", "twice"},
		{"unknown limit", "{" + requiredKeys + `, "limits": {"lease_ms": 1}}`, document.UnknownKey, "limits.lease_ms", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("file.jsonc", []byte(test.input))
			var target *Error
			require.ErrorAs(t, err, &target)
			require.Equal(t, test.kind, target.Kind, "%v", err)
			require.Equal(t, test.path, target.Path)
			require.Contains(t, target.Allowed, test.allowed)
			require.Contains(t, err.Error(), "file.jsonc:")
		})
	}
}

// Guards against an example file that does not load, and against defaults that are
// not set.
func TestLoadExample(t *testing.T) {
	s, err := Load(filepath.Join("..", "..", "examples", "chivemastd.jsonc"))
	require.NoError(t, err)
	require.Len(t, s.OtherPeers(), 3)
	require.Equal(t, 6*time.Second, s.Limits.LeaseDurationMS.Duration())
	require.Equal(t, "info", s.Level().String())
	_, err = Load("absent.jsonc")
	var target *Error
	require.ErrorAs(t, err, &target)
	require.ErrorIs(t, err, os.ErrNotExist)
}

// pageRows returns, for every key, the beginning of the row that docs/settings.md
// must have.
func pageRows(t *testing.T, prefix string, typ reflect.Type) []string {
	var rows []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := prefix + document.FieldKey(field)
		switch {
		case field.Type == reflect.TypeFor[Limits]():
			rows = append(rows, pageRows(t, key+".", field.Type)...)
			continue
		case field.Type.Kind() == reflect.Slice:
			rows = append(rows, pageRows(t, key+"[].", field.Type.Elem())...)
		}
		row := fmt.Sprintf("| `%s` | ", key)
		if prefix == "limits." {
			numbers := map[string]int64{}
			for _, tag := range []string{"default", "min", "max"} {
				n, err := strconv.ParseInt(field.Tag.Get(tag), 10, 64)
				require.NoError(t, err, "tag %s of %s", tag, field.Name)
				numbers[tag] = n
			}
			require.LessOrEqual(t, numbers["min"], numbers["default"], field.Name)
			require.LessOrEqual(t, numbers["default"], numbers["max"], field.Name)
			unit := "count"
			for _, u := range []string{"ms", "percent", "bytes", "per_minute"} {
				if strings.HasSuffix(key, "_"+u) {
					unit = strings.ReplaceAll(u, "_", " ")
				}
			}
			row += fmt.Sprintf("%s | %d | %d to %d | ", unit, numbers["default"], numbers["min"], numbers["max"])
		}
		rows = append(rows, row)
	}
	return rows
}

// Guards against a page docs/settings.md that does not list a key, lists a key that
// does not exist, or states another unit, default or range than the code.
func TestSettingsPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.md"))
	require.NoError(t, err)
	want := pageRows(t, "", reflect.TypeFor[Settings]())
	for _, row := range want {
		require.Contains(t, string(page), "\n"+row)
	}
	require.Equal(t, len(want), strings.Count(string(page), "\n| `"), "the page lists keys that do not exist")
}

// Guards against panics on arbitrary input, and against accepting settings out of
// range.
func FuzzParse(f *testing.F) {
	f.Add([]byte("{" + requiredKeys + "}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("file", data)
		if err != nil {
			var target *Error
			require.ErrorAs(t, err, &target)
			return
		}
		require.NotZero(t, s.PeerAddress.Port())
		require.GreaterOrEqual(t, s.Limits.LeaseDurationMS, 2*s.Limits.HeartbeatIntervalMS)
	})
}
