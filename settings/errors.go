package settings

import (
	"errors"
	"fmt"
	"net/netip"
)

// FileError is an error in a settings file.
type FileError struct {
	Path   string
	Line   int    // from 1; 0 if the error concerns the whole file
	Remedy string // empty if Err names it
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

// Unwrap returns Err.
func (e *FileError) Unwrap() error { return e.Err }

// Keyed is an error about one key.
type Keyed interface {
	error
	// KeyPath returns the path of the key, such as "services[0].name".
	KeyPath() string
}

// KeyError is an error in the value of one key.
type KeyError struct {
	Key    string
	Fault  string
	Remedy string
}

// Error names the key, the fault and the remedy.
func (e *KeyError) Error() string { return fmt.Sprintf("key %q: %s: %s", e.Key, e.Fault, e.Remedy) }

// KeyPath implements Keyed.
func (e *KeyError) KeyPath() string { return e.Key }

// Errors returns the errors joined in err, at any depth; err itself if it is not
// a joined error.
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

// Locate wraps each error joined in err in a *FileError, with the line of its
// key in b if it is Keyed. It returns nil if err is nil.
func Locate(path string, b []byte, err error) error {
	if err == nil {
		return nil
	}
	var out []error
	for _, e := range Errors(err) {
		fe := &FileError{Path: path, Err: e}
		var keyed Keyed
		if errors.As(e, &keyed) {
			fe.Line = Line(b, keyed.KeyPath())
		}
		out = append(out, fe)
	}
	return errors.Join(out...)
}

// CheckAddress returns a *KeyError unless value is an IP address and port.
func CheckAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &KeyError{Key: key, Fault: fmt.Sprintf("%q is not an IP address and port", value), Remedy: "write it like \"127.0.0.1:8001\""}
	}
	return nil
}

// CheckNotEmpty returns a *KeyError if value is empty.
func CheckNotEmpty(key, value string) error {
	if value == "" {
		return &KeyError{Key: key, Fault: "missing", Remedy: "set it"}
	}
	return nil
}
