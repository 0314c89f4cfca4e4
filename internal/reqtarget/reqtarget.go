// Package reqtarget takes the host and the path of a request from its target as it was
// received. Nothing is decoded or normalized: the request is routed by the very bytes that
// are forwarded.
package reqtarget

import (
	"bytes"
	"fmt"
)

// Target is where a request is addressed to. Its fields point into the request.
type Target struct {
	// Host is the value of the Host header, with a port if it names one.
	Host []byte
	// Path is the path as received, without the query. It begins with a slash.
	Path []byte
}

// Error is the error of a target that names no valid path.
type Error struct{ Problem string }

func (e *Error) Error() string {
	return e.Problem + ": send a path that begins with a slash, or an http URI with the host of the Host header"
}

// Parse returns the target of a request with the given request target and Host header. A
// target in absolute form must name the host of the header, since both are forwarded.
func Parse(target, host []byte) (Target, error) {
	path, authority, absolute := cutAuthority(target)
	if absolute && !bytes.EqualFold(authority, host) {
		return Target{}, &Error{fmt.Sprintf("the request target names the host %.80q, the Host header %.80q", authority, host)}
	}
	if i := bytes.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	if err := checkPath(path); err != nil {
		return Target{}, err
	}
	return Target{Host: host, Path: path}, nil
}

// cutAuthority returns the part of a target from the path on. For one in absolute form it
// also returns the authority, and true.
func cutAuthority(target []byte) (path, authority []byte, absolute bool) {
	for _, scheme := range []string{"http://", "https://"} {
		if len(target) < len(scheme) || !bytes.EqualFold(target[:len(scheme)], []byte(scheme)) {
			continue
		}
		rest := target[len(scheme):]
		end := bytes.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		return rest[end:], rest[:end], true
	}
	return target, nil, false
}

// checkPath returns an error unless path begins with a slash and holds neither control
// characters, spaces nor a fragment, and only complete percent escapes. Other bytes that a
// URI must escape pass, since some callers send them.
func checkPath(path []byte) error {
	if len(path) == 0 || path[0] != '/' {
		return &Error{fmt.Sprintf("the request target holds no path, but %.80q", path)}
	}
	for i, c := range path {
		switch {
		case c <= ' ' || c == 0x7f || c == '#':
			return &Error{fmt.Sprintf("the path holds the byte %q", c)}
		case c == '%' && !isEscape(path[i:]):
			return &Error{"the path holds a percent sign without two hexadecimal digits"}
		}
	}
	return nil
}

// isEscape reports whether b begins with a percent escape.
func isEscape(b []byte) bool { return len(b) >= 3 && isHex(b[1]) && isHex(b[2]) }

func isHex(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}
