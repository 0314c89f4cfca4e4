package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/proxy"
)

// caller simulates one caller: it caches lookup responses for their lifetime
// and connects to the addresses in them.
type caller struct {
	name    string
	client  *fasthttp.Client
	entries []string
	direct  map[string][]string // upstream addresses by service; nil without Direct

	mu          sync.Mutex
	rng         *rand.Rand
	cache       map[string]cachedLookup // by service
	directIndex int
}

type cachedLookup struct {
	addresses []proxy.LookupAddress
	expires   time.Time
}

// requestHeader carries the ID of a call. Stand-in upstreams return it in the
// body, so that a response to another call is noticed.
const requestHeader = "X-Request"

// lookupTimeout limits one lookup at one entry.
const lookupTimeout = 2 * time.Second

// target is the destination of one try of a call.
type target struct {
	address string
	permit  string
}

// next returns the target of a try: an upstream in round-robin order in direct
// mode, otherwise an address from the lookup cache. It excludes the address
// exclude if the cache holds another one. An expired cache entry stays in use
// if the lookup fails.
func (c *caller) next(service, exclude string) (target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct != nil {
		l := c.direct[service]
		if len(l) == 0 {
			return target{}, fmt.Errorf("the stand-ins list no upstream of service %s", service)
		}
		c.directIndex++
		return target{address: l[c.directIndex%len(l)]}, nil
	}
	a := c.cache[service]
	if !time.Now().Before(a.expires) {
		if err := c.lookup(service); err != nil && len(a.addresses) == 0 {
			return target{}, err
		}
		a = c.cache[service]
	}
	return c.chooseByWeight(a, exclude), nil
}

// chooseByWeight picks one of the addresses at random in proportion to their
// weights. It returns the address exclude only if there is no other.
func (c *caller) chooseByWeight(a cachedLookup, exclude string) target {
	var total float64
	for _, x := range a.addresses {
		if x.Address != exclude {
			total += x.Weight
		}
	}
	rest := c.rng.Float64() * total
	last := a.addresses[0]
	for _, x := range a.addresses {
		if x.Address == exclude {
			continue
		}
		last = x
		rest -= x.Weight
		if rest <= 0 {
			break
		}
	}
	return target{address: last.Address, permit: last.Permit}
}

// lookup refreshes the cache for a service. It tries the entries in random
// order until one returns addresses. The caller must hold c.mu.
func (c *caller) lookup(service string) error {
	var errs []error
	for _, i := range c.rng.Perm(len(c.entries)) {
		var a proxy.LookupAnswer
		code, body, err := control.GetTimeout(nil, "http://"+c.entries[i]+headers.LookupPath+"?service="+service, lookupTimeout)
		if err == nil && code != fasthttp.StatusOK {
			err = fmt.Errorf("lookup at %s: status %d: %s", c.entries[i], code, body)
		}
		if err == nil {
			err = json.Unmarshal(body, &a)
		}
		if err == nil && len(a.Addresses) == 0 {
			err = fmt.Errorf("lookup at %s: response contains no address", c.entries[i])
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		c.cache[service] = cachedLookup{addresses: a.Addresses, expires: time.Now().Add(time.Duration(a.LifetimeMs) * time.Millisecond)}
		return nil
	}
	return errors.Join(errs...)
}

// callResult is the outcome of one call as the caller saw it.
type callResult struct {
	outcome string
	reason  string
	tries   int
	// wrong is set if an answered response with status 200 does not contain the
	// ID of the request.
	wrong bool
	key   string // value of the Catkin-Key header; empty if not keyed
}

// do makes one call and repeats it up to m.Repeats times until it is answered.
// All tries carry the same key.
func (c *caller) do(m *CallMix, id string, timeout time.Duration) callResult {
	var out callResult
	t, err := c.next(m.Service, "")
	if err != nil {
		out.reason = "no-address"
		return out
	}
	if m.Keyed && t.permit != "" {
		out.key = t.permit + "/" + id
	}
	for {
		out.tries++
		c.try(m, id, timeout, t.address, &out)
		if out.outcome == "answered" || out.tries > m.Repeats {
			return out
		}
		if next, err := c.next(m.Service, t.address); err == nil {
			t = next
		}
	}
}

// try sends one try of a call to addr and stores the outcome in out. Without a
// response the outcome is empty. An upstream that is called directly sets no
// outcome, so its status 200 counts as answered. An answered call with a status
// of 500 or above counts as failed.
func (c *caller) try(m *CallMix, id string, timeout time.Duration, addr string, out *callResult) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + m.Path)
	req.Header.SetHost(m.Service)
	req.UseHostHeader = true
	req.Header.SetMethod(m.Method)
	req.Header.Set(requestHeader, id)
	req.Header.Set(headers.Caller, c.name)
	req.Header.Set(headers.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	if out.key != "" {
		req.Header.Set(headers.Key, out.key)
		req.Header.Set(headers.Try, strconv.Itoa(out.tries))
	}
	if m.BodyBytes > 0 {
		req.SetBody(make([]byte, m.BodyBytes))
	}
	if err := c.client.DoTimeout(req, resp, timeout); err != nil {
		out.outcome, out.reason = "", "connection"
		return
	}
	out.outcome = string(resp.Header.Peek(headers.Outcome))
	out.reason = string(resp.Header.Peek(headers.Reason))
	if c.direct != nil && resp.StatusCode() == fasthttp.StatusOK {
		out.outcome = "answered"
	}
	if out.outcome == "answered" && resp.StatusCode() == fasthttp.StatusOK {
		out.wrong = !bytes.Contains(resp.Body(), []byte(id))
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError && out.outcome == "answered" {
		out.outcome, out.reason = "failed", "upstream-error"
	}
}
