// Package httpreply reads the heads and trailers of HTTP/1.1 replies, and takes only those
// that RFC 9112 allows. The HTTP library takes more of them, and repairs or misreads what
// it takes: bytes that are no reply would then reach a caller as one.
package httpreply

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// MalformedError reports bytes that are no reply.
type MalformedError struct {
	// Fault is what HTTP/1.1 does not allow.
	Fault string
	// Line is the start of the faulty line.
	Line []byte
}

// IsMalformed reports whether err is a *MalformedError or wraps one.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// maxErrorLine limits the part of a faulty line that an error holds.
const maxErrorLine = 80 // bytes

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed reply: %s in the line %q: make the upstream answer in HTTP/1.1", e.Fault, e.Line)
}

// malformed returns a *MalformedError for a line.
func malformed(fault string, line []byte) error {
	return &MalformedError{Fault: fault, Line: bytes.Clone(line[:min(len(line), maxErrorLine)])}
}

// statusPrefix begins each reply. The minor version follows.
const statusPrefix = "HTTP/1."

// Lengths and limits of a status line.
const (
	versionLength    = len(statusPrefix) + 1
	statusLineLength = versionLength + len(" 200") // without a reason phrase
	minStatus        = 100
	maxStatus        = 599
)

// headCheck checks the head of a reply, or a trailer, while it arrives. The zero value begins
// at the status line.
type headCheck struct {
	// checked is the length of the lines that were checked.
	checked int
	// status is the reply's status, 0 before its status line.
	status int
	// isTrailer is set if there is no status line.
	isTrailer bool
	// isHTTP10 is set if the reply's version is HTTP/1.0.
	isHTTP10 bool
}

// check checks the lines that head holds as a whole. Head begins with the reply and grows
// from call to call. It returns true once the head has ended, with checked as its length.
func (c *headCheck) check(head []byte) (done bool, err error) {
	for {
		line, rest, ok := bytes.Cut(head[c.checked:], []byte("\n"))
		if !ok {
			return false, c.checkStart(line)
		}
		c.checked = len(head) - len(rest)
		line, ok = bytes.CutSuffix(line, []byte("\r"))
		switch {
		case !ok:
			err = malformed("no carriage return before the line feed", line)
		case c.expectsStatus():
			err = c.checkStatusLine(line)
		case len(line) == 0:
			return true, nil
		default:
			err = c.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// expectsStatus reports whether the next line is a status line.
func (c *headCheck) expectsStatus() bool { return c.status == 0 && !c.isTrailer }

// checkStart checks the start of a line that has not arrived as a whole: bytes that are no
// reply may have no end of a line.
func (c *headCheck) checkStart(line []byte) error {
	n := min(len(line), len(statusPrefix))
	if c.expectsStatus() && string(line[:n]) != statusPrefix[:n] {
		return malformed("no HTTP/1 version", line)
	}
	return nil
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK", and sets the status. A missing
// space after a status without a reason phrase is tolerated.
func (c *headCheck) checkStatusLine(line []byte) error {
	if len(line) < versionLength || string(line[:len(statusPrefix)]) != statusPrefix || line[versionLength-1] > '1' || line[versionLength-1] < '0' {
		return malformed("no version HTTP/1.0 or HTTP/1.1", line)
	}
	if len(line) < statusLineLength || line[versionLength] != ' ' {
		return malformed("no status", line)
	}
	status := 0
	for _, digit := range line[versionLength+1 : statusLineLength] {
		if digit < '0' || digit > '9' {
			return malformed("no status of three digits", line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus {
		return malformed(fmt.Sprintf("a status outside %d to %d", minStatus, maxStatus), line)
	}
	if phrase := line[statusLineLength:]; len(phrase) > 0 && phrase[0] != ' ' || !isText(phrase) {
		return malformed("an invalid reason phrase", line)
	}
	c.status, c.isHTTP10 = status, line[versionLength-1] == '0'
	return nil
}

// transferEncoding is a header that HTTP/1.0 does not know: readers don't agree on the end of
// a body with it.
const transferEncoding = "Transfer-Encoding"

// checkField checks a header line.
func (c *headCheck) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return malformed("no valid name of a header", line)
	}
	if !isText(value) {
		return malformed("a control byte", line)
	}
	if c.isHTTP10 && strings.EqualFold(string(name), transferEncoding) {
		return malformed("a transfer encoding of an HTTP/1.0 reply", line)
	}
	return nil
}

// isToken reports whether b can be the name of a header.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes holds the bytes of which names of headers are made.
var tokenBytes = func() (set [256]bool) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for _, c := range []byte(token) {
		set[c] = true
	}
	return set
}()

// isText reports whether b holds no control byte except tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
