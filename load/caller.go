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

// caller keeps looked-up addresses for their lifetime and connects there.
type caller struct {
	name    string
	client  *fasthttp.Client
	entries []string
	direct  map[string][]string // upstream addresses by service, or nil

	mu    sync.Mutex
	rng   *rand.Rand
	known map[string]answer // by service
	turn  int
}

type answer struct {
	addresses []proxy.LookupAddress
	until     time.Time
}

// requestHeader carries a call's own name; upstreams echo it.
const requestHeader = "X-Request"

// lookupTimeout bounds an address lookup.
const lookupTimeout = 2 * time.Second

// target is where one try of a call goes.
type target struct {
	address string
	permit  string
}

// next chooses the address for a try, not the one avoided where another is
// known.
func (c *caller) next(service, avoid string) (target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct != nil {
		l := c.direct[service]
		if len(l) == 0 {
			return target{}, fmt.Errorf("no upstream of %s is known", service)
		}
		c.turn++
		return target{address: l[c.turn%len(l)]}, nil
	}
	a := c.known[service]
	if !time.Now().Before(a.until) {
		if err := c.lookup(service); err != nil && len(a.addresses) == 0 {
			return target{}, err
		}
		a = c.known[service]
	}
	return c.choose(a, avoid), nil
}

// choose picks an address by weight.
func (c *caller) choose(a answer, avoid string) target {
	var sum float64
	for _, x := range a.addresses {
		if x.Address != avoid {
			sum += x.Weight
		}
	}
	at := c.rng.Float64() * sum
	last := a.addresses[0]
	for _, x := range a.addresses {
		if x.Address == avoid {
			continue
		}
		last = x
		at -= x.Weight
		if at <= 0 {
			break
		}
	}
	return target{address: last.Address, permit: last.Permit}
}

// lookup asks the entries in random order. It must be called with mu held.
func (c *caller) lookup(service string) error {
	var errs []error
	for _, i := range c.rng.Perm(len(c.entries)) {
		var a proxy.LookupAnswer
		code, body, err := fasthttp.GetTimeout(nil, "http://"+c.entries[i]+headers.LookupPath+"?service="+service, lookupTimeout)
		if err == nil && code != fasthttp.StatusOK {
			err = fmt.Errorf("lookup at %s: status %d: %s", c.entries[i], code, body)
		}
		if err == nil {
			err = json.Unmarshal(body, &a)
		}
		if err == nil && len(a.Addresses) == 0 {
			err = fmt.Errorf("lookup at %s: no address", c.entries[i])
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		c.known[service] = answer{addresses: a.Addresses, until: time.Now().Add(time.Duration(a.LifeMs) * time.Millisecond)}
		return nil
	}
	return errors.Join(errs...)
}

// told is what a caller was told of one call.
type told struct {
	outcome string
	reason  string
	tries   int
	// wrong is set where the answer was not that of the caller's request.
	wrong bool
	key   string
}

// do makes one call, with its repeats.
func (c *caller) do(m *CallMix, id string, timeout time.Duration) told {
	var out told
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

func (c *caller) try(m *CallMix, id string, timeout time.Duration, addr string, out *told) {
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
