package replytest

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// EndlessCase is a reply whose bytes do not end until the reader closes the connection: a head
// and then the rest, again and again.
type EndlessCase struct {
	Name       string
	head, rest string
}

// Endless are replies without end, in each part of a reply. Some are no replies at all.
var Endless = []EndlessCase{
	{Name: "bytes that are no reply", rest: strings.Repeat("\x00\xff", 500)},
	{Name: "lines that are no reply", rest: strings.Repeat("x", 80) + "\r\n"},
	{Name: "blank lines", rest: strings.Repeat("\r\n", 500)},
	{Name: "status line", head: "HTTP/1.1 200 ", rest: strings.Repeat("x", 1000)},
	{Name: "head", head: "HTTP/1.1 200 OK\r\n", rest: "X-Filler: " + strings.Repeat("x", 500) + "\r\n"},
	{Name: "header line", head: "HTTP/1.1 200 OK\r\nX-Filler: ", rest: strings.Repeat("x", 1000)},
	{Name: "name of a header", head: "HTTP/1.1 200 OK\r\n", rest: strings.Repeat("x", 1000)},
	{Name: "interim replies", rest: "HTTP/1.1 102 Processing\r\n\r\n"},
	{Name: "body of announced length", head: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 60000000000\r\n\r\n", rest: strings.Repeat("x", 1000)},
	{Name: "body until close", head: "HTTP/1.1 200 OK\r\n" + headersMark + "Connection: close\r\n\r\n", rest: strings.Repeat("x", 1000)},
	{Name: "chunks", head: chunked(""), rest: "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
	{Name: "one chunk", head: chunked("390000000\r\n"), rest: strings.Repeat("x", 1000)},
	{Name: "chunk extension", head: chunked("5;"), rest: strings.Repeat("x", 1000)},
	{Name: "size of a chunk", head: chunked("0"), rest: strings.Repeat("0", 1000)},
	{Name: "trailer", head: chunked("0\r\n"), rest: "X-Filler: " + strings.Repeat("x", 500) + "\r\n"},
	{Name: "trailer line", head: chunked("0\r\nX-Filler: "), rest: strings.Repeat("x", 1000)},
}

// EndlessStray returns replies without end that have the given header lines.
func EndlessStray(lines ...string) EndlessCase {
	reply := Case{raw: "HTTP/1.1 200 OK\r\n" + headersMark + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 1000)}
	return EndlessCase{Name: "stray replies", rest: reply.Raw(lines...)}
}

// Start returns the head with the given header lines and the first of the rest.
func (c EndlessCase) Start(lines ...string) string {
	return Case{raw: c.head}.Raw(lines...) + c.rest
}

// writeBuffer is the size of the pieces in which a reply without a pause is written.
const writeBuffer = 64 << 10 // bytes

// Write writes the reply with the given header lines to w until that fails, with a pause
// between two pieces.
func (c EndlessCase) Write(w io.Writer, pause time.Duration, lines ...string) {
	b := bufio.NewWriterSize(w, writeBuffer)
	for piece := c.Start(lines...); ; piece = c.rest {
		if _, err := io.WriteString(b, piece); err != nil {
			return
		}
		if pause > 0 {
			if err := b.Flush(); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// AnswerEndless starts a server that answers the first read of a connection by Write, and
// returns its address.
func AnswerEndless(t testing.TB, c EndlessCase, pause time.Duration, lines ...string) string {
	t.Helper()
	return Serve(t, func(nc net.Conn) {
		if _, err := nc.Read(make([]byte, writeBuffer)); err == nil {
			c.Write(nc, pause, lines...)
		}
	})
}
