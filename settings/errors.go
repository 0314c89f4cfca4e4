package settings

import (
	"errors"
	"fmt"
	"net/netip"
)

// FileError is a fault in a settings file.
type FileError struct {
	Path   string
	Line   int    // from 1; 0 where the whole file is meant
	Remedy string // empty where Err names it
	Err    error
}

// Error names the file, the line, the fault and the remedy.
func (e *FileError) Error() string {
	pos := e.Path
	if e.Line > 0 {
		pos = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %v", pos, e.Err)
	}
	return fmt.Sprintf("%s: %v: %s", pos, e.Err, e.Remedy)
}

// Unwrap returns the underlying fault.
func (e *FileError) Unwrap() error { return e.Err }

// Placed is an error that knows its key.
type Placed interface {
	error
	// Place is the key's path, such as "services[0].name".
	Place() string
}

// KeyError is a fault in the value of one key.
type KeyError struct {
	Key    string
	Fault  string
	Remedy string
}

// Error names the key, the fault and the remedy.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s: %s", e.Key, e.Fault, e.Remedy) }

// Place implements Placed.
func (e *KeyError) Place() string { return e.Key }

// Errors returns the errors that err joins, itself where it joins none.
func Errors(err error) []error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var out []error
	for _, e := range joined.Unwrap() {
		out = append(out, Errors(e)...)
	}
	return out
}

// Locate returns the errors that err joins as *FileError, each with the line
// of its key in b where it is Placed; nil for nil.
func Locate(path string, b []byte, err error) error {
	if err == nil {
		return nil
	}
	var out []error
	for _, e := range Errors(err) {
		fe := &FileError{Path: path, Err: e}
		var placed Placed
		if errors.As(e, &placed) {
			fe.Line = Line(b, placed.Place())
		}
		out = append(out, fe)
	}
	return errors.Join(out...)
}

// CheckAddress checks that the value of key is an IP address and port.
func CheckAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &KeyError{Key: key, Fault: fmt.Sprintf("%q is not an IP address and port", value), Remedy: "write it like \"127.0.0.1:8001\""}
	}
	return nil
}

// CheckSet checks that the value of key is not empty.
func CheckSet(key, value string) error {
	if value == "" {
		return &KeyError{Key: key, Fault: "missing", Remedy: "set it"}
	}
	return nil
}
