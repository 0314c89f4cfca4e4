package kit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/catkinrouter/catkinrouter/platform"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial opens a connection to an instance.
func Dial(front string) (*Conn, error) {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, r: bufio.NewReader(c)}, nil
}

// Reply is what a client received; Err is set unless a whole answer arrived.
type Reply struct {
	Status int
	Stamp  string
	ID     string
	Body   string
	Header http.Header
	Err    error
}

func (r Reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("no answer (%v)", r.Err)
	}
	return fmt.Sprintf("%d, stamp %q, body %q", r.Status, r.Stamp, r.Body[:min(len(r.Body), 60)])
}

// Head returns the head of a request with a body of the given length.
func Head(method, target, host, id string, deadline time.Duration, length int) string {
	p := platform.Protocol()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, p.RequestID, id, p.Deadline, deadline.Milliseconds())
	if length > 0 || method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// Send writes a whole request.
func (c *Conn) Send(method, target, host, id string, deadline time.Duration, body []byte) error {
	_, err := io.WriteString(c, Head(method, target, host, id, deadline, len(body)))
	if err == nil && len(body) > 0 {
		_, err = c.Write(body)
	}
	return err
}

// Receive reads the next answer.
func (c *Conn) Receive(method string, limit time.Duration) Reply {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	p := platform.Protocol()
	out := Reply{Status: resp.StatusCode, Stamp: resp.Header.Get(p.Signature), ID: resp.Header.Get(p.RequestID), Body: string(body), Header: resp.Header, Err: err}
	return out
}

// Call sends a request on a new connection and returns the answer.
func Call(front, method, target, host, id string, deadline time.Duration, body []byte) Reply {
	c, err := Dial(front)
	if err != nil {
		return Reply{Err: fmt.Errorf("connect: %w", err)}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	sendErr := c.Send(method, target, host, id, deadline, body)
	r := c.Receive(method, deadline)
	if r.Err != nil && sendErr != nil {
		r.Err = errors.Join(sendErr, r.Err)
	}
	return r
}
