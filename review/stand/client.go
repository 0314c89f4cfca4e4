package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is what a client got; status is 0 if the connection ended without a complete answer.
type answer struct {
	status int
	err    error
	// sent is when the last byte of the request was sent, ended when the answer or the end
	// of the connection came.
	sent, ended time.Time
	// retryAfter is when a refused client is told to come back.
	retryAfter time.Duration
}

// send sends one request on a new connection and waits for the answer as long as the
// request's deadline allows.
func (m *machine) send(method, path, id string, deadline time.Duration) answer {
	return m.sendWithKey(method, path, id, "", deadline)
}

// sendWithKey is send for a customer's key; none is sent if it is empty.
func (m *machine) sendWithKey(method, path, id, key string, deadline time.Duration) (a answer) {
	defer func() { a.ended = time.Now() }()
	c, err := net.DialTimeout("tcp4", m.front(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(deadline)); err != nil {
		return answer{err: err}
	}
	const body = "order"
	authorization := ""
	if key != "" {
		authorization = fmt.Sprintf("Authorization: Bearer %s\r\n", key)
	}
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, proto.RequestID, id, proto.Deadline, deadline.Milliseconds(), authorization, len(body), body)
	if err != nil {
		return answer{err: err}
	}
	a.sent = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{sent: a.sent, err: err}
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return answer{sent: a.sent, err: err}
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if there is none
	return answer{sent: a.sent, status: resp.StatusCode, retryAfter: time.Duration(seconds * float64(time.Second))}
}
