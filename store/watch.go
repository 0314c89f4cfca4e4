package store

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// waitShare is the part of the time left that the platform is asked to wait
// for; the rest is for its answer to arrive.
const waitShare = 0.9

// Watch implements Store. It uses a connection of its own, so that it ends at
// once when ctx does.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Value, error) {
	left := c.left(ctx, DefaultWait)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	fail := func(err error) (Value, error) {
		return Value{}, &Error{Kind: Unavailable, Op: WatchPath, Key: key, Err: err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	wait := time.Duration(float64(left) * waitShare)
	if err := c.encode(req, WatchPath, Request{Key: key, After: after, Wait: wait.Milliseconds()}); err != nil {
		return Value{}, err
	}
	if err := c.exchange(ctx, req, resp); err != nil {
		return fail(err)
	}
	a, err := decodeAnswer(WatchPath, key, resp)
	return a.value(), err
}

// exchange sends req on a new connection, which closes when ctx ends.
func (c *Client) exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", c.storeAddr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	req.SetConnectionClose()
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(bufio.NewReader(conn), maxAnswer)
}
