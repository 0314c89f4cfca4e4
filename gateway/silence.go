package gateway

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/pick"
)

// silentLosses holds the services at whose upstreams silent losses were seen. It is safe for
// concurrent use.
type silentLosses struct {
	mu    sync.Mutex
	table pick.SilentLosses
}

// record records a silent loss at an upstream of a service.
func (l *silentLosses) record(now time.Duration, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(now, service)
}

// recent reports whether a silent loss of the service was seen lately.
func (l *silentLosses) recent(now time.Duration, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Recent(now, service)
}

// heardNothing reports whether an exchange ended with err because this instance gave up on
// it, before a byte of a reply had arrived.
func (c *conn) heardNothing(err error) bool {
	return !c.heard.Load() && (isTimeout(err) || errors.Is(err, net.ErrClosed))
}

// recordSent records when the request is written.
func (t *try) recordSent(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAt = now
}

// silentFor returns for how long the attempt has waited for the first byte of a reply; 0 if
// it does not wait for one.
func (t *try) silentFor(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cn == nil || t.sentAt == 0 || t.cn.heard.Load() {
		return 0
	}
	return now - t.sentAt
}

// recordEnd records the end of an attempt as evidence, and whether it was a silent loss.
func (g *Gateway) recordEnd(c *call, t *try) {
	now := g.now()
	answered := t.report != nil && !t.report.Unhealthy // its probe, just before
	lost := t.unheard && answered && pick.IsSilentLoss(t.took, t.expected, c.route.Timeout)
	g.evidence.update(t.upstream, func(ev *pick.Evidence) {
		ev.Ended()
		switch {
		case lost:
			ev.RecordSilentLoss(now, t.sentAt)
		case t.wrote && t.err == nil:
			ev.RecordReply()
		}
	})
	if lost {
		g.silentLosses.record(now, c.service.Name)
		g.metrics.silentLosses.Inc(1)
		c.log("silent loss", "upstream", t.upstream.ID, "address", t.upstream.Address, "conn", t.connNumber, "silent", t.took)
	}
}

// losesRequests reports whether a silent loss was seen at the call's service lately.
func (c *call) losesRequests() bool { return c.g.silentLosses.recent(c.g.now(), c.service.Name) }

// silenceRecheck is the shortest time between two checks for lost attempts of a call.
const silenceRecheck = 50 * time.Millisecond

// watchSilence sets the timer of an idempotent call to when its next attempt may count as
// lost.
func (c *call) watchSilence() {
	if !c.route.Idempotent || len(c.inFlight) == 0 {
		return
	}
	next := c.lostIn(c.inFlight[0])
	for _, t := range c.inFlight[1:] {
		next = min(next, c.lostIn(t))
	}
	c.silence.Reset(max(next, silenceRecheck))
}

// lostIn returns after how much more silence an attempt counts as lost.
func (c *call) lostIn(t *try) time.Duration {
	return pick.LostAfter(t.expected) - t.silentFor(c.g.now())
}

// resendLost sends the call to a further upstream if its only attempt counts as lost and the
// service loses requests. The silent attempt stays in flight: its upstream may be at work, and
// if no other has room, only it can still answer.
func (c *call) resendLost() {
	defer c.watchSilence()
	if len(c.inFlight) != 1 || c.lostIn(c.inFlight[0]) > 0 || !c.losesRequests() || !c.couldRetry() {
		return
	}
	ch, ok := c.g.pickUpstream(c)
	if !ok {
		return
	}
	if c.recheckKey() != nil || !c.hasRoom(&ch) || !c.g.retryBudgets.take(c.g.now(), c.service.Name, c.priority()) {
		c.g.releaseChoice(ch)
		return
	}
	c.g.metrics.silentResends.Inc(1)
	c.inFlight = append(c.inFlight, c.launch(ch, "silent"))
}

// couldRetry reports whether the call could be sent again if its attempts in flight were
// lost. If not, one of them has the only answer that can still come.
func (c *call) couldRetry() bool {
	return c.sent+len(c.inFlight) < c.route.MaxAttempts && c.unsent < maxUnsent && c.hasUntried() && c.quarantinedFor() == 0 &&
		c.timeLeft() >= c.work()/2 && c.g.retryBudgets.allowsRetry(c.g.now(), c.service.Name, c.priority())
}
