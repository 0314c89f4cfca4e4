// Package settings reads a daemon's settings: JSON with comments, checked as
// a whole before the daemon starts.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Checker is implemented by settings that can be checked as a whole. Check
// returns every fault, joined, each naming its key and the remedy.
type Checker interface {
	Check() error
}

// FileError is a fault in a settings file.
type FileError struct {
	Path   string
	Line   int // from 1; 0 where the whole file is meant
	Remedy string
	Err    error
}

// Error names the file, the line, the fault and the remedy.
func (e *FileError) Error() string {
	pos := e.Path
	if e.Line > 0 {
		pos = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	return fmt.Sprintf("%s: %v; %s", pos, e.Err, e.Remedy)
}

// Unwrap returns the underlying fault.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads the file at path into v and checks it. Its errors are *FileError.
func Load(path string, v Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Path: path, Err: err, Remedy: "name a readable file with -settings"}
	}
	return Parse(path, b, v)
}

// Parse reads JSON with comments from b into v and checks it. The path is
// used in errors alone.
func Parse(path string, b []byte, v Checker) error {
	if err := Decode(path, b, v); err != nil {
		return err
	}
	if err := v.Check(); err != nil {
		return &FileError{Path: path, Err: err, Remedy: "correct the keys named"}
	}
	return nil
}

// Decode reads JSON with comments from b into v. Unknown keys are refused.
func Decode(path string, b []byte, v any) error {
	std, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return &FileError{Path: path, Err: err, Remedy: "write JSON; comments and trailing commas are allowed"}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(path, b, dec.InputOffset(), err)
	}
	if dec.More() {
		return &FileError{Path: path, Line: lineAt(b, dec.InputOffset()), Err: errors.New("more than one JSON value"), Remedy: "keep one object in the file"}
	}
	return nil
}

func decodeError(path string, b []byte, offset int64, err error) error {
	fe := &FileError{Path: path, Line: lineAt(b, offset), Err: err, Remedy: "correct the value"}
	var te *json.UnmarshalTypeError
	switch {
	case errors.As(err, &te):
		fe.Line = lineAt(b, te.Offset)
		fe.Err = fmt.Errorf("key %q holds a %s", te.Field, te.Value)
		fe.Remedy = "write a " + te.Type.String()
	case strings.Contains(err.Error(), "unknown field"):
		fe.Line = unknownFieldLine(b, err, fe.Line)
		fe.Remedy = "remove the key or correct its spelling"
	}
	return fe
}

// unknownFieldLine finds the line of the key that err complains of.
func unknownFieldLine(b []byte, err error, fallback int) int {
	_, key, ok := strings.Cut(err.Error(), "unknown field ")
	if !ok {
		return fallback
	}
	i := bytes.Index(b, []byte(key))
	if i < 0 {
		return fallback
	}
	return lineAt(b, int64(i))
}

func lineAt(b []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(b)))
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}

// CheckAddress checks that the value of key is an IP address and port.
func CheckAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("key %q: %q is not an IP address and port: write it like \"127.0.0.1:8001\"", key, value)
	}
	return nil
}

// CheckSet checks that the value of key is not empty.
func CheckSet(key, value string) error {
	if value == "" {
		return fmt.Errorf("key %q is missing: set it", key)
	}
	return nil
}
