package document

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type inner struct {
	Size int  `json:"size"`
	On   bool `json:"on"`
}

func (i *inner) SetDefaults() { i.Size = 7 }

type outer struct {
	Name  string  `json:"name"`
	Items []inner `json:"items"`
}

// Guards against errors without the path and position of the fault, and against
// invalid input that encoding/json accepts silently.
func TestDecodeNamesPathAndPosition(t *testing.T) {
	tests := []struct {
		name, input  string
		kind         Kind
		path         string
		line, column int
	}{
		{"unknown key", `{"nam": 1}`, UnknownKey, "nam", 1, 2},
		{"key in another case", `{"Name": "x"}`, UnknownKey, "Name", 1, 2},
		{"unknown key with line break", `{"a\nb": 1}`, UnknownKey, `"a\nb"`, 1, 1},
		{"nested unknown key", "{\"items\": [{},\n {\"sise\": 1}]}", UnknownKey, "items[1].sise", 2, 3},
		{"repeated key", `{"name": "a", "name": "b"}`, RepeatedKey, "name", 1, 15},
		{"number for string", "{\n\t\"name\": 3}", WrongType, "name", 2, 10},
		{"string for number", `{"items": [{"size": "3"}]}`, WrongType, "items[0].size", 1, 21},
		{"fraction", `{"items": [{"size": 1.5}]}`, WrongType, "items[0].size", 1, 21},
		{"overflow", `{"items": [{"size": 1e99}]}`, WrongType, "items[0].size", 1, 21},
		{"object for array", `{"items": {}}`, WrongType, "items", 1, 11},
		{"array for object", `{"items": [[]]}`, WrongType, "items[0]", 1, 12},
		{"array for string", `{"name": []}`, WrongType, "name", 1, 10},
		{"null", `{"name": null}`, WrongType, "name", 1, 10},
		{"root is not an object", `3`, WrongType, "", 1, 1},
		{"empty", ``, Syntax, "", 0, 0},
		{"trailing data", `{} {}`, Syntax, "", 0, 0},
		{"deep nesting", strings.Repeat("[", maxDepth+1), TooLarge, "", 0, 0},
		{"deep nesting between comments", strings.Repeat(`[/*]*/`, maxDepth+1), TooLarge, "", 0, 0},
		{"deep nesting between strings", strings.Repeat(`["]\"",`, maxDepth+1), TooLarge, "", 0, 0},
		{"too long", strings.Repeat(" ", MaxSize+1), TooLarge, "", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Decode("file", []byte(test.input), &outer{})
			var target *Error
			require.ErrorAs(t, err, &target)
			require.Equal(t, test.kind, target.Kind, "%v", err)
			require.Equal(t, test.path, target.Path)
			require.Equal(t, []int{test.line, test.column}, []int{target.Line, target.Column})
			require.Contains(t, err.Error(), "file")
		})
	}
}

// Guards against defaults that overwrite values of the document, and against
// counting brackets in comments and strings as nesting.
func TestDecodeKeepsValuesAndDefaults(t *testing.T) {
	var v outer
	doc, err := Decode("file", []byte(`// `+strings.Repeat("[", 100)+`
	{"name": "`+strings.Repeat("{", 100)+`", /* {{ */ "items": [{}, {"size": 0, "on": true},],}`), &v)
	require.NoError(t, err)
	require.Equal(t, []inner{{Size: 7}, {On: true}}, v.Items)
	require.Equal(t, 2, doc.Errorf("items[1].missing.deeper", Missing, "", "absent").Line)
}

// Guards against panics on arbitrary input, and against decoded documents for which
// an error of validation would have no position.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "items": [{"size": 1, "on": true}]} // end`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var v outer
		doc, err := Decode("file", data, &v)
		if err != nil {
			var target *Error
			require.ErrorAs(t, err, &target)
			return
		}
		require.Positive(t, doc.Errorf("items", Missing, "", "absent").Line)
	})
}
