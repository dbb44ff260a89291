// Package document decodes JSON with comments into Go structs. Unlike
// encoding/json it rejects unknown and repeated keys and null, and its errors name
// the path and the position of the fault.
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// MaxBytes is the size of the largest accepted document in bytes. It equals the
// limit of a value in the platform's object API.
const MaxBytes = 1 << 20

// maxDepth is the deepest accepted nesting of objects and arrays. It is limited
// because the parser is recursive; the deepest type that is decoded has five
// levels.
const maxDepth = 64

// Defaulter is implemented by structs with default values. Decode calls
// SetDefaults before it stores the fields that the document contains.
type Defaulter interface{ SetDefaults() }

// Document is a decoded document. It finds the position of a path for errors.
type Document struct {
	source  string // name of the document in errors
	data    []byte
	offsets map[string]int // byte offset in data, by path
}

// Decode decodes data into the struct that v points to. The source, usually a file
// name, appears in errors. Decode fails with *Error if data is larger than MaxBytes,
// nested too deeply, not JSON with comments, or does not fit the struct.
func Decode(source string, data []byte, v any) (*Document, error) {
	d := &Document{source: source, data: data, offsets: map[string]int{}}
	if len(data) > MaxBytes {
		return nil, d.Errorf("", TooLarge, fmt.Sprintf("at most %d bytes", MaxBytes), "document has %d bytes", len(data))
	}
	if depth := nestingDepth(data); depth > maxDepth {
		return nil, d.Errorf("", TooLarge, fmt.Sprintf("at most %d levels", maxDepth), "document is nested too deeply")
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, d.Errorf("", Syntax, "", "%w", err)
	}
	if err := d.decodeValue("", &root, reflect.ValueOf(v).Elem()); err != nil {
		return nil, err
	}
	return d, nil
}

// Errorf returns an error for a path, with a message formatted as by fmt.Errorf.
// The position is that of the path or of its closest ancestor in the document.
func (d *Document) Errorf(path string, kind Kind, allowed, format string, args ...any) *Error {
	e := &Error{Source: d.source, Path: path, Kind: kind, Allowed: allowed, Err: fmt.Errorf(format, args...)}
	for p := path; ; p = parent(p) {
		if offset, ok := d.offsets[p]; ok {
			e.Line, e.Column = d.position(offset)
			return e
		}
		if p == "" {
			return e
		}
	}
}

// position converts a byte offset to a line and a column in bytes, both from 1.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// decodeValue decodes a value of any kind and records the offset of its path.
func (d *Document) decodeValue(path string, in *hujson.Value, out reflect.Value) error {
	d.offsets[path] = in.StartOffset
	if literal, ok := in.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return d.Errorf(path, WrongType, "", "null is not allowed; leave out the key instead")
	}
	if _, ok := out.Addr().Interface().(json.Unmarshaler); ok {
		return d.decodeScalar(path, in, out)
	}
	if _, ok := out.Addr().Interface().(interface{ UnmarshalText([]byte) error }); ok {
		return d.decodeScalar(path, in, out)
	}
	switch out.Kind() {
	case reflect.Struct:
		return d.decodeObject(path, in, out)
	case reflect.Slice:
		return d.decodeArray(path, in, out)
	default:
		return d.decodeScalar(path, in, out)
	}
}

// decodeObject decodes an object into a struct and sets the struct's defaults.
func (d *Document) decodeObject(path string, in *hujson.Value, out reflect.Value) error {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		return d.Errorf(path, WrongType, "an object", "found %s", kindName(in))
	}
	if defaulter, ok := out.Addr().Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
	fields := map[string][]int{}
	for _, field := range reflect.VisibleFields(out.Type()) {
		if !field.Anonymous {
			fields[FieldKey(field)] = field.Index
		}
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		keyPath := Join(path, key)
		d.offsets[keyPath] = member.Name.StartOffset
		field, known := fields[key]
		switch {
		case !known && strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || strings.ContainsRune(".[]", r) }):
			// The key is quoted to keep the path readable and unambiguous.
			return d.Errorf(Join(path, strconv.Quote(key)), UnknownKey, "", "unknown key")
		case !known:
			return d.Errorf(keyPath, UnknownKey, "", "unknown key %q", key)
		case seen[key]:
			return d.Errorf(keyPath, RepeatedKey, "", "key %q appears twice", key)
		}
		seen[key] = true
		if err := d.decodeValue(keyPath, &member.Value, out.FieldByIndex(field)); err != nil {
			return err
		}
	}
	return nil
}

// decodeArray decodes an array into a slice.
func (d *Document) decodeArray(path string, in *hujson.Value, out reflect.Value) error {
	array, ok := in.Value.(*hujson.Array)
	if !ok {
		return d.Errorf(path, WrongType, "an array", "found %s", kindName(in))
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		if err := d.decodeValue(Index(path, i), &array.Elements[i], out.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

// decodeScalar decodes a string, number or boolean, also into types that implement
// json.Unmarshaler or UnmarshalText.
func (d *Document) decodeScalar(path string, in *hujson.Value, out reflect.Value) error {
	literal, ok := in.Value.(hujson.Literal)
	if !ok {
		return d.Errorf(path, WrongType, typeName(out.Type()), "found %s", kindName(in))
	}
	err := json.Unmarshal(literal, out.Addr().Interface())
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeError):
		return d.Errorf(path, WrongType, typeName(out.Type()), "found %s", typeError.Value)
	case err != nil:
		return d.Errorf(path, WrongType, typeName(out.Type()), "%w", err)
	}
	return nil
}

// FieldKey returns the key of a struct field in documents: the name in its json
// tag.
func FieldKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return key
}

// Join appends a key to a path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index appends an array index to a path.
func Index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// parent returns the path without its last key or index.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// nestingDepth returns the deepest nesting of brackets outside strings and comments.
// It does not check that brackets match.
func nestingDepth(data []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i += commentLength(data[i:])
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

// commentLength returns the number of bytes to skip after the first one if data
// begins with a comment, 0 if it does not.
func commentLength(data []byte) int {
	end := 0
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		end = bytes.IndexByte(data, '\n')
	case bytes.HasPrefix(data, []byte("/*")):
		end = bytes.Index(data[2:], []byte("*/")) + 3
		if end == 2 {
			end = -1
		}
	}
	if end < 0 {
		return len(data)
	}
	return end
}

// kindName describes the kind of a decoded JSON value in errors.
func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	default:
		return "a boolean"
	}
}

// typeName describes the JSON value that a Go type accepts in errors.
func typeName(t reflect.Type) string {
	switch t.String() {
	case "netip.AddrPort":
		return "ip:port"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "an integer"
	}
}
