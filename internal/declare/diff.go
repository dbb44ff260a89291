package declare

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/chivemast/chivemast/internal/document"
)

// Change is one difference between two versions of a team's declaration. Old is
// empty for an addition, New for a removal.
type Change struct {
	// Path names the service or upstream and the changed key, for example
	// dispatch/d1.weight.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change as one line that begins with + for an addition, - for
// a removal and ~ for another value.
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

// Diff returns the differences between two versions of a team, ordered by path.
// Nil stands for a team that does not exist. An upstream that only one of the
// versions has is one change; other values are compared one by one.
func Diff(before, after *Team) []Change {
	oldValues, newValues := flatten(before, after), flatten(after, before)
	var changes []Change
	for path, old := range oldValues {
		if newValues[path] != old {
			changes = append(changes, Change{Path: path, Old: old, New: newValues[path]})
		}
	}
	for path, added := range newValues {
		if _, ok := oldValues[path]; !ok {
			changes = append(changes, Change{Path: path, New: added})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int { return strings.Compare(x.Path, y.Path) })
	return changes
}

// flatten returns the text of every declared value of a team by path. An upstream
// that the other version does not have is a single value.
func flatten(team, other *Team) map[string]string {
	values := map[string]string{}
	if team == nil {
		return values
	}
	commonUpstreams := upstreamNames(other)
	normalized := team.Clone()
	normalized.Normalize()
	for _, service := range normalized.Services {
		flattenStruct(values, service.Name, reflect.ValueOf(service))
		for _, upstream := range service.Upstreams {
			name := service.Name + "/" + upstream.Name
			if commonUpstreams[name] {
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

// upstreamNames returns the set of a team's upstreams as SERVICE/UPSTREAM.
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

// flattenStruct adds the fields of a struct to values, by path and key. Names and
// slices are left out; a struct without a String method is flattened as well.
func flattenStruct(values map[string]string, path string, v reflect.Value) {
	for i := range v.NumField() {
		key := document.FieldKey(v.Type().Field(i))
		field := v.Field(i)
		_, isStringer := field.Interface().(fmt.Stringer)
		switch {
		case key == "name" || field.Kind() == reflect.Slice:
		case field.Kind() == reflect.Struct && !isStringer:
			flattenStruct(values, document.Join(path, key), field)
		default:
			values[document.Join(path, key)] = fmt.Sprint(field.Interface())
		}
	}
}
