// Package settings reads the settings of a daemon from JSON with comments and
// checks them before the daemon starts. All errors are reported together.
package settings

import "os"

// Checker is implemented by settings that can be checked. Check returns all
// errors, joined; each names its key and the remedy.
type Checker interface {
	Check() error
}

// Load reads the file at path into v and checks it. Its errors are joined
// *FileError; Errors lists them.
func Load(path string, v Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Path: path, Err: err, Remedy: "name a readable file with -settings"}
	}
	return Parse(path, b, v)
}

// Parse reads JSON with comments from b into v and checks it. The path is
// used in errors only.
func Parse(path string, b []byte, v Checker) error {
	if err := Decode(path, b, v); err != nil {
		return err
	}
	return Locate(path, b, v.Check())
}
