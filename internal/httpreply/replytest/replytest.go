// Package replytest holds malformed replies for the tests of all who read replies.
package replytest

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
)

// Case is a reply that HTTP/1.1 does not allow.
type Case struct {
	Name string
	// raw holds headersMark where the headers stand that the reader expects.
	raw string
	// Closes is set if the connection closes after the reply.
	Closes bool
}

const headersMark = "{headers}"

// Body is the body of the replies, as far as it can be told.
const Body = `{"revision":7}`

// rest is what follows the status line in most cases.
const rest = headersMark + "Content-Length: 14\r\n\r\n" + Body

// wellFormed is a reply that is allowed.
const wellFormed = "HTTP/1.1 200 OK\r\n" + rest

// Raw returns the reply's bytes with the given header lines.
func (c Case) Raw(lines ...string) string {
	headers := ""
	for _, l := range lines {
		headers += l + "\r\n"
	}
	return strings.ReplaceAll(c.raw, headersMark, headers)
}

// StatusLines are replies whose status line is not allowed.
var StatusLines = []Case{
	{Name: "status 000", raw: "HTTP/1.1 000 OK\r\n" + rest},
	{Name: "status 000 without a phrase", raw: "HTTP/1.1 000\r\n" + rest},
	{Name: "status 000 in HTTP/1.0", raw: "HTTP/1.0 000 OK\r\n" + rest},
	{Name: "status 000 and a reply", raw: "HTTP/1.1 000 OK\r\n\r\n" + wellFormed},
	{Name: "status 001", raw: "HTTP/1.1 001 OK\r\n" + rest},
	{Name: "status 099 and a reply", raw: "HTTP/1.1 099 OK\r\n\r\n" + wellFormed},
	{Name: "status 600", raw: "HTTP/1.1 600 OK\r\n" + rest},
	{Name: "status 999", raw: "HTTP/1.1 999 OK\r\n" + rest},
	{Name: "status of two digits", raw: "HTTP/1.1 20 OK\r\n" + rest},
	{Name: "status of four digits", raw: "HTTP/1.1 2000 OK\r\n" + rest},
	{Name: "negative status", raw: "HTTP/1.1 -20 OK\r\n" + rest},
	{Name: "status with a letter", raw: "HTTP/1.1 20O OK\r\n" + rest},
	{Name: "no status", raw: "HTTP/1.1\r\n" + rest},
	{Name: "two spaces before the status", raw: "HTTP/1.1  200 OK\r\n" + rest},
	{Name: "tab before the status", raw: "HTTP/1.1\t200 OK\r\n" + rest},
	{Name: "tab after the status", raw: "HTTP/1.1 200\tOK\r\n" + rest},
	{Name: "version 2.0", raw: "HTTP/2.0 200 OK\r\n" + rest},
	{Name: "version 1.9", raw: "HTTP/1.9 200 OK\r\n" + rest},
	{Name: "version 1.10", raw: "HTTP/1.10 200 OK\r\n" + rest},
	{Name: "version in lower case", raw: "http/1.1 200 OK\r\n" + rest},
	{Name: "control byte in the phrase", raw: "HTTP/1.1 200 O\x00K\r\n" + rest},
	{Name: "carriage return in the phrase", raw: "HTTP/1.1 200 OK\rX-Note: a\r\n" + rest},
	{Name: "blank line before the status line", raw: "\r\n" + wellFormed},
	{Name: "space before the status line", raw: " " + wellFormed},
	{Name: "bytes without an end of a line", raw: "\x00\x01\x02 no reply"},
}

