package entry

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/limit"
)

// maxAttempts bounds the sends of one call.
const maxAttempts = 3

// call is one call's state. Calls are reused once they have ended.
type call struct {
	Call
	svc      *service
	deadline time.Duration
	class    balance.Class
	bucket   limit.Bucket
	stage    stage
	ticket   limit.Ticket
	// keyed calls have a place in the record; home is here.
	keyed      bool
	idempotent bool
	// told is set once the caller was answered or has gone.
	told bool
	// holds is set while the call holds a slot of the limiter.
	holds bool
	// mayHaveRun is set once an attempt may have run at an upstream.
	mayHaveRun bool
	sends      int
	tried      []string
	// live are the attempts in progress: one, or two with a hedge.
	live []live
	// hedgeAt is the time of the hedge; 0 for none.
	hedgeAt time.Duration
	// latency is that of the last attempt.
	latency time.Duration
	shed    bool
}

// live is an attempt in progress.
type live struct {
	id       uint64
	upstream string
	at       time.Duration
}

type stage uint8

const (
	// sending calls have attempts in progress.
	sending stage = iota
	// queued calls wait for a slot.
	queued
	// joined calls wait for another try of the same key.
	joined
	// forwarded calls wait for the home's answer.
	forwarded
)

// newCall returns a call that the Node keeps until drop.
func (n *Node) newCall(now time.Duration, in Call) *call {
	var c *call
	if k := len(n.free); k > 0 {
		c, n.free = n.free[k-1], n.free[:k-1]
	} else {
		c = &call{}
	}
	c.Call = in
	c.Try = max(in.Try, 1)
	c.svc = n.services[in.Service]
	c.deadline = now + in.Timeout
	if in.Timeout == 0 {
		c.deadline = now + config.DefaultTimeout
	}
	if c.svc != nil {
		c.classify(now)
	}
	n.calls[in.ID] = c
	return c
}

// classify takes what the service's rules say of the call.
func (c *call) classify(now time.Duration) {
	route := c.svc.rules.Route(c.Path)
	c.idempotent = c.Key == "" && route.IsIdempotent(c.Method)
	c.bucket = c.svc.routes.Bucket(c.Path)
	c.class = c.svc.routes.Class(c.bucket)
	if route.Long {
		c.class = balance.Long
	}
	if c.Timeout == 0 {
		c.deadline = now + c.svc.rules.Timeout.D()
	}
}

// drop forgets a call that has ended.
func (n *Node) drop(c *call) {
	delete(n.calls, c.ID)
	tried, attempts := c.tried[:0], c.live[:0]
	*c = call{tried: tried, live: attempts}
	n.free = append(n.free, c)
}

// take removes the attempt from those in progress.
func (c *call) take(id uint64) live {
	i := slices.IndexFunc(c.live, func(l live) bool { return l.id == id })
	l := c.live[i]
	c.live = slices.Delete(c.live, i, i+1)
	return l
}
