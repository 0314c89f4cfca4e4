// Package settings reads a daemon's settings: JSON with comments, checked as
// a whole before the daemon starts.
package settings

import "os"

// Checker is implemented by settings that can be checked as a whole. Check
// returns every fault, joined, each naming its key and the remedy.
type Checker interface {
	Check() error
}

// Load reads the file at path into v and checks it. Its errors are joined
// *FileError, as Errors lists them.
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
	return Locate(path, b, v.Check())
}
