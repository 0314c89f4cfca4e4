package entry

import (
	"slices"
	"time"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/limit"
)

// maxAttempts is the largest number of attempts that are sent for one call.
const maxAttempts = 3

// call is the state of one call. It is reused for another call after its own
// has ended.
type call struct {
	Call
	svc      *service
	deadline time.Duration
	class    balance.Class
	bucket   limit.Bucket
	stage    stage
	ticket   limit.Ticket
	// keyed is set for a call that has a Catkin-Key and runs at this entry,
	// its home; the Node's record then holds the key.
	keyed      bool
	idempotent bool
	// callerDone is set once the caller has been answered or has disconnected.
	callerDone bool
	// holdsSlot is set while the call holds a slot of the limiter.
	holdsSlot bool
	// mayHaveRun is set once an upstream may have run an attempt of the call.
	mayHaveRun   bool
	attemptsSent int
	// tried holds the IDs of the upstreams that the call was sent to.
	tried []string
	// pending are the attempts that have not ended: one, or two with a hedge.
	pending []pending
	// hedgeAt is the time at which a hedge may be sent; 0 means none is
	// scheduled.
	hedgeAt time.Duration
	// latency is that of the last attempt; 0 if it did not succeed.
	latency time.Duration
	// shed is set if an upstream refused the last attempt.
	shed bool
}

// pending is an attempt that has been sent and has not ended.
type pending struct {
	id       uint64
	upstream string
	sentAt   time.Duration
}

type stage uint8

const (
	// sending: attempts of the call are in progress.
	sending stage = iota
	// queued: the call waits for a slot of the limiter.
	queued
	// joined: the call repeats a key that is in progress and waits for its
	// result.
	joined
	// forwarded: the call was sent to the key's home, and waits for the
	// answer.
	forwarded
)

// newCall returns the state of a new call and registers it under its ID until
// recycle.
func (n *Node) newCall(now time.Duration, in Call) *call {
	var c *call
	if k := len(n.freeCalls); k > 0 {
		c, n.freeCalls = n.freeCalls[k-1], n.freeCalls[:k-1]
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

// classify sets what depends on the service's rules and on the route:
// idempotency, class of work and default deadline.
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

// recycle unregisters a call that has ended and keeps its state for reuse.
func (n *Node) recycle(c *call) {
	delete(n.calls, c.ID)
	tried, attempts := c.tried[:0], c.pending[:0]
	*c = call{tried: tried, pending: attempts}
	n.freeCalls = append(n.freeCalls, c)
}

// removeAttempt removes a pending attempt from the call and returns it.
func (c *call) removeAttempt(id uint64) pending {
	i := slices.IndexFunc(c.pending, func(l pending) bool { return l.id == id })
	l := c.pending[i]
	c.pending = slices.Delete(c.pending, i, i+1)
	return l
}
