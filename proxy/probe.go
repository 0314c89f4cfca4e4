package proxy

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/balance"
	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/headers"
)

const (
	// probeQueueSize bounds the probes that wait; more are dropped.
	probeQueueSize = 256
	// probeWorkers bounds the probes in progress.
	probeWorkers = 4
	probeTimeout = 500 * time.Millisecond
)

// prober sends probes from a bounded queue.
type prober struct {
	queue chan entry.Step
	pool  *pool
	d     *dispatcher
	m     *counters
}

// enqueue adds a probe, or drops it if the queue is full. It never blocks.
func (p *prober) enqueue(st entry.Step) {
	select {
	case p.queue <- st:
	default:
		p.m.probesDropped.Inc(1)
	}
}

// run sends probes until ctx ends.
func (p *prober) run(ctx context.Context) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for {
		select {
		case <-ctx.Done():
			return nil
		case st := <-p.queue:
			p.probe(&st, resp)
		}
	}
}

func (p *prober) probe(st *entry.Step, resp *fasthttp.Response) {
	began := time.Now()
	p.m.probesSent.Inc(1)
	load, err := p.fetchLoad(st, resp)
	if err != nil {
		p.m.probesFailed.Inc(1)
		p.m.countMalformed(err)
	}
	p.d.probed(st, load, time.Since(began))
}

// fetchLoad returns the load that the upstream reports; nil if its reply has
// no valid report.
func (p *prober) fetchLoad(st *entry.Step, resp *fasthttp.Response) (*balance.Load, error) {
	timeout := probeTimeout
	if st.Timeout > 0 {
		timeout = st.Timeout
	}
	cn, err := p.pool.get(st, timeout)
	if err != nil {
		return nil, err
	}
	if err := cn.get(st, resp, timeout); err != nil {
		p.pool.discard(cn)
		return nil, err
	}
	p.pool.release(cn, resp)
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errProbeStatus
	}
	load := parseLoad(string(resp.Header.Peek(headers.Load)))
	if load != nil {
		load.Leaving = len(resp.Header.Peek(headers.Leaving)) > 0
	}
	return load, nil
}

// maxProbeBody limits the body of a reply to a probe, which is not used.
const maxProbeBody = 64 << 10 // bytes

// get requests the upstream's load and reads the reply.
func (c *conn) get(st *entry.Step, resp *fasthttp.Response, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	c.out = append(c.out[:0], "GET "+headers.ProbePath+" HTTP/1.1\r\nHost: "...)
	c.out = append(c.out, st.Service...)
	c.out = append(c.out, "\r\n"...)
	c.out = append(c.appendAttempt(c.out, false), "\r\n"...)
	if _, err := c.Write(c.out); err != nil {
		return err
	}
	return c.readSmall(resp, maxProbeBody)
}
