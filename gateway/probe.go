package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
	"github.com/catkinrouter/catkinrouter/pick"
)

// Times and weights of a probe.
const (
	// probeTimeout is how long a pick waits for probe results.
	probeTimeout = 25 * time.Millisecond
	// lateProbeTimeout is when a probe without a reply is aborted and its
	// connection closed.
	lateProbeTimeout = 300 * time.Millisecond
	// failedProbeWeight is the weight of a failed probe relative to a failed
	// request.
	failedProbeWeight = 0.5
)

// Errors of a probe.
var (
	errUpstreamID    = errors.New("health reply without the expected upstream ID")
	errNoHealthReply = errors.New("no health reply within the probe timeout")
)

// probeResult is the result of probing an upstream.
type probeResult struct {
	upstream *discovery.Upstream
	report   *pick.Report // nil without a reply
	conn     *conn        // to be used or returned to the pool
	sendMark int
	err      error
}

// probe requests an upstream's load report, on a connection that can then
// carry a request. If an idle connection fails, it retries on a new one.
func (g *Gateway) probe(u *discovery.Upstream, path string, deadline time.Time) probeResult {
	res := probeResult{upstream: u}
	if g.isEvacuated(u) {
		res.err = errUnwanted
		return res
	}
	g.evidence.update(u, func(ev *pick.Evidence) { res.sendMark = ev.Mark() })
	c := g.pool.take(u.Address)
	reused := c != nil
	for {
		if c == nil {
			if c, res.err = g.pool.dial(u.Address, time.Until(deadline)); res.err != nil {
				return res
			}
		}
		var closes bool
		if closes, res.err = g.requestHealth(c, u, path, deadline, &res); res.err == nil {
			if res.conn = c; closes {
				res.conn = nil
				c.Close()
			}
			return res
		}
		c.Close()
		if !reused || time.Until(deadline) <= 0 {
			return res
		}
		c, reused = nil, false
	}
}

// requestHealth sends one health request on c. It returns true if the upstream
// closes the connection after its reply.
func (g *Gateway) requestHealth(c *conn, u *discovery.Upstream, path string, deadline time.Time, res *probeResult) (closes bool, err error) {
	out := fmt.Appendf(c.writeBuf[:0], "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, u.Address)
	c.writeBuf = out
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	memory := g.memory.Begin(membudget.Replies, maxHealthBody)
	defer memory.Close()
	g.metrics.probes.Inc(1)
	if _, err := g.exchange(c, u, out, nil, "", false, deadline, resp, &memory); err != nil {
		return false, err
	}
	if id := string(resp.Header.Peek(g.proto.UpstreamID)); id != u.ID {
		return false, fmt.Errorf("%w: got %q, want %s", errUpstreamID, id, u.ID)
	}
	g.recordRateLimit(u, resp)
	g.recordCold(u, resp)
	r, err := g.proto.ParseLoad(string(resp.Header.Peek(g.proto.Load)))
	if err != nil {
		// The service sends no load report: assume the load that this instance
		// itself has sent there.
		r = pick.Report{Slots: u.Slots, Pace: 1}
		g.evidence.update(u, func(ev *pick.Evidence) { r.Running = ev.InFlight() })
	}
	r.Unhealthy = resp.StatusCode() != fasthttp.StatusOK
	res.report = &r
	return resp.ConnectionClose(), nil
}

// probeAll probes upstreams concurrently and waits up to probeTimeout for
// their replies. Later replies still count as evidence, and their connections
// are returned to the pool.
func (g *Gateway) probeAll(list []*discovery.Upstream, path string) []probeResult {
	ch := make(chan probeResult, len(list))
	for _, u := range list {
		go func() {
			res := probeResult{upstream: u}
			if err := g.guard.Run("probe", func() { res = g.probe(u, path, time.Now().Add(lateProbeTimeout)) }); err != nil {
				res.err = err
			}
			ch <- res
		}()
	}
	out := make([]probeResult, 0, len(list))
	timeout := time.NewTimer(probeTimeout)
	defer timeout.Stop()
	for len(out) < len(list) {
		select {
		case res := <-ch:
			g.recordProbe(res)
			out = append(out, res)
			continue
		case <-timeout.C:
		}
		break
	}
	if missing := len(list) - len(out); missing > 0 {
		out = append(out, unansweredProbes(list, out)...)
		go g.collectLate(ch, missing)
	}
	return out
}

// unansweredProbes returns a result without a report for each upstream that
// has not answered.
func unansweredProbes(list []*discovery.Upstream, answered []probeResult) []probeResult {
	var out []probeResult
	for _, u := range list {
		if !slices.ContainsFunc(answered, func(res probeResult) bool { return res.upstream == u }) {
			out = append(out, probeResult{upstream: u, err: errNoHealthReply})
		}
	}
	return out
}

// collectLate processes the results that arrive too late for a pick.
func (g *Gateway) collectLate(ch <-chan probeResult, n int) {
	for range n {
		res := <-ch
		g.recordProbe(res)
		if res.conn != nil {
			g.pool.put(res.conn)
		}
	}
}

// recordProbe records a failed probe as evidence.
func (g *Gateway) recordProbe(res probeResult) {
	if res.err != nil && !errors.Is(res.err, errUnwanted) {
		g.metrics.probesFailed.Inc(1)
		g.evidence.recordOutcome(g.now(), res.upstream, true, failedProbeWeight)
	}
}
