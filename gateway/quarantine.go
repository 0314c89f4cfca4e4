package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinrouter/catkinrouter/quarantine"
)

// CrashReport tells other instances what the quarantine decides from.
type CrashReport struct {
	Content quarantine.Content
	// Answered is set if an upstream answered a request that others suspect; Upstream
	// and Ran are then 0.
	Answered bool
	// Upstream identifies the incarnation that crashed.
	Upstream uint64
	// Ran is how long the request had run, Age the time since the crash or the answer.
	Ran, Age time.Duration
	// Suspected is set if there was an earlier crash under the request: then the report
	// matters more than that of a first crash.
	Suspected bool
}

// lockedQuarantine is a quarantine.Table for concurrent use.
type lockedQuarantine struct {
	// used is false while the table is empty, so that calls need no Content.
	used  atomic.Bool
	mu    sync.Mutex
	table *quarantine.Table
}

// with calls fn with the table and returns the decisions made so far.
func (q *lockedQuarantine) with(fn func(*quarantine.Table)) []quarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	fn(q.table)
	q.used.Store(!q.table.Empty())
	return q.table.TakeDecisions()
}

// updateQuarantine calls fn with the quarantine's table, and logs and tells the
// rest of the instance what was decided.
func (g *Gateway) updateQuarantine(fn func(*quarantine.Table)) {
	decisions := g.quarantine.with(fn)
	for _, d := range decisions {
		if d.Lifted {
			g.metrics.quarantinesLifted.Inc(1)
			g.logEvent("request no longer quarantined", "content", d.Content, "reason", "an upstream answered it")
			continue
		}
		g.metrics.quarantines.Inc(1)
		g.logEvent("request quarantined", "content", d.Content, "crashes", d.Crashes)
	}
	if len(decisions) > 0 {
		g.hooks.QuarantineChanged()
	}
}

// quarantinedFor returns how long the call is kept from the upstreams, 0 if it is
// not.
func (c *call) quarantinedFor() time.Duration {
	if !c.g.quarantine.used.Load() {
		return 0
	}
	now := c.g.now()
	var until time.Duration
	c.g.updateQuarantine(func(t *quarantine.Table) { until, _ = t.Blocked(now, c.content()) })
	return max(0, until-now)
}

// crashesUnder returns the number of crashes that count against the call's request.
func (g *Gateway) crashesUnder(c *call) (n int) {
	g.updateQuarantine(func(t *quarantine.Table) { n = t.Crashes(c.content()) })
	return n
}

// reportCrash records a crash under a request of this instance and tells the other
// instances, once the request is held back of all crashes that led to it: one that
// has missed a report, or knows of an answer, learns of it in time.
func (g *Gateway) reportCrash(c quarantine.Crash) {
	now := g.now()
	var news []quarantine.Crash
	var suspected bool
	g.updateQuarantine(func(t *quarantine.Table) {
		suspected = t.Crashes(c.Content) > 0
		switch t.RecordCrash(now, c) {
		case quarantine.Counted:
			news = []quarantine.Crash{c}
		case quarantine.Held:
			news = t.HeldCrashes(c.Content)
		}
	})
	for _, c := range news {
		g.hooks.CrashFound(CrashReport{Content: c.Content, Upstream: c.Upstream, Ran: c.At - c.Began, Age: now - c.At, Suspected: suspected})
	}
}

// recordAnswered records that an upstream answered the call, and tells the other
// instances if it was suspected.
func (c *call) recordAnswered() {
	if !c.g.quarantine.used.Load() {
		return
	}
	content, now := c.content(), c.g.now()
	if c.g.recordAnswer(now, content) {
		c.g.shareAnswer(now, content)
	}
}

func (g *Gateway) recordAnswer(at time.Duration, content quarantine.Content) (doubted bool) {
	g.updateQuarantine(func(t *quarantine.Table) { doubted = t.RecordAnswer(g.now(), at, content) })
	return doubted
}

// shareAnswer tells the other instances that a request was answered at a time.
func (g *Gateway) shareAnswer(at time.Duration, content quarantine.Content) {
	g.updateQuarantine(func(t *quarantine.Table) { t.ShareAnswer(at, content) })
	g.hooks.CrashFound(CrashReport{Content: content, Answered: true, Age: g.now() - at, Suspected: true})
}

// RecordRemoteCrash records what another instance reported. If this one knows of an
// answer that exonerates the request, it tells the others, unless another one does so
// before. It returns true if the request was suspected before.
func (g *Gateway) RecordRemoteCrash(r CrashReport) (suspected bool) {
	g.metrics.crashReports.Inc(1)
	now := g.now()
	at := now - r.Age
	if r.Answered {
		g.recordAnswer(at, r.Content)
		g.updateQuarantine(func(t *quarantine.Table) { t.ShareAnswer(at, r.Content) })
		return true
	}
	c := quarantine.Crash{Content: r.Content, Upstream: r.Upstream, Began: at - r.Ran, At: at}
	var effect quarantine.Effect
	g.updateQuarantine(func(t *quarantine.Table) {
		suspected = t.Crashes(r.Content) > 0
		effect = t.RecordCrash(now, c)
	})
	if effect == quarantine.Exonerated {
		time.AfterFunc(rand.N(quarantine.MaxAnswerDelay), func() { g.contradict(c) })
	}
	return suspected
}

// contradict tells the other instances of an answer since the run began that crashed
// an upstream, unless they know of one.
func (g *Gateway) contradict(c quarantine.Crash) {
	// A panic is logged; the report is lost.
	_ = g.guard.Run("crash report", func() {
		var at time.Duration
		var unshared bool
		g.updateQuarantine(func(t *quarantine.Table) { at, unshared = t.UnsharedAnswer(c.Began, c.Content) })
		if unshared {
			g.shareAnswer(at, c.Content)
		}
	})
}

// Quarantined returns the decisions about requests that crash upstreams.
func (g *Gateway) Quarantined() (entries []quarantine.Entry) {
	g.updateQuarantine(func(t *quarantine.Table) { entries = t.Entries(g.now(), time.Now()) })
	return entries
}

// MergeQuarantined takes decisions of other instances.
func (g *Gateway) MergeQuarantined(entries []quarantine.Entry) {
	g.updateQuarantine(func(t *quarantine.Table) { t.Merge(g.now(), time.Now(), entries) })
}
