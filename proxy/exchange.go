package proxy

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

// errUnframed marks a reply whose end cannot be told from a cut.
var errUnframed = errors.New("reply has no length and no chunks: let the upstream state one")

const (
	maxReply = 64 << 20 // bytes
	// identityLength is fasthttp's content length of a reply that ends with
	// its connection.
	identityLength = -2
)

// exchange sends req to the address of s and reads the whole reply into resp.
func (p *pool) exchange(s entry.Step, req *fasthttp.Request, resp *fasthttp.Response) entry.Result {
	var r entry.Result
	c, err := p.get(s.Address, s.Fresh, s.Timeout)
	if err != nil {
		r.Err = err
		return r
	}
	r.Wrote = true
	if err := c.roundTrip(s.Timeout, req, resp); err != nil {
		c.Close()
		r.Err = err
		return r
	}
	if resp.ConnectionClose() {
		c.Close()
	} else {
		p.put(c)
	}
	readResult(&r, resp)
	return r
}

func (c *conn) roundTrip(timeout time.Duration, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	resp.SkipBody = req.Header.IsHead()
	if err := resp.ReadLimitBody(c.r, maxReply); err != nil {
		return err
	}
	if resp.Header.ContentLength() == identityLength && !resp.SkipBody {
		return errUnframed
	}
	return nil
}

func readResult(r *entry.Result, resp *fasthttp.Response) {
	h := &resp.Header
	r.Status = resp.StatusCode()
	r.Shed = len(h.Peek(headers.Shed)) > 0
	r.Leaving = len(h.Peek(headers.Leaving)) > 0
	r.RetriesSpent = len(h.Peek(headers.RetriesSpent)) > 0
	r.Load = parseLoad(string(h.Peek(headers.Load)))
	r.Outcome = parseOutcome(string(h.Peek(headers.Outcome)))
	r.Reason = attempt.Reason(h.Peek(headers.Reason))
}

func parseOutcome(s string) attempt.Outcome {
	for _, o := range []attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		if o.String() == s {
			return o
		}
	}
	return 0
}

// parseLoad reads a report such as "3/6"; nil where it is not one.
func parseLoad(s string) *balance.Load {
	a, b, ok := strings.Cut(s, "/")
	if !ok {
		return nil
	}
	working, err1 := strconv.Atoi(a)
	slots, err2 := strconv.Atoi(b)
	if err1 != nil || err2 != nil || working < 0 || slots < 1 {
		return nil
	}
	return &balance.Load{Working: working, Slots: slots}
}
