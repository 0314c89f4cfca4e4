package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/pick"
)

// Times and weights of a probe.
const (
	// probeTimeout is how long a pick waits for the answers.
	probeTimeout = 25 * time.Millisecond
	// lateProbe is when a probe is given up with its connection.
	lateProbe = 300 * time.Millisecond
	// silentWeight is what a probe without an answer counts, as part of a
	// failed request.
	silentWeight = 0.5
)

// Faults of a probe.
var (
	errProbe  = errors.New("health answer without the upstream's ID")
	errSilent = errors.New("no health answer yet")
)

// answer is what an upstream said when it was asked.
type answer struct {
	upstream *discovery.Upstream
	report   *pick.Report // nil where it did not answer
	conn     *conn        // to be used or given back
	mark     int
	err      error
}

// probe asks an upstream for its load, on a connection that a request can
// follow on.
func (g *Gateway) probe(u *discovery.Upstream, path string, deadline time.Time) answer {
	a := answer{upstream: u}
	g.ev.with(u, func(ev *pick.Evidence) { a.mark = ev.Mark() })
	c := g.pool.take(u.Address)
	reused := c != nil
	for {
		if c == nil {
			if c, a.err = g.pool.dial(u.Address, time.Until(deadline)); a.err != nil {
				return a
			}
		}
		var closes bool
		if closes, a.err = g.askHealth(c, u, path, deadline, &a); a.err == nil {
			if a.conn = c; closes {
				a.conn = nil
				c.Close()
			}
			return a
		}
		c.Close()
		if !reused || time.Until(deadline) <= 0 {
			return a
		}
		c, reused = nil, false
	}
}

// askHealth makes one health request on c. It returns true where the upstream
// closes the connection.
func (g *Gateway) askHealth(c *conn, u *discovery.Upstream, path string, deadline time.Time, a *answer) (closes bool, err error) {
	out := fmt.Appendf(c.out[:0], "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, u.Address)
	c.out = out
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	g.m.probes.Inc(1)
	if _, err := g.exchange(c, out, "", false, deadline, resp); err != nil {
		return false, err
	}
	if id := string(resp.Header.Peek(g.d.UpstreamID)); id != u.ID {
		return false, fmt.Errorf("%w: got %q for %s", errProbe, id, u.ID)
	}
	r, err := g.d.ParseLoad(string(resp.Header.Peek(g.d.Load)))
	if err != nil {
		// The service tells no load: what this instance sent there is known.
		r = pick.Report{Slots: u.Slots, Pace: 1}
		g.ev.with(u, func(ev *pick.Evidence) { r.Running = ev.InFlight() })
	}
	r.Unwell = resp.StatusCode() != fasthttp.StatusOK
	a.report = &r
	return resp.ConnectionClose(), nil
}

// ask probes upstreams at the same time and waits a short time for their
// answers; later ones count as evidence and leave their connections.
func (g *Gateway) ask(list []*discovery.Upstream, path string) []answer {
	ch := make(chan answer, len(list))
	for _, u := range list {
		go func() { ch <- g.probe(u, path, time.Now().Add(lateProbe)) }()
	}
	out := make([]answer, 0, len(list))
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	for len(out) < len(list) {
		select {
		case a := <-ch:
			g.answered(a)
			out = append(out, a)
			continue
		case <-timeout.C:
		}
		break
	}
	if missing := len(list) - len(out); missing > 0 {
		out = append(out, silent(list, out)...)
		go g.collect(ch, missing)
	}
	return out
}

// silent returns an answer without a report for each upstream that gave none.
func silent(list []*discovery.Upstream, got []answer) []answer {
	var out []answer
	for _, u := range list {
		if !slices.ContainsFunc(got, func(a answer) bool { return a.upstream == u }) {
			out = append(out, answer{upstream: u, err: errSilent})
		}
	}
	return out
}

// collect takes the answers that came too late for a pick.
func (g *Gateway) collect(ch <-chan answer, n int) {
	for range n {
		a := <-ch
		g.answered(a)
		if a.conn != nil {
			g.pool.put(a.conn)
		}
	}
}

// answered takes the end of a probe as evidence.
func (g *Gateway) answered(a answer) {
	if a.err != nil {
		g.m.probesFailed.Inc(1)
		g.ev.record(g.now(), a.upstream, true, silentWeight)
	}
}