// FieldNames are replies with a header whose name is not allowed.
var FieldNames = []Case{
	{Name: "space in a name", raw: withLine("X Note: a")},
	{Name: "space before the colon", raw: withLine("X-Note : a")},
	{Name: "space in Content-Length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content Length: 3\r\n\r\n" + Body, Closes: true},
	{Name: "space behind Content-Length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length : 14\r\n\r\n" + Body},
	{Name: "space in Transfer-Encoding", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Transfer Encoding: chunked\r\n\r\n" + chunks, Closes: true},
	{Name: "space behind Transfer-Encoding", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Transfer-Encoding : chunked\r\n\r\n" + chunks},
	{Name: "tab in a name", raw: withLine("X\tNote: a")},
	{Name: "tab before the colon", raw: withLine("X-Note\t: a")},
	{Name: "NUL in a name", raw: withLine("X\x00Note: a")},
	{Name: "escape in a name", raw: withLine("X\x1bNote: a")},
	{Name: "vertical tab before a name", raw: withLine("\x0bX-Note: a")},
	{Name: "DEL in a name", raw: withLine("X\x7fNote: a")},
	{Name: "carriage return in a name", raw: withLine("X\rNote: a")},
	{Name: "line feed in a name", raw: withLine("X\nNote: a")},
	{Name: "slash in a name", raw: withLine("X/Note: a")},
	{Name: "quotes in a name", raw: withLine("\"X-Note\": a")},
	{Name: "byte above ASCII in a name", raw: withLine("X-\xd1ote: a")},
	{Name: "empty name", raw: withLine(": a")},
	{Name: "no colon", raw: withLine("X-Note")},
	{Name: "space in a name of an interim reply", raw: "HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n" + wellFormed},
}

// Lines are replies whose head has lines that are folded, or that don't end as lines do.
var Lines = []Case{
	{Name: "folded header", raw: withLine("X-Note: a\r\n b")},
	{Name: "folded by a tab", raw: withLine("X-Note: a\r\n\tb")},
	{Name: "folded signature", raw: withLine(" X-Note: a")},
	{Name: "folded signature, by a tab", raw: withLine("\tX-Note: a")},
	{Name: "folded length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "X-Note: a\r\n Content-Length: 3\r\n\r\n" + Body, Closes: true},
	{Name: "folded status line", raw: "HTTP/1.1 200 OK\r\n X-Note: a\r\n" + rest},
	{Name: "folded line of nothing", raw: withLine("X-Note: a\r\n ")},
	{Name: "line feed ends the status line", raw: "HTTP/1.1 200 OK\n" + rest},
	{Name: "line feed ends a header", raw: withLine("X-Note: a\nX-More: b")},
	{Name: "line feed ends the length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 14\nX-Note: a\r\n\r\n" + Body},
	{Name: "line feeds end all lines", raw: strings.ReplaceAll(wellFormed, "\r\n", "\n")},
	{Name: "line feed ends the head", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 18\r\n\n" + Body + "\r\n\r\n"},
	{Name: "carriage return in a value", raw: withLine("X-Note: a\rX-More: b")},
	{Name: "NUL in a value", raw: withLine("X-Note: a\x00")},
	{Name: "two carriage returns end a header", raw: withLine("X-Note: a\r")},
}

// OldFramings are replies of HTTP/1.0 with a body in chunks, which that version does not know.
var OldFramings = []Case{
	{Name: "chunks in HTTP/1.0", raw: "HTTP/1.0 200 OK\r\n" + headersMark + "Transfer-Encoding: chunked\r\n\r\n" + chunks, Closes: true},
	{Name: "chunks and a length in HTTP/1.0", raw: "HTTP/1.0 200 OK\r\n" + headersMark + "transfer-encoding: chunked\r\nContent-Length: 24\r\n\r\n" + chunks, Closes: true},
}

// Bodies are replies whose body has no end that can be told, by its length or its chunks.
var Bodies = []Case{
	{Name: "encoding of no chunks", raw: withLine("Transfer-Encoding: gzip")},
	{Name: "two encodings", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks},
	{Name: "list of encodings", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks},
	{Name: "two lengths", raw: withLine("Content-Length: 3")},
	{Name: "list of lengths", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 14, 14\r\n\r\n" + Body},
	{Name: "signed length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: +14\r\n\r\n" + Body},
	{Name: "negative length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: -1\r\n\r\n" + Body},
	{Name: "hexadecimal length", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 0xe\r\n\r\n" + Body},
	{Name: "length of nothing", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: \r\n\r\n" + Body, Closes: true},
	{Name: "length beyond all numbers", raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 18446744073709551630\r\n\r\n" + Body},
	{Name: "chunks, signed size", raw: chunked("+e\r\n" + Body + "\r\n0\r\n\r\n")},
	{Name: "chunks, space before the size", raw: chunked(" e\r\n" + Body + "\r\n0\r\n\r\n")},
	{Name: "chunks, size of nothing", raw: chunked("\r\n" + Body + "\r\n0\r\n\r\n")},
	{Name: "chunks, size beyond all numbers", raw: chunked("1000000000000000e\r\n" + Body + "\r\n0\r\n\r\n")},
	{Name: "chunks, line feed ends the size", raw: chunked("e\n" + Body + "\r\n0\r\n\r\n")},
	{Name: "chunks, line feed ends the chunk", raw: chunked("e\r\n" + Body + "\n0\r\n\r\n")},
	{Name: "chunks, line feed ends the last size", raw: chunked("e\r\n" + Body + "\r\n0\n\r\n")},
	{Name: "chunks, more than the size", raw: chunked("d\r\n" + Body + "\r\n0\r\n\r\n")},
}

// Trailers are replies in chunks whose trailer is not allowed.
var Trailers = []Case{
	{Name: "trailer, space in a name", raw: chunked("e\r\n" + Body + "\r\n0\r\nX Note: a\r\n\r\n")},
	{Name: "trailer, space before the colon", raw: chunked("e\r\n" + Body + "\r\n0\r\nX-Note : a\r\n\r\n")},
	{Name: "trailer, folded", raw: chunked("e\r\n" + Body + "\r\n0\r\nX-Note: a\r\n b\r\n\r\n")},
	{Name: "trailer, control byte in a name", raw: chunked("e\r\n" + Body + "\r\n0\r\nX\x01Note: a\r\n\r\n")},
	{Name: "trailer, control byte in a value", raw: chunked("e\r\n" + Body + "\r\n0\r\nX-Note: \x01\r\n\r\n")},
	{Name: "trailer, line feed ends a header", raw: chunked("e\r\n" + Body + "\r\n0\r\nX-Note: a\nX-More: b\r\n\r\n")},
	{Name: "trailer, line feed ends it", raw: chunked("e\r\n" + Body + "\r\n0\r\nX-Note: a\r\n\n\r\n\r\n")},
	{Name: "trailer, no colon", raw: chunked("e\r\n" + Body + "\r\n0\r\nX-Note\r\n\r\n")},
	{Name: "trailer, a reply in its place", raw: chunked("e\r\n" + Body + "\r\n0\r\n" + wellFormed)},
}

// chunked returns a reply with the given chunks.
func chunked(chunks string) string {
	return "HTTP/1.1 200 OK\r\n" + headersMark + "Transfer-Encoding: chunked\r\n\r\n" + chunks
}

// chunks is Body in one chunk.
const chunks = "e\r\n" + Body + "\r\n0\r\n\r\n"

// withLine returns a reply with a line before the last of its head.
func withLine(line string) string {
	return "HTTP/1.1 200 OK\r\n" + headersMark + line + "\r\nContent-Length: 14\r\n\r\n" + Body
}

// Heads returns all cases whose head alone is not allowed.
func Heads() []Case { return slices.Concat(StatusLines, FieldNames, Lines, OldFramings) }

// Answer starts a server that answers each read of a connection with a case's bytes, and
// returns its address.
func Answer(t testing.TB, c Case, lines ...string) string {
	t.Helper()
	return Serve(t, func(nc net.Conn) { answer(nc, c, c.Raw(lines...)) })
}

// Serve starts a server that calls handle for each connection and closes it afterwards, and
// returns its address.
func Serve(t testing.TB, handle func(nc net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				handle(nc)
			}()
		}
	}()
	return ln.Addr().String()
}

func answer(nc net.Conn, c Case, raw string) {
	request := make([]byte, 64<<10)
	for {
		if _, err := nc.Read(request); err != nil {
			return
		}
		if _, err := io.WriteString(nc, raw); err != nil || c.Closes {
			return
		}
	}
}
