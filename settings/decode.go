package settings

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

// Decode reads JSON with comments from b into v, a pointer. Unknown keys,
// duplicate keys and values of the wrong type are errors. All of them are
// reported together, as joined *FileError; path is used in errors only.
func Decode(path string, b []byte, v any) error {
	tree, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return &FileError{Path: path, Err: err, Remedy: "write JSON; comments and trailing commas are allowed"}
	}
	c := typeChecker{path: path, text: b}
	c.value(tree, reflect.TypeOf(v).Elem(), "")
	if len(c.errs) > 0 {
		return errors.Join(c.errs...)
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), v); err != nil {
		return &FileError{Path: path, Err: err, Remedy: "correct the value"}
	}
	return nil
}

// Line returns the line number, from 1, of the key with a path such as
// "services[0].name" in JSON with comments. For a missing key it returns the
// line of the nearest parent; if b can't be parsed it returns 0.
func Line(b []byte, key string) int {
	tree, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return 0
	}
	pointer := strings.NewReplacer(".", "/", "[", "/", "]", "").Replace(key)
	for pointer != "" {
		if v := tree.Find("/" + pointer); v != nil {
			return lineAt(b, v.StartOffset)
		}
		pointer = pointer[:max(0, strings.LastIndexByte(pointer, '/'))]
	}
	return lineAt(b, tree.StartOffset)
}

func lineAt(b []byte, offset int) int {
	return 1 + bytes.Count(b[:min(offset, len(b))], []byte("\n"))
}

// typeChecker checks a JSON value against the Go type that it is decoded into.
type typeChecker struct {
	path string
	text []byte
	errs []error
}

func (c *typeChecker) addError(v hujson.Value, key, fault, remedy string) {
	if key == "" {
		key = "the whole value"
	}
	e := &KeyError{Key: key, Fault: fault, Remedy: remedy}
	c.errs = append(c.errs, &FileError{Path: c.path, Line: lineAt(c.text, v.StartOffset), Err: e})
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (c *typeChecker) value(v hujson.Value, t reflect.Type, key string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case reflect.PointerTo(t).Implements(unmarshaler):
		c.leaf(v, t, key)
	case t.Kind() == reflect.Struct:
		c.object(v, t, key)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		c.array(v, t, key)
	default:
		c.leaf(v, t, key)
	}
}

func (c *typeChecker) object(v hujson.Value, t reflect.Type, key string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		c.addError(v, key, "not an object", "write it in braces, as {\"key\": value}")
		return
	}
	fields := jsonFields(t)
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		member := joinKey(key, name)
		field, known := fields[name]
		switch {
		case !known:
			c.addError(m.Name, member, "unknown key", "remove the key or correct its spelling")
		case seen[name]:
			c.addError(m.Name, member, "duplicate key", "keep one")
		default:
			c.value(m.Value, field, member)
		}
		seen[name] = true
	}
}

func (c *typeChecker) array(v hujson.Value, t reflect.Type, key string) {
	if v.Value.Kind() == 'n' {
		return
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		c.addError(v, key, "not an array", "write it in brackets, as [value, value]")
		return
	}
	for i, e := range a.Elements {
		c.value(e, t.Elem(), key+"["+strconv.Itoa(i)+"]")
	}
}

// leaf decodes a value that is not walked any further, to check that it fits t.
// An error of an unmarshaler in the form "fault: remedy" is split at the colon.
func (c *typeChecker) leaf(v hujson.Value, t reflect.Type, key string) {
	minimized := v.Clone()
	minimized.Minimize()
	err := json.Unmarshal(minimized.Pack(), reflect.New(t).Interface())
	var te *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &te):
		c.addError(v, key, "unexpected "+te.Value, "write "+describe(t))
	default:
		fault, remedy, ok := strings.Cut(err.Error(), ": ")
		if !ok {
			remedy = "write " + describe(t)
		}
		c.addError(v, key, fault, remedy)
	}
}

// jsonFields returns the types of a struct's fields by their names in JSON,
// those of embedded structs included.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case name == "-" || !f.IsExported() && !f.Anonymous:
		case name == "" && f.Anonymous:
			for n, ft := range jsonFields(f.Type) {
				out[n] = ft
			}
		case name == "":
			out[f.Name] = f.Type
		default:
			out[name] = f.Type
		}
	}
	return out
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// describe returns how to write a value of type t.
func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Slice:
		return "bytes in base64"
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint16, reflect.Uint8:
		return "a whole number from 0"
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int16, reflect.Int8:
		return "a whole number"
	}
	return fmt.Sprintf("a %v", t)
}
