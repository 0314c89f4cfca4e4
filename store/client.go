package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Client is a Store and a List over HTTP. It is safe for concurrent use and
// repeats no call by itself.
type Client struct {
	storeAddr string
	storeURL  string
	listURL   string
	timeout   time.Duration
	http      *fasthttp.Client
}

// Limits of a Client.
const (
	// DefaultTimeout bounds a call other than a watch, so that time is left
	// to read back after an answer that does not come.
	DefaultTimeout = 2 * time.Second
	// DefaultWait bounds a watch whose context has no deadline.
	DefaultWait = 30 * time.Second
	// MaxValue is the greatest size of a stored value, in bytes.
	MaxValue  = 1 << 20
	maxConns  = 64
	maxAnswer = 4 << 20 // bytes
	idleConn  = 30 * time.Second
)

// NewClient returns a Client for a store and a list at IP addresses and ports.
func NewClient(storeAddr, listAddr string) *Client {
	return &Client{
		storeAddr: storeAddr,
		storeURL:  "http://" + storeAddr,
		listURL:   "http://" + listAddr + ListPath,
		timeout:   DefaultTimeout,
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			Dial:                      dial,
			MaxConnsPerHost:           maxConns,
			MaxIdleConnDuration:       idleConn,
			MaxResponseBodySize:       maxAnswer,
		},
	}
}

// dial connects to an IP address and port; no name is looked up.
func dial(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, DefaultTimeout) }

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Close closes the connections that are idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	a, err := c.call(ctx, GetPath, Request{Key: key})
	return a.value(), err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, data []byte, expect, lease int64) (int64, error) {
	if len(data) > MaxValue {
		err := fmt.Errorf("value of %d bytes is larger than %d", len(data), MaxValue)
		return 0, &Error{Kind: Invalid, Op: PutPath, Key: key, Err: err}
	}
	a, err := c.call(ctx, PutPath, Request{Key: key, Data: data, Expect: expect, Lease: lease})
	if err == nil && a.Revision == 0 {
		err = &Error{Kind: Indefinite, Op: PutPath, Key: key, Err: errors.New("answer without a revision")}
	}
	return a.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	_, err := c.call(ctx, DeletePath, Request{Key: key, Expect: expect})
	return err
}

// Keys implements Store.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	a, err := c.call(ctx, KeysPath, Request{Key: prefix})
	return a.Keys, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttlMillis int64) (int64, error) {
	a, err := c.call(ctx, GrantPath, Request{TTL: ttlMillis})
	if err == nil && a.Lease == 0 {
		err = &Error{Kind: Indefinite, Op: GrantPath, Err: errors.New("answer without a lease")}
	}
	return a.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	_, err := c.call(ctx, KeepAlivePath, Request{Lease: lease})
	return err
}

// Instances implements List.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.listURL)
	if err := c.http.DoTimeout(req, resp, c.left(ctx, c.timeout)); err != nil {
		return nil, &Error{Kind: Unavailable, Op: ListPath, Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, &Error{Kind: Unavailable, Op: ListPath, Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	var l InstanceList
	if err := json.Unmarshal(resp.Body(), &l); err != nil {
		return nil, &Error{Kind: Invalid, Op: ListPath, Err: err}
	}
	return l.Instances, nil
}

// left returns the time until ctx ends, at most def where it has no deadline.
func (c *Client) left(ctx context.Context, def time.Duration) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return def
}

func (c *Client) call(ctx context.Context, path string, body Request) (Answer, error) {
	left := min(c.left(ctx, c.timeout), c.timeout)
	if ctx.Err() != nil || left <= 0 {
		return Answer{}, &Error{Kind: Unavailable, Op: path, Key: body.Key, Err: context.Cause(ctx)}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.encode(req, path, body); err != nil {
		return Answer{}, err
	}
	if err := c.http.DoTimeout(req, resp, left); err != nil {
		return Answer{}, &Error{Kind: transportKind(path, err), Op: path, Key: body.Key, Err: err}
	}
	return decodeAnswer(path, body.Key, resp)
}

func (c *Client) encode(req *fasthttp.Request, path string, body Request) error {
	b, err := json.Marshal(body)
	if err != nil {
		return &Error{Kind: Invalid, Op: path, Key: body.Key, Err: err}
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(c.storeURL + path)
	req.SetBodyRaw(b)
	return nil
}

// changes tells whether a call may change the store.
func changes(path string) bool {
	switch path {
	case PutPath, DeletePath, GrantPath, KeepAlivePath:
		return true
	}
	return false
}

// doubt is the kind of a call whose answer can't be relied upon.
func doubt(path string) Kind {
	if changes(path) {
		return Indefinite
	}
	return Unavailable
}

// transportKind tells a connection that was never made from a lost answer.
func transportKind(path string, err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return Unavailable
	}
	return doubt(path)
}

// decodeAnswer classifies an answer. A refusal counts as such only if the
// platform itself wrote it: a status alone may come from something between
// that has passed the call on.
func decodeAnswer(op, key string, resp *fasthttp.Response) (Answer, error) {
	var a Answer
	status := resp.StatusCode()
	if op == WatchPath && status == fasthttp.StatusNotModified {
		return a, &Error{Kind: Unchanged, Op: op, Key: key}
	}
	if err := json.Unmarshal(resp.Body(), &a); err != nil {
		return Answer{}, &Error{Kind: doubt(op), Op: op, Key: key, Err: fmt.Errorf("status %d: %w", status, err)}
	}
	if status == fasthttp.StatusOK {
		return a, nil
	}
	return Answer{}, &Error{Kind: refusalKind(op, status, a.Refused), Op: op, Key: key, Err: fmt.Errorf("status %d: %s", status, a.Error)}
}

func refusalKind(op string, status int, refused bool) Kind {
	if !refused {
		return doubt(op)
	}
	switch status {
	case fasthttp.StatusNotFound:
		return NotFound
	case fasthttp.StatusConflict:
		return Conflict
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestEntityTooLarge:
		return Invalid
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return Unavailable
	}
	return doubt(op)
}

func (a Answer) value() Value {
	return Value{Data: a.Data, Revision: a.Revision, Lease: a.Lease}
}
