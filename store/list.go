package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// ListPath is where the platform's list is read.
const ListPath = "/v1/instances"

// InstanceList is the body of the list's answer.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// listTimeout bounds a read of the list.
const listTimeout = 2 * time.Second

// ListClient is a List over HTTP. It is safe for concurrent use and repeats no
// call by itself.
type ListClient struct {
	url  string
	http *fasthttp.Client
}

// NewListClient returns a client of the list at an IP address and port.
func NewListClient(address string) *ListClient {
	return &ListClient{url: "http://" + address + ListPath, http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
	}}
}

// Close closes the connections that are idle.
func (c *ListClient) Close() { c.http.CloseIdleConnections() }

// Instances implements List.
func (c *ListClient) Instances(ctx context.Context) ([]Instance, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url)
	left := listTimeout
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	if err := c.http.DoTimeout(req, resp, left); err != nil {
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
