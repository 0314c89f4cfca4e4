package gateway

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/quota"
	"github.com/catkinrouter/catkinrouter/route"
)

// reasonCold is the reason of calls that are refused since all upstreams left to them are
// cold and admit no request.
const reasonCold = "upstreams-cold"

const (
	// maxCold is the longest time for which a health reply can make an upstream cold; a
	// longer one is malformed.
	maxCold = time.Hour
	// coldRecheckAfter is the age from which a cold period that only health replies report
	// may have ended earlier than they said.
	coldRecheckAfter = 2 * time.Second
)

// coldLimits are the limits of cold upstreams.
type coldLimits struct {
	bound ColdLimit
	table *route.Table
	view  quota.ColdView
}

// of returns the limit of a cold upstream of a service.
func (l *coldLimits) of(service string) quota.ColdLimit {
	if l.table == nil {
		return quota.ColdLimit{}
	}
	s, _ := l.table.Service(service)
	return quota.ColdLimit{PerSecond: s.ColdPerSecond, Overshoot: l.bound.Overshoot, Slack: l.bound.Slack}
}

// coldState is what an instance knows of an upstream's cold periods, beside its entry.
type coldState struct {
	// until is the end of the one that health replies report, seenAt when one last did.
	until, seenAt time.Duration
	bucket        quota.ColdBucket
}

// setColdTable sets the routing table that holds the services' rates while cold.
func (e *evidenceTable) setColdTable(t *route.Table) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.table = t
}

// setColdLimit sets the bound that turns these rates into limits.
func (e *evidenceTable) setColdLimit(l ColdLimit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.bound = l
}

// coldUntil returns when u is no longer cold: health replies count only if its service has
// a limit.
func (e *evidenceTable) coldUntil(u *discovery.Upstream) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cold.of(u.Service).PerSecond <= 0 {
		return u.ColdUntil
	}
	return max(u.ColdUntil, e.entry(u).cold.until)
}

// checkCold returns whether u admits a request now if it is cold. The caller holds the lock.
func (e *evidenceEntry) checkCold(now time.Duration, limits *coldLimits, u *discovery.Upstream) quota.Admission {
	until := max(u.ColdUntil, e.cold.until)
	if now >= until {
		return quota.Admission{Admitted: true}
	}
	limit := limits.of(u.Service)
	if limit.PerSecond <= 0 {
		return quota.Admission{Admitted: true}
	}
	a := e.cold.bucket.Check(now, &limits.view, u.ID, u.DataCentre, limit)
	if a.Due = min(a.Due, until); !a.Held {
		a.Due = until
	}
	a.Recheck = u.ColdUntil <= now && now-e.cold.seenAt >= coldRecheckAfter
	return a
}

// takeCold counts a request if the chosen upstream is cold, and reports whether it may be
// sent. The caller holds the lock.
func (e *evidenceEntry) takeCold(now time.Duration, limits *coldLimits, ch *choice) bool {
	a := e.checkCold(now, limits, ch.upstream)
	ch.coldRefused = !a.Admitted
	if !a.Admitted || !a.Limited {
		return a.Admitted
	}
	u := ch.upstream
	ch.cold, ch.coldAt = e.cold.bucket.Take(now, &limits.view, u.ID, u.DataCentre, limits.of(u.Service)), now
	return ch.cold
}

// returnCold gives back what takeCold counted. The caller holds the lock.
func (e *evidenceEntry) returnCold(ch *choice) {
	if ch.cold {
		e.cold.bucket.Return(ch.coldAt)
		ch.cold = false
	}
}

// confirmCold counts the request again at the time at which it is sent: calls wait for
// slots and connections after they were admitted, and the upstream may have become cold
// meanwhile. It returns false if the request must not be sent now.
func (e *evidenceTable) confirmCold(now time.Duration, ch *choice) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.entry(ch.upstream)
	entry.returnCold(ch)
	return entry.takeCold(now, &e.cold, ch)
}

// recordCold records for how long a health reply says that u stays cold, or that it does
// not. A malformed value leaves what was said last in force.
func (g *Gateway) recordCold(u *discovery.Upstream, resp *fasthttp.Response) {
	if g.proto.Cold == "" {
		return
	}
	left, err := parseCold(resp.Header.PeekAll(g.proto.Cold))
	if err != nil {
		g.metrics.malformedCold.Inc(1)
		g.logEvent("malformed cold time in health reply ignored", "upstream", u.ID, "service", u.Service, "err", err)
		return
	}
	if g.evidence.observeCold(g.now(), u, left) {
		g.logEvent("upstream's cold time changed", "upstream", u.ID, "service", u.Service, "cold", left > 0, "for", left)
	}
}

// observeCold records that u stays cold for the given time, 0 if it is not, and reports
// whether that is new.
func (e *evidenceTable) observeCold(now time.Duration, u *discovery.Upstream, left time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &e.entry(u).cold
	before := now < state.until
	state.until, state.seenAt = now+left, now
	return before != (left > 0)
}

// parseCold parses the header of a health reply that holds milliseconds; without it an
// upstream is not cold.
func parseCold(values [][]byte) (time.Duration, error) {
	if len(values) == 0 {
		return 0, nil
	}
	text := strings.TrimSpace(string(values[0]))
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || len(values) > 1 || math.IsNaN(ms) || ms < 0 || ms > float64(maxCold.Milliseconds()) {
		return 0, fmt.Errorf("cold time %.40q is not one number from 0 to %d", text, maxCold.Milliseconds())
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}
