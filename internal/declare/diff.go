package declare

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/chivemast/chivemast/internal/document"
)

// Change is one difference between two versions of a team. Old is empty for
// an addition, New for a removal.
type Change struct {
	// Path names services and upstreams, like dispatch/d1.weight.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the differences between two versions of a team, ordered by
// path. Nil stands for a team that does not exist. An added or removed
// upstream is one change.
func Diff(before, after *Team) []Change {
	a, b := flatten(before, after), flatten(after, before)
	var changes []Change
	for path, old := range a {
		if b[path] != old {
			changes = append(changes, Change{Path: path, Old: old, New: b[path]})
		}
	}
	for path, added := range b {
		if _, ok := a[path]; !ok {
			changes = append(changes, Change{Path: path, New: added})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return changes
}

// flatten maps the path of every declared value to its text. Upstreams that
// the other version lacks have a single value.
func flatten(team, other *Team) map[string]string {
	values := map[string]string{}
	if team == nil {
		return values
	}
	common := upstreamNames(other)
	normal := team.Clone()
	normal.Normalize()
	for _, service := range normal.Services {
		flattenStruct(values, service.Name, reflect.ValueOf(service))
		for _, upstream := range service.Upstreams {
			name := service.Name + "/" + upstream.Name
			if common[name] {
				flattenStruct(values, name, reflect.ValueOf(upstream))
				continue
			}
			values[name] = fmt.Sprintf("%s in %s, weight %d", upstream.Address, upstream.FailureDomain, upstream.Weight)
			if upstream.Draining {
				values[name] += ", draining"
			}
		}
	}
	return values
}

func upstreamNames(team *Team) map[string]bool {
	names := map[string]bool{}
	if team == nil {
		return names
	}
	for _, service := range team.Services {
		for _, upstream := range service.Upstreams {
			names[service.Name+"/"+upstream.Name] = true
		}
	}
	return names
}

func flattenStruct(values map[string]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		key := document.FieldKey(v.Type().Field(i))
		field := v.Field(i)
		_, text := field.Interface().(fmt.Stringer)
		switch {
		case key == "name" || field.Kind() == reflect.Slice:
		case field.Kind() == reflect.Struct && !text:
			flattenStruct(values, document.Join(path, key), field)
		default:
			values[document.Join(path, key)] = fmt.Sprint(field.Interface())
		}
	}
}
