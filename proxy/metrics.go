package proxy

import (
	"sync"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/internal/metrics"
)

// counters are the metrics of the data path. Those of the hot path are
// looked up once.
type counters struct {
	registry gometrics.Registry
	outcomes [attempt.Unknown + 1]gometrics.Counter
	// held is the time that calls spent in the entry itself, in microseconds.
	held *metrics.Histogram
	// callersGone counts calls whose caller went away before the answer.
	callersGone   gometrics.Counter
	probesSent    gometrics.Counter
	probesFailed  gometrics.Counter
	probesDropped gometrics.Counter
	opened        gometrics.Counter
	reused        gometrics.Counter
	stale         gometrics.Counter
	cutReplies    gometrics.Counter
	lookups       gometrics.Counter

	mu       sync.Mutex // guards writes of byReason and byRetry
	byReason atomic.Pointer[map[attempt.Reason]gometrics.Counter]
	byRetry  atomic.Pointer[map[attempt.Reason]gometrics.Counter]
}

func newCounters(r gometrics.Registry) *counters {
	m := &counters{registry: r, held: metrics.NewHistogram()}
	for _, o := range []attempt.Outcome{attempt.Answered, attempt.NotRun, attempt.Unknown} {
		m.outcomes[o] = gometrics.GetOrRegisterCounter("outcome."+o.String(), r)
	}
	for name, c := range map[string]*gometrics.Counter{
		"caller.gone": &m.callersGone, "probe.sent": &m.probesSent, "probe.failed": &m.probesFailed,
		"probe.dropped": &m.probesDropped, "connection.opened": &m.opened, "connection.reused": &m.reused,
		"connection.stale": &m.stale, "reply.cut": &m.cutReplies, "lookup.answered": &m.lookups,
	} {
		*c = gometrics.GetOrRegisterCounter(name, r)
	}
	if err := r.Register("held.us", m.held); err != nil {
		panic(err) // the registry is new
	}
	m.byReason.Store(&map[attempt.Reason]gometrics.Counter{})
	m.byRetry.Store(&map[attempt.Reason]gometrics.Counter{})
	for why := range kinds {
		m.refused(why)
	}
	for _, why := range attempt.Reasons() {
		m.refused(why.Reason)
	}
	return m
}

func (m *counters) outcome(o attempt.Outcome) gometrics.Counter { return m.outcomes[o] }

// refused returns the counter of refusals for a reason, "refused.REASON".
func (m *counters) refused(why attempt.Reason) gometrics.Counter {
	return m.named(&m.byReason, "refused.", why)
}

// retried returns the counter of further attempts for a reason,
// "retried.REASON".
func (m *counters) retried(why attempt.Reason) gometrics.Counter {
	return m.named(&m.byRetry, "retried.", why)
}

func (m *counters) named(p *atomic.Pointer[map[attempt.Reason]gometrics.Counter], prefix string, why attempt.Reason) gometrics.Counter {
	if c := (*p.Load())[why]; c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *p.Load()
	if c := old[why]; c != nil {
		return c
	}
	c := gometrics.GetOrRegisterCounter(prefix+string(why), m.registry)
	fresh := make(map[attempt.Reason]gometrics.Counter, len(old)+1)
	for k, v := range old {
		fresh[k] = v
	}
	fresh[why] = c
	p.Store(&fresh)
	return c
}
