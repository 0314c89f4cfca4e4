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

// Decode reads JSON with comments from b into v, a pointer. Unknown keys, keys
// given twice and values of another type are refused, all at once: its errors
// are joined *FileError.
func Decode(path string, b []byte, v any) error {
	tree, err := hujson.Parse(bytes.Clone(b))
	if err != nil {
		return &FileError{Path: path, Err: err, Remedy: "write JSON; comments and trailing commas are allowed"}
	}
	w := walker{path: path, text: b}
	w.value(tree, reflect.TypeOf(v).Elem(), "")
	if len(w.errs) > 0 {
		return errors.Join(w.errs...)
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), v); err != nil {
		return &FileError{Path: path, Err: err, Remedy: "correct the value"}
	}
	return nil
}

// Line returns the line, from 1, of the key with a path such as
// "services[0].name" in JSON with comments; that of its nearest parent where
// the key is missing, and 0 where b can't be read.
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

// walker compares a JSON value with the type that it is read into.
type walker struct {
	path string
	text []byte
	errs []error
}

func (w *walker) fault(v hujson.Value, key, fault, remedy string) {
	if key == "" {
		key = "the whole value"
	}
	e := &KeyError{Key: key, Fault: fault, Remedy: remedy}
	w.errs = append(w.errs, &FileError{Path: w.path, Line: lineAt(w.text, v.StartOffset), Err: e})
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func (w *walker) value(v hujson.Value, t reflect.Type, key string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case reflect.PointerTo(t).Implements(unmarshaler):
		w.leaf(v, t, key)
	case t.Kind() == reflect.Struct:
		w.object(v, t, key)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		w.array(v, t, key)
	default:
		w.leaf(v, t, key)
	}
}

func (w *walker) object(v hujson.Value, t reflect.Type, key string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		w.fault(v, key, "not an object", "write it in braces, as {\"key\": value}")
		return
	}
	fields := jsonFields(t)
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(key, name)
		field, known := fields[name]
		switch {
		case !known:
			w.fault(m.Name, at, "unknown key", "remove the key or correct its spelling")
		case seen[name]:
			w.fault(m.Name, at, "given twice", "keep one")
		default:
			w.value(m.Value, field, at)
		}
		seen[name] = true
	}
}

func (w *walker) array(v hujson.Value, t reflect.Type, key string) {
	if v.Value.Kind() == 'n' {
		return
	}
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		w.fault(v, key, "not a list", "write it in brackets, as [value, value]")
		return
	}
	for i, e := range a.Elements {
		w.value(e, t.Elem(), key+"["+strconv.Itoa(i)+"]")
	}
}

// leaf reads a value whole, to see whether it fits.
func (w *walker) leaf(v hujson.Value, t reflect.Type, key string) {
	c := v.Clone()
	c.Minimize()
	err := json.Unmarshal(c.Pack(), reflect.New(t).Interface())
	var te *json.UnmarshalTypeError
	switch {
	case err == nil:
	case errors.As(err, &te):
		w.fault(v, key, "holds a "+te.Value, "write "+describe(t))
	default:
		fault, remedy, ok := strings.Cut(err.Error(), ": ")
		if !ok {
			remedy = "write " + describe(t)
		}
		w.fault(v, key, fault, remedy)
	}
}

// jsonFields returns a struct's fields by their names in JSON.
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

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// describe says how a value of type t is written.
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
