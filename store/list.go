package store

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
)

// ListPath is the URL path of the platform's list of instances.
const ListPath = "/v1/instances"

// InstanceList is the response body of ListPath.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

const (
	// listTimeout is the timeout of a read without a deadline.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the body of a list.
	maxListBytes = 8 << 20
)

// ListClient implements List over HTTP. It is safe for concurrent use and makes
// no retries.
type ListClient struct {
	url  string
	http *fasthttp.Client
}

// NewListClient returns a client of the platform at address, an IP address and
// port.
func NewListClient(address string) *ListClient {
	return &ListClient{url: "http://" + address + ListPath, http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxListBytes,
		Dial: func(a string) (net.Conn, error) { return httpreply.Dial(a, listTimeout) },
	}}
}

// Close closes the idle connections.
func (c *ListClient) Close() { c.http.CloseIdleConnections() }

// Instances implements List.
func (c *ListClient) Instances(ctx context.Context) ([]Instance, []*MalformedInstance, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url)
	timeout := listTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, nil, &Error{Kind: Unavailable, Op: ListPath, Err: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, nil, &Error{Kind: Unavailable, Op: ListPath, Err: fmt.Errorf("status %d", resp.StatusCode())}
	}
	list, malformed, err := decodeList(resp.Body())
	if err != nil {
		return nil, nil, &Error{Kind: Invalid, Op: ListPath, Err: err}
	}
	return list, malformed, nil
}
